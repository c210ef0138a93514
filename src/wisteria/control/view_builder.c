/*
 * Builds views from renewals.  Endpoints, leaving endpoints, presets and shares
 * are reference-counted blocks; all but the shares are copied only if a renewal
 * changes them.
 */
#include "wisteria/control/view_builder.h"

#include <string.h>

#include <ck_pr.h>
#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"

/* Presets that a daemon keeps; all are dropped before one more is added. */
#define VIEW_PRESETS_MAX 8

/* A reference-counted block of items or a preset that views point to. */
typedef struct {
	uint32_t references;
	GStringChunk *strings;
	GArray *items;
	preset_t *preset;
} shared_block_t;

typedef struct {
	view_t view;
	shared_block_t *endpoints;
	shared_block_t *leaving;
	shared_block_t *shares;
	shared_block_t *preset;
} owned_view_t;

struct view_builder_t {
	uint64_t serial;
	uint64_t revision;
	uint64_t directory_serial;
	uint64_t epoch;
	uint64_t version;
	uint64_t fence;
	char *preset_name;
	GHashTable *presets; /* name -> shared_block_t */
	shared_block_t *endpoint_block;
	shared_block_t *operator_leaving; /* ordered by operators */
	shared_block_t *leaving;	  /* also those announced by daemons */
	shared_block_t *shares;
};

static shared_block_t *block_new(size_t item_bytes)
{
	shared_block_t *block = g_new0(shared_block_t, 1);

	block->references = 1;
	block->strings = g_string_chunk_new(4096);
	block->items = g_array_new(FALSE, FALSE, (guint)item_bytes);
	return block;
}

static shared_block_t *block_ref(shared_block_t *block)
{
	ck_pr_inc_32(&block->references);
	return block;
}

static void block_unref(gpointer data)
{
	shared_block_t *block = data;
	bool last = false;

	if (block == NULL)
		return;
	ck_pr_dec_32_zero(&block->references, &last);
	if (!last)
		return;
	preset_free(block->preset);
	g_string_chunk_free(block->strings);
	g_array_free(block->items, TRUE);
	g_free(block);
}

static const char *intern(shared_block_t *block, const char *text)
{
	return g_string_chunk_insert_const(block->strings, text);
}

static void append_endpoint(shared_block_t *block,
			    const msg_endpoint_t *endpoint)
{
	msg_endpoint_t copy = *endpoint;

	copy.name = intern(block, endpoint->name);
	copy.instance = intern(block, endpoint->instance);
	copy.address = intern(block, endpoint->address);
	copy.target = intern(block, endpoint->target);
	copy.accelerator = intern(block, endpoint->accelerator);
	copy.failure_domain = intern(block, endpoint->failure_domain);
	copy.region = intern(block, endpoint->region);
	g_array_append_val(block->items, copy);
}

static void append_name(shared_block_t *block, const char *name)
{
	const msg_name_t copy = { intern(block, name) };

	g_array_append_val(block->items, copy);
}

/* Creates an empty builder. */
view_builder_t *view_builder_new(void)
{
	view_builder_t *builder = g_new0(view_builder_t, 1);

	builder->presets = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, block_unref);
	builder->endpoint_block = block_new(sizeof(msg_endpoint_t));
	builder->operator_leaving = block_new(sizeof(msg_name_t));
	builder->leaving = block_new(sizeof(msg_name_t));
	builder->shares = block_new(sizeof(msg_share_t));
	return builder;
}

/* Frees a builder; views made from it stay valid. */
void view_builder_free(view_builder_t *builder)
{
	if (builder == NULL)
		return;
	g_hash_table_destroy(builder->presets);
	block_unref(builder->endpoint_block);
	block_unref(builder->operator_leaving);
	block_unref(builder->leaving);
	block_unref(builder->shares);
	g_free(builder->preset_name);
	g_free(builder);
}

static bool is_removed_or_updated(const msg_renew_reply_t *reply,
				  const char *name)
{
	for (size_t i = 0; i < reply->removed_count; i++)
		if (strcmp(reply->removed[i].text, name) == 0)
			return true;
	for (size_t i = 0; i < reply->endpoint_count; i++)
		if (strcmp(reply->endpoints[i].name, name) == 0)
			return true;
	return false;
}

/* Rebuilds the list of the endpoints that get no new work. */
static void collect_leaving(view_builder_t *builder)
{
	const GArray *by_operator = builder->operator_leaving->items;
	const GArray *endpoints = builder->endpoint_block->items;
	shared_block_t *leaving = block_new(sizeof(msg_name_t));

	for (guint i = 0; i < by_operator->len; i++)
		append_name(leaving,
			    g_array_index(by_operator, msg_name_t, i).text);
	for (guint i = 0; i < endpoints->len; i++) {
		const msg_endpoint_t *endpoint =
			&g_array_index(endpoints, msg_endpoint_t, i);

		if (endpoint->leaving)
			append_name(leaving, endpoint->name);
	}
	block_unref(builder->leaving);
	builder->leaving = leaving;
	builder->directory_serial++;
}

