#ifndef WISTERIA_AGENT_AGENT_DEFS_H
#define WISTERIA_AGENT_AGENT_DEFS_H

#include <glib.h>

#include "wisteria/agent/agent.h"
#include "wisteria/agent/agent_trace.h"
#include "wisteria/agent/curl_loop.h"
#include "wisteria/agent/engine.h"
#include "wisteria/net/listener.h"
#include "wisteria/session/hop_session.h"

#define AGENT_TICK_MS 50
#define AGENT_HOPS_MAX 32

/* One endpoint that the agent serves. */
typedef struct {
	engine_handler_t handler; /* first member */
	agent_t *agent;
	const settings_endpoint_t *settings;
	engine_ops_t *engine; /* NULL for a plain service */
	uint32_t in_flight;   /* sessions or calls */
	uint64_t last_fence;  /* highest fencing number of an order */
} agent_endpoint_t;

/* The connection to another agent, in a table by its address. */
typedef struct {
	conn_handler_t handler; /* first member */
	agent_t *agent;
	link_t link;
	uint32_t session_count;	  /* sessions that use it */
	clock_ms_t idle_since_ms; /* valid while no session uses it */
} agent_peer_t;

typedef struct {
	uint64_t session;
	uint32_t hop;
} agent_session_key_t;

/* The other hops that a hop of a session exchanges messages with. */
enum {
	AGENT_PEER_PREVIOUS,
	AGENT_PEER_NEXT,
	/* The last hop for the first one, and the first for the last. */
	AGENT_PEER_OTHER_END,
	AGENT_PEER_COUNT
};

/* One hop of one session. */
typedef struct {
	hop_session_ops_t ops; /* first member */
	agent_t *agent;
	agent_endpoint_t *endpoint;
	hop_session_t *hop;
	agent_session_key_t key;
	agent_peer_t *peers[AGENT_PEER_COUNT];	/* NULL: none, or this agent */
	conn_t *entry;				/* NULL while it is lost */
	char taken_over_by[NET_INSTANCE_BYTES]; /* entry instance; "": none */
	uint32_t takeover_count;
	clock_ms_t entry_lost_ms; /* valid while "entry" is NULL */
	clock_ms_t expires_ms;
	agent_trace_t trace;
} agent_session_t;

struct agent_t {
	conn_handler_t inbound; /* first member */
	net_t *net;
	const settings_t *settings;
	const char *address; /* IP:PORT that this agent advertises */
	view_reader_t reader;
	listener_t listener;
	curl_loop_t curl;
	uv_timer_t tick;
	uv_idle_t local_idle; /* active unless "local_frames" is empty */
	GQueue local_frames;  /* GBytes: messages to this agent itself */
	agent_endpoint_t *endpoints;
	size_t endpoint_count;
	GHashTable *sessions; /* agent_session_key_t -> agent_session_t */
	GHashTable *closed_attempts; /* session -> closed_attempt_t */
	GHashTable *peers;	     /* address -> agent_peer_t */
	GHashTable *calls;	     /* call id -> agent_call_t */
	size_t receiving_bytes;	     /* held of responses that have not ended */
	bool listening;
	bool draining;		/* refuses new work */
	trace_writer_t *tracer; /* NULL: tracing is off */
};

/* Handles a message; "conn" is NULL for one that the agent sent itself. */
typedef void (*agent_message_handler_t)(agent_t *agent, conn_t *conn,
					const msg_t *msg);

#endif
