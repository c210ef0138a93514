/*
 * Passes operators' requests from the HTTP thread to the control role and the
 * replies back.  Orders are answered when applied, or with an unknown outcome
 * after a timeout.  Queries are answered from the local store once a quorum has
 * confirmed that it includes everything committed before the query, or after a
 * timeout with a reply that is marked as unconfirmed.  The endpoints in a reply
 * are those that agents announced to this instance; no quorum confirms them.
 */
#include "wisteria/daemon/control_admin.h"

#include <string.h>

#include <glib.h>

#include "wisteria/admin/admin.h"
#include "wisteria/base/mailbox.h"
#include "wisteria/control/directory.h"

/* Storage of the arrays that an admin_state_t refers to. */
typedef struct {
	admin_member_t members[RAFT_MEMBERS_MAX];
	GArray *endpoints; /* of admin_endpoint_t */
} state_arrays_t;

static control_admin_t *admin_of(const admin_job_t *job)
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

static void fill_members(state_arrays_t *arrays, const control_status_t *status,
			 admin_state_t *state)
{
	for (uint32_t i = 0; i < status->members->count; i++) {
		const raft_member_t *member = &status->members->items[i];

		arrays->members[i] = (admin_member_t){
			.instance = member->instance,
			.role = role_of(status, member),
			.is_voter = member->voter,
		};
		if (strcmp(member->instance, state->instance) == 0)
			state->role = arrays->members[i].role;
	}
	state->members = arrays->members;
	state->member_count = status->members->count;
}

static void fill_endpoints(state_arrays_t *arrays, directory_t *directory,
			   admin_state_t *state)
{
	directory_delta_t delta;

	/* Epoch 0 asks for the full directory, whatever version and time. */
	directory_delta(directory, 0, 0, 0, &delta);
	for (size_t i = 0; i < delta.endpoint_count; i++) {
		admin_endpoint_t endpoint = { .endpoint = &delta.endpoints[i] };

		endpoint.has_running = directory_running_count(
			directory, delta.endpoints[i].name, &endpoint.running);
		g_array_append_val(arrays->endpoints, endpoint);
	}
	state->endpoints = (admin_endpoint_t *)arrays->endpoints->data;
	state->endpoint_count = arrays->endpoints->len;
}

static void on_read_barrier_done(void *user, bool confirmed)
{
	admin_job_t *job = user;
	const control_admin_t *admin = admin_of(job);
	control_status_t status;
	state_arrays_t arrays = {
		.endpoints = g_array_new(FALSE, FALSE, sizeof(admin_endpoint_t))
	};
	admin_state_t state = {
		.store = control_store(admin->control),
		.instance = admin->instance,
		.role = "outside",
		.is_confirmed = confirmed,
	};

	control_status(admin->control, &status);
	state.leader = status.leader;
	state.term = status.term;
	state.commit_index = status.commit;
	fill_members(&arrays, &status, &state);
	fill_endpoints(&arrays, control_directory(admin->control), &state);
	admin_job_reply_state(job, &state);
	g_array_free(arrays.endpoints, TRUE);
}

static void run_job(task_t *task)
{
	admin_job_t *job = CONTAINER_OF(task, admin_job_t, task);
	control_t *control = admin_of(job)->control;

	if (job->kind == ADMIN_ORDER)
		control_submit_order(control, &job->order, on_order_done, job);
	else
		control_read_barrier(control, on_read_barrier_done, job);
}

static void submit(admin_backend_t *backend, admin_job_t *job)
{
	control_admin_t *admin =
		CONTAINER_OF(backend, control_admin_t, backend);

	job->user = admin;
	job->task.run = run_job;
	mailbox_post(admin->mailbox, &job->task);
}

/*
 * Initializes the backend for "control", whose thread runs the tasks that are
 * posted to "mailbox".
 */
void control_admin_init(control_admin_t *admin, mailbox_t *mailbox,
			control_t *control, const char *instance)
{
	*admin = (control_admin_t){
		.backend = { .submit = submit },
		.mailbox = mailbox,
		.control = control,
		.instance = instance,
	};
}
