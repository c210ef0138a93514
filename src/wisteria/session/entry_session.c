/*
 * The entry's side of one model request.  An attempt opens every hop of its
 * chain, starts it once all have accepted, and delivers its tokens in order.
 * A lost hop ends the attempt; a new one, with a higher number, goes on after
 * the tokens already delivered: either on a new chain (restart) or on the
 * same one with the lost hop replaced (replay).
 */
#include "wisteria/session/entry_session.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"

/* Time for a lost connection to come back before its hop counts as lost. */
#define ENTRY_DOWN_MS 300
/* Longest wait for the answers to MSG_OPEN. */
#define ENTRY_OPEN_MS 2000
/* Longest wait for a chain to become possible again, and how often to ask. */
#define ENTRY_CHOOSE_MS 5000
#define ENTRY_CHOOSE_INTERVAL_MS 50
#define ENTRY_RETRY_AFTER_MS 1000
/* After so many refusals in a row a chain is asked for at intervals only. */
#define ENTRY_QUICK_REFUSALS 3

typedef enum {
	ENTRY_IDLE,
	ENTRY_OPENING,	 /* the hops are asked to reserve a slot */
	ENTRY_RUNNING,	 /* MSG_START was sent */
	ENTRY_REPLACING, /* the substitute of a hop is asked */
	ENTRY_CHOOSING,	 /* no chain is possible now */
	ENTRY_ENDED
} entry_state_t;

typedef struct {
	bool accepted;	 /* of the present attempt */
	bool up_to_date; /* has taken MSG_REROUTE, or needs none */
	clock_ms_t down_ms;
} entry_hop_t;

struct entry_session_t {
	entry_session_ops_t *ops;
	entry_session_params_t params;
	entry_state_t state;
	uint32_t attempt;
	uint32_t attempt_floor; /* of attempts begun after a takeover */
	route_choice_t chain;
	entry_hop_t hops[ROUTER_HOPS_MAX];
	uint32_t replaced;
	bool ever_started;
	clock_ms_t state_ms;	/* when "state" was entered */
	clock_ms_t progress_ms; /* when the last token came */
	clock_ms_t chosen_ms;	/* when a chain was last asked for */
	clock_ms_t seeking_ms;	/* since when no attempt runs */
	uint32_t refusals;	/* of MSG_OPEN since then */
	route_result_t route;	/* the last answer of the router */
	char failed[ROUTER_NAME_BYTES];
	char suspects[ROUTER_HOPS_MAX][ROUTER_NAME_BYTES];
	size_t suspect_count;
	err_t why;
	GPtrArray *tokens; /* texts delivered */
};

static const char *refusal_name(uint32_t refusal)
{
	static const char *const names[] = {
		[REFUSAL_NONE] = "none",
		[REFUSAL_BUSY] = "busy",
		[REFUSAL_LEAVING] = "leaving",
		[REFUSAL_OLD_REVISION] = "old_revision",
		[REFUSAL_OLD_ATTEMPT] = "old_attempt",
		[REFUSAL_WRONG_LAYERS] = "wrong_layers",
		[REFUSAL_NO_LEASE] = "no_lease",
		[REFUSAL_UNKNOWN_ENDPOINT] = "unknown_endpoint",
		[REFUSAL_NO_SESSION] = "no_session",
	};

	return refusal < ARRAY_SIZE(names) ? names[refusal] : "unknown";
}

static void enter(entry_session_t *session, entry_state_t state, clock_ms_t now)
{
	session->state = state;
	session->state_ms = now;
}

static void send_to(entry_session_t *session, size_t hop, msg_type_t type,
		    const void *body)
{
	session->ops->send(session->ops, session, &session->chain.hops[hop],
			   type, body);
}

static void describe_hops(const route_choice_t *chain,
			  msg_hop_t hops[ROUTER_HOPS_MAX])
{
	for (size_t i = 0; i < chain->hop_count; i++)
		hops[i] = (msg_hop_t){
			.endpoint = chain->hops[i].endpoint,
			.address = chain->hops[i].address,
			.incarnation = chain->hops[i].incarnation,
			.first_layer = chain->hops[i].first_layer,
			.end_layer = chain->hops[i].end_layer,
		};
}

