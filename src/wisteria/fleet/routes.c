/*
 * Route table: finds the service of a request by host and longest path prefix,
 * and the customer of an API key.
 */
#include "wisteria/fleet/routes.h"

#include <string.h>
#include <strings.h>

#include "wisteria/base/err.h"

static void free_target(gpointer data)
{
	g_free(((route_target_t *)data)->service);
}

static void free_route(gpointer data)
{
	route_t *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->targets);
	g_free(route);
}

static void free_service(gpointer data)
{
	service_t *service = data;

	g_free(service->name);
	g_array_unref(service->engine.accelerators);
	g_free(service);
}

static void free_customer(gpointer data)
{
	g_free(((customer_config_t *)data)->name);
	g_free(data);
}

/*
 * Returns an empty table with one reference; the caller fills it and then calls
 * route_table_seal().
 */
route_table_t *route_table_new(uint64_t revision)
{
	route_table_t *table = g_new0(route_table_t, 1);

	table->references = 1;
	table->revision = revision;
	table->routes = g_ptr_array_new_with_free_func(free_route);
	table->services = g_ptr_array_new_with_free_func(free_service);
	table->customers = g_ptr_array_new_with_free_func(free_customer);
	table->customer_priorities = g_array_new(FALSE, FALSE, sizeof(int32_t));
	table->route_priorities = g_array_new(FALSE, FALSE, sizeof(int32_t));
	table->customers_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return table;
}

/* Takes a reference to a table and returns the table. */
route_table_t *route_table_ref(route_table_t *table)
{
	table->references++;
	return table;
}

/* Drops a reference to a table, which may be NULL; the last one frees it. */
void route_table_unref(route_table_t *table)
{
	if (table == NULL || --table->references > 0)
		return;
	g_ptr_array_unref(table->routes);
	g_ptr_array_unref(table->services);
	g_hash_table_destroy(table->customers_by_key);
	g_ptr_array_unref(table->customers);
	g_array_unref(table->customer_priorities);
	g_array_unref(table->route_priorities);
	g_free(table);
}

/* Adds an empty route and returns it; the table owns it. */
route_t *route_table_add_route(route_table_t *table)
{
	route_t *route = g_new0(route_t, 1);

	route->targets = g_array_new(FALSE, FALSE, sizeof(route_target_t));
	g_array_set_clear_func(route->targets, free_target);
	g_ptr_array_add(table->routes, route);
	return route;
}

/* Adds a service without an engine and returns it; the table owns it. */
service_t *route_table_add_service(route_table_t *table, const char *name)
{
	service_t *service = g_new0(service_t, 1);

	service->name = g_strdup(name);
	service->engine.accelerators =
		g_array_new(FALSE, FALSE, sizeof(accelerator_t));
	g_ptr_array_add(table->services, service);
	return service;
}

/* Adds a customer without API keys and returns it; the table owns it. */
customer_config_t *route_table_add_customer(route_table_t *table,
					    const char *name)
{
	customer_config_t *customer = g_new0(customer_config_t, 1);

	customer->name = g_strdup(name);
	customer->priority = -1;
	g_ptr_array_add(table->customers, customer);
	return customer;
}

/*
 * Makes routes that do not allow anonymous callers require an API key.  To be
 * called for a configuration with a list of customers, also for an empty one:
 * nobody has a valid key then.
 */
void route_table_require_keys(route_table_t *table)
{
	table->requires_key = true;
}

/*
 * Adds an API key of "customer".  Returns false with "err" set if another
 * customer has the same key.
 */
bool route_table_add_key(route_table_t *table, const char *key,
			 customer_config_t *customer, err_t *err)
{
	const customer_config_t *owner =
		g_hash_table_lookup(table->customers_by_key, key);

	if (owner != NULL && owner != customer) {
		err_set(err, ERR_INVALID, "configuration", customer->name,
			"shares an API key with customer %s", owner->name);
		return false;
	}
	g_hash_table_insert(table->customers_by_key, g_strdup(key), customer);
	return true;
}

/* Makes "service" a target of a route, with a share of "weight". */
void route_add_target(route_t *route, const char *service, uint32_t weight)
{
	route_target_t target = { .service = g_strdup(service),
				  .weight = weight };

	g_array_append_val(route->targets, target);
	route->weight_sum += weight;
}

static int compare_routes(gconstpointer a, gconstpointer b)
{
	const route_t *left = *(const route_t *const *)a;
	const route_t *right = *(const route_t *const *)b;

	if (left->prefix_len != right->prefix_len)
		return left->prefix_len > right->prefix_len ? -1 : 1;
	return strcmp(left->prefix, right->prefix);
}

