/* Unit tests of the log writer thread, with injected disk failures. */
#include "unit.h"

#include <errno.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include <ck_pr.h>
#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/control/log_writer.h"
#include "wisteria/storage/file_ops.h"
#include "wisteria/storage/storage.h"

#define EXIT_DISK 74

/* A disk whose writes fail with ENOSPC or whose syncs fail with EIO. */
typedef struct {
	file_ops_t ops;
	unsigned int full; /* writes fail */
	unsigned int sync_fails;
	unsigned int refused_writes;
} disk_t;

typedef struct {
	log_writer_owner_t owner;
	uint64_t saved;
	uint64_t snapshot_index;
} owner_t;

static int disk_open(const file_ops_t *self, const char *path, int flags)
{
	(void)self;
	return file_ops_system.open(&file_ops_system, path, flags);
}

static ssize_t disk_write(const file_ops_t *self, int fd, const void *data,
			  size_t len)
{
	disk_t *disk = (disk_t *)self;

	if (ck_pr_load_uint(&disk->full) == 0)
		return file_ops_system.write(&file_ops_system, fd, data, len);
	ck_pr_inc_uint(&disk->refused_writes);
	errno = ENOSPC;
	return -1;
}

static int disk_sync(const file_ops_t *self, int fd)
{
	disk_t *disk = (disk_t *)self;

	if (ck_pr_load_uint(&disk->sync_fails) == 0)
		return file_ops_system.sync(&file_ops_system, fd);
	errno = EIO;
	return -1;
}

static int disk_truncate(const file_ops_t *self, int fd, off_t len)
{
	(void)self;
	return file_ops_system.truncate(&file_ops_system, fd, len);
}

static int disk_rename(const file_ops_t *self, const char *from, const char *to)
{
	(void)self;
	return file_ops_system.rename(&file_ops_system, from, to);
}

static void on_saved(log_writer_owner_t *self, uint64_t sequence)
{
	((owner_t *)self)->saved = sequence;
}

static void on_snapshot_saved(log_writer_owner_t *self, uint64_t index,
			      GBytes *data)
{
	(void)data;
	((owner_t *)self)->snapshot_index = index;
}

typedef struct {
	disk_t disk;
	owner_t owner;
	uv_loop_t loop;
	char *folder;
	storage_t storage;
	log_writer_t *writer;
} rig_t;

static void rig_init(rig_t *rig)
{
	raft_stored_t stored;
	err_t err = ERR_INIT;

	*rig = (rig_t){
		.disk.ops = { disk_open, disk_write, disk_sync, disk_truncate,
			      disk_rename },
		.owner.owner = { on_saved, on_snapshot_saved },
	};
	rig->folder = g_dir_make_tmp("wisteria-writer-XXXXXX", NULL);
	CU_ASSERT_FATAL(storage_open(&rig->storage, rig->folder, &rig->disk.ops,
				     &stored, &err));
	storage_stored_clear(&stored);
	uv_loop_init(&rig->loop);
	rig->writer =
		log_writer_new(&rig->storage, &rig->loop, &rig->owner.owner);
}

static void remove_folder(char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);

		remove(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	remove(folder);
	g_free(folder);
}

static void rig_finish(rig_t *rig)
{
	log_writer_close(rig->writer);
	uv_run(&rig->loop, UV_RUN_DEFAULT);
	log_writer_free(rig->writer);
	uv_loop_close(&rig->loop);
	storage_close(&rig->storage);
	remove_folder(rig->folder);
}

static void append(rig_t *rig, uint64_t sequence)
{
	GByteArray *records = g_byte_array_new();

	storage_put_state(records, sequence, 1);
	log_writer_append(rig->writer, records, sequence);
}

static void wait_saved(rig_t *rig, uint64_t sequence)
{
	while (rig->owner.saved < sequence)
		uv_run(&rig->loop, UV_RUN_ONCE);
}

static void test_saves_are_reported_in_order(void)
{
	rig_t rig;

	rig_init(&rig);
	for (uint64_t i = 1; i <= 100; i++)
		append(&rig, i);
	wait_saved(&rig, 100);
	CU_ASSERT_EQUAL(rig.owner.saved, 100);
	CU_ASSERT_EQUAL(rig.storage.log_synced, rig.storage.log_len);
	rig_finish(&rig);
}

static void test_full_disk_reports_nothing_until_written(void)
{
	rig_t rig;

	rig_init(&rig);
	ck_pr_store_uint(&rig.disk.full, 1);
	append(&rig, 1);
	append(&rig, 2);
	while (ck_pr_load_uint(&rig.disk.refused_writes) == 0)
		uv_run(&rig.loop, UV_RUN_NOWAIT);
	CU_ASSERT_EQUAL(rig.owner.saved, 0);
	ck_pr_store_uint(&rig.disk.full, 0);
	wait_saved(&rig, 2);
	CU_ASSERT_EQUAL(rig.owner.saved, 2);
	rig_finish(&rig);
}

static void test_own_snapshot_is_reported(void)
{
	raft_snapshot_t snapshot = { .index = 7, .term = 1 };
	rig_t rig;

	rig_init(&rig);
	snapshot.data = g_bytes_new_static("state", 5);
	log_writer_install(rig.writer, &snapshot, g_byte_array_new(), 0);
	g_bytes_unref(snapshot.data);
	append(&rig, 1);
	wait_saved(&rig, 1);
	CU_ASSERT_EQUAL(rig.owner.snapshot_index, 7);
	rig_finish(&rig);
}

/* Runs in a child process, which must exit before it reports the job. */
static void run_with_failing_sync(void)
{
	rig_t rig;

	rig_init(&rig);
	ck_pr_store_uint(&rig.disk.sync_fails, 1);
	append(&rig, 1);
	wait_saved(&rig, 1);
	_exit(EXIT_SUCCESS);
}

static void test_failed_sync_ends_the_process(void)
{
	pid_t child = fork();
	int status = 0;

	if (child == 0)
		run_with_failing_sync();
	CU_ASSERT_EQUAL_FATAL(waitpid(child, &status, 0), child);
	CU_ASSERT_TRUE(WIFEXITED(status));
	CU_ASSERT_EQUAL(WEXITSTATUS(status), EXIT_DISK);
}

static const unit_test_t tests[] = {
	{ "saves are reported in order", test_saves_are_reported_in_order },
	{ "full disk reports nothing until written",
	  test_full_disk_reports_nothing_until_written },
	{ "own snapshot is reported", test_own_snapshot_is_reported },
	{ "failed sync ends the process", test_failed_sync_ends_the_process },
};

int main(void)
{
	return unit_run("log_writer", tests, ARRAY_SIZE(tests));
}
