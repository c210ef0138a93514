#ifndef WISTERIA_RAFT_RAFT_DEFS_H
#define WISTERIA_RAFT_RAFT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/codec/msg_defs.h"

/* At most 11 control instances, and room for replacing some of them. */
#define RAFT_MEMBERS_MAX 16
#define RAFT_NAME_BYTES 64

#define RAFT_HEARTBEAT_MS 100
/* Election timeouts are drawn from [RAFT_ELECTION_TIMEOUT_MS, 2 * that). */
#define RAFT_ELECTION_TIMEOUT_MS 500
/* First timeout after raft_shorten_election_timeout(): [this, 2 * this). */
#define RAFT_START_ELECTION_TIMEOUT_MS 200

/* A smaller group needs a full quorum even if a disk is lost: raft_quorum.c. */
#define RAFT_DISCOUNT_VOTERS_MIN 4

/* Limits of one append message, and of entries sent but not acknowledged. */
#define RAFT_APPEND_BYTES_MAX (256u << 10)
#define RAFT_APPEND_ENTRIES_MAX 512
#define RAFT_IN_FLIGHT_ENTRIES_MAX 4096
#define RAFT_SNAPSHOT_CHUNK_BYTES (512u << 10)
/* Entries kept before a snapshot, for followers that lag slightly. */
#define RAFT_KEEP_ENTRIES 256

/* The kinds of msg_raft_t that replicas exchange. */
typedef enum {
	RAFT_MSG_PRE_VOTE = 1,
	RAFT_MSG_PRE_VOTE_REPLY,
	RAFT_MSG_VOTE, /* context 1: leadership transfer */
	RAFT_MSG_VOTE_REPLY,
	RAFT_MSG_APPEND,
	RAFT_MSG_APPEND_REPLY, /* hint: index to probe if rejected */
	RAFT_MSG_HEARTBEAT,    /* context: read round */
	RAFT_MSG_HEARTBEAT_REPLY,
	RAFT_MSG_SNAPSHOT,
	RAFT_MSG_SNAPSHOT_REPLY, /* hint: next offset; context: index */
	RAFT_MSG_READ,		 /* context: ticket of the sender */
	RAFT_MSG_READ_REPLY,
	RAFT_MSG_TIMEOUT_NOW,
	RAFT_MSG_COUNT
} raft_msg_kind_t;

typedef enum {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
} raft_role_t;

typedef enum {
	RAFT_ENTRY_NOOP, /* first entry of a new leader */
	RAFT_ENTRY_DATA,
	RAFT_ENTRY_MEMBERS,	     /* the complete membership from here on */
	RAFT_ENTRY_MEMBERS_COMMITTED /* the membership before it is committed */
} raft_entry_kind_t;

/* One entry of the log; "data" is never NULL. */
typedef struct {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	GBytes *data;
} raft_entry_t;

/* One replica of the group; a learner is a member that does not vote. */
typedef struct {
	uint64_t id;
	bool voter;
	char instance[RAFT_NAME_BYTES];
	char address[RAFT_NAME_BYTES];
} raft_member_t;

typedef struct {
	raft_member_t items[RAFT_MEMBERS_MAX];
	uint32_t count;
} raft_members_t;

typedef struct {
	uint64_t items[RAFT_MEMBERS_MAX];
	uint32_t count;
} raft_id_set_t;

/* Ids of replicas whose disks are lost; they never vote or acknowledge again. */
typedef raft_id_set_t raft_lost_t;

/* Membership and state machine data up to and including "index". */
typedef struct {
	uint64_t index;
	uint64_t term;
	raft_members_t members;
	GBytes *data; /* NULL: no snapshot */
} raft_snapshot_t;

/* Entries after "base_index"; the snapshot covers those up to it. */
typedef struct {
	uint64_t base_index;
	uint64_t base_term;
	GArray *entries; /* of raft_entry_t */
} raft_log_t;

/* Data that must be on disk before raft_saved() may report "sequence". */
typedef struct {
	uint64_t sequence;
	uint64_t term;
	uint64_t vote;
	const raft_snapshot_t *snapshot; /* NULL: unchanged */
	uint64_t first_index;		 /* replaces every entry from here on */
	const raft_entry_t *entries;
	size_t entry_count;
} raft_save_t;

/* Stored state that a replica starts from; all zero on an empty disk. */
typedef struct {
	uint64_t term;
	uint64_t vote;
	raft_snapshot_t snapshot;
	GArray *entries; /* of raft_entry_t; NULL: none */
} raft_stored_t;

/* The next item to apply: a snapshot to restore, or one entry. */
typedef struct {
	const raft_snapshot_t *snapshot; /* NULL: "entry" is set */
	const raft_entry_t *entry;
} raft_apply_t;

