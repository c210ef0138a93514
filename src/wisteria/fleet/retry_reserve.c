/*
 * The part of the fleet's retry slack that the control instances hand out on
 * demand.  Made for the entry that needs more retries at once than its own
 * share: one that has just started and has next to none, or one whose streams
 * were on the endpoint that was lost.
 *
 * Each member of the control group owns an equal share of the reserve, whoever
 * leads, and keeps on disk what it has granted: a grant is stored before it is
 * given.  So neither an election nor a restart leaves the fleet without retries.
 * An instance that has lost its disk does not know what it has granted, and
 * settles as a new owner does, see equal_share.c.
 *
 * A grant counts until a window after the entry can have used it last; after a
 * restart, until a window after the restart.
 * No clock, no I/O.
 */
#include "wisteria/fleet/retry_reserve.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/limits/retry_window.h"

/* Longest name of a service in the stored state, in bytes. */
#define SERVICE_BYTES_MAX 1024

/* Initializes the reserve of an instance of whose grants nothing is known. */
void retry_reserve_init(retry_reserve_t *reserve, clock_ms_t window_ms)
{
	*reserve = (retry_reserve_t){ .window_ms = window_ms };
	equal_share_init(&reserve->share, window_ms, RETRY_RESERVE_SETTLE_MS);
	reserve->windows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the reserve's contents. */
void retry_reserve_finish(retry_reserve_t *reserve)
{
	g_hash_table_destroy(reserve->windows);
}

/* Declares that all grants of processes before this one are counted, or none. */
void retry_reserve_continue(retry_reserve_t *reserve)
{
	equal_share_set_continued(&reserve->share);
	reserve->is_complete = true;
}

/*
 * Records the number of members, this instance among them, that its group has at
 * the time "now".
 */
void retry_reserve_set_members(retry_reserve_t *reserve, uint32_t members,
			       clock_ms_t now)
{
	equal_share_told(&reserve->share, members, now);
	reserve->is_complete |= equal_share_is_settled(&reserve->share, now);
}

static retry_window_t *find_window(retry_reserve_t *reserve,
				   const char *service)
{
	retry_window_t *window = g_hash_table_lookup(reserve->windows, service);

	if (window == NULL) {
		window = g_new(retry_window_t, 1);
		retry_window_init(window,
				  reserve->window_ms + RETRY_GRANT_VALID_MS);
		g_hash_table_insert(reserve->windows, g_strdup(service),
				    window);
	}
	return window;
}

/*
 * Grants up to "wanted" retries of requests for "service" and returns how many;
 * "slack": what all entries together may retry beside a ratio.
 */
uint32_t retry_reserve_grant(retry_reserve_t *reserve, const char *service,
			     uint32_t wanted, double slack, clock_ms_t now)
{
	retry_window_t *window = find_window(reserve, service);
	double share = equal_share_part(&reserve->share, now) /
		       (EQUAL_SHARE_SETTLED_PART + EQUAL_SHARE_UNSETTLED_PART);
	uint32_t granted = 0;

	retry_window_set_limits(window, 0, slack * RETRY_RESERVE_PART * share);
	while (granted < wanted && retry_window_take(window, now)) {
		retry_window_settle(window, now);
		granted++;
	}
	return granted;
}

/* Returns how many grants count at the time "now", of all services. */
uint32_t retry_reserve_granted(retry_reserve_t *reserve, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer window;
	uint32_t sum = 0;

	g_hash_table_iter_init(&iter, reserve->windows);
	while (g_hash_table_iter_next(&iter, NULL, &window))
		sum += retry_window_retries(window, now);
	return sum;
}

/* Writes the grants that count, and whether they are complete. */
void retry_reserve_encode(retry_reserve_t *reserve, clock_ms_t now,
			  msgpack_sbuffer *out)
{
	msgpack_packer packer;
	GHashTableIter iter;
	gpointer service;
	gpointer window;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	if (reserve->is_complete)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	msgpack_pack_map(&packer, g_hash_table_size(reserve->windows));
	g_hash_table_iter_init(&iter, reserve->windows);
	while (g_hash_table_iter_next(&iter, &service, &window)) {
		msgpack_pack_str(&packer, strlen(service));
		msgpack_pack_str_body(&packer, service, strlen(service));
		msgpack_pack_uint32(&packer, retry_window_retries(window, now));
	}
}

static bool is_grant(const msgpack_object_kv *grant)
{
	return grant->key.type == MSGPACK_OBJECT_STR &&
	       grant->key.via.str.size <= SERVICE_BYTES_MAX &&
	       grant->val.type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       grant->val.via.u64 <= UINT32_MAX;
}

static bool is_state(const msgpack_object *state)
{
	const msgpack_object *fields = state->via.array.ptr;

	if (state->type != MSGPACK_OBJECT_ARRAY || state->via.array.size != 2 ||
	    fields[0].type != MSGPACK_OBJECT_BOOLEAN ||
	    fields[1].type != MSGPACK_OBJECT_MAP)
		return false;
	for (uint32_t i = 0; i < fields[1].via.map.size; i++)
		if (!is_grant(&fields[1].via.map.ptr[i]))
			return false;
	return true;
}

static void restore_state(retry_reserve_t *reserve, const msgpack_object *state,
			  clock_ms_t now)
{
	const msgpack_object *fields = state->via.array.ptr;

	if (fields[0].via.boolean)
		retry_reserve_continue(reserve);
	for (uint32_t i = 0; i < fields[1].via.map.size; i++) {
		const msgpack_object_kv *grant = &fields[1].via.map.ptr[i];
		char *service = g_strndup(grant->key.via.str.ptr,
					  grant->key.via.str.size);

		retry_window_add(find_window(reserve, service),
				 (uint32_t)grant->val.via.u64, now);
		g_free(service);
	}
}

/*
 * Restores what retry_reserve_encode() wrote in a process before; its grants
 * count as if they were given now.  Returns false with "err" set, and the
 * reserve unchanged, if the bytes are malformed.
 */
bool retry_reserve_restore(retry_reserve_t *reserve, const void *data,
			   size_t len, clock_ms_t now, err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, data, len, NULL) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     is_state(&unpacked.data);
	if (ok)
		restore_state(reserve, &unpacked.data, now);
	else
		err_set(err, ERR_CORRUPT, "restore_retries", "",
			"the stored grants are malformed");
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}
