/*
 * Counts what callers ask of each service, by rank, for the reports to the
 * leader.  The memory is bounded by the services and ranks of the configuration.
 * No clock, no I/O.
 */
#include "wisteria/gateway/demand.h"

#include <string.h>

/* Initializes counts of 0. */
void demand_init(demand_t *demand)
{
	demand->items = g_array_new(FALSE, FALSE, sizeof(demand_item_t));
}

/* Frees the counts. */
void demand_finish(demand_t *demand)
{
	g_array_unref(demand->items);
}

static demand_item_t *find_or_add(demand_t *demand, const char *service,
				  int32_t rank)
{
	demand_item_t added = { .rank = rank };

	for (guint i = 0; i < demand->items->len; i++) {
		demand_item_t *item =
			&g_array_index(demand->items, demand_item_t, i);

		if (item->rank == rank && strcmp(item->service, service) == 0)
			return item;
	}
	g_strlcpy(added.service, service, sizeof(added.service));
	g_array_append_val(demand->items, added);
	return &g_array_index(demand->items, demand_item_t,
			      demand->items->len - 1);
}

/* Counts a new request with a prompt of "prompt_tokens" tokens. */
void demand_add(demand_t *demand, const char *service, int32_t rank,
		double prompt_tokens)
{
	find_or_add(demand, service, rank)->arrived_tokens += prompt_tokens;
}

/* Counts a request that waits; a negative number: that waits no more. */
void demand_add_waiting(demand_t *demand, const char *service, int32_t rank,
			double prompt_tokens)
{
	find_or_add(demand, service, rank)->waiting_tokens += prompt_tokens;
}

/*
 * Returns the counts and begins new ones.  The caller frees the list, but not
 * its strings, which are valid until the next call of a function of "demand".
 */
msg_fleet_demand_t *demand_report(demand_t *demand, size_t *count)
{
	msg_fleet_demand_t *list =
		g_new(msg_fleet_demand_t, demand->items->len + 1);

	for (guint i = 0; i < demand->items->len; i++) {
		demand_item_t *item =
			&g_array_index(demand->items, demand_item_t, i);

		list[i] = (msg_fleet_demand_t){
			.service = item->service,
			.rank = (uint32_t)item->rank,
			.arrived_tokens = item->arrived_tokens,
			.waiting_tokens = MAX(item->waiting_tokens, 0),
		};
		item->arrived_tokens = 0;
	}
	*count = demand->items->len;
	return list;
}
