/* The router and the simple policies that it is compared with. */
#include <stdlib.h>
#include <string.h>

#include "support/route_model.h"

static uint32_t pick_router(bench_t *bench, entry_t *entry, const bool *refused,
			    uint32_t *hops)
{
	static const route_request_t request = {
		.target = "modelo",
		.layers = LAYERS,
	};
	route_choice_t choice;

	(void)refused;
	if (router_choose(entry->router, &request, (clock_ms_t)bench->now_ms,
			  &choice) != ROUTE_FOUND)
		return 0;
	for (size_t i = 0; i < choice.hop_count; i++)
		hops[i] = (uint32_t)atoi(choice.hops[i].endpoint);
	return (uint32_t)choice.hop_count;
}

/* Marks the layers from which usable endpoints reach the last layer. */
static void mark_viable_layers(const bench_t *bench, const entry_t *entry,
			       const bool *refused, bool viable[LAYERS + 1])
{
	memset(viable, 0, (LAYERS + 1) * sizeof(bool));
	viable[LAYERS] = true;
	for (int layer = LAYERS; layer-- > 0;)
		for (uint32_t i = 0; i < bench->endpoint_count; i++) {
			const bench_endpoint_t *endpoint = &bench->endpoints[i];

			if (endpoint->first_layer == (uint32_t)layer &&
			    viable[endpoint->end_layer] && !refused[i] &&
			    !entry->known_failed[i])
				viable[layer] = true;
		}
}

typedef uint32_t (*choose_hop_t)(bench_t *bench, entry_t *entry, uint32_t layer,
				 const uint32_t *usable, uint32_t count);

/* Picks a chain hop by hop with "choose_hop". */
static uint32_t pick_by_hop(bench_t *bench, entry_t *entry, const bool *refused,
			    uint32_t *hops, choose_hop_t choose_hop)
{
	bool viable[LAYERS + 1];
	uint32_t usable[ENDPOINTS_MAX];
	uint32_t hop_count = 0;
	uint32_t layer = 0;

	mark_viable_layers(bench, entry, refused, viable);
	while (layer < LAYERS) {
		uint32_t count = 0;

		for (uint32_t i = 0; i < bench->endpoint_count; i++)
			if (bench->endpoints[i].first_layer == layer &&
			    viable[bench->endpoints[i].end_layer] &&
			    !refused[i] && !entry->known_failed[i])
				usable[count++] = i;
		if (count == 0)
			return 0;
		hops[hop_count] =
			choose_hop(bench, entry, layer, usable, count);
		layer = bench->endpoints[hops[hop_count++]].end_layer;
	}
	return hop_count;
}

static uint32_t choose_in_turn(bench_t *bench, entry_t *entry, uint32_t layer,
			       const uint32_t *usable, uint32_t count)
{
	(void)bench;
	return usable[entry->next_turn[layer]++ % count];
}

static uint32_t choose_at_random(bench_t *bench, entry_t *entry, uint32_t layer,
				 const uint32_t *usable, uint32_t count)
{
	(void)entry;
	(void)layer;
	return usable[g_rand_int_range(bench->random, 0, (gint32)count)];
}

/* Counts only the sessions of this entry; breaks ties at random. */
static uint32_t choose_least_in_flight(bench_t *bench, entry_t *entry,
				       uint32_t layer, const uint32_t *usable,
				       uint32_t count)
{
	const uint32_t start =
		(uint32_t)g_rand_int_range(bench->random, 0, (gint32)count);
	uint32_t best = usable[start];

	(void)layer;
	for (uint32_t i = 0; i < count; i++) {
		const uint32_t index = usable[(start + i) % count];

		if (entry->own_sessions[index] < entry->own_sessions[best])
			best = index;
	}
	return best;
}

static uint32_t pick_round_robin(bench_t *bench, entry_t *entry,
				 const bool *refused, uint32_t *hops)
{
	return pick_by_hop(bench, entry, refused, hops, choose_in_turn);
}

static uint32_t pick_random(bench_t *bench, entry_t *entry, const bool *refused,
			    uint32_t *hops)
{
	return pick_by_hop(bench, entry, refused, hops, choose_at_random);
}

static uint32_t pick_least_in_flight(bench_t *bench, entry_t *entry,
				     const bool *refused, uint32_t *hops)
{
	return pick_by_hop(bench, entry, refused, hops, choose_least_in_flight);
}

const policy_t route_policies[] = {
	{ "router", pick_router },
	{ "round robin", pick_round_robin },
	{ "random", pick_random },
	{ "least in flight", pick_least_in_flight },
};

const size_t route_policy_count = G_N_ELEMENTS(route_policies);
