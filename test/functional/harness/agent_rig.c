/*
 * Runs real agents over real connections on one event loop, with a minimal
 * entry that drives entry sessions and chooses their chains itself.
 */
#include "harness/agent_rig.h"

#include <stdio.h>
#include <string.h>

#include "fakes/answer.h"
#include "wisteria/base/clock.h"
#include "wisteria/control/view.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"
#include "wisteria/net/net.h"

/*
 * The period of the sessions' ticks; it also bounds each run of the loop in
 * agent_rig_run_until().
 */
#define RIG_TICK_MS 20

typedef struct {
	conn_handler_t handler; /* first member */
	agent_rig_t *rig;
	link_t link;
} rig_link_t;

typedef struct {
	view_t view; /* first member */
	msg_name_t leaving;
	char name[ROUTER_NAME_BYTES];
} rig_view_t;

static const uint8_t rig_key[NET_KEY_BYTES] = { 7 };

static clock_ms_t now_ms(void)
{
	return clock_now(&clock_monotonic);
}

static void release_view(view_t *view)
{
	g_free(CONTAINER_OF(view, rig_view_t, view));
}

/*
 * Publishes a view with the given revision and a lease that never expires;
 * "leaving" is the name of an endpoint under an order to leave, or NULL.
 */
void agent_rig_publish_view(agent_rig_t *rig, uint64_t revision,
			    const char *leaving)
{
	rig_view_t *view = g_new0(rig_view_t, 1);

	view->view.revision = revision;
	view->view.lease_until_ms = CLOCK_NEVER_MS;
	view->view.release = release_view;
	if (leaving != NULL) {
		g_strlcpy(view->name, leaving, sizeof(view->name));
		view->leaving.text = view->name;
		view->view.leaving = &view->leaving;
		view->view.leaving_count = 1;
	}
	view_publish(rig->board, &view->view);
}

static void on_opened(conn_handler_t *self, conn_t *conn)
{
	rig_link_t *link = CONTAINER_OF(self, rig_link_t, handler);

	(void)conn;
	for (guint i = 0; i < link->rig->requests->len; i++) {
		rig_request_t *request =
			g_ptr_array_index(link->rig->requests, i);

		if (request->session != NULL)
			entry_session_on_agent_up(request->session,
						  link->link.address, now_ms());
	}
}

static void on_closed(conn_handler_t *self, conn_t *conn, const err_t *why)
{
	rig_link_t *link = CONTAINER_OF(self, rig_link_t, handler);

	(void)conn;
	(void)why;
	for (guint i = 0; i < link->rig->requests->len; i++) {
		rig_request_t *request =
			g_ptr_array_index(link->rig->requests, i);

		if (request->session != NULL)
			entry_session_on_agent_down(
				request->session, link->link.address, now_ms());
	}
}

static rig_request_t *find_request(agent_rig_t *rig, uint64_t session)
{
	for (guint i = 0; i < rig->requests->len; i++) {
		rig_request_t *request = g_ptr_array_index(rig->requests, i);

		if (request->session_number == session)
			return request;
	}
	return NULL;
}

static void record_call_reply(agent_rig_t *rig, const msg_call_reply_t *reply)
{
	rig->call_replies++;
	rig->call_reply = *reply;
	snprintf(rig->call_body, sizeof(rig->call_body), "%.*s",
		 (int)reply->body.len, (const char *)reply->body.data);
}

static void resume_from_takeover(rig_request_t *request,
				 const msg_takeover_reply_t *reply)
{
	const entry_session_params_t params = {
		.customer = "recife",
		.layers = request->rig->layers,
		.revision = 1,
		.deadline_ms = now_ms() + HARNESS_WAIT_MS,
		.recovery = request->rig->recovery,
	};

	request->session = entry_session_new_from_takeover(
		&params, reply, request->tokens, &request->ops, now_ms());
	if (request->session == NULL)
		request->rig->takeovers_refused++;
}

/*
 * Dispatches a message to the session that it is for.  Apart from a call reply,
 * every message from an agent to an entry begins with the session number.
 */
