/* Implements the file operations with system calls. */
#include "wisteria/storage/file_ops.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#define FILE_MODE 0600

static int system_open(const file_ops_t *self, const char *path, int flags)
{
	(void)self;
	return open(path, flags | O_CLOEXEC, FILE_MODE);
}

static ssize_t system_write(const file_ops_t *self, int fd, const void *data,
			    size_t len)
{
	(void)self;
	return write(fd, data, len);
}

static int system_sync(const file_ops_t *self, int fd)
{
	(void)self;
	return fsync(fd);
}

static int system_truncate(const file_ops_t *self, int fd, off_t len)
{
	(void)self;
	return ftruncate(fd, len);
}

static int system_rename(const file_ops_t *self, const char *from,
			 const char *to)
{
	(void)self;
	return rename(from, to);
}

const file_ops_t file_ops_system = {
	.open = system_open,
	.write = system_write,
	.sync = system_sync,
	.truncate = system_truncate,
	.rename = system_rename,
};