static void send_open(entry_session_t *session, size_t hop, clock_ms_t now)
{
	const entry_session_params_t *params = &session->params;
	guint token_count = session->tokens->len;
	msg_token_t *tokens = g_new(msg_token_t, token_count + 1);
	msg_hop_t hops[ROUTER_HOPS_MAX];
	const msg_open_t open = {
		.session = params->session,
		.attempt = session->attempt,
		.revision = params->revision,
		.request_id = params->request_id,
		.customer = params->customer,
		.model = params->model,
		.priority = params->priority,
		.remaining_ms = params->deadline_ms - now,
		.max_tokens = params->max_tokens,
		.hop = (uint32_t)hop,
		.hops = hops,
		.hop_count = session->chain.hop_count,
		.prompt = hop == 0 ? params->prompt : "",
		.tokens = tokens,
		.token_count = hop == 0 ? token_count : 0,
		.traceparent = params->traceparent,
	};

	describe_hops(&session->chain, hops);
	for (guint i = 0; i < token_count; i++)
		tokens[i] = (msg_token_t){
			.index = i,
			.text = g_ptr_array_index(session->tokens, i),
		};
	send_to(session, hop, MSG_OPEN, &open);
	g_free(tokens);
}

static void send_reroute(entry_session_t *session, size_t hop)
{
	msg_hop_t hops[ROUTER_HOPS_MAX];
	const msg_reroute_t reroute = {
		.session = session->params.session,
		.attempt = session->attempt,
		.hop = (uint32_t)hop,
		.hops = hops,
		.hop_count = session->chain.hop_count,
		.replaced = session->replaced,
	};

	describe_hops(&session->chain, hops);
	send_to(session, hop, MSG_REROUTE, &reroute);
}

static void send_start(entry_session_t *session)
{
	const msg_session_t start = { session->params.session,
				      session->attempt };

	session->ever_started = true;
	send_to(session, 0, MSG_START, &start);
}

static void send_next(entry_session_t *session, size_t hop, msg_type_t type)
{
	const msg_tokens_ack_t ack = {
		.session = session->params.session,
		.attempt = session->attempt,
		.next = session->tokens->len,
		.hop = (uint32_t)hop,
	};

	send_to(session, hop, type, &ack);
}

static void close_chain(entry_session_t *session, const char *reason)
{
	const msg_close_t close = { .session = session->params.session,
				    .attempt = session->attempt,
				    .reason = reason };

	for (size_t i = 0; i < session->chain.hop_count; i++)
		send_to(session, i, MSG_CLOSE, &close);
}

static void refuse(entry_session_t *session, clock_ms_t now)
{
	const entry_refusal_t refusal = {
		.err = session->why,
		.not_run = !session->ever_started,
		.retry_after_ms = ENTRY_RETRY_AFTER_MS,
	};

	close_chain(session, "refused");
	enter(session, ENTRY_ENDED, now);
	session->ops->refused(session->ops, session, &refusal);
}

static void begin_attempt(entry_session_t *session)
{
	session->attempt = MAX(session->attempt + 1, session->attempt_floor);
}

static void open_chain(entry_session_t *session, clock_ms_t now)
{
	begin_attempt(session);
	counter_add(COUNTER_ATTEMPTS, 1);
	enter(session, ENTRY_OPENING, now);
	for (size_t i = 0; i < session->chain.hop_count; i++)
		session->hops[i] = (entry_hop_t){
			.up_to_date = true,
			.down_ms = CLOCK_NEVER_MS,
		};
	for (size_t i = 0; i < session->chain.hop_count; i++)
		send_open(session, i, now);
}

/* Returns an endpoint of "choice" that is suspected, or NULL. */
static const char *find_suspect(const entry_session_t *session,
				const route_choice_t *choice)
{
	for (size_t i = 0; i < choice->hop_count; i++)
		for (size_t j = 0; j < session->suspect_count; j++)
			if (strcmp(choice->hops[i].endpoint,
				   session->suspects[j]) == 0)
				return choice->hops[i].endpoint;
	return NULL;
}

/*
 * Asks for a chain; returns false if none is possible now.  Where it has an
 * endpoint whose connection is down, another is asked for, naming that one as
 * failed; one that can't be avoided is tried.
 */
