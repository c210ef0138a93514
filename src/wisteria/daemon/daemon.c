/*
 * One process: the control thread, which is the main thread, the traffic
 * thread and the HTTP threads, and its graceful stop.
 */
#include "wisteria/daemon/daemon.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>
#include <glib.h>

#include "wisteria/admin/admin.h"
#include "wisteria/admin/metrics_http.h"
#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/base/mailbox.h"
#include "wisteria/control/announcer.h"
#include "wisteria/control/control.h"
#include "wisteria/control/lease_client.h"
#include "wisteria/control/view.h"
#include "wisteria/daemon/control_admin.h"
#include "wisteria/daemon/engine_relay.h"
#include "wisteria/daemon/traffic.h"
#include "wisteria/entry/http_front.h"
#include "wisteria/net/net.h"
#include "wisteria/settings/settings.h"
#include "wisteria/trace/trace.h"

/*
 * Time from the stop signal until the HTTP front is closed and the process may
 * end: long enough for entries to learn that the endpoints are leaving and for
 * a load balancer to see /readyz fail.
 */
#define DAEMON_GRACE_MS 3000
#define DAEMON_DRAIN_TICK_MS 100
#define DAEMON_READY_TICK_MS 100

typedef struct {
	const settings_t *settings;
	uv_loop_t loop;
	net_t net;
	mailbox_t mailbox;
	view_board_t board;
	uint8_t key[NET_KEY_BYTES];
	control_t *control;
	lease_client_t *lease;
	announcer_t *announcer; /* NULL without the agent role */
	traffic_t *traffic;
	engine_relay_t engine_relay;
	bool has_engine_relay; /* with the agent role */
	http_front_t *front;
	control_admin_t control_admin;
	admin_t *admin;
	metrics_http_t *metrics;
	trace_writer_t *tracer; /* NULL: no traces are written */
	uv_timer_t readiness;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_timer_t drain;
	clock_ms_t drain_since_ms; /* 0: not draining */
	bool withdrawn;		   /* idle; removal of the endpoints sent */
} daemon_t;

/*
 * Returns whether the process is ready for new work.  A draining process is
 * not.  Otherwise a process with the entry or agent role needs a preset and a
 * valid lease; any other process needs to know a leader.
 */
static bool is_ready(const daemon_t *daemon)
{
	const view_t *view = daemon->board.current;
	control_status_t status;

	if (daemon->drain_since_ms != 0)
		return false;
	if (daemon->traffic != NULL)
		return view != NULL && view->preset != NULL &&
		       clock_now(&clock_monotonic) < view->lease_until_ms;
	control_status(daemon->control, &status);
	return status.leader[0] != '\0';
}

static void on_readiness_timer(uv_timer_t *timer)
{
	const daemon_t *daemon = timer->data;

	metrics_http_set_ready(daemon->metrics, is_ready(daemon));
}

static void on_drain_timer(uv_timer_t *timer)
{
	daemon_t *daemon = timer->data;
	clock_ms_t now = clock_now(&clock_monotonic);

	if (now - daemon->drain_since_ms < DAEMON_GRACE_MS)
		return;
	if (daemon->front != NULL)
		http_front_close(daemon->front);
	if (daemon->traffic != NULL && !traffic_is_idle(daemon->traffic))
		return;
	if (daemon->withdrawn)
		uv_stop(&daemon->loop);
	daemon->withdrawn = true;
	if (daemon->announcer != NULL)
		announcer_withdraw(daemon->announcer);
}

static void on_signal(uv_signal_t *handle, int signal_number)
{
	daemon_t *daemon = handle->data;

	if (daemon->drain_since_ms != 0) {
		LOG_WARN("stop_forced", "signal=%d", signal_number);
		_exit(EXIT_FAILURE);
	}
	LOG_INFO("stop_begun", "signal=%d", signal_number);
	daemon->drain_since_ms = clock_now(&clock_monotonic);
	if (daemon->metrics != NULL)
		metrics_http_set_ready(daemon->metrics, false);
	if (daemon->control != NULL)
		control_transfer_leadership(daemon->control);
	if (daemon->announcer != NULL)
		announcer_announce_leaving(daemon->announcer);
	if (daemon->front != NULL)
		http_front_drain(daemon->front);
	if (daemon->traffic != NULL)
		traffic_drain(daemon->traffic);
	uv_timer_start(&daemon->drain, on_drain_timer, DAEMON_DRAIN_TICK_MS,
		       DAEMON_DRAIN_TICK_MS);
}

static void watch_signal(daemon_t *daemon, uv_signal_t *handle, int number)
{
	uv_signal_init(&daemon->loop, handle);
	handle->data = daemon;
	uv_signal_start(handle, on_signal, number);
}

static bool start_control(daemon_t *daemon, err_t *err)
{
	const settings_t *settings = daemon->settings;

	if (!settings_has_role(settings, "control"))
		return true;
	daemon->control = control_new(&daemon->net, settings, err);
	if (daemon->control == NULL)
		return false;
	control_admin_init(&daemon->control_admin, &daemon->mailbox,
			   daemon->control, settings->instance);
	daemon->admin = admin_new(settings->control->admin_listen,
				  settings->control->admin_token_file,
				  &daemon->control_admin.backend, err);
	return daemon->admin != NULL;
}

