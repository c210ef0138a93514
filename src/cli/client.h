#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include <jansson.h>

#include "cli/cli_defs.h"
#include "wisteria/base/macros_defs.h"

/* The response of the last server that was tried. */
typedef struct {
	long status;
	json_t *body;	      /* NULL: no body, or not JSON */
	bool maybe_received;  /* by any of the servers */
	char error_text[256]; /* transport error of the last failed try */
} client_response_t;

bool client_request(const cli_options_t *options, const char *method,
		    const char *path, const char *body,
		    client_response_t *response) ATTR_NONNULL(1, 2, 3, 5);
void client_response_finish(client_response_t *response) ATTR_NONNULL_ALL;
cli_exit_t client_get(const cli_options_t *options, const char *path,
		      json_t **body) ATTR_NONNULL_ALL;
cli_exit_t client_send_order(const cli_options_t *options, const char *method,
			     const char *path, json_t *order) ATTR_NONNULL_ALL;

#endif
