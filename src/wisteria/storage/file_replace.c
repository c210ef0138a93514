/* Replaces small files so that a crash leaves the old or the new one. */
#include "wisteria/storage/file_replace.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <glib.h>

#include "wisteria/base/err.h"

#define TEMPORARY_SUFFIX ".new"
#define FILE_MODE 0644

static bool write_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t written = write(fd, data, len);

		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return false;
		data += written;
		len -= (size_t)written;
	}
	return true;
}

static bool write_synced(int folder, const char *name, const void *data,
			 size_t len)
{
	int fd = openat(folder, name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
			FILE_MODE);
	bool ok;

	if (fd < 0)
		return false;
	ok = write_all(fd, data, len) && fdatasync(fd) == 0;
	return close(fd) == 0 && ok;
}

/*
 * Writes file "name" in "folder" under a temporary name, syncs it, renames it
 * and syncs the folder.  Returns false with "err" set if a step fails; then the
 * old file or the new one is there.
 */
bool file_replace(const char *folder, const char *name, const void *data,
		  size_t len, err_t *err)
{
	char *temporary = g_strconcat(name, TEMPORARY_SUFFIX, NULL);
	int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	bool ok = fd >= 0 && write_synced(fd, temporary, data, len) &&
		  renameat(fd, temporary, fd, name) == 0 && fsync(fd) == 0;

	if (!ok)
		err_set(err, ERR_IO, "replace_file", folder, "%s: %s", name,
			g_strerror(errno));
	if (fd >= 0)
		close(fd);
	g_free(temporary);
	return ok;
}
