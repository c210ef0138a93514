#ifndef WISTERIA_GATEWAY_PREFILL_AGAIN_H
#define WISTERIA_GATEWAY_PREFILL_AGAIN_H

#include "wisteria/gateway/outcome.h"

/* Why endpoints prefill a prompt again. */
typedef enum {
	PREFILL_AGAIN_NONE, /* no endpoint can have prefilled it before */
	PREFILL_AGAIN_NOT_RUN,
	PREFILL_AGAIN_LOST_ENDPOINT,
	PREFILL_AGAIN_SILENT,
	PREFILL_AGAIN_ERROR
} prefill_again_cause_t;

prefill_again_cause_t prefill_again_cause(attempt_failure_t failure,
					  bool is_endpoint_lost);
void prefill_again_count(prefill_again_cause_t cause, double tokens);

#endif
