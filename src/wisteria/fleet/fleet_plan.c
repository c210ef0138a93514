/*
 * The leader's plan of which pipelines serve whose requests: collects what the
 * planning needs from the registry and the reports, and sends each entry the
 * flows of its failure domain.  The plan is soft state; a new leader makes its
 * own from the next reports.
 */
#include "wisteria/fleet/fleet_plan.h"

#include <math.h>
#include <string.h>

#include "wisteria/base/log.h"
#include "wisteria/fleet/admission_shares.h"
#include "wisteria/fleet/demand_sum.h"
#include "wisteria/fleet/fleet_group.h"
#include "wisteria/fleet/load_sum.h"
#include "wisteria/fleet/prober.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/request_limits.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/traffic_plan.h"
#include "wisteria/net/conn.h"

/* Assumed if the configuration states no mean lengths. */
#define PROMPT_TOKENS_DEFAULT 800
#define ANSWER_TOKENS_DEFAULT 200
/* Least part of a domain's flows for an entry that has hardly any callers. */
#define PART_MIN 0.001

/* The endpoints and domains of one service, as the planning numbers them. */
typedef struct {
	const service_t *service;
	GArray *stages;	      /* of traffic_stage_t */
	GPtrArray *endpoints; /* of const endpoint_t */
	GPtrArray *domains;   /* names */
	GArray *demand;	      /* of double, by domain */
	/* Of all entries, by rank: prompt tokens per ms, and what waits. */
	double rank_demand[REQUEST_RANKS];
	double rank_waiting[REQUEST_RANKS];
	admission_shares_t shares;
	traffic_plan_t plan;
} planned_service_t;

static void init_planned(planned_service_t *planned, const service_t *service)
{
	planned->service = service;
	memset(planned->rank_demand, 0, sizeof(planned->rank_demand));
	memset(planned->rank_waiting, 0, sizeof(planned->rank_waiting));
	planned->stages = g_array_new(FALSE, FALSE, sizeof(traffic_stage_t));
	planned->endpoints = g_ptr_array_new();
	planned->domains = g_ptr_array_new();
	planned->demand = g_array_new(FALSE, TRUE, sizeof(double));
	traffic_plan_init(&planned->plan);
}

static void finish_planned(planned_service_t *planned)
{
	g_array_unref(planned->stages);
	g_ptr_array_unref(planned->endpoints);
	g_ptr_array_unref(planned->domains);
	g_array_unref(planned->demand);
	traffic_plan_finish(&planned->plan);
}

static double prompt_tokens(const engine_model_t *engine)
{
	return engine->mean_prompt_tokens > 0 ? engine->mean_prompt_tokens
					      : PROMPT_TOKENS_DEFAULT;
}

static double answer_tokens(const engine_model_t *engine)
{
	return engine->mean_answer_tokens > 0 ? engine->mean_answer_tokens
					      : ANSWER_TOKENS_DEFAULT;
}

static void add_endpoint(const fleet_control_t *control, GHashTable *uses,
			 const endpoint_t *endpoint, planned_service_t *planned)
{
	const engine_model_t *engine = &planned->service->engine;
	const accelerator_t *accelerator =
		engine_find_accelerator(engine, endpoint->accelerator);
	const load_use_t *use = g_hash_table_lookup(uses, endpoint->id);
	const load_use_t none = { 0 };
	engine_load_t load;
	double unread_requests;
	traffic_stage_t stage = {
		.first_layer = endpoint->first_layer,
		.end_layer = endpoint->end_layer,
		.usable = registry_is_usable(&control->registry, endpoint),
		.first_rate = INFINITY,
	};
	uint32_t layers = stage.end_layer - stage.first_layer;
	double limit_per_s =
		request_limits_rate(&control->limits.known, endpoint);

	if (accelerator == NULL || stage.first_layer >= stage.end_layer ||
	    !engine_has_layers(engine, stage.first_layer, stage.end_layer))
		return;
	if (use == NULL)
		use = &none;
	/* Requests without a first event do not decode yet. */
	unread_requests = use->unread_tokens / prompt_tokens(engine);
	load = (engine_load_t){
		.sequences = MAX(use->sequences - unread_requests, 0),
		.context_tokens = MAX(use->tokens - use->unread_tokens, 0),
		.slowdown = prober_pace(&control->prober, endpoint->id),
	};
	stage.domain = registry_domain_index(planned->domains,
					     endpoint->failure_domain);
	stage.pass_ms =
		pipeline_time_pass_ms(engine, accelerator, layers, &load);
	stage.backlog_tokens = use->unread_tokens;
	stage.memory_tokens =
		engine_token_capacity(engine, accelerator, layers);
	if (limit_per_s >= 0)
		stage.first_rate = limit_per_s * prompt_tokens(engine) / 1000;
	g_array_append_val(planned->stages, stage);
	g_ptr_array_add(planned->endpoints, (gpointer)endpoint);
}

