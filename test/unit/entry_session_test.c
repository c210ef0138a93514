/* Unit tests of the session of an entry. */
#include "unit.h"

#include <string.h>

#include <glib.h>

#include "wisteria/session/entry_session.h"

#define HOPS 3

/* Records the callbacks of the session and sets their results. */
typedef struct {
	entry_session_ops_t ops; /* first member */
	entry_session_t *session;
	uint32_t sent[MSG_TYPE_COUNT];
	uint32_t open_attempt;
	uint64_t open_revision;
	size_t open_tokens; /* of the last MSG_OPEN to hop 0 */
	uint32_t resume_next;
	uint32_t choices;
	uint32_t replacements;
	route_result_t choose_result;
	bool may_retry;
	GString *answer;
	bool finished;
	bool refused;
	bool not_run;
} recorder_t;

static recorder_t recorder;

static void send_message(entry_session_ops_t *self, entry_session_t *session,
			 const route_hop_t *hop, msg_type_t type,
			 const void *body)
{
	const msg_open_t *open = body;

	(void)self;
	(void)session;
	(void)hop;
	recorder.sent[type]++;
	if (type == MSG_OPEN) {
		recorder.open_attempt = open->attempt;
		recorder.open_revision = open->revision;
		if (open->hop == 0)
			recorder.open_tokens = open->token_count;
	} else if (type == MSG_RESUME) {
		recorder.resume_next = ((const msg_tokens_ack_t *)body)->next;
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
	recorder.choices++;
	fill_chain(choice, 'b');
	return recorder.choose_result;
}

static route_result_t replace(entry_session_ops_t *self,
			      entry_session_t *session, size_t lost_hop,
			      route_hop_t *replacement)
{
	route_choice_t chain;

	(void)self;
	(void)session;
	recorder.replacements++;
	fill_chain(&chain, 'c');
	*replacement = chain.hops[lost_hop];
	return ROUTE_FOUND;
}

static bool may_retry(entry_session_ops_t *self, entry_session_t *session)
{
	(void)self;
	(void)session;
	return recorder.may_retry;
}

static void deliver(entry_session_ops_t *self, entry_session_t *session,
		    const msg_token_t *tokens, size_t count)
{
	(void)self;
	(void)session;
	for (size_t i = 0; i < count; i++)
		g_string_append(recorder.answer, tokens[i].text);
}

static void finished(entry_session_ops_t *self, entry_session_t *session)
{
	(void)self;
	(void)session;
	recorder.finished = true;
}

static void refused(entry_session_ops_t *self, entry_session_t *session,
		    const entry_refusal_t *refusal)
{
	(void)self;
	(void)session;
	recorder.refused = true;
	recorder.not_run = refusal->not_run;
}

static void setup(preset_recovery_t recovery)
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

	memset(&recorder, 0, sizeof(recorder));
	recorder.ops = (entry_session_ops_t){
		send_message, choose,	replace, may_retry,
		deliver,      finished, refused,
	};
	recorder.may_retry = true;
	recorder.answer = g_string_new(NULL);
	recorder.session = entry_session_new(&params, &recorder.ops);
	fill_chain(&chain, 'a');
	entry_session_start(recorder.session, &chain, 0);
}

static void teardown(void)
{
	entry_session_free(recorder.session);
	g_string_free(recorder.answer, TRUE);
}

static void receive_open_reply(uint32_t attempt, uint32_t hop,
			       refusal_t refusal)
{
	const msg_open_reply_t message = {
		.session = 7, .attempt = attempt, .hop = hop, .refusal = refusal
	};

	entry_session_on_open_reply(recorder.session, &message, 10);
}

static void accept_all_hops(uint32_t attempt)
{
	for (uint32_t hop = 0; hop < HOPS; hop++)
		receive_open_reply(attempt, hop, REFUSAL_NONE);
}

static void receive_token(uint32_t attempt, uint32_t index, const char *text,
			  bool last, clock_ms_t now)
{
	const msg_token_t one = { index, text, last };
	const msg_tokens_t message = { .session = 7,
				       .attempt = attempt,
				       .tokens = &one,
				       .token_count = 1 };

	entry_session_on_tokens(recorder.session, &message, now);
}

