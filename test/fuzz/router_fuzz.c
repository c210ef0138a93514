/*
 * Fuzzes the router against a plain table of endpoints.  Endpoints join,
 * leave, die and come back; sessions start and end; reports come late or
 * lie; links change.  Always: a chain covers the layers exactly, in order,
 * over endpoints that are listed, not leaving, not paused, not avoided and
 * not full; and one is found if and only if there is one.
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
#define PAUSE_LONGEST_MS 30000
/* Reports fade; until then they may count an endpoint as full. */
#define REPORT_FORGOTTEN_MS 60000

typedef struct {
	char name[NAMES_MAX];
	uint64_t incarnation;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t slots;
	uint32_t domain;
	bool listed;
	bool leaving;
	uint32_t own;
	uint32_t reported; /* most sessions of others, by the last report */
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

static oracle_endpoint_t *pick(fuzz_t *fuzz)
{
	return &fuzz->endpoints[fuzz_byte(&fuzz->input) % ENDPOINTS];
}

static oracle_endpoint_t *find(fuzz_t *fuzz, const char *name)
{
	for (uint32_t i = 0; i < ENDPOINTS; i++)
		if (strcmp(fuzz->endpoints[i].name, name) == 0)
			return &fuzz->endpoints[i];
	return NULL;
}

/* Tells the router the whole directory. */
static void update(fuzz_t *fuzz)
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

static void join(fuzz_t *fuzz)
{
	static const uint32_t ranges[8][2] = { { 0, 3 }, { 3, 6 }, { 0, 3 },
					       { 3, 6 }, { 0, 6 }, { 2, 6 },
					       { 3, 3 }, { 3, 7 } };
	oracle_endpoint_t *endpoint = pick(fuzz);
	const uint8_t layers = fuzz_byte(&fuzz->input);
	const uint8_t rest = fuzz_byte(&fuzz->input);

	if (endpoint->listed)
		return;
	endpoint->incarnation++;
	endpoint->failed = false;
	endpoint->reported = 0;
	endpoint->first_layer = ranges[layers % 8][0];
	endpoint->end_layer = ranges[layers % 8][1];
	endpoint->slots = rest % 4 + 1;
	endpoint->domain = rest < 128 ? 0 : rest / 4 % 3;
	endpoint->listed = true;
	update(fuzz);
}

static void vanish(fuzz_t *fuzz)
{
	pick(fuzz)->listed = false;
	update(fuzz);
}

static void leave(fuzz_t *fuzz)
{
	oracle_endpoint_t *endpoint = pick(fuzz);

	endpoint->leaving = !endpoint->leaving;
	update(fuzz);
}

static void fail(fuzz_t *fuzz)
{
	oracle_endpoint_t *endpoint = pick(fuzz);

	router_failed(fuzz->router, endpoint->name, fuzz->now_ms);
	if (!endpoint->listed)
		return;
	endpoint->failed = true;
	endpoint->failed_ms = fuzz->now_ms;
}

static void report(fuzz_t *fuzz)
{
	static const double steps_ms[] = { 0, 1, 50, -3, 1e300, 0.0 / 1.0 };
	oracle_endpoint_t *endpoint = pick(fuzz);
	const uint8_t load = fuzz_byte(&fuzz->input);
	const msg_load_t report = {
		.endpoint = endpoint->name,
		.in_flight = load % 4,
		.queued = load / 4 % 4,
		.step_ms = steps_ms[load / 16 % 6],
	};
	const uint32_t sessions = report.in_flight + report.queued;

	router_load(fuzz->router, &report, fuzz->now_ms);
	if (endpoint->listed)
		endpoint->reported =
			sessions > endpoint->own ? sessions - endpoint->own : 0;
}

static void link_time(fuzz_t *fuzz)
{
	const oracle_endpoint_t *from = pick(fuzz);
	const oracle_endpoint_t *to = pick(fuzz);

	router_link_time(fuzz->router, from->name, to->name,
			 (double)fuzz_byte(&fuzz->input) - 5);
}

/* Whether the endpoint must not be chosen, whatever the reports say. */
static bool is_barred(const oracle_endpoint_t *endpoint,
		      const route_request_t *request)
{
	for (size_t i = 0; i < request->avoid_count; i++)
		if (strcmp(request->avoid[i], endpoint->name) == 0)
			return true;
	return !endpoint->listed || endpoint->leaving ||
	       endpoint->own >= endpoint->slots;
}

/* Whether it may be chosen for sure: no old failure or report counts. */
static bool is_open(const fuzz_t *fuzz, const oracle_endpoint_t *endpoint,
		    const route_request_t *request)
{
	if (is_barred(endpoint, request))
		return false;
	if (endpoint->failed &&
	    fuzz->now_ms - endpoint->failed_ms < PAUSE_LONGEST_MS)
		return false;
	return endpoint->own + endpoint->reported < endpoint->slots;
}

/* Whether chains exist over the endpoints that a predicate lets pass. */
static bool is_covered(const fuzz_t *fuzz, const route_request_t *request,
		       bool sure)
{
	bool reached[LAYERS + 2] = { true };

	for (uint32_t layer = 0; layer < LAYERS; layer++)
		for (uint32_t i = 0; i < ENDPOINTS && reached[layer]; i++) {
			const oracle_endpoint_t *endpoint = &fuzz->endpoints[i];

			if (endpoint->first_layer == layer &&
			    endpoint->end_layer > layer &&
			    (sure ? is_open(fuzz, endpoint, request)
				  : endpoint->listed && !endpoint->leaving))
				reached[endpoint->end_layer] = true;
		}
	return reached[LAYERS];
}

static void check_hop(fuzz_t *fuzz, const route_request_t *request,
		      const route_hop_t *hop)
{
	const oracle_endpoint_t *endpoint = find(fuzz, hop->endpoint);

	CHECK(endpoint != NULL);
	CHECK(!is_barred(endpoint, request));
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
		request.avoid[i] = pick(fuzz)->name;
	return request;
}

static void choose(fuzz_t *fuzz)
{
	const route_request_t request = make_request(fuzz);
	const route_result_t result = router_choose(fuzz->router, &request,
						    fuzz->now_ms, &fuzz->last);

	if (result == ROUTE_FOUND) {
		check_chain(fuzz, &request, &fuzz->last);
		for (size_t i = 0; i < fuzz->last.hop_count; i++) {
			find(fuzz, fuzz->last.hops[i].endpoint)->own++;
			router_started(fuzz->router,
				       fuzz->last.hops[i].endpoint);
		}
		return;
	}
	fuzz->last.hop_count = 0;
	CHECK(!is_covered(fuzz, &request, true));
	CHECK((result == ROUTE_FULL) == is_covered(fuzz, &request, false));
}

static void replace(fuzz_t *fuzz)
{
	const route_request_t request = make_request(fuzz);
	const uint8_t at = fuzz_byte(&fuzz->input);
	const route_hop_t *lost;
	route_hop_t hop;

	if (fuzz->last.hop_count == 0)
		return;
	lost = &fuzz->last.hops[at % fuzz->last.hop_count];
	if (router_replace(fuzz->router, &request, &fuzz->last,
			   at % fuzz->last.hop_count, fuzz->now_ms,
			   &hop) == ROUTE_FOUND) {
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
		      !is_open(fuzz, endpoint, &request));
	}
}

