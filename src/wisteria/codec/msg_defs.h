#ifndef WISTERIA_CODEC_MSG_DEFS_H
#define WISTERIA_CODEC_MSG_DEFS_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "wisteria/codec/codec_defs.h"

/* The version of the message table, exchanged in the hello. */
#define MSG_VERSION 1

/* The types of messages between wisteriadrift processes. */
typedef enum {
	/* Every connection. */
	MSG_HELLO = 1,
	MSG_AUTH = 2,
	MSG_PING = 3,
	MSG_PONG = 4,

	/* Between entry and agents, for model requests. */
	MSG_OPEN = 16,
	MSG_OPEN_REPLY = 17,
	MSG_START = 18,
	MSG_TOKENS = 19,
	MSG_TOKENS_ACK = 20,
	MSG_RESUME = 21,
	MSG_CLOSE = 22,
	MSG_SESSION_FAILED = 23,
	MSG_REROUTE = 24,
	MSG_TAKEOVER = 25,
	MSG_TAKEOVER_REPLY = 26,

	/* Between agents. */
	MSG_STEP = 32,
	MSG_STEP_ACK = 33,
	MSG_STEP_RESULT = 34,

	/* Between entry and agents, for plain services. */
	MSG_CALL = 48,
	MSG_CALL_REPLY = 49,
	MSG_CALL_CANCEL = 50,

	/* Between daemons and control instances. */
	MSG_RENEW = 64,
	MSG_RENEW_REPLY = 65,
	MSG_ORDER = 66,
	MSG_ORDER_REPLY = 67,
	MSG_LEDGER = 68,
	MSG_LEDGER_REPLY = 69,
	MSG_ANNOUNCE = 70,
	MSG_ANNOUNCE_REPLY = 71,
	MSG_SHARES = 72,
	MSG_SHARES_REPLY = 73,

	/* Between control instances. */
	MSG_RAFT = 80,
	MSG_FLEET_FOUNDING = 81,

	/* Between the control instances of a fleet and their subscribers. */
	MSG_FLEET_SUBSCRIBE = 84,
	MSG_FLEET_RENEW = 85,
	MSG_FLEET_RENEW_REPLY = 86,
	MSG_FLEET_ENDPOINTS = 87,
	MSG_FLEET_LOAD = 88,
	MSG_FLEET_PACES = 89,
	MSG_FLEET_MEET = 90,
	MSG_FLEET_SILENT = 91,
	MSG_FLEET_PARTS = 92,
	MSG_FLEET_LIMITS = 93,
	MSG_FLEET_PLAN = 94,
	MSG_FLEET_RETRIES = 95,

	MSG_TYPE_COUNT = 96
} msg_type_t;

typedef struct {
	uint32_t version;
	const char *instance;
	uint64_t incarnation; /* identifies this run of the sender */
	const char *failure_domain;
	bytes_t nonce;
} msg_hello_t;

typedef struct {
	bytes_t mac;
} msg_auth_t;

typedef struct {
	uint64_t sequence;
} msg_ping_t;

/* One range of layers [first_layer, end_layer) and the endpoint serving it. */
typedef struct {
	const char *endpoint;
	const char *address; /* IP:PORT of the agent */
	uint64_t incarnation;
	uint32_t first_layer;
	uint32_t end_layer;
} msg_hop_t;

/* One generated token; "index" counts from 0 over the whole answer. */
typedef struct {
	uint32_t index;
	const char *text;
	bool last;
} msg_token_t;

/*
 * Reserves a slot for an attempt on one hop of its chain.  Nothing runs
 * before MSG_START.  "tokens" are those already delivered to the caller by
 * earlier attempts; the first hop continues after them.
 */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	uint64_t revision;
	const char *request_id;
	const char *customer;
	const char *model;
	uint32_t priority;
	int64_t remaining_ms; /* until the caller's deadline */
	uint32_t max_tokens;
	uint32_t hop;
	const msg_hop_t *hops;
	size_t hop_count;
	const char *prompt;
	const msg_token_t *tokens;
	size_t token_count;
	const char *traceparent;
	bool is_replacement; /* of one hop; the others keep their state */
} msg_open_t;

/* An endpoint's load; "in_flight" and "queued" count sessions. */
typedef struct {
	const char *endpoint;
	uint32_t in_flight;
	uint32_t queued;
	uint32_t slots;
	double step_ms; /* moving average for a batch; 0: none */
} msg_load_t;

