/*
 * Explains one request in plain sentences: the preset and contract that
 * applied, the endpoints that were available, the chain that was chosen and
 * why, and the retries.  Each sentence is written when the decision is taken,
 * from the data that the decision used.
 */
#include "wisteria/trace/explain.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

static void add_sentence(explain_t *explain, const char *format, ...)
	ATTR_PRINTF(2, 3);

/*
 * Appends a sentence.  The last one that fits is replaced by a notice that more
 * is omitted.
 */
static void add_sentence(explain_t *explain, const char *format, ...)
{
	char sentence[EXPLAIN_SENTENCE_LEN_MAX + 1];
	va_list args;

	if (explain->sentence_count >= EXPLAIN_SENTENCES_MAX)
		return;
	explain->sentence_count++;
	if (explain->sentence_count == EXPLAIN_SENTENCES_MAX) {
		g_string_append(explain->text,
				"More happened; it is left out here.\n");
		return;
	}
	va_start(args, format);
	vsnprintf(sentence, sizeof(sentence), format, args);
	va_end(args);
	for (char *pos = sentence; *pos != '\0'; pos++)
		if (*pos == '\n')
			*pos = ' ';
	g_string_append(explain->text, sentence);
	g_string_append_c(explain->text, '\n');
}

static double elapsed_seconds(const explain_t *explain, clock_ms_t now)
{
	return (double)(now - explain->start_ms) / 1000.0;
}

/* Initializes the explanation of a request that arrived at "now". */
void explain_init(explain_t *explain, const char *request_id, clock_ms_t now)
{
	memset(explain, 0, sizeof(*explain));
	snprintf(explain->request_id, sizeof(explain->request_id), "%s",
		 request_id);
	explain->start_ms = now;
	explain->text = g_string_new(NULL);
}

/* Frees the text of the explanation. */
void explain_finish(explain_t *explain)
{
	g_string_free(explain->text, TRUE);
	explain->text = NULL;
}

/* Records the customer and the requested model or service. */
void explain_request(explain_t *explain, const char *customer,
		     const char *target)
{
	add_sentence(explain, "Customer %s asked for %s.", customer, target);
}

/*
 * Records the preset in force and what its contract grants the customer.
 * "contract" is NULL if the preset has none for the API key.
 */
void explain_preset(explain_t *explain, const char *preset, uint64_t revision,
		    const preset_contract_t *contract)
{
	if (contract == NULL) {
		add_sentence(
			explain,
			"Preset %s was in force (revision %" G_GUINT64_FORMAT
			"); it has no contract for this API key.",
			preset, (guint64)revision);
		return;
	}
	add_sentence(explain,
		     "Preset %s was in force (revision %" G_GUINT64_FORMAT
		     "); it grants %s %u sessions always, %u as its fair share "
		     "and %u at most, at priority %u.",
		     preset, (guint64)revision, contract->customer,
		     contract->guarantee_sessions, contract->deserved_sessions,
		     contract->capability_sessions, contract->priority);
}

/* Records that the request was queued behind "waiting" others. */
void explain_queued(explain_t *explain, uint32_t waiting, clock_ms_t now)
{
	add_sentence(explain,
		     "After %.3f s it was put in the queue, because the "
		     "customer's sessions or the endpoints were all in use; %u "
		     "requests were waiting before it.",
		     elapsed_seconds(explain, now), waiting);
}

/* Records that the request was admitted. */
void explain_admitted(explain_t *explain, clock_ms_t now)
{
	add_sentence(explain, "After %.3f s it was admitted.",
		     elapsed_seconds(explain, now));
}

static void describe_chain(const route_choice_t *choice, GString *out)
{
	for (size_t i = 0; i < choice->hop_count; i++) {
		const route_hop_t *hop = &choice->hops[i];

		g_string_append(out, i == 0 ? "" : ", then ");
		g_string_append(out, hop->endpoint);
		if (hop->end_layer > 0)
			g_string_append_printf(out, " (layers %u to %u)",
					       hop->first_layer,
					       hop->end_layer - 1);
	}
}

/* Records the chosen chain and how many endpoints were available. */
void explain_chain_chosen(explain_t *explain, const route_choice_t *choice,
			  clock_ms_t now)
{
	GString *chain = g_string_new(NULL);

	describe_chain(choice, chain);
	add_sentence(explain,
		     "After %.3f s, %u endpoints were possible, %u of them "
		     "full; %s was chosen, because it was expected to be the "
		     "fastest with room (%.1f ms a token).",
		     elapsed_seconds(explain, now), choice->alternatives,
		     choice->full, chain->str, choice->expected_ms);
	g_string_free(chain, TRUE);
}

/* Records that no chain could be chosen, and why. */
void explain_no_chain(explain_t *explain, route_result_t result, clock_ms_t now)
{
	add_sentence(explain, "After %.3f s no chain could be chosen: %s.",
		     elapsed_seconds(explain, now),
		     result == ROUTE_FULL
			     ? "every endpoint that could serve was full"
			     : "some layers were held by no endpoint that "
			       "takes work");
}

