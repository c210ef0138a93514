/*
 * Carries out the placement of layers while this instance is the leader.  It
 * stores no plan: its only state is what endpoints report and the orders in
 * progress, so that a new leader can continue where the previous one stopped.
 */
#include "wisteria/fleet/placer.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/placement.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"

/* The usable endpoints of one service as input of the planning. */
typedef struct {
	GArray *nodes; /* of placement_node_t, as if orders were complete */
	GArray *held;  /* the same nodes with the layers held now */
	GPtrArray *endpoints; /* of const endpoint_t */
	GPtrArray *domains;   /* names of their domains, by index */
} placement_input_t;

static void free_order(gpointer data)
{
	placer_order_t *order = data;

	if (order->call != NULL)
		http_call_cancel(order->call);
	g_free(order);
}

/* Initializes a placer that is not active. */
void placer_init(placer_t *placer, uv_loop_t *loop,
		 const fleet_dialect_t *dialect, const registry_t *registry,
		 const prober_t *prober, const clock_source_t *clock)
{
	memset(placer, 0, sizeof(*placer));
	placer->loop = loop;
	placer->dialect = dialect;
	placer->registry = registry;
	placer->prober = prober;
	placer->clock = clock;
	placer->orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_order);
}

/* Frees a placer and cancels its calls in progress. */
void placer_finish(placer_t *placer)
{
	g_hash_table_destroy(placer->orders);
}

/* Drops all orders; for an instance that is not the active leader. */
void placer_reset(placer_t *placer)
{
	placer->started_ms = 0;
	placer->incomplete_since_ms = 0;
	g_hash_table_remove_all(placer->orders);
}

static placer_order_t *order_of(http_call_handler_t *handler)
{
	return CONTAINER_OF(handler, placer_order_t, handler);
}

static void on_complete(http_call_handler_t *handler,
			const http_message_t *answer)
{
	placer_order_t *order = order_of(handler);
	bool accepted = answer->status == 200 || answer->status == 202;

	order->call = NULL;
	LOG_INFO("order_answered", "endpoint=%s status=%u layers=%u-%u",
		 order->id, answer->status, order->range.first_layer,
		 order->range.end_layer);
	if (!accepted)
		order->sent_ms = 0; /* refused: send again at the next tick */
}

/* The endpoint may have accepted the order; it is sent again later. */
static void on_failed(http_call_handler_t *handler, http_call_stage_t stage,
		      const char *reason)
{
	placer_order_t *order = order_of(handler);

	order->call = NULL;
	LOG_WARN("order_unanswered", "endpoint=%s stage=%d reason=%s",
		 order->id, (int)stage, reason);
	if (stage == HTTP_CALL_UNSENT)
		order->sent_ms = 0;
}

/* Sends the next step of an order; cancels the call of the previous step. */
static void send_order(placer_t *placer, const endpoint_t *endpoint,
		       const placement_node_t *node,
		       const engine_model_t *engine, placer_order_t *order,
		       uint64_t fencing_token)
{
	const http_call_limits_t limits = {
		.connect_ms = PLACER_CONNECT_TIMEOUT_MS,
		.body_bytes = PLACER_ANSWER_BYTES_MAX,
	};
	GString *request = g_string_new(NULL);
	place_order_t message = {
		.address = endpoint->address,
		.fencing_token = fencing_token,
	};

	order->range = placement_next_range(engine, node, &order->wanted);
	message.first_layer = order->range.first_layer;
	message.end_layer = order->range.end_layer;
	placer->dialect->write_place_order(&message, request);
	if (order->call != NULL)
		http_call_cancel(order->call);
	order->sent_ms = clock_now(placer->clock);
	order->call = http_call_new(placer->loop, endpoint->address, request,
				    &limits, &order->handler);
	g_string_free(request, TRUE);
	counter_add(COUNTER_PLACE_ORDERS, 1);
	LOG_INFO("order_given",
		 "endpoint=%s held=%u-%u layers=%u-%u wanted=%u-%u "
		 "fence=%" G_GUINT64_FORMAT,
		 endpoint->id, endpoint->first_layer, endpoint->end_layer,
		 order->range.first_layer, order->range.end_layer,
		 order->wanted.first_layer, order->wanted.end_layer,
		 fencing_token);
}