typedef enum {
	REFUSAL_NONE,
	REFUSAL_BUSY,
	REFUSAL_LEAVING,
	REFUSAL_OLD_REVISION,
	REFUSAL_OLD_ATTEMPT,
	REFUSAL_WRONG_LAYERS,
	REFUSAL_NO_LEASE,
	REFUSAL_UNKNOWN_ENDPOINT,
	REFUSAL_NO_SESSION
} refusal_t;

typedef struct {
	uint64_t session;
	uint32_t attempt;
	uint32_t hop;
	uint32_t refusal; /* a refusal_t; REFUSAL_NONE: reserved */
	msg_load_t load;
} msg_open_reply_t;

typedef struct {
	uint64_t session;
	uint32_t attempt;
} msg_session_t;

/* Tokens from the first hop to the entry, in order of index. */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	const msg_token_t *tokens;
	size_t token_count;
	msg_load_t load;
} msg_tokens_t;

/* "next" is the index of the first token that the sender lacks. */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	uint32_t next;
	uint32_t hop; /* of the receiver */
} msg_tokens_ack_t;

typedef struct {
	uint64_t session;
	uint32_t attempt;
	const char *reason;
	bool one_hop; /* close only "hop"; otherwise all hops at the agent */
	uint32_t hop;
} msg_close_t;

/* "step" of msg_session_failed_t: another entry took over the session. */
#define SESSION_FAILED_STEP_TAKEOVER "takeover"

/* Reports an attempt that cannot continue; "hop" is the failed hop. */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	uint32_t hop;
	const char *step;
	const char *peer;
	const char *reason;
} msg_session_failed_t;

/*
 * Replaces one hop of a running attempt.  The other hops keep their state of
 * the session and switch to the new attempt number; the hop before the
 * replacement sends it the stored activations from position 0 on.
 */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	uint32_t hop; /* of the receiver */
	const msg_hop_t *hops;
	size_t hop_count;
	uint32_t replaced;
} msg_reroute_t;

/*
 * Sent to the first hop by an entry whose caller resumes a stream, to take over
 * its session.  The session's previous entry may be another one, which may
 * still be running, or the same one.  Granted only for the same customer.
 */
typedef struct {
	uint64_t session;
	const char *customer;
} msg_takeover_t;

/*
 * The current state of the session.  "open" holds the current attempt, the
 * chain and all tokens generated so far; new attempts are numbered from
 * "next_attempt" on, so that they differ from those that the old entry may
 * still start.
 */
typedef struct {
	uint64_t session;
	bool found;
	uint32_t next_attempt;
	msg_open_t open;
} msg_takeover_reply_t;

/* The activations of one position of the sequence. */
typedef struct {
	bytes_t activations;
} msg_position_t;

/*
 * Work for the next hop: positions [first_position, first_position + count).
 * Position 0 is the prompt, position n the token of index n - 1.
 */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	uint32_t hop; /* of the receiver */
	uint32_t first_position;
	const msg_position_t *positions;
	size_t position_count;
} msg_step_t;

/*
 * Acknowledges the positions below "next"; with "resend" it also requests those
 * from "next" on.  From hop 0 to the last hop, it is about tokens instead of
 * positions.
 */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	uint32_t hop; /* that received the steps; 0: the tokens */
	uint32_t next;
	bool resend;
} msg_step_ack_t;

/* A token that the last hop generated, sent to the first hop. */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	msg_token_t token;
} msg_step_result_t;

typedef struct {
	const char *name;
	const char *value;
} msg_header_t;

/* A call to a plain service. */
typedef struct {
	uint64_t call;
	uint64_t revision;
	const char *endpoint;
	const char *request_id;
	const char *customer;
	const char *method;
	const char *path;
	const msg_header_t *headers;
	size_t header_count;
	bytes_t body;
	int64_t remaining_ms;
	const char *traceparent;
	/*
	 * 0 when first sent; when resent after a lost connection, the
	 * incarnation of the agent to which it was first sent.
	 */
	uint64_t incarnation;
} msg_call_t;

typedef enum {
	CALL_DONE,    /* the service answered */
	CALL_NOT_RUN, /* no byte of the call reached the service */
	CALL_UNKNOWN  /* it may have run */
} call_outcome_t;

