/*
 * Drives the fake engines of a set-up without wisteriadrift, with the same
 * continuous batching: one request at a time to each engine, carrying a step
 * of every stream that waits for it.  It is what the router is compared with.
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
	int64_t began_us;
	int64_t token_us;
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
} target_t;

typedef struct {
	const cluster_t *cluster;
	CURLM *multi;
	target_t *targets;
	size_t target_count;
	uint32_t started;
	uint32_t open;
	uint32_t total;
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
	target_t *target = user;

	g_byte_array_append(target->reply, (const guint8 *)data,
			    (guint)(size * count));
	return size * count;
}

static void init_target(direct_t *direct, size_t index)
{
	const cluster_endpoint_t *endpoint = &direct->cluster->endpoints[index];
	target_t *target = &direct->targets[index];

	target->url = g_strdup_printf("http://%s" ENGINE_STEPS_PATH,
				      endpoint->backend_address);
	target->first_layer = endpoint->first_layer;
	target->end_layer = endpoint->end_layer;
	target->waiting = g_ptr_array_new();
	target->running = g_ptr_array_new();
	target->reply = g_byte_array_new();
	msgpack_sbuffer_init(&target->body);
	target->easy = curl_easy_init();
	curl_easy_setopt(target->easy, CURLOPT_URL, target->url);
	curl_easy_setopt(target->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(target->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(target->easy, CURLOPT_WRITEFUNCTION, on_reply);
	curl_easy_setopt(target->easy, CURLOPT_WRITEDATA, target);
	curl_easy_setopt(target->easy, CURLOPT_PRIVATE, target);
}

static void finish_target(target_t *target)
{
	curl_easy_cleanup(target->easy);
	g_free(target->url);
	g_ptr_array_free(target->waiting, TRUE);
	g_ptr_array_free(target->running, TRUE);
	g_byte_array_free(target->reply, TRUE);
	msgpack_sbuffer_destroy(&target->body);
}

static target_t *target_of(const direct_t *direct, const stream_t *stream)
{
	size_t per_range = direct->cluster->params.endpoints_per_range;

	return &direct->targets[stream->hop * per_range + stream->engine_index];
}

static void set_input(stream_t *stream, const void *data, size_t len)
{
	g_byte_array_set_size(stream->input, 0);
	g_byte_array_append(stream->input, data, (guint)len);
}

static void begin_stream(direct_t *direct)
{
	size_t per_range = direct->cluster->params.endpoints_per_range;
	stream_t *stream = g_new0(stream_t, 1);
	char prompt[PROMPT_BYTES];

	stream->session = UINT64_C(1) << 40 | (uint64_t)g_get_monotonic_time();
	stream->session += ++direct->started;
	stream->engine_index = direct->started % per_range;
	stream->input = g_byte_array_new();
	stream->began_us = g_get_monotonic_time();
	g_snprintf(prompt, sizeof(prompt), "quote %u", direct->started);
	set_input(stream, prompt, strlen(prompt));
	direct->open++;
	g_ptr_array_add(target_of(direct, stream)->waiting, stream);
}

static void end_stream(direct_t *direct, stream_t *stream)
{
	g_byte_array_free(stream->input, TRUE);
	g_free(stream);
	direct->open--;
	if (direct->started < direct->total)
		begin_stream(direct);
}

static void encode_batch(direct_t *direct, target_t *target)
{
	guint count = target->running->len;
	engine_step_t *steps = g_new0(engine_step_t, count);
	msg_position_t *positions = g_new0(msg_position_t, count);
	const engine_batch_t batch = { steps, count };

	for (guint i = 0; i < count; i++) {
		const stream_t *stream = g_ptr_array_index(target->running, i);

		positions[i].activations =
			(bytes_t){ stream->input->data, stream->input->len };
		steps[i] = (engine_step_t){
			.session = stream->session,
			.sequence = 1,
			.attempt = 1,
			.first_layer = target->first_layer,
			.end_layer = target->end_layer,
			.first_position = stream->position,
			.positions = &positions[i],
			.position_count = 1,
			.first_range = target->first_layer == 0,
			.last_range = target->end_layer ==
				      direct->cluster->params.layers,
		};
	}
	msgpack_sbuffer_clear(&target->body);
	codec_encode(&engine_batch_desc, &batch, &target->body);
	g_free(steps);
	g_free(positions);
}

static void send_batch(direct_t *direct, target_t *target)
{
	GPtrArray *batch = target->waiting;

	target->waiting = target->running;
	target->running = batch;
	encode_batch(direct, target);
	g_byte_array_set_size(target->reply, 0);
	curl_easy_setopt(target->easy, CURLOPT_POSTFIELDSIZE,
			 (long)target->body.size);
	curl_easy_setopt(target->easy, CURLOPT_POSTFIELDS, target->body.data);
	curl_multi_add_handle(direct->multi, target->easy);
}

static void take_token(direct_t *direct, stream_t *stream,
		       const engine_result_t *result)
{
	int64_t now_us = g_get_monotonic_time();
	bench_run_t *run = direct->run;

	if (stream->position == 0)
		bench_sample(run->first_token_ms,
			     (double)(now_us - stream->began_us) * MS_PER_US);
	else
		bench_sample(run->interval_ms,
			     (double)(now_us - stream->token_us) * MS_PER_US);
	stream->token_us = now_us;
	run->tokens++;
	if (result->last) {
		end_stream(direct, stream);
		return;
	}
	stream->position++;
	stream->hop = 0;
	set_input(stream, result->text, strlen(result->text));
	g_ptr_array_add(target_of(direct, stream)->waiting, stream);
}

static void take_result(direct_t *direct, stream_t *stream,
			const engine_result_t *result)
{
	if (!result->ok)
		g_error("the engine refused a step: %s", result->reason);
	if (result->position_count == 0) {
		take_token(direct, stream, result);
		return;
	}
	set_input(stream, result->positions[0].activations.data,
		  result->positions[0].activations.len);
	stream->hop++;
	g_ptr_array_add(target_of(direct, stream)->waiting, stream);
}

static void take_reply(direct_t *direct, target_t *target)
{
	err_t err = { .code = ERR_NONE };
	engine_reply_t reply;
	msgpack_zone zone;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!codec_decode(&engine_reply_desc, target->reply->data,
			  target->reply->len, &zone, &reply, &err) ||
	    reply.result_count != target->running->len)
		g_error("the engine's reply is not valid: %s", err.text);
	for (size_t i = 0; i < reply.result_count; i++)
		take_result(direct, g_ptr_array_index(target->running, i),
			    &reply.results[i]);
	g_ptr_array_set_size(target->running, 0);
	msgpack_zone_destroy(&zone);
}

static void take_replies(direct_t *direct)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(direct->multi, &left)) != NULL) {
		CURL *easy = message->easy_handle;
		char *user = NULL;

		if (message->data.result != CURLE_OK)
			g_error("an engine does not answer");
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
		curl_multi_remove_handle(direct->multi, easy);
		take_reply(direct, (target_t *)(void *)user);
	}
}

static void drive(direct_t *direct)
{
	int running;

	while (direct->open > 0) {
		for (size_t i = 0; i < direct->target_count; i++)
			if (direct->targets[i].running->len == 0 &&
			    direct->targets[i].waiting->len > 0)
				send_batch(direct, &direct->targets[i]);
		curl_multi_perform(direct->multi, &running);
		take_replies(direct);
		if (direct->open > 0)
			curl_multi_poll(direct->multi, NULL, 0,
					running > 0 ? POLL_MS : 0, NULL);
	}
}

/* Runs "total" streams, "concurrent" at a time, and adds to "run". */
void direct_run(const cluster_t *cluster, uint32_t concurrent, uint32_t total,
		bench_run_t *run)
{
	direct_t direct = { .cluster = cluster, .total = total, .run = run };
	int64_t began_us = g_get_monotonic_time();

	direct.multi = curl_multi_init();
	direct.target_count =
		cluster->params.ranges * cluster->params.endpoints_per_range;
	direct.targets = g_new0(target_t, direct.target_count);
	for (size_t i = 0; i < direct.target_count; i++)
		init_target(&direct, i);
	for (uint32_t i = 0; i < concurrent && i < total; i++)
		begin_stream(&direct);
	drive(&direct);
	run->seconds += (double)(g_get_monotonic_time() - began_us) * 1e-6;
	for (size_t i = 0; i < direct.target_count; i++)
		finish_target(&direct.targets[i]);
	g_free(direct.targets);
	curl_multi_cleanup(direct.multi);
}
