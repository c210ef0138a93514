/* The explain-file command: explains a request from log files. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "cli/commands.h"
#include "wisteria/base/macros_defs.h"

/*
 * Sentence templates by log event.  "{key}" is replaced by the value of that
 * key in the log line; a line with an event that isn't listed is printed
 * unchanged.
 */
static const struct {
	const char *event;
	const char *sentence;
} sentences[] = {
	{ "request_refused",
	  "Refused with {status} before anything was sent, because of "
	  "{reason}; configuration revision {revision} was in force." },
	{ "request_queued", "All places were taken: it waited, for {for_ms} ms "
			    "at most, with {waiting} waiting in all." },
	{ "request_sent",
	  "Attempt {send} went to {endpoint}, first of {hops} endpoints, "
	  "behind event {behind_event} (-1: from the start), with {left_ms} ms "
	  "left and version {registry} of the registry." },
	{ "attempt_failed",
	  "Attempt {send} at {endpoint} ended as {end}, {waited_ms} ms after "
	  "the last progress, with {events} events in all: {reason}, address "
	  "at fault {at}; {runs} attempts of {of} allowed may have run." },
	{ "retry_not_made", "It was not sent again because of {reason}." },
	{ "stream_stalled",
	  "The stream made no progress for {silent_ms} ms after {events} "
	  "events, so another attempt was started at newly chosen endpoints." },
	{ "pause_ended",
	  "The silent attempt at {endpoint} was read on until {silent_ms} ms "
	  "after its last event: {end}." },
	{ "pipeline_repaired",
	  "Lost endpoints {lost} were replaced by {new} in the running "
	  "pipeline after {events} events; the first endpoint accepted that "
	  "with {status} after {took_ms} ms, and the attempt went on." },
	{ "pipeline_repair_failed",
	  "Lost endpoints {lost} could not be replaced by {new} in the running "
	  "pipeline: {reason}, status {status} (0: none) after {took_ms} ms." },
	{ "request_answered",
	  "Answered with {status} after {sends} attempts: first event after "
	  "{first_ms} ms (-1: none), longest pause {gap_ms} ms, {all_ms} ms "
	  "in all." },
	{ "request_given_up",
	  "Given up with {status} (0: broken off) after {after_ms} ms, because "
	  "of {reason}; {runs} of its {sends} attempts may have run." },
	{ "request_cut", "Aborted after {after_ms} ms and {events} events, "
			 "because the entry had to stop." },
	{ "caller_left", "The caller disconnected after {after_ms} ms, "
			 "{events} events and {sends} attempts." },
};

/*
 * Returns the value of "key" in a line of key=value pairs, or NULL if the key
 * is missing; the caller frees it.
 */
static char *find_value(const char *line, const char *key)
{
	size_t key_len = strlen(key);

	for (const char *pos = line; pos != NULL; pos = strchr(pos, ' ')) {
		pos += *pos == ' ';
		if (strncmp(pos, key, key_len) == 0 && pos[key_len] == '=')
			return g_strndup(pos + key_len + 1,
					 strcspn(pos + key_len + 1, " \n"));
	}
	return NULL;
}

static bool has_value(const char *line, const char *key, const char *expected)
{
	char *value = find_value(line, key);
	bool same = g_strcmp0(value, expected) == 0;

	g_free(value);
	return same;
}

/* Appends the lines of one file that belong to the request to "lines". */
static bool read_file(GPtrArray *lines, const char *path,
		      const char *request_id)
{
	FILE *file = fopen(path, "re");
	char *line = NULL;
	size_t size = 0;
	bool read_ok;

	if (file == NULL) {
		fprintf(stderr, "wisteriactl: %s: %m\n", path);
		return false;
	}
	while (getline(&line, &size, file) > 0)
		if (has_value(line, "request", request_id))
			g_ptr_array_add(lines, g_strchomp(g_strdup(line)));
	read_ok = !ferror(file);
	if (!read_ok)
		fprintf(stderr, "wisteriactl: %s: %m\n", path);
	free(line);
	fclose(file);
	return read_ok;
}

/*
 * Compares two lines by timestamp.  A line begins with its UTC timestamp, so
 * comparing the first words as text orders them by time.
 */
static gint compare_times(gconstpointer left, gconstpointer right)
{
	const char *a = *(char *const *)left;
	const char *b = *(char *const *)right;
	size_t a_len = strcspn(a, " ");
	size_t b_len = strcspn(b, " ");
	int order = strncmp(a, b, MIN(a_len, b_len));

	return order != 0 ? order : (int)a_len - (int)b_len;
}

static void print_sentence(const char *sentence, const char *line)
{
	for (const char *pos = sentence; *pos != '\0'; pos++) {
		const char *end = *pos == '{' ? strchr(pos, '}') : NULL;
		char *key;
		char *value;

		if (end == NULL) {
			putchar(*pos);
			continue;
		}
		key = g_strndup(pos + 1, (gsize)(end - pos - 1));
		value = find_value(line, key);
		fputs(value == NULL ? "(not logged)" : value, stdout);
		g_free(value);
		g_free(key);
		pos = end;
	}
}

static void print_line(const char *line)
{
	char *event = find_value(line, "event");
	char *time = find_value(line, "ts");
	char *instance = find_value(line, "instance");
	const char *sentence = NULL;

	for (size_t i = 0; i < ARRAY_SIZE(sentences); i++)
		if (g_strcmp0(event, sentences[i].event) == 0)
			sentence = sentences[i].sentence;
	if (sentence == NULL) {
		puts(line);
	} else {
		printf("%s %s: ", time == NULL ? "-" : time,
		       instance == NULL ? "-" : instance);
		print_sentence(sentence, line);
		putchar('\n');
	}
	g_free(event);
	g_free(time);
	g_free(instance);
}

/*
 * Prints one sentence for each decision on a request, ordered by time, from the
 * log files of several processes.  Exits with CLI_REFUSED if no file mentions
 * the request: its lines may be in another process's file, or may have been
 * dropped.
 */
CLI_COMMAND(cli_explain_file)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	cli_exit_t code = CLI_OK;

	(void)options;
	for (unsigned i = 1; i < arg_count && code == CLI_OK; i++)
		if (!read_file(lines, args[i], args[0]))
			code = CLI_USAGE;
	if (code == CLI_OK && lines->len == 0) {
		fprintf(stderr,
			"wisteriactl: no log line mentions request %s\n",
			args[0]);
		code = CLI_REFUSED;
	}
	g_ptr_array_sort(lines, compare_times);
	for (guint i = 0; code == CLI_OK && i < lines->len; i++)
		print_line(g_ptr_array_index(lines, i));
	g_ptr_array_free(lines, TRUE);
	return code;
}
