#ifndef WISTERIA_GATEWAY_GATEWAY_DEFS_H
#define WISTERIA_GATEWAY_GATEWAY_DEFS_H

#include <sys/queue.h>

#include "wisteria/fleet/dialect.h"
#include "wisteria/fleet/part_guard_defs.h"
#include "wisteria/fleet/pipeline_defs.h"
#include "wisteria/fleet/registry_defs.h"
#include "wisteria/fleet/request_limits.h"
#include "wisteria/fleet/subscription_defs.h"
#include "wisteria/gateway/answer_times.h"
#include "wisteria/gateway/demand.h"
#include "wisteria/gateway/endpoint_notices.h"
#include "wisteria/gateway/flow_plan.h"
#include "wisteria/gateway/long_pauses.h"
#include "wisteria/gateway/outcome.h"
#include "wisteria/gateway/permits.h"
#include "wisteria/gateway/prefill_again.h"
#include "wisteria/gateway/retry_grants.h"
#include "wisteria/gateway/shortage.h"
#include "wisteria/gateway/silence.h"
#include "wisteria/gateway/usage.h"
#include "wisteria/gateway/wait_queue.h"
#include "wisteria/http/event_stream.h"
#include "wisteria/http/http_call.h"
#include "wisteria/http/http_server.h"
#include "wisteria/limits/equal_share.h"
#include "wisteria/limits/retry_arrivals.h"
#include "wisteria/limits/retry_window.h"
#include "wisteria/settings/settings_defs.h"

/* Longest delay in detecting a silent stream, which may pause for 200 ms. */
#define GATEWAY_TICK_MS 25
/* Usage stays valid (USAGE_MAX_AGE_MS) if two reports in a row are lost. */
#define GATEWAY_REPORT_INTERVAL_MS 500
/* Connecting within a region takes a few ms; a dead host never answers. */
#define GATEWAY_CONNECT_TIMEOUT_MS 400
/* How long a failed endpoint is avoided: about two heartbeat intervals. */
#define GATEWAY_SUSPICION_MS 2500
/*
 * A stream silent for this long is resumed at another endpoint.  Callers
 * disconnect after 2 s of silence; the difference is the time that the other
 * endpoint needs to process the prompt.
 */
#define GATEWAY_STALL_TIMEOUT_MS 900
/*
 * Least multiple of the long pauses elsewhere after which a stream is resumed
 * there: a shorter silence may be a pause of the same kind.
 */
#define GATEWAY_LONG_PAUSE_FACTOR 2
/* Time that another endpoint needs until the first event of a resumed stream. */
#define GATEWAY_RESUME_MS 1100
/*
 * The same for a stream one of whose endpoints is known to be lost: long enough
 * for events that are still in transit to arrive.
 */
#define GATEWAY_LOST_ENDPOINT_STALL_MS 40
/* Most bytes without a complete event that an endpoint may send in a stream. */
#define GATEWAY_EVENT_BYTES_MAX (256u << 10)
/*
 * Bytes of a stream that its caller has not taken at which the endpoint is not
 * read on, until half of them are taken; several times a usual stream.
 */
#define GATEWAY_BACKLOG_BYTES_MAX (64u << 10)
/*
 * Most bytes of unfinished answers that are held, over all requests: answers
 * other than streams, which are forwarded only once they are complete, and
 * events of streams that are not.
 */
#define GATEWAY_ANSWERS_BYTES_MAX (24u << 20)
/* Minimum interval between reports of silent endpoints to the leader. */
#define GATEWAY_SILENCE_REPORT_INTERVAL_MS 150
/*
 * A tick this late means that this process was not scheduled; the silence of
 * its streams then says nothing about their endpoints.
 */
#define GATEWAY_LATE_TICK_MS 150
/*
 * An endpoint of a silent pipeline is assumed to have failed if its last
 * heartbeat is this old: one is sent every 1.2 s and forwarded within 0.2 s.
 */
#define GATEWAY_STALL_HEARTBEAT_AGE_MS 1500
/* A pause is long if it exceeds this fraction of the route's pause goal. */
#define GATEWAY_LONG_PAUSE_RATIO 0.5
/*
 * Streams are reported as slow if at least this fraction of their events, and
 * at least this many, came after a long pause.  Events that arrive together
 * count as one.
 */
#define GATEWAY_SLOW_EVENT_RATIO 0.05
#define GATEWAY_SLOW_EVENTS_MIN 5
/* Reported slowdowns of engines expire after this; one comes each second. */
#define GATEWAY_SLOWDOWN_MAX_AGE_MS 4000
/*
 * How long a request is held while there is no lease, and how long it may wait
 * for capacity during GATEWAY_WARM_UP_MS; callers disconnect from a stream that
 * is silent for 2 s.
 */
