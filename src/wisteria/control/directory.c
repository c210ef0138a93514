/*
 * The directory of endpoints.  Each change of an endpoint gets the next
 * version; removed endpoints are kept as tombstones so that a delta can list
 * them.
 */
#include "wisteria/control/directory.h"

#include <string.h>

#include <glib.h>

/*
 * With more tombstones than this, all are dropped; a daemon with an older
 * version is then sent the full directory.
 */
#define DIRECTORY_TOMBSTONES_MAX 4096

typedef struct {
	msg_endpoint_t endpoint; /* strings are owned */
	msg_name_t name;	 /* of the endpoint, for removed lists */
	uint64_t version;
	bool removed;
	bool has_running_count;
	uint32_t running; /* sessions and calls in progress */
} directory_entry_t;

/* An agent that announces endpoints. */
typedef struct {
	char *instance;
	uint64_t incarnation;
	clock_ms_t last_message_ms; /* announcement or heartbeat */
} directory_agent_t;

struct directory_t {
	uint64_t epoch;
	clock_ms_t complete_at_ms; /* agents have until then to announce */
	uint64_t version;
	uint64_t dropped_version; /* at which tombstones were last dropped */
	size_t tombstone_count;
	GHashTable *entries; /* name -> directory_entry_t */
	GHashTable *agents;  /* instance -> directory_agent_t */
	GArray *delta_endpoints;
	GArray *delta_removed;
};

static void free_endpoint_strings(msg_endpoint_t *endpoint)
{
	g_free((char *)endpoint->name);
	g_free((char *)endpoint->instance);
	g_free((char *)endpoint->address);
	g_free((char *)endpoint->target);
	g_free((char *)endpoint->accelerator);
	g_free((char *)endpoint->failure_domain);
	g_free((char *)endpoint->region);
}

/* Copies an endpoint; the copy owns its strings. */
static void copy_endpoint(msg_endpoint_t *copy, const msg_endpoint_t *endpoint)
{
	*copy = *endpoint;
	copy->name = g_strdup(endpoint->name);
	copy->instance = g_strdup(endpoint->instance);
	copy->address = g_strdup(endpoint->address);
	copy->target = g_strdup(endpoint->target);
	copy->accelerator = g_strdup(endpoint->accelerator);
	copy->failure_domain = g_strdup(endpoint->failure_domain);
	copy->region = g_strdup(endpoint->region);
}

static void free_entry(gpointer data)
{
	directory_entry_t *entry = data;

	free_endpoint_strings(&entry->endpoint);
	g_free(entry);
}

static void free_agent(gpointer data)
{
	directory_agent_t *agent = data;

	g_free(agent->instance);
	g_free(agent);
}

/* Compares everything but the names. */
static bool endpoints_equal(const msg_endpoint_t *a, const msg_endpoint_t *b)
{
	return a->incarnation == b->incarnation && a->kind == b->kind &&
	       a->first_layer == b->first_layer &&
	       a->end_layer == b->end_layer && a->slots == b->slots &&
	       a->checks_fencing == b->checks_fencing &&
	       a->leaving == b->leaving &&
	       strcmp(a->instance, b->instance) == 0 &&
	       strcmp(a->address, b->address) == 0 &&
	       strcmp(a->target, b->target) == 0 &&
	       strcmp(a->accelerator, b->accelerator) == 0 &&
	       strcmp(a->failure_domain, b->failure_domain) == 0 &&
	       strcmp(a->region, b->region) == 0;
}

/*
 * Creates an empty directory.  "epoch" distinguishes it from all others; it is
 * the incarnation of the control instance.  Before "complete_at_ms" it may lack
 * endpoints that are alive.
 */
directory_t *directory_new(uint64_t epoch, clock_ms_t complete_at_ms)
{
	directory_t *directory = g_new0(directory_t, 1);

	directory->epoch = epoch;
	directory->complete_at_ms = complete_at_ms;
	directory->entries = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_entry);
	directory->agents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_agent);
	directory->delta_endpoints =
		g_array_new(FALSE, FALSE, sizeof(msg_endpoint_t));
	directory->delta_removed =
		g_array_new(FALSE, FALSE, sizeof(msg_name_t));
	return directory;
}

