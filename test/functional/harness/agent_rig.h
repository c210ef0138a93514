#ifndef TEST_FUNCTIONAL_HARNESS_AGENT_RIG_H
#define TEST_FUNCTIONAL_HARNESS_AGENT_RIG_H

#include "harness/harness.h"

#include "wisteria/agent/agent.h"
#include "wisteria/control/view_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/session/entry_session.h"
#include "wisteria/settings/settings_defs.h"

#define RIG_AGENTS_MAX 16
#define RIG_ENDPOINTS_MAX 4
#define RIG_MODEL "modelo"

struct agent_rig_t;

/* An agent in the test process, with its own connections on the rig's loop. */
typedef struct {
	struct agent_rig_t *rig;
	char instance[HARNESS_NAME_BYTES];
	uint64_t incarnation;
	net_t *net; /* NULL while the agent is stopped */
	agent_t *agent;
	settings_t settings;
	settings_agent_t role;
	settings_endpoint_t endpoints[RIG_ENDPOINTS_MAX];
} rig_agent_t;

/* One request and its result so far. */
typedef struct {
	entry_session_ops_t ops; /* first member */
	struct agent_rig_t *rig;
	entry_session_t *session;
	char *prompt;
	uint32_t max_tokens;
	GString *answer;
	uint32_t tokens;
	bool finished;
	bool refused;
	bool not_run;
	uint64_t session_number;
	/* Of the agent of the first hop; set when the entry is replaced. */
	char first_hop_address[ROUTER_NAME_BYTES];
	char refusal_text[ERR_TEXT_BYTES];
	clock_ms_t last_token_ms;
	clock_ms_t longest_gap_ms; /* between tokens */
} rig_request_t;

/*
 * Agents over fake engines, and a minimal entry, all on one loop that the
 * test's thread runs.
 */
typedef struct agent_rig_t {
	harness_t *harness;
	uv_loop_t loop;
	uv_timer_t tick;
	view_board_t *board;
	GPtrArray *closed_nets; /* freed after the loop is closed */
	rig_agent_t agents[RIG_AGENTS_MAX];
	size_t agent_count;
	net_t *entry_net;
	uint32_t entry_number;
	GHashTable *links; /* address -> rig_link_t */
	uint32_t takeovers_refused;
	GPtrArray *requests;
	uint32_t layers;
	uint64_t next_session;
	preset_recovery_t recovery;
	bool may_retry;
	char failed[ROUTER_NAME_BYTES];
	const char *journal;
	uint32_t call_replies;	     /* received so far */
	msg_call_reply_t call_reply; /* the last one; pointers are invalid */
	char call_body[256];	     /* of the last reply */
} agent_rig_t;

void agent_rig_init(agent_rig_t *rig, harness_t *harness,
		    uint32_t layers) ATTR_NONNULL_ALL;
void agent_rig_finish(agent_rig_t *rig) ATTR_NONNULL_ALL;
rig_agent_t *agent_rig_add_agent(agent_rig_t *rig) ATTR_NONNULL_ALL;
settings_endpoint_t *agent_rig_add_endpoint(rig_agent_t *agent, uint32_t first,
					    uint32_t end) ATTR_NONNULL_ALL;
void agent_rig_start(rig_agent_t *agent) ATTR_NONNULL_ALL;
void agent_rig_kill(rig_agent_t *agent) ATTR_NONNULL_ALL;
void agent_rig_publish_view(agent_rig_t *rig, uint64_t revision,
			    const char *leaving) ATTR_NONNULL(1);
rig_request_t *agent_rig_send_request(agent_rig_t *rig, const char *prompt,
				      uint32_t max_tokens) ATTR_NONNULL_ALL;
bool agent_rig_run_until(agent_rig_t *rig, bool (*condition)(void *user),
			 void *user) ATTR_NONNULL(1, 2);
bool agent_rig_run_all(agent_rig_t *rig) ATTR_NONNULL_ALL;
bool agent_rig_has_expected_answer(const rig_request_t *request)
	ATTR_NONNULL_ALL;
void agent_rig_replace_entry(agent_rig_t *rig) ATTR_NONNULL_ALL;
void agent_rig_request_takeover(rig_request_t *request,
				const char *customer) ATTR_NONNULL_ALL;
void agent_rig_send(agent_rig_t *rig, const char *address, msg_type_t type,
		    const void *body) ATTR_NONNULL_ALL;
bool agent_rig_is_connected(agent_rig_t *rig,
			    const char *address) ATTR_NONNULL_ALL;
void agent_rig_disconnect(agent_rig_t *rig,
			  const char *address) ATTR_NONNULL_ALL;

#endif
