/*
 * Tracks how much of each endpoint is in use: by requests of this entry, which
 * count at once, and by those of other entries, which are the leader's last sum
 * over all entries minus the tokens that this entry reported last.  Tokens are
 * estimates; see target_t.
 */
#include "wisteria/gateway/usage.h"

#include <string.h>

/* Initializes an empty "usage". */
void usage_init(usage_t *usage)
{
	usage->own =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	usage->all =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	usage->all_updated_ms = 0;
	usage->begun_tokens = 0;
	usage->average_begun = 0;
}

/* Frees the tables of "usage". */
void usage_finish(usage_t *usage)
{
	g_hash_table_destroy(usage->own);
	g_hash_table_destroy(usage->all);
}

/*
 * Records that a request, which holds an estimated "tokens" tokens, begins at
 * endpoint "id".
 */
void usage_begin(usage_t *usage, const char *id, double tokens)
{
	usage_own_t *own = g_hash_table_lookup(usage->own, id);

	if (own == NULL) {
		own = g_new0(usage_own_t, 1);
		g_hash_table_insert(usage->own, g_strdup(id), own);
	}
	own->tokens += tokens;
	own->requests++;
}

/*
 * Records the end of a request that usage_begin() recorded.  The end of the
 * last one at an endpoint also drops the reported tokens: until a sum without
 * them arrives, usage_tokens() counts them as used by other entries.
 */
void usage_end(usage_t *usage, const char *id, double tokens)
{
	usage_own_t *own = g_hash_table_lookup(usage->own, id);

	if (own == NULL)
		return;
	own->tokens -= tokens;
	if (--own->requests == 0)
		g_hash_table_remove(usage->own, id);
}

/*
 * Adds the prompt of a request that has begun at endpoint "id" to what the
 * endpoint has not read yet; a negative number takes it off again.  Requests
 * without a rank count as the most urgent.
 */
void usage_add_unread(usage_t *usage, const char *id, int32_t rank,
		      double prompt_tokens)
{
	usage_own_t *own = g_hash_table_lookup(usage->own, id);

	if (own != NULL)
		own->unread_tokens[MAX(rank, 0)] += prompt_tokens;
}

/*
 * Returns the tokens of this entry's prompts that endpoint "id" has not read yet
 * and that are at least as urgent as "rank".
 */
double usage_own_unread(const usage_t *usage, const char *id, int32_t rank)
{
	const usage_own_t *own = g_hash_table_lookup(usage->own, id);
	double tokens = 0;

	for (int32_t i = 0; own != NULL && i <= MAX(rank, 0); i++)
		tokens += own->unread_tokens[i];
	return tokens;
}

/* Returns the number of requests of this entry that run at endpoint "id". */
unsigned usage_requests(const usage_t *usage, const char *id)
{
	const usage_own_t *own = g_hash_table_lookup(usage->own, id);

	return own == NULL ? 0 : own->requests;
}

/*
 * Returns the tokens of all entries' requests at endpoint "id"; only those of
 * this entry's requests if the last sum is older than USAGE_MAX_AGE_MS.
 */
double usage_tokens(const usage_t *usage, const char *id, clock_ms_t now)
{
	const usage_own_t *own = g_hash_table_lookup(usage->own, id);
	const double *all = g_hash_table_lookup(usage->all, id);
	double own_tokens = own == NULL ? 0 : own->tokens;
	double own_reported_tokens = own == NULL ? 0 : own->reported_tokens;

	if (all == NULL || now - usage->all_updated_ms >= USAGE_MAX_AGE_MS)
		return own_tokens;
	return own_tokens + MAX(*all - own_reported_tokens, 0);
}

/*
 * Returns the tokens of requests that this entry began at endpoint "id" and that
 * the last sum lacks; all of this entry's tokens if the sum is too old.
 */
double usage_own_new_tokens(const usage_t *usage, const char *id,
			    clock_ms_t now)
{
	const usage_own_t *own = g_hash_table_lookup(usage->own, id);

	if (own == NULL)
		return 0;
	if (now - usage->all_updated_ms >= USAGE_MAX_AGE_MS)
		return own->tokens;
	return MAX(own->tokens - own->reported_tokens, 0);
}

/* Counts a request that this entry begins, at however many endpoints. */
void usage_count_begun(usage_t *usage, double tokens)
{
	usage->begun_tokens += tokens;
}

/*
 * Returns the tokens of the requests that this entry begins between two sums:
 * the average, or more if it has begun more already with one of "tokens".
 */
double usage_arriving_tokens(const usage_t *usage, double tokens)
{
	return MAX(usage->average_begun, usage->begun_tokens + tokens);
}

/* Stores the leader's sum of the usage of all entries, this one included. */
void usage_update(usage_t *usage, const msg_fleet_load_t *load, clock_ms_t now)
{
	usage->all_updated_ms = now;
	usage->average_begun += USAGE_ARRIVAL_WEIGHT *
				(usage->begun_tokens - usage->average_begun);
	usage->begun_tokens = 0;
	g_hash_table_remove_all(usage->all);
	for (size_t i = 0; i < load->use_count; i++) {
		double *tokens = g_new(double, 1);

		*tokens = load->uses[i].tokens;
		g_hash_table_insert(usage->all, g_strdup(load->uses[i].id),
				    tokens);
	}
}

/*
 * Returns the usage of this entry, and records it as reported.  The caller
 * frees the list, but not its strings, which are valid until the next
 * usage_end() or usage_finish().
 */
msg_fleet_use_t *usage_report(usage_t *usage, size_t *count)
{
	msg_fleet_use_t *list =
		g_new(msg_fleet_use_t, g_hash_table_size(usage->own) + 1);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&iter, usage->own);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		usage_own_t *own = value;

		own->reported_tokens = own->tokens;
		list[(*count)++] = (msg_fleet_use_t){
			.id = key,
			.tokens = own->tokens,
			.unread_tokens = MAX(
				usage_own_unread(usage, key, REQUEST_RANKS - 1),
				0),
			.sequences = own->requests,
		};
	}
	return list;
}
