/*
 * Contract parts in the renewals of entries.  The leader alone gives them
 * out; another control instance asks it for those of an entry that renews
 * there.  Parts count only together with a read confirmed in the term in
 * which they were given, so that a leader which was replaced gives none.
 */
#include "wisteria/control/parts.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/control_defs.h"
#include "wisteria/control/replica.h"
#include "wisteria/net/conn.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"

static clock_ms_t now_of(const parts_t *parts)
{
	return clock_now(parts->replica->net->clock);
}

/* Prepares; what it is given must outlive it. */
void parts_init(parts_t *parts, replica_t *replica, const store_t *store)
{
	*parts = (parts_t){ .replica = replica, .store = store };
}

/* Frees what the parts hold. */
void parts_finish(parts_t *parts)
{
	shares_free(parts->shares);
	parts->shares = NULL;
}

/* A new leader does not know what earlier ones gave, for one lease. */
static void begin_term(parts_t *parts)
{
	bool is_first = parts->store->revision == 0;
	clock_ms_t unknown_until =
		is_first ? 0 : now_of(parts) + CONTROL_PART_LEASE_MS;

	if (parts->shares != NULL && parts->term == parts->replica->raft.term)
		return;
	shares_free(parts->shares);
	parts->shares = shares_new(CONTROL_PART_LEASE_MS, unknown_until);
	parts->term = parts->replica->raft.term;
	parts->revision = 0;
}

static void follow_contracts(parts_t *parts)
{
	const msg_preset_t *text =
		store_find_preset(parts->store, parts->store->in_force);
	preset_t *preset;
	err_t err = ERR_INIT;

	if (parts->revision == parts->store->revision || text == NULL)
		return;
	parts->revision = parts->store->revision;
	preset = preset_parse(text->text, strlen(text->text), &err);
	if (preset == NULL) {
		log_err(G_LOG_LEVEL_CRITICAL, "preset_unreadable", &err);
		return;
	}
	shares_set_contracts(parts->shares, preset);
	preset_free(preset);
}

/*
 * Appends to "given" the parts of the entry that asks; their names last until
 * the next call.  Returns false where this instance does not lead.
 */
bool parts_give(parts_t *parts, const msg_shares_t *question, GArray *given)
{
	if (!replica_leads(parts->replica))
		return false;
	begin_term(parts);
	follow_contracts(parts);
	shares_renew(parts->shares, question->instance, question->demand,
		     question->demand_count,
		     question->parts_term == parts->term, now_of(parts), given);
	return true;
}

/* Another control instance asks for the parts of an entry. */
void parts_take_question(parts_t *parts, conn_t *conn,
			 const msg_shares_t *question)
{
	GArray *given = g_array_new(FALSE, FALSE, sizeof(msg_share_t));
	msg_shares_reply_t reply = {
		.sequence = question->sequence,
		.term = parts->replica->raft.term,
	};

	if (parts_give(parts, question, given)) {
		reply.shares = (msg_share_t *)given->data;
		reply.share_count = given->len;
		conn_send(conn, MSG_SHARES_REPLY, &reply);
	}
	g_array_unref(given);
}

/*
 * Passes an entry's question on to the leader, under a sequence of its own.
 * Returns the sequence of the answer, or 0 where no leader can be reached.
 */
uint64_t parts_ask_leader(parts_t *parts, msg_shares_t question)
{
	question.sequence = parts->sequence + 1;
	if (!replica_send_to_leader(parts->replica, MSG_SHARES, &question))
		return 0;
	return ++parts->sequence;
}
