/*
 * Durable state under one data folder: a log with a checksum for each record,
 * and snapshots.  New files are written aside, synced and renamed, and the
 * folder is synced; a crash at any point leaves the old state or the new one.
 */
#include "wisteria/storage/storage.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>
#include <sodium.h>

#include "wisteria/base/err.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"
#include "wisteria/storage/record.h"
#include "wisteria/storage/storage_load.h"

#define FOLDER_MODE 0700

static bool io_error(err_t *err, const char *step, const char *path)
{
	err_set(err, ERR_IO, step, path, "%s: %s", path, strerror(errno));
	return false;
}

static bool write_all(const storage_t *storage, int fd, const uint8_t *data,
		      size_t len, const char *path, err_t *err)
{
	while (len > 0) {
		ssize_t done = storage->ops->write(storage->ops, fd, data, len);

		if (done < 0 && errno == EINTR)
			continue;
		if (done <= 0)
			return io_error(err, "write", path);
		data += done;
		len -= (size_t)done;
	}
	return true;
}

/* After a failed sync nobody knows what the disk holds: it is final. */
static bool sync_fd(storage_t *storage, int fd, const char *path, err_t *err)
{
	if (!storage->failed && storage->ops->sync(storage->ops, fd) == 0)
		return true;
	storage->failed = true;
	return io_error(err, "sync", path);
}

