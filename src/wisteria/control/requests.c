/*
 * Orders and ledger requests that go through the replicated log.  Any control
 * instance accepts them; the leader proposes them, other instances forward them
 * to the leader.  A request is answered once its command has been applied.
 * Commands are idempotent, so a request that may have been lost with its leader
 * is submitted again.
 */
#include "wisteria/control/requests.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/control/command.h"
#include "wisteria/control/replica.h"
#include "wisteria/net/conn.h"
#include "wisteria/store/store.h"

typedef enum {
	REQUEST_QUEUED,
	REQUEST_PROPOSED, /* at "index", by this instance */
	REQUEST_FORWARDED
} request_state_t;

typedef struct {
	msg_type_t type; /* MSG_ORDER or MSG_LEDGER */
	request_state_t state;
	bool is_bootstrap; /* does not wait for requests->open */
	conn_t *conn;	   /* its source; NULL: closed, or a local request */
	order_done_t done; /* NULL: from a connection */
	void *user;
	msgpack_zone zone;
	msg_order_t order;   /* in "zone" */
	msg_ledger_t ledger; /* in "zone" */
	uint64_t client_sequence;
	uint64_t index;
	uint64_t term;
	clock_ms_t deadline_ms;
} request_t;

static clock_ms_t now_of(const requests_t *requests)
{
	return clock_now(requests->replica->net->clock);
}

static void free_request(gpointer data)
{
	request_t *request = data;

	msgpack_zone_destroy(&request->zone);
	g_free(request);
}

/* Initializes an empty queue; "replica" and "store" must outlive it. */
void requests_init(requests_t *requests, replica_t *replica,
		   const store_t *store)
{
	memset(requests, 0, sizeof(*requests));
	requests->replica = replica;
	requests->store = store;
	g_queue_init(&requests->waiting);
}

/* Frees the waiting requests without an answer. */
void requests_finish(requests_t *requests)
{
	g_queue_clear_full(&requests->waiting, free_request);
}

static void answer_order(requests_t *requests, request_t *request,
			 const msg_order_reply_t *reply)
{
	counter_add(COUNTER_ORDERS, 1);
	if (request->done != NULL)
		request->done(request->user, reply);
	else if (request->conn != NULL)
		conn_send(request->conn, MSG_ORDER_REPLY, reply);
	(void)requests;
}

static void answer_ledger(request_t *request, const msg_ledger_reply_t *reply)
{
	msg_ledger_reply_t own = *reply;

	own.sequence = request->client_sequence;
	if (request->conn != NULL)
		conn_send(request->conn, MSG_LEDGER_REPLY, &own);
}

static void remove_request(requests_t *requests, request_t *request)
{
	g_queue_remove(&requests->waiting, request);
	free_request(request);
}

static void answer_unknown(requests_t *requests, request_t *request)
{
	const msg_order_reply_t order = {
		.id = request->order.id,
		.outcome = ORDER_UNKNOWN,
		.reason = "no quorum in time; send it again with the same id",
	};
	const msg_ledger_reply_t ledger = { .state = LEDGER_UNAVAILABLE };

	if (request->type == MSG_ORDER)
		answer_order(requests, request, &order);
	else
		answer_ledger(request, &ledger);
	remove_request(requests, request);
}

/* Returns the log time, advanced by the time elapsed since the last call. */
static int64_t current_log_time(requests_t *requests)
{
	clock_ms_t now = now_of(requests);

	requests->log_time_ms += MAX(0, now - requests->log_time_at_ms);
	requests->log_time_at_ms = now;
	return requests->log_time_ms;
}

/*
 * Advances the log time to that of an applied command or restored snapshot,
 * unless it is later already.
 */
void requests_advance_log_time(requests_t *requests, int64_t time_ms)
{
	if (time_ms <= requests->log_time_ms)
		return;
	requests->log_time_ms = time_ms;
	requests->log_time_at_ms = now_of(requests);
}

static const record_desc_t *desc_of(const request_t *request)
{
	return request->type == MSG_ORDER ? &msg_order_desc : &msg_ledger_desc;
}

static const void *body_of(const request_t *request)
{
	return request->type == MSG_ORDER ? (const void *)&request->order
					  : (const void *)&request->ledger;
}

static bool propose(requests_t *requests, request_t *request)
{
	command_t command = {
		.type = request->type,
		.time_ms = current_log_time(requests),
	};
	msgpack_sbuffer payload;
	msgpack_sbuffer out;

	request->order.forwarded = false;
	request->ledger.forwarded = false;
	msgpack_sbuffer_init(&payload);
	msgpack_sbuffer_init(&out);
	codec_encode(desc_of(request), body_of(request), &payload);
	command.payload = (bytes_t){ (uint8_t *)payload.data, payload.size };
	command_encode(&command, &out);
	request->index = replica_propose(requests->replica,
					 (const uint8_t *)out.data, out.size);
	request->term = requests->replica->raft.term;
	msgpack_sbuffer_destroy(&payload);
	msgpack_sbuffer_destroy(&out);
	return request->index != 0;
}

