/* What the leader tells its subscribers of the load and speed of engines. */
#include "wisteria/fleet/fleet_load.h"

#include "wisteria/fleet/fleet_plan.h"
#include "wisteria/fleet/load_sum.h"
#include "wisteria/fleet/prober.h"
#include "wisteria/net/conn.h"

/* Sends the entries the total load of each endpoint over all entries. */
void fleet_load_send(fleet_control_t *control, clock_ms_t now)
{
	msg_fleet_load_t load = { .entry = "" };
	msg_fleet_use_t *uses;
	GHashTableIter iter;
	GHashTable *total;
	gpointer id;
	gpointer use;

	if (now - control->load_sent_ms < FLEET_LOAD_INTERVAL_MS)
		return;
	control->load_sent_ms = now;
	total = load_sum_total(&control->load, now);
	uses = g_new(msg_fleet_use_t, g_hash_table_size(total) + 1);
	load.uses = uses;
	g_hash_table_iter_init(&iter, total);
	while (g_hash_table_iter_next(&iter, &id, &use))
		uses[load.use_count++] = (msg_fleet_use_t){
			.id = id,
			.tokens = ((load_use_t *)use)->tokens,
		};
	for (guint i = 0; i < control->subscribers->len; i++) {
		conn_t *conn = g_ptr_array_index(control->subscribers, i);

		if (conn->user != NULL)
			conn_send(conn, MSG_FLEET_LOAD, &load);
	}
	g_free(uses);
	fleet_plan_send(control, now);
	g_hash_table_destroy(total);
}

/*
 * Sends all subscribers the list of slow engines.  An empty list is sent only
 * once, after a list that was not empty.  An engine that ends while it is slow
 * stays in the list until it returns or prober_reset() is called.
 */
void fleet_load_send_slow_engines(fleet_control_t *control, clock_ms_t now)
{
	msg_fleet_paces_t slow_engines = { 0 };
	msg_fleet_pace_t *list;

	if (now - control->slow_engines_sent_ms <
	    FLEET_SLOW_ENGINES_INTERVAL_MS)
		return;
	list = prober_list_slow(&control->prober,
				&slow_engines.slow_engine_count);
	slow_engines.slow_engines = list;
	for (guint i = 0; (slow_engines.slow_engine_count > 0 ||
			   control->slow_engines_sent > 0) &&
			  i < control->subscribers->len;
	     i++)
		conn_send(g_ptr_array_index(control->subscribers, i),
			  MSG_FLEET_PACES, &slow_engines);
	control->slow_engines_sent = slow_engines.slow_engine_count;
	control->slow_engines_sent_ms = now;
	g_free(list);
}
