#ifndef WISTERIA_GATEWAY_OUTCOME_H
#define WISTERIA_GATEWAY_OUTCOME_H

#include <stdbool.h>

#include "wisteria/base/macros_defs.h"

/* How an attempt at an endpoint ended without a good answer. */
typedef enum {
	ATTEMPT_UNSENT,	 /* the endpoint cannot have read it */
	ATTEMPT_NOT_RUN, /* the endpoint says that it has not run it */
	ATTEMPT_UNKNOWN, /* sent, and no readable answer came */
	ATTEMPT_CUT,	 /* the answer broke off */
	ATTEMPT_ERROR	 /* the endpoint's own failure, after running it */
} attempt_end_t;

/* What is known when an attempt has ended. */
typedef struct {
	attempt_end_t end;
	bool repeatable;   /* may run more than once */
	bool answer_begun; /* the caller has read a part of the answer */
	bool resumable;	   /* an answer that has begun can go on elsewhere */
	bool caller_waits; /* there is time left for another attempt */
	unsigned runs;	   /* attempts that may have run, this one included */
	unsigned max_runs;
	unsigned arrivals; /* attempts that an endpoint may have read */
} outcome_case_t;

typedef enum {
	OUTCOME_AGAIN,	/* try another endpoint, if the budget allows */
	OUTCOME_REFUSE, /* tell the caller that it has not run */
	OUTCOME_PASS,	/* pass the endpoint's own failure on */
	OUTCOME_FAIL,	/* tell the caller that it may have run */
	OUTCOME_BREAK	/* end the connection: the answer is not whole */
} outcome_t;

outcome_t outcome_decide(const outcome_case_t *given) ATTR_NONNULL_ALL;
outcome_t outcome_without_retry(const outcome_case_t *given) ATTR_NONNULL_ALL;
bool outcome_is_repeat(const outcome_case_t *given) ATTR_NONNULL_ALL;
const char *attempt_end_name(attempt_end_t end);

#endif
