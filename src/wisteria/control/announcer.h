#ifndef WISTERIA_CONTROL_ANNOUNCER_H
#define WISTERIA_CONTROL_ANNOUNCER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"

/*
 * Announces the endpoints of an agent to every control instance.  Used by the
 * control thread only.
 */
typedef struct announcer_t announcer_t;

announcer_t *announcer_new(net_t *net,
			   const settings_t *settings) ATTR_NONNULL_ALL;
void announcer_free(announcer_t *announcer);
void announcer_set_running(announcer_t *announcer, const msg_running_t *running,
			   size_t count) ATTR_NONNULL(1);
void announcer_announce_leaving(announcer_t *announcer) ATTR_NONNULL_ALL;
void announcer_withdraw(announcer_t *announcer) ATTR_NONNULL_ALL;

#endif
