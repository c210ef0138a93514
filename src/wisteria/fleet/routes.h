#ifndef WISTERIA_FLEET_ROUTES_H
#define WISTERIA_FLEET_ROUTES_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/routes_defs.h"

route_table_t *route_table_new(uint64_t revision) ATTR_WARN_UNUSED;
route_table_t *route_table_ref(route_table_t *table) ATTR_NONNULL_ALL;
void route_table_unref(route_table_t *table);
route_t *route_table_add_route(route_table_t *table) ATTR_NONNULL_ALL;
service_t *route_table_add_service(route_table_t *table,
				   const char *name) ATTR_NONNULL_ALL;
customer_config_t *route_table_add_customer(route_table_t *table,
					    const char *name) ATTR_NONNULL_ALL;
void route_table_require_keys(route_table_t *table) ATTR_NONNULL_ALL;
bool route_table_add_key(route_table_t *table, const char *key,
			 customer_config_t *customer,
			 err_t *err) ATTR_WARN_UNUSED;
void route_add_target(route_t *route, const char *service,
		      uint32_t weight) ATTR_NONNULL_ALL;
bool route_table_seal(route_table_t *table, err_t *err) ATTR_WARN_UNUSED;

const route_t *route_table_find_route(const route_table_t *table,
				      const char *host,
				      const char *target) ATTR_NONNULL_ALL;
const customer_config_t *route_table_find_customer(const route_table_t *table,
						   const char *key)
	ATTR_NONNULL(1);
bool route_table_allows(const route_table_t *table, const route_t *route,
			const customer_config_t *customer) ATTR_NONNULL(1, 2);
int32_t route_table_rank(const route_table_t *table, const route_t *route,
			 const customer_config_t *customer) ATTR_NONNULL(1, 2);
const service_t *route_table_find_service(const route_table_t *table,
					  const char *name) ATTR_NONNULL_ALL;
const char *route_pick_service(const route_t *route,
			       uint32_t draw) ATTR_NONNULL_ALL;
const accelerator_t *engine_find_accelerator(const engine_model_t *engine,
					     const char *name) ATTR_NONNULL_ALL;
bool engine_has_layers(const engine_model_t *engine, uint32_t first_layer,
		       uint32_t end_layer) ATTR_NONNULL_ALL;
double engine_token_capacity(const engine_model_t *engine,
			     const accelerator_t *accelerator,
			     uint32_t layers) ATTR_NONNULL_ALL;

#endif
