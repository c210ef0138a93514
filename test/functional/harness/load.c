/* Concurrent streams whose answers are checked byte for byte. */
#include "harness/load.h"

#include <stdio.h>
#include <string.h>

#include "fakes/answer.h"
#include "wisteria/base/clock.h"

#define PRINTED_FAULTS_MAX 5
#define POLL_WAIT_MS 20

/* Initializes a load without streams. */
void load_init(load_t *load, cluster_t *cluster)
{
	memset(load, 0, sizeof(*load));
	load->cluster = cluster;
	http_client_init(&load->client);
}

/* Aborts all streams and frees what the load holds. */
void load_finish(load_t *load)
{
	for (guint i = 0; i < load->client.requests->len; i++) {
		http_request_t *request =
			g_ptr_array_index(load->client.requests, i);

		g_free(request->user);
	}
	http_client_finish(&load->client);
}

/* Opens a stream through one entry, with a prompt that no other stream has. */
http_request_t *load_open_stream(load_t *load, size_t entry)
{
	char *prompt =
		g_strdup_printf("quote %u for entry %zu", ++load->sent, entry);
	http_request_t *request = cluster_send_request(
		load->cluster, &load->client, entry, prompt, 0, true);

	request->user = prompt;
	return request;
}

/* Returns the number of events that all streams have delivered. */
uint64_t load_event_count(const load_t *load)
{
	uint64_t events = 0;

	for (guint i = 0; i < load->client.requests->len; i++) {
		const http_request_t *request =
			g_ptr_array_index(load->client.requests, i);

		events += request->events;
	}
	return events;
}

/*
 * Runs until the streams have delivered "events" events in total; returns false
 * if all streams end before that or it takes longer than "limit_ms".
 */
bool load_wait_events(load_t *load, uint64_t events, clock_ms_t limit_ms)
{
	clock_ms_t limit = clock_now(&clock_monotonic) + limit_ms;

	while (load_event_count(load) < events && load->client.open > 0) {
		if (clock_now(&clock_monotonic) >= limit)
			return false;
		http_client_poll(&load->client, POLL_WAIT_MS);
	}
	return load_event_count(load) >= events;
}

static bool matches_answer(const http_request_t *request, const char *expected)
{
	return request->done && request->result == CURLE_OK &&
	       request->status == 200 && request->ended && !request->failed &&
	       strcmp(request->answer->str, expected) == 0;
}

static char *expected_answer(const load_t *load, const http_request_t *request,
			     uint32_t *token_count)
{
	return answer_text(request->user, load->cluster->params.layers, 0,
			   token_count);
}

/* Returns whether a stream delivered its whole answer, byte for byte. */
bool load_has_expected_answer(const load_t *load, const http_request_t *request)
{
	char *expected = expected_answer(load, request, NULL);
	bool matches = matches_answer(request, expected);

	g_free(expected);
	return matches;
}

static void print_fault(const http_request_t *request, const char *expected)
{
	printf("prompt \"%s\": curl %d, status %ld, %u events, ended %d, "
	       "failed %d\n  expected: %s\n  received: %s\n  body ends: %s\n",
	       (const char *)request->user, (int)request->result,
	       request->status, request->events, request->ended,
	       request->failed, expected, request->answer->str,
	       request->body->str + (request->body->len > 300
					     ? request->body->len - 300
					     : 0));
}

/*
 * Checks every stream: counts the whole and the faulty ones, prints the first
 * faulty ones and records the whole answers in "journal".
 */
void load_check(load_t *load, journal_t *journal)
{
	for (guint i = 0; i < load->client.requests->len; i++) {
		const http_request_t *request =
			g_ptr_array_index(load->client.requests, i);
		uint32_t token_count;
		char *expected = expected_answer(load, request, &token_count);

		if (matches_answer(request, expected)) {
			load->whole++;
			journal_expect(journal, token_count);
		} else if (load->faulty++ < PRINTED_FAULTS_MAX) {
			print_fault(request, expected);
		}
		g_free(expected);
	}
}