static bool choose(entry_session_t *session, clock_ms_t now)
{
	route_choice_t choice = { .hop_count = 0 };
	const char *suspect;
	size_t tries = session->suspect_count + 1;

	session->chosen_ms = now;
	while (tries-- > 0) {
		session->route = session->ops->choose(session->ops, session,
						      session->failed, &choice);
		if (session->route != ROUTE_FOUND)
			return false;
		suspect = find_suspect(session, &choice);
		if (suspect == NULL)
			break;
		g_strlcpy(session->failed, suspect, sizeof(session->failed));
	}
	session->chain = choice;
	open_chain(session, now);
	return true;
}

/* Remembers the endpoints of the chain whose connection is down. */
static void note_suspects(entry_session_t *session)
{
	session->suspect_count = 0;
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (session->hops[i].down_ms != CLOCK_NEVER_MS)
			g_strlcpy(session->suspects[session->suspect_count++],
				  session->chain.hops[i].endpoint,
				  ROUTER_NAME_BYTES);
}

/* Gives the attempt up and begins another one on a new chain. */
static void begin_again(entry_session_t *session, clock_ms_t now)
{
	close_chain(session, "attempt failed");
	note_suspects(session);
	session->chain.hop_count = 0;
	if (session->ever_started)
		counter_add(COUNTER_RECOVERIES, 1);
	if (!choose(session, now))
		enter(session, ENTRY_CHOOSING, now);
}

/* The same, where a fault caused it: the retry budget may forbid it. */
static void restart(entry_session_t *session, clock_ms_t now)
{
	if (session->state == ENTRY_RUNNING)
		session->seeking_ms = now;
	if (session->ops->may_retry(session->ops, session))
		begin_again(session, now);
	else
		refuse(session, now);
}

static bool others_are_up(const entry_session_t *session, size_t lost)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (i != lost && (session->hops[i].down_ms != CLOCK_NEVER_MS ||
				  !session->hops[i].up_to_date))
			return false;
	return true;
}

/* Begins to replace one hop; returns false if that can't be done. */
static bool replace(entry_session_t *session, size_t lost, clock_ms_t now)
{
	route_hop_t substitute = { .expected_wait_ms = 0 };

	if (session->params.recovery != PRESET_REPLAY ||
	    session->state != ENTRY_RUNNING || session->chain.hop_count < 2 ||
	    !others_are_up(session, lost))
		return false;
	if (session->ops->replace(session->ops, session, lost, &substitute) !=
	    ROUTE_FOUND)
		return false;
	session->chain.hops[lost] = substitute;
	session->hops[lost] =
		(entry_hop_t){ .up_to_date = true, .down_ms = CLOCK_NEVER_MS };
	session->replaced = (uint32_t)lost;
	session->seeking_ms = now;
	begin_attempt(session);
	counter_add(COUNTER_ATTEMPTS, 1);
	counter_add(COUNTER_RECOVERIES, 1);
	enter(session, ENTRY_REPLACING, now);
	send_open(session, lost, now);
	return true;
}

static void close_hop(entry_session_t *session, size_t hop)
{
	const msg_close_t close = {
		.session = session->params.session,
		.attempt = session->attempt,
		.reason = "hop replaced",
		.one_hop = true,
		.hop = (uint32_t)hop,
	};

	send_to(session, hop, MSG_CLOSE, &close);
}

/* A hop of the present attempt can't go on. */
static void lose_hop(entry_session_t *session, size_t hop, const char *step,
		     const char *reason, clock_ms_t now)
{
	const char *endpoint = session->chain.hops[hop].endpoint;

	g_strlcpy(session->failed, endpoint, sizeof(session->failed));
	err_set(&session->why, ERR_UNAVAILABLE, step, endpoint, "%s", reason);
	if (session->state == ENTRY_RUNNING &&
	    session->params.recovery == PRESET_REPLAY)
		close_hop(session, hop);
	if (replace(session, hop, now))
		return;
	restart(session, now);
}

static char *copy_text(const char *text)
{
	return g_strdup(text == NULL ? "" : text);
}

