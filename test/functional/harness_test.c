/* Tests the harness itself: the relay and the check of the journals. */
#include "../unit/unit.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness/journal.h"
#include "harness/relay.h"

#define SILENT_POLLS 5
#define SILENT_POLL_MS 40

static harness_t harness;

static http_request_t *get(http_client_t *client, const char *address)
{
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s/stock", address),
	};

	return http_send(client, &params);
}

static harness_process_t *start_service(const char *address)
{
	const char *const argv[] = {
		harness_program(&harness, "fake_service"),
		harness_string(&harness, "--listen=%s", address),
		NULL,
	};
	harness_process_t *process = harness_start(&harness, "service", argv);

	CU_ASSERT_FATAL(
		harness_wait_http(address, "/ready", 200, HARNESS_WAIT_MS));
	return process;
}

static void test_relay_silence(void)
{
	const char *address = harness_address(&harness);
	harness_process_t *service = start_service(address);
	relay_t *relay = relay_new(&harness, address);
	http_client_t client;
	const http_request_t *first;
	const http_request_t *silent;

	http_client_init(&client);
	first = get(&client, relay_address(relay));
	CU_ASSERT(http_wait(&client, first, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(first->status, 200);
	relay_silence(relay, true);
	silent = get(&client, relay_address(relay));
	for (int i = 0; i < SILENT_POLLS; i++)
		http_client_poll(&client, SILENT_POLL_MS);
	CU_ASSERT_FALSE(silent->done);
	CU_ASSERT(relay_open_count(relay) > 0);
	relay_silence(relay, false);
	relay_close_connections(relay);
	CU_ASSERT(http_wait(&client, silent, HARNESS_WAIT_MS));
	CU_ASSERT_NOT_EQUAL(silent->result, CURLE_OK);
	first = get(&client, relay_address(relay));
	CU_ASSERT(http_wait(&client, first, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(first->status, 200);
	http_client_finish(&client);
	relay_free(relay);
	harness_signal(service, SIGTERM);
	CU_ASSERT(harness_wait_exit(service, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(service->exit_status, 0);
}

typedef struct {
	const char *lines;
	uint32_t answer; /* tokens that a caller received; 0: no answer */
	const char *fault;
} journal_case_t;

/* SESSION ATTEMPT POSITION FIRST END SEQUENCE ENGINE, of a 4-layer model. */
static const journal_case_t journal_cases[] = {
	{ "1 1 0 0 2 1 a\n1 1 0 2 4 1 b\n1 1 1 0 2 1 a\n1 1 1 2 4 1 b\n", 2,
	  "" },
	{ "1 1 0 0 2 1 a\n1 1 0 2 4 1 b\n1 2 0 0 4 2 c\n1 2 1 0 4 2 c\n", 2,
	  "" },
	{ "1 1 0 0 4 1 a\n1 1 0 0 4 1 a\n", 1, "skipped or repeated" },
	{ "1 1 0 0 4 1 a\n1 1 2 0 4 1 a\n", 3, "skipped or repeated" },
	{ "1 1 1 0 4 1 a\n", 2, "skipped or repeated" },
	{ "1 2 0 0 4 1 a\n1 1 1 0 4 1 a\n", 2, "older attempt" },
	{ "1 1 0 0 2 1 a\n", 1, "some layers did not run" },
	{ "1 1 0 0 2 1 a\n1 1 0 1 4 1 b\n", 1, "some layers did not run" },
	{ "1 1 0 0 4 1 a\n", 2, "no session that ran them" },
};

static void test_journal_check(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(journal_cases); i++) {
		const journal_case_t *test = &journal_cases[i];
		journal_t journal;
		bool passed;

		journal_init(&journal, 4);
		journal_read(&journal, harness_write_file(&harness, "a.journal",
							  test->lines));
		journal_expect(&journal, test->answer);
		passed = journal_check(&journal);
		CU_ASSERT_EQUAL(passed, test->fault[0] == '\0');
		CU_ASSERT_PTR_NOT_NULL(strstr(journal.fault, test->fault));
		journal_finish(&journal);
	}
}

/*
 * Addresses are not in the range from which the kernel takes the ports of
 * outgoing connections (Linux: 32768 and above), differ, and are free.
 */
static void test_addresses_are_reserved(void)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (int i = 0; i < 200; i++) {
		const char *address = harness_address(&harness);
		int port = atoi(strchr(address, ':') + 1);

		CU_ASSERT(port >= 1024 && port < 32768);
		CU_ASSERT(g_hash_table_add(seen, (gpointer)address));
	}
	g_hash_table_destroy(seen);
}

static const unit_test_t tests[] = {
	{ "a relay silences connections and forwards again",
	  test_relay_silence },
	{ "the journal check finds faults", test_journal_check },
	{ "addresses are reserved", test_addresses_are_reserved },
};

int main(void)
{
	int status;

	harness_init(&harness, "harness");
	status = unit_run("harness", tests, ARRAY_SIZE(tests));
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
