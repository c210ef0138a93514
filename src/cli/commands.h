#ifndef CLI_COMMANDS_H
#define CLI_COMMANDS_H

#include "cli/cli_defs.h"
#include "wisteria/base/macros_defs.h"

#define CLI_COMMAND(name) \
	cli_exit_t name(const cli_options_t *options, char *const *args, \
			unsigned arg_count)

CLI_COMMAND(cli_status);
CLI_COMMAND(cli_preset_create);
CLI_COMMAND(cli_preset_list);
CLI_COMMAND(cli_preset_show);
CLI_COMMAND(cli_preset_use);
CLI_COMMAND(cli_endpoint_list);
CLI_COMMAND(cli_endpoint_leave);
CLI_COMMAND(cli_endpoint_return);
CLI_COMMAND(cli_config_history);
CLI_COMMAND(cli_part_list);
CLI_COMMAND(cli_limit_list);
CLI_COMMAND(cli_order_show);
CLI_COMMAND(cli_order_engine);
CLI_COMMAND(cli_preset_delete);
CLI_COMMAND(cli_explain);
CLI_COMMAND(cli_explain_file);
CLI_COMMAND(cli_key_hash);
CLI_COMMAND(cli_trace);
CLI_COMMAND(cli_where);

#endif
