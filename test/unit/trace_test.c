/* Unit tests of spans, the traceparent header and the trace file. */
#include "unit.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/trace/trace.h"

#define TRACE_ID "4bf92f3577b34da6a3ce929d0e0e4736"
#define SPAN_ID "00f067aa0ba902b7"

/* The example header of the W3C Recommendation. */
static void test_traceparent(void)
{
	static const char header[] = "00-" TRACE_ID "-" SPAN_ID "-01";
	char formatted[TRACEPARENT_LEN + 1];
	trace_context_t context;

	CU_ASSERT_FATAL(trace_parse_traceparent(header, &context));
	CU_ASSERT_TRUE(context.is_sampled);
	CU_ASSERT_EQUAL(context.trace_id[0], 0x4b);
	CU_ASSERT_EQUAL(context.span_id[7], 0xb7);
	trace_format_traceparent(&context, formatted);
	CU_ASSERT_STRING_EQUAL(formatted, header);
	CU_ASSERT_FATAL(trace_parse_traceparent(
		"00-" TRACE_ID "-" SPAN_ID "-00", &context));
	CU_ASSERT_FALSE(context.is_sampled);
	CU_ASSERT_TRUE(trace_parse_traceparent(
		"cc-" TRACE_ID "-" SPAN_ID "-01-what", &context));
}

static void test_invalid_traceparents(void)
{
	static const char *const headers[] = {
		"",
		"00",
		"ff-" TRACE_ID "-" SPAN_ID "-01",
		"00-" TRACE_ID "-" SPAN_ID "-01-more",
		"00-" TRACE_ID "-" SPAN_ID "-0",
		"00-" TRACE_ID "-" SPAN_ID "x01",
		"00-4BF92F3577B34DA6A3CE929D0E0E4736-" SPAN_ID "-01",
		"00-00000000000000000000000000000000-" SPAN_ID "-01",
		"00-" TRACE_ID "-0000000000000000-01",
		"0g-" TRACE_ID "-" SPAN_ID "-01",
	};
	trace_context_t context;

	for (size_t i = 0; i < ARRAY_SIZE(headers); i++)
		CU_ASSERT_FALSE(trace_parse_traceparent(headers[i], &context));
}

static char *write_spans(unsigned count, const char *text)
{
	char *path = NULL;
	err_t err = ERR_INIT;
	trace_writer_t *writer;
	span_t root;
	span_t child;

	g_close(g_file_open_tmp("trace_XXXXXX", &path, NULL), NULL);
	writer = trace_writer_new(path, "a1", "entry", &err);
	if (writer == NULL)
		abort();
	span_start_trace(&root, "request");
	for (unsigned i = 0; i < count; i++) {
		span_start(&child, &root.context, "queue");
		span_add_text(&child, "customer", text);
		span_add_number(&child, "index", i);
		span_end(&child, writer);
	}
	span_end(&root, writer);
	trace_writer_free(writer);
	return path;
}

static const json_t *first_span(const json_t *line)
{
	const json_t *resource =
		json_array_get(json_object_get(line, "resourceSpans"), 0);
	const json_t *scope =
		json_array_get(json_object_get(resource, "scopeSpans"), 0);

	return json_array_get(json_object_get(scope, "spans"), 0);
}

static void test_trace_file(void)
{
	char *path = write_spans(3, "loja \"A\"\n");
	gchar *text = NULL;
	gchar **lines;
	json_t *child;
	json_t *root;

	CU_ASSERT_FATAL(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	CU_ASSERT_EQUAL_FATAL(g_strv_length(lines), 5);
	child = json_loads(lines[0], 0, NULL);
	root = json_loads(lines[3], 0, NULL);
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(first_span(child), "name")),
		"queue");
	CU_ASSERT_STRING_EQUAL(
		json_string_value(
			json_object_get(first_span(child), "parentSpanId")),
		json_string_value(json_object_get(first_span(root), "spanId")));
	CU_ASSERT_PTR_NULL(json_object_get(first_span(root), "parentSpanId"));
	CU_ASSERT_PTR_NOT_NULL(strstr(lines[2], "\"intValue\":\"2\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(lines[0], "loja \\\"A\\\"\\n"));
	json_decref(child);
	json_decref(root);
	g_strfreev(lines);
	g_free(text);
	g_remove(path);
	g_free(path);
}

static void test_too_many_attributes(void)
{
	span_t span;

	span_start_trace(&span, "request");
	for (unsigned i = 0; i < TRACE_ATTRIBUTES_MAX + 3; i++)
		span_add_number(&span, "n", i);
	CU_ASSERT_EQUAL(span.attribute_count, TRACE_ATTRIBUTES_MAX);
	span_end(&span, NULL);
}

/* Every span is written or counted as dropped, whatever the writer's speed. */
static void test_full_queue_drops_and_counts(void)
{
	char *path = NULL;
	err_t err = ERR_INIT;
	trace_writer_t *writer;
	gchar *text = NULL;
	uint64_t written = 0;
	uint64_t dropped;
	span_t span;

	g_close(g_file_open_tmp("trace_XXXXXX", &path, NULL), NULL);
	writer = trace_writer_new(path, "a1", "entry", &err);
	if (writer == NULL)
		abort();
	span_start_trace(&span, "request");
	for (unsigned i = 0; i < 20000; i++)
		span_end(&span, writer);
	dropped = trace_writer_dropped(writer);
	trace_writer_free(writer);
	CU_ASSERT_FATAL(g_file_get_contents(path, &text, NULL, NULL));
	for (const char *at = text; *at != '\0'; at++)
		written += *at == '\n';
	CU_ASSERT_EQUAL(written + dropped, 20000);
	g_free(text);
	g_remove(path);
	g_free(path);
}

static void test_path_that_cannot_be_opened(void)
{
	err_t err = ERR_INIT;

	CU_ASSERT_PTR_NULL(
		trace_writer_new("/nonexistent/trace", "a1", "entry", &err));
	CU_ASSERT_EQUAL(err.code, ERR_IO);
}

static const unit_test_t tests[] = {
	{ "traceparent", test_traceparent },
	{ "invalid traceparents", test_invalid_traceparents },
	{ "trace file", test_trace_file },
	{ "too many attributes", test_too_many_attributes },
	{ "full queue drops and counts", test_full_queue_drops_and_counts },
	{ "path that cannot be opened", test_path_that_cannot_be_opened },
};

int main(void)
{
	return unit_run("trace", tests, ARRAY_SIZE(tests));
}
