#ifndef WISTERIA_BASE_MACROS_DEFS_H
#define WISTERIA_BASE_MACROS_DEFS_H

#include <stddef.h>

#define ATTR_NONNULL(...) __attribute__((nonnull(__VA_ARGS__)))
#define ATTR_NONNULL_ALL __attribute__((nonnull))
#define ATTR_PRINTF(text, first) __attribute__((format(printf, text, first)))
#define ATTR_WARN_UNUSED __attribute__((warn_unused_result))

#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))

/* Returns the struct of "type" whose "member" is at "pointer". */
#define CONTAINER_OF(pointer, type, member) \
	((type *)((char *)(pointer)-offsetof(type, member)))

#endif