typedef struct {
	uint64_t call;
	uint32_t outcome; /* a call_outcome_t */
	uint32_t refusal; /* a refusal_t, where not run */
	uint32_t status;
	const msg_header_t *headers;
	size_t header_count;
	bytes_t body;
	const char *reason;
	msg_load_t load;
} msg_call_reply_t;

typedef struct {
	uint64_t call;
	uint64_t incarnation; /* of the agent that the call was sent to */
} msg_call_cancel_t;

typedef enum {
	ENDPOINT_MODEL,
	ENDPOINT_SERVICE
} endpoint_kind_t;

/* An endpoint as its agent announces it and the directory stores it. */
typedef struct {
	const char *name;
	const char *instance;
	uint64_t incarnation;
	const char *address; /* IP:PORT of the agent */
	uint32_t kind;	     /* an endpoint_kind_t */
	const char *target;  /* the model or service */
	uint32_t first_layer;
	uint32_t end_layer;
	const char *accelerator;
	uint32_t slots;
	const char *failure_domain;
	const char *region;
	bool checks_fencing;
	bool leaving; /* its daemon is shutting down */
} msg_endpoint_t;

typedef struct {
	const char *text;
} msg_name_t;

/*
 * One customer's sessions at one entry: its demand, or the share granted to it.
 * A demand also gives the number of sessions that run and the share that the
 * entry holds; a granted share gives the capability of the contract that was
 * divided.
 */
typedef struct {
	const char *customer;
	uint32_t sessions; /* wanted, or granted */
	uint32_t running;
	uint32_t held;
	uint32_t capability;
} msg_share_t;

/* The work in flight at an endpoint; shows operators when it has drained. */
typedef struct {
	const char *endpoint;
	uint32_t running;
} msg_running_t;

/*
 * Asks a control instance to renew a daemon's configuration lease.  The lease
 * starts at the time when the request was sent.
 */
typedef struct {
	uint64_t sequence;
	const char *instance;
	uint64_t incarnation;
	uint64_t revision; /* newest that the daemon holds; 0: none */
	uint64_t directory_epoch;
	uint64_t directory_version;
	const msg_share_t *demand;
	size_t demand_count;
	const msg_name_t *presets; /* names of those that the daemon holds */
	size_t preset_count;
	uint64_t shares_term; /* in which its shares were granted; 0: none */
} msg_renew_t;

/*
 * Sent by an agent to every control instance directly: the endpoints that it
 * serves, and a heartbeat.
 */
typedef struct {
	const char *instance;
	uint64_t incarnation;
	bool unchanged; /* list omitted: same as last on this connection */
	const msg_endpoint_t *endpoints;
	size_t endpoint_count;
	const msg_running_t *running;
	size_t running_count;
} msg_announce_t;

typedef struct {
	bool again; /* the list is unknown: send it again */
} msg_announce_reply_t;

/* One preset as accepted; "text" is its YAML. */
typedef struct {
	const char *name;
	uint64_t revision; /* of its creation */
	const char *text;
} msg_preset_t;

/* The configuration in force. */
typedef struct {
	uint64_t revision;
	const char *preset;
	const msg_name_t *leaving;
	size_t leaving_count;
} msg_config_t;

typedef enum {
	ENGINE_ORDER_PENDING,
	ENGINE_ORDER_CLAIMED, /* by the process that will send it */
	ENGINE_ORDER_DONE,
	ENGINE_ORDER_REFUSED, /* by the engine, for its fencing token */
	ENGINE_ORDER_UNKNOWN  /* it may have run */
} engine_order_state_t;

/* An order to an engine (load a model, change role). */
typedef struct {
	const char *id; /* of the operator's order */
	const char *endpoint;
	const char *text; /* a JSON object, for the engine */
	uint64_t fence;
	uint32_t state;	      /* an engine_order_state_t */
	uint64_t incarnation; /* of the process that claimed it */
} msg_engine_order_t;

typedef struct {
	uint64_t sequence;
	bool granted;
	int64_t lease_ms;
	bool has_config;
	msg_config_t config;
	const msg_preset_t *presets; /* those that the daemon lacks */
	size_t preset_count;
	uint64_t directory_epoch;
	uint64_t directory_version;
	bool directory_is_complete; /* replaces all that the daemon has */
	const msg_endpoint_t *endpoints;
	size_t endpoint_count;
	const msg_name_t *removed;
	size_t removed_count;
	const msg_share_t *shares;
	size_t share_count;
	uint64_t fence;			  /* highest fencing token issued */
	const msg_engine_order_t *orders; /* open, for its endpoints */
	size_t order_count;
	uint64_t shares_term; /* in which "shares" were granted */
} msg_renew_reply_t;

