/* Names of instances, endpoints, presets and the like. */
#include "wisteria/settings/name.h"

#include <ctype.h>
#include <string.h>

/*
 * Returns whether "name" may appear in paths, logs and metrics: 1 to 63
 * letters, digits, ".", "_", "-" and the bytes of "extra".
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
