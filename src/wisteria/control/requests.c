/*
 * Orders and ledger questions on their way through the log.  Any control
 * instance takes them; the leader proposes, another instance forwards.  An
 * answer is given only once the command is applied.  Commands are idempotent,
 * so whatever may be lost with a leader is proposed again by the next.
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
	bool is_first;	   /* goes before the requests are open */
	conn_t *conn;	   /* where it came from; NULL: gone, or a call */
	order_done_t done; /* NULL: from a connection */
	void *user;
	msgpack_zone zone;
	msg_order_t order;   /* in "zone" */
	msg_ledger_t ledger; /* in "zone" */
	uint64_t asked_sequence;
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

/* Prepares an empty set of requests; what it is given must outlive it. */
void requests_init(requests_t *requests, replica_t *replica,
		   const store_t *store)
{
	memset(requests, 0, sizeof(*requests));
	requests->replica = replica;
	requests->store = store;
	g_queue_init(&requests->waiting);
}

/* Drops what still waits. */
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

	own.sequence = request->asked_sequence;
	if (request->conn != NULL)
		conn_send(request->conn, MSG_LEDGER_REPLY, &own);
}

static void drop(requests_t *requests, request_t *request)
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
	drop(requests, request);
}

static int64_t log_time(requests_t *requests)
{
	clock_ms_t now = now_of(requests);

	requests->log_time_ms += MAX(0, now - requests->log_time_at_ms);
	requests->log_time_at_ms = now;
	return requests->log_time_ms;
}

/* Learns the log's time from a command that was applied. */
void requests_note_time(requests_t *requests, int64_t time_ms)
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
		.time_ms = log_time(requests),
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

/* What another control instance sent on is not sent on again. */
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
 * Changes the membership before the order is recorded; false: refused, or not
 * possible yet and tried again at the next tick.  An
 * order that was sent again only gets its answer again, and one that expects
 * another revision is left to the store to refuse.
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
	/* A learner a few entries behind, or another change: this passes. */
	if (err.code == ERR_UNAVAILABLE &&
	    request->deadline_ms - now_of(requests) > REQUESTS_LAST_TRY_MS)
		return false;
	reply.reason = err.text;
	answer_order(requests, request, &reply);
	drop(requests, request);
	return false;
}

static bool creates_preset(const request_t *request)
{
	return request->type == MSG_ORDER &&
	       request->order.kind == ORDER_PRESET_CREATE;
}

/* Checks the text of a preset before the order is logged; false: refused. */
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
	drop(requests, request);
	return false;
}

static void push(requests_t *requests, request_t *request)
{
	replica_t *replica = requests->replica;

	if (request->state != REQUEST_QUEUED)
		return;
	if (replica_leads(replica)) {
		if (!requests->open && !request->is_first)
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

static request_t *add(requests_t *requests, msg_type_t type, conn_t *conn)
{
	request_t *request = g_new0(request_t, 1);

	request->type = type;
	request->conn = conn;
	request->deadline_ms = now_of(requests) + REQUESTS_ANSWER_MS;
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
	request_t *request = add(requests, MSG_ORDER, conn);

	copy_body(request, order, &request->order);
	return request;
}

/* Takes an order from a connection, where it is answered. */
void requests_take_order(requests_t *requests, conn_t *conn,
			 const msg_order_t *order)
{
	push(requests, add_order(requests, conn, order));
}

/* Takes an order of this process; "done" is called once. */
void requests_submit_order(requests_t *requests, const msg_order_t *order,
			   order_done_t done, void *user)
{
	request_t *request = add_order(requests, NULL, order);

	request->done = done;
	request->user = user;
	push(requests, request);
}

/* Takes an order of this leader that goes before all others. */
void requests_submit_first(requests_t *requests, const msg_order_t *order)
{
	request_t *request = add_order(requests, NULL, order);

	request->is_first = true;
	push(requests, request);
}

/* Takes a question to the ledger from a connection, where it is answered. */
void requests_take_ledger(requests_t *requests, conn_t *conn,
			  const msg_ledger_t *question)
{
	request_t *request = add(requests, MSG_LEDGER, conn);

	copy_body(request, question, &request->ledger);
	request->asked_sequence = question->sequence;
	request->ledger.sequence = ++requests->sequence;
	push(requests, request);
}

/* Finds what this instance proposed at "index"; of another term: lost. */
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

/* An order was applied, with the answer "reply". */
void requests_order_applied(requests_t *requests, uint64_t index, uint64_t term,
			    const msg_order_reply_t *reply)
{
	request_t *request = find_proposed(requests, index, term);

	if (request == NULL)
		return;
	answer_order(requests, request, reply);
	drop(requests, request);
}

/* A question to the ledger was applied, with the answer "reply". */
void requests_ledger_applied(requests_t *requests, uint64_t index,
			     uint64_t term, const msg_ledger_reply_t *reply)
{
	request_t *request = find_proposed(requests, index, term);

	if (request == NULL)
		return;
	answer_ledger(request, reply);
	drop(requests, request);
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
			drop(requests, request);
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
		drop(requests, request);
		return;
	}
}

/* The leader answered what was forwarded to it. */
void requests_on_reply(requests_t *requests, const msg_t *msg)
{
	if (msg->type == MSG_ORDER_REPLY)
		on_order_reply(requests, msg->body);
	else if (msg->type == MSG_LEDGER_REPLY)
		on_ledger_reply(requests, msg->body);
}

/* What an earlier leader was given may be lost: it is sent again. */
void requests_leader_changed(requests_t *requests)
{
	GList *link;

	requests->open = false;
	for (link = requests->waiting.head; link != NULL; link = link->next) {
		request_t *request = link->data;

		request->state = REQUEST_QUEUED;
	}
}

/* Nobody waits on "conn" any more; what was proposed stays proposed. */
void requests_conn_closed(requests_t *requests, const conn_t *conn)
{
	GList *link;

	for (link = requests->waiting.head; link != NULL; link = link->next) {
		request_t *request = link->data;

		if (request->conn == conn)
			request->conn = NULL;
	}
}

/* Sends on what waits for a leader, and ends what waited too long. */
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
			push(requests, request);
		link = next;
	}
}
