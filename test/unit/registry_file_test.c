/* Unit tests of the copy of the registry on disk. */
#include "unit.h"

#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/fleet/fleet_update.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/registry_file.h"

#define ENTRIES 105

static char *folder;
static uint32_t loaded_entries;
static part_guard_t parts;

static registry_t registry_with_endpoint(void)
{
	endpoint_t endpoint = { .incarnation = 7,
				.sequence = 3,
				.first_layer = 20,
				.end_layer = 31 };
	registry_t registry;

	registry_init(&registry);
	g_strlcpy(endpoint.id, "i-1", sizeof(endpoint.id));
	g_strlcpy(endpoint.address, "10.0.0.1:80", sizeof(endpoint.address));
	CU_ASSERT_EQUAL(registry_update(&registry, &endpoint, 100),
			REGISTRY_CHANGED);
	return registry;
}

static unsigned load_copy(clock_ms_t now, endpoint_t *first)
{
	registry_file_t file;
	registry_t registry;
	const endpoint_t *found;
	unsigned count;

	registry_init(&registry);
	registry_file_init(&file, uv_default_loop(), folder, &parts);
	count = registry_file_load(&file, &registry, now);
	loaded_entries = file.entries;
	found = registry_find(&registry, "i-1");
	if (found != NULL)
		*first = *found;
	registry_file_finish(&file);
	registry_finish(&registry);
	return count;
}

/* Also where the clock of the process begins anew. */
static void test_refused_parts_outlast_a_power_loss(void)
{
	registry_t registry = registry_with_endpoint();
	endpoint_t first = { 0 };
	msgpack_sbuffer data;
	err_t err = { 0 };

	part_guard_init(&parts);
	CU_ASSERT_TRUE(part_guard_watch(&parts, 0xbad0, 60100, 100));
	CU_ASSERT_FALSE(part_guard_watch(&parts, 0xaa, 0, 100));
	msgpack_sbuffer_init(&data);
	fleet_update_encode(&registry, &parts, ENTRIES, 100, &data);
	CU_ASSERT_TRUE(registry_file_write(folder, data.data, data.size, &err));
	part_guard_init(&parts);
	CU_ASSERT_EQUAL(load_copy(5, &first), 1);
	CU_ASSERT_EQUAL(part_guard_refused_ms(&parts, 0xbad0, 5), 60000);
	CU_ASSERT_EQUAL(parts.count, 1);
	part_guard_init(&parts);
	msgpack_sbuffer_destroy(&data);
	registry_finish(&registry);
}

/* Failure: a bad entry in the copy comes back at each start. */
static void test_bad_entries_of_the_copy_are_not_loaded(void)
{
	registry_t registry = registry_with_endpoint();
	endpoint_t *bad = g_new(endpoint_t, 1);
	endpoint_t first = { 0 };
	msgpack_sbuffer data;
	err_t err = { 0 };

	*bad = *registry_find(&registry, "i-1");
	g_strlcpy(bad->id, "i-2", sizeof(bad->id));
	g_strlcpy(bad->address, "10.0.0.2:0", sizeof(bad->address));
	g_hash_table_insert(registry.by_id, bad->id, bad);
	part_guard_init(&parts);
	msgpack_sbuffer_init(&data);
	fleet_update_encode(&registry, &parts, ENTRIES, 100, &data);
	CU_ASSERT_TRUE(registry_file_write(folder, data.data, data.size, &err));
	CU_ASSERT_EQUAL(load_copy(5, &first), 1);
	CU_ASSERT_STRING_EQUAL(first.id, "i-1");
	msgpack_sbuffer_destroy(&data);
	registry_finish(&registry);
}

static void write_text(const void *data, size_t len)
{
	char *path = g_build_filename(folder, "endpoints", NULL);

	CU_ASSERT_TRUE(g_file_set_contents(path, data, (gssize)len, NULL));
	g_free(path);
}

