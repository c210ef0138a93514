/*
 * Answers entries that ask for retries of the reserve, and keeps what this
 * instance has granted in its data folder.  A request waits for the write in
 * progress, and its answer for the next one: entries wait longer than a disk
 * usually takes.
 */
#include "wisteria/fleet/fleet_retries.h"

#include <string.h>

#include <uv.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/replica_group.h"
#include "wisteria/fleet/retry_reserve.h"
#include "wisteria/net/conn.h"
#include "wisteria/raft/raft_members.h"
#include "wisteria/settings/settings_defs.h"
#include "wisteria/storage/file_replace.h"

#define FILE_NAME "retries"
#define FILE_BYTES_MAX (1u << 20)
/* Least interval between writes that no entry waits for. */
#define IDLE_WRITE_INTERVAL_MS 500

/* A request of an entry, and what it is granted. */
typedef struct {
	conn_t *conn; /* NULL: closed meanwhile */
	char *service;
	uint32_t wanted;
	uint32_t granted;
	int64_t request_sent_ms;
} grant_request_t;

typedef struct {
	uv_work_t work;
	fleet_control_t *control;
	char *folder;
	msgpack_sbuffer data;
	uint32_t granted; /* that count, according to "data" */
	bool is_complete;
	bool ok;
	err_t err;
} write_job_t;

static void clear_request(gpointer data)
{
	grant_request_t *request = data;

	g_free(request->service);
}

static GArray *new_requests(void)
{
	GArray *requests = g_array_new(FALSE, FALSE, sizeof(grant_request_t));

	g_array_set_clear_func(requests, clear_request);
	return requests;
}

/* Initializes the reserve of an instance without a data folder. */
void fleet_retries_init(fleet_control_t *control)
{
	fleet_retries_t *retries = &control->retries;
	const settings_fleet_t *fleet = control->settings->fleet;

	retry_reserve_init(&retries->reserve,
			   (clock_ms_t)(fleet->retry_window_s * 1000));
	retries->waiting = new_requests();
	retries->stored = new_requests();
}

/* Frees the state; no write may be in progress. */
void fleet_retries_finish(fleet_control_t *control)
{
	fleet_retries_t *retries = &control->retries;

	retry_reserve_finish(&retries->reserve);
	g_array_unref(retries->waiting);
	g_array_unref(retries->stored);
}

/*
 * Loads what this instance granted before its restart.  An instance that starts
 * for the first time has granted nothing; of one that has lost its data, that is
 * not known.
 */
void fleet_retries_load(fleet_control_t *control, clock_ms_t now)
{
	fleet_retries_t *retries = &control->retries;
	const settings_fleet_t *fleet = control->settings->fleet;
	char *path = g_build_filename(fleet->data_dir, FILE_NAME, NULL);
	err_t err = ERR_INIT;
	GError *read_error = NULL;
	gchar *data = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &data, &len, &read_error)) {
		if (!g_error_matches(read_error, G_FILE_ERROR,
				     G_FILE_ERROR_NOENT)) {
			err_set(&err, ERR_IO, "read", path, "%s",
				read_error->message);
			log_err(G_LOG_LEVEL_WARNING,
				"granted_retries_unreadable", &err);
		} else if (fleet->bootstrap &&
			   replica_has_empty_log(&control->replica)) {
			retry_reserve_continue(&retries->reserve);
		}
		g_error_free(read_error);
	} else if (len > FILE_BYTES_MAX) {
		err_set(&err, ERR_CORRUPT, "read", path,
			"the file is too large");
		log_err(G_LOG_LEVEL_WARNING, "granted_retries_unreadable",
			&err);
	} else if (!retry_reserve_restore(&retries->reserve, data, len, now,
					  &err)) {
		log_err(G_LOG_LEVEL_WARNING, "granted_retries_unreadable",
			&err);
	} else {
		retries->file_granted =
			retry_reserve_granted(&retries->reserve, now);
		retries->file_is_complete = retries->reserve.is_complete;
		LOG_INFO("granted_retries_recalled", "granted=%u",
			 retries->file_granted);
	}
	g_free(data);
	g_free(path);
}

static void answer(const grant_request_t *request)
{
	const msg_fleet_retries_t grant = {
		.service = request->service,
		.count = request->granted,
		.request_sent_ms = request->request_sent_ms,
	};

	if (request->conn == NULL)
		return;
	counter_add(COUNTER_RETRIES_GRANTED, request->granted);
	LOG_INFO("retries_granted", "entry=%s service=%s wanted=%u granted=%u",
		 request->conn->peer_instance, request->service,
		 request->wanted, request->granted);
	conn_send(request->conn, MSG_FLEET_RETRIES, &grant);
}

/* Answers the requests whose grants are on disk, or are withdrawn. */
static void answer_stored(fleet_retries_t *retries, bool ok)
{
	for (guint i = 0; i < retries->stored->len; i++) {
		grant_request_t *request =
			&g_array_index(retries->stored, grant_request_t, i);

		if (!ok)
			request->granted = 0;
		answer(request);
	}
	g_array_set_size(retries->stored, 0);
}

