/*
 * Tests agents with fake engines: answers stay complete while agents, engines
 * and the entry are killed, and a non-idempotent call runs at most once.
 */
#include "../unit/unit.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "fakes/answer.h"
#include "harness/agent_rig.h"
#include "harness/fake_endpoint.h"
#include "harness/http.h"
#include "harness/journal.h"

#define LAYERS 12
#define RANGES 3
#define REQUESTS 40
#define STEP_US 500u
/* Tokens that the last request has received when a fault is injected. */
#define FAULT_AFTER_TOKENS 5

static harness_t harness;
static agent_rig_t rig;
/* By agent; if an agent has several engines, the last one. */
static harness_process_t *engines[RIG_AGENTS_MAX];

static settings_endpoint_t *add_model_endpoint(rig_agent_t *agent,
					       uint32_t range)
{
	uint32_t first = LAYERS * range / RANGES;
	uint32_t end = LAYERS * (range + 1) / RANGES;
	settings_endpoint_t *endpoint =
		agent_rig_add_endpoint(agent, first, end);
	const char *address = harness_address(&harness);
	const char *const argv[] = {
		harness_program(&harness, "fake_engine"),
		harness_string(&harness, "--first-layer=%u", first),
		harness_string(&harness, "--end-layer=%u", end),
		harness_string(&harness, "--layers=%u", LAYERS),
		harness_string(&harness, "--step-us=%u", STEP_US),
		harness_string(&harness, "--journal=%s", rig.journal),
		harness_string(&harness, "--listen=%s", address),
		NULL,
	};

	engines[rig.agent_count - 1] =
		harness_start(&harness, endpoint->name, argv);
	endpoint->url = (char *)harness_string(&harness, "http://%s", address);
	CU_ASSERT_FATAL(
		harness_wait_http(address, "/v1/health", 200, HARNESS_WAIT_MS));
	return endpoint;
}

/*
 * Starts two agents for each layer range: agents 0, 2 and 4 serve the ranges
 * at first, and 1, 3 and 5 are their replacements.
 */
static void start_agents(preset_recovery_t recovery)
{
	harness_init(&harness, "agent");
	agent_rig_init(&rig, &harness, LAYERS);
	rig.recovery = recovery;
	for (uint32_t range = 0; range < RANGES; range++)
		for (int i = 0; i < 2; i++) {
			rig_agent_t *agent = agent_rig_add_agent(&rig);

			add_model_endpoint(agent, range);
			agent_rig_start(agent);
		}
}

static void send_requests(void)
{
	for (int i = 0; i < REQUESTS; i++) {
		char *prompt = g_strdup_printf("summarise order %d", i);

		agent_rig_send_request(&rig, prompt, 0);
		g_free(prompt);
	}
}

static bool all_agents_idle(void *user)
{
	(void)user;
	for (size_t i = 0; i < rig.agent_count; i++)
		if (rig.agents[i].net != NULL &&
		    !agent_is_idle(rig.agents[i].agent))
			return false;
	return true;
}

static void run_and_check_answers(void)
{
	journal_t journal;

	CU_ASSERT(agent_rig_run_all(&rig));
	/*
	 * The agents don't run during the check, so wait until no session or
	 * call is in progress.
	 */
	CU_ASSERT(agent_rig_run_until(&rig, all_agents_idle, NULL));
	journal_init(&journal, LAYERS);
	journal.sessions_must_complete = false;
	for (guint i = 0; i < rig.requests->len; i++) {
		const rig_request_t *request =
			g_ptr_array_index(rig.requests, i);

		CU_ASSERT(agent_rig_has_expected_answer(request));
		journal_expect(&journal, request->tokens);
	}
	journal_read(&journal, rig.journal);
	CU_ASSERT(journal_check(&journal));
	journal_finish(&journal);
}

static void finish(void)
{
	agent_rig_finish(&rig);
	harness_finish(&harness, CU_get_number_of_failures() == 0);
}

static bool is_streaming_or_refused(void *user)
{
	const rig_request_t *request = user;

	return request->tokens >= FAULT_AFTER_TOKENS || request->refused;
}

