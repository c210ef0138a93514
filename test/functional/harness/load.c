/* Concurrent streams with prompts of their own, checked byte for byte. */
#include "harness/load.h"

#include <stdio.h>
#include <string.h>

#include "fakes/answer.h"
#include "wisteria/base/clock.h"

#define FAULTS_SHOWN 5
#define POLL_MS 20

/* Prepares a load without streams. */
void load_init(load_t *load, cluster_t *cluster)
{
	memset(load, 0, sizeof(*load));
	load->cluster = cluster;
	http_client_init(&load->client);
}

/* Ends all streams. */
void load_finish(load_t *load)
{
	for (guint i = 0; i < load->client.requests->len; i++) {
		http_request_t *request =
			g_ptr_array_index(load->client.requests, i);

		g_free(request->user);
	}
	http_client_finish(&load->client);
}

/* Opens a stream through one entry. */
http_request_t *load_send(load_t *load, size_t entry)
{
	char *prompt =
		g_strdup_printf("quote %u for entry %zu", ++load->sent, entry);
	http_request_t *request = cluster_ask(load->cluster, &load->client,
					      entry, prompt, 0, true);

	request->user = prompt;
	return request;
}

/* Returns how many events all streams have brought. */
uint64_t load_events(const load_t *load)
{
	uint64_t events = 0;

	for (guint i = 0; i < load->client.requests->len; i++) {
		const http_request_t *request =
			g_ptr_array_index(load->client.requests, i);

		events += request->events;
	}
	return events;
}

/* Runs until the streams have brought so many events in all. */
bool load_wait_events(load_t *load, uint64_t events, clock_ms_t limit_ms)
{
	clock_ms_t limit = clock_now(&clock_monotonic) + limit_ms;

	while (load_events(load) < events && load->client.open > 0) {
		if (clock_now(&clock_monotonic) >= limit)
			return false;
		http_client_poll(&load->client, POLL_MS);
	}
	return load_events(load) >= events;
}

static bool is_whole(const http_request_t *request, const char *expected)
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

/* Returns whether a stream brought its whole answer, byte for byte. */
bool load_is_whole(const load_t *load, const http_request_t *request)
{
	char *expected = expected_answer(load, request, NULL);
	bool whole = is_whole(request, expected);

	g_free(expected);
	return whole;
}

static void show_fault(const http_request_t *request, const char *expected)
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
 * Checks every stream; counts the whole and the faulty ones, shows some of
 * the latter and tells "journal" what was answered.
 */
void load_check(load_t *load, journal_t *journal)
{
	for (guint i = 0; i < load->client.requests->len; i++) {
		const http_request_t *request =
			g_ptr_array_index(load->client.requests, i);
		uint32_t token_count;
		char *expected = expected_answer(load, request, &token_count);

		if (is_whole(request, expected)) {
			load->whole++;
			journal_expect(journal, token_count);
		} else if (load->faulty++ < FAULTS_SHOWN) {
			show_fault(request, expected);
		}
		g_free(expected);
	}
}
