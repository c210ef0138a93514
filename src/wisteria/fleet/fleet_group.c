/*
 * A fleet's control group: the known control instances, the start of the
 * replica, and the leader.  See fleet_founding.c for a new group.
 */
#include "wisteria/fleet/fleet_group.h"

#include <stdlib.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/base/log_sink.h"
#include "wisteria/control/replica.h"
#include "wisteria/control/replica_group.h"
#include "wisteria/fleet/fleet_retries.h"
#include "wisteria/net/link.h"
#include "wisteria/raft/raft_members.h"
#include "wisteria/settings/settings.h"

/*
 * Confirms this instance and those that have an open connection to it, which
 * name themselves by their address, and forgets those that are gone.  Contacts
 * that a search has left behind go with them.
 */
void fleet_group_tick_controls(fleet_control_t *control, clock_ms_t now)
{
	const GPtrArray *controls = control->subscription.controls;
	control_list_t *known = &control->known_controls;

	control_list_confirm(known, control->settings->fleet->peer_listen, now);
	for (guint i = 0; i < controls->len; i++) {
		const subscription_control_t *other =
			g_ptr_array_index(controls, i);

		if (link_is_open(&other->link))
			control_list_confirm(known, other->address, now);
	}
	for (guint i = 0; i < control->subscribers->len; i++) {
		const conn_t *conn = g_ptr_array_index(control->subscribers, i);

		if (conn->user == NULL)
			control_list_confirm(known, conn->peer_instance, now);
	}
	control_list_tick(known, now);
	if (control->has_replica)
		replica_drop_contacts(&control->replica, known->records);
}

static void add_voter(fleet_control_t *control, const char *address)
{
	settings_control_t *group = &control->group;
	settings_peer_t *voter = &group->voters[group->voters_count++];

	voter->address = g_strdup(address);
	voter->instance = g_strdup(address);
}

/* The replica asks the seeds for a group to join. */
static void add_seed_voters(fleet_control_t *control)
{
	const settings_fleet_t *fleet = control->settings->fleet;

	for (unsigned i = 0; i < fleet->seeds_count; i++) {
		char *address =
			settings_fleet_peer_address(fleet, fleet->seeds[i]);

		add_voter(control, address);
		g_free(address);
	}
}

/* Fills the replica's settings: the seeds and the data folder. */
static void init_replica_settings(fleet_control_t *control)
{
	const settings_fleet_t *fleet = control->settings->fleet;
	settings_control_t *group = &control->group;

	group->listen = fleet->peer_listen;
	group->data_dir = fleet->data_dir;
	group->join_only = true;
	group->open_group = true;
	group->tolerance = fleet->tolerance;
	group->domains = fleet->domains;
	group->domains_count = fleet->domains_count;
	group->voters = g_new0(settings_peer_t, fleet->seeds_count);
	add_seed_voters(control);
	control->replica_settings = *control->settings;
	control->replica_settings.control = group;
}

/*
 * Sends the endpoints that have left, according to the copy on disk, with the
 * next update: a late heartbeat of one may have been passed on before.
 */
static void announce_gone(fleet_control_t *control)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, control->registry.by_id);
	while (g_hash_table_iter_next(&iter, &id, &value))
		if (((const endpoint_t *)value)->gone)
			g_hash_table_add(control->updated_ids, g_strdup(id));
}

/*
 * Starts the replica if there is a data folder and it is not running.  Exits
 * the process if the data folder cannot be used; without a replica the process
 * would still look like a healthy member.
 */
void fleet_group_try_start(fleet_control_t *control, clock_ms_t now)
{
	const settings_fleet_t *fleet = control->settings->fleet;
	err_t err = ERR_INIT;

	if (control->has_replica || fleet->data_dir == NULL)
		return;
	init_replica_settings(control);
	if (!replica_init(&control->replica, control->net,
			  &control->replica_settings, &control->machine,
			  &err)) {
		log_err(G_LOG_LEVEL_CRITICAL, "data_folder_unusable", &err);
		log_sink_stop();
		exit(EXIT_FAILURE);
	}
	control->has_replica = true;
	registry_file_init(&control->registry_file, control->net->loop,
			   fleet->data_dir, &control->parts);
	LOG_INFO("endpoints_recalled", "endpoints=%u",
		 registry_file_load(&control->registry_file, &control->registry,
				    now));
	control->recalled_entries = control->registry_file.entries;
	announce_gone(control);
	fleet_retries_load(control, now);
}

