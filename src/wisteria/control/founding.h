#ifndef WISTERIA_CONTROL_FOUNDING_H
#define WISTERIA_CONTROL_FOUNDING_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/founding_defs.h"

void founding_init(founding_t *founding, uint32_t members_max,
		   uint32_t random_seed, clock_ms_t now) ATTR_NONNULL_ALL;
void founding_finish(founding_t *founding) ATTR_NONNULL_ALL;
void founding_add_seed(founding_t *founding, const char *own_address,
		       const char *address) ATTR_NONNULL_ALL;
void founding_clear_seeds(founding_t *founding) ATTR_NONNULL_ALL;
void founding_restore(founding_t *founding, const founding_ballot_t *promised,
		      const founding_ballot_t *accepted,
		      const raft_members_t *members) ATTR_NONNULL_ALL;
void founding_set_candidate(founding_t *founding, const raft_member_t *self)
	ATTR_NONNULL(1);
void founding_tick(founding_t *founding, clock_ms_t now) ATTR_NONNULL_ALL;
bool founding_next_request(founding_t *founding, clock_ms_t now,
			   founding_msg_t *request)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool founding_on_request(founding_t *founding, const founding_msg_t *request,
			 clock_ms_t now, founding_msg_t *reply)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void founding_on_reply(founding_t *founding, const char *seed,
		       const founding_msg_t *reply,
		       clock_ms_t now) ATTR_NONNULL_ALL;
const raft_members_t *
founding_decision(const founding_t *founding) ATTR_NONNULL_ALL;
bool founding_may_start_group(const founding_t *founding,
			      clock_ms_t now) ATTR_NONNULL_ALL;
const char *founding_answer_name(uint32_t answer);

#endif
