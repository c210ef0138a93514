/*
 * Fuzzes the data folder: the bytes choose appends, overwrites, syncs,
 * snapshots, full disks and crashes that tear or garble what was not synced.
 * The oracle is a plain list of entries: all that was synced is loaded again,
 * and of the rest at most a beginning.
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
	model_entry_t entries[ENTRIES_MAX]; /* by index; 0 is unused */
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
	uint64_t snapshot;
	model_t written;
	model_t synced;
	GArray *writes; /* of write_t, since the sync */
	uint64_t value;
	uint64_t term;
} world_t;

static size_t disk_left;

static int sim_open(const file_ops_t *self, const char *path, int flags)
{
	(void)self;
	return file_ops_system.open(&file_ops_system, path, flags);
}

static ssize_t sim_write(const file_ops_t *self, int fd, const void *data,
			 size_t len)
{
	size_t count = MIN(len, disk_left);

	(void)self;
	if (count == 0) {
		errno = ENOSPC;
		return -1;
	}
	if (disk_left != SIZE_MAX)
		disk_left -= count;
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

static void check(bool holds, const char *what)
{
	if (holds)
		return;
	fprintf(stderr, "violation: %s\n", what);
	abort();
}

static void put(GByteArray *out, uint64_t index, const model_entry_t *entry)
{
	raft_entry_t record = { .index = index, .term = entry->term };

	record.data = g_bytes_new(&entry->value, sizeof(entry->value));
	storage_put_entry(out, &record);
	g_bytes_unref(record.data);
}

static void note_synced(world_t *world)
{
	world->synced = world->written;
	g_array_set_size(world->writes, 0);
}

/* Writes an entry into a model, which drops what followed it. */
static void model_write(model_t *model, const write_t *write)
{
	model->entries[write->index] = write->entry;
	model->last = write->index;
}

static void write_entry(world_t *world, uint64_t index, GByteArray *out)
{
	const write_t write = { index, { world->term, ++world->value } };

	put(out, index, &write.entry);
	model_write(&world->written, &write);
	g_array_append_val(world->writes, write);
}

static void append(world_t *world, uint8_t back, uint8_t count)
{
	uint64_t last = world->written.last;
	uint64_t first = last + 1 - MIN(back % 4, last - world->snapshot);
	GByteArray *out = g_byte_array_new();
	err_t err = ERR_INIT;

	world->term += back % 4 != 0;
	storage_put_state(out, world->term, 1);
	for (uint64_t i = 0; i <= count % 8 && first + i < ENTRIES_MAX; i++)
		write_entry(world, first + i, out);
	if (!storage_append(&world->storage, out, &err)) {
		disk_left = SIZE_MAX;
		check(storage_append(&world->storage, out, &err),
		      "no append after the disk was full");
	}
	g_byte_array_unref(out);
}

static void sync_all(world_t *world)
{
	err_t err = ERR_INIT;

	check(storage_sync(&world->storage, &err), "sync failed");
	note_synced(world);
}

static void snapshot(world_t *world, uint8_t back)
{
	const model_t *model = &world->written;
	uint64_t index =
		model->last - MIN(back % 4, model->last - world->snapshot);
	raft_snapshot_t made = { .index = index };
	GByteArray *out = g_byte_array_new();
	err_t err = ERR_INIT;

	if (index <= world->snapshot) {
		g_byte_array_unref(out);
		return;
	}
	made.term = model->entries[index].term;
	made.data = g_bytes_new(&index, sizeof(index));
	storage_put_state(out, world->term, 1);
	for (uint64_t i = index + 1; i <= model->last; i++)
		put(out, i, &model->entries[i]);
	disk_left = SIZE_MAX;
	check(storage_install(&world->storage, &made, out, &err),
	      "installation failed");
	world->snapshot = index;
	note_synced(world);
	g_bytes_unref(made.data);
	g_byte_array_unref(out);
}

static bool is_loaded(const model_t *model, const raft_stored_t *stored)
{
	if (stored->snapshot.index + stored->entries->len != model->last)
		return false;
	for (guint i = 0; i < stored->entries->len; i++) {
		const raft_entry_t *entry =
			&g_array_index(stored->entries, raft_entry_t, i);
		const model_entry_t *wanted = &model->entries[entry->index];
		uint64_t value;

		memcpy(&value, g_bytes_get_data(entry->data, NULL),
		       sizeof(value));
		if (entry->term != wanted->term || value != wanted->value)
			return false;
	}
	return true;
}

/* What loads is the synced state and some first writes after it. */
static void check_loaded(world_t *world, const raft_stored_t *stored)
{
	guint next = 0;

	check(stored->snapshot.index == world->snapshot, "snapshot lost");
	while (!is_loaded(&world->synced, stored)) {
		check(next < world->writes->len,
		      "what loads was never on the disk");
		model_write(&world->synced,
			    &g_array_index(world->writes, write_t, next++));
	}
	world->written = world->synced;
	note_synced(world);
}

static void garble(const char *path, uint64_t from, uint64_t len, uint8_t arg)
{
	FILE *file = fopen(path, "r+b");
	long offset = (long)(from + arg % MAX(1, len - from));

	check(file != NULL, "no log file");
	fseek(file, offset, SEEK_SET);
	fputc(arg ^ 0x5a, file);
	fclose(file);
}

static void crash(world_t *world, uint8_t how, uint8_t arg)
{
	uint64_t synced = world->storage.log_synced;
	uint64_t len = world->storage.log_len;
	char *path = g_strdup(world->storage.log_path);
	raft_stored_t stored;
	err_t err = ERR_INIT;

	storage_close(&world->storage);
	disk_left = SIZE_MAX;
	if (len > synced && how % 3 == 0)
		check(truncate(path, (off_t)(synced + arg % (len - synced))) ==
			      0,
		      "truncate");
	else if (len > synced && how % 3 == 1)
		garble(path, synced, len, arg);
	if (!storage_open(&world->storage, world->folder, &ops, &stored,
			  &err)) {
		fprintf(stderr, "%s\n", err.text);
		abort();
	}
	check_loaded(world, &stored);
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

static void step(world_t *world, uint8_t kind, uint8_t arg)
{
	switch (kind % 6) {
	case 0:
	case 1:
		append(world, kind / 6, arg);
		break;
	case 2:
		sync_all(world);
		break;
	case 3:
		snapshot(world, arg);
		break;
	case 4:
		disk_left = arg;
		break;
	default:
		crash(world, kind / 6, arg);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static bool quiet;
	world_t *world = g_new0(world_t, 1);
	raft_stored_t stored;
	err_t err = ERR_INIT;

	if (!quiet)
		quiet = log_init("fuzz", "error");
	world->term = 1;
	world->writes = g_array_new(FALSE, FALSE, sizeof(write_t));
	world->folder = g_dir_make_tmp("wisteria-fuzz-XXXXXX", NULL);
	disk_left = SIZE_MAX;
	check(storage_open(&world->storage, world->folder, &ops, &stored, &err),
	      "an empty folder does not open");
	storage_stored_clear(&stored);
	for (size_t i = 0; i + 1 < size; i += 2)
		step(world, data[i], data[i + 1]);
	crash(world, 2, 0);
	storage_close(&world->storage);
	remove_folder(world->folder);
	g_free(world->folder);
	g_array_unref(world->writes);
	g_free(world);
	return 0;
}
