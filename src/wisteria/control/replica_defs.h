#ifndef WISTERIA_CONTROL_REPLICA_DEFS_H
#define WISTERIA_CONTROL_REPLICA_DEFS_H

#include "wisteria/control/log_writer.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/raft/raft_defs.h"
#include "wisteria/settings/settings_defs.h"
#include "wisteria/storage/storage_defs.h"

#define REPLICA_TICK_MS 20
/* How often an instance without a group looks for one. */
#define REPLICA_SEARCH_MS 250
/* A search answer or a wish to join counts for this long. */
#define REPLICA_FRESH_MS 2000
/* A snapshot is made after this many entries or bytes in the log. */
#define REPLICA_SNAPSHOT_ENTRIES 20000
#define REPLICA_SNAPSHOT_BYTES (32u << 20)

/* The kinds of msg_raft_t that are not the log's own. */
enum {
	REPLICA_MSG_SEARCH = 100,
	REPLICA_MSG_SEARCH_REPLY, /* reject: the sender knows of a group */
	REPLICA_MSG_JOIN
};

/* The state machine that the log drives; on the control thread. */
typedef struct replica_machine_t {
	void (*apply)(struct replica_machine_t *self, uint64_t index,
		      uint64_t term, const uint8_t *data, size_t len);
	void (*snapshot)(struct replica_machine_t *self, msgpack_sbuffer *out);
	bool (*restore)(struct replica_machine_t *self, const uint8_t *data,
			size_t len, err_t *err);
	/* Reads up to "ticket" are confirmed and their index is applied. */
	void (*confirmed)(struct replica_machine_t *self, uint64_t ticket);
	/* Leader or term have changed. */
	void (*leader_changed)(struct replica_machine_t *self);
	/* An answer came from the instance that leads, to what was sent. */
	void (*message)(struct replica_machine_t *self, conn_t *conn,
			const msg_t *msg);
} replica_machine_t;

/* Another control instance. */
typedef struct {
	char instance[NET_INSTANCE_BYTES];
	char address[NET_ADDRESS_BYTES];
	link_t link;
	bool linked;
	bool is_first_voter; /* of the settings' list of voters */
	/* What it answered to a search. */
	uint64_t id;
	bool blank;
	clock_ms_t answered_ms;
} replica_peer_t;

/* An instance that asks to be taken into the group. */
typedef struct {
	raft_member_t member;
	clock_ms_t asked_ms;
} replica_joiner_t;

/* One replica of the log with its disk, its thread and its peers. */
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
	GArray *joiners;	 /* of replica_joiner_t */
	GArray *confirmed;	 /* of raft_read_t, to be applied */
	uv_timer_t tick;
	uv_check_t pump;
	clock_ms_t search_at_ms;
	uint64_t seen_term;
	uint64_t seen_leader;
	bool snapshot_under_way;
	size_t log_bytes;	   /* since the last snapshot */
	uint64_t snapshot_entries; /* between snapshots */
	bool closed;
} replica_t;

#endif
