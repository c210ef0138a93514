#ifndef WISTERIA_BASE_LOG_H
#define WISTERIA_BASE_LOG_H

#include <stdbool.h>

#include <glib.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

bool log_init(const char *instance, const char *level_name) ATTR_WARN_UNUSED;
void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
	ATTR_PRINTF(3, 4) ATTR_NONNULL_ALL;
void log_err(GLogLevelFlags level, const char *event,
	     const err_t *err) ATTR_NONNULL_ALL;

#define LOG_DEBUG(event, ...) log_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__)
#define LOG_INFO(event, ...) log_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define LOG_WARN(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define LOG_ERROR(event, ...) \
	log_event(G_LOG_LEVEL_CRITICAL, event, __VA_ARGS__)

#endif
