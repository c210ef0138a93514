#ifndef WISTERIA_NET_NET_DEFS_H
#define WISTERIA_NET_NET_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uv.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/codec/msg_defs.h"

#define NET_KEY_BYTES 32
#define NET_NONCE_BYTES 32
#define NET_INSTANCE_BYTES 64
#define NET_ADDRESS_BYTES 64

/* Largest frame accepted, and most bytes queued for a slow peer. */
#define NET_FRAME_BYTES_MAX (16u << 20)
#define NET_SEND_QUEUE_BYTES_MAX (64u << 20)

#define NET_TICK_MS 50
/* A tick that is later than this shows that our own loop was blocked. */
#define NET_LATE_TICK_MS 100
/* A connection with work in progress: heartbeat interval and timeout. */
#define NET_BUSY_PING_INTERVAL_MS 200
#define NET_BUSY_TIMEOUT_MS 700
/* A connection without work in progress. */
#define NET_IDLE_PING_INTERVAL_MS 5000
#define NET_IDLE_TIMEOUT_MS 15000
/* From connecting to the end of the authentication. */
#define NET_HANDSHAKE_TIMEOUT_MS 700
#define NET_RECONNECT_MIN_MS 50
#define NET_RECONNECT_MAX_MS 1000

struct conn_t;
struct link_t;

/*
 * Callbacks to the owner of a connection; embedded in the owner's struct.
 * "closed" is called exactly once after "opened", and not at all for a
 * connection that never opened.
 */
typedef struct conn_handler_t {
	void (*opened)(struct conn_handler_t *self, struct conn_t *conn);
	void (*message)(struct conn_handler_t *self, struct conn_t *conn,
			const msg_t *msg);
	void (*closed)(struct conn_handler_t *self, struct conn_t *conn,
		       const err_t *why);
} conn_handler_t;

typedef LIST_HEAD(conn_list_t, conn_t) conn_list_t;
typedef LIST_HEAD(link_list_t, link_t) link_list_t;

/* The connections of one thread, its loop and our identity to peers. */
typedef struct net_t {
	uv_loop_t *loop;
	const clock_source_t *clock;
	char instance[NET_INSTANCE_BYTES];
	char failure_domain[NET_INSTANCE_BYTES];
	uint64_t incarnation; /* identifies this run of the process */
	uint8_t key[NET_KEY_BYTES];
	conn_list_t conns;
	conn_list_t unflushed; /* have frames to write */
	link_list_t links;
	uv_timer_t tick;
	clock_ms_t last_tick_ms;
	uv_prepare_t flush;
	bool closing;
	bool is_control; /* count bytes as control traffic */
} net_t;

typedef enum {
	CONN_CONNECTING,
	CONN_HELLO,
	CONN_AUTH,
	CONN_OPEN,
	CONN_CLOSED
} conn_state_t;

/* One TCP connection to another wisteriadrift process. */
typedef struct conn_t {
	LIST_ENTRY(conn_t) entry;
	LIST_ENTRY(conn_t) unflushed_entry;
	bool is_unflushed;
	uv_tcp_t tcp;
	uv_connect_t connect;
	net_t *net;
	struct link_t *link; /* NULL if the peer connected to us */
	conn_handler_t *handler;
	conn_state_t state;
	void *user; /* data of the owner */
	char peer_address[NET_ADDRESS_BYTES];
	char peer_instance[NET_INSTANCE_BYTES];
	char peer_failure_domain[NET_INSTANCE_BYTES];
	uint64_t peer_incarnation;
	uint8_t own_nonce[NET_NONCE_BYTES];
	uint8_t peer_nonce[NET_NONCE_BYTES];
	uint32_t busy_count; /* units of work that use the connection */
	uint64_t ping_sequence;
	clock_ms_t created_ms;
	clock_ms_t last_received_ms;
	clock_ms_t busy_since_ms;
	clock_ms_t last_ping_ms;
	uint8_t *in;
	size_t in_used;
	size_t in_size;
	msgpack_sbuffer out;
	size_t in_flight_bytes;
} conn_t;

/* An outgoing connection that is reestablished whenever it is lost. */
typedef struct link_t {
	LIST_ENTRY(link_t) entry;
	net_t *net;
	conn_handler_t *handler;
	char address[NET_ADDRESS_BYTES];
	conn_t *conn; /* NULL between connections */
	clock_ms_t retry_at_ms;
	clock_ms_t retry_delay_ms;
	bool refused; /* nothing listens there, since the last connection */
	uint32_t busy_count;
	void *user;
} link_t;

/* Accepts connections from other wisteriadrift processes. */
typedef struct {
	uv_tcp_t tcp;
	net_t *net;
	conn_handler_t *handler;
} listener_t;

#endif
