/* The JSON response bodies of the HTTP interface for operators. */
#include "wisteria/admin/admin_render.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "wisteria/base/err.h"
#include "wisteria/store/store.h"
#include "wisteria/store/store_engine.h"

static const char *const kind_names[ORDER_KIND_COUNT] = {
	[ORDER_PRESET_CREATE] = "preset_create",
	[ORDER_PRESET_USE] = "preset_use",
	[ORDER_ENDPOINT_LEAVE] = "endpoint_leave",
	[ORDER_ENDPOINT_RETURN] = "endpoint_return",
	[ORDER_ENGINE] = "engine",
	[ORDER_MEMBER_ADD] = "member_add",
	[ORDER_MEMBER_PROMOTE] = "member_promote",
	[ORDER_MEMBER_REMOVE] = "member_remove",
	[ORDER_PRESET_DELETE] = "preset_delete",
	[ORDER_ENGINE_CLAIM] = "engine_claim",
	[ORDER_ENGINE_RESULT] = "engine_result",
};

static const char *const outcome_names[] = {
	[ORDER_APPLIED] = "applied",
	[ORDER_REFUSED] = "refused",
	[ORDER_CONFLICT] = "conflict",
	[ORDER_UNKNOWN] = "unknown",
};

/* Returns the name of an order_outcome_t that is used in responses. */
const char *admin_outcome_name(uint32_t outcome)
{
	return outcome < ARRAY_SIZE(outcome_names) ? outcome_names[outcome]
						   : "unknown";
}

static void set_text(json_t *object, const char *key, const char *text)
{
	json_t *value = json_string(text == NULL ? "" : text);

	if (value == NULL)
		value = json_string("(not UTF-8)");
	json_object_set_new(object, key, value);
}

static void set_number(json_t *object, const char *key, uint64_t value)
{
	json_object_set_new(object, key, json_integer((json_int_t)value));
}

static void set_bool(json_t *object, const char *key, bool value)
{
	json_object_set_new(object, key, json_boolean(value));
}

static char *dump(json_t *object)
{
	char *text = json_dumps(object, JSON_INDENT(2));

	json_decref(object);
	return text;
}

static json_t *describe_order(const msg_order_t *order)
{
	json_t *object = json_object();

	set_text(object, "id", order->id);
	set_text(object, "kind",
		 order->kind < ORDER_KIND_COUNT ? kind_names[order->kind]
						: "unknown");
	set_text(object, "name", order->name);
	if (order->text != NULL && order->text[0] != '\0')
		set_text(object, "text", order->text);
	set_text(object, "operator", order->operator_name);
	set_number(object, "wall_ms", (uint64_t)order->wall_ms);
	return object;
}

static json_t *describe_reply(const msg_order_reply_t *reply)
{
	json_t *object = json_object();

	set_text(object, "id", reply->id);
	set_text(object, "outcome", admin_outcome_name(reply->outcome));
	if (reply->outcome != ORDER_UNKNOWN)
		set_number(object, "revision", reply->revision);
	set_text(object, "reason", reply->reason);
	if (reply->outcome == ORDER_CONFLICT)
		json_object_set_new(object, "winner",
				    describe_order(&reply->winner));
	if (reply->outcome == ORDER_UNKNOWN)
		set_text(object, "ask_again",
			 "send the same order with the same id; it applies at "
			 "most once");
	return object;
}

/* Returns the response body for an order; the caller frees it with free(). */
char *admin_render_order(const msg_order_reply_t *reply)
{
	return dump(describe_reply(reply));
}

/* Returns the response body for an error; the caller frees it with free(). */
char *admin_render_err(const err_t *err)
{
	json_t *object = json_object();

	set_text(object, "code", err_code_name(err->code));
	set_text(object, "step", err->step);
	set_text(object, "peer", err->peer);
	set_text(object, "reason", err->text);
	return dump(object);
}

