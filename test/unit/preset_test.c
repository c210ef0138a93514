/* Unit tests of presets: accepted texts, lookups and error messages. */
#include "unit.h"

#include <glib.h>
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"

#define HASH_A \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HASH_B \
	"BBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB"

typedef struct {
	const char *text;
	const char *error; /* a part of the error's text */
} refused_case_t;

static preset_t *parse(const char *text, err_t *err)
{
	return preset_parse(text, strlen(text), err);
}

static preset_t *parse_valid(const char *text)
{
	err_t err = ERR_INIT;
	preset_t *preset = parse(text, &err);

	CU_ASSERT_STRING_EQUAL(err.text, "");
	if (preset == NULL)
		abort();
	return preset;
}

static void test_preset_with_all_sections(void)
{
	static const char text[] =
		"name: peak\n"
		"models:\n"
		"  - {name: modelo, layers: 48, max_tokens: 512}\n"
		"services:\n"
		"  - name: pedidos\n"
		"    idempotent_methods: [PUT]\n"
		"contracts:\n"
		"  - {customer: loja, api_key_hash: " HASH_B
		", guarantee_sessions: 1, deserved_sessions: 2,"
		" capability_sessions: 3, tokens_per_s: 9, priority: 4}\n"
		"  - {customer: obra, api_key_hash: " HASH_A
		", deserved_sessions: 2, capability_sessions: 2}\n"
		"limits: {retry_percent: 0, queue_ms: 5}\n"
		"recovery: restart\n";
	preset_t *preset = parse_valid(text);

	CU_ASSERT_STRING_EQUAL(preset->name, "peak");
	CU_ASSERT_EQUAL(preset_find_model(preset, "modelo")->layers, 48);
	CU_ASSERT_EQUAL(preset_find_model(preset, "modelo")->max_tokens, 512);
	CU_ASSERT_PTR_NULL(preset_find_model(preset, "pedidos"));
	CU_ASSERT_EQUAL(preset_find_contract(preset, "loja")->tokens_per_s, 9);
	CU_ASSERT_PTR_NULL(preset_find_contract(preset, "other"));
	CU_ASSERT_EQUAL(preset->limits.retry_percent, 0);
	CU_ASSERT_EQUAL(preset->limits.queue_ms, 5);
	CU_ASSERT_EQUAL(preset->limits.queue_length, 256);
	CU_ASSERT_EQUAL(preset->recovery, PRESET_RESTART);
	preset_free(preset);
}

static void test_idempotent_methods(void)
{
	preset_t *preset = parse_valid("name: a\nservices:\n  - name: padron\n"
				       "    idempotent_methods: [PUT]\n");
	const preset_service_t *service;

	service = preset_find_service(preset, "padron");
	CU_ASSERT_TRUE(preset_method_is_idempotent(service, "GET"));
	CU_ASSERT_TRUE(preset_method_is_idempotent(service, "PUT"));
	CU_ASSERT_FALSE(preset_method_is_idempotent(service, "POST"));
	CU_ASSERT_FALSE(preset_method_is_idempotent(service, "get"));
	CU_ASSERT_EQUAL(preset->recovery, PRESET_REPLAY);
	preset_free(preset);
}

static void test_contract_by_key(void)
{
	char hex[2 * PRESET_KEY_HASH_BYTES + 1];
	GString *text = g_string_new("name: a\nmodels:\n"
				     "  - {name: m, layers: 1}\ncontracts:\n");
	preset_t *preset;
	char key[32];

	for (unsigned i = 0; i < 300; i++) {
		g_snprintf(key, sizeof(key), "key-%u", i);
		preset_hash_key(key, hex);
		g_string_append_printf(text,
				       "  - {customer: c%u, api_key_hash: %s,"
				       " deserved_sessions: 1,"
				       " capability_sessions: 1}\n",
				       i, hex);
	}
	preset = parse_valid(text->str);
	CU_ASSERT_STRING_EQUAL(
		preset_find_contract_by_key(preset, "key-217")->customer,
		"c217");
	CU_ASSERT_PTR_NULL(preset_find_contract_by_key(preset, "key-300"));
	CU_ASSERT_PTR_NULL(preset_find_contract_by_key(preset, ""));
	preset_free(preset);
	g_string_free(text, TRUE);
}

/* Compares with the known BLAKE2b-256 hash of the empty string. */
static void test_key_hash(void)
{
	char hex[2 * PRESET_KEY_HASH_BYTES + 1];

	preset_hash_key("", hex);
	CU_ASSERT_STRING_EQUAL(hex, "0e5751c026e543b2e8ab2eb06099daa1"
				    "d1e5df47778f7787faab45cdf12fe3a8");
}

#define MODELS "models:\n  - {name: m, layers: 2}\n"
#define PRESET_WITH_CONTRACT(shares) \
	"name: a\n" MODELS \
	"contracts:\n  - {customer: c, api_key_hash: " HASH_A ", " shares \
	"}\n"

