#ifndef WISTERIA_ENTRY_JOB_TAKEOVER_H
#define WISTERIA_ENTRY_JOB_TAKEOVER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"

bool job_takeover_is_requested(const job_t *job) ATTR_NONNULL_ALL;
void job_takeover_start(job_t *job) ATTR_NONNULL_ALL;
void job_takeover_on_agent_up(entry_t *entry,
			      const char *address) ATTR_NONNULL_ALL;
void job_takeover_on_reply(entry_t *entry,
			   const msg_takeover_reply_t *reply) ATTR_NONNULL_ALL;
void job_takeover_tick(entry_t *entry, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
