#ifndef WISTERIA_FLEET_FLEET_CONTROL_DEFS_H
#define WISTERIA_FLEET_FLEET_CONTROL_DEFS_H

#include <glib.h>

#include "wisteria/control/founding_defs.h"
#include "wisteria/control/replica_defs.h"
#include "wisteria/fleet/control_list.h"
#include "wisteria/fleet/crash_reports.h"
#include "wisteria/fleet/demand_sum.h"
#include "wisteria/fleet/dialect.h"
#include "wisteria/fleet/entry_list.h"
#include "wisteria/fleet/fleet_update.h"
#include "wisteria/fleet/load_sum.h"
#include "wisteria/fleet/part_guard_defs.h"
#include "wisteria/fleet/part_inquiry.h"
#include "wisteria/fleet/permit_issuer.h"
#include "wisteria/fleet/placer_defs.h"
#include "wisteria/fleet/prober.h"
#include "wisteria/fleet/registry_defs.h"
#include "wisteria/fleet/registry_file.h"
#include "wisteria/fleet/request_limits.h"
#include "wisteria/fleet/retry_reserve.h"
#include "wisteria/fleet/revisions.h"
#include "wisteria/fleet/subscription_defs.h"
#include "wisteria/http/http_server.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"

/* Interval at which received heartbeats are forwarded in one batch. */
#define FLEET_UPDATE_INTERVAL_MS 200
/*
 * A process that has not run for this long may have lost the leadership without
 * knowing it: the others elect a leader after as much silence.
 */
#define FLEET_PAUSE_MS RAFT_ELECTION_TIMEOUT_MS
/* Interval of the load totals to entries; entries report at the same rate. */
#define FLEET_LOAD_INTERVAL_MS 500
/* Engines are probed for this long after an entry reported slow streams. */
#define FLEET_PROBE_DURATION_MS 3000
/* The list of slow engines is repeated at this interval, for new entries. */
#define FLEET_SLOW_ENGINES_INTERVAL_MS 1000
/*
 * Timeout for calls and renewals that wait for a quorum: half of the 4 s within
 * which an operator expects an acknowledgement.
 */
#define FLEET_QUORUM_TIMEOUT_MS 2000

/*
 * After a start, this long, the fleet is taken to have at least the entries that
 * it had before: all of them may have been restarted, and connect one by one.
 */
#define FLEET_ENTRIES_RECALL_MS 10000
/* How often an instance without a replica logs that it dropped a message. */
#define FLEET_DROP_LOG_MS 1000
/* Interval at which control instances tell each other of the entries. */
#define FLEET_ENTRIES_INTERVAL_MS 1000
/* Limit of voters in a new group; 11 voters tolerate five failures. */
#define FLEET_INITIAL_VOTERS_MAX 11

/* A quorum read in progress, for a lease renewal or an operator's call. */
typedef struct {
	uint64_t ticket;
	clock_ms_t deadline_ms;
	conn_t *conn;	   /* subscriber that renews, or NULL */
	http_conn_t *http; /* operator's call, or NULL */
	/* Operator's call: a write whose revision is not newer than ours. */
	bool acknowledges_write;
	int64_t request_sent_ms; /* renewal: copied into the reply */
	uint64_t held_revision;	 /* renewal: held by the subscriber */
} fleet_read_t;

/* A proposed configuration that is waiting to be committed. */
typedef struct {
	uint64_t index;
	uint64_t term;
	uint64_t revision;
	clock_ms_t deadline_ms;
	http_conn_t *http;
} fleet_write_t;

/* The limits that endpoints name, as the leader knows and divides them. */
typedef struct {
	request_limits_t known;
	permit_issuer_t issuer;
	clock_ms_t issued_ms;	/* last round of permits */
	GHashTable *reports_ms; /* conn_t of an entry -> int64_t, its clock */
} fleet_limits_t;

/* What this instance grants of the retry reserve, and its file of it. */
typedef struct {
	retry_reserve_t reserve;
	GArray *waiting; /* requests that are not decided */
	GArray *stored;	 /* requests whose answers wait for the write */
	bool writing;
	bool failing;	       /* the last write failed */
	clock_ms_t written_ms; /* start of the last write */
	uint32_t file_granted; /* that count, according to the file */
	bool file_is_complete;
} fleet_retries_t;

/*
 * The control role of a fleet whose endpoints register themselves: keeps the
 * configuration revision in force, receives heartbeats, and places layers
 * while it leads.
 */
typedef struct {
	http_server_handler_t http_handler;
	conn_handler_t conn_handler;
	replica_machine_t machine;
	subscription_handler_t subscription_handler;
	prober_handler_t prober_handler;
	net_t *net;
	const fleet_dialect_t *dialect;
	const settings_t *settings;
	settings_t replica_settings; /* copy with "group" as control */
	settings_control_t group;    /* initial voters and data folder */
	replica_t replica;
	bool has_replica; /* started; never without a data folder */
	founding_t founding;
	founding_store_t founding_store;
	/* May be one of the first members: first start, or votes on disk. */
	bool may_found;
	bool founding_is_known;	       /* its decision was passed on */
	clock_ms_t founding_log_at_ms; /* when to log next that it waits */
	control_list_t known_controls; /* this instance included */
	clock_ms_t started_ms;
	clock_ms_t drop_log_ms; /* when to log a dropped message next */
	char *leader; /* last reported address; used without a replica */
	revisions_t revisions;
	route_table_t *table; /* of the revision in force; NULL: none */
	bool table_is_stale;  /* a newer revision has been applied */
	registry_t registry;
	registry_file_t registry_file; /* used with a data folder only */
	uint32_t recalled_entries;     /* of the fleet, before the start */
	fleet_sent_t sent;	       /* what all subscribers were sent */
	/* Ids of the endpoints to send to subscribers at the next tick. */
	GHashTable *updated_ids;
	GPtrArray *subscribers; /* of conn_t; "user" is set for entries */
	entry_list_t entries;	/* that any control instance heard of */
	clock_ms_t entries_sent_ms;
	bool entries_changed; /* since they were sent */
	GArray *reads;	      /* of fleet_read_t */
	GArray *writes;	      /* of fleet_write_t */
	listener_t listener;
	http_server_t http;
	subscription_t subscription; /* to the other control instances */
	placer_t placer;
	load_sum_t load;
	clock_ms_t load_sent_ms;
	demand_sum_t demand; /* by entry, for the traffic plan */
	uint64_t plan_sequence;
	part_guard_t parts;	       /* decides while this instance leads */
	clock_ms_t parts_sent_ms;      /* to the subscribers */
	size_t parts_sent;	       /* length of the last list */
	crash_reports_t crash_reports; /* of crashes that are not certain */
	part_inquiry_t part_inquiry;   /* before a verdict on crashes */
	fleet_limits_t limits;
	fleet_retries_t retries;
	prober_t prober;
	clock_ms_t slow_reported_ms; /* last report of slow streams */
	size_t slow_engines_sent;    /* length of the last list sent */
	clock_ms_t slow_engines_sent_ms;
	uv_timer_t tick;
	clock_ms_t last_tick_ms;
	/*
	 * Whether this process was paused and no quorum has confirmed since that
	 * it leads; the read that will, or 0.
	 */
	bool in_doubt;
	uint64_t doubt_ticket;
	uint64_t calls_open; /* not used */
	bool draining;
	bool closed;
} fleet_control_t;

#endif
