#ifndef WISTERIA_AGENT_ENGINE_HTTP_H
#define WISTERIA_AGENT_ENGINE_HTTP_H

#include "wisteria/agent/engine.h"
#include "wisteria/agent/http_client.h"

engine_ops_t *engine_http_new(http_client_t *client,
			      const clock_source_t *clock, const char *url,
			      engine_handler_t *handler) ATTR_NONNULL_ALL;

#endif
