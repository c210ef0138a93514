/*
 * Tests that callers resume their streams, after the last event that they
 * received, after their entry was killed or their connections broke.
 */
#include "../unit/unit.h"

#include <signal.h>
#include <string.h>

#include "fakes/answer.h"
#include "harness/journal.h"

#define STREAMS 20
#define LAYERS 12
#define STEP_US 4000
/* Events that each stream has received when a fault is injected. */
#define FAULT_AFTER_EVENTS 5

static harness_t harness;
static cluster_t cluster;
static http_client_t client;
static const http_request_t *started[STREAMS];
static const http_request_t *resumed[STREAMS];

static char *make_prompt(size_t index)
{
	return g_strdup_printf("letter to family %zu", index);
}

static const http_request_t *send_resume(size_t entry, const char *event_id)
{
	const char *const headers[] = {
		harness_string(&harness, "Last-Event-ID: %s", event_id),
		NULL,
	};
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s/v1/completions",
				      cluster.entries[entry].http),
		.api_key = CLUSTER_API_KEY,
		.body = "{\"model\":\"" CLUSTER_MODEL "\","
			"\"prompt\":\"again\",\"stream\":true}",
		.headers = headers,
	};

	return http_send(&client, &params);
}

static void start_cluster(void)
{
	static const cluster_params_t params = {
		.entries = 3,
		.endpoints_per_range = 1,
		.layers = LAYERS,
		.step_us = STEP_US,
	};

	cluster_init(&cluster, &harness, &params);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	http_client_init(&client);
}

static void start_streams(void)
{
	for (size_t i = 0; i < STREAMS; i++) {
		char *prompt = make_prompt(i);

		started[i] = cluster_send_request(&cluster, &client, 0, prompt,
						  0, true);
		g_free(prompt);
	}
	for (size_t i = 0; i < STREAMS; i++)
		CU_ASSERT(http_wait_events(&client, started[i],
					   FAULT_AFTER_EVENTS,
					   HARNESS_WAIT_MS));
}

static void check_resumed_answer(size_t index)
{
	char *prompt = make_prompt(index);
	char *expected = answer_text(prompt, LAYERS, 0, NULL);
	char *got = g_strconcat(started[index]->answer->str,
				resumed[index]->answer->str, NULL);

	CU_ASSERT(resumed[index]->ended);
	CU_ASSERT_STRING_EQUAL(got, expected);
	g_free(got);
	g_free(expected);
	g_free(prompt);
}

/* Resumes each stream through one of "count" entries from "first" on. */
static void resume_streams(size_t first, size_t count)
{
	for (size_t i = 0; i < STREAMS; i++)
		resumed[i] = send_resume(first + i % count,
					 started[i]->last_event_id);
	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
}

static bool all_callers_disconnected(void *user)
{
	(void)user;
	return cluster_read_metric(cluster.entries[0].metrics,
				   "wisteria_callers_gone_total") >= STREAMS;
}

/* Callers lose their connections and resume at the same or another entry. */
static void test_callers_resume_after_disconnect(void)
{
	start_cluster();
	start_streams();
	for (size_t i = 0; i < STREAMS; i++)
		http_cancel(&client, (http_request_t *)started[i]);
	CU_ASSERT(harness_wait_until(all_callers_disconnected, NULL,
				     HARNESS_WAIT_MS));
	resume_streams(0, cluster.entry_count);
	for (size_t i = 0; i < STREAMS; i++)
		check_resumed_answer(i);
	http_client_finish(&client);
	for (size_t i = 0; i < cluster.entry_count; i++)
		harness_kill(cluster.entries[i].process);
	for (size_t i = 0; i < cluster.endpoint_count; i++)
		cluster_kill_endpoint(&cluster.endpoints[i]);
}

static void test_streams_resume_after_entry_loss(void)
{
	journal_t journal;

	start_cluster();
	start_streams();
	harness_kill(cluster.entries[0].process);
	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
	resume_streams(1, 2);
	journal_init(&journal, LAYERS);
	for (size_t i = 0; i < STREAMS; i++) {
		check_resumed_answer(i);
		journal_expect(&journal,
			       started[i]->events + resumed[i]->events);
	}
	journal_read_cluster(&journal, &cluster);
	CU_ASSERT(journal_check(&journal));
	journal_finish(&journal);
}

/* A stream that no entry or agent knows is refused, not started anew. */
static void test_unknown_stream(void)
{
	const http_request_t *unknown =
		send_resume(1, "00000000000000ff.range-0-0.3");
	const http_request_t *malformed = send_resume(1, "nonsense");

	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(unknown->status, 404);
	CU_ASSERT_PTR_NOT_NULL(strstr(unknown->body->str, "unknown"));
	CU_ASSERT_EQUAL(malformed->status, 404);
	http_client_finish(&client);
}

static const unit_test_t tests[] = {
	{ "callers that lost their connection come back",
	  test_callers_resume_after_disconnect },
	{ "streams go on through another entry",
	  test_streams_resume_after_entry_loss },
	{ "an unknown stream is refused", test_unknown_stream },
};

int main(void)
{
	int status;

	harness_init(&harness, "takeover");
	status = unit_run("takeover", tests, ARRAY_SIZE(tests));
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
