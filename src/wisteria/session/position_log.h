#ifndef WISTERIA_SESSION_POSITION_LOG_H
#define WISTERIA_SESSION_POSITION_LOG_H

#include <stdint.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/* The contents of the consecutive positions [first, position_log_next()). */
typedef struct {
	GPtrArray *items; /* GBytes; those before "head" are released */
	guint head;	  /* index in "items" of position "first" */
	uint32_t first;
	size_t bytes; /* total size of the contents */
} position_log_t;

void position_log_init(position_log_t *log) ATTR_NONNULL_ALL;
void position_log_finish(position_log_t *log) ATTR_NONNULL_ALL;
uint32_t position_log_next(const position_log_t *log) ATTR_NONNULL_ALL;
void position_log_append(position_log_t *log, bytes_t data) ATTR_NONNULL_ALL;
void position_log_drop(position_log_t *log, uint32_t below) ATTR_NONNULL_ALL;
bytes_t position_log_get(const position_log_t *log,
			 uint32_t position) ATTR_NONNULL_ALL;

#endif
