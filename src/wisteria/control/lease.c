/* Computes when a configuration lease ends. */
#include "wisteria/control/lease.h"

/*
 * Returns the end of a lease whose renewal was sent at "sent_ms" and granted
 * for "lease_ms".  It counts from the sending, not from the reply: the control
 * instance answered with a state confirmed after that time, but the reply may
 * have been delayed (Gray and Cheriton, "Leases", 1989).
 */
clock_ms_t lease_end_ms(clock_ms_t sent_ms, clock_ms_t lease_ms)
{
	return sent_ms + lease_ms;
}
