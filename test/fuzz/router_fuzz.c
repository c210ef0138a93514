/*
 * Fuzzes the router and checks it against a table of endpoints.  Endpoints
 * are added, start to leave, fail and return; sessions start and end; load
 * reports are late or wrong; link times change.  Checks that a chosen chain
 * covers the layers exactly, in order, over endpoints that are listed, not
 * leaving, not paused, not avoided and not full; that a chain is found if one
 * certainly exists; and that ROUTE_FULL is returned only if the endpoints that
 * are listed and not leaving cover the layers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fuzz_input.h"
#include "wisteria/route/router.h"

#define LAYERS 6
#define ENDPOINTS 12
#define NAMES_MAX 8
#define PAUSE_MAX_MS 30000
/* Until a report is this old, it may make the endpoint count as full. */
#define REPORT_EXPIRY_MS 60000

typedef struct {
	char name[NAMES_MAX];
	uint64_t incarnation;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t slots;
	uint32_t domain;
	bool listed;
	bool leaving;
	uint32_t own_sessions;
	uint32_t reported; /* sessions of other entries, by the last report */
	bool failed;
	clock_ms_t failed_ms;
} oracle_endpoint_t;

typedef struct {
	fuzz_input_t input;
	clock_ms_t now_ms;
	router_t *router;
	oracle_endpoint_t endpoints[ENDPOINTS];
	route_choice_t last;
} fuzz_t;

static oracle_endpoint_t *pick_endpoint(fuzz_t *fuzz)
{
	return &fuzz->endpoints[fuzz_byte(&fuzz->input) % ENDPOINTS];
}

static oracle_endpoint_t *find_endpoint(fuzz_t *fuzz, const char *name)
{
	for (uint32_t i = 0; i < ENDPOINTS; i++)
		if (strcmp(fuzz->endpoints[i].name, name) == 0)
			return &fuzz->endpoints[i];
	return NULL;
}

/* Updates the router with the whole directory. */
static void update_router(fuzz_t *fuzz)
{
	static const char *const domains[] = { "d0", "d1", "d2" };
	static const char *const regions[] = { "r0", "r0", "r1" };
	msg_endpoint_t list[ENDPOINTS];
	msg_name_t leaving[ENDPOINTS];
	size_t count = 0;
	size_t leaving_count = 0;

	for (uint32_t i = 0; i < ENDPOINTS; i++) {
		const oracle_endpoint_t *endpoint = &fuzz->endpoints[i];

		if (endpoint->leaving)
			leaving[leaving_count++].text = endpoint->name;
		if (!endpoint->listed)
			continue;
		list[count++] = (msg_endpoint_t){
			.name = endpoint->name,
			.instance = endpoint->name,
			.incarnation = endpoint->incarnation,
			.address = "127.0.0.1:1",
			.target = "modelo",
			.first_layer = endpoint->first_layer,
			.end_layer = endpoint->end_layer,
			.slots = endpoint->slots,
			.failure_domain = domains[endpoint->domain],
			.region = regions[endpoint->domain],
		};
	}
	router_update(fuzz->router, list, count, leaving, leaving_count,
		      fuzz->now_ms);
}

static void add_endpoint(fuzz_t *fuzz)
{
	static const uint32_t ranges[8][2] = { { 0, 3 }, { 3, 6 }, { 0, 3 },
					       { 3, 6 }, { 0, 6 }, { 2, 6 },
					       { 3, 3 }, { 3, 7 } };
	oracle_endpoint_t *endpoint = pick_endpoint(fuzz);
	const uint8_t layers = fuzz_byte(&fuzz->input);
	const uint8_t slots_and_domain = fuzz_byte(&fuzz->input);

	if (endpoint->listed)
		return;
	endpoint->incarnation++;
	endpoint->failed = false;
	endpoint->reported = 0;
	endpoint->first_layer = ranges[layers % 8][0];
	endpoint->end_layer = ranges[layers % 8][1];
	endpoint->slots = slots_and_domain % 4 + 1;
	endpoint->domain =
		slots_and_domain < 128 ? 0 : slots_and_domain / 4 % 3;
	endpoint->listed = true;
	update_router(fuzz);
}

static void unlist_endpoint(fuzz_t *fuzz)
{
	pick_endpoint(fuzz)->listed = false;
	update_router(fuzz);
}

