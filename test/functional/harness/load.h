#ifndef TEST_FUNCTIONAL_HARNESS_LOAD_H
#define TEST_FUNCTIONAL_HARNESS_LOAD_H

#include "harness/journal.h"

/*
 * Concurrent streams from a cluster, each with its own prompt, and the check
 * that each stream delivered its whole answer.
 */
typedef struct {
	cluster_t *cluster;
	http_client_t client;
	uint32_t sent;
	uint32_t whole;	 /* checked streams with the expected answer */
	uint32_t faulty; /* checked streams with any other result */
} load_t;

void load_init(load_t *load, cluster_t *cluster) ATTR_NONNULL_ALL;
void load_finish(load_t *load) ATTR_NONNULL_ALL;
http_request_t *load_open_stream(load_t *load, size_t entry) ATTR_NONNULL_ALL;
uint64_t load_event_count(const load_t *load) ATTR_NONNULL_ALL;
bool load_wait_events(load_t *load, uint64_t events,
		      clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool load_has_expected_answer(const load_t *load,
			      const http_request_t *request) ATTR_NONNULL_ALL;
void load_check(load_t *load, journal_t *journal) ATTR_NONNULL_ALL;

#endif
