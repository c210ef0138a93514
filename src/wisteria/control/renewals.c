/*
 * Answers renewals of configuration leases.  A renewal is answered only at a
 * commit index that a quorum confirmed after the renewal arrived, so that a
 * control instance cut off from the quorum grants no lease on an old revision.
 */
#include "wisteria/control/renewals.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/control/control_defs.h"
#include "wisteria/control/replica.h"
#include "wisteria/net/conn.h"
#include "wisteria/store/store.h"
#include "wisteria/store/store_engine.h"

typedef struct {
	conn_t *conn;
	uint64_t ticket; /* of the read; 0: not requested yet */
	bool confirmed;
	clock_ms_t received_ms;
	msgpack_zone zone;
	msg_renew_t renew; /* in "zone" */
	/* Shares of contracts; granted here, or by the leader on request. */
	uint64_t request_sequence; /* of the request; 0: none sent */
	uint64_t shares_term;	   /* in which they were granted; 0: none */
	GArray *granted_shares;	   /* of msg_share_t */
	GStringChunk *names;	   /* of the shares that the leader granted */
} renewal_t;

static clock_ms_t now_of(const renewals_t *renewals)
{
	return clock_now(renewals->replica->net->clock);
}

static void free_renewal(gpointer data)
{
	renewal_t *renewal = data;

	msgpack_zone_destroy(&renewal->zone);
	g_array_unref(renewal->granted_shares);
	g_string_chunk_free(renewal->names);
	g_free(renewal);
}

/* Initializes an empty set; the other arguments must outlive it. */
void renewals_init(renewals_t *renewals, replica_t *replica,
		   const store_t *store, directory_t *directory)
{
	renewals->replica = replica;
	renewals->store = store;
	renewals->directory = directory;
	renewals->pending = g_ptr_array_new_with_free_func(free_renewal);
	share_granter_init(&renewals->share_granter, replica, store);
}

/* Frees the set and its pending renewals. */
void renewals_finish(renewals_t *renewals)
{
	g_ptr_array_unref(renewals->pending);
	share_granter_finish(&renewals->share_granter);
}

/* Only entries send demand and are granted shares of contracts. */
static bool has_demand(const renewal_t *renewal)
{
	return renewal->renew.demand_count > 0;
}

static msg_shares_t shares_request(const renewal_t *renewal)
{
	const msg_renew_t *renew = &renewal->renew;

	return (msg_shares_t){
		.instance = renew->instance,
		.demand = renew->demand,
		.demand_count = renew->demand_count,
		.shares_term = renew->shares_term,
	};
}

static void request_shares(renewals_t *renewals, renewal_t *renewal)
{
	if (!has_demand(renewal) || renewal->request_sequence != 0 ||
	    replica_is_leader(renewals->replica))
		return;
	renewal->request_sequence = share_granter_request_from_leader(
		&renewals->share_granter, shares_request(renewal));
}

/* Adds a copy of a renewal; it is answered once a read is confirmed. */
void renewals_add(renewals_t *renewals, conn_t *conn, const msg_renew_t *renew)
{
	renewal_t *renewal = g_new0(renewal_t, 1);
	msgpack_sbuffer out;
	err_t err = ERR_INIT;

	msgpack_zone_init(&renewal->zone, MSGPACK_ZONE_CHUNK_SIZE);
	msgpack_sbuffer_init(&out);
	codec_encode(msg_desc(MSG_RENEW), renew, &out);
	if (!codec_decode(msg_desc(MSG_RENEW), (const uint8_t *)out.data,
			  out.size, &renewal->zone, &renewal->renew, &err))
		g_error("a decoded message cannot be decoded again");
	msgpack_sbuffer_destroy(&out);
	renewal->conn = conn;
	renewal->received_ms = now_of(renewals);
	renewal->granted_shares =
		g_array_new(FALSE, FALSE, sizeof(msg_share_t));
	renewal->names = g_string_chunk_new(256);
	g_ptr_array_add(renewals->pending, renewal);
	request_shares(renewals, renewal);
}

/* Drops timed-out renewals and starts one read for all new ones. */
void renewals_tick(renewals_t *renewals)
{
	clock_ms_t now = now_of(renewals);
	uint64_t ticket = 0;
	guint i = 0;

	while (i < renewals->pending->len) {
		renewal_t *renewal = g_ptr_array_index(renewals->pending, i);

		if (now - renewal->received_ms > LEASE_REPLY_TIMEOUT_MS) {
			g_ptr_array_remove_index(renewals->pending, i);
			continue;
		}
		if (renewal->ticket == 0) {
			if (ticket == 0)
				ticket = replica_read(renewals->replica);
			renewal->ticket = ticket;
		}
		i++;
	}
}

static bool daemon_has_preset(const msg_renew_t *renew, const char *name)
{
	for (size_t i = 0; i < renew->preset_count; i++)
		if (strcmp(renew->presets[i].text, name) == 0)
			return true;
	return false;
}

static void fill_directory(const renewals_t *renewals, const msg_renew_t *renew,
			   msg_renew_reply_t *reply)
{
	directory_delta_t delta;

	directory_delta(renewals->directory, renew->directory_epoch,
			renew->directory_version, now_of(renewals), &delta);
	reply->directory_is_complete = delta.full;
	reply->directory_epoch = delta.epoch;
	reply->directory_version = delta.version;
	reply->endpoints = delta.endpoints;
	reply->endpoint_count = delta.endpoint_count;
	reply->removed = delta.removed;
	reply->removed_count = delta.removed_count;
}

