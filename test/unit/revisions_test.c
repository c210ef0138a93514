/* Unit tests of the choice of the revision in force. */
#include "unit.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/fleet/revisions.h"

static bool apply_revision(revisions_t *revisions, uint64_t revision,
			   const char *document)
{
	msgpack_sbuffer entry;
	err_t err = ERR_INIT;
	bool changed;

	msgpack_sbuffer_init(&entry);
	revisions_encode(revision, document, strlen(document), &entry);
	CU_ASSERT_TRUE(revisions_apply(revisions, (uint8_t *)entry.data,
				       entry.size, &changed, &err));
	msgpack_sbuffer_destroy(&entry);
	return changed;
}

static bool document_is(const revisions_t *revisions, const char *document)
{
	err_t err = ERR_INIT;
	GBytes *stored = revisions_document(revisions, &err);
	gsize len = 0;
	const void *data =
		stored == NULL ? NULL : g_bytes_get_data(stored, &len);
	bool same = stored != NULL && len == strlen(document) &&
		    memcmp(data, document, len) == 0;

	if (stored != NULL)
		g_bytes_unref(stored);
	return same;
}

/* The highest revision stays in force, whatever the order of arrival. */
static void test_highest_revision_stays_in_force(void)
{
	revisions_t revisions;

	revisions_init(&revisions);
	CU_ASSERT_TRUE(apply_revision(&revisions, 4, "four"));
	CU_ASSERT_FALSE(apply_revision(&revisions, 2, "two"));
	CU_ASSERT_FALSE(apply_revision(&revisions, 4, "another four"));
	CU_ASSERT_TRUE(document_is(&revisions, "four"));
	CU_ASSERT_TRUE(apply_revision(&revisions, 9, "nine"));
	CU_ASSERT_TRUE(document_is(&revisions, "nine"));
	CU_ASSERT_EQUAL(revisions.revision, 9);
	revisions_finish(&revisions);
}

static void test_malformed_entries(void)
{
	static const char *const bad[] = { "", "x", "\x92\x01", "\x91\x01",
					   "\x92\xa1x\xc4\x01y" };
	revisions_t revisions;
	bool changed = true;

	revisions_init(&revisions);
	for (size_t i = 0; i < ARRAY_SIZE(bad); i++) {
		err_t err = ERR_INIT;

		CU_ASSERT_FALSE(
			revisions_apply(&revisions, (const uint8_t *)bad[i],
					strlen(bad[i]), &changed, &err));
		CU_ASSERT_EQUAL(err.code, ERR_CORRUPT);
		CU_ASSERT_FALSE(changed);
	}
	CU_ASSERT_EQUAL(revisions.revision, 0);
	revisions_finish(&revisions);
}

/* Restoring a snapshot gives the same state as applying its entries. */
static void test_snapshot(void)
{
	revisions_t original;
	revisions_t restored;
	msgpack_sbuffer out;
	err_t err = ERR_INIT;
	bool changed;

	revisions_init(&original);
	revisions_init(&restored);
	CU_ASSERT_TRUE(apply_revision(&original, 4, "four"));
	msgpack_sbuffer_init(&out);
	revisions_snapshot(&original, &out);
	CU_ASSERT_TRUE(revisions_apply(&restored, (uint8_t *)out.data, out.size,
				       &changed, &err));
	CU_ASSERT_TRUE(document_is(&restored, "four"));
	msgpack_sbuffer_destroy(&out);
	revisions_finish(&original);
	revisions_finish(&restored);
}

static const unit_test_t tests[] = {
	{ "highest revision stays in force",
	  test_highest_revision_stays_in_force },
	{ "malformed entries", test_malformed_entries },
	{ "snapshot", test_snapshot },
};

int main(void)
{
	return unit_run("revisions", tests, ARRAY_SIZE(tests));
}
