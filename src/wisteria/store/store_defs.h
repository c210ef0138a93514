#ifndef WISTERIA_STORE_STORE_DEFS_H
#define WISTERIA_STORE_STORE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/codec/msg_defs.h"

/* How many orders are remembered by id, and how many changes are listed. */
#define STORE_RESULTS_MAX 10000
#define STORE_CHANGES_MAX 10000
#define STORE_PRESETS_MAX 256
#define STORE_PRESET_BYTES_MAX (48u << 20) /* of all texts together */
#define STORE_LEAVING_MAX 10000
#define STORE_RETIRED_MAX 100000 /* names of deleted presets */
#define STORE_ENGINES_MAX 1000	 /* orders to engines, ended ones included */
#define STORE_ID_LEN_MAX 128
#define STORE_OPERATOR_LEN_MAX 64
#define STORE_TEXT_LEN_MAX 4096 /* of an order that is no preset */
#define STORE_FINGERPRINT_BYTES 32

/*
 * An accepted change: the order that made "revision".  The order's text is
 * left out where it is the text of a preset.
 */
typedef struct {
	uint64_t revision;
	uint64_t log_index;
	msg_order_t order;
} store_change_t;

/* What was answered to an order. */
typedef struct {
	const char *id;
	bytes_t fingerprint; /* of the order's content */
	uint32_t outcome;    /* an order_outcome_t */
	uint64_t revision;
	const char *reason;
	bool has_winner;
	msg_order_t winner;
	uint64_t fence; /* given to an engine order; 0: none */
} store_result_t;

/*
 * The replicated configuration: presets, the one in force, endpoints that
 * leave, orders by id, fencing numbers and the history of changes.  It is a
 * function of the committed orders alone.
 */
typedef struct {
	uint64_t revision;
	uint64_t fence;	      /* highest fencing number given out */
	uint64_t log_index;   /* of the last order applied */
	const char *in_force; /* name of a preset; "" before the first */
	size_t preset_bytes;
	GArray *presets;	   /* of msg_preset_t, by creation */
	GArray *retired;	   /* of msg_name_t, by name: deleted presets */
	GArray *leaving;	   /* of msg_name_t, by name */
	GArray *engines;	   /* of msg_engine_order_t, by fence */
	int64_t time_ms;	   /* of the log; set before each order */
	int64_t weight_free_ms;	   /* when the weight store is free */
	GQueue changes;		   /* of store_change_t, oldest first */
	GQueue results;		   /* of store_result_t, oldest first */
	GHashTable *results_by_id; /* id to store_result_t */
} store_t;

#endif
