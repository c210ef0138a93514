/*
 * Estimates how long the engines of a pipeline take for a request, from the
 * figures that the configuration states of them.  An engine works in passes: one
 * pass runs "stride" decode steps of all its sequences and prefills one chunk of
 * a prompt, so that what limits it under load is the rate of prefill, while the
 * pause between events grows little.  No clock, no I/O.
 */
#include "wisteria/fleet/pipeline_time.h"

#include <math.h>

#include <glib.h>

/* A request reaches an engine in the middle of a pass, on average. */
#define PASSES_PER_HOP 1.5

/* Returns whether the configuration states what the estimates need. */
bool pipeline_time_is_known(const engine_model_t *engine)
{
	return engine->layers > 0 && engine->step_ms > 0 &&
	       engine->stride > 0 && engine->chunk_tokens > 0 &&
	       engine->prefill_tokens_per_s > 0;
}

/*
 * Returns the time of a pass over "layers" layers that prefills a whole chunk,
 * in ms.
 */
double pipeline_time_pass_ms(const engine_model_t *engine,
			     const accelerator_t *accelerator, uint32_t layers,
			     const engine_load_t *load)
{
	double step_ms =
		(engine->step_ms + engine->per_sequence_ms * load->sequences +
		 engine->context_per_k_ms * load->context_tokens / 1000) *
		accelerator->pace;
	double prefill_ms = engine->chunk_tokens * 1000 /
			    engine->prefill_tokens_per_s *
			    accelerator->prefill_factor;

	return (engine->stride * step_ms + prefill_ms) * layers /
	       engine->layers * MAX(load->slowdown, 1);
}

/* Returns how many prompt tokens an engine reads in a ms, at most. */
double pipeline_time_prefill_rate(const engine_model_t *engine, double pass_ms)
{
	return pass_ms > 0 ? engine->chunk_tokens / pass_ms : 0;
}

/*
 * Returns the expected times of a request.  The chunks of its prompt follow each
 * other through the hops, so all but the first cost only a pass of the slowest.
 */
pipeline_time_t pipeline_time_estimate(const engine_model_t *engine,
				       const hop_time_t *hops, uint32_t count,
				       double prompt_tokens)
{
	pipeline_time_t time = { 0 };
	double chunks = ceil(prompt_tokens / engine->chunk_tokens);
	double slowest_ms = 0;

	for (uint32_t i = 0; i < count; i++) {
		double hop_ms = hops[i].pass_ms * PASSES_PER_HOP;

		time.first_event_ms += hop_ms + hops[i].backlog_ms;
		time.pause_ms += hop_ms;
		slowest_ms = MAX(slowest_ms, hops[i].pass_ms);
	}
	time.first_event_ms += MAX(chunks - 1, 0) * slowest_ms;
	return time;
}
