/*
 * Calls that may run at most once, with real processes: each booking is sent
 * through all entries, and sent again until its fate is known, while agents,
 * services and an entry are killed.  The services' journals tell what ran.
 */
#include "../unit/unit.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "harness/cluster.h"

#define BOOKINGS 90
#define ROUNDS 4
#define RUN_MS 90000
#define KEY_BYTES 32
#define FIRST_SERVICE 1 /* after the one endpoint of the model */

/* What callers were told of one key over all its sends. */
typedef struct {
	char key[KEY_BYTES];
	char *answer; /* of the first that was answered; NULL: none */
	bool unknown; /* some were told that it may have run */
	uint32_t not_run;
	uint32_t runs; /* in the journals */
} booking_t;

static harness_t harness;
static cluster_t cluster;
static http_client_t client;
static booking_t bookings[BOOKINGS];

static void send_booking(booking_t *booking, size_t entry, const char *fault)
{
	const char *const headers[] = {
		harness_string(&harness, "Idempotency-Key: %s", booking->key),
		fault,
		NULL,
	};
	const http_params_t params = {
		.url = harness_string(
			&harness, "http://%s/services/" CLUSTER_SERVICE "/book",
			cluster.entries[entry].http),
		.api_key = cluster_api_key(&cluster, 0),
		.body = booking->key,
		.headers = headers,
	};

	http_send(&client, &params)->user = booking;
}

static void note_answer(const http_request_t *request)
{
	booking_t *booking = request->user;

	if (request->result != CURLE_OK)
		return;
	if (request->status != 200) {
		if (strstr(request->body->str, "\"run\":\"not_run\"") != NULL)
			booking->not_run++;
		else
			booking->unknown = true;
		return;
	}
	if (booking->answer == NULL)
		booking->answer = g_strdup(request->body->str);
	CU_ASSERT_STRING_EQUAL(booking->answer, request->body->str);
}

static void note_answers(void)
{
	for (guint i = 0; i < client.requests->len; i++)
		note_answer(g_ptr_array_index(client.requests, i));
	http_client_finish(&client);
	http_client_init(&client);
}

/* Sends every booking once, each through another entry than the last time. */
static void send_round(size_t round)
{
	for (size_t i = 0; i < BOOKINGS; i++)
		send_booking(&bookings[i], (i + round) % cluster.entry_count,
			     round == 0 && i % 10 == 3 ? "X-Fake: drop" : NULL);
}

static void fail_something(size_t round)
{
	if (round == 0)
		harness_kill(cluster.endpoints[FIRST_SERVICE].agent);
	if (round == 1)
		harness_kill(cluster.entries[0].process);
	if (round == 2)
		cluster_start_entry(&cluster, &cluster.entries[0]);
}

static booking_t *find(const char *key)
{
	for (size_t i = 0; i < BOOKINGS; i++)
		if (strcmp(bookings[i].key, key) == 0)
			return &bookings[i];
	return NULL;
}

static void read_journal(const char *path)
{
	char *text = harness_read(path);
	char **lines = g_strsplit(text == NULL ? "" : text, "\n", -1);

	for (size_t i = 0; lines[i] != NULL; i++) {
		char **words = g_strsplit(lines[i], " ", -1);
		booking_t *booking =
			g_strv_length(words) >= 3 ? find(words[2]) : NULL;

		if (booking != NULL)
			booking->runs++;
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(text);
}

/* The promises, for one key. */
static void check(const booking_t *booking)
{
	CU_ASSERT(booking->runs <= 1);
	if (booking->answer != NULL)
		CU_ASSERT_EQUAL(booking->runs, 1);
	if (booking->answer == NULL && !booking->unknown)
		CU_ASSERT_EQUAL(booking->runs, 0);
	if (booking->runs > 1)
		printf("%s ran %u times\n", booking->key, booking->runs);
}

static void run_rounds(void)
{
	http_client_init(&client);
	for (size_t i = 0; i < BOOKINGS; i++)
		snprintf(bookings[i].key, KEY_BYTES, "pallet-%zu", i);
	for (size_t round = 0; round < ROUNDS; round++) {
		send_round(round);
		http_client_poll(&client, 0);
		fail_something(round);
		CU_ASSERT(http_client_run(&client, RUN_MS));
		note_answers();
	}
	http_client_finish(&client);
}

static void test_bookings_run_once(void)
{
	static const cluster_params_t params = { .entries = 3,
						 .ranges = 1,
						 .endpoints_per_range = 1,
						 .services = 3 };
	size_t answered = 0;

	cluster_init(&cluster, &harness, &params);
	cluster_write(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	run_rounds();
	for (size_t i = 0; i < cluster.endpoint_count; i++)
		read_journal(cluster.endpoints[i].journal);
	for (size_t i = 0; i < BOOKINGS; i++) {
		check(&bookings[i]);
		answered += bookings[i].answer != NULL;
		g_free(bookings[i].answer);
	}
	CU_ASSERT(answered > BOOKINGS / 2);
}

static const unit_test_t tests[] = {
	{ "bookings run once under kills", test_bookings_run_once },
};

int main(void)
{
	int status;

	harness_init(&harness, "booking");
	status = unit_run("booking", tests, ARRAY_SIZE(tests));
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