static void run_until_streaming(void)
{
	rig_request_t *last =
		g_ptr_array_index(rig.requests, rig.requests->len - 1);

	CU_ASSERT(agent_rig_run_until(&rig, is_streaming_or_refused, last));
}

static void test_complete_answers(void)
{
	start_agents(PRESET_RESTART);
	send_requests();
	run_and_check_answers();
	for (guint i = 0; i < rig.requests->len; i++) {
		const rig_request_t *request =
			g_ptr_array_index(rig.requests, i);

		CU_ASSERT_EQUAL(entry_session_attempt(request->session), 1);
	}
	finish();
}

static void test_max_tokens(void)
{
	const rig_request_t *request;

	start_agents(PRESET_RESTART);
	request = agent_rig_send_request(&rig, "short", 3);
	run_and_check_answers();
	CU_ASSERT_EQUAL(request->tokens, 3);
	finish();
}

/*
 * Returns how many sequences the engines started at "first_layer".  A journal
 * line begins with the session, attempt, position and first layer.
 */
static guint count_sequence_starts(uint32_t first_layer)
{
	char *text = harness_read_file(rig.journal);
	char **lines = g_strsplit(text, "\n", -1);
	guint count = 0;

	for (char **line = lines; *line != NULL; line++) {
		uint32_t position;
		uint32_t layer;

		if (sscanf(*line, "%*u %*u %u %u", &position, &layer) == 2 &&
		    position == 0 && layer == first_layer)
			count++;
	}
	g_strfreev(lines);
	g_free(text);
	return count;
}

/*
 * Checks that replay kept the state of all ranges except the one that agent
 * "lost" or its engine served: in the others, each sequence started only once.
 */
static void check_other_ranges_kept(size_t lost)
{
	for (size_t i = 0; i < rig.agent_count; i += 2)
		if (i != lost)
			CU_ASSERT_EQUAL(
				count_sequence_starts(
					rig.agents[i].endpoints[0].first_layer),
				REQUESTS);
}

static void kill_agents(preset_recovery_t recovery, size_t first, size_t second)
{
	start_agents(recovery);
	send_requests();
	run_until_streaming();
	agent_rig_kill(&rig.agents[first]);
	if (second != first)
		agent_rig_kill(&rig.agents[second]);
	run_and_check_answers();
	if (recovery == PRESET_REPLAY && second == first)
		check_other_ranges_kept(first);
	finish();
}

static void test_restart_first_lost(void)
{
	kill_agents(PRESET_RESTART, 0, 0);
}

static void test_restart_middle_lost(void)
{
	kill_agents(PRESET_RESTART, 2, 2);
}

static void test_restart_last_lost(void)
{
	kill_agents(PRESET_RESTART, 4, 4);
}

static void test_restart_two_lost(void)
{
	kill_agents(PRESET_RESTART, 0, 4);
}

static void test_replay_first_lost(void)
{
	kill_agents(PRESET_REPLAY, 0, 0);
}

static void test_replay_middle_lost(void)
{
	kill_agents(PRESET_REPLAY, 2, 2);
}

static void test_replay_last_lost(void)
{
	kill_agents(PRESET_REPLAY, 4, 4);
}

static void test_replay_two_lost(void)
{
	kill_agents(PRESET_REPLAY, 2, 4);
}

static void kill_engine(preset_recovery_t recovery)
{
	start_agents(recovery);
	send_requests();
	run_until_streaming();
	harness_kill(engines[2]);
	run_and_check_answers();
	finish();
}

static void test_engine_lost(void)
{
	kill_engine(PRESET_RESTART);
	kill_engine(PRESET_REPLAY);
}

