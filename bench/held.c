/*
 * Opens sessions, keeps them open by slowing down the engines, and measures the
 * resources that they use.
 */
#include "held.h"

#define SETTLE_US 3000000
#define IDLE_US 3000000
#define HELD_STEP_US 4000000
#define END_WAIT_MS 120000
#define OPEN_BURST 50

static void set_step_time(const cluster_t *cluster, uint32_t step_us)
{
	http_client_t client;

	http_client_init(&client);
	for (size_t i = 0; i < cluster->endpoint_count; i++) {
		char *url = g_strdup_printf(
			"http://%s/fake?step_us=%u",
			cluster->endpoints[i].backend_address, step_us);
		const http_params_t params = { .method = "PUT", .url = url };

		http_send(&client, &params);
		g_free(url);
	}
	if (!http_client_run(&client, HARNESS_WAIT_MS))
		g_warning("an engine did not accept its step time");
	http_client_finish(&client);
}

/* Returns the usage of all agents of a cluster together. */
usage_t held_agents_usage(const cluster_t *cluster)
{
	usage_t sum = { .cpu_s = 0 };

	for (size_t i = 0; i < cluster->endpoint_count; i++) {
		usage_t usage = usage_read(cluster->endpoints[i].agent->pid);

		sum.resident_bytes += usage.resident_bytes;
		sum.cpu_s += usage.cpu_s;
	}
	return sum;
}

static void wait_us(http_client_t *client, int64_t us)
{
	int64_t end = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < end)
		http_client_poll(client, 50);
}

static void open_sessions(cluster_t *cluster, http_client_t *client,
			  uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		cluster_send_request(cluster, client, 0, "held", 0, true);
		if (i % OPEN_BURST == 0)
			wait_us(client, 20000);
	}
	wait_us(client, SETTLE_US);
}

static uint32_t count_failed(const http_client_t *client)
{
	uint32_t failed = 0;

	for (guint i = 0; i < client->requests->len; i++) {
		const http_request_t *request =
			g_ptr_array_index(client->requests, i);

		failed += !request->done || request->result != CURLE_OK ||
			  request->status != 200 || !request->ended ||
			  request->failed;
	}
	return failed;
}

/* Opens "count" sessions, measures them while they wait, and completes them. */
void held_measure(cluster_t *cluster, uint32_t count, held_cost_t *cost)
{
	pid_t entry = cluster->entries[0].process->pid;
	usage_t entry_before = usage_read(entry);
	usage_t agents_before = held_agents_usage(cluster);
	usage_t entry_open;
	usage_t agents_open;
	http_client_t client;

	set_step_time(cluster, HELD_STEP_US);
	http_client_init(&client);
	open_sessions(cluster, &client, count);
	entry_open = usage_read(entry);
	agents_open = held_agents_usage(cluster);
	wait_us(&client, IDLE_US);
	cost->entry_bytes =
		entry_open.resident_bytes - entry_before.resident_bytes;
	cost->agent_bytes =
		agents_open.resident_bytes - agents_before.resident_bytes;
	cost->entry_cpu =
		(usage_read(entry).cpu_s - entry_open.cpu_s) * 1e6 / IDLE_US;
	cost->agent_cpu =
		(held_agents_usage(cluster).cpu_s - agents_open.cpu_s) * 1e6 /
		IDLE_US;
	set_step_time(cluster, cluster->params.step_us);
	if (!http_client_run(&client, END_WAIT_MS))
		g_warning("not all held sessions ended");
	cost->failed = count_failed(&client);
	http_client_finish(&client);
}
