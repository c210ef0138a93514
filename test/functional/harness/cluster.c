/* Configures and starts a cluster whose engines and services are fakes. */
#include "harness/cluster.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <glib/gstdio.h>

static void apply_defaults(cluster_params_t *params)
{
	if (params->entries == 0)
		params->entries = 1;
	if (params->ranges == 0)
		params->ranges = 3;
	if (params->endpoints_per_range == 0)
		params->endpoints_per_range = 2;
	if (params->layers == 0)
		params->layers = 12;
	if (params->slots == 0)
		params->slots = 256;
	if (params->engine_slots == 0)
		params->engine_slots = params->slots;
	if (params->step_us == 0)
		params->step_us = 1000;
	if (params->sessions == 0)
		params->sessions = 1000;
	if (params->customers == 0)
		params->customers = 1;
	if (params->recovery == NULL)
		params->recovery = "restart";
}

static void init_entry(cluster_t *cluster, size_t index)
{
	harness_t *harness = cluster->harness;
	cluster_entry_t *entry = &cluster->entries[index];
	const char *data_name;

	snprintf(entry->name, sizeof(entry->name), "entry-%zu", index + 1);
	entry->http = harness_address(harness);
	entry->control = harness_address(harness);
	entry->admin = harness_address(harness);
	entry->metrics = harness_address(harness);
	/* The port makes the name unique among the clusters of one harness. */
	data_name = harness_string(harness, "data-%s-%s", entry->name,
				   strrchr(entry->control, ':') + 1);
	entry->data_dir = harness_path(harness, data_name);
	g_mkdir_with_parents(entry->data_dir, 0755);
}

static cluster_endpoint_t *add_endpoint(cluster_t *cluster)
{
	harness_t *harness = cluster->harness;
	cluster_endpoint_t *endpoint;

	if (cluster->endpoint_count == CLUSTER_ENDPOINTS_MAX)
		g_error("more than %d endpoints", CLUSTER_ENDPOINTS_MAX);
	endpoint = &cluster->endpoints[cluster->endpoint_count++];
	endpoint->listen = harness_address(harness);
	endpoint->metrics = harness_address(harness);
	endpoint->backend_address = harness_address(harness);
	return endpoint;
}

static void init_range(cluster_t *cluster, size_t range)
{
	const cluster_params_t *params = &cluster->params;

	for (size_t i = 0; i < params->endpoints_per_range; i++) {
		cluster_endpoint_t *endpoint = add_endpoint(cluster);

		endpoint->first_layer =
			(uint32_t)(params->layers * range / params->ranges);
		endpoint->end_layer = (uint32_t)(params->layers * (range + 1) /
						 params->ranges);
		snprintf(endpoint->name, sizeof(endpoint->name),
			 "range-%zu-%zu", range, i);
	}
}

static void set_journal_paths(cluster_t *cluster)
{
	for (size_t i = 0; i < cluster->endpoint_count; i++) {
		cluster_endpoint_t *endpoint = &cluster->endpoints[i];
		const char *name = harness_string(cluster->harness,
						  "%s.journal", endpoint->name);

		endpoint->journal = harness_path(cluster->harness, name);
	}
}

/*
 * Assigns the names and addresses of a cluster.  The layers are split evenly
 * into ranges.  The endpoints of one range are adjacent in "endpoints"; those
 * of the plain service come last.
 */
void cluster_init(cluster_t *cluster, harness_t *harness,
		  const cluster_params_t *params)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->harness = harness;
	cluster->params = *params;
	apply_defaults(&cluster->params);
	cluster->entry_count = cluster->params.entries;
	for (size_t i = 0; i < cluster->entry_count; i++)
		init_entry(cluster, i);
	for (size_t range = 0; range < cluster->params.ranges; range++)
		init_range(cluster, range);
	for (size_t i = 0; i < cluster->params.services; i++)
		snprintf(add_endpoint(cluster)->name, HARNESS_NAME_BYTES,
			 "service-%zu", i);
	set_journal_paths(cluster);
}

