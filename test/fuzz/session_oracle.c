/*
 * The oracle of the session fuzz test: records what each layer ran and what
 * the caller received, and reports violations.
 *
 * The text of a token contains the attempt that generated it, as if the engine
 * sampled, and every later token depends on that text.  So an answer with
 * tokens of two attempts is accepted only if the later attempt continued after
 * exactly the tokens that were delivered before it.
 */
#include "session_oracle.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "../functional/fakes/answer.h"

/* Initializes the oracle for one request. */
void oracle_init(session_oracle_t *oracle, const char *prompt,
		 uint32_t token_count)
{
	memset(oracle, 0, sizeof(*oracle));
	oracle->prompt = prompt;
	oracle->token_count = token_count;
	oracle->input = answer_embed(prompt, strlen(prompt));
}

/* Records a violation; only the first one is kept. */
void oracle_report_violation(session_oracle_t *oracle, const char *format, ...)
{
	va_list args;

	if (oracle->violation[0] != '\0')
		return;
	va_start(args, format);
	vsnprintf(oracle->violation, sizeof(oracle->violation), format, args);
	va_end(args);
}

static uint64_t read_input(const hop_work_t *work, size_t index)
{
	bytes_t input = work->positions[index].activations;
	uint64_t value = 0;

	if (work->has_first_layer)
		return answer_embed(input.data, input.len);
	if (input.len == sizeof(value))
		memcpy(&value, input.data, sizeof(value));
	return value;
}

/* Runs one position through an engine's layers; returns their output. */
uint64_t oracle_run(session_oracle_t *oracle, oracle_engine_t *engine,
		    const hop_work_t *work, size_t index)
{
	uint32_t position = work->first_position + (uint32_t)index;
	uint64_t value = read_input(work, index);

	oracle->ran = true;
	if (oracle->refused > 0 && oracle->not_run)
		oracle_report_violation(oracle,
					"an engine ran after \"not run\"");
	if (position != engine->next)
		oracle_report_violation(
			oracle, "layers [%u,%u) ran position %u instead of %u",
			work->first_layer, work->end_layer, position,
			engine->next);
	for (uint32_t layer = work->first_layer; layer < work->end_layer;
	     layer++)
		value = answer_run_layer(&engine->states[layer], layer, value);
	engine->next = position + 1;
	return value;
}

/* Writes the token that an attempt makes from the last layer's output. */
void oracle_token_text(uint64_t output, uint32_t attempt,
		       char text[ORACLE_TEXT_BYTES])
{
	snprintf(text, ORACLE_TEXT_BYTES, "%016" PRIx64 ".%u", output, attempt);
}

static uint64_t expected_output(session_oracle_t *oracle)
{
	uint64_t value = oracle->input;

	for (uint32_t layer = 0; layer < ORACLE_LAYERS; layer++)
		value = answer_run_layer(&oracle->states[layer], layer, value);
	return value;
}

static void deliver_one(session_oracle_t *oracle, const msg_token_t *token)
{
	uint64_t expected = expected_output(oracle);
	uint64_t output = 0;
	uint32_t attempt = 0;

	if (oracle_is_final(oracle))
		oracle_report_violation(oracle,
					"token %u was delivered after the end",
					token->index);
	if (token->index != oracle->delivered)
		oracle_report_violation(oracle,
					"token %u was delivered instead of %u",
					token->index, oracle->delivered);
	if (sscanf(token->text, "%16" SCNx64 ".%u", &output, &attempt) != 2 ||
	    output != expected)
		oracle_report_violation(
			oracle, "token %u does not follow from those before",
			token->index);
	if (attempt < oracle->last_attempt)
		oracle_report_violation(oracle,
					"token %u is of an older attempt",
					token->index);
	if (token->last != (token->index + 1 == oracle->token_count))
		oracle_report_violation(oracle,
					"token %u has a wrong \"last\" flag",
					token->index);
	oracle->last_attempt = attempt;
	oracle->input = answer_embed(token->text, strlen(token->text));
	oracle->delivered++;
}

/* Checks tokens that the entry delivers to the caller. */
void oracle_deliver(session_oracle_t *oracle, const msg_token_t *tokens,
		    size_t count)
{
	for (size_t i = 0; i < count; i++)
		deliver_one(oracle, &tokens[i]);
}

/* Checks the report of the entry that the answer is complete. */
void oracle_finish(session_oracle_t *oracle)
{
	if (oracle_is_final(oracle))
		oracle_report_violation(oracle, "the request ended twice");
	if (oracle->delivered != oracle->token_count)
		oracle_report_violation(oracle,
					"finished after %u of %u tokens",
					oracle->delivered, oracle->token_count);
	oracle->finished++;
}

/* Checks the refusal of the request by the entry. */
void oracle_refuse(session_oracle_t *oracle, const entry_refusal_t *refusal)
{
	if (oracle_is_final(oracle))
		oracle_report_violation(oracle, "the request ended twice");
	if (refusal->not_run && oracle->ran)
		oracle_report_violation(oracle,
					"\"not run\", but an engine ran");
	oracle->not_run = refusal->not_run;
	oracle->refused++;
}

/* Returns whether the request was finished, refused or cancelled. */
bool oracle_is_final(const session_oracle_t *oracle)
{
	return oracle->finished + oracle->refused > 0 || oracle->cancelled;
}

/*
 * Checks the outcome, long after the deadline: the request has ended, and
 * with the whole answer if nothing was disturbed.
 */
void oracle_check_end(session_oracle_t *oracle, bool disturbed)
{
	if (!oracle_is_final(oracle))
		oracle_report_violation(
			oracle,
			"not ended after the deadline, %u of %u "
			"tokens",
			oracle->delivered, oracle->token_count);
	if (!disturbed && oracle->finished == 0)
		oracle_report_violation(oracle,
					"refused although nothing failed");
}