/* Confirms every read whose ticket is at most "ticket". */
typedef struct {
	uint64_t ticket;
	uint64_t index; /* to be applied before the read is answered */
} raft_read_t;

typedef enum {
	PROGRESS_PROBE,
	PROGRESS_REPLICATE,
	PROGRESS_SNAPSHOT
} raft_progress_state_t;

/* Replication progress of one member, as the leader knows it. */
typedef struct {
	uint64_t id;
	raft_progress_state_t state;
	uint64_t match;		     /* last index known to be synced */
	uint64_t next;		     /* next index to send */
	uint64_t match_at_heartbeat; /* "match" at the last heartbeat reply */
	uint64_t commit_sent;	     /* last commit index sent */
	uint64_t acked_round;	     /* last read round acknowledged */
	size_t snapshot_offset;
	uint64_t snapshot_index;
	clock_ms_t last_heard_ms; /* last reply */
	clock_ms_t probed_ms;	  /* last append or chunk sent */
	bool granted;		  /* vote in the current election */
} raft_progress_t;

/* An outgoing message; it owns what "msg" points to. */
typedef struct {
	msg_raft_t msg;
	uint64_t release_after; /* sequence of the save to be synced first */
	GPtrArray *owned;	/* of GBytes */
	msg_raft_entry_t *entries;
} raft_message_t;

struct raft_t;

/*
 * The rules that the safety of the log depends on.  They are function pointers
 * so that a test can break one and check that the fault is detected.
 */
typedef struct raft_rules_t {
	/* Returns the save to be synced before a message of "kind" is sent. */
	uint64_t (*release_after)(const struct raft_t *raft, uint32_t kind);
	/* Returns whether the leader may commit "index", held by a quorum. */
	bool (*may_commit)(const struct raft_t *raft, uint64_t index);
	/* Returns whether the membership in force is known to be committed. */
	bool (*members_are_committed)(const struct raft_t *raft);
	/* Returns the voters that a quorum can do without. */
	const raft_lost_t *(*discounted)(const struct raft_t *raft);
} raft_rules_t;

typedef struct {
	uint64_t sequence;
	uint64_t last_index;
} raft_pending_save_t;

/* A batch of reads queued at the leader. */
typedef struct {
	uint64_t from;
	uint64_t context; /* ticket of the sender */
	uint64_t round;	  /* 0: not in a round yet */
	uint64_t index;
} raft_waiting_read_t;

/* One replica of the log. */
typedef struct raft_t {
	const raft_rules_t *rules;
	uint64_t id;
	GRand *random;
	raft_role_t role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader; /* 0: unknown */
	uint64_t commit;
	uint64_t applied;
	raft_log_t log;
	raft_snapshot_t snapshot;
	bool restore_pending;
	raft_members_t members;
	uint64_t members_index;
	raft_members_t old_members; /* before "members"; empty: none */
	uint64_t
		committed_entry; /* RAFT_ENTRY_MEMBERS_COMMITTED of "members"; 0: none */
	raft_lost_t lost;	/* as far as it is known */
	raft_lost_t discounted; /* "lost" when the last election began */
	raft_progress_t progress[RAFT_MEMBERS_MAX];

	clock_ms_t now_ms;
	clock_ms_t election_at_ms;
	clock_ms_t leader_contact_ms; /* 0: none since the start */
	clock_ms_t heartbeat_at_ms;
	clock_ms_t quorum_check_at_ms;
	uint64_t transfer_to;
	clock_ms_t transfer_until_ms;

	GQueue messages; /* of raft_message_t */
	bool appends_due;
	bool hard_state_dirty;
	bool snapshot_dirty;
	uint64_t next_save_index; /* first entry not in a save yet */
	uint64_t synced_index;	  /* last entry on disk */
	uint64_t issued_save;	  /* last save handed out */
	uint64_t synced_save;	  /* last save reported as synced */
	uint64_t hard_state_save; /* save that holds the current term, vote */
	GArray *pending_saves;	  /* of raft_pending_save_t */

	GByteArray *incoming; /* snapshot being received, or NULL */
	uint64_t incoming_index;
	uint64_t incoming_term;

	uint64_t round; /* of reads: the last one begun */
	bool round_in_flight;
	GArray *waiting_reads; /* of raft_waiting_read_t, at the leader */
	uint64_t ticket_open;  /* batch not sent yet; 0: none */
	uint64_t ticket_sent;  /* batch in flight; 0: none */
	uint64_t ticket_last;  /* last one allocated */
	clock_ms_t ticket_sent_ms;
	GArray *read_results; /* of raft_read_t */
} raft_t;

typedef enum {
	RAFT_MEMBER_ADD,     /* as a learner */
	RAFT_MEMBER_PROMOTE, /* a learner to voter */
	RAFT_MEMBER_REMOVE
} raft_member_change_t;

#endif
