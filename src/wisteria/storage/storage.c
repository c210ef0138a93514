/*
 * Stores durable state in one data folder: a log whose records have checksums,
 * and snapshots.  A new file is written under a temporary name, synced and
 * renamed, and the folder is synced, so that a crash never leaves an incomplete
 * file under its final name.  Records are appended to the log in place; a crash
 * can leave a torn write at its end, which storage_open() removes.
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

static bool set_io_error(err_t *err, const char *step, const char *path)
{
	err_set(err, ERR_IO, step, path, "%s: %s", path, strerror(errno));
	return false;
}

static bool write_all(const storage_t *storage, int fd, const uint8_t *data,
		      size_t len, const char *path, err_t *err)
{
	while (len > 0) {
		ssize_t written =
			storage->ops->write(storage->ops, fd, data, len);

		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return set_io_error(err, "write", path);
		data += written;
		len -= (size_t)written;
	}
	return true;
}

/*
 * After a failed sync the contents of the disk are unknown, so the storage
 * refuses all later syncs and appends.
 */
static bool sync_fd(storage_t *storage, int fd, const char *path, err_t *err)
{
	if (!storage->failed && storage->ops->sync(storage->ops, fd) == 0)
		return true;
	storage->failed = true;
	return set_io_error(err, "sync", path);
}

/*
 * Writes a whole file under a temporary name, syncs it, renames it to "path"
 * and syncs the folder.  On success "out_fd", if not NULL, receives the open
 * file.
 */
