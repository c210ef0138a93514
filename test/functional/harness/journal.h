#ifndef TEST_FUNCTIONAL_HARNESS_JOURNAL_H
#define TEST_FUNCTIONAL_HARNESS_JOURNAL_H

#include "harness/cluster.h"

/*
 * A check of the fake engines' journals against the answers that the callers
 * received.
 */
typedef struct {
	GHashTable *sessions; /* session number -> session_runs_t */
	GHashTable *answers;  /* token count -> number of such answers */
	uint32_t layers;
	bool sessions_must_complete; /* incomplete sessions are a fault */
	char fault[256];	     /* the first found; "" if none */
} journal_t;

void journal_init(journal_t *journal, uint32_t layers) ATTR_NONNULL_ALL;
void journal_finish(journal_t *journal) ATTR_NONNULL_ALL;
void journal_read(journal_t *journal, const char *path) ATTR_NONNULL_ALL;
void journal_expect(journal_t *journal, uint32_t token_count) ATTR_NONNULL_ALL;
bool journal_check(journal_t *journal) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void journal_read_cluster(journal_t *journal,
			  const cluster_t *cluster) ATTR_NONNULL_ALL;

#endif
