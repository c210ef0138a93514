#ifndef CLI_CLI_DEFS_H
#define CLI_CLI_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#define CLI_SERVERS_MAX 16
#define CLI_ARGS_MAX 64
#define CLI_ORDER_ID_BYTES 33

/* Exit codes; they are documented in --help. */
typedef enum {
	CLI_OK = 0,	     /* done, or an order applied */
	CLI_REFUSED = 1,     /* nothing was changed */
	CLI_USAGE = 2,	     /* nothing was sent */
	CLI_CONFLICT = 3,    /* another order came first */
	CLI_UNKNOWN = 4,     /* the order may have applied */
	CLI_UNREACHABLE = 5, /* no server took the request */
	CLI_DEFECT = 6	     /* the tool itself failed */
} cli_exit_t;

/* The command line, as given. */
typedef struct {
	const char *servers[CLI_SERVERS_MAX];
	unsigned server_count;
	const char *token_file;
	const char *operator_name;
	bool json;
	bool has_expected;
	uint64_t expected_revision;
	char order_id[129]; /* given, or made */
	bool has_order_id;
	long timeout_ms;
	char *args[CLI_ARGS_MAX];
	unsigned arg_count;
} cli_options_t;

/* One command of the tool; "args" excludes its own words. */
typedef struct {
	const char *words[2]; /* the second may be NULL */
	unsigned args_min;
	unsigned args_max;
	const char *args_doc;
	bool is_order;
	bool asks_server;
	cli_exit_t (*run)(const cli_options_t *options, char *const *args,
			  unsigned arg_count);
} cli_command_t;

#endif
