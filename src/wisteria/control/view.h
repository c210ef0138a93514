#ifndef WISTERIA_CONTROL_VIEW_H
#define WISTERIA_CONTROL_VIEW_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/view_defs.h"

void view_board_init(view_board_t *board) ATTR_NONNULL_ALL;
void view_board_finish(view_board_t *board) ATTR_NONNULL_ALL;
void view_publish(view_board_t *board, view_t *view) ATTR_NONNULL_ALL;
void view_reader_init(view_reader_t *reader,
		      view_board_t *board) ATTR_NONNULL_ALL;
void view_reader_finish(view_reader_t *reader) ATTR_NONNULL_ALL;
const view_t *view_enter(view_reader_t *reader) ATTR_NONNULL_ALL;
void view_exit(view_reader_t *reader) ATTR_NONNULL_ALL;
bool view_is_leaving(const view_t *view, const char *endpoint) ATTR_NONNULL_ALL;

#endif
