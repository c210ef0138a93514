#ifndef WISTERIA_ADMIN_ADMIN_DEFS_H
#define WISTERIA_ADMIN_ADMIN_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/mailbox_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/store/store_defs.h"

#define ADMIN_BODY_BYTES_MAX (4u << 20)
#define ADMIN_HISTORY_MAX 1000 /* changes in one answer */

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
 * One question of an operator.  The backend answers it with
 * admin_job_reply_order() or admin_job_reply_state(), once, on any thread;
 * after that the job is no longer its own.  "task" and "user" are the
 * backend's to use until then.
 */
typedef struct admin_job_t {
	task_t task;
	void *user;
	admin_kind_t kind;
	msg_order_t order;	 /* where ADMIN_ORDER */
	char *name;		 /* of a preset or an order */
	uint64_t after_revision; /* where ADMIN_HISTORY */
	struct MHD_Connection *connection;
	unsigned http_status;
	char *body;
} admin_job_t;

/* Who answers operators.  It stands first in the backend's struct. */
typedef struct admin_backend_t {
	void (*submit)(struct admin_backend_t *self, admin_job_t *job);
} admin_backend_t;

/* A control instance as others see it. */
typedef struct {
	const char *instance;
	const char *role; /* leader, follower, candidate or learner */
	bool is_voter;
} admin_member_t;

/* An endpoint that announced itself; "running" is the agent's own count. */
typedef struct {
	const msg_endpoint_t *endpoint;
	bool knows_running;
	uint32_t running;
} admin_endpoint_t;

/* What a control instance knows, lent for the time of one call. */
typedef struct {
	const store_t *store;
	const char *instance;
	const char *role;
	const char *leader; /* "" while there is none */
	uint64_t term;
	uint64_t commit_index;
	bool is_confirmed; /* by a quorum, since the question was asked */
	const admin_member_t *members;
	size_t member_count;
	const admin_endpoint_t *endpoints;
	size_t endpoint_count;
} admin_state_t;

#endif
