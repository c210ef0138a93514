#ifndef TEST_FUNCTIONAL_HARNESS_HARNESS_H
#define TEST_FUNCTIONAL_HARNESS_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

#define HARNESS_PATH_BYTES 512
#define HARNESS_NAME_BYTES 64
#define HARNESS_PROCESSES_MAX 300
#define HARNESS_ARGS_MAX 40
/* The time limit of each single wait in a test. */
#define HARNESS_WAIT_MS 30000

/* Under AddressSanitizer freed memory stays in use for a while. */
#ifdef __SANITIZE_ADDRESS__
#define HARNESS_HAS_ASAN 1
#elif defined(__has_feature)
#if __has_feature(address_sanitizer)
#define HARNESS_HAS_ASAN 1
#endif
#endif
#ifndef HARNESS_HAS_ASAN
#define HARNESS_HAS_ASAN 0
#endif

/*
 * A program that the test runs; "pid" is 0 before its start and once
 * harness_is_running() has returned false.
 */
typedef struct {
	char name[HARNESS_NAME_BYTES];
	char log_path[HARNESS_PATH_BYTES];
	char *argv[HARNESS_ARGS_MAX + 1];
	pid_t pid;
	int exit_status; /* from waitpid(), once it has exited */
} harness_process_t;

/* The processes and files of one test. */
typedef struct {
	char ip[HARNESS_NAME_BYTES]; /* WISTERIA_TEST_IP or 127.0.0.1 */
	char dir[HARNESS_PATH_BYTES];
	char bin_dir[HARNESS_PATH_BYTES];
	GStringChunk *strings;
	harness_process_t *processes;
	size_t process_count;
} harness_t;

void harness_init(harness_t *harness, const char *test_name) ATTR_NONNULL_ALL;
void harness_finish(harness_t *harness, bool passed) ATTR_NONNULL_ALL;

const char *harness_string(harness_t *harness, const char *format, ...)
	ATTR_PRINTF(2, 3) ATTR_NONNULL_ALL;
const char *harness_path(harness_t *harness, const char *name) ATTR_NONNULL_ALL;
const char *harness_program(harness_t *harness,
			    const char *name) ATTR_NONNULL_ALL;
const char *harness_write_file(harness_t *harness, const char *name,
			       const char *text) ATTR_NONNULL_ALL;
const char *harness_address(harness_t *harness) ATTR_NONNULL_ALL;

harness_process_t *harness_start(harness_t *harness, const char *name,
				 const char *const argv[]) ATTR_NONNULL_ALL;
void harness_restart(harness_process_t *process) ATTR_NONNULL_ALL;
void harness_signal(const harness_process_t *process,
		    int signal) ATTR_NONNULL_ALL;
void harness_kill(harness_process_t *process) ATTR_NONNULL_ALL;
bool harness_wait_exit(harness_process_t *process,
		       clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool harness_is_running(harness_process_t *process) ATTR_NONNULL_ALL;
bool harness_wait_log(const harness_process_t *process, const char *text,
		      clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool harness_wait_http(const char *address, const char *path, long status,
		       clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool harness_wait_until(bool (*condition)(void *user), void *user,
			clock_ms_t limit_ms) ATTR_NONNULL(1) ATTR_WARN_UNUSED;
unsigned harness_peak_mb(const harness_process_t *process) ATTR_NONNULL_ALL;
void harness_forget_peak(const harness_process_t *process) ATTR_NONNULL_ALL;
char *harness_read_file(const char *path) ATTR_NONNULL_ALL;
void harness_remove_tree(const char *path) ATTR_NONNULL_ALL;

#endif
