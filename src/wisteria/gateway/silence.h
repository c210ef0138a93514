#ifndef WISTERIA_GATEWAY_SILENCE_H
#define WISTERIA_GATEWAY_SILENCE_H

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* Moving average of the pauses between events, over all streams. */
typedef struct {
	double average_ms; /* 0: no pause was observed yet */
} silence_t;

void silence_add_pause(silence_t *silence,
		       clock_ms_t pause_ms) ATTR_NONNULL_ALL;
clock_ms_t silence_limit_ms(const silence_t *silence) ATTR_NONNULL_ALL;

#endif