static void receive_failure(uint32_t attempt, uint32_t hop)
{
	const msg_session_failed_t message = { 7, attempt, hop, "s", "p", "r" };

	entry_session_on_failed(recorder.session, &message, 20);
}

static void test_start_after_all_accept(void)
{
	setup(PRESET_RESTART);
	CU_ASSERT_EQUAL(recorder.sent[MSG_OPEN], HOPS);
	receive_open_reply(1, 0, REFUSAL_NONE);
	receive_open_reply(1, 0, REFUSAL_NONE);
	receive_open_reply(1, 2, REFUSAL_NONE);
	CU_ASSERT_EQUAL(recorder.sent[MSG_START], 0);
	receive_open_reply(1, 1, REFUSAL_NONE);
	CU_ASSERT_EQUAL(recorder.sent[MSG_START], 1);
	teardown();
}

static void test_tokens_in_order_once(void)
{
	setup(PRESET_RESTART);
	accept_all_hops(1);
	receive_token(1, 0, "a", false, 20);
	receive_token(1, 0, "a", false, 21);
	receive_token(1, 2, "c", false, 22);
	CU_ASSERT_EQUAL(recorder.sent[MSG_RESUME], 1);
	CU_ASSERT_EQUAL(recorder.resume_next, 1);
	receive_token(2, 1, "x", false, 23);
	receive_token(1, 1, "b", false, 24);
	receive_token(1, 2, "c", true, 25);
	receive_token(1, 3, "d", false, 26);
	CU_ASSERT_STRING_EQUAL(recorder.answer->str, "abc");
	CU_ASSERT(recorder.finished);
	CU_ASSERT_EQUAL(recorder.sent[MSG_CLOSE], HOPS);
	teardown();
}

static void test_restart_continues_after_delivered(void)
{
	setup(PRESET_RESTART);
	accept_all_hops(1);
	receive_token(1, 0, "a", false, 20);
	receive_failure(1, 1);
	CU_ASSERT_EQUAL(recorder.open_attempt, 2);
	CU_ASSERT_EQUAL(recorder.open_tokens, 1);
	receive_token(1, 1, "old", false, 21);
	receive_failure(1, 1);
	CU_ASSERT_EQUAL(entry_session_attempt(recorder.session), 2);
	accept_all_hops(2);
	receive_token(2, 1, "b", true, 22);
	CU_ASSERT_STRING_EQUAL(recorder.answer->str, "ab");
	CU_ASSERT(recorder.finished);
	teardown();
}

static void test_replay_replaces_one_hop(void)
{
	setup(PRESET_REPLAY);
	accept_all_hops(1);
	receive_token(1, 0, "a", false, 20);
	receive_failure(1, 1);
	CU_ASSERT_EQUAL(recorder.replacements, 1);
	CU_ASSERT_EQUAL(recorder.choices, 0);
	CU_ASSERT_EQUAL(recorder.sent[MSG_OPEN], HOPS + 1);
	CU_ASSERT_EQUAL(recorder.sent[MSG_REROUTE], 0);
	receive_open_reply(2, 1, REFUSAL_NONE);
	CU_ASSERT_EQUAL(recorder.sent[MSG_REROUTE], HOPS - 1);
	CU_ASSERT_EQUAL(recorder.sent[MSG_START], 1);
	receive_token(2, 1, "b", false, 22);
	receive_open_reply(2, 0, REFUSAL_NO_SESSION);
	CU_ASSERT_EQUAL(recorder.choices, 1);
	CU_ASSERT_EQUAL(recorder.open_attempt, 3);
	CU_ASSERT_EQUAL(recorder.open_tokens, 2);
	teardown();
}

static void test_refused_before_start_is_not_run(void)
{
	setup(PRESET_RESTART);
	recorder.choose_result = ROUTE_FULL;
	receive_open_reply(1, 1, REFUSAL_BUSY);
	entry_session_tick(recorder.session, 5000);
	CU_ASSERT_FALSE(recorder.refused);
	entry_session_tick(recorder.session, 60000);
	CU_ASSERT(recorder.refused);
	CU_ASSERT(recorder.not_run);
	teardown();
}

static void test_refused_after_start_may_have_run(void)
{
	setup(PRESET_RESTART);
	accept_all_hops(1);
	recorder.may_retry = false;
	receive_failure(1, 2);
	CU_ASSERT(recorder.refused);
	CU_ASSERT_FALSE(recorder.not_run);
	teardown();
}

