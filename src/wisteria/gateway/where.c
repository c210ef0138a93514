/*
 * Tells where a request would go now, and why, before it is sent.  It follows
 * exchange_begin() with the parts of the decision that change nothing: no
 * demand, credit, permit or random number is used, and nothing is queued.
 */
#include "wisteria/gateway/where.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/gateway/exchange.h"

static const route_t *find_route(const route_table_t *table, const char *name)
{
	for (guint i = 0; i < table->routes->len; i++) {
		const route_t *route = g_ptr_array_index(table->routes, i);

		if (strcmp(route->name, name) == 0)
			return route;
	}
	return NULL;
}

static const customer_config_t *find_customer(const route_table_t *table,
					      const char *name)
{
	for (guint i = 0; i < table->customers->len; i++) {
		const customer_config_t *customer =
			g_ptr_array_index(table->customers, i);

		if (strcmp(customer->name, name) == 0)
			return customer;
	}
	return NULL;
}

/* Returns the target that gets most of the route's requests. */
static const route_target_t *main_target(const route_t *route)
{
	const route_target_t *main = NULL;

	for (guint i = 0; i < route->targets->len; i++) {
		const route_target_t *target =
			&g_array_index(route->targets, route_target_t, i);

		if (main == NULL || target->weight > main->weight)
			main = target;
	}
	return main;
}

/* Sets the tokens, which are by default those of the service's mean request. */
static void set_tokens(const where_query_t *query, where_answer_t *answer)
{
	const engine_model_t *engine = &answer->service->engine;

	answer->prompt_tokens = query->prompt_tokens > 0
					? query->prompt_tokens
					: engine->mean_prompt_tokens;
	answer->answer_tokens = query->answer_tokens > 0
					? query->answer_tokens
					: engine->mean_answer_tokens;
}

static void describe_plan(const exchange_t *probe, clock_ms_t now,
			  where_answer_t *answer)
{
	const flow_plan_t *plan = &probe->gateway->plan;

	answer->term = plan->term;
	answer->sequence = plan->sequence;
	answer->plan_age_ms = -1;
	if (plan->valid_until_ms != 0)
		answer->plan_age_ms =
			now - (plan->valid_until_ms - FLOW_PLAN_MAX_AGE_MS);
	if (answer->service->has_engine)
		answer->plan = flow_plan_find(plan, answer->service->name, now);
	answer->is_promoted =
		answer->plan != NULL && probe->rank > 0 &&
		flow_plan_would_promote(answer->plan, probe->rank);
}

/* Checks all flows of the plan; "target" is that of the chosen one. */
static target_result_t describe_flows(const exchange_t *probe,
				      where_answer_t *answer, target_t *target)
{
	const service_flows_t *plan = answer->plan;
	flow_state_t *states =
		g_malloc0_n(plan->flows->len + 1, sizeof(*states));
	target_result_t result =
		target_preview(probe, plan, states, &answer->chosen, target);

	for (guint i = 0; i < plan->flows->len; i++) {
		const planned_flow_t *flow =
			&g_array_index(plan->flows, planned_flow_t, i);
		const where_flow_t described = {
			.flow = flow,
			.state = states[i],
			.window_tokens = flow_plan_window(
				plan, flow, probe->rank, probe->route->goal_ms),
			.unread_tokens = usage_own_unread(
				&probe->gateway->usage, flow->hops[0].endpoint,
				probe->rank),
		};

		g_array_append_val(answer->flows, described);
	}
	g_free(states);
	return result;
}

static void refuse(where_answer_t *answer, const char *reason)
{
	answer->outcome = WHERE_REFUSE;
	answer->reason = reason;
}

/* Decides between waiting and refusal, as send_or_queue() in exchange.c. */
static void decide_wait(const exchange_t *probe, const wait_item_t *wait,
			target_result_t found, const target_t *target,
			where_answer_t *answer)
{
	clock_ms_t now = probe->started_ms;
	clock_ms_t wait_ms = exchange_max_wait_ms(probe, found, target, now);
	double rate = flow_plan_start_rate(answer->plan);
	clock_ms_t start_ms = wait_queue_expected_start(
		&probe->gateway->waiting, wait, rate, now);

	if (wait_ms <= 0 || (rate > 0 && start_ms > now + wait_ms)) {
		refuse(answer, exchange_refusal_reason(found));
		return;
	}
	answer->outcome = WHERE_WAIT;
	answer->reason = exchange_refusal_reason(found);
	answer->expected_ms = start_ms - now;
	answer->wait_limit_ms = wait_ms;
}