static bool start_tracer(daemon_t *daemon, err_t *err)
{
	const settings_t *settings = daemon->settings;

	if (settings->trace_file == NULL)
		return true;
	daemon->tracer =
		trace_writer_new(settings->trace_file, settings->instance,
				 settings->roles[0], err);
	return daemon->tracer != NULL;
}

static bool start_metrics(daemon_t *daemon, err_t *err)
{
	if (daemon->settings->metrics_listen == NULL)
		return true;
	daemon->metrics =
		metrics_http_new(daemon->settings->metrics_listen, err);
	if (daemon->metrics == NULL)
		return false;
	uv_timer_start(&daemon->readiness, on_readiness_timer,
		       DAEMON_READY_TICK_MS, DAEMON_READY_TICK_MS);
	return true;
}

static bool start_traffic(daemon_t *daemon, err_t *err)
{
	const settings_t *settings = daemon->settings;
	const traffic_params_t params = {
		.settings = settings,
		.key = daemon->key,
		.incarnation = daemon->net.incarnation,
		.board = &daemon->board,
		.lease = daemon->lease,
		.announcer = daemon->announcer,
		.control_mailbox = &daemon->mailbox,
		.tracer = daemon->tracer,
	};

	if (!settings_has_role(settings, "entry") &&
	    !settings_has_role(settings, "agent"))
		return true;
	daemon->traffic = traffic_start(&params, err);
	if (daemon->traffic == NULL)
		return false;
	daemon->has_engine_relay = settings_has_role(settings, "agent");
	if (daemon->has_engine_relay)
		engine_relay_init(&daemon->engine_relay, daemon->lease,
				  &daemon->mailbox, daemon->traffic,
				  daemon->net.incarnation);
	if (!settings_has_role(settings, "entry"))
		return true;
	daemon->front = http_front_new(settings->entry->http_listen,
				       settings->entry->http_threads,
				       traffic_entry(daemon->traffic), err);
	return daemon->front != NULL;
}

static bool start(daemon_t *daemon, err_t *err)
{
	const settings_t *settings = daemon->settings;

	net_init(&daemon->net, &daemon->loop, &clock_monotonic,
		 settings->instance, settings->failure_domain,
		 (uint64_t)g_get_real_time(), daemon->key);
	daemon->net.is_control = true;
	mailbox_init(&daemon->mailbox, &daemon->loop);
	view_board_init(&daemon->board);
	uv_timer_init(&daemon->loop, &daemon->drain);
	daemon->drain.data = daemon;
	uv_timer_init(&daemon->loop, &daemon->readiness);
	daemon->readiness.data = daemon;
	watch_signal(daemon, &daemon->sigterm, SIGTERM);
	watch_signal(daemon, &daemon->sigint, SIGINT);
	if (!start_tracer(daemon, err) || !start_control(daemon, err))
		return false;
	daemon->lease =
		lease_client_new(&daemon->net, settings, &daemon->board);
	if (settings_has_role(settings, "agent"))
		daemon->announcer = announcer_new(&daemon->net, settings);
	return start_traffic(daemon, err) && start_metrics(daemon, err);
}

static void close_handle(uv_handle_t *handle, void *data)
{
	(void)data;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void stop(daemon_t *daemon)
{
	metrics_http_free(daemon->metrics);
	admin_free(daemon->admin);
	http_front_free(daemon->front);
	traffic_stop(daemon->traffic);
	control_close(daemon->control);
	net_close(&daemon->net);
	mailbox_close(&daemon->mailbox);
	uv_walk(&daemon->loop, close_handle, NULL);
	uv_run(&daemon->loop, UV_RUN_DEFAULT);
	lease_client_free(daemon->lease);
	if (daemon->has_engine_relay)
		engine_relay_finish(&daemon->engine_relay);
	announcer_free(daemon->announcer);
	control_free(daemon->control);
	view_board_finish(&daemon->board);
	trace_writer_free(daemon->tracer);
	uv_loop_close(&daemon->loop);
}

/*
 * Runs the process with the roles of "settings" until it has received SIGTERM
 * or SIGINT and completed its work.  Returns false if it could not start.
 */
bool daemon_run(const settings_t *settings, err_t *err)
{
	daemon_t *daemon = g_new0(daemon_t, 1);
	bool ok;

	daemon->settings = settings;
	if (!net_load_key(settings->cluster_key_file, daemon->key, err)) {
		g_free(daemon);
		return false;
	}
	uv_loop_init(&daemon->loop);
	ok = start(daemon, err);
	if (ok) {
		LOG_INFO("started", "incarnation=%" G_GUINT64_FORMAT,
			 daemon->net.incarnation);
		uv_run(&daemon->loop, UV_RUN_DEFAULT);
	}
	stop(daemon);
	if (ok)
		LOG_INFO("stopped", "code=0");
	g_free(daemon);
	return ok;
}
