/*
 * Which revision of the configuration is in force: the one with the highest
 * number that was ever committed, in whichever order they arrive.  Pure.
 */
#include "wisteria/fleet/revisions.h"

#include "wisteria/base/err.h"

/* Makes a state without a revision. */
void revisions_init(revisions_t *revisions)
{
	revisions->number = 0;
	revisions->document = g_bytes_new(NULL, 0);
}

/* Frees what is held. */
void revisions_finish(revisions_t *revisions)
{
	g_bytes_unref(revisions->document);
}

/* Appends a revision as an entry of the log, which is a snapshot as well. */
void revisions_encode(uint64_t number, const void *document, size_t len,
		      msgpack_sbuffer *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, number);
	msgpack_pack_bin(&packer, len);
	msgpack_pack_bin_body(&packer, document, len);
}

/*
 * Applies an entry of the log or a snapshot; "changed" tells whether it is
 * in force now.  Returns false where the bytes are no revision.
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
			"the entry is no revision");
	} else if (parts[0].via.u64 > revisions->number) {
		g_bytes_unref(revisions->document);
		revisions->number = parts[0].via.u64;
		revisions->document = g_bytes_new(parts[1].via.bin.ptr,
						  parts[1].via.bin.size);
		*changed = true;
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
