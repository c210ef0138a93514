/*
 * Sends streams straight to the fake engines of a cluster, without
 * wisteriadrift, as the baseline that the router is compared with.  It batches
 * continuously, as the agents do: each engine has one open request, which holds
 * a step of every stream that was waiting for the engine.
 */
#include "direct.h"

#include <string.h>

#include <curl/curl.h>

#include "bench_stats.h"
#include "wisteria/agent/engine_wire.h"
#include "wisteria/codec/codec.h"

#define PROMPT_BYTES 32
#define POLL_MS 100
#define MS_PER_US 1e-3

typedef struct {
	uint64_t session;
	uint32_t position;
	size_t hop;
	size_t engine_index;
	GByteArray *input;
	int64_t start_us;
	int64_t last_token_us;
} stream_t;

typedef struct {
	CURL *easy;
	char *url;
	uint32_t first_layer;
	uint32_t end_layer;
	GPtrArray *waiting;
	GPtrArray *running;
	msgpack_sbuffer body;
	GByteArray *reply;
} engine_t;

typedef struct {
	const cluster_t *cluster;
	CURLM *multi;
	engine_t *engines;
	size_t engine_count;
	uint32_t started_streams;
	uint32_t open_streams;
	uint32_t total_streams;
	bench_run_t *run;
} direct_t;

/* Prepares an empty result. */
void bench_run_init(bench_run_t *run)
{
	memset(run, 0, sizeof(*run));
	run->interval_ms = bench_samples_new();
	run->first_token_ms = bench_samples_new();
}

/* Frees the samples. */
void bench_run_finish(bench_run_t *run)
{
	g_array_free(run->interval_ms, TRUE);
	g_array_free(run->first_token_ms, TRUE);
}

static size_t on_reply(char *data, size_t size, size_t count, void *user)
{
	engine_t *engine = user;

	g_byte_array_append(engine->reply, (const guint8 *)data,
			    (guint)(size * count));
	return size * count;
}

