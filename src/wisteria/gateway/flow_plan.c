/*
 * Keeps the leader's traffic plan and divides this entry's requests among its
 * pipelines, in proportion to their rates.  Each request goes to the usable
 * pipeline that is furthest behind its part, so that the parts hold also over a
 * few requests, which random draws would not do.  No clock, no I/O.
 */
#include "wisteria/gateway/flow_plan.h"

#include <math.h>
#include <string.h>

#include "wisteria/fleet/admission_shares.h"

/*
 * Most credit of a flow, in prompt tokens: a few requests, so that a pipeline
 * that was not usable for a while does not get all requests afterwards.
 */
#define CREDIT_MAX_TOKENS 4000.0
/*
 * Part of the goal for the first event in which an endpoint should prefill what
 * an entry has sent it; the rest is for the other hops.
 */
#define WINDOW_GOAL_RATIO 0.8
/*
 * The plan's capacity errs on the low side after losses, and a request that might
 * start in time must not be refused.
 */
#define START_RATE_MARGIN 3.0

static void free_service(gpointer data)
{
	service_flows_t *service = data;

	g_array_unref(service->flows);
	g_free(service);
}

/* Initializes an empty plan, which is not valid. */
void flow_plan_init(flow_plan_t *plan)
{
	memset(plan, 0, sizeof(*plan));
	plan->services = g_ptr_array_new_with_free_func(free_service);
}

/* Frees the plan's contents. */
void flow_plan_finish(flow_plan_t *plan)
{
	g_ptr_array_unref(plan->services);
}

static void read_flow(const msg_fleet_flow_t *message, planned_flow_t *flow)
{
	*flow = (planned_flow_t){
		.hop_count = (uint32_t)message->hop_count,
		.weight = message->tokens_per_s,
		.first_event_ms = message->first_event_ms,
		.pause_ms = message->pause_ms,
	};
	for (uint32_t i = 0; i < flow->hop_count; i++) {
		planned_hop_t *hop = &flow->hops[i];

		g_strlcpy(hop->endpoint, message->hops[i].endpoint,
			  sizeof(hop->endpoint));
		hop->incarnation = message->hops[i].incarnation;
		hop->first_layer = message->hops[i].first_layer;
		hop->end_layer = message->hops[i].end_layer;
	}
}

static bool is_same_pipeline(const planned_flow_t *a, const planned_flow_t *b)
{
	if (a->hop_count != b->hop_count)
		return false;
	for (uint32_t i = 0; i < a->hop_count; i++)
		if (a->hops[i].first_layer != b->hops[i].first_layer ||
		    strcmp(a->hops[i].endpoint, b->hops[i].endpoint) != 0)
			return false;
	return true;
}

/* Returns the credit that a pipeline had in the previous plan. */
static double previous_credit(const service_flows_t *previous,
			      const planned_flow_t *flow)
{
	for (guint i = 0; previous != NULL && i < previous->flows->len; i++) {
		const planned_flow_t *other =
			&g_array_index(previous->flows, planned_flow_t, i);

		if (is_same_pipeline(other, flow))
			return other->credit;
	}
	return 0;
}

static service_flows_t *find_service(const GPtrArray *services,
				     const char *name)
{
	for (guint i = 0; i < services->len; i++) {
		service_flows_t *service = g_ptr_array_index(services, i);

		if (strcmp(service->service, name) == 0)
			return service;
	}
	return NULL;
}

/* Adds up the rates of the flows that begin at the same endpoint. */
static void sum_first_rates(GArray *flows)
{
	for (guint i = 0; i < flows->len; i++) {
		planned_flow_t *flow = &g_array_index(flows, planned_flow_t, i);

		flow->first_rate = 0;
		for (guint j = 0; j < flows->len; j++) {
			const planned_flow_t *other =
				&g_array_index(flows, planned_flow_t, j);

			if (strcmp(flow->hops[0].endpoint,
				   other->hops[0].endpoint) == 0)
				flow->first_rate += other->weight;
		}
	}
}

static service_flows_t *read_service(const msg_fleet_service_plan_t *message,
				     const service_flows_t *previous)
{
	service_flows_t *service = g_new0(service_flows_t, 1);

	g_strlcpy(service->service, message->service, sizeof(service->service));
	service->share_per_s = message->share_per_s;
	service->capacity_per_s = message->capacity_per_s;
	service->level = (int32_t)message->level;
	for (size_t i = 0; i < REQUEST_RANKS; i++) {
		bool is_stated = i < message->rank_count;

		service->promoted[i] =
			is_stated ? message->ranks[i].promoted : 0;
		service->left[i] = is_stated ? message->ranks[i].left : 1;
		if (previous != NULL)
			service->promotion_credit[i] =
				previous->promotion_credit[i];
	}
	service->flows = g_array_new(FALSE, FALSE, sizeof(planned_flow_t));
	for (size_t i = 0; i < message->flow_count; i++) {
		planned_flow_t flow;

		if (message->flows[i].hop_count == 0 ||
		    message->flows[i].hop_count > PIPELINE_HOPS_MAX ||
		    !(message->flows[i].tokens_per_s > 0))
			continue;
		read_flow(&message->flows[i], &flow);
		flow.credit = previous_credit(previous, &flow);
		g_array_append_val(service->flows, flow);
	}
	sum_first_rates(service->flows);
	return service;
}

/*
 * Takes over a plan, unless it comes from an earlier leader, is older than the
 * last one or answers a report of long ago, as that of a leader that was frozen.
 * Returns whether it is in force.
 */
