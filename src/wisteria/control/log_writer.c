/*
 * Writes the log on a separate thread, so that the control thread never waits
 * for the disk.  Jobs queued during a sync are written as one batch and synced
 * once.
 */
#include "wisteria/control/log_writer.h"

#include <pthread.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/base/mailbox.h"
#include "wisteria/storage/storage.h"

#define WRITE_RETRY_MS 500
#define EXIT_DISK 74

typedef struct {
	GByteArray *records;
	uint64_t sequence; /* 0: a snapshot that the owner made */
	bool has_snapshot;
	raft_snapshot_t snapshot;
} log_job_t;

struct log_writer_t {
	storage_t *storage;
	log_writer_owner_t *owner;
	mailbox_t mailbox;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wakeup;
	GQueue jobs; /* of log_job_t */
	bool stop;
};

/* The report of a synced job, posted to the control thread. */
typedef struct {
	task_t task;
	log_writer_owner_t *owner;
	uint64_t sequence;
	uint64_t index;
	GBytes *data;
} log_report_t;

static void free_job(gpointer data)
{
	log_job_t *job = data;

	g_byte_array_unref(job->records);
	if (job->has_snapshot)
		g_bytes_unref(job->snapshot.data);
	g_free(job);
}

static void run_report(task_t *task)
{
	log_report_t *report = CONTAINER_OF(task, log_report_t, task);

	if (report->data != NULL) {
		report->owner->snapshot_saved(report->owner, report->index,
					      report->data);
		g_bytes_unref(report->data);
	} else {
		report->owner->saved(report->owner, report->sequence);
	}
	g_free(report);
}

static void report_job(log_writer_t *writer, const log_job_t *job)
{
	log_report_t *report = g_new0(log_report_t, 1);

	report->task.run = run_report;
	report->owner = writer->owner;
	report->sequence = job->sequence;
	if (job->sequence == 0) {
		report->index = job->snapshot.index;
		report->data = g_bytes_ref(job->snapshot.data);
	}
	mailbox_post(&writer->mailbox, &report->task);
}

/*
 * Ends the process after a failed sync, or a failed write that could not be
 * undone, since the contents of the disk are unknown.
 */
static void exit_on_disk_failure(const err_t *err)
{
	log_err(G_LOG_LEVEL_CRITICAL, "disk_failed", err);
	_exit(EXIT_DISK);
}

static bool run_job(log_writer_t *writer, const log_job_t *job, err_t *err)
{
	if (job->has_snapshot)
		return storage_install_snapshot(writer->storage, &job->snapshot,
						job->records, err);
	counter_add(COUNTER_LOG_APPENDS, 1);
	return storage_append(writer->storage, job->records, err);
}

static bool is_stopping(log_writer_t *writer)
{
	bool stop;

	pthread_mutex_lock(&writer->lock);
	stop = writer->stop;
	pthread_mutex_unlock(&writer->lock);
	return stop;
}

/*
 * Runs a job, and repeats it while writing fails, as on a full disk.  Returns
 * false if it fails and the writer is to stop.
 */
static bool run_with_retries(log_writer_t *writer, const log_job_t *job)
{
	const struct timespec pause = { .tv_nsec = WRITE_RETRY_MS * 1000000L };
	err_t err = ERR_INIT;

	while (!run_job(writer, job, &err)) {
		if (writer->storage->failed)
			exit_on_disk_failure(&err);
		log_err(G_LOG_LEVEL_WARNING, "log_write_failed", &err);
		if (is_stopping(writer))
			return false;
		nanosleep(&pause, NULL);
	}
	return true;
}

static void sync_log(log_writer_t *writer)
{
	err_t err = ERR_INIT;

	counter_add(COUNTER_LOG_SYNCS, 1);
	if (!storage_sync(writer->storage, &err))
		exit_on_disk_failure(&err);
}

