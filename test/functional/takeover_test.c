/* An entry dies; its callers pick their streams up through another one. */
#include "../unit/unit.h"

#include <signal.h>
#include <string.h>

#include "fakes/answer.h"
#include "harness/journal.h"

#define STREAMS 20
#define LAYERS 12
#define STEP_US 4000
#define KILL_AFTER_EVENTS 5

static harness_t harness;
static cluster_t cluster;
static http_client_t client;
static const http_request_t *begun[STREAMS];
static const http_request_t *resumed[STREAMS];

static char *prompt_of(size_t index)
{
	return g_strdup_printf("letter to family %zu", index);
}

static const http_request_t *resume(size_t entry, const char *event_id)
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

static void start(void)
{
	static const cluster_params_t params = {
		.entries = 3,
		.endpoints_per_range = 1,
		.layers = LAYERS,
		.step_us = STEP_US,
	};

	cluster_init(&cluster, &harness, &params);
	cluster_write(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	http_client_init(&client);
}

static void begin_streams(void)
{
	for (size_t i = 0; i < STREAMS; i++) {
		char *prompt = prompt_of(i);

		begun[i] = cluster_ask(&cluster, &client, 0, prompt, 0, true);
		g_free(prompt);
	}
	for (size_t i = 0; i < STREAMS; i++)
		CU_ASSERT(http_wait_events(&client, begun[i], KILL_AFTER_EVENTS,
					   HARNESS_WAIT_MS));
}

static void check_answer(size_t index)
{
	char *prompt = prompt_of(index);
	char *expected = answer_text(prompt, LAYERS, 0, NULL);
	char *got = g_strconcat(begun[index]->answer->str,
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
		resumed[i] = resume(first + i % count, begun[i]->last_event_id);
	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
}

/* Callers lose their connections; the same entry or another goes on. */
static void test_callers_come_back(void)
{
	start();
	begin_streams();
	for (size_t i = 0; i < STREAMS; i++)
		http_cancel(&client, (http_request_t *)begun[i]);
	resume_streams(0, cluster.entry_count);
	for (size_t i = 0; i < STREAMS; i++)
		check_answer(i);
	http_client_finish(&client);
	for (size_t i = 0; i < cluster.entry_count; i++)
		harness_kill(cluster.entries[i].process);
	for (size_t i = 0; i < cluster.endpoint_count; i++)
		cluster_kill_endpoint(&cluster.endpoints[i]);
}

static void test_streams_go_on(void)
{
	journal_t journal;

	start();
	begin_streams();
	harness_kill(cluster.entries[0].process);
	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
	resume_streams(1, 2);
	journal_init(&journal, LAYERS);
	for (size_t i = 0; i < STREAMS; i++) {
		check_answer(i);
		journal_expect(&journal, begun[i]->events + resumed[i]->events);
	}
	journal_read_cluster(&journal, &cluster);
	CU_ASSERT(journal_check(&journal));
	journal_finish(&journal);
}

/* A stream that nobody knows is refused, not begun again. */
static void test_unknown_stream(void)
{
	const http_request_t *unknown =
		resume(1, "00000000000000ff.range-0-0.3");
	const http_request_t *malformed = resume(1, "nonsense");

	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(unknown->status, 404);
	CU_ASSERT_PTR_NOT_NULL(strstr(unknown->body->str, "unknown"));
	CU_ASSERT_EQUAL(malformed->status, 404);
	http_client_finish(&client);
}

static const unit_test_t tests[] = {
	{ "callers that lost their connection come back",
	  test_callers_come_back },
	{ "streams go on through another entry", test_streams_go_on },
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