static void toggle_leaving(fuzz_t *fuzz)
{
	oracle_endpoint_t *endpoint = pick_endpoint(fuzz);

	endpoint->leaving = !endpoint->leaving;
	update_router(fuzz);
}

static void fail_endpoint(fuzz_t *fuzz)
{
	oracle_endpoint_t *endpoint = pick_endpoint(fuzz);

	router_record_failure(fuzz->router, endpoint->name, fuzz->now_ms);
	if (!endpoint->listed)
		return;
	endpoint->failed = true;
	endpoint->failed_ms = fuzz->now_ms;
}

static void report(fuzz_t *fuzz)
{
	static const double steps_ms[] = { 0, 1, 50, -3, 1e300, 0.0 / 1.0 };
	oracle_endpoint_t *endpoint = pick_endpoint(fuzz);
	const uint8_t load = fuzz_byte(&fuzz->input);
	const msg_load_t report = {
		.endpoint = endpoint->name,
		.in_flight = load % 4,
		.queued = load / 4 % 4,
		.step_ms = steps_ms[load / 16 % 6],
	};
	const uint32_t sessions = report.in_flight + report.queued;

	router_record_load(fuzz->router, &report, fuzz->now_ms);
	if (endpoint->listed)
		endpoint->reported = sessions > endpoint->own_sessions
					     ? sessions - endpoint->own_sessions
					     : 0;
}

static void report_link_time(fuzz_t *fuzz)
{
	const oracle_endpoint_t *from = pick_endpoint(fuzz);
	const oracle_endpoint_t *to = pick_endpoint(fuzz);

	router_record_link_time(fuzz->router, from->name, to->name,
				(double)fuzz_byte(&fuzz->input) - 5);
}

/* Returns whether the endpoint must not be chosen, whatever its reports. */
static bool is_excluded(const oracle_endpoint_t *endpoint,
			const route_request_t *request)
{
	for (size_t i = 0; i < request->avoid_count; i++)
		if (strcmp(request->avoid[i], endpoint->name) == 0)
			return true;
	return !endpoint->listed || endpoint->leaving ||
	       endpoint->own_sessions >= endpoint->slots;
}

/*
 * Returns whether the endpoint is free for certain: neither a pause nor a
 * report can exclude it.
 */
static bool is_certainly_free(const fuzz_t *fuzz,
			      const oracle_endpoint_t *endpoint,
			      const route_request_t *request)
{
	if (is_excluded(endpoint, request))
		return false;
	if (endpoint->failed &&
	    fuzz->now_ms - endpoint->failed_ms < PAUSE_MAX_MS)
		return false;
	return endpoint->own_sessions + endpoint->reported < endpoint->slots;
}

/*
 * Returns whether a chain exists over the endpoints that are listed and not
 * leaving, or only over those that are free for certain.
 */
static bool is_covered(const fuzz_t *fuzz, const route_request_t *request,
		       bool certainly_free)
{
	bool reached[LAYERS + 2] = { true };

	for (uint32_t layer = 0; layer < LAYERS; layer++)
		for (uint32_t i = 0; i < ENDPOINTS && reached[layer]; i++) {
			const oracle_endpoint_t *endpoint = &fuzz->endpoints[i];

			if (endpoint->first_layer == layer &&
			    endpoint->end_layer > layer &&
			    (certainly_free
				     ? is_certainly_free(fuzz, endpoint,
							 request)
				     : endpoint->listed && !endpoint->leaving))
				reached[endpoint->end_layer] = true;
		}
	return reached[LAYERS];
}

static void check_hop(fuzz_t *fuzz, const route_request_t *request,
		      const route_hop_t *hop)
{
	const oracle_endpoint_t *endpoint = find_endpoint(fuzz, hop->endpoint);

	CHECK(endpoint != NULL);
	CHECK(!is_excluded(endpoint, request));
	CHECK(!endpoint->failed || fuzz->now_ms - endpoint->failed_ms >= 500);
	CHECK(hop->incarnation == endpoint->incarnation);
	CHECK(hop->first_layer == endpoint->first_layer);
	CHECK(hop->end_layer == endpoint->end_layer);
}

