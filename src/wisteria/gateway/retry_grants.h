#ifndef WISTERIA_GATEWAY_RETRY_GRANTS_H
#define WISTERIA_GATEWAY_RETRY_GRANTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* Least interval between two requests that are granted. */
#define RETRY_GRANTS_ASK_INTERVAL_MS 25
/*
 * An instance without an answer after this time is passed over: it may be gone.
 * Others need a few ms, and for a write to their disk a little more.
 */
#define RETRY_GRANTS_ANSWER_MS 75
/* After all instances have answered 0; until then, nothing is expected. */
#define RETRY_GRANTS_EMPTY_INTERVAL_MS 200
/* Most retries that one request asks for. */
#define RETRY_GRANTS_ASK_MAX 64

/* Retries that this entry was granted from the fleet's reserve. */
typedef struct {
	GHashTable *balances; /* service -> retry_balance_t */
} retry_grants_t;

void retry_grants_init(retry_grants_t *grants) ATTR_NONNULL_ALL;
void retry_grants_finish(retry_grants_t *grants) ATTR_NONNULL_ALL;
bool retry_grants_has(retry_grants_t *grants, const char *service,
		      clock_ms_t now) ATTR_NONNULL_ALL;
bool retry_grants_may_come(retry_grants_t *grants, const char *service,
			   clock_ms_t now) ATTR_NONNULL_ALL;
bool retry_grants_take(retry_grants_t *grants, const char *service,
		       clock_ms_t now) ATTR_NONNULL_ALL;
uint32_t retry_grants_want(retry_grants_t *grants, const char *service,
			   uint32_t *instance, clock_ms_t now) ATTR_NONNULL_ALL;
void retry_grants_add(retry_grants_t *grants, const char *service,
		      uint32_t count, clock_ms_t expires_ms,
		      clock_ms_t now) ATTR_NONNULL_ALL;
void retry_grants_refused(retry_grants_t *grants, const char *service,
			  uint32_t instances, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
