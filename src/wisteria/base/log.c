/*
 * Logs: one line of key=value pairs for each event, through GLib's
 * structured logging.
 */
#include "wisteria/base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "wisteria/base/err.h"
#include "wisteria/base/log_sink.h"

#define LOG_LINE_BYTES 1024
#define LOG_DOMAIN "wisteria"

static char log_instance[64] = "-";
static GLogLevelFlags log_threshold = G_LOG_LEVEL_INFO;

typedef struct {
	const char *name;
	GLogLevelFlags level;
} log_level_name_t;

static const log_level_name_t level_names[] = {
	{ "debug", G_LOG_LEVEL_DEBUG },
	{ "info", G_LOG_LEVEL_INFO },
	{ "warning", G_LOG_LEVEL_WARNING },
	{ "error", G_LOG_LEVEL_CRITICAL },
};

static const char *level_name_of(GLogLevelFlags level)
{
	for (size_t i = 0; i < ARRAY_SIZE(level_names); i++)
		if (level_names[i].level == level)
			return level_names[i].name;
	return "info";
}

/*
 * Copies "text" as one log value: spaces, control bytes and double quotes are
 * replaced by "_".
 */
static void sanitize(char *out, size_t size, const char *text)
{
	size_t used = 0;

	for (; *text != '\0' && used + 1 < size; text++) {
		unsigned char byte = (unsigned char)*text;

		out[used++] = byte <= ' ' || byte == '"' ? '_' : *text;
	}
	out[used] = '\0';
}

/*
 * Queues a line for the sink thread.  Writes it directly if no sink runs, or
 * if the level is fatal: the process then aborts, and the thread might not
 * write any more.
 */
static void output_line(GLogLevelFlags level, const char *message)
{
	char line[LOG_LINE_BYTES + 256];
	int len = snprintf(line, sizeof(line), "%s\n", message);
	size_t used = MIN((size_t)MAX(len, 0), sizeof(line) - 1);
	log_class_t class_ =
		level <= G_LOG_LEVEL_WARNING ? LOG_FAILURE : LOG_ROUTINE;

	if (level > G_LOG_LEVEL_ERROR && log_sink_put(class_, line, used))
		return;
	fwrite(line, 1, used, stdout);
	fflush(stdout);
}

static GLogWriterOutput write_log_message(GLogLevelFlags level,
					  const GLogField *fields, gsize count,
					  gpointer data)
{
	(void)data;
	if (level > log_threshold)
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < count; i++)
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			output_line(level, fields[i].value);
	return G_LOG_WRITER_HANDLED;
}

/*
 * Sends all GLib logging of the process to standard output as key=value lines.
 * Returns false if "level_name" is none of debug, info, warning, error.
 */
bool log_init(const char *instance, const char *level_name)
{
	for (size_t i = 0; i < ARRAY_SIZE(level_names); i++) {
		if (strcmp(level_names[i].name, level_name) != 0)
			continue;
		log_threshold = level_names[i].level;
		snprintf(log_instance, sizeof(log_instance), "%s", instance);
		g_log_set_writer_func(write_log_message, NULL, NULL);
		return true;
	}
	return false;
}

/*
 * Logs "event" with the key=value pairs of "format".  The time is wall-clock
 * UTC and meant for human readers only.
 */
void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
{
	char pairs[LOG_LINE_BYTES];
	char timestamp[32];
	struct timespec now;
	struct tm utc;
	va_list args;

	if (level > log_threshold)
		return;
	va_start(args, format);
	vsnprintf(pairs, sizeof(pairs), format, args);
	va_end(args);
	timespec_get(&now, TIME_UTC);
	gmtime_r(&now.tv_sec, &utc);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
	g_log_structured(LOG_DOMAIN, level, "MESSAGE",
			 "ts=%s.%03ldZ level=%s instance=%s event=%s %s",
			 timestamp, now.tv_nsec / 1000000, level_name_of(level),
			 log_instance, event, pairs);
}

/* Logs "event" with the code, step, peer and text of "err". */
void log_err(GLogLevelFlags level, const char *event, const err_t *err)
{
	char text[ERR_TEXT_BYTES];

	sanitize(text, sizeof(text), err->text);
	log_event(level, event, "code=%s step=%s peer=%s reason=%s",
		  err_code_name(err->code), err->step,
		  err->peer[0] == '\0' ? "-" : err->peer, text);
}
