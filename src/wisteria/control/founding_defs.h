#ifndef WISTERIA_CONTROL_FOUNDING_DEFS_H
#define WISTERIA_CONTROL_FOUNDING_DEFS_H

#include "wisteria/base/clock_defs.h"
#include "wisteria/control/joiners.h"
#include "wisteria/raft/raft_defs.h"

#define FOUNDING_SEEDS_MAX 16
/* How long instances that start together look for each other. */
#define FOUNDING_DISCOVERY_MS 1600
#define FOUNDING_OFFER_INTERVAL_MS 200
/* A candidate whose last offer is older is not put on a list. */
#define FOUNDING_OFFER_VALID_MS 1000
/*
 * Delay of each candidate behind the one that sorts before it: an undisturbed
 * attempt takes two round trips.
 */
#define FOUNDING_RANK_DELAY_MS 300
/* An attempt that is not over by then has failed. */
#define FOUNDING_ATTEMPT_MS 1000
/* The next attempt follows within this time, drawn at random. */
#define FOUNDING_BACKOFF_MS 600
/* How long the members leave it to the proposer to start the group. */
#define FOUNDING_TAKEOVER_MS 1000

typedef enum {
	/* To the seeds. */
	FOUNDING_MSG_OFFER = 1, /* members: the sender, a candidate */
	FOUNDING_MSG_PREPARE,
	FOUNDING_MSG_ACCEPT, /* members: the proposed list */
	/* To and from the seeds. */
	FOUNDING_MSG_DECISION, /* members: the list that was agreed on */
	/* From the seeds. */
	FOUNDING_MSG_CANDIDATES, /* members: those that offered recently */
	/* members: the list accepted in "accepted", or else the candidates */
	FOUNDING_MSG_PROMISE,
	FOUNDING_MSG_ACCEPTED,
	FOUNDING_MSG_REFUSAL, /* ballot: a higher one that was promised */
	FOUNDING_MSG_ABSTENTION
} founding_msg_kind_t;

/* Ordered by round, then by proposer; all zero is before every ballot. */
typedef struct {
	uint64_t round;
	uint64_t proposer; /* its replica id */
} founding_ballot_t;

typedef struct {
	uint32_t kind;
	founding_ballot_t ballot;
	founding_ballot_t accepted; /* in a promise */
	raft_members_t members;
} founding_msg_t;

/* A seed as a proposer sees it. */
typedef struct {
	char address[RAFT_NAME_BYTES];
	uint32_t answer; /* founding_msg_kind_t in this attempt; 0: none */
	uint32_t rank;	 /* candidates that sort before this one */
	clock_ms_t ranked_ms;
} founding_seed_t;

typedef enum {
	FOUNDING_IDLE,
	FOUNDING_PREPARING,
	FOUNDING_ACCEPTING
} founding_phase_t;

struct founding_t;

/* Where a seed keeps its votes; embedded in the owner's struct. */
typedef struct founding_store_t {
	/* Returns whether the votes of "founding" are on disk. */
	bool (*save)(struct founding_store_t *self,
		     const struct founding_t *founding);
} founding_store_t;

/* The agreement as one instance takes part in it. */
typedef struct founding_t {
	founding_store_t *store; /* NULL: votes are kept in memory */
	founding_seed_t seeds[FOUNDING_SEEDS_MAX];
	uint32_t seed_count;
	int own_seed; /* -1: this instance is no seed */
	uint32_t members_max;
	GRand *random;

	/* Acceptor. */
	bool votes;
	founding_ballot_t promised;
	founding_ballot_t accepted;
	raft_members_t accepted_members;
	joiners_t candidates;

	/* Proposer. */
	raft_member_t self; /* id 0: this instance is no candidate */
	founding_phase_t phase;
	founding_ballot_t ballot;
	founding_ballot_t adopted; /* ballot in which "list" was accepted */
	raft_members_t list;
	uint64_t round_seen;
	clock_ms_t attempt_at_ms; /* of the next one, or the end of this one */
	clock_ms_t offer_at_ms;
	bool has_attempted;
	bool offer_due;
	uint32_t request; /* kind of the request to send next; 0: none */

	raft_members_t decided; /* empty: nothing yet */
	bool decided_here;
	clock_ms_t decided_ms;
} founding_t;

#endif
