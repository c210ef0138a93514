/* wisteriactl, the operator's tool: command line and command table. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>

#include "cli/commands.h"
#include "wisteria/net/net.h"
#include "wisteria/settings/name.h"

#define CLI_TIMEOUT_MS_DEFAULT 10000
#define CLI_TIMEOUT_MS_MAX 600000

enum {
	OPTION_TOKEN_FILE = 0x100,
	OPTION_EXPECT,
	OPTION_ORDER_ID,
	OPTION_OPERATOR,
	OPTION_TIMEOUT,
	OPTION_JSON,
	OPTION_ENTRY,
	OPTION_ROUTE,
	OPTION_CUSTOMER,
	OPTION_TOKENS
};

const char *argp_program_version = "wisteriactl 0.1.0";

static const char doc[] =
	"Controls wisteriadrift: which preset is in force and which endpoints "
	"are leaving.\v"
	"Commands:\n"
	"  status                     preset in force and control group\n"
	"  preset create FILE         check and create the preset in FILE\n"
	"  preset list                all presets\n"
	"  preset show NAME           text of a preset\n"
	"  preset use NAME            put a preset in force\n"
	"  preset delete NAME         delete one that is not in force\n"
	"  endpoint list              endpoints, their load, which may stop\n"
	"  endpoint leave NAME        no new work for an endpoint\n"
	"  endpoint return NAME       give it new work again\n"
	"  part list                  parts of prompts, and requests, that\n"
	"                             crash endpoints; --server is the "
	"metrics\n"
	"                             address of a process of a fleet\n"
	"  limit list                 requests per second that endpoints "
	"take;\n"
	"                             --server as for part list\n"
	"  where                      where a request of --route would go "
	"now,\n"
	"                             and why; nothing is sent; --entry is "
	"the\n"
	"                             metrics address of an entry\n"
	"  config history             accepted changes\n"
	"  order show ID              outcome of an order\n"
	"  order engine NAME JSON     an order to the engine of an endpoint\n"
	"  explain REQUEST-ID         why a request went as it did; --server\n"
	"                             is the entry that took it\n"
	"  explain-file REQUEST-ID FILE...\n"
	"                             the same from log files of the "
	"processes\n"
	"  trace TRACE-ID FILE...     draw a trace from the processes' files\n"
	"  key hash KEY               hash of an API key for a contract\n"
	"\n"
	"Exit codes:\n"
	"  0  done; an order applied\n"
	"  1  refused: nothing was changed\n"
	"  2  wrong command line: nothing was sent\n"
	"  3  conflict: another order came first\n"
	"  4  unknown: ask again with the same --order-id\n"
	"  5  no server was reached\n"
	"\n"
	"WISTERIACTL_SERVER and WISTERIACTL_TOKEN_FILE are the defaults of "
	"--server and --token-file.";

static const struct argp_option argp_options[] = {
	{ "server", 's', "IP:PORT", 0,
	  "Server to ask; repeatable, or a comma-separated list: the next is "
	  "tried if one does not answer",
	  0 },
	{ "token-file", OPTION_TOKEN_FILE, "FILE", 0,
	  "File with the operators' token", 0 },
	{ "json", OPTION_JSON, NULL, 0, "Print JSON", 0 },
	{ "expect", OPTION_EXPECT, "REVISION", 0,
	  "Apply only if this is the current revision", 0 },
	{ "order-id", OPTION_ORDER_ID, "ID", 0,
	  "Id of the order; orders with the same id apply once", 0 },
	{ "operator", OPTION_OPERATOR, "NAME", 0,
	  "Who gives the order; the user's name by default", 0 },
	{ "timeout-ms", OPTION_TIMEOUT, "MS", 0,
	  "Give up after this time; 10000 by default", 0 },
	{ "entry", OPTION_ENTRY, "IP:PORT", 0,
	  "where: metrics address of the entry; as --server", 0 },
	{ "route", OPTION_ROUTE, "NAME", 0, "where: route of the request", 0 },
	{ "customer", OPTION_CUSTOMER, "NAME", 0,
	  "where: customer of the request; none by default", 0 },
	{ "tokens", OPTION_TOKENS, "PROMPT,ANSWER", 0,
	  "where: its tokens; those of the service's mean request by default",
	  0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

static const cli_command_t commands[] = {
	{ { "status", NULL }, 0, 0, "", false, true, cli_status },
	{ { "preset", "create" }, 1, 1, "FILE", true, true, cli_preset_create },
	{ { "preset", "list" }, 0, 0, "", false, true, cli_preset_list },
	{ { "preset", "show" }, 1, 1, "NAME", false, true, cli_preset_show },
	{ { "preset", "use" }, 1, 1, "NAME", true, true, cli_preset_use },
	{ { "preset", "delete" }, 1, 1, "NAME", true, true, cli_preset_delete },
	{ { "endpoint", "list" }, 0, 0, "", false, true, cli_endpoint_list },
	{ { "endpoint", "leave" },
	  1,
	  1,
	  "NAME",
	  true,
	  true,
	  cli_endpoint_leave },
	{ { "endpoint", "return" },
	  1,
	  1,
	  "NAME",
	  true,
	  true,
	  cli_endpoint_return },
	{ { "part", "list" }, 0, 0, "", false, true, cli_part_list },
	{ { "limit", "list" }, 0, 0, "", false, true, cli_limit_list },
	{ { "where", NULL }, 0, 0, "", false, true, cli_where },
	{ { "config", "history" }, 0, 0, "", false, true, cli_config_history },
	{ { "order", "show" }, 1, 1, "ID", false, true, cli_order_show },
	{ { "order", "engine" },
	  2,
	  2,
	  "NAME JSON",
	  true,
	  true,
	  cli_order_engine },
	{ { "explain", NULL }, 1, 1, "REQUEST-ID", false, true, cli_explain },
	{ { "explain-file", NULL },
	  2,
	  60,
	  "REQUEST-ID FILE...",
	  false,
	  false,
	  cli_explain_file },
	{ { "trace", NULL },
	  2,
	  60,
	  "TRACE-ID FILE...",
	  false,
	  false,
	  cli_trace },
	{ { "key", "hash" }, 1, 1, "KEY", false, false, cli_key_hash },
};

static void add_servers(cli_options_t *options, char *list,
			struct argp_state *state)
{
	struct sockaddr_storage address;
	char *rest = NULL;

	for (char *server = strtok_r(list, ",", &rest); server != NULL;
	     server = strtok_r(NULL, ",", &rest)) {
		if (!net_parse_address(server, &address, NULL))
			argp_error(state, "%s: expected IP:PORT", server);
		if (options->server_count == CLI_SERVERS_MAX)
			argp_error(state, "at most %d servers",
				   CLI_SERVERS_MAX);
		options->servers[options->server_count++] = server;
	}
}

static void set_order_id(cli_options_t *options, const char *id,
			 struct argp_state *state)
{
	if (!name_is_valid(id, ":"))
		argp_error(state,
			   "--order-id: expected 1 to %d letters, "
			   "digits, \".\", \"_\", \"-\" or \":\"",
			   NAME_LEN_MAX);
	snprintf(options->order_id, sizeof(options->order_id), "%s", id);
	options->has_order_id = true;
}

static guint64 parse_number(const char *name, const char *text, guint64 min,
			    guint64 max, struct argp_state *state)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, 10, min, max, &value, NULL))
		argp_error(state,
			   "--%s: expected a number from %" G_GUINT64_FORMAT
			   " to %" G_GUINT64_FORMAT,
			   name, min, max);
	return value;
}

/* Parses "PROMPT,ANSWER"; the metrics page checks that they are not too great. */
static void set_tokens(cli_options_t *options, const char *text,
		       struct argp_state *state)
{
	char **numbers = g_strsplit(text, ",", 2);

