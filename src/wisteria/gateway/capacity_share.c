/*
 * Divides the free capacity of an endpoint among entries that learn only now
 * and then what the others use.  Answers the load at which the cheapest
 * endpoints are nearly full, or all entries have just started: without it every
 * entry sees the same room and sends its next requests there.  No clock, no
 * I/O.
 */
#include "wisteria/gateway/capacity_share.h"

#include <glib.h>

/*
 * Returns the probability with which an entry may use the endpoint for its next
 * request.  The other entries are taken to have begun as much there as this one
 * since the last sum, and to see as much traffic: if each of them uses the
 * endpoint with the same probability, what they begin until the next sum fits.
 */
double capacity_share_odds(const capacity_view_t *view,
			   const capacity_load_t *load)
{
	double others = MAX(load->entries, 1) - 1;
	double room = view->capacity - view->used - others * view->own_new;
	double expected = (others + 1) * load->own_arriving;

	if (room <= 0)
		return 0;
	return expected <= room ? 1 : room / expected;
}