/* Returns whether another control instance has forwarded the request here. */
static bool was_forwarded(const request_t *request)
{
	return request->type == MSG_ORDER ? request->order.forwarded
					  : request->ledger.forwarded;
}

static bool forward(requests_t *requests, const request_t *request)
{
	msg_order_t order = request->order;
	msg_ledger_t ledger = request->ledger;

	order.forwarded = true;
	ledger.forwarded = true;
	return replica_send_to_leader(requests->replica, request->type,
				      request->type == MSG_ORDER
					      ? (const void *)&order
					      : (const void *)&ledger);
}

static bool is_member_order(const request_t *request)
{
	return request->type == MSG_ORDER &&
	       (request->order.kind == ORDER_MEMBER_PROMOTE ||
		request->order.kind == ORDER_MEMBER_REMOVE);
}

/*
 * Changes the membership before the order is proposed.  Returns false if the
 * order is refused, or if the change is not possible yet and is retried at the
 * next tick.  A repeated order changes nothing and gets its earlier reply from
 * the store, which also refuses an order that expects another revision.
 */
static bool change_member(requests_t *requests, request_t *request)
{
	raft_member_change_t change =
		request->order.kind == ORDER_MEMBER_PROMOTE
			? RAFT_MEMBER_PROMOTE
			: RAFT_MEMBER_REMOVE;
	msg_order_reply_t reply = {
		.id = request->order.id,
		.outcome = ORDER_REFUSED,
	};
	msg_order_reply_t earlier;
	err_t err = ERR_INIT;

	if (store_find_order_reply(requests->store, request->order.id,
				   &earlier))
		return true;
	if (request->order.has_expected &&
	    request->order.expected_revision != requests->store->revision)
		return true;
	if (replica_change_member(requests->replica, change,
				  request->order.name, &err))
		return true;
	/* Temporary: the learner lags a little or another change is pending. */
	if (err.code == ERR_UNAVAILABLE &&
	    request->deadline_ms - now_of(requests) > REQUESTS_RETRY_MARGIN_MS)
		return false;
	reply.reason = err.text;
	answer_order(requests, request, &reply);
	remove_request(requests, request);
	return false;
}

static bool creates_preset(const request_t *request)
{
	return request->type == MSG_ORDER &&
	       request->order.kind == ORDER_PRESET_CREATE;
}

/*
 * Validates the text of a preset before the order is proposed.  Returns false
 * if the order is refused.
 */
static bool check_preset(requests_t *requests, request_t *request)
{
	msg_order_reply_t reply = {
		.id = request->order.id,
		.outcome = ORDER_REFUSED,
		.revision = requests->store->revision,
	};
	err_t err = ERR_INIT;

	request->order.checked = store_check_preset(&request->order, &err);
	if (request->order.checked)
		return true;
	reply.reason = err.text;
	answer_order(requests, request, &reply);
	remove_request(requests, request);
	return false;
}

/*
 * Proposes a queued request if this instance is the leader, otherwise forwards
 * it to the leader.  A request that was forwarded here is not forwarded again.
 * The request stays queued if neither is possible now.
 */
static void try_submit(requests_t *requests, request_t *request)
{
	replica_t *replica = requests->replica;

	if (request->state != REQUEST_QUEUED)
		return;
	if (replica_is_leader(replica)) {
		if (!requests->open && !request->is_bootstrap)
			return;
		if (is_member_order(request) &&
		    !change_member(requests, request))
			return;
		if (creates_preset(request) && !check_preset(requests, request))
			return;
		if (propose(requests, request))
			request->state = REQUEST_PROPOSED;
		return;
	}
	if (!was_forwarded(request) && forward(requests, request))
		request->state = REQUEST_FORWARDED;
}

static request_t *add_request(requests_t *requests, msg_type_t type,
			      conn_t *conn)
{
	request_t *request = g_new0(request_t, 1);

	request->type = type;
	request->conn = conn;
	request->deadline_ms = now_of(requests) + REQUESTS_TIMEOUT_MS;
	msgpack_zone_init(&request->zone, MSGPACK_ZONE_CHUNK_SIZE);
	g_queue_push_tail(&requests->waiting, request);
	return request;
}

static void copy_body(request_t *request, const void *body, void *copy)
{
	msgpack_sbuffer out;
	err_t err = ERR_INIT;

	msgpack_sbuffer_init(&out);
	codec_encode(desc_of(request), body, &out);
	if (!codec_decode(desc_of(request), (const uint8_t *)out.data, out.size,
			  &request->zone, copy, &err))
		g_error("a decoded message cannot be decoded again");
	msgpack_sbuffer_destroy(&out);
}

static request_t *add_order(requests_t *requests, conn_t *conn,
			    const msg_order_t *order)
{
	request_t *request = add_request(requests, MSG_ORDER, conn);

	copy_body(request, order, &request->order);
	return request;
}

