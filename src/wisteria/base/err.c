/* Errors that record the failed step and the peer concerned. */
#include "wisteria/base/err.h"

#include <stdarg.h>
#include <stdio.h>

#include "wisteria/base/macros_defs.h"

static const char *const code_names[] = {
	[ERR_NONE] = "none",
	[ERR_INVALID] = "invalid",
	[ERR_IO] = "io",
	[ERR_CORRUPT] = "corrupt",
	[ERR_NO_MEMORY] = "no_memory",
	[ERR_TIMEOUT] = "timeout",
	[ERR_PROTOCOL] = "protocol",
	[ERR_AUTH] = "auth",
	[ERR_CLOSED] = "closed",
	[ERR_NOT_FOUND] = "not_found",
	[ERR_NOT_ALLOWED] = "not_allowed",
	[ERR_CONFLICT] = "conflict",
	[ERR_UNAVAILABLE] = "unavailable",
	[ERR_OVERLOAD] = "overload",
	[ERR_TOO_LARGE] = "too_large",
};

/*
 * Sets "err" unless it is NULL.  "step" names the operation and "peer" the
 * file, instance or address concerned; "peer" may be empty.
 */
void err_set(err_t *err, err_code_t code, const char *step, const char *peer,
	     const char *format, ...)
{
	va_list args;

	if (err == NULL)
		return;
	err->code = code;
	snprintf(err->step, sizeof(err->step), "%s", step);
	snprintf(err->peer, sizeof(err->peer), "%s", peer);
	va_start(args, format);
	vsnprintf(err->text, sizeof(err->text), format, args);
	va_end(args);
}

/* Returns whether "err" holds an error. */
bool err_is_set(const err_t *err)
{
	return err->code != ERR_NONE;
}

/* Resets "err" to hold no error. */
void err_clear(err_t *err)
{
	*err = (err_t)ERR_INIT;
}

/* Returns the name of "code" as it appears in logs and in HTTP bodies. */
const char *err_code_name(err_code_t code)
{
	if ((size_t)code >= ARRAY_SIZE(code_names))
		return "unknown";
	return code_names[code];
}
