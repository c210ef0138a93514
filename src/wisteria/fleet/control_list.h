#ifndef WISTERIA_FLEET_CONTROL_LIST_H
#define WISTERIA_FLEET_CONTROL_LIST_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/* An instance that nobody has confirmed for this long is forgotten. */
#define CONTROL_LIST_FORGET_MS 60000
/*
 * What is passed on ages by this much, more than a message takes, so that
 * instances which tell each other of one that has ended don't renew its age.
 */
#define CONTROL_LIST_HOP_MS 1000

/* The control instances of a fleet, as one process knows them. */
typedef struct {
	GHashTable *records; /* address -> control_record_t * */
} control_list_t;

void control_list_init(control_list_t *list) ATTR_NONNULL_ALL;
void control_list_finish(control_list_t *list) ATTR_NONNULL_ALL;
bool control_list_hear(control_list_t *list, const msg_fleet_control_t *control,
		       clock_ms_t now) ATTR_NONNULL_ALL;
void control_list_add(control_list_t *list, const char *address, bool has_disk,
		      clock_ms_t now) ATTR_NONNULL_ALL;
void control_list_confirm(control_list_t *list, const char *address,
			  clock_ms_t now) ATTR_NONNULL_ALL;
void control_list_set_members(control_list_t *list,
			      const char *const *addresses, size_t count,
			      clock_ms_t now) ATTR_NONNULL(1);
void control_list_tick(control_list_t *list, clock_ms_t now) ATTR_NONNULL_ALL;
bool control_list_has(const control_list_t *list,
		      const char *address) ATTR_NONNULL_ALL;
bool control_list_has_disk(const control_list_t *list,
			   const char *address) ATTR_NONNULL_ALL;
msg_fleet_control_t *control_list_describe(const control_list_t *list,
					   clock_ms_t now,
					   size_t *count) ATTR_NONNULL_ALL;

#endif