static void check_chain(fuzz_t *fuzz, const route_request_t *request,
			const route_choice_t *choice)
{
	uint32_t layer = 0;

	CHECK(choice->hop_count > 0 && choice->hop_count <= LAYERS);
	for (size_t i = 0; i < choice->hop_count; i++) {
		check_hop(fuzz, request, &choice->hops[i]);
		CHECK(choice->hops[i].first_layer == layer);
		CHECK(choice->hops[i].end_layer > layer);
		layer = choice->hops[i].end_layer;
	}
	CHECK(layer == LAYERS);
	CHECK(choice->expected_ms >= 0);
}

static route_request_t make_request(fuzz_t *fuzz)
{
	route_request_t request = { .target = "modelo", .layers = LAYERS };
	const uint8_t avoided = fuzz_byte(&fuzz->input);

	request.avoid_count = avoided % 8 < 5 ? 0 : avoided % 8 - 4;
	for (size_t i = 0; i < request.avoid_count; i++)
		request.avoid[i] = pick_endpoint(fuzz)->name;
	return request;
}

static void choose_chain(fuzz_t *fuzz)
{
	const route_request_t request = make_request(fuzz);
	const route_result_t result = router_choose(fuzz->router, &request,
						    fuzz->now_ms, &fuzz->last);

	if (result == ROUTE_FOUND) {
		check_chain(fuzz, &request, &fuzz->last);
		for (size_t i = 0; i < fuzz->last.hop_count; i++) {
			find_endpoint(fuzz, fuzz->last.hops[i].endpoint)
				->own_sessions++;
			router_session_started(fuzz->router,
					       fuzz->last.hops[i].endpoint);
		}
		return;
	}
	fuzz->last.hop_count = 0;
	CHECK(!is_covered(fuzz, &request, true));
	CHECK((result == ROUTE_FULL) == is_covered(fuzz, &request, false));
}

static void replace_hop(fuzz_t *fuzz)
{
	const route_request_t request = make_request(fuzz);
	const uint8_t index = fuzz_byte(&fuzz->input);
	const route_hop_t *lost;
	route_hop_t hop;

	if (fuzz->last.hop_count == 0)
		return;
	lost = &fuzz->last.hops[index % fuzz->last.hop_count];
	if (router_choose_replacement(fuzz->router, &request, &fuzz->last,
				      index % fuzz->last.hop_count,
				      fuzz->now_ms, &hop) == ROUTE_FOUND) {
		check_hop(fuzz, &request, &hop);
		CHECK(hop.first_layer == lost->first_layer);
		CHECK(hop.end_layer == lost->end_layer);
		CHECK(strcmp(hop.endpoint, lost->endpoint) != 0);
		return;
	}
	for (uint32_t i = 0; i < ENDPOINTS; i++) {
		const oracle_endpoint_t *endpoint = &fuzz->endpoints[i];

		CHECK(endpoint->first_layer != lost->first_layer ||
		      endpoint->end_layer != lost->end_layer ||
		      strcmp(endpoint->name, lost->endpoint) == 0 ||
		      !is_certainly_free(fuzz, endpoint, &request));
	}
}

static void finish_session(fuzz_t *fuzz)
{
	oracle_endpoint_t *endpoint = pick_endpoint(fuzz);

	if (endpoint->own_sessions == 0)
		return;
	endpoint->own_sessions--;
	router_session_finished(fuzz->router, endpoint->name);
}

static void advance_time(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);

	if (choice < 200) {
		fuzz->now_ms += choice * 10;
		return;
	}
	fuzz->now_ms += REPORT_EXPIRY_MS;
	for (uint32_t i = 0; i < ENDPOINTS; i++)
		fuzz->endpoints[i].reported = 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const actions[])(fuzz_t * fuzz) = {
		add_endpoint,	add_endpoint,	  add_endpoint,
		add_endpoint,	unlist_endpoint,  toggle_leaving,
		fail_endpoint,	report,		  choose_chain,
		choose_chain,	report_link_time, choose_chain,
		choose_chain,	replace_hop,	  finish_session,
		finish_session, finish_session,	  advance_time,
	};
	fuzz_t fuzz = { .input = { data, size }, .now_ms = 1000 };

	for (uint32_t i = 0; i < ENDPOINTS; i++)
		g_snprintf(fuzz.endpoints[i].name, NAMES_MAX, "e%u", i);
	fuzz.router = router_new("r0", "d0", fuzz_byte(&fuzz.input));
	while (fuzz.input.size > 0)
		actions[fuzz_byte(&fuzz.input) %
			(sizeof(actions) / sizeof(actions[0]))](&fuzz);
	router_free(fuzz.router);
	return 0;
}
