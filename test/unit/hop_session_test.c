/* Unit tests of one hop of a session. */
#include "unit.h"

#include <string.h>

#include <glib.h>

#include "wisteria/session/hop_session.h"

#define LARGE_BYTES (700u << 10)

/* Records the callbacks of the session. */
typedef struct {
	hop_session_ops_t ops; /* first member */
	uint32_t runs;
	hop_work_t work; /* of the last run */
	uint32_t forget_count;
	uint32_t sent[MSG_TYPE_COUNT];
	uint32_t step_first;
	size_t step_count;
	uint32_t ack_next;
	bool ack_resend;
	msg_token_t token;
	char token_text[32];
	uint32_t failed_hop;
	uint32_t refusal;
} recorder_t;

static recorder_t recorder;

static void run(hop_session_ops_t *self, hop_session_t *session,
		const hop_work_t *work)
{
	(void)self;
	(void)session;
	recorder.runs++;
	recorder.work = *work;
}

static void forget(hop_session_ops_t *self, hop_session_t *session)
{
	(void)self;
	(void)session;
	recorder.forget_count++;
}

static void record_token(const msg_token_t *token)
{
	recorder.token = *token;
	g_strlcpy(recorder.token_text, token->text,
		  sizeof(recorder.token_text));
}

static void record_message(msg_type_t type, const void *body)
{
	const msg_step_t *step = body;
	const msg_step_ack_t *ack = body;
	const msg_tokens_t *tokens = body;

	recorder.sent[type]++;
	if (type == MSG_STEP) {
		recorder.step_first = step->first_position;
		recorder.step_count = step->position_count;
	} else if (type == MSG_STEP_ACK) {
		recorder.ack_next = ack->next;
		recorder.ack_resend = ack->resend;
	} else if (type == MSG_STEP_RESULT) {
		record_token(&((const msg_step_result_t *)body)->token);
	} else if (type == MSG_TOKENS) {
		record_token(&tokens->tokens[tokens->token_count - 1]);
	} else if (type == MSG_SESSION_FAILED) {
		recorder.failed_hop = ((const msg_session_failed_t *)body)->hop;
	} else if (type == MSG_OPEN_REPLY) {
		recorder.refusal = ((const msg_open_reply_t *)body)->refusal;
	}
}

static void send_hop(hop_session_ops_t *self, hop_session_t *session,
		     uint32_t hop, msg_type_t type, const void *body)
{
	(void)self;
	(void)session;
	(void)hop;
	record_message(type, body);
}

static void send_entry(hop_session_ops_t *self, hop_session_t *session,
		       msg_type_t type, const void *body)
{
	(void)self;
	(void)session;
	record_message(type, body);
}

static const msg_hop_t hops[] = {
	{ .endpoint = "a", .address = "1", .end_layer = 4 },
	{ .endpoint = "b", .address = "2", .first_layer = 4, .end_layer = 8 },
	{ .endpoint = "c", .address = "3", .first_layer = 8, .end_layer = 12 },
};

static hop_session_t *new_session_of(uint32_t hop, uint32_t hop_count,
				     bool is_replacement)
{
	const msg_open_t open = {
		.session = 7,
		.attempt = 2,
		.max_tokens = 3,
		.hop = hop,
		.hops = hops,
		.hop_count = hop_count,
		.prompt = "prompt",
		.is_replacement = is_replacement,
	};

	memset(&recorder, 0, sizeof(recorder));
	recorder.ops = (hop_session_ops_t){ run, forget, send_hop, send_entry };
	return hop_session_new(&open, &recorder.ops);
}

static hop_session_t *new_session(uint32_t hop, uint32_t hop_count)
{
	return new_session_of(hop, hop_count, false);
}

static void receive_step(hop_session_t *session, uint32_t attempt,
			 uint32_t first, size_t count)
{
	msg_position_t positions[8];
	const msg_step_t step = {
		.session = 7,
		.attempt = attempt,
		.hop = 1,
		.first_position = first,
		.positions = positions,
		.position_count = count,
	};

	for (size_t i = 0; i < count; i++)
		positions[i].activations =
			(bytes_t){ (const uint8_t *)"in", 2 };
	hop_session_on_step(session, &step, 0);
}

static void complete_run(hop_session_t *session, size_t count, size_t bytes)
{
	uint8_t *data = g_malloc0(bytes);
	msg_position_t positions[8];
	const hop_result_t result = { .positions = positions,
				      .position_count = count };

	for (size_t i = 0; i < count; i++)
		positions[i].activations = (bytes_t){ data, bytes };
	hop_session_on_engine_done(session, recorder.work.attempt, &result, 0);
	g_free(data);
}

