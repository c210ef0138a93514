#ifndef WISTERIA_LIMITS_CUSTOMER_H
#define WISTERIA_LIMITS_CUSTOMER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/limits/customer_defs.h"
#include "wisteria/settings/preset_defs.h"

customer_t *customer_new(const char *name) ATTR_NONNULL_ALL;
void customer_free(customer_t *customer);
void customer_set_contract(customer_t *customer,
			   const preset_contract_t *contract,
			   const msg_share_t *share, clock_ms_t now)
	ATTR_NONNULL(1);
flow_queue_t *customer_flow(customer_t *customer,
			    target_queue_t *target_queue) ATTR_NONNULL_ALL;
bool customer_may_start(customer_t *customer, clock_ms_t now) ATTR_NONNULL_ALL;
bool customer_precedes(const customer_t *customer,
		       const customer_t *other) ATTR_NONNULL_ALL;
void customer_started(customer_t *customer, bool waited,
		      clock_ms_t now) ATTR_NONNULL_ALL;
void customer_undo_start(customer_t *customer) ATTR_NONNULL_ALL;
void customer_finished(customer_t *customer, uint64_t tokens,
		       clock_ms_t now) ATTR_NONNULL_ALL;
double customer_estimated_wait_ms(const customer_t *customer,
				  uint32_t requests_ahead,
				  clock_ms_t now) ATTR_NONNULL_ALL;

#endif
