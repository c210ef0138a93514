#ifndef WISTERIA_FLEET_SUBSCRIPTION_H
#define WISTERIA_FLEET_SUBSCRIPTION_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/subscription_defs.h"

void subscription_init(subscription_t *subscription, net_t *net,
		       const clock_source_t *lease_clock, bool renews_lease,
		       const char *own_address, subscription_handler_t *handler)
	ATTR_NONNULL(1, 2, 3, 6);
void subscription_extend_lease(subscription_t *subscription,
			       clock_ms_t request_sent_ms) ATTR_NONNULL_ALL;
void subscription_clear_seeds(subscription_t *subscription) ATTR_NONNULL_ALL;
void subscription_add_seed(subscription_t *subscription,
			   const char *address) ATTR_NONNULL_ALL;
void subscription_add_discovered(subscription_t *subscription,
				 const msg_fleet_control_t *control)
	ATTR_NONNULL_ALL;
void subscription_set_controls(subscription_t *subscription,
			       const char *const *addresses,
			       size_t count) ATTR_NONNULL_ALL;
void subscription_close(subscription_t *subscription) ATTR_NONNULL_ALL;
void subscription_finish(subscription_t *subscription) ATTR_NONNULL_ALL;
bool subscription_has_lease(const subscription_t *subscription)
	ATTR_NONNULL_ALL;
bool subscription_send_to_leader(subscription_t *subscription, msg_type_t type,
				 const void *body) ATTR_NONNULL_ALL;
void subscription_send_to(subscription_t *subscription, const char *address,
			  msg_type_t type, const void *body) ATTR_NONNULL_ALL;
uint32_t
subscription_count_open(const subscription_t *subscription) ATTR_NONNULL_ALL;
void subscription_send_to_one(subscription_t *subscription, uint32_t index,
			      msg_type_t type,
			      const void *body) ATTR_NONNULL_ALL;
void subscription_send_all(subscription_t *subscription, msg_type_t type,
			   const void *body) ATTR_NONNULL_ALL;

#endif
