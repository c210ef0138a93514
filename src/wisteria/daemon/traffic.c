/*
 * The traffic thread: its event loop runs the entry and agent roles.  Other
 * threads communicate with it through its mailbox.
 */
#include "wisteria/daemon/traffic.h"

#include <string.h>

#include <ck_pr.h>
#include <glib.h>

#include "wisteria/agent/agent.h"
#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/mailbox.h"
#include "wisteria/net/net.h"
#include "wisteria/settings/settings.h"

#define TRAFFIC_REPORT_MS 100
#define TRAFFIC_ENDPOINTS_MAX 256
#define TRAFFIC_CUSTOMERS_MAX 4096

struct traffic_t {
	traffic_params_t params;
	uv_loop_t loop;
	uv_thread_t thread;
	net_t net;
	mailbox_t mailbox;
	uv_timer_t report;
	entry_t *entry;
	agent_t *agent;
	uint32_t busy; /* 0 or 1; atomic, read by other threads */
};

/* A request to drain or stop the traffic thread. */
typedef struct {
	task_t task;
	traffic_t *traffic;
} traffic_task_t;

/* The running sessions and calls per endpoint, posted to the announcer. */
typedef struct {
	task_t task;
	announcer_t *announcer;
	msg_running_t running[TRAFFIC_ENDPOINTS_MAX];
	size_t count;
} running_task_t;

static void deliver_running(task_t *task)
{
	running_task_t *report = CONTAINER_OF(task, running_task_t, task);

	announcer_set_running(report->announcer, report->running,
			      report->count);
	for (size_t i = 0; i < report->count; i++)
		g_free((char *)report->running[i].endpoint);
	g_free(report);
}

/* The sessions that each customer wants, posted to the lease client. */
typedef struct {
	task_t task;
	lease_client_t *lease;
	GArray *demand; /* of msg_share_t; owns the customer names */
} demand_task_t;

static void deliver_demand(task_t *task)
{
	demand_task_t *report = CONTAINER_OF(task, demand_task_t, task);
	GArray *demand = report->demand;

	lease_client_set_demand(report->lease, (msg_share_t *)demand->data,
				demand->len);
	for (guint i = 0; i < demand->len; i++)
		g_free((char *)g_array_index(demand, msg_share_t, i).customer);
	g_array_free(demand, TRUE);
	g_free(report);
}

static void report_demand(const traffic_t *traffic)
{
	demand_task_t *report = g_new0(demand_task_t, 1);
	GArray *demand = g_array_sized_new(FALSE, FALSE, sizeof(msg_share_t),
					   TRAFFIC_CUSTOMERS_MAX);

	g_array_set_size(demand, TRAFFIC_CUSTOMERS_MAX);
	g_array_set_size(demand,
			 (guint)entry_demand(traffic->entry,
					     (msg_share_t *)demand->data,
					     TRAFFIC_CUSTOMERS_MAX));
	for (guint i = 0; i < demand->len; i++) {
		msg_share_t *share = &g_array_index(demand, msg_share_t, i);

		share->customer = g_strdup(share->customer);
	}
	report->task.run = deliver_demand;
	report->lease = traffic->params.lease;
	report->demand = demand;
	mailbox_post(traffic->params.control_mailbox, &report->task);
}

static void report_running(const traffic_t *traffic)
{
	running_task_t *report = g_new0(running_task_t, 1);

	report->task.run = deliver_running;
	report->announcer = traffic->params.announcer;
	report->count = agent_list_running(traffic->agent, report->running,
					   TRAFFIC_ENDPOINTS_MAX);
	for (size_t i = 0; i < report->count; i++)
		report->running[i].endpoint =
			g_strdup(report->running[i].endpoint);
	mailbox_post(traffic->params.control_mailbox, &report->task);
}

static void on_report(uv_timer_t *timer)
{
	traffic_t *traffic = timer->data;
	bool busy = false;

	if (traffic->entry != NULL) {
		busy = !entry_is_idle(traffic->entry);
		report_demand(traffic);
	}
	if (traffic->agent != NULL) {
		busy = busy || !agent_is_idle(traffic->agent);
		report_running(traffic);
	}
	ck_pr_store_32(&traffic->busy, busy);
}

