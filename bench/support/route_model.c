/*
 * A queueing simulation in virtual time that drives the real router: endpoints
 * with a few servers and a queue, links with a delay and optionally a limited
 * rate, and entries that are offered slightly more load than the layout can
 * serve.
 */
#include "support/route_model.h"

#include <math.h>
#include <string.h>

#include "wisteria/route/flow.h"

#define ATTEMPTS_MAX 6
#define TOKENS_MIN 16
#define TOKENS_MAX 48
#define DIRECTORY_DELAY_MS 3000.0
#define LINK_MS 0.5
#define SLOW_LINK_MS 20.0
#define OFFERED_LOAD 1.1 /* of the throughput bound */
#define RETRY_MS 20.0

static bool event_before(const event_t *a, const event_t *b)
{
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms;
	return a->order < b->order;
}

/* Adds an event to the event queue, a binary heap ordered by time. */
void model_schedule_event(bench_t *bench, double due_ms, event_kind_t kind,
			  uint32_t index, bench_session_t *session)
{
	event_t event = { due_ms, bench->event_order++, kind, index, session };
	guint position = bench->events->len;
	event_t *events;

	g_array_append_val(bench->events, event);
	events = (event_t *)(void *)bench->events->data;
	while (position > 0 &&
	       event_before(&event, &events[(position - 1) / 2])) {
		events[position] = events[(position - 1) / 2];
		position = (position - 1) / 2;
	}
	events[position] = event;
}

/* Removes the earliest event from the event queue and returns it. */
event_t model_pop_event(bench_t *bench)
{
	event_t *events = (event_t *)(void *)bench->events->data;
	const event_t first = events[0];
	const guint count = bench->events->len - 1;
	const event_t last = events[count];
	guint position = 0;

	for (;;) {
		guint child = 2 * position + 1;

		if (child >= count)
			break;
		if (child + 1 < count &&
		    event_before(&events[child + 1], &events[child]))
			child++;
		if (!event_before(&events[child], &last))
			break;
		events[position] = events[child];
		position = child;
	}
	events[position] = last;
	g_array_set_size(bench->events, count);
	return first;
}

static msg_load_t make_load(const bench_endpoint_t *endpoint)
{
	return (msg_load_t){
		.endpoint = endpoint->name,
		.in_flight = endpoint->in_flight,
		.slots = SLOTS,
		.step_ms = endpoint->reported_ms,
	};
}

static void report_load(bench_t *bench, entry_t *entry,
			const bench_endpoint_t *endpoint)
{
	const msg_load_t load = make_load(endpoint);

	router_record_load(entry->router, &load, (clock_ms_t)bench->now_ms);
}

/*
 * Returns the time that a step takes from one domain to another.  Only the link
 * from the first domain to the second can be slow: it is then reserved for the
 * step, and the wait for it is included.
 */
static double transfer_ms(bench_t *bench, uint32_t from, uint32_t to)
{
	double begin_ms;

	if (bench->slow_link_per_s == 0 || from != 0 || to != 1)
		return LINK_MS;
	begin_ms = MAX(bench->now_ms, bench->slow_link_free_ms);
	bench->slow_link_free_ms = begin_ms + 1000 / bench->slow_link_per_s;
	return bench->slow_link_free_ms - bench->now_ms + SLOW_LINK_MS;
}

static void start_steps(bench_t *bench, bench_endpoint_t *endpoint)
{
	while (endpoint->serving < SERVERS &&
	       !g_queue_is_empty(&endpoint->waiting)) {
		bench_session_t *session = g_queue_pop_head(&endpoint->waiting);
		const double ms = endpoint->step_ms *
				  g_rand_double_range(bench->random, 0.8, 1.2);

		endpoint->serving++;
		model_schedule_event(bench, bench->now_ms + ms, EVENT_STEP_DONE,
				     (uint32_t)(endpoint - bench->endpoints),
				     session);
	}
}

static void send_to_next_hop(bench_t *bench, bench_session_t *session,
			     uint32_t from)
{
	const bench_endpoint_t *next =
		&bench->endpoints[session->hops[session->hop]];
	const double ms =
		transfer_ms(bench, bench->endpoints[from].domain, next->domain);

	if (session->hop > 0)
		router_record_link_time(bench->entries[session->entry].router,
					bench->endpoints[from].name, next->name,
					ms);
	model_schedule_event(bench, bench->now_ms + ms, EVENT_HOP_ARRIVAL, 0,
			     session);
}

