/* The main program of the daemon. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <sodium.h>

#include "platform/platform.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/base/log_sink.h"
#include "wisteria/daemon/daemon.h"
#include "wisteria/daemon/fleet_daemon.h"
#include "wisteria/settings/settings.h"

#define EXIT_SETTINGS 2

typedef struct {
	const char *config;
	int check_only;
} options_t;

const char *argp_program_version = "wisteriad 0.1.0";

static const struct argp_option option_table[] = {
	{ "config", 'c', "FILE", 0, "Read the settings from FILE", 0 },
	{ "check-config", 'k', NULL, 0, "Check the settings and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 'c':
		options->config = arg;
		return 0;
	case 'k':
		options->check_only = 1;
		return 0;
	case ARGP_KEY_END:
		if (options->config == NULL)
			argp_error(state, "--config is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp_parser = {
	.options = option_table,
	.parser = parse_option,
	.doc = "Runs one process of wisteriadrift with the roles that its "
	       "settings list.  Exit status: 0 after a graceful stop, 1 if it "
	       "could not start, 2 if the settings are not valid.",
};

static void print_error(const err_t *err)
{
	fprintf(stderr, "wisteriad: %s: %s: %s\n", err->step,
		err->peer[0] == '\0' ? "-" : err->peer, err->text);
}

int main(int argc, char **argv)
{
	options_t options = { 0 };
	err_t err = ERR_INIT;
	settings_t *settings;
	bool ok;

	argp_err_exit_status = EXIT_SETTINGS;
	argp_parse(&argp_parser, argc, argv, 0, NULL, &options);
	signal(SIGPIPE, SIG_IGN);
	settings = settings_load(options.config, &err);
	if (settings == NULL) {
		print_error(&err);
		return EXIT_SETTINGS;
	}
	if (options.check_only) {
		printf("%s: valid\n", options.config);
		settings_free(settings);
		return EXIT_SUCCESS;
	}
	if (sodium_init() < 0 ||
	    !log_init(settings->instance, settings->log_level) ||
	    !log_sink_start(STDOUT_FILENO)) {
		fprintf(stderr,
			"wisteriad: cannot initialise libsodium or the log\n");
		return EXIT_FAILURE;
	}
	ok = settings->fleet != NULL
		     ? fleet_daemon_run(settings, options.config,
					&platform_dialect, &err)
		     : daemon_run(settings, &err);
	if (!ok)
		print_error(&err);
	log_sink_stop();
	settings_free(settings);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