/* Decides by the plan of the service, which is valid. */
static void decide_by_plan(const exchange_t *probe, where_answer_t *answer)
{
	const gateway_t *gateway = probe->gateway;
	const shortage_t *shortage =
		g_hash_table_lookup(gateway->shortages, answer->service->name);
	target_t target;
	target_result_t found = describe_flows(probe, answer, &target);
	wait_item_t wait = { 0 };
	bool must_wait;

	exchange_set_pool(probe, &wait);
	exchange_describe_wait(probe, &wait);
	must_wait = wait_queue_must_wait(&gateway->waiting, wait.pool,
					 wait.priority);
	if (found == TARGET_FOUND &&
	    exchange_might_outlast_stop(probe, &target)) {
		refuse(answer, "stopping");
	} else if (must_wait) {
		found = shortage != NULL && shortage->places > 0
				? TARGET_LIMITED
				: TARGET_FULL;
		decide_wait(probe, &wait, found, &target, answer);
		if (answer->outcome == WHERE_WAIT)
			answer->reason = "others_wait";
	} else if (found == TARGET_FOUND) {
		answer->outcome = WHERE_START;
	} else if (found == TARGET_NONE) {
		answer->outcome = WHERE_SEARCH;
		answer->reason = "no_planned_endpoint";
	} else {
		decide_wait(probe, &wait, found, &target, answer);
	}
}

static void decide(const exchange_t *probe, const customer_config_t *customer,
		   where_answer_t *answer)
{
	const gateway_t *gateway = probe->gateway;

	if (answer->plan != NULL) {
		decide_by_plan(probe, answer);
	} else {
		answer->outcome = WHERE_SEARCH;
		answer->reason = answer->service->has_engine ? "no_valid_plan"
							     : "no_model";
	}
	if (!subscription_has_lease(&gateway->subscription))
		refuse(answer, "no_lease");
	else if (!route_table_allows(gateway->table, probe->route, customer))
		refuse(answer, "unknown_api_key");
}

/*
 * Finds where the request of "query" would go now.  If the route shares its
 * requests among services, the one with the greatest weight is asked.  Unless
 * WHERE_FOUND is returned, "answer" must not be used; otherwise the caller
 * finishes it.  The caller runs on the gateway's event loop.
 */
where_result_t where_find(const gateway_t *gateway, const where_query_t *query,
			  where_answer_t *answer)
{
	clock_ms_t now = clock_now(gateway->clock);
	const route_table_t *table = gateway->table;
	const customer_config_t *customer = NULL;
	const route_target_t *main;
	const route_t *route;
	exchange_t probe = { .gateway = (gateway_t *)gateway };

	if (table == NULL)
		return WHERE_NO_CONFIGURATION;
	route = find_route(table, query->route);
	if (route == NULL)
		return WHERE_NO_ROUTE;
	if (query->customer != NULL) {
		customer = find_customer(table, query->customer);
		if (customer == NULL)
			return WHERE_NO_CUSTOMER;
	}
	main = main_target(route);
	memset(answer, 0, sizeof(*answer));
	answer->revision = table->revision;
	answer->service = route_table_find_service(table, main->service);
	answer->service_weight = main->weight;
	answer->weight_sum = route->weight_sum;
	answer->rank = answer->service->has_engine
			       ? route_table_rank(table, route, customer)
			       : REQUEST_RANK_NONE;
	answer->waiting = wait_queue_count(&gateway->waiting, answer->service);
	answer->flows = g_array_new(FALSE, FALSE, sizeof(where_flow_t));
	set_tokens(query, answer);
	probe.route = route;
	probe.service = answer->service;
	probe.customer = customer == NULL ? NULL : customer->name;
	probe.rank = answer->rank;
	probe.started_ms = now;
	probe.deadline_ms = now + route->timeout_ms;
	probe.caller.prompt_tokens = answer->prompt_tokens;
	probe.caller.answer_tokens_max = answer->answer_tokens;
	probe.failed_ids = g_ptr_array_new();
	describe_plan(&probe, now, answer);
	if (answer->is_promoted)
		probe.rank = 0;
	decide(&probe, customer, answer);
	g_ptr_array_unref(probe.failed_ids);
	return WHERE_FOUND;
}

/* Frees what the answer holds. */
void where_answer_finish(where_answer_t *answer)
{
	g_array_unref(answer->flows);
}
