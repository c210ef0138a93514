/*
 * Plans which pipelines serve the requests of each failure domain, and how much
 * each of them.  Answers a load at which the fastest pipeline alone can't read
 * all prompts: entries that each choose by the backlog of 0.5 s ago send
 * everything to the same pipeline and then everything to another.  Pipelines are
 * filled in the order of their cost, up to what their engines read and hold, so
 * that the parts are the same in all entries and change slowly.  Uses no clock
 * and does no I/O.
 */
#include "wisteria/fleet/traffic_plan.h"

#include <math.h>

#include "wisteria/fleet/pipeline.h"

/*
 * Shares of the rate of prefill to which pipelines are filled one after the
 * other; at the last one the queueing delay is a few passes.
 */
static const double fill_levels[] = { 0.6, 0.85 };
/* Backlog that is normal, since a prompt takes this long through a pipeline. */
#define NORMAL_BACKLOG_MS 150
/* What exceeds the normal backlog is worked off in this time. */
#define BACKLOG_DRAIN_MS 1000
/* Part of the KV cache that is planned; the rest is for longer answers. */
#define MEMORY_FILL 0.9
/* Cost of forwarding a hop. */
#define HOP_MS 1.0
/* A flow is not worth its place below this share of all demand. */
#define FLOW_SHARE_MIN 0.002

/* The cheapest pipeline that lies in one domain, or in several. */
typedef struct {
	bool known;
	bool found;
	pipeline_t pipeline; /* with indexes of the input's stages */
} candidate_pipeline_t;

typedef struct {
	const traffic_input_t *input;
	double *rates;	/* prefill rate that a stage has left, tokens per ms */
	double *memory; /* KV-cache tokens that it has left */
	double *first_rates; /* that it takes as the first, and has left */
	double pipe_rate;    /* tokens per ms that crossings have left */
	double *demand;	     /* of each domain, not yet planned */
	double rate_min;     /* of a flow */
	/* One for each domain and, as the last one, across domains. */
	GArray *candidates;	  /* of candidate_pipeline_t */
	pipeline_stage_t *search; /* stages of a search and their numbers */
	uint32_t *numbers;
} planner_t;

static candidate_pipeline_t *candidate_at(const planner_t *planner,
					  uint32_t domain)
{
	return &g_array_index(planner->candidates, candidate_pipeline_t,
			      domain);
}

/* Initializes a plan without flows. */
void traffic_plan_init(traffic_plan_t *plan)
{
	plan->flows = g_array_new(FALSE, FALSE, sizeof(traffic_flow_t));
	plan->capacity = 0;
}

/* Frees the plan's contents. */
void traffic_plan_finish(traffic_plan_t *plan)
{
	g_array_unref(plan->flows);
}

static uint32_t stage_layers(const traffic_stage_t *stage)
{
	return stage->end_layer - stage->first_layer;
}

/* Returns which part of its stage's layers a hop runs. */
static double hop_share(const traffic_input_t *input, const pipeline_hop_t *hop)
{
	return (double)(hop->end_layer - hop->first_layer) /
	       stage_layers(&input->stages[hop->stage]);
}

/* Adds the rates of the next fill level. */
static void raise_rates(planner_t *planner, double added_fill, bool is_first)
{
	const traffic_input_t *input = planner->input;

	for (uint32_t i = 0; i < input->stage_count; i++) {
		const traffic_stage_t *stage = &input->stages[i];
		double rate = pipeline_time_prefill_rate(input->engine,
							 stage->pass_ms);
		double excess =
			stage->backlog_tokens - rate * NORMAL_BACKLOG_MS;

		planner->rates[i] += rate * added_fill;
		if (is_first)
			planner->rates[i] -= MAX(excess, 0) / BACKLOG_DRAIN_MS;
	}
	for (uint32_t i = 0; i <= input->domain_count; i++)
		candidate_at(planner, i)->known = false;
}

