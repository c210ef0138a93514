/*
 * A queueing model in virtual time around the real router: endpoints with a
 * few servers and a queue, links with a delay and perhaps a capacity, and
 * entries that always have work waiting.
 */
#include "support/route_model.h"

#include <math.h>
#include <string.h>

#include "wisteria/route/flow.h"

#define TRIES_MAX 6
#define TOKENS_MIN 16
#define TOKENS_MAX 48
#define DIRECTORY_DELAY_MS 3000.0
#define LINK_MS 0.5
#define SLOW_LINK_MS 20.0
#define OFFERED 1.1
#define RETRY_MS 20.0

static bool event_before(const event_t *a, const event_t *b)
{
	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms;
	return a->order < b->order;
}

/* Adds an event to the calendar, a binary heap. */
void model_schedule(bench_t *bench, double at_ms, event_kind_t kind,
		    uint32_t subject, bench_session_t *session)
{
	event_t event = { at_ms, bench->event_order++, kind, subject, session };
	guint place = bench->events->len;
	event_t *events;

	g_array_append_val(bench->events, event);
	events = (event_t *)(void *)bench->events->data;
	while (place > 0 && event_before(&event, &events[(place - 1) / 2])) {
		events[place] = events[(place - 1) / 2];
		place = (place - 1) / 2;
	}
	events[place] = event;
}

/* Takes the next event out of the calendar. */
event_t model_next_event(bench_t *bench)
{
	event_t *events = (event_t *)(void *)bench->events->data;
	const event_t first = events[0];
	const guint count = bench->events->len - 1;
	const event_t last = events[count];
	guint place = 0;

	for (;;) {
		guint child = 2 * place + 1;

		if (child >= count)
			break;
		if (child + 1 < count &&
		    event_before(&events[child + 1], &events[child]))
			child++;
		if (!event_before(&events[child], &last))
			break;
		events[place] = events[child];
		place = child;
	}
	events[place] = last;
	g_array_set_size(bench->events, count);
	return first;
}

static msg_load_t load_of(const bench_endpoint_t *endpoint)
{
	return (msg_load_t){
		.endpoint = endpoint->name,
		.in_flight = endpoint->in_flight,
		.slots = SLOTS,
		.step_ms = endpoint->report_ms,
	};
}

static void report(bench_t *bench, entry_t *entry,
		   const bench_endpoint_t *endpoint)
{
	const msg_load_t load = load_of(endpoint);

	router_record_load(entry->router, &load, (clock_ms_t)bench->now_ms);
}

/* Time for a step to go from one domain to another, queueing included. */
static double link_ms(bench_t *bench, uint32_t from, uint32_t to)
{
	double begin_ms;

	if (bench->slow_link_per_s == 0 || from != 0 || to != 1)
		return LINK_MS;
	begin_ms = MAX(bench->now_ms, bench->slow_link_free_ms);
	bench->slow_link_free_ms = begin_ms + 1000 / bench->slow_link_per_s;
	return bench->slow_link_free_ms - bench->now_ms + SLOW_LINK_MS;
}

static void serve(bench_t *bench, bench_endpoint_t *endpoint)
{
	while (endpoint->serving < SERVERS &&
	       !g_queue_is_empty(&endpoint->waiting)) {
		bench_session_t *session = g_queue_pop_head(&endpoint->waiting);
		const double ms = endpoint->step_ms *
				  g_rand_double_range(bench->random, 0.8, 1.2);

		endpoint->serving++;
		model_schedule(bench, bench->now_ms + ms, EVENT_STEP_DONE,
			       (uint32_t)(endpoint - bench->endpoints),
			       session);
	}
}

static void send_on(bench_t *bench, bench_session_t *session, uint32_t from)
{
	const bench_endpoint_t *next =
		&bench->endpoints[session->hops[session->hop]];
	const double ms =
		link_ms(bench, bench->endpoints[from].domain, next->domain);

	if (session->hop > 0)
		router_record_link_time(bench->entries[session->entry].router,
					bench->endpoints[from].name, next->name,
					ms);
	model_schedule(bench, bench->now_ms + ms, EVENT_AT_HOP, 0, session);
}