static void complete_run_with_token(hop_session_t *session, const char *text,
				    bool last)
{
	const hop_result_t result = { .text = text, .last = last };

	hop_session_on_engine_done(session, recorder.work.attempt, &result, 0);
}

static void receive_step_ack(hop_session_t *session, uint32_t next, bool resend)
{
	const msg_step_ack_t message = { 7, 2, 2, next, resend };

	hop_session_on_step_ack(session, &message, 0);
}

static void test_only_the_next_position_runs(void)
{
	hop_session_t *session = new_session(1, 3);

	receive_step(session, 2, 1, 1);
	CU_ASSERT_EQUAL(recorder.runs, 0);
	CU_ASSERT(recorder.ack_resend);
	CU_ASSERT_EQUAL(recorder.ack_next, 0);
	receive_step(session, 1, 0, 1);
	receive_step(session, 3, 0, 1);
	CU_ASSERT_EQUAL(recorder.runs, 0);
	receive_step(session, 2, 0, 2);
	CU_ASSERT_EQUAL(recorder.runs, 1);
	CU_ASSERT_EQUAL(recorder.work.position_count, 2);
	receive_step(session, 2, 0, 2);
	CU_ASSERT_EQUAL(recorder.runs, 1);
	complete_run(session, 2, 4);
	CU_ASSERT_EQUAL(recorder.sent[MSG_STEP], 1);
	receive_step(session, 2, 1, 1);
	CU_ASSERT_EQUAL(recorder.runs, 1);
	CU_ASSERT_EQUAL(recorder.sent[MSG_STEP], 2);
	CU_ASSERT_EQUAL(recorder.step_first, 1);
	receive_step(session, 2, 1, 3);
	CU_ASSERT_EQUAL(recorder.runs, 2);
	CU_ASSERT_EQUAL(recorder.work.first_position, 2);
	CU_ASSERT_EQUAL(recorder.work.position_count, 2);
	hop_session_free(session);
	CU_ASSERT_EQUAL(recorder.forget_count, 1);
}

static void test_first_hop_generates_max_tokens(void)
{
	hop_session_t *session = new_session(0, 1);

	hop_session_on_start(session, 0);
	hop_session_on_start(session, 0);
	CU_ASSERT_EQUAL(recorder.runs, 1);
	complete_run_with_token(session, "one ", false);
	complete_run_with_token(session, "two ", false);
	CU_ASSERT_EQUAL(recorder.runs, 3);
	CU_ASSERT_FALSE(hop_session_has_whole_answer(session));
	complete_run_with_token(session, "three ", false);
	CU_ASSERT(hop_session_has_whole_answer(session));
	CU_ASSERT_EQUAL(recorder.runs, 3);
	CU_ASSERT(recorder.token.last);
	CU_ASSERT_EQUAL(recorder.token.index, 2);
	CU_ASSERT_STRING_EQUAL(recorder.token_text, "three ");
	hop_session_free(session);
}

static void test_results_in_order(void)
{
	hop_session_t *session = new_session(0, 3);
	msg_step_result_t result = { 7, 2, { 1, "late ", false } };

	hop_session_on_start(session, 0);
	complete_run(session, 1, 4);
	hop_session_on_step_result(session, &result, 0);
	CU_ASSERT_EQUAL(recorder.sent[MSG_TOKENS], 0);
	result.token.index = 0;
	result.attempt = 1;
	hop_session_on_step_result(session, &result, 0);
	CU_ASSERT_EQUAL(recorder.sent[MSG_TOKENS], 0);
	result.attempt = 2;
	hop_session_on_step_result(session, &result, 0);
	hop_session_on_step_result(session, &result, 0);
	CU_ASSERT_EQUAL(recorder.sent[MSG_TOKENS], 1);
	CU_ASSERT_EQUAL(recorder.runs, 2);
	hop_session_free(session);
}

static void test_unacknowledged_steps_are_resent(void)
{
	hop_session_t *session = new_session(1, 3);

	receive_step(session, 2, 0, 3);
	complete_run(session, 3, 4);
	receive_step_ack(session, 2, false);
	CU_ASSERT_EQUAL(recorder.sent[MSG_STEP], 1);
	hop_session_on_hop_down(session, 2, 10);
	hop_session_on_hop_up(session, 2, 20);
	CU_ASSERT_EQUAL(recorder.sent[MSG_STEP], 2);
	CU_ASSERT_EQUAL(recorder.step_first, 2);
	CU_ASSERT_EQUAL(recorder.step_count, 1);
	hop_session_tick(session, 10000);
	CU_ASSERT_EQUAL(recorder.sent[MSG_SESSION_FAILED], 0);
	hop_session_on_hop_down(session, 2, 10000);
	hop_session_tick(session, 10299);
	CU_ASSERT_EQUAL(recorder.sent[MSG_SESSION_FAILED], 0);
	hop_session_tick(session, 10300);
	hop_session_tick(session, 10301);
	CU_ASSERT_EQUAL(recorder.sent[MSG_SESSION_FAILED], 1);
	CU_ASSERT_EQUAL(recorder.failed_hop, 2);
	hop_session_free(session);
}