static json_t *describe_members(const admin_state_t *state)
{
	json_t *list = json_array();

	for (size_t i = 0; i < state->member_count; i++) {
		json_t *member = json_object();

		set_text(member, "instance", state->members[i].instance);
		set_text(member, "role", state->members[i].role);
		set_bool(member, "voter", state->members[i].is_voter);
		json_array_append_new(list, member);
	}
	return list;
}

static json_t *render_status(const admin_job_t *job, const admin_state_t *state)
{
	json_t *object = json_object();
	msg_config_t config;

	(void)job;
	store_config(state->store, &config);
	set_text(object, "instance", state->instance);
	set_text(object, "role", state->role);
	set_text(object, "leader", state->leader);
	set_number(object, "term", state->term);
	set_number(object, "commit_index", state->commit_index);
	set_bool(object, "confirmed", state->is_confirmed);
	set_number(object, "revision", config.revision);
	set_text(object, "preset", config.preset);
	set_number(object, "endpoints", state->endpoint_count);
	set_number(object, "leaving", config.leaving_count);
	json_object_set_new(object, "members", describe_members(state));
	return object;
}

static json_t *describe_preset(const store_t *store, const msg_preset_t *preset)
{
	json_t *object = json_object();
	msg_config_t config;

	store_config(store, &config);
	set_text(object, "name", preset->name);
	set_number(object, "revision", preset->revision);
	set_bool(object, "in_force", strcmp(config.preset, preset->name) == 0);
	return object;
}

static json_t *render_presets(const admin_job_t *job,
			      const admin_state_t *state)
{
	json_t *object = json_object();
	json_t *list = json_array();
	size_t count;
	const msg_preset_t *presets = store_list_presets(state->store, &count);

	(void)job;
	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			list, describe_preset(state->store, &presets[i]));
	set_number(object, "revision", state->store->revision);
	json_object_set_new(object, "presets", list);
	return object;
}

static json_t *render_preset(const admin_job_t *job, const admin_state_t *state)
{
	const msg_preset_t *preset = store_find_preset(state->store, job->name);
	json_t *object;

	if (preset == NULL)
		return NULL;
	object = describe_preset(state->store, preset);
	set_text(object, "text", preset->text);
	return object;
}

static bool is_leaving(const msg_config_t *config, const char *endpoint)
{
	for (size_t i = 0; i < config->leaving_count; i++)
		if (strcmp(config->leaving[i].text, endpoint) == 0)
			return true;
	return false;
}

/*
 * Sets "may_stop" only if the endpoint is leaving and its agent reported that
 * nothing runs on it: without a report, sessions or calls may still run.
 */
static json_t *describe_endpoint(const admin_endpoint_t *announced,
				 const msg_config_t *config)
{
	const msg_endpoint_t *endpoint = announced->endpoint;
	bool leaving = is_leaving(config, endpoint->name);
	json_t *object = json_object();

	set_text(object, "name", endpoint->name);
	set_text(object, "kind",
		 endpoint->kind == ENDPOINT_MODEL ? "model" : "service");
	set_text(object, "target", endpoint->target);
	if (endpoint->kind == ENDPOINT_MODEL) {
		set_number(object, "first_layer", endpoint->first_layer);
		set_number(object, "end_layer", endpoint->end_layer);
	}
	set_text(object, "accelerator", endpoint->accelerator);
	set_text(object, "instance", endpoint->instance);
	set_text(object, "failure_domain", endpoint->failure_domain);
	set_text(object, "region", endpoint->region);
	set_number(object, "slots", endpoint->slots);
	if (announced->has_running)
		set_number(object, "running", announced->running);
	set_bool(object, "leaving", leaving);
	set_bool(object, "may_stop",
		 leaving && announced->has_running && announced->running == 0);
	return object;
}

static bool is_announced(const admin_state_t *state, const char *name)
{
	for (size_t i = 0; i < state->endpoint_count; i++)
		if (strcmp(state->endpoints[i].endpoint->name, name) == 0)
			return true;
	return false;
}

