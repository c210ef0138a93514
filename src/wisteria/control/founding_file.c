/*
 * Keeps the votes of a seed on the first members of a control group in its data
 * folder, from its first start on, together with the seeds that vote: the
 * settings may name others later.  A seed that is started again before there is
 * a group reads them.  The file stays when there is one; nobody reads it then.
 */
#include "wisteria/control/founding_file.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/control/founding.h"
#include "wisteria/raft/raft_members.h"
#include "wisteria/storage/file_replace.h"
#include "wisteria/storage/record.h"

#define FILE_NAME "founding"

/* What is left of the body of a record. */
typedef struct {
	const uint8_t *at;
	size_t len;
	bool failed;
} reader_t;

static void put_ballot(GByteArray *out, const founding_ballot_t *ballot)
{
	record_put_u64(out, ballot->round);
	record_put_u64(out, ballot->proposer);
}

static void put_bytes(GByteArray *out, const void *data, size_t len)
{
	record_put_u32(out, (uint32_t)len);
	if (len > 0)
		g_byte_array_append(out, data, (guint)len);
}

static const uint8_t *take(reader_t *reader, size_t len)
{
	const uint8_t *at = reader->at;

	if (reader->failed || reader->len < len) {
		reader->failed = true;
		return NULL;
	}
	reader->at += len;
	reader->len -= len;
	return at;
}

static uint32_t take_u32(reader_t *reader)
{
	const uint8_t *data = take(reader, sizeof(uint32_t));

	return data == NULL ? 0 : record_get_u32(data);
}

static uint64_t take_u64(reader_t *reader)
{
	const uint8_t *data = take(reader, sizeof(uint64_t));

	return data == NULL ? 0 : record_get_u64(data);
}

static founding_ballot_t take_ballot(reader_t *reader)
{
	founding_ballot_t ballot = { .round = take_u64(reader) };

	ballot.proposer = take_u64(reader);
	return ballot;
}

/*
 * Writes the votes and the seeds, and syncs them.  Blocks; only called before
 * there is a group.
 */
bool founding_file_save(const char *folder, const founding_t *founding,
			err_t *err)
{
	GBytes *members = raft_members_encode(&founding->accepted_members);
	GByteArray *out = g_byte_array_new();
	gsize len = 0;
	const void *data = g_bytes_get_data(members, &len);
	bool ok;

	record_begin(out, RECORD_FOUNDING);
	put_ballot(out, &founding->promised);
	put_ballot(out, &founding->accepted);
	put_bytes(out, data, len);
	record_put_u32(out, founding->seed_count);
	for (uint32_t i = 0; i < founding->seed_count; i++)
		put_bytes(out, founding->seeds[i].address,
			  strlen(founding->seeds[i].address));
	record_end(out, 0);
	record_set_checksums(out->data, out->len, 0, 0);
	ok = file_replace(folder, FILE_NAME, out->data, out->len, err);
	g_byte_array_unref(out);
	g_bytes_unref(members);
	return ok;
}

static void read_seeds(reader_t *reader, const char *own_address,
		       founding_t *founding)
{
	uint32_t count = take_u32(reader);

	founding_clear_seeds(founding);
	for (uint32_t i = 0; i < count && !reader->failed; i++) {
		uint32_t len = take_u32(reader);
		const uint8_t *data = take(reader, len);
		char *address;

		if (data == NULL)
			return;
		address = g_strndup((const char *)data, len);
		founding_add_seed(founding, own_address, address);
		g_free(address);
	}
}

static bool read_votes(const record_t *record, const char *own_address,
		       founding_t *founding, err_t *err)
{
	reader_t reader = { .at = record->body, .len = record->len };
	founding_ballot_t promised = take_ballot(&reader);
	founding_ballot_t accepted = take_ballot(&reader);
	uint32_t len = take_u32(&reader);
	const uint8_t *data = take(&reader, len);
	raft_members_t members;

	if (data == NULL || !raft_members_decode(&members, data, len, err))
		return false;
	read_seeds(&reader, own_address, founding);
	if (reader.failed)
		return false;
	founding_restore(founding, &promised, &accepted, &members);
	return true;
}

/*
 * Reads the votes and the seeds that an earlier process has written, and sets
 * "found" if there are any; then this seed votes, bound by them.  Returns false
 * with "err" set if there is a file that is damaged or cannot be read: what was
 * promised is not known then.
 */
bool founding_file_load(const char *folder, const char *own_address,
			founding_t *founding, bool *found, err_t *err)
{
	char *path = g_build_filename(folder, FILE_NAME, NULL);
	GError *read_error = NULL;
	gchar *data = NULL;
	gsize len = 0;
	record_t record;
	bool ok = true;

	*found = g_file_get_contents(path, &data, &len, &read_error);
	if (*found) {
		ok = record_read((const uint8_t *)data, len, 0, &record) &&
		     record.type == RECORD_FOUNDING &&
		     read_votes(&record, own_address, founding, err);
		if (!ok && !err_is_set(err))
			err_set(err, ERR_CORRUPT, "load", path,
				"the votes on the first members are damaged");
	} else if (!g_error_matches(read_error, G_FILE_ERROR,
				    G_FILE_ERROR_NOENT)) {
		ok = false;
		err_set(err, ERR_IO, "load", path, "%s", read_error->message);
	}
	g_clear_error(&read_error);
	g_free(data);
	g_free(path);
	return ok;
}
