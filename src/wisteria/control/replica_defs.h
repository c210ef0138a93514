#ifndef WISTERIA_CONTROL_REPLICA_DEFS_H
#define WISTERIA_CONTROL_REPLICA_DEFS_H

#include "wisteria/control/group_policy.h"
#include "wisteria/control/joiners.h"
#include "wisteria/control/log_writer.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/raft/raft_defs.h"
#include "wisteria/settings/settings_defs.h"
#include "wisteria/storage/storage_defs.h"

#define REPLICA_TICK_MS 20
/* Interval at which a replica sends search messages; see replica_search(). */
#define REPLICA_SEARCH_MS 250
/*
 * Age at which a search reply is ignored, and silence after which a leader or
 * member is assumed to be gone.
 */
#define REPLICA_STALE_MS 2000
/* How often a replica logs that it knows no leader. */
#define REPLICA_LEADERLESS_LOG_MS 2000
/* How often a replica logs that it requests to join. */
#define REPLICA_JOIN_LOG_MS 1000
/* How often a replica that stops says so. */
#define REPLICA_LEAVE_MS 100
/* A message that was not repeated for this long: the process has ended. */
#define REPLICA_LEAVE_STALE_MS (3 * REPLICA_LEAVE_MS)
/*
 * How long a stop waits until the group has removed the replica: a transfer of
 * leadership, or the election after a failed one, and some commits.
 */
#define REPLICA_LEAVE_TIMEOUT_MS 2000
/* A snapshot is made after this many entries or bytes in the log. */
#define REPLICA_SNAPSHOT_ENTRIES 20000
#define REPLICA_SNAPSHOT_BYTES (32u << 20)

/* The kinds of msg_raft_t that are used to find and join a group. */
enum {
	REPLICA_MSG_SEARCH = 100,
	REPLICA_MSG_SEARCH_REPLY, /* reject: the sender is not blank */
	REPLICA_MSG_JOIN,
	REPLICA_MSG_MEMBERS,  /* the members that the sender knows */
	REPLICA_MSG_IDENTIFY, /* context: number of the question */
	REPLICA_MSG_IDENTITY, /* context: number of the question */
	REPLICA_MSG_LEAVE,    /* the sender stops */
	REPLICA_MSG_LEFT      /* context: id that votes no more */
};

/* Callbacks of the replicated state machine, called on the control thread. */
typedef struct replica_machine_t {
	void (*apply)(struct replica_machine_t *self, uint64_t index,
		      uint64_t term, const uint8_t *data, size_t len);
	void (*snapshot)(struct replica_machine_t *self, msgpack_sbuffer *out);
	bool (*restore)(struct replica_machine_t *self, const uint8_t *data,
			size_t len, err_t *err);
	/* All reads up to "ticket" are confirmed and their index is applied. */
	void (*confirmed)(struct replica_machine_t *self, uint64_t ticket);
	/* The leader or the term has changed. */
	void (*leader_changed)(struct replica_machine_t *self);
	/* Receives a message on a link, such as a reply of the leader. */
	void (*message)(struct replica_machine_t *self, conn_t *conn,
			const msg_t *msg);
} replica_machine_t;

/* Another control instance. */
typedef struct {
	char instance[NET_INSTANCE_BYTES];
	char address[NET_ADDRESS_BYTES];
	link_t link;
	bool linked;
	bool is_initial_voter; /* is one of the settings' voters */
	bool is_contact;       /* only asked while this replica searches */
	/* The last search reply. */
	uint64_t id;
	bool blank; /* it had no term and no log, so no group yet */
	clock_ms_t answered_ms;
	/* When it last answered that it has no replica. */
	clock_ms_t referred_ms;
	/* The last message of its replica. */
	uint64_t heard_id;
	clock_ms_t heard_ms;
	/* The last message that its replica stops. */
	uint64_t leaving_id; /* 0: none */
	clock_ms_t leaving_ms;
	char failure_domain[NET_INSTANCE_BYTES]; /* empty: not known */
} replica_peer_t;

/* Which members were asked for their ids, see replica_losses.c. */
typedef struct {
	uint64_t number; /* 0: none was asked yet */
	uint64_t members_index;
	uint64_t term;
	raft_members_t members;
	raft_members_t old_members;
	clock_ms_t ask_at_ms;
} replica_question_t;

/* The stop of this replica, see replica_leave.c. */
typedef struct {
	bool begun;
	bool left; /* the membership without it is committed */
	clock_ms_t until_ms;
	clock_ms_t tell_at_ms;
} replica_leaving_t;

/* One replica of the log with its storage, writer thread and peers. */
typedef struct {
	conn_handler_t handler;
	log_writer_owner_t writer_owner;
	replica_machine_t *machine;
	net_t *net;
	const settings_t *settings;
	storage_t storage;
	log_writer_t *writer;
	raft_t raft;
	GPtrArray *peers;	 /* of replica_peer_t */
	GHashTable *instance_of; /* replica id -> instance */
	joiners_t joiners;
	group_watch_t watch;
	replica_question_t question;
	replica_leaving_t leaving;
	GArray *confirmed; /* of raft_read_t; their index is not applied yet */
	uv_timer_t tick;
	uv_check_t output_check;
	clock_ms_t search_at_ms;
	clock_ms_t leaderless_log_ms; /* when to log it next */
	clock_ms_t join_log_ms;	      /* when to log a join request next */
	uint64_t notified_term;
	uint64_t notified_leader;
	bool snapshot_in_progress;
	size_t log_bytes;	   /* written since the last snapshot */
	uint64_t snapshot_entries; /* between snapshots */
	bool closed;
} replica_t;

#endif
