/*
 * The agent: receives messages from entries and other agents and runs the
 * requested work on its endpoints.
 */
#include "wisteria/agent/agent.h"

#include <string.h>

#include "wisteria/agent/agent_call.h"
#include "wisteria/agent/agent_defs.h"
#include "wisteria/agent/agent_dispatch.h"
#include "wisteria/agent/agent_peer.h"
#include "wisteria/agent/agent_session.h"
#include "wisteria/agent/engine_http.h"
#include "wisteria/base/clock.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/msg.h"
#include "wisteria/control/view.h"

static const agent_message_handler_t messages[MSG_TYPE_COUNT] = {
	[MSG_OPEN] = agent_session_on_open,
	[MSG_START] = agent_session_on_start,
	[MSG_TOKENS_ACK] = agent_session_on_tokens_ack,
	[MSG_RESUME] = agent_session_on_resume,
	[MSG_REROUTE] = agent_session_on_reroute,
	[MSG_TAKEOVER] = agent_session_on_takeover,
	[MSG_CLOSE] = agent_session_on_close,
	[MSG_SESSION_FAILED] = agent_session_on_failed,
	[MSG_STEP] = agent_session_on_step,
	[MSG_STEP_ACK] = agent_session_on_step_ack,
	[MSG_STEP_RESULT] = agent_session_on_step_result,
	[MSG_CALL] = agent_call_on_call,
	[MSG_CALL_CANCEL] = agent_call_on_cancel,
};

/* Handles a message; "conn" is NULL for one that the agent sent itself. */
void agent_dispatch(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	agent_message_handler_t handle = messages[msg->type];

	if (handle == NULL) {
		LOG_WARN("unexpected_message", "type=%s",
			 msg_type_name(msg->type));
		return;
	}
	handle(agent, conn, msg);
}

/* Idle callback: handles the messages that the agent sent to itself. */
void agent_on_local_idle(uv_idle_t *idle)
{
	agent_peer_handle_local(idle->data);
}

static void on_opened(conn_handler_t *self, conn_t *conn)
{
	(void)self;
	(void)conn;
}

static void on_message(conn_handler_t *self, conn_t *conn, const msg_t *msg)
{
	agent_dispatch(CONTAINER_OF(self, agent_t, inbound), conn, msg);
}

static void on_closed(conn_handler_t *self, conn_t *conn, const err_t *why)
{
	agent_t *agent = CONTAINER_OF(self, agent_t, inbound);

	(void)why;
	agent_session_on_entry_down(agent, conn);
	agent_call_on_entry_down(agent, conn);
}

static void on_tick(uv_timer_t *timer)
{
	agent_t *agent = timer->data;
	clock_ms_t now = clock_now(agent->net->clock);

	agent_session_tick(agent, now);
	agent_call_tick(agent, now);
	agent_peer_tick(agent, now);
	for (size_t i = 0; i < agent->endpoint_count; i++) {
		engine_ops_t *engine = agent->endpoints[i].engine;

		if (engine != NULL)
			engine->tick(engine, now);
	}
}

static void endpoint_init(agent_endpoint_t *endpoint, agent_t *agent,
			  const settings_endpoint_t *settings)
{
	endpoint->handler.done = agent_session_on_engine_done;
	endpoint->handler.failed = agent_session_on_engine_failed;
	endpoint->agent = agent;
	endpoint->settings = settings;
	if (settings->kind == SETTINGS_MODEL)
		endpoint->engine =
			engine_http_new(&agent->curl, agent->net->clock,
					settings->url, &endpoint->handler);
}

static void start_handles(agent_t *agent)
{
	uv_loop_t *loop = agent->net->loop;

	uv_timer_init(loop, &agent->tick);
	agent->tick.data = agent;
	uv_timer_start(&agent->tick, on_tick, AGENT_TICK_MS, AGENT_TICK_MS);
	uv_idle_init(loop, &agent->local_idle);
	agent->local_idle.data = agent;
	curl_loop_init(&agent->curl, loop);
}

static agent_t *create(net_t *net, const settings_t *settings)
{
	const settings_agent_t *role = settings->agent;
	agent_t *agent = g_new0(agent_t, 1);

	agent->inbound.opened = on_opened;
	agent->inbound.message = on_message;
	agent->inbound.closed = on_closed;
	agent->net = net;
	agent->settings = settings;
	agent->address =
		role->advertise == NULL ? role->listen : role->advertise;
	g_queue_init(&agent->local_frames);
	agent->endpoint_count = role->endpoints_count;
	agent->endpoints = g_new0(agent_endpoint_t, role->endpoints_count);
	agent->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     agent_peer_free);
	agent_session_init(agent);
	agent_call_init(agent);
	return agent;
}