#define GATEWAY_HOLD_TIMEOUT_MS 1500
/*
 * Once this time has passed since the first endpoint became known, all running
 * endpoints of the fleet are known: two heartbeat intervals of 1.2 s.
 */
#define GATEWAY_WARM_UP_MS 2600
/*
 * Fraction of the goal for the first event that a request may spend waiting
 * for capacity; the rest is for processing its prompt.
 */
#define GATEWAY_QUEUE_TIME_RATIO 0.6

/*
 * How long a retry that the entry's own budget does not allow waits for one of
 * the fleet's reserve: a round trip to the leader, beside a busy process.
 */
#define GATEWAY_RETRY_WAIT_MS 200

/* Parts and requests whose last pass is kept; a new one replaces another. */
#define GATEWAY_PART_PASSES_MAX 4096

/* When a part, or a request, was last served. */
typedef struct {
	uint64_t part;
	clock_ms_t at_ms; /* 0: never */
} part_pass_t;

/* Most crashes of endpoints that are kept for a new leader, the last ones. */
#define GATEWAY_CRASHES_MAX 32
/*
 * For how long a leader is told of earlier crashes; one that has just been
 * elected may be known before it leads.
 */
#define GATEWAY_CRASHES_TOLD_MS 3000

/* A request of this entry under which an endpoint crashed, or may have. */
typedef struct {
	clock_ms_t at_ms; /* 0: none */
	char endpoint_id[ENDPOINT_ID_BYTES];
	uint64_t incarnation;
	bool is_certain;
	uint64_t request;
	uint64_t digest;
	uint64_t parts[REQUEST_PARTS_MAX]; /* of the prompt */
	uint32_t part_count;
} seen_crash_t;

/* The endpoints that one attempt uses: a single one or a pipeline. */
typedef struct {
	char ids[PIPELINE_HOPS_MAX][ENDPOINT_ID_BYTES];
	char addresses[PIPELINE_HOPS_MAX][ENDPOINT_ADDRESS_BYTES];
	uint32_t first_layers[PIPELINE_HOPS_MAX];
	uint32_t end_layers[PIPELINE_HOPS_MAX];
	uint32_t count;
	bool is_pipeline;
	/*
	 * Estimated average number that the request holds at each endpoint
	 * while it runs; 0 for services without a model.
	 */
	double tokens;
	/*
	 * Pipeline: estimated pass time with the surcharges for crossings
	 * between failure domains; otherwise a load score without a unit.
	 */
	double cost_ms;
	/*
	 * If TARGET_PAUSED: when the first endpoint that wants nothing for a
	 * while may be used again.
	 */
	clock_ms_t pause_end_ms;
	/*
	 * If TARGET_LIMITED: the requests per second that this entry may send
	 * to the endpoints that are at their limit.
	 */
	double limited_per_s;
	/* Pipeline of a plan: expected time to the first event; else 0. */
	double first_event_ms;
} target_t;

struct gateway_t;
struct repair_t;
struct paused_attempt_t;

/* A request that is held until there is a lease. */
typedef struct {
	http_conn_t *conn;
	clock_ms_t since_ms;
} held_request_t;

/* One request of a caller, from its arrival to the end of its answer. */
typedef struct exchange_t {
	http_call_handler_t call_handler;
	LIST_ENTRY(exchange_t) entry;
	wait_item_t wait;
	struct gateway_t *gateway;
	http_conn_t *conn; /* NULL: the caller has disconnected */
	route_table_t *table;
	const route_t *route;
	const service_t *service;
	caller_request_t caller;
	const char *customer;
	int32_t rank; /* see route_table_rank() */
	clock_ms_t started_ms;
	clock_ms_t deadline_ms;
	http_call_t *call;	 /* of the current attempt, or NULL */
	target_t target;	 /* of the current attempt */
	uint64_t incarnation;	 /* of its first endpoint */
	struct repair_t *repair; /* order under way, or NULL */
	bool repair_failed;	 /* of the current attempt */
	clock_ms_t sent_ms;	 /* of the current attempt */
	bool is_unread;		 /* its prompt, as far as known */
	bool is_counted;     /* the current attempt, as a retry of the budget */
	bool awaits_arrival; /* its endpoint has not shown to have it */
	retry_arrivals_t retry_arrivals; /* of all attempts */
	/* Until when a retry waits for a grant of the reserve; 0: none does. */
	clock_ms_t retry_until_ms;
	failed_attempt_t retry_of; /* while it waits: what failed, and why */
	char retry_reason[32];
	bool cancelled_open;	     /* an attempt, and none has begun since */
	clock_ms_t last_progress_ms; /* last send or received data */
	/*
	 * Since when the attempt owes an event; comments don't count.  Time in
	 * which this process was paused is left out, here and above.
	 */
	clock_ms_t event_due_since_ms;
	clock_ms_t filler_ms; /* last bytes that completed no event */
	struct paused_attempt_t *paused; /* another one, silent; or NULL */
	GPtrArray *failed_ids; /* endpoints that are not tried again */
	bool demand_counted;   /* of the next attempt, at limited ones */
	unsigned send_count;
	prefill_again_cause_t again_cause; /* of attempts but the first */
	unsigned possible_runs;		   /* attempts that may have run */
	unsigned possible_arrivals;	   /* attempts possibly received */
	bool is_streaming; /* the answer is forwarded as it arrives */
	bool has_passed;   /* the endpoint has outlived the first events */
	bool is_held_back; /* until the caller takes more of it */
	bool headers_sent;
	event_stream_t event_stream;
	http_framing_t answer_framing; /* of the current attempt */
	size_t answer_bytes;	       /* held of it */
	double request_limit;	   /* that it names, or REQUEST_LIMIT_NONE */
	clock_ms_t first_event_ms; /* 0: none yet */
	clock_ms_t last_event_ms;
	clock_ms_t longest_gap_ms; /* between two events */
} exchange_t;

