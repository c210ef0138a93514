/* Questions of an entry to the replicated ledger. */
#include "wisteria/entry/ledger_client.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/net/link.h"

/* Without an answer for this long the next control instance is asked. */
#define LEDGER_ANSWER_MS 600

typedef struct {
	uint64_t sequence;
	msgpack_zone zone;
	msg_ledger_t body; /* in "zone" */
	clock_ms_t deadline_ms;
	clock_ms_t asked_ms; /* 0: not since the link opened */
} question_t;

static ledger_client_t *client_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, ledger_client_t, handler);
}

static void free_question(gpointer data)
{
	question_t *question = data;

	msgpack_zone_destroy(&question->zone);
	g_free(question);
}

static void send_question(ledger_client_t *client, question_t *question,
			  clock_ms_t now)
{
	if (link_send(&client->link, MSG_LEDGER, &question->body))
		question->asked_ms = now;
}

static void send_all(ledger_client_t *client, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->questions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_question(client, value, now);
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	ledger_client_t *client = client_of(handler);
	clock_ms_t now = clock_now(client->net->clock);

	(void)conn;
	client->quiet_since_ms = now;
	send_all(client, now);
}

static void use_next_instance(ledger_client_t *client)
{
	const settings_t *settings = client->settings;
	size_t pending = g_hash_table_size(client->questions);

	client->quiet_since_ms = clock_now(client->net->clock);
	if (settings->control_instances_count < 2) {
		send_all(client, client->quiet_since_ms);
		return;
	}
	link_finish(&client->link);
	client->instance =
		(client->instance + 1) % settings->control_instances_count;
	link_init(&client->link, client->net,
		  settings->control_instances[client->instance].address,
		  &client->handler);
	for (size_t i = 0; i < pending; i++)
		link_hold(&client->link);
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	(void)conn;
	(void)why;
	use_next_instance(client_of(handler));
}

static void forget(ledger_client_t *client, uint64_t sequence)
{
	if (g_hash_table_remove(client->questions, &sequence))
		link_release(&client->link);
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	ledger_client_t *client = client_of(handler);
	const msg_ledger_reply_t *reply = msg->body;

	(void)conn;
	if (msg->type != MSG_LEDGER_REPLY ||
	    !g_hash_table_contains(client->questions, &reply->sequence))
		return;
	if (reply->state == LEDGER_UNAVAILABLE)
		return;
	client->quiet_since_ms = clock_now(client->net->clock);
	forget(client, reply->sequence);
	client->owner->answered(client->owner, reply);
}

/* Prepares a client that asks the control instances of "settings". */
void ledger_client_init(ledger_client_t *client, net_t *net,
			const settings_t *settings, ledger_owner_t *owner)
{
	memset(client, 0, sizeof(*client));
	client->handler.opened = on_opened;
	client->handler.message = on_message;
	client->handler.closed = on_closed;
	client->net = net;
	client->settings = settings;
	client->owner = owner;
	client->questions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, free_question);
	client->instance = (unsigned)(net->incarnation %
				      settings->control_instances_count);
	link_init(&client->link, net,
		  settings->control_instances[client->instance].address,
		  &client->handler);
}

/* Ends the client; open questions are dropped. */
void ledger_client_finish(ledger_client_t *client)
{
	link_finish(&client->link);
	g_hash_table_destroy(client->questions);
}

static bool copy_body(question_t *question, const msg_ledger_t *body)
{
	err_t err = { .code = ERR_NONE };
	msgpack_sbuffer buffer;
	bool ok;

	msgpack_sbuffer_init(&buffer);
	codec_encode(&msg_ledger_desc, body, &buffer);
	ok = codec_decode(&msg_ledger_desc, (const uint8_t *)buffer.data,
			  buffer.size, &question->zone, &question->body, &err);
	msgpack_sbuffer_destroy(&buffer);
	return ok;
}

/*
 * Asks "question", which is copied, until "deadline_ms"; then the owner is
 * told LEDGER_UNAVAILABLE.  Returns the sequence that the answer carries.
 */
uint64_t ledger_client_ask(ledger_client_t *client,
			   const msg_ledger_t *question, clock_ms_t deadline_ms)
{
	question_t *copy = g_new0(question_t, 1);
	clock_ms_t now = clock_now(client->net->clock);
	msg_ledger_t body = *question;

	body.sequence = ++client->sequence;
	msgpack_zone_init(&copy->zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!copy_body(copy, &body))
		g_error("ledger question cannot be encoded");
	copy->sequence = body.sequence;
	copy->deadline_ms = deadline_ms;
	if (g_hash_table_size(client->questions) == 0)
		client->quiet_since_ms = now;
	g_hash_table_insert(client->questions, &copy->sequence, copy);
	link_hold(&client->link);
	send_question(client, copy, now);
	return body.sequence;
}

/* Returns how many questions are open. */
size_t ledger_client_pending(const ledger_client_t *client)
{
	return g_hash_table_size(client->questions);
}

static void expire(ledger_client_t *client, clock_ms_t now)
{
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->questions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const question_t *question = value;

		if (now >= question->deadline_ms)
			g_array_append_val(expired, question->sequence);
	}
	for (guint i = 0; i < expired->len; i++) {
		const msg_ledger_reply_t reply = {
			.sequence = g_array_index(expired, uint64_t, i),
			.state = LEDGER_UNAVAILABLE,
		};

		forget(client, reply.sequence);
		client->owner->answered(client->owner, &reply);
	}
	g_array_free(expired, TRUE);
}

/* Goes to another control instance when this one is quiet; expires. */
void ledger_client_tick(ledger_client_t *client, clock_ms_t now)
{
	if (g_hash_table_size(client->questions) == 0)
		return;
	expire(client, now);
	if (g_hash_table_size(client->questions) > 0 &&
	    now - client->quiet_since_ms > LEDGER_ANSWER_MS)
		use_next_instance(client);
}