static void create_order(placer_t *placer, const endpoint_t *endpoint,
			 const placement_node_t *node,
			 const engine_model_t *engine,
			 const placement_range_t *wanted,
			 uint64_t fencing_token)
{
	placer_order_t *order = g_new0(placer_order_t, 1);

	order->handler.complete = on_complete;
	order->handler.failed = on_failed;
	order->placer = placer;

	order->wanted = *wanted;
	order->incarnation = endpoint->incarnation;
	order->started_ms = clock_now(placer->clock);
	g_strlcpy(order->id, endpoint->id, sizeof(order->id));
	g_hash_table_replace(placer->orders, order->id, order);
	send_order(placer, endpoint, node, engine, order, fencing_token);
}

static bool holds_range(const endpoint_t *endpoint,
			const placement_range_t *range)
{
	return endpoint->first_layer == range->first_layer &&
	       endpoint->end_layer == range->end_layer;
}

/* Whether an order is carried out or timed out, or its endpoint has ended. */
static gboolean is_finished(gpointer key, gpointer value, gpointer data)
{
	const placer_order_t *order = value;
	const placer_t *placer = data;
	const endpoint_t *endpoint = registry_find(placer->registry, key);

	return endpoint == NULL || endpoint->gone ||
	       endpoint->incarnation != order->incarnation ||
	       holds_range(endpoint, &order->wanted) ||
	       clock_now(placer->clock) - order->started_ms >=
		       PLACER_ORDER_TIMEOUT_MS;
}

static void add_node(const placer_t *placer, const service_t *service,
		     const endpoint_t *endpoint, placement_input_t *input)
{
	const accelerator_t *accelerator = engine_find_accelerator(
		&service->engine, endpoint->accelerator);
	const placer_order_t *order =
		g_hash_table_lookup(placer->orders, endpoint->id);
	placement_node_t node = {
		.domain = registry_domain_index(input->domains,
						endpoint->failure_domain),
		.first_layer = endpoint->first_layer,
		.end_layer = endpoint->end_layer,
		.slow = prober_pace(placer->prober, endpoint->id) >=
			PLACER_SLOW_PACE,
	};

	node.available = !node.slow;
	if (accelerator == NULL ||
	    !engine_has_layers(&service->engine, endpoint->first_layer,
			       endpoint->end_layer))
		return;
	node.size_mb = accelerator->size_mb;
	node.pace = accelerator->pace;
	g_array_append_val(input->held, node);
	if (order != NULL) {
		node.first_layer = order->wanted.first_layer;
		node.end_layer = order->wanted.end_layer;
	}
	g_array_append_val(input->nodes, node);
	g_ptr_array_add(input->endpoints, (gpointer)endpoint);
}

static int compare_ids(gconstpointer a, gconstpointer b)
{
	const endpoint_t *left = *(const endpoint_t *const *)a;
	const endpoint_t *right = *(const endpoint_t *const *)b;

	return strcmp(left->id, right->id);
}

static void collect_nodes(const placer_t *placer, const service_t *service,
			  placement_input_t *input)
{
	GPtrArray *sorted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, placer->registry->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const endpoint_t *endpoint = value;

		if (strcmp(endpoint->service, service->name) == 0 &&
		    registry_is_usable(placer->registry, endpoint))
			g_ptr_array_add(sorted, value);
	}
	g_ptr_array_sort(sorted, compare_ids);
	for (guint i = 0; i < sorted->len; i++)
		add_node(placer, service, g_ptr_array_index(sorted, i), input);
	g_ptr_array_unref(sorted);
}

static bool no_layers_placed(const placement_input_t *input)
{
	for (guint i = 0; i < input->nodes->len; i++) {
		const placement_node_t *node =
			&g_array_index(input->nodes, placement_node_t, i);

		if (node->first_layer < node->end_layer)
			return false;
	}
	return true;
}

/* Sends the next step of each order whose last step is reached or timed out. */
static void continue_orders(placer_t *placer, const placement_input_t *input,
			    const engine_model_t *engine,
			    uint64_t fencing_token)
{
	clock_ms_t now = clock_now(placer->clock);

	for (guint i = 0; i < input->held->len; i++) {
		const placement_node_t *node =
			&g_array_index(input->held, placement_node_t, i);
		const endpoint_t *endpoint =
			g_ptr_array_index(input->endpoints, i);
		placer_order_t *order =
			g_hash_table_lookup(placer->orders, endpoint->id);

		if (order != NULL &&
		    (now - order->sent_ms >= PLACER_RESEND_MS ||
		     holds_range(endpoint, &order->range)))
			send_order(placer, endpoint, node, engine, order,
				   fencing_token);
	}
}

