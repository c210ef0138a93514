/* When a configuration lease ends. */
#include "wisteria/control/lease.h"

/*
 * Returns the end of a lease that was asked for at "asked_ms" and granted for
 * "lease_ms".  It counts from the question: the control instance answered on
 * what was committed after that, but the answer may have been long on its
 * way (Gray and Cheriton, "Leases", 1989).
 */
clock_ms_t lease_end_ms(clock_ms_t asked_ms, clock_ms_t lease_ms)
{
	return asked_ms + lease_ms;
}
