#ifndef WISTERIA_CONTROL_VIEW_BUILDER_H
#define WISTERIA_CONTROL_VIEW_BUILDER_H

#include <stdbool.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/control/view_defs.h"

/*
 * The state that a daemon has received in renewals.  Used by its control
 * thread.  Views are made from it; blocks that did not change are shared
 * between views.
 */
typedef struct view_builder_t view_builder_t;

view_builder_t *view_builder_new(void) ATTR_WARN_UNUSED;
void view_builder_free(view_builder_t *builder);
bool view_builder_apply(view_builder_t *builder, const msg_renew_reply_t *reply,
			err_t *err) ATTR_WARN_UNUSED;
view_t *view_builder_make(view_builder_t *builder,
			  clock_ms_t lease_until_ms) ATTR_NONNULL_ALL;
uint64_t view_builder_revision(const view_builder_t *builder) ATTR_NONNULL_ALL;
size_t view_builder_preset_names(const view_builder_t *builder,
				 msg_name_t *names,
				 size_t max) ATTR_NONNULL_ALL;
void view_builder_directory_version(const view_builder_t *builder,
				    uint64_t *epoch,
				    uint64_t *version) ATTR_NONNULL_ALL;

#endif
