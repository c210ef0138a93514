/* Commands of an entry to the replicated ledger. */
#include "wisteria/entry/ledger_client.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/net/link.h"

/* Wait for a reply before the next control instance is tried. */
#define LEDGER_REPLY_TIMEOUT_MS 600

typedef struct {
	uint64_t sequence;
	msgpack_zone zone;
	msg_ledger_t body; /* in "zone" */
	clock_ms_t deadline_ms;
	clock_ms_t sent_ms; /* 0: not sent yet */
} pending_command_t;

static ledger_client_t *client_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, ledger_client_t, handler);
}

static void free_command(gpointer data)
{
	pending_command_t *command = data;

	msgpack_zone_destroy(&command->zone);
	g_free(command);
}

static void send_command(ledger_client_t *client, pending_command_t *command,
			 clock_ms_t now)
{
	if (link_send(&client->link, MSG_LEDGER, &command->body))
		command->sent_ms = now;
}

static void send_all_commands(ledger_client_t *client, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->pending_commands);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_command(client, value, now);
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	ledger_client_t *client = client_of(handler);
	clock_ms_t now = clock_now(client->net->clock);

	(void)conn;
	client->reply_wait_start_ms = now;
	send_all_commands(client, now);
}

static void use_next_instance(ledger_client_t *client)
{
	const settings_t *settings = client->settings;
	size_t pending = g_hash_table_size(client->pending_commands);

	client->reply_wait_start_ms = clock_now(client->net->clock);
	if (settings->control_instances_count < 2) {
		send_all_commands(client, client->reply_wait_start_ms);
		return;
	}
	link_finish(&client->link);
	client->instance_index = (client->instance_index + 1) %
				 settings->control_instances_count;
	link_init(&client->link, client->net,
		  settings->control_instances[client->instance_index].address,
		  &client->handler);
	for (size_t i = 0; i < pending; i++)
		link_mark_busy(&client->link);
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	(void)conn;
	(void)why;
	use_next_instance(client_of(handler));
}

static void remove_command(ledger_client_t *client, uint64_t sequence)
{
	if (g_hash_table_remove(client->pending_commands, &sequence))
		link_unmark_busy(&client->link);
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	ledger_client_t *client = client_of(handler);
	const msg_ledger_reply_t *reply = msg->body;

	(void)conn;
	if (msg->type != MSG_LEDGER_REPLY ||
	    !g_hash_table_contains(client->pending_commands, &reply->sequence))
		return;
	if (reply->state == LEDGER_UNAVAILABLE)
		return;
	client->reply_wait_start_ms = clock_now(client->net->clock);
	remove_command(client, reply->sequence);
	client->reply_handler->replied(client->reply_handler, reply);
}

/* Initializes a client of the control instances in "settings". */
void ledger_client_init(ledger_client_t *client, net_t *net,
			const settings_t *settings,
			ledger_reply_handler_t *reply_handler)
{
	memset(client, 0, sizeof(*client));
	client->handler.opened = on_opened;
	client->handler.message = on_message;
	client->handler.closed = on_closed;
	client->net = net;
	client->settings = settings;
	client->reply_handler = reply_handler;
	client->pending_commands = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, free_command);
	client->instance_index = (unsigned)(net->incarnation %
					    settings->control_instances_count);
	link_init(&client->link, net,
		  settings->control_instances[client->instance_index].address,
		  &client->handler);
}

/* Stops the client and drops the pending commands. */
void ledger_client_finish(ledger_client_t *client)
{
	link_finish(&client->link);
	g_hash_table_destroy(client->pending_commands);
}

static bool copy_command(pending_command_t *command, const msg_ledger_t *body)
{
	err_t err = { .code = ERR_NONE };
	msgpack_sbuffer buffer;
	bool ok;

	msgpack_sbuffer_init(&buffer);
	codec_encode(&msg_ledger_desc, body, &buffer);
	ok = codec_decode(&msg_ledger_desc, (const uint8_t *)buffer.data,
			  buffer.size, &command->zone, &command->body, &err);
	msgpack_sbuffer_destroy(&buffer);
	return ok;
}

/*
 * Sends "command", which is copied, until there is a reply or "deadline_ms" has
 * passed; the reply is LEDGER_UNAVAILABLE then.  Returns the sequence number
 * that the reply carries.
 */
uint64_t ledger_client_submit(ledger_client_t *client,
			      const msg_ledger_t *command,
			      clock_ms_t deadline_ms)
{
	pending_command_t *copy = g_new0(pending_command_t, 1);
	clock_ms_t now = clock_now(client->net->clock);
	msg_ledger_t body = *command;

	body.sequence = ++client->sequence;
	msgpack_zone_init(&copy->zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!copy_command(copy, &body))
		g_error("ledger command cannot be encoded");
	copy->sequence = body.sequence;
	copy->deadline_ms = deadline_ms;
	if (g_hash_table_size(client->pending_commands) == 0)
		client->reply_wait_start_ms = now;
	g_hash_table_insert(client->pending_commands, &copy->sequence, copy);
	link_mark_busy(&client->link);
	send_command(client, copy, now);
	return body.sequence;
}

/* Returns the number of pending commands. */
size_t ledger_client_pending(const ledger_client_t *client)
{
	return g_hash_table_size(client->pending_commands);
}

static void expire(ledger_client_t *client, clock_ms_t now)
{
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->pending_commands);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const pending_command_t *command = value;

		if (now >= command->deadline_ms)
			g_array_append_val(expired, command->sequence);
	}
	for (guint i = 0; i < expired->len; i++) {
		const msg_ledger_reply_t reply = {
			.sequence = g_array_index(expired, uint64_t, i),
			.state = LEDGER_UNAVAILABLE,
		};

		remove_command(client, reply.sequence);
		client->reply_handler->replied(client->reply_handler, &reply);
	}
	g_array_free(expired, TRUE);
}

/*
 * Expires commands, and tries the next control instance if replies are overdue.
 */
void ledger_client_tick(ledger_client_t *client, clock_ms_t now)
{
	if (g_hash_table_size(client->pending_commands) == 0)
		return;
	expire(client, now);
	if (g_hash_table_size(client->pending_commands) > 0 &&
	    now - client->reply_wait_start_ms > LEDGER_REPLY_TIMEOUT_MS)
		use_next_instance(client);
}
