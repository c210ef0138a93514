#ifndef WISTERIA_GATEWAY_PERMITS_H
#define WISTERIA_GATEWAY_PERMITS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* Without word from the leader for this long an entry issues its own permits. */
#define PERMITS_LEADER_SILENT_MS 1000
/* Batches of permits for one endpoint; the oldest is dropped for a new one. */
#define PERMITS_BATCHES_MAX 32

typedef struct {
	uint32_t count;
	clock_ms_t expires_ms;
} permit_batch_t;

/* The permits of this entry for one endpoint. */
typedef struct {
	permit_batch_t batches[PERMITS_BATCHES_MAX]; /* oldest first */
	uint32_t batch_count;
	double received; /* in about the last second */
	clock_ms_t received_ms;
	clock_ms_t heard_ms;	  /* last word from the leader; 0: none */
	double own_credit;	  /* while the leader is silent */
	clock_ms_t own_filled_ms; /* 0: it is not */
	uint32_t wanted;	  /* requests since the last report */
} permit_balance_t;

/* What this entry may send to endpoints that have named a limit. */
typedef struct {
	GHashTable *balances; /* endpoint id -> permit_balance_t */
	GRand *random;
} permits_t;

void permits_init(permits_t *permits, GRand *random) ATTR_NONNULL_ALL;
void permits_finish(permits_t *permits) ATTR_NONNULL_ALL;
void permits_hear(permits_t *permits, const char *id,
		  clock_ms_t now) ATTR_NONNULL_ALL;
void permits_add(permits_t *permits, const char *id, uint32_t count,
		 double per_s, clock_ms_t now) ATTR_NONNULL_ALL;
bool permits_allow(permits_t *permits, const char *id, double own_per_s,
		   clock_ms_t now) ATTR_NONNULL_ALL;
bool permits_would_allow(const permits_t *permits, const char *id,
			 double own_per_s, clock_ms_t now) ATTR_NONNULL_ALL;
void permits_use(permits_t *permits, const char *id,
		 clock_ms_t now) ATTR_NONNULL_ALL;
double permits_rate(permits_t *permits, const char *id, double own_per_s,
		    clock_ms_t now) ATTR_NONNULL_ALL;
void permits_want(permits_t *permits, const char *id) ATTR_NONNULL_ALL;
uint32_t permits_collect_wanted(permits_t *permits,
				const char *id) ATTR_NONNULL_ALL;
void permits_forget(permits_t *permits, const char *id) ATTR_NONNULL_ALL;

#endif
