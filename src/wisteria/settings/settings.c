/*
 * The settings of one process, read from a YAML file.  The whole file is
 * validated before any socket or other file is opened.
 */
#include "wisteria/settings/settings.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/net/net.h"
#include "wisteria/settings/yaml_doc.h"

#define SETTINGS_BYTES_MAX (1u << 20)
#define SETTINGS_LAYERS_MAX 4096
#define SETTINGS_SLOTS_MAX 100000
#define SETTINGS_HTTP_THREADS_MAX 64
#define SETTINGS_PEERS_MAX 64
#define SETTINGS_VOTERS_MAX 11
#define SETTINGS_ENDPOINTS_MAX 256

#define SETTINGS_HTTP_THREADS_DEFAULT 2
#define SETTINGS_SLOTS_DEFAULT 8
/* Long enough for streams of a few seconds to finish. */
#define SETTINGS_DOMAINS_MAX 256
/* Machines that may be lost at once. */
#define SETTINGS_TOLERANCE_DEFAULT 1
#define SETTINGS_STOP_S_DEFAULT 8.0
/* A ratio of 0.2 is common; the slack allows retries in a short outage. */
#define SETTINGS_RETRY_RATIO_DEFAULT 0.2
#define SETTINGS_RETRY_SLACK_DEFAULT 100
#define SETTINGS_RETRY_WINDOW_S_DEFAULT 10.0

#define STRING_FIELD(type, member) \
	CYAML_FIELD_STRING_PTR(#member, CYAML_FLAG_POINTER, type, member, 1, \
			       CYAML_UNLIMITED)
#define OPTIONAL_STRING_FIELD(type, member) \
	CYAML_FIELD_STRING_PTR(#member, \
			       CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, type, \
			       member, 1, CYAML_UNLIMITED)

static const cyaml_schema_field_t peer_fields[] = {
	STRING_FIELD(settings_peer_t, instance),
	STRING_FIELD(settings_peer_t, address),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t peer_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, settings_peer_t, peer_fields),
};

static const cyaml_schema_field_t entry_fields[] = {
	STRING_FIELD(settings_entry_t, http_listen),
	CYAML_FIELD_UINT("http_threads", CYAML_FLAG_OPTIONAL, settings_entry_t,
			 http_threads),
	OPTIONAL_STRING_FIELD(settings_entry_t, admin_token_file),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t control_fields[] = {
	STRING_FIELD(settings_control_t, listen),
	STRING_FIELD(settings_control_t, admin_listen),
	STRING_FIELD(settings_control_t, admin_token_file),
	STRING_FIELD(settings_control_t, data_dir),
	OPTIONAL_STRING_FIELD(settings_control_t, bootstrap_preset_file),
	CYAML_FIELD_SEQUENCE("voters", CYAML_FLAG_POINTER, settings_control_t,
			     voters, &peer_schema, 1, SETTINGS_VOTERS_MAX),
	CYAML_FIELD_END,
};

static const cyaml_strval_t kind_names[] = {
	{ "model", SETTINGS_MODEL },
	{ "service", SETTINGS_SERVICE },
};

static const cyaml_schema_field_t endpoint_fields[] = {
	STRING_FIELD(settings_endpoint_t, name),
	CYAML_FIELD_ENUM("kind", CYAML_FLAG_STRICT, settings_endpoint_t, kind,
			 kind_names, ARRAY_SIZE(kind_names)),
	STRING_FIELD(settings_endpoint_t, target),
	CYAML_FIELD_UINT("first_layer", CYAML_FLAG_OPTIONAL,
			 settings_endpoint_t, first_layer),
	CYAML_FIELD_UINT("end_layer", CYAML_FLAG_OPTIONAL, settings_endpoint_t,
			 end_layer),
	OPTIONAL_STRING_FIELD(settings_endpoint_t, accelerator),
	STRING_FIELD(settings_endpoint_t, url),
	CYAML_FIELD_UINT("slots", CYAML_FLAG_OPTIONAL, settings_endpoint_t,
			 slots),
	CYAML_FIELD_BOOL("checks_fencing", CYAML_FLAG_OPTIONAL,
			 settings_endpoint_t, checks_fencing),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t endpoint_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, settings_endpoint_t,
			    endpoint_fields),
};

