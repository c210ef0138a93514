/*
 * Presets: YAML documents with the models, services, contracts and limits of
 * the system.  A preset is validated as a whole before it is accepted, and the
 * result depends on its text only, so that all replicas agree on it.
 */
#include "wisteria/settings/preset.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/yaml_doc.h"

#define PRESET_LAYERS_MAX 4096
#define PRESET_MAX_TOKENS_MAX 1000000
#define PRESET_SESSIONS_MAX 1000000
#define PRESET_TARGETS_MAX 64 /* models, and also services */
#define PRESET_CONTRACTS_MAX 20000

#define PRESET_MAX_TOKENS_DEFAULT 4096
#define PRESET_HASH_HEX_LEN (2 * PRESET_KEY_HASH_BYTES)

/* The limits in the YAML; NULL where a key is absent. */
typedef struct {
	uint64_t *queue_length;
	uint64_t *queue_ms;
	uint64_t *request_ms;
	uint64_t *retry_percent;
	uint64_t *weight_bytes_per_s;
	uint64_t *ledger_retention_ms;
} preset_limits_yaml_t;

/* The data that the YAML schema fills; callers see only "preset". */
typedef struct {
	preset_t preset;
	preset_limits_yaml_t limits;
} preset_yaml_t;

typedef struct {
	const char *key;
	size_t offset; /* in preset_limits_text_t */
	uint64_t value_default;
	uint64_t min;
	uint64_t max;
} limit_rule_t;

#define LIMIT_RULE(member, value_default_, min_, max_) \
	{ \
		.key = #member, \
		.offset = offsetof(preset_limits_yaml_t, member), \
		.value_default = (value_default_), .min = (min_), \
		.max = (max_) \
	}

static const limit_rule_t limit_rules[] = {
	LIMIT_RULE(queue_length, 256, 0, 100000),
	LIMIT_RULE(queue_ms, 10000, 0, 600000),
	LIMIT_RULE(request_ms, 300000, 100, 86400000),
	LIMIT_RULE(retry_percent, 20, 0, 100),
	LIMIT_RULE(weight_bytes_per_s, 1000000000, 1, UINT64_MAX),
	LIMIT_RULE(ledger_retention_ms, 86400000, 60000, 604800000),
};

static const cyaml_schema_field_t model_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, preset_model_t, name,
			       1, CYAML_UNLIMITED),
	CYAML_FIELD_UINT("layers", CYAML_FLAG_DEFAULT, preset_model_t, layers),
	CYAML_FIELD_UINT("max_tokens", CYAML_FLAG_OPTIONAL, preset_model_t,
			 max_tokens),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t model_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, preset_model_t, model_fields),
};

static const cyaml_schema_value_t method_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, 16),
};

static const cyaml_schema_field_t service_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, preset_service_t,
			       name, 1, CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE(
		"idempotent_methods", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
		preset_service_t, idempotent_methods, &method_schema, 0, 16),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t service_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, preset_service_t,
			    service_fields),
};

static const cyaml_schema_field_t contract_fields[] = {
	CYAML_FIELD_STRING_PTR("customer", CYAML_FLAG_POINTER,
			       preset_contract_t, customer, 1, CYAML_UNLIMITED),
	CYAML_FIELD_STRING_PTR("api_key_hash", CYAML_FLAG_POINTER,
			       preset_contract_t, api_key_hash, 0,
			       CYAML_UNLIMITED),
	CYAML_FIELD_UINT("priority", CYAML_FLAG_OPTIONAL, preset_contract_t,
			 priority),
	CYAML_FIELD_UINT("guarantee_sessions", CYAML_FLAG_OPTIONAL,
			 preset_contract_t, guarantee_sessions),
	CYAML_FIELD_UINT("deserved_sessions", CYAML_FLAG_DEFAULT,
			 preset_contract_t, deserved_sessions),
	CYAML_FIELD_UINT("capability_sessions", CYAML_FLAG_DEFAULT,
			 preset_contract_t, capability_sessions),
	CYAML_FIELD_UINT("tokens_per_s", CYAML_FLAG_OPTIONAL, preset_contract_t,
			 tokens_per_s),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t contract_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, preset_contract_t,
			    contract_fields),
};

#define LIMIT_FIELD(member) \
	CYAML_FIELD_UINT_PTR(#member, \
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
			     preset_limits_yaml_t, member)