/* Frees a directory. */
void directory_free(directory_t *directory)
{
	if (directory == NULL)
		return;
	g_hash_table_destroy(directory->entries);
	g_hash_table_destroy(directory->agents);
	g_array_free(directory->delta_endpoints, TRUE);
	g_array_free(directory->delta_removed, TRUE);
	g_free(directory);
}

static void remove_entry(directory_t *directory, directory_entry_t *entry)
{
	entry->removed = true;
	entry->version = ++directory->version;
	directory->tombstone_count++;
}

/*
 * Adds an endpoint or replaces that of the same name.  An unchanged one keeps
 * its version and its running count; otherwise there is no count until the
 * agent reports one for the new endpoint.
 */
static void put_endpoint(directory_t *directory, const msg_endpoint_t *endpoint)
{
	directory_entry_t *entry =
		g_hash_table_lookup(directory->entries, endpoint->name);
	msg_endpoint_t copy;

	if (entry != NULL && !entry->removed &&
	    endpoints_equal(&entry->endpoint, endpoint))
		return;
	copy_endpoint(&copy, endpoint);
	if (entry != NULL) {
		g_hash_table_steal(directory->entries, endpoint->name);
		free_endpoint_strings(&entry->endpoint);
		directory->tombstone_count -= entry->removed;
	} else {
		entry = g_new0(directory_entry_t, 1);
	}
	entry->endpoint = copy;
	entry->name.text = copy.name;
	entry->removed = false;
	entry->has_running_count = false;
	entry->version = ++directory->version;
	g_hash_table_insert(directory->entries, (char *)copy.name, entry);
}

static bool list_has_endpoint(const msg_announce_t *announce, const char *name)
{
	for (size_t i = 0; i < announce->endpoint_count; i++)
		if (strcmp(announce->endpoints[i].name, name) == 0)
			return true;
	return false;
}

/* Removes the endpoints of an agent that its new list does not have. */
static void remove_unlisted(directory_t *directory,
			    const msg_announce_t *announce)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		directory_entry_t *entry = value;

		if (!entry->removed &&
		    strcmp(entry->endpoint.instance, announce->instance) == 0 &&
		    !list_has_endpoint(announce, entry->endpoint.name))
			remove_entry(directory, entry);
	}
}

/*
 * Replaces the endpoints of an agent by the full list that it announces.
 * Ignores an earlier incarnation of the agent than the last one known.
 */
void directory_announce(directory_t *directory, const msg_announce_t *announce,
			clock_ms_t now)
{
	directory_agent_t *agent =
		g_hash_table_lookup(directory->agents, announce->instance);

	if (agent != NULL && agent->incarnation > announce->incarnation)
		return;
	if (agent == NULL) {
		agent = g_new0(directory_agent_t, 1);
		agent->instance = g_strdup(announce->instance);
		g_hash_table_insert(directory->agents, agent->instance, agent);
	}
	agent->incarnation = announce->incarnation;
	agent->last_message_ms = now;
	remove_unlisted(directory, announce);
	for (size_t i = 0; i < announce->endpoint_count; i++)
		put_endpoint(directory, &announce->endpoints[i]);
}

/*
 * Records that an agent is alive and its endpoints are unchanged.  Returns
 * false if the directory does not have the list of this incarnation.
 */
bool directory_record_heartbeat(directory_t *directory, const char *instance,
				uint64_t incarnation, clock_ms_t now)
{
	directory_agent_t *agent =
		g_hash_table_lookup(directory->agents, instance);

	if (agent == NULL || agent->incarnation != incarnation)
		return false;
	agent->last_message_ms = now;
	return true;
}

static void drop_tombstones(directory_t *directory)
{
	GHashTableIter iter;
	gpointer value;

	if (directory->tombstone_count <= DIRECTORY_TOMBSTONES_MAX)
		return;
	g_hash_table_iter_init(&iter, directory->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const directory_entry_t *entry = value;

		if (entry->removed)
			g_hash_table_iter_remove(&iter);
	}
	directory->tombstone_count = 0;
	directory->dropped_version = directory->version;
}

