/* The trace command: draws a trace from several files as a waterfall. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "cli/commands.h"
#include "cli/output.h"

#define TRACE_BAR_CELLS 40
#define TRACE_DEPTH_MAX 32

/* One span as read; its strings are owned by "json". */
typedef struct {
	json_t *json; /* the span object; holds a reference */
	const char *id;
	const char *parent;
	const char *name;
	const char *instance;
	uint64_t start_ns;
	uint64_t end_ns;
} trace_span_t;

static const char *string_member(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

static const char *instance_of(const json_t *resource_span)
{
	const json_t *list = json_object_get(
		json_object_get(resource_span, "resource"), "attributes");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *attribute = json_array_get(list, i);

		if (strcmp(string_member(attribute, "key"),
			   "service.instance.id") == 0)
			return string_member(
				json_object_get(attribute, "value"),
				"stringValue");
	}
	return "-";
}

static void add_span(GArray *spans, json_t *json, const char *instance,
		     const char *trace_id)
{
	trace_span_t span = {
		.json = json,
		.id = string_member(json, "spanId"),
		.parent = string_member(json, "parentSpanId"),
		.name = string_member(json, "name"),
		.start_ns = strtoull(string_member(json, "startTimeUnixNano"),
				     NULL, 10),
		.end_ns = strtoull(string_member(json, "endTimeUnixNano"), NULL,
				   10),
	};

	if (strcmp(string_member(json, "traceId"), trace_id) != 0)
		return;
	json_incref(json);
	json_object_set_new(json, "instance", json_string(instance));
	span.instance = string_member(json, "instance");
	if (span.end_ns < span.start_ns)
		span.end_ns = span.start_ns;
	g_array_append_val(spans, span);
}

static void add_scope(GArray *spans, const json_t *scope, const char *instance,
		      const char *trace_id)
{
	const json_t *list = json_object_get(scope, "spans");

	for (size_t i = 0; i < json_array_size(list); i++)
		add_span(spans, json_array_get(list, i), instance, trace_id);
}

static void add_line(GArray *spans, const json_t *line, const char *trace_id)
{
	const json_t *list = json_object_get(line, "resourceSpans");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *resource_span = json_array_get(list, i);
		const json_t *scopes =
			json_object_get(resource_span, "scopeSpans");

		for (size_t j = 0; j < json_array_size(scopes); j++)
			add_scope(spans, json_array_get(scopes, j),
				  instance_of(resource_span), trace_id);
	}
}

/*
 * Adds the spans of one file.  A line that isn't valid JSON, such as a last
 * line cut short, is skipped.
 */
static bool read_file(GArray *spans, const char *path, const char *trace_id)
{
	FILE *file = fopen(path, "re");
	char *line = NULL;
	size_t size = 0;

	if (file == NULL) {
		fprintf(stderr, "wisteriactl: %s: %m\n", path);
		return false;
	}
	while (getline(&line, &size, file) > 0) {
		json_t *json;

		if (strstr(line, trace_id) == NULL)
			continue;
		json = json_loads(line, 0, NULL);
		add_line(spans, json, trace_id);
		json_decref(json);
	}
	free(line);
	fclose(file);
	return true;
}

static int compare_spans(const void *left, const void *right)
{
	const trace_span_t *a = left;
	const trace_span_t *b = right;

	if (a->start_ns != b->start_ns)
		return a->start_ns < b->start_ns ? -1 : 1;
	return strcmp(a->id, b->id);
}

static bool has_span(const GArray *spans, const char *id)
{
	for (guint i = 0; i < spans->len; i++)
		if (strcmp(g_array_index(spans, trace_span_t, i).id, id) == 0)
			return true;
	return false;
}

