#ifndef WISTERIA_LIMITS_ADMISSION_H
#define WISTERIA_LIMITS_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/limits/admission_defs.h"
#include "wisteria/settings/preset_defs.h"

/*
 * Admission control at one entry: admits requests within the entry's leased
 * shares of the customers' contracts and queues those that have to wait.  Does
 * no I/O and reads no clock; the caller passes the time.  The owner
 *
 *   - calls admission_offer() for each request;
 *   - starts admitted requests, and calls admission_requeue() if the router
 *     then finds no free endpoint;
 *   - calls admission_finished() when a started request has ended, whether it
 *     succeeded or not;
 *   - after that, and on a timer, starts the requests that admission_next()
 *     returns, and refuses those that admission_expire() returns, until each
 *     returns false.
 */
typedef struct admission_t admission_t;

admission_t *admission_new(void) ATTR_WARN_UNUSED;
void admission_free(admission_t *admission);
void admission_set_contracts(admission_t *admission, const preset_t *preset,
			     const msg_share_t *shares, size_t share_count,
			     clock_ms_t now) ATTR_NONNULL(1, 2);
admission_answer_t
admission_offer(admission_t *admission, const admission_offer_t *offer,
		clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool admission_next(admission_t *admission, clock_ms_t now,
		    handle_t *request) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
admission_answer_t
admission_requeue(admission_t *admission, const admission_offer_t *offer,
		  clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void admission_finished(admission_t *admission, const char *customer,
			const char *target, uint64_t tokens,
			clock_ms_t now) ATTR_NONNULL_ALL;
bool admission_cancel(admission_t *admission,
		      handle_t request) ATTR_NONNULL_ALL;
bool admission_expire(admission_t *admission, clock_ms_t now, handle_t *request,
		      clock_ms_t *retry_after_ms)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
size_t admission_demand(const admission_t *admission, msg_share_t *demand,
			size_t capacity) ATTR_NONNULL(1);
uint32_t admission_queue_length(const admission_t *admission) ATTR_NONNULL_ALL;

#endif
