/* Unit tests of the data folder with injected faults of file operations. */
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

/* System file operations with injected faults. */
typedef struct {
	file_ops_t ops;
	size_t write_bytes_max;	 /* longest single write, in bytes */
	size_t disk_bytes_left;	 /* bytes until the disk is full */
	int syncs_until_failure; /* negative: never fails */
	int renames_until_failure;
} faulty_files_t;

static int faulty_open(const file_ops_t *self, const char *path, int flags)
{
	(void)self;
	return file_ops_system.open(&file_ops_system, path, flags);
}

static ssize_t faulty_write(const file_ops_t *self, int fd, const void *data,
			    size_t len)
{
	faulty_files_t *files = (faulty_files_t *)self;
	size_t count =
		MIN(len, MIN(files->write_bytes_max, files->disk_bytes_left));

	if (count == 0) {
		errno = ENOSPC;
		return -1;
	}
	if (files->disk_bytes_left != NO_LIMIT)
		files->disk_bytes_left -= count;
	return file_ops_system.write(&file_ops_system, fd, data, count);
}

static int faulty_sync(const file_ops_t *self, int fd)
{
	faulty_files_t *files = (faulty_files_t *)self;

	if (files->syncs_until_failure == 0) {
		errno = EIO;
		return -1;
	}
	if (files->syncs_until_failure > 0)
		files->syncs_until_failure--;
	return file_ops_system.sync(&file_ops_system, fd);
}

static int faulty_truncate(const file_ops_t *self, int fd, off_t len)
{
	(void)self;
	return file_ops_system.truncate(&file_ops_system, fd, len);
}

static int faulty_rename(const file_ops_t *self, const char *from,
			 const char *to)
{
	faulty_files_t *files = (faulty_files_t *)self;

	if (files->renames_until_failure == 0) {
		errno = EIO;
		return -1;
	}
	if (files->renames_until_failure > 0)
		files->renames_until_failure--;
	return file_ops_system.rename(&file_ops_system, from, to);
}

