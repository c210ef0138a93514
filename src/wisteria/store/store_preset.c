/* Orders that create, delete or use a preset. */
#include "wisteria/store/store_internal.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"

/*
 * Checks the text of an order that creates a preset.  The leader checks it
 * once, before the order is logged: a logged order must not be checked again,
 * as another version of the program may have other rules.
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
				 store_decision_t *decision)
{
	err_t err = ERR_INIT;

	if (order->checked || store_check_preset(order, &err))
		return true;
	store_refuse(decision, "%s", err.text);
	return false;
}

static bool preset_fits(const store_t *store, size_t text_len,
			store_decision_t *decision)
{
	if (store->presets->len >= STORE_PRESETS_MAX) {
		store_refuse(decision, "%d presets are kept and no more",
			     STORE_PRESETS_MAX);
		return false;
	}
	if (store->preset_bytes + text_len > STORE_PRESET_BYTES_MAX) {
		store_refuse(decision,
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

/*
 * Creates a preset.  Presets are immutable: creating one again with the same
 * text changes nothing, and with another text is refused.
 */
void store_create_preset(store_t *store, const msg_order_t *order,
			 store_decision_t *decision)
{
	const msg_preset_t *existing = store_find_preset(store, order->name);
	const char *text = order->text == NULL ? "" : order->text;

	if (existing != NULL && strcmp(existing->text, text) == 0) {
		decision->revision = existing->revision;
		return;
	}
	if (existing != NULL) {
		store_refuse(
			decision,
			"preset %s exists since revision %" G_GUINT64_FORMAT
			" with another text; take a new name",
			order->name, (guint64)existing->revision);
		return;
	}
	if (store_has_name(store->deleted_presets, order->name)) {
		store_refuse(decision,
			     "a preset %s was deleted; take a new name",
			     order->name);
		return;
	}
	if (!preset_text_is_valid(order, decision) ||
	    !preset_fits(store, strlen(text), decision))
		return;
	add_preset(store, order->name, text, store->revision + 1);
	decision->changed = true;
}

static bool check_deletable(const store_t *store, const char *name,
			    store_decision_t *decision)
{
	if (store_find_preset(store, name) == NULL) {
		store_refuse(decision, "there is no preset %s", name);
		return false;
	}
	if (strcmp(store->in_force, name) == 0) {
		store_refuse(decision, "preset %s is in force", name);
		return false;
	}
	if (store->deleted_presets->len >= STORE_DELETED_PRESETS_MAX) {
		store_refuse(decision,
			     "%d presets were deleted and no more may be",
			     STORE_DELETED_PRESETS_MAX);
		return false;
	}
	return true;
}

/*
 * Deletes a preset.  Its name is never reused: daemons keep presets by name,
 * and a reused name would falsify the history.
 */
void store_delete_preset(store_t *store, const msg_order_t *order,
			 store_decision_t *decision)
{
	msg_preset_t *preset;

	if (store_has_name(store->deleted_presets, order->name) ||
	    !check_deletable(store, order->name, decision))
		return;
	preset = (msg_preset_t *)store_find_preset(store, order->name);
	store->preset_bytes -= strlen(preset->text);
	g_free((char *)preset->name);
	g_free((char *)preset->text);
	g_array_remove_index(
		store->presets,
		(guint)(preset - (msg_preset_t *)store->presets->data));
	store_add_name(store->deleted_presets, order->name);
	decision->changed = true;
}

/* Makes a preset the one in force. */
void store_use_preset(store_t *store, const msg_order_t *order,
		      store_decision_t *decision)
{
	if (store_find_preset(store, order->name) == NULL) {
		store_refuse(decision, "there is no preset %s", order->name);
		return;
	}
	if (strcmp(store->in_force, order->name) == 0)
		return;
	g_free((char *)store->in_force);
	store->in_force = g_strdup(order->name);
	decision->changed = true;
}
