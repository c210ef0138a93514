/*
 * An engine with an HTTP interface.  Steps of all sessions that arrive while a
 * request is in progress are sent together in the next one, so that the engine
 * can use continuous batching (Yu et al., "Orca", 2022).  If a request takes
 * much longer than the measured times of earlier ones predict, a health check
 * is sent to the engine.  The request is cancelled only if the check fails;
 * while an engine is slow but passes the check, the request keeps waiting.
 */
#include "wisteria/agent/engine_http.h"

#include <string.h>

#include <glib.h>

#include "wisteria/agent/engine_wire.h"
#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/codec.h"
#include "wisteria/net/net_defs.h"

/*
 * A request is overdue when it takes this many times its expected duration, and
 * at least ENGINE_OVERDUE_MIN_MS.
 */
#define ENGINE_OVERDUE_FACTOR 4
#define ENGINE_OVERDUE_MIN_MS 300
#define ENGINE_HEALTH_TIMEOUT_MS 300L
#define ENGINE_BATCH_STEPS_MAX 256
/* A longer reply could not be sent on to the next hop. */
#define ENGINE_REPLY_BYTES_MAX NET_SEND_QUEUE_BYTES_MAX
/* Weight of the latest request in the moving averages of step times. */
#define ENGINE_TIME_SMOOTHING 0.2

typedef struct {
	curl_done_t done; /* first member */
	struct engine_http_t *engine;
	CURL *handle;
	GByteArray *reply;
	msgpack_sbuffer out;
	curl_body_t body;
} engine_request_t;

/* A step that is waiting or running; owns copies of its positions. */
typedef struct {
	engine_step_t step;
	GPtrArray *contents; /* GBytes */
	uint32_t hop;
	bool forgotten; /* its sequence is to be dropped after the run */
} engine_job_t;

typedef struct engine_http_t {
	engine_ops_t ops; /* first member */
	curl_loop_t *client;
	const clock_source_t *clock;
	engine_handler_t *handler;
	char *url;
	GPtrArray *waiting;	  /* engine_job_t */
	GPtrArray *running;	  /* of the request in progress */
	engine_request_t *batch;  /* NULL: none in progress */
	engine_request_t *health; /* NULL: none in progress */
	clock_ms_t batch_sent_ms;
	clock_ms_t last_alive_ms; /* batch sent, or last passed health check */
	double step_ms;		  /* moving average, for a whole batch */
	double position_ms;	  /* moving average, for one position */
	bool closed;
} engine_http_t;

static void start_batch(engine_http_t *engine);

static void job_free(gpointer data)
{
	engine_job_t *job = data;

	g_ptr_array_free(job->contents, TRUE);
	g_free((msg_position_t *)job->step.positions);
	g_free(job);
}

static void unref_bytes(gpointer data)
{
	g_bytes_unref(data);
}

static engine_job_t *job_new(const hop_work_t *work)
{
	engine_job_t *job = g_new0(engine_job_t, 1);
	msg_position_t *positions = g_new(msg_position_t, work->position_count);

	job->contents = g_ptr_array_new_with_free_func(unref_bytes);
	for (size_t i = 0; i < work->position_count; i++) {
		bytes_t from = work->positions[i].activations;
		GBytes *copy = g_bytes_new(from.data, from.len);
		gsize len;

		positions[i].activations.data = g_bytes_get_data(copy, &len);
		positions[i].activations.len = len;
		g_ptr_array_add(job->contents, copy);
	}
	job->hop = work->hop;
	job->step = (engine_step_t){
		.session = work->session,
		.sequence = work->sequence,
		.attempt = work->attempt,
		.first_layer = work->first_layer,
		.end_layer = work->end_layer,
		.first_position = work->first_position,
		.positions = positions,
		.position_count = work->position_count,
		.has_first_layer = work->has_first_layer,
		.has_last_layer = work->has_last_layer,
		.priority = work->priority,
	};
	return job;
}

static size_t on_reply_data(char *data, size_t size, size_t count, void *user)
{
	engine_request_t *request = user;

	if (request->reply->len + size * count > ENGINE_REPLY_BYTES_MAX)
		return 0;
	g_byte_array_append(request->reply, (const guint8 *)data,
			    (guint)(size * count));
	return size * count;
}