static void remove_endpoints_of(directory_t *directory, const char *instance)
{
	const msg_announce_t empty_list = { .instance = instance };

	remove_unlisted(directory, &empty_list);
}

/*
 * Removes the agents that have sent neither an announcement nor a heartbeat for
 * "timeout_ms", and their endpoints.  Also drops the tombstones if there are
 * too many.
 */
void directory_expire(directory_t *directory, clock_ms_t now,
		      clock_ms_t timeout_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const directory_agent_t *agent = value;

		if (now - agent->last_message_ms < timeout_ms)
			continue;
		remove_endpoints_of(directory, agent->instance);
		g_hash_table_iter_remove(&iter);
	}
	drop_tombstones(directory);
}

/*
 * Computes what a daemon with "version" of "epoch" lacks: the changes since
 * then, or the full directory if it has another epoch or its version is too
 * old.  "epoch" is 0 if the daemon has no directory yet.  A directory that may
 * still be incomplete does not replace one of another epoch: the daemon keeps
 * what it has and gets an empty delta.
 */
void directory_delta(directory_t *directory, uint64_t epoch, uint64_t version,
		     clock_ms_t now, directory_delta_t *delta)
{
	GHashTableIter iter;
	gpointer value;

	memset(delta, 0, sizeof(*delta));
	delta->epoch = directory->epoch;
	delta->version = directory->version;
	if (now < directory->complete_at_ms && epoch != 0 &&
	    epoch != directory->epoch) {
		delta->epoch = epoch;
		delta->version = version;
		return;
	}
	delta->full = epoch != directory->epoch ||
		      version < directory->dropped_version ||
		      version > directory->version;
	if (!delta->full && version == directory->version)
		return;
	g_array_set_size(directory->delta_endpoints, 0);
	g_array_set_size(directory->delta_removed, 0);
	g_hash_table_iter_init(&iter, directory->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const directory_entry_t *entry = value;

		if (!delta->full && entry->version <= version)
			continue;
		if (!entry->removed)
			g_array_append_val(directory->delta_endpoints,
					   entry->endpoint);
		else if (!delta->full)
			g_array_append_val(directory->delta_removed,
					   entry->name);
	}
	delta->endpoints = (msg_endpoint_t *)directory->delta_endpoints->data;
	delta->endpoint_count = directory->delta_endpoints->len;
	delta->removed = (msg_name_t *)directory->delta_removed->data;
	delta->removed_count = directory->delta_removed->len;
}

/*
 * Stores the number of sessions and calls in progress that an agent reports for
 * each endpoint.  Compares the incarnation because it is also called for
 * messages of an earlier incarnation, whose lists directory_announce() ignores.
 */
void directory_update_running(directory_t *directory,
			      const msg_announce_t *announce)
{
	for (size_t i = 0; i < announce->running_count; i++) {
		const msg_running_t *running = &announce->running[i];
		directory_entry_t *entry = g_hash_table_lookup(
			directory->entries, running->endpoint);

		if (entry == NULL || entry->removed ||
		    entry->endpoint.incarnation != announce->incarnation)
			continue;
		entry->running = running->running;
		entry->has_running_count = true;
	}
}

/*
 * Sets "running" to the number of sessions and calls in progress at "endpoint"
 * in its agent's last report; returns false if there is none.
 */
bool directory_running_count(const directory_t *directory, const char *endpoint,
			     uint32_t *running)
{
	const directory_entry_t *entry =
		g_hash_table_lookup(directory->entries, endpoint);

	if (entry == NULL || entry->removed || !entry->has_running_count)
		return false;
	*running = entry->running;
	return true;
}

/* Calls "visit" for each current endpoint of the agent on "instance". */
void directory_visit(const directory_t *directory, const char *instance,
		     directory_visit_t visit, void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const directory_entry_t *entry = value;

		if (!entry->removed &&
		    strcmp(entry->endpoint.instance, instance) == 0)
			visit(user, &entry->endpoint);
	}
}

/* Returns the number of endpoints, without the removed ones. */
size_t directory_count(const directory_t *directory)
{
	return g_hash_table_size(directory->entries) -
	       directory->tombstone_count;
}
