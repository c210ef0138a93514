#ifndef WISTERIA_ENTRY_ENTRY_DEFS_H
#define WISTERIA_ENTRY_ENTRY_DEFS_H

#include "wisteria/admin/token.h"
#include "wisteria/control/view_defs.h"
#include "wisteria/entry/agent_links.h"
#include "wisteria/entry/entry.h"
#include "wisteria/entry/ledger_client.h"
#include "wisteria/limits/admission.h"
#include "wisteria/limits/retry_budget.h"
#include "wisteria/route/router.h"
#include "wisteria/session/entry_session.h"
#include "wisteria/trace/explain_defs.h"
#include "wisteria/trace/trace.h"

/* A model request on the traffic thread. */
typedef struct job_t {
	uint64_t id;	 /* of the session */
	handle_t handle; /* into the entry's table of jobs */
	struct entry_t *entry;
	request_t *request;
	entry_session_t *session; /* NULL until the session starts */
	char *customer;
	route_choice_t chain; /* its links and slots are held */
	GString *text;	      /* the answer so far, if not streamed */
	uint32_t delivered;   /* tokens */
	uint32_t recoveries;
	bool stopped; /* the last token was marked as the end */
	clock_ms_t accepted_ms;
	clock_ms_t deadline_ms;
	bool admitted;	       /* counted against the customer's contract */
	bool response_started; /* the head of the response was sent */
	bool takeover_pending; /* waits for MSG_TAKEOVER_REPLY */
	uint32_t takeover_next_token; /* index of the first missing token */
	clock_ms_t takeover_started_ms;
	bool detached; /* the caller has disconnected and may return */
	clock_ms_t detached_ms;
	bool ended;
	span_t span;	  /* the whole request */
	span_t wait_span; /* until a chain is chosen */
	char traceparent[TRACEPARENT_LEN + 1];
	explain_t explain;
	bool no_chain_explained;
	char fail_reason[128]; /* of the last failure; "": not given */
} job_t;

typedef enum {
	CALL_RESERVING,	 /* its key, in the ledger; awaits the reply */
	CALL_QUEUED,	 /* waits for an endpoint */
	CALL_DISPATCHED, /* has an endpoint; sent when the link is open */
	CALL_RECORDING,	 /* its result, in the ledger; awaits the reply */
	CALL_ENDED
} call_state_t;

/* A call to a plain service on the traffic thread. */
typedef struct call_t {
	uint64_t id;
	struct entry_t *entry;
	request_t *request;
	call_state_t state;
	char *customer;
	char *service;
	const char *path; /* within request->path */
	bool idempotent;
	clock_ms_t deadline_ms;
	clock_ms_t disconnected_ms; /* since when not connected; 0: open */
	route_hop_t hop;
	link_t *link;		    /* held while dispatched */
	uint64_t agent_incarnation; /* 0: not sent yet */
	uint32_t dispatches;
	bool may_have_run; /* sent in a dispatch whose outcome is unknown */
	const char *avoid[4];
	char avoid_names[4][ROUTER_NAME_BYTES];
	size_t avoid_count;
	bool reserved;		     /* holds its key in the ledger */
	clock_ms_t reserve_retry_ms; /* when to reserve a pending key again */
	uint64_t ledger_sequence; /* of the pending ledger command; 0: none */
	msgpack_sbuffer result;	  /* an encoded msg_call_reply_t */
	explain_t explain;
	span_t span;
	char traceparent[TRACEPARENT_LEN + 1];
} call_t;

/* The entry role on its traffic thread. */
struct entry_t {
	conn_handler_t handler;
	entry_session_ops_t session_ops;
	net_t *net;
	const settings_t *settings;
	mailbox_t *mailbox;
	trace_writer_t *tracer; /* NULL: no traces are written */
	view_reader_t reader;
	const view_t *view; /* during an event-loop callback; may be NULL */
	uint64_t view_serial;
	uint64_t router_directory_serial;
	uint64_t revision;
	router_t *router;
	admission_t *admission;
	retry_budget_t retry_budget;
	agent_links_t links;
	GHashTable *jobs;  /* session id -> job_t */
	GHashTable *calls; /* call id -> call_t */
	ledger_reply_handler_t ledger_reply_handler;
	ledger_client_t ledger;
	table_t job_handles; /* of job_t pointers */
	GPtrArray *ended_jobs;
	GPtrArray *ended_calls;
	uv_timer_t tick;
	uint32_t posted_tasks; /* by other threads, not yet completed */
	explain_log_t explanations;
	admin_token_t admin_token;
};

#endif