/* Sent by a control instance to the leader, to request an entry's shares. */
typedef struct {
	uint64_t sequence;
	const char *instance; /* the entry */
	const msg_share_t *demand;
	size_t demand_count;
	uint64_t shares_term; /* as in the entry's renewal */
} msg_shares_t;

/* The shares granted in "term"; valid with a read confirmed in that term. */
typedef struct {
	uint64_t sequence;
	uint64_t term;
	const msg_share_t *shares;
	size_t share_count;
} msg_shares_reply_t;

typedef enum {
	ORDER_PRESET_CREATE,
	ORDER_PRESET_USE,
	ORDER_ENDPOINT_LEAVE,
	ORDER_ENDPOINT_RETURN,
	ORDER_ENGINE,
	ORDER_MEMBER_ADD,
	ORDER_MEMBER_PROMOTE,
	ORDER_MEMBER_REMOVE,
	ORDER_PRESET_DELETE,
	ORDER_ENGINE_CLAIM,  /* by the agent, before it sends an order */
	ORDER_ENGINE_RESULT, /* by the agent, after it sent an order */
	ORDER_KIND_COUNT
} order_kind_t;

/* An operator's order; resent with the same id, it is applied only once. */
typedef struct {
	const char *id;
	uint32_t kind; /* an order_kind_t */
	bool has_expected;
	uint64_t expected_revision;
	const char *name; /* preset, endpoint or instance */
	const char *text; /* preset text, engine order, address */
	const char *operator_name;
	int64_t wall_ms;       /* UTC, only for display */
	bool forwarded;	       /* by a control instance, to the leader */
	uint64_t fence;	       /* fencing token, in a claim or a result */
	uint64_t incarnation;  /* of that agent */
	uint32_t engine_state; /* an engine_order_state_t, a result */
	bool checked; /* the leader validated "text" before logging it */
} msg_order_t;

typedef enum {
	ORDER_APPLIED,
	ORDER_REFUSED,	/* invalid, not found */
	ORDER_CONFLICT, /* another order took the expected revision */
	ORDER_UNKNOWN	/* no quorum in time; resend with the same id */
} order_outcome_t;

typedef struct {
	const char *id;
	uint32_t outcome; /* an order_outcome_t */
	uint64_t revision;
	const char *reason;
	msg_order_t winner; /* on conflict */
} msg_order_reply_t;

typedef enum {
	LEDGER_RESERVE,
	LEDGER_RECORD, /* the result of a call that ran */
	LEDGER_RELEASE /* the call provably did not run */
} ledger_op_t;

typedef enum {
	LEDGER_GRANTED,	    /* reserved for this caller: dispatch it */
	LEDGER_PENDING,	    /* reserved by another, no result yet */
	LEDGER_STORED,	    /* it ran; "result" holds the answer */
	LEDGER_UNKNOWN,	    /* it may have run; no answer was recorded */
	LEDGER_OK,	    /* recorded or released */
	LEDGER_FULL,	    /* no room; nothing was reserved */
	LEDGER_UNAVAILABLE, /* no quorum in time; the state is not known */
	LEDGER_MISMATCH	    /* same key, another request */
} ledger_state_t;

/* A request to the replicated ledger of non-idempotent calls. */
typedef struct {
	uint64_t sequence;
	uint32_t op; /* a ledger_op_t */
	const char *customer;
	const char *service;
	const char *key;
	uint64_t owner;	      /* the dispatching call */
	uint64_t fingerprint; /* of method, path and body */
	bytes_t result;	      /* an encoded msg_call_reply_t */
	int64_t retention_ms;
	bool forwarded; /* by a control instance, to the leader */
} msg_ledger_t;

typedef struct {
	uint64_t sequence;
	uint32_t state; /* a ledger_state_t */
	bytes_t result;
} msg_ledger_reply_t;

typedef struct {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	bytes_t data;
} msg_raft_entry_t;

/* Every message of the replicated log; see raft_defs.h for "kind". */
typedef struct {
	uint32_t kind;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t log_index;
	uint64_t log_term;
	uint64_t commit;
	uint64_t context;
	bool reject;
	uint64_t hint;
	const msg_raft_entry_t *entries;
	size_t entry_count;
	bytes_t snapshot;
	uint64_t snapshot_offset;
	bool snapshot_done;
	bytes_t members;
} msg_raft_t;

