#ifndef WISTERIA_CONTROL_JOINERS_H
#define WISTERIA_CONTROL_JOINERS_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/raft/raft_defs.h"

/* A join request that was not repeated for this long is ignored. */
#define JOINERS_STALE_MS 2000
/* Interval at which the repeated requests of one instance are logged. */
#define JOINERS_LOG_MS 1000

/* An instance that has requested to join the group. */
typedef struct {
	raft_member_t member;
	clock_ms_t requested_ms;
	clock_ms_t logged_ms; /* the last request that was to be logged */
} joiner_t;

/* The latest join request of each instance; all zero is empty. */
typedef struct {
	joiner_t items[RAFT_MEMBERS_MAX];
	uint32_t count;
} joiners_t;

bool joiners_record(joiners_t *joiners, const raft_member_t *member,
		    clock_ms_t now) ATTR_NONNULL_ALL;
const raft_member_t *
joiners_next(const joiners_t *joiners, const raft_members_t *members,
	     clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void joiners_forget(joiners_t *joiners, const char *instance) ATTR_NONNULL_ALL;

#endif
