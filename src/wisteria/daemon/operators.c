/*
 * The way of an operator's question from the HTTP thread to the control role
 * and back.  Orders are answered when committed; everything else is read from
 * the state here once a quorum has confirmed it, or is marked as unconfirmed.
 */
#include "wisteria/daemon/operators.h"

#include <string.h>

#include <glib.h>

#include "wisteria/admin/admin.h"
#include "wisteria/base/mailbox.h"
#include "wisteria/control/directory.h"

/* Endpoints and members on their way into one answer. */
typedef struct {
	admin_member_t members[RAFT_MEMBERS_MAX];
	GArray *endpoints; /* of admin_endpoint_t */
} answer_t;

static operators_t *operators_of(const admin_job_t *job)
{
	return job->user;
}

static void on_order_done(void *user, const msg_order_reply_t *reply)
{
	admin_job_reply_order(user, reply);
}

static const char *role_of(const control_status_t *status,
			   const raft_member_t *member)
{
	if (strcmp(member->instance, status->leader) == 0)
		return "leader";
	return member->voter ? "follower" : "learner";
}

static void fill_members(answer_t *answer, const control_status_t *status,
			 admin_state_t *state)
{
	for (uint32_t i = 0; i < status->members->count; i++) {
		const raft_member_t *member = &status->members->items[i];

		answer->members[i] = (admin_member_t){
			.instance = member->instance,
			.role = role_of(status, member),
			.is_voter = member->voter,
		};
		if (strcmp(member->instance, state->instance) == 0)
			state->role = answer->members[i].role;
	}
	state->members = answer->members;
	state->member_count = status->members->count;
}

static void fill_endpoints(answer_t *answer, directory_t *directory,
			   admin_state_t *state)
{
	directory_delta_t all;

	directory_delta(directory, 0, 0, 0, &all);
	for (size_t i = 0; i < all.endpoint_count; i++) {
		admin_endpoint_t endpoint = { .endpoint = &all.endpoints[i] };

		endpoint.knows_running = directory_running_count(
			directory, all.endpoints[i].name, &endpoint.running);
		g_array_append_val(answer->endpoints, endpoint);
	}
	state->endpoints = (admin_endpoint_t *)answer->endpoints->data;
	state->endpoint_count = answer->endpoints->len;
}

static void on_read_done(void *user, bool confirmed)
{
	admin_job_t *job = user;
	const operators_t *operators = operators_of(job);
	control_status_t status;
	answer_t answer = { .endpoints = g_array_new(
				    FALSE, FALSE, sizeof(admin_endpoint_t)) };
	admin_state_t state = {
		.store = control_store(operators->control),
		.instance = operators->instance,
		.role = "outside",
		.is_confirmed = confirmed,
	};

	control_status(operators->control, &status);
	state.leader = status.leader;
	state.term = status.term;
	state.commit_index = status.commit;
	fill_members(&answer, &status, &state);
	fill_endpoints(&answer, control_directory(operators->control), &state);
	admin_job_reply_state(job, &state);
	g_array_free(answer.endpoints, TRUE);
}

static void run_job(task_t *task)
{
	admin_job_t *job = CONTAINER_OF(task, admin_job_t, task);
	control_t *control = operators_of(job)->control;

	if (job->kind == ADMIN_ORDER)
		control_submit_order(control, &job->order, on_order_done, job);
	else
		control_read_barrier(control, on_read_done, job);
}

static void submit(admin_backend_t *backend, admin_job_t *job)
{
	operators_t *operators = CONTAINER_OF(backend, operators_t, backend);

	job->user = operators;
	job->task.run = run_job;
	mailbox_post(operators->mailbox, &job->task);
}

/* Prepares the way to "control", whose thread empties "mailbox". */
void operators_init(operators_t *operators, mailbox_t *mailbox,
		    control_t *control, const char *instance)
{
	*operators = (operators_t){
		.backend = { .submit = submit },
		.mailbox = mailbox,
		.control = control,
		.instance = instance,
	};
}
