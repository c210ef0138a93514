#ifndef WISTERIA_TRACE_TRACE_DEFS_H
#define WISTERIA_TRACE_TRACE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#define TRACE_ID_BYTES 16
#define TRACE_SPAN_ID_BYTES 8
#define TRACEPARENT_LEN 55 /* of a traceparent header, without NUL */
#define TRACE_NAME_BYTES 32
#define TRACE_KEY_BYTES 24
#define TRACE_TEXT_BYTES 64
#define TRACE_ATTRIBUTES_MAX 8

/* The identity of a span: its trace and its own id. */
typedef struct {
	uint8_t trace_id[TRACE_ID_BYTES];
	uint8_t span_id[TRACE_SPAN_ID_BYTES];
	bool is_sampled;
} trace_context_t;

typedef enum {
	TRACE_ATTRIBUTE_TEXT,
	TRACE_ATTRIBUTE_NUMBER
} trace_attribute_kind_t;

typedef struct {
	trace_attribute_kind_t kind;
	char key[TRACE_KEY_BYTES];
	char text[TRACE_TEXT_BYTES];
	int64_t number;
} trace_attribute_t;

/*
 * One timed operation of one process.  The times are wall-clock UTC and are
 * used for the trace file only.
 */
typedef struct {
	trace_context_t context;		/* of this span */
	uint8_t parent_id[TRACE_SPAN_ID_BYTES]; /* zero for a root span */
	char name[TRACE_NAME_BYTES];
	uint64_t start_ns;
	uint64_t end_ns;
	bool is_error;
	trace_attribute_t attributes[TRACE_ATTRIBUTES_MAX];
	uint32_t attribute_count;
} span_t;

#endif
