/*
 * The entry's side of the limits that endpoints name: reads them from answers,
 * reports them and the entry's demand to the leader, and takes the leader's
 * permits.
 */
#include "wisteria/gateway/endpoint_limits.h"

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/request_limits.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/gateway/permits.h"

/* Least interval of reports while requests lack a permit. */
#define SHORT_REPORT_INTERVAL_MS 100
/* Permits are for an entry that the leader heard this short a time ago. */
#define REPORT_AGE_MAX_MS 1500
/* A limit that neither the leader nor an answer here confirms is forgotten. */
#define LIMIT_UNCONFIRMED_MS 10000

static clock_ms_t now_of(const gateway_t *gateway)
{
	return clock_now(gateway->clock);
}

/* Returns the part of a limit that an entry takes on its own. */
static double own_share(const gateway_t *gateway, double per_s)
{
	return per_s / MAX(gateway->entry_count, 1);
}

/* Returns whether the limit of the endpoint, if it has one, allows a request. */
bool endpoint_limits_allow(gateway_t *gateway, const endpoint_t *endpoint)
{
	double per_s = request_limits_rate(&gateway->limits, endpoint);

	return per_s < 0 ||
	       permits_allow(&gateway->permits, endpoint->id,
			     own_share(gateway, per_s), now_of(gateway));
}

/* Returns what endpoint_limits_allow() would; changes nothing. */
bool endpoint_limits_would_allow(const gateway_t *gateway,
				 const endpoint_t *endpoint)
{
	double per_s = request_limits_rate(&gateway->limits, endpoint);

	return per_s < 0 ||
	       permits_would_allow(&gateway->permits, endpoint->id,
				   own_share(gateway, per_s), now_of(gateway));
}

/*
 * Records that the endpoint is the one to send a request to; "is_short": its
 * limit does not allow that now.
 */
void endpoint_limits_want(gateway_t *gateway, const endpoint_t *endpoint,
			  bool is_short)
{
	if (request_limits_rate(&gateway->limits, endpoint) < 0)
		return;
	permits_want(&gateway->permits, endpoint->id);
	gateway->permits_short |= is_short;
}

/* Returns the requests per second that this entry may send to the endpoint. */
double endpoint_limits_rate(gateway_t *gateway, const endpoint_t *endpoint)
{
	double per_s = request_limits_rate(&gateway->limits, endpoint);

	return permits_rate(&gateway->permits, endpoint->id,
			    own_share(gateway, per_s), now_of(gateway));
}

/* Counts a request that is sent to endpoint "id" against its limit. */
void endpoint_limits_use(gateway_t *gateway, const char *id)
{
	const endpoint_t *endpoint = registry_find(&gateway->registry, id);

	if (endpoint != NULL &&
	    request_limits_rate(&gateway->limits, endpoint) >= 0)
		permits_use(&gateway->permits, id, now_of(gateway));
}

/* Takes over a limit or its end; returns whether it is new here. */
static bool learn(gateway_t *gateway, const endpoint_t *endpoint, double per_s,
		  clock_ms_t seen_ms, const char *source)
{
	if (!request_limits_learn(&gateway->limits, endpoint, per_s, seen_ms,
				  now_of(gateway)))
		return false;
	if (per_s >= 0) {
		LOG_INFO("endpoint_limited",
			 "endpoint=%s per_s=%.3f entries=%u source=%s",
			 endpoint->id, per_s, gateway->entry_count, source);
	} else {
		permits_forget(&gateway->permits, endpoint->id);
		LOG_INFO("endpoint_unlimited", "endpoint=%s source=%s",
			 endpoint->id, source);
	}
	return true;
}

/*
 * Returns whether an answer that names no limit shows that the limit has ended:
 * the endpoint got the request after it last named one.
 */
static bool shows_end(const exchange_t *exchange, const http_message_t *answer,
		      const endpoint_answer_t *read,
		      const request_limit_t *known)
{
	return known != NULL && known->per_s >= 0 &&
	       read->unreadable_limit == NULL && read->stamped &&
	       answer->status / 100 == 2 && exchange->sent_ms > known->seen_ms;
}

/* Reads the limit, or its end, from the head of an endpoint's answer. */
void endpoint_limits_answered(const exchange_t *exchange,
			      const http_message_t *answer,
			      const endpoint_answer_t *read)
{
	gateway_t *gateway = exchange->gateway;
	const endpoint_t *endpoint =
		registry_find(&gateway->registry, exchange->target.ids[0]);
	clock_ms_t now = now_of(gateway);

	if (endpoint == NULL || endpoint->incarnation != exchange->incarnation)
		return;
	if (read->request_limit < 0 &&
	    !shows_end(exchange, answer, read,
		       request_limits_find(&gateway->limits, endpoint)))
		return;
	request_limits_learn(&gateway->own_limits, endpoint,
			     read->request_limit, now, now);
	gateway->limits_report_due |=
		learn(gateway, endpoint, read->request_limit, now, "answer");
}

