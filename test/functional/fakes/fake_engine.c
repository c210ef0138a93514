/*
 * Fake model engines, each of which holds one range of layers.  Every --listen
 * adds an engine with the options given before it.  An engine runs steps in
 * the order in which they arrive and does not check that positions are
 * consecutive: a fault of the router shows in the journal and in the answer.
 *
 * PUT /fake?step_us=N&hang=0|1&junk=0|1 reconfigures a running engine.
 */
#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include <microhttpd.h>
#include <msgpack.h>

#include "answer.h"
#include "stop_signals.h"
#include "wisteria/agent/engine_wire.h"
#include "wisteria/codec/codec.h"
#include "wisteria/net/net.h"

#define FAKE_ENGINES_MAX 128
#define FAKE_HANG_POLL_US 20000
/* More than the agent accepts; then the response hangs. */
#define FAKE_JUNK_BYTES (80u << 20)
#define FAKE_JUNK_BLOCK_BYTES (64u << 10)
#define FENCING_HEADER "X-Fencing-Number"

typedef struct {
	char *listen;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t layers;
	uint32_t step_us;
	uint32_t batch_step_us;
	uint32_t slots;
	uint32_t activation_bytes;
	bool ignore_fencing;
	struct MHD_Daemon *daemon;
	pthread_mutex_t batch_lock; /* held while a batch runs */
	pthread_mutex_t lock;	    /* protects sequences and fencing_token */
	GHashTable *sequences;
	uint64_t fencing_token;
	bool hang;
	bool junk; /* answers steps with bytes that are no reply */
} engine_t;

typedef struct {
	uint64_t session;
	uint32_t sequence;
	uint32_t first_layer;
	uint32_t position_count;
	uint32_t token_count;
	uint64_t *states;
} sequence_t;

typedef struct {
	engine_t *engine;
	GByteArray *body;
} request_t;

typedef enum MHD_Result (*route_run_t)(struct MHD_Connection *connection,
				       request_t *request);

static engine_t engines[FAKE_ENGINES_MAX];
static size_t engine_count;
static engine_t defaults = { .end_layer = 1, .step_us = 1000, .slots = 64 };
static FILE *journal;
static pthread_mutex_t journal_lock = PTHREAD_MUTEX_INITIALIZER;

static guint sequence_hash(gconstpointer key)
{
	const sequence_t *sequence = key;

	return (guint)answer_hash(sequence->session, sequence->sequence,
				  sequence->first_layer);
}

static gboolean sequence_equal(gconstpointer a, gconstpointer b)
{
	const sequence_t *left = a;
	const sequence_t *right = b;

	return left->session == right->session &&
	       left->sequence == right->sequence &&
	       left->first_layer == right->first_layer;
}

static void sequence_free(gpointer data)
{
	sequence_t *sequence = data;

	g_free(sequence->states);
	g_free(sequence);
}

static sequence_t *find_sequence(engine_t *engine, const engine_step_t *step)
{
	const sequence_t key = { .session = step->session,
				 .sequence = step->sequence,
				 .first_layer = step->first_layer };
	sequence_t *sequence = g_hash_table_lookup(engine->sequences, &key);

	if (sequence != NULL)
		return sequence;
	sequence = g_new0(sequence_t, 1);
	*sequence = key;
	sequence->states =
		g_new0(uint64_t, step->end_layer - step->first_layer);
	g_hash_table_add(engine->sequences, sequence);
	return sequence;
}

static bool has_sequence(engine_t *engine, const engine_step_t *step)
{
	const sequence_t key = { .session = step->session,
				 .sequence = step->sequence,
				 .first_layer = step->first_layer };

	return g_hash_table_contains(engine->sequences, &key);
}

static bool has_slot(engine_t *engine, const engine_step_t *step)
{
	return has_sequence(engine, step) ||
	       g_hash_table_size(engine->sequences) < engine->slots;
}

static void write_journal(const engine_t *engine, const engine_step_t *step,
			  uint32_t position)
{
	if (journal == NULL)
		return;
	pthread_mutex_lock(&journal_lock);
	fprintf(journal,
		"%" PRIu64 " %" PRIu32 " %" PRIu32 " %" PRIu32 " %" PRIu32
		" %" PRIu32 " %s\n",
		step->session, step->attempt, position, step->first_layer,
		step->end_layer, step->sequence, engine->listen);
	fflush(journal);
	pthread_mutex_unlock(&journal_lock);
}

