#ifndef WISTERIA_ENTRY_JOB_H
#define WISTERIA_ENTRY_JOB_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"
#include "wisteria/settings/preset_defs.h"

job_t *job_new(entry_t *entry, request_t *request,
	       const preset_contract_t *contract) ATTR_NONNULL_ALL;
void job_free(job_t *job) ATTR_NONNULL_ALL;
job_t *job_find(const entry_t *entry, uint64_t session) ATTR_NONNULL_ALL;
void job_hold_chain(job_t *job, const route_choice_t *chain) ATTR_NONNULL_ALL;
void job_replace_hop(job_t *job, size_t hop,
		     const route_hop_t *substitute) ATTR_NONNULL_ALL;
bool job_has_active_session(const job_t *job) ATTR_NONNULL_ALL;
void job_end_keep_session(job_t *job) ATTR_NONNULL_ALL;
void job_end(job_t *job) ATTR_NONNULL_ALL;

#endif