bool flow_plan_follow(flow_plan_t *plan, const msg_fleet_plan_t *message,
		      clock_ms_t now)
{
	clock_ms_t valid_until_ms =
		message->report_sent_ms + FLOW_PLAN_MAX_AGE_MS;
	GPtrArray *services;

	if (message->term < plan->term ||
	    (message->term == plan->term &&
	     message->sequence <= plan->sequence) ||
	    message->report_sent_ms > now || now >= valid_until_ms)
		return false;
	services = g_ptr_array_new_with_free_func(free_service);
	for (size_t i = 0; i < message->service_count; i++) {
		const msg_fleet_service_plan_t *service = &message->services[i];

		g_ptr_array_add(
			services,
			read_service(service, find_service(plan->services,
							   service->service)));
	}
	g_ptr_array_unref(plan->services);
	plan->services = services;
	plan->term = message->term;
	plan->sequence = message->sequence;
	plan->valid_until_ms = valid_until_ms;
	return true;
}

/* Returns the plan of a service, or NULL if there is none that is valid. */
service_flows_t *flow_plan_find(const flow_plan_t *plan, const char *service,
				clock_ms_t now)
{
	return now < plan->valid_until_ms
		       ? find_service(plan->services, service)
		       : NULL;
}

/* Returns whether flow_plan_promotes() would hold now; counts nothing. */
bool flow_plan_would_promote(const service_flows_t *service, int32_t rank)
{
	int32_t i = MAX(rank, 0);

	return admission_shares_would_promote(service->promotion_credit[i],
					      service->promoted[i]);
}

/*
 * Returns whether a new request is sent with rank 0, so that its rank gets the
 * minimum of the capacity, and counts it.
 */
bool flow_plan_promotes(service_flows_t *service, int32_t rank, double tokens)
{
	int32_t i = MAX(rank, 0);

	return admission_shares_promote(&service->promotion_credit[i],
					service->promoted[i], tokens);
}

/*
 * Returns the prompt tokens per ms that this entry is expected to
 * start.  It errs on the high side: a request that might start in time must not
 * be refused.
 */
double flow_plan_start_rate(const service_flows_t *service)
{
	return service->share_per_s / 1000 * START_RATE_MARGIN;
}

/*
 * Returns how many prompt tokens, at least as urgent as "rank", this entry may
 * have sent to the first endpoint of a flow without their being prefilled: what
 * the endpoint prefills for that rank in a part of the goal for the first event.
 */
double flow_plan_window(const service_flows_t *service,
			const planned_flow_t *flow, int32_t rank,
			clock_ms_t goal_ms)
{
	return flow->first_rate / 1000 * (double)goal_ms * WINDOW_GOAL_RATIO *
	       service->left[MAX(rank, 0)];
}

/* Returns the sum of the weights of the usable flows. */
static double sum_usable_weights(const GArray *flows)
{
	double weight = 0;

	for (guint i = 0; i < flows->len; i++) {
		const planned_flow_t *flow =
			&g_array_index(flows, planned_flow_t, i);

		if (flow->is_usable)
			weight += flow->weight;
	}
	return weight;
}

/*
 * Returns the credit of a usable flow with its part of a request of "tokens"
 * tokens; "weight" is that of all usable flows.
 */
static double next_credit(const planned_flow_t *flow, double tokens,
			  double weight)
{
	return MIN(flow->credit + tokens * flow->weight / weight,
		   CREDIT_MAX_TOKENS);
}

/* Returns the index of the usable flow that is furthest behind, or -1. */
static int find_best(const GArray *flows, double tokens)
{
	double weight = sum_usable_weights(flows);
	double best_credit = 0;
	int best = -1;

	for (guint i = 0; i < flows->len; i++) {
		const planned_flow_t *flow =
			&g_array_index(flows, planned_flow_t, i);
		double credit;

		if (!flow->is_usable)
			continue;
		credit = next_credit(flow, tokens, weight);
		if (best < 0 || credit > best_credit) {
			best = (int)i;
			best_credit = credit;
		}
	}
	return best;
}

/*
 * Returns the pipeline that flow_plan_choose() would choose if the flows with
 * "usable" set, one for each in their order, were usable.  Changes nothing.
 */
const planned_flow_t *flow_plan_preview(const service_flows_t *service,
					double tokens, const bool *usable)
{
	GArray *flows = g_array_copy(service->flows);
	int best;

	for (guint i = 0; i < flows->len; i++)
		g_array_index(flows, planned_flow_t, i).is_usable = usable[i];
	best = find_best(flows, tokens);
	g_array_unref(flows);
	return best < 0 ? NULL
			: &g_array_index(service->flows, planned_flow_t, best);
}

/*
 * Chooses the pipeline for a request with a prompt of "tokens" tokens and counts
 * it there.  Returns NULL if no flow is usable.
 */
planned_flow_t *flow_plan_choose(service_flows_t *service, double tokens,
				 flow_usable_t usable, void *user)
{
	GArray *flows = service->flows;
	planned_flow_t *flow;
	double weight;
	int best;

	for (guint i = 0; i < flows->len; i++) {
		flow = &g_array_index(flows, planned_flow_t, i);
		flow->is_usable = usable(flow, user);
	}
	best = find_best(flows, tokens);
	if (best < 0)
		return NULL;
	weight = sum_usable_weights(flows);
	for (guint i = 0; i < flows->len; i++) {
		flow = &g_array_index(flows, planned_flow_t, i);
		if (flow->is_usable)
			flow->credit = next_credit(flow, tokens, weight);
	}
	flow = &g_array_index(flows, planned_flow_t, best);
	flow->credit -= tokens;
	return flow;
}
