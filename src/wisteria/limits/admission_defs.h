#ifndef WISTERIA_LIMITS_ADMISSION_DEFS_H
#define WISTERIA_LIMITS_ADMISSION_DEFS_H

#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/table_defs.h"

/*
 * Most targets per entry, over its lifetime.  Each has queues of its own, so
 * that a target without a free endpoint doesn't delay requests for other
 * targets.
 */
#define ADMISSION_TARGETS_MAX 64

typedef enum {
	ADMISSION_ADMITTED, /* may start now */
	ADMISSION_QUEUED, /* returned later by admission_next() or _expire() */
	ADMISSION_REFUSED /* not queued; see retry_after_ms */
} admission_result_t;

/* Why a request was refused; selects the text of the error reply. */
typedef enum {
	ADMISSION_REASON_NONE,
	ADMISSION_REASON_NO_CONTRACT, /* the preset has none for the customer */
	ADMISSION_REASON_QUEUE_FULL,  /* or ADMISSION_TARGETS_MAX reached */
	ADMISSION_REASON_TOO_LATE     /* would expire before it starts */
} admission_reason_t;

/* A request that asks for admission. */
typedef struct {
	const char *customer;
	const char *target;	/* model or service */
	handle_t request;	/* chosen by the caller; unique while queued */
	clock_ms_t deadline_ms; /* for the complete response */
	clock_ms_t offered_ms;	/* when first offered; 0: now */
} admission_offer_t;

typedef struct {
	admission_result_t result;
	admission_reason_t reason;
	clock_ms_t retry_after_ms; /* only if refused */
} admission_answer_t;

#endif
