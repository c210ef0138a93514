#ifndef WISTERIA_ENTRY_JOB_SESSION_H
#define WISTERIA_ENTRY_JOB_SESSION_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"

void job_session_init(entry_t *entry) ATTR_NONNULL_ALL;
void job_session_start(job_t *job,
		       const route_choice_t *chain) ATTR_NONNULL_ALL;
bool job_session_resume(job_t *job, const msg_takeover_reply_t *reply)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
route_request_t job_route_request(const job_t *job, const char *failed)
	ATTR_NONNULL(1);

#endif