/* Follows how many members share the reserve, as long as a leader is known. */
static void follow_members(fleet_control_t *control, clock_ms_t now)
{
	const raft_t *raft = &control->replica.raft;

	if (raft->leader != 0 &&
	    raft_members_find(&raft->members, raft->id) != NULL)
		retry_reserve_set_members(&control->retries.reserve,
					  raft->members.count, now);
}

/* Decides on the requests that wait; returns whether any is granted. */
static bool grant_waiting(fleet_control_t *control, clock_ms_t now)
{
	fleet_retries_t *retries = &control->retries;
	GArray *decided = retries->waiting;
	bool granted = false;

	follow_members(control, now);
	for (guint i = 0; i < decided->len; i++) {
		grant_request_t *request =
			&g_array_index(decided, grant_request_t, i);

		request->granted = retry_reserve_grant(
			&retries->reserve, request->service, request->wanted,
			control->settings->fleet->retry_slack, now);
		granted |= request->granted > 0;
	}
	retries->waiting = retries->stored;
	retries->stored = decided;
	return granted;
}

static void write_state(fleet_control_t *control, clock_ms_t now);

/* Goes on with the requests that have come during a write. */
static void grant_and_write(fleet_control_t *control)
{
	clock_ms_t now = clock_now(control->net->clock);

	if (grant_waiting(control, now))
		write_state(control, now);
	else
		answer_stored(&control->retries, true);
}

static void on_work(uv_work_t *work)
{
	write_job_t *job = CONTAINER_OF(work, write_job_t, work);

	job->ok = file_replace(job->folder, FILE_NAME, job->data.data,
			       job->data.size, &job->err);
}

static void free_job(write_job_t *job)
{
	msgpack_sbuffer_destroy(&job->data);
	g_free(job->folder);
	g_free(job);
}

static void on_work_done(uv_work_t *work, int status)
{
	write_job_t *job = CONTAINER_OF(work, write_job_t, work);
	fleet_control_t *control = job->control;
	fleet_retries_t *retries = &control->retries;
	bool ok = status == 0 && job->ok;

	if (!ok && !retries->failing)
		log_err(G_LOG_LEVEL_WARNING, "granted_retries_write_failed",
			&job->err);
	if (ok) {
		retries->file_granted = job->granted;
		retries->file_is_complete = job->is_complete;
	}
	retries->failing = !ok;
	retries->writing = false;
	free_job(job);
	answer_stored(retries, ok);
	if (retries->waiting->len > 0)
		grant_and_write(control);
}

/* Starts a write of the state; what is in "stored" is answered after it. */
static void write_state(fleet_control_t *control, clock_ms_t now)
{
	fleet_retries_t *retries = &control->retries;
	write_job_t *job = g_new0(write_job_t, 1);

	job->control = control;
	job->folder = g_strdup(control->settings->fleet->data_dir);
	job->granted = retry_reserve_granted(&retries->reserve, now);
	job->is_complete = retries->reserve.is_complete;
	msgpack_sbuffer_init(&job->data);
	retry_reserve_encode(&retries->reserve, now, &job->data);
	retries->written_ms = now;
	retries->writing = true;
	if (uv_queue_work(control->net->loop, &job->work, on_work,
			  on_work_done) != 0) {
		retries->writing = false;
		free_job(job);
		answer_stored(retries, false);
	}
}

/* Grants an entry some retries; also an answer of 0 tells it not to wait. */
void fleet_retries_handle(fleet_control_t *control, conn_t *conn,
			  const msg_fleet_retries_t *message)
{
	fleet_retries_t *retries = &control->retries;
	grant_request_t request = {
		.conn = conn,
		.service = g_strdup(message->service),
		.wanted = message->count,
		.request_sent_ms = message->request_sent_ms,
	};

	if (!control->has_replica) {
		answer(&request);
		clear_request(&request);
		return;
	}
	g_array_append_val(retries->waiting, request);
	if (!retries->writing)
		grant_and_write(control);
}

static void forget_conn(GArray *requests, const conn_t *conn)
{
	for (guint i = 0; i < requests->len; i++) {
		grant_request_t *request =
			&g_array_index(requests, grant_request_t, i);

		if (request->conn == conn)
			request->conn = NULL;
	}
}

/* The connection has closed: its requests get no answer. */
void fleet_retries_forget_conn(fleet_control_t *control, const conn_t *conn)
{
	forget_conn(control->retries.waiting, conn);
	forget_conn(control->retries.stored, conn);
}

/*
 * Writes the state when it is complete, and when no grant counts any more; must
 * be called periodically.
 */
void fleet_retries_tick(fleet_control_t *control, clock_ms_t now)
{
	fleet_retries_t *retries = &control->retries;
	retry_reserve_t *reserve = &retries->reserve;

	if (!control->has_replica)
		return;
	follow_members(control, now);
	if (retries->writing ||
	    now - retries->written_ms < IDLE_WRITE_INTERVAL_MS)
		return;
	if (reserve->is_complete != retries->file_is_complete ||
	    (retries->file_granted > 0 &&
	     retry_reserve_granted(reserve, now) == 0))
		write_state(control, now);
}