static void on_message(conn_handler_t *self, conn_t *conn, const msg_t *msg)
{
	agent_rig_t *rig = CONTAINER_OF(self, rig_link_t, handler)->rig;
	rig_request_t *request;

	(void)conn;
	if (msg->type == MSG_CALL_REPLY) {
		record_call_reply(rig, msg->body);
		return;
	}
	request = find_request(rig, *(const uint64_t *)msg->body);
	if (request != NULL && msg->type == MSG_TAKEOVER_REPLY)
		resume_from_takeover(request, msg->body);
	if (request == NULL || request->session == NULL)
		return;
	if (msg->type == MSG_OPEN_REPLY)
		entry_session_on_open_reply(request->session, msg->body,
					    now_ms());
	else if (msg->type == MSG_TOKENS)
		entry_session_on_tokens(request->session, msg->body, now_ms());
	else if (msg->type == MSG_SESSION_FAILED)
		entry_session_on_failed(request->session, msg->body, now_ms());
}

static rig_link_t *get_link(agent_rig_t *rig, const char *address)
{
	rig_link_t *link = g_hash_table_lookup(rig->links, address);

	if (link != NULL)
		return link;
	link = g_new0(rig_link_t, 1);
	link->handler.opened = on_opened;
	link->handler.message = on_message;
	link->handler.closed = on_closed;
	link->rig = rig;
	link_init(&link->link, rig->entry_net, address, &link->handler);
	/* Makes a silent agent time out after NET_BUSY_TIMEOUT_MS. */
	link_mark_busy(&link->link);
	g_hash_table_insert(rig->links, g_strdup(address), link);
	return link;
}

/*
 * Sends a message from the entry to an agent; drops it if the connection is not
 * open.
 */
void agent_rig_send(agent_rig_t *rig, const char *address, msg_type_t type,
		    const void *body)
{
	link_send(&get_link(rig, address)->link, type, body);
}

/*
 * Returns whether the entry's connection to an agent is open.  Starts to
 * connect if the entry has no link to the agent.
 */
bool agent_rig_is_connected(agent_rig_t *rig, const char *address)
{
	return link_is_open(&get_link(rig, address)->link);
}

/* Closes the entry's connection to an agent; the link reconnects. */
void agent_rig_disconnect(agent_rig_t *rig, const char *address)
{
	const err_t why = { .code = ERR_CLOSED };
	rig_link_t *link = get_link(rig, address);

	if (link->link.conn != NULL)
		conn_close(link->link.conn, &why);
}

static void send_message(entry_session_ops_t *self, entry_session_t *session,
			 const route_hop_t *hop, msg_type_t type,
			 const void *body)
{
	rig_request_t *request = CONTAINER_OF(self, rig_request_t, ops);

	(void)session;
	agent_rig_send(request->rig, hop->address, type, body);
}

static bool find_hop(const agent_rig_t *rig, uint32_t first, const char *avoid,
		     route_hop_t *hop)
{
	for (size_t i = 0; i < rig->agent_count; i++) {
		const rig_agent_t *agent = &rig->agents[i];

		for (unsigned j = 0; j < agent->role.endpoints_count; j++) {
			const settings_endpoint_t *endpoint =
				&agent->endpoints[j];

			if (agent->net == NULL ||
			    endpoint->first_layer != first ||
			    endpoint->kind != SETTINGS_MODEL ||
			    strcmp(endpoint->name, avoid) == 0)
				continue;
			memset(hop, 0, sizeof(*hop));
			g_strlcpy(hop->endpoint, endpoint->name,
				  sizeof(hop->endpoint));
			g_strlcpy(hop->address, agent->role.listen,
				  sizeof(hop->address));
			hop->incarnation = agent->incarnation;
			hop->first_layer = first;
			hop->end_layer = endpoint->end_layer;
			return true;
		}
	}
	return false;
}

