/*
 * Link times between instances: smoothed measurements, and defaults by
 * failure domain and region until something has been measured.
 */
#include "wisteria/route/links.h"

#include <math.h>

/* Default one-way times, by the failure domains and regions of two ends. */
#define SAME_DOMAIN_MS 0.2
#define SAME_REGION_MS 0.5
#define OTHER_REGION_MS 20.0
/*
 * Weight of a new measurement in the time of an exception; in the time of two
 * failure domains, a quarter of this.
 */
#define SMOOTHING_FACTOR 0.2
/*
 * A pair of instances is an exception if its time differs from that of its
 * failure domains by both this factor and this many milliseconds.
 */
#define EXCEPTION_FACTOR 2.0
#define EXCEPTION_MS 0.5

static double default_time(const links_t *links, uint32_t from, uint32_t to)
{
	GQuark from_region = g_array_index(links->regions, GQuark, from);
	GQuark to_region = g_array_index(links->regions, GQuark, to);

	if (from == to)
		return SAME_DOMAIN_MS;
	return from_region == to_region ? SAME_REGION_MS : OTHER_REGION_MS;
}

static double *domain_time(const links_t *links, uint32_t from, uint32_t to)
{
	return &links->times[(size_t)from * links->domain_capacity + to];
}

static void grow_times(links_t *links)
{
	const uint32_t old_capacity = links->domain_capacity;
	const uint32_t capacity = old_capacity == 0 ? 16 : 2 * old_capacity;
	double *times = g_new0(double, (size_t)capacity *capacity);

	for (uint32_t from = 0; from < links->domain_count; from++)
		for (uint32_t to = 0; to < links->domain_count; to++)
			times[(size_t)from * capacity + to] =
				*domain_time(links, from, to);
	g_free(links->times);
	links->times = times;
	links->domain_capacity = capacity;
}

/* Initializes "links" without any domains, instances or measurements. */
void links_init(links_t *links)
{
	*links = (links_t){ 0 };
	links->domain_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	links->instance_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	links->regions = g_array_new(FALSE, FALSE, sizeof(GQuark));
	links->instances = g_array_new(FALSE, TRUE, sizeof(link_instance_t));
	links->exceptions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
}

/* Frees the memory of "links". */
void links_finish(links_t *links)
{
	g_hash_table_destroy(links->domain_ids);
	g_hash_table_destroy(links->instance_ids);
	g_hash_table_destroy(links->exceptions);
	g_array_free(links->regions, TRUE);
	g_array_free(links->instances, TRUE);
	g_free(links->times);
	*links = (links_t){ 0 };
}

/*
 * Returns the id of a failure domain, which is added if it is new.  The region
 * of a known one doesn't change.
 */
uint32_t links_domain_id(links_t *links, const char *domain, const char *region)
{
	gpointer known = g_hash_table_lookup(links->domain_ids, domain);
	const GQuark quark = g_quark_from_string(region);
	uint32_t id;

	if (known != NULL)
		return GPOINTER_TO_UINT(known) - 1;
	if (links->domain_count == links->domain_capacity)
		grow_times(links);
	id = links->domain_count++;
	g_array_append_val(links->regions, quark);
	for (uint32_t other = 0; other <= id; other++) {
		*domain_time(links, id, other) = default_time(links, id, other);
		*domain_time(links, other, id) = default_time(links, other, id);
	}
	g_hash_table_insert(links->domain_ids, g_strdup(domain),
			    GUINT_TO_POINTER(id + 1));
	return id;
}

/*
 * Returns the id of an instance, which is added if it is new, and sets its
 * failure domain.
 */
uint32_t links_instance_id(links_t *links, const char *instance,
			   uint32_t domain)
{
	gpointer known = g_hash_table_lookup(links->instance_ids, instance);
	const link_instance_t added = { .domain = domain };
	uint32_t id;

	if (known != NULL) {
		id = GPOINTER_TO_UINT(known) - 1;
		g_array_index(links->instances, link_instance_t, id).domain =
			domain;
		return id;
	}
	id = links->instances->len;
	g_array_append_val(links->instances, added);
	g_hash_table_insert(links->instance_ids, g_strdup(instance),
			    GUINT_TO_POINTER(id + 1));
	return id;
}

static bool is_exception(double pair_ms, double domain_ms)
{
	if (fabs(pair_ms - domain_ms) < EXCEPTION_MS)
		return false;
	return pair_ms > EXCEPTION_FACTOR * domain_ms ||
	       domain_ms > EXCEPTION_FACTOR * pair_ms;
}

/* Adds or updates an exception; removes one that no longer differs enough. */
static void update_exception(links_t *links, uint32_t from, uint32_t to,
			     double ms, double domain_ms)
{
	const gint64 key = (gint64)from << 32 | to;
	link_instance_t *instance =
		&g_array_index(links->instances, link_instance_t, from);
	double *known = g_hash_table_lookup(links->exceptions, &key);

	if (known != NULL) {
		*known += SMOOTHING_FACTOR * (ms - *known);
		if (is_exception(*known, domain_ms))
			return;
		g_hash_table_remove(links->exceptions, &key);
		instance->exception_count--;
		return;
	}
	g_hash_table_insert(links->exceptions, g_memdup2(&key, sizeof(key)),
			    g_memdup2(&ms, sizeof(ms)));
	instance->exception_count++;
}

/*
 * Records one measured time, in milliseconds, from instance to instance.
 * Unknown instances, and times below zero, are ignored.  Every measurement
 * updates the time of the two failure domains.  One that differs much from
 * it, or whose instances already have an exception, also updates that.
 */
void links_record_time(links_t *links, const char *from, const char *to,
		       double ms)
{
	gpointer from_id = g_hash_table_lookup(links->instance_ids, from);
	gpointer to_id = g_hash_table_lookup(links->instance_ids, to);
	const link_instance_t *instances = (void *)links->instances->data;
	uint32_t from_instance;
	uint32_t to_instance;
	gint64 key;
	double *domain_ms;

	if (from_id == NULL || to_id == NULL || !(ms >= 0))
		return;
	from_instance = GPOINTER_TO_UINT(from_id) - 1;
	to_instance = GPOINTER_TO_UINT(to_id) - 1;
	key = (gint64)from_instance << 32 | to_instance;
	domain_ms = domain_time(links, instances[from_instance].domain,
				instances[to_instance].domain);
	if (is_exception(ms, *domain_ms) ||
	    g_hash_table_contains(links->exceptions, &key))
		update_exception(links, from_instance, to_instance, ms,
				 *domain_ms);
	*domain_ms += SMOOTHING_FACTOR / 4 * (ms - *domain_ms);
}

/* Returns the expected one-way time between two ends, in milliseconds. */
double links_time(const links_t *links, const link_end_t *from,
		  const link_end_t *to)
{
	if (links_has_exceptions(links, from) &&
	    to->instance != LINK_NO_INSTANCE) {
		const gint64 key = (gint64)from->instance << 32 | to->instance;
		const double *known =
			g_hash_table_lookup(links->exceptions, &key);

		if (known != NULL)
			return *known;
	}
	return links_domain_time(links, from->domain, to->domain);
}