/* Creates a session that has not begun; "params" is copied. */
entry_session_t *entry_session_new(const entry_session_params_t *params,
				   entry_session_ops_t *ops)
{
	entry_session_t *session = g_new0(entry_session_t, 1);

	session->ops = ops;
	session->params = *params;
	session->params.request_id = copy_text(params->request_id);
	session->params.customer = copy_text(params->customer);
	session->params.model = copy_text(params->model);
	session->params.prompt = copy_text(params->prompt);
	session->params.traceparent = copy_text(params->traceparent);
	session->tokens = g_ptr_array_new_with_free_func(g_free);
	return session;
}

static void adopt_chain(entry_session_t *session, const msg_open_t *open)
{
	route_choice_t *chain = &session->chain;

	chain->hop_count = open->hop_count;
	for (size_t i = 0; i < open->hop_count; i++) {
		route_hop_t *hop = &chain->hops[i];

		g_strlcpy(hop->endpoint, open->hops[i].endpoint,
			  sizeof(hop->endpoint));
		g_strlcpy(hop->address, open->hops[i].address,
			  sizeof(hop->address));
		hop->incarnation = open->hops[i].incarnation;
		hop->first_layer = open->hops[i].first_layer;
		hop->end_layer = open->hops[i].end_layer;
		session->hops[i] = (entry_hop_t){ .accepted = true,
						  .up_to_date = true,
						  .down_ms = CLOCK_NEVER_MS };
	}
}

/*
 * Creates a running session from what its first hop says of it, for a caller
 * that has the tokens below "next".  What is in both, "params" is right for
 * the limits and "reply" for the rest.  Returns NULL if the session was not
 * found or does not have that many tokens.
 */
entry_session_t *entry_session_adopt(const entry_session_params_t *params,
				     const msg_takeover_reply_t *reply,
				     uint32_t next, entry_session_ops_t *ops,
				     clock_ms_t now)
{
	const msg_open_t *open = &reply->open;
	entry_session_params_t merged = *params;
	entry_session_t *session;

	if (!reply->found || next > open->token_count || open->hop_count == 0 ||
	    open->hop_count > ROUTER_HOPS_MAX)
		return NULL;
	merged.session = reply->session;
	merged.model = open->model;
	merged.prompt = open->prompt;
	merged.max_tokens = open->max_tokens;
	session = entry_session_new(&merged, ops);
	session->attempt = open->attempt;
	session->attempt_floor = reply->next_attempt;
	session->ever_started = true;
	session->progress_ms = now;
	session->seeking_ms = now;
	for (uint32_t i = 0; i < next; i++)
		g_ptr_array_add(session->tokens,
				g_strdup(open->tokens[i].text));
	adopt_chain(session, open);
	enter(session, ENTRY_RUNNING, now);
	for (size_t i = 0; i < open->hop_count; i++)
		send_next(session, i, MSG_RESUME);
	send_start(session);
	return session;
}

/* Frees a session; says nothing to the agents. */
void entry_session_free(entry_session_t *session)
{
	if (session == NULL)
		return;
	g_free((char *)session->params.request_id);
	g_free((char *)session->params.customer);
	g_free((char *)session->params.model);
	g_free((char *)session->params.prompt);
	g_free((char *)session->params.traceparent);
	g_ptr_array_free(session->tokens, TRUE);
	g_free(session);
}

/* Returns what the session was made from. */
const entry_session_params_t *
entry_session_params(const entry_session_t *session)
{
	return &session->params;
}

/* Returns the number of the present attempt; the first is 1. */
uint32_t entry_session_attempt(const entry_session_t *session)
{
	return session->attempt;
}

/* Returns the chain of the present attempt; no hops while one is sought. */
const route_choice_t *entry_session_chain(const entry_session_t *session)
{
	return &session->chain;
}

/*
 * Sets the configuration revision under which later attempts are opened; the
 * owner calls it whenever it chooses or replaces.
 */
void entry_session_set_revision(entry_session_t *session, uint64_t revision)
{
	session->params.revision = revision;
}

/* Begins the first attempt on "chain". */
void entry_session_start(entry_session_t *session, const route_choice_t *chain,
			 clock_ms_t now)
{
	session->chain = *chain;
	session->seeking_ms = now;
	open_chain(session, now);
}

static bool all_accepted(const entry_session_t *session)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (!session->hops[i].accepted)
			return false;
	return true;
}

