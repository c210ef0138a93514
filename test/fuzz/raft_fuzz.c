/*
 * Fuzzes the replicated log: the bytes choose the steps, the oracle is a plain
 * list of committed entries (raft_sim.h).  RAFT_SIM_FAULT names a known
 * fault to inject (raft_faults.h).
 */
#include "raft_faults.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const sim_variant_t *variant = fault_variant(getenv("RAFT_SIM_FAULT"));
	const char *violation = sim_run(data, size, variant);

	if (violation == NULL)
		return 0;
	fprintf(stderr, "violation: %s\n", violation);
	abort();
}
