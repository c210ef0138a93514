/*
 * Checks the journals of the fake engines.  Each line records that an engine
 * ran one position of one sequence of a session through its layers.
 *
 * Every sequence must run its positions from 0 on, in order and each once.  For
 * every answer of n tokens, sequences that ran exactly the positions below n
 * must cover all layers, each layer once; sequences of the highest attempt are
 * counted first.
 */
#include "harness/journal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* The positions that one engine ran for one sequence. */
typedef struct {
	uint64_t sequence;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t next_position;
	uint32_t last_attempt;
	char engine[HARNESS_NAME_BYTES];
} sequence_run_t;

typedef struct {
	uint64_t session;
	GArray *runs;
} session_runs_t;

typedef struct {
	uint64_t session;
	uint32_t attempt;
	uint32_t position;
	sequence_run_t run;
} journal_line_t;

static void free_session(gpointer data)
{
	session_runs_t *session = data;

	g_array_free(session->runs, TRUE);
	g_free(session);
}

/* Initializes a check for a model with "layers" layers. */
void journal_init(journal_t *journal, uint32_t layers)
{
	memset(journal, 0, sizeof(*journal));
	journal->sessions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, free_session);
	journal->answers = g_hash_table_new(NULL, NULL);
	journal->layers = layers;
	journal->sessions_must_complete = true;
}

/* Frees what the check holds. */
void journal_finish(journal_t *journal)
{
	g_hash_table_destroy(journal->sessions);
	g_hash_table_destroy(journal->answers);
}

static void set_fault(journal_t *journal, const char *text, uint64_t session,
		      const sequence_run_t *run)
{
	if (journal->fault[0] != '\0')
		return;
	snprintf(journal->fault, sizeof(journal->fault),
		 "%s: session=%" PRIu64 " sequence=%" PRIu64
		 " layers=[%u,%u) next=%u attempt=%u engine=%s",
		 text, session, run->sequence, run->first_layer, run->end_layer,
		 run->next_position, run->last_attempt, run->engine);
}

static session_runs_t *find_session(journal_t *journal, uint64_t number)
{
	session_runs_t *session =
		g_hash_table_lookup(journal->sessions, &number);

	if (session != NULL)
		return session;
	session = g_new0(session_runs_t, 1);
	session->session = number;
	session->runs = g_array_new(FALSE, TRUE, sizeof(sequence_run_t));
	g_hash_table_insert(journal->sessions, &session->session, session);
	return session;
}

static sequence_run_t *find_run(session_runs_t *session,
				const sequence_run_t *key)
{
	for (guint i = 0; i < session->runs->len; i++) {
		sequence_run_t *run =
			&g_array_index(session->runs, sequence_run_t, i);

		if (run->sequence == key->sequence &&
		    run->first_layer == key->first_layer &&
		    run->end_layer == key->end_layer &&
		    strcmp(run->engine, key->engine) == 0)
			return run;
	}
	g_array_append_val(session->runs, *key);
	return &g_array_index(session->runs, sequence_run_t,
			      session->runs->len - 1);
}

static bool parse_line(const char *text, journal_line_t *line)
{
	memset(line, 0, sizeof(*line));
	return sscanf(text,
		      "%" SCNu64 " %" SCNu32 " %" SCNu32 " %" SCNu32 " %" SCNu32
		      " %" SCNu64 " %63s",
		      &line->session, &line->attempt, &line->position,
		      &line->run.first_layer, &line->run.end_layer,
		      &line->run.sequence, line->run.engine) == 7;
}

static void add_line(journal_t *journal, const journal_line_t *line)
{
	session_runs_t *session = find_session(journal, line->session);
	sequence_run_t *run = find_run(session, &line->run);

	if (line->position != run->next_position)
		set_fault(journal, "a position was skipped or repeated",
			  line->session, run);
	if (line->attempt < run->last_attempt)
		set_fault(journal, "an older attempt ran", line->session, run);
	run->next_position = line->position + 1;
	run->last_attempt = line->attempt;
}

/* Reads the journal of one fake engine process. */
void journal_read(journal_t *journal, const char *path)
{
	char *text = harness_read_file(path);
	char **lines = g_strsplit(text, "\n", -1);
	journal_line_t line;

	for (char **at = lines; *at != NULL; at++)
		if (parse_line(*at, &line))
			add_line(journal, &line);
	g_strfreev(lines);
	g_free(text);
}