static const cyaml_schema_field_t agent_fields[] = {
	STRING_FIELD(settings_agent_t, listen),
	OPTIONAL_STRING_FIELD(settings_agent_t, advertise),
	CYAML_FIELD_SEQUENCE("endpoints", CYAML_FLAG_POINTER, settings_agent_t,
			     endpoints, &endpoint_schema, 1,
			     SETTINGS_ENDPOINTS_MAX),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t seed_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, 64),
};

static const cyaml_schema_field_t tolerance_fields[] = {
	CYAML_FIELD_UINT("machines", CYAML_FLAG_OPTIONAL, settings_tolerance_t,
			 machines),
	CYAML_FIELD_UINT("failure_domains", CYAML_FLAG_OPTIONAL,
			 settings_tolerance_t, failure_domains),
	CYAML_FIELD_UINT("regions", CYAML_FLAG_OPTIONAL, settings_tolerance_t,
			 regions),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t domain_fields[] = {
	STRING_FIELD(settings_domain_t, name),
	STRING_FIELD(settings_domain_t, region),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t domain_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, settings_domain_t,
			    domain_fields),
};

static const cyaml_schema_field_t fleet_fields[] = {
	OPTIONAL_STRING_FIELD(settings_fleet_t, front_listen),
	OPTIONAL_STRING_FIELD(settings_fleet_t, ready_listen),
	OPTIONAL_STRING_FIELD(settings_fleet_t, control_listen),
	STRING_FIELD(settings_fleet_t, peer_listen),
	OPTIONAL_STRING_FIELD(settings_fleet_t, data_dir),
	CYAML_FIELD_BOOL("bootstrap", CYAML_FLAG_OPTIONAL, settings_fleet_t,
			 bootstrap),
	CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER, settings_fleet_t,
			     seeds, &seed_schema, 1, SETTINGS_SEEDS_MAX),
	CYAML_FIELD_MAPPING_PTR("tolerance",
				CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				settings_fleet_t, tolerance, tolerance_fields),
	CYAML_FIELD_SEQUENCE("domains",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     settings_fleet_t, domains, &domain_schema, 0,
			     SETTINGS_DOMAINS_MAX),
	CYAML_FIELD_FLOAT("stop_s", CYAML_FLAG_OPTIONAL, settings_fleet_t,
			  stop_s),
	CYAML_FIELD_FLOAT("retry_ratio", CYAML_FLAG_OPTIONAL, settings_fleet_t,
			  retry_ratio),
	CYAML_FIELD_UINT("retry_slack", CYAML_FLAG_OPTIONAL, settings_fleet_t,
			 retry_slack),
	CYAML_FIELD_FLOAT("retry_window_s", CYAML_FLAG_OPTIONAL,
			  settings_fleet_t, retry_window_s),
	CYAML_FIELD_UINT("front_connections", CYAML_FLAG_OPTIONAL,
			 settings_fleet_t, front_connections),
	CYAML_FIELD_UINT("front_held_mb", CYAML_FLAG_OPTIONAL, settings_fleet_t,
			 front_held_mb),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t role_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, 16),
};

static const cyaml_schema_field_t settings_fields[] = {
	STRING_FIELD(settings_t, instance),
	STRING_FIELD(settings_t, failure_domain),
	OPTIONAL_STRING_FIELD(settings_t, region),
	OPTIONAL_STRING_FIELD(settings_t, cluster_key_file),
	OPTIONAL_STRING_FIELD(settings_t, log_level),
	OPTIONAL_STRING_FIELD(settings_t, trace_file),
	OPTIONAL_STRING_FIELD(settings_t, metrics_listen),
	CYAML_FIELD_SEQUENCE("roles", CYAML_FLAG_POINTER, settings_t, roles,
			     &role_schema, 1, 3),
	CYAML_FIELD_SEQUENCE("control_instances",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     settings_t, control_instances, &peer_schema, 0,
			     SETTINGS_PEERS_MAX),
	CYAML_FIELD_MAPPING_PTR("entry",
				CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				settings_t, entry, entry_fields),
	CYAML_FIELD_MAPPING_PTR("control",
				CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				settings_t, control, control_fields),
	CYAML_FIELD_MAPPING_PTR("agent",
				CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				settings_t, agent, agent_fields),
	CYAML_FIELD_MAPPING_PTR("fleet",
				CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				settings_t, fleet, fleet_fields),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, settings_t, settings_fields),
};