static const cyaml_schema_field_t limit_fields[] = {
	LIMIT_FIELD(queue_length),
	LIMIT_FIELD(queue_ms),
	LIMIT_FIELD(request_ms),
	LIMIT_FIELD(retry_percent),
	LIMIT_FIELD(weight_bytes_per_s),
	LIMIT_FIELD(ledger_retention_ms),
	CYAML_FIELD_END,
};

static const cyaml_strval_t recovery_names[] = {
	{ "restart", PRESET_RESTART },
	{ "replay", PRESET_REPLAY },
};

static const cyaml_schema_field_t preset_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, preset_yaml_t,
			       preset.name, 1, CYAML_UNLIMITED),
	CYAML_FIELD_SEQUENCE("models", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     preset_yaml_t, preset.models, &model_schema, 0,
			     PRESET_TARGETS_MAX),
	CYAML_FIELD_SEQUENCE("services",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     preset_yaml_t, preset.services, &service_schema, 0,
			     PRESET_TARGETS_MAX),
	CYAML_FIELD_SEQUENCE("contracts",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     preset_yaml_t, preset.contracts, &contract_schema,
			     0, PRESET_CONTRACTS_MAX),
	CYAML_FIELD_MAPPING("limits", CYAML_FLAG_OPTIONAL, preset_yaml_t,
			    limits, limit_fields),
	CYAML_FIELD_ENUM("recovery", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
			 preset_yaml_t, preset.recovery, recovery_names,
			 ARRAY_SIZE(recovery_names)),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t preset_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, preset_yaml_t, preset_fields),
};

static bool check_unique(GHashTable *names, const yaml_doc_t *doc,
			 const char *key, char *name, err_t *err)
{
	if (g_hash_table_add(names, name))
		return true;
	return yaml_doc_fail(doc, key, name, err, "duplicate name \"%s\"",
			     name);
}

static bool check_model(const yaml_doc_t *doc, preset_model_t *model,
			err_t *err)
{
	if (!yaml_doc_check_name(doc, "name", model->name, "/:", err))
		return false;
	if (model->layers == 0 || model->layers > PRESET_LAYERS_MAX)
		return yaml_doc_fail(doc, "layers", NULL, err,
				     "model %s: expected 1 to %d layers",
				     model->name, PRESET_LAYERS_MAX);
	if (model->max_tokens == 0)
		model->max_tokens = PRESET_MAX_TOKENS_DEFAULT;
	if (model->max_tokens > PRESET_MAX_TOKENS_MAX)
		return yaml_doc_fail(doc, "max_tokens", NULL, err,
				     "model %s: at most %d", model->name,
				     PRESET_MAX_TOKENS_MAX);
	return true;
}

static bool check_targets(const yaml_doc_t *doc, preset_t *preset, err_t *err)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (unsigned i = 0; ok && i < preset->models_count; i++)
		ok = check_model(doc, &preset->models[i], err) &&
		     check_unique(names, doc, "name", preset->models[i].name,
				  err);
	for (unsigned i = 0; ok && i < preset->services_count; i++)
		ok = yaml_doc_check_name(doc, "name", preset->services[i].name,
					 "", err) &&
		     check_unique(names, doc, "name", preset->services[i].name,
				  err);
	g_hash_table_destroy(names);
	if (ok && preset->models_count + preset->services_count == 0)
		return yaml_doc_fail(doc, "models", NULL, err,
				     "no model and no service");
	return ok;
}

/* Checks the key hash and converts it to lower case for comparisons. */
static bool check_key_hash(const yaml_doc_t *doc, preset_contract_t *contract,
			   err_t *err)
{
	size_t len = strlen(contract->api_key_hash);

	if (len != PRESET_HASH_HEX_LEN)
		return yaml_doc_fail(
			doc, "api_key_hash", contract->api_key_hash, err,
			"customer %s: expected %d hexadecimal "
			"digits, not %zu",
			contract->customer, PRESET_HASH_HEX_LEN, len);
	for (size_t i = 0; i < len; i++) {
		char digit = g_ascii_tolower(contract->api_key_hash[i]);

		if (!g_ascii_isxdigit(digit))
			return yaml_doc_fail(doc, "api_key_hash",
					     contract->api_key_hash, err,
					     "customer %s: not hexadecimal",
					     contract->customer);
		contract->api_key_hash[i] = digit;
	}
	return true;
}

