#ifndef WISTERIA_LIMITS_ADMISSION_DEFS_H
#define WISTERIA_LIMITS_ADMISSION_DEFS_H

#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/table_defs.h"

/* Targets that one entry keeps apart; a full one doesn't hold up others. */
#define ADMISSION_TARGETS_MAX 64

typedef enum {
	ADMISSION_ADMITTED, /* start it now */
	ADMISSION_QUEUED,   /* it comes out of admission_next() or _expire() */
	ADMISSION_REFUSED   /* final; see retry_after_ms */
} admission_result_t;

/* Why an offer was refused; for the refusal's text. */
typedef enum {
	ADMISSION_REASON_NONE,
	ADMISSION_REASON_NO_CONTRACT, /* not a customer of this preset */
	ADMISSION_REASON_QUEUE_FULL,
	ADMISSION_REASON_TOO_LATE /* its turn would come after its deadline */
} admission_reason_t;

/* A request that asks to be let in. */
typedef struct {
	const char *customer;
	const char *target;	/* model or service */
	handle_t request;	/* the caller's own, unique while waiting */
	clock_ms_t deadline_ms; /* of the whole answer */
	clock_ms_t offered_ms;	/* for the first time; 0: now */
} admission_offer_t;

typedef struct {
	admission_result_t result;
	admission_reason_t reason;
	clock_ms_t retry_after_ms; /* where refused */
} admission_answer_t;

#endif
