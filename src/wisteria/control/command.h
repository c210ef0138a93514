#ifndef WISTERIA_CONTROL_COMMAND_H
#define WISTERIA_CONTROL_COMMAND_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/control/command_defs.h"

void command_encode(const command_t *command,
		    msgpack_sbuffer *out) ATTR_NONNULL_ALL;
bool command_decode(command_t *command, const uint8_t *data, size_t len,
		    msgpack_zone *zone, err_t *err) ATTR_WARN_UNUSED;

#endif