static void reserve(bench_t *bench, uint32_t entry_index, const uint32_t *hops,
		    uint32_t hop_count)
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
		entry->own[hops[i]]++;
		router_session_started(entry->router, endpoint->name);
		report(bench, entry, endpoint);
	}
	model_schedule(bench, bench->now_ms + LINK_MS, EVENT_AT_HOP, 0,
		       session);
}

/* Asks every hop for a slot; marks the one that has none. */
static bool all_accept(bench_t *bench, entry_t *entry, const uint32_t *hops,
		       uint32_t hop_count, bool *refused)
{
	for (uint32_t i = 0; i < hop_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[hops[i]];

		if (endpoint->gone) {
			entry->known_gone[hops[i]] = true;
			router_record_failure(entry->router, endpoint->name,
					      (clock_ms_t)bench->now_ms);
			return false;
		}
		if (endpoint->in_flight >= SLOTS) {
			refused[hops[i]] = true;
			report(bench, entry, endpoint);
			return false;
		}
	}
	return true;
}

/* Starts waiting requests until no chain takes one. */
static void dispatch(bench_t *bench, uint32_t entry_index)
{
	entry_t *entry = &bench->entries[entry_index];
	bool refused[ENDPOINTS_MAX] = { false };
	uint32_t tries = 0;

	while (entry->waiting > 0 && tries < TRIES_MAX) {
		uint32_t hops[ROUTER_HOPS_MAX];
		const uint32_t hop_count =
			bench->policy->pick(bench, entry, refused, hops);

		tries++;
		if (hop_count == 0)
			break;
		if (!all_accept(bench, entry, hops, hop_count, refused))
			continue;
		reserve(bench, entry_index, hops, hop_count);
		entry->waiting--;
		tries = 0;
	}
	if (entry->waiting == 0 || entry->retrying)
		return;
	entry->retrying = true;
	model_schedule(bench, bench->now_ms + RETRY_MS, EVENT_RETRY,
		       entry_index, NULL);
}

static void end_session(bench_t *bench, bench_session_t *session)
{
	entry_t *entry = &bench->entries[session->entry];

	for (uint32_t i = 0; i < session->hop_count; i++) {
		bench_endpoint_t *endpoint =
			&bench->endpoints[session->hops[i]];

		endpoint->in_flight--;
		entry->own[session->hops[i]]--;
		router_session_finished(entry->router, endpoint->name);
	}
	if (session->aborted)
		entry->waiting++;
	dispatch(bench, session->entry);
	g_free(session);
}

/* Returns whether the chain has lost an endpoint; then the session ends. */
static bool abort_if_lost(bench_t *bench, bench_session_t *session)
{
	entry_t *entry = &bench->entries[session->entry];
	bool lost = false;

	for (uint32_t i = 0; i < session->hop_count; i++) {
		const uint32_t at = session->hops[i];

		if (!bench->endpoints[at].gone)
			continue;
		entry->known_gone[at] = true;
		router_record_failure(entry->router, bench->endpoints[at].name,
				      (clock_ms_t)bench->now_ms);
		lost = true;
	}
	session->aborted = lost;
	if (lost)
		end_session(bench, session);
	return lost;
}

static void at_hop(bench_t *bench, bench_session_t *session)
{
	bench_endpoint_t *endpoint =
		&bench->endpoints[session->hops[session->hop]];

	session->arrived_ms = bench->now_ms;
	g_queue_push_tail(&endpoint->waiting, session);
	serve(bench, endpoint);
}