/* Reads the journals of all engines of a cluster. */
void journal_read_cluster(journal_t *journal, const cluster_t *cluster)
{
	for (size_t i = 0; i < cluster->endpoint_count; i++)
		if (cluster->endpoints[i].end_layer > 0)
			journal_read(journal, cluster->endpoints[i].journal);
}

/* Records that a caller received a whole answer of "token_count" tokens. */
void journal_expect(journal_t *journal, uint32_t token_count)
{
	gpointer key = GUINT_TO_POINTER(token_count);
	guint count =
		GPOINTER_TO_UINT(g_hash_table_lookup(journal->answers, key));

	g_hash_table_insert(journal->answers, key, GUINT_TO_POINTER(count + 1));
}

static gint by_descending_attempt(gconstpointer a, gconstpointer b)
{
	const sequence_run_t *left = a;
	const sequence_run_t *right = b;

	if (left->last_attempt == right->last_attempt)
		return 0;
	return left->last_attempt > right->last_attempt ? -1 : 1;
}

static uint32_t token_count(const session_runs_t *session)
{
	uint32_t count = 0;

	for (guint i = 0; i < session->runs->len; i++)
		count = MAX(count,
			    g_array_index(session->runs, sequence_run_t, i)
				    .next_position);
	return count;
}

static bool mark_covered(const sequence_run_t *run, bool *covered,
			 uint32_t layers)
{
	if (run->end_layer > layers)
		return false;
	for (uint32_t layer = run->first_layer; layer < run->end_layer; layer++)
		if (covered[layer])
			return false;
	for (uint32_t layer = run->first_layer; layer < run->end_layer; layer++)
		covered[layer] = true;
	return true;
}

static bool covers_all_layers(const journal_t *journal, session_runs_t *session,
			      uint32_t count)
{
	bool *covered = g_new0(bool, journal->layers);
	uint32_t layers = 0;

	g_array_sort(session->runs, by_descending_attempt);
	for (guint i = 0; i < session->runs->len; i++) {
		const sequence_run_t *run =
			&g_array_index(session->runs, sequence_run_t, i);

		if (run->next_position == count &&
		    mark_covered(run, covered, journal->layers))
			layers += run->end_layer - run->first_layer;
	}
	g_free(covered);
	return layers == journal->layers;
}

static bool check_session(journal_t *journal, session_runs_t *session)
{
	uint32_t count = token_count(session);
	gpointer key = GUINT_TO_POINTER(count);
	guint answers =
		GPOINTER_TO_UINT(g_hash_table_lookup(journal->answers, key));

	if (!covers_all_layers(journal, session, count)) {
		if (journal->sessions_must_complete)
			set_fault(journal, "some layers did not run",
				  session->session,
				  &g_array_index(session->runs, sequence_run_t,
						 0));
		return false;
	}
	if (answers > 0)
		g_hash_table_insert(journal->answers, key,
				    GUINT_TO_POINTER(answers - 1));
	return true;
}

static void check_answers(journal_t *journal)
{
	GHashTableIter iter;
	gpointer tokens;
	gpointer left;

	g_hash_table_iter_init(&iter, journal->answers);
	while (g_hash_table_iter_next(&iter, &tokens, &left))
		if (left != NULL && journal->fault[0] == '\0')
			snprintf(journal->fault, sizeof(journal->fault),
				 "%u answers of %u tokens, but no session that "
				 "ran them",
				 GPOINTER_TO_UINT(left),
				 GPOINTER_TO_UINT(tokens));
}

/*
 * Returns whether the journals match the recorded answers; if not, prints the
 * first mismatch and leaves it in "fault".  Must be called only once, because
 * it uses up the recorded answers.
 */
bool journal_check(journal_t *journal)
{
	GHashTableIter iter;
	gpointer session;

	g_hash_table_iter_init(&iter, journal->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &session))
		check_session(journal, session);
	check_answers(journal);
	if (journal->fault[0] != '\0')
		printf("journal: %s\n", journal->fault);
	return journal->fault[0] == '\0';
}