static faulty_files_t faulty_files_init(void)
{
	return (faulty_files_t){
		.ops = { faulty_open, faulty_write, faulty_sync,
			 faulty_truncate, faulty_rename },
		.write_bytes_max = NO_LIMIT,
		.disk_bytes_left = NO_LIMIT,
		.syncs_until_failure = -1,
		.renames_until_failure = -1,
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

static void append_and_sync(storage_t *storage, uint64_t first, uint64_t last,
			    uint64_t term)
{
	err_t err = ERR_INIT;

	CU_ASSERT_TRUE(append(storage, first, last, term, &err));
	CU_ASSERT_TRUE(storage_sync(storage, &err));
}

static void open_storage(storage_t *storage, const char *folder,
			 raft_stored_t *stored)
{
	err_t err = ERR_INIT;

	CU_ASSERT_FATAL(
		storage_open(storage, folder, &file_ops_system, stored, &err));
}

/* Expects that the snapshot and the entries after it cover 1 to "last". */
static void expect_entries(const char *folder, uint64_t term, uint64_t last)
{
	storage_t storage;
	raft_stored_t stored;

	open_storage(&storage, folder, &stored);
	CU_ASSERT_EQUAL(stored.term, term);
	CU_ASSERT_EQUAL(stored.snapshot.index + stored.entries->len, last);
	for (guint i = 0; i < stored.entries->len; i++)
		CU_ASSERT_EQUAL(
			g_array_index(stored.entries, raft_entry_t, i).index,
			stored.snapshot.index + 1 + i);
	storage_stored_clear(&stored);
	storage_close(&storage);
}

static char *make_log_path(const char *folder, int number)
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

static void test_entries_load_after_restart(void)
{
	char *folder = make_folder();
	storage_t storage;
	raft_stored_t stored;
	uint64_t id;

	open_storage(&storage, folder, &stored);
	id = storage.replica_id;
	CU_ASSERT_NOT_EQUAL(id, 0);
	append_and_sync(&storage, 1, 5, 3);
	append_and_sync(&storage, 4, 4, 4); /* replaces 4 and 5 */
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 4, 4);
	open_storage(&storage, folder, &stored);
	CU_ASSERT_EQUAL(storage.replica_id, id);
	CU_ASSERT_EQUAL(stored.vote, 7);
	storage_stored_clear(&stored);
	storage_close(&storage);
	remove_folder(folder);
}

static void test_second_open_is_refused(void)
{
	char *folder = make_folder();
	storage_t first;
	storage_t second;
	raft_stored_t stored;
	raft_stored_t second_stored;
	err_t err = ERR_INIT;

	open_storage(&first, folder, &stored);
	CU_ASSERT_FALSE(storage_open(&second, folder, &file_ops_system,
				     &second_stored, &err));
	CU_ASSERT_EQUAL(err.code, ERR_CONFLICT);
	storage_stored_clear(&stored);
	storage_close(&first);
	remove_folder(folder);
}

static void test_torn_writes_are_truncated(void)
{
	char *folder = make_folder();
	char *path = make_log_path(folder, 1);
	storage_t storage;
	raft_stored_t stored;
	off_t synced;
	off_t end;
	err_t err = ERR_INIT;

	open_storage(&storage, folder, &stored);
	append_and_sync(&storage, 1, 3, 2);
	synced = (off_t)storage.log_len;
	CU_ASSERT_TRUE(append(&storage, 4, 5, 2, &err));
	end = (off_t)storage.log_len;
	storage_stored_clear(&stored);
	storage_close(&storage);
	for (off_t len = end - 1; len >= synced; len--) {
		uint64_t last = 3;

		CU_ASSERT_EQUAL(truncate(path, len), 0);
		/* The batch has a state and entries with bodies of 28 bytes. */
		if (len >= synced + 2 * RECORD_HEADER_BYTES + 16 + 28)
			last = 4;
		expect_entries(folder, 2, last);
	}
	g_free(path);
	remove_folder(folder);
}

static void test_corrupt_unsynced_data_is_truncated(void)
{
	char *folder = make_folder();
	char *path = make_log_path(folder, 1);
	storage_t storage;
	raft_stored_t stored;
	long synced;
	err_t err = ERR_INIT;

	open_storage(&storage, folder, &stored);
	append_and_sync(&storage, 1, 3, 2);
	synced = (long)storage.log_len;
	CU_ASSERT_TRUE(append(&storage, 4, 9, 2, &err));
	storage_stored_clear(&stored);
	storage_close(&storage);
	flip_byte(path, synced + RECORD_HEADER_BYTES + 1);
	expect_entries(folder, 2, 3);
	g_free(path);
	remove_folder(folder);
}

static void test_corruption_error_names_file_and_offset(void)
{
	char *folder = make_folder();
	char *path = make_log_path(folder, 1);
	char *offset_text;
	storage_t storage;
	raft_stored_t stored;
	long corrupt_offset;
	err_t err = ERR_INIT;

	open_storage(&storage, folder, &stored);
	corrupt_offset = (long)storage.log_len;
	append_and_sync(&storage, 1, 3, 2);
	append_and_sync(&storage, 4, 5, 2);
	storage_stored_clear(&stored);
	storage_close(&storage);
	flip_byte(path, corrupt_offset + RECORD_HEADER_BYTES);
	CU_ASSERT_FALSE(storage_open(&storage, folder, &file_ops_system,
				     &stored, &err));
	CU_ASSERT_EQUAL(err.code, ERR_CORRUPT);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.text, path));
	offset_text = g_strdup_printf("offset %ld", corrupt_offset);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.text, offset_text));
	g_free(offset_text);
	g_free(path);
	remove_folder(folder);
}

static void test_short_writes_are_continued(void)
{
	char *folder = make_folder();
	faulty_files_t files = faulty_files_init();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	files.write_bytes_max = 5;
	CU_ASSERT_FATAL(
		storage_open(&storage, folder, &files.ops, &stored, &err));
	append_and_sync(&storage, 1, 4, 2);
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 2, 4);
	remove_folder(folder);
}

static void test_full_disk_loses_no_entries(void)
{
	char *folder = make_folder();
	faulty_files_t files = faulty_files_init();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	CU_ASSERT_FATAL(
		storage_open(&storage, folder, &files.ops, &stored, &err));
	append_and_sync(&storage, 1, 3, 2);
	files.disk_bytes_left = 70;
	CU_ASSERT_FALSE(append(&storage, 4, 6, 2, &err));
	CU_ASSERT_STRING_EQUAL(err.step, "write");
	CU_ASSERT_FALSE(storage.failed);
	files.disk_bytes_left = NO_LIMIT;
	append_and_sync(&storage, 4, 6, 2);
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 2, 6);
	remove_folder(folder);
}

