/*
 * Runs a replica of the log on the control thread: exchanges messages with the
 * other control instances, passes log entries to the writer thread, applies
 * committed entries to the state machine and makes snapshots.
 */
#include "wisteria/control/replica.h"

#include <string.h>

#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/replica_group.h"
#include "wisteria/control/replica_leave.h"
#include "wisteria/control/replica_losses.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"
#include "wisteria/raft/raft.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"
#include "wisteria/storage/file_ops.h"
#include "wisteria/storage/storage.h"

static replica_t *replica_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, replica_t, handler);
}

static clock_ms_t now_of(const replica_t *replica)
{
	return clock_now(replica->net->clock);
}

static const char *instance_of(const replica_t *replica, uint64_t id)
{
	const raft_member_t *member =
		raft_members_find(&replica->raft.members, id);

	if (member != NULL)
		return member->instance;
	return g_hash_table_lookup(replica->instance_of, &id);
}

static bool send_to(const replica_t *replica, uint64_t id, msg_type_t type,
		    const void *body)
{
	const char *instance = instance_of(replica, id);
	replica_peer_t *peer =
		instance == NULL ? NULL : replica_peer(replica, instance);

	return peer != NULL && link_send(&peer->link, type, body);
}

static void send_messages(replica_t *replica)
{
	raft_message_t *message;

	while ((message = raft_next_message(&replica->raft)) != NULL) {
		send_to(replica, message->msg.to, MSG_RAFT, &message->msg);
		raft_message_free(message);
	}
}

static void submit_save(replica_t *replica, const raft_save_t *save)
{
	GByteArray *records = g_byte_array_new();

	storage_put_state(records, save->term, save->vote);
	for (size_t i = 0; i < save->entry_count; i++)
		storage_put_entry(records, &save->entries[i]);
	replica->log_bytes += records->len;
	if (save->snapshot != NULL)
		log_writer_install(replica->writer, save->snapshot, records,
				   save->sequence);
	else
		log_writer_append(replica->writer, records, save->sequence);
}

static void submit_saves(replica_t *replica)
{
	raft_save_t save;

	while (raft_next_save(&replica->raft, &save))
		submit_save(replica, &save);
}

static void restore(replica_t *replica, const raft_snapshot_t *snapshot)
{
	err_t err = ERR_INIT;
	gsize len = 0;
	const uint8_t *data = g_bytes_get_data(snapshot->data, &len);

	if (!replica->machine->restore(replica->machine, data, len, &err)) {
		log_err(G_LOG_LEVEL_CRITICAL, "snapshot_unreadable", &err);
		g_error("a committed snapshot cannot be restored");
	}
	LOG_INFO("snapshot_restored", "index=%" G_GUINT64_FORMAT,
		 snapshot->index);
}

static void apply_entry(replica_t *replica, const raft_entry_t *entry)
{
	gsize len = 0;
	const uint8_t *data = g_bytes_get_data(entry->data, &len);

	if (entry->kind == RAFT_ENTRY_DATA)
		replica->machine->apply(replica->machine, entry->index,
					entry->term, data, len);
}

static void apply_committed(replica_t *replica)
{
	raft_apply_t apply;

	while (raft_next_apply(&replica->raft, &apply)) {
		if (apply.snapshot != NULL)
			restore(replica, apply.snapshot);
		else
			apply_entry(replica, apply.entry);
	}
}

static void confirm_reads(replica_t *replica)
{
	raft_read_t read;

	while (raft_next_read(&replica->raft, &read))
		g_array_append_val(replica->confirmed, read);
	while (replica->confirmed->len > 0) {
		read = g_array_index(replica->confirmed, raft_read_t, 0);
		if (read.index > replica->raft.applied)
			return;
		g_array_remove_index(replica->confirmed, 0);
		replica->machine->confirmed(replica->machine, read.ticket);
	}
}

/* Passes a snapshot of the applied state to the writer if one is due. */
static void make_snapshot(replica_t *replica)
{
	raft_t *raft = &replica->raft;
	raft_snapshot_t snapshot;
	msgpack_sbuffer state;
	GByteArray *records;
	GBytes *data;

	if (replica->snapshot_in_progress ||
	    (raft->applied - raft->snapshot.index < replica->snapshot_entries &&
	     replica->log_bytes < REPLICA_SNAPSHOT_BYTES))
		return;
	msgpack_sbuffer_init(&state);
	replica->machine->snapshot(replica->machine, &state);
	data = g_bytes_new(state.data, state.size);
	msgpack_sbuffer_destroy(&state);
	if (raft_make_snapshot(raft, raft->applied, data, &snapshot)) {
		records = g_byte_array_new();
		storage_put_state(records, raft->term, raft->vote);
		for (uint64_t i = raft->applied + 1; i < raft->next_save_index;
		     i++)
			storage_put_entry(records, raft_log_get(&raft->log, i));
		replica->snapshot_in_progress = true;
		replica->log_bytes = 0;
		log_writer_install(replica->writer, &snapshot, records, 0);
		g_bytes_unref(snapshot.data);
	}
	g_bytes_unref(data);
}

