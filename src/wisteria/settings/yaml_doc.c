/*
 * Loads one YAML document by a schema and reports what is wrong with it by
 * file, line and key.  Aliases and further documents are refused, so that a
 * small text can't expand into a large one and nothing is silently ignored.
 */
#include "wisteria/settings/yaml_doc.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/name.h"

#define YAML_DOC_KEY_BYTES 64
#define YAML_DOC_REASON_BYTES 160

/* The first problem that the library logged. */
typedef struct {
	char reason[YAML_DOC_REASON_BYTES];
	char key[YAML_DOC_KEY_BYTES];
	size_t line;
} yaml_problem_t;

static const char unexpected_key[] = "Unexpected key: ";

/* Keeps the innermost line and the innermost key of the backtrace. */
static void keep_place(yaml_problem_t *problem, const char *text)
{
	const char *place = strstr(text, "(line: ");

	if (problem->line == 0 &&
	    sscanf(place, "(line: %zu", &problem->line) != 1)
		problem->line = 0;
	if (problem->key[0] == '\0' &&
	    sscanf(text, " in mapping field '%63[^']'", problem->key) != 1)
		problem->key[0] = '\0';
}

static void keep_reason(yaml_problem_t *problem, const char *text)
{
	static const char prefix[] = "Load: ";

	if (strncmp(text, prefix, sizeof(prefix) - 1) == 0)
		text += sizeof(prefix) - 1;
	g_strlcpy(problem->reason, text, sizeof(problem->reason));
}

/* Receives the library's log lines: a reason, then a backtrace of places. */
static void on_log(cyaml_log_t level, void *context, const char *format,
		   va_list args)
{
	yaml_problem_t *problem = context;
	char text[512];

	(void)level;
	vsnprintf(text, sizeof(text), format, args);
	text[strcspn(text, "\n")] = '\0';
	if (strstr(text, "Backtrace:") != NULL)
		return;
	if (strstr(text, "(line: ") != NULL && text[0] == ' ')
		keep_place(problem, text);
	else if (problem->reason[0] == '\0')
		keep_reason(problem, text);
}

static cyaml_config_t make_config(yaml_problem_t *problem)
{
	return (cyaml_config_t){ .log_fn = on_log,
				 .log_ctx = problem,
				 .mem_fn = cyaml_mem,
				 .log_level = CYAML_LOG_ERROR,
				 .flags = CYAML_CFG_NO_ALIAS };
}

static bool line_has(const char *line, size_t len, const char *word)
{
	size_t word_len = strlen(word);

	for (size_t at = 0; at + word_len <= len; at++)
		if (memcmp(line + at, word, word_len) == 0)
			return true;
	return false;
}

/*
 * Returns the number of the first line from "from" on that holds both "key"
 * and "value", or 0.
 */
static size_t find_line(const yaml_doc_t *doc, size_t from, const char *key,
			const char *value)
{
	const char *line = doc->text;
	const char *end = doc->text + doc->len;
	size_t number = 0;

	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));
		size_t len = (size_t)((stop == NULL ? end : stop) - line);

		number++;
		if (number >= from && line_has(line, len, key) &&
		    line_has(line, len, value))
			return number;
		line += len + 1;
	}
	return 0;
}

static void fail_at(const yaml_doc_t *doc, size_t line, const char *key,
		    const char *reason, err_t *err)
{
	if (line != 0 && key[0] != '\0')
		err_set(err, ERR_INVALID, doc->step, doc->file,
			"line %zu, key %s: %s", line, key, reason);
	else if (line != 0)
		err_set(err, ERR_INVALID, doc->step, doc->file, "line %zu: %s",
			line, reason);
	else if (key[0] != '\0')
		err_set(err, ERR_INVALID, doc->step, doc->file, "key %s: %s",
			key, reason);
	else
		err_set(err, ERR_INVALID, doc->step, doc->file, "%s", reason);
}

/*
 * Reports a value that the schema allows and the caller does not.  The line
 * is the first that holds both "key" and "value"; "value" may be NULL.
 * Returns false.
 */
