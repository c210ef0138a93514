/* Writes the key, token, preset and settings files of a cluster. */
#include "harness/cluster.h"

#include <glib/gstdio.h>

#include "wisteria/settings/preset.h"

#define CLUSTER_KEY \
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n"

/* Returns the API key of a customer; that of number 0 is CLUSTER_API_KEY. */
const char *cluster_api_key(cluster_t *cluster, size_t customer)
{
	if (customer == 0)
		return CLUSTER_API_KEY;
	return harness_string(cluster->harness, "key-%zu", customer);
}

static void append_contract(cluster_t *cluster, GString *text, size_t customer)
{
	uint32_t sessions = cluster->params.sessions;
	char hash[2 * PRESET_KEY_HASH_BYTES + 1];

	preset_hash_key(cluster_api_key(cluster, customer), hash);
	g_string_append_printf(text,
			       "  - customer: customer-%zu\n"
			       "    api_key_hash: %s\n"
			       "    priority: 1\n"
			       "    guarantee_sessions: %u\n"
			       "    deserved_sessions: %u\n"
			       "    capability_sessions: %u\n"
			       "    tokens_per_s: 0\n",
			       customer, hash, sessions, sessions, sessions);
}

static void write_preset(cluster_t *cluster)
{
	const cluster_params_t *params = &cluster->params;
	GString *text = g_string_new("name: everyday\n");

	g_string_append_printf(text,
			       "models:\n"
			       "  - name: " CLUSTER_MODEL "\n"
			       "    layers: %u\n"
			       "    max_tokens: 4096\n",
			       params->layers);
	if (params->services > 0)
		g_string_append(text, "services:\n"
				      "  - name: " CLUSTER_SERVICE "\n"
				      "    idempotent_methods: []\n");
	g_string_append(text, "contracts:\n");
	for (size_t i = 0; i < params->customers; i++)
		append_contract(cluster, text, i);
	g_string_append_printf(text,
			       "limits:\n"
			       "  queue_length: 1000\n"
			       "  queue_ms: 10000\n"
			       "  request_ms: 60000\n"
			       "  retry_percent: 20\n"
			       "  weight_bytes_per_s: 1000000\n"
			       "  ledger_retention_ms: 600000\n"
			       "recovery: %s\n",
			       params->recovery);
	cluster->preset_file = harness_write_file(cluster->harness,
						  "everyday.yaml", text->str);
	g_string_free(text, TRUE);
}

static void append_control_instances(const cluster_t *cluster, GString *text,
				     const char *key, const char *indent)
{
	g_string_append_printf(text, "%s%s:\n", indent, key);
	for (size_t i = 0; i < cluster->entry_count; i++)
		g_string_append_printf(text,
				       "%s  - instance: %s\n"
				       "%s    address: %s\n",
				       indent, cluster->entries[i].name, indent,
				       cluster->entries[i].control);
}

static void append_common(const cluster_t *cluster, GString *text,
			  const char *name, size_t index, const char *metrics)
{
	static const char *const domains[] = { "recife", "jaboatao", "olinda" };

	g_string_append_printf(text,
			       "instance: %s\n"
			       "failure_domain: %s\n"
			       "region: nordeste\n"
			       "cluster_key_file: %s\n"
			       "log_level: info\n"
			       "metrics_listen: %s\n",
			       name, domains[index % ARRAY_SIZE(domains)],
			       cluster->key_file, metrics);
	append_control_instances(cluster, text, "control_instances", "");
}

static const char *write_settings(cluster_t *cluster, const char *name,
				  const GString *text)
{
	return harness_write_file(
		cluster->harness,
		harness_string(cluster->harness, "%s.yaml", name), text->str);
}

static void write_entry(cluster_t *cluster, size_t index)
{
	cluster_entry_t *entry = &cluster->entries[index];
	GString *text = g_string_new(NULL);

	append_common(cluster, text, entry->name, index, entry->metrics);
	g_string_append_printf(text,
			       "roles: [entry, control]\n"
			       "entry:\n"
			       "  http_listen: %s\n"
			       "  http_threads: 2\n"
			       "control:\n"
			       "  listen: %s\n"
			       "  admin_listen: %s\n"
			       "  admin_token_file: %s\n"
			       "  data_dir: %s\n"
			       "  bootstrap_preset_file: %s\n",
			       entry->http, entry->control, entry->admin,
			       cluster->token_file, entry->data_dir,
			       cluster->preset_file);
	append_control_instances(cluster, text, "voters", "  ");
	entry->settings = write_settings(cluster, entry->name, text);
	g_string_free(text, TRUE);
}

static void append_endpoint(const cluster_t *cluster, GString *text,
			    const cluster_endpoint_t *endpoint)
{
	bool is_model = endpoint->end_layer > 0;

	g_string_append_printf(text,
			       "    - name: %s\n"
			       "      kind: %s\n"
			       "      target: %s\n",
			       endpoint->name, is_model ? "model" : "service",
			       is_model ? CLUSTER_MODEL : CLUSTER_SERVICE);
	if (is_model)
		g_string_append_printf(text,
				       "      first_layer: %u\n"
				       "      end_layer: %u\n",
				       endpoint->first_layer,
				       endpoint->end_layer);
	g_string_append_printf(text,
			       "      accelerator: even\n"
			       "      url: http://%s\n"
			       "      slots: %u\n"
			       "      checks_fencing: %s\n",
			       endpoint->backend_address, cluster->params.slots,
			       cluster->params.ignores_fencing ? "false"
							       : "true");
}

static void write_endpoint(cluster_t *cluster, size_t index)
{
	cluster_endpoint_t *endpoint = &cluster->endpoints[index];
	const char *name =
		harness_string(cluster->harness, "agent-%s", endpoint->name);
	GString *text = g_string_new(NULL);

	append_common(cluster, text, name, index, endpoint->metrics);
	g_string_append_printf(text,
			       "roles: [agent]\n"
			       "agent:\n"
			       "  listen: %s\n",
			       endpoint->listen);
	if (endpoint->advertise != NULL)
		g_string_append_printf(text, "  advertise: %s\n",
				       endpoint->advertise);
	g_string_append(text, "  endpoints:\n");
	append_endpoint(cluster, text, endpoint);
	endpoint->settings = write_settings(cluster, name, text);
	g_string_free(text, TRUE);
}

/* Writes the key, the token, the preset and the settings of every process. */
void cluster_write_files(cluster_t *cluster)
{
	harness_t *harness = cluster->harness;

	cluster->key_file =
		harness_write_file(harness, "cluster.key", CLUSTER_KEY);
	cluster->token_file = harness_write_file(harness, "admin.token",
						 CLUSTER_ADMIN_TOKEN "\n");
	g_chmod(cluster->key_file, 0600);
	g_chmod(cluster->token_file, 0600);
	write_preset(cluster);
	for (size_t i = 0; i < cluster->entry_count; i++)
		write_entry(cluster, i);
	for (size_t i = 0; i < cluster->endpoint_count; i++)
		write_endpoint(cluster, i);
}
