#ifndef WISTERIA_GATEWAY_USAGE_H
#define WISTERIA_GATEWAY_USAGE_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/* What all entries use counts for this long; four report intervals. */
#define USAGE_FRESH_MS 2000

/* What this entry and the others use of each endpoint. */
typedef struct {
	GHashTable *own;   /* endpoint id -> usage_own_t */
	GHashTable *all;   /* endpoint id -> double *, of all entries */
	clock_ms_t all_ms; /* when that was told */
} usage_t;

typedef struct {
	double tokens;
	double reported; /* of those, in the last report */
	unsigned requests;
} usage_own_t;

void usage_init(usage_t *usage) ATTR_NONNULL_ALL;
void usage_finish(usage_t *usage) ATTR_NONNULL_ALL;
void usage_begin(usage_t *usage, const char *id,
		 double tokens) ATTR_NONNULL_ALL;
void usage_end(usage_t *usage, const char *id, double tokens) ATTR_NONNULL_ALL;
unsigned usage_requests(const usage_t *usage, const char *id) ATTR_NONNULL_ALL;
double usage_tokens(const usage_t *usage, const char *id,
		    clock_ms_t now) ATTR_NONNULL_ALL;
void usage_take(usage_t *usage, const msg_fleet_load_t *load,
		clock_ms_t now) ATTR_NONNULL_ALL;
msg_fleet_use_t *usage_report(usage_t *usage, size_t *count) ATTR_NONNULL_ALL;

#endif
