/*
 * Keeps what callers ask of each service, by entry and rank, as the entries
 * report it.  Answers demand that is uneven between entries and domains and
 * moves within seconds.  The memory is bounded by the number of entries.  No
 * clock, no I/O.
 */
#include "wisteria/fleet/demand_sum.h"

#include <math.h>
#include <string.h>

/* Weight of the last interval; a change shows by half within two reports. */
#define LAST_INTERVAL_WEIGHT 0.35
/* Two reports further apart say nothing of the rate between them. */
#define INTERVAL_MAX_MS 2000

/* Initializes a sum without entries. */
void demand_sum_init(demand_sum_t *sum)
{
	sum->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the sum's contents. */
void demand_sum_finish(demand_sum_t *sum)
{
	g_hash_table_destroy(sum->entries);
}

static service_demand_t *find_or_add_service(entry_demand_t *entry,
					     const char *name)
{
	service_demand_t *added;

	for (uint32_t i = 0; i < entry->service_count; i++)
		if (strcmp(entry->services[i].service, name) == 0)
			return &entry->services[i];
	if (entry->service_count == DEMAND_SUM_SERVICES_MAX)
		return NULL;
	added = &entry->services[entry->service_count++];
	memset(added, 0, sizeof(*added));
	g_strlcpy(added->service, name, sizeof(added->service));
	return added;
}

static void smooth(entry_demand_t *entry, double weight)
{
	for (uint32_t i = 0; i < entry->service_count; i++)
		for (int rank = 0; rank < REQUEST_RANKS; rank++) {
			entry->services[i].tokens_per_ms[rank] *= 1 - weight;
			entry->services[i].waiting_tokens[rank] = 0;
		}
}

/* Stores the report of an entry in "failure_domain". */
void demand_sum_set_report(demand_sum_t *sum, const msg_fleet_load_t *load,
			   const char *failure_domain, clock_ms_t now)
{
	entry_demand_t *entry = g_hash_table_lookup(sum->entries, load->entry);
	double weight = LAST_INTERVAL_WEIGHT;
	double interval_ms;

	if (entry == NULL) {
		entry = g_new0(entry_demand_t, 1);
		g_hash_table_insert(sum->entries, g_strdup(load->entry), entry);
	}
	interval_ms = (double)(load->sent_ms - entry->sent_ms);
	if (interval_ms <= 0 || interval_ms > INTERVAL_MAX_MS) {
		/* The first report, or the first of a new process. */
		interval_ms = INTERVAL_MAX_MS;
		weight = 1;
	}
	g_strlcpy(entry->failure_domain, failure_domain,
		  sizeof(entry->failure_domain));
	entry->sent_ms = load->sent_ms;
	entry->received_ms = now;
	smooth(entry, weight);
	for (size_t i = 0; i < load->demand_count; i++) {
		const msg_fleet_demand_t *demand = &load->demands[i];
		service_demand_t *service =
			find_or_add_service(entry, demand->service);

		if (service == NULL || demand->rank >= REQUEST_RANKS ||
		    !isfinite(demand->arrived_tokens) ||
		    !isfinite(demand->waiting_tokens))
			continue;
		service->tokens_per_ms[demand->rank] +=
			weight * MAX(demand->arrived_tokens, 0) / interval_ms;
		service->waiting_tokens[demand->rank] +=
			MAX(demand->waiting_tokens, 0);
	}
}

static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(const clock_ms_t *)data -
		       ((const entry_demand_t *)value)->received_ms >=
	       DEMAND_SUM_REPORT_TTL_MS;
}

/* Forgets the entries that report no more. */
void demand_sum_expire(demand_sum_t *sum, clock_ms_t now)
{
	g_hash_table_foreach_remove(sum->entries, is_expired, &now);
}

/* Returns what callers of "entry" ask of a service, or NULL. */
const service_demand_t *demand_sum_find_service(const entry_demand_t *entry,
						const char *service)
{
	for (uint32_t i = 0; i < entry->service_count; i++)
		if (strcmp(entry->services[i].service, service) == 0)
			return &entry->services[i];
	return NULL;
}

/* Returns the prompt tokens per ms of all ranks. */
double demand_total_rate(const service_demand_t *demand)
{
	double total = 0;

	for (int rank = 0; rank < REQUEST_RANKS; rank++)
		total += demand->tokens_per_ms[rank];
	return total;
}