static bool check_session_limits(const yaml_doc_t *doc,
				 const preset_contract_t *contract, err_t *err)
{
	if (contract->guarantee_sessions > contract->deserved_sessions)
		return yaml_doc_fail(doc, "customer", contract->customer, err,
				     "%s: guarantee_sessions is above "
				     "deserved_sessions",
				     contract->customer);
	if (contract->deserved_sessions > contract->capability_sessions)
		return yaml_doc_fail(doc, "customer", contract->customer, err,
				     "%s: deserved_sessions is above "
				     "capability_sessions",
				     contract->customer);
	if (contract->capability_sessions == 0 ||
	    contract->capability_sessions > PRESET_SESSIONS_MAX)
		return yaml_doc_fail(doc, "customer", contract->customer, err,
				     "%s: expected 1 to %d capability_sessions",
				     contract->customer, PRESET_SESSIONS_MAX);
	return true;
}

static int compare_key_hashes(const void *left, const void *right)
{
	const preset_contract_t *a = left;
	const preset_contract_t *b = right;

	return strcmp(a->api_key_hash, b->api_key_hash);
}

/* Sorts the contracts by key hash for the binary search by key. */
static bool sort_contracts(const yaml_doc_t *doc, preset_t *preset, err_t *err)
{
	if (preset->contracts_count == 0)
		return true;
	qsort(preset->contracts, preset->contracts_count,
	      sizeof(preset->contracts[0]), compare_key_hashes);
	for (unsigned i = 1; i < preset->contracts_count; i++) {
		const preset_contract_t *contract = &preset->contracts[i];

		if (compare_key_hashes(contract - 1, contract) == 0)
			return yaml_doc_fail(
				doc, "customer", contract->customer, err,
				"%s and %s share one API key",
				contract[-1].customer, contract->customer);
	}
	return true;
}

static bool check_contracts(const yaml_doc_t *doc, preset_t *preset, err_t *err)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (unsigned i = 0; ok && i < preset->contracts_count; i++) {
		preset_contract_t *contract = &preset->contracts[i];

		ok = yaml_doc_check_name(doc, "customer", contract->customer,
					 "@", err) &&
		     check_unique(names, doc, "customer", contract->customer,
				  err) &&
		     check_key_hash(doc, contract, err) &&
		     check_session_limits(doc, contract, err);
	}
	g_hash_table_destroy(names);
	return ok && sort_contracts(doc, preset, err);
}

static bool read_limit(const yaml_doc_t *doc, const limit_rule_t *rule,
		       const preset_limits_yaml_t *yaml, uint64_t *value,
		       err_t *err)
{
	const uint64_t *configured =
		*(uint64_t *const *)((const char *)yaml + rule->offset);

	*value = configured == NULL ? rule->value_default : *configured;
	if (*value >= rule->min && *value <= rule->max)
		return true;
	return yaml_doc_fail(doc, rule->key, NULL, err,
			     "expected %" G_GUINT64_FORMAT
			     " to %" G_GUINT64_FORMAT,
			     (guint64)rule->min, (guint64)rule->max);
}

/*
 * Up to request_ms may pass between the reservation of a call's idempotency
 * key in the ledger and the dispatch of the call.  The ledger must keep the key
 * during that time.
 */
static bool check_retention(const yaml_doc_t *doc,
			    const preset_limits_t *limits, err_t *err)
{
	if (limits->ledger_retention_ms / 2 >= limits->request_ms)
		return true;
	return yaml_doc_fail(doc, "ledger_retention_ms", NULL, err,
			     "expected at least twice request_ms, %u",
			     limits->request_ms);
}

static bool read_limits(const yaml_doc_t *doc, preset_yaml_t *yaml, err_t *err)
{
	uint64_t values[ARRAY_SIZE(limit_rules)];

	for (size_t i = 0; i < ARRAY_SIZE(limit_rules); i++)
		if (!read_limit(doc, &limit_rules[i], &yaml->limits, &values[i],
				err))
			return false;
	yaml->preset.limits = (preset_limits_t){
		.queue_length = (uint32_t)values[0],
		.queue_ms = (uint32_t)values[1],
		.request_ms = (uint32_t)values[2],
		.retry_percent = (uint32_t)values[3],
		.weight_bytes_per_s = values[4],
		.ledger_retention_ms = (uint32_t)values[5],
	};
	return check_retention(doc, &yaml->preset.limits, err);
}