	if (g_strv_length(numbers) != 2)
		argp_error(state, "--tokens: expected PROMPT,ANSWER");
	options->prompt_tokens = (uint32_t)parse_number("tokens", numbers[0], 1,
							G_MAXINT32, state);
	options->answer_tokens = (uint32_t)parse_number("tokens", numbers[1], 1,
							G_MAXINT32, state);
	options->has_tokens = true;
	g_strfreev(numbers);
}

static void add_arg(cli_options_t *options, char *arg, struct argp_state *state)
{
	if (options->arg_count == CLI_ARGS_MAX)
		argp_error(state, "too many arguments");
	options->args[options->arg_count++] = arg;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	cli_options_t *options = state->input;

	switch (key) {
	case 's':
	case OPTION_ENTRY:
		add_servers(options, arg, state);
		break;
	case OPTION_TOKEN_FILE:
		options->token_file = arg;
		break;
	case OPTION_JSON:
		options->json = true;
		break;
	case OPTION_EXPECT:
		options->has_expected = true;
		options->expected_revision =
			parse_number("expect", arg, 0, G_MAXINT64, state);
		break;
	case OPTION_ORDER_ID:
		set_order_id(options, arg, state);
		break;
	case OPTION_OPERATOR:
		options->operator_name = arg;
		break;
	case OPTION_TIMEOUT:
		options->timeout_ms = (long)parse_number(
			"timeout-ms", arg, 1, CLI_TIMEOUT_MS_MAX, state);
		break;
	case OPTION_ROUTE:
		options->route = arg;
		break;
	case OPTION_CUSTOMER:
		options->customer = arg;
		break;
	case OPTION_TOKENS:
		set_tokens(options, arg, state);
		break;
	case ARGP_KEY_ARG:
		add_arg(options, arg, state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static unsigned command_word_count(const cli_command_t *command)
{
	return command->words[1] == NULL ? 1 : 2;
}

static const cli_command_t *find_command(const cli_options_t *options)
{
	for (size_t i = 0; i < ARRAY_SIZE(commands); i++) {
		const cli_command_t *command = &commands[i];

		if (options->arg_count < command_word_count(command) ||
		    strcmp(options->args[0], command->words[0]) != 0)
			continue;
		if (command->words[1] == NULL ||
		    strcmp(options->args[1], command->words[1]) == 0)
			return command;
	}
	return NULL;
}

static cli_exit_t usage_error(const char *what, const char *detail)
{
	fprintf(stderr,
		"wisteriactl: %s%s\nTry \"wisteriactl --help\".  "
		"Nothing was sent.\n",
		what, detail);
	return CLI_USAGE;
}

/* Checks the command line before anything is sent. */
static cli_exit_t check_usage(const cli_options_t *options,
			      const cli_command_t *command)
{
	unsigned arg_count;

	if (command == NULL)
		return usage_error(
			options->arg_count == 0 ? "no command"
						: "no such command: ",
			options->arg_count == 0 ? "" : options->args[0]);
	arg_count = options->arg_count - command_word_count(command);
	if (arg_count < command->args_min || arg_count > command->args_max)
		return usage_error("expected arguments: ",
				   command->args_max == 0 ? "none"
							  : command->args_doc);
	if (!command->is_order &&
	    (options->has_expected || options->has_order_id))
		return usage_error(
			"--expect and --order-id are for orders only", "");
	if ((command->run == cli_where) != (options->route != NULL))
		return usage_error("--route is for where, which needs it", "");
	if (command->run != cli_where &&
	    (options->customer != NULL || options->has_tokens))
		return usage_error("--customer and --tokens are for where only",
				   "");
	if (command->needs_server && options->server_count == 0)
		return usage_error(
			"no server: give --server or set WISTERIACTL_SERVER",
			"");
	if (options->token_file != NULL &&
	    !g_file_test(options->token_file, G_FILE_TEST_IS_REGULAR))
		return usage_error("no such file: ", options->token_file);
	return CLI_OK;
}

static void generate_order_id(cli_options_t *options)
{
	unsigned char bytes[CLI_ORDER_ID_BYTES / 2];

	if (options->has_order_id)
		return;
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(options->order_id, CLI_ORDER_ID_BYTES, bytes,
		       sizeof(bytes));
}

static const struct argp parser = {
	.options = argp_options,
	.parser = parse_option,
	.args_doc = "COMMAND [ARGUMENT...]",
	.doc = doc,
};

/* Parses the command line and the environment; exits if either is invalid. */
static void parse_command_line(cli_options_t *options, int argc, char **argv)
{
	const char *server = getenv("WISTERIACTL_SERVER");
	struct argp_state env_state = { .name = argv[0],
					.root_argp = &parser,
					.err_stream = stderr,
					.out_stream = stdout };

	argp_err_exit_status = CLI_USAGE;
	options->timeout_ms = CLI_TIMEOUT_MS_DEFAULT;
	options->token_file = getenv("WISTERIACTL_TOKEN_FILE");
	options->operator_name = g_get_user_name();
	argp_parse(&parser, argc, argv, 0, NULL, options);
	if (options->server_count == 0 && server != NULL)
		add_servers(options, g_strdup(server), &env_state);
	generate_order_id(options);
}

int main(int argc, char **argv)
{
	static cli_options_t options;
	const cli_command_t *command;
	cli_exit_t code;

	if (sodium_init() < 0)
		return CLI_INTERNAL_ERROR;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	parse_command_line(&options, argc, argv);
	command = find_command(&options);
	code = check_usage(&options, command);
	if (code == CLI_OK)
		code = command->run(
			&options, options.args + command_word_count(command),
			options.arg_count - command_word_count(command));
	if (fflush(stdout) != 0 && code == CLI_OK)
		code = CLI_INTERNAL_ERROR;
	curl_global_cleanup();
	return code;
}
