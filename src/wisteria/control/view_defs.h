#ifndef WISTERIA_CONTROL_VIEW_DEFS_H
#define WISTERIA_CONTROL_VIEW_DEFS_H

#include <stdbool.h>

#include <ck_epoch.h>
#include <glib.h>
#include <msgpack.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/settings/preset_defs.h"

/*
 * The state of the system as a daemon's traffic threads see it: an immutable
 * snapshot that the control thread publishes and replaces.  Everything that it
 * points to lives as long as the view; "preset" is shared between views and
 * reference-counted.
 */
typedef struct view_t {
	ck_epoch_entry_t reclaim;
	uint64_t serial;	   /* increases with every published view */
	uint64_t revision;	   /* of the configuration; 0: none yet */
	clock_ms_t lease_until_ms; /* no new work is accepted after this */
	const preset_t *preset;	   /* NULL before the first renewal */
	uint64_t directory_serial; /* changes with "endpoints" or "leaving" */
	const msg_endpoint_t *endpoints;
	size_t endpoint_count;
	const msg_name_t *leaving;
	size_t leaving_count;
	const msg_share_t *shares;
	size_t share_count;
	uint64_t fence; /* highest fencing token issued */
	void (*release)(struct view_t *self);
} view_t;

/* Publishes views to reading threads; one per daemon. */
typedef struct {
	ck_epoch_t epoch;
	view_t *current;
	ck_epoch_record_t writer;
	GPtrArray *records; /* of the readers; freed with the board */
} view_board_t;

/* The registration of a reading thread with a board. */
typedef struct {
	view_board_t *board;
	ck_epoch_record_t *record;
} view_reader_t;

#endif
