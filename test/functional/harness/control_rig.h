#ifndef TEST_FUNCTIONAL_HARNESS_CONTROL_RIG_H
#define TEST_FUNCTIONAL_HARNESS_CONTROL_RIG_H

#include "harness/harness.h"
#include "harness/relay.h"

#include "wisteria/control/announcer.h"
#include "wisteria/control/lease_client.h"
#include "wisteria/control/view_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"

#define RIG_CONTROLS_MAX 5
#define RIG_DAEMONS_MAX 32
#define RIG_AGENT_ENDPOINTS 6 /* of each agent */
/* Creating the first preset and putting it in force makes two revisions. */
#define RIG_FIRST_REVISION 2

/* A process with the control role only. */
typedef struct {
	char name[HARNESS_NAME_BYTES];
	const char *address;
	relay_t *relay; /* through which its peers reach it; or NULL */
	const char *data_dir;
	const char *settings;
	harness_process_t *process;
} rig_control_t;

/*
 * A daemon in the test process that renews its lease and, if it is an agent,
 * announces its endpoints.
 */
typedef struct {
	char name[HARNESS_NAME_BYTES];
	net_t net;
	settings_t settings;
	settings_peer_t peers[RIG_CONTROLS_MAX];
	view_board_t board;
	lease_client_t *lease;
	announcer_t *announcer; /* NULL unless the daemon is an agent */
	settings_agent_t agent;
	settings_endpoint_t endpoints[RIG_AGENT_ENDPOINTS];
	char endpoint_names[RIG_AGENT_ENDPOINTS][2 * HARNESS_NAME_BYTES];
} rig_daemon_t;

typedef struct {
	uint32_t outcome; /* an order_outcome_t */
	uint64_t revision;
	bool answered;
	char winner[HARNESS_NAME_BYTES];
} rig_order_result_t;

/* Control instances that run as processes, and a client that sends orders. */
typedef struct {
	conn_handler_t handler;
	harness_t *harness;
	uv_loop_t loop;
	net_t net;
	rig_control_t controls[RIG_CONTROLS_MAX];
	size_t control_count;
	size_t voter_count; /* the first ones; the others are learners */
	link_t links[RIG_CONTROLS_MAX];
	rig_daemon_t *daemons[RIG_DAEMONS_MAX];
	size_t daemon_count;
	const char *order_id;	   /* whose reply is awaited; or NULL */
	rig_order_result_t answer; /* to that order */
	uint64_t orders; /* submitted by control_rig_submit_change() */
	uint8_t key[NET_KEY_BYTES];
} control_rig_t;

void control_rig_init(control_rig_t *rig, harness_t *harness, size_t controls,
		      size_t voters, bool relays) ATTR_NONNULL_ALL;
void control_rig_finish(control_rig_t *rig) ATTR_NONNULL_ALL;
void control_rig_start(control_rig_t *rig, size_t control) ATTR_NONNULL_ALL;
bool control_rig_start_all(control_rig_t *rig)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void control_rig_wipe_data(control_rig_t *rig, size_t control) ATTR_NONNULL_ALL;
size_t control_rig_leader(control_rig_t *rig) ATTR_NONNULL_ALL;
rig_daemon_t *control_rig_add_daemon(control_rig_t *rig, const char *name,
				     size_t first_control,
				     size_t control_count) ATTR_NONNULL_ALL;
void control_rig_make_agent(control_rig_t *rig,
			    rig_daemon_t *daemon) ATTR_NONNULL_ALL;
const view_t *control_rig_view(rig_daemon_t *daemon) ATTR_NONNULL_ALL;
uint64_t control_rig_revision(rig_daemon_t *daemon) ATTR_NONNULL_ALL;
void control_rig_run_for(control_rig_t *rig,
			 clock_ms_t duration_ms) ATTR_NONNULL_ALL;
bool control_rig_run_until(control_rig_t *rig, bool (*condition)(void *user),
			   void *user, clock_ms_t limit_ms)
	ATTR_NONNULL(1, 2) ATTR_WARN_UNUSED;
rig_order_result_t
control_rig_try_order(control_rig_t *rig, size_t control,
		      const msg_order_t *order) ATTR_NONNULL_ALL;
rig_order_result_t
control_rig_submit_order(control_rig_t *rig, size_t control,
			 const msg_order_t *order) ATTR_NONNULL_ALL;
rig_order_result_t control_rig_submit_change(control_rig_t *rig,
					     size_t control) ATTR_NONNULL_ALL;

#endif
