/* Many lease clients on one event loop, which has its own thread. */
#include "daemons.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <ck_pr.h>
#include <uv.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/control/announcer.h"
#include "wisteria/control/lease_client.h"
#include "wisteria/control/view.h"
#include "wisteria/net/net.h"

#define POLL_MS 20
#define INCARNATION_BASE 1000000

typedef struct {
	net_t net;
	settings_t settings;
	settings_agent_t agent;
	settings_endpoint_t *endpoints;
	view_board_t board;
	view_reader_t reader;
	lease_client_t *client;
	announcer_t *announcer; /* NULL for an entry */
	char name[HARNESS_NAME_BYTES];
	char listen[HARNESS_NAME_BYTES];
} daemon_t;

struct daemons_t {
	const daemons_params_t *params;
	daemons_params_t params_copy; /* that "params" points to */
	uint8_t key[NET_KEY_BYTES];
	settings_peer_t control[CLUSTER_ENTRIES_MAX];
	daemon_t *daemons;
	pthread_t thread;
	uv_loop_t loop;
	uv_timer_t poll;
	uv_async_t stop;
	msg_share_t *demand;
	/* Least values of all daemons, 0 for one without a lease; atomic. */
	uint64_t min_endpoint_count;
	uint64_t min_revision;
};

static char *entry_role[] = { (char *)"entry" };
static char *agent_role[] = { (char *)"agent" };

static void check_view(daemon_t *daemon, clock_ms_t now, uint64_t *endpoints,
		       uint64_t *revision)
{
	const view_t *view = view_enter(&daemon->reader);
	bool valid = view != NULL && view->lease_until_ms > now;

	*endpoints = MIN(*endpoints, valid ? view->endpoint_count : 0);
	*revision = MIN(*revision, valid ? view->revision : 0);
	view_exit(&daemon->reader);
}

static void on_poll(uv_timer_t *timer)
{
	daemons_t *daemons = timer->data;
	clock_ms_t now = clock_now(&clock_monotonic);
	uint64_t endpoints = UINT64_MAX;
	uint64_t revision = UINT64_MAX;

	for (size_t i = 0; i < daemons->params->count; i++)
		check_view(&daemons->daemons[i], now, &endpoints, &revision);
	ck_pr_store_64(&daemons->min_endpoint_count, endpoints);
	ck_pr_store_64(&daemons->min_revision, revision);
}

