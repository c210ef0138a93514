/* An indexed binary heap of candidates, ordered by expected wait. */
#include "wisteria/route/group.h"

#include <math.h>

#include <glib.h>

#include "wisteria/base/table.h"

static void put(group_t *group, const table_t *candidates, uint32_t place,
		group_entry_t entry)
{
	candidate_t *candidate = table_get(candidates, entry.candidate);

	group->entries[place] = entry;
	if (candidate != NULL)
		candidate->place = place;
}

static void sift_up(group_t *group, const table_t *candidates, uint32_t place)
{
	const group_entry_t entry = group->entries[place];

	while (place > 0) {
		const uint32_t parent = (place - 1) / 2;

		if (group->entries[parent].key <= entry.key)
			break;
		put(group, candidates, place, group->entries[parent]);
		place = parent;
	}
	put(group, candidates, place, entry);
}

static void sift_down(group_t *group, const table_t *candidates, uint32_t place)
{
	const group_entry_t entry = group->entries[place];

	for (;;) {
		uint32_t child = 2 * place + 1;

		if (child >= group->count)
			break;
		if (child + 1 < group->count &&
		    group->entries[child + 1].key < group->entries[child].key)
			child++;
		if (entry.key <= group->entries[child].key)
			break;
		put(group, candidates, place, group->entries[child]);
		place = child;
	}
	put(group, candidates, place, entry);
}

/* Frees the heap; the candidates are the caller's. */
void group_finish(group_t *group)
{
	g_free(group->entries);
	*group = (group_t){ 0 };
}

/* Adds a candidate with its key; an infinite key is never offered. */
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

/* Changes the key of the candidate at "place". */
void group_set_key(group_t *group, const table_t *candidates, uint32_t place,
		   double key)
{
	const double old_key = group->entries[place].key;

	group->entries[place].key = key;
	if (key < old_key)
		sift_up(group, candidates, place);
	else
		sift_down(group, candidates, place);
}

/* Takes the entry with the least key out of the frontier. */
static uint32_t take_least(const group_t *group, uint32_t *frontier,
			   size_t *count)
{
	size_t least = 0;
	uint32_t place;

	for (size_t i = 1; i < *count; i++)
		if (group->entries[frontier[i]].key <
		    group->entries[frontier[least]].key)
			least = i;
	place = frontier[least];
	frontier[least] = frontier[--*count];
	return place;
}

/*
 * Writes up to "count" entries of least key in rising order and returns how
 * many there are.  Walks only the top of the heap.
 */
size_t group_best(const group_t *group, size_t count,
		  group_entry_t best[GROUP_BEST_MAX])
{
	uint32_t frontier[GROUP_BEST_MAX + 2];
	size_t waiting = 0;
	size_t found = 0;

	count = MIN(count, GROUP_BEST_MAX);
	if (group->count > 0)
		frontier[waiting++] = 0;
	while (waiting > 0 && found < count) {
		const uint32_t place = take_least(group, frontier, &waiting);
		const uint32_t child = 2 * place + 1;

		if (isinf(group->entries[place].key))
			break;
		best[found++] = group->entries[place];
		if (child < group->count)
			frontier[waiting++] = child;
		if (child + 1 < group->count)
			frontier[waiting++] = child + 1;
	}
	return found;
}
