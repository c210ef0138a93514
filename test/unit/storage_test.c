/* Unit tests of the data folder, with file operations that fail on purpose. */
#include "unit.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "wisteria/base/err.h"
#include "wisteria/storage/file_ops.h"
#include "wisteria/storage/record_defs.h"
#include "wisteria/storage/storage.h"

#define NO_LIMIT SIZE_MAX

/* File operations of the system that fail as told. */
typedef struct {
	file_ops_t ops;
	size_t write_max;    /* most bytes of one write */
	size_t disk_left;    /* bytes until the disk is full */
	int syncs_until_bad; /* negative: never */
	int renames_until_bad;
} bad_files_t;

static int bad_open(const file_ops_t *self, const char *path, int flags)
{
	(void)self;
	return file_ops_system.open(&file_ops_system, path, flags);
}

static ssize_t bad_write(const file_ops_t *self, int fd, const void *data,
			 size_t len)
{
	bad_files_t *files = (bad_files_t *)self;
	size_t count = MIN(len, MIN(files->write_max, files->disk_left));

	if (count == 0) {
		errno = ENOSPC;
		return -1;
	}
	if (files->disk_left != NO_LIMIT)
		files->disk_left -= count;
	return file_ops_system.write(&file_ops_system, fd, data, count);
}

static int bad_sync(const file_ops_t *self, int fd)
{
	bad_files_t *files = (bad_files_t *)self;

	if (files->syncs_until_bad == 0) {
		errno = EIO;
		return -1;
	}
	if (files->syncs_until_bad > 0)
		files->syncs_until_bad--;
	return file_ops_system.sync(&file_ops_system, fd);
}

static int bad_truncate(const file_ops_t *self, int fd, off_t len)
{
	(void)self;
	return file_ops_system.truncate(&file_ops_system, fd, len);
}

static int bad_rename(const file_ops_t *self, const char *from, const char *to)
{
	bad_files_t *files = (bad_files_t *)self;

	if (files->renames_until_bad == 0) {
		errno = EIO;
		return -1;
	}
	if (files->renames_until_bad > 0)
		files->renames_until_bad--;
	return file_ops_system.rename(&file_ops_system, from, to);
}

static bad_files_t files_init(void)
{
	return (bad_files_t){
		.ops = { bad_open, bad_write, bad_sync, bad_truncate,
			 bad_rename },
		.write_max = NO_LIMIT,
		.disk_left = NO_LIMIT,
		.syncs_until_bad = -1,
		.renames_until_bad = -1,
	};
}

static char *make_folder(void)
{
	char *folder = g_dir_make_tmp("wisteria-storage-XXXXXX", NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(folder);
	return folder;
}

static void remove_folder(char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(folder);
	g_free(folder);
}

static void put_entry(GByteArray *out, uint64_t index, uint64_t term)
{
	raft_entry_t entry = { .index = index, .term = term };

	entry.data = g_bytes_new(&index, sizeof(index));
	storage_put_entry(out, &entry);
	g_bytes_unref(entry.data);
}

static bool append(storage_t *storage, uint64_t first, uint64_t last,
		   uint64_t term, err_t *err)
{
	GByteArray *records = g_byte_array_new();
	bool ok;

	storage_put_state(records, term, 7);
	for (uint64_t index = first; index <= last; index++)
		put_entry(records, index, term);
	ok = storage_append(storage, records, err);
	g_byte_array_unref(records);
	return ok;
}

static void write_synced(storage_t *storage, uint64_t first, uint64_t last,
			 uint64_t term)
{
	err_t err = ERR_INIT;

	CU_ASSERT_TRUE(append(storage, first, last, term, &err));
	CU_ASSERT_TRUE(storage_sync(storage, &err));
}

static void open_good(storage_t *storage, const char *folder,
		      raft_stored_t *stored)
{
	err_t err = ERR_INIT;

	CU_ASSERT_FATAL(
		storage_open(storage, folder, &file_ops_system, stored, &err));
}

/* Opens the folder and expects entries 1 to "last" behind the snapshot. */
static void expect_entries(const char *folder, uint64_t term, uint64_t last)
{
	storage_t storage;
	raft_stored_t stored;

	open_good(&storage, folder, &stored);
	CU_ASSERT_EQUAL(stored.term, term);
	CU_ASSERT_EQUAL(stored.snapshot.index + stored.entries->len, last);
	for (guint i = 0; i < stored.entries->len; i++)
		CU_ASSERT_EQUAL(
			g_array_index(stored.entries, raft_entry_t, i).index,
			stored.snapshot.index + 1 + i);
	storage_stored_clear(&stored);
	storage_close(&storage);
}

static char *log_file(const char *folder, int number)
{
	return g_strdup_printf("%s/log-%016x", folder, (unsigned)number);
}

static void flip_byte(const char *path, long offset)
{
	FILE *file = fopen(path, "r+b");
	int byte;

	CU_ASSERT_PTR_NOT_NULL_FATAL(file);
	fseek(file, offset, SEEK_SET);
	byte = fgetc(file);
	fseek(file, offset, SEEK_SET);
	fputc(byte ^ 0x40, file);
	fclose(file);
}

static void test_entries_survive(void)
{
	char *folder = make_folder();
	storage_t storage;
	raft_stored_t stored;
	uint64_t id;

	open_good(&storage, folder, &stored);
	id = storage.replica_id;
	CU_ASSERT_NOT_EQUAL(id, 0);
	write_synced(&storage, 1, 5, 3);
	write_synced(&storage, 4, 4, 4); /* replaces 4 and 5 */
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 4, 4);
	open_good(&storage, folder, &stored);
	CU_ASSERT_EQUAL(storage.replica_id, id);
	CU_ASSERT_EQUAL(stored.vote, 7);
	storage_stored_clear(&stored);
	storage_close(&storage);
	remove_folder(folder);
}