static void configure_engine(size_t engine, const char *query)
{
	const settings_endpoint_t *endpoint = &rig.agents[engine].endpoints[0];
	const http_params_t params = {
		.method = "PUT",
		.url = harness_string(&harness, "%s/fake?%s", endpoint->url,
				      query),
	};
	http_client_t client;
	const http_request_t *request;

	http_client_init(&client);
	request = http_send(&client, &params);
	CU_ASSERT(http_wait(&client, request, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(request->status, 200);
	http_client_finish(&client);
}

/*
 * An engine hangs with open connections; its streams continue on the other
 * engine of its range.
 */
static void test_engine_silent(void)
{
	start_agents(PRESET_REPLAY);
	send_requests();
	run_until_streaming();
	harness_signal(engines[2], SIGSTOP);
	run_and_check_answers();
	check_other_ranges_kept(2);
	finish();
}

static void test_engine_reply_without_end_is_refused(void)
{
	start_agents(PRESET_REPLAY);
	send_requests();
	run_until_streaming();
	configure_engine(2, "junk=1");
	run_and_check_answers();
	configure_engine(2, "junk=0");
	finish();
}

/* A step that takes far longer than all earlier ones is not a failure. */
static void test_engine_slow(void)
{
	const rig_request_t *request;

	start_agents(PRESET_RESTART);
	request = agent_rig_send_request(&rig, "slow", FAULT_AFTER_TOKENS + 2);
	run_until_streaming();
	configure_engine(2, "step_us=1500000");
	run_and_check_answers();
	CU_ASSERT_EQUAL(entry_session_attempt(request->session), 1);
	finish();
}

/*
 * Kills an agent and restarts it at once, with a new incarnation and without
 * its sessions.
 */
static void restart_agent(preset_recovery_t recovery, size_t index)
{
	start_agents(recovery);
	send_requests();
	run_until_streaming();
	agent_rig_kill(&rig.agents[index]);
	uv_run(&rig.loop, UV_RUN_NOWAIT);
	uv_run(&rig.loop, UV_RUN_NOWAIT);
	agent_rig_start(&rig.agents[index]);
	run_and_check_answers();
	finish();
}

static void test_new_incarnation(void)
{
	restart_agent(PRESET_RESTART, 0);
	restart_agent(PRESET_RESTART, 2);
	restart_agent(PRESET_REPLAY, 2);
	restart_agent(PRESET_REPLAY, 4);
}

/* The entry's connections break repeatedly; no session starts over. */
static void test_entry_connection_lost(void)
{
	start_agents(PRESET_RESTART);
	send_requests();
	for (int i = 0; i < 5; i++) {
		run_until_streaming();
		for (size_t agent = 0; agent < rig.agent_count; agent += 2)
			agent_rig_disconnect(&rig,
					     rig.agents[agent].role.listen);
		for (int iteration = 0; iteration < 50; iteration++)
			uv_run(&rig.loop, UV_RUN_ONCE);
	}
	run_and_check_answers();
	for (guint i = 0; i < rig.requests->len; i++) {
		const rig_request_t *request =
			g_ptr_array_index(rig.requests, i);

		CU_ASSERT_EQUAL(entry_session_attempt(request->session), 1);
	}
	finish();
}

static bool link_is_up(void *user)
{
	return agent_rig_is_connected(&rig, user);
}

static rig_request_t *replace_entry(preset_recovery_t recovery)
{
	rig_request_t *first;

	start_agents(recovery);
	send_requests();
	run_until_streaming();
	first = g_ptr_array_index(rig.requests, 0);
	agent_rig_replace_entry(&rig);
	CU_ASSERT(agent_rig_run_until(&rig, link_is_up,
				      first->first_hop_address));
	return first;
}

/*
 * The entry is lost and another one takes over its streams; then the agent of
 * the middle range is killed.
 */
static void take_over_streams(preset_recovery_t recovery)
{
	replace_entry(recovery);
	for (guint i = 0; i < rig.requests->len; i++)
		agent_rig_request_takeover(g_ptr_array_index(rig.requests, i),
					   "recife");
	uv_run(&rig.loop, UV_RUN_ONCE);
	agent_rig_kill(&rig.agents[2]);
	run_and_check_answers();
	finish();
}

static bool is_takeover_refused(void *user)
{
	(void)user;
	return rig.takeovers_refused > 0;
}

/* The stream's customer is "recife", as in all requests of the rig. */
static void test_takeover_of_another_customer(void)
{
	rig_request_t *first = replace_entry(PRESET_RESTART);

	agent_rig_request_takeover(first, "olinda");
	CU_ASSERT(agent_rig_run_until(&rig, is_takeover_refused, NULL));
	CU_ASSERT_PTR_NULL(first->session);
	finish();
}

static void test_entry_lost(void)
{
	take_over_streams(PRESET_RESTART);
	take_over_streams(PRESET_REPLAY);
}

/* One agent serves two endpoints of the same chain. */
static void test_two_hops_of_one_agent(void)
{
	rig_agent_t *agent;

	harness_init(&harness, "agent");
	agent_rig_init(&rig, &harness, LAYERS);
	agent = agent_rig_add_agent(&rig);
	add_model_endpoint(agent, 0);
	add_model_endpoint(agent, 2);
	agent_rig_start(agent);
	agent = agent_rig_add_agent(&rig);
	add_model_endpoint(agent, 1);
	agent_rig_start(agent);
	send_requests();
	run_and_check_answers();
	finish();
}

static const rig_request_t *expect_refusal(void)
{
	const rig_request_t *request =
		agent_rig_send_request(&rig, "refused", 0);

	CU_ASSERT(agent_rig_run_all(&rig));
	CU_ASSERT(request->refused);
	CU_ASSERT(request->not_run);
	return request;
}

/*
 * A request that an agent refuses never runs: the journal stays empty.  Agent 2
 * refuses because its endpoint is leaving, then because the endpoint has no
 * slots, then because the agent is draining; agent 3, which serves the same
 * range, is killed.
 */
static void test_refusals(void)
{
	char *text;

	start_agents(PRESET_RESTART);
	agent_rig_kill(&rig.agents[3]);
	agent_rig_publish_view(&rig, 1, rig.agents[2].endpoints[0].name);
	expect_refusal();
	agent_rig_publish_view(&rig, 1, NULL);
	rig.agents[2].endpoints[0].slots = 0;
	expect_refusal();
	rig.agents[2].endpoints[0].slots = 64;
	agent_drain(rig.agents[2].agent);
	expect_refusal();
	text = harness_read_file(rig.journal);
	CU_ASSERT_STRING_EQUAL(text, "");
	g_free(text);
	finish();
}

/* Starts one agent with an endpoint of a service. */
static void start_service(void)
{
	rig_agent_t *agent;
	settings_endpoint_t *endpoint;
	const char *address;

	harness_init(&harness, "agent");
	agent_rig_init(&rig, &harness, LAYERS);
	agent = agent_rig_add_agent(&rig);
	endpoint = agent_rig_add_endpoint(agent, 0, 0);
	address = harness_address(&harness);
	endpoint->url = (char *)harness_string(&harness, "http://%s", address);
	{
		const char *const argv[] = {
			harness_program(&harness, "fake_service"),
			harness_string(&harness, "--journal=%s", rig.journal),
			harness_string(&harness, "--listen=%s", address),
			NULL,
		};

		engines[0] = harness_start(&harness, "service", argv);
	}
	CU_ASSERT_FATAL(
		harness_wait_http(address, "/ready", 200, HARNESS_WAIT_MS));
	agent_rig_start(agent);
}

static bool has_call_reply(void *user)
{
	const uint32_t *count = user;

	return rig.call_replies >= *count;
}

/*
 * Sends a call to an endpoint of the first agent.  "incarnation" is 0 when the
 * call is first sent, otherwise that of the agent to which it was first sent;
 * the rig's agent has incarnation 1.
 */
static void post_call(uint64_t id, size_t endpoint, const char *fault,
		      uint64_t incarnation, const char *body)
{
	const msg_header_t header = { "X-Fake", fault };
	const msg_call_t call = {
		.call = id,
		.revision = 1,
		.endpoint = rig.agents[0].endpoints[endpoint].name,
		.method = "POST",
		.path = "/book",
		.headers = &header,
		.header_count = 1,
		.body = { (const uint8_t *)body, strlen(body) },
		/* Beyond the wait below, so that no deadline ends the call. */
		.remaining_ms = 2 * HARNESS_WAIT_MS,
		.traceparent = "",
		.incarnation = incarnation,
	};

	agent_rig_send(&rig, rig.agents[0].role.listen, MSG_CALL, &call);
}

/* Sends a call to the first endpoint and waits for the reply. */
static void send_call(uint64_t id, const char *fault, uint64_t incarnation)
{
	const char *address = rig.agents[0].role.listen;
	uint32_t expected = rig.call_replies + 1;

	CU_ASSERT(agent_rig_run_until(&rig, link_is_up, (void *)address));
	post_call(id, 0, fault, incarnation, "pallet-7");
	CU_ASSERT(agent_rig_run_until(&rig, has_call_reply, &expected));
	CU_ASSERT_EQUAL(rig.call_reply.call, id);
}

static void send_cancel(uint64_t id, uint64_t incarnation)
{
	const msg_call_cancel_t cancel = { id, incarnation };
	const char *address = rig.agents[0].role.listen;
	uint32_t expected = rig.call_replies + 1;

	agent_rig_send(&rig, address, MSG_CALL_CANCEL, &cancel);
	CU_ASSERT(agent_rig_run_until(&rig, has_call_reply, &expected));
}

/* Sends a call with a long body to the first endpoint. */
static void send_upload(uint64_t id, const char *fault, const char *body)
{
	const char *address = rig.agents[0].role.listen;
	uint32_t expected = rig.call_replies + 1;

	CU_ASSERT(agent_rig_run_until(&rig, link_is_up, (void *)address));
	post_call(id, 0, fault, 0, body);
	CU_ASSERT(agent_rig_run_until(&rig, has_call_reply, &expected));
	CU_ASSERT_EQUAL(rig.call_reply.call, id);
}

static unsigned count_runs(void)
{
	char *text = harness_read_file(rig.journal);
	unsigned count = 0;

	for (const char *match = strstr(text, "POST /book"); match != NULL;
	     match = strstr(match + 1, "POST /book"))
		count++;
	g_free(text);
	return count;
}

/* A call that is sent again or cancelled after it ended gets the same reply. */
static void test_call_runs_once(void)
{
	start_service();
	send_call(1, "", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_DONE);
	CU_ASSERT_EQUAL(rig.call_reply.status, 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(rig.call_body, "\"bytes\":8"));
	send_call(1, "", 1);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_DONE);
	CU_ASSERT_PTR_NOT_NULL(strstr(rig.call_body, "\"bytes\":8"));
	send_cancel(1, 1);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_DONE);
	CU_ASSERT_EQUAL(count_runs(), 1);
	finish();
}