static route_result_t choose_chain(const agent_rig_t *rig, const char *avoid,
				   route_choice_t *choice)
{
	uint32_t layer = 0;

	choice->hop_count = 0;
	while (layer < rig->layers) {
		route_hop_t *hop = &choice->hops[choice->hop_count];

		if (!find_hop(rig, layer, avoid, hop))
			return ROUTE_NO_CHAIN;
		layer = hop->end_layer;
		choice->hop_count++;
	}
	return ROUTE_FOUND;
}

static route_result_t choose(entry_session_ops_t *self,
			     entry_session_t *session, const char *failed,
			     route_choice_t *choice)
{
	agent_rig_t *rig = CONTAINER_OF(self, rig_request_t, ops)->rig;

	(void)session;
	return choose_chain(rig, failed, choice);
}

static route_result_t replace(entry_session_ops_t *self,
			      entry_session_t *session, size_t lost_hop,
			      route_hop_t *replacement)
{
	agent_rig_t *rig = CONTAINER_OF(self, rig_request_t, ops)->rig;
	const route_hop_t *lost = &entry_session_chain(session)->hops[lost_hop];

	if (find_hop(rig, lost->first_layer, lost->endpoint, replacement))
		return ROUTE_FOUND;
	return ROUTE_NO_CHAIN;
}

static bool may_retry(entry_session_ops_t *self, entry_session_t *session)
{
	(void)session;
	return CONTAINER_OF(self, rig_request_t, ops)->rig->may_retry;
}

static void deliver(entry_session_ops_t *self, entry_session_t *session,
		    const msg_token_t *tokens, size_t count)
{
	rig_request_t *request = CONTAINER_OF(self, rig_request_t, ops);
	clock_ms_t now = now_ms();

	(void)session;
	for (size_t i = 0; i < count; i++)
		g_string_append(request->answer, tokens[i].text);
	if (request->tokens > 0 &&
	    now - request->last_token_ms > request->longest_gap_ms)
		request->longest_gap_ms = now - request->last_token_ms;
	request->tokens += (uint32_t)count;
	request->last_token_ms = now;
}

static void finished(entry_session_ops_t *self, entry_session_t *session)
{
	(void)session;
	CONTAINER_OF(self, rig_request_t, ops)->finished = true;
}

static void refused(entry_session_ops_t *self, entry_session_t *session,
		    const entry_refusal_t *refusal)
{
	rig_request_t *request = CONTAINER_OF(self, rig_request_t, ops);

	(void)session;
	request->refused = true;
	request->not_run = refusal->not_run;
	g_strlcpy(request->refusal_text, refusal->err.text,
		  sizeof(request->refusal_text));
}

/* Sends a request from the entry.  The rig owns the returned request. */
rig_request_t *agent_rig_send_request(agent_rig_t *rig, const char *prompt,
				      uint32_t max_tokens)
{
	rig_request_t *request = g_new0(rig_request_t, 1);
	const entry_session_params_t params = {
		.session = ++rig->next_session,
		.request_id = "r",
		.customer = "recife",
		.model = RIG_MODEL,
		.prompt = prompt,
		.traceparent = "",
		.layers = rig->layers,
		.max_tokens = max_tokens,
		.revision = 1,
		.deadline_ms = now_ms() + HARNESS_WAIT_MS,
		.recovery = rig->recovery,
	};
	route_choice_t choice = { .hop_count = 0 };

	request->ops = (entry_session_ops_t){
		send_message, choose,	replace, may_retry,
		deliver,      finished, refused,
	};
	request->rig = rig;
	request->prompt = g_strdup(prompt);
	request->max_tokens = max_tokens;
	request->answer = g_string_new(NULL);
	request->session_number = params.session;
	request->session = entry_session_new(&params, &request->ops);
	g_ptr_array_add(rig->requests, request);
	if (choose_chain(rig, "", &choice) != ROUTE_FOUND)
		g_error("no chain of running agents covers all layers");
	entry_session_start(request->session, &choice, now_ms());
	return request;
}

