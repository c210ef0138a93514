/*
 * Writes spans as OTLP JSON lines: one ExportTraceServiceRequest per line, as
 * the OpenTelemetry file exporter does.  Threads queue spans in a bounded
 * lock-free ring (ck_ring, many producers, one consumer).  If the ring is full,
 * the span is dropped and counted, so that tracing never blocks traffic.
 */
#include "wisteria/trace/trace_writer.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ck_ring.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <semaphore.h>
#include <sodium.h>

#include "wisteria/base/err.h"

#define TRACE_QUEUE_CAPACITY 4096

struct trace_writer_t {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
	FILE *out;
	char *instance;
	char *role;
	pthread_t thread;
	sem_t wakeup;
	atomic_bool is_closing;
	atomic_uint_fast64_t dropped;
};

static void set_hex(json_t *object, const char *key, const uint8_t *bytes,
		    size_t len)
{
	char hex[2 * TRACE_ID_BYTES + 1];

	sodium_bin2hex(hex, sizeof(hex), bytes, len);
	json_object_set_new(object, key, json_string(hex));
}

/* OTLP JSON encodes 64-bit integers as strings. */
static void set_u64(json_t *object, const char *key, uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, (guint64)value);
	json_object_set_new(object, key, json_string(text));
}

static json_t *make_text_attribute(const char *key, const char *text)
{
	json_t *value = json_string(text);

	if (value == NULL)
		value = json_string("(not UTF-8)");
	return json_pack("{s:s, s:{s:o}}", "key", key, "value", "stringValue",
			 value);
}

static json_t *make_attribute(const trace_attribute_t *attribute)
{
	char number[24];

	if (attribute->kind == TRACE_ATTRIBUTE_TEXT)
		return make_text_attribute(attribute->key, attribute->text);
	snprintf(number, sizeof(number), "%" G_GINT64_FORMAT,
		 (gint64)attribute->number);
	return json_pack("{s:s, s:{s:s}}", "key", attribute->key, "value",
			 "intValue", number);
}

static json_t *make_span_json(const span_t *span)
{
	json_t *object = json_object();
	json_t *attributes = json_array();

	set_hex(object, "traceId", span->context.trace_id, TRACE_ID_BYTES);
	set_hex(object, "spanId", span->context.span_id, TRACE_SPAN_ID_BYTES);
	if (!sodium_is_zero(span->parent_id, TRACE_SPAN_ID_BYTES))
		set_hex(object, "parentSpanId", span->parent_id,
			TRACE_SPAN_ID_BYTES);
	json_object_set_new(object, "name", json_string(span->name));
	json_object_set_new(object, "kind", json_integer(1));
	set_u64(object, "startTimeUnixNano", span->start_ns);
	set_u64(object, "endTimeUnixNano", span->end_ns);
	for (uint32_t i = 0; i < span->attribute_count; i++)
		json_array_append_new(attributes,
				      make_attribute(&span->attributes[i]));
	json_object_set_new(object, "attributes", attributes);
	if (span->is_error)
		json_object_set_new(object, "status",
				    json_pack("{s:i}", "code", 2));
	return object;
}

/*
 * Returns the span as one line of OTLP JSON, without a newline; the caller
 * frees it with free().
 */
char *trace_render_span(const span_t *span, const char *instance,
			const char *role)
{
	json_t *line =
		json_pack("{s:[{s:{s:[o,o]}, s:[{s:{s:s}, s:[o]}]}]}",
			  "resourceSpans", "resource", "attributes",
			  make_text_attribute("service.name", role),
			  make_text_attribute("service.instance.id", instance),
			  "scopeSpans", "scope", "name", "wisteria", "spans",
			  make_span_json(span));
	char *text = json_dumps(line, JSON_COMPACT);

	json_decref(line);
	return text;
}

static void write_span(trace_writer_t *writer, span_t *span)
{
	char *line = trace_render_span(span, writer->instance, writer->role);

	fprintf(writer->out, "%s\n", line);
	free(line);
	g_free(span);
}

static void write_queued_spans(trace_writer_t *writer)
{
	span_t *span;

	while (ck_ring_dequeue_mpsc(&writer->ring, writer->buffer, &span))
		write_span(writer, span);
	fflush(writer->out);
}

static void *run_writer_thread(void *data)
{
	trace_writer_t *writer = data;

	while (!atomic_load(&writer->is_closing)) {
		sem_wait(&writer->wakeup);
		write_queued_spans(writer);
	}
	write_queued_spans(writer);
	return NULL;
}

static void free_writer(trace_writer_t *writer)
{
	sem_destroy(&writer->wakeup);
	fclose(writer->out);
	g_free(writer->buffer);
	g_free(writer->instance);
	g_free(writer->role);
	g_aligned_free(writer);
}

/*
 * Opens "path" for appending and starts the writer thread.  "role" is the
 * service name in the file.  Returns NULL and sets "err" on failure.
 */
trace_writer_t *trace_writer_new(const char *path, const char *instance,
				 const char *role, err_t *err)
{
	trace_writer_t *writer;
	FILE *out = fopen(path, "ae");

	if (out == NULL) {
		err_set(err, ERR_IO, "open_trace", path, "cannot open: %m");
		return NULL;
	}
	writer = g_aligned_alloc0(1, sizeof(*writer), CK_MD_CACHELINE);
	writer->out = out;
	writer->instance = g_strdup(instance);
	writer->role = g_strdup(role);
	writer->buffer = g_new0(ck_ring_buffer_t, TRACE_QUEUE_CAPACITY);
	ck_ring_init(&writer->ring, TRACE_QUEUE_CAPACITY);
	sem_init(&writer->wakeup, 0, 0);
	if (pthread_create(&writer->thread, NULL, run_writer_thread, writer) ==
	    0)
		return writer;
	err_set(err, ERR_NO_MEMORY, "open_trace", path,
		"cannot start the writer thread");
	free_writer(writer);
	return NULL;
}

/*
 * Writes the queued spans, closes the file and frees "writer", which may be
 * NULL.  No other thread may add spans any more.
 */
void trace_writer_free(trace_writer_t *writer)
{
	if (writer == NULL)
		return;
	atomic_store(&writer->is_closing, true);
	sem_post(&writer->wakeup);
	pthread_join(writer->thread, NULL);
	free_writer(writer);
}

/*
 * Queues a copy of "span" for writing, or drops it if the queue is full.  May
 * be called on any thread.
 */
void trace_writer_add(trace_writer_t *writer, const span_t *span)
{
	span_t *copy = g_memdup2(span, sizeof(*span));

	if (!ck_ring_enqueue_mpsc(&writer->ring, writer->buffer, copy)) {
		g_free(copy);
		atomic_fetch_add(&writer->dropped, 1);
		return;
	}
	sem_post(&writer->wakeup);
}

/* Returns the number of spans dropped because the queue was full. */
uint64_t trace_writer_dropped(const trace_writer_t *writer)
{
	return atomic_load(&writer->dropped);
}