/* The service runs the call and closes the connection without a response. */
static void test_call_unanswered_is_unknown(void)
{
	start_service();
	send_call(2, "drop", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
	send_call(2, "drop", 1);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
	CU_ASSERT_EQUAL(count_runs(), 1);
	finish();
}

static void test_call_with_stream_ended_inside_event_is_unknown(void)
{
	start_service();
	send_call(3, "stream", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_DONE);
	CU_ASSERT_PTR_NOT_NULL(strstr(rig.call_body, "data: 2\n\n"));
	send_call(4, "cut", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
	CU_ASSERT_PTR_NULL(strstr(rig.call_body, "data: 2"));
	CU_ASSERT_EQUAL(count_runs(), 2);
	finish();
}

static void test_call_with_heads_without_end_is_unknown(void)
{
	fake_endpoint_t fake_endpoint;

	start_service();
	fake_endpoint_start(&fake_endpoint, "i-1", "orders", harness.ip,
			    rig.agents[0].role.listen,
			    FAKE_ENDPOINT_ENDLESS_INTERIM);
	rig.agents[0].endpoints[0].url = (char *)harness_string(
		&harness, "http://%s", fake_endpoint.address);
	send_call(5, "", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
	CU_ASSERT_EQUAL(fake_endpoint.runs, 1);
	fake_endpoint_crash(&fake_endpoint);
	finish();
}

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED_HEAD OK_LINE "Transfer-Encoding: chunked\r\n\r\n"

/*
 * Responses that end with their connection before they are complete, or whose
 * status or a field's name is invalid.
 */
static const char *const broken_responses[] = {
	"HTTP/1.1 200 OK",
	OK_LINE,
	OK_LINE "Content-Type: application/json\r\n",
	OK_LINE "Content-Type: application/json\r\nContent-Len",
	OK_LINE "Content-Length: 2\r\n",
	OK_LINE "Content-Length: 2\r\n\r",
	OK_LINE "Transfer-Encoding: chunked\r\n",
	OK_LINE "Transfer-Encoding: chunked\r\n\r",
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n" OK_LINE,
	"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" OK_LINE
	"Content-Type: text/plain\r\n",
	OK_LINE "Content-Length: 9\r\n\r\nshort",
	CHUNKED_HEAD,
	CHUNKED_HEAD "5\r\nshort\r\n",
	CHUNKED_HEAD "5\r\nshort\r\n0\r\n",
	CHUNKED_HEAD "5\r\nshort\r\n0\r\nX-Trailer: a\r\n",
	"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "X Odd: 1\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "X-Odd : 1\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "Content-Length : 1\r\n\r\nhi",
	OK_LINE "Content\x01-Length: 1\r\n\r\nhi",
	OK_LINE "Transfer Encoding: chunked\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "Transfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "X\tOdd: 1\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "X\x01Odd: 1\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "X\x7fOdd: 1\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE ": 1\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "no colon\r\nContent-Length: 2\r\n\r\nhi",
	OK_LINE "X-A: 1\r\n X-Odd: 1\r\nContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" OK_LINE
	"Content-Length: 2\r\n\r\nhi",
	CHUNKED_HEAD "2\r\nhi\r\n0\r\nX Odd: 1\r\n\r\n",
};

/*
 * Guards against a response that broke off, in its head or later, as a
 * complete one: the caller would get a 200 with an empty or a short body.
 */
static void test_call_with_a_broken_response_is_unknown(void)
{
	fake_endpoint_t fake_endpoint;
	uint64_t id = 20;

	start_service();
	fake_endpoint_start(&fake_endpoint, "i-1", "orders", harness.ip,
			    rig.agents[0].role.listen, FAKE_ENDPOINT_TEXT);
	rig.agents[0].endpoints[0].url = (char *)harness_string(
		&harness, "http://%s", fake_endpoint.address);
	for (size_t i = 0; i < ARRAY_SIZE(broken_responses); i++) {
		fake_endpoint.answer_text = broken_responses[i];
		send_call(id++, "", 0);
		CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
		if (rig.call_reply.outcome != CALL_UNKNOWN)
			printf("\n  case %zu: %u %s", i, rig.call_reply.status,
			       rig.call_body);
	}
	CU_ASSERT_EQUAL(fake_endpoint.runs, ARRAY_SIZE(broken_responses));
	fake_endpoint.answer_text = OK_LINE "Content-Length: 5\r\n\r\nwhole";
	send_call(id++, "", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_DONE);
	CU_ASSERT_STRING_EQUAL(rig.call_body, "whole");
	fake_endpoint_crash(&fake_endpoint);
	finish();
}

#define UPLOAD_BYTES 3500000
#define EARLY_RESPONSES 20 /* in each mode */

/*
 * Failure: a part of a response without a length counts as a complete one.  The
 * service sends it at once to a long call, and ends the connection.
 */
static void test_call_with_an_early_response_is_unknown(void)
{
	static const fake_endpoint_mode_t modes[] = {
		FAKE_ENDPOINT_EARLY_RESET,
		FAKE_ENDPOINT_EARLY_END,
		FAKE_ENDPOINT_EARLY_END,
	};
	static const char *const texts[] = {
		OK_LINE "\r\npart",
		OK_LINE "\r\npart",
		OK_LINE "Transfer-Encoding: identity\r\n\r\npart",
	};
	char *body = g_strnfill(UPLOAD_BYTES, 'x');
	fake_endpoint_t fake_endpoint;
	uint64_t id = 20;

	start_service();
	/* Also without a length, but after the service has read the call. */
	send_upload(id++, "stream", body);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_DONE);
	fake_endpoint_start(&fake_endpoint, "i-1", "orders", harness.ip,
			    rig.agents[0].role.listen, modes[0]);
	fake_endpoint.answer_text = texts[0];
	rig.agents[0].endpoints[0].url = (char *)harness_string(
		&harness, "http://%s", fake_endpoint.address);
	for (size_t i = 0; i < ARRAY_SIZE(modes); i++) {
		unsigned complete = 0;

		fake_endpoint.mode = modes[i];
		fake_endpoint.answer_text = texts[i];
		for (unsigned j = 0; j < EARLY_RESPONSES; j++) {
			send_upload(id++, "", body);
			complete += rig.call_reply.outcome != CALL_UNKNOWN;
		}
		CU_ASSERT_EQUAL(complete, 0);
	}
	CU_ASSERT_EQUAL(fake_endpoint.runs,
			EARLY_RESPONSES * ARRAY_SIZE(modes));
	fake_endpoint_crash(&fake_endpoint);
	g_free(body);
	finish();
}

/* The most memory that this process may use, with the agent in it. */
#define MEMORY_MAX_MB 160

/* Guards against an agent that keeps what a service sends without end. */
static void test_call_with_an_endless_response_is_unknown(void)
{
	static const fake_endpoint_mode_t modes[] = {
		FAKE_ENDPOINT_ENDLESS_INTERIM, FAKE_ENDPOINT_ENDLESS_HEAD,
		FAKE_ENDPOINT_ENDLESS_BYTES,   FAKE_ENDPOINT_ENDLESS_LINES,
		FAKE_ENDPOINT_ENDLESS_EVENTS,
	};
	struct rusage usage;
	uint64_t id = 20;

	start_service();
	for (size_t i = 0; i < ARRAY_SIZE(modes); i++) {
		fake_endpoint_t fake_endpoint;

		fake_endpoint_start(&fake_endpoint, "i-1", "orders", harness.ip,
				    rig.agents[0].role.listen, modes[i]);
		rig.agents[0].endpoints[0].url = (char *)harness_string(
			&harness, "http://%s", fake_endpoint.address);
		send_call(id++, "", 0);
		CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
		CU_ASSERT_EQUAL(fake_endpoint.runs, 1);
		fake_endpoint_crash(&fake_endpoint);
	}
	CU_ASSERT_EQUAL(getrusage(RUSAGE_SELF, &usage), 0);
	printf("%ld MB ", usage.ru_maxrss / 1024);
	CU_ASSERT(HARNESS_HAS_ASAN || usage.ru_maxrss / 1024 < MEMORY_MAX_MB);
	finish();
}

/* Four responses together exceed the limit: one is unknown. */
static void test_unfinished_responses_fit_in_memory(void)
{
	fake_endpoint_t services[RIG_ENDPOINTS_MAX];
	rig_agent_t *agent;
	uint32_t expected = 1;

	harness_init(&harness, "agent");
	agent_rig_init(&rig, &harness, LAYERS);
	agent = agent_rig_add_agent(&rig);
	for (size_t i = 0; i < ARRAY_SIZE(services); i++) {
		settings_endpoint_t *endpoint =
			agent_rig_add_endpoint(agent, 0, 0);

		endpoint->name =
			(char *)harness_string(&harness, "service-%zu", i);
		fake_endpoint_start(&services[i], endpoint->name, "orders",
				    harness.ip, agent->role.listen,
				    FAKE_ENDPOINT_LARGE);
		endpoint->url = (char *)harness_string(&harness, "http://%s",
						       services[i].address);
	}
	agent_rig_start(agent);
	CU_ASSERT(agent_rig_run_until(&rig, link_is_up, agent->role.listen));
	for (size_t i = 0; i < ARRAY_SIZE(services); i++)
		post_call(10 + i, i, "", 0, "pallet-7");
	CU_ASSERT(agent_rig_run_until(&rig, has_call_reply, &expected));
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
	for (size_t i = 0; i < ARRAY_SIZE(services); i++)
		services[i].mode = FAKE_ENDPOINT_SERVE;
	for (expected = 2; expected <= ARRAY_SIZE(services); expected++) {
		CU_ASSERT(agent_rig_run_until(&rig, has_call_reply, &expected));
		CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_DONE);
	}
	for (size_t i = 0; i < ARRAY_SIZE(services); i++)
		fake_endpoint_crash(&services[i]);
	finish();
}

/*
 * A call is reported as not run if it was cancelled before it arrived (4), was
 * refused (7) or can't reach the service (8).  If it was sent to another
 * incarnation of the agent (5, 6), its outcome is unknown.
 */
static void test_call_not_run(void)
{
	start_service();
	send_call(3, "", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_DONE);
	send_cancel(4, 1);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_NOT_RUN);
	send_call(4, "", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_NOT_RUN);
	send_cancel(5, 99);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
	send_call(6, "", 99);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_UNKNOWN);
	agent_rig_publish_view(&rig, 2, NULL);
	send_call(7, "", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_NOT_RUN);
	CU_ASSERT_EQUAL(rig.call_reply.refusal, REFUSAL_OLD_REVISION);
	agent_rig_publish_view(&rig, 1, NULL);
	send_call(7, "", 1);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_NOT_RUN);
	harness_kill(engines[0]);
	send_call(8, "", 0);
	CU_ASSERT_EQUAL(rig.call_reply.outcome, CALL_NOT_RUN);
	CU_ASSERT_EQUAL(count_runs(), 1);
	finish();
}