static void test_two_processes_are_refused(void)
{
	char *folder = make_folder();
	storage_t first;
	storage_t second;
	raft_stored_t stored;
	raft_stored_t other;
	err_t err = ERR_INIT;

	open_good(&first, folder, &stored);
	CU_ASSERT_FALSE(
		storage_open(&second, folder, &file_ops_system, &other, &err));
	CU_ASSERT_EQUAL(err.code, ERR_CONFLICT);
	storage_stored_clear(&stored);
	storage_close(&first);
	remove_folder(folder);
}

static void test_every_torn_tail_is_cut(void)
{
	char *folder = make_folder();
	char *path = log_file(folder, 1);
	storage_t storage;
	raft_stored_t stored;
	off_t synced;
	off_t end;
	err_t err = ERR_INIT;

	open_good(&storage, folder, &stored);
	write_synced(&storage, 1, 3, 2);
	synced = (off_t)storage.log_len;
	CU_ASSERT_TRUE(append(&storage, 4, 5, 2, &err));
	end = (off_t)storage.log_len;
	storage_stored_clear(&stored);
	storage_close(&storage);
	for (off_t len = end - 1; len >= synced; len--) {
		uint64_t last = 3;

		CU_ASSERT_EQUAL(truncate(path, len), 0);
		/* The batch: state, then entries of 28 bytes of body. */
		if (len >= synced + 2 * RECORD_HEADER_BYTES + 16 + 28)
			last = 4;
		expect_entries(folder, 2, last);
	}
	g_free(path);
	remove_folder(folder);
}

static void test_hole_in_the_unsynced_tail_is_cut(void)
{
	char *folder = make_folder();
	char *path = log_file(folder, 1);
	storage_t storage;
	raft_stored_t stored;
	long synced;
	err_t err = ERR_INIT;

	open_good(&storage, folder, &stored);
	write_synced(&storage, 1, 3, 2);
	synced = (long)storage.log_len;
	CU_ASSERT_TRUE(append(&storage, 4, 9, 2, &err));
	storage_stored_clear(&stored);
	storage_close(&storage);
	flip_byte(path, synced + RECORD_HEADER_BYTES + 1);
	expect_entries(folder, 2, 3);
	g_free(path);
	remove_folder(folder);
}

static void test_damage_names_file_and_offset(void)
{
	char *folder = make_folder();
	char *path = log_file(folder, 1);
	char *where;
	storage_t storage;
	raft_stored_t stored;
	long damaged;
	err_t err = ERR_INIT;

	open_good(&storage, folder, &stored);
	damaged = (long)storage.log_len;
	write_synced(&storage, 1, 3, 2);
	write_synced(&storage, 4, 5, 2);
	storage_stored_clear(&stored);
	storage_close(&storage);
	flip_byte(path, damaged + RECORD_HEADER_BYTES);
	CU_ASSERT_FALSE(storage_open(&storage, folder, &file_ops_system,
				     &stored, &err));
	CU_ASSERT_EQUAL(err.code, ERR_CORRUPT);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.text, path));
	where = g_strdup_printf("offset %ld", damaged);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.text, where));
	g_free(where);
	g_free(path);
	remove_folder(folder);
}

static void test_short_writes_are_continued(void)
{
	char *folder = make_folder();
	bad_files_t files = files_init();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	files.write_max = 5;
	CU_ASSERT_FATAL(
		storage_open(&storage, folder, &files.ops, &stored, &err));
	write_synced(&storage, 1, 4, 2);
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 2, 4);
	remove_folder(folder);
}

static void test_full_disk_loses_nothing(void)
{
	char *folder = make_folder();
	bad_files_t files = files_init();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	CU_ASSERT_FATAL(
		storage_open(&storage, folder, &files.ops, &stored, &err));
	write_synced(&storage, 1, 3, 2);
	files.disk_left = 70;
	CU_ASSERT_FALSE(append(&storage, 4, 6, 2, &err));
	CU_ASSERT_STRING_EQUAL(err.step, "write");
	CU_ASSERT_FALSE(storage.failed);
	files.disk_left = NO_LIMIT;
	write_synced(&storage, 4, 6, 2);
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 2, 6);
	remove_folder(folder);
}