static harness_process_t *start_daemon(cluster_t *cluster, const char *name,
				       const char *settings)
{
	const char *const argv[] = { harness_program(cluster->harness,
						     "wisteriad"),
				     "--config", settings, NULL };

	return harness_start(cluster->harness, name, argv);
}

/* Starts or restarts an instance with the roles entry and control. */
void cluster_start_entry(cluster_t *cluster, cluster_entry_t *entry)
{
	if (entry->process != NULL)
		harness_restart(entry->process);
	else
		entry->process =
			start_daemon(cluster, entry->name, entry->settings);
}

static void start_engine(cluster_t *cluster, cluster_endpoint_t *endpoint)
{
	harness_t *harness = cluster->harness;
	const cluster_params_t *params = &cluster->params;
	/* The default --batch-step-us=0 fills the place of --ignore-fencing. */
	const char *const argv[] = {
		harness_program(harness, "fake_engine"),
		harness_string(harness, "--journal=%s", endpoint->journal),
		harness_string(harness, "--layers=%u", params->layers),
		harness_string(harness, "--first-layer=%u",
			       endpoint->first_layer),
		harness_string(harness, "--end-layer=%u", endpoint->end_layer),
		harness_string(harness, "--slots=%u", params->engine_slots),
		harness_string(harness, "--step-us=%u", params->step_us),
		params->ignores_fencing ? "--ignore-fencing"
					: "--batch-step-us=0",
		harness_string(harness, "--listen=%s",
			       endpoint->backend_address),
		NULL,
	};

	endpoint->engine = harness_start(
		harness, harness_string(harness, "engine-%s", endpoint->name),
		argv);
}

static void start_service(cluster_t *cluster, cluster_endpoint_t *endpoint)
{
	harness_t *harness = cluster->harness;
	const char *const argv[] = {
		harness_program(harness, "fake_service"),
		harness_string(harness, "--journal=%s", endpoint->journal),
		harness_string(harness, "--listen=%s",
			       endpoint->backend_address),
		NULL,
	};

	endpoint->engine = harness_start(
		harness, harness_string(harness, "service-%s", endpoint->name),
		argv);
}

/* Starts or restarts an engine or service and then its agent. */
void cluster_start_endpoint(cluster_t *cluster, cluster_endpoint_t *endpoint)
{
	if (endpoint->engine != NULL)
		harness_restart(endpoint->engine);
	else if (endpoint->end_layer > 0)
		start_engine(cluster, endpoint);
	else
		start_service(cluster, endpoint);
	if (endpoint->agent != NULL)
		harness_restart(endpoint->agent);
	else
		endpoint->agent =
			start_daemon(cluster,
				     harness_string(cluster->harness,
						    "agent-%s", endpoint->name),
				     endpoint->settings);
}

/* Starts all processes; returns whether they all became ready. */
bool cluster_start(cluster_t *cluster)
{
	for (size_t i = 0; i < cluster->entry_count; i++)
		cluster_start_entry(cluster, &cluster->entries[i]);
	for (size_t i = 0; i < cluster->endpoint_count; i++)
		cluster_start_endpoint(cluster, &cluster->endpoints[i]);
	return cluster_wait_ready(cluster);
}

typedef struct {
	cluster_t *cluster;
	http_client_t client;
	size_t entry;
} answer_wait_t;

static bool entry_answers(void *user)
{
	answer_wait_t *wait = user;
	http_request_t *request = cluster_send_request(
		wait->cluster, &wait->client, wait->entry, "ready", 1, false);
	bool answers = http_wait(&wait->client, request, HARNESS_WAIT_MS) &&
		       request->status == 200;

	http_request_free(&wait->client, request);
	return answers;
}

static bool wait_until_answering(cluster_t *cluster, size_t entry)
{
	answer_wait_t wait = { .cluster = cluster, .entry = entry };
	bool answers;

	http_client_init(&wait.client);
	answers = harness_wait_until(entry_answers, &wait, HARNESS_WAIT_MS);
	http_client_finish(&wait.client);
	return answers;
}

typedef struct {
	const cluster_t *cluster;
	const cluster_entry_t *entry;
} directory_wait_t;

static bool has_all_endpoints(void *user)
{
	const directory_wait_t *wait = user;

	return cluster_read_metric(wait->entry->metrics,
				   "wisteria_endpoints") >=
	       wait->cluster->endpoint_count;
}