static void notify_leader_change(replica_t *replica)
{
	const raft_t *raft = &replica->raft;
	const char *instance;

	if (raft->term == replica->notified_term &&
	    raft->leader == replica->notified_leader)
		return;
	replica->notified_term = raft->term;
	replica->notified_leader = raft->leader;
	instance = raft->leader == raft->id
			   ? replica->net->instance
			   : instance_of(replica, raft->leader);
	LOG_INFO("leader_changed",
		 "term=%" G_GUINT64_FORMAT " discounted=%u leader=%s",
		 raft->term,
		 raft->role == RAFT_LEADER ? raft->discounted.count : 0,
		 raft->leader == 0 || instance == NULL ? "-" : instance);
	replica->machine->leader_changed(replica->machine);
}

/* Processes all pending output of the raft state machine. */
static void process_output(replica_t *replica)
{
	if (replica->closed)
		return;
	notify_leader_change(replica);
	apply_committed(replica);
	confirm_reads(replica);
	submit_saves(replica);
	send_messages(replica);
	make_snapshot(replica);
}

static void on_check(uv_check_t *check)
{
	process_output(check->data);
}

static void on_tick(uv_timer_t *timer)
{
	replica_t *replica = timer->data;

	raft_tick(&replica->raft, now_of(replica));
	replica_search(replica);
	replica_ask_identities(replica);
	replica_update_membership(replica);
	replica_tick_leaving(replica);
	replica_log_missing_leader(replica);
	replica_link_members(replica);
	process_output(replica);
}

static void on_saved(log_writer_owner_t *owner, uint64_t sequence)
{
	replica_t *replica = CONTAINER_OF(owner, replica_t, writer_owner);

	raft_saved(&replica->raft, sequence);
}

static void on_snapshot_saved(log_writer_owner_t *owner, uint64_t index,
			      GBytes *data)
{
	replica_t *replica = CONTAINER_OF(owner, replica_t, writer_owner);

	replica->snapshot_in_progress = false;
	raft_compact(&replica->raft, index, data);
	LOG_INFO("snapshot_saved",
		 "index=%" G_GUINT64_FORMAT " bytes=%" G_GSIZE_FORMAT, index,
		 g_bytes_get_size(data));
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	replica_t *replica = replica_of(handler);
	replica_peer_t *peer = replica_peer(replica, conn->peer_instance);

	if (peer != NULL)
		g_strlcpy(peer->failure_domain, conn->peer_failure_domain,
			  sizeof(peer->failure_domain));
	replica->search_at_ms = 0;
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	(void)handler;
	(void)conn;
	(void)why;
}

static void on_link_message(conn_handler_t *handler, conn_t *conn,
			    const msg_t *msg)
{
	replica_t *replica = replica_of(handler);

	replica->machine->message(replica->machine, conn, msg);
}

static void record_heard(const replica_t *replica, const char *instance,
			 uint64_t id)
{
	replica_peer_t *peer = replica_peer(replica, instance);

	if (peer == NULL)
		return;
	peer->heard_id = id;
	peer->heard_ms = now_of(replica);
}

/* Handles a message from another control instance. */
void replica_on_message(replica_t *replica, conn_t *conn, const msg_raft_t *msg)
{
	uint64_t *id;

	if (replica->closed)
		return;
	if (msg->kind >= REPLICA_MSG_SEARCH) {
		replica_on_group_message(replica, conn, msg);
		return;
	}
	record_heard(replica, conn->peer_instance, msg->from);
	if (!g_hash_table_contains(replica->instance_of, &msg->from)) {
		id = g_new(uint64_t, 1);
		*id = msg->from;
		g_hash_table_insert(replica->instance_of, id,
				    g_strdup(conn->peer_instance));
	}
	raft_step(&replica->raft, msg, now_of(replica));
}

static void start_loop(replica_t *replica)
{
	uv_timer_init(replica->net->loop, &replica->tick);
	replica->tick.data = replica;
	uv_timer_start(&replica->tick, on_tick, REPLICA_TICK_MS,
		       REPLICA_TICK_MS);
	uv_check_init(replica->net->loop, &replica->output_check);
	replica->output_check.data = replica;
	uv_check_start(&replica->output_check, on_check);
}

/*
 * Opens the data folder and starts the replica.  Returns false if the folder
 * cannot be used; for a corrupt log, "err" names the file and the offset.
 */