static void start_session(bench_t *bench, uint32_t entry_index,
			  const uint32_t *hops, uint32_t hop_count)
{
	entry_t *entry = &bench->entries[entry_index];
	bench_session_t *session = g_new0(bench_session_t, 1);

	session->entry = entry_index;
	session->hop_count = hop_count;
	session->tokens_left = (uint32_t)g_rand_int_range(
		bench->random, TOKENS_MIN, TOKENS_MAX + 1);
	memcpy(session->hops, hops, hop_count * sizeof(*hops));
	for (uint32_t i = 0; i < hop_count; i++) {
		bench_endpoint_t *endpoint = &bench->endpoints[hops[i]];

		endpoint->in_flight++;
		entry->own_sessions[hops[i]]++;
		router_session_started(entry->router, endpoint->name);
		report_load(bench, entry, endpoint);
	}
	model_schedule_event(bench, bench->now_ms + LINK_MS, EVENT_HOP_ARRIVAL,
			     0, session);
}

/*
 * Returns whether no hop has failed and each has a free slot.  Otherwise
 * records the first hop that is failed or full: a failed one in the entry and
 * its router, a full one in "refused" and, as a load report, in the router.
 */
static bool have_free_slots(bench_t *bench, entry_t *entry,
			    const uint32_t *hops, uint32_t hop_count,
			    bool *refused)
{
	for (uint32_t i = 0; i < hop_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[hops[i]];

		if (endpoint->failed) {
			entry->known_failed[hops[i]] = true;
			router_record_failure(entry->router, endpoint->name,
					      (clock_ms_t)bench->now_ms);
			return false;
		}
		if (endpoint->in_flight >= SLOTS) {
			refused[hops[i]] = true;
			report_load(bench, entry, endpoint);
			return false;
		}
	}
	return true;
}

/*
 * Starts waiting requests until there is no chain or ATTEMPTS_MAX chains in
 * succession had a failed or full hop.  Schedules a retry if requests remain.
 */
static void dispatch(bench_t *bench, uint32_t entry_index)
{
	entry_t *entry = &bench->entries[entry_index];
	bool refused[ENDPOINTS_MAX] = { false };
	uint32_t attempts = 0;

	while (entry->waiting > 0 && attempts < ATTEMPTS_MAX) {
		uint32_t hops[ROUTER_HOPS_MAX];
		const uint32_t hop_count =
			bench->policy->pick(bench, entry, refused, hops);

		attempts++;
		if (hop_count == 0)
			break;
		if (!have_free_slots(bench, entry, hops, hop_count, refused))
			continue;
		start_session(bench, entry_index, hops, hop_count);
		entry->waiting--;
		attempts = 0;
	}
	if (entry->waiting == 0 || entry->retrying)
		return;
	entry->retrying = true;
	model_schedule_event(bench, bench->now_ms + RETRY_MS, EVENT_RETRY,
			     entry_index, NULL);
}

/* Ends a session.  The request of an aborted one is queued again. */
static void end_session(bench_t *bench, bench_session_t *session)
{
	entry_t *entry = &bench->entries[session->entry];

	for (uint32_t i = 0; i < session->hop_count; i++) {
		bench_endpoint_t *endpoint =
			&bench->endpoints[session->hops[i]];

		endpoint->in_flight--;
		entry->own_sessions[session->hops[i]]--;
		router_session_finished(entry->router, endpoint->name);
	}
	if (session->aborted)
		entry->waiting++;
	dispatch(bench, session->entry);
	g_free(session);
}

/* Ends the session and returns true if an endpoint of its chain has failed. */
static bool abort_if_endpoint_failed(bench_t *bench, bench_session_t *session)
{
	entry_t *entry = &bench->entries[session->entry];
	bool any_failed = false;

	for (uint32_t i = 0; i < session->hop_count; i++) {
		const uint32_t endpoint_index = session->hops[i];

		if (!bench->endpoints[endpoint_index].failed)
			continue;
		entry->known_failed[endpoint_index] = true;
		router_record_failure(entry->router,
				      bench->endpoints[endpoint_index].name,
				      (clock_ms_t)bench->now_ms);
		any_failed = true;
	}
	session->aborted = any_failed;
	if (any_failed)
		end_session(bench, session);
	return any_failed;
}

static void on_hop_arrival(bench_t *bench, bench_session_t *session)
{
	bench_endpoint_t *endpoint =
		&bench->endpoints[session->hops[session->hop]];

	session->arrived_ms = bench->now_ms;
	g_queue_push_tail(&endpoint->waiting, session);
	start_steps(bench, endpoint);
}

static void on_step_done(bench_t *bench, uint32_t endpoint_index,
			 bench_session_t *session)
{
	bench_endpoint_t *endpoint = &bench->endpoints[endpoint_index];
	const double ms = bench->now_ms - session->arrived_ms;

	endpoint->serving--;
	endpoint->reported_ms += endpoint->reported_ms == 0
					 ? ms
					 : 0.1 * (ms - endpoint->reported_ms);
	start_steps(bench, endpoint);
	session->hop = (session->hop + 1) % session->hop_count;
	if (session->hop == 0) {
		report_load(bench, &bench->entries[session->entry],
			    &bench->endpoints[session->hops[0]]);
		bench->tokens += bench->now_ms >= WARM_UP_MS;
		if (--session->tokens_left == 0) {
			end_session(bench, session);
			return;
		}
	}
	send_to_next_hop(bench, session, endpoint_index);
}