static void begin_run(entry_session_t *session, clock_ms_t now)
{
	enter(session, ENTRY_RUNNING, now);
	session->progress_ms = now;
	session->refusals = 0;
	send_start(session);
}

/* The substitute has a slot: the others are told of the new chain. */
static void take_substitute(entry_session_t *session, clock_ms_t now)
{
	enter(session, ENTRY_RUNNING, now);
	session->progress_ms = now;
	session->refusals = 0;
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		if (i == session->replaced)
			continue;
		session->hops[i].up_to_date = false;
		send_reroute(session, i);
	}
	if (session->replaced == 0)
		send_start(session);
}

/*
 * A hop refused.  Nothing of this attempt ran, so that trying again costs no
 * retry budget.  A refusal that says nothing against the endpoint (it knows a
 * newer configuration, or none) is waited out.
 */
static void take_refusal(entry_session_t *session,
			 const msg_open_reply_t *reply, clock_ms_t now)
{
	const char *endpoint = session->chain.hops[reply->hop].endpoint;
	bool wait = reply->refusal == REFUSAL_OLD_REVISION ||
		    reply->refusal == REFUSAL_NO_LEASE;

	err_set(&session->why, ERR_OVERLOAD, "open", endpoint, "refused: %s",
		refusal_name(reply->refusal));
	g_strlcpy(session->failed, wait ? "" : endpoint,
		  sizeof(session->failed));
	if (session->state == ENTRY_RUNNING)
		session->seeking_ms = now;
	if (session->state == ENTRY_RUNNING ||
	    (!wait && ++session->refusals <= ENTRY_QUICK_REFUSALS)) {
		begin_again(session, now);
		return;
	}
	close_chain(session, "refused");
	session->chain.hop_count = 0;
	session->chosen_ms = now;
	enter(session, ENTRY_CHOOSING, now);
}

/* A hop has reserved its slot or taken the new chain, or refused to. */
void entry_session_on_open_reply(entry_session_t *session,
				 const msg_open_reply_t *reply, clock_ms_t now)
{
	entry_hop_t *hop;

	if (reply->attempt != session->attempt ||
	    reply->hop >= session->chain.hop_count)
		return;
	if (session->state != ENTRY_OPENING &&
	    session->state != ENTRY_REPLACING &&
	    session->state != ENTRY_RUNNING)
		return;
	if (reply->refusal != REFUSAL_NONE) {
		take_refusal(session, reply, now);
		return;
	}
	hop = &session->hops[reply->hop];
	hop->accepted = true;
	if (session->state == ENTRY_RUNNING)
		hop->up_to_date = true;
	else if (session->state == ENTRY_OPENING && all_accepted(session))
		begin_run(session, now);
	else if (session->state == ENTRY_REPLACING &&
		 reply->hop == session->replaced)
		take_substitute(session, now);
}

static void finish(entry_session_t *session, clock_ms_t now)
{
	close_chain(session, "finished");
	enter(session, ENTRY_ENDED, now);
	session->ops->finished(session->ops, session);
}

/* Delivers the tokens that are next; returns whether the last was among. */
static bool deliver(entry_session_t *session, const msg_tokens_t *tokens,
		    clock_ms_t now)
{
	bool last = false;

	for (size_t i = 0; i < tokens->token_count; i++) {
		const msg_token_t *token = &tokens->tokens[i];

		if (token->index != session->tokens->len || last)
			continue;
		g_ptr_array_add(session->tokens, g_strdup(token->text));
		last = token->last;
		session->progress_ms = now;
		session->ops->deliver(session->ops, session, token, 1);
		if (session->state == ENTRY_ENDED)
			return false;
	}
	return last;
}

/*
 * Tokens came.  Those of another attempt or delivered before are dropped; a
 * gap is asked for again.  The owner must not free the session in deliver().
 */
void entry_session_on_tokens(entry_session_t *session,
			     const msg_tokens_t *tokens, clock_ms_t now)
{
	if (tokens->attempt != session->attempt ||
	    session->state != ENTRY_RUNNING || tokens->token_count == 0)
		return;
	if (tokens->tokens[0].index > session->tokens->len) {
		send_next(session, 0, MSG_RESUME);
		return;
	}
	if (deliver(session, tokens, now))
		finish(session, now);
	else if (session->state == ENTRY_RUNNING)
		send_next(session, 0, MSG_TOKENS_ACK);
}