static uint64_t read_input(const engine_step_t *step,
			   const msg_position_t *position)
{
	uint64_t value = 0;

	if (step->has_first_layer)
		return answer_embed(position->activations.data,
				    position->activations.len);
	if (position->activations.len >= sizeof(value))
		memcpy(&value, position->activations.data, sizeof(value));
	return value;
}

static uint64_t run_position(engine_t *engine, const engine_step_t *step,
			     uint32_t index)
{
	sequence_t *sequence = find_sequence(engine, step);
	uint64_t value = read_input(step, &step->positions[index]);

	for (uint32_t layer = step->first_layer; layer < step->end_layer;
	     layer++)
		value = answer_run_layer(
			&sequence->states[layer - step->first_layer], layer,
			value);
	if (sequence->position_count++ == 0)
		sequence->token_count = answer_token_count(value);
	write_journal(engine, step, step->first_position + index);
	return value;
}

static bytes_t write_output(engine_t *engine, msgpack_zone *zone,
			    uint64_t value)
{
	size_t len = sizeof(value) + engine->activation_bytes;
	uint8_t *data = msgpack_zone_malloc(zone, len);

	memset(data, 0, len);
	memcpy(data, &value, sizeof(value));
	return (bytes_t){ data, len };
}

static void run_step(engine_t *engine, const engine_step_t *step,
		     msgpack_zone *zone, engine_result_t *result)
{
	msg_position_t *positions = msgpack_zone_malloc(
		zone, (step->position_count + 1) * sizeof(*positions));
	char *text = msgpack_zone_malloc(zone, ANSWER_TOKEN_BYTES);
	const sequence_t *sequence;
	uint64_t value = 0;

	text[0] = '\0';
	*result = (engine_result_t){ .session = step->session,
				     .sequence = step->sequence,
				     .first_layer = step->first_layer };
	result->text = text;
	if (step->first_layer != engine->first_layer ||
	    step->end_layer != engine->end_layer) {
		result->reason = "other layers than these";
		return;
	}
	if (engine->layers != 0 &&
	    step->has_last_layer != (step->end_layer == engine->layers)) {
		result->reason = "wrong about the last layer";
		return;
	}
	if (step->first_position > 0 && !has_sequence(engine, step)) {
		result->reason = "unknown sequence";
		return;
	}
	if (!has_slot(engine, step)) {
		result->reason = "no free slot";
		return;
	}
	for (uint32_t i = 0; i < step->position_count; i++) {
		value = run_position(engine, step, i);
		positions[i].activations = write_output(engine, zone, value);
	}
	result->ok = true;
	sequence = find_sequence(engine, step);
	if (step->has_last_layer) {
		answer_token(value, text);
		result->last =
			sequence->position_count >= sequence->token_count;
		return;
	}
	result->positions = positions;
	result->position_count = step->position_count;
}

static void sleep_us(uint64_t us)
{
	struct timespec wait = { .tv_sec = (time_t)(us / 1000000),
				 .tv_nsec = (long)(us % 1000000) * 1000 };

	while (nanosleep(&wait, &wait) != 0 && errno == EINTR)
		continue;
}

/*
 * Sleeps for the time that a batch of this size takes on the accelerator, and
 * then for as long as the engine is set to hang.  With a "step_us" of 0, a
 * batch of any size takes no time.
 */
static void simulate_latency(engine_t *engine, size_t position_count)
{
	if (engine->step_us > 0)
		sleep_us(engine->step_us +
			 (uint64_t)engine->batch_step_us * position_count);
	while (__atomic_load_n(&engine->hang, __ATOMIC_ACQUIRE))
		sleep_us(FAKE_HANG_POLL_US);
}

static enum MHD_Result respond(struct MHD_Connection *connection,
			       unsigned int status, const void *body,
			       size_t len)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result =
		MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result respond_text(struct MHD_Connection *connection,
				    unsigned int status, const char *text)
{
	return respond(connection, status, text, strlen(text));
}

static ssize_t read_junk(void *closure, uint64_t position, char *out,
			 size_t size)
{
	engine_t *engine = closure;

	while (position >= FAKE_JUNK_BYTES &&
	       __atomic_load_n(&engine->junk, __ATOMIC_ACQUIRE))
		sleep_us(FAKE_HANG_POLL_US);
	if (position >= FAKE_JUNK_BYTES)
		return MHD_CONTENT_READER_END_OF_STREAM;
	memset(out, 'z', size);
	return (ssize_t)size;
}

static enum MHD_Result respond_junk(struct MHD_Connection *connection,
				    engine_t *engine)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, FAKE_JUNK_BLOCK_BYTES, read_junk, engine,
		NULL);
	enum MHD_Result result = MHD_queue_response(connection, 200, response);

	MHD_destroy_response(response);
	return result;
}

