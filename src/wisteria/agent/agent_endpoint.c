/* The endpoints of an agent: admission of new work, and load. */
#include "wisteria/agent/agent_endpoint.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/control/view.h"

/* Returns the endpoint named "name", or NULL. */
agent_endpoint_t *agent_endpoint_find(const agent_t *agent, const char *name)
{
	for (size_t i = 0; i < agent->endpoint_count; i++)
		if (strcmp(agent->endpoints[i].settings->name, name) == 0)
			return &agent->endpoints[i];
	return NULL;
}

static refusal_t check_view(const agent_t *agent, const view_t *view,
			    const char *endpoint, uint64_t revision)
{
	if (view == NULL || view->revision == 0 ||
	    clock_now(agent->net->clock) >= view->lease_until_ms)
		return REFUSAL_NO_LEASE;
	if (view_is_leaving(view, endpoint))
		return REFUSAL_LEAVING;
	if (revision < view->revision)
		return REFUSAL_OLD_REVISION;
	return REFUSAL_NONE;
}

/*
 * Returns REFUSAL_NONE if the endpoint may take new work that was routed under
 * "revision", otherwise the reason for the refusal.
 */
refusal_t agent_endpoint_check_admission(agent_t *agent,
					 const agent_endpoint_t *endpoint,
					 uint64_t revision)
{
	refusal_t refusal;

	if (agent->draining)
		return REFUSAL_LEAVING;
	refusal = check_view(agent, view_enter(&agent->reader),
			     endpoint->settings->name, revision);
	view_exit(&agent->reader);
	if (refusal != REFUSAL_NONE)
		return refusal;
	if (endpoint->in_flight >= endpoint->settings->slots)
		return REFUSAL_BUSY;
	return REFUSAL_NONE;
}

/* Returns the endpoint's load; the name in it points into the settings. */
msg_load_t agent_endpoint_load(const agent_endpoint_t *endpoint)
{
	const engine_ops_t *engine = endpoint->engine;

	return (msg_load_t){
		.endpoint = endpoint->settings->name,
		.in_flight = endpoint->in_flight,
		.slots = endpoint->settings->slots,
		.step_ms = engine == NULL ? 0 : engine->step_ms(engine),
	};
}
