#ifndef WISTERIA_ADMIN_ADMIN_DEFS_H
#define WISTERIA_ADMIN_ADMIN_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/mailbox_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/store/store_defs.h"

#define ADMIN_BODY_BYTES_MAX (4u << 20)
#define ADMIN_HISTORY_MAX 1000 /* changes per response */

typedef enum {
	ADMIN_ORDER,
	ADMIN_STATUS,
	ADMIN_PRESETS,
	ADMIN_PRESET,
	ADMIN_ENDPOINTS,
	ADMIN_HISTORY,
	ADMIN_FIND_ORDER
} admin_kind_t;

/*
 * One request of an operator.  The backend answers it exactly once, on any
 * thread, with one of the admin_job_reply_*() functions, and must not use the
 * job afterwards.  "task" and "user" are for the backend's use until then.
 */
typedef struct admin_job_t {
	task_t task;
	void *user;
	admin_kind_t kind;
	msg_order_t order;	 /* for ADMIN_ORDER */
	char *name;		 /* of a preset or an order; may be NULL */
	uint64_t after_revision; /* for ADMIN_HISTORY */
	struct MHD_Connection *connection;
	unsigned http_status;
	char *body;
} admin_job_t;

/* Handles operators' requests.  First member of the backend's struct. */
typedef struct admin_backend_t {
	void (*submit)(struct admin_backend_t *self, admin_job_t *job);
} admin_backend_t;

/* A member of the group of control instances. */
typedef struct {
	const char *instance;
	const char *role; /* leader, follower or learner */
	bool is_voter;
} admin_member_t;

/*
 * An announced endpoint.  "running" is the number of sessions and calls in
 * progress that its agent last reported; it is valid only if "has_running" is
 * set.
 */
typedef struct {
	const msg_endpoint_t *endpoint;
	bool has_running;
	uint32_t running;
} admin_endpoint_t;

/*
 * The state of a control instance; valid only for the call that gets it.
 * "role" is the role of the instance as in admin_member_t, or "outside" if it
 * is not a member.  "is_confirmed" tells whether a quorum has confirmed that
 * "store" includes everything that was committed before the request; it does
 * not apply to "endpoints".
 */
typedef struct {
	const store_t *store;
	const char *instance;
	const char *role;
	const char *leader; /* "" if unknown */
	uint64_t term;
	uint64_t commit_index;
	bool is_confirmed;
	const admin_member_t *members;
	size_t member_count;
	const admin_endpoint_t *endpoints;
	size_t endpoint_count;
} admin_state_t;

#endif