/* Records that an endpoint failed the request. */
void explain_endpoint_lost(explain_t *explain, const char *endpoint,
			   const char *reason, clock_ms_t now)
{
	add_sentence(explain, "After %.3f s endpoint %s was lost: %s.",
		     elapsed_seconds(explain, now), endpoint, reason);
}

/* Records that an endpoint replaced a lost one after "tokens" tokens. */
void explain_endpoint_replaced(explain_t *explain, const char *lost,
			       const route_hop_t *replacement, uint32_t tokens,
			       clock_ms_t now)
{
	add_sentence(explain,
		     "After %.3f s endpoint %s took the place of %s; the other "
		     "endpoints kept their work, and the answer went on after "
		     "token %u.",
		     elapsed_seconds(explain, now), replacement->endpoint, lost,
		     tokens);
}

/* Records that the request is retried on a new chain after "tokens" tokens. */
void explain_retried(explain_t *explain, uint32_t tokens, clock_ms_t now)
{
	add_sentence(explain,
		     "After %.3f s it was tried again on a new chain; the %u "
		     "tokens that the caller had were kept and not sent again.",
		     elapsed_seconds(explain, now), tokens);
}

/* Records that the request is not retried, and why. */
void explain_not_retried(explain_t *explain, const char *reason, clock_ms_t now)
{
	add_sentence(explain, "After %.3f s it was not tried again: %s.",
		     elapsed_seconds(explain, now), reason);
}

/* Records that a call was sent to an endpoint of a plain service. */
void explain_call_sent(explain_t *explain, const char *endpoint,
		       bool is_idempotent, clock_ms_t now)
{
	add_sentence(explain, "After %.3f s the call was sent to %s; %s.",
		     elapsed_seconds(explain, now), endpoint,
		     is_idempotent ? "it may be repeated"
				   : "it may run once only, so it is not sent "
				     "again unless it provably did not run");
}

/* Records that an endpoint reported a call as not run. */
void explain_call_not_run(explain_t *explain, const char *endpoint,
			  const char *reason, clock_ms_t now)
{
	add_sentence(explain,
		     "After %.3f s %s said that it did not run the call (%s), "
		     "so it may be sent elsewhere.",
		     elapsed_seconds(explain, now), endpoint, reason);
}

/* Records that the idempotency key of a call was reserved in the ledger. */
void explain_key_reserved(explain_t *explain, clock_ms_t now)
{
	add_sentence(explain,
		     "After %.3f s its key was reserved in the ledger, so that "
		     "no other entry runs the same call.",
		     elapsed_seconds(explain, now));
}

/* Records that the caller got the result of an earlier run from the ledger. */
void explain_result_reused(explain_t *explain, clock_ms_t now)
{
	add_sentence(explain,
		     "After %.3f s the ledger said that a call with this key "
		     "had run before; it was not run again, and the caller got "
		     "the recorded answer.",
		     elapsed_seconds(explain, now));
}

/*
 * Records that the request was refused or failed.  The time after which the
 * caller may retry is mentioned only if "retry_after_ms" is positive.
 */
void explain_refused(explain_t *explain, const err_t *err, bool not_run,
		     clock_ms_t retry_after_ms, clock_ms_t now)
{
	add_sentence(explain, "After %.3f s it was refused at step %s%s%s: %s.",
		     elapsed_seconds(explain, now), err->step,
		     err->peer[0] == '\0' ? "" : " with ", err->peer,
		     err->text);
	add_sentence(
		explain, "%s",
		not_run ? "It was not run."
			: "It is unknown whether it ran; part of it may have.");
	if (retry_after_ms > 0)
		add_sentence(explain,
			     "The caller was told to come back after %.1f s.",
			     (double)retry_after_ms / 1000.0);
}

/* Records that the caller disconnected before the end. */
void explain_cancelled(explain_t *explain, clock_ms_t now)
{
	add_sentence(
		explain,
		"After %.3f s the caller went away; what was left was stopped.",
		elapsed_seconds(explain, now));
}

/* Records that the whole answer was delivered; "tokens" is 0 for a call. */
void explain_answered(explain_t *explain, uint32_t tokens, clock_ms_t now)
{
	if (tokens == 0)
		add_sentence(explain,
			     "After %.3f s the whole answer was delivered.",
			     elapsed_seconds(explain, now));
	else
		add_sentence(explain,
			     "After %.3f s the whole answer was delivered: %u "
			     "tokens.",
			     elapsed_seconds(explain, now), tokens);
}

/*
 * Returns the response body of GET /v1/explain/REQUEST-ID as JSON; the caller
 * frees it with free().
 */
char *explain_render(const char *request_id, const char *text)
{
	gchar **lines = g_strsplit(text, "\n", -1);
	json_t *sentences = json_array();
	json_t *object;
	char *out;

	for (size_t i = 0; lines[i] != NULL; i++)
		if (lines[i][0] != '\0')
			json_array_append_new(sentences, json_string(lines[i]));
	object = json_pack("{s:s, s:o}", "request_id", request_id, "sentences",
			   sentences);
	out = json_dumps(object, JSON_INDENT(2));
	json_decref(object);
	g_strfreev(lines);
	return out;
}
