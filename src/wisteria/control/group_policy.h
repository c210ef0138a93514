#ifndef WISTERIA_CONTROL_GROUP_POLICY_H
#define WISTERIA_CONTROL_GROUP_POLICY_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/raft/raft_defs.h"

/*
 * A voter silent for this long leaves the group, if enough others are left:
 * longer than a restart, a freeze or a cut of some seconds.
 */
#define GROUP_LOST_MS 8000
/* A learner's older self is taken to be gone when silent for this long. */
#define GROUP_REPLACED_MS 2000
/* Fewer voters than this cannot bear a loss. */
#define GROUP_VOTERS_MIN 3

/* What the leader knows of a member. */
typedef struct {
	clock_ms_t silent_ms; /* 0 for the leader itself */
	bool caught_up;	      /* holds all that is committed */
} group_sight_t;

/* The next change of the group. */
typedef struct {
	raft_member_change_t change;
	uint32_t member; /* number in the list of members */
} group_change_t;

bool group_policy_next(const raft_members_t *members,
		       const group_sight_t *sights,
		       group_change_t *next) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