static void step_done(bench_t *bench, uint32_t at, bench_session_t *session)
{
	bench_endpoint_t *endpoint = &bench->endpoints[at];
	const double ms = bench->now_ms - session->arrived_ms;

	endpoint->serving--;
	endpoint->report_ms += endpoint->report_ms == 0
				       ? ms
				       : 0.1 * (ms - endpoint->report_ms);
	serve(bench, endpoint);
	session->hop = (session->hop + 1) % session->hop_count;
	if (session->hop == 0) {
		report(bench, &bench->entries[session->entry],
		       &bench->endpoints[session->hops[0]]);
		bench->tokens += bench->now_ms >= WARM_UP_MS;
		if (--session->tokens_left == 0) {
			end_session(bench, session);
			return;
		}
	}
	send_on(bench, session, at);
}

/* All entries learn which endpoints are there. */
void model_update_routers(bench_t *bench)
{
	static const char *const domains[DOMAINS] = { "recife", "jaboatao",
						      "olinda" };
	msg_endpoint_t list[ENDPOINTS_MAX];
	size_t count = 0;

	for (uint32_t i = 0; i < bench->endpoint_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[i];

		for (uint32_t j = 0; j < ENTRIES; j++)
			bench->entries[j].known_gone[i] = endpoint->gone;
		if (endpoint->gone)
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

static void fail_tenth(bench_t *bench)
{
	for (uint32_t i = 0; i < bench->endpoint_count / 10; i++) {
		uint32_t at;

		do
			at = (uint32_t)g_rand_int_range(
				bench->random, 0,
				(gint32)bench->endpoint_count);
		while (bench->endpoints[at].gone);
		bench->endpoints[at].gone = true;
		while (!g_queue_is_empty(&bench->endpoints[at].waiting))
			abort_if_lost(bench,
				      g_queue_pop_head(
					      &bench->endpoints[at].waiting));
	}
	model_schedule(bench, bench->now_ms + DIRECTORY_DELAY_MS,
		       EVENT_DIRECTORY, 0, NULL);
}

/* Returns the most tokens a second that the layout can make. */
double model_bound(const bench_t *bench)
{
	const flow_link_t slow = { 0, 1, bench->slow_link_per_s };
	flow_endpoint_t endpoints[ENDPOINTS_MAX];
	flow_layout_t layout = {
		.endpoints = endpoints,
		.links = &slow,
		.link_count = bench->slow_link_per_s > 0,
		.domain_count = DOMAINS,
		.layers = LAYERS,
	};

	for (uint32_t i = 0; i < bench->endpoint_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[i];

		if (endpoint->gone)
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

static void arrive(bench_t *bench, uint32_t entry_index)
{
	const double mean_ms = ENTRIES * 1000 * (TOKENS_MIN + TOKENS_MAX) /
			       (2 * OFFERED * bench->bound);
	const double wait_ms = -mean_ms * log(1 - g_rand_double(bench->random));

	bench->entries[entry_index].waiting++;
	model_schedule(bench, bench->now_ms + wait_ms, EVENT_ARRIVAL,
		       entry_index, NULL);
	dispatch(bench, entry_index);
}

/* Handles an event that belongs to no session. */
static void handle_plain(bench_t *bench, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		arrive(bench, event->subject);
		break;
	case EVENT_RETRY:
		bench->entries[event->subject].retrying = false;
		dispatch(bench, event->subject);
		break;
	case EVENT_FAILURE:
		fail_tenth(bench);
		bench->bound = model_bound(bench);
		break;
	case EVENT_DIRECTORY:
		model_update_routers(bench);
		break;
	default:
		break;
	}
}

/* Handles one event at the time that it is due. */
void model_handle(bench_t *bench, const event_t *event)
{
	if (event->session == NULL) {
		handle_plain(bench, event);
		return;
	}
	if (abort_if_lost(bench, event->session)) {
		if (event->kind == EVENT_STEP_DONE) {
			bench->endpoints[event->subject].serving--;
			serve(bench, &bench->endpoints[event->subject]);
		}
		return;
	}
	if (event->kind == EVENT_AT_HOP)
		at_hop(bench, event->session);
	else
		step_done(bench, event->subject, event->session);
}
