#ifndef TEST_FUZZ_SESSION_WORLD_H
#define TEST_FUZZ_SESSION_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Faults injected around the session modules to show that they are detected. */
typedef enum {
	FAULT_NONE,
	FAULT_OLD_TOKENS,   /* tokens of old attempts get the current attempt */
	FAULT_OLD_STEPS,    /* steps of old attempts get the current attempt */
	FAULT_REPEATED_RUN, /* an engine runs some work twice */
	FAULT_LOST_TOKEN,   /* a token is not delivered */
	FAULT_FALSE_NOT_RUN, /* every refusal reports "not run" */
	FAULT_COUNT
} world_fault_t;

/* Size of the end of the trace that is kept. */
#define WORLD_TRACE_BYTES 8192

typedef struct {
	char violation[256]; /* the first broken rule; "": none */
	uint32_t delivered;
	bool finished;
	bool refused;
	uint32_t attempts;
	bool disturbed; /* faults happened: a refusal is allowed */
	char trace[WORLD_TRACE_BYTES]; /* the last lines */
} world_outcome_t;

void world_run(const uint8_t *data, size_t size, world_fault_t injected_fault,
	       world_outcome_t *outcome);

#endif
