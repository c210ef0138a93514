/*
 * The control instances that a process knows.  Each has an age: the time since
 * a process last had a connection to it, was it, or saw it named as a member of
 * the group.  Instances tell each other whom they know with these ages, and
 * forget what nobody has confirmed for CONTROL_LIST_FORGET_MS; else the
 * addresses of instances that are gone would stay for the life of the fleet.
 * Members of the group in force don't age.
 * No clock, no I/O.
 */
#include "wisteria/fleet/control_list.h"

#include <stdlib.h>

typedef struct {
	clock_ms_t confirmed_ms;
	bool has_disk;
	bool is_member; /* of the group in force */
} control_record_t;

/* Initializes an empty list. */
void control_list_init(control_list_t *list)
{
	list->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the list's contents. */
void control_list_finish(control_list_t *list)
{
	g_hash_table_destroy(list->records);
}

static bool record(control_list_t *list, const char *address, bool has_disk,
		   clock_ms_t confirmed_ms)
{
	control_record_t *known = g_hash_table_lookup(list->records, address);
	bool is_new = known == NULL;

	if (is_new) {
		known = g_new0(control_record_t, 1);
		known->confirmed_ms = confirmed_ms;
		g_hash_table_insert(list->records, g_strdup(address), known);
	}
	known->confirmed_ms = MAX(known->confirmed_ms, confirmed_ms);
	known->has_disk = has_disk || known->is_member;
	return is_new;
}

/*
 * Records what another instance knows of "control", with the age that it has
 * there.  Returns whether it was unknown before.
 */
bool control_list_hear(control_list_t *list, const msg_fleet_control_t *control,
		       clock_ms_t now)
{
	if (control->age_ms >= CONTROL_LIST_FORGET_MS - CONTROL_LIST_HOP_MS)
		return false;
	return record(list, control->address, control->has_disk,
		      now - MAX(control->age_ms, 0) - CONTROL_LIST_HOP_MS);
}

/* Records an instance that this process knows first-hand. */
void control_list_add(control_list_t *list, const char *address, bool has_disk,
		      clock_ms_t now)
{
	record(list, address, has_disk, now);
}

/* Records that an instance exists; one that is not known is ignored. */
void control_list_confirm(control_list_t *list, const char *address,
			  clock_ms_t now)
{
	control_record_t *known = g_hash_table_lookup(list->records, address);

	if (known != NULL)
		known->confirmed_ms = MAX(known->confirmed_ms, now);
}

/*
 * Records the members of the group, as the log or a renewal names them; those
 * of before age from now on.  An empty list is ignored.
 */
void control_list_set_members(control_list_t *list,
			      const char *const *addresses, size_t count,
			      clock_ms_t now)
{
	GHashTableIter iter;
	gpointer known;

	if (count == 0)
		return;
	g_hash_table_iter_init(&iter, list->records);
	while (g_hash_table_iter_next(&iter, NULL, &known))
		((control_record_t *)known)->is_member = false;
	for (size_t i = 0; i < count; i++) {
		record(list, addresses[i], true, now);
		known = g_hash_table_lookup(list->records, addresses[i]);
		((control_record_t *)known)->is_member = true;
	}
}

/* Forgets the instances that nobody has confirmed for too long. */
void control_list_tick(control_list_t *list, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		control_record_t *known = value;

		if (known->is_member)
			known->confirmed_ms = MAX(known->confirmed_ms, now);
		else if (now - known->confirmed_ms >= CONTROL_LIST_FORGET_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Returns whether an instance is known. */
bool control_list_has(const control_list_t *list, const char *address)
{
	return g_hash_table_contains(list->records, address);
}

/* Returns whether an instance is known to have a data folder. */
bool control_list_has_disk(const control_list_t *list, const char *address)
{
	const control_record_t *known =
		g_hash_table_lookup(list->records, address);

	return known != NULL && known->has_disk;
}

static int compare_ages(const void *a, const void *b)
{
	const msg_fleet_control_t *first = a;
	const msg_fleet_control_t *second = b;

	return (first->age_ms > second->age_ms) -
	       (first->age_ms < second->age_ms);
}

/*
 * Returns a message's records of the instances, members and the youngest first,
 * and their number in "count".  The caller frees the array; its addresses belong
 * to the list.
 */
msg_fleet_control_t *control_list_describe(const control_list_t *list,
					   clock_ms_t now, size_t *count)
{
	msg_fleet_control_t *controls = g_new(
		msg_fleet_control_t, g_hash_table_size(list->records) + 1);
	GHashTableIter iter;
	gpointer address;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&iter, list->records);
	while (g_hash_table_iter_next(&iter, &address, &value)) {
		const control_record_t *known = value;

		controls[(*count)++] = (msg_fleet_control_t){
			.address = address,
			.has_disk = known->has_disk,
			.age_ms = known->is_member
					  ? 0
					  : MAX(now - known->confirmed_ms, 0),
		};
	}
	qsort(controls, *count, sizeof(controls[0]), compare_ages);
	return controls;
}