typedef struct {
	const char *role;
	size_t offset;		      /* of the section pointer in settings_t */
	bool needs_control_instances; /* for the lease of a daemon */
} role_rule_t;

static const role_rule_t role_rules[] = {
	{ "entry", offsetof(settings_t, entry), true },
	{ "agent", offsetof(settings_t, agent), true },
	{ "control", offsetof(settings_t, control), false },
	{ "fleet_entry", offsetof(settings_t, fleet), false },
	{ "fleet_control", offsetof(settings_t, fleet), false },
};

/* The default is copied because cyaml frees the strings with free(). */
static void set_default_string(char **value, const char *text)
{
	if (*value == NULL)
		*value = strdup(text);
}

static void set_fleet_defaults(settings_fleet_t *fleet)
{
	if (fleet->tolerance == NULL) {
		/* cyaml frees it with free(). */
		fleet->tolerance = calloc(1, sizeof(*fleet->tolerance));
		fleet->tolerance->machines = SETTINGS_TOLERANCE_DEFAULT;
	}
	if (fleet->stop_s <= 0)
		fleet->stop_s = SETTINGS_STOP_S_DEFAULT;
	if (fleet->retry_ratio <= 0)
		fleet->retry_ratio = SETTINGS_RETRY_RATIO_DEFAULT;
	if (fleet->retry_slack == 0)
		fleet->retry_slack = SETTINGS_RETRY_SLACK_DEFAULT;
	if (fleet->retry_window_s <= 0)
		fleet->retry_window_s = SETTINGS_RETRY_WINDOW_S_DEFAULT;
}

static void set_defaults(settings_t *settings)
{
	set_default_string(&settings->region, "default");
	set_default_string(&settings->log_level, "info");
	if (settings->entry != NULL && settings->entry->http_threads == 0)
		settings->entry->http_threads = SETTINGS_HTTP_THREADS_DEFAULT;
	if (settings->fleet != NULL)
		set_fleet_defaults(settings->fleet);
	if (settings->agent == NULL)
		return;
	for (unsigned i = 0; i < settings->agent->endpoints_count; i++) {
		settings_endpoint_t *endpoint = &settings->agent->endpoints[i];

		set_default_string(&endpoint->accelerator, "unknown");
		if (endpoint->slots == 0)
			endpoint->slots = SETTINGS_SLOTS_DEFAULT;
	}
}

static bool check_address(const yaml_doc_t *doc, const char *key,
			  const char *address, err_t *err)
{
	struct sockaddr_storage parsed;
	err_t parse_err = ERR_INIT;

	if (address == NULL || net_parse_address(address, &parsed, &parse_err))
		return true;
	return yaml_doc_fail(doc, key, address, err, "\"%s\": %s", address,
			     parse_err.text);
}

static bool check_peers(const yaml_doc_t *doc, const settings_peer_t *peers,
			unsigned count, err_t *err)
{
	for (unsigned i = 0; i < count; i++) {
		if (!yaml_doc_check_name(doc, "instance", peers[i].instance, "",
					 err) ||
		    !check_address(doc, "address", peers[i].address, err))
			return false;
		for (unsigned j = 0; j < i; j++)
			if (strcmp(peers[i].instance, peers[j].instance) == 0)
				return yaml_doc_fail(doc, "instance",
						     peers[i].instance, err,
						     "duplicate name \"%s\"",
						     peers[i].instance);
	}
	return true;
}

static const role_rule_t *find_role_rule(const char *role)
{
	for (size_t i = 0; i < ARRAY_SIZE(role_rules); i++)
		if (strcmp(role_rules[i].role, role) == 0)
			return &role_rules[i];
	return NULL;
}

