#ifndef WISTERIA_CONTROL_REQUESTS_H
#define WISTERIA_CONTROL_REQUESTS_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/requests_defs.h"

void requests_init(requests_t *requests, replica_t *replica,
		   const store_t *store) ATTR_NONNULL_ALL;
void requests_finish(requests_t *requests) ATTR_NONNULL_ALL;
void requests_on_order(requests_t *requests, conn_t *conn,
		       const msg_order_t *order) ATTR_NONNULL_ALL;
void requests_submit_order(requests_t *requests, const msg_order_t *order,
			   order_done_t done, void *user) ATTR_NONNULL(1, 2, 3);
void requests_submit_bootstrap(requests_t *requests,
			       const msg_order_t *order) ATTR_NONNULL_ALL;
void requests_on_ledger(requests_t *requests, conn_t *conn,
			const msg_ledger_t *ledger) ATTR_NONNULL_ALL;
void requests_order_applied(requests_t *requests, uint64_t index, uint64_t term,
			    const msg_order_reply_t *reply) ATTR_NONNULL_ALL;
void requests_ledger_applied(requests_t *requests, uint64_t index,
			     uint64_t term,
			     const msg_ledger_reply_t *reply) ATTR_NONNULL_ALL;
void requests_on_reply(requests_t *requests, const msg_t *msg) ATTR_NONNULL_ALL;
void requests_leader_changed(requests_t *requests) ATTR_NONNULL_ALL;
void requests_conn_closed(requests_t *requests,
			  const conn_t *conn) ATTR_NONNULL_ALL;
void requests_tick(requests_t *requests) ATTR_NONNULL_ALL;
void requests_advance_log_time(requests_t *requests,
			       int64_t time_ms) ATTR_NONNULL_ALL;

#endif
