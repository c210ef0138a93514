#ifndef WISTERIA_CONTROL_GROUP_POLICY_H
#define WISTERIA_CONTROL_GROUP_POLICY_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/raft/raft_defs.h"
#include "wisteria/settings/settings_defs.h"

/*
 * A voter counts as reachable if it has sent something within this time: two
 * election timeouts.  A longer silence may be a loss that is not counted yet.
 */
#define GROUP_REACHABLE_MS (2 * RAFT_ELECTION_TIMEOUT_MS)
/*
 * A member that has been silent for this long is removed, a voter only if
 * GROUP_VOTERS_MIN others are reachable, learners that are ready to vote
 * included.  Longer than a restart, a process freeze or a network interruption
 * of a few seconds.
 */
#define GROUP_MEMBER_TIMEOUT_MS 8000
/*
 * A voter that has been silent for this long is removed if a learner takes its
 * place, among them its own instance under a new id, or if the number of voters
 * is even.
 */
#define GROUP_REPLACE_TIMEOUT_MS 2000
/* A group of fewer voters cannot tolerate the loss of one. */
#define GROUP_VOTERS_MIN 3

/*
 * A voter whose address refuses connections is absent once nothing has come from
 * it for this long: it may have been started again, and the link to it not yet.
 */
#define GROUP_REFUSED_SILENCE_MS (2 * RAFT_HEARTBEAT_MS)

/*
 * A voter that refuses no connection is absent once nothing has come from it for
 * this long.  A lost packet is sent again after 0.2 s and 0.6 s, and a process
 * that waits for its share of a processor is silent for as long.
 */
#define GROUP_ABSENT_SILENCE_MS GROUP_REACHABLE_MS

/*
 * A leader whose ticks are further apart than this was frozen.  What it then
 * reads may have been sent long ago, and the silence of the others was its own.
 */
#define GROUP_LATE_TICK_MS 250

/* How long the leader has watched the members without a pause of its own. */
typedef struct {
	clock_ms_t last_tick_ms;
	clock_ms_t since_ms;
	bool was_leader; /* at the last tick */
} group_watch_t;

/* The leader's view of a member. */
typedef struct {
	/* Since its last message, while it was watched; 0 for the leader. */
	clock_ms_t silent_ms;
	bool caught_up;		    /* has all committed entries */
	bool refused;		    /* no process listens at its address */
	bool leaving;		    /* its process has been told to stop */
	const char *failure_domain; /* NULL: not known */
	const char *region;	    /* NULL: not known */
} group_member_status_t;

/* Why the policy makes a change; see group_reason_names. */
typedef enum {
	GROUP_READY,	/* a learner that has caught up */
	GROUP_REPLACED, /* its instance has joined under another id */
	GROUP_LEAVING,	/* a spare voter whose process stops */
	GROUP_REFUSED,	/* a spare voter whose address refuses connections */
	GROUP_ABSENT,	/* a spare voter that is silent */
	GROUP_SILENT	/* has been silent for its timeout */
} group_reason_t;

/* The next membership change. */
typedef struct {
	raft_member_change_t change;
	uint32_t member; /* index in the list of members */
	group_reason_t reason;
} group_change_t;

extern const char *const group_reason_names[];

void group_watch_tick(group_watch_t *watch, const raft_t *raft,
		      clock_ms_t now) ATTR_NONNULL_ALL;
clock_ms_t group_watch_statuses(
	const group_watch_t *watch, const raft_t *raft,
	group_member_status_t statuses[RAFT_MEMBERS_MAX]) ATTR_NONNULL_ALL;
uint32_t group_losses_borne(const raft_members_t *members,
			    const group_member_status_t *statuses,
			    const settings_tolerance_t *tolerance,
			    uint32_t without) ATTR_NONNULL_ALL;
bool group_can_spare(const raft_members_t *members,
		     const group_member_status_t *statuses,
		     const settings_tolerance_t *tolerance,
		     uint32_t voter) ATTR_NONNULL_ALL;
bool group_policy_next(const raft_members_t *members,
		       const group_member_status_t *statuses,
		       const settings_tolerance_t *tolerance,
		       clock_ms_t watched_ms,
		       group_change_t *next) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
