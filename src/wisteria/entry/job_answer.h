#ifndef WISTERIA_ENTRY_JOB_ANSWER_H
#define WISTERIA_ENTRY_JOB_ANSWER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"

void job_answer_tokens(job_t *job, const msg_token_t *tokens,
		       size_t count) ATTR_NONNULL_ALL;
void job_answer_finish(job_t *job) ATTR_NONNULL_ALL;
void job_answer_refuse(job_t *job,
		       const entry_refusal_t *refusal) ATTR_NONNULL_ALL;

#endif
