#ifndef WISTERIA_CONTROL_DIRECTORY_H
#define WISTERIA_CONTROL_DIRECTORY_H

#include <stdbool.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/*
 * The endpoints that agents have announced: soft state of a control instance,
 * versioned so that a daemon is sent only the changes.  Reads no clock; the
 * caller passes the time.
 */
typedef struct directory_t directory_t;

/* Changes since a version; valid until the next delta or change. */
typedef struct {
	bool full; /* lists all endpoints, not only changes */
	uint64_t epoch;
	uint64_t version;
	const msg_endpoint_t *endpoints;
	size_t endpoint_count;
	const msg_name_t *removed;
	size_t removed_count;
} directory_delta_t;

directory_t *directory_new(uint64_t epoch,
			   clock_ms_t complete_at_ms) ATTR_WARN_UNUSED;
void directory_free(directory_t *directory);
void directory_announce(directory_t *directory, const msg_announce_t *announce,
			clock_ms_t now) ATTR_NONNULL_ALL;
bool directory_record_heartbeat(directory_t *directory, const char *instance,
				uint64_t incarnation, clock_ms_t now)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void directory_expire(directory_t *directory, clock_ms_t now,
		      clock_ms_t timeout_ms) ATTR_NONNULL_ALL;
void directory_delta(directory_t *directory, uint64_t epoch, uint64_t version,
		     clock_ms_t now, directory_delta_t *delta) ATTR_NONNULL_ALL;
bool directory_running_count(const directory_t *directory, const char *endpoint,
			     uint32_t *running) ATTR_NONNULL_ALL;
void directory_update_running(directory_t *directory,
			      const msg_announce_t *announce) ATTR_NONNULL_ALL;
typedef void (*directory_visit_t)(void *user, const msg_endpoint_t *endpoint);
void directory_visit(const directory_t *directory, const char *instance,
		     directory_visit_t visit, void *user) ATTR_NONNULL(1, 2, 3);
size_t directory_count(const directory_t *directory) ATTR_NONNULL_ALL;

#endif
