#ifndef WISTERIA_HTTP_HTTP_SERVER_H
#define WISTERIA_HTTP_HTTP_SERVER_H

#include <sys/queue.h>
#include <uv.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/http/http_reader.h"

struct http_conn_t;
struct http_server_t;

/* What the owner of a server is told; first in the owner's struct. */
typedef struct http_server_handler_t {
	/* A whole request was read; it is answered now or later. */
	void (*request)(struct http_server_handler_t *self,
			struct http_conn_t *conn);
	/*
	 * The caller left while its request was open; "conn" ends.  NULL for
	 * an owner that answers all requests at once.
	 */
	void (*gone)(struct http_server_handler_t *self,
		     struct http_conn_t *conn);
} http_server_handler_t;

/* What callers may send and how long they may take. */
typedef struct {
	size_t header_bytes;
	size_t body_bytes;
	clock_ms_t header_ms; /* from its first byte to the whole request */
	clock_ms_t idle_ms;   /* between requests */
} http_limits_t;

typedef enum {
	HTTP_CONN_READING,   /* a request, or waiting for one */
	HTTP_CONN_ANSWERING, /* a request is open */
	HTTP_CONN_LINGERING, /* answered for good; waits for the peer's end */
	HTTP_CONN_CLOSED
} http_conn_state_t;

/* One connection of a caller. */
typedef struct http_conn_t {
	LIST_ENTRY(http_conn_t) entry;
	struct http_server_t *server;
	uv_tcp_t tcp;
	http_reader_t reader;
	http_conn_state_t state;
	void *user;	     /* the owner's own, while a request is open */
	GByteArray *pending; /* read behind the open request */
	clock_ms_t since_ms; /* of the state, or of a request's first byte */
	bool request_begun;
	bool chunked;
	bool close_after;
	bool read_stopped;
	bool reading_pending;
	bool broken;	 /* a write failed */
	unsigned served; /* requests answered on this connection */
} http_conn_t;

typedef LIST_HEAD(http_conn_list_t, http_conn_t) http_conn_list_t;

/* A listening address and its connections; lives on one event loop. */
typedef struct http_server_t {
	uv_tcp_t tcp;
	uv_timer_t tick;
	http_server_handler_t *handler;
	const clock_source_t *clock;
	http_limits_t limits;
	http_conn_list_t conns;
	unsigned conn_count;
	bool draining;
} http_server_t;

bool http_server_init(http_server_t *server, uv_loop_t *loop,
		      const char *address, const clock_source_t *clock,
		      const http_limits_t *limits,
		      http_server_handler_t *handler,
		      err_t *err) ATTR_WARN_UNUSED;
void http_server_drain(http_server_t *server) ATTR_NONNULL_ALL;
void http_server_stop_listening(http_server_t *server) ATTR_NONNULL_ALL;
void http_server_close_idle(http_server_t *server) ATTR_NONNULL_ALL;
void http_server_close(http_server_t *server) ATTR_NONNULL_ALL;

void http_conn_reply(http_conn_t *conn, unsigned status, const char *headers,
		     const void *body, size_t len) ATTR_NONNULL(1, 3);
void http_conn_begin(http_conn_t *conn, unsigned status, const char *headers,
		     int64_t content_length) ATTR_NONNULL_ALL;
void http_conn_send(http_conn_t *conn, const void *data,
		    size_t len) ATTR_NONNULL_ALL;
void http_conn_end(http_conn_t *conn) ATTR_NONNULL_ALL;
void http_conn_abort(http_conn_t *conn) ATTR_NONNULL_ALL;

#endif
