/* Loads the files of a data folder: identity, newest snapshot and log. */
#include "wisteria/storage/storage_load.h"

#include <string.h>
#include <unistd.h>

#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"
#include "wisteria/storage/record.h"

#define NAME_DIGITS 16
/*
 * The body of an entry or a snapshot begins with its index and term (8 bytes
 * each) and the kind of the entry or the length of the members (4 bytes).
 */
#define FIXED_FIELDS_BYTES 20

/* The contents of a log file that is being read. */
typedef struct {
	uint64_t base_index; /* of the entry before the first one of the log */
	uint64_t base_term;
	uint64_t term;
	uint64_t vote;
	GArray *entries;
} log_reader_t;

static bool set_corrupt_error(err_t *err, const char *path, uint64_t offset,
			      const char *what)
{
	err_set(err, ERR_CORRUPT, "load", path,
		"%s: %s at offset %" G_GUINT64_FORMAT, path, what, offset);
	return false;
}

static bool read_file(const char *path, gchar **data, gsize *len, err_t *err)
{
	if (g_file_get_contents(path, data, len, NULL))
		return true;
	err_set(err, ERR_IO, "load", path, "%s: cannot read", path);
	return false;
}

/* Returns the path of file "number" of "prefix"; the caller frees it. */
char *storage_numbered_path(const char *folder, const char *prefix,
			    uint64_t number)
{
	return g_strdup_printf("%s/%s%0*" G_GINT64_MODIFIER "x", folder, prefix,
			       NAME_DIGITS, number);
}

static bool parse_file_number(const char *name, const char *prefix,
			      uint64_t *number)
{
	if (!g_str_has_prefix(name, prefix) ||
	    strlen(name) != strlen(prefix) + NAME_DIGITS)
		return false;
	return g_ascii_string_to_unsigned(name + strlen(prefix), 16, 0,
					  UINT64_MAX, number, NULL);
}

/* Finds the highest number of the files with "prefix"; 0: no such file. */
bool storage_find_newest(const char *folder, const char *prefix,
			 uint64_t *number, err_t *err)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	uint64_t found;

	*number = 0;
	if (dir == NULL) {
		err_set(err, ERR_IO, "load", folder, "cannot open the folder");
		return false;
	}
	while ((name = g_dir_read_name(dir)) != NULL)
		if (parse_file_number(name, prefix, &found))
			*number = MAX(*number, found);
	g_dir_close(dir);
	return true;
}

/* Removes temporary files and all files with "prefix" except "keep". */
void storage_remove_other_files(const char *folder, const char *prefix,
				uint64_t keep)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	uint64_t number;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);

		if (g_str_has_suffix(name, STORAGE_TEMP_SUFFIX) ||
		    (parse_file_number(name, prefix, &number) &&
		     number != keep))
			unlink(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
}

/* Loads the replica id of this folder; "found" tells if there is one. */
bool storage_load_identity(const char *folder, uint64_t *id, bool *found,
			   err_t *err)
{
	char *path = g_build_filename(folder, STORAGE_IDENTITY_NAME, NULL);
	gchar *data = NULL;
	gsize len = 0;
	record_t record;
	bool ok = true;

	*found = g_file_test(path, G_FILE_TEST_EXISTS);
	if (*found && !read_file(path, &data, &len, err)) {
		ok = false;
	} else if (*found && (!record_read((uint8_t *)data, len, 0, &record) ||
			      record.type != RECORD_IDENTITY ||
			      record.len != sizeof(*id))) {
		ok = set_corrupt_error(err, path, 0, "damaged identity");
	} else if (*found) {
		*id = record_get_u64(record.body);
	}
	g_free(data);
	g_free(path);
	return ok;
}

static bool parse_snapshot(const record_t *record, raft_snapshot_t *snapshot,
			   err_t *err)
{
	size_t members_len;

	if (record->type != RECORD_SNAPSHOT || record->len < FIXED_FIELDS_BYTES)
		return false;
	snapshot->index = record_get_u64(record->body);
	snapshot->term = record_get_u64(record->body + 8);
	members_len = record_get_u32(record->body + 16);
	if (members_len > record->len - FIXED_FIELDS_BYTES ||
	    !raft_members_decode(&snapshot->members,
				 record->body + FIXED_FIELDS_BYTES, members_len,
				 err))
		return false;
	snapshot->data =
		g_bytes_new(record->body + FIXED_FIELDS_BYTES + members_len,
			    record->len - FIXED_FIELDS_BYTES - members_len);
	return true;
}