static void finish(fuzz_t *fuzz)
{
	oracle_endpoint_t *endpoint = pick(fuzz);

	if (endpoint->own == 0)
		return;
	endpoint->own--;
	router_finished(fuzz->router, endpoint->name);
}

static void pass_time(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);

	if (choice < 200) {
		fuzz->now_ms += choice * 10;
		return;
	}
	fuzz->now_ms += REPORT_FORGOTTEN_MS;
	for (uint32_t i = 0; i < ENDPOINTS; i++)
		fuzz->endpoints[i].reported = 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const steps[])(fuzz_t * fuzz) = {
		join,	join,	 join,	 join,	 vanish,    leave,
		fail,	report,	 choose, choose, link_time, choose,
		choose, replace, finish, finish, finish,    pass_time,
	};
	fuzz_t fuzz = { .input = { data, size }, .now_ms = 1000 };

	for (uint32_t i = 0; i < ENDPOINTS; i++)
		g_snprintf(fuzz.endpoints[i].name, NAMES_MAX, "e%u", i);
	fuzz.router = router_new("r0", "d0", fuzz_byte(&fuzz.input));
	while (fuzz.input.size > 0)
		steps[fuzz_byte(&fuzz.input) %
		      (sizeof(steps) / sizeof(steps[0]))](&fuzz);
	router_free(fuzz.router);
	return 0;
}
