/*
 * The entry's part of the retry budget that all entries share: the ratio of its
 * own requests, and an equal share of the slack, for each service.
 */
#include "wisteria/gateway/retries.h"

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/retry_reserve.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/fleet/subscription_defs.h"
#include "wisteria/limits/equal_share.h"
#include "wisteria/limits/retry_arrivals.h"
#include "wisteria/limits/retry_window.h"

/* Keeps the retries per request below the bound that all entries share. */
#define RETRY_SAFETY_FACTOR 0.8

/*
 * Initializes the retry windows; no service has one yet.  The share settles
 * after a lease: an entry that has had no renewal since this one started, and so
 * does not know of it, has no lease by then and sends nothing.
 */
void retries_init(gateway_t *gateway)
{
	equal_share_init(
		&gateway->slack_share,
		(clock_ms_t)(gateway->settings->fleet->retry_window_s * 1000),
		SUBSCRIPTION_LEASE_MS);
	if (gateway->settings->fleet->bootstrap)
		equal_share_set_first(&gateway->slack_share);
	gateway->retry_windows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	retry_grants_init(&gateway->retry_grants);
}

/* Frees the retry windows. */
void retries_finish(gateway_t *gateway)
{
	retry_grants_finish(&gateway->retry_grants);
	g_hash_table_destroy(gateway->retry_windows);
}

/* Returns how many repeats of the slack this entry may make in a window. */
static double slack_share(gateway_t *gateway)
{
	return gateway->settings->fleet->retry_slack *
	       equal_share_part(&gateway->slack_share,
				clock_now(gateway->clock));
}

/* Returns the retry window of "service", set to the current limits. */
static retry_window_t *find_window(gateway_t *gateway, const char *service)
{
	const settings_fleet_t *fleet = gateway->settings->fleet;
	retry_window_t *window =
		g_hash_table_lookup(gateway->retry_windows, service);

	if (window == NULL) {
		window = g_new(retry_window_t, 1);
		retry_window_init(window,
				  (clock_ms_t)(fleet->retry_window_s * 1000));
		g_hash_table_insert(gateway->retry_windows, g_strdup(service),
				    window);
	}
	retry_window_set_limits(window,
				fleet->retry_ratio * RETRY_SAFETY_FACTOR,
				slack_share(gateway));
	return window;
}

static retry_window_t *window_of(const exchange_t *exchange)
{
	return find_window(exchange->gateway, exchange->service->name);
}

static clock_ms_t now_of(const exchange_t *exchange)
{
	return clock_now(exchange->gateway->clock);
}

/* Records the number of entries that a renewal reported. */
void retries_set_entries(gateway_t *gateway, uint32_t entries)
{
	clock_ms_t now = clock_now(gateway->clock);
	uint32_t before = equal_share_owners(&gateway->slack_share, now);
	uint32_t after;
	bool has_share;

	equal_share_told(&gateway->slack_share, entries, now);
	after = equal_share_owners(&gateway->slack_share, now);
	has_share = equal_share_is_settled(&gateway->slack_share, now);
	if (has_share != gateway->has_slack_share)
		LOG_INFO(has_share ? "retry_share_gained" : "retry_share_lost",
			 "entries=%u slack=%.2f", after, slack_share(gateway));
	gateway->has_slack_share = has_share;
	if (after != before)
		LOG_INFO("retry_share_changed",
			 "entries=%u was=%u told=%u slack=%.2f", after, before,
			 entries, slack_share(gateway));
}

/* Counts a request that is sent for the first time. */
void retries_count_request(const exchange_t *exchange)
{
	retry_window_count_request(window_of(exchange), now_of(exchange));
}

/* Asks a control instance for a retry of the reserve, if it is time to. */
static void ask_for_grant(const exchange_t *exchange)
{
	gateway_t *gateway = exchange->gateway;
	const char *service = exchange->service->name;
	clock_ms_t now = now_of(exchange);
	uint32_t instance = 0;
	const msg_fleet_retries_t request = {
		.service = service,
		.count = retry_grants_want(&gateway->retry_grants, service,
					   &instance, now),
		.request_sent_ms = now,
	};

	if (request.count > 0)
		subscription_send_to_one(&gateway->subscription, instance,
					 MSG_FLEET_RETRIES, &request);
}

/* Returns whether a control instance that was asked for a retry may grant it. */
bool retries_grant_may_come(const exchange_t *exchange)
{
	gateway_t *gateway = exchange->gateway;

	return subscription_count_open(&gateway->subscription) > 0 &&
	       retry_grants_may_come(&gateway->retry_grants,
				     exchange->service->name, now_of(exchange));
}

