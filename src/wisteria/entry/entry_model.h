#ifndef WISTERIA_ENTRY_ENTRY_MODEL_H
#define WISTERIA_ENTRY_ENTRY_MODEL_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"
#include "wisteria/settings/preset_defs.h"

void entry_model_init(entry_t *entry) ATTR_NONNULL_ALL;
void entry_model_accept(entry_t *entry, request_t *request,
			const preset_contract_t *contract) ATTR_NONNULL_ALL;
void entry_model_on_cancel(entry_t *entry,
			   const request_t *request) ATTR_NONNULL_ALL;
void entry_model_on_agent_up(entry_t *entry,
			     const char *address) ATTR_NONNULL_ALL;
void entry_model_on_agent_down(entry_t *entry,
			       const char *address) ATTR_NONNULL_ALL;
bool entry_model_on_message(entry_t *entry, const msg_t *msg) ATTR_NONNULL_ALL;
void entry_model_on_new_view(entry_t *entry) ATTR_NONNULL_ALL;
void entry_model_tick(entry_t *entry, clock_ms_t now) ATTR_NONNULL_ALL;
void entry_model_free_ended(entry_t *entry) ATTR_NONNULL_ALL;

#endif
