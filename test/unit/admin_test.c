/*
 * Unit tests of the HTTP interface for operators, with a fake backend that
 * applies orders to its own store on another thread.
 */
#include "unit.h"

#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "wisteria/admin/admin.h"
#include "wisteria/admin/metrics_http.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/store/store.h"

#define TOKEN "0123456789abcdef0123"
#define PRESET "name: day\\nmodels:\\n  - {name: m, layers: 4}\\n"

/* A fake backend; "has_no_quorum" makes it reply with an unknown outcome. */
typedef struct {
	admin_backend_t backend;
	store_t store;
	GMutex lock;
	GCond idle;
	unsigned running; /* number of reply threads */
	bool has_no_quorum;
	uint64_t log_index;
} fake_backend_t;

typedef struct {
	fake_backend_t *fake;
	admin_job_t *job;
} reply_task_t;

static fake_backend_t fake;
static admin_t *admin;
static char *token_path;

static const char *test_ip(void)
{
	const char *ip = getenv("WISTERIA_TEST_IP");

	return ip == NULL ? "127.0.0.1" : ip;
}

static void reply_state(fake_backend_t *self, admin_job_t *job)
{
	static const msg_endpoint_t described[] = {
		{ .name = "e1", .target = "m", .end_layer = 4 },
		{ .name = "e2", .target = "m", .end_layer = 4 },
	};
	const admin_endpoint_t endpoints[] = {
		{ &described[0], true, 0 },
		{ &described[1], true, 3 },
	};
	const admin_state_t state = {
		.store = &self->store,
		.instance = "c1",
		.role = "leader",
		.leader = "c1",
		.endpoints = endpoints,
		.endpoint_count = ARRAY_SIZE(endpoints),
	};

	admin_job_reply_state(job, &state);
}

static gpointer reply_to_job(gpointer data)
{
	reply_task_t *task = data;
	fake_backend_t *self = task->fake;
	msg_order_reply_t reply;

	g_mutex_lock(&self->lock);
	if (self->has_no_quorum) {
		admin_job_reply_unknown(task->job, "no quorum");
	} else if (task->job->kind == ADMIN_ORDER) {
		store_apply(&self->store, &task->job->order, ++self->log_index,
			    &reply);
		admin_job_reply_order(task->job, &reply);
	} else {
		reply_state(self, task->job);
	}
	g_free(task);
	self->running--;
	g_cond_signal(&self->idle);
	g_mutex_unlock(&self->lock);
	return NULL;
}

static void submit(admin_backend_t *backend, admin_job_t *job)
{
	reply_task_t *task = g_new0(reply_task_t, 1);

	task->fake = (fake_backend_t *)backend;
	task->job = job;
	g_mutex_lock(&task->fake->lock);
	task->fake->running++;
	g_mutex_unlock(&task->fake->lock);
	g_thread_unref(g_thread_new("answer", reply_to_job, task));
}

static size_t collect(char *data, size_t size, size_t count, void *body)
{
	g_string_append_len(body, data, (gssize)(size * count));
	return size * count;
}

/* Returns the HTTP status; sets "body" to the response body. */
static long request(unsigned port, const char *method, const char *path,
		    const char *token, const char *request_body, GString *body)
{
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("http://%s:%u%s", test_ip(), port, path);
	char *header = g_strdup_printf("Authorization: Bearer %s", token);
	struct curl_slist *headers = curl_slist_append(NULL, header);
	long status = 0;

	g_string_truncate(body, 0);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (request_body != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request_body);
	CU_ASSERT_EQUAL(curl_easy_perform(curl), CURLE_OK);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	g_free(header);
	g_free(url);
	return status;
}

static void start(void)
{
	char *address = g_strdup_printf("%s:0", test_ip());
	err_t err = ERR_INIT;

	memset(&fake, 0, sizeof(fake));
	fake.backend.submit = submit;
	g_mutex_init(&fake.lock);
	g_cond_init(&fake.idle);
	store_init(&fake.store);
	g_close(g_file_open_tmp("token_XXXXXX", &token_path, NULL), NULL);
	g_file_set_contents(token_path, TOKEN "\n", -1, NULL);
	admin = admin_new(address, token_path, &fake.backend, &err);
	if (admin == NULL)
		abort();
	g_free(address);
}

static void stop(void)
{
	g_mutex_lock(&fake.lock);
	while (fake.running > 0)
		g_cond_wait(&fake.idle, &fake.lock);
	g_mutex_unlock(&fake.lock);
	admin_free(admin);
	store_finish(&fake.store);
	g_mutex_clear(&fake.lock);
	g_remove(token_path);
	g_free(token_path);
}