static json_t *render_endpoints(const admin_job_t *job,
				const admin_state_t *state)
{
	json_t *object = json_object();
	json_t *list = json_array();
	json_t *absent = json_array();
	msg_config_t config;

	(void)job;
	store_config(state->store, &config);
	for (size_t i = 0; i < state->endpoint_count; i++)
		json_array_append_new(
			list, describe_endpoint(&state->endpoints[i], &config));
	for (size_t i = 0; i < config.leaving_count; i++)
		if (!is_announced(state, config.leaving[i].text))
			json_array_append_new(
				absent, json_string(config.leaving[i].text));
	set_number(object, "revision", config.revision);
	json_object_set_new(object, "endpoints", list);
	json_object_set_new(object, "leaving_not_announced", absent);
	return object;
}

static json_t *render_history(const admin_job_t *job,
			      const admin_state_t *state)
{
	const store_change_t **changes =
		g_new0(const store_change_t *, ADMIN_HISTORY_MAX);
	size_t count = store_history(state->store, job->after_revision, changes,
				     ADMIN_HISTORY_MAX);
	json_t *object = json_object();
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++) {
		json_t *change = describe_order(&changes[i]->order);

		set_number(change, "revision", changes[i]->revision);
		json_array_append_new(list, change);
	}
	g_free(changes);
	set_number(object, "revision", state->store->revision);
	json_object_set_new(object, "changes", list);
	return object;
}

typedef json_t *(*renderer_t)(const admin_job_t *job,
			      const admin_state_t *state);

static const renderer_t renderers[] = {
	[ADMIN_STATUS] = render_status,	      [ADMIN_PRESETS] = render_presets,
	[ADMIN_PRESET] = render_preset,	      [ADMIN_HISTORY] = render_history,
	[ADMIN_ENDPOINTS] = render_endpoints,
};

static const char *const engine_state_names[] = {
	[ENGINE_ORDER_PENDING] = "pending", [ENGINE_ORDER_CLAIMED] = "given",
	[ENGINE_ORDER_DONE] = "done",	    [ENGINE_ORDER_REFUSED] = "refused",
	[ENGINE_ORDER_UNKNOWN] = "unknown",
};

/* Adds the state of an order at its engine, if it is an engine order. */
static void add_engine_order(json_t *object, const store_t *store,
			     const char *id)
{
	const msg_engine_order_t *order = store_engine_find(store, id);

	if (order == NULL)
		return;
	set_text(object, "engine", engine_state_names[order->state]);
	set_number(object, "fence", order->fence);
}

static char *render_found_order(const admin_job_t *job,
				const admin_state_t *state,
				unsigned *http_status)
{
	msg_order_reply_t reply;
	err_t err = ERR_INIT;

	if (store_find_order_reply(state->store, job->name, &reply)) {
		json_t *object = describe_reply(&reply);

		add_engine_order(object, state->store, job->name);
		return dump(object);
	}
	*http_status = 404;
	err_set(&err, ERR_NOT_FOUND, "find_order", state->instance,
		"no order with id %s is remembered", job->name);
	return admin_render_err(&err);
}

/*
 * Returns the response body for a query of the state, which the caller frees
 * with free(), and sets "http_status".
 */
char *admin_render_state(const admin_job_t *job, const admin_state_t *state,
			 unsigned *http_status)
{
	err_t err = ERR_INIT;
	json_t *object;

	*http_status = 200;
	if (job->kind == ADMIN_FIND_ORDER)
		return render_found_order(job, state, http_status);
	object = renderers[job->kind](job, state);
	if (object != NULL)
		return dump(object);
	*http_status = 404;
	err_set(&err, ERR_NOT_FOUND, "find_preset", state->instance,
		"there is no preset %s", job->name);
	return admin_render_err(&err);
}
