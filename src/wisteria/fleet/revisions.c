/*
 * Selects the configuration revision in force: the committed revision with the
 * highest number, whatever the order of the commits.
 */
#include "wisteria/fleet/revisions.h"

#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/pack.h"
#include "wisteria/fleet/routes.h"

/* Initializes a state without a revision. */
void revisions_init(revisions_t *revisions)
{
	revisions->revision = 0;
	revisions->packed = pack_bytes("", 0);
}

/* Frees the state's contents. */
void revisions_finish(revisions_t *revisions)
{
	g_bytes_unref(revisions->packed);
}

static void encode(uint64_t revision, GBytes *document, msgpack_sbuffer *out)
{
	msgpack_packer packer;
	gsize len = 0;
	const void *data = g_bytes_get_data(document, &len);

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, revision);
	msgpack_pack_bin(&packer, len);
	msgpack_pack_bin_body(&packer, data, len);
}

/* Appends a revision to "out", encoded as a log entry. */
void revisions_encode(uint64_t revision, const void *document, size_t len,
		      msgpack_sbuffer *out)
{
	GBytes *packed = pack_bytes(document, len);

	encode(revision, packed, out);
	g_bytes_unref(packed);
}

/* Appends the state to "out" as a snapshot, in the format of a log entry. */
void revisions_snapshot(const revisions_t *revisions, msgpack_sbuffer *out)
{
	encode(revisions->revision, revisions->packed, out);
}

/*
 * Returns the document as the operator sent it; the caller unreferences it.
 * Returns NULL with "err" set if the held document is corrupt.
 */
GBytes *revisions_document(const revisions_t *revisions, err_t *err)
{
	gsize len = 0;
	const void *packed = g_bytes_get_data(revisions->packed, &len);

	return unpack_bytes(packed, len, err);
}

/*
 * Parses a packed document.  Returns its route table, or NULL with "err" set.
 * May run on any thread.
 */
route_table_t *revisions_parse_table(const fleet_dialect_t *dialect,
				     const void *packed, size_t len, err_t *err)
{
	GBytes *document = unpack_bytes(packed, len, err);
	route_table_t *read;
	const void *data;
	gsize data_len = 0;

	if (document == NULL)
		return NULL;
	data = g_bytes_get_data(document, &data_len);
	read = dialect->read_configuration(data, data_len, err);
	g_bytes_unref(document);
	return read;
}

/*
 * Replaces "*table", which may be NULL, by the table "read" that
 * revisions_parse_table() returned.  If "read" is NULL, logs the error "err"
 * and keeps the current table in force.
 */
void revisions_install_table(route_table_t *read, const err_t *err,
			     route_table_t **table)
{
	if (read == NULL) {
		log_err(G_LOG_LEVEL_CRITICAL, "revision_unreadable", err);
		return;
	}
	route_table_unref(*table);
	*table = read;
	LOG_INFO("revision_in_force",
		 "revision=%" G_GUINT64_FORMAT
		 " routes=%u customers=%u requires_key=%d",
		 read->revision, read->routes->len, read->customers->len,
		 read->requires_key);
}

/*
 * Applies a log entry or a snapshot; sets "changed" if its revision is now in
 * force.  Returns false with "err" set if the bytes are not a valid revision.
 */
bool revisions_apply(revisions_t *revisions, const uint8_t *data, size_t len,
		     bool *changed, err_t *err)
{
	msgpack_unpacked unpacked;
	const msgpack_object *parts;
	bool ok;

	*changed = false;
	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, (const char *)data, len, NULL) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	     unpacked.data.via.array.size == 2;
	parts = ok ? unpacked.data.via.array.ptr : NULL;
	ok = ok && parts[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	     parts[1].type == MSGPACK_OBJECT_BIN;
	if (!ok) {
		err_set(err, ERR_CORRUPT, "apply_revision", "",
			"the log entry is not a valid revision");
	} else if (parts[0].via.u64 > revisions->revision) {
		g_bytes_unref(revisions->packed);
		revisions->revision = parts[0].via.u64;
		revisions->packed = g_bytes_new(parts[1].via.bin.ptr,
						parts[1].via.bin.size);
		*changed = true;
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