typedef LIST_HEAD(exchange_list_t, exchange_t) exchange_list_t;

/* A newer revision that is not in force yet. */
typedef struct {
	GBytes *packed; /* NULL: there is none */
	uint64_t revision;
	clock_ms_t request_sent_ms; /* of the renewal that returned it */
} pending_revision_t;

/* The fleet role that serves callers. */
typedef struct gateway_t {
	http_server_handler_t http_handler;
	http_server_handler_t ready_handler;
	subscription_handler_t subscription_handler;
	net_t *net;
	const settings_t *settings;
	const fleet_dialect_t *dialect;
	const clock_source_t *clock; /* also runs during a suspend */
	http_server_t http;
	http_server_t ready;
	subscription_t subscription;
	registry_t registry;
	route_table_t *table; /* NULL: no revision is in force yet */
	/* Parses revisions on a worker thread, off the event loop. */
	uv_work_t read_work;
	pending_revision_t reading;
	route_table_t *read_table; /* parsed by it; NULL: see "read_err" */
	err_t read_err;
	pending_revision_t next_revision; /* arrived during a parse */
	bool closed;
	uint32_t entry_count; /* in the fleet, per the last renewal reply */
	equal_share_t slack_share; /* of the retry slack */
	bool has_slack_share;	   /* at the last renewal */
	GHashTable *retry_windows; /* service -> retry_window_t */
	retry_grants_t retry_grants;
	GHashTable *shortages;	  /* service -> shortage_t */
	GHashTable *answer_times; /* service without engine -> answer_times_t */
	GHashTable *suspects;	  /* endpoint id -> clock_ms_t, expiry */
	endpoint_notices_t notices;
	GHashTable *slowdowns;	 /* id of a slow engine -> double * */
	clock_ms_t slowdowns_ms; /* when they were received */
	part_guard_t parts;	 /* as the leader decides */
	clock_ms_t parts_reported_ms;
	part_pass_t part_passes[GATEWAY_PART_PASSES_MAX]; /* by hash */
	seen_crash_t crashes[GATEWAY_CRASHES_MAX];
	uint32_t next_crash;	       /* in "crashes" */
	uint64_t crashes_leader_epoch; /* of the leader that is told of them */
	clock_ms_t crashes_told_until_ms;
	request_limits_t limits;     /* that endpoints name */
	request_limits_t own_limits; /* of them, in answers to this entry */
	permits_t permits;	     /* to send to limited endpoints */
	bool permits_short;	     /* a request lacks one since the report */
	bool limits_report_due;	     /* a limit has changed */
	clock_ms_t limits_reported_ms;
	usage_t usage;
	flow_plan_t plan; /* of the leader */
	demand_t demand;  /* since the last report */
	uint64_t report_sequence;
	clock_ms_t last_report_ms;
	/* Of all streams since the last report; counted by record_event(). */
	unsigned event_count;
	unsigned long_pause_count; /* of those, the ones after a long pause */
	silence_t silence;
	long_pauses_t long_pauses;
	clock_ms_t last_silence_report_ms;
	clock_ms_t last_tick_ms;
	double pipe_budget_ms; /* transfer time that this entry may use now */
	clock_ms_t pipe_refilled_ms;
	clock_ms_t first_endpoint_ms; /* first one known; 0: none yet */
	wait_queue_t waiting;	      /* for capacity at endpoints */
	exchange_list_t exchanges;
	size_t answer_bytes;   /* of all exchanges */
	GArray *held_requests; /* of held_request_t, oldest first */
	GRand *random;
	uv_timer_t tick;
	clock_ms_t drain_since_ms; /* 0: not draining */
	clock_ms_t stop_ms;	   /* when the planned stop takes effect */
} gateway_t;

#endif
