#ifndef WISTERIA_CONTROL_LEASE_H
#define WISTERIA_CONTROL_LEASE_H

#include "wisteria/base/clock_defs.h"

clock_ms_t lease_end_ms(clock_ms_t sent_ms, clock_ms_t lease_ms);

#endif