bool yaml_doc_fail(const yaml_doc_t *doc, const char *key, const char *value,
		   err_t *err, const char *format, ...)
{
	char reason[YAML_DOC_REASON_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(reason, sizeof(reason), format, args);
	va_end(args);
	fail_at(doc, find_line(doc, 0, key, value == NULL ? "" : value), key,
		reason, err);
	return false;
}

/* The library logs an unknown key at the place of the mapping around it. */
static void place_unknown_key(const yaml_doc_t *doc, yaml_problem_t *problem)
{
	const char *key;

	if (strncmp(problem->reason, unexpected_key,
		    sizeof(unexpected_key) - 1) != 0)
		return;
	key = problem->reason + sizeof(unexpected_key) - 1;
	g_strlcpy(problem->key, key, sizeof(problem->key));
	problem->line = find_line(doc, problem->line, key, ":");
	snprintf(problem->reason, sizeof(problem->reason), "unknown key");
}

static bool is_marker(const char *line, size_t len, const char *marker)
{
	if (len < 3 || memcmp(line, marker, 3) != 0)
		return false;
	return len == 3 || isspace((unsigned char)line[3]);
}

static bool is_blank(const char *line, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (line[i] == '#')
			return true;
		if (!isspace((unsigned char)line[i]))
			return false;
	}
	return true;
}

/* The library reads the first document only; anything after it is refused. */
static bool has_one_document(const yaml_doc_t *doc, err_t *err)
{
	const char *line = doc->text;
	const char *end = doc->text + doc->len;
	bool seen_content = false;
	size_t number = 0;

	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));
		size_t len = (size_t)((stop == NULL ? end : stop) - line);

		number++;
		if (seen_content && (is_marker(line, len, "---") ||
				     is_marker(line, len, "..."))) {
			fail_at(doc, number, "", "more than one document", err);
			return false;
		}
		seen_content = seen_content || !is_blank(line, len);
		line += len + 1;
	}
	return true;
}

static bool check_text(const yaml_doc_t *doc, err_t *err)
{
	if (doc->len != 0 && memchr(doc->text, '\0', doc->len) != NULL) {
		fail_at(doc, 0, "", "holds a zero byte", err);
		return false;
	}
	return has_one_document(doc, err);
}

/*
 * Loads "doc" by "schema", whose top level is a pointer.  On success "data"
 * belongs to the caller, who frees it with yaml_doc_free().  An empty text is
 * an error.
 */
bool yaml_doc_load(const yaml_doc_t *doc, const cyaml_schema_value_t *schema,
		   void **data, err_t *err)
{
	yaml_problem_t problem = { .line = 0 };
	cyaml_config_t config = make_config(&problem);
	cyaml_err_t status;

	*data = NULL;
	if (!check_text(doc, err))
		return false;
	status = cyaml_load_data((const uint8_t *)doc->text, doc->len, &config,
				 schema, data, NULL);
	if (status == CYAML_OK && *data != NULL)
		return true;
	if (status == CYAML_OK) {
		fail_at(doc, 0, "", "is empty", err);
		return false;
	}
	if (problem.reason[0] == '\0')
		keep_reason(&problem, cyaml_strerror(status));
	place_unknown_key(doc, &problem);
	fail_at(doc, problem.line, problem.key, problem.reason, err);
	return false;
}

/* Frees what yaml_doc_load() made; "data" may be NULL. */
void yaml_doc_free(const cyaml_schema_value_t *schema, void *data)
{
	yaml_problem_t problem = { .line = 0 };
	cyaml_config_t config = make_config(&problem);

	if (data != NULL)
		cyaml_free(&config, schema, data, 0);
}

/* Checks a name by name_is_valid() and reports it otherwise. */
bool yaml_doc_check_name(const yaml_doc_t *doc, const char *key,
			 const char *name, const char *extra, err_t *err)
{
	if (name_is_valid(name, extra))
		return true;
	return yaml_doc_fail(doc, key, name, err,
			     "a name holds 1 to %d letters, digits, \".\", "
			     "\"_\", \"-\"%s%s",
			     NAME_LEN_MAX, extra[0] == '\0' ? "" : " and ",
			     extra);
}