static void test_loads_what_was_written(void)
{
	registry_t registry = registry_with_endpoint();
	endpoint_t first = { 0 };
	msgpack_sbuffer data;
	err_t err = { 0 };

	msgpack_sbuffer_init(&data);
	fleet_update_encode(&registry, &parts, ENTRIES, 100, &data);
	CU_ASSERT_TRUE(registry_file_write(folder, data.data, data.size, &err));
	CU_ASSERT_EQUAL(load_copy(5000, &first), 1);
	CU_ASSERT_EQUAL(first.sequence, 3);
	CU_ASSERT_EQUAL(first.end_layer, 31);
	CU_ASSERT_EQUAL(first.last_heard_ms, 5000);
	CU_ASSERT_EQUAL(loaded_entries, ENTRIES);
	msgpack_sbuffer_destroy(&data);
	registry_finish(&registry);
}

/* A copy that is truncated anywhere, or is no copy at all, loads nothing. */
static void test_damaged_copies_are_ignored(void)
{
	registry_t registry = registry_with_endpoint();
	endpoint_t first = { 0 };
	msgpack_sbuffer data;

	msgpack_sbuffer_init(&data);
	fleet_update_encode(&registry, &parts, ENTRIES, 100, &data);
	for (size_t len = 0; len < data.size; len++) {
		write_text(data.data, len);
		CU_ASSERT_EQUAL(load_copy(0, &first), 0);
	}
	write_text("no copy", 7);
	CU_ASSERT_EQUAL(load_copy(0, &first), 0);
	msgpack_sbuffer_destroy(&data);
	registry_finish(&registry);
}

static void test_folder_that_cannot_be_written(void)
{
	err_t err = { 0 };

	CU_ASSERT_FALSE(registry_file_write("/nonexistent", "x", 1, &err));
	CU_ASSERT_EQUAL(err.code, ERR_IO);
}

/* A changed registry is written after the delay; an unchanged one is not. */
static void test_writes_changed_registry(void)
{
	registry_t registry = registry_with_endpoint();
	endpoint_t first = { 0 };
	registry_file_t file;

	write_text("", 0);
	registry_file_init(&file, uv_default_loop(), folder, &parts);
	registry_file_write_if_changed(&file, &registry, 1000);
	CU_ASSERT_FALSE(file.writing);
	registry_file_write_if_changed(&file, &registry,
				       1000 + REGISTRY_FILE_WRITE_DELAY_MS);
	CU_ASSERT_TRUE(file.writing);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	CU_ASSERT_FALSE(file.writing);
	CU_ASSERT_EQUAL(load_copy(0, &first), 1);
	registry_file_write_if_changed(&file, &registry, 9000);
	CU_ASSERT_FALSE(file.writing);
	registry_file_finish(&file);
	registry_finish(&registry);
}

/*
 * Guards against a copy that stays old after a full disk: an endpoint that left
 * meanwhile would be in use again after a power loss.
 */
static void test_failed_write_is_repeated(void)
{
	char *late_folder = g_build_filename(folder, "late", NULL);
	char *path = g_build_filename(late_folder, "endpoints", NULL);
	registry_t registry = registry_with_endpoint();
	registry_file_t file;

	registry_file_init(&file, uv_default_loop(), late_folder, &parts);
	registry_file_write_now(&file, &registry, 1000);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	CU_ASSERT_TRUE(file.failing);
	CU_ASSERT_EQUAL_FATAL(g_mkdir(late_folder, 0700), 0);
	registry_file_write_if_changed(&file, &registry, 1100);
	CU_ASSERT_FALSE(file.writing);
	registry_file_write_if_changed(&file, &registry,
				       1100 + REGISTRY_FILE_WRITE_DELAY_MS);
	CU_ASSERT_TRUE(file.writing);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	CU_ASSERT_FALSE(file.failing);
	CU_ASSERT_TRUE(g_file_test(path, G_FILE_TEST_EXISTS));
	registry_file_write_if_changed(&file, &registry, 9000);
	registry_file_write_if_changed(&file, &registry, 10000);
	CU_ASSERT_FALSE(file.writing);
	g_unlink(path);
	g_rmdir(late_folder);
	registry_file_finish(&file);
	registry_finish(&registry);
	g_free(path);
	g_free(late_folder);
}