/*
 * Returns whether the renewal has its shares, granted in the current term.
 * Grants them if this instance leads; otherwise requests them from the leader
 * unless a request is pending.
 */
static bool obtain_shares(renewals_t *renewals, renewal_t *renewal)
{
	const msg_shares_t request = shares_request(renewal);

	if (!has_demand(renewal))
		return true;
	if (replica_is_leader(renewals->replica)) {
		g_array_set_size(renewal->granted_shares, 0);
		renewal->shares_term = renewals->replica->raft.term;
		return share_granter_grant(&renewals->share_granter, &request,
					   renewal->granted_shares);
	}
	if (renewal->shares_term == renewals->replica->raft.term)
		return true;
	if (renewal->shares_term != 0)
		renewal->request_sequence = 0;
	renewal->shares_term = 0;
	request_shares(renewals, renewal);
	return false;
}

static void fill_config(const msg_renew_t *renew, const msg_preset_t *preset,
			msg_renew_reply_t *reply)
{
	reply->has_config = renew->revision < reply->config.revision;
	if (!reply->has_config) {
		reply->config = (msg_config_t){ .revision = renew->revision };
		return;
	}
	if (daemon_has_preset(renew, preset->name))
		return;
	reply->presets = preset;
	reply->preset_count = 1;
}

/* The open engine orders for the endpoints of one daemon. */
typedef struct {
	const store_t *store;
	GArray *orders; /* of msg_engine_order_t */
} open_orders_t;

static void add_open_order(void *user, const msg_endpoint_t *endpoint)
{
	open_orders_t *open = user;
	const msg_engine_order_t *order =
		store_engine_oldest_open(open->store, endpoint->name);

	if (order != NULL)
		g_array_append_val(open->orders, *order);
}

/* Returns the open engine orders for a daemon; the caller frees the array. */
static GArray *collect_orders(const renewals_t *renewals,
			      const msg_renew_t *renew)
{
	open_orders_t open = {
		.store = renewals->store,
		.orders = g_array_new(FALSE, FALSE, sizeof(msg_engine_order_t)),
	};

	if (store_engine_any_open(renewals->store))
		directory_visit(renewals->directory, renew->instance,
				add_open_order, &open);
	return open.orders;
}

/*
 * Sends the reply to a renewal if its read is confirmed and its preset and its
 * shares are available; returns whether it did.
 */
static bool try_answer(renewals_t *renewals, renewal_t *renewal)
{
	const msg_renew_t *renew = &renewal->renew;
	const msg_preset_t *preset;
	GArray *orders;
	msg_renew_reply_t reply = {
		.sequence = renew->sequence,
		.granted = true,
		.lease_ms = LEASE_MS,
		.fence = renewals->store->fence,
	};

	store_config(renewals->store, &reply.config);
	preset = store_find_preset(renewals->store, reply.config.preset);
	if (!renewal->confirmed || preset == NULL ||
	    renew->revision > reply.config.revision ||
	    !obtain_shares(renewals, renewal))
		return false;
	fill_config(renew, preset, &reply);
	fill_directory(renewals, renew, &reply);
	reply.shares = (msg_share_t *)renewal->granted_shares->data;
	reply.share_count = renewal->granted_shares->len;
	reply.shares_term = renewal->shares_term;
	orders = collect_orders(renewals, renew);
	reply.orders = (msg_engine_order_t *)orders->data;
	reply.order_count = orders->len;
	counter_add(COUNTER_RENEWALS, 1);
	conn_send(renewal->conn, MSG_RENEW_REPLY, &reply);
	g_array_free(orders, TRUE);
	return true;
}

/* Answers the renewals whose reads, those up to "ticket", are confirmed. */
void renewals_read_confirmed(renewals_t *renewals, uint64_t ticket)
{
	guint i = 0;

	while (i < renewals->pending->len) {
		renewal_t *renewal = g_ptr_array_index(renewals->pending, i);

		if (renewal->ticket != 0 && renewal->ticket <= ticket)
			renewal->confirmed = true;
		if (try_answer(renewals, renewal))
			g_ptr_array_remove_index(renewals->pending, i);
		else
			i++;
	}
}

static void copy_shares(renewal_t *renewal, const msg_shares_reply_t *reply)
{
	renewal->shares_term = reply->term;
	g_array_set_size(renewal->granted_shares, 0);
	for (size_t i = 0; i < reply->share_count; i++) {
		msg_share_t share = reply->shares[i];

		share.customer = g_string_chunk_insert_const(renewal->names,
							     share.customer);
		g_array_append_val(renewal->granted_shares, share);
	}
}

/* Handles the leader's reply to a request for the shares of an entry. */
void renewals_on_shares_reply(renewals_t *renewals,
			      const msg_shares_reply_t *reply)
{
	for (guint i = 0; i < renewals->pending->len; i++) {
		renewal_t *renewal = g_ptr_array_index(renewals->pending, i);

		if (renewal->request_sequence != reply->sequence)
			continue;
		copy_shares(renewal, reply);
		if (try_answer(renewals, renewal))
			g_ptr_array_remove_index(renewals->pending, i);
		return;
	}
}

/* Drops the pending renewals of a connection that was closed. */
void renewals_conn_closed(renewals_t *renewals, const conn_t *conn)
{
	guint i = 0;

	while (i < renewals->pending->len) {
		const renewal_t *renewal =
			g_ptr_array_index(renewals->pending, i);

		if (renewal->conn == conn)
			g_ptr_array_remove_index(renewals->pending, i);
		else
			i++;
	}
}
