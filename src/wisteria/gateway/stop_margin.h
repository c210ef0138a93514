#ifndef WISTERIA_GATEWAY_STOP_MARGIN_H
#define WISTERIA_GATEWAY_STOP_MARGIN_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"

bool stop_margin_is_too_short(clock_ms_t remaining_ms,
			      uint32_t answer_tokens_max, double pass_ms);
bool stop_margin_is_too_short_for_call(clock_ms_t remaining_ms,
				       clock_ms_t left_ms,
				       clock_ms_t longest_ms);

#endif