static bool check_route(const route_table_t *table, const route_t *route,
			err_t *err)
{
	if (route->host == NULL || route->host[0] == '\0' ||
	    route->prefix == NULL || route->prefix[0] != '/' ||
	    route->prefix[route->prefix_len - 1] != '/') {
		err_set(err, ERR_INVALID, "configuration", route->name,
			"the prefix must begin and end with a slash");
		return false;
	}
	if (route->timeout_ms <= 0) {
		err_set(err, ERR_INVALID, "configuration", route->name,
			"the timeout must be positive");
		return false;
	}
	if (route->weight_sum == 0) {
		err_set(err, ERR_INVALID, "configuration", route->name,
			"the weights add up to 0");
		return false;
	}
	for (guint i = 0; i < route->targets->len; i++) {
		const char *service =
			g_array_index(route->targets, route_target_t, i)
				.service;

		if (route_table_find_service(table, service) == NULL) {
			err_set(err, ERR_INVALID, "configuration", route->name,
				"unknown service %s", service);
			return false;
		}
	}
	return true;
}

static bool check_no_duplicate_routes(const route_table_t *table, err_t *err)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool ok = true;

	for (guint i = 0; ok && i < table->routes->len; i++) {
		const route_t *route = g_ptr_array_index(table->routes, i);
		char *host = g_ascii_strdown(route->host, -1);

		ok = g_hash_table_add(seen,
				      g_strconcat(host, route->prefix, NULL));
		if (!ok)
			err_set(err, ERR_INVALID, "configuration", route->name,
				"another route has host %s and prefix %s",
				route->host, route->prefix);
		g_free(host);
	}
	g_hash_table_destroy(seen);
	return ok;
}

static void add_priority(GArray *priorities, int32_t priority)
{
	guint i = 0;

	while (i < priorities->len &&
	       g_array_index(priorities, int32_t, i) < priority)
		i++;
	if (i == priorities->len ||
	    g_array_index(priorities, int32_t, i) != priority)
		g_array_insert_val(priorities, i, priority);
}

static bool leads_to_engine(const route_table_t *table, const route_t *route)
{
	for (guint i = 0; i < route->targets->len; i++) {
		const char *name =
			g_array_index(route->targets, route_target_t, i)
				.service;

		if (route_table_find_service(table, name)->has_engine)
			return true;
	}
	return false;
}

/*
 * Collects the priorities of customers and of the routes that lead to engines;
 * plain services do not order their requests.
 */
static void collect_priorities(route_table_t *table)
{
	for (guint i = 0; i < table->customers->len; i++) {
		const customer_config_t *customer =
			g_ptr_array_index(table->customers, i);

		if (customer->priority >= 0)
			add_priority(table->customer_priorities,
				     customer->priority);
	}
	for (guint i = 0; i < table->routes->len; i++) {
		const route_t *route = g_ptr_array_index(table->routes, i);

		if (leads_to_engine(table, route))
			add_priority(table->route_priorities,
				     (int32_t)route->priority);
	}
}

/* Returns whether a route leads to "service" and states a goal. */
static bool serves_with_goal(const route_t *route, const service_t *service)
{
	for (guint i = 0; route->goal_ms > 0 && i < route->targets->len; i++)
		if (strcmp(g_array_index(route->targets, route_target_t, i)
				   .service,
			   service->name) == 0)
			return true;
	return false;
}

/*
 * Marks the services with an engine for which requests of different priority
 * compete; the others are served in the order of arrival.
 */
static void mark_ranked_services(route_table_t *table)
{
	for (guint i = 0; i < table->services->len; i++) {
		service_t *service = g_ptr_array_index(table->services, i);
		const route_t *first = NULL;

		for (guint j = 0; service->has_engine && !service->has_ranks &&
				  j < table->routes->len;
		     j++) {
			const route_t *route =
				g_ptr_array_index(table->routes, j);

			if (!serves_with_goal(route, service))
				continue;
			if (first == NULL)
				first = route;
			service->has_ranks = route->priority != first->priority;
		}
	}
}

/*
 * Validates a filled table and sorts its routes for lookups.  Returns false
 * with "err" naming the invalid route.
 */
bool route_table_seal(route_table_t *table, err_t *err)
{
	for (guint i = 0; i < table->routes->len; i++)
		if (!check_route(table, g_ptr_array_index(table->routes, i),
				 err))
			return false;
	if (!check_no_duplicate_routes(table, err))
		return false;
	g_ptr_array_sort(table->routes, compare_routes);
	collect_priorities(table);
	mark_ranked_services(table);
	return true;
}