static bool check_role_names(const yaml_doc_t *doc, const settings_t *settings,
			     err_t *err)
{
	for (unsigned i = 0; i < settings->roles_count; i++) {
		if (find_role_rule(settings->roles[i]) == NULL)
			return yaml_doc_fail(doc, "roles", NULL, err,
					     "\"%s\" is no role; expected "
					     "entry, agent, control, "
					     "fleet_entry or fleet_control",
					     settings->roles[i]);
		for (unsigned j = 0; j < i; j++)
			if (strcmp(settings->roles[i], settings->roles[j]) == 0)
				return yaml_doc_fail(doc, "roles", NULL, err,
						     "\"%s\" stands twice",
						     settings->roles[i]);
	}
	return true;
}

static bool check_role(const yaml_doc_t *doc, const settings_t *settings,
		       const role_rule_t *rule, err_t *err)
{
	const void *section =
		*(void *const *)((const char *)settings + rule->offset);
	bool listed = settings_has_role(settings, rule->role);

	if (listed && section == NULL)
		return yaml_doc_fail(doc, "roles", rule->role, err,
				     "role %s needs a section \"%s\"",
				     rule->role, rule->role);
	if (!listed && section != NULL && section != settings->fleet)
		return yaml_doc_fail(doc, rule->role, ":", err,
				     "the section stands without the role");
	if (listed && rule->needs_control_instances &&
	    settings->control_instances_count == 0)
		return yaml_doc_fail(doc, "roles", rule->role, err,
				     "role %s needs \"control_instances\"",
				     rule->role);
	return true;
}

static bool check_roles(const yaml_doc_t *doc, const settings_t *settings,
			err_t *err)
{
	if (!check_role_names(doc, settings, err))
		return false;
	for (size_t i = 0; i < ARRAY_SIZE(role_rules); i++)
		if (!check_role(doc, settings, &role_rules[i], err))
			return false;
	return true;
}

static bool check_layers(const yaml_doc_t *doc,
			 const settings_endpoint_t *endpoint, err_t *err)
{
	if (endpoint->kind == SETTINGS_SERVICE) {
		if (endpoint->first_layer == 0 && endpoint->end_layer == 0)
			return true;
		return yaml_doc_fail(doc, "name", endpoint->name, err,
				     "endpoint %s: a service has no layers",
				     endpoint->name);
	}
	if (endpoint->end_layer > SETTINGS_LAYERS_MAX)
		return yaml_doc_fail(doc, "name", endpoint->name, err,
				     "endpoint %s: end_layer is above %d",
				     endpoint->name, SETTINGS_LAYERS_MAX);
	if (endpoint->first_layer < endpoint->end_layer)
		return true;
	return yaml_doc_fail(doc, "name", endpoint->name, err,
			     "endpoint %s: empty layer range [%u, %u)",
			     endpoint->name, endpoint->first_layer,
			     endpoint->end_layer);
}

static bool check_url(const yaml_doc_t *doc,
		      const settings_endpoint_t *endpoint, err_t *err)
{
	static const char scheme[] = "http://";
	char *address;
	bool ok;

	if (!g_str_has_prefix(endpoint->url, scheme))
		return yaml_doc_fail(doc, "url", endpoint->url, err,
				     "expected http://IP:PORT");
	address = g_strdup(endpoint->url + sizeof(scheme) - 1);
	address[strcspn(address, "/")] = '\0';
	ok = check_address(doc, "url", address, err);
	g_free(address);
	return ok;
}

static bool check_endpoint(const yaml_doc_t *doc,
			   const settings_endpoint_t *endpoint, err_t *err)
{
	if (!yaml_doc_check_name(doc, "name", endpoint->name, "", err) ||
	    !yaml_doc_check_name(doc, "target", endpoint->target, "/:", err) ||
	    !check_layers(doc, endpoint, err) || !check_url(doc, endpoint, err))
		return false;
	if (endpoint->slots > SETTINGS_SLOTS_MAX)
		return yaml_doc_fail(doc, "slots", NULL, err,
				     "endpoint %s: at most %d", endpoint->name,
				     SETTINGS_SLOTS_MAX);
	return true;
}