typedef struct {
	const char *method;
	const char *path;
	const char *request_body;
	long status;
	const char *body_part; /* expected in the response */
} exchange_t;

static void run_exchanges(const exchange_t *exchanges, size_t count)
{
	GString *body = g_string_new(NULL);

	for (size_t i = 0; i < count; i++) {
		const exchange_t *exchange = &exchanges[i];
		long status = request(admin_port(admin), exchange->method,
				      exchange->path, TOKEN,
				      exchange->request_body, body);

		CU_ASSERT_EQUAL(status, exchange->status);
		CU_ASSERT_PTR_NOT_NULL(strstr(body->str, exchange->body_part));
		if (status != exchange->status ||
		    strstr(body->str, exchange->body_part) == NULL)
			printf("\n  %zu: %ld %s\n", i, status, body->str);
	}
	g_string_free(body, TRUE);
}

static void test_orders(void)
{
	static const exchange_t exchanges[] = {
		{ "GET", "/v1/status", NULL, 200, "\"revision\": 0" },
		{ "POST", "/v1/presets",
		  "{\"id\":\"1\",\"name\":\"day\",\"text\":\"" PRESET "\"}",
		  200, "\"outcome\": \"applied\"" },
		{ "PUT", "/v1/presets/in-force",
		  "{\"id\":\"2\",\"name\":\"day\",\"expected_revision\":1,"
		  "\"operator\":\"joana\"}",
		  200, "\"revision\": 2" },
		{ "PUT", "/v1/presets/in-force",
		  "{\"id\":\"3\",\"name\":\"day\",\"expected_revision\":1}",
		  409, "\"operator\": \"joana\"" },
		{ "PUT", "/v1/presets/in-force",
		  "{\"id\":\"4\",\"name\":\"night\"}", 422,
		  "there is no preset night" },
		{ "POST", "/v1/endpoints/e1/leave", "{\"id\":\"5\"}", 200,
		  "\"revision\": 3" },
		{ "POST", "/v1/endpoints/e1/leave", "{\"id\":\"5\"}", 200,
		  "\"revision\": 3" },
		{ "POST", "/v1/endpoints/e2/leave", "{\"id\":\"5\"}", 422,
		  "another order was sent with this id" },
		{ "POST", "/v1/endpoints/gone/leave", "{\"id\":\"6\"}", 200,
		  "applied" },
		{ "GET", "/v1/orders/5", NULL, 200, "\"revision\": 3" },
		{ "GET", "/v1/orders/99", NULL, 404, "not_found" },
		{ "GET", "/v1/endpoints", NULL, 200, "\"may_stop\": true" },
		{ "GET", "/v1/endpoints", NULL, 200,
		  "\"leaving_not_announced\": [\n    \"gone\"" },
		{ "GET", "/v1/presets", NULL, 200, "\"in_force\": true" },
		{ "GET", "/v1/presets/day", NULL, 200, "layers: 4" },
		{ "GET", "/v1/presets/night", NULL, 404, "no preset night" },
		{ "GET", "/v1/config/history?after=2", NULL, 200,
		  "endpoint_leave" },
	};

	start();
	run_exchanges(exchanges, ARRAY_SIZE(exchanges));
	stop();
}

static void test_bad_requests(void)
{
	static const exchange_t exchanges[] = {
		{ "GET", "/v2/status", NULL, 404, "no such path" },
		{ "DELETE", "/v1/presets", NULL, 405, "method" },
		{ "POST", "/v1/members/c2/remove", "{\"id\":\"1\"}", 404,
		  "no such path" },
		{ "POST", "/v1/presets", "{", 400, "not JSON" },
		{ "POST", "/v1/presets", "[]", 400, "expected an object" },
		{ "POST", "/v1/presets", "{\"name\":\"x\"}", 400,
		  "needs an id" },
		{ "POST", "/v1/presets", "{\"id\":1}", 400,
		  "expected a string" },
		{ "POST", "/v1/endpoints/e1/leave",
		  "{\"id\":\"1\",\"colour\":\"red\"}", 400,
		  "colour: unknown key" },
		{ "POST", "/v1/endpoints/e1/leave",
		  "{\"id\":\"1\",\"name\":\"e2\"}", 400, "unknown key" },
		{ "POST", "/v1/endpoints/e1/leave",
		  "{\"id\":\"1\",\"expected_revision\":-1}", 400,
		  "expected_revision" },
		{ "POST", "/v1/endpoints/a/b/leave", "{\"id\":\"1\"}", 404,
		  "no such path" },
		{ "GET", "/v1/config/history?after=x", NULL, 400, "after" },
		{ "GET", "/v1/status", NULL, 200, "\"revision\": 0" },
	};

	start();
	run_exchanges(exchanges, ARRAY_SIZE(exchanges));
	stop();
}