static bool write_file_atomically(storage_t *storage, const char *path,
				  const uint8_t *data, size_t len, int *out_fd,
				  err_t *err)
{
	char *temp_path = g_strconcat(path, STORAGE_TEMP_SUFFIX, NULL);
	int fd = storage->ops->open(storage->ops, temp_path,
				    O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
	bool ok;

	if (fd < 0) {
		set_io_error(err, "open", temp_path);
		g_free(temp_path);
		return false;
	}
	ok = write_all(storage, fd, data, len, temp_path, err) &&
	     sync_fd(storage, fd, temp_path, err);
	if (ok && storage->ops->rename(storage->ops, temp_path, path) != 0)
		ok = set_io_error(err, "rename", path);
	ok = ok && sync_fd(storage, storage->folder_fd, storage->folder, err);
	if (!ok)
		unlink(temp_path);
	if (ok && out_fd != NULL)
		*out_fd = fd;
	else
		close(fd);
	g_free(temp_path);
	return ok;
}

static bool open_and_lock_folder(storage_t *storage, err_t *err)
{
	char *lock;

	if (mkdir(storage->folder, FOLDER_MODE) != 0 && errno != EEXIST)
		return set_io_error(err, "create_folder", storage->folder);
	storage->folder_fd =
		open(storage->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (storage->folder_fd < 0)
		return set_io_error(err, "open", storage->folder);
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

static bool create_identity(storage_t *storage, err_t *err)
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
	record_set_checksums(out->data, out->len, 0, 0);
	ok = write_file_atomically(storage, path, out->data, out->len, NULL,
				   err);
	g_byte_array_unref(out);
	g_free(path);
	return ok;
}

/*
 * Starts a new log file with "records" and removes the old one.  "base_index"
 * and "base_term" are those of the entry before the first one of the new log.
 */
static bool start_log(storage_t *storage, uint64_t base_index,
		      uint64_t base_term, const GByteArray *records, err_t *err)
{
	char *path = storage_numbered_path(storage->folder, STORAGE_LOG_PREFIX,
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
	record_set_checksums(out->data, out->len, 0, 0);
	ok = write_file_atomically(storage, path, out->data, out->len, &fd,
				   err);
	if (ok) {
		if (storage->log_fd >= 0)
			close(storage->log_fd);
		g_free(storage->log_path);
		storage->log_fd = fd;
		storage->log_path = g_steal_pointer(&path);
		storage->log_number++;
		storage->log_len = out->len;
		storage->log_synced = out->len;
		storage_remove_other_files(storage->folder, STORAGE_LOG_PREFIX,
					   storage->log_number);
	}
	g_byte_array_unref(out);
	g_free(path);
	return ok;
}

static bool open_log(storage_t *storage, raft_stored_t *stored, err_t *err)
{
	uint64_t len = 0;

	storage->log_path = storage_numbered_path(
		storage->folder, STORAGE_LOG_PREFIX, storage->log_number);
	if (!storage_load_log(storage->log_path, stored, &len, err))
		return false;
	storage->log_fd = storage->ops->open(storage->ops, storage->log_path,
					     O_WRONLY | O_APPEND);
	if (storage->log_fd < 0)
		return set_io_error(err, "open", storage->log_path);
	if (storage->ops->truncate(storage->ops, storage->log_fd, (off_t)len) !=
	    0)
		return set_io_error(err, "truncate", storage->log_path);
	storage->log_len = len;
	return storage_sync(storage, err);
}

static bool load_folder(storage_t *storage, raft_stored_t *stored, err_t *err)
{
	bool has_identity = false;

	if (!open_and_lock_folder(storage, err) ||
	    !storage_load_identity(storage->folder, &storage->replica_id,
				   &has_identity, err) ||
	    !storage_load_snapshot(storage->folder, &stored->snapshot, err) ||
	    !storage_find_newest(storage->folder, STORAGE_LOG_PREFIX,
				 &storage->log_number, err))
		return false;
	if (!has_identity &&
	    (storage->log_number > 0 || stored->snapshot.index > 0)) {
		err_set(err, ERR_CORRUPT, "load", storage->folder,
			"a log or snapshot without an identity");
		return false;
	}
	if (!has_identity && !create_identity(storage, err))
		return false;
	if (storage->log_number == 0)
		return start_log(storage, 0, 0, NULL, err);
	return open_log(storage, stored, err);
}

/*
 * Opens the data folder and creates it if it is missing.  An empty folder gets
 * a new replica id, so that a replica that lost its disk never votes under its
 * old id.  On success the caller frees "stored" with storage_stored_clear();
 * on error there is nothing to free.
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
	if (load_folder(storage, stored, err))
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

/* Closes the files without syncing them. */
void storage_close(storage_t *storage)
{
	close_fd(storage->log_fd);
	close_fd(storage->lock_fd);
	close_fd(storage->folder_fd);
	g_free(storage->log_path);
	g_free(storage->folder);
	*storage = (storage_t){ .log_fd = -1, .lock_fd = -1, .folder_fd = -1 };
}

/* Frees the contents of "stored", which storage_open() filled. */
void storage_stored_clear(raft_stored_t *stored)
{
	if (stored->snapshot.data != NULL)
		g_bytes_unref(stored->snapshot.data);
	if (stored->entries != NULL)
		g_array_unref(stored->entries);
	memset(stored, 0, sizeof(*stored));
}

/* Appends a record with the term and the vote to "out". */
void storage_put_state(GByteArray *out, uint64_t term, uint64_t vote)
{
	size_t start = out->len;

	record_begin(out, RECORD_STATE);
	record_put_u64(out, term);
	record_put_u64(out, vote);
	record_end(out, start);
}

/* Appends a record with one log entry to "out". */
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
 * Appends records to the log without syncing it.  On error the log is truncated
 * to its previous length, and the caller may try again with the same records.
 * If the truncation fails too, "failed" is set, all later syncs and appends are
 * refused, and the process must exit.
 */
bool storage_append(storage_t *storage, GByteArray *records, err_t *err)
{
	if (storage->failed) {
		errno = EIO;
		return set_io_error(err, "sync", storage->log_path);
	}
	record_set_checksums(records->data, records->len, storage->log_len,
			     storage->log_synced);
	if (write_all(storage, storage->log_fd, records->data, records->len,
		      storage->log_path, err)) {
		storage->log_len += records->len;
		return true;
	}
	if (storage->ops->truncate(storage->ops, storage->log_fd,
				   (off_t)storage->log_len) != 0) {
		storage->failed = true;
		return set_io_error(err, "sync", storage->log_path);
	}
	return false;
}

/*
 * Syncs the log.  After a failure the contents of the disk are unknown, and the
 * process must exit.
 */
bool storage_sync(storage_t *storage, err_t *err)
{
	if (!sync_fd(storage, storage->log_fd, storage->log_path, err))
		return false;
	storage->log_synced = storage->log_len;
	return true;
}

static bool write_snapshot(storage_t *storage, const raft_snapshot_t *snapshot,
			   err_t *err)
{
	char *path = storage_numbered_path(
		storage->folder, STORAGE_SNAPSHOT_PREFIX, snapshot->index);
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
	record_set_checksums(out->data, out->len, 0, 0);
	ok = write_file_atomically(storage, path, out->data, out->len, NULL,
				   err);
	if (ok)
		storage_remove_other_files(storage->folder,
					   STORAGE_SNAPSHOT_PREFIX,
					   snapshot->index);
	g_byte_array_unref(out);
	g_bytes_unref(members);
	g_free(path);
	return ok;
}

/*
 * Replaces the log with a snapshot and a new log that contains "records".  On
 * success both are synced.  An error can leave the old state, the new snapshot
 * with the old log or, if the last sync of the folder failed, the new state.
 * Each of them loads: of an old log, storage_open() skips the entries up to the
 * snapshot and those that do not follow from it.  The caller may try again
 * unless "failed" is set.
 */
bool storage_install_snapshot(storage_t *storage,
			      const raft_snapshot_t *snapshot,
			      const GByteArray *records, err_t *err)
{
	return write_snapshot(storage, snapshot, err) &&
	       start_log(storage, snapshot->index, snapshot->term, records,
			 err);
}