static void on_tick(uv_timer_t *timer)
{
	agent_rig_t *rig = timer->data;

	for (guint i = 0; i < rig->requests->len; i++) {
		rig_request_t *request = g_ptr_array_index(rig->requests, i);

		if (request->session != NULL)
			entry_session_tick(request->session, now_ms());
	}
}

static void request_free(gpointer data)
{
	rig_request_t *request = data;

	entry_session_free(request->session);
	g_string_free(request->answer, TRUE);
	g_free(request->prompt);
	g_free(request);
}

static void link_free(gpointer data)
{
	rig_link_t *link = data;

	link_finish(&link->link);
	g_free(link);
}

static net_t *new_net(agent_rig_t *rig, const char *instance,
		      uint64_t incarnation)
{
	net_t *net = g_new0(net_t, 1);

	net_init(net, &rig->loop, &clock_monotonic, instance, "recife",
		 incarnation, rig_key);
	return net;
}

/*
 * All rigs share one board, which is never freed: ck_epoch keeps the records of
 * a board's readers, also of those that have finished, as long as the board
 * exists.
 */
static view_board_t *shared_board(void)
{
	static view_board_t board;
	static bool initialized;

	if (!initialized)
		view_board_init(&board);
	initialized = true;
	return &board;
}

/* Initializes a rig without agents and publishes revision 1. */
void agent_rig_init(agent_rig_t *rig, harness_t *harness, uint32_t layers)
{
	memset(rig, 0, sizeof(*rig));
	rig->harness = harness;
	rig->layers = layers;
	rig->may_retry = true;
	rig->journal = harness_path(harness, "engines.journal");
	uv_loop_init(&rig->loop);
	rig->board = shared_board();
	rig->closed_nets = g_ptr_array_new_with_free_func(g_free);
	agent_rig_publish_view(rig, 1, NULL);
	rig->entry_net = new_net(rig, "entry", 1);
	rig->links = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   link_free);
	rig->requests = g_ptr_array_new_with_free_func(request_free);
	uv_timer_init(&rig->loop, &rig->tick);
	rig->tick.data = rig;
	uv_timer_start(&rig->tick, on_tick, RIG_TICK_MS, RIG_TICK_MS);
}

/* Adds an agent without endpoints; agent_rig_start() starts it. */
rig_agent_t *agent_rig_add_agent(agent_rig_t *rig)
{
	rig_agent_t *agent = &rig->agents[rig->agent_count++];

	agent->rig = rig;
	snprintf(agent->instance, sizeof(agent->instance), "agent-%zu",
		 rig->agent_count);
	agent->role.listen = (char *)harness_address(rig->harness);
	agent->role.endpoints = agent->endpoints;
	agent->settings.instance = agent->instance;
	agent->settings.agent = &agent->role;
	return agent;
}

/*
 * Adds an endpoint of the layers [first, end); the caller sets its URL.  If
 * "end" is 0, it is an endpoint of a service.
 */
settings_endpoint_t *agent_rig_add_endpoint(rig_agent_t *agent, uint32_t first,
					    uint32_t end)
{
	settings_endpoint_t *endpoint =
		&agent->endpoints[agent->role.endpoints_count++];

	endpoint->name = (char *)harness_string(agent->rig->harness, "%s-%u-%u",
						agent->instance, first, end);
	endpoint->kind = end > 0 ? SETTINGS_MODEL : SETTINGS_SERVICE;
	endpoint->target = RIG_MODEL;
	endpoint->first_layer = first;
	endpoint->end_layer = end;
	endpoint->slots = 64;
	return endpoint;
}

/*
 * Starts an agent, or restarts one that was killed, each time with a new
 * incarnation.
 */
void agent_rig_start(rig_agent_t *agent)
{
	err_t err = { .code = ERR_NONE };

	agent->net = new_net(agent->rig, agent->instance, ++agent->incarnation);
	agent->agent = agent_new(agent->net, &agent->settings,
				 agent->rig->board, &err);
	if (agent->agent == NULL)
		g_error("agent: %s", err.text);
}

