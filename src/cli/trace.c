/* Draws one trace from the files of several processes as a waterfall. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "cli/commands.h"
#include "cli/output.h"

#define TRACE_BAR_CELLS 40
#define TRACE_DEPTH_MAX 32

/* One span as read; texts belong to the JSON of its line. */
typedef struct {
	json_t *json; /* the span's object, with a reference */
	const char *id;
	const char *parent;
	const char *name;
	const char *instance;
	uint64_t start_ns;
	uint64_t end_ns;
} drawn_span_t;

static const char *text_of(const json_t *object, const char *key)
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

		if (strcmp(text_of(attribute, "key"), "service.instance.id") ==
		    0)
			return text_of(json_object_get(attribute, "value"),
				       "stringValue");
	}
	return "-";
}

static void add_span(GArray *spans, json_t *json, const char *instance,
		     const char *trace_id)
{
	drawn_span_t span = {
		.json = json,
		.id = text_of(json, "spanId"),
		.parent = text_of(json, "parentSpanId"),
		.name = text_of(json, "name"),
		.start_ns =
			strtoull(text_of(json, "startTimeUnixNano"), NULL, 10),
		.end_ns = strtoull(text_of(json, "endTimeUnixNano"), NULL, 10),
	};

	if (strcmp(text_of(json, "traceId"), trace_id) != 0)
		return;
	json_incref(json);
	json_object_set_new(json, "instance", json_string(instance));
	span.instance = text_of(json, "instance");
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

/* Reads one file; a torn last line is passed over. */
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
	const drawn_span_t *a = left;
	const drawn_span_t *b = right;

	if (a->start_ns != b->start_ns)
		return a->start_ns < b->start_ns ? -1 : 1;
	return strcmp(a->id, b->id);
}

static bool has_span(const GArray *spans, const char *id)
{
	for (guint i = 0; i < spans->len; i++)
		if (strcmp(g_array_index(spans, drawn_span_t, i).id, id) == 0)
			return true;
	return false;
}

static void draw_bar(const drawn_span_t *span, uint64_t from_ns,
		     uint64_t until_ns)
{
	double scale = (double)TRACE_BAR_CELLS /
		       (double)(until_ns > from_ns ? until_ns - from_ns : 1);
	int first = (int)((double)(span->start_ns - from_ns) * scale);
	int last = (int)((double)(span->end_ns - from_ns) * scale);

	putchar('|');
	for (int i = 0; i < TRACE_BAR_CELLS; i++)
		putchar(i == first || (i > first && i < last) ? '=' : ' ');
	putchar('|');
}

static void draw_span(const drawn_span_t *span, unsigned depth,
		      uint64_t from_ns, uint64_t until_ns)
{
	draw_bar(span, from_ns, until_ns);
	printf(" %9.3f ms  %*s%s  (%s)\n",
	       (double)(span->end_ns - span->start_ns) / 1e6, (int)(2 * depth),
	       "", span->name, span->instance);
}

/* Draws the spans under "parent", by start, each followed by its own. */
static void draw_children(const GArray *spans, const char *parent,
			  unsigned depth, uint64_t from_ns, uint64_t until_ns)
{
	if (depth == TRACE_DEPTH_MAX)
		return;
	for (guint i = 0; i < spans->len; i++) {
		const drawn_span_t *span =
			&g_array_index(spans, drawn_span_t, i);

		if (strcmp(span->parent, parent) != 0)
			continue;
		draw_span(span, depth, from_ns, until_ns);
		draw_children(spans, span->id, depth + 1, from_ns, until_ns);
	}
}

/* Spans whose parent is in none of the files are drawn as the first ones. */
static void draw(const GArray *spans)
{
	uint64_t from_ns = g_array_index(spans, drawn_span_t, 0).start_ns;
	uint64_t until_ns = 0;

	for (guint i = 0; i < spans->len; i++) {
		const drawn_span_t *span =
			&g_array_index(spans, drawn_span_t, i);

		if (span->end_ns > until_ns)
			until_ns = span->end_ns;
	}
	for (guint i = 0; i < spans->len; i++) {
		const drawn_span_t *span =
			&g_array_index(spans, drawn_span_t, i);

		if (span->parent[0] != '\0' && has_span(spans, span->parent))
			continue;
		draw_span(span, 0, from_ns, until_ns);
		draw_children(spans, span->id, 1, from_ns, until_ns);
	}
}

static void print_spans(const GArray *spans)
{
	json_t *list = json_array();

	for (guint i = 0; i < spans->len; i++)
		json_array_append(list,
				  g_array_index(spans, drawn_span_t, i).json);
	output_json(json_pack("{s:o}", "spans", list));
}

static cli_exit_t show_spans(const cli_options_t *options, GArray *spans,
			     const char *trace_id)
{
	if (spans->len == 0) {
		fprintf(stderr, "wisteriactl: no span of trace %s\n", trace_id);
		return CLI_REFUSED;
	}
	qsort(spans->data, spans->len, sizeof(drawn_span_t), compare_spans);
	if (options->json)
		print_spans(spans);
	else
		draw(spans);
	return CLI_OK;
}

/* Draws trace args[0] from the files after it. */
CLI_COMMAND(cli_trace)
{
	GArray *spans = g_array_new(FALSE, TRUE, sizeof(drawn_span_t));
	cli_exit_t code = CLI_OK;

	for (unsigned i = 1; i < arg_count && code == CLI_OK; i++)
		if (!read_file(spans, args[i], args[0]))
			code = CLI_USAGE;
	if (code == CLI_OK)
		code = show_spans(options, spans, args[0]);
	for (guint i = 0; i < spans->len; i++)
		json_decref(g_array_index(spans, drawn_span_t, i).json);
	g_array_free(spans, TRUE);
	return code;
}