static engine_request_t *request_new(engine_http_t *engine, const char *path,
				     void (*done)(curl_done_t *self,
						  CURL *handle, CURLcode code))
{
	engine_request_t *request = g_new0(engine_request_t, 1);
	char *url = g_strconcat(engine->url, path, NULL);

	request->done.done = done;
	request->engine = engine;
	request->reply = g_byte_array_new();
	msgpack_sbuffer_init(&request->out);
	request->handle = curl_loop_new_request(engine->client, url);
	curl_easy_setopt(request->handle, CURLOPT_WRITEFUNCTION, on_reply_data);
	curl_easy_setopt(request->handle, CURLOPT_WRITEDATA, request);
	g_free(url);
	return request;
}

/* Makes the request a POST of the data in its "out" buffer. */
static void set_request_body(engine_request_t *request)
{
	request->body.data = request->out.data;
	request->body.len = request->out.size;
	curl_loop_set_body(request->handle, &request->body);
}

static void request_free(engine_request_t *request)
{
	g_byte_array_free(request->reply, TRUE);
	msgpack_sbuffer_destroy(&request->out);
	g_free(request);
}

static void engine_free(engine_http_t *engine)
{
	g_ptr_array_free(engine->waiting, TRUE);
	g_ptr_array_free(engine->running, TRUE);
	g_free(engine->url);
	g_free(engine);
}

static engine_key_t job_key(const engine_job_t *job)
{
	return (engine_key_t){
		.session = job->step.session,
		.sequence = job->step.sequence,
		.first_layer = job->step.first_layer,
		.hop = job->hop,
	};
}

static void fail_jobs(engine_http_t *engine, GPtrArray *jobs,
		      const char *reason)
{
	for (guint i = 0; i < jobs->len; i++) {
		const engine_job_t *job = g_ptr_array_index(jobs, i);
		engine_key_t key = job_key(job);

		if (!job->forgotten)
			engine->handler->failed(engine->handler, &key,
						job->step.attempt, reason);
	}
}

static void report_result(engine_http_t *engine, const engine_job_t *job,
			  const engine_result_t *result)
{
	engine_key_t key = job_key(job);
	const hop_result_t output = {
		.positions = result->positions,
		.position_count = result->position_count,
		.text = result->text,
		.last = result->last,
	};

	if (job->forgotten)
		return;
	if (!result->ok || result->session != job->step.session ||
	    result->sequence != job->step.sequence)
		engine->handler->failed(
			engine->handler, &key, job->step.attempt,
			result->ok ? "answer to another step" : result->reason);
	else
		engine->handler->done(engine->handler, &key, job->step.attempt,
				      &output);
}

static void report_reply(engine_http_t *engine, GPtrArray *jobs,
			 const GByteArray *body)
{
	engine_reply_t reply;
	msgpack_zone zone;
	err_t err = ERR_INIT;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!codec_decode(&engine_reply_desc, body->data, body->len, &zone,
			  &reply, &err))
		fail_jobs(engine, jobs, err.text);
	else if (reply.result_count != jobs->len)
		fail_jobs(engine, jobs, "wrong number of results");
	else
		for (guint i = 0; i < jobs->len; i++)
			report_result(engine, g_ptr_array_index(jobs, i),
				      &reply.results[i]);
	msgpack_zone_destroy(&zone);
}

static void update_step_times(engine_http_t *engine, size_t position_count)
{
	double elapsed =
		(double)(clock_now(engine->clock) - engine->batch_sent_ms);
	double per_position = elapsed / (double)MAX(position_count, 1);

	if (engine->step_ms == 0) {
		engine->step_ms = elapsed;
		engine->position_ms = per_position;
		return;
	}
	engine->step_ms += ENGINE_TIME_SMOOTHING * (elapsed - engine->step_ms);
	engine->position_ms +=
		ENGINE_TIME_SMOOTHING * (per_position - engine->position_ms);
}

static size_t count_positions(const GPtrArray *jobs)
{
	size_t count = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const engine_job_t *job = g_ptr_array_index(jobs, i);

		count += job->step.position_count;
	}
	return count;
}

static bool same_sequence(const engine_step_t *step, const engine_key_t *key)
{
	return step->session == key->session &&
	       step->sequence == key->sequence &&
	       step->first_layer == key->first_layer;
}

static void on_forget_done(curl_done_t *self, CURL *handle, CURLcode code)
{
	(void)handle;
	(void)code;
	request_free(CONTAINER_OF(self, engine_request_t, done));
}

static void send_forget(engine_http_t *engine, const engine_key_t *key)
{
	const engine_forget_t forget = { key->session, key->sequence,
					 key->first_layer };
	engine_request_t *request =
		request_new(engine, ENGINE_FORGET_PATH, on_forget_done);

	codec_encode(&engine_forget_desc, &forget, &request->out);
	set_request_body(request);
	curl_loop_start(engine->client, request->handle, &request->done);
}