/*
 * Returns whether two endpoints of one model have layer ranges that overlap
 * but differ.  Such endpoints can't be hops of the same chain, so an agent may
 * only have endpoints of a model with equal or disjoint ranges.
 */
static bool ranges_overlap_partly(const settings_endpoint_t *a,
				  const settings_endpoint_t *b)
{
	if (a->kind != SETTINGS_MODEL || b->kind != SETTINGS_MODEL ||
	    strcmp(a->target, b->target) != 0)
		return false;
	if (a->first_layer == b->first_layer && a->end_layer == b->end_layer)
		return false;
	return a->first_layer < b->end_layer && b->first_layer < a->end_layer;
}

static bool check_endpoint_pair(const yaml_doc_t *doc,
				const settings_endpoint_t *a,
				const settings_endpoint_t *b, err_t *err)
{
	if (strcmp(a->name, b->name) == 0)
		return yaml_doc_fail(doc, "name", b->name, err,
				     "duplicate name \"%s\"", b->name);
	if (ranges_overlap_partly(a, b))
		return yaml_doc_fail(doc, "name", b->name, err,
				     "layers [%u, %u) of %s overlap "
				     "[%u, %u) of %s",
				     b->first_layer, b->end_layer, b->name,
				     a->first_layer, a->end_layer, a->name);
	return true;
}

static bool check_agent(const yaml_doc_t *doc, const settings_agent_t *agent,
			err_t *err)
{
	if (agent == NULL)
		return true;
	if (!check_address(doc, "listen", agent->listen, err) ||
	    !check_address(doc, "advertise", agent->advertise, err))
		return false;
	for (unsigned i = 0; i < agent->endpoints_count; i++) {
		if (!check_endpoint(doc, &agent->endpoints[i], err))
			return false;
		for (unsigned j = 0; j < i; j++)
			if (!check_endpoint_pair(doc, &agent->endpoints[j],
						 &agent->endpoints[i], err))
				return false;
	}
	return true;
}

static bool check_entry(const yaml_doc_t *doc, const settings_entry_t *entry,
			err_t *err)
{
	if (entry == NULL)
		return true;
	if (!check_address(doc, "http_listen", entry->http_listen, err))
		return false;
	if (entry->http_threads > SETTINGS_HTTP_THREADS_MAX)
		return yaml_doc_fail(doc, "http_threads", NULL, err,
				     "expected 1 to %d",
				     SETTINGS_HTTP_THREADS_MAX);
	return true;
}

static bool check_control(const yaml_doc_t *doc,
			  const settings_control_t *control, err_t *err)
{
	if (control == NULL)
		return true;
	return check_address(doc, "listen", control->listen, err) &&
	       check_address(doc, "admin_listen", control->admin_listen, err) &&
	       check_peers(doc, control->voters, control->voters_count, err);
}

static bool check_fleet_entry(const yaml_doc_t *doc, const settings_t *settings,
			      err_t *err)
{
	const settings_fleet_t *fleet = settings->fleet;

	if (!settings_has_role(settings, "fleet_entry") ||
	    (fleet->front_listen != NULL && fleet->ready_listen != NULL))
		return true;
	return yaml_doc_fail(doc, "fleet", ":", err,
			     "role fleet_entry needs \"front_listen\" and "
			     "\"ready_listen\"");
}

static bool check_fleet_control(const yaml_doc_t *doc,
				const settings_t *settings, err_t *err)
{
	const settings_fleet_t *fleet = settings->fleet;

	if (!settings_has_role(settings, "fleet_control") ||
	    fleet->control_listen != NULL)
		return true;
	return yaml_doc_fail(doc, "fleet", ":", err,
			     "role fleet_control needs \"control_listen\"");
}