static const refused_case_t refused_cases[] = {
	{ "", "is empty" },
	{ "# nothing\n", "is empty" },
	{ "name: a\n", "no model and no service" },
	{ "name: a\nmodls: []\n", "line 2, key modls: unknown key" },
	{ "name: a\nname: b\n" MODELS, "already seen" },
	{ "name: a\nmodels:\n  - {name: m, layers: x}\n",
	  "line 3, key layers: Invalid" },
	{ "name: a\nmodels:\n  - {name: m, layers: -1}\n", "key layers" },
	{ "name: a\nmodels:\n  - {name: m, layers: 4294967296}\n",
	  "key layers" },
	{ "name: a\nmodels:\n  - {name: m, layers: 0}\n", "expected 1 to" },
	{ "name: a\nmodels:\n  - {layers: 2}\n", "Missing required" },
	{ "name: a\n" MODELS "  - {name: m, layers: 3}\n",
	  "duplicate name \"m\"" },
	{ "name: a\n" MODELS "services:\n  - name: m\n",
	  "duplicate name \"m\"" },
	{ "name: a b\n" MODELS, "a name holds" },
	{ "name: a\nservices:\n  - name: a/b\n", "a name holds" },
	{ "name: a\nrecovery: maybe\n" MODELS, "line 2, key recovery" },
	{ "name: a\nlimits: {retry_percent: 101}\n" MODELS,
	  "line 2, key retry_percent: expected 0 to 100" },
	{ "name: a\nlimits: {queue_ms: 4294967296}\n" MODELS, "key queue_ms" },
	{ "name: a\nlimits: {request_ms: 60000, ledger_retention_ms: "
	  "119999}\n" MODELS,
	  "key ledger_retention_ms: expected at least twice" },
	{ "name: &a x\nmodels:\n  - {name: *a, layers: 2}\n", "alias" },
	{ "name: a\n" MODELS "---\nname: b\n", "line 4: more than one" },
	{ "name: [a\n", "line 1, key name" },
	{ "[a]\n", "SEQUENCE" },
	{ "\t- a\n", "" },
	{ PRESET_WITH_CONTRACT("deserved_sessions: 3, capability_sessions: 2"),
	  "deserved_sessions is above capability_sessions" },
	{ PRESET_WITH_CONTRACT("guarantee_sessions: 3, deserved_sessions: 2,"
			       " capability_sessions: 4"),
	  "line 5, key customer: c: guarantee_sessions is above" },
	{ PRESET_WITH_CONTRACT("deserved_sessions: 0, capability_sessions: 0"),
	  "expected 1 to" },
	{ PRESET_WITH_CONTRACT(
		  "deserved_sessions: 1, capability_sessions: 1}\n"
		  "  - {customer: c, api_key_hash: " HASH_B
		  ", deserved_sessions: 1, capability_sessions: 1"),
	  "duplicate name \"c\"" },
	{ PRESET_WITH_CONTRACT(
		  "deserved_sessions: 1, capability_sessions: 1}\n"
		  "  - {customer: d, api_key_hash: " HASH_A
		  ", deserved_sessions: 1, capability_sessions: 1"),
	  "share one API key" },
	{ "name: a\n" MODELS "contracts:\n  - {customer: c, api_key_hash: abc,"
	  " deserved_sessions: 1, capability_sessions: 1}\n",
	  "expected 64 hexadecimal digits, not 3" },
};

static void test_refused(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(refused_cases); i++) {
		err_t err = ERR_INIT;
		preset_t *preset = parse(refused_cases[i].text, &err);

		CU_ASSERT_PTR_NULL(preset);
		CU_ASSERT_EQUAL(err.code, ERR_INVALID);
		CU_ASSERT_STRING_EQUAL(err.step, "parse_preset");
		CU_ASSERT_PTR_NOT_NULL(
			strstr(err.text, refused_cases[i].error));
		if (strstr(err.text, refused_cases[i].error) == NULL)
			printf("\n  %zu: %s\n", i, err.text);
		preset_free(preset);
	}
}

static void test_oversized_and_nested_texts(void)
{
	size_t len = PRESET_TEXT_BYTES_MAX + 1;
	char *text = g_malloc(len);
	err_t err = ERR_INIT;

	memset(text, 'a', len);
	CU_ASSERT_PTR_NULL(preset_parse(text, len, &err));
	CU_ASSERT_PTR_NOT_NULL(strstr(err.text, "at most"));
	memset(text, '[', len);
	CU_ASSERT_PTR_NULL(preset_parse(text, len - 1, &err));
	memset(text, '\0', len);
	CU_ASSERT_PTR_NULL(preset_parse(text, 10, &err));
	CU_ASSERT_PTR_NOT_NULL(strstr(err.text, "zero byte"));
	g_free(text);
}

static const unit_test_t tests[] = {
	{ "preset with all sections", test_preset_with_all_sections },
	{ "idempotent methods", test_idempotent_methods },
	{ "contract by key", test_contract_by_key },
	{ "key hash", test_key_hash },
	{ "refused presets", test_refused },
	{ "oversized and deeply nested texts",
	  test_oversized_and_nested_texts },
};

int main(void)
{
	return unit_run("preset", tests, ARRAY_SIZE(tests));
}
