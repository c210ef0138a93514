#ifndef WISTERIA_FLEET_REVISIONS_H
#define WISTERIA_FLEET_REVISIONS_H

#include <glib.h>
#include <msgpack.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/dialect.h"

/*
 * The configuration revision in force: its number and the document as the
 * operator sent it.  This is the state machine of the fleet's replicated log.
 */
typedef struct {
	uint64_t revision; /* 0: none yet */
	GBytes *packed;	   /* the compressed document; never NULL */
} revisions_t;

void revisions_init(revisions_t *revisions) ATTR_NONNULL_ALL;
void revisions_finish(revisions_t *revisions) ATTR_NONNULL_ALL;
void revisions_encode(uint64_t revision, const void *document, size_t len,
		      msgpack_sbuffer *out) ATTR_NONNULL_ALL;
void revisions_snapshot(const revisions_t *revisions,
			msgpack_sbuffer *out) ATTR_NONNULL_ALL;
GBytes *revisions_document(const revisions_t *revisions,
			   err_t *err) ATTR_WARN_UNUSED;
route_table_t *
revisions_parse_table(const fleet_dialect_t *dialect, const void *packed,
		      size_t len, err_t *err) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void revisions_install_table(route_table_t *read, const err_t *err,
			     route_table_t **table) ATTR_NONNULL(2, 3);
bool revisions_apply(revisions_t *revisions, const uint8_t *data, size_t len,
		     bool *changed, err_t *err) ATTR_WARN_UNUSED;

#endif
