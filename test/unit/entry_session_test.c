/* Unit tests of the entry's side of a session. */
#include "unit.h"

#include <string.h>

#include <glib.h>

#include "wisteria/session/entry_session.h"

#define HOPS 3

/* What the session asked for. */
typedef struct {
	entry_session_ops_t ops; /* first member */
	entry_session_t *session;
	uint32_t sent[MSG_TYPE_COUNT];
	uint32_t open_attempt;
	uint64_t open_revision;
	size_t open_tokens; /* of the last open to hop 0 */
	uint32_t resume_next;
	uint32_t choices;
	uint32_t replacements;
	route_result_t choose_result;
	bool may_retry;
	GString *answer;
	bool finished;
	bool refused;
	bool not_run;
} world_t;

static world_t world;

static void send_message(entry_session_ops_t *self, entry_session_t *session,
			 const route_hop_t *hop, msg_type_t type,
			 const void *body)
{
	const msg_open_t *open = body;

	(void)self;
	(void)session;
	(void)hop;
	world.sent[type]++;
	if (type == MSG_OPEN) {
		world.open_attempt = open->attempt;
		world.open_revision = open->revision;
		if (open->hop == 0)
			world.open_tokens = open->token_count;
	} else if (type == MSG_RESUME) {
		world.resume_next = ((const msg_tokens_ack_t *)body)->next;
	}
}

static void fill_chain(route_choice_t *chain, char letter)
{
	memset(chain, 0, sizeof(*chain));
	chain->hop_count = HOPS;
	for (size_t i = 0; i < HOPS; i++) {
		route_hop_t *hop = &chain->hops[i];

		g_snprintf(hop->endpoint, sizeof(hop->endpoint), "%c%zu",
			   letter, i);
		g_snprintf(hop->address, sizeof(hop->address), "%c%zu:1",
			   letter, i);
		hop->first_layer = (uint32_t)i;
		hop->end_layer = (uint32_t)i + 1;
	}
}

static route_result_t choose(entry_session_ops_t *self,
			     entry_session_t *session, const char *failed,
			     route_choice_t *choice)
{
	(void)self;
	(void)session;
	(void)failed;
	world.choices++;
	fill_chain(choice, 'b');
	return world.choose_result;
}

static route_result_t replace(entry_session_ops_t *self,
			      entry_session_t *session, size_t lost_hop,
			      route_hop_t *replacement)
{
	route_choice_t chain;

	(void)self;
	(void)session;
	world.replacements++;
	fill_chain(&chain, 'c');
	*replacement = chain.hops[lost_hop];
	return ROUTE_FOUND;
}

static bool may_retry(entry_session_ops_t *self, entry_session_t *session)
{
	(void)self;
	(void)session;
	return world.may_retry;
}

static void deliver(entry_session_ops_t *self, entry_session_t *session,
		    const msg_token_t *tokens, size_t count)
{
	(void)self;
	(void)session;
	for (size_t i = 0; i < count; i++)
		g_string_append(world.answer, tokens[i].text);
}

static void finished(entry_session_ops_t *self, entry_session_t *session)
{
	(void)self;
	(void)session;
	world.finished = true;
}

static void refused(entry_session_ops_t *self, entry_session_t *session,
		    const entry_refusal_t *refusal)
{
	(void)self;
	(void)session;
	world.refused = true;
	world.not_run = refusal->not_run;
}

static void begin(preset_recovery_t recovery)
{
	const entry_session_params_t params = {
		.session = 7,
		.prompt = "p",
		.layers = HOPS,
		.revision = 5,
		.deadline_ms = 60000,
		.recovery = recovery,
	};
	route_choice_t chain;

	memset(&world, 0, sizeof(world));
	world.ops = (entry_session_ops_t){
		send_message, choose,	replace, may_retry,
		deliver,      finished, refused,
	};
	world.may_retry = true;
	world.answer = g_string_new(NULL);
	world.session = entry_session_new(&params, &world.ops);
	fill_chain(&chain, 'a');
	entry_session_start(world.session, &chain, 0);
}