static bool check_fleet(const yaml_doc_t *doc, const settings_t *settings,
			err_t *err)
{
	const settings_fleet_t *fleet = settings->fleet;

	if (settings->cluster_key_file == NULL &&
	    (settings->entry != NULL || settings->agent != NULL ||
	     settings->control != NULL))
		return yaml_doc_fail(doc, "roles", NULL, err,
				     "\"cluster_key_file\" is missing");
	if (fleet == NULL)
		return true;
	if (!check_address(doc, "front_listen", fleet->front_listen, err) ||
	    !check_address(doc, "ready_listen", fleet->ready_listen, err) ||
	    !check_address(doc, "control_listen", fleet->control_listen, err) ||
	    !check_address(doc, "peer_listen", fleet->peer_listen, err))
		return false;
	for (unsigned i = 0; i < fleet->seeds_count; i++)
		if (!check_address(doc, "seeds", fleet->seeds[i], err))
			return false;
	return check_fleet_entry(doc, settings, err) &&
	       check_fleet_control(doc, settings, err);
}

static bool check_log_level(const yaml_doc_t *doc, const char *level,
			    err_t *err)
{
	static const char *const levels[] = { "debug", "info", "warning",
					      "error" };

	for (size_t i = 0; i < ARRAY_SIZE(levels); i++)
		if (strcmp(levels[i], level) == 0)
			return true;
	return yaml_doc_fail(doc, "log_level", level, err,
			     "expected debug, info, warning or error");
}

static bool check_settings(const yaml_doc_t *doc, const settings_t *settings,
			   err_t *err)
{
	return yaml_doc_check_name(doc, "instance", settings->instance, "",
				   err) &&
	       yaml_doc_check_name(doc, "failure_domain",
				   settings->failure_domain, "", err) &&
	       yaml_doc_check_name(doc, "region", settings->region, "", err) &&
	       check_log_level(doc, settings->log_level, err) &&
	       check_address(doc, "metrics_listen", settings->metrics_listen,
			     err) &&
	       check_roles(doc, settings, err) &&
	       check_peers(doc, settings->control_instances,
			   settings->control_instances_count, err) &&
	       check_entry(doc, settings->entry, err) &&
	       check_control(doc, settings->control, err) &&
	       check_agent(doc, settings->agent, err) &&
	       check_fleet(doc, settings, err);
}

static settings_t *parse(const yaml_doc_t *doc, err_t *err)
{
	void *data = NULL;
	settings_t *settings;

	if (doc->len > SETTINGS_BYTES_MAX) {
		err_set(err, ERR_INVALID, doc->step, doc->file,
			"%zu bytes; at most %u are taken", doc->len,
			SETTINGS_BYTES_MAX);
		return NULL;
	}
	if (!yaml_doc_load(doc, &settings_schema, &data, err))
		return NULL;
	settings = data;
	set_defaults(settings);
	if (check_settings(doc, settings, err))
		return settings;
	settings_free(settings);
	return NULL;
}

/*
 * Loads and validates the settings file "path".  Returns settings that the
 * caller frees with settings_free(), or NULL with "err" naming the file, the
 * line and the key.  Opens no socket and reads no other file.
 */
settings_t *settings_load(const char *path, err_t *err)
{
	yaml_doc_t doc = { .step = "load_settings", .file = path };
	GError *error = NULL;
	settings_t *settings;
	gchar *text = NULL;

	if (!g_file_get_contents(path, &text, &doc.len, &error)) {
		err_set(err, ERR_IO, doc.step, path, "%s", error->message);
		g_error_free(error);
		return NULL;
	}
	doc.text = text;
	settings = parse(&doc, err);
	g_free(text);
	return settings;
}

/* Frees settings; "settings" may be NULL. */
void settings_free(settings_t *settings)
{
	yaml_doc_free(&settings_schema, settings);
}

/*
 * Returns the peer address of the control instance whose control address is
 * "seed": the host of "seed" with the port of this process's peer_listen, which
 * all instances share.  The caller frees it.
 */
char *settings_fleet_peer_address(const settings_fleet_t *fleet,
				  const char *seed)
{
	const char *port = strrchr(fleet->peer_listen, ':');
	const char *host_end = strrchr(seed, ':');
	char *host = g_strndup(seed, (gsize)(host_end - seed));
	char *address = g_strconcat(host, port, NULL);

	g_free(host);
	return address;
}

/* Returns whether the process has "role". */
bool settings_has_role(const settings_t *settings, const char *role)
{
	for (unsigned i = 0; i < settings->roles_count; i++)
		if (strcmp(settings->roles[i], role) == 0)
			return true;
	return false;
}