/* Returns the index of "priority" in "priorities", or of the last one. */
static guint priority_index(const GArray *priorities, int32_t priority)
{
	guint i = 0;

	while (i + 1 < priorities->len &&
	       g_array_index(priorities, int32_t, i) != priority)
		i++;
	return i;
}

/*
 * Returns the rank of a request, 0 to REQUEST_RANKS - 1, 0 is the most urgent:
 * by the priority of its customer and, among equals, by that of its route.
 * Requests without a customer, or whose customer has no priority, rank with
 * those of the least urgent customers.  Returns
 * REQUEST_RANK_NONE if the configuration gives all requests the same priority.
 */
int32_t route_table_rank(const route_table_t *table, const route_t *route,
			 const customer_config_t *customer)
{
	guint routes = table->route_priorities->len;
	guint ranks = MAX(table->customer_priorities->len, 1) * routes;
	guint rank = priority_index(table->route_priorities,
				    (int32_t)route->priority);

	if (ranks <= 1)
		return REQUEST_RANK_NONE;
	rank += routes *
		priority_index(table->customer_priorities,
			       customer == NULL ? -1 : customer->priority);
	if (ranks > REQUEST_RANKS)
		rank = rank * REQUEST_RANKS / ranks;
	return (int32_t)rank;
}

static bool host_matches(const char *route_host, const char *host)
{
	size_t len = strlen(route_host);

	return strncasecmp(route_host, host, len) == 0 &&
	       (host[len] == '\0' || host[len] == ':');
}

/* Returns the route of a request, or NULL.  "host" may include a port. */
const route_t *route_table_find_route(const route_table_t *table,
				      const char *host, const char *target)
{
	for (guint i = 0; i < table->routes->len; i++) {
		const route_t *route = g_ptr_array_index(table->routes, i);

		if (strncmp(target, route->prefix, route->prefix_len) == 0 &&
		    host_matches(route->host, host))
			return route;
	}
	return NULL;
}

/* Returns the customer with the API key "key", which may be NULL, or NULL. */
const customer_config_t *route_table_find_customer(const route_table_t *table,
						   const char *key)
{
	return key == NULL ? NULL
			   : g_hash_table_lookup(table->customers_by_key, key);
}

/* Returns whether "customer", NULL for an unknown caller, may use "route". */
bool route_table_allows(const route_table_t *table, const route_t *route,
			const customer_config_t *customer)
{
	return customer != NULL || route->allow_anonymous ||
	       !table->requires_key;
}

/* Returns the service named "name", or NULL. */
const service_t *route_table_find_service(const route_table_t *table,
					  const char *name)
{
	for (guint i = 0; i < table->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(table->services, i);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

/*
 * Returns the service of a route that the random number "draw" selects, each
 * with a probability proportional to its weight.
 */
const char *route_pick_service(const route_t *route, uint32_t draw)
{
	uint32_t remaining = draw % route->weight_sum;
	guint i = 0;

	for (; i + 1 < route->targets->len; i++) {
		uint32_t weight =
			g_array_index(route->targets, route_target_t, i).weight;

		if (remaining < weight)
			break;
		remaining -= weight;
	}
	return g_array_index(route->targets, route_target_t, i).service;
}

/* Returns the kind of accelerator named "name", or NULL. */
const accelerator_t *engine_find_accelerator(const engine_model_t *engine,
					     const char *name)
{
	for (guint i = 0; i < engine->accelerators->len; i++) {
		const accelerator_t *accelerator =
			&g_array_index(engine->accelerators, accelerator_t, i);

		if (strcmp(accelerator->name, name) == 0)
			return accelerator;
	}
	return NULL;
}

/*
 * Whether the model has the layers [first_layer, end_layer).  An endpoint that
 * reports others is not one of this model, and is not used.
 */
bool engine_has_layers(const engine_model_t *engine, uint32_t first_layer,
		       uint32_t end_layer)
{
	return first_layer <= end_layer && end_layer <= engine->layers;
}

/*
 * Returns how many tokens of KV cache fit on an accelerator that holds "layers"
 * layers; 0 if the layers themselves do not fit.
 */
double engine_token_capacity(const engine_model_t *engine,
			     const accelerator_t *accelerator, uint32_t layers)
{
	double free_mb = accelerator->size_mb - layers * engine->layer_mb;
	double token_mb =
		engine->kv_token_bytes / engine->layers * layers / 1e6;

	if (layers == 0 || free_mb <= 0 || token_mb <= 0)
		return 0;
	return free_mb / token_mb;
}
