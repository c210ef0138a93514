/*
 * Fuzz test of the session modules: the input bytes choose what the network,
 * the engines and the instances do; the oracle checks the results.
 */
#include <stdio.h>
#include <stdlib.h>

#include "session_world.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static world_outcome_t outcome;

	world_run(data, size, FAULT_NONE, &outcome);
	if (outcome.violation[0] == '\0')
		return 0;
	fprintf(stderr, "%s\nviolation: %s\n", outcome.trace,
		outcome.violation);
	abort();
}
