#ifndef WISTERIA_CONTROL_GROUP_POLICY_H
#define WISTERIA_CONTROL_GROUP_POLICY_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/raft/raft_defs.h"

/*
 * A member that has been silent for this long is removed, a voter only if
 * GROUP_VOTERS_MIN others are reachable.  Longer than a restart, a process
 * freeze or a network interruption of a few seconds.
 */
#define GROUP_MEMBER_TIMEOUT_MS 8000
/*
 * When an instance rejoins under a new id, its previous id is removed once it
 * has been silent for this long.
 */
#define GROUP_REPLACE_TIMEOUT_MS 2000
/* A group of fewer voters cannot tolerate the loss of one. */
#define GROUP_VOTERS_MIN 3

/* The leader's view of a member. */
typedef struct {
	clock_ms_t silent_ms; /* since its last message; 0 for the leader */
	bool caught_up;	      /* has all committed entries */
} group_member_status_t;

/* The next membership change. */
typedef struct {
	raft_member_change_t change;
	uint32_t member; /* index in the list of members */
} group_change_t;

bool group_policy_next(const raft_members_t *members,
		       const group_member_status_t *statuses,
		       group_change_t *next) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
