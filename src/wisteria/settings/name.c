/* Validates the names of instances, endpoints, presets and similar. */
#include "wisteria/settings/name.h"

#include <ctype.h>
#include <string.h>

/*
 * Returns whether "name" is valid, and so safe in paths, logs and metrics: it
 * has 1 to 63 bytes, each a letter, a digit, ".", "_", "-" or a byte of
 * "extra".
 */
bool name_is_valid(const char *name, const char *extra)
{
	size_t len = strlen(name);

	if (len == 0 || len > NAME_LEN_MAX)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (isalnum((unsigned char)name[i]))
			continue;
		if (strchr("._-", name[i]) == NULL &&
		    strchr(extra, name[i]) == NULL)
			return false;
	}
	return true;
}
