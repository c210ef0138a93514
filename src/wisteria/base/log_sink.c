/*
 * Hands log lines to a thread that writes them, so that no decision waits for
 * whoever reads the logs.  Volume is bounded for each class of lines and in
 * all; what is dropped is counted, and the count is logged.
 */
#include "wisteria/base/log_sink.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "wisteria/base/clock.h"

/* Lines of this time are written together. */
#define SINK_BATCH_MS 20
/* How long a stop waits for the last lines to be read. */
#define SINK_STOP_MS 500

typedef struct {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GString *waiting;
	log_budget_t budget;
	int fd;
	bool started;
	bool stopping;
	bool ended;
} log_sink_t;

static log_sink_t sink = { .lock = PTHREAD_MUTEX_INITIALIZER };

/*
 * Counts a line; returns false where its class has had enough lines in this
 * second.
 */
bool log_budget_take(log_budget_t *budget, log_class_t class_, clock_ms_t now)
{
	static const uint32_t most[LOG_CLASSES] = {
		[LOG_ROUTINE] = LOG_ROUTINE_LINES_MAX,
		[LOG_FAILURE] = LOG_FAILURE_LINES_MAX,
	};

	if (now - budget->second_ms >= 1000 || now < budget->second_ms) {
		budget->second_ms = now;
		memset(budget->lines, 0, sizeof(budget->lines));
	}
	if (budget->lines[class_] >= most[class_]) {
		budget->dropped[class_]++;
		return false;
	}
	budget->lines[class_]++;
	return true;
}

static void write_out(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t written = write(fd, data, len);

		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return; /* nobody reads any more; nowhere to say so */
		data += written;
		len -= (size_t)written;
	}
}

/* Adds a line on what was dropped since the last one.  Under the lock. */
static void report_dropped(void)
{
	log_budget_t *budget = &sink.budget;

	if (budget->dropped[LOG_ROUTINE] + budget->dropped[LOG_FAILURE] == 0)
		return;
	g_string_append_printf(sink.waiting,
			       "level=warning event=log_lines_dropped "
			       "routine=%" G_GUINT64_FORMAT
			       " failures=%" G_GUINT64_FORMAT "\n",
			       budget->dropped[LOG_ROUTINE],
			       budget->dropped[LOG_FAILURE]);
	memset(budget->dropped, 0, sizeof(budget->dropped));
}

static void *run(void *unused)
{
	const struct timespec batch = { .tv_nsec = SINK_BATCH_MS * 1000000 };
	GString *writing = g_string_sized_new(4096);

	(void)unused;
	pthread_mutex_lock(&sink.lock);
	while (sink.waiting->len > 0 || !sink.stopping) {
		GString *swap;

		if (sink.waiting->len == 0) {
			pthread_cond_wait(&sink.changed, &sink.lock);
			continue;
		}
		if (!sink.stopping) {
			pthread_mutex_unlock(&sink.lock);
			nanosleep(&batch, NULL);
			pthread_mutex_lock(&sink.lock);
		}
		report_dropped();
		swap = sink.waiting;
		sink.waiting = writing;
		writing = swap;
		pthread_mutex_unlock(&sink.lock);
		write_out(sink.fd, writing->str, writing->len);
		g_string_truncate(writing, 0);
		pthread_mutex_lock(&sink.lock);
	}
	sink.ended = true;
	pthread_cond_broadcast(&sink.changed);
	pthread_mutex_unlock(&sink.lock);
	g_string_free(writing, TRUE);
	return NULL;
}

/* Starts the writer thread on "fd"; returns false if there can be none. */
bool log_sink_start(int fd)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&sink.changed, &attributes);
	pthread_condattr_destroy(&attributes);
	sink.fd = fd;
	sink.waiting = g_string_sized_new(4096);
	sink.stopping = false;
	sink.ended = false;
	sink.started = pthread_create(&sink.thread, NULL, run, NULL) == 0;
	return sink.started;
}

/*
 * Queues a line, which ends in a newline.  Returns false where it is not taken
 * because no thread runs; a line that is dropped is taken.
 */
bool log_sink_put(log_class_t class_, const char *line, size_t len)
{
	bool was_empty;

	if (!sink.started)
		return false;
	pthread_mutex_lock(&sink.lock);
	was_empty = sink.waiting->len == 0;
	if (log_budget_take(&sink.budget, class_,
			    clock_now(&clock_monotonic))) {
		if (sink.waiting->len + len > LOG_SINK_BYTES_MAX)
			sink.budget.dropped[class_]++;
		else
			g_string_append_len(sink.waiting, line, (gssize)len);
	}
	if (was_empty)
		pthread_cond_signal(&sink.changed);
	pthread_mutex_unlock(&sink.lock);
	return true;
}

/* Writes what waits and ends the thread, unless nobody reads. */
void log_sink_stop(void)
{
	struct timespec until;
	bool ended;

	if (!sink.started)
		return;
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += SINK_STOP_MS * 1000000L;
	until.tv_sec += until.tv_nsec / 1000000000L;
	until.tv_nsec %= 1000000000L;
	pthread_mutex_lock(&sink.lock);
	sink.stopping = true;
	pthread_cond_broadcast(&sink.changed);
	while (!sink.ended)
		if (pthread_cond_timedwait(&sink.changed, &sink.lock, &until) !=
		    0)
			break;
	ended = sink.ended;
	sink.started = false;
	pthread_mutex_unlock(&sink.lock);
	if (!ended)
		return;
	pthread_join(sink.thread, NULL);
	g_string_free(sink.waiting, TRUE);
	sink.waiting = NULL;
}
