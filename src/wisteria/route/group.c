/* An indexed binary heap of candidates, ordered by expected step time. */
#include "wisteria/route/group.h"

#include <math.h>

#include <glib.h>

#include "wisteria/base/table.h"

static void set_entry(group_t *group, const table_t *candidates, uint32_t index,
		      group_entry_t entry)
{
	candidate_t *candidate = table_get(candidates, entry.candidate);

	group->entries[index] = entry;
	if (candidate != NULL)
		candidate->heap_index = index;
}

static void sift_up(group_t *group, const table_t *candidates, uint32_t index)
{
	const group_entry_t entry = group->entries[index];

	while (index > 0) {
		const uint32_t parent = (index - 1) / 2;

		if (group->entries[parent].key <= entry.key)
			break;
		set_entry(group, candidates, index, group->entries[parent]);
		index = parent;
	}
	set_entry(group, candidates, index, entry);
}

static void sift_down(group_t *group, const table_t *candidates, uint32_t index)
{
	const group_entry_t entry = group->entries[index];

	for (;;) {
		uint32_t child = 2 * index + 1;

		if (child >= group->count)
			break;
		if (child + 1 < group->count &&
		    group->entries[child + 1].key < group->entries[child].key)
			child++;
		if (entry.key <= group->entries[child].key)
			break;
		set_entry(group, candidates, index, group->entries[child]);
		index = child;
	}
	set_entry(group, candidates, index, entry);
}

/* Frees the heap but not its candidates, which the caller owns. */
void group_finish(group_t *group)
{
	g_free(group->entries);
	*group = (group_t){ 0 };
}

/* Adds a candidate; group_best() omits it while its key is infinite. */
void group_add(group_t *group, const table_t *candidates, handle_t handle,
	       double key)
{
	if (group->count == group->capacity) {
		group->capacity = MAX(4, 2 * group->capacity);
		group->entries =
			g_renew(group_entry_t, group->entries, group->capacity);
	}
	group->entries[group->count] = (group_entry_t){ key, handle };
	sift_up(group, candidates, group->count++);
}

/* Changes the key of the entry at "index" and restores the heap order. */
void group_set_key(group_t *group, const table_t *candidates, uint32_t index,
		   double key)
{
	const double old_key = group->entries[index].key;

	group->entries[index].key = key;
	if (key < old_key)
		sift_up(group, candidates, index);
	else
		sift_down(group, candidates, index);
}

/*
 * Removes the index of the entry with the least key from the frontier, and
 * returns it.
 */
static uint32_t remove_least(const group_t *group, uint32_t *frontier,
			     size_t *count)
{
	size_t least = 0;
	uint32_t index;

	for (size_t i = 1; i < *count; i++)
		if (group->entries[frontier[i]].key <
		    group->entries[frontier[least]].key)
			least = i;
	index = frontier[least];
	frontier[least] = frontier[--*count];
	return index;
}

/*
 * Writes up to "count" entries with the least keys, in ascending order, and
 * returns their number.  Omits entries with an infinite key.  Visits only the
 * top of the heap: the frontier holds the indices of the entries that are not
 * yet written, but whose parents are.
 */
size_t group_best(const group_t *group, size_t count,
		  group_entry_t best[GROUP_BEST_MAX])
{
	uint32_t frontier[GROUP_BEST_MAX + 2];
	size_t frontier_count = 0;
	size_t found = 0;

	count = MIN(count, GROUP_BEST_MAX);
	if (group->count > 0)
		frontier[frontier_count++] = 0;
	while (frontier_count > 0 && found < count) {
		const uint32_t index =
			remove_least(group, frontier, &frontier_count);
		const uint32_t child = 2 * index + 1;

		if (isinf(group->entries[index].key))
			break;
		best[found++] = group->entries[index];
		if (child < group->count)
			frontier[frontier_count++] = child;
		if (child + 1 < group->count)
			frontier[frontier_count++] = child + 1;
	}
	return found;
}