/* Drops the sequences that were forgotten while the batch was running. */
static void send_deferred_forgets(engine_http_t *engine, const GPtrArray *jobs)
{
	for (guint i = 0; i < jobs->len; i++) {
		const engine_job_t *job = g_ptr_array_index(jobs, i);
		engine_key_t key = job_key(job);

		if (job->forgotten)
			send_forget(engine, &key);
	}
}

static void on_batch_done(curl_done_t *self, CURL *handle, CURLcode code)
{
	engine_request_t *request = CONTAINER_OF(self, engine_request_t, done);
	engine_http_t *engine = request->engine;
	GPtrArray *jobs = engine->running;
	long status = 0;

	engine->batch = NULL;
	engine->running = g_ptr_array_new_with_free_func(job_free);
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	if (engine->closed) {
		g_ptr_array_free(jobs, TRUE);
		request_free(request);
		return;
	}
	if (code != CURLE_OK || status != 200) {
		LOG_WARN("engine_failed", "url=%s status=%ld reason=%d",
			 engine->url, status, (int)code);
		fail_jobs(engine, jobs,
			  code == CURLE_OK ? "engine refused the steps"
					   : curl_easy_strerror(code));
	} else {
		update_step_times(engine, count_positions(jobs));
		report_reply(engine, jobs, request->reply);
	}
	send_deferred_forgets(engine, jobs);
	g_ptr_array_free(jobs, TRUE);
	request_free(request);
	start_batch(engine);
}

static void encode_batch(const GPtrArray *jobs, msgpack_sbuffer *body)
{
	engine_step_t *steps = g_new(engine_step_t, jobs->len);
	const engine_batch_t batch = { steps, jobs->len };

	for (guint i = 0; i < jobs->len; i++) {
		const engine_job_t *job = g_ptr_array_index(jobs, i);

		steps[i] = job->step;
	}
	codec_encode(&engine_batch_desc, &batch, body);
	g_free(steps);
}

static void fill_batch(engine_http_t *engine)
{
	guint count = MIN(engine->waiting->len, ENGINE_BATCH_STEPS_MAX);

	for (guint i = 0; i < count; i++)
		g_ptr_array_add(engine->running,
				g_ptr_array_index(engine->waiting, i));
	for (guint i = 0; i < count; i++)
		engine->waiting->pdata[i] = NULL;
	g_ptr_array_set_free_func(engine->waiting, NULL);
	g_ptr_array_remove_range(engine->waiting, 0, count);
	g_ptr_array_set_free_func(engine->waiting, job_free);
}

static void start_batch(engine_http_t *engine)
{
	if (engine->batch != NULL || engine->waiting->len == 0 ||
	    engine->closed)
		return;
	fill_batch(engine);
	engine->batch = request_new(engine, ENGINE_STEPS_PATH, on_batch_done);
	engine->batch_sent_ms = clock_now(engine->clock);
	engine->last_alive_ms = engine->batch_sent_ms;
	encode_batch(engine->running, &engine->batch->out);
	set_request_body(engine->batch);
	curl_loop_start(engine->client, engine->batch->handle,
			&engine->batch->done);
}

static void engine_run(engine_ops_t *self, const hop_work_t *work)
{
	engine_http_t *engine = CONTAINER_OF(self, engine_http_t, ops);

	g_ptr_array_add(engine->waiting, job_new(work));
	start_batch(engine);
}

static bool mark_forgotten(engine_http_t *engine, const engine_key_t *key)
{
	for (guint i = 0; i < engine->running->len; i++) {
		engine_job_t *job = g_ptr_array_index(engine->running, i);

		if (!same_sequence(&job->step, key))
			continue;
		job->forgotten = true;
		return true;
	}
	return false;
}

/* Drops a sequence: at once, or after the batch if a run is in progress. */
static void engine_forget(engine_ops_t *self, const engine_key_t *key)
{
	engine_http_t *engine = CONTAINER_OF(self, engine_http_t, ops);

	for (guint i = engine->waiting->len; i-- > 0;) {
		engine_job_t *job = g_ptr_array_index(engine->waiting, i);

		if (same_sequence(&job->step, key))
			g_ptr_array_remove_index(engine->waiting, i);
	}
	if (engine->closed || mark_forgotten(engine, key))
		return;
	send_forget(engine, key);
}