/* Updates all entries with the endpoints that have not failed. */
void model_update_routers(bench_t *bench)
{
	static const char *const domains[DOMAINS] = { "recife", "jaboatao",
						      "olinda" };
	msg_endpoint_t list[ENDPOINTS_MAX];
	size_t count = 0;

	for (uint32_t i = 0; i < bench->endpoint_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[i];

		for (uint32_t j = 0; j < ENTRIES; j++)
			bench->entries[j].known_failed[i] = endpoint->failed;
		if (endpoint->failed)
			continue;
		list[count++] = (msg_endpoint_t){
			.name = endpoint->name,
			.instance = endpoint->name,
			.address = "127.0.0.1:1",
			.target = "modelo",
			.first_layer = endpoint->first_layer,
			.end_layer = endpoint->end_layer,
			.slots = SLOTS,
			.failure_domain = domains[endpoint->domain],
			.region = "nordeste",
		};
	}
	for (uint32_t i = 0; i < ENTRIES; i++)
		router_update(bench->entries[i].router, list, count, NULL, 0,
			      (clock_ms_t)bench->now_ms);
}

static void fail_tenth_of_endpoints(bench_t *bench)
{
	for (uint32_t i = 0; i < bench->endpoint_count / 10; i++) {
		uint32_t endpoint_index;

		do
			endpoint_index = (uint32_t)g_rand_int_range(
				bench->random, 0,
				(gint32)bench->endpoint_count);
		while (bench->endpoints[endpoint_index].failed);
		bench->endpoints[endpoint_index].failed = true;
		while (!g_queue_is_empty(
			&bench->endpoints[endpoint_index].waiting))
			abort_if_endpoint_failed(
				bench, g_queue_pop_head(
					       &bench->endpoints[endpoint_index]
							.waiting));
	}
	model_schedule_event(bench, bench->now_ms + DIRECTORY_DELAY_MS,
			     EVENT_DIRECTORY_UPDATE, 0, NULL);
}

/* Returns the upper bound of the layout's throughput in tokens per second. */
double model_throughput_bound(const bench_t *bench)
{
	const flow_link_t slow_link = { 0, 1, bench->slow_link_per_s };
	flow_endpoint_t endpoints[ENDPOINTS_MAX];
	flow_layout_t layout = {
		.endpoints = endpoints,
		.links = &slow_link,
		.link_count = bench->slow_link_per_s > 0,
		.domain_count = DOMAINS,
		.layers = LAYERS,
	};

	for (uint32_t i = 0; i < bench->endpoint_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[i];

		if (endpoint->failed)
			continue;
		endpoints[layout.endpoint_count++] = (flow_endpoint_t){
			endpoint->first_layer,
			endpoint->end_layer,
			endpoint->domain,
			SERVERS * 1000 / endpoint->step_ms,
		};
	}
	return flow_throughput_bound(&layout);
}

static void on_arrival(bench_t *bench, uint32_t entry_index)
{
	const double mean_ms = ENTRIES * 1000 * (TOKENS_MIN + TOKENS_MAX) /
			       (2 * OFFERED_LOAD * bench->bound);
	const double wait_ms = -mean_ms * log(1 - g_rand_double(bench->random));

	bench->entries[entry_index].waiting++;
	model_schedule_event(bench, bench->now_ms + wait_ms, EVENT_ARRIVAL,
			     entry_index, NULL);
	dispatch(bench, entry_index);
}

/* Handles an event without a session. */
static void handle_sessionless_event(bench_t *bench, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		on_arrival(bench, event->index);
		break;
	case EVENT_RETRY:
		bench->entries[event->index].retrying = false;
		dispatch(bench, event->index);
		break;
	case EVENT_FAILURE:
		fail_tenth_of_endpoints(bench);
		bench->bound = model_throughput_bound(bench);
		break;
	case EVENT_DIRECTORY_UPDATE:
		model_update_routers(bench);
		break;
	default:
		break;
	}
}

/* Handles one event; the caller has set the time to the event's. */
void model_handle_event(bench_t *bench, const event_t *event)
{
	if (event->session == NULL) {
		handle_sessionless_event(bench, event);
		return;
	}
	if (abort_if_endpoint_failed(bench, event->session)) {
		if (event->kind == EVENT_STEP_DONE) {
			bench->endpoints[event->index].serving--;
			start_steps(bench, &bench->endpoints[event->index]);
		}
		return;
	}
	if (event->kind == EVENT_HOP_ARRIVAL)
		on_hop_arrival(bench, event->session);
	else
		on_step_done(bench, event->index, event->session);
}