/* Takes over the leader's list of limits and its permits for this entry. */
void endpoint_limits_follow(gateway_t *gateway, const msg_fleet_limits_t *list)
{
	clock_ms_t now = now_of(gateway);
	bool is_fresh = now - list->report_sent_ms < REPORT_AGE_MAX_MS;

	for (size_t i = 0; i < list->limit_count; i++) {
		const msg_fleet_limit_t *limit = &list->limits[i];
		const endpoint_t *endpoint =
			registry_find(&gateway->registry, limit->endpoint);
		double per_s;

		if (endpoint == NULL ||
		    endpoint->incarnation != limit->incarnation)
			continue;
		learn(gateway, endpoint, limit->per_s, now - limit->seen_ago_ms,
		      "leader");
		per_s = request_limits_rate(&gateway->limits, endpoint);
		if (per_s < 0 || !is_fresh)
			continue;
		permits_hear(&gateway->permits, endpoint->id, now);
		permits_add(&gateway->permits, endpoint->id, limit->requests,
			    per_s, now);
	}
}

static msg_fleet_limit_t describe(gateway_t *gateway,
				  const request_limit_t *limit, clock_ms_t now)
{
	const request_limit_t *own =
		g_hash_table_lookup(gateway->own_limits.by_id, limit->id);

	if (own != NULL && own->incarnation != limit->incarnation)
		own = NULL;
	return (msg_fleet_limit_t){
		.endpoint = limit->id,
		.incarnation = limit->incarnation,
		.per_s = own == NULL ? REQUEST_LIMIT_NONE : own->per_s,
		.seen_ago_ms = own == NULL ? -1 : now - own->seen_ms,
		.requests =
			permits_collect_wanted(&gateway->permits, limit->id),
	};
}

/*
 * Tells the leader what the answers to this entry have named, and the demand of
 * this entry.  Limits that only others have seen are not passed on: their age
 * would be lost on the way.
 */
static void report(gateway_t *gateway, clock_ms_t now)
{
	msg_fleet_limit_t *limits =
		g_new(msg_fleet_limit_t,
		      g_hash_table_size(gateway->limits.by_id) + 1);
	msg_fleet_limits_t message = {
		.report_sent_ms = now,
		.is_short = gateway->permits_short,
		.limits = limits,
	};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->limits.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		limits[message.limit_count++] = describe(gateway, value, now);
	gateway->limits_reported_ms = now;
	gateway->limits_report_due = false;
	gateway->permits_short = false;
	if (message.limit_count > 0)
		subscription_send_to_leader(&gateway->subscription,
					    MSG_FLEET_LIMITS, &message);
	g_free(limits);
}

/* Own answers confirm a limit for as long as its endpoint lives. */
static void confirm_own(gateway_t *gateway)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->own_limits.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const request_limit_t *own = value;
		const endpoint_t *endpoint =
			registry_find(&gateway->registry, own->id);

		if (endpoint != NULL &&
		    endpoint->incarnation == own->incarnation)
			learn(gateway, endpoint, own->per_s, own->seen_ms,
			      "answer");
	}
}

static gboolean has_no_limit(gpointer id, gpointer balance, gpointer limits)
{
	(void)balance;
	return !g_hash_table_contains(limits, id);
}

static void expire(gateway_t *gateway, clock_ms_t now)
{
	request_limits_expire(&gateway->own_limits, &gateway->registry, 0, now);
	confirm_own(gateway);
	request_limits_expire(&gateway->limits, &gateway->registry,
			      LIMIT_UNCONFIRMED_MS, now);
	g_hash_table_foreach_remove(gateway->permits.balances, has_no_limit,
				    gateway->limits.by_id);
	counter_set(GAUGE_ENDPOINTS_LIMITED,
		    request_limits_count(&gateway->limits));
}

/* Sends reports to the leader and forgets what is over. */
void endpoint_limits_tick(gateway_t *gateway, clock_ms_t now)
{
	clock_ms_t since_ms = now - gateway->limits_reported_ms;

	if (since_ms >= GATEWAY_REPORT_INTERVAL_MS)
		expire(gateway, now);
	if (gateway->limits_report_due ||
	    (gateway->permits_short && since_ms >= SHORT_REPORT_INTERVAL_MS) ||
	    since_ms >= GATEWAY_REPORT_INTERVAL_MS)
		report(gateway, now);
}