static void init_planner(planner_t *planner, const traffic_input_t *input)
{
	const engine_model_t *engine = input->engine;
	double total = 0;

	planner->input = input;
	planner->rates = g_new0(double, input->stage_count + 1);
	planner->memory = g_new0(double, input->stage_count + 1);
	planner->first_rates = g_new0(double, input->stage_count + 1);
	planner->demand =
		g_memdup2(input->demand, input->domain_count * sizeof(double));
	planner->candidates =
		g_array_new(FALSE, TRUE, sizeof(candidate_pipeline_t));
	g_array_set_size(planner->candidates, input->domain_count + 1);
	planner->search = g_new0(pipeline_stage_t, input->stage_count + 1);
	planner->numbers = g_new0(uint32_t, input->stage_count + 1);
	for (uint32_t i = 0; i < input->stage_count; i++) {
		planner->memory[i] =
			input->stages[i].memory_tokens * MEMORY_FILL;
		planner->first_rates[i] = input->stages[i].first_rate;
	}
	planner->pipe_rate = 0;
	if (engine->activation_bytes > 0)
		planner->pipe_rate = engine->domain_link_mbps * 1000 /
				     (engine->activation_bytes * 8) *
				     PIPELINE_PIPE_UTILIZATION_MAX;
	for (uint32_t i = 0; i < input->domain_count; i++)
		total += input->demand[i];
	planner->rate_min = total * FLOW_SHARE_MIN;
}

static void finish_planner(planner_t *planner)
{
	g_free(planner->rates);
	g_free(planner->memory);
	g_free(planner->first_rates);
	g_free(planner->demand);
	g_array_unref(planner->candidates);
	g_free(planner->search);
	g_free(planner->numbers);
}

/* Fills planner->search with the stages of a domain, or of all; counts them. */
static uint32_t collect_stages(planner_t *planner, uint32_t domain)
{
	const traffic_input_t *input = planner->input;
	bool all = domain == input->domain_count;
	uint32_t count = 0;

	for (uint32_t i = 0; i < input->stage_count; i++) {
		const traffic_stage_t *stage = &input->stages[i];

		if (!stage->usable || (!all && stage->domain != domain) ||
		    planner->rates[i] <= planner->rate_min ||
		    planner->memory[i] <= 0)
			continue;
		planner->numbers[count] = i;
		planner->search[count++] = (pipeline_stage_t){
			.first_layer = stage->first_layer,
			.end_layer = stage->end_layer,
			.domain = MIN(stage->domain, PIPELINE_DOMAINS_MAX - 1),
			.layer_ms = stage->pass_ms / stage_layers(stage),
			.pace = 1,
			.token_capacity = stage->memory_tokens,
			.not_first =
				planner->first_rates[i] <= planner->rate_min,
		};
	}
	return count;
}

static void find_candidate(planner_t *planner, uint32_t domain)
{
	const traffic_input_t *input = planner->input;
	candidate_pipeline_t *candidate = candidate_at(planner, domain);
	bool all = domain == input->domain_count;
	const pipeline_query_t query = {
		.layers = input->engine->layers,
		.request_tokens = input->prompt_tokens,
		.entry_domain = all ? 0 : MIN(domain, PIPELINE_DOMAINS_MAX - 1),
		.hop_ms = HOP_MS,
		.cross_ms = PIPELINE_DOMAIN_CROSSING_MS,
		.stays_in_domain = !all,
	};
	uint32_t count = collect_stages(planner, domain);

	candidate->known = true;
	candidate->found = false;
	if (all && planner->pipe_rate <= planner->rate_min)
		return;
	candidate->found =
		pipeline_choose(planner->search, count, &query,
				&candidate->pipeline) == PIPELINE_FOUND;
	for (uint32_t i = 0; i < candidate->pipeline.count; i++) {
		pipeline_hop_t *hop = &candidate->pipeline.hops[i];

		hop->stage = planner->numbers[hop->stage];
	}
}

static uint32_t count_crossings(const traffic_input_t *input,
				const pipeline_t *pipeline)
{
	uint32_t crossings = 0;

	for (uint32_t i = 1; i < pipeline->count; i++)
		crossings += input->stages[pipeline->hops[i].stage].domain !=
			     input->stages[pipeline->hops[i - 1].stage].domain;
	return crossings;
}