bool replica_init(replica_t *replica, net_t *net, const settings_t *settings,
		  replica_machine_t *machine, err_t *err)
{
	raft_stored_t stored;

	memset(replica, 0, sizeof(*replica));
	if (!storage_open(&replica->storage, settings->control->data_dir,
			  &file_ops_system, &stored, err))
		return false;
	replica->handler.opened = on_opened;
	replica->handler.closed = on_closed;
	replica->handler.message = on_link_message;
	replica->writer_owner.saved = on_saved;
	replica->writer_owner.snapshot_saved = on_snapshot_saved;
	replica->machine = machine;
	replica->snapshot_entries = REPLICA_SNAPSHOT_ENTRIES;
	replica->net = net;
	replica->settings = settings;
	replica->peers = g_ptr_array_new_with_free_func(g_free);
	replica->instance_of = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	replica->confirmed = g_array_new(FALSE, FALSE, sizeof(raft_read_t));
	raft_init(&replica->raft, replica->storage.replica_id,
		  randombytes_random(), &stored, now_of(replica));
	if (settings->control->open_group)
		raft_shorten_election_timeout(&replica->raft);
	LOG_INFO("log_opened",
		 "replica=%" G_GINT64_MODIFIER "x term=%" G_GUINT64_FORMAT
		 " snapshot=%" G_GUINT64_FORMAT " last=%" G_GUINT64_FORMAT,
		 replica->raft.id, stored.term, stored.snapshot.index,
		 raft_log_last(&replica->raft.log));
	storage_stored_clear(&stored);
	replica->writer = log_writer_new(&replica->storage, net->loop,
					 &replica->writer_owner);
	replica_link_initial_voters(replica);
	start_loop(replica);
	return true;
}

/* Stops the replica after its pending saves have been written to disk. */
void replica_close(replica_t *replica)
{
	submit_saves(replica);
	replica->closed = true;
	log_writer_close(replica->writer);
	replica_close_peers(replica);
	uv_close((uv_handle_t *)&replica->tick, NULL);
	uv_close((uv_handle_t *)&replica->output_check, NULL);
}

/* Frees a closed replica; the loop of its net must have run to its end. */
void replica_finish(replica_t *replica)
{
	log_writer_free(replica->writer);
	raft_finish(&replica->raft);
	storage_close(&replica->storage);
	g_ptr_array_unref(replica->peers);
	g_hash_table_destroy(replica->instance_of);
	g_array_unref(replica->confirmed);
}

/*
 * Transfers leadership to another replica before a planned stop; not to one that
 * is about to stop as well.
 */
void replica_transfer_leadership(replica_t *replica)
{
	const raft_members_t *members = &replica->raft.members;
	raft_id_set_t leaving = { .count = 0 };

	for (uint32_t i = 0; i < members->count; i++)
		if (replica_is_leaving_member(replica, &members->items[i]))
			leaving.items[leaving.count++] = members->items[i].id;
	if (raft_transfer(&replica->raft, &leaving))
		LOG_INFO("office_handed_over", "term=%" G_GUINT64_FORMAT,
			 replica->raft.term);
}

/* Returns whether this replica considers itself the leader. */
bool replica_is_leader(const replica_t *replica)
{
	return replica->raft.role == RAFT_LEADER;
}

/*
 * Returns whether this replica is the leader and has applied all entries that
 * earlier leaders committed.
 */
bool replica_is_ready_leader(const replica_t *replica)
{
	const raft_t *raft = &replica->raft;
	uint64_t term = 0;

	return replica_is_leader(replica) &&
	       raft_log_term(&raft->log, raft->applied, &term) &&
	       term == raft->term;
}

/* See raft_propose(). */
uint64_t replica_propose(replica_t *replica, const uint8_t *data, size_t len)
{
	return raft_propose(&replica->raft, data, len);
}

/* See raft_read(); the state machine's confirmed() then gets the ticket. */
uint64_t replica_read(replica_t *replica)
{
	return raft_read(&replica->raft);
}

/*
 * Sends a message to the leader.  Returns false if no other instance is known
 * to be the leader or its link is down.
 */
bool replica_send_to_leader(replica_t *replica, msg_type_t type,
			    const void *body)
{
	if (replica->raft.leader == 0 || replica_is_leader(replica))
		return false;
	return send_to(replica, replica->raft.leader, type, body);
}

/*
 * Promotes or removes a member as ordered by an operator; only the leader can.
 * Returns false and sets "err" on failure.
 */
bool replica_change_member(replica_t *replica, raft_member_change_t change,
			   const char *instance, err_t *err)
{
	const raft_member_t *member =
		raft_members_find_instance(&replica->raft.members, instance);

	if (member == NULL) {
		err_set(err, ERR_NOT_FOUND, "change_member", instance,
			"no control instance of this name");
		return false;
	}
	return raft_change_member(&replica->raft, change, member, err) != 0;
}
