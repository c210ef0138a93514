/*
 * Fuzzes the data folder: the input selects appends, overwrites, syncs,
 * snapshots, full disks and crashes that truncate or corrupt unsynced data.
 * The expected state is a list of entries: after a crash all synced writes
 * load, followed by a prefix of the unsynced writes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <errno.h>
#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/storage/file_ops.h"
#include "wisteria/storage/storage.h"

#define ENTRIES_MAX 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct {
	uint64_t term;
	uint64_t value;
} model_entry_t;

typedef struct {
	model_entry_t entries[ENTRIES_MAX]; /* by index; [0] is unused */
	uint64_t last;
} model_t;

/* An entry that was written since the last sync. */
typedef struct {
	uint64_t index;
	model_entry_t entry;
} write_t;

typedef struct {
	storage_t storage;
	char *folder;
	uint64_t snapshot_index;
	model_t written;
	model_t synced;
	GArray *writes; /* of write_t, since the last sync */
	uint64_t value;
	uint64_t term;
} fuzz_state_t;

static size_t disk_bytes_left;

static int sim_open(const file_ops_t *self, const char *path, int flags)
{
	(void)self;
	return file_ops_system.open(&file_ops_system, path, flags);
}

static ssize_t sim_write(const file_ops_t *self, int fd, const void *data,
			 size_t len)
{
	size_t count = MIN(len, disk_bytes_left);

	(void)self;
	if (count == 0) {
		errno = ENOSPC;
		return -1;
	}
	if (disk_bytes_left != SIZE_MAX)
		disk_bytes_left -= count;
	return file_ops_system.write(&file_ops_system, fd, data, count);
}

static int sim_sync(const file_ops_t *self, int fd)
{
	(void)self;
	(void)fd;
	return 0;
}

static int sim_truncate(const file_ops_t *self, int fd, off_t len)
{
	(void)self;
	return file_ops_system.truncate(&file_ops_system, fd, len);
}

static int sim_rename(const file_ops_t *self, const char *from, const char *to)
{
	(void)self;
	return file_ops_system.rename(&file_ops_system, from, to);
}

static const file_ops_t ops = { sim_open, sim_write, sim_sync, sim_truncate,
				sim_rename };

static void check(bool holds, const char *message)
{
	if (holds)
		return;
	fprintf(stderr, "violation: %s\n", message);
	abort();
}

static void put_entry(GByteArray *out, uint64_t index,
		      const model_entry_t *entry)
{
	raft_entry_t record = { .index = index, .term = entry->term };

	record.data = g_bytes_new(&entry->value, sizeof(entry->value));
	storage_put_entry(out, &record);
	g_bytes_unref(record.data);
}

static void mark_all_synced(fuzz_state_t *state)
{
	state->synced = state->written;
	g_array_set_size(state->writes, 0);
}

/* Writes an entry into a model and removes the entries after it. */
static void model_write(model_t *model, const write_t *write)
{
	model->entries[write->index] = write->entry;
	model->last = write->index;
}

static void write_entry(fuzz_state_t *state, uint64_t index, GByteArray *out)
{
	const write_t write = { index, { state->term, ++state->value } };

	put_entry(out, index, &write.entry);
	model_write(&state->written, &write);
	g_array_append_val(state->writes, write);
}

static void append(fuzz_state_t *state, uint8_t back, uint8_t count)
{
	uint64_t last = state->written.last;
	uint64_t first = last + 1 - MIN(back % 4, last - state->snapshot_index);
	GByteArray *out = g_byte_array_new();
	err_t err = ERR_INIT;

	state->term += back % 4 != 0;
	storage_put_state(out, state->term, 1);
	for (uint64_t i = 0; i <= count % 8 && first + i < ENTRIES_MAX; i++)
		write_entry(state, first + i, out);
	if (!storage_append(&state->storage, out, &err)) {
		disk_bytes_left = SIZE_MAX;
		check(storage_append(&state->storage, out, &err),
		      "append failed after the disk had space again");
	}
	g_byte_array_unref(out);
}

static void sync_log(fuzz_state_t *state)
{
	err_t err = ERR_INIT;

	check(storage_sync(&state->storage, &err), "sync failed");
	mark_all_synced(state);
}

