/* One process of a fleet: its event loop, its roles and its graceful stop. */
#include "wisteria/daemon/fleet_daemon.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>
#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/log.h"
#include "wisteria/daemon/fleet_metrics.h"
#include "wisteria/fleet/fleet_control.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/net/net.h"
#include "wisteria/settings/settings.h"

#define STOP_TICK_MS 50
/* Interval at which the settings file is compared with the one that was read. */
#define SETTINGS_CHECK_MS 1000
/* Part of the stop time reserved for closing files and connections. */
#define STOP_RESERVE_MS 250

typedef struct {
	const settings_t *settings;
	const char *settings_path;
	uv_loop_t loop;
	net_t net;
	gateway_t gateway;
	fleet_control_t control;
	fleet_metrics_t metrics;
	bool has_gateway;
	bool has_control;
	bool has_metrics;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	uv_timer_t settings_check;
	struct stat settings_stat; /* of the settings file, when it was read */
	uv_timer_t stop_tick;
	clock_ms_t stop_since_ms; /* 0: not stopping */
} fleet_daemon_t;

static bool is_idle(const fleet_daemon_t *daemon)
{
	return (!daemon->has_gateway || gateway_is_idle(&daemon->gateway)) &&
	       (!daemon->has_control ||
		fleet_control_is_idle(&daemon->control));
}

static clock_ms_t stop_timeout(const fleet_daemon_t *daemon)
{
	return (clock_ms_t)(daemon->settings->fleet->stop_s * 1000) -
	       STOP_RESERVE_MS;
}

static void on_stop_timer(uv_timer_t *timer)
{
	fleet_daemon_t *daemon = timer->data;
	clock_ms_t age = clock_now(&clock_boottime) - daemon->stop_since_ms;

	if (is_idle(daemon) || age >= stop_timeout(daemon))
		uv_stop(&daemon->loop);
}

static void on_signal(uv_signal_t *handle, int signal_number)
{
	fleet_daemon_t *daemon = handle->data;

	if (daemon->stop_since_ms != 0)
		return;
	LOG_INFO("stop_begun", "signal=%d", signal_number);
	daemon->stop_since_ms = clock_now(&clock_boottime);
	if (daemon->has_control)
		fleet_control_drain(&daemon->control);
	if (daemon->has_gateway)
		gateway_drain(&daemon->gateway, stop_timeout(daemon));
	uv_timer_start(&daemon->stop_tick, on_stop_timer, STOP_TICK_MS,
		       STOP_TICK_MS);
}

/*
 * Returns whether the settings file is another one than at the last call.  A
 * file that is missing for a moment, while it is replaced, is not.
 */
static bool settings_have_changed(fleet_daemon_t *daemon)
{
	struct stat last = daemon->settings_stat;
	struct stat *now = &daemon->settings_stat;

	if (stat(daemon->settings_path, now) != 0) {
		*now = last;
		return false;
	}
	return now->st_ino != last.st_ino || now->st_size != last.st_size ||
	       now->st_mtim.tv_sec != last.st_mtim.tv_sec ||
	       now->st_mtim.tv_nsec != last.st_mtim.tv_nsec;
}

/*
 * Reads the settings file again.  Only the seeds are applied; changes to
 * addresses or roles need a restart.
 */
static void reload(fleet_daemon_t *daemon)
{
	err_t err = ERR_INIT;
	settings_t *settings;

	(void)settings_have_changed(daemon);
	settings = settings_load(daemon->settings_path, &err);
	if (settings == NULL || settings->fleet == NULL) {
		log_err(G_LOG_LEVEL_WARNING, "reload_refused", &err);
		settings_free(settings);
		return;
	}
	if (daemon->has_gateway)
		gateway_set_seeds(&daemon->gateway, settings->fleet);
	if (daemon->has_control)
		fleet_control_set_seeds(&daemon->control, settings->fleet);
	LOG_INFO("reloaded", "path=%s seeds=%u", daemon->settings_path,
		 settings->fleet->seeds_count);
	settings_free(settings);
}

static void on_reload(uv_signal_t *handle, int signal_number)
{
	(void)signal_number;
	reload(handle->data);
}

/* The settings file may change without a signal. */
static void on_settings_check(uv_timer_t *timer)
{
	fleet_daemon_t *daemon = timer->data;

	if (settings_have_changed(daemon))
		reload(daemon);
}

static void watch_signal(fleet_daemon_t *daemon, uv_signal_t *handle,
			 uv_signal_cb callback, int number)
{
	uv_signal_init(&daemon->loop, handle);
	handle->data = daemon;
	uv_signal_start(handle, callback, number);
}

/*
 * Loads the cluster key.  Without a key file the fleet's network is trusted,
 * and a fixed key only keeps processes of other programs and releases apart.
 */