static void add_demand(planned_service_t *planned, const entry_demand_t *entry)
{
	const service_demand_t *demand =
		demand_sum_find_service(entry, planned->service->name);
	uint32_t domain =
		registry_domain_index(planned->domains, entry->failure_domain);

	if (planned->demand->len <= domain)
		g_array_set_size(planned->demand, domain + 1);
	if (demand != NULL)
		g_array_index(planned->demand, double, domain) +=
			demand_total_rate(demand);
	for (int rank = 0; demand != NULL && rank < REQUEST_RANKS; rank++) {
		planned->rank_demand[rank] += demand->tokens_per_ms[rank];
		planned->rank_waiting[rank] += demand->waiting_tokens[rank];
	}
}

static void plan_service(const fleet_control_t *control, GHashTable *uses,
			 planned_service_t *planned)
{
	const engine_model_t *engine = &planned->service->engine;
	traffic_input_t input = {
		.engine = engine,
		.prompt_tokens = prompt_tokens(engine),
		.answer_tokens = answer_tokens(engine),
	};
	GHashTableIter iter;
	gpointer value;
	double demand = 0;
	double waiting = 0;

	g_hash_table_iter_init(&iter, control->registry.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (strcmp(((const endpoint_t *)value)->service,
			   planned->service->name) == 0)
			add_endpoint(control, uses, value, planned);
	g_hash_table_iter_init(&iter, control->demand.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_demand(planned, value);
	g_array_set_size(planned->demand, planned->domains->len);
	input.stages = (const traffic_stage_t *)(void *)planned->stages->data;
	input.stage_count = planned->stages->len;
	input.demand = (const double *)(void *)planned->demand->data;
	input.domain_count = planned->domains->len;
	traffic_plan_make(&planned->plan, &input);
	admission_shares_compute(planned->rank_demand, planned->rank_waiting,
				 planned->plan.capacity, &planned->shares);
	for (int rank = 0; rank < REQUEST_RANKS; rank++)
		waiting += planned->rank_waiting[rank];
	for (guint i = 0; i < planned->demand->len; i++)
		demand += g_array_index(planned->demand, double, i);
	LOG_INFO("plan_made",
		 "service=%s sequence=%" G_GUINT64_FORMAT
		 " flows=%u demand_per_s=%.0f capacity_per_s=%.0f"
		 " waiting=%.0f level=%d",
		 planned->service->name, control->plan_sequence + 1,
		 planned->plan.flows->len, demand * 1000,
		 planned->plan.capacity * 1000, waiting, planned->shares.level);
}

/* Fills "described", with memory that the caller frees with its hops. */
static void describe_flow(const planned_service_t *planned,
			  const traffic_flow_t *flow,
			  msg_fleet_flow_t *described)
{
	const pipeline_t *pipeline = &flow->pipeline;
	msg_fleet_hop_t *hops = g_new(msg_fleet_hop_t, pipeline->count);

	for (uint32_t i = 0; i < pipeline->count; i++) {
		const pipeline_hop_t *hop = &pipeline->hops[i];
		const endpoint_t *endpoint =
			g_ptr_array_index(planned->endpoints, hop->stage);

		hops[i] = (msg_fleet_hop_t){
			.endpoint = endpoint->id,
			.incarnation = endpoint->incarnation,
			.first_layer = hop->first_layer,
			.end_layer = hop->end_layer,
		};
	}
	*described = (msg_fleet_flow_t){
		.tokens_per_s = flow->rate * 1000,
		.first_event_ms = flow->time.first_event_ms,
		.pause_ms = flow->time.pause_ms,
		.hops = hops,
		.hop_count = pipeline->count,
	};
}

/* Fills "described" with the flows of domain "domain". */
static void describe_service(const planned_service_t *planned,
			     const char *domain,
			     msg_fleet_service_plan_t *described)
{
	uint32_t index = registry_domain_index(planned->domains, domain);
	const GArray *flows = planned->plan.flows;
	msg_fleet_flow_t *list = g_new(msg_fleet_flow_t, flows->len + 1);
	msg_fleet_rank_t *ranks = g_new(msg_fleet_rank_t, REQUEST_RANKS);

	*described = (msg_fleet_service_plan_t){
		.service = planned->service->name,
		.capacity_per_s = planned->plan.capacity * 1000,
		.level = planned->shares.level,
		.flows = list,
		.ranks = ranks,
		.rank_count = planned->shares.level == REQUEST_RANKS - 1
				      ? 0
				      : REQUEST_RANKS,
	};
	for (int rank = 0; rank < REQUEST_RANKS; rank++)
		ranks[rank] = (msg_fleet_rank_t){
			.promoted = planned->shares.promoted[rank],
			.left = planned->shares.left[rank],
		};
	for (guint i = 0; i < flows->len; i++) {
		const traffic_flow_t *flow =
			&g_array_index(flows, traffic_flow_t, i);

		if (flow->domain == index)
			describe_flow(planned, flow,
				      &list[described->flow_count++]);
	}
}

static void free_service_plan(const msg_fleet_service_plan_t *described)
{
	for (size_t i = 0; i < described->flow_count; i++)
		g_free((gpointer)described->flows[i].hops);
	g_free((gpointer)described->flows);
	g_free((gpointer)described->ranks);
}

/* Returns the part of all demand for a service that is an entry's "demand". */
static double entry_part(const planned_service_t *planned,
			 const service_demand_t *demand)
{
	double total = 0;

	for (guint i = 0; i < planned->demand->len; i++)
		total += g_array_index(planned->demand, double, i);
	return demand == NULL || total <= 0
		       ? PART_MIN
		       : MAX(demand_total_rate(demand) / total, PART_MIN);
}

/*
 * Scales the flows of a domain to the part of them that is for "entry": its part
 * of the domain's demand, or an equal part of an entry without demand.
 */
static void scale_to_entry(const planned_service_t *planned,
			   const entry_demand_t *entry,
			   msg_fleet_service_plan_t *described)
{
	const service_demand_t *demand =
		demand_sum_find_service(entry, planned->service->name);
	uint32_t index =
		registry_domain_index(planned->domains, entry->failure_domain);
	double total = index < planned->demand->len
			       ? g_array_index(planned->demand, double, index)
			       : 0;
	double part = 0;

	if (demand != NULL && total > 0)
		part = demand_total_rate(demand) / total;
	described->share_per_s =
		planned->plan.capacity * 1000 * entry_part(planned, demand);
	for (size_t i = 0; i < described->flow_count; i++) {
		msg_fleet_flow_t *flow =
			(msg_fleet_flow_t *)&described->flows[i];

		flow->tokens_per_s *= MAX(part, PART_MIN);
	}
}

static void send_to_entry(fleet_control_t *control, const GArray *planned,
			  conn_t *conn, const entry_demand_t *entry)
{
	msg_fleet_service_plan_t *services =
		g_new0(msg_fleet_service_plan_t, planned->len + 1);
	const msg_fleet_plan_t message = {
		.term = control->replica.raft.term,
		.sequence = control->plan_sequence,
		.report_sent_ms = entry->sent_ms,
		.services = services,
		.service_count = planned->len,
	};

	for (guint i = 0; i < planned->len; i++)
		describe_service(&g_array_index(planned, planned_service_t, i),
				 entry->failure_domain, &services[i]);
	for (guint i = 0; i < planned->len; i++)
		scale_to_entry(&g_array_index(planned, planned_service_t, i),
			       entry, &services[i]);
	conn_send(conn, MSG_FLEET_PLAN, &message);
	for (guint i = 0; i < planned->len; i++)
		free_service_plan(&services[i]);
	g_free(services);
}

static void send_to_entries(fleet_control_t *control, const GArray *planned)
{
	for (guint i = 0; i < control->subscribers->len; i++) {
		conn_t *conn = g_ptr_array_index(control->subscribers, i);
		const entry_demand_t *entry = g_hash_table_lookup(
			control->demand.entries, conn->peer_instance);

		if (conn->user != NULL && entry != NULL)
			send_to_entry(control, planned, conn, entry);
	}
}

/*
 * Plans all services whose engines are described well enough and sends the plan
 * to the entries; does nothing at an instance that does not lead.
 */
void fleet_plan_send(fleet_control_t *control, clock_ms_t now)
{
	GHashTable *uses = load_sum_total(&control->load, now);
	GArray *planned = g_array_new(FALSE, FALSE, sizeof(planned_service_t));

	demand_sum_expire(&control->demand, now);
	for (guint i = 0;
	     control->table != NULL && fleet_group_leads(control) &&
	     i < control->table->services->len;
	     i++) {
		const service_t *service =
			g_ptr_array_index(control->table->services, i);
		planned_service_t added;

		if (!service->has_ranks ||
		    !pipeline_time_is_known(&service->engine))
			continue;
		init_planned(&added, service);
		plan_service(control, uses, &added);
		g_array_append_val(planned, added);
	}
	if (planned->len > 0) {
		control->plan_sequence++;
		send_to_entries(control, planned);
	}
	for (guint i = 0; i < planned->len; i++)
		finish_planned(&g_array_index(planned, planned_service_t, i));
	g_array_unref(planned);
	g_hash_table_destroy(uses);
}
