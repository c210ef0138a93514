#ifndef WISTERIA_AGENT_ENGINE_HTTP_H
#define WISTERIA_AGENT_ENGINE_HTTP_H

#include "wisteria/agent/curl_loop.h"
#include "wisteria/agent/engine.h"

engine_ops_t *engine_http_new(curl_loop_t *client, const clock_source_t *clock,
			      const char *url,
			      engine_handler_t *handler) ATTR_NONNULL_ALL;

#endif