static void run_batch(engine_t *engine, const engine_batch_t *batch,
		      msgpack_zone *zone, msgpack_sbuffer *out)
{
	engine_result_t *results = g_new0(engine_result_t, batch->step_count);
	const engine_reply_t reply = { results, batch->step_count };
	size_t position_count = 0;

	for (size_t i = 0; i < batch->step_count; i++)
		position_count += batch->steps[i].position_count;
	pthread_mutex_lock(&engine->batch_lock);
	simulate_latency(engine, position_count);
	pthread_mutex_lock(&engine->lock);
	for (size_t i = 0; i < batch->step_count; i++)
		run_step(engine, &batch->steps[i], zone, &results[i]);
	pthread_mutex_unlock(&engine->lock);
	pthread_mutex_unlock(&engine->batch_lock);
	codec_encode(&engine_reply_desc, &reply, out);
	g_free(results);
}

static enum MHD_Result on_steps(struct MHD_Connection *connection,
				request_t *request)
{
	engine_batch_t batch;
	msgpack_sbuffer out;
	msgpack_zone zone;
	enum MHD_Result result;
	err_t err = { .code = ERR_NONE };

	if (__atomic_load_n(&request->engine->junk, __ATOMIC_ACQUIRE))
		return respond_junk(connection, request->engine);
	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!codec_decode(&engine_batch_desc, request->body->data,
			  request->body->len, &zone, &batch, &err)) {
		msgpack_zone_destroy(&zone);
		return respond_text(connection, 400, err.text);
	}
	msgpack_sbuffer_init(&out);
	run_batch(request->engine, &batch, &zone, &out);
	result = respond(connection, 200, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
	msgpack_zone_destroy(&zone);
	return result;
}

static enum MHD_Result on_forget(struct MHD_Connection *connection,
				 request_t *request)
{
	engine_t *engine = request->engine;
	engine_forget_t forget;
	sequence_t key = { 0 };
	msgpack_zone zone;
	bool decoded;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	decoded = codec_decode(&engine_forget_desc, request->body->data,
			       request->body->len, &zone, &forget, NULL);
	msgpack_zone_destroy(&zone);
	if (!decoded)
		return respond_text(connection, 400, "not a forget request");
	key.session = forget.session;
	key.sequence = forget.sequence;
	key.first_layer = forget.first_layer;
	pthread_mutex_lock(&engine->lock);
	g_hash_table_remove(engine->sequences, &key);
	pthread_mutex_unlock(&engine->lock);
	return respond_text(connection, 200, "");
}

static enum MHD_Result on_health(struct MHD_Connection *connection,
				 request_t *request)
{
	if (__atomic_load_n(&request->engine->hang, __ATOMIC_ACQUIRE))
		return respond_text(connection, 503, "hanging\n");
	return respond_text(connection, 200, "running\n");
}

static enum MHD_Result on_order(struct MHD_Connection *connection,
				request_t *request)
{
	const char *header = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, FENCING_HEADER);
	uint64_t fencing_token =
		header == NULL ? 0 : g_ascii_strtoull(header, NULL, 10);
	engine_t *engine = request->engine;
	bool is_stale;

	pthread_mutex_lock(&engine->lock);
	is_stale = fencing_token < engine->fencing_token &&
		   !engine->ignore_fencing;
	if (fencing_token > engine->fencing_token)
		engine->fencing_token = fencing_token;
	pthread_mutex_unlock(&engine->lock);
	if (is_stale)
		return respond_text(connection, 409, "old fencing number\n");
	if (journal != NULL) {
		pthread_mutex_lock(&journal_lock);
		fprintf(journal, "order %s %" PRIu64 " %.*s\n", engine->listen,
			fencing_token, (int)request->body->len,
			request->body->data);
		fflush(journal);
		pthread_mutex_unlock(&journal_lock);
	}
	return respond_text(connection, 200, "done\n");
}

static enum MHD_Result on_fake(struct MHD_Connection *connection,
			       request_t *request)
{
	engine_t *engine = request->engine;
	const char *step_us = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "step_us");
	const char *hang = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "hang");
	const char *junk = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "junk");

	if (step_us != NULL)
		__atomic_store_n(&engine->step_us,
				 (uint32_t)g_ascii_strtoull(step_us, NULL, 10),
				 __ATOMIC_RELEASE);
	if (hang != NULL)
		__atomic_store_n(&engine->hang, hang[0] == '1',
				 __ATOMIC_RELEASE);
	if (junk != NULL)
		__atomic_store_n(&engine->junk, junk[0] == '1',
				 __ATOMIC_RELEASE);
	return respond_text(connection, 200, "changed\n");
}

