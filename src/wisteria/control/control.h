#ifndef WISTERIA_CONTROL_CONTROL_H
#define WISTERIA_CONTROL_CONTROL_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/directory.h"
#include "wisteria/control/requests_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"
#include "wisteria/store/store_defs.h"

/* The control role of a daemon.  Used by the control thread only. */
typedef struct control_t control_t;

/* The state of the control group as reported to operators. */
typedef struct {
	const char *leader; /* instance; "" if no leader is known */
	uint64_t term;
	uint64_t commit;
	uint64_t applied;
	const raft_members_t *members;
} control_status_t;

/* Called once; "confirmed" is false if the read barrier has timed out. */
typedef void (*read_barrier_done_t)(void *user, bool confirmed);

control_t *control_new(net_t *net, const settings_t *settings,
		       err_t *err) ATTR_WARN_UNUSED;
void control_transfer_leadership(control_t *control) ATTR_NONNULL_ALL;
void control_close(control_t *control);
void control_free(control_t *control);

void control_submit_order(control_t *control, const msg_order_t *order,
			  order_done_t done, void *user) ATTR_NONNULL(1, 2, 3);
void control_read_barrier(control_t *control, read_barrier_done_t done,
			  void *user) ATTR_NONNULL(1, 2);
const store_t *control_store(const control_t *control) ATTR_NONNULL_ALL;
directory_t *control_directory(control_t *control) ATTR_NONNULL_ALL;
void control_status(const control_t *control,
		    control_status_t *status) ATTR_NONNULL_ALL;

#endif
