#ifndef WISTERIA_BASE_CLOCK_H
#define WISTERIA_BASE_CLOCK_H

#include "wisteria/base/clock_defs.h"

extern const clock_source_t clock_monotonic;
extern const clock_source_t clock_boottime;

clock_ms_t clock_now(const clock_source_t *clock);

#endif