/* A step of the agreement on the first members; see founding_defs.h. */
typedef struct {
	uint32_t kind;
	uint64_t round;
	uint64_t proposer;
	uint64_t accepted_round;
	uint64_t accepted_proposer;
	bytes_t members;
} msg_fleet_founding_t;

/* A received message; "body" is the struct of its type, owned by "zone". */
typedef struct {
	msg_type_t type;
	const void *body;
	msgpack_zone zone;
} msg_t;

/* Subscribes to the reports of endpoints and the usage by entries. */
typedef struct {
	bool is_entry;
} msg_fleet_subscribe_t;

/* Asks for a lease on the newest revision. */
typedef struct {
	int64_t request_sent_ms; /* sender's clock; copied into the reply */
	uint64_t revision;	 /* held by the sender; 0: none */
} msg_fleet_renew_t;

/* A control instance; some process confirmed it "age_ms" ago. */
typedef struct {
	const char *address; /* IP:PORT for frames */
	bool has_disk;
	int64_t age_ms;
} msg_fleet_control_t;

/* An entry; some control instance heard of it "age_ms" ago. */
typedef struct {
	const char *instance;
	int64_t age_ms;
} msg_fleet_entry_t;

/*
 * The control instances known to the sender, including itself, and, for control
 * instances only, the entries known to it.
 */
typedef struct {
	const msg_fleet_control_t *controls;
	size_t control_count;
	const msg_fleet_entry_t *entries;
	size_t entry_count;
} msg_fleet_meet_t;

/*
 * The newest revision, confirmed by a quorum after the request arrived.  The
 * document is empty if the receiver already holds "revision".
 */
typedef struct {
	int64_t request_sent_ms;
	uint64_t revision;
	bytes_t packed_document;	     /* see pack_bytes() */
	const msg_fleet_control_t *controls; /* members of the group */
	size_t control_count;
	uint32_t subscribers; /* entries subscribed to the sender */
	const char *leader;   /* IP:PORT for frames; empty: not known */
	/* Entries that any control instance heard of during the last window. */
	uint32_t recent_entries;
} msg_fleet_renew_reply_t;

/* An endpoint's last report of itself, which is "age_ms" old. */
typedef struct {
	const char *id;
	const char *address;
	const char *service;
	const char *failure_domain;
	const char *accelerator;
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t slots;
	uint32_t first_layer;
	uint32_t end_layer;
	bool draining;
	bool gone;
	int64_t age_ms;
	bool unreachable;
} msg_fleet_endpoint_t;

/* A heartbeat of an endpoint whose report has not changed. */
typedef struct {
	const char *id;
	uint64_t incarnation;
	uint64_t sequence;
	int64_t age_ms;
} msg_fleet_alive_t;

/* A shared part of prompts. */
typedef struct {
	uint64_t part;
	int64_t passed_ago_ms;	 /* when it was last served; -1: not known */
	int64_t refused_left_ms; /* 0: it is not refused */
	/* In an answer: requests sent to an endpoint that may yet crash it. */
	uint32_t under_way;
} msg_fleet_part_t;

typedef struct {
	const msg_fleet_endpoint_t *endpoints;
	size_t endpoint_count;
	const msg_fleet_alive_t *alive;
	size_t alive_count;
	uint32_t entries; /* of the fleet; only in the copy on disk */
	const msg_fleet_part_t *parts; /* refused; only in the copy on disk */
	size_t part_count;
} msg_fleet_endpoints_t;

/* The requests in flight at an endpoint. */
typedef struct {
	const char *id;
	double tokens;
	double unread_tokens; /* prompts of those without a first event */
	double sequences;
} msg_fleet_use_t;

/* What callers of one entry asked of a service since its last report. */
typedef struct {
	const char *service;
	uint32_t rank;	       /* of the requests; see route_table_rank() */
	double arrived_tokens; /* prompts of new requests */
	double waiting_tokens; /* prompts of those that wait unsent */
} msg_fleet_demand_t;

/*
 * The usage of endpoints by one entry, sent to the leader, or by all entries,
 * sent by the leader with an empty "entry".  Endpoints not listed are unused.
 */
