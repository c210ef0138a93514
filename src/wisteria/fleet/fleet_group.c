/*
 * How the control group of a fleet begins: which instances have met, who
 * founds a new group, when the replica starts, and who leads.
 */
#include "wisteria/fleet/fleet_group.h"

#include <stdlib.h>
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/base/log_sink.h"
#include "wisteria/control/replica.h"
#include "wisteria/settings/settings.h"

/* Notes a control instance; returns whether it was not known. */
bool fleet_group_meet(fleet_control_t *control, const char *address,
		      bool has_disk)
{
	return g_hash_table_replace(control->met, g_strdup(address),
				    has_disk ? control : NULL);
}

static void add_founder(fleet_control_t *control, const char *address)
{
	settings_control_t *group = &control->group;
	settings_peer_t *founder = &group->voters[group->voters_count++];

	founder->address = g_strdup(address);
	founder->instance = g_strdup(address);
}

static int compare_addresses(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/* A new fleet is founded by all instances with disks that have met. */
static void add_founders_met(fleet_control_t *control)
{
	GList *addresses = g_hash_table_get_keys(control->met);

	addresses = g_list_sort(addresses, compare_addresses);
	for (GList *at = addresses; at != NULL; at = at->next)
		if (g_hash_table_lookup(control->met, at->data) != NULL &&
		    control->group.voters_count < FLEET_FOUNDERS_MAX)
			add_founder(control, at->data);
	g_list_free(addresses);
}

/* An instance that joins asks the seeds. */
static void add_seeds(fleet_control_t *control)
{
	const settings_fleet_t *fleet = control->settings->fleet;

	for (unsigned i = 0; i < fleet->seeds_count; i++) {
		char *address =
			settings_fleet_peer_address(fleet, fleet->seeds[i]);

		add_founder(control, address);
		g_free(address);
	}
}

/* Describes the group's founders and the data folder to the replica. */
static void describe_group(fleet_control_t *control)
{
	const settings_fleet_t *fleet = control->settings->fleet;
	settings_control_t *group = &control->group;

	group->listen = fleet->peer_listen;
	group->data_dir = fleet->data_dir;
	group->join_only = !fleet->bootstrap;
	group->open_group = true;
	group->voters = g_new0(settings_peer_t,
			       FLEET_FOUNDERS_MAX + fleet->seeds_count);
	if (fleet->bootstrap)
		add_founders_met(control);
	else
		add_seeds(control);
	control->replica_settings = *control->settings;
	control->replica_settings.control = group;
}

/*
 * Starts the replica: at once, or in a new fleet when the control instances
 * have met.  A data folder that cannot be used ends the process: it would
 * look like a member that is well.
 */
void fleet_group_begin(fleet_control_t *control, clock_ms_t now)
{
	const settings_fleet_t *fleet = control->settings->fleet;
	err_t err = ERR_INIT;

	if (control->replicates || fleet->data_dir == NULL ||
	    (fleet->bootstrap && now - control->started_ms < FLEET_MEET_MS))
		return;
	describe_group(control);
	if (!replica_init(&control->replica, control->net,
			  &control->replica_settings, &control->machine,
			  &err)) {
		log_err(G_LOG_LEVEL_CRITICAL, "data_folder_unusable", &err);
		log_sink_stop();
		exit(EXIT_FAILURE);
	}
	control->replicates = true;
	registry_file_init(&control->registry_file, control->net->loop,
			   fleet->data_dir);
	LOG_INFO("endpoints_recalled", "endpoints=%u",
		 registry_file_load(&control->registry_file, &control->registry,
				    now));
}

/* Returns where the instance that leads listens for frames, or NULL. */
const char *fleet_group_leader(const fleet_control_t *control)
{
	const raft_members_t *members = &control->replica.raft.members;

	if (!control->replicates)
		return control->leader;
	for (uint32_t i = 0; i < members->count; i++)
		if (members->items[i].id == control->replica.raft.leader)
			return members->items[i].address;
	return NULL;
}
