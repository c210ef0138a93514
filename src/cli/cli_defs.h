#ifndef CLI_CLI_DEFS_H
#define CLI_CLI_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#define CLI_SERVERS_MAX 16
#define CLI_ARGS_MAX 64
#define CLI_ORDER_ID_BYTES 33

/* Exit codes; --help lists all but CLI_INTERNAL_ERROR. */
typedef enum {
	CLI_OK = 0,		 /* success; an order was applied */
	CLI_REFUSED = 1,	 /* nothing was changed */
	CLI_USAGE = 2,		 /* nothing was sent */
	CLI_CONFLICT = 3,	 /* another order was applied first */
	CLI_OUTCOME_UNKNOWN = 4, /* the order may have been applied */
	CLI_UNREACHABLE = 5,	 /* no server accepted the request */
	CLI_INTERNAL_ERROR = 6	 /* wisteriactl itself failed */
} cli_exit_t;

/* The parsed command line. */
typedef struct {
	const char *servers[CLI_SERVERS_MAX];
	unsigned server_count;
	const char *token_file;
	const char *operator_name;
	bool json;
	bool has_expected;
	uint64_t expected_revision;
	char order_id[129]; /* from --order-id, or generated */
	bool has_order_id;
	long timeout_ms;
	const char *route;    /* for "where"; NULL: not stated */
	const char *customer; /* likewise */
	bool has_tokens;      /* for "where" */
	uint32_t prompt_tokens;
	uint32_t answer_tokens;
	char *args[CLI_ARGS_MAX];
	unsigned arg_count;
} cli_options_t;

/*
 * One command.  The "args" passed to run() exclude the words that name the
 * command.
 */
typedef struct {
	const char *words[2]; /* the second may be NULL */
	unsigned args_min;
	unsigned args_max;
	const char *args_doc;
	bool is_order;
	bool needs_server;
	cli_exit_t (*run)(const cli_options_t *options, char *const *args,
			  unsigned arg_count);
} cli_command_t;

#endif
