/*
 * Contract shares in the lease renewals of entries.  Only the leader grants
 * them; another control instance requests them from the leader for an entry
 * that renews there.  Shares are valid only together with a read confirmed in
 * the term in which they were granted, so that a replaced leader grants none.
 */
#include "wisteria/control/share_granter.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/control_defs.h"
#include "wisteria/control/replica.h"
#include "wisteria/net/conn.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"

static clock_ms_t now_of(const share_granter_t *granter)
{
	return clock_now(granter->replica->net->clock);
}

/* Initializes the granter; "replica" and "store" must outlive it. */
void share_granter_init(share_granter_t *granter, replica_t *replica,
			const store_t *store)
{
	*granter = (share_granter_t){ .replica = replica, .store = store };
}

/* Frees the leases of shares. */
void share_granter_finish(share_granter_t *granter)
{
	shares_free(granter->shares);
	granter->shares = NULL;
}

/*
 * Starts without leases in a term in which this instance became the leader.
 * Shares that an earlier leader granted may be in use for one lease duration,
 * unless the group is new.
 */
static void begin_term(share_granter_t *granter)
{
	bool is_new_group = granter->store->revision == 0;
	clock_ms_t grace_until_ms =
		is_new_group ? 0 : now_of(granter) + CONTROL_SHARE_LEASE_MS;

	if (granter->shares != NULL &&
	    granter->term == granter->replica->raft.term)
		return;
	shares_free(granter->shares);
	granter->shares = shares_new(CONTROL_SHARE_LEASE_MS, grace_until_ms);
	granter->term = granter->replica->raft.term;
	granter->revision = 0;
}

/* Applies the contracts of the preset in force if the revision has changed. */
static void update_contracts(share_granter_t *granter)
{
	const msg_preset_t *text =
		store_find_preset(granter->store, granter->store->in_force);
	preset_t *preset;
	err_t err = ERR_INIT;

	if (granter->revision == granter->store->revision || text == NULL)
		return;
	granter->revision = granter->store->revision;
	preset = preset_parse(text->text, strlen(text->text), &err);
	if (preset == NULL) {
		log_err(G_LOG_LEVEL_CRITICAL, "preset_unreadable", &err);
		return;
	}
	shares_set_contracts(granter->shares, preset);
	preset_free(preset);
}

/*
 * Grants the shares of the entry that "request" names and appends them to
 * "granted_shares"; the names in them are valid until the next call.  Returns
 * false if this instance is not the leader.
 */
bool share_granter_grant(share_granter_t *granter, const msg_shares_t *request,
			 GArray *granted_shares)
{
	if (!replica_is_leader(granter->replica))
		return false;
	begin_term(granter);
	update_contracts(granter);
	shares_renew(granter->shares, request->instance, request->demand,
		     request->demand_count,
		     request->shares_term == granter->term, now_of(granter),
		     granted_shares);
	return true;
}

/*
 * Handles another control instance's request for the shares of an entry.  Does
 * not reply if this instance is not the leader.
 */
void share_granter_on_request(share_granter_t *granter, conn_t *conn,
			      const msg_shares_t *request)
{
	GArray *granted_shares = g_array_new(FALSE, FALSE, sizeof(msg_share_t));
	msg_shares_reply_t reply = {
		.sequence = request->sequence,
		.term = granter->replica->raft.term,
	};

	if (share_granter_grant(granter, request, granted_shares)) {
		reply.shares = (msg_share_t *)granted_shares->data;
		reply.share_count = granted_shares->len;
		conn_send(conn, MSG_SHARES_REPLY, &reply);
	}
	g_array_unref(granted_shares);
}

/*
 * Forwards an entry's request to the leader under a new sequence number.
 * Returns that number, which the reply will have, or 0 if no leader is
 * reachable.
 */
uint64_t share_granter_request_from_leader(share_granter_t *granter,
					   msg_shares_t request)
{
	request.sequence = granter->sequence + 1;
	if (!replica_send_to_leader(granter->replica, MSG_SHARES, &request))
		return 0;
	return ++granter->sequence;
}
