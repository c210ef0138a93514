/* Reads the memory and processor time of a process from /proc. */
#include "usage.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

/* The fields of /proc/PID/stat after the name in parentheses. */
#define STAT_USER_TIME 11
#define STAT_SYSTEM_TIME 12

static double cpu_seconds(const char *stat)
{
	const char *name_end = strrchr(stat, ')');
	char **fields;
	double ticks = 0;

	if (name_end == NULL)
		return 0;
	fields = g_strsplit(name_end + 2, " ", -1);
	if (g_strv_length(fields) > STAT_SYSTEM_TIME)
		ticks = g_ascii_strtod(fields[STAT_USER_TIME], NULL) +
			g_ascii_strtod(fields[STAT_SYSTEM_TIME], NULL);
	g_strfreev(fields);
	return ticks / (double)sysconf(_SC_CLK_TCK);
}

/* Returns the current usage of a process; zeros if it has ended. */
usage_t usage_read(pid_t pid)
{
	usage_t usage = { .cpu_s = 0 };
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL))
		usage.cpu_s = cpu_seconds(text);
	g_free(text);
	g_free(path);
	text = NULL;
	path = g_strdup_printf("/proc/%d/statm", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		const char *resident = strchr(text, ' ');

		if (resident != NULL)
			usage.resident_bytes = g_ascii_strtod(resident, NULL) *
					       (double)sysconf(_SC_PAGESIZE);
	}
	g_free(text);
	g_free(path);
	return usage;
}
