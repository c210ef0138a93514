#ifndef TEST_FUNCTIONAL_FAKES_ANSWER_H
#define TEST_FUNCTIONAL_FAKES_ANSWER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "wisteria/base/macros_defs.h"

/*
 * The model that the fake engines run.  Each layer has a state: a hash over
 * the activations of all its positions, in order.  A skipped, repeated or
 * reordered position in any layer changes all later tokens.  The answer
 * depends only on the prompt and the number of layers, not on how the layers
 * are split into ranges.
 */

#define ANSWER_TOKENS_MIN 16
#define ANSWER_TOKENS_SPAN 48
#define ANSWER_TOKEN_BYTES 32

static inline uint64_t answer_hash(uint64_t a, uint64_t b, uint64_t c)
{
	const uint64_t parts[] = { a, b, c };

	return XXH64(parts, sizeof(parts), 0);
}

/* Returns the activation that enters layer 0 for the text of a position. */
static inline uint64_t answer_embed(const void *text, size_t len)
{
	return XXH64(text, len, 1);
}

/*
 * Runs one position through one layer: updates the layer's state and returns
 * the layer's output.
 */
static inline uint64_t answer_run_layer(uint64_t *state, uint32_t layer,
					uint64_t activation)
{
	*state = answer_hash(*state, activation, layer);
	return answer_hash(*state, activation, ~(uint64_t)layer);
}

/* Returns the token count of an answer, given the last layer's first output. */
static inline uint32_t answer_token_count(uint64_t first_output)
{
	return ANSWER_TOKENS_MIN +
	       (uint32_t)(first_output % ANSWER_TOKENS_SPAN);
}

/* Writes the text of the token that corresponds to the last layer's output. */
static inline void answer_token(uint64_t output, char text[ANSWER_TOKEN_BYTES])
{
	static const char *const words[] = {
		"screw", "bolt",  "nut",  "anchor", "pallet", "quote",
		"steel", "zinc",  "box",  "order",  "family", "letter",
		"file",	 "clerk", "list", "house",
	};

	snprintf(text, ANSWER_TOKEN_BYTES, "%s%02x ",
		 words[output % ARRAY_SIZE(words)],
		 (unsigned int)(output >> 56));
}

/*
 * Returns the whole answer of a model with "layers" layers to "prompt"; the
 * caller frees it with g_free().  "max_tokens" of 0 means no limit.  Stores the
 * number of tokens in "token_count" unless that is NULL.
 */
static inline char *answer_text(const char *prompt, uint32_t layers,
				uint32_t max_tokens, uint32_t *token_count)
{
	uint64_t *states = g_new0(uint64_t, layers);
	GString *answer = g_string_new(NULL);
	uint64_t activation = answer_embed(prompt, strlen(prompt));
	uint32_t count = UINT32_MAX;
	uint32_t generated = 0;

	while (generated < count) {
		char token[ANSWER_TOKEN_BYTES];

		for (uint32_t layer = 0; layer < layers; layer++)
			activation = answer_run_layer(&states[layer], layer,
						      activation);
		if (generated == 0)
			count = answer_token_count(activation);
		if (max_tokens != 0 && count > max_tokens)
			count = max_tokens;
		answer_token(activation, token);
		g_string_append(answer, token);
		activation = answer_embed(token, strlen(token));
		generated++;
	}
	g_free(states);
	if (token_count != NULL)
		*token_count = generated;
	return g_string_free(answer, FALSE);
}

#endif
