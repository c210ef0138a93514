/* Commands that send orders, which change state. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "cli/client.h"
#include "cli/commands.h"
#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"

static cli_exit_t send_preset(const cli_options_t *options, const char *path,
			      const char *text, size_t len)
{
	err_t err = ERR_INIT;
	preset_t *preset = preset_parse(text, len, &err);
	json_t *order;

	if (preset == NULL) {
		fprintf(stderr, "wisteriactl: %s: %s\nNothing was sent.\n",
			path, err.text);
		return CLI_REFUSED;
	}
	order = json_pack("{s:s, s:s#}", "name", preset->name, "text", text,
			  len);
	preset_free(preset);
	if (order == NULL) {
		fprintf(stderr, "wisteriactl: %s: not UTF-8\n", path);
		return CLI_REFUSED;
	}
	return client_send_order(options, "POST", "/v1/presets", order);
}

/* Checks a preset file locally, then orders the preset in it to be created. */
CLI_COMMAND(cli_preset_create)
{
	GError *error = NULL;
	gchar *text = NULL;
	gsize len = 0;
	cli_exit_t code;

	(void)arg_count;
	if (!g_file_get_contents(args[0], &text, &len, &error)) {
		fprintf(stderr, "wisteriactl: %s\n", error->message);
		g_error_free(error);
		return CLI_USAGE;
	}
	code = send_preset(options, args[0], text, len);
	g_free(text);
	return code;
}

/* Orders a preset to be put in force. */
CLI_COMMAND(cli_preset_use)
{
	(void)arg_count;
	return client_send_order(options, "PUT", "/v1/presets/in-force",
				 json_pack("{s:s}", "name", args[0]));
}

static cli_exit_t post_order(const cli_options_t *options, const char *kind,
			     const char *name, const char *verb)
{
	char *path = g_strdup_printf("/v1/%s/%s/%s", kind, name, verb);
	cli_exit_t code =
		client_send_order(options, "POST", path, json_object());

	g_free(path);
	return code;
}

/* Orders a preset that is not in force to be deleted. */
CLI_COMMAND(cli_preset_delete)
{
	(void)arg_count;
	return post_order(options, "presets", args[0], "delete");
}

/* Marks an endpoint as leaving, so that it gets no new work. */
CLI_COMMAND(cli_endpoint_leave)
{
	(void)arg_count;
	return post_order(options, "endpoints", args[0], "leave");
}

/* Clears the leaving mark of an endpoint, so that it gets new work again. */
CLI_COMMAND(cli_endpoint_return)
{
	(void)arg_count;
	return post_order(options, "endpoints", args[0], "return");
}

/* Sends an order, a JSON object, to the engine of an endpoint. */
CLI_COMMAND(cli_order_engine)
{
	char *path = g_strdup_printf("/v1/endpoints/%s/engine", args[0]);
	cli_exit_t code = client_send_order(
		options, "POST", path, json_pack("{s:s}", "text", args[1]));

	(void)arg_count;
	g_free(path);
	return code;
}
