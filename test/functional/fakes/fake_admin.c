/*
 * A fake control instance: the admin API over a store in memory, without a
 * control group.  With --lose-answers=N the first N orders are applied but
 * their outcome is reported as unknown, as when the quorum replies too late.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <sodium.h>

#include "wisteria/admin/admin.h"
#include "wisteria/base/err.h"
#include "wisteria/store/store.h"

typedef struct {
	admin_backend_t backend; /* first member */
	store_t store;
	uint64_t log_index;
	unsigned answers_to_lose;
	const char *listen;
	const char *token_file;
} fake_admin_t;

static void answer_state(fake_admin_t *fake, admin_job_t *job)
{
	static const msg_endpoint_t busy = { .name = "stage-0-0",
					     .target = "modelo",
					     .end_layer = 4,
					     .slots = 8 };
	static const msg_endpoint_t idle = { .name = "stage-0-1",
					     .target = "modelo",
					     .end_layer = 4,
					     .slots = 8 };
	const admin_endpoint_t endpoints[] = { { &busy, true, 3 },
					       { &idle, true, 0 } };
	const admin_member_t members[] = { { "entry-0", "leader", true } };
	const admin_state_t state = {
		.store = &fake->store,
		.instance = "entry-0",
		.role = "leader",
		.leader = "entry-0",
		.term = 1,
		.commit_index = fake->log_index,
		.is_confirmed = true,
		.members = members,
		.member_count = 1,
		.endpoints = endpoints,
		.endpoint_count = 2,
	};

	admin_job_reply_state(job, &state);
}

/* Runs on the listener's only thread. */
static void submit(admin_backend_t *backend, admin_job_t *job)
{
	fake_admin_t *fake = (fake_admin_t *)backend;
	msg_order_reply_t reply;

	if (job->kind != ADMIN_ORDER) {
		answer_state(fake, job);
		return;
	}
	store_apply(&fake->store, &job->order, ++fake->log_index, &reply);
	if (fake->answers_to_lose == 0) {
		admin_job_reply_order(job, &reply);
		return;
	}
	fake->answers_to_lose--;
	admin_job_reply_unknown(job, "no quorum in time");
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	fake_admin_t *fake = state->input;

	switch (key) {
	case 'l':
		fake->listen = text;
		return 0;
	case 't':
		fake->token_file = text;
		return 0;
	case 'n':
		fake->answers_to_lose = (unsigned)strtoul(text, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Where to listen", 0 },
	{ "token-file", 't', "FILE", 0, "The operators' token", 0 },
	{ "lose-answers", 'n', "N", 0, "Orders answered as unknown", 0 },
	{ NULL, 0, NULL, 0, NULL, 0 },
};

int main(int argc, char **argv)
{
	static fake_admin_t fake = { .backend = { .submit = submit } };
	const struct argp argp = { .options = options, .parser = parse_option };
	err_t err = ERR_INIT;
	sigset_t signals;
	admin_t *admin;
	int received;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigprocmask(SIG_BLOCK, &signals, NULL);
	argp_parse(&argp, argc, argv, 0, NULL, &fake);
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	store_init(&fake.store);
	admin = admin_new(fake.listen, fake.token_file, &fake.backend, &err);
	if (admin == NULL) {
		fprintf(stderr, "%s: %s\n", err.step, err.text);
		return EXIT_FAILURE;
	}
	sigwait(&signals, &received);
	admin_free(admin);
	store_finish(&fake.store);
	return EXIT_SUCCESS;
}