/*
 * Parses and validates the YAML text of a preset, "len" bytes.  Returns a
 * preset that the caller frees with preset_free(), or NULL with "err" naming
 * the line and the key.  The contracts of the preset are sorted by key hash.
 */
preset_t *preset_parse(const char *text, size_t len, err_t *err)
{
	const yaml_doc_t doc = {
		.step = "parse_preset",
		.file = "preset",
		.text = text,
		.len = len,
	};
	preset_yaml_t *parsed = NULL;
	void *data = NULL;

	if (len > PRESET_TEXT_BYTES_MAX) {
		err_set(err, ERR_INVALID, doc.step, doc.file,
			"%zu bytes; at most %u are taken", len,
			PRESET_TEXT_BYTES_MAX);
		return NULL;
	}
	if (!yaml_doc_load(&doc, &preset_schema, &data, err))
		return NULL;
	parsed = data;
	if (yaml_doc_check_name(&doc, "name", parsed->preset.name, "", err) &&
	    check_targets(&doc, &parsed->preset, err) &&
	    check_contracts(&doc, &parsed->preset, err) &&
	    read_limits(&doc, parsed, err))
		return &parsed->preset;
	yaml_doc_free(&preset_schema, parsed);
	return NULL;
}

/* Frees a preset; "preset" may be NULL. */
void preset_free(preset_t *preset)
{
	if (preset != NULL)
		yaml_doc_free(&preset_schema,
			      CONTAINER_OF(preset, preset_yaml_t, preset));
}

/* Returns the model called "name", or NULL. */
const preset_model_t *preset_find_model(const preset_t *preset,
					const char *name)
{
	for (unsigned i = 0; i < preset->models_count; i++)
		if (strcmp(preset->models[i].name, name) == 0)
			return &preset->models[i];
	return NULL;
}

/* Returns the service called "name", or NULL. */
const preset_service_t *preset_find_service(const preset_t *preset,
					    const char *name)
{
	for (unsigned i = 0; i < preset->services_count; i++)
		if (strcmp(preset->services[i].name, name) == 0)
			return &preset->services[i];
	return NULL;
}

/* Returns the contract of "customer", or NULL. */
const preset_contract_t *preset_find_contract(const preset_t *preset,
					      const char *customer)
{
	for (unsigned i = 0; i < preset->contracts_count; i++)
		if (strcmp(preset->contracts[i].customer, customer) == 0)
			return &preset->contracts[i];
	return NULL;
}

/* Returns the contract of the customer with this API key, or NULL. */
const preset_contract_t *preset_find_contract_by_key(const preset_t *preset,
						     const char *api_key)
{
	char hex[PRESET_HASH_HEX_LEN + 1];
	const preset_contract_t wanted = { .api_key_hash = hex };

	if (preset->contracts_count == 0)
		return NULL;
	preset_hash_key(api_key, hex);
	return bsearch(&wanted, preset->contracts, preset->contracts_count,
		       sizeof(preset->contracts[0]), compare_key_hashes);
}

/*
 * Returns whether a call of "service" with "method" may be repeated.  PUT and
 * DELETE count as idempotent only if the service lists them.
 */
bool preset_method_is_idempotent(const preset_service_t *service,
				 const char *method)
{
	static const char *const safe_methods[] = { "GET", "HEAD", "OPTIONS" };

	for (size_t i = 0; i < ARRAY_SIZE(safe_methods); i++)
		if (strcmp(safe_methods[i], method) == 0)
			return true;
	for (unsigned i = 0; i < service->idempotent_methods_count; i++)
		if (strcmp(service->idempotent_methods[i], method) == 0)
			return true;
	return false;
}

/*
 * Writes the BLAKE2b-256 hash of "api_key" to "hex", in hexadecimal.  API keys
 * are long and random, so a fast hash without a salt is sufficient.
 */
void preset_hash_key(const char *api_key,
		     char hex[2 * PRESET_KEY_HASH_BYTES + 1])
{
	unsigned char hash[PRESET_KEY_HASH_BYTES];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)api_key,
			   strlen(api_key), NULL, 0);
	sodium_bin2hex(hex, PRESET_HASH_HEX_LEN + 1, hash, sizeof(hash));
}