static void apply_directory(view_builder_t *builder,
			    const msg_renew_reply_t *reply)
{
	shared_block_t *old = builder->endpoint_block;
	shared_block_t *updated;

	builder->epoch = reply->directory_epoch;
	builder->version = reply->directory_version;
	if (!reply->directory_is_complete && reply->endpoint_count == 0 &&
	    reply->removed_count == 0)
		return;
	updated = block_new(sizeof(msg_endpoint_t));
	for (guint i = 0; !reply->directory_is_complete && i < old->items->len;
	     i++) {
		const msg_endpoint_t *endpoint =
			&g_array_index(old->items, msg_endpoint_t, i);

		if (!is_removed_or_updated(reply, endpoint->name))
			append_endpoint(updated, endpoint);
	}
	for (size_t i = 0; i < reply->endpoint_count; i++)
		append_endpoint(updated, &reply->endpoints[i]);
	builder->endpoint_block = updated;
	block_unref(old);
	collect_leaving(builder);
}

static bool apply_presets(view_builder_t *builder,
			  const msg_renew_reply_t *reply, err_t *err)
{
	for (size_t i = 0; i < reply->preset_count; i++) {
		const msg_preset_t *text = &reply->presets[i];
		preset_t *preset =
			preset_parse(text->text, strlen(text->text), err);
		shared_block_t *block;

		if (preset == NULL)
			return false;
		if (g_hash_table_size(builder->presets) >= VIEW_PRESETS_MAX)
			g_hash_table_remove_all(builder->presets);
		block = block_new(1);
		block->preset = preset;
		g_hash_table_insert(builder->presets, g_strdup(text->name),
				    block);
	}
	return true;
}

static bool apply_config(view_builder_t *builder, const msg_config_t *config,
			 err_t *err)
{
	shared_block_t *leaving;

	if (config->revision <= builder->revision)
		return true;
	if (!g_hash_table_contains(builder->presets, config->preset)) {
		err_set(err, ERR_NOT_FOUND, "apply_config", config->preset,
			"the preset in force was not sent");
		return false;
	}
	leaving = block_new(sizeof(msg_name_t));
	for (size_t i = 0; i < config->leaving_count; i++)
		append_name(leaving, config->leaving[i].text);
	block_unref(builder->operator_leaving);
	builder->operator_leaving = leaving;
	collect_leaving(builder);
	g_free(builder->preset_name);
	builder->preset_name = g_strdup(config->preset);
	builder->revision = config->revision;
	return true;
}

static void apply_shares(view_builder_t *builder,
			 const msg_renew_reply_t *reply)
{
	shared_block_t *shares = block_new(sizeof(msg_share_t));

	for (size_t i = 0; i < reply->share_count; i++) {
		msg_share_t share = reply->shares[i];

		share.customer = intern(shares, share.customer);
		g_array_append_val(shares->items, share);
	}
	block_unref(builder->shares);
	builder->shares = shares;
}

/*
 * Applies a granted renewal.  Revisions only increase: an older configuration
 * is ignored.  On error the renewal must be treated as failed.
 */
bool view_builder_apply(view_builder_t *builder, const msg_renew_reply_t *reply,
			err_t *err)
{
	if (!apply_presets(builder, reply, err))
		return false;
	if (reply->has_config && !apply_config(builder, &reply->config, err))
		return false;
	apply_directory(builder, reply);
	apply_shares(builder, reply);
	if (reply->fence > builder->fence)
		builder->fence = reply->fence;
	return true;
}

static void release_view(view_t *view)
{
	owned_view_t *owned = (owned_view_t *)view;

	block_unref(owned->endpoints);
	block_unref(owned->leaving);
	block_unref(owned->shares);
	block_unref(owned->preset);
	g_free(owned);
}

/* Makes a view of the current state, to be passed to view_publish(). */
view_t *view_builder_make(view_builder_t *builder, clock_ms_t lease_until_ms)
{
	owned_view_t *owned = g_new0(owned_view_t, 1);
	view_t *view = &owned->view;
	shared_block_t *preset = NULL;

	if (builder->preset_name != NULL)
		preset = g_hash_table_lookup(builder->presets,
					     builder->preset_name);
	owned->endpoints = block_ref(builder->endpoint_block);
	owned->leaving = block_ref(builder->leaving);
	owned->shares = block_ref(builder->shares);
	view->serial = ++builder->serial;
	view->revision = builder->revision;
	view->lease_until_ms = lease_until_ms;
	view->directory_serial = builder->directory_serial;
	view->endpoints = (msg_endpoint_t *)owned->endpoints->items->data;
	view->endpoint_count = owned->endpoints->items->len;
	view->leaving = (msg_name_t *)owned->leaving->items->data;
	view->leaving_count = owned->leaving->items->len;
	view->shares = (msg_share_t *)owned->shares->items->data;
	view->share_count = owned->shares->items->len;
	view->fence = builder->fence;
	view->release = release_view;
	if (preset != NULL) {
		owned->preset = block_ref(preset);
		view->preset = preset->preset;
	}
	return view;
}

/* Returns the newest revision applied, or 0 before the first. */
uint64_t view_builder_revision(const view_builder_t *builder)
{
	return builder->revision;
}

/* Fills "names" with the names of up to "max" presets; returns how many. */
size_t view_builder_preset_names(const view_builder_t *builder,
				 msg_name_t *names, size_t max)
{
	GHashTableIter iter;
	gpointer key;
	size_t count = 0;

	g_hash_table_iter_init(&iter, builder->presets);
	while (count < max && g_hash_table_iter_next(&iter, &key, NULL))
		names[count++].text = key;
	return count;
}

/* Returns the epoch and the version of the directory that was applied. */
void view_builder_directory_version(const view_builder_t *builder,
				    uint64_t *epoch, uint64_t *version)
{
	*epoch = builder->epoch;
	*version = builder->version;
}
