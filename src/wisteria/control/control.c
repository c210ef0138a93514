/*
 * The control role: answers daemons' renewals with the configuration in
 * force and what they lack of the directory.
 */
#include "wisteria/control/control.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/control_defs.h"
#include "wisteria/control/directory.h"
#include "wisteria/ledger/ledger.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/listener.h"
#include "wisteria/settings/preset.h"

#define CONTROL_TICK_MS 100
#define CONTROL_LEDGER_BYTES_MAX (32u << 20)

struct control_t {
	conn_handler_t handler;
	net_t *net;
	listener_t listener;
	directory_t *directory;
	ledger_t *ledger;
	uv_timer_t tick;
	char *preset_text;
	preset_t *preset;
	uint64_t revision;
};

static control_t *control_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, control_t, handler);
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	(void)handler;
	(void)conn;
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	(void)handler;
	(void)conn;
	(void)why;
}

static bool holds_preset(const msg_renew_t *renew, const char *name)
{
	for (size_t i = 0; i < renew->preset_count; i++)
		if (strcmp(renew->presets[i].text, name) == 0)
			return true;
	return false;
}

static void take_announcement(control_t *control, conn_t *conn,
			      const msg_announce_t *announce)
{
	clock_ms_t now = clock_now(control->net->clock);
	msg_announce_reply_t reply = { .again = false };

	if (!announce->unchanged) {
		directory_announce(control->directory, announce, now);
		return;
	}
	reply.again = !directory_touch(control->directory, announce->instance,
				       announce->incarnation, now);
	if (reply.again)
		conn_send(conn, MSG_ANNOUNCE_REPLY, &reply);
}

static void answer_renewal(control_t *control, conn_t *conn,
			   const msg_renew_t *renew)
{
	const msg_preset_t preset = {
		.name = control->preset->name,
		.revision = 1,
		.text = control->preset_text,
	};
	directory_delta_t delta;
	msg_renew_reply_t reply = {
		.sequence = renew->sequence,
		.granted = true,
		.lease_ms = LEASE_MS,
	};

	directory_delta(control->directory, renew->directory_epoch,
			renew->directory_version, &delta);
	reply.directory_full = delta.full;
	reply.directory_epoch = delta.epoch;
	reply.directory_version = delta.version;
	reply.endpoints = delta.endpoints;
	reply.endpoint_count = delta.endpoint_count;
	reply.removed = delta.removed;
	reply.removed_count = delta.removed_count;
	reply.has_config = renew->revision < control->revision;
	reply.config.revision = control->revision;
	reply.config.preset = control->preset->name;
	if (reply.has_config && !holds_preset(renew, preset.name)) {
		reply.presets = &preset;
		reply.preset_count = 1;
	}
	counter_add(COUNTER_RENEWALS, 1);
	conn_send(conn, MSG_RENEW_REPLY, &reply);
}

static void answer_ledger(control_t *control, conn_t *conn,
			  const msg_ledger_t *question)
{
	msg_ledger_reply_t reply = { .sequence = question->sequence };

	ledger_apply(control->ledger, question,
		     clock_now(control->net->clock), &reply);
	conn_send(conn, MSG_LEDGER_REPLY, &reply);
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	if (msg->type == MSG_RENEW)
		answer_renewal(control_of(handler), conn, msg->body);
	else if (msg->type == MSG_LEDGER)
		answer_ledger(control_of(handler), conn, msg->body);
	else if (msg->type == MSG_ANNOUNCE)
		take_announcement(control_of(handler), conn, msg->body);
}

static void on_tick(uv_timer_t *timer)
{
	control_t *control = timer->data;

	directory_expire(control->directory, clock_now(control->net->clock),
			 DIRECTORY_SILENCE_MS);
}

static bool load_preset(control_t *control, const char *path, err_t *err)
{
	gsize len = 0;

	if (!g_file_get_contents(path, &control->preset_text, &len, NULL)) {
		err_set(err, ERR_IO, "load_preset", path,
			"cannot read the file");
		return false;
	}
	control->preset = preset_parse(control->preset_text, len, err);
	return control->preset != NULL;
}

/* Starts the control role on the loop of "net"; returns NULL on error. */
control_t *control_new(net_t *net, const settings_t *settings, err_t *err)
{
	control_t *control = g_new0(control_t, 1);

	control->handler.opened = on_opened;
	control->handler.message = on_message;
	control->handler.closed = on_closed;
	control->net = net;
	control->revision = 1;
	if (!load_preset(control, settings->control->bootstrap_preset_file,
			 err) ||
	    !listener_init(&control->listener, net, settings->control->listen,
			   &control->handler, err)) {
		preset_free(control->preset);
		g_free(control->preset_text);
		g_free(control);
		return NULL;
	}
	control->ledger = ledger_new(CONTROL_LEDGER_BYTES_MAX);
	control->directory = directory_new(net->incarnation);
	uv_timer_init(net->loop, &control->tick);
	control->tick.data = control;
	uv_timer_start(&control->tick, on_tick, CONTROL_TICK_MS,
		       CONTROL_TICK_MS);
	return control;
}

/* Frees the control role; the loop must have run to its end. */
void control_free(control_t *control)
{
	if (control == NULL)
		return;
	directory_free(control->directory);
	ledger_free(control->ledger);
	preset_free(control->preset);
	g_free(control->preset_text);
	g_free(control);
}
