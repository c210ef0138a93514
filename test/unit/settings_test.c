/* Unit tests of the settings file: defaults and error messages. */
#include "unit.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/settings.h"

#define COMMON "instance: a1\nfailure_domain: recife\ncluster_key_file: /k\n"
#define CONTROL_INSTANCES \
	"control_instances:\n  - {instance: c1, address: 127.0.0.1:1}\n"
#define ENTRY \
	COMMON "roles: [entry]\n" CONTROL_INSTANCES \
	       "entry:\n  http_listen: 127.0.0.1:2\n"
#define AGENT \
	COMMON "roles: [agent]\n" CONTROL_INSTANCES \
	       "agent:\n  listen: 127.0.0.1:3\n  endpoints:\n"
#define ENDPOINT(name, first, end) \
	"    - {name: " name ", kind: model, target: m, first_layer: " first \
	", end_layer: " end ", url: http://127.0.0.1:4}\n"
#define CONTROL \
	COMMON "roles: [control]\ncontrol:\n  listen: 127.0.0.1:5\n" \
	       "  admin_listen: 127.0.0.1:6\n  admin_token_file: /t\n" \
	       "  data_dir: /d\n  voters:\n"

#define FLEET \
	COMMON "roles: [fleet_control]\nfleet:\n" \
	       "  control_listen: 127.0.0.1:7\n  peer_listen: 127.0.0.1:8\n" \
	       "  seeds: [\"127.0.0.1:7\"]\n"

typedef struct {
	const char *text;
	const char *error; /* a part of the error's text */
} refused_case_t;

static settings_t *load(const char *text, err_t *err)
{
	char *path = NULL;
	int fd = g_file_open_tmp("settings_XXXXXX", &path, NULL);
	settings_t *settings;

	g_close(fd, NULL);
	g_file_set_contents(path, text, -1, NULL);
	settings = settings_load(path, err);
	if (settings == NULL)
		CU_ASSERT_STRING_EQUAL(err->peer, path);
	g_remove(path);
	g_free(path);
	return settings;
}

static settings_t *load_valid(const char *text)
{
	err_t err = ERR_INIT;
	settings_t *settings = load(text, &err);

	CU_ASSERT_STRING_EQUAL(err.text, "");
	if (settings == NULL)
		abort();
	return settings;
}

static void test_defaults(void)
{
	settings_t *settings = load_valid(ENTRY);

	CU_ASSERT_TRUE(settings_has_role(settings, "entry"));
	CU_ASSERT_FALSE(settings_has_role(settings, "control"));
	CU_ASSERT_STRING_EQUAL(settings->region, "default");
	CU_ASSERT_STRING_EQUAL(settings->log_level, "info");
	CU_ASSERT_PTR_NULL(settings->trace_file);
	CU_ASSERT_EQUAL(settings->entry->http_threads, 2);
	settings_free(settings);
}

static void test_tolerance_of_a_fleet(void)
{
	settings_t *settings = load_valid(FLEET);

	CU_ASSERT_EQUAL(settings->fleet->tolerance->machines, 1);
	CU_ASSERT_EQUAL(settings->fleet->tolerance->failure_domains, 0);
	CU_ASSERT_EQUAL(settings->fleet->domains_count, 0);
	settings_free(settings);
	settings = load_valid(
		FLEET "  tolerance:\n    machines: 2\n    regions: 1\n"
		      "  domains: [\n    { name: \"z1\", region: \"r1\" } ,\n"
		      "    { name: \"z2\", region: \"r2\" } \n  ]\n");
	CU_ASSERT_EQUAL(settings->fleet->tolerance->machines, 2);
	CU_ASSERT_EQUAL(settings->fleet->tolerance->regions, 1);
	CU_ASSERT_EQUAL_FATAL(settings->fleet->domains_count, 2);
	CU_ASSERT_STRING_EQUAL(settings->fleet->domains[1].region, "r2");
	settings_free(settings);
	settings = load_valid(FLEET "  tolerance: { machines: 0 }\n");
	CU_ASSERT_EQUAL(settings->fleet->tolerance->machines, 0);
	settings_free(settings);
}

static void test_agent(void)
{
	settings_t *settings = load_valid(AGENT ENDPOINT(
		"x", "0", "4") ENDPOINT("y", "0", "4") ENDPOINT("z", "4", "8"));

	CU_ASSERT_EQUAL(settings->agent->endpoints_count, 3);
	CU_ASSERT_EQUAL(settings->agent->endpoints[2].first_layer, 4);
	CU_ASSERT_EQUAL(settings->agent->endpoints[2].slots, 8);
	CU_ASSERT_FALSE(settings->agent->endpoints[2].checks_fencing);
	settings_free(settings);
}