static void destroy(agent_t *agent)
{
	g_hash_table_destroy(agent->peers);
	g_free(agent->endpoints);
	g_free(agent);
}

static void on_local_idle_closed(uv_handle_t *handle)
{
	destroy(handle->data);
}

static void on_tick_closed(uv_handle_t *handle)
{
	agent_t *agent = handle->data;

	uv_close((uv_handle_t *)&agent->local_idle, on_local_idle_closed);
}

static void free_frame(gpointer data)
{
	g_bytes_unref(data);
}

/*
 * Stops the agent and abandons the work in progress.  Its memory is freed when
 * the loop has closed its handles.  The net must be closed before the loop runs
 * again.
 */
void agent_free(agent_t *agent)
{
	if (agent == NULL)
		return;
	agent_session_finish(agent);
	agent_call_finish(agent);
	for (size_t i = 0; i < agent->endpoint_count; i++)
		if (agent->endpoints[i].engine != NULL)
			agent->endpoints[i].engine->close(
				agent->endpoints[i].engine);
	curl_loop_close(&agent->curl);
	g_hash_table_remove_all(agent->peers);
	g_queue_clear_full(&agent->local_frames, free_frame);
	if (agent->listening)
		listener_close(&agent->listener);
	view_reader_finish(&agent->reader);
	uv_idle_stop(&agent->local_idle);
	uv_close((uv_handle_t *)&agent->tick, on_tick_closed);
}

/*
 * Starts the agent role of "settings" on the loop of "net".  All arguments
 * must outlive it.  Returns NULL and sets "err" if it can't listen on the
 * configured address.
 */
agent_t *agent_new(net_t *net, const settings_t *settings, view_board_t *board,
		   err_t *err)
{
	agent_t *agent = create(net, settings);

	start_handles(agent);
	view_reader_init(&agent->reader, board);
	for (size_t i = 0; i < agent->endpoint_count; i++)
		endpoint_init(&agent->endpoints[i], agent,
			      &settings->agent->endpoints[i]);
	agent->listening =
		listener_init(&agent->listener, net, settings->agent->listen,
			      &agent->inbound, err);
	if (agent->listening)
		return agent;
	agent_free(agent);
	return NULL;
}

/* Refuses new work from now on; work in progress runs to completion. */
void agent_drain(agent_t *agent)
{
	agent->draining = true;
}

/* Sets the writer of spans, which must outlive the agent; NULL: no spans. */
void agent_set_tracer(agent_t *agent, trace_writer_t *tracer)
{
	agent->tracer = tracer;
}

static agent_endpoint_t *find_endpoint(agent_t *agent, const char *name)
{
	for (size_t i = 0; i < agent->endpoint_count; i++)
		if (strcmp(agent->endpoints[i].settings->name, name) == 0)
			return &agent->endpoints[i];
	return NULL;
}

/*
 * Sends an order to the engine of "endpoint".  Returns false, and doesn't call
 * "done", if there is no such engine or the fencing number isn't higher than
 * those of all previous orders to it.
 */
bool agent_send_engine_order(agent_t *agent, const char *endpoint,
			     const char *text, uint64_t fence,
			     engine_order_done_t *done)
{
	agent_endpoint_t *found = find_endpoint(agent, endpoint);

	if (found == NULL || found->engine == NULL ||
	    fence <= found->last_fence)
		return false;
	found->last_fence = fence;
	found->engine->order(found->engine, text, fence, done);
	return true;
}

/* Returns whether no endpoint has a session or call in progress. */
bool agent_is_idle(const agent_t *agent)
{
	for (size_t i = 0; i < agent->endpoint_count; i++)
		if (agent->endpoints[i].in_flight > 0)
			return false;
	return true;
}

/*
 * Writes the number of sessions and calls in progress on each endpoint, for up
 * to "max" endpoints.  Returns the number of entries written.  The names point
 * into the settings.
 */
size_t agent_list_running(const agent_t *agent, msg_running_t *out, size_t max)
{
	size_t count = MIN(max, agent->endpoint_count);

	for (size_t i = 0; i < count; i++)
		out[i] = (msg_running_t){
			.endpoint = agent->endpoints[i].settings->name,
			.running = agent->endpoints[i].in_flight,
		};
	return count;
}
