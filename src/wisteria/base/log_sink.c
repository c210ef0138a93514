/*
 * Writes log lines on a thread of its own, so that a slow reader of the logs
 * does not block the other threads.  The rate of each class of lines and the
 * total of pending bytes are limited; dropped lines are counted, and the counts
 * are logged.
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

/* Lines that arrive within this time are written together. */
#define SINK_BATCH_MS 20
/* How long log_sink_stop() waits for the reader to read the last lines. */
#define SINK_STOP_TIMEOUT_MS 500

typedef struct {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	GString *pending;
	log_limiter_t limiter;
	int fd;
	bool started;
	bool stopping;
	bool finished;
} log_sink_t;

static log_sink_t sink = { .lock = PTHREAD_MUTEX_INITIALIZER };

/*
 * Counts a line.  Returns false, and counts the line as dropped, if its class
 * has reached its limit for the current second.
 */
bool log_limiter_allow(log_limiter_t *limiter, log_class_t class_,
		       clock_ms_t now)
{
	static const uint32_t line_limits[LOG_CLASS_COUNT] = {
		[LOG_ROUTINE] = LOG_ROUTINE_LINES_PER_SECOND_MAX,
		[LOG_FAILURE] = LOG_FAILURE_LINES_PER_SECOND_MAX,
	};

	if (now - limiter->window_start_ms >= 1000 ||
	    now < limiter->window_start_ms) {
		limiter->window_start_ms = now;
		memset(limiter->lines, 0, sizeof(limiter->lines));
	}
	if (limiter->lines[class_] >= line_limits[class_]) {
		limiter->dropped[class_]++;
		return false;
	}
	limiter->lines[class_]++;
	return true;
}

static void write_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t written = write(fd, data, len);

		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return; /* no reader; the error cannot be logged */
		data += written;
		len -= (size_t)written;
	}
}

/*
 * Queues a line with the numbers of lines dropped since the last report.  The
 * caller holds the lock.
 */
static void report_dropped(void)
{
	log_limiter_t *limiter = &sink.limiter;

	if (limiter->dropped[LOG_ROUTINE] + limiter->dropped[LOG_FAILURE] == 0)
		return;
	g_string_append_printf(sink.pending,
			       "level=warning event=log_lines_dropped "
			       "routine=%" G_GUINT64_FORMAT
			       " failures=%" G_GUINT64_FORMAT "\n",
			       limiter->dropped[LOG_ROUTINE],
			       limiter->dropped[LOG_FAILURE]);
	memset(limiter->dropped, 0, sizeof(limiter->dropped));
}

static void *run_writer(void *unused)
{
	const struct timespec delay = { .tv_nsec = SINK_BATCH_MS * 1000000 };
	GString *writing = g_string_sized_new(4096);

	(void)unused;
	pthread_mutex_lock(&sink.lock);
	while (sink.pending->len > 0 || !sink.stopping) {
		GString *swap;

		if (sink.pending->len == 0) {
			pthread_cond_wait(&sink.cond, &sink.lock);
			continue;
		}
		if (!sink.stopping) {
			pthread_mutex_unlock(&sink.lock);
			nanosleep(&delay, NULL);
			pthread_mutex_lock(&sink.lock);
		}
		report_dropped();
		swap = sink.pending;
		sink.pending = writing;
		writing = swap;
		pthread_mutex_unlock(&sink.lock);
		write_all(sink.fd, writing->str, writing->len);
		g_string_truncate(writing, 0);
		pthread_mutex_lock(&sink.lock);
	}
	sink.finished = true;
	pthread_cond_broadcast(&sink.cond);
	pthread_mutex_unlock(&sink.lock);
	g_string_free(writing, TRUE);
	return NULL;
}

/* Starts the thread that writes to "fd"; returns false if that fails. */
bool log_sink_start(int fd)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&sink.cond, &attributes);
	pthread_condattr_destroy(&attributes);
	sink.fd = fd;
	sink.pending = g_string_sized_new(4096);
	sink.stopping = false;
	sink.finished = false;
	sink.started =
		pthread_create(&sink.thread, NULL, run_writer, NULL) == 0;
	return sink.started;
}

/*
 * Queues a line, which ends in a newline.  Returns false if no writer thread
 * runs; returns true also for a line that a limit drops.
 */
bool log_sink_put(log_class_t class_, const char *line, size_t len)
{
	bool was_empty;

	if (!sink.started)
		return false;
	pthread_mutex_lock(&sink.lock);
	was_empty = sink.pending->len == 0;
	if (log_limiter_allow(&sink.limiter, class_,
			      clock_now(&clock_monotonic))) {
		if (sink.pending->len + len > LOG_SINK_PENDING_BYTES_MAX)
			sink.limiter.dropped[class_]++;
		else
			g_string_append_len(sink.pending, line, (gssize)len);
	}
	if (was_empty)
		pthread_cond_signal(&sink.cond);
	pthread_mutex_unlock(&sink.lock);
	return true;
}

/*
 * Writes the pending lines and ends the thread.  If the reader does not read
 * them within SINK_STOP_TIMEOUT_MS, the thread is left running.
 */
void log_sink_stop(void)
{
	struct timespec deadline;
	bool finished;

	if (!sink.started)
		return;
	clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_nsec += SINK_STOP_TIMEOUT_MS * 1000000L;
	deadline.tv_sec += deadline.tv_nsec / 1000000000L;
	deadline.tv_nsec %= 1000000000L;
	pthread_mutex_lock(&sink.lock);
	sink.stopping = true;
	pthread_cond_broadcast(&sink.cond);
	while (!sink.finished)
		if (pthread_cond_timedwait(&sink.cond, &sink.lock, &deadline) !=
		    0)
			break;
	finished = sink.finished;
	sink.started = false;
	pthread_mutex_unlock(&sink.lock);
	if (!finished)
		return;
	pthread_join(sink.thread, NULL);
	g_string_free(sink.pending, TRUE);
	sink.pending = NULL;
}
