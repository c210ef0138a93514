#ifndef WISTERIA_SETTINGS_YAML_DOC_H
#define WISTERIA_SETTINGS_YAML_DOC_H

#include <stdbool.h>
#include <stddef.h>

#include <cyaml/cyaml.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

/* A YAML text and the names that errors about it report. */
typedef struct {
	const char *step; /* of err_t */
	const char *file;
	const char *text;
	size_t len;
} yaml_doc_t;

bool yaml_doc_load(const yaml_doc_t *doc, const cyaml_schema_value_t *schema,
		   void **data, err_t *err) ATTR_WARN_UNUSED;
void yaml_doc_free(const cyaml_schema_value_t *schema, void *data);
bool yaml_doc_fail(const yaml_doc_t *doc, const char *key, const char *value,
		   err_t *err, const char *format, ...) ATTR_PRINTF(5, 6)
	ATTR_NONNULL(1, 2, 5);
bool yaml_doc_check_name(const yaml_doc_t *doc, const char *key,
			 const char *name, const char *extra,
			 err_t *err) ATTR_WARN_UNUSED;

#endif
