/* Unit tests of the explanation of a request. */
#include "unit.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/trace/explain.h"

static const route_choice_t choice = {
	.hops = { { .endpoint = "r1", .first_layer = 0, .end_layer = 16 },
		  { .endpoint = "r2", .first_layer = 16, .end_layer = 48 } },
	.hop_count = 2,
	.expected_ms = 12.25,
	.alternatives = 6,
	.full = 1,
};

static void add_all_events(explain_t *explain)
{
	static const preset_contract_t contract = {
		.customer = (char *)"loja",
		.guarantee_sessions = 1,
		.deserved_sessions = 2,
		.capability_sessions = 3,
	};
	const route_hop_t replacement = { .endpoint = "r3" };

	explain_request(explain, "loja", "modelo");
	explain_preset(explain, "day", 7, &contract);
	explain_queued(explain, 4, 1100);
	explain_admitted(explain, 1200);
	explain_chain_chosen(explain, &choice, 1250);
	explain_endpoint_lost(explain, "r2", "the connection fell\nsilent",
			      2000);
	explain_endpoint_replaced(explain, "r2", &replacement, 37, 2100);
	explain_answered(explain, 212, 5000);
}

static void test_complete_explanation(void)
{
	static const char *const expected_parts[] = {
		"\"request_id\": \"q-1\"",
		"Customer loja asked for modelo.",
		"Preset day was in force (revision 7); it grants loja 1",
		"2 as its fair share and 3 at most",
		"After 0.100 s it was put in the queue",
		"r1 (layers 0 to 15), then r2 (layers 16 to 47)",
		"6 endpoints were possible, 1 of them full",
		"endpoint r2 was lost: the connection fell silent.",
		"r3 took the place of r2",
		"delivered: 212 tokens.",
	};
	explain_log_t log;
	explain_t explain;
	char *text;

	explain_log_init(&log, EXPLAIN_LOG_BYTES_MAX);
	explain_init(&explain, "q-1", 1000);
	add_all_events(&explain);
	explain_log_add(&log, &explain);
	explain_finish(&explain);
	text = explain_log_find(&log, "q-1");
	if (text == NULL)
		abort();
	for (size_t i = 0; i < ARRAY_SIZE(expected_parts); i++)
		CU_ASSERT_PTR_NOT_NULL(strstr(text, expected_parts[i]));
	free(text);
	CU_ASSERT_PTR_NULL(explain_log_find(&log, "q-2"));
	explain_log_finish(&log);
}

static void test_refused_request(void)
{
	err_t err = ERR_INIT;
	explain_t explain;

	err_set(&err, ERR_OVERLOAD, "admit", "a1", "the queue is full");
	explain_init(&explain, "q-1", 0);
	explain_refused(&explain, &err, true, 1500, 250);
	CU_ASSERT_STRING_EQUAL(
		explain.text->str,
		"After 0.250 s it was refused at step admit with a1: the queue "
		"is full.\nIt was not run.\n"
		"The caller was told to come back after 1.5 s.\n");
	explain_finish(&explain);
	explain_init(&explain, "q-2", 0);
	explain_refused(&explain, &err, false, 0, 250);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(explain.text->str, "It is unknown whether it ran"));
	CU_ASSERT_PTR_NULL(strstr(explain.text->str, "not run"));
	explain_finish(&explain);
}

static void test_service_calls(void)
{
	explain_t explain;

	explain_init(&explain, "q-1", 0);
	explain_key_reserved(&explain, 10);
	explain_call_sent(&explain, "p1", false, 20);
	explain_call_not_run(&explain, "p1", "it is leaving", 30);
	explain_call_sent(&explain, "p2", true, 40);
	explain_result_reused(&explain, 50);
	explain_cancelled(&explain, 60);
	CU_ASSERT_STRING_EQUAL(
		explain.text->str,
		"After 0.010 s its key was reserved in the ledger, so that no "
		"other entry runs the same call.\n"
		"After 0.020 s the call was sent to p1; it may run once only, "
		"so it is not sent again unless it provably did not run.\n"
		"After 0.030 s p1 said that it did not run the call (it is "
		"leaving), so it may be sent elsewhere.\n"
		"After 0.040 s the call was sent to p2; it may be repeated.\n"
		"After 0.050 s the ledger said that a call with this key had "
		"run before; it was not run again, and the caller got the "
		"recorded answer.\n"
		"After 0.060 s the caller went away; what was left was "
		"stopped.\n");
	explain_finish(&explain);
}

static void test_sentences_are_bounded(void)
{
	explain_t explain;
	size_t len;

	explain_init(&explain, "q-1", 0);
	for (unsigned i = 0; i < EXPLAIN_SENTENCES_MAX; i++)
		explain_admitted(&explain, i);
	len = explain.text->len;
	explain_admitted(&explain, 1);
	CU_ASSERT_EQUAL(explain.text->len, len);
	CU_ASSERT_PTR_NOT_NULL(strstr(explain.text->str, "left out"));
	explain_finish(&explain);
}

static void test_log_is_bounded(void)
{
	explain_log_t log;
	explain_t explain;
	char id[16];
	char *text;

	explain_log_init(&log, 10000);
	for (unsigned i = 0; i < 500; i++) {
		snprintf(id, sizeof(id), "q-%u", i);
		explain_init(&explain, id, 0);
		explain_request(&explain, "loja", "modelo");
		explain_log_add(&log, &explain);
		explain_log_add(&log, &explain);
		explain_finish(&explain);
		CU_ASSERT(log.bytes <= 10000);
	}
	CU_ASSERT(log.records.length > 10);
	CU_ASSERT_EQUAL(log.records.length, g_hash_table_size(log.by_id));
	CU_ASSERT_PTR_NULL(explain_log_find(&log, "q-0"));
	text = explain_log_find(&log, "q-499");
	CU_ASSERT_PTR_NOT_NULL(text);
	free(text);
	explain_log_finish(&log);
}

static const unit_test_t tests[] = {
	{ "complete explanation", test_complete_explanation },
	{ "refusal", test_refused_request },
	{ "calls", test_service_calls },
	{ "sentences are bounded", test_sentences_are_bounded },
	{ "log is bounded", test_log_is_bounded },
};

int main(void)
{
	return unit_run("explain", tests, ARRAY_SIZE(tests));
}