static void end(void)
{
	entry_session_free(world.session);
	g_string_free(world.answer, TRUE);
}

static void reply(uint32_t attempt, uint32_t hop, refusal_t refusal)
{
	const msg_open_reply_t message = {
		.session = 7, .attempt = attempt, .hop = hop, .refusal = refusal
	};

	entry_session_on_open_reply(world.session, &message, 10);
}

static void accept_all(uint32_t attempt)
{
	for (uint32_t hop = 0; hop < HOPS; hop++)
		reply(attempt, hop, REFUSAL_NONE);
}

static void token(uint32_t attempt, uint32_t index, const char *text, bool last,
		  clock_ms_t now)
{
	const msg_token_t one = { index, text, last };
	const msg_tokens_t message = { .session = 7,
				       .attempt = attempt,
				       .tokens = &one,
				       .token_count = 1 };

	entry_session_on_tokens(world.session, &message, now);
}

static void fail(uint32_t attempt, uint32_t hop)
{
	const msg_session_failed_t message = { 7, attempt, hop, "s", "p", "r" };

	entry_session_on_failed(world.session, &message, 20);
}

static void test_start_after_all_accept(void)
{
	begin(PRESET_RESTART);
	CU_ASSERT_EQUAL(world.sent[MSG_OPEN], HOPS);
	reply(1, 0, REFUSAL_NONE);
	reply(1, 0, REFUSAL_NONE);
	reply(1, 2, REFUSAL_NONE);
	CU_ASSERT_EQUAL(world.sent[MSG_START], 0);
	reply(1, 1, REFUSAL_NONE);
	CU_ASSERT_EQUAL(world.sent[MSG_START], 1);
	end();
}

static void test_tokens_in_order_once(void)
{
	begin(PRESET_RESTART);
	accept_all(1);
	token(1, 0, "a", false, 20);
	token(1, 0, "a", false, 21);
	token(1, 2, "c", false, 22);
	CU_ASSERT_EQUAL(world.sent[MSG_RESUME], 1);
	CU_ASSERT_EQUAL(world.resume_next, 1);
	token(2, 1, "x", false, 23);
	token(1, 1, "b", false, 24);
	token(1, 2, "c", true, 25);
	token(1, 3, "d", false, 26);
	CU_ASSERT_STRING_EQUAL(world.answer->str, "abc");
	CU_ASSERT(world.finished);
	CU_ASSERT_EQUAL(world.sent[MSG_CLOSE], HOPS);
	end();
}

static void test_restart_continues(void)
{
	begin(PRESET_RESTART);
	accept_all(1);
	token(1, 0, "a", false, 20);
	fail(1, 1);
	CU_ASSERT_EQUAL(world.open_attempt, 2);
	CU_ASSERT_EQUAL(world.open_tokens, 1);
	token(1, 1, "old", false, 21);
	fail(1, 1);
	CU_ASSERT_EQUAL(entry_session_attempt(world.session), 2);
	accept_all(2);
	token(2, 1, "b", true, 22);
	CU_ASSERT_STRING_EQUAL(world.answer->str, "ab");
	CU_ASSERT(world.finished);
	end();
}

static void test_replay_replaces_one_hop(void)
{
	begin(PRESET_REPLAY);
	accept_all(1);
	token(1, 0, "a", false, 20);
	fail(1, 1);
	CU_ASSERT_EQUAL(world.replacements, 1);
	CU_ASSERT_EQUAL(world.choices, 0);
	CU_ASSERT_EQUAL(world.sent[MSG_OPEN], HOPS + 1);
	CU_ASSERT_EQUAL(world.sent[MSG_REROUTE], 0);
	reply(2, 1, REFUSAL_NONE);
	CU_ASSERT_EQUAL(world.sent[MSG_REROUTE], HOPS - 1);
	CU_ASSERT_EQUAL(world.sent[MSG_START], 1);
	token(2, 1, "b", false, 22);
	reply(2, 0, REFUSAL_NO_SESSION);
	CU_ASSERT_EQUAL(world.choices, 1);
	CU_ASSERT_EQUAL(world.open_attempt, 3);
	CU_ASSERT_EQUAL(world.open_tokens, 2);
	end();
}