/* Loads the newest snapshot; its "data" is NULL if there is none. */
bool storage_load_snapshot(const char *folder, raft_snapshot_t *snapshot,
			   err_t *err)
{
	uint64_t number;
	gchar *data = NULL;
	gsize len = 0;
	record_t record;
	char *path;
	bool ok;

	memset(snapshot, 0, sizeof(*snapshot));
	if (!storage_find_newest(folder, STORAGE_SNAPSHOT_PREFIX, &number, err))
		return false;
	if (number == 0)
		return true;
	path = storage_numbered_path(folder, STORAGE_SNAPSHOT_PREFIX, number);
	ok = read_file(path, &data, &len, err);
	if (ok &&
	    (!record_read((uint8_t *)data, len, 0, &record) ||
	     record.next != len || !parse_snapshot(&record, snapshot, err)))
		ok = set_corrupt_error(err, path, 0, "damaged snapshot");
	g_free(data);
	g_free(path);
	return ok;
}

static bool read_base(log_reader_t *reader, const record_t *record)
{
	if (record->len != 16)
		return false;
	reader->base_index = record_get_u64(record->body);
	reader->base_term = record_get_u64(record->body + 8);
	return true;
}

static bool read_state(log_reader_t *reader, const record_t *record)
{
	if (record->len != 16)
		return false;
	reader->term = record_get_u64(record->body);
	reader->vote = record_get_u64(record->body + 8);
	return true;
}

/* Adds an entry, which replaces the entries from its index on. */
static bool read_entry(log_reader_t *reader, const record_t *record)
{
	raft_entry_t entry;
	uint64_t array_index;

	if (record->len < FIXED_FIELDS_BYTES)
		return false;
	entry.index = record_get_u64(record->body);
	entry.term = record_get_u64(record->body + 8);
	entry.kind = record_get_u32(record->body + 16);
	array_index = entry.index - reader->base_index - 1;
	if (entry.index <= reader->base_index ||
	    array_index > reader->entries->len)
		return false;
	g_array_set_size(reader->entries, (guint)array_index);
	entry.data = g_bytes_new(record->body + FIXED_FIELDS_BYTES,
				 record->len - FIXED_FIELDS_BYTES);
	g_array_append_val(reader->entries, entry);
	return true;
}

typedef bool (*record_reader_t)(log_reader_t *reader, const record_t *record);

static const record_reader_t record_readers[RECORD_TYPE_COUNT] = {
	[RECORD_BASE] = read_base,
	[RECORD_STATE] = read_state,
	[RECORD_ENTRY] = read_entry,
};

static bool read_records(log_reader_t *reader, const char *path,
			 const uint8_t *data, size_t len, uint64_t *valid_len,
			 err_t *err)
{
	uint64_t offset = 0;
	record_t record;

	while (offset < len && record_read(data, len, offset, &record)) {
		if (record_readers[record.type] == NULL ||
		    !record_readers[record.type](reader, &record) ||
		    (offset == 0) != (record.type == RECORD_BASE))
			return set_corrupt_error(
				err, path, offset,
				"invalid or unexpected record");
		offset = record.next;
	}
	if (offset == 0 ||
	    (offset < len && record_was_synced(data, len, offset)))
		return set_corrupt_error(err, path, offset, "damaged record");
	if (offset < len)
		LOG_WARN("log_torn_write",
			 "file=%s offset=%" G_GUINT64_FORMAT
			 " bytes=%" G_GUINT64_FORMAT,
			 path, offset, (uint64_t)len - offset);
	*valid_len = offset;
	return true;
}

/*
 * Adds the entries after the snapshot to "stored".  If the log has another term
 * at the index of the snapshot, its entries do not follow from the snapshot and
 * none are added.
 */
static bool add_entries_after_snapshot(const log_reader_t *reader,
				       const char *path, raft_stored_t *stored,
				       err_t *err)
{
	uint64_t index = stored->snapshot.index;
	uint64_t covered_entries = index - reader->base_index;
	uint64_t term = reader->base_term;

	if (reader->base_index > index)
		return set_corrupt_error(err, path, 0,
					 "the log begins after the snapshot");
	if (covered_entries > reader->entries->len)
		return true;
	if (covered_entries > 0)
		term = g_array_index(reader->entries, raft_entry_t,
				     covered_entries - 1)
			       .term;
	for (uint64_t i = covered_entries;
	     term == stored->snapshot.term && i < reader->entries->len; i++)
		raft_entries_add(
			stored->entries,
			&g_array_index(reader->entries, raft_entry_t, i));
	return true;
}

/*
 * Loads a log file into "stored", whose snapshot is already loaded: the term,
 * the vote and the entries after the snapshot.  "valid_len" receives the length
 * of the valid records.  A torn write at the end is skipped with a warning;
 * corruption of synced data is an error that names the file and the offset.
 */
bool storage_load_log(const char *path, raft_stored_t *stored,
		      uint64_t *valid_len, err_t *err)
{
	log_reader_t reader = { .entries = raft_entries_new() };
	gchar *data = NULL;
	gsize len = 0;
	bool ok = read_file(path, &data, &len, err) &&
		  read_records(&reader, path, (uint8_t *)data, len, valid_len,
			       err) &&
		  add_entries_after_snapshot(&reader, path, stored, err);

	stored->term = reader.term;
	stored->vote = reader.vote;
	g_array_unref(reader.entries);
	g_free(data);
	return ok;
}