static void install_snapshot(fuzz_state_t *state, uint8_t back)
{
	const model_t *model = &state->written;
	uint64_t index = model->last -
			 MIN(back % 4, model->last - state->snapshot_index);
	raft_snapshot_t snapshot = { .index = index };
	GByteArray *out = g_byte_array_new();
	err_t err = ERR_INIT;

	if (index <= state->snapshot_index) {
		g_byte_array_unref(out);
		return;
	}
	snapshot.term = model->entries[index].term;
	snapshot.data = g_bytes_new(&index, sizeof(index));
	storage_put_state(out, state->term, 1);
	for (uint64_t i = index + 1; i <= model->last; i++)
		put_entry(out, i, &model->entries[i]);
	disk_bytes_left = SIZE_MAX;
	check(storage_install_snapshot(&state->storage, &snapshot, out, &err),
	      "installing a snapshot failed");
	state->snapshot_index = index;
	mark_all_synced(state);
	g_bytes_unref(snapshot.data);
	g_byte_array_unref(out);
}

static bool equals_loaded(const model_t *model, const raft_stored_t *stored)
{
	if (stored->snapshot.index + stored->entries->len != model->last)
		return false;
	for (guint i = 0; i < stored->entries->len; i++) {
		const raft_entry_t *entry =
			&g_array_index(stored->entries, raft_entry_t, i);
		const model_entry_t *expected = &model->entries[entry->index];
		uint64_t value;

		memcpy(&value, g_bytes_get_data(entry->data, NULL),
		       sizeof(value));
		if (entry->term != expected->term || value != expected->value)
			return false;
	}
	return true;
}

/* Checks that the synced state and a prefix of the later writes load. */
static void check_loaded(fuzz_state_t *state, const raft_stored_t *stored)
{
	guint next = 0;

	check(stored->snapshot.index == state->snapshot_index,
	      "the newest snapshot was not loaded");
	while (!equals_loaded(&state->synced, stored)) {
		check(next < state->writes->len,
		      "the loaded state was never written");
		model_write(&state->synced,
			    &g_array_index(state->writes, write_t, next++));
	}
	state->written = state->synced;
	mark_all_synced(state);
}

static void corrupt_byte(const char *path, uint64_t from, uint64_t len,
			 uint8_t arg)
{
	FILE *file = fopen(path, "r+b");
	long offset = (long)(from + arg % MAX(1, len - from));

	check(file != NULL, "no log file");
	fseek(file, offset, SEEK_SET);
	fputc(arg ^ 0x5a, file);
	fclose(file);
}

static void crash(fuzz_state_t *state, uint8_t fault, uint8_t arg)
{
	uint64_t synced = state->storage.log_synced;
	uint64_t len = state->storage.log_len;
	char *path = g_strdup(state->storage.log_path);
	raft_stored_t stored;
	err_t err = ERR_INIT;

	storage_close(&state->storage);
	disk_bytes_left = SIZE_MAX;
	if (len > synced && fault % 3 == 0)
		check(truncate(path, (off_t)(synced + arg % (len - synced))) ==
			      0,
		      "truncate failed");
	else if (len > synced && fault % 3 == 1)
		corrupt_byte(path, synced, len, arg);
	if (!storage_open(&state->storage, state->folder, &ops, &stored,
			  &err)) {
		fprintf(stderr, "%s\n", err.text);
		abort();
	}
	check_loaded(state, &stored);
	storage_stored_clear(&stored);
	g_free(path);
}

static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);

		unlink(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	rmdir(folder);
}

static void run_operation(fuzz_state_t *state, uint8_t kind, uint8_t arg)
{
	switch (kind % 6) {
	case 0:
	case 1:
		append(state, kind / 6, arg);
		break;
	case 2:
		sync_log(state);
		break;
	case 3:
		install_snapshot(state, arg);
		break;
	case 4:
		disk_bytes_left = arg;
		break;
	default:
		crash(state, kind / 6, arg);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static bool log_is_ready;
	fuzz_state_t *state = g_new0(fuzz_state_t, 1);
	raft_stored_t stored;
	err_t err = ERR_INIT;

	if (!log_is_ready)
		log_is_ready = log_init("fuzz", "error");
	state->term = 1;
	state->writes = g_array_new(FALSE, FALSE, sizeof(write_t));
	state->folder = g_dir_make_tmp("wisteria-fuzz-XXXXXX", NULL);
	disk_bytes_left = SIZE_MAX;
	check(storage_open(&state->storage, state->folder, &ops, &stored, &err),
	      "opening an empty folder failed");
	storage_stored_clear(&stored);
	for (size_t i = 0; i + 1 < size; i += 2)
		run_operation(state, data[i], data[i + 1]);
	crash(state, 2, 0);
	storage_close(&state->storage);
	remove_folder(state->folder);
	g_free(state->folder);
	g_array_unref(state->writes);
	g_free(state);
	return 0;
}