static void test_large_body(void)
{
	GString *body = g_string_new(NULL);
	char *large = g_malloc(ADMIN_BODY_BYTES_MAX + 2);

	memset(large, ' ', ADMIN_BODY_BYTES_MAX + 1);
	large[ADMIN_BODY_BYTES_MAX + 1] = '\0';
	start();
	CU_ASSERT_EQUAL(request(admin_port(admin), "POST", "/v1/presets", TOKEN,
				large, body),
			413);
	stop();
	g_free(large);
	g_string_free(body, TRUE);
}

static void test_token(void)
{
	GString *body = g_string_new(NULL);

	start();
	CU_ASSERT_EQUAL(request(admin_port(admin), "GET", "/v1/status",
				TOKEN "4", NULL, body),
			401);
	CU_ASSERT_EQUAL(request(admin_port(admin), "POST",
				"/v1/endpoints/e1/leave", "", "{\"id\":\"1\"}",
				body),
			401);
	CU_ASSERT_EQUAL(fake.store.revision, 0);
	stop();
	g_string_free(body, TRUE);
}

static void test_without_a_quorum(void)
{
	static const exchange_t exchanges[] = {
		{ "POST", "/v1/endpoints/e1/leave", "{\"id\":\"1\"}", 503,
		  "\"outcome\": \"unknown\"" },
		{ "POST", "/v1/endpoints/e1/leave", "{\"id\":\"1\"}", 503,
		  "with the same id" },
		{ "GET", "/v1/status", NULL, 503, "no quorum" },
	};

	start();
	fake.has_no_quorum = true;
	run_exchanges(exchanges, ARRAY_SIZE(exchanges));
	stop();
}

static void test_bad_token_files(void)
{
	char *path = NULL;
	err_t err = ERR_INIT;

	CU_ASSERT_PTR_NULL(admin_new("127.0.0.1:0", "/nonexistent/token",
				     &fake.backend, &err));
	CU_ASSERT_EQUAL(err.code, ERR_IO);
	g_close(g_file_open_tmp("token_XXXXXX", &path, NULL), NULL);
	g_file_set_contents(path, "short", -1, NULL);
	CU_ASSERT_PTR_NULL(admin_new("127.0.0.1:0", path, &fake.backend, &err));
	CU_ASSERT_EQUAL(err.code, ERR_INVALID);
	g_remove(path);
	g_free(path);
}

static void test_metrics(void)
{
	char *address = g_strdup_printf("%s:0", test_ip());
	GString *body = g_string_new(NULL);
	err_t err = ERR_INIT;
	metrics_http_t *metrics = metrics_http_new(address, &err);
	unsigned port;

	if (metrics == NULL)
		abort();
	port = metrics_http_port(metrics);
	counter_add(COUNTER_ORDERS, 7);
	CU_ASSERT_EQUAL(request(port, "GET", "/healthz", "", NULL, body), 200);
	CU_ASSERT_EQUAL(request(port, "GET", "/readyz", "", NULL, body), 503);
	metrics_http_set_ready(metrics, true);
	CU_ASSERT_EQUAL(request(port, "GET", "/readyz", "", NULL, body), 200);
	CU_ASSERT_EQUAL(request(port, "GET", "/metrics", "", NULL, body), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(body->str, " 7\n"));
	CU_ASSERT_EQUAL(request(port, "GET", "/other", "", NULL, body), 404);
	CU_ASSERT_EQUAL(request(port, "DELETE", "/metrics", "", NULL, body),
			405);
	metrics_http_free(metrics);
	g_string_free(body, TRUE);
	g_free(address);
}

static const unit_test_t tests[] = {
	{ "orders", test_orders },
	{ "bad requests", test_bad_requests },
	{ "large body", test_large_body },
	{ "token", test_token },
	{ "without a quorum", test_without_a_quorum },
	{ "bad token files", test_bad_token_files },
	{ "metrics", test_metrics },
};

int main(void)
{
	return unit_run("admin", tests, ARRAY_SIZE(tests));
}
