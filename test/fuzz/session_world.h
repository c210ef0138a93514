#ifndef TEST_FUZZ_SESSION_WORLD_H
#define TEST_FUZZ_SESSION_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Faults put between the modules and the world, to show that they are found. */
typedef enum {
	FAULT_NONE,
	FAULT_OLD_TOKENS,    /* tokens of old attempts pass as new */
	FAULT_OLD_STEPS,     /* steps of old attempts pass as new */
	FAULT_REPEATED_RUN,  /* an engine is given some work twice */
	FAULT_LOST_TOKEN,    /* a token is not delivered */
	FAULT_FALSE_NOT_RUN, /* every refusal says "not run" */
	FAULT_COUNT
} world_fault_t;

#define WORLD_TRACE_BYTES 8192

typedef struct {
	char fault[256]; /* "" if every rule held */
	uint32_t delivered;
	bool finished;
	bool refused;
	uint32_t attempts;
	bool disturbed;
	char trace[WORLD_TRACE_BYTES]; /* the last steps */
} world_outcome_t;

void world_run(const uint8_t *data, size_t size, world_fault_t fault,
	       world_outcome_t *outcome);

#endif
