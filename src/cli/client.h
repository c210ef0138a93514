#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include <jansson.h>

#include "cli/cli_defs.h"
#include "wisteria/base/macros_defs.h"

/* What the first server that answered said. */
typedef struct {
	long status;
	json_t *body;	       /* NULL: none that is JSON */
	bool may_have_arrived; /* some server may have taken the request */
	char why[256];	       /* why the last server did not answer */
} client_answer_t;

bool client_ask(const cli_options_t *options, const char *method,
		const char *path, const char *body, client_answer_t *answer)
	ATTR_NONNULL(1, 2, 3, 5);
void client_answer_finish(client_answer_t *answer) ATTR_NONNULL_ALL;
cli_exit_t client_get(const cli_options_t *options, const char *path,
		      json_t **body) ATTR_NONNULL_ALL;
cli_exit_t client_order(const cli_options_t *options, const char *method,
			const char *path, json_t *order) ATTR_NONNULL_ALL;

#endif
