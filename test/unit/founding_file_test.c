/* Unit tests of the votes on the first members that a seed keeps on disk. */
#include "unit.h"

#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "wisteria/base/err.h"
#include "wisteria/control/founding.h"
#include "wisteria/control/founding_file.h"

#define OWN "10.0.0.2:1"

static char *folder;
static char *path;

/* A seed that has accepted a list of two members. */
static void vote(founding_t *founding)
{
	const founding_msg_t accept = {
		.kind = FOUNDING_MSG_ACCEPT,
		.ballot = { 3, 7 },
		.members = { .items = { { .id = 7,
					  .voter = true,
					  .instance = "10.0.0.1:1",
					  .address = "10.0.0.1:1" },
					{ .id = 8, .voter = true } },
			     .count = 2 },
	};
	const founding_msg_t prepare = {
		.kind = FOUNDING_MSG_PREPARE,
		.ballot = { 5, 9 },
	};
	founding_msg_t reply;

	founding_init(founding, 3, 1, 0);
	founding_add_seed(founding, OWN, "10.0.0.1:1");
	founding_add_seed(founding, OWN, OWN);
	founding_add_seed(founding, OWN, "10.0.0.3:1");
	founding->votes = true;
	CU_ASSERT_TRUE(founding_on_request(founding, &accept, 0, &reply));
	CU_ASSERT_TRUE(founding_on_request(founding, &prepare, 0, &reply));
}

/* Loads into an instance whose settings name other seeds. */
static bool load(founding_t *founding, bool *found)
{
	err_t err = ERR_INIT;
	bool ok;

	founding_init(founding, 3, 1, 0);
	founding_add_seed(founding, OWN, "10.0.0.9:1");
	ok = founding_file_load(folder, OWN, founding, found, &err);
	CU_ASSERT_EQUAL(ok, !err_is_set(&err));
	return ok;
}

static void test_votes_and_seeds_are_recalled(void)
{
	founding_t founding;
	founding_t recalled;
	err_t err = ERR_INIT;
	bool found;

	vote(&founding);
	CU_ASSERT_TRUE_FATAL(founding_file_save(folder, &founding, &err));
	CU_ASSERT_TRUE(load(&recalled, &found));
	CU_ASSERT_TRUE(found);
	CU_ASSERT_TRUE(recalled.votes);
	CU_ASSERT_EQUAL(recalled.promised.round, 5);
	CU_ASSERT_EQUAL(recalled.promised.proposer, 9);
	CU_ASSERT_EQUAL(recalled.round_seen, 5);
	CU_ASSERT_EQUAL(recalled.accepted.round, 3);
	CU_ASSERT_EQUAL(recalled.accepted_members.count, 2);
	CU_ASSERT_STRING_EQUAL(recalled.accepted_members.items[0].instance,
			       "10.0.0.1:1");
	CU_ASSERT_EQUAL(recalled.seed_count, 3);
	CU_ASSERT_EQUAL(recalled.own_seed, 1);
	CU_ASSERT_STRING_EQUAL(recalled.seeds[2].address, "10.0.0.3:1");
	founding_finish(&recalled);
	founding_finish(&founding);
}

static void test_first_start_has_no_votes(void)
{
	founding_t founding;
	bool found;

	g_unlink(path);
	CU_ASSERT_TRUE(load(&founding, &found));
	CU_ASSERT_FALSE(found);
	CU_ASSERT_FALSE(founding.votes);
	CU_ASSERT_EQUAL(founding.seed_count, 1);
	founding_finish(&founding);
}

/* Guards against a seed that votes without knowing what it has promised. */
static void test_damaged_votes_are_an_error(void)
{
	founding_t founding;
	err_t err = ERR_INIT;
	gchar *data = NULL;
	gsize len = 0;

	vote(&founding);
	CU_ASSERT_TRUE_FATAL(founding_file_save(folder, &founding, &err));
	founding_finish(&founding);
	CU_ASSERT_TRUE_FATAL(g_file_get_contents(path, &data, &len, NULL));
	for (gsize at = 0; at < len; at++) {
		bool found;

		data[at] ^= 1;
		CU_ASSERT_TRUE(
			g_file_set_contents(path, data, (gssize)len, NULL));
		data[at] ^= 1;
		CU_ASSERT_FALSE(load(&founding, &found));
		CU_ASSERT_FALSE(founding.votes);
		founding_finish(&founding);
		CU_ASSERT_TRUE(
			g_file_set_contents(path, data, (gssize)at, NULL));
		CU_ASSERT_FALSE(load(&founding, &found));
		founding_finish(&founding);
	}
	g_free(data);
	g_unlink(path);
}

/* Guards against votes that cannot be read as votes that were never given. */
static void test_unreadable_votes_are_an_error(void)
{
	founding_t founding;
	bool found;

	/* A link to itself is there and cannot be opened. */
	CU_ASSERT_EQUAL_FATAL(symlink(path, path), 0);
	CU_ASSERT_FALSE(load(&founding, &found));
	CU_ASSERT_FALSE(founding.votes);
	founding_finish(&founding);
	g_unlink(path);
}

static void test_folder_that_is_missing_saves_nothing(void)
{
	founding_t founding;
	err_t err = ERR_INIT;

	vote(&founding);
	CU_ASSERT_FALSE(founding_file_save("/nonexistent", &founding, &err));
	CU_ASSERT_EQUAL(err.code, ERR_IO);
	founding_finish(&founding);
}

static const unit_test_t tests[] = {
	{ "votes and seeds are recalled", test_votes_and_seeds_are_recalled },
	{ "first start has no votes", test_first_start_has_no_votes },
	{ "damaged votes are an error", test_damaged_votes_are_an_error },
	{ "unreadable votes are an error", test_unreadable_votes_are_an_error },
	{ "folder that is missing saves nothing",
	  test_folder_that_is_missing_saves_nothing },
};

int main(void)
{
	int status;

	folder = g_dir_make_tmp("founding-file-XXXXXX", NULL);
	path = g_build_filename(folder, "founding", NULL);
	status = unit_run("founding_file", tests, ARRAY_SIZE(tests));
	g_rmdir(folder);
	g_free(path);
	g_free(folder);
	return status;
}