/* An order in progress. */
typedef struct {
	engine_request_t *request;
	curl_done_t done;
	engine_order_done_t *callback;
	struct curl_slist *headers;
} engine_order_t;

static void on_order_done(curl_done_t *self, CURL *handle, CURLcode code)
{
	engine_order_t *order = CONTAINER_OF(self, engine_order_t, done);
	long status = 0;

	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	order->callback->done(order->callback,
			      code == CURLE_OK && status == 200,
			      code == CURLE_OK && status == 409);
	curl_slist_free_all(order->headers);
	request_free(order->request);
	g_free(order);
}

static void engine_order(engine_ops_t *self, const char *text, uint64_t fence,
			 engine_order_done_t *done)
{
	engine_http_t *engine = CONTAINER_OF(self, engine_http_t, ops);
	engine_order_t *order = g_new0(engine_order_t, 1);
	char *header =
		g_strdup_printf("X-Fencing-Number: %" G_GUINT64_FORMAT, fence);

	order->callback = done;
	order->done.done = on_order_done;
	order->request = request_new(engine, ENGINE_ORDERS_PATH, NULL);
	order->headers = curl_slist_append(NULL, header);
	curl_easy_setopt(order->request->handle, CURLOPT_HTTPHEADER,
			 order->headers);
	curl_easy_setopt(order->request->handle, CURLOPT_COPYPOSTFIELDS, text);
	curl_loop_start(engine->client, order->request->handle, &order->done);
	g_free(header);
}

static void on_health_done(curl_done_t *self, CURL *handle, CURLcode code)
{
	engine_request_t *request = CONTAINER_OF(self, engine_request_t, done);
	engine_http_t *engine = request->engine;
	long status = 0;

	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	engine->health = NULL;
	request_free(request);
	if (engine->closed || engine->batch == NULL)
		return;
	if (code == CURLE_OK && status == 200) {
		engine->last_alive_ms = clock_now(engine->clock);
		return;
	}
	LOG_WARN("engine_silent", "url=%s status=%ld", engine->url, status);
	curl_loop_cancel(engine->client, engine->batch->handle);
}

static void start_health_check(engine_http_t *engine)
{
	engine->health =
		request_new(engine, ENGINE_HEALTH_PATH, on_health_done);
	curl_easy_setopt(engine->health->handle, CURLOPT_TIMEOUT_MS,
			 ENGINE_HEALTH_TIMEOUT_MS);
	curl_loop_start(engine->client, engine->health->handle,
			&engine->health->done);
}

static void engine_tick(engine_ops_t *self, clock_ms_t now)
{
	engine_http_t *engine = CONTAINER_OF(self, engine_http_t, ops);
	double expected;

	if (engine->batch == NULL || engine->health != NULL)
		return;
	expected = MAX(engine->step_ms,
		       engine->position_ms *
			       (double)count_positions(engine->running));
	expected = MAX(expected * ENGINE_OVERDUE_FACTOR, ENGINE_OVERDUE_MIN_MS);
	if ((double)(now - engine->last_alive_ms) >= expected)
		start_health_check(engine);
}

static double engine_step_ms(const engine_ops_t *self)
{
	return ((const engine_http_t *)self)->step_ms;
}

static void engine_close(engine_ops_t *self)
{
	engine_http_t *engine = CONTAINER_OF(self, engine_http_t, ops);

	engine->closed = true;
	if (engine->batch != NULL)
		curl_loop_cancel(engine->client, engine->batch->handle);
	if (engine->health != NULL)
		curl_loop_cancel(engine->client, engine->health->handle);
	engine_free(engine);
}

/*
 * Creates the adapter to the engine at "url" ("http://IP:PORT").  It must be
 * freed by its close() before the client is closed.
 */
engine_ops_t *engine_http_new(curl_loop_t *client, const clock_source_t *clock,
			      const char *url, engine_handler_t *handler)
{
	engine_http_t *engine = g_new0(engine_http_t, 1);

	engine->ops = (engine_ops_t){
		.run = engine_run,
		.forget = engine_forget,
		.order = engine_order,
		.tick = engine_tick,
		.step_ms = engine_step_ms,
		.close = engine_close,
	};
	engine->client = client;
	engine->clock = clock;
	engine->handler = handler;
	engine->url = g_strdup(url);
	engine->waiting = g_ptr_array_new_with_free_func(job_free);
	engine->running = g_ptr_array_new_with_free_func(job_free);
	return &engine->ops;
}