static void test_failed_sync_is_final(void)
{
	char *folder = make_folder();
	faulty_files_t files = faulty_files_init();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	CU_ASSERT_FATAL(
		storage_open(&storage, folder, &files.ops, &stored, &err));
	CU_ASSERT_TRUE(append(&storage, 1, 2, 2, &err));
	files.syncs_until_failure = 0;
	CU_ASSERT_FALSE(storage_sync(&storage, &err));
	CU_ASSERT_STRING_EQUAL(err.step, "sync");
	files.syncs_until_failure = -1;
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
	ok = storage_install_snapshot(storage, &snapshot, records, err);
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

	open_storage(&storage, folder, &stored);
	append_and_sync(&storage, 1, 6, 2);
	CU_ASSERT_TRUE(install(&storage, 4, 2, 6, &err));
	append_and_sync(&storage, 7, 8, 2);
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 2, 8);
	open_storage(&storage, folder, &stored);
	CU_ASSERT_EQUAL(stored.snapshot.index, 4);
	CU_ASSERT_EQUAL(g_bytes_get_size(stored.snapshot.data), 5);
	storage_stored_clear(&stored);
	storage_close(&storage);
	remove_folder(folder);
}

/*
 * Installs a snapshot of "term" with a crash after "renames" renames and
 * expects that entries to "expected_last" load.
 */
static void crash_at_rename(int renames, uint64_t term, uint64_t expected_last)
{
	char *folder = make_folder();
	faulty_files_t files = faulty_files_init();
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	CU_ASSERT_FATAL(
		storage_open(&storage, folder, &files.ops, &stored, &err));
	append_and_sync(&storage, 1, 6, 2);
	files.renames_until_failure = renames;
	CU_ASSERT_FALSE(install(&storage, 4, term, 6, &err));
	storage_stored_clear(&stored);
	storage_close(&storage);
	expect_entries(folder, 2, expected_last);
	remove_folder(folder);
}

static void test_crash_while_snapshot_is_installed(void)
{
	crash_at_rename(0, 2, 6);
	crash_at_rename(1, 2, 6);
	crash_at_rename(0, 3, 6);
	/* The old entries don't follow from the snapshot of the leader. */
	crash_at_rename(1, 3, 4);
}

static void expect_corrupt_snapshot(long offset)
{
	char *folder = make_folder();
	char *path = g_strdup_printf("%s/snapshot-%016x", folder, 4);
	storage_t storage;
	raft_stored_t stored;
	err_t err = ERR_INIT;

	open_storage(&storage, folder, &stored);
	append_and_sync(&storage, 1, 6, 2);
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

static void test_corrupt_snapshot_is_refused(void)
{
	expect_corrupt_snapshot(0);
	expect_corrupt_snapshot(RECORD_HEADER_BYTES + 20);
	/* Past the end of the file: extra bytes are refused too. */
	expect_corrupt_snapshot(RECORD_HEADER_BYTES + 30);
}

static const unit_test_t tests[] = {
	{ "entries load after a restart", test_entries_load_after_restart },
	{ "second open is refused", test_second_open_is_refused },
	{ "torn writes are truncated", test_torn_writes_are_truncated },
	{ "corrupt unsynced data is truncated",
	  test_corrupt_unsynced_data_is_truncated },
	{ "corruption error names file and offset",
	  test_corruption_error_names_file_and_offset },
	{ "short writes are continued", test_short_writes_are_continued },
	{ "full disk loses no entries", test_full_disk_loses_no_entries },
	{ "failed sync is final", test_failed_sync_is_final },
	{ "snapshot replaces the log", test_snapshot_replaces_the_log },
	{ "crash while a snapshot is installed",
	  test_crash_while_snapshot_is_installed },
	{ "corrupt snapshot is refused", test_corrupt_snapshot_is_refused },
};

int main(void)
{
	return unit_run("storage", tests, ARRAY_SIZE(tests));
}
