#ifndef WISTERIA_STORE_STORE_DEFS_H
#define WISTERIA_STORE_STORE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/codec/msg_defs.h"

#define STORE_RESULTS_MAX 10000 /* replies kept by order id */
#define STORE_CHANGES_MAX 10000 /* changes kept in the history */
#define STORE_PRESETS_MAX 256
#define STORE_PRESET_BYTES_MAX (48u << 20) /* total of all texts */
#define STORE_LEAVING_MAX 10000
#define STORE_DELETED_PRESETS_MAX 100000 /* names of deleted presets */
#define STORE_ENGINE_ORDERS_MAX 1000	 /* open and ended ones */
#define STORE_ID_LEN_MAX 128
#define STORE_OPERATOR_LEN_MAX 64
#define STORE_TEXT_LEN_MAX 4096 /* except preset texts */
#define STORE_FINGERPRINT_BYTES 32

/*
 * An accepted change: the order that created "revision".  The order's text is
 * omitted if it is the text of a preset.
 */
typedef struct {
	uint64_t revision;
	uint64_t log_index;
	msg_order_t order;
} store_change_t;

/* The reply that was sent to an order. */
typedef struct {
	const char *id;
	bytes_t fingerprint; /* of the order's content */
	uint32_t outcome;    /* an order_outcome_t */
	uint64_t revision;
	const char *reason;
	bool has_winner;
	msg_order_t winner;
	uint64_t fence; /* fencing token of an engine order; 0: none */
} store_result_t;

/*
 * The replicated configuration: presets, the preset in force, leaving
 * endpoints, replies by order id, fencing tokens and the history of changes.
 * It depends only on the committed orders and their log times.
 */
typedef struct {
	uint64_t revision;
	uint64_t fence;	      /* highest fencing token issued */
	uint64_t log_index;   /* of the last order applied */
	const char *in_force; /* name of a preset; "" before the first */
	size_t preset_bytes;
	GArray *presets;	 /* of msg_preset_t, in order of creation */
	GArray *deleted_presets; /* of msg_name_t, sorted by name */
	GArray *leaving;	 /* of msg_name_t, sorted by name */
	GArray *engine_orders;	 /* of msg_engine_order_t, sorted by fence */
	int64_t time_ms; /* log time; set by the caller before each order */
	/* log time at which the weight store is free */
	int64_t weight_store_free_ms;
	GQueue changes;		   /* of store_change_t, oldest first */
	GQueue results;		   /* of store_result_t, oldest first */
	GHashTable *results_by_id; /* id to store_result_t */
} store_t;

#endif
