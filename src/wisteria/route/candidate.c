/*
 * The router's record of one endpoint: its load, its step time, and whether
 * it can be chosen.
 */
#include "wisteria/route/candidate.h"

#include <math.h>

#include <glib.h>

/* Weight of a new report in the smoothed step time. */
#define STEP_SMOOTHING_FACTOR 0.2
/* Time constant of the decay of other entries' reported sessions. */
#define REPORT_DECAY_MS 5000.0
#define PAUSE_MIN_MS 500
#define PAUSE_MAX_MS 30000
/* A failure this long after the end of a pause starts at PAUSE_MIN_MS again. */
#define PAUSE_RESET_MS 60000

/*
 * Copies an endpoint's directory record.  A new incarnation resets the load,
 * the step time and the pause, but not the count of sessions that this router
 * has started and not yet finished.
 */
void candidate_update(candidate_t *candidate, const msg_endpoint_t *endpoint)
{
	if (candidate->incarnation != endpoint->incarnation) {
		candidate->other_sessions = 0;
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

/*
 * Records a load report that the endpoint sent with a reply.  A step time that
 * is not positive and finite, and a slot count of 0, are ignored.
 */
void candidate_record_load(candidate_t *candidate, const msg_load_t *load,
			   clock_ms_t now)
{
	const uint64_t sessions = (uint64_t)load->in_flight + load->queued;

	candidate->other_sessions =
		sessions > candidate->own_sessions
			? (uint32_t)(sessions - candidate->own_sessions)
			: 0;
	candidate->reported_ms = now;
	if (load->slots > 0)
		candidate->slots = load->slots;
	if (!(load->step_ms > 0) || !isfinite(load->step_ms))
		return;
	if (candidate->step_ms == 0)
		candidate->step_ms = load->step_ms;
	else
		candidate->step_ms += STEP_SMOOTHING_FACTOR *
				      (load->step_ms - candidate->step_ms);
}

/*
 * Excludes the endpoint for a pause, which doubles with every failure
 * within PAUSE_RESET_MS of the end of the last pause.  A failure during a
 * pause comes from a session that started before it: it doesn't double the
 * pause, but extends it to at least PAUSE_MIN_MS from now.
 */
void candidate_record_failure(candidate_t *candidate, clock_ms_t now)
{
	if (now < candidate->paused_until_ms) {
		candidate->paused_until_ms =
			MAX(candidate->paused_until_ms, now + PAUSE_MIN_MS);
		return;
	}
	if (candidate->pause_ms == 0 ||
	    now - candidate->paused_until_ms > PAUSE_RESET_MS)
		candidate->pause_ms = PAUSE_MIN_MS;
	else
		candidate->pause_ms =
			MIN(2 * candidate->pause_ms, PAUSE_MAX_MS);
	candidate->paused_until_ms = now + candidate->pause_ms;
}

/* Returns the last reported sessions of other entries, decayed by age. */
static double expected_other_sessions(const candidate_t *candidate,
				      clock_ms_t now)
{
	const double age_ms = (double)(now - candidate->reported_ms);

	if (candidate->other_sessions == 0)
		return 0;
	return candidate->other_sessions *
	       exp(-fmax(age_ms, 0) / REPORT_DECAY_MS);
}

/* Returns whether the endpoint can accept a new session, or why it can't. */
candidate_state_t candidate_state(const candidate_t *candidate, clock_ms_t now)
{
	if (!candidate->listed || candidate->leaving)
		return CANDIDATE_WITHDRAWN;
	if (now < candidate->paused_until_ms)
		return CANDIDATE_PAUSED;
	if (candidate->own_sessions + expected_other_sessions(candidate, now) >=
	    candidate->slots)
		return CANDIDATE_FULL;
	return CANDIDATE_FREE;
}

/*
 * Returns the expected time of one step of an additional session, in
 * milliseconds.  "step_ms" is used for an endpoint that has not reported a
 * step time.
 */
double candidate_expected_step_ms(const candidate_t *candidate, double step_ms,
				  clock_ms_t now)
{
	const double expected_sessions =
		candidate->own_sessions +
		expected_other_sessions(candidate, now);

	if (candidate->step_ms > 0)
		step_ms = candidate->step_ms;
	return step_ms * (1 + expected_sessions / candidate->slots);
}