static void receive_reroute(hop_session_t *session, uint32_t attempt,
			    uint32_t replaced)
{
	const msg_reroute_t reroute = {
		.session = 7,
		.attempt = attempt,
		.hop = 1,
		.hops = hops,
		.hop_count = 3,
		.replaced = replaced,
	};

	hop_session_on_reroute(session, &reroute, 0);
}

static void test_reroute_resends_kept_outputs(void)
{
	hop_session_t *session = new_session(1, 3);

	receive_step(session, 2, 0, 3);
	complete_run(session, 3, 4);
	receive_step_ack(session, 3, false);
	receive_reroute(session, 1, 2);
	CU_ASSERT_EQUAL(recorder.refusal, REFUSAL_OLD_ATTEMPT);
	receive_reroute(session, 3, 2);
	CU_ASSERT_EQUAL(recorder.refusal, REFUSAL_NONE);
	CU_ASSERT_EQUAL(hop_session_attempt(session), 3);
	CU_ASSERT_EQUAL(recorder.step_first, 0);
	CU_ASSERT_EQUAL(recorder.step_count, 3);
	CU_ASSERT(recorder.ack_resend);
	receive_step(session, 2, 3, 1);
	CU_ASSERT_EQUAL(recorder.runs, 1);
	receive_step(session, 3, 3, 1);
	CU_ASSERT_EQUAL(recorder.runs, 2);
	CU_ASSERT_EQUAL(recorder.work.sequence, 2);
	hop_session_free(session);
}

static void test_reroute_without_kept_outputs_is_refused(void)
{
	hop_session_t *session = new_session(1, 3);

	receive_step(session, 2, 0, 3);
	complete_run(session, 3, LARGE_BYTES);
	receive_step_ack(session, 3, false);
	receive_reroute(session, 3, 2);
	CU_ASSERT_EQUAL(recorder.refusal, REFUSAL_NO_SESSION);
	CU_ASSERT_EQUAL(hop_session_attempt(session), 2);
	receive_step_ack(session, 0, true);
	CU_ASSERT_EQUAL(recorder.sent[MSG_SESSION_FAILED], 1);
	hop_session_free(session);
}

/*
 * A last hop that replaced another has generated a token anew that the first
 * hop may have gone on from in another form, so no new first hop may get it.
 */
static void test_replaced_last_hop_serves_no_new_first_hop(void)
{
	hop_session_t *session = new_session_of(2, 3, true);

	receive_reroute(session, 3, 1);
	CU_ASSERT_EQUAL(recorder.refusal, REFUSAL_NONE);
	receive_reroute(session, 4, 0);
	CU_ASSERT_EQUAL(recorder.refusal, REFUSAL_NO_SESSION);
	hop_session_free(session);
	session = new_session(2, 3);
	receive_reroute(session, 4, 0);
	CU_ASSERT_EQUAL(recorder.refusal, REFUSAL_NONE);
	hop_session_free(session);
}

static void test_engine_failure_ends_the_hop(void)
{
	hop_session_t *session = new_session(1, 3);

	receive_step(session, 2, 0, 1);
	hop_session_on_engine_failed(session, 2, "gone", 0);
	CU_ASSERT_EQUAL(recorder.failed_hop, 1);
	receive_step(session, 2, 1, 1);
	CU_ASSERT_EQUAL(recorder.runs, 1);
	hop_session_free(session);
}

static const unit_test_t tests[] = {
	{ "only the next position runs", test_only_the_next_position_runs },
	{ "the first hop generates up to max_tokens",
	  test_first_hop_generates_max_tokens },
	{ "results are taken in order", test_results_in_order },
	{ "unacknowledged steps are resent",
	  test_unacknowledged_steps_are_resent },
	{ "a reroute resends kept outputs", test_reroute_resends_kept_outputs },
	{ "a reroute without kept outputs is refused",
	  test_reroute_without_kept_outputs_is_refused },
	{ "a replaced last hop serves no new first hop",
	  test_replaced_last_hop_serves_no_new_first_hop },
	{ "an engine's failure ends the hop",
	  test_engine_failure_ends_the_hop },
};

int main(void)
{
	return unit_run("hop_session", tests, ARRAY_SIZE(tests));
}