static pipeline_time_t estimate(const traffic_input_t *input,
				const pipeline_t *pipeline)
{
	hop_time_t hops[PIPELINE_HOPS_MAX];

	for (uint32_t i = 0; i < pipeline->count; i++) {
		const pipeline_hop_t *hop = &pipeline->hops[i];
		const traffic_stage_t *stage = &input->stages[hop->stage];
		double rate = pipeline_time_prefill_rate(input->engine,
							 stage->pass_ms);

		hops[i] = (hop_time_t){
			.pass_ms = stage->pass_ms * hop_share(input, hop),
			.backlog_ms = MAX(stage->backlog_tokens / rate -
						  NORMAL_BACKLOG_MS,
					  0),
		};
	}
	return pipeline_time_estimate(input->engine, hops, pipeline->count,
				      input->prompt_tokens);
}

/* Returns the KV-cache tokens that a flow of one token per ms holds. */
static double held_tokens(const traffic_input_t *input, pipeline_time_t time)
{
	double events = input->answer_tokens / MAX(input->engine->stride, 1);
	double held_ms = time.first_event_ms + events * time.pause_ms;
	double tokens = input->prompt_tokens + input->answer_tokens / 2;

	return held_ms * tokens / MAX(input->prompt_tokens, 1);
}

/* Returns the rate that the stages of a pipeline have left for it. */
static double pipeline_rate(const planner_t *planner,
			    const pipeline_t *pipeline, double held)
{
	uint32_t crossings = count_crossings(planner->input, pipeline);
	double rate = planner->first_rates[pipeline->hops[0].stage];

	for (uint32_t i = 0; i < pipeline->count; i++) {
		const pipeline_hop_t *hop = &pipeline->hops[i];
		double share = hop_share(planner->input, hop);

		rate = MIN(rate, planner->rates[hop->stage] / share);
		rate = MIN(rate, planner->memory[hop->stage] / (share * held));
	}
	if (crossings > 0)
		rate = MIN(rate, planner->pipe_rate / crossings);
	return MAX(rate, 0);
}

static void use_pipeline(planner_t *planner, const pipeline_t *pipeline,
			 double rate, double held)
{
	const traffic_input_t *input = planner->input;
	uint32_t crossings = count_crossings(input, pipeline);

	for (uint32_t i = 0; i < pipeline->count; i++) {
		const pipeline_hop_t *hop = &pipeline->hops[i];
		double share = hop_share(input, hop);

		planner->rates[hop->stage] -= rate * share;
		planner->memory[hop->stage] -= rate * share * held;
		candidate_at(planner, input->stages[hop->stage].domain)->known =
			false;
	}
	planner->first_rates[pipeline->hops[0].stage] -= rate;
	candidate_at(planner, input->domain_count)->known = false;
	planner->pipe_rate -= rate * crossings;
}

/* Takes the rest from what limits a pipeline most, which is hardly any. */
static void exclude_limit(planner_t *planner, const pipeline_t *pipeline,
			  double held)
{
	const traffic_input_t *input = planner->input;
	uint32_t crossings = count_crossings(input, pipeline);
	uint32_t limiting = pipeline->hops[0].stage;
	double least = INFINITY;

	candidate_at(planner, input->domain_count)->known = false;
	if (crossings > 0 &&
	    planner->pipe_rate / crossings <= planner->rate_min) {
		planner->pipe_rate = 0;
		return;
	}
	for (uint32_t i = 0; i < pipeline->count; i++) {
		const pipeline_hop_t *hop = &pipeline->hops[i];
		double share = hop_share(input, hop);
		double rate = MIN(planner->rates[hop->stage] / share,
				  planner->memory[hop->stage] / (share * held));

		if (rate < least) {
			least = rate;
			limiting = hop->stage;
		}
	}
	if (planner->rates[limiting] <= planner->rate_min)
		planner->rates[limiting] = 0;
	else
		planner->memory[limiting] = 0;
	candidate_at(planner, input->stages[limiting].domain)->known = false;
}

static double candidate_cost(planner_t *planner, uint32_t callers,
			     uint32_t domain)
{
	candidate_pipeline_t *candidate = candidate_at(planner, domain);

	if (!candidate->known)
		find_candidate(planner, domain);
	if (!candidate->found)
		return INFINITY;
	return candidate->pipeline.cost_ms +
	       (callers == domain ? 0 : PIPELINE_ENTRY_CROSSING_MS);
}

/*
 * Finds the domain with demand left, and the pipeline, that are cheapest
 * together; returns false if there is none.
 */