/*
 * Waits until every agent reports that it is ready, and every entry knows all
 * endpoints and has answered one short request, which shows that it can build
 * a chain over all layers.  Returns false if one of these waits times out after
 * HARNESS_WAIT_MS.
 */
bool cluster_wait_ready(cluster_t *cluster)
{
	for (size_t i = 0; i < cluster->endpoint_count; i++)
		if (!harness_wait_http(cluster->endpoints[i].metrics, "/readyz",
				       200, HARNESS_WAIT_MS))
			return false;
	for (size_t i = 0; i < cluster->entry_count; i++) {
		directory_wait_t wait = { cluster, &cluster->entries[i] };

		if (!harness_wait_until(has_all_endpoints, &wait,
					HARNESS_WAIT_MS) ||
		    !wait_until_answering(cluster, i))
			return false;
	}
	return true;
}

/* Kills an agent and its engine or service, as if their machine failed. */
void cluster_kill_endpoint(cluster_endpoint_t *endpoint)
{
	harness_signal(endpoint->agent, SIGKILL);
	harness_signal(endpoint->engine, SIGKILL);
	harness_kill(endpoint->agent);
	harness_kill(endpoint->engine);
}

static http_request_t *send_completion(cluster_t *cluster,
				       http_client_t *client, size_t entry,
				       const char *api_key, const char *body)
{
	char *url = g_strdup_printf("http://%s/v1/completions",
				    cluster->entries[entry].http);
	const http_params_t params = {
		.url = url,
		.api_key = api_key,
		.body = body,
	};
	http_request_t *request = http_send(client, &params);

	g_free(url);
	return request;
}

/*
 * Sends a completion request to one entry; with a "max_tokens" of 0, the limit
 * of the preset holds.  "prompt" is written into the JSON body unescaped.
 * "client" owns the returned request.
 */
http_request_t *cluster_send_request(cluster_t *cluster, http_client_t *client,
				     size_t entry, const char *prompt,
				     uint32_t max_tokens, bool stream)
{
	char *limit = max_tokens > 0 ? g_strdup_printf(",\"max_tokens\":%u",
						       max_tokens)
				     : g_strdup("");
	char *body = g_strdup_printf("{\"model\":\"" CLUSTER_MODEL "\","
				     "\"prompt\":\"%s\",\"stream\":%s%s}",
				     prompt, stream ? "true" : "false", limit);
	http_request_t *request =
		send_completion(cluster, client, entry, CLUSTER_API_KEY, body);

	g_free(limit);
	g_free(body);
	return request;
}

/*
 * Sends a request for a stream to one entry, with a customer's API key.
 * "prompt" is written into the JSON body unescaped.
 */
http_request_t *cluster_send_request_as(cluster_t *cluster,
					http_client_t *client, size_t customer,
					size_t entry, const char *prompt)
{
	char *body = g_strdup_printf("{\"model\":\"" CLUSTER_MODEL "\","
				     "\"prompt\":\"%s\",\"stream\":true}",
				     prompt);
	http_request_t *request =
		send_completion(cluster, client, entry,
				cluster_api_key(cluster, customer), body);

	g_free(body);
	return request;
}

/*
 * Returns the value of an integer metric, by its full name; 0 if it is not
 * exported or no response arrives within HARNESS_WAIT_MS.
 */
uint64_t cluster_read_metric(const char *metrics_address, const char *name)
{
	char *url = g_strdup_printf("http://%s/metrics", metrics_address);
	const http_params_t params = { .url = url };
	http_client_t client;
	const http_request_t *request;
	const char *match;
	char *key;
	uint64_t value = 0;

	http_client_init(&client);
	request = http_send(&client, &params);
	key = g_strdup_printf("\n%s ", name);
	if (http_wait(&client, request, HARNESS_WAIT_MS)) {
		match = strstr(request->body->str, key);
		if (match != NULL)
			value = g_ascii_strtoull(match + strlen(key), NULL, 10);
	}
	http_client_finish(&client);
	g_free(key);
	g_free(url);
	return value;
}