/*
 * Lets a replica that searches for its group ask the present seeds and every
 * instance with a data folder that this process has learned of, since the seeds
 * may all have none.
 */
void fleet_group_update_contacts(fleet_control_t *control)
{
	const GPtrArray *seeds = control->subscription.seeds;
	msg_fleet_control_t *known;
	size_t count = 0;

	if (!control->has_replica || !replica_is_searching(&control->replica))
		return;
	for (guint i = 0; i < seeds->len; i++) {
		const char *seed = g_ptr_array_index(seeds, i);

		replica_add_contact(&control->replica, seed, seed);
	}
	known = control_list_describe(&control->known_controls,
				      clock_now(control->net->clock), &count);
	for (size_t i = 0; i < count; i++)
		if (known[i].has_disk)
			replica_add_contact(&control->replica, known[i].address,
					    known[i].address);
	g_free(known);
}

/*
 * Returns whether this instance passes on what endpoints report, as entries are
 * subscribed to the members only: it has no data folder, or has not joined.  The
 * instances of a new fleet keep the reports for the group that they form.
 */
bool fleet_group_forwards(const fleet_control_t *control)
{
	const settings_fleet_t *fleet = control->settings->fleet;
	const raft_t *raft = &control->replica.raft;

	return fleet->data_dir == NULL ||
	       (!fleet->bootstrap &&
		(!control->has_replica ||
		 raft_members_find(&raft->members, raft->id) == NULL));
}

/*
 * Returns whether what an endpoint reports here can reach the entries: this
 * instance is a member, or has a connection to an instance with a data folder.
 */
bool fleet_group_is_reachable(const fleet_control_t *control)
{
	const GPtrArray *controls = control->subscription.controls;

	if (!fleet_group_forwards(control))
		return true;
	for (guint i = 0; i < controls->len; i++) {
		const subscription_control_t *other =
			g_ptr_array_index(controls, i);

		if (link_is_open(&other->link) &&
		    control_list_has_disk(&control->known_controls,
					  other->address))
			return true;
	}
	return false;
}

/*
 * Notices that this process was paused, at each tick.  If it still believes that
 * it leads, it asks a quorum; until that confirms, it does not act as leader.
 */
void fleet_group_check_pause(fleet_control_t *control, clock_ms_t now)
{
	clock_ms_t since_ms = now - control->last_tick_ms;

	control->last_tick_ms = now;
	if (!control->has_replica || !replica_is_leader(&control->replica)) {
		control->in_doubt = false;
		return;
	}
	if (since_ms >= FLEET_PAUSE_MS) {
		LOG_WARN("leadership_in_doubt",
			 "paused_ms=%" G_GINT64_FORMAT
			 " term=%" G_GUINT64_FORMAT,
			 since_ms, control->replica.raft.term);
		control->in_doubt = true;
		control->doubt_ticket = 0;
	}
	if (control->in_doubt && control->doubt_ticket == 0)
		control->doubt_ticket = replica_read(&control->replica);
}

/* A quorum has confirmed all reads up to "ticket". */
void fleet_group_confirm(fleet_control_t *control, uint64_t ticket)
{
	if (control->doubt_ticket != 0 && ticket >= control->doubt_ticket)
		control->in_doubt = false;
}

/*
 * Returns whether this instance leads, has applied the log so far, and was not
 * paused since a quorum last showed that it leads.  After a pause, sockets may
 * be read before the first tick.
 */
bool fleet_group_leads(const fleet_control_t *control)
{
	return control->has_replica &&
	       replica_is_ready_leader(&control->replica) &&
	       !control->in_doubt &&
	       clock_now(control->net->clock) - control->last_tick_ms <
		       FLEET_PAUSE_MS;
}

/* Returns the leader's address for frames, or NULL if it is not known. */
const char *fleet_group_leader_address(const fleet_control_t *control)
{
	const raft_members_t *members = &control->replica.raft.members;

	if (!control->has_replica)
		return control->leader;
	for (uint32_t i = 0; i < members->count; i++)
		if (members->items[i].id == control->replica.raft.leader)
			return members->items[i].address;
	return NULL;
}