/*
 * An endpoint that becomes silent does not change the registry's version, but
 * must cause a write: loading an older copy would make the endpoint usable
 * again.
 */
static void test_silent_endpoints_are_not_loaded(void)
{
	registry_t registry = registry_with_endpoint();
	endpoint_t other = { .incarnation = 7, .sequence = 1 };
	endpoint_t first = { 0 };
	registry_file_t file;
	clock_ms_t now = 2000;

	g_strlcpy(other.id, "i-2", sizeof(other.id));
	g_strlcpy(other.address, "10.0.0.2:80", sizeof(other.address));
	CU_ASSERT_EQUAL(registry_update(&registry, &other, now),
			REGISTRY_CHANGED);
	registry_file_init(&file, uv_default_loop(), folder, &parts);
	registry_file_write_if_changed(&file, &registry, now);
	registry_file_write_if_changed(&file, &registry,
				       now + REGISTRY_FILE_WRITE_DELAY_MS);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(load_copy(0, &first), 2);
	now += REGISTRY_SILENCE_MS;
	CU_ASSERT_TRUE(registry_record_heartbeat(&registry, "i-2", 7, 2, now));
	registry_file_write_if_changed(&file, &registry, now);
	registry_file_write_if_changed(&file, &registry,
				       now + REGISTRY_FILE_WRITE_DELAY_MS);
	CU_ASSERT_TRUE(file.writing);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	memset(&first, 0, sizeof(first));
	CU_ASSERT_EQUAL(load_copy(0, &first), 1);
	CU_ASSERT_STRING_EQUAL(first.id, "");
	registry_file_finish(&file);
	registry_finish(&registry);
}

/*
 * Failure: an endpoint that left just before a power loss is in use again, also
 * when the copy was written long after it had left, by a late heartbeat.
 */
static void test_left_endpoint_is_remembered(void)
{
	static const clock_ms_t written_ms[] = {
		200, 200 + 2 * REGISTRY_SILENCE_MS
	};

	for (size_t i = 0; i < ARRAY_SIZE(written_ms); i++) {
		registry_t registry = registry_with_endpoint();
		endpoint_t first = { 0 };
		registry_file_t file;

		write_text("", 0);
		registry_file_init(&file, uv_default_loop(), folder, &parts);
		CU_ASSERT_PTR_NOT_NULL(
			registry_mark_gone(&registry, "i-1", 200));
		registry_file_write_now(&file, &registry, written_ms[i]);
		CU_ASSERT_TRUE(file.writing);
		uv_run(uv_default_loop(), UV_RUN_DEFAULT);
		CU_ASSERT_EQUAL(load_copy(0, &first), 1);
		CU_ASSERT_TRUE(first.gone);
		registry_file_finish(&file);
		registry_finish(&registry);
	}
}

static const unit_test_t tests[] = {
	{ "bad entries of the copy are not loaded",
	  test_bad_entries_of_the_copy_are_not_loaded },
	{ "left endpoint is remembered", test_left_endpoint_is_remembered },
	{ "refused parts outlast a power loss",
	  test_refused_parts_outlast_a_power_loss },
	{ "loads what was written", test_loads_what_was_written },
	{ "damaged copies are ignored", test_damaged_copies_are_ignored },
	{ "a folder that cannot be written",
	  test_folder_that_cannot_be_written },
	{ "writes a changed registry", test_writes_changed_registry },
	{ "failed write is repeated", test_failed_write_is_repeated },
	{ "silent endpoints are not loaded",
	  test_silent_endpoints_are_not_loaded },
};

int main(void)
{
	char name[] = "/tmp/registry-file-XXXXXX";
	char *path;
	int status;

	folder = g_mkdtemp(name);
	if (folder == NULL)
		return EXIT_FAILURE;
	status = unit_run("registry_file", tests, ARRAY_SIZE(tests));
	path = g_build_filename(folder, "endpoints", NULL);
	g_unlink(path);
	g_free(path);
	g_rmdir(folder);
	return status;
}