/* Accepts an order from a connection, which also gets the reply. */
void requests_on_order(requests_t *requests, conn_t *conn,
		       const msg_order_t *order)
{
	try_submit(requests, add_order(requests, conn, order));
}

/* Accepts an order of this process; "done" is called once with the reply. */
void requests_submit_order(requests_t *requests, const msg_order_t *order,
			   order_done_t done, void *user)
{
	request_t *request = add_order(requests, NULL, order);

	request->done = done;
	request->user = user;
	try_submit(requests, request);
}

/*
 * Accepts an order that the leader of a new group needs before it can accept
 * other requests.
 */
void requests_submit_bootstrap(requests_t *requests, const msg_order_t *order)
{
	request_t *request = add_order(requests, NULL, order);

	request->is_bootstrap = true;
	try_submit(requests, request);
}

/* Accepts a ledger request from a connection, which also gets the reply. */
void requests_on_ledger(requests_t *requests, conn_t *conn,
			const msg_ledger_t *ledger)
{
	request_t *request = add_request(requests, MSG_LEDGER, conn);

	copy_body(request, ledger, &request->ledger);
	request->client_sequence = ledger->sequence;
	request->ledger.sequence = ++requests->sequence;
	try_submit(requests, request);
}

/*
 * Finds the request that this instance proposed at "index" in "term".  One that
 * was proposed there in another term is lost and is queued again.
 */
static request_t *find_proposed(requests_t *requests, uint64_t index,
				uint64_t term)
{
	GList *link;

	for (link = requests->waiting.head; link != NULL; link = link->next) {
		request_t *request = link->data;

		if (request->state != REQUEST_PROPOSED ||
		    request->index != index)
			continue;
		if (request->term == term)
			return request;
		request->state = REQUEST_QUEUED;
	}
	return NULL;
}

/* Answers the order that was applied at "index" with "reply". */
void requests_order_applied(requests_t *requests, uint64_t index, uint64_t term,
			    const msg_order_reply_t *reply)
{
	request_t *request = find_proposed(requests, index, term);

	if (request == NULL)
		return;
	answer_order(requests, request, reply);
	remove_request(requests, request);
}

/* Answers the ledger request that was applied at "index" with "reply". */
void requests_ledger_applied(requests_t *requests, uint64_t index,
			     uint64_t term, const msg_ledger_reply_t *reply)
{
	request_t *request = find_proposed(requests, index, term);

	if (request == NULL)
		return;
	answer_ledger(request, reply);
	remove_request(requests, request);
}

static void on_order_reply(requests_t *requests, const msg_order_reply_t *reply)
{
	GList *link = requests->waiting.head;

	while (link != NULL) {
		GList *next = link->next;
		request_t *request = link->data;

		if (request->type == MSG_ORDER &&
		    request->state == REQUEST_FORWARDED &&
		    strcmp(request->order.id, reply->id) == 0) {
			answer_order(requests, request, reply);
			remove_request(requests, request);
		}
		link = next;
	}
}

static void on_ledger_reply(requests_t *requests,
			    const msg_ledger_reply_t *reply)
{
	GList *link;

	for (link = requests->waiting.head; link != NULL; link = link->next) {
		request_t *request = link->data;

		if (request->type != MSG_LEDGER ||
		    request->state != REQUEST_FORWARDED ||
		    request->ledger.sequence != reply->sequence)
			continue;
		answer_ledger(request, reply);
		remove_request(requests, request);
		return;
	}
}

/* Passes the leader's reply to a forwarded request on to its source. */
void requests_on_reply(requests_t *requests, const msg_t *msg)
{
	if (msg->type == MSG_ORDER_REPLY)
		on_order_reply(requests, msg->body);
	else if (msg->type == MSG_LEDGER_REPLY)
		on_ledger_reply(requests, msg->body);
}

/*
 * Queues all requests again, since the previous leader may have lost them.  A
 * new leader proposes none before its state is current; see requests_t.open.
 */
void requests_leader_changed(requests_t *requests)
{
	GList *link;

	requests->open = false;
	for (link = requests->waiting.head; link != NULL; link = link->next) {
		request_t *request = link->data;

		request->state = REQUEST_QUEUED;
	}
}

/*
 * Drops the replies to requests from a closed connection; the requests are
 * still processed.
 */
void requests_conn_closed(requests_t *requests, const conn_t *conn)
{
	GList *link;

	for (link = requests->waiting.head; link != NULL; link = link->next) {
		request_t *request = link->data;

		if (request->conn == conn)
			request->conn = NULL;
	}
}

/* Submits queued requests and answers those that have timed out. */
void requests_tick(requests_t *requests)
{
	clock_ms_t now = now_of(requests);
	GList *link = requests->waiting.head;

	while (link != NULL) {
		GList *next = link->next;
		request_t *request = link->data;

		if (now >= request->deadline_ms)
			answer_unknown(requests, request);
		else
			try_submit(requests, request);
		link = next;
	}
}
