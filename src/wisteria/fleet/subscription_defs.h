#ifndef WISTERIA_FLEET_SUBSCRIPTION_DEFS_H
#define WISTERIA_FLEET_SUBSCRIPTION_DEFS_H

#include <glib.h>

#include "wisteria/fleet/control_list.h"
#include "wisteria/net/net_defs.h"

/*
 * Duration of a lease on a confirmed revision, from when its renewal was sent.
 * Less than the 5 s within which a revoked API key must be refused everywhere.
 */
#define SUBSCRIPTION_LEASE_MS 3000
/*
 * Interval between renewals, well under the 2 s within which a new revision
 * must be in force everywhere.
 */
#define SUBSCRIPTION_RENEW_INTERVAL_MS 400
/* Timeout of a renewal; the next control instance is then tried. */
#define SUBSCRIPTION_REPLY_TIMEOUT_MS 300

/* Without a lease, this many discovered instances are asked; youngest first. */
#define SUBSCRIPTION_DISCOVERED_MAX 16

/* Callbacks of a subscription's owner. */
typedef struct subscription_handler_t {
	/* Endpoint descriptions and keep-alives were received. */
	void (*endpoints)(struct subscription_handler_t *self,
			  const msg_fleet_endpoints_t *update);
	/*
	 * A renewal was answered.  Returns whether the revision of the reply
	 * is in force here; if not, the owner calls
	 * subscription_extend_lease() once it is.
	 */
	bool (*renew_reply)(struct subscription_handler_t *self,
			    const msg_fleet_renew_reply_t *reply);
	/* The endpoints' load from all entries was received; may be NULL. */
	void (*load)(struct subscription_handler_t *self,
		     const msg_fleet_load_t *load);
	/* The list of slow engines was received; may be NULL. */
	void (*slow_engines)(struct subscription_handler_t *self,
			     const msg_fleet_paces_t *slow_engines);
	/* The parts that are watched or refused were received; may be NULL. */
	void (*parts)(struct subscription_handler_t *self,
		      const msg_fleet_parts_t *parts);
	/* Limits of endpoints and permits were received; may be NULL. */
	void (*limits)(struct subscription_handler_t *self,
		       const msg_fleet_limits_t *limits);
	/* Retries of the reserve were granted; may be NULL. */
	void (*retries)(struct subscription_handler_t *self,
			const msg_fleet_retries_t *grant);
	/* The traffic plan of this entry was received; may be NULL. */
	void (*plan)(struct subscription_handler_t *self,
		     const msg_fleet_plan_t *plan);
	/* Another instance sent the control instances it knows; may be NULL. */
	void (*control_list)(struct subscription_handler_t *self,
			     const msg_fleet_meet_t *control_list);
	/* A seed answered a step of the founding; may be NULL. */
	void (*founding)(struct subscription_handler_t *self, conn_t *conn,
			 const msg_fleet_founding_t *reply);
	/* A connection to a control instance was established; may be NULL. */
	void (*opened)(struct subscription_handler_t *self, conn_t *conn);
	/* Returns the number of the held revision; 0: none. */
	uint64_t (*held)(struct subscription_handler_t *self);
} subscription_handler_t;

/* A control instance that this process is subscribed to. */
typedef struct {
	char address[NET_ADDRESS_BYTES];
	link_t link;
} subscription_control_t;

/* A process's subscriptions to the control instances of its fleet. */
typedef struct {
	conn_handler_t conn_handler;
	subscription_handler_t *handler;
	net_t *net;
	const clock_source_t *lease_clock;
	GPtrArray *controls; /* of subscription_control_t */
	GPtrArray *seeds;    /* configured addresses */
	/* Instances with a data folder: sent by others, named by a renewal. */
	control_list_t discovered;
	GPtrArray *wanted; /* next "controls"; NULL: unchanged */
	char *leader;	   /* last reported address; NULL: not known */
	/* Counts changes of the leader and of connections. */
	uint64_t leader_epoch;
	char *own_address; /* excluded from "controls"; may be NULL */
	uv_timer_t tick;
	guint next_index;	    /* in "controls": next renewal */
	clock_ms_t request_sent_ms; /* when the last renewal was sent */
	bool awaiting_reply;
	clock_ms_t lease_until_ms; /* by lease_clock */
	bool had_lease;
	bool renews_lease;
	bool is_entry;
	bool closed;
} subscription_t;

#endif
