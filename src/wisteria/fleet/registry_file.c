/*
 * Keeps a copy of the registry and of the refused parts on disk.  After a power loss of all instances it
 * takes seconds until all endpoints have announced themselves again; until then
 * the last known state is used.  It may be outdated: endpoints that do not
 * announce themselves become silent as usual.  A missing or damaged copy is
 * ignored.
 */
#include "wisteria/fleet/registry_file.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/msg.h"
#include "wisteria/fleet/fleet_update.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/storage/file_replace.h"

#define FILE_NAME "endpoints"
#define FILE_BYTES_MAX (4u << 20)

typedef struct {
	uv_work_t work;
	registry_file_t *file;
	char *folder;
	msgpack_sbuffer data;
	bool ok;
	err_t err;
} write_job_t;

/*
 * Initializes a copy in "folder"; neither reads nor writes it.  Refused parts
 * are loaded into "parts" and written from it.
 */
void registry_file_init(registry_file_t *file, uv_loop_t *loop,
			const char *folder, part_guard_t *parts)
{
	memset(file, 0, sizeof(*file));
	file->parts = parts;
	file->loop = loop;
	file->folder = g_strdup(folder);
}

/* Frees the fields of "file"; no write may be in progress. */
void registry_file_finish(registry_file_t *file)
{
	g_free(file->folder);
}

/*
 * Replaces the copy in "folder"; the old one remains until the new one is
 * synced.
 */
bool registry_file_write(const char *folder, const void *data, size_t len,
			 err_t *err)
{
	return file_replace(folder, FILE_NAME, data, len, err);
}

static void on_work(uv_work_t *work)
{
	write_job_t *job = CONTAINER_OF(work, write_job_t, work);

	job->ok = registry_file_write(job->folder, job->data.data,
				      job->data.size, &job->err);
}

static void on_work_done(uv_work_t *work, int status)
{
	write_job_t *job = CONTAINER_OF(work, write_job_t, work);
	registry_file_t *file = job->file;

	(void)status;
	if (!job->ok && !file->failing)
		log_err(G_LOG_LEVEL_WARNING, "endpoints_write_failed",
			&job->err);
	if (job->ok && file->failing)
		LOG_INFO("endpoints_write_recovered", "bytes=%" G_GSIZE_FORMAT,
			 job->data.size);
	file->failing = !job->ok;
	file->writing = false;
	msgpack_sbuffer_destroy(&job->data);
	g_free(job->folder);
	g_free(job);
}

static unsigned count_silent(const registry_t *registry)
{
	unsigned silent = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		silent += registry_is_silent(registry, value);
	return silent;
}

static void start_write(registry_file_t *file, const registry_t *registry,
			clock_ms_t now)
{
	write_job_t *job = g_new0(write_job_t, 1);

	job->file = file;
	job->folder = g_strdup(file->folder);
	msgpack_sbuffer_init(&job->data);
	fleet_update_encode(registry, file->parts, file->entries, now,
			    &job->data);
	if (uv_queue_work(file->loop, &job->work, on_work, on_work_done) != 0) {
		msgpack_sbuffer_destroy(&job->data);
		g_free(job->folder);
		g_free(job);
		return;
	}
	file->writing = true;
	file->written_version = registry->version;
	file->written_silent_count = count_silent(registry);
	file->written_part_count = part_guard_refused_count(file->parts, now);
	file->changed_ms = 0;
}

/* Returns whether the copy on disk has the present state. */
static bool is_up_to_date(const registry_file_t *file,
			  const registry_t *registry, clock_ms_t now)
{
	return !file->failing && registry->version == file->written_version &&
	       count_silent(registry) == file->written_silent_count &&
	       part_guard_refused_count(file->parts, now) ==
		       file->written_part_count;
}

/*
 * Starts a write of the copy REGISTRY_FILE_WRITE_DELAY_MS after the registry,
 * the number of silent endpoints or that of refused parts has changed, or after
 * a write has failed.  Must be called periodically.
 */
void registry_file_write_if_changed(registry_file_t *file,
				    const registry_t *registry, clock_ms_t now)
{
	if (file->writing || is_up_to_date(file, registry, now))
		return;
	if (file->changed_ms == 0)
		file->changed_ms = now;
	if (now - file->changed_ms >= REGISTRY_FILE_WRITE_DELAY_MS)
		start_write(file, registry, now);
}

/*
 * Writes the copy at once, or after the write in progress: an endpoint leaves,
 * and must not be in use again after a power loss.
 */
void registry_file_write_now(registry_file_t *file, const registry_t *registry,
			     clock_ms_t now)
{
	file->changed_ms = now - REGISTRY_FILE_WRITE_DELAY_MS;
	registry_file_write_if_changed(file, registry, now);
}

/* The time since the copy was written counts for no refusal. */
static void load_parts(registry_file_t *file,
		       const msg_fleet_endpoints_t *message, clock_ms_t now)
{
	for (size_t i = 0; i < message->part_count; i++) {
		const msg_fleet_part_t *part = &message->parts[i];
		clock_ms_t left_ms =
			MIN(part->refused_left_ms, PART_GUARD_REFUSAL_MS);

		if (part_guard_watch(file->parts, part->part, now + left_ms,
				     now))
			LOG_WARN("part_refused",
				 "part=%" G_GINT64_MODIFIER
				 "x for_ms=%" G_GINT64_FORMAT " source=disk",
				 part->part, left_ms);
	}
}

/*
 * Whether an endpoint had sent nothing for REGISTRY_SILENCE_MS when the copy was
 * written.  One that has left is loaded all the same: a late heartbeat would
 * bring it back otherwise.
 */
static bool was_silent(const msg_fleet_endpoint_t *endpoint)
{
	return endpoint->age_ms > REGISTRY_SILENCE_MS && !endpoint->gone;
}

/*
 * Loads the copy into the registry, except for endpoints that were silent when
 * it was written or that the registry refuses.  Loaded endpoints count
 * as heard at "now".  Returns how many it loaded, and sets file->entries.
 */
unsigned registry_file_load(registry_file_t *file, registry_t *registry,
			    clock_ms_t now)
{
	char *path = g_build_filename(file->folder, FILE_NAME, NULL);
	const msg_fleet_endpoints_t *message;
	err_t err = ERR_INIT;
	gchar *data = NULL;
	gsize len = 0;
	unsigned count = 0;
	msg_t msg;

	if (!g_file_get_contents(path, &data, &len, NULL)) {
		g_free(path);
		return 0;
	}
	if (len > FILE_BYTES_MAX ||
	    !msg_decode(&msg, (const uint8_t *)data, len, &err)) {
		log_err(G_LOG_LEVEL_WARNING, "endpoints_unreadable", &err);
	} else {
		message = msg.body;
		if (msg.type == MSG_FLEET_ENDPOINTS) {
			file->entries = message->entries;
			load_parts(file, message, now);
		}
		for (size_t i = 0; msg.type == MSG_FLEET_ENDPOINTS &&
				   i < message->endpoint_count;
		     i++) {
			endpoint_t endpoint;

			if (was_silent(&message->endpoints[i]))
				continue;
			fleet_update_read_endpoint(&message->endpoints[i], now,
						   &endpoint);
			count += registry_update(registry, &endpoint, now) !=
				 REGISTRY_REFUSED;
		}
		msg_finish(&msg);
	}
	g_free(data);
	g_free(path);
	return count;
}