/* An agent says that the attempt can't go on. */
void entry_session_on_failed(entry_session_t *session,
			     const msg_session_failed_t *failed, clock_ms_t now)
{
	if (failed->attempt != session->attempt ||
	    failed->hop >= session->chain.hop_count)
		return;
	if (session->state != ENTRY_OPENING &&
	    session->state != ENTRY_RUNNING &&
	    session->state != ENTRY_REPLACING)
		return;
	lose_hop(session, failed->hop, failed->step, failed->reason, now);
}

static void catch_up_hop(entry_session_t *session, size_t hop, clock_ms_t now)
{
	if (!session->hops[hop].accepted && session->state != ENTRY_RUNNING) {
		send_open(session, hop, now);
		return;
	}
	if (session->state == ENTRY_REPLACING)
		return;
	if (!session->hops[hop].up_to_date)
		send_reroute(session, hop);
	else if (session->state == ENTRY_RUNNING)
		send_next(session, hop, MSG_RESUME);
	if (hop == 0 && session->state == ENTRY_RUNNING)
		send_start(session);
}

/* The connection to an agent is open: sends again what may be lost. */
void entry_session_on_agent_up(entry_session_t *session, const char *address,
			       clock_ms_t now)
{
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		if (strcmp(session->chain.hops[i].address, address) != 0)
			continue;
		session->hops[i].down_ms = CLOCK_NEVER_MS;
		catch_up_hop(session, i, now);
	}
}

/* The connection to an agent was lost. */
void entry_session_on_agent_down(entry_session_t *session, const char *address,
				 clock_ms_t now)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (strcmp(session->chain.hops[i].address, address) == 0 &&
		    session->hops[i].down_ms == CLOCK_NEVER_MS)
			session->hops[i].down_ms = now;
}

/* The caller has gone: ends the session without a further callback. */
void entry_session_on_cancel(entry_session_t *session, const char *reason)
{
	if (session->state == ENTRY_ENDED)
		return;
	close_chain(session, reason);
	session->state = ENTRY_ENDED;
}

/* Returns a hop that is lost by now, or the number of hops. */
static size_t find_lost_hop(const entry_session_t *session, clock_ms_t now)
{
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		clock_ms_t since = session->hops[i].down_ms;

		if (since == CLOCK_NEVER_MS)
			continue;
		if (session->state == ENTRY_RUNNING)
			since = MAX(since, session->progress_ms);
		if (now - since >= ENTRY_DOWN_MS)
			return i;
	}
	return session->chain.hop_count;
}

static void check_hops(entry_session_t *session, clock_ms_t now)
{
	size_t lost = find_lost_hop(session, now);

	if (lost < session->chain.hop_count) {
		lose_hop(session, lost, "connect", "no connection", now);
		return;
	}
	if (session->state == ENTRY_RUNNING ||
	    now - session->state_ms < ENTRY_OPEN_MS)
		return;
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (!session->hops[i].accepted) {
			lose_hop(session, i, "open", "no answer", now);
			return;
		}
}

/*
 * Asks for a chain again.  A request that has not run waits for a free slot
 * until its deadline; otherwise the wait for a chain is bounded.
 */
static void check_choice(entry_session_t *session, clock_ms_t now)
{
	if (now - session->chosen_ms < ENTRY_CHOOSE_INTERVAL_MS)
		return;
	if (choose(session, now))
		return;
	if (session->route == ROUTE_FULL && !session->ever_started)
		return;
	if (now - session->seeking_ms >= ENTRY_CHOOSE_MS)
		refuse(session, now);
}

/* Acts on what is due; called several times in ENTRY_DOWN_MS. */
void entry_session_tick(entry_session_t *session, clock_ms_t now)
{
	if (session->state == ENTRY_ENDED || session->state == ENTRY_IDLE)
		return;
	if (now >= session->params.deadline_ms) {
		err_set(&session->why, ERR_TIMEOUT, "deadline", "",
			"the request's time is over");
		refuse(session, now);
		return;
	}
	if (session->state == ENTRY_CHOOSING)
		check_choice(session, now);
	else
		check_hops(session, now);
}
