/*
 * Turns renewals into views.  The endpoints, the configuration and the presets
 * are counted blocks, copied only when a renewal changes them.
 */
#include "wisteria/control/view_builder.h"

#include <string.h>

#include <ck_pr.h>
#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"

/* Presets that a daemon keeps besides the one in force. */
#define VIEW_PRESETS_MAX 8

/* A counted block of things that views point to. */
typedef struct {
	uint32_t references;
	GStringChunk *strings;
	GArray *items;
	preset_t *preset;
} shared_t;

typedef struct {
	view_t view;
	shared_t *endpoints;
	shared_t *leaving;
	shared_t *shares;
	shared_t *preset;
} owned_view_t;

struct view_builder_t {
	uint64_t serial;
	uint64_t revision;
	uint64_t directory_serial;
	uint64_t epoch;
	uint64_t version;
	uint64_t fence;
	char *preset_name;
	GHashTable *presets; /* name -> shared_t */
	shared_t *endpoints_shared;
	shared_t *ordered_leaving; /* by operators */
	shared_t *leaving;	   /* by operators and by their daemons */
	shared_t *shares;
};

static shared_t *shared_new(size_t item_bytes)
{
	shared_t *shared = g_new0(shared_t, 1);

	shared->references = 1;
	shared->strings = g_string_chunk_new(4096);
	shared->items = g_array_new(FALSE, FALSE, (guint)item_bytes);
	return shared;
}

static shared_t *shared_take(shared_t *shared)
{
	ck_pr_inc_32(&shared->references);
	return shared;
}

static void shared_drop(gpointer data)
{
	shared_t *shared = data;
	bool last = false;

	if (shared == NULL)
		return;
	ck_pr_dec_32_zero(&shared->references, &last);
	if (!last)
		return;
	preset_free(shared->preset);
	g_string_chunk_free(shared->strings);
	g_array_free(shared->items, TRUE);
	g_free(shared);
}

static const char *intern(shared_t *shared, const char *text)
{
	return g_string_chunk_insert_const(shared->strings, text);
}

static void append_endpoint(shared_t *shared, const msg_endpoint_t *endpoint)
{
	msg_endpoint_t copy = *endpoint;

	copy.name = intern(shared, endpoint->name);
	copy.instance = intern(shared, endpoint->instance);
	copy.address = intern(shared, endpoint->address);
	copy.target = intern(shared, endpoint->target);
	copy.accelerator = intern(shared, endpoint->accelerator);
	copy.failure_domain = intern(shared, endpoint->failure_domain);
	copy.region = intern(shared, endpoint->region);
	g_array_append_val(shared->items, copy);
}

static void append_name(shared_t *shared, const char *name)
{
	const msg_name_t copy = { intern(shared, name) };

	g_array_append_val(shared->items, copy);
}

/* Makes a builder that knows nothing. */
view_builder_t *view_builder_new(void)
{
	view_builder_t *builder = g_new0(view_builder_t, 1);

	builder->presets = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, shared_drop);
	builder->endpoints_shared = shared_new(sizeof(msg_endpoint_t));
	builder->ordered_leaving = shared_new(sizeof(msg_name_t));
	builder->leaving = shared_new(sizeof(msg_name_t));
	builder->shares = shared_new(sizeof(msg_share_t));
	return builder;
}

/* Frees a builder; views made from it live on. */
void view_builder_free(view_builder_t *builder)
{
	if (builder == NULL)
		return;
	g_hash_table_destroy(builder->presets);
	shared_drop(builder->endpoints_shared);
	shared_drop(builder->ordered_leaving);
	shared_drop(builder->leaving);
	shared_drop(builder->shares);
	g_free(builder->preset_name);
	g_free(builder);
}

static bool is_removed(const msg_renew_reply_t *reply, const char *name)
{
	for (size_t i = 0; i < reply->removed_count; i++)
		if (strcmp(reply->removed[i].text, name) == 0)
			return true;
	for (size_t i = 0; i < reply->endpoint_count; i++)
		if (strcmp(reply->endpoints[i].name, name) == 0)
			return true;
	return false;
}

/* Lists the endpoints that get no new work. */
static void collect_leaving(view_builder_t *builder)
{
	const GArray *ordered = builder->ordered_leaving->items;
	const GArray *endpoints = builder->endpoints_shared->items;
	shared_t *leaving = shared_new(sizeof(msg_name_t));

	for (guint i = 0; i < ordered->len; i++)
		append_name(leaving,
			    g_array_index(ordered, msg_name_t, i).text);
	for (guint i = 0; i < endpoints->len; i++) {
		const msg_endpoint_t *endpoint =
			&g_array_index(endpoints, msg_endpoint_t, i);

		if (endpoint->leaving)
			append_name(leaving, endpoint->name);
	}
	shared_drop(builder->leaving);
	builder->leaving = leaving;
	builder->directory_serial++;
}