static void test_refused_before_start_is_not_run(void)
{
	begin(PRESET_RESTART);
	world.choose_result = ROUTE_FULL;
	reply(1, 1, REFUSAL_BUSY);
	entry_session_tick(world.session, 5000);
	CU_ASSERT_FALSE(world.refused);
	entry_session_tick(world.session, 60000);
	CU_ASSERT(world.refused);
	CU_ASSERT(world.not_run);
	end();
}

static void test_refused_after_start_is_unknown(void)
{
	begin(PRESET_RESTART);
	accept_all(1);
	world.may_retry = false;
	fail(1, 2);
	CU_ASSERT(world.refused);
	CU_ASSERT_FALSE(world.not_run);
	end();
}

/* The agent knows a newer configuration: the entry waits for it. */
static void test_old_revision_waits(void)
{
	begin(PRESET_RESTART);
	world.may_retry = false;
	reply(1, 1, REFUSAL_OLD_REVISION);
	CU_ASSERT_FALSE(world.refused);
	CU_ASSERT_EQUAL(world.choices, 0);
	entry_session_set_revision(world.session, 6);
	entry_session_tick(world.session, 100);
	CU_ASSERT_EQUAL(world.choices, 1);
	CU_ASSERT_EQUAL(world.open_revision, 6);
	accept_all(2);
	CU_ASSERT_EQUAL(world.sent[MSG_START], 1);
	end();
}

/* While tokens come, a lost connection to a hop costs nothing. */
static void test_slow_is_not_lost(void)
{
	begin(PRESET_RESTART);
	accept_all(1);
	entry_session_on_agent_down(world.session, "a1:1", 100);
	for (uint32_t i = 0; i < 10; i++) {
		token(1, i, "t", false, 100 + 250 * (clock_ms_t)i);
		entry_session_tick(world.session, 300 + 250 * (clock_ms_t)i);
	}
	CU_ASSERT_EQUAL(entry_session_attempt(world.session), 1);
	entry_session_tick(world.session, 2650);
	CU_ASSERT_EQUAL(entry_session_attempt(world.session), 2);
	end();
}

static void test_lost_messages_are_sent_again(void)
{
	begin(PRESET_RESTART);
	entry_session_on_agent_up(world.session, "a1:1", 5);
	CU_ASSERT_EQUAL(world.sent[MSG_OPEN], HOPS + 1);
	accept_all(1);
	entry_session_on_agent_down(world.session, "a0:1", 100);
	entry_session_on_agent_up(world.session, "a0:1", 150);
	CU_ASSERT_EQUAL(world.sent[MSG_START], 2);
	CU_ASSERT_EQUAL(world.sent[MSG_RESUME], 1);
	entry_session_tick(world.session, 1000);
	CU_ASSERT_EQUAL(entry_session_attempt(world.session), 1);
	end();
}

static const unit_test_t tests[] = {
	{ "start after all accept", test_start_after_all_accept },
	{ "tokens in order, once", test_tokens_in_order_once },
	{ "a restart continues", test_restart_continues },
	{ "a replay replaces one hop", test_replay_replaces_one_hop },
	{ "refused before start is not run",
	  test_refused_before_start_is_not_run },
	{ "refused after start is unknown",
	  test_refused_after_start_is_unknown },
	{ "an old revision waits", test_old_revision_waits },
	{ "slow is not lost", test_slow_is_not_lost },
	{ "lost messages are sent again", test_lost_messages_are_sent_again },
};

int main(void)
{
	return unit_run("entry_session", tests, ARRAY_SIZE(tests));
}
