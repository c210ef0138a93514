/*
 * What the router believes of one endpoint: its load, its speed, and whether
 * it may be chosen.
 */
#include "wisteria/route/candidate.h"

#include <math.h>

#include <glib.h>

#define STEP_SMOOTHING 0.2
/* A report of other entries' sessions fades with this time constant. */
#define REPORT_FADE_MS 5000.0
#define PAUSE_FIRST_MS 500
#define PAUSE_LONGEST_MS 30000
/* A pause grows only if the last one ended less than this long ago. */
#define PAUSE_FORGET_MS 60000

/*
 * Takes over what the directory says of an endpoint.  A new incarnation
 * starts with a clean record, except for the sessions that this router has
 * started and not yet finished.
 */
void candidate_announced(candidate_t *candidate, const msg_endpoint_t *endpoint)
{
	if (candidate->incarnation != endpoint->incarnation) {
		candidate->others = 0;
		candidate->step_ms = 0;
		candidate->pause_ms = 0;
		candidate->paused_until_ms = 0;
	}
	g_strlcpy(candidate->name, endpoint->name, ROUTER_NAME_BYTES);
	g_strlcpy(candidate->instance, endpoint->instance, ROUTER_NAME_BYTES);
	g_strlcpy(candidate->address, endpoint->address, ROUTER_NAME_BYTES);
	g_strlcpy(candidate->target, endpoint->target, ROUTER_NAME_BYTES);
	candidate->incarnation = endpoint->incarnation;
	candidate->first_layer = endpoint->first_layer;
	candidate->end_layer = endpoint->end_layer;
	candidate->slots = MAX(endpoint->slots, 1);
	candidate->listed = true;
	candidate->leaving = false;
}

/* Takes in a load report, as it came with an answer of the endpoint. */
void candidate_reported(candidate_t *candidate, const msg_load_t *load,
			clock_ms_t now)
{
	const uint64_t sessions = (uint64_t)load->in_flight + load->queued;

	candidate->others = sessions > candidate->own
				    ? (uint32_t)(sessions - candidate->own)
				    : 0;
	candidate->reported_ms = now;
	if (load->slots > 0)
		candidate->slots = load->slots;
	if (!(load->step_ms > 0) || !isfinite(load->step_ms))
		return;
	if (candidate->step_ms == 0)
		candidate->step_ms = load->step_ms;
	else
		candidate->step_ms +=
			STEP_SMOOTHING * (load->step_ms - candidate->step_ms);
}

/*
 * Keeps the endpoint out for a pause, which doubles with every failure that
 * follows soon after the last pause.  A failure within a pause, of a session
 * that was begun before it, only keeps it from ending early.
 */
void candidate_failed(candidate_t *candidate, clock_ms_t now)
{
	if (now < candidate->paused_until_ms) {
		candidate->paused_until_ms =
			MAX(candidate->paused_until_ms, now + PAUSE_FIRST_MS);
		return;
	}
	if (candidate->pause_ms == 0 ||
	    now - candidate->paused_until_ms > PAUSE_FORGET_MS)
		candidate->pause_ms = PAUSE_FIRST_MS;
	else
		candidate->pause_ms =
			MIN(2 * candidate->pause_ms, PAUSE_LONGEST_MS);
	candidate->paused_until_ms = now + candidate->pause_ms;
}

/* Returns the expected number of sessions of other entries. */
static double others_now(const candidate_t *candidate, clock_ms_t now)
{
	const double age_ms = (double)(now - candidate->reported_ms);

	if (candidate->others == 0)
		return 0;
	return candidate->others * exp(-fmax(age_ms, 0) / REPORT_FADE_MS);
}

/* Returns whether the endpoint may be given a session at "now". */
candidate_state_t candidate_state(const candidate_t *candidate, clock_ms_t now)
{
	if (!candidate->listed || candidate->leaving)
		return CANDIDATE_CLOSED;
	if (now < candidate->paused_until_ms)
		return CANDIDATE_PAUSED;
	if (candidate->own + others_now(candidate, now) >= candidate->slots)
		return CANDIDATE_FULL;
	return CANDIDATE_FREE;
}

/*
 * Returns the expected time of one step for one session more, in
 * milliseconds.  "step_ms" stands in for the step time of an endpoint that
 * has not reported any.
 */
double candidate_wait_ms(const candidate_t *candidate, double step_ms,
			 clock_ms_t now)
{
	const double busy = candidate->own + others_now(candidate, now);

	if (candidate->step_ms > 0)
		step_ms = candidate->step_ms;
	return step_ms * (1 + busy / candidate->slots);
}