/* Writes a whole file aside, syncs it, renames it and syncs the folder. */
static bool put_file(storage_t *storage, const char *path, const uint8_t *data,
		     size_t len, int *kept_fd, err_t *err)
{
	char *aside = g_strconcat(path, STORAGE_ASIDE_SUFFIX, NULL);
	int fd = storage->ops->open(storage->ops, aside,
				    O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
	bool ok;

	if (fd < 0) {
		io_error(err, "open", aside);
		g_free(aside);
		return false;
	}
	ok = write_all(storage, fd, data, len, aside, err) &&
	     sync_fd(storage, fd, aside, err);
	if (ok && storage->ops->rename(storage->ops, aside, path) != 0)
		ok = io_error(err, "rename", path);
	ok = ok && sync_fd(storage, storage->folder_fd, storage->folder, err);
	if (!ok)
		unlink(aside);
	if (ok && kept_fd != NULL)
		*kept_fd = fd;
	else
		close(fd);
	g_free(aside);
	return ok;
}

static bool open_folder(storage_t *storage, err_t *err)
{
	char *lock;

	if (mkdir(storage->folder, FOLDER_MODE) != 0 && errno != EEXIST)
		return io_error(err, "create_folder", storage->folder);
	storage->folder_fd =
		open(storage->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (storage->folder_fd < 0)
		return io_error(err, "open", storage->folder);
	lock = g_build_filename(storage->folder, STORAGE_LOCK_NAME, NULL);
	storage->lock_fd = open(lock, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	g_free(lock);
	if (storage->lock_fd >= 0 &&
	    flock(storage->lock_fd, LOCK_EX | LOCK_NB) == 0)
		return true;
	err_set(err, ERR_CONFLICT, "lock", storage->folder,
		"another process uses this data folder");
	return false;
}

static bool make_identity(storage_t *storage, err_t *err)
{
	char *path =
		g_build_filename(storage->folder, STORAGE_IDENTITY_NAME, NULL);
	GByteArray *out = g_byte_array_new();
	bool ok;

	do
		randombytes_buf(&storage->replica_id,
				sizeof(storage->replica_id));
	while (storage->replica_id == 0);
	record_begin(out, RECORD_IDENTITY);
	record_put_u64(out, storage->replica_id);
	record_end(out, 0);
	record_seal(out->data, out->len, 0, 0);
	ok = put_file(storage, path, out->data, out->len, NULL, err);
	g_byte_array_unref(out);
	g_free(path);
	return ok;
}

/* Begins a new log file that holds "records", and leaves the old one. */
static bool begin_log(storage_t *storage, uint64_t base_index,
		      uint64_t base_term, const GByteArray *records, err_t *err)
{
	char *path = storage_path(storage->folder, STORAGE_LOG_PREFIX,
				  storage->log_number + 1);
	GByteArray *out = g_byte_array_new();
	int fd = -1;
	bool ok;

	record_begin(out, RECORD_BASE);
	record_put_u64(out, base_index);
	record_put_u64(out, base_term);
	record_end(out, 0);
	if (records != NULL)
		g_byte_array_append(out, records->data, records->len);
	record_seal(out->data, out->len, 0, 0);
	ok = put_file(storage, path, out->data, out->len, &fd, err);
	if (ok) {
		if (storage->log_fd >= 0)
			close(storage->log_fd);
		g_free(storage->log_path);
		storage->log_fd = fd;
		storage->log_path = g_steal_pointer(&path);
		storage->log_number++;
		storage->log_len = out->len;
		storage->log_synced = out->len;
		storage_remove_others(storage->folder, STORAGE_LOG_PREFIX,
				      storage->log_number);
	}
	g_byte_array_unref(out);
	g_free(path);
	return ok;
}

static bool open_log(storage_t *storage, raft_stored_t *stored, err_t *err)
{
	uint64_t len = 0;

	storage->log_path = storage_path(storage->folder, STORAGE_LOG_PREFIX,
					 storage->log_number);
	if (!storage_load_log(storage->log_path, stored, &len, err))
		return false;
	storage->log_fd = storage->ops->open(storage->ops, storage->log_path,
					     O_WRONLY | O_APPEND);
	if (storage->log_fd < 0)
		return io_error(err, "open", storage->log_path);
	if (storage->ops->truncate(storage->ops, storage->log_fd, (off_t)len) !=
	    0)
		return io_error(err, "truncate", storage->log_path);
	storage->log_len = len;
	return storage_sync(storage, err);
}

static bool load(storage_t *storage, raft_stored_t *stored, err_t *err)
{
	bool found = false;

	if (!open_folder(storage, err) ||
	    !storage_load_identity(storage->folder, &storage->replica_id,
				   &found, err) ||
	    !storage_load_snapshot(storage->folder, &stored->snapshot, err) ||
	    !storage_newest(storage->folder, STORAGE_LOG_PREFIX,
			    &storage->log_number, err))
		return false;
	if (!found && (storage->log_number > 0 || stored->snapshot.index > 0)) {
		err_set(err, ERR_CORRUPT, "load", storage->folder,
			"a log without an identity");
		return false;
	}
	if (!found && !make_identity(storage, err))
		return false;
	if (storage->log_number == 0)
		return begin_log(storage, 0, 0, NULL, err);
	return open_log(storage, stored, err);
}

/*
 * Opens the data folder, making it where it is missing.  An empty one gets a
 * new replica id, so that a replica that lost its disk never votes under its
 * old one.  On success the caller ends "stored" with storage_stored_clear();
 * on error nothing is held.
 */
bool storage_open(storage_t *storage, const char *folder, const file_ops_t *ops,
		  raft_stored_t *stored, err_t *err)
{
	memset(stored, 0, sizeof(*stored));
	stored->entries = raft_entries_new();
	*storage = (storage_t){
		.ops = ops,
		.folder = g_strdup(folder),
		.folder_fd = -1,
		.lock_fd = -1,
		.log_fd = -1,
	};
	if (load(storage, stored, err))
		return true;
	storage_stored_clear(stored);
	storage_close(storage);
	return false;
}

static void close_fd(int fd)
{
	if (fd >= 0)
		close(fd);
}

/* Closes the files; nothing is synced that was not synced before. */
void storage_close(storage_t *storage)
{
	close_fd(storage->log_fd);
	close_fd(storage->lock_fd);
	close_fd(storage->folder_fd);
	g_free(storage->log_path);
	g_free(storage->folder);
	*storage = (storage_t){ .log_fd = -1, .lock_fd = -1, .folder_fd = -1 };
}

/* Frees what storage_open() read. */
void storage_stored_clear(raft_stored_t *stored)
{
	if (stored->snapshot.data != NULL)
		g_bytes_unref(stored->snapshot.data);
	if (stored->entries != NULL)
		g_array_unref(stored->entries);
	memset(stored, 0, sizeof(*stored));
}

/* Appends a record of term and vote to "out". */
void storage_put_state(GByteArray *out, uint64_t term, uint64_t vote)
{
	size_t start = out->len;

	record_begin(out, RECORD_STATE);
	record_put_u64(out, term);
	record_put_u64(out, vote);
	record_end(out, start);
}

/* Appends a record of one entry to "out". */
void storage_put_entry(GByteArray *out, const raft_entry_t *entry)
{
	size_t start = out->len;
	gsize len = 0;
	const uint8_t *data = g_bytes_get_data(entry->data, &len);

	record_begin(out, RECORD_ENTRY);
	record_put_u64(out, entry->index);
	record_put_u64(out, entry->term);
	record_put_u32(out, entry->kind);
	if (len > 0)
		g_byte_array_append(out, data, (guint)len);
	record_end(out, start);
}

/*
 * Writes records behind the log, without syncing.  On error the log is as it
 * was and the same records may be written again, unless the disk can't even
 * be cut back, which is final like a failed sync.
 */
bool storage_append(storage_t *storage, GByteArray *records, err_t *err)
{
	if (storage->failed) {
		errno = EIO;
		return io_error(err, "sync", storage->log_path);
	}
	record_seal(records->data, records->len, storage->log_len,
		    storage->log_synced);
	if (write_all(storage, storage->log_fd, records->data, records->len,
		      storage->log_path, err)) {
		storage->log_len += records->len;
		return true;
	}
	if (storage->ops->truncate(storage->ops, storage->log_fd,
				   (off_t)storage->log_len) != 0) {
		storage->failed = true;
		return io_error(err, "sync", storage->log_path);
	}
	return false;
}

/* Syncs the log; a failure is final, and the process must end. */
bool storage_sync(storage_t *storage, err_t *err)
{
	if (!sync_fd(storage, storage->log_fd, storage->log_path, err))
		return false;
	storage->log_synced = storage->log_len;
	return true;
}

static bool put_snapshot(storage_t *storage, const raft_snapshot_t *snapshot,
			 err_t *err)
{
	char *path = storage_path(storage->folder, STORAGE_SNAPSHOT_PREFIX,
				  snapshot->index);
	GBytes *members = raft_members_encode(&snapshot->members);
	GByteArray *out = g_byte_array_new();
	gsize len = 0;
	const uint8_t *data;
	bool ok;

	record_begin(out, RECORD_SNAPSHOT);
	record_put_u64(out, snapshot->index);
	record_put_u64(out, snapshot->term);
	data = g_bytes_get_data(members, &len);
	record_put_u32(out, (uint32_t)len);
	g_byte_array_append(out, data, (guint)len);
	data = g_bytes_get_data(snapshot->data, &len);
	if (len > 0)
		g_byte_array_append(out, data, (guint)len);
	record_end(out, 0);
	record_seal(out->data, out->len, 0, 0);
	ok = put_file(storage, path, out->data, out->len, NULL, err);
	if (ok)
		storage_remove_others(storage->folder, STORAGE_SNAPSHOT_PREFIX,
				      snapshot->index);
	g_byte_array_unref(out);
	g_bytes_unref(members);
	g_free(path);
	return ok;
}

/*
 * Replaces the log by a snapshot and, behind it, "records".  All of it is
 * synced on success; on error the old state stands, or the new snapshot with
 * the old log behind it, which loads to the same.
 */
bool storage_install(storage_t *storage, const raft_snapshot_t *snapshot,
		     const GByteArray *records, err_t *err)
{
	return put_snapshot(storage, snapshot, err) &&
	       begin_log(storage, snapshot->index, snapshot->term, records,
			 err);
}
