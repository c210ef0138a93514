/* Turns the method, path and body of a request into a job. */
#include "wisteria/admin/admin_route.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "wisteria/base/err.h"

/*
 * A route.  If "has_name" is set, it matches paths that consist of "prefix", a
 * name of one path segment, and "suffix"; otherwise only the path "prefix".
 */
typedef struct {
	const char *method;
	const char *prefix;
	const char *suffix;
	bool has_name;
	admin_kind_t kind;
	order_kind_t order_kind;
} admin_route_t;

static const admin_route_t routes[] = {
	{ "GET", "/v1/status", "", false, ADMIN_STATUS, 0 },
	{ "GET", "/v1/presets", "", false, ADMIN_PRESETS, 0 },
	{ "POST", "/v1/presets", "", false, ADMIN_ORDER, ORDER_PRESET_CREATE },
	{ "PUT", "/v1/presets/in-force", "", false, ADMIN_ORDER,
	  ORDER_PRESET_USE },
	{ "GET", "/v1/presets/", "", true, ADMIN_PRESET, 0 },
	{ "POST", "/v1/presets/", "/delete", true, ADMIN_ORDER,
	  ORDER_PRESET_DELETE },
	{ "GET", "/v1/endpoints", "", false, ADMIN_ENDPOINTS, 0 },
	{ "POST", "/v1/endpoints/", "/leave", true, ADMIN_ORDER,
	  ORDER_ENDPOINT_LEAVE },
	{ "POST", "/v1/endpoints/", "/return", true, ADMIN_ORDER,
	  ORDER_ENDPOINT_RETURN },
	{ "POST", "/v1/endpoints/", "/engine", true, ADMIN_ORDER,
	  ORDER_ENGINE },
	{ "GET", "/v1/config/history", "", false, ADMIN_HISTORY, 0 },
	{ "GET", "/v1/orders/", "", true, ADMIN_FIND_ORDER, 0 },
};

static bool path_matches(const admin_route_t *route, const char *path)
{
	size_t prefix_len = strlen(route->prefix);
	size_t suffix_len = strlen(route->suffix);
	size_t len = strlen(path);

	if (!route->has_name)
		return strcmp(path, route->prefix) == 0;
	if (len <= prefix_len + suffix_len ||
	    strncmp(path, route->prefix, prefix_len) != 0 ||
	    strcmp(path + len - suffix_len, route->suffix) != 0)
		return false;
	return memchr(path + prefix_len, '/', len - prefix_len - suffix_len) ==
	       NULL;
}

static void fill_job(admin_job_t *job, const admin_route_t *route,
		     const char *path)
{
	size_t prefix_len = strlen(route->prefix);

	job->kind = route->kind;
	job->order.kind = route->order_kind;
	if (route->has_name)
		job->name = g_strndup(path + prefix_len,
				      strlen(path) - prefix_len -
					      strlen(route->suffix));
}

/* Looks up the route for "method" and "path" and fills in the job. */
admin_route_result_t admin_route(admin_job_t *job, const char *method,
				 const char *path)
{
	admin_route_result_t result = ADMIN_ROUTE_UNKNOWN_PATH;

	for (size_t i = 0; i < ARRAY_SIZE(routes); i++) {
		if (!path_matches(&routes[i], path))
			continue;
		if (strcmp(routes[i].method, method) == 0) {
			fill_job(job, &routes[i], path);
			return ADMIN_ROUTE_FOUND;
		}
		result = ADMIN_ROUTE_UNKNOWN_METHOD;
	}
	return result;
}

static bool fail(err_t *err, const char *key, const char *reason)
{
	err_set(err, ERR_INVALID, "read_order", "", "%s: %s", key, reason);
	return false;
}

static bool read_text(const json_t *value, const char *key, const char **text,
		      err_t *err)
{
	if (!json_is_string(value))
		return fail(err, key, "expected a string");
	g_free((char *)*text);
	*text = g_strdup(json_string_value(value));
	return true;
}

static bool read_expected_revision(const json_t *value, msg_order_t *order,
				   err_t *err)
{
	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return fail(err, "expected_revision",
			    "expected an integer from 0");
	order->has_expected = true;
	order->expected_revision = (uint64_t)json_integer_value(value);
	return true;
}

static bool read_key(msg_order_t *order, const char *key, const json_t *value,
		     bool name_in_path, err_t *err)
{
	if (strcmp(key, "id") == 0)
		return read_text(value, key, &order->id, err);
	if (strcmp(key, "name") == 0 && !name_in_path)
		return read_text(value, key, &order->name, err);
	if (strcmp(key, "text") == 0)
		return read_text(value, key, &order->text, err);
	if (strcmp(key, "operator") == 0)
		return read_text(value, key, &order->operator_name, err);
	if (strcmp(key, "expected_revision") == 0)
		return read_expected_revision(value, order, err);
	return fail(err, key, "unknown key");
}

static bool read_keys(admin_job_t *job, json_t *object, err_t *err)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		if (!read_key(&job->order, key, value, job->name != NULL, err))
			return false;
	}
	if (job->order.id == NULL || job->order.id[0] == '\0')
		return fail(err, "id",
			    "an order needs an id chosen by its sender");
	if (job->name != NULL)
		job->order.name = g_strdup(job->name);
	return true;
}

/*
 * Reads the JSON body of an order into the job: "id", which is required, and
 * "name", "text", "operator" and "expected_revision".
 */
bool admin_read_order(admin_job_t *job, const char *body, size_t len,
		      err_t *err)
{
	json_error_t parse_error;
	json_t *object =
		json_loadb(body, len, JSON_REJECT_DUPLICATES, &parse_error);
	bool ok;

	if (object == NULL) {
		err_set(err, ERR_INVALID, "read_order", "",
			"not JSON: line %d: %s", parse_error.line,
			parse_error.text);
		return false;
	}
	ok = json_is_object(object) ? read_keys(job, object, err)
				    : fail(err, "body", "expected an object");
	json_decref(object);
	return ok;
}

/* Frees the memory that the job owns, but not the job itself. */
void admin_job_finish(admin_job_t *job)
{
	g_free((char *)job->order.id);
	g_free((char *)job->order.name);
	g_free((char *)job->order.text);
	g_free((char *)job->order.operator_name);
	g_free(job->name);
	free(job->body);
}