/* Creates orders for all ranges that the plan changes; returns their number. */
static unsigned create_orders(placer_t *placer, const placement_input_t *input,
			      const engine_model_t *engine,
			      const placement_range_t *ranges,
			      uint64_t fencing_token)
{
	unsigned created = 0;

	for (guint i = 0; i < input->nodes->len; i++) {
		const placement_node_t *node =
			&g_array_index(input->nodes, placement_node_t, i);
		const endpoint_t *endpoint =
			g_ptr_array_index(input->endpoints, i);

		if (ranges[i].first_layer == ranges[i].end_layer ||
		    (ranges[i].first_layer == node->first_layer &&
		     ranges[i].end_layer == node->end_layer))
			continue;
		create_order(placer, endpoint,
			     &g_array_index(input->held, placement_node_t, i),
			     engine, &ranges[i], fencing_token);
		created++;
	}
	return created;
}

static void place_service(placer_t *placer, const service_t *service,
			  const placement_input_t *input,
			  uint64_t fencing_token)
{
	const engine_model_t *engine = &service->engine;
	const placement_node_t *nodes =
		(const placement_node_t *)(void *)input->nodes->data;
	uint32_t count = input->nodes->len;
	placement_range_t *ranges;
	clock_ms_t now = clock_now(placer->clock);
	bool all_complete = true;

	if (count == 0) { /* the list of nodes is a null pointer */
		placer->incomplete_since_ms = 0;
		return;
	}
	ranges = g_new0(placement_range_t, count);
	if (no_layers_placed(input))
		placement_plan(engine, nodes, count, ranges);
	else
		all_complete =
			placement_fill_gaps(engine, nodes, count, ranges);
	if (all_complete) {
		placer->incomplete_since_ms = 0;
	} else if (placer->incomplete_since_ms == 0) {
		placer->incomplete_since_ms = now;
		LOG_WARN("layers_lacking", "service=%s endpoints=%u",
			 service->name, count);
	} else if (now - placer->incomplete_since_ms >=
		   PLACER_REPLAN_SERVED_MS) {
		placement_repair(engine, nodes, count, true, ranges);
		placer->incomplete_since_ms = now;
		placer->repaired_ms = now;
	} else if (now - MAX(placer->incomplete_since_ms,
			     placer->repaired_ms) >=
			   PLACER_REPLAN_MS &&
		   !placement_complete_if_slow_recover(engine, nodes, count)) {
		placement_repair(engine, nodes, count, false, ranges);
		placer->repaired_ms = now;
	}
	if (create_orders(placer, input, engine, ranges, fencing_token) > 0)
		LOG_INFO("placement_changed",
			 "service=%s endpoints=%u whole=%d", service->name,
			 count, all_complete);
	g_free(ranges);
}

/*
 * Sends the orders that are due; the fencing token is the term of this leader.
 * Must be called periodically while this instance is the leader.
 */
void placer_tick(placer_t *placer, const route_table_t *table,
		 uint64_t fencing_token)
{
	clock_ms_t now = clock_now(placer->clock);

	if (placer->started_ms == 0)
		placer->started_ms = now;
	if (now - placer->started_ms < PLACER_SETTLE_MS)
		return;
	g_hash_table_foreach_remove(placer->orders, is_finished, placer);
	for (guint i = 0; i < table->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(table->services, i);
		placement_input_t input;

		if (!service->has_engine)
			continue;
		input.nodes =
			g_array_new(FALSE, FALSE, sizeof(placement_node_t));
		input.held =
			g_array_new(FALSE, FALSE, sizeof(placement_node_t));
		input.endpoints = g_ptr_array_new();
		input.domains = g_ptr_array_new();
		collect_nodes(placer, service, &input);
		continue_orders(placer, &input, &service->engine,
				fencing_token);
		place_service(placer, service, &input, fencing_token);
		g_array_unref(input.nodes);
		g_array_unref(input.held);
		g_ptr_array_unref(input.endpoints);
		g_ptr_array_unref(input.domains);
	}
}