/* Writes and syncs a batch, then reports its jobs. */
static void run_batch(log_writer_t *writer, GQueue *batch)
{
	GQueue written = G_QUEUE_INIT;
	log_job_t *job;

	while ((job = g_queue_pop_head(batch)) != NULL) {
		if (!run_with_retries(writer, job)) {
			free_job(job);
			break;
		}
		g_queue_push_tail(&written, job);
	}
	if (!g_queue_is_empty(&written))
		sync_log(writer);
	while ((job = g_queue_pop_head(&written)) != NULL) {
		report_job(writer, job);
		free_job(job);
	}
	g_queue_clear_full(batch, free_job);
}

/*
 * Waits for jobs and takes all that are queued.  Returns false if there are
 * none and the writer is to stop.
 */
static bool wait_for_batch(log_writer_t *writer, GQueue *batch)
{
	pthread_mutex_lock(&writer->lock);
	while (g_queue_is_empty(&writer->jobs) && !writer->stop)
		pthread_cond_wait(&writer->wakeup, &writer->lock);
	*batch = writer->jobs;
	g_queue_init(&writer->jobs);
	pthread_mutex_unlock(&writer->lock);
	return !g_queue_is_empty(batch);
}

static void *run_thread(void *data)
{
	log_writer_t *writer = data;
	GQueue batch = G_QUEUE_INIT;

	while (wait_for_batch(writer, &batch))
		run_batch(writer, &batch);
	return NULL;
}

/*
 * Creates a writer and starts its thread, which has exclusive use of "storage"
 * until log_writer_close().
 */
log_writer_t *log_writer_new(storage_t *storage, uv_loop_t *loop,
			     log_writer_owner_t *owner)
{
	log_writer_t *writer = g_new0(log_writer_t, 1);

	writer->storage = storage;
	writer->owner = owner;
	mailbox_init(&writer->mailbox, loop);
	pthread_mutex_init(&writer->lock, NULL);
	pthread_cond_init(&writer->wakeup, NULL);
	g_queue_init(&writer->jobs);
	pthread_create(&writer->thread, NULL, run_thread, writer);
	return writer;
}

static void add_job(log_writer_t *writer, log_job_t *job)
{
	pthread_mutex_lock(&writer->lock);
	g_queue_push_tail(&writer->jobs, job);
	pthread_cond_signal(&writer->wakeup);
	pthread_mutex_unlock(&writer->lock);
}

/* Queues records to be appended to the log; takes ownership of "records". */
void log_writer_append(log_writer_t *writer, GByteArray *records,
		       uint64_t sequence)
{
	log_job_t *job = g_new0(log_job_t, 1);

	job->records = records;
	job->sequence = sequence;
	add_job(writer, job);
}

/*
 * Queues the replacement of the log by a snapshot and "records", of which it
 * takes ownership.  A snapshot that the owner made has sequence 0 and is
 * reported by snapshot_saved(); one received from the leader has a sequence of
 * its own and is reported by saved().
 */
void log_writer_install(log_writer_t *writer, const raft_snapshot_t *snapshot,
			GByteArray *records, uint64_t sequence)
{
	log_job_t *job = g_new0(log_job_t, 1);

	job->records = records;
	job->sequence = sequence;
	job->has_snapshot = true;
	job->snapshot = *snapshot;
	g_bytes_ref(job->snapshot.data);
	add_job(writer, job);
}

/*
 * Writes the queued jobs unless writing fails, ends the thread and runs its
 * last reports.
 */
void log_writer_close(log_writer_t *writer)
{
	pthread_mutex_lock(&writer->lock);
	writer->stop = true;
	pthread_cond_signal(&writer->wakeup);
	pthread_mutex_unlock(&writer->lock);
	pthread_join(writer->thread, NULL);
	mailbox_close(&writer->mailbox);
}

/*
 * Frees a closed writer.  The loop that was given to log_writer_new() must have
 * run to its end.
 */
void log_writer_free(log_writer_t *writer)
{
	if (writer == NULL)
		return;
	g_queue_clear_full(&writer->jobs, free_job);
	pthread_mutex_destroy(&writer->lock);
	pthread_cond_destroy(&writer->wakeup);
	g_free(writer);
}
