/* Orders on presets: create, delete, put in force. */
#include "wisteria/store/store_internal.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"

/*
 * Checks the text of an order that creates a preset.  The leader does it once,
 * before the order is logged: what a log holds must not be judged again, by
 * another version of the program with other rules.
 */
bool store_check_preset(const msg_order_t *order, err_t *err)
{
	const char *text = order->text == NULL ? "" : order->text;
	preset_t *preset = preset_parse(text, strlen(text), err);
	bool same;

	if (preset == NULL)
		return false;
	same = strcmp(preset->name, order->name) == 0;
	if (!same)
		err_set(err, ERR_INVALID, "check_preset", order->name,
			"the text is of preset %s, not %s", preset->name,
			order->name);
	preset_free(preset);
	return same;
}

static bool preset_text_is_valid(const msg_order_t *order,
				 store_verdict_t *verdict)
{
	err_t err = ERR_INIT;

	if (order->checked || store_check_preset(order, &err))
		return true;
	store_refuse(verdict, "%s", err.text);
	return false;
}

static bool preset_fits(const store_t *store, size_t text_len,
			store_verdict_t *verdict)
{
	if (store->presets->len >= STORE_PRESETS_MAX) {
		store_refuse(verdict, "%d presets are kept and no more",
			     STORE_PRESETS_MAX);
		return false;
	}
	if (store->preset_bytes + text_len > STORE_PRESET_BYTES_MAX) {
		store_refuse(verdict,
			     "the presets would take more than %u bytes",
			     STORE_PRESET_BYTES_MAX);
		return false;
	}
	return true;
}

static void add_preset(store_t *store, const char *name, const char *text,
		       uint64_t revision)
{
	const msg_preset_t preset = {
		.name = g_strdup(name),
		.revision = revision,
		.text = g_strdup(text),
	};

	store->preset_bytes += strlen(text);
	g_array_append_val(store->presets, preset);
}

/* Creates a preset.  It never changes: the same text again is the same. */
void store_create_preset(store_t *store, const msg_order_t *order,
			 store_verdict_t *verdict)
{
	const msg_preset_t *present = store_preset(store, order->name);
	const char *text = order->text == NULL ? "" : order->text;

	if (present != NULL && strcmp(present->text, text) == 0) {
		verdict->revision = present->revision;
		return;
	}
	if (present != NULL) {
		store_refuse(
			verdict,
			"preset %s exists since revision %" G_GUINT64_FORMAT
			" with another text; take a new name",
			order->name, (guint64)present->revision);
		return;
	}
	if (store_has_name(store->retired, order->name)) {
		store_refuse(verdict,
			     "a preset %s was deleted; take a new name",
			     order->name);
		return;
	}
	if (!preset_text_is_valid(order, verdict) ||
	    !preset_fits(store, strlen(text), verdict))
		return;
	add_preset(store, order->name, text, store->revision + 1);
	verdict->changed = true;
}

static bool may_delete(const store_t *store, const char *name,
		       store_verdict_t *verdict)
{
	if (store_preset(store, name) == NULL) {
		store_refuse(verdict, "there is no preset %s", name);
		return false;
	}
	if (strcmp(store->in_force, name) == 0) {
		store_refuse(verdict, "preset %s is in force", name);
		return false;
	}
	if (store->retired->len >= STORE_RETIRED_MAX) {
		store_refuse(verdict,
			     "%d presets were deleted and no more may be",
			     STORE_RETIRED_MAX);
		return false;
	}
	return true;
}

/*
 * A deleted preset's name is never taken again: daemons keep presets by name,
 * and the history must stay true.
 */
void store_delete_preset(store_t *store, const msg_order_t *order,
			 store_verdict_t *verdict)
{
	msg_preset_t *preset;

	if (store_has_name(store->retired, order->name) ||
	    !may_delete(store, order->name, verdict))
		return;
	preset = (msg_preset_t *)store_preset(store, order->name);
	store->preset_bytes -= strlen(preset->text);
	g_free((char *)preset->name);
	g_free((char *)preset->text);
	g_array_remove_index(
		store->presets,
		(guint)(preset - (msg_preset_t *)store->presets->data));
	store_add_name(store->retired, order->name);
	verdict->changed = true;
}

/* Puts a preset in force. */
void store_use_preset(store_t *store, const msg_order_t *order,
		      store_verdict_t *verdict)
{
	if (store_preset(store, order->name) == NULL) {
		store_refuse(verdict, "there is no preset %s", order->name);
		return;
	}
	if (strcmp(store->in_force, order->name) == 0)
		return;
	g_free((char *)store->in_force);
	store->in_force = g_strdup(order->name);
	verdict->changed = true;
}