static const unit_test_t tests[] = {
	{ "complete answers", test_complete_answers },
	{ "max_tokens limits an answer", test_max_tokens },
	{ "restart: first hop lost", test_restart_first_lost },
	{ "restart: middle hop lost", test_restart_middle_lost },
	{ "restart: last hop lost", test_restart_last_lost },
	{ "restart: two hops lost", test_restart_two_lost },
	{ "replay: first hop lost", test_replay_first_lost },
	{ "replay: middle hop lost", test_replay_middle_lost },
	{ "replay: last hop lost", test_replay_last_lost },
	{ "replay: two hops lost", test_replay_two_lost },
	{ "an engine is lost", test_engine_lost },
	{ "an engine falls silent", test_engine_silent },
	{ "an engine's reply without end is refused",
	  test_engine_reply_without_end_is_refused },
	{ "a slow engine is waited for", test_engine_slow },
	{ "an agent is back with a new incarnation", test_new_incarnation },
	{ "the entry's connections are lost", test_entry_connection_lost },
	{ "another entry takes the streams over", test_entry_lost },
	{ "another customer can't take a stream over",
	  test_takeover_of_another_customer },
	{ "two hops of one agent", test_two_hops_of_one_agent },
	{ "refused is not run", test_refusals },
	{ "a call runs once", test_call_runs_once },
	{ "an unanswered call is unknown", test_call_unanswered_is_unknown },
	{ "a call with a stream ended inside an event is unknown",
	  test_call_with_stream_ended_inside_event_is_unknown },
	{ "a call with heads without end is unknown",
	  test_call_with_heads_without_end_is_unknown },
	{ "a call with a broken response is unknown",
	  test_call_with_a_broken_response_is_unknown },
	{ "a call with an early response is unknown",
	  test_call_with_an_early_response_is_unknown },
	{ "a call with an endless response is unknown",
	  test_call_with_an_endless_response_is_unknown },
	{ "unfinished responses fit in memory",
	  test_unfinished_responses_fit_in_memory },
	{ "a call that is not run", test_call_not_run },
};

int main(void)
{
	return unit_run("agent", tests, ARRAY_SIZE(tests));
}