static bool choose_next(planner_t *planner, uint32_t *callers, uint32_t *domain)
{
	const traffic_input_t *input = planner->input;
	double best = INFINITY;

	for (uint32_t i = 0; i < input->domain_count; i++) {
		if (planner->demand[i] <= planner->rate_min)
			continue;
		for (uint32_t j = 0; j <= input->domain_count; j++) {
			double cost = candidate_cost(planner, i, j);

			if (cost < best) {
				best = cost;
				*callers = i;
				*domain = j;
			}
		}
	}
	return !isinf(best);
}

static bool is_same_pipeline(const pipeline_t *a, const pipeline_t *b)
{
	if (a->count != b->count)
		return false;
	for (uint32_t i = 0; i < a->count; i++)
		if (a->hops[i].stage != b->hops[i].stage ||
		    a->hops[i].first_layer != b->hops[i].first_layer ||
		    a->hops[i].end_layer != b->hops[i].end_layer)
			return false;
	return true;
}

static void add_flow(traffic_plan_t *plan, const traffic_flow_t *flow)
{
	for (guint i = 0; i < plan->flows->len; i++) {
		traffic_flow_t *other =
			&g_array_index(plan->flows, traffic_flow_t, i);

		if (other->domain == flow->domain &&
		    is_same_pipeline(&other->pipeline, &flow->pipeline)) {
			other->rate += flow->rate;
			return;
		}
	}
	g_array_append_val(plan->flows, *flow);
}

/* Plans flows until the demand or the capacity is used up. */
static void fill_pipelines(planner_t *planner, traffic_plan_t *plan)
{
	uint32_t callers = 0;
	uint32_t domain = 0;

	while (plan->flows->len < TRAFFIC_PLAN_FLOWS_MAX &&
	       choose_next(planner, &callers, &domain)) {
		traffic_flow_t flow = {
			.domain = callers,
			.pipeline = candidate_at(planner, domain)->pipeline,
		};
		double held;
		double rate;

		flow.time = estimate(planner->input, &flow.pipeline);
		held = held_tokens(planner->input, flow.time);
		rate = pipeline_rate(planner, &flow.pipeline, held);
		if (rate <= planner->rate_min) {
			exclude_limit(planner, &flow.pipeline, held);
			continue;
		}
		flow.rate = MIN(rate, planner->demand[callers]);
		use_pipeline(planner, &flow.pipeline, flow.rate, held);
		planner->demand[callers] -= flow.rate;
		plan->capacity += flow.rate;
		add_flow(plan, &flow);
	}
}

/* Counts what the pipelines could read beyond the demand. */
static void count_spare(planner_t *planner, traffic_plan_t *plan)
{
	for (int i = 0; i < TRAFFIC_PLAN_FLOWS_MAX; i++) {
		const pipeline_t *pipeline;
		uint32_t domain = 0;
		double held;
		double rate;

		while (domain <= planner->input->domain_count &&
		       isinf(candidate_cost(planner, domain, domain)))
			domain++;
		if (domain > planner->input->domain_count)
			return;
		pipeline = &candidate_at(planner, domain)->pipeline;
		held = held_tokens(planner->input,
				   estimate(planner->input, pipeline));
		rate = pipeline_rate(planner, pipeline, held);
		if (rate <= planner->rate_min) {
			exclude_limit(planner, pipeline, held);
			continue;
		}
		plan->capacity += rate;
		use_pipeline(planner, pipeline, rate, held);
	}
}

/*
 * Replaces the flows of "plan" by those for "input".  Without demand there are
 * none, and the capacity is 0.
 */
void traffic_plan_make(traffic_plan_t *plan, const traffic_input_t *input)
{
	planner_t planner;
	double filled = 0;

	g_array_set_size(plan->flows, 0);
	plan->capacity = 0;
	init_planner(&planner, input);
	for (size_t i = 0;
	     planner.rate_min > 0 && i < G_N_ELEMENTS(fill_levels); i++) {
		raise_rates(&planner, fill_levels[i] - filled, i == 0);
		filled = fill_levels[i];
		fill_pipelines(&planner, plan);
	}
	if (planner.rate_min > 0)
		count_spare(&planner, plan);
	finish_planner(&planner);
}