/* Records the answer of a control instance. */
void retries_granted(gateway_t *gateway, const msg_fleet_retries_t *grant)
{
	clock_ms_t now = clock_now(gateway->clock);

	if (grant->count > 0)
		retry_grants_add(
			&gateway->retry_grants, grant->service, grant->count,
			grant->request_sent_ms + RETRY_GRANT_VALID_MS, now);
	else
		retry_grants_refused(
			&gateway->retry_grants, grant->service,
			subscription_count_open(&gateway->subscription), now);
}

/*
 * Returns whether the entry's own budget or a grant allows to send the request
 * again; if neither does, asks for a grant.
 */
bool retries_allow(const exchange_t *exchange)
{
	if (retry_window_allows(window_of(exchange), now_of(exchange)) ||
	    retry_grants_has(&exchange->gateway->retry_grants,
			     exchange->service->name, now_of(exchange)))
		return true;
	ask_for_grant(exchange);
	return false;
}

/*
 * Takes one retry from the entry's own budget, or uses a grant; if there is
 * neither, asks for a grant and returns false.  A granted retry is counted by
 * the instance that granted it alone.
 */
bool retries_take(exchange_t *exchange)
{
	if (retry_window_take(window_of(exchange), now_of(exchange))) {
		retry_arrivals_expect(&exchange->retry_arrivals, false);
		return true;
	}
	if (retry_grants_take(&exchange->gateway->retry_grants,
			      exchange->service->name, now_of(exchange))) {
		retry_arrivals_expect(&exchange->retry_arrivals, true);
		return true;
	}
	ask_for_grant(exchange);
	return false;
}

static void settle_one(const exchange_t *exchange)
{
	retry_window_settle(window_of(exchange), now_of(exchange));
}

/*
 * Records that the current attempt has arrived, as the head of its answer
 * shows, or has ended.
 */
void retries_attempt_arrived(exchange_t *exchange)
{
	if (!exchange->awaits_arrival)
		return;
	exchange->awaits_arrival = false;
	if (retry_arrivals_count(&exchange->retry_arrivals))
		settle_one(exchange);
}

/* Records that the current attempt was never sent. */
void retries_attempt_unsent(exchange_t *exchange)
{
	exchange->awaits_arrival = false;
	if (exchange->is_counted &&
	    retry_arrivals_withdraw(&exchange->retry_arrivals))
		settle_one(exchange);
}

/* Settles the retries of a request whose attempts have all ended. */
void retries_request_ended(exchange_t *exchange)
{
	while (exchange->retry_arrivals.own > 0)
		if (retry_arrivals_withdraw(&exchange->retry_arrivals))
			settle_one(exchange);
}

static void log_decision(const exchange_t *exchange, const char *event,
			 const char *reason)
{
	gateway_t *gateway = exchange->gateway;
	const retry_window_t *window = window_of(exchange);
	uint32_t requests;
	uint32_t retries;

	retry_window_sum(window, &requests, &retries);
	LOG_INFO(event,
		 "request=%s sends=%u reason=%s service=%s entries=%u "
		 "slack=%.2f window_requests=%u window_retries=%u",
		 exchange->caller.id, exchange->send_count, reason,
		 exchange->service->name,
		 equal_share_owners(&gateway->slack_share, now_of(exchange)),
		 window->slack, requests, retries);
}

/*
 * Logs and counts an attempt that is not the first of its request; without
 * "uses_budget" no endpoint can have received the request before.
 */
void retries_log_sent(const exchange_t *exchange, bool uses_budget)
{
	counter_add(uses_budget ? COUNTER_GATEWAY_RETRIES
				: COUNTER_GATEWAY_UNCOUNTED_RETRIES,
		    1);
	log_decision(exchange, "retry_sent",
		     uses_budget ? "retry_budget" : "never_received");
}

/* Logs that the endpoint of a repeat shows that it has received it. */
void retries_log_received(const exchange_t *exchange)
{
	clock_ms_t after_ms = now_of(exchange) - exchange->sent_ms;

	histogram_add(LATENCY_REPEAT, after_ms);
	LOG_INFO("repeat_received",
		 "request=%s endpoint=%s after_ms=%" G_GINT64_FORMAT,
		 exchange->caller.id, exchange->target.ids[0], after_ms);
}

/* Logs and counts an attempt for which the budget was spent. */
void retries_log_denied(const exchange_t *exchange)
{
	counter_add(COUNTER_GATEWAY_RETRIES_DENIED, 1);
	log_decision(exchange, "retry_not_made", "retry_budget");
}