static void test_failed_sync_is_final(void)
{
	char *folder = make_folder();
	bad_files_t files = files_init();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	CU_ASSERT_FATAL(
		storage_open(&storage, folder, &files.ops, &stored, &err));
	CU_ASSERT_TRUE(append(&storage, 1, 2, 2, &err));
	files.syncs_until_bad = 0;
	CU_ASSERT_FALSE(storage_sync(&storage, &err));
	CU_ASSERT_STRING_EQUAL(err.step, "sync");
	files.syncs_until_bad = -1;
	CU_ASSERT_FALSE(storage_sync(&storage, &err));
	CU_ASSERT_FALSE(append(&storage, 3, 3, 2, &err));
	CU_ASSERT_STRING_EQUAL(err.step, "sync");
	storage_stored_clear(&stored);
	storage_close(&storage);
	remove_folder(folder);
}

static bool install(storage_t *storage, uint64_t index, uint64_t term,
		    uint64_t last, err_t *err)
{
	raft_snapshot_t snapshot = { .index = index, .term = term };
	GByteArray *records = g_byte_array_new();
	bool ok;

	snapshot.data = g_bytes_new_static("state", 5);
	storage_put_state(records, term, 7);
	for (uint64_t i = index + 1; i <= last; i++)
		put_entry(records, i, term);
	ok = storage_install(storage, &snapshot, records, err);
	g_byte_array_unref(records);
	g_bytes_unref(snapshot.data);
	return ok;
}

static void test_snapshot_replaces_the_log(void)
{
	char *folder = make_folder();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	open_good(&storage, folder, &stored);
	write_synced(&storage, 1, 6, 2);
	CU_ASSERT_TRUE(install(&storage, 4, 2, 6, &err));
	write_synced(&storage, 7, 8, 2);
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 2, 8);
	open_good(&storage, folder, &stored);
	CU_ASSERT_EQUAL(stored.snapshot.index, 4);
	CU_ASSERT_EQUAL(g_bytes_get_size(stored.snapshot.data), 5);
	storage_stored_clear(&stored);
	storage_close(&storage);
	remove_folder(folder);
}

/* A crash at each rename of an installation, of a snapshot of "term". */
static void crash_at_rename(int renames, uint64_t term, uint64_t expected_last)
{
	char *folder = make_folder();
	bad_files_t files = files_init();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	CU_ASSERT_FATAL(
		storage_open(&storage, folder, &files.ops, &stored, &err));
	write_synced(&storage, 1, 6, 2);
	files.renames_until_bad = renames;
	CU_ASSERT_FALSE(install(&storage, 4, term, 6, &err));
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 2, expected_last);
	remove_folder(folder);
}

static void test_crash_during_installation(void)
{
	crash_at_rename(0, 2, 6);
	crash_at_rename(1, 2, 6);
	crash_at_rename(0, 3, 6);
	/* The old entries do not follow from the leader's snapshot. */
	crash_at_rename(1, 3, 4);
}

static void damage_snapshot(long offset)
{
	char *folder = make_folder();
	char *path = g_strdup_printf("%s/snapshot-%016x", folder, 4);
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	open_good(&storage, folder, &stored);
	write_synced(&storage, 1, 6, 2);
	CU_ASSERT_TRUE(install(&storage, 4, 2, 6, &err));
	storage_stored_clear(&stored);
	storage_close(&storage);
	flip_byte(path, offset);
	CU_ASSERT_FALSE(storage_open(&storage, folder, &file_ops_system,
				     &stored, &err));
	CU_ASSERT_EQUAL(err.code, ERR_CORRUPT);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.text, path));
	g_free(path);
	remove_folder(folder);
}

static void test_damaged_snapshot_is_refused(void)
{
	damage_snapshot(0);
	damage_snapshot(RECORD_HEADER_BYTES + 20);
	/* A byte behind the end. */
	damage_snapshot(RECORD_HEADER_BYTES + 30);
}

static const unit_test_t tests[] = {
	{ "entries survive", test_entries_survive },
	{ "two processes are refused", test_two_processes_are_refused },
	{ "every torn tail is cut", test_every_torn_tail_is_cut },
	{ "hole in the unsynced tail", test_hole_in_the_unsynced_tail_is_cut },
	{ "damage names file and offset", test_damage_names_file_and_offset },
	{ "short writes are continued", test_short_writes_are_continued },
	{ "full disk loses nothing", test_full_disk_loses_nothing },
	{ "failed sync is final", test_failed_sync_is_final },
	{ "snapshot replaces the log", test_snapshot_replaces_the_log },
	{ "crash during installation", test_crash_during_installation },
	{ "damaged snapshot is refused", test_damaged_snapshot_is_refused },
};

int main(void)
{
	return unit_run("storage", tests, ARRAY_SIZE(tests));
}