static void close_uv_handle(uv_handle_t *handle, void *user)
{
	(void)user;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void on_stop(uv_async_t *async)
{
	daemons_t *daemons = async->data;

	for (size_t i = 0; i < daemons->params->count; i++)
		net_close(&daemons->daemons[i].net);
	uv_walk(&daemons->loop, close_uv_handle, NULL);
}

static void init_endpoints(daemon_t *daemon, size_t index, size_t count,
			   uint32_t layers)
{
	daemon->endpoints = g_new0(settings_endpoint_t, count);
	daemon->agent.endpoints = daemon->endpoints;
	daemon->agent.endpoints_count = (unsigned)count;
	daemon->agent.listen = daemon->listen;
	for (size_t i = 0; i < count; i++)
		daemon->endpoints[i] = (settings_endpoint_t){
			.name = g_strdup_printf("runner-%zu-%zu", index, i),
			.kind = SETTINGS_MODEL,
			.target = (char *)CLUSTER_MODEL,
			.first_layer = (uint32_t)(i % layers),
			.end_layer = (uint32_t)(i % layers) + 1,
			.accelerator = (char *)"even",
			.url = (char *)"http://127.0.0.1:1",
			.slots = 16,
		};
}

static void set_daemon_demand(daemons_t *daemons, daemon_t *daemon)
{
	lease_client_set_demand(daemon->client, daemons->demand,
				daemons->params->customers);
}

static void start_daemon(daemons_t *daemons, size_t index)
{
	daemon_t *daemon = &daemons->daemons[index];
	const daemons_params_t *params = daemons->params;
	bool is_entry = params->endpoints_each == 0;

	snprintf(daemon->name, sizeof(daemon->name), "daemon-%zu", index);
	snprintf(daemon->listen, sizeof(daemon->listen), "127.0.0.1:%zu",
		 1024 + index);
	daemon->settings = (settings_t){
		.instance = daemon->name,
		.failure_domain = (char *)"recife",
		.region = (char *)"nordeste",
		.roles = is_entry ? entry_role : agent_role,
		.roles_count = 1,
		.control_instances = daemons->control,
		.control_instances_count =
			(unsigned)params->cluster->entry_count,
		.agent = &daemon->agent,
	};
	init_endpoints(daemon, index, params->endpoints_each,
		       params->cluster->params.layers);
	net_init(&daemon->net, &daemons->loop, &clock_monotonic, daemon->name,
		 "recife", INCARNATION_BASE + index, daemons->key);
	view_board_init(&daemon->board);
	view_reader_init(&daemon->reader, &daemon->board);
	daemon->client = lease_client_new(&daemon->net, &daemon->settings,
					  &daemon->board);
	if (is_entry)
		set_daemon_demand(daemons, daemon);
	else
		daemon->announcer =
			announcer_new(&daemon->net, &daemon->settings);
}

static void finish_daemon(daemon_t *daemon)
{
	announcer_free(daemon->announcer);
	lease_client_free(daemon->client);
	view_reader_finish(&daemon->reader);
	view_board_finish(&daemon->board);
	for (unsigned i = 0; i < daemon->agent.endpoints_count; i++)
		g_free(daemon->endpoints[i].name);
	g_free(daemon->endpoints);
}

static void *run_daemons(void *user)
{
	daemons_t *daemons = user;

	for (size_t i = 0; i < daemons->params->count; i++)
		start_daemon(daemons, i);
	uv_timer_start(&daemons->poll, on_poll, POLL_MS, POLL_MS);
	uv_run(&daemons->loop, UV_RUN_DEFAULT);
	for (size_t i = 0; i < daemons->params->count; i++)
		finish_daemon(&daemons->daemons[i]);
	return NULL;
}

static void make_demand(daemons_t *daemons)
{
	daemons->demand = g_new0(msg_share_t, daemons->params->customers + 1);
	for (size_t i = 0; i < daemons->params->customers; i++)
		daemons->demand[i] = (msg_share_t){
			.customer = g_strdup_printf("customer-%zu", i),
			.sessions = 2,
			.running = 1,
		};
}

/* Starts daemons that renew their leases at a cluster's control instances. */
daemons_t *daemons_start(const daemons_params_t *params)
{
	daemons_t *daemons = g_new0(daemons_t, 1);
	const cluster_t *cluster = params->cluster;
	err_t err = ERR_INIT;

	daemons->params_copy = *params;
	daemons->params = &daemons->params_copy;
	if (!net_load_key(cluster->key_file, daemons->key, &err))
		g_error("%s", err.text);
	for (size_t i = 0; i < cluster->entry_count; i++)
		daemons->control[i] = (settings_peer_t){
			.instance = (char *)cluster->entries[i].name,
			.address = (char *)cluster->entries[i].control,
		};
	daemons->daemons = g_new0(daemon_t, params->count);
	make_demand(daemons);
	uv_loop_init(&daemons->loop);
	uv_timer_init(&daemons->loop, &daemons->poll);
	daemons->poll.data = daemons;
	uv_async_init(&daemons->loop, &daemons->stop, on_stop);
	daemons->stop.data = daemons;
	pthread_create(&daemons->thread, NULL, run_daemons, daemons);
	return daemons;
}

/* Stops all daemons and frees them. */
void daemons_stop(daemons_t *daemons)
{
	uv_async_send(&daemons->stop);
	pthread_join(daemons->thread, NULL);
	uv_loop_close(&daemons->loop);
	for (size_t i = 0; i < daemons->params->customers; i++)
		g_free((char *)daemons->demand[i].customer);
	g_free(daemons->demand);
	g_free(daemons->daemons);
	g_free(daemons);
}

typedef struct {
	daemons_t *daemons;
	uint64_t endpoints;
	uint64_t revision;
} daemons_wait_t;

static bool are_up_to_date(void *user)
{
	const daemons_wait_t *wait = user;

	return ck_pr_load_64(&wait->daemons->min_endpoint_count) >=
		       wait->endpoints &&
	       ck_pr_load_64(&wait->daemons->min_revision) >= wait->revision;
}

bool daemons_wait(daemons_t *daemons, size_t endpoints, uint64_t revision,
		  clock_ms_t limit_ms)
{
	daemons_wait_t wait = { daemons, endpoints, revision };

	return harness_wait_until(are_up_to_date, &wait, limit_ms);
}
