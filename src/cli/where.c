/* The command that tells where a request would go, without sending one. */
#include <stdio.h>

#include <glib.h>

#include "cli/client.h"
#include "cli/commands.h"
#include "cli/output.h"

static char *write_path(const cli_options_t *options)
{
	GString *path = g_string_new("/where?route=");

	g_string_append_uri_escaped(path, options->route, NULL, FALSE);
	if (options->customer != NULL) {
		g_string_append(path, "&customer=");
		g_string_append_uri_escaped(path, options->customer, NULL,
					    FALSE);
	}
	if (options->has_tokens)
		g_string_append_printf(path, "&prompt=%u&answer=%u",
				       options->prompt_tokens,
				       options->answer_tokens);
	return g_string_free(path, FALSE);
}

static void print_answer(const json_t *body)
{
	static const output_column_t columns[] = {
		{ "outcome", "outcome" },
		{ "reason", "reason" },
		{ "chosen", "chosen" },
		{ "expected wait ms", "expected_wait_ms" },
		{ "longest wait ms", "longest_wait_ms" },
		{ "revision", "revision" },
		{ "service", "service" },
		{ "its weight", "service_weight" },
		{ "of weights", "weight_sum" },
		{ "prompt tokens", "prompt_tokens" },
		{ "answer tokens", "answer_tokens" },
		{ "rank", "rank" },
		{ "promoted", "promoted" },
		{ "promoted fraction", "promoted_fraction" },
		{ "waiting", "waiting" },
		{ "plan valid", "plan_valid" },
		{ "plan age ms", "plan_age_ms" },
		{ "term", "term" },
		{ "sequence", "sequence" },
		{ "share tokens/s", "share_per_s" },
		{ "capacity tokens/s", "capacity_per_s" },
		{ "level", "level" },
	};
	static const output_column_t flow_columns[] = {
		{ "FIRST", "first" },
		{ "HOPS", "hop_count" },
		{ "TOKENS/S", "tokens_per_s" },
		{ "FIRST EVENT MS", "first_event_ms" },
		{ "PAUSE MS", "pause_ms" },
		{ "WINDOW", "window_tokens" },
		{ "UNREAD", "unread_tokens" },
		{ "STATE", "state" },
		{ "CHOSEN", "chosen" },
	};

	output_pairs(body, columns, ARRAY_SIZE(columns));
	putchar('\n');
	output_table(json_object_get(body, "flows"), flow_columns,
		     ARRAY_SIZE(flow_columns));
}

/*
 * Asks an entry where a request would go now.  "STATE" is what a flow lacks, if
 * it is not usable.
 */
CLI_COMMAND(cli_where)
{
	char *path = write_path(options);
	json_t *body = NULL;
	cli_exit_t code = client_get(options, path, &body);

	(void)args;
	(void)arg_count;
	g_free(path);
	if (code != CLI_OK)
		return code;
	if (options->json) {
		output_json(body);
		return CLI_OK;
	}
	print_answer(body);
	json_decref(body);
	return CLI_OK;
}
