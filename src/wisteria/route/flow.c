/*
 * The throughput bound: the maximum flow of tokens from layer 0 to the last
 * layer, through the capacities of endpoints and links, found by Dinic's
 * algorithm (Dinic 1970, "Algorithm for solution of a problem of maximum
 * flow in a network with power estimation").  The router doesn't use it: the
 * route benchmark measures the router's throughput against it.
 */
#include "wisteria/route/flow.h"

/* Capacities up to this are treated as zero. */
#define FLOW_EPSILON 1e-9
/* Capacity of a link without a limit. */
#define FLOW_UNLIMITED 1e18

static flow_edge_t *edge_at(const flow_t *flow, int edge)
{
	return &g_array_index(flow->edges, flow_edge_t, edge);
}

static int *int_at(GArray *array, uint32_t index)
{
	return &g_array_index(array, int, index);
}

/* Makes an empty network. */
void flow_init(flow_t *flow)
{
	flow->edges = g_array_new(FALSE, FALSE, sizeof(flow_edge_t));
	flow->first = g_array_new(FALSE, FALSE, sizeof(int));
	flow->level = g_array_new(FALSE, TRUE, sizeof(int));
	flow->current = g_array_new(FALSE, TRUE, sizeof(int));
}

/* Frees the memory of the network. */
void flow_finish(flow_t *flow)
{
	g_array_free(flow->edges, TRUE);
	g_array_free(flow->first, TRUE);
	g_array_free(flow->level, TRUE);
	g_array_free(flow->current, TRUE);
}

/* Adds a node and returns its index. */
uint32_t flow_add_node(flow_t *flow)
{
	const int none = -1;

	g_array_append_val(flow->first, none);
	return flow->first->len - 1;
}

static void add_half_edge(flow_t *flow, uint32_t from, uint32_t to,
			  double capacity)
{
	const flow_edge_t edge = {
		.to = to,
		.next = *int_at(flow->first, from),
		.residual = capacity,
	};

	*int_at(flow->first, from) = (int)flow->edges->len;
	g_array_append_val(flow->edges, edge);
}

/*
 * Adds an edge that carries at most "capacity", and its opposite, at its
 * index ^ 1, with capacity 0.
 */
void flow_add_edge(flow_t *flow, uint32_t from, uint32_t to, double capacity)
{
	add_half_edge(flow, from, to, capacity);
	add_half_edge(flow, to, from, 0);
}

/*
 * Sets each node's level, its distance from the source over edges with
 * residual capacity.  Returns whether the sink is reachable.
 */
static bool assign_levels(flow_t *flow, uint32_t source, uint32_t sink)
{
	GQueue queue = G_QUEUE_INIT;

	for (uint32_t node = 0; node < flow->first->len; node++)
		*int_at(flow->level, node) = -1;
	*int_at(flow->level, source) = 0;
	g_queue_push_tail(&queue, GUINT_TO_POINTER(source));
	while (!g_queue_is_empty(&queue)) {
		const uint32_t node =
			GPOINTER_TO_UINT(g_queue_pop_head(&queue));

		for (int i = *int_at(flow->first, node); i >= 0;
		     i = edge_at(flow, i)->next) {
			const flow_edge_t *edge = edge_at(flow, i);

			if (edge->residual <= FLOW_EPSILON ||
			    *int_at(flow->level, edge->to) >= 0)
				continue;
			*int_at(flow->level, edge->to) =
				*int_at(flow->level, node) + 1;
			g_queue_push_tail(&queue, GUINT_TO_POINTER(edge->to));
		}
	}
	return *int_at(flow->level, sink) >= 0;
}

/*
 * Pushes up to "limit" from "node" to the sink along shortest paths and
 * returns the amount.  The recursion is as deep as the paths are long.
 */
