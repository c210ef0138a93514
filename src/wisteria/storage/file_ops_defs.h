#ifndef WISTERIA_STORAGE_FILE_OPS_DEFS_H
#define WISTERIA_STORAGE_FILE_OPS_DEFS_H

#include <stddef.h>
#include <sys/types.h>

/*
 * The file operations that durability depends on.  Tests replace them with
 * functions that fail.  Each returns what the system call of its name returns
 * ("sync": fsync(), "truncate": ftruncate()).
 */
typedef struct file_ops_t {
	int (*open)(const struct file_ops_t *self, const char *path, int flags);
	ssize_t (*write)(const struct file_ops_t *self, int fd,
			 const void *data, size_t len);
	int (*sync)(const struct file_ops_t *self, int fd);
	int (*truncate)(const struct file_ops_t *self, int fd, off_t len);
	int (*rename)(const struct file_ops_t *self, const char *from,
		      const char *to);
} file_ops_t;

#endif