static void run_thread(void *data)
{
	traffic_t *traffic = data;

	uv_run(&traffic->loop, UV_RUN_DEFAULT);
}

static void run_drain(task_t *task)
{
	traffic_task_t *command = CONTAINER_OF(task, traffic_task_t, task);

	if (command->traffic->agent != NULL)
		agent_drain(command->traffic->agent);
	g_free(command);
}

static void run_stop(task_t *task)
{
	traffic_task_t *command = CONTAINER_OF(task, traffic_task_t, task);

	uv_stop(&command->traffic->loop);
	g_free(command);
}

static void post(traffic_t *traffic, void (*run)(task_t *task))
{
	traffic_task_t *command = g_new0(traffic_task_t, 1);

	command->task.run = run;
	command->traffic = traffic;
	mailbox_post(&traffic->mailbox, &command->task);
}

static bool create_roles(traffic_t *traffic, err_t *err)
{
	const traffic_params_t *params = &traffic->params;
	const settings_t *settings = params->settings;

	if (settings_has_role(settings, "agent")) {
		traffic->agent =
			agent_new(&traffic->net, settings, params->board, err);
		if (traffic->agent == NULL)
			return false;
		agent_set_tracer(traffic->agent, params->tracer);
	}
	if (settings_has_role(settings, "entry"))
		traffic->entry =
			entry_new(&traffic->net, settings, params->board,
				  &traffic->mailbox, params->tracer);
	return true;
}

/* Frees the roles and the loop, which must not be running on any thread. */
static void finish(traffic_t *traffic)
{
	mailbox_close(&traffic->mailbox);
	uv_close((uv_handle_t *)&traffic->report, NULL);
	entry_free(traffic->entry);
	agent_free(traffic->agent);
	net_close(&traffic->net);
	uv_run(&traffic->loop, UV_RUN_DEFAULT);
	uv_loop_close(&traffic->loop);
	g_free(traffic);
}

/* Starts the thread; returns NULL and sets "err" if a role cannot start. */
traffic_t *traffic_start(const traffic_params_t *params, err_t *err)
{
	traffic_t *traffic = g_new0(traffic_t, 1);
	const settings_t *settings = params->settings;

	traffic->params = *params;
	uv_loop_init(&traffic->loop);
	net_init(&traffic->net, &traffic->loop, &clock_monotonic,
		 settings->instance, settings->failure_domain,
		 params->incarnation, params->key);
	mailbox_init(&traffic->mailbox, &traffic->loop);
	uv_timer_init(&traffic->loop, &traffic->report);
	traffic->report.data = traffic;
	uv_timer_start(&traffic->report, on_report, TRAFFIC_REPORT_MS,
		       TRAFFIC_REPORT_MS);
	if (!create_roles(traffic, err)) {
		finish(traffic);
		return NULL;
	}
	uv_thread_create(&traffic->thread, run_thread, traffic);
	return traffic;
}

/* Returns the entry role, or NULL if the process has none. */
entry_t *traffic_entry(const traffic_t *traffic)
{
	return traffic->entry;
}

/* Returns the agent role, for use on the traffic thread only, or NULL. */
agent_t *traffic_agent(const traffic_t *traffic)
{
	return traffic->agent;
}

/* Posts "task" to the traffic thread. */
void traffic_post(traffic_t *traffic, task_t *task)
{
	mailbox_post(&traffic->mailbox, task);
}

/* Makes the agent refuse new work; running work continues. */
void traffic_drain(traffic_t *traffic)
{
	post(traffic, run_drain);
}

/* Returns whether no work was running at the last report timer. */
bool traffic_is_idle(traffic_t *traffic)
{
	return ck_pr_load_32(&traffic->busy) == 0;
}

/* Stops the thread and frees its roles; "traffic" may be NULL. */
void traffic_stop(traffic_t *traffic)
{
	if (traffic == NULL)
		return;
	post(traffic, run_stop);
	uv_thread_join(&traffic->thread);
	finish(traffic);
}