static void test_control(void)
{
	settings_t *settings = load_valid(
		CONTROL "    - {instance: a1, address: 127.0.0.1:5}\n");

	CU_ASSERT_EQUAL(settings->control->voters_count, 1);
	CU_ASSERT_PTR_NULL(settings->control->bootstrap_preset_file);
	settings_free(settings);
}

static const refused_case_t refused_cases[] = {
	{ "", "is empty" },
	{ "instance: a1\n", "Missing required" },
	{ ENTRY "  colour: red\n", "key colour: unknown key" },
	{ ENTRY "  http_threads: many\n", "line 9, key http_threads" },
	{ ENTRY "  http_threads: 65\n", "expected 1 to 64" },
	{ COMMON "roles: []\n", "key roles" },
	{ COMMON "roles: [king]\n", "line 4, key roles: \"king\" is no role" },
	{ COMMON "roles: [entry, entry]\n" CONTROL_INSTANCES, "stands twice" },
	{ COMMON "roles: [entry]\n" CONTROL_INSTANCES,
	  "needs a section \"entry\"" },
	{ COMMON "roles: [entry]\nentry:\n  http_listen: 127.0.0.1:2\n",
	  "needs \"control_instances\"" },
	{ CONTROL "    - {instance: a1, address: 127.0.0.1:5}\n"
		  "entry:\n  http_listen: 127.0.0.1:2\n",
	  "stands without the role" },
	{ COMMON "roles: [entry]\n" CONTROL_INSTANCES
		 "entry:\n  http_listen: host:2\n",
	  "line 8, key http_listen: \"host:2\": not an IP number" },
	{ AGENT ENDPOINT("x", "0", "4") "  advertise: host:1\n",
	  "key advertise: \"host:1\": not an IP number" },
	{ ENTRY "metrics_listen: 127.0.0.1\n", "expected IP:PORT" },
	{ ENTRY "log_level: loud\n", "line 9, key log_level" },
	{ COMMON "roles: [entry]\nregion: a b\n" CONTROL_INSTANCES,
	  "a name holds" },
	{ CONTROL "    - {instance: a1, address: 127.0.0.1:5}\n"
		  "    - {instance: a1, address: 127.0.0.1:6}\n",
	  "duplicate name \"a1\"" },
	{ AGENT, "endpoints" },
	{ AGENT ENDPOINT("x", "4", "4"), "empty layer range [4, 4)" },
	{ AGENT ENDPOINT("x", "5", "4"), "empty layer range [5, 4)" },
	{ AGENT ENDPOINT("x", "0", "4") ENDPOINT("y", "3", "8"),
	  "layers [3, 8) of y overlap [0, 4) of x" },
	{ AGENT ENDPOINT("x", "0", "4") ENDPOINT("x", "4", "8"),
	  "duplicate name \"x\"" },
	{ AGENT "    - {name: p, kind: service, target: s, end_layer: 3,"
		" url: http://127.0.0.1:4}\n",
	  "a service has no layers" },
	{ AGENT "    - {name: p, kind: service, target: s,"
		" url: http://pedidos:4}\n",
	  "not an IP number" },
	{ AGENT "    - {name: p, kind: service, target: s,"
		" url: ftp://127.0.0.1:4}\n",
	  "expected http://IP:PORT" },
};

static void test_refused(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(refused_cases); i++) {
		err_t err = ERR_INIT;
		settings_t *settings = load(refused_cases[i].text, &err);

		CU_ASSERT_PTR_NULL(settings);
		CU_ASSERT_EQUAL(err.code, ERR_INVALID);
		CU_ASSERT_PTR_NOT_NULL(
			strstr(err.text, refused_cases[i].error));
		if (strstr(err.text, refused_cases[i].error) == NULL)
			printf("\n  %zu: %s\n", i, err.text);
		settings_free(settings);
	}
}

static void test_missing_file(void)
{
	err_t err = ERR_INIT;

	CU_ASSERT_PTR_NULL(settings_load("/nonexistent/settings.yaml", &err));
	CU_ASSERT_EQUAL(err.code, ERR_IO);
	CU_ASSERT_STRING_EQUAL(err.peer, "/nonexistent/settings.yaml");
}

static const unit_test_t tests[] = {
	{ "defaults", test_defaults },
	{ "tolerance of a fleet", test_tolerance_of_a_fleet },
	{ "agent", test_agent },
	{ "control", test_control },
	{ "refused settings", test_refused },
	{ "missing file", test_missing_file },
};

int main(void)
{
	return unit_run("settings", tests, ARRAY_SIZE(tests));
}