static double push_flow(flow_t *flow, uint32_t node, uint32_t sink,
			double limit)
{
	double sent = 0;

	if (node == sink)
		return limit;
	for (int *current = int_at(flow->current, node); *current >= 0;
	     *current = edge_at(flow, *current)->next) {
		flow_edge_t *edge = edge_at(flow, *current);
		double pushed;

		if (edge->residual <= FLOW_EPSILON ||
		    *int_at(flow->level, edge->to) !=
			    *int_at(flow->level, node) + 1)
			continue;
		pushed = push_flow(flow, edge->to, sink,
				   MIN(limit - sent, edge->residual));
		edge->residual -= pushed;
		edge_at(flow, *current ^ 1)->residual += pushed;
		sent += pushed;
		if (limit - sent <= FLOW_EPSILON)
			break;
	}
	return sent;
}

/*
 * Returns the maximum flow from source to sink.  Leaves the residual
 * capacities changed, so that a network can be used only once.
 */
double flow_max(flow_t *flow, uint32_t source, uint32_t sink)
{
	double total = 0;

	g_array_set_size(flow->level, flow->first->len);
	g_array_set_size(flow->current, flow->first->len);
	while (assign_levels(flow, source, sink)) {
		for (uint32_t node = 0; node < flow->first->len; node++)
			*int_at(flow->current, node) =
				*int_at(flow->first, node);
		total += push_flow(flow, source, sink, FLOW_UNLIMITED);
	}
	return total;
}

static double link_capacity(const flow_layout_t *layout, uint32_t from,
			    uint32_t to)
{
	for (size_t i = 0; i < layout->link_count; i++)
		if (layout->links[i].from_domain == from &&
		    layout->links[i].to_domain == to)
			return layout->links[i].steps_per_s;
	return FLOW_UNLIMITED;
}

/*
 * Adds, for each layer boundary, one sending and one receiving node for each
 * failure domain, and the links between them.  Returns the first node.  A
 * boundary's sending nodes are followed by its receiving nodes.
 */
static uint32_t add_boundary_nodes(flow_t *flow, const flow_layout_t *layout)
{
	const uint32_t domains = layout->domain_count;
	const uint32_t first = flow->first->len;

	for (uint32_t i = 0; i < (layout->layers + 1) * 2 * domains; i++)
		flow_add_node(flow);
	for (uint32_t layer = 0; layer <= layout->layers; layer++) {
		const uint32_t senders = first + layer * 2 * domains;

		for (uint32_t from = 0; from < domains; from++)
			for (uint32_t to = 0; to < domains; to++)
				flow_add_edge(flow, senders + from,
					      senders + domains + to,
					      link_capacity(layout, from, to));
	}
	return first;
}

/*
 * Returns an upper bound of a layout's throughput, in tokens per second.  The
 * full capacity of a link is available at every layer boundary.  The bound is
 * exact if each link with a limit is used at one boundary only; otherwise it
 * may be too high.  Links from and to the entry have no limit.
 */
double flow_throughput_bound(const flow_layout_t *layout)
{
	const uint32_t domains = layout->domain_count;
	flow_t flow;
	uint32_t source;
	uint32_t sink;
	uint32_t first;
	double bound;

	flow_init(&flow);
	source = flow_add_node(&flow);
	sink = flow_add_node(&flow);
	first = add_boundary_nodes(&flow, layout);
	for (size_t i = 0; i < layout->endpoint_count; i++) {
		const flow_endpoint_t *endpoint = &layout->endpoints[i];
		const uint32_t begin = first + domains +
				       endpoint->first_layer * 2 * domains +
				       endpoint->domain;
		const uint32_t end = first + endpoint->end_layer * 2 * domains +
				     endpoint->domain;

		flow_add_edge(
			&flow, endpoint->first_layer == 0 ? source : begin,
			endpoint->end_layer == layout->layers ? sink : end,
			endpoint->steps_per_s);
	}
	bound = flow_max(&flow, source, sink);
	flow_finish(&flow);
	return bound;
}