static const struct {
	const char *path;
	route_run_t run;
} routes[] = {
	{ ENGINE_STEPS_PATH, on_steps },
	{ ENGINE_FORGET_PATH, on_forget },
	{ ENGINE_HEALTH_PATH, on_health },
	{ ENGINE_ORDERS_PATH, on_order },
	{ "/fake", on_fake },
};

static enum MHD_Result on_request(void *closure,
				  struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_len, void **state)
{
	request_t *request = *state;

	(void)method;
	(void)version;
	if (request == NULL) {
		request = g_new0(request_t, 1);
		request->engine = closure;
		request->body = g_byte_array_new();
		*state = request;
		return MHD_YES;
	}
	if (*data_len > 0) {
		g_byte_array_append(request->body, (const guint8 *)data,
				    (guint)*data_len);
		*data_len = 0;
		return MHD_YES;
	}
	for (size_t i = 0; i < ARRAY_SIZE(routes); i++)
		if (strcmp(url, routes[i].path) == 0)
			return routes[i].run(connection, request);
	return respond_text(connection, 404, "no such path\n");
}

static void on_completed(void *closure, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	request_t *request = *state;

	(void)closure;
	(void)connection;
	(void)code;
	if (request == NULL)
		return;
	g_byte_array_free(request->body, TRUE);
	g_free(request);
	*state = NULL;
}

static void start_engine(engine_t *engine)
{
	struct sockaddr_storage address;
	err_t err = { .code = ERR_NONE };

	if (!net_parse_address(engine->listen, &address, &err)) {
		fprintf(stderr, "fake_engine: %s: %s\n", engine->listen,
			err.text);
		exit(2);
	}
	pthread_mutex_init(&engine->batch_lock, NULL);
	pthread_mutex_init(&engine->lock, NULL);
	engine->sequences = g_hash_table_new_full(sequence_hash, sequence_equal,
						  sequence_free, NULL);
	engine->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			MHD_USE_THREAD_PER_CONNECTION,
		0, NULL, NULL, on_request, engine, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (engine->daemon == NULL) {
		fprintf(stderr, "fake_engine: cannot listen on %s\n",
			engine->listen);
		exit(1);
	}
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	uint32_t number =
		text == NULL ? 0 : (uint32_t)g_ascii_strtoull(text, NULL, 10);

	switch (key) {
	case 'l':
		if (engine_count == FAKE_ENGINES_MAX)
			argp_error(state, "too many engines");
		engines[engine_count] = defaults;
		engines[engine_count++].listen = text;
		return 0;
	case 'f':
		defaults.first_layer = number;
		return 0;
	case 'e':
		defaults.end_layer = number;
		return 0;
	case 'n':
		defaults.layers = number;
		return 0;
	case 's':
		defaults.step_us = number;
		return 0;
	case 'b':
		defaults.batch_step_us = number;
		return 0;
	case 'c':
		defaults.slots = number;
		return 0;
	case 'a':
		defaults.activation_bytes = number;
		return 0;
	case 'i':
		defaults.ignore_fencing = true;
		return 0;
	case 'j':
		journal = fopen(text, "ae");
		if (journal == NULL)
			argp_failure(state, 1, errno, "%s", text);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Add an engine", 0 },
	{ "first-layer", 'f', "N", 0, "First layer", 0 },
	{ "end-layer", 'e', "N", 0, "One past the last layer", 0 },
	{ "layers", 'n', "N", 0, "Layers of the model", 0 },
	{ "step-us", 's', "US", 0, "Time of one batch", 0 },
	{ "batch-step-us", 'b', "US", 0, "More, for each position", 0 },
	{ "slots", 'c', "N", 0, "Sequences at a time", 0 },
	{ "activation-bytes", 'a', "N", 0, "Padding of an activation", 0 },
	{ "ignore-fencing", 'i', NULL, 0, "Take orders of any fence", 0 },
	{ "journal", 'j', "FILE", 0, "Append a line for each position", 0 },
	{ 0 },
};

int main(int argc, char **argv)
{
	const struct argp argp = { options, parse_option,
				   NULL,    "Stand-ins for model engines.",
				   NULL,    NULL,
				   NULL };
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (engine_count == 0) {
		fprintf(stderr, "fake_engine: no --listen given\n");
		return 2;
	}
	fake_block_signals(&signals);
	for (size_t i = 0; i < engine_count; i++)
		start_engine(&engines[i]);
	fake_wait_for_signal(&signals);
	return 0;
}
