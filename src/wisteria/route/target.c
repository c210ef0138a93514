/*
 * The layer ranges of one model, and the predecessors of each range.  A
 * service has the single range [0, 0).
 */
#include "wisteria/route/target.h"

#include <string.h>

#include <glib.h>

#include "wisteria/route/group.h"

/* Returns a target without ranges. */
target_t *target_new(void)
{
	return g_new0(target_t, 1);
}

static void finish_range(range_t *range)
{
	for (uint32_t i = 0; i < range->group_count; i++)
		group_finish(&range->groups[i]);
	g_free(range->groups);
	g_free(range->previous);
}

/* Frees a target; NULL is ignored. */
void target_free(target_t *target)
{
	if (target == NULL)
		return;
	for (uint32_t i = 0; i < target->range_count; i++)
		finish_range(&target->ranges[i]);
	g_free(target->ranges);
	g_free(target);
}

static int compare_range(const range_t *range, uint32_t first_layer,
			 uint32_t end_layer)
{
	if (range->first_layer != first_layer)
		return range->first_layer < first_layer ? -1 : 1;
	if (range->end_layer != end_layer)
		return range->end_layer < end_layer ? -1 : 1;
	return 0;
}

/* Returns the index of the first range not ordered before the given one. */
static uint32_t lower_bound(const target_t *target, uint32_t first_layer,
			    uint32_t end_layer)
{
	uint32_t low = 0;
	uint32_t high = target->range_count;

	while (low < high) {
		const uint32_t middle = (low + high) / 2;

		if (compare_range(&target->ranges[middle], first_layer,
				  end_layer) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns the range [first_layer, end_layer), or NULL. */
range_t *target_find_range(const target_t *target, uint32_t first_layer,
			   uint32_t end_layer)
{
	const uint32_t index = lower_bound(target, first_layer, end_layer);

	if (index == target->range_count ||
	    compare_range(&target->ranges[index], first_layer, end_layer) != 0)
		return NULL;
	return &target->ranges[index];
}

/* Adds the range [first_layer, end_layer) if it is new. */
void target_add_range(target_t *target, uint32_t first_layer,
		      uint32_t end_layer)
{
	const uint32_t index = lower_bound(target, first_layer, end_layer);

	if (target_find_range(target, first_layer, end_layer) != NULL)
		return;
	target->ranges =
		g_renew(range_t, target->ranges, target->range_count + 1);
	memmove(&target->ranges[index + 1], &target->ranges[index],
		(target->range_count - index) * sizeof(range_t));
	target->ranges[index] = (range_t){
		.first_layer = first_layer,
		.end_layer = end_layer,
	};
	target->range_count++;
}

/* Finds the predecessors of each range, once all ranges are added. */
void target_find_predecessors(target_t *target)
{
	for (uint32_t i = 0; i < target->range_count; i++) {
		range_t *range = &target->ranges[i];

		range->previous = g_new(uint32_t, i + 1);
		for (uint32_t j = 0; j < i; j++)
			if (target->ranges[j].end_layer == range->first_layer)
				range->previous[range->previous_count++] = j;
	}
}

/* Returns the index of a failure domain's group, which is added if new. */
uint32_t range_group_index(range_t *range, uint32_t domain)
{
	for (uint32_t i = 0; i < range->group_count; i++)
		if (range->groups[i].domain == domain)
			return i;
	range->groups = g_renew(group_t, range->groups, range->group_count + 1);
	range->groups[range->group_count] = (group_t){ .domain = domain };
	return range->group_count++;
}

static bool is_reachable(const range_t *range, const bool *reachable)
{
	if (range->first_layer == 0)
		return true;
	for (uint32_t i = 0; i < range->previous_count; i++)
		if (reachable[range->previous[i]])
			return true;
	return false;
}

/*
 * Returns whether a chain of any number of endpoints that are listed and not
 * leaving covers layers [0, layers), including those that are full or paused.
 */
bool target_is_covered(const target_t *target, uint32_t layers)
{
	bool *reachable = g_new0(bool, target->range_count + 1);
	bool covered = false;

	for (uint32_t i = 0; i < target->range_count; i++) {
		const range_t *range = &target->ranges[i];

		if (range->usable_count + range->paused_count == 0)
			continue;
		reachable[i] = is_reachable(range, reachable);
		covered |= reachable[i] && range->end_layer == layers;
	}
	g_free(reachable);
	return covered;
}