static void draw_bar(const trace_span_t *span, uint64_t trace_start_ns,
		     uint64_t trace_end_ns)
{
	double scale = (double)TRACE_BAR_CELLS /
		       (double)(trace_end_ns > trace_start_ns
					? trace_end_ns - trace_start_ns
					: 1);
	int first = (int)((double)(span->start_ns - trace_start_ns) * scale);
	int last = (int)((double)(span->end_ns - trace_start_ns) * scale);

	putchar('|');
	for (int i = 0; i < TRACE_BAR_CELLS; i++)
		putchar(i == first || (i > first && i < last) ? '=' : ' ');
	putchar('|');
}

static void draw_span(const trace_span_t *span, unsigned depth,
		      uint64_t trace_start_ns, uint64_t trace_end_ns)
{
	draw_bar(span, trace_start_ns, trace_end_ns);
	printf(" %9.3f ms  %*s%s  (%s)\n",
	       (double)(span->end_ns - span->start_ns) / 1e6, (int)(2 * depth),
	       "", span->name, span->instance);
}

/*
 * Draws the children of "parent" by start time, each with its descendants.
 * Spans at a depth of TRACE_DEPTH_MAX or more are omitted.
 */
static void draw_children(const GArray *spans, const char *parent,
			  unsigned depth, uint64_t trace_start_ns,
			  uint64_t trace_end_ns)
{
	if (depth == TRACE_DEPTH_MAX)
		return;
	for (guint i = 0; i < spans->len; i++) {
		const trace_span_t *span =
			&g_array_index(spans, trace_span_t, i);

		if (strcmp(span->parent, parent) != 0)
			continue;
		draw_span(span, depth, trace_start_ns, trace_end_ns);
		draw_children(spans, span->id, depth + 1, trace_start_ns,
			      trace_end_ns);
	}
}

/* Draws the trace; a span whose parent is in none of the files is a root. */
static void draw_trace(const GArray *spans)
{
	uint64_t trace_start_ns =
		g_array_index(spans, trace_span_t, 0).start_ns;
	uint64_t trace_end_ns = 0;

	for (guint i = 0; i < spans->len; i++) {
		const trace_span_t *span =
			&g_array_index(spans, trace_span_t, i);

		if (span->end_ns > trace_end_ns)
			trace_end_ns = span->end_ns;
	}
	for (guint i = 0; i < spans->len; i++) {
		const trace_span_t *span =
			&g_array_index(spans, trace_span_t, i);

		if (span->parent[0] != '\0' && has_span(spans, span->parent))
			continue;
		draw_span(span, 0, trace_start_ns, trace_end_ns);
		draw_children(spans, span->id, 1, trace_start_ns, trace_end_ns);
	}
}

static void print_spans_json(const GArray *spans)
{
	json_t *list = json_array();

	for (guint i = 0; i < spans->len; i++)
		json_array_append(list,
				  g_array_index(spans, trace_span_t, i).json);
	output_json(json_pack("{s:o}", "spans", list));
}

static cli_exit_t show_spans(const cli_options_t *options, GArray *spans,
			     const char *trace_id)
{
	if (spans->len == 0) {
		fprintf(stderr,
			"wisteriactl: no span of trace %s in these files\n",
			trace_id);
		return CLI_REFUSED;
	}
	qsort(spans->data, spans->len, sizeof(trace_span_t), compare_spans);
	if (options->json)
		print_spans_json(spans);
	else
		draw_trace(spans);
	return CLI_OK;
}

/* Draws the trace with id args[0] from the files in the other arguments. */
CLI_COMMAND(cli_trace)
{
	GArray *spans = g_array_new(FALSE, TRUE, sizeof(trace_span_t));
	cli_exit_t code = CLI_OK;

	for (unsigned i = 1; i < arg_count && code == CLI_OK; i++)
		if (!read_file(spans, args[i], args[0]))
			code = CLI_USAGE;
	if (code == CLI_OK)
		code = show_spans(options, spans, args[0]);
	for (guint i = 0; i < spans->len; i++)
		json_decref(g_array_index(spans, trace_span_t, i).json);
	g_array_free(spans, TRUE);
	return code;
}
