#ifndef WISTERIA_GATEWAY_USAGE_H
#define WISTERIA_GATEWAY_USAGE_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/fleet/routes_defs.h"

/* The sum over all entries expires after this: four report intervals. */
#define USAGE_MAX_AGE_MS 2000

/* Weight of the last interval between two sums in the average of them. */
#define USAGE_ARRIVAL_WEIGHT 0.2

/* How much of each endpoint this entry and all entries use. */
typedef struct {
	GHashTable *own; /* endpoint id -> usage_own_t */
	GHashTable *all; /* endpoint id -> double *, tokens of all entries */
	clock_ms_t all_updated_ms; /* when that was received */
	double begun_tokens;	   /* of requests, since then */
	double average_begun;	   /* between two sums */
} usage_t;

/* What this entry uses of one endpoint. */
typedef struct {
	double tokens; /* estimated; 0 for services without a model */
	/* Prompts of requests without a first event, by rank. */
	double unread_tokens[REQUEST_RANKS];
	unsigned requests;
	double reported_tokens; /* "tokens" at the time of the last report */
} usage_own_t;

void usage_init(usage_t *usage) ATTR_NONNULL_ALL;
void usage_finish(usage_t *usage) ATTR_NONNULL_ALL;
void usage_begin(usage_t *usage, const char *id,
		 double tokens) ATTR_NONNULL_ALL;
void usage_end(usage_t *usage, const char *id, double tokens) ATTR_NONNULL_ALL;
void usage_add_unread(usage_t *usage, const char *id, int32_t rank,
		      double prompt_tokens) ATTR_NONNULL_ALL;
double usage_own_unread(const usage_t *usage, const char *id,
			int32_t rank) ATTR_NONNULL_ALL;
unsigned usage_requests(const usage_t *usage, const char *id) ATTR_NONNULL_ALL;
double usage_tokens(const usage_t *usage, const char *id,
		    clock_ms_t now) ATTR_NONNULL_ALL;
double usage_own_new_tokens(const usage_t *usage, const char *id,
			    clock_ms_t now) ATTR_NONNULL_ALL;
void usage_count_begun(usage_t *usage, double tokens) ATTR_NONNULL_ALL;
double usage_arriving_tokens(const usage_t *usage,
			     double tokens) ATTR_NONNULL_ALL;
void usage_update(usage_t *usage, const msg_fleet_load_t *load,
		  clock_ms_t now) ATTR_NONNULL_ALL;
msg_fleet_use_t *usage_report(usage_t *usage, size_t *count) ATTR_NONNULL_ALL;

#endif
