#ifndef TEST_FUNCTIONAL_HARNESS_FAKE_ENDPOINT_H
#define TEST_FUNCTIONAL_HARNESS_FAKE_ENDPOINT_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"

/* The number of events of a whole stream. */
#define RUNNER_EVENTS 12
/* The last event of a truncated stream. */
#define RUNNER_CUT_AFTER 5

/* How a fake endpoint handles a request that it has read. */
typedef enum {
	RUNNER_SERVES,
	RUNNER_CUTS,  /* ends the stream early */
	RUNNER_SHEDS, /* answers 503 without running it */
	RUNNER_DROPS  /* runs it and closes without an answer */
} runner_mode_t;

/* How often each request has run on the fake endpoints that share it. */
typedef struct {
	pthread_mutex_t lock;
	GHashTable *runs; /* request id -> count */
} runner_journal_t;

/*
 * A fake of a plain service's endpoint on the users' platform, served by
 * threads of the test process.
 */
typedef struct {
	const char *id;
	const char *service;
	const char *control; /* IP:PORT to which it sends heartbeats */
	/* Tried in order if "control" does not accept; ends with NULL. */
	const char *const *other_controls;
	char address[64];
	const char *advertised;	   /* in heartbeats; NULL: "address" */
	runner_journal_t *journal; /* NULL: runs are not recorded */
	int listener;
	_Atomic int mode; /* runner_mode_t */
	atomic_uint runs;
	atomic_bool stopping;
	pthread_t server_thread;
	pthread_t heartbeat_thread;
} runner_t;

void runner_start(runner_t *runner, const char *id, const char *service,
		  const char *ip, const char *control,
		  runner_mode_t mode) ATTR_NONNULL_ALL;
void runner_listen(runner_t *runner, const char *id, const char *service,
		   const char *ip, const char *control,
		   runner_mode_t mode) ATTR_NONNULL_ALL;
void runner_run(runner_t *runner) ATTR_NONNULL_ALL;
void runner_stop(runner_t *runner) ATTR_NONNULL_ALL;
void runner_crash(runner_t *runner) ATTR_NONNULL_ALL;
void runner_journal_init(runner_journal_t *journal) ATTR_NONNULL_ALL;
void runner_journal_finish(runner_journal_t *journal) ATTR_NONNULL_ALL;
unsigned runner_journal_runs(runner_journal_t *journal,
			     const char *request_id) ATTR_NONNULL_ALL;

#endif
