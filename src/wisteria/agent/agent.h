#ifndef WISTERIA_AGENT_AGENT_H
#define WISTERIA_AGENT_AGENT_H

#include <stdbool.h>

#include "wisteria/agent/engine.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/control/view_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"
#include "wisteria/trace/trace.h"

/*
 * The agent role: a process next to its endpoints that takes work for them from
 * entries and other agents.  All functions must be called on the thread of the
 * net's loop.
 */
typedef struct agent_t agent_t;

agent_t *agent_new(net_t *net, const settings_t *settings, view_board_t *board,
		   err_t *err) ATTR_WARN_UNUSED;
void agent_free(agent_t *agent);
void agent_set_tracer(agent_t *agent, trace_writer_t *tracer) ATTR_NONNULL(1);
void agent_drain(agent_t *agent) ATTR_NONNULL_ALL;
bool agent_send_engine_order(
	agent_t *agent, const char *endpoint, const char *text, uint64_t fence,
	engine_order_done_t *done) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool agent_is_idle(const agent_t *agent) ATTR_NONNULL_ALL;
size_t agent_list_running(const agent_t *agent, msg_running_t *out,
			  size_t max) ATTR_NONNULL_ALL;

#endif