/* Stops an agent as if its process were killed: its connections close. */
void agent_rig_kill(rig_agent_t *agent)
{
	net_t *net = agent->net;

	agent_free(agent->agent);
	net_close(net);
	agent->net = NULL;
	agent->agent = NULL;
	g_ptr_array_add(agent->rig->closed_nets, net);
}

/*
 * Stops the entry as if its process were killed, and replaces it by a new entry
 * that has no sessions.  Every request must have a session.
 */
void agent_rig_replace_entry(agent_rig_t *rig)
{
	char *name = g_strdup_printf("entry-%u", ++rig->entry_number);

	for (guint i = 0; i < rig->requests->len; i++) {
		rig_request_t *request = g_ptr_array_index(rig->requests, i);

		g_strlcpy(
			request->first_hop_address,
			entry_session_chain(request->session)->hops[0].address,
			sizeof(request->first_hop_address));
		entry_session_free(request->session);
		request->session = NULL;
	}
	g_hash_table_remove_all(rig->links);
	net_close(rig->entry_net);
	g_ptr_array_add(rig->closed_nets, rig->entry_net);
	rig->entry_net = new_net(rig, name, 1);
	g_free(name);
}

/*
 * Requests, for the current entry, the takeover of a session of the entry that
 * it replaced; the connection must be open.  The agent grants it only if
 * "customer" is the session's customer.  Its reply resumes the session or is
 * counted in "takeovers_refused".
 */
void agent_rig_request_takeover(rig_request_t *request, const char *customer)
{
	const msg_takeover_t takeover = { request->session_number, customer };

	agent_rig_send(request->rig, request->first_hop_address, MSG_TAKEOVER,
		       &takeover);
}

/*
 * Runs the loop until "condition" returns true; returns false if it does not
 * within HARNESS_WAIT_MS.
 */
bool agent_rig_run_until(agent_rig_t *rig, bool (*condition)(void *user),
			 void *user)
{
	clock_ms_t limit = now_ms() + HARNESS_WAIT_MS;

	while (!condition(user)) {
		if (now_ms() >= limit)
			return false;
		uv_run(&rig->loop, UV_RUN_ONCE);
	}
	return true;
}

static bool all_ended(void *user)
{
	const agent_rig_t *rig = user;

	for (guint i = 0; i < rig->requests->len; i++) {
		const rig_request_t *request =
			g_ptr_array_index(rig->requests, i);

		if (!request->finished && !request->refused)
			return false;
	}
	return true;
}

/*
 * Runs the loop until every request is answered or refused; returns false if
 * that takes longer than HARNESS_WAIT_MS.
 */
bool agent_rig_run_all(agent_rig_t *rig)
{
	return agent_rig_run_until(rig, all_ended, rig);
}

/*
 * Returns whether the request finished with exactly the expected answer; if it
 * did not, prints both answers.
 */
bool agent_rig_has_expected_answer(const rig_request_t *request)
{
	char *expected = answer_text(request->prompt, request->rig->layers,
				     request->max_tokens, NULL);
	bool whole = request->finished &&
		     strcmp(expected, request->answer->str) == 0;

	if (!whole)
		printf("expected %s\ngot      %s (%s)\n", expected,
		       request->answer->str, request->refusal_text);
	g_free(expected);
	return whole;
}

/* Stops the agents and the entry, and frees what the rig holds. */
void agent_rig_finish(agent_rig_t *rig)
{
	for (size_t i = 0; i < rig->agent_count; i++)
		if (rig->agents[i].net != NULL)
			agent_rig_kill(&rig->agents[i]);
	g_hash_table_destroy(rig->links);
	net_close(rig->entry_net);
	uv_close((uv_handle_t *)&rig->tick, NULL);
	uv_run(&rig->loop, UV_RUN_DEFAULT);
	uv_loop_close(&rig->loop);
	g_ptr_array_free(rig->requests, TRUE);
	g_ptr_array_free(rig->closed_nets, TRUE);
	g_free(rig->entry_net);
}