static void apply_directory(view_builder_t *builder,
			    const msg_renew_reply_t *reply)
{
	shared_t *old = builder->endpoints_shared;
	shared_t *fresh;

	builder->epoch = reply->directory_epoch;
	builder->version = reply->directory_version;
	if (!reply->directory_full && reply->endpoint_count == 0 &&
	    reply->removed_count == 0)
		return;
	fresh = shared_new(sizeof(msg_endpoint_t));
	for (guint i = 0; !reply->directory_full && i < old->items->len; i++) {
		const msg_endpoint_t *endpoint =
			&g_array_index(old->items, msg_endpoint_t, i);

		if (!is_removed(reply, endpoint->name))
			append_endpoint(fresh, endpoint);
	}
	for (size_t i = 0; i < reply->endpoint_count; i++)
		append_endpoint(fresh, &reply->endpoints[i]);
	builder->endpoints_shared = fresh;
	shared_drop(old);
	collect_leaving(builder);
}

static bool apply_presets(view_builder_t *builder,
			  const msg_renew_reply_t *reply, err_t *err)
{
	for (size_t i = 0; i < reply->preset_count; i++) {
		const msg_preset_t *text = &reply->presets[i];
		preset_t *preset =
			preset_parse(text->text, strlen(text->text), err);
		shared_t *shared;

		if (preset == NULL)
			return false;
		if (g_hash_table_size(builder->presets) >= VIEW_PRESETS_MAX)
			g_hash_table_remove_all(builder->presets);
		shared = shared_new(1);
		shared->preset = preset;
		g_hash_table_insert(builder->presets, g_strdup(text->name),
				    shared);
	}
	return true;
}

static bool apply_config(view_builder_t *builder, const msg_config_t *config,
			 err_t *err)
{
	shared_t *leaving;

	if (config->revision <= builder->revision)
		return true;
	if (!g_hash_table_contains(builder->presets, config->preset)) {
		err_set(err, ERR_NOT_FOUND, "apply_config", config->preset,
			"the preset in force was not sent");
		return false;
	}
	leaving = shared_new(sizeof(msg_name_t));
	for (size_t i = 0; i < config->leaving_count; i++)
		append_name(leaving, config->leaving[i].text);
	shared_drop(builder->ordered_leaving);
	builder->ordered_leaving = leaving;
	collect_leaving(builder);
	g_free(builder->preset_name);
	builder->preset_name = g_strdup(config->preset);
	builder->revision = config->revision;
	return true;
}

static void apply_shares(view_builder_t *builder,
			 const msg_renew_reply_t *reply)
{
	shared_t *shares = shared_new(sizeof(msg_share_t));

	for (size_t i = 0; i < reply->share_count; i++) {
		msg_share_t share = reply->shares[i];

		share.customer = intern(shares, share.customer);
		g_array_append_val(shares->items, share);
	}
	shared_drop(builder->shares);
	builder->shares = shares;
}

/*
 * Takes in a granted renewal.  Revisions only grow: an older configuration is
 * ignored.  On error the renewal must not be counted as one.
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

	shared_drop(owned->endpoints);
	shared_drop(owned->leaving);
	shared_drop(owned->shares);
	shared_drop(owned->preset);
	g_free(owned);
}

/* Makes a view of what is known; it is for view_publish(). */
view_t *view_builder_make(view_builder_t *builder, clock_ms_t lease_until_ms)
{
	owned_view_t *owned = g_new0(owned_view_t, 1);
	view_t *view = &owned->view;
	shared_t *preset = NULL;

	if (builder->preset_name != NULL)
		preset = g_hash_table_lookup(builder->presets,
					     builder->preset_name);
	owned->endpoints = shared_take(builder->endpoints_shared);
	owned->leaving = shared_take(builder->leaving);
	owned->shares = shared_take(builder->shares);
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
		owned->preset = shared_take(preset);
		view->preset = preset->preset;
	}
	return view;
}

/* Returns the newest revision that was taken in. */
uint64_t view_builder_revision(const view_builder_t *builder)
{
	return builder->revision;
}

/* Fills "names" with the presets that are held; returns how many. */
size_t view_builder_presets(const view_builder_t *builder, msg_name_t *names,
			    size_t max)
{
	GHashTableIter iter;
	gpointer key;
	size_t count = 0;

	g_hash_table_iter_init(&iter, builder->presets);
	while (count < max && g_hash_table_iter_next(&iter, &key, NULL))
		names[count++].text = key;
	return count;
}

/* Returns up to where the directory is known. */
void view_builder_directory(const view_builder_t *builder, uint64_t *epoch,
			    uint64_t *version)
{
	*epoch = builder->epoch;
	*version = builder->version;
}
