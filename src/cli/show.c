/* Commands that only read state. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "cli/client.h"
#include "cli/commands.h"
#include "cli/output.h"
#include "wisteria/settings/preset.h"

/*
 * Requests "path" and prints the response body as JSON, or its array "key" as a
 * table.
 */
static cli_exit_t show_table(const cli_options_t *options, const char *path,
			     const char *key, const output_column_t *columns,
			     size_t column_count)
{
	json_t *body = NULL;
	cli_exit_t code = client_get(options, path, &body);

	if (code != CLI_OK)
		return code;
	if (options->json) {
		output_json(body);
		return CLI_OK;
	}
	output_table(json_object_get(body, key), columns, column_count);
	json_decref(body);
	return CLI_OK;
}

/*
 * Shows the preset in force and the state of the control group.  "confirmed"
 * tells whether a quorum confirmed this state after the request arrived.
 */
CLI_COMMAND(cli_status)
{
	static const output_column_t columns[] = {
		{ "preset", "preset" },	      { "revision", "revision" },
		{ "leader", "leader" },	      { "answered by", "instance" },
		{ "its role", "role" },	      { "confirmed", "confirmed" },
		{ "endpoints", "endpoints" }, { "leaving", "leaving" },
	};
	static const output_column_t member_columns[] = {
		{ "INSTANCE", "instance" },
		{ "ROLE", "role" },
		{ "VOTER", "voter" },
	};
	json_t *body = NULL;
	cli_exit_t code = client_get(options, "/v1/status", &body);

	(void)args;
	(void)arg_count;
	if (code != CLI_OK)
		return code;
	if (options->json) {
		output_json(body);
		return CLI_OK;
	}
	output_pairs(body, columns, ARRAY_SIZE(columns));
	putchar('\n');
	output_table(json_object_get(body, "members"), member_columns,
		     ARRAY_SIZE(member_columns));
	json_decref(body);
	return CLI_OK;
}

/* Lists the presets. */
CLI_COMMAND(cli_preset_list)
{
	static const output_column_t columns[] = {
		{ "PRESET", "name" },
		{ "REVISION", "revision" },
		{ "IN FORCE", "in_force" },
	};

	(void)args;
	(void)arg_count;
	return show_table(options, "/v1/presets", "presets", columns,
			  ARRAY_SIZE(columns));
}

/* Prints the text of one preset. */
CLI_COMMAND(cli_preset_show)
{
	char *path = g_strdup_printf("/v1/presets/%s", args[0]);
	json_t *body = NULL;
	cli_exit_t code = client_get(options, path, &body);

	(void)arg_count;
	g_free(path);
	if (code != CLI_OK)
		return code;
	if (options->json) {
		output_json(body);
		return CLI_OK;
	}
	fputs(json_string_value(json_object_get(body, "text")), stdout);
	json_decref(body);
	return CLI_OK;
}

/*
 * Lists the endpoints that have announced themselves to control.  "TO" is the
 * layer after the last one that the endpoint holds.
 */
CLI_COMMAND(cli_endpoint_list)
{
	static const output_column_t columns[] = {
		{ "ENDPOINT", "name" },	  { "KIND", "kind" },
		{ "TARGET", "target" },	  { "FROM", "first_layer" },
		{ "TO", "end_layer" },	  { "DOMAIN", "failure_domain" },
		{ "RUNNING", "running" }, { "SLOTS", "slots" },
		{ "LEAVING", "leaving" }, { "MAY STOP", "may_stop" },
	};

	(void)args;
	(void)arg_count;
	return show_table(options, "/v1/endpoints", "endpoints", columns,
			  ARRAY_SIZE(columns));
}

/*
 * Lists the parts of prompts, and the digests of requests, that are refused since
 * they crash endpoints, or watched since an endpoint crashed under them.
 */
CLI_COMMAND(cli_part_list)
{
	static const output_column_t columns[] = {
		{ "PART", "part" },
		{ "STATE", "state" },
		{ "SECONDS LEFT", "left_s" },
		{ "CRASHES", "crashes" },
	};

	(void)args;
	(void)arg_count;
	return show_table(options, "/v1/parts", "parts", columns,
			  ARRAY_SIZE(columns));
}

/*
 * Lists the endpoints that have named a limit, in requests per second from all
 * entries, and the age of the last answer that named it.
 */
CLI_COMMAND(cli_limit_list)
{
	static const output_column_t columns[] = {
		{ "ENDPOINT", "endpoint" },
		{ "PER SECOND", "per_s" },
		{ "SECONDS AGO", "seen_s" },
	};

	(void)args;
	(void)arg_count;
	return show_table(options, "/v1/limits", "limits", columns,
			  ARRAY_SIZE(columns));
}

/*
 * Lists the accepted changes, oldest first.  Sends one request only, so that
 * changes after the first ADMIN_HISTORY_MAX stored ones are not listed.
 */
CLI_COMMAND(cli_config_history)
{
	static const output_column_t columns[] = {
		{ "REVISION", "revision" }, { "WHEN", "wall_ms" },
		{ "OPERATOR", "operator" }, { "CHANGE", "kind" },
		{ "NAME", "name" },	    { "ORDER", "id" },
	};

	(void)args;
	(void)arg_count;
	return show_table(options, "/v1/config/history", "changes", columns,
			  ARRAY_SIZE(columns));
}

/*
 * Shows the outcome of an order and exits with the code for it: CLI_OK,
 * CLI_REFUSED or CLI_CONFLICT.  An order to an engine is applied when it is
 * stored: the engine's result does not change the exit code.
 */
CLI_COMMAND(cli_order_show)
{
	char *path = g_strdup_printf("/v1/orders/%s", args[0]);
	json_t *body = NULL;
	cli_exit_t code = client_get(options, path, &body);
	const char *outcome;

	(void)arg_count;
	g_free(path);
	if (code != CLI_OK)
		return code;
	outcome = json_string_value(json_object_get(body, "outcome"));
	if (g_strcmp0(outcome, "refused") == 0)
		code = CLI_REFUSED;
	else if (g_strcmp0(outcome, "conflict") == 0)
		code = CLI_CONFLICT;
	if (!options->json)
		output_order(body);
	else
		output_json(json_incref(body));
	json_decref(body);
	return code;
}

/* Prints the decisions taken on one request, and why, as sentences. */
CLI_COMMAND(cli_explain)
{
	char *path = g_strdup_printf("/v1/explain/%s", args[0]);
	json_t *body = NULL;
	cli_exit_t code = client_get(options, path, &body);
	const json_t *sentences;

	(void)arg_count;
	g_free(path);
	if (code != CLI_OK)
		return code;
	if (options->json) {
		output_json(body);
		return CLI_OK;
	}
	sentences = json_object_get(body, "sentences");
	for (size_t i = 0; i < json_array_size(sentences); i++)
		puts(json_string_value(json_array_get(sentences, i)));
	json_decref(body);
	return CLI_OK;
}

/* Prints the hash of an API key, as a contract of a preset holds it. */
CLI_COMMAND(cli_key_hash)
{
	char hex[2 * PRESET_KEY_HASH_BYTES + 1];

	(void)arg_count;
	preset_hash_key(args[0], hex);
	if (options->json)
		output_json(json_pack("{s:s}", "api_key_hash", hex));
	else
		puts(hex);
	return CLI_OK;
}