static bool load_key(const settings_t *settings, uint8_t key[NET_KEY_BYTES],
		     err_t *err)
{
	static const char text[] = "wisteriadrift fleet without a key file";

	if (settings->cluster_key_file != NULL)
		return net_load_key(settings->cluster_key_file, key, err);
	crypto_generichash(key, NET_KEY_BYTES, (const uint8_t *)text,
			   sizeof(text) - 1, NULL, 0);
	return true;
}

static bool start_metrics(fleet_daemon_t *daemon, err_t *err)
{
	const fleet_views_t entry = {
		.parts = &daemon->gateway.parts,
		.limits = &daemon->gateway.limits,
		.gateway = &daemon->gateway,
		.clock = &clock_boottime,
	};
	const fleet_views_t control = {
		.parts = &daemon->control.parts,
		.limits = &daemon->control.limits.known,
		.clock = &clock_monotonic,
	};

	return fleet_metrics_init(
		&daemon->metrics, &daemon->loop,
		daemon->settings->metrics_listen,
		settings_has_role(daemon->settings, "fleet_entry") ? &entry
								   : &control,
		err);
}

static bool start(fleet_daemon_t *daemon, const fleet_dialect_t *dialect,
		  err_t *err)
{
	const settings_t *settings = daemon->settings;
	bool is_control = settings_has_role(settings, "fleet_control");
	uint8_t key[NET_KEY_BYTES];

	if (!load_key(settings, key, err))
		return false;
	net_init(&daemon->net, &daemon->loop, &clock_monotonic,
		 is_control ? settings->fleet->peer_listen : settings->instance,
		 settings->failure_domain, (uint64_t)g_get_real_time(), key);
	uv_timer_init(&daemon->loop, &daemon->stop_tick);
	daemon->stop_tick.data = daemon;
	(void)settings_have_changed(daemon);
	uv_timer_init(&daemon->loop, &daemon->settings_check);
	daemon->settings_check.data = daemon;
	uv_timer_start(&daemon->settings_check, on_settings_check,
		       SETTINGS_CHECK_MS, SETTINGS_CHECK_MS);
	watch_signal(daemon, &daemon->sigterm, on_signal, SIGTERM);
	watch_signal(daemon, &daemon->sigint, on_signal, SIGINT);
	watch_signal(daemon, &daemon->sighup, on_reload, SIGHUP);
	if (is_control) {
		if (!fleet_control_init(&daemon->control, &daemon->net,
					settings, dialect, err))
			return false;
		daemon->has_control = true;
	}
	if (settings->metrics_listen != NULL) {
		if (!start_metrics(daemon, err))
			return false;
		daemon->has_metrics = true;
	}
	if (settings_has_role(settings, "fleet_entry")) {
		if (!gateway_init(&daemon->gateway, &daemon->net, settings,
				  dialect, err))
			return false;
		daemon->has_gateway = true;
	}
	return true;
}

static void close_handle(uv_handle_t *handle, void *data)
{
	(void)data;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void stop(fleet_daemon_t *daemon)
{
	if (daemon->has_metrics)
		fleet_metrics_close(&daemon->metrics);
	if (daemon->has_gateway)
		gateway_close(&daemon->gateway);
	if (daemon->has_control)
		fleet_control_close(&daemon->control);
	net_close(&daemon->net);
	uv_walk(&daemon->loop, close_handle, NULL);
	uv_run(&daemon->loop, UV_RUN_DEFAULT);
	if (daemon->has_gateway)
		gateway_finish(&daemon->gateway);
	if (daemon->has_control)
		fleet_control_finish(&daemon->control);
	uv_loop_close(&daemon->loop);
}

/*
 * Runs the fleet roles of "settings" until the process has received SIGTERM or
 * SIGINT and completed its work or used up its stop time.  SIGHUP or a change of
 * "settings_path" reloads it.  Returns false if it could not start; what was
 * opened is not closed, because the caller then exits.
 */
bool fleet_daemon_run(const settings_t *settings, const char *settings_path,
		      const fleet_dialect_t *dialect, err_t *err)
{
	fleet_daemon_t *daemon = g_new0(fleet_daemon_t, 1);

	daemon->settings = settings;
	daemon->settings_path = settings_path;
	uv_loop_init(&daemon->loop);
	if (!start(daemon, dialect, err))
		return false;
	LOG_INFO("started", "roles=%u incarnation=%" G_GUINT64_FORMAT,
		 settings->roles_count, daemon->net.incarnation);
	uv_run(&daemon->loop, UV_RUN_DEFAULT);
	stop(daemon);
	LOG_INFO("stopped", "code=0");
	g_free(daemon);
	return true;
}
