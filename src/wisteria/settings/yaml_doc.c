/*
 * Loads one YAML document by a cyaml schema; errors name the file, the line and
 * the key.  Aliases are refused because a small text could expand to a large
 * one.  Further documents are refused because they would be silently ignored.
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

/* The first error that cyaml logged. */
typedef struct {
	char reason[YAML_DOC_REASON_BYTES];
	char key[YAML_DOC_KEY_BYTES];
	size_t line;
} yaml_error_t;

static const char unexpected_key[] = "Unexpected key: ";

/* Stores the innermost line and the innermost key of the backtrace. */
static void set_location(yaml_error_t *yaml_error, const char *text)
{
	const char *location = strstr(text, "(line: ");

	if (yaml_error->line == 0 &&
	    sscanf(location, "(line: %zu", &yaml_error->line) != 1)
		yaml_error->line = 0;
	if (yaml_error->key[0] == '\0' &&
	    sscanf(text, " in mapping field '%63[^']'", yaml_error->key) != 1)
		yaml_error->key[0] = '\0';
}

static void set_reason(yaml_error_t *yaml_error, const char *text)
{
	static const char prefix[] = "Load: ";

	if (strncmp(text, prefix, sizeof(prefix) - 1) == 0)
		text += sizeof(prefix) - 1;
	g_strlcpy(yaml_error->reason, text, sizeof(yaml_error->reason));
}

/* Handles the log lines of cyaml: a reason, then a backtrace with lines. */
static void on_cyaml_log(cyaml_log_t level, void *context, const char *format,
			 va_list args)
{
	yaml_error_t *yaml_error = context;
	char text[512];

	(void)level;
	vsnprintf(text, sizeof(text), format, args);
	text[strcspn(text, "\n")] = '\0';
	if (strstr(text, "Backtrace:") != NULL)
		return;
	if (strstr(text, "(line: ") != NULL && text[0] == ' ')
		set_location(yaml_error, text);
	else if (yaml_error->reason[0] == '\0')
		set_reason(yaml_error, text);
}

static cyaml_config_t make_config(yaml_error_t *yaml_error)
{
	return (cyaml_config_t){ .log_fn = on_cyaml_log,
				 .log_ctx = yaml_error,
				 .mem_fn = cyaml_mem,
				 .log_level = CYAML_LOG_ERROR,
				 .flags = CYAML_CFG_NO_ALIAS };
}

static bool line_contains(const char *line, size_t len, const char *word)
{
	size_t word_len = strlen(word);

	for (size_t at = 0; at + word_len <= len; at++)
		if (memcmp(line + at, word, word_len) == 0)
			return true;
	return false;
}

/*
 * Returns the number of the first line that contains both "key" and "value",
 * starting the search at line "from"; 0 if there is none.
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
		if (number >= from && line_contains(line, len, key) &&
		    line_contains(line, len, value))
			return number;
		line += len + 1;
	}
	return 0;
}

static void set_error(const yaml_doc_t *doc, size_t line, const char *key,
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
 * Sets "err" for a value that the schema allows but the caller rejects.  The
 * reported line is the first that contains both "key" and "value"; "value" may
 * be NULL.  Returns false.
 */
bool yaml_doc_fail(const yaml_doc_t *doc, const char *key, const char *value,
		   err_t *err, const char *format, ...)
{
	char reason[YAML_DOC_REASON_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(reason, sizeof(reason), format, args);
	va_end(args);
	set_error(doc, find_line(doc, 0, key, value == NULL ? "" : value), key,
		  reason, err);
	return false;
}

/* Finds the line of an unknown key: cyaml logs that of its mapping. */
static void locate_unknown_key(const yaml_doc_t *doc, yaml_error_t *yaml_error)
{
	const char *key;

	if (strncmp(yaml_error->reason, unexpected_key,
		    sizeof(unexpected_key) - 1) != 0)
		return;
	key = yaml_error->reason + sizeof(unexpected_key) - 1;
	g_strlcpy(yaml_error->key, key, sizeof(yaml_error->key));
	yaml_error->line = find_line(doc, yaml_error->line, key, ":");
	snprintf(yaml_error->reason, sizeof(yaml_error->reason), "unknown key");
}

static bool is_document_marker(const char *line, size_t len, const char *marker)
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

/* Refuses a second document: cyaml would read only the first. */
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
		if (seen_content && (is_document_marker(line, len, "---") ||
				     is_document_marker(line, len, "..."))) {
			set_error(doc, number, "", "more than one document",
				  err);
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
		set_error(doc, 0, "", "holds a zero byte", err);
		return false;
	}
	return has_one_document(doc, err);
}

/*
 * Loads "doc" by "schema", whose top level must be a pointer.  On success the
 * caller owns "data" and frees it with yaml_doc_free().  An empty document is
 * an error.
 */
bool yaml_doc_load(const yaml_doc_t *doc, const cyaml_schema_value_t *schema,
		   void **data, err_t *err)
{
	yaml_error_t yaml_error = { .line = 0 };
	cyaml_config_t config = make_config(&yaml_error);
	cyaml_err_t status;

	*data = NULL;
	if (!check_text(doc, err))
		return false;
	status = cyaml_load_data((const uint8_t *)doc->text, doc->len, &config,
				 schema, data, NULL);
	if (status == CYAML_OK && *data != NULL)
		return true;
	if (status == CYAML_OK) {
		set_error(doc, 0, "", "is empty", err);
		return false;
	}
	if (yaml_error.reason[0] == '\0')
		set_reason(&yaml_error, cyaml_strerror(status));
	locate_unknown_key(doc, &yaml_error);
	set_error(doc, yaml_error.line, yaml_error.key, yaml_error.reason, err);
	return false;
}

/* Frees the data of yaml_doc_load(); "data" may be NULL. */
void yaml_doc_free(const cyaml_schema_value_t *schema, void *data)
{
	yaml_error_t yaml_error = { .line = 0 };
	cyaml_config_t config = make_config(&yaml_error);

	if (data != NULL)
		cyaml_free(&config, schema, data, 0);
}

/* Checks "name" with name_is_valid(); sets "err" if it is not valid. */
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
