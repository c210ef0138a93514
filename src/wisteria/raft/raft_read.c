/*
 * Linearizable reads confirmed by a quorum (Ongaro 2014, section 6.4).  Each
 * replica has at most one batch of reads in flight to the leader, and the
 * leader at most one round in flight to the quorum; reads that arrive
 * meanwhile join the next batch.  The leader's cost depends on the number of
 * replicas, not on the number of reads.
 */
#include "wisteria/raft/raft.h"
#include "wisteria/raft/raft_internal.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"

static bool has_committed_in_term(const raft_t *raft)
{
	uint64_t term = 0;

	return raft_log_term(&raft->log, raft->commit, &term) &&
	       term == raft->term;
}

static void finish_ticket(raft_t *raft, uint64_t ticket, uint64_t index)
{
	const raft_read_t result = { ticket, index };

	if (raft->ticket_sent == 0 || ticket != raft->ticket_sent)
		return;
	raft->ticket_sent = 0;
	g_array_append_val(raft->read_results, result);
}

static void queue_at_leader(raft_t *raft, uint64_t from, uint64_t context)
{
	const raft_waiting_read_t read = { .from = from, .context = context };

	for (guint i = 0; i < raft->waiting_reads->len; i++) {
		const raft_waiting_read_t *known = &g_array_index(
			raft->waiting_reads, raft_waiting_read_t, i);

		if (known->from == from && known->context == context)
			return;
	}
	g_array_append_val(raft->waiting_reads, read);
	raft_reads_begin_round(raft);
}

static void send_ticket(raft_t *raft)
{
	const msg_raft_t msg = {
		.kind = RAFT_MSG_READ,
		.to = raft->leader,
		.context = raft->ticket_sent,
	};

	raft->ticket_sent_ms = raft->now_ms;
	if (raft->role == RAFT_LEADER)
		queue_at_leader(raft, raft->id, raft->ticket_sent);
	else if (raft->leader != 0)
		raft_send(raft, &msg, NULL);
}

static void send_open_ticket(raft_t *raft)
{
	if (raft->ticket_sent != 0 || raft->ticket_open == 0 ||
	    raft->leader == 0)
		return;
	raft->ticket_sent = raft->ticket_open;
	raft->ticket_open = 0;
	send_ticket(raft);
}

/*
 * Requests a confirmed index; returns the ticket under which raft_next_read()
 * reports it.  Without a leader the request waits for one.
 */
uint64_t raft_read(raft_t *raft)
{
	uint64_t ticket;

	if (raft->ticket_open == 0)
		raft->ticket_open = ++raft->ticket_last;
	ticket = raft->ticket_open;
	send_open_ticket(raft);
	return ticket;
}

static void answer_read(raft_t *raft, const raft_waiting_read_t *read)
{
	const msg_raft_t reply = {
		.kind = RAFT_MSG_READ_REPLY,
		.to = read->from,
		.context = read->context,
		.log_index = read->index,
	};

	if (read->from == raft->id)
		finish_ticket(raft, read->context, read->index);
	else
		raft_send(raft, &reply, NULL);
}

static bool has_acked(const raft_t *raft, const raft_progress_t *progress,
		      uint64_t round)
{
	return progress->id == raft->id || progress->acked_round >= round;
}

static bool round_is_confirmed(const raft_t *raft)
{
	return raft_is_quorum(raft, has_acked, raft->round);
}

/* Answers the reads of the round in flight once a quorum confirms it. */
void raft_reads_check_round(raft_t *raft)
{
	guint i = 0;

	if (!raft->round_in_flight || !round_is_confirmed(raft))
		return;
	raft->round_in_flight = false;
	while (i < raft->waiting_reads->len) {
		raft_waiting_read_t read = g_array_index(
			raft->waiting_reads, raft_waiting_read_t, i);

		if (read.round == 0) {
			i++;
			continue;
		}
		g_array_remove_index(raft->waiting_reads, i);
		answer_read(raft, &read);
	}
	send_open_ticket(raft);
	raft_reads_begin_round(raft);
}

/* Begins a round for the queued reads, unless one is in flight. */
void raft_reads_begin_round(raft_t *raft)
{
	if (raft->role != RAFT_LEADER || raft->round_in_flight ||
	    raft->waiting_reads->len == 0 || !has_committed_in_term(raft))
		return;
	raft->round++;
	raft->round_in_flight = true;
	for (guint i = 0; i < raft->waiting_reads->len; i++) {
		raft_waiting_read_t *read = &g_array_index(
			raft->waiting_reads, raft_waiting_read_t, i);

		read->round = raft->round;
		read->index = raft->commit;
	}
	raft_send_heartbeats(raft);
	raft_reads_check_round(raft);
}

/* Queues a member's request for a confirmed index, at the leader. */
void raft_on_read(raft_t *raft, const msg_raft_t *msg)
{
	if (raft->role == RAFT_LEADER &&
	    raft_members_find(&raft->members, msg->from) != NULL)
		queue_at_leader(raft, msg->from, msg->context);
}

/* Completes this replica's batch with the index confirmed by the leader. */
void raft_on_read_reply(raft_t *raft, const msg_raft_t *msg)
{
	finish_ticket(raft, msg->context, msg->log_index);
	send_open_ticket(raft);
}

/*
 * Drops all queued reads and sends this replica's batch to the new leader, if
 * one is known.
 */
void raft_reads_role_changed(raft_t *raft)
{
	g_array_set_size(raft->waiting_reads, 0);
	raft->round_in_flight = false;
	if (raft->ticket_sent != 0)
		send_ticket(raft);
	send_open_ticket(raft);
}

/* Sends the batch again if the request or its reply seems lost. */
void raft_reads_tick(raft_t *raft)
{
	if (raft->role == RAFT_LEADER)
		return;
	if (raft->ticket_sent != 0 &&
	    raft->now_ms - raft->ticket_sent_ms >= RAFT_HEARTBEAT_MS)
		send_ticket(raft);
	send_open_ticket(raft);
}