static void init_engine(direct_t *direct, size_t index)
{
	const cluster_endpoint_t *endpoint = &direct->cluster->endpoints[index];
	engine_t *engine = &direct->engines[index];

	engine->url = g_strdup_printf("http://%s" ENGINE_STEPS_PATH,
				      endpoint->backend_address);
	engine->first_layer = endpoint->first_layer;
	engine->end_layer = endpoint->end_layer;
	engine->waiting = g_ptr_array_new();
	engine->running = g_ptr_array_new();
	engine->reply = g_byte_array_new();
	msgpack_sbuffer_init(&engine->body);
	engine->easy = curl_easy_init();
	curl_easy_setopt(engine->easy, CURLOPT_URL, engine->url);
	curl_easy_setopt(engine->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(engine->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(engine->easy, CURLOPT_WRITEFUNCTION, on_reply);
	curl_easy_setopt(engine->easy, CURLOPT_WRITEDATA, engine);
	curl_easy_setopt(engine->easy, CURLOPT_PRIVATE, engine);
}

static void finish_engine(engine_t *engine)
{
	curl_easy_cleanup(engine->easy);
	g_free(engine->url);
	g_ptr_array_free(engine->waiting, TRUE);
	g_ptr_array_free(engine->running, TRUE);
	g_byte_array_free(engine->reply, TRUE);
	msgpack_sbuffer_destroy(&engine->body);
}

static engine_t *engine_of(const direct_t *direct, const stream_t *stream)
{
	size_t per_range = direct->cluster->params.endpoints_per_range;

	return &direct->engines[stream->hop * per_range + stream->engine_index];
}

static void set_input(stream_t *stream, const void *data, size_t len)
{
	g_byte_array_set_size(stream->input, 0);
	g_byte_array_append(stream->input, data, (guint)len);
}

static void start_stream(direct_t *direct)
{
	size_t per_range = direct->cluster->params.endpoints_per_range;
	stream_t *stream = g_new0(stream_t, 1);
	char prompt[PROMPT_BYTES];

	stream->session = UINT64_C(1) << 40 | (uint64_t)g_get_monotonic_time();
	stream->session += ++direct->started_streams;
	stream->engine_index = direct->started_streams % per_range;
	stream->input = g_byte_array_new();
	stream->start_us = g_get_monotonic_time();
	g_snprintf(prompt, sizeof(prompt), "quote %u", direct->started_streams);
	set_input(stream, prompt, strlen(prompt));
	direct->open_streams++;
	g_ptr_array_add(engine_of(direct, stream)->waiting, stream);
}

static void end_stream(direct_t *direct, stream_t *stream)
{
	g_byte_array_free(stream->input, TRUE);
	g_free(stream);
	direct->open_streams--;
	if (direct->started_streams < direct->total_streams)
		start_stream(direct);
}

static void encode_batch(direct_t *direct, engine_t *engine)
{
	guint count = engine->running->len;
	engine_step_t *steps = g_new0(engine_step_t, count);
	msg_position_t *positions = g_new0(msg_position_t, count);
	const engine_batch_t batch = { steps, count };

	for (guint i = 0; i < count; i++) {
		const stream_t *stream = g_ptr_array_index(engine->running, i);

		positions[i].activations =
			(bytes_t){ stream->input->data, stream->input->len };
		steps[i] = (engine_step_t){
			.session = stream->session,
			.sequence = 1,
			.attempt = 1,
			.first_layer = engine->first_layer,
			.end_layer = engine->end_layer,
			.first_position = stream->position,
			.positions = &positions[i],
			.position_count = 1,
			.has_first_layer = engine->first_layer == 0,
			.has_last_layer = engine->end_layer ==
					  direct->cluster->params.layers,
		};
	}
	msgpack_sbuffer_clear(&engine->body);
	codec_encode(&engine_batch_desc, &batch, &engine->body);
	g_free(steps);
	g_free(positions);
}

static void send_batch(direct_t *direct, engine_t *engine)
{
	GPtrArray *batch = engine->waiting;

	engine->waiting = engine->running;
	engine->running = batch;
	encode_batch(direct, engine);
	g_byte_array_set_size(engine->reply, 0);
	curl_easy_setopt(engine->easy, CURLOPT_POSTFIELDSIZE,
			 (long)engine->body.size);
	curl_easy_setopt(engine->easy, CURLOPT_POSTFIELDS, engine->body.data);
	curl_multi_add_handle(direct->multi, engine->easy);
}

static void handle_token(direct_t *direct, stream_t *stream,
			 const engine_result_t *result)
{
	int64_t now_us = g_get_monotonic_time();
	bench_run_t *run = direct->run;

	if (stream->position == 0)
		bench_add_sample(run->first_token_ms,
				 (double)(now_us - stream->start_us) *
					 MS_PER_US);
	else
		bench_add_sample(run->interval_ms,
				 (double)(now_us - stream->last_token_us) *
					 MS_PER_US);
	stream->last_token_us = now_us;
	run->tokens++;
	if (result->last) {
		end_stream(direct, stream);
		return;
	}
	stream->position++;
	stream->hop = 0;
	set_input(stream, result->text, strlen(result->text));
	g_ptr_array_add(engine_of(direct, stream)->waiting, stream);
}

static void handle_result(direct_t *direct, stream_t *stream,
			  const engine_result_t *result)
{
	if (!result->ok)
		g_error("the engine refused a step: %s", result->reason);
	if (result->position_count == 0) {
		handle_token(direct, stream, result);
		return;
	}
	set_input(stream, result->positions[0].activations.data,
		  result->positions[0].activations.len);
	stream->hop++;
	g_ptr_array_add(engine_of(direct, stream)->waiting, stream);
}

static void handle_reply(direct_t *direct, engine_t *engine)
{
	err_t err = { .code = ERR_NONE };
	engine_reply_t reply;
	msgpack_zone zone;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!codec_decode(&engine_reply_desc, engine->reply->data,
			  engine->reply->len, &zone, &reply, &err) ||
	    reply.result_count != engine->running->len)
		g_error("the engine's reply is not valid: %s", err.text);
	for (size_t i = 0; i < reply.result_count; i++)
		handle_result(direct, g_ptr_array_index(engine->running, i),
			      &reply.results[i]);
	g_ptr_array_set_size(engine->running, 0);
	msgpack_zone_destroy(&zone);
}

static void handle_replies(direct_t *direct)
{
	CURLMsg *message;
	int queued;

	while ((message = curl_multi_info_read(direct->multi, &queued)) !=
	       NULL) {
		CURL *easy = message->easy_handle;
		char *user = NULL;

		if (message->data.result != CURLE_OK)
			g_error("an engine did not respond");
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
		curl_multi_remove_handle(direct->multi, easy);
		handle_reply(direct, (engine_t *)(void *)user);
	}
}

static void run_streams(direct_t *direct)
{
	int running;

	while (direct->open_streams > 0) {
		for (size_t i = 0; i < direct->engine_count; i++)
			if (direct->engines[i].running->len == 0 &&
			    direct->engines[i].waiting->len > 0)
				send_batch(direct, &direct->engines[i]);
		curl_multi_perform(direct->multi, &running);
		handle_replies(direct);
		if (direct->open_streams > 0)
			curl_multi_poll(direct->multi, NULL, 0,
					running > 0 ? POLL_MS : 0, NULL);
	}
}

/* Runs "total_streams" streams, "concurrent" at a time, and adds to "run". */
void direct_run(const cluster_t *cluster, uint32_t concurrent,
		uint32_t total_streams, bench_run_t *run)
{
	direct_t direct = { .cluster = cluster,
			    .total_streams = total_streams,
			    .run = run };
	int64_t start_us = g_get_monotonic_time();

	direct.multi = curl_multi_init();
	direct.engine_count =
		cluster->params.ranges * cluster->params.endpoints_per_range;
	direct.engines = g_new0(engine_t, direct.engine_count);
	for (size_t i = 0; i < direct.engine_count; i++)
		init_engine(&direct, i);
	for (uint32_t i = 0; i < concurrent && i < total_streams; i++)
		start_stream(&direct);
	run_streams(&direct);
	run->seconds += (double)(g_get_monotonic_time() - start_us) * 1e-6;
	for (size_t i = 0; i < direct.engine_count; i++)
		finish_engine(&direct.engines[i]);
	g_free(direct.engines);
	curl_multi_cleanup(direct.multi);
}
