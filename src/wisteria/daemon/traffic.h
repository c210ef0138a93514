#ifndef WISTERIA_DAEMON_TRAFFIC_H
#define WISTERIA_DAEMON_TRAFFIC_H

#include "wisteria/agent/agent.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/base/mailbox_defs.h"
#include "wisteria/control/announcer.h"
#include "wisteria/control/lease_client.h"
#include "wisteria/control/view_defs.h"
#include "wisteria/entry/entry.h"
#include "wisteria/settings/settings_defs.h"

/* The traffic thread of a process, which runs its entry and agent roles. */
typedef struct traffic_t traffic_t;

/* Parameters of the traffic thread; all of them must outlive the thread. */
typedef struct {
	const settings_t *settings;
	const uint8_t *key;
	uint64_t incarnation;
	view_board_t *board;
	lease_client_t *lease;	    /* of the control thread */
	announcer_t *announcer;	    /* of the control thread; agents only */
	mailbox_t *control_mailbox; /* of the control thread */
	trace_writer_t *tracer;	    /* NULL: no traces are written */
} traffic_params_t;

traffic_t *traffic_start(const traffic_params_t *params,
			 err_t *err) ATTR_WARN_UNUSED;
entry_t *traffic_entry(const traffic_t *traffic) ATTR_NONNULL_ALL;
void traffic_drain(traffic_t *traffic) ATTR_NONNULL_ALL;
agent_t *traffic_agent(const traffic_t *traffic) ATTR_NONNULL_ALL;
void traffic_post(traffic_t *traffic, task_t *task) ATTR_NONNULL_ALL;
bool traffic_is_idle(traffic_t *traffic) ATTR_NONNULL_ALL;
void traffic_stop(traffic_t *traffic);

#endif
