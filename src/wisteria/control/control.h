#ifndef WISTERIA_CONTROL_CONTROL_H
#define WISTERIA_CONTROL_CONTROL_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"

/* The control role; it belongs to the control thread. */
typedef struct control_t control_t;

control_t *control_new(net_t *net, const settings_t *settings,
		       err_t *err) ATTR_WARN_UNUSED;
void control_free(control_t *control);

#endif