/*
 * A hop that is lost before MSG_START has run nothing, so that another attempt
 * is none that the retry budget limits.
 */
static void test_loss_before_start_uses_no_retry_budget(void)
{
	setup(PRESET_RESTART);
	recorder.may_retry = false;
	receive_failure(1, 1);
	CU_ASSERT_FALSE(recorder.refused);
	CU_ASSERT_EQUAL(entry_session_attempt(recorder.session), 2);
	for (uint32_t attempt = 2; attempt < 10; attempt++)
		receive_failure(attempt, 1);
	/* After a few in a row, chains are chosen at intervals only. */
	CU_ASSERT_FALSE(recorder.refused);
	CU_ASSERT(entry_session_attempt(recorder.session) < 10);
	entry_session_tick(recorder.session, 60000);
	CU_ASSERT(recorder.refused);
	CU_ASSERT(recorder.not_run);
	teardown();
}

/* An agent has a newer configuration: the entry waits until it has it too. */
static void test_old_revision_waits_for_configuration(void)
{
	setup(PRESET_RESTART);
	recorder.may_retry = false;
	receive_open_reply(1, 1, REFUSAL_OLD_REVISION);
	CU_ASSERT_FALSE(recorder.refused);
	CU_ASSERT_EQUAL(recorder.choices, 0);
	entry_session_set_revision(recorder.session, 6);
	entry_session_tick(recorder.session, 100);
	CU_ASSERT_EQUAL(recorder.choices, 1);
	CU_ASSERT_EQUAL(recorder.open_revision, 6);
	accept_all_hops(2);
	CU_ASSERT_EQUAL(recorder.sent[MSG_START], 1);
	teardown();
}

/* A hop with a lost connection is not lost while tokens are received. */
static void test_down_hop_with_tokens_is_not_lost(void)
{
	setup(PRESET_RESTART);
	accept_all_hops(1);
	entry_session_on_agent_down(recorder.session, "a1:1", 100);
	for (uint32_t i = 0; i < 10; i++) {
		receive_token(1, i, "t", false, 100 + 250 * (clock_ms_t)i);
		entry_session_tick(recorder.session, 300 + 250 * (clock_ms_t)i);
	}
	CU_ASSERT_EQUAL(entry_session_attempt(recorder.session), 1);
	entry_session_tick(recorder.session, 2650);
	CU_ASSERT_EQUAL(entry_session_attempt(recorder.session), 2);
	teardown();
}

static void test_lost_messages_are_sent_again(void)
{
	setup(PRESET_RESTART);
	entry_session_on_agent_up(recorder.session, "a1:1", 5);
	CU_ASSERT_EQUAL(recorder.sent[MSG_OPEN], HOPS + 1);
	accept_all_hops(1);
	entry_session_on_agent_down(recorder.session, "a0:1", 100);
	entry_session_on_agent_up(recorder.session, "a0:1", 150);
	CU_ASSERT_EQUAL(recorder.sent[MSG_START], 2);
	CU_ASSERT_EQUAL(recorder.sent[MSG_RESUME], 1);
	entry_session_tick(recorder.session, 1000);
	CU_ASSERT_EQUAL(entry_session_attempt(recorder.session), 1);
	teardown();
}

static const unit_test_t tests[] = {
	{ "start after all accept", test_start_after_all_accept },
	{ "tokens in order, once", test_tokens_in_order_once },
	{ "a restart continues after the delivered tokens",
	  test_restart_continues_after_delivered },
	{ "a replay replaces one hop", test_replay_replaces_one_hop },
	{ "refused before start is not run",
	  test_refused_before_start_is_not_run },
	{ "refused after start may have run",
	  test_refused_after_start_may_have_run },
	{ "a loss before start uses no retry budget",
	  test_loss_before_start_uses_no_retry_budget },
	{ "an old revision waits for the new configuration",
	  test_old_revision_waits_for_configuration },
	{ "a hop that is down is not lost while tokens arrive",
	  test_down_hop_with_tokens_is_not_lost },
	{ "lost messages are sent again", test_lost_messages_are_sent_again },
};

int main(void)
{
	return unit_run("entry_session", tests, ARRAY_SIZE(tests));
}
