#ifndef TEST_FUNCTIONAL_HARNESS_LOAD_H
#define TEST_FUNCTIONAL_HARNESS_LOAD_H

#include "harness/journal.h"

/*
 * Streams that a test keeps open on a set-up, each with a prompt of its own,
 * and the check that each got its whole answer.
 */
typedef struct {
	cluster_t *cluster;
	http_client_t client;
	uint32_t sent;
	uint32_t whole;	 /* of those checked */
	uint32_t faulty; /* not whole, or another answer */
} load_t;

void load_init(load_t *load, cluster_t *cluster) ATTR_NONNULL_ALL;
void load_finish(load_t *load) ATTR_NONNULL_ALL;
http_request_t *load_send(load_t *load, size_t entry) ATTR_NONNULL_ALL;
uint64_t load_events(const load_t *load) ATTR_NONNULL_ALL;
bool load_wait_events(load_t *load, uint64_t events,
		      clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool load_is_whole(const load_t *load,
		   const http_request_t *request) ATTR_NONNULL_ALL;
void load_check(load_t *load, journal_t *journal) ATTR_NONNULL_ALL;

#endif
