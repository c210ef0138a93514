#ifndef WISTERIA_FLEET_DIALECT_H
#define WISTERIA_FLEET_DIALECT_H

#include "wisteria/base/err_defs.h"
#include "wisteria/fleet/registry_defs.h"
#include "wisteria/fleet/routes_defs.h"
#include "wisteria/http/http_message_defs.h"

/* The operation that a call to a control instance requests. */
typedef enum {
	CONTROL_CALL_UNKNOWN,
	CONTROL_CALL_HEARTBEAT,
	CONTROL_CALL_LEAVE,
	CONTROL_CALL_PUT_CONFIGURATION,
	CONTROL_CALL_GET_CONFIGURATION
} control_call_t;

/* In place of a limit in requests per second: there is none. */
#define REQUEST_LIMIT_NONE (-1.0)
/* Most parts of a prompt that are read; further ones are ignored. */
#define PROMPT_PARTS_MAX 16
/* Those parts and, as the last two, the request's own part and itself. */
#define REQUEST_PARTS_MAX (PROMPT_PARTS_MAX + 2)

/* Metadata of a caller's request; strings point into the message. */
typedef struct {
	const char *id;	     /* NULL: none */
	const char *api_key; /* NULL: none */
	bool has_time_limit;
	clock_ms_t time_limit_ms;
	uint32_t prompt_tokens;
	uint32_t answer_tokens_max;
	uint32_t answer_tokens_hint; /* 0: none */
	int64_t last_event_id;	     /* -1: not resuming a stream */
	/*
	 * Ids of the prompt's parts that other requests may have, too, from the
	 * beginning of the prompt.
	 */
	uint64_t shared_parts[PROMPT_PARTS_MAX];
	uint32_t shared_part_count;
	uint64_t own_part; /* of this request or its session; 0: none */
	/* Set by the gateway: the same for repetitions under other ids. */
	uint64_t digest;
} caller_request_t;

/* One hop of a chain, as written in the request to its first endpoint. */
typedef struct {
	const char *address;
	uint32_t first_layer;
	uint32_t end_layer;
} forward_hop_t;

/* How a caller's request is forwarded to an endpoint. */
typedef struct {
	const char *endpoint_id; /* the only endpoint that may run it */
	const char *customer;	 /* NULL: anonymous */
	clock_ms_t time_limit_ms;
	int64_t last_event_id; /* -1: keep the caller's header */
	const forward_hop_t *hops;
	uint32_t hop_count; /* 0: a plain service */
	int32_t rank;	    /* REQUEST_RANK_NONE: none is sent */
} forward_t;

/* Metadata of an endpoint's answer; strings point into the message. */
typedef struct {
	const char *request_id;	    /* NULL: none */
	const char *faulty_address; /* of the hop that failed; NULL: none */
	bool stamped;		    /* the endpoint itself wrote the body */
	bool names_others;	    /* it names several requests */
	bool not_run;		    /* the endpoint did not run the request */
	bool leaving; /* the endpoint that answers wants nothing more */
	/*
	 * How long the endpoint that answers, which has turned the request
	 * away, wants nothing from this entry; 0: it does not say.
	 */
	clock_ms_t pause_ms;
	const char *unreadable_pause; /* a pause that has no sense, or NULL */
	/*
	 * Requests per second that the endpoint that answers takes from all
	 * entries together; REQUEST_LIMIT_NONE: it names no limit.
	 */
	double request_limit;
	const char *unreadable_limit; /* one that is no decimal, or NULL */
} endpoint_answer_t;

/* An order that places a range of layers on an endpoint. */
typedef struct {
	const char *address;
	uint64_t fencing_token;
	uint32_t first_layer;
	uint32_t end_layer;
} place_order_t;

/*
 * An order to the first endpoint of a running request to continue it over
 * another path, which begins with the same hop.
 */
typedef struct {
	const char *endpoint_id; /* the only endpoint that may carry it out */
	const char *request_id;	 /* as the caller sent it */
	const forward_hop_t *hops;
	uint32_t hop_count;
} repath_order_t;

/* An engine's answer to a probe. */
typedef struct {
	double pace; /* step time, 1 is nominal; above 1: slower */
} engine_report_t;

/*
 * The protocol dialect of a platform: parses and formats the messages of
 * callers, operators and endpoints.  The functions are stateless: they read no
 * clock and make no decisions.
 */
typedef struct fleet_dialect_t {
	route_table_t *(*read_configuration)(const void *document, size_t len,
					     err_t *err);
	control_call_t (*read_control_call)(const http_message_t *request);
	bool (*read_heartbeat)(const http_message_t *request,
			       endpoint_t *endpoint, err_t *err);
	bool (*read_leave)(const http_message_t *request,
			   char id[ENDPOINT_ID_BYTES]);
	void (*write_place_order)(const place_order_t *order, GString *request);
	/* Returns false if the request's id cannot be written. */
	bool (*write_repath_order)(const repath_order_t *order,
				   GString *request);
	/*
	 * Copies the address of the hop for which an order was refused; false:
	 * the answer names none.
	 */
	bool (*read_order_fault)(const http_message_t *answer,
				 char address[ENDPOINT_ADDRESS_BYTES]);
	void (*write_probe)(const char *address, GString *request);
	bool (*read_probe)(const http_message_t *answer,
			   engine_report_t *report);
	bool (*read_caller)(const http_message_t *request,
			    caller_request_t *caller, err_t *err);
	void (*write_forward)(const http_message_t *request,
			      const forward_t *forward, GString *out);
	void (*read_answer)(const http_message_t *answer,
			    endpoint_answer_t *read);
	/* Appends the header lines of an endpoint's answer to a caller. */
	void (*write_answer_headers)(const http_message_t *answer,
				     GString *out);
	/* Appends the header lines of an answer that the router generates. */
	void (*write_own_headers)(const caller_request_t *caller,
				  clock_ms_t retry_after_ms, GString *out);
} fleet_dialect_t;

#endif