typedef struct {
	const char *entry;
	uint64_t sequence;
	const msg_fleet_use_t *uses;
	size_t use_count;
	bool slow; /* the entry's streams have many long pauses */
	/* Only from entries: */
	int64_t sent_ms; /* sender's clock; copied into the plan */
	const msg_fleet_demand_t *demands;
	size_t demand_count;
} msg_fleet_load_t;

/* Layers [first_layer, end_layer), run by one incarnation of an endpoint. */
typedef struct {
	const char *endpoint;
	uint64_t incarnation;
	uint32_t first_layer;
	uint32_t end_layer;
} msg_fleet_hop_t;

/* A pipeline and what the receiver may send through it. */
typedef struct {
	double tokens_per_s; /* of prompts */
	double first_event_ms;
	double pause_ms;
	const msg_fleet_hop_t *hops;
	size_t hop_count;
} msg_fleet_flow_t;

/* How the requests of one rank are admitted under a shortage. */
typedef struct {
	double promoted; /* fraction that is sent with rank 0 */
	double left;	 /* part of the capacity after more urgent ranks */
} msg_fleet_rank_t;

/* The part of a service's capacity that the receiver may use. */
typedef struct {
	const char *service;
	double share_per_s;    /* prompt tokens that it may begin */
	double capacity_per_s; /* of all entries */
	int64_t level; /* least urgent rank admitted in full; -1: none */
	const msg_fleet_flow_t *flows;
	size_t flow_count;
	const msg_fleet_rank_t *ranks; /* by rank; empty: no shortage */
	size_t rank_count;
} msg_fleet_service_plan_t;

/* From the leader to one entry; see docs/design/demand.md. */
typedef struct {
	uint64_t term; /* of the leader */
	uint64_t sequence;
	int64_t report_sent_ms; /* of the receiver's report that it answers */
	const msg_fleet_service_plan_t *services;
	size_t service_count;
} msg_fleet_plan_t;

/* Sent to the leader: endpoints of pipelines whose streams are silent. */
typedef struct {
	const msg_name_t *endpoints; /* their ids */
	size_t endpoint_count;
} msg_fleet_silent_t;

/* The factor by which an engine is slower than usual; 1: not slower. */
typedef struct {
	const char *id;
	double pace;
} msg_fleet_pace_t;

/* The slow engines that the leader's probes found; the others are not slow. */
typedef struct {
	const msg_fleet_pace_t *slow_engines;
	size_t slow_engine_count;
} msg_fleet_paces_t;

/*
 * From an entry to the leader: the parts of a request under which an endpoint
 * has just crashed, or what it knows of the parts that are watched.  From the
 * leader: the parts that are watched or refused.
 */
typedef struct {
	uint64_t endpoint; /* that crashed, and its incarnation; 0: none did */
	uint64_t request;
	const msg_fleet_part_t *parts;
	size_t part_count;
	uint64_t digest;	      /* of the whole request; 0: not given */
	int64_t digest_passed_ago_ms; /* -1: not known */
	/* The endpoint, if its crash has to be confirmed; otherwise "". */
	const char *suspected_id;
	uint64_t suspected_incarnation;
	int64_t crashed_ago_ms;
	/*
	 * From the leader: an entry is to answer at once what it knows of the
	 * parts.  From an entry: the question that it answers.  Otherwise 0.
	 */
	uint64_t question;
} msg_fleet_parts_t;

/* The requests per second that an endpoint takes from all entries together. */
typedef struct {
	const char *endpoint;
	uint64_t incarnation;
	double per_s; /* below 0: it names none */
	/* Age of the newest answer that says so; -1: none reached the sender. */
	int64_t seen_ago_ms;
	/* From an entry: its demand since the last report; else its permits. */
	uint32_t requests;
} msg_fleet_limit_t;

/* A report of an entry to the leader, or the leader's answer to it. */
typedef struct {
	/* By the entry's clock; the leader returns that of the last report. */
	int64_t report_sent_ms;
	bool is_short; /* the entry has requests without a permit */
	const msg_fleet_limit_t *limits;
	size_t limit_count;
} msg_fleet_limits_t;

/*
 * An entry asks a control instance for retries of the fleet's reserve, or gets
 * some.
 */
typedef struct {
	const char *service;
	uint32_t count;
	int64_t request_sent_ms; /* by the entry's clock; copied into the grant */
} msg_fleet_retries_t;

#endif
