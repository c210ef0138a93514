/*
 * The ledger of non-idempotent calls.  A key is reserved before its call is
 * dispatched, and stays reserved even if the owner crashes: only the owner
 * can release it, because only the owner knows that the call did not run.
 * So a key is dispatched at most once for as long as it is kept.
 *
 * This holds if the owner follows these rules:
 * - It repeats a reservation with the same owner number only until it has
 *   received a reply.
 * - It dispatches the call at most once, and only after LEDGER_GRANTED.
 * - It uses an owner number for one call only.
 * - If it ends without having dispatched the call, it releases the key,
 *   whether or not it received the grant.
 */
#include "wisteria/ledger/ledger.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/codec/codec.h"
#include "wisteria/ledger/ledger_entry.h"
#include "wisteria/ledger/ledger_internal.h"

static int compare_expiry(const void *a, const void *b, void *unused)
{
	const ledger_entry_t *left = a;
	const ledger_entry_t *right = b;

	(void)unused;
	if (left->expires_ms != right->expires_ms)
		return left->expires_ms < right->expires_ms ? -1 : 1;
	if (left->serial != right->serial)
		return left->serial < right->serial ? -1 : 1;
	return 0;
}

static void free_entry(void *entry)
{
	ledger_entry_free(entry);
}

/* Initializes the tables of an empty ledger. */
void ledger_init_tables(ledger_t *ledger)
{
	ledger->by_key = g_hash_table_new_full(
		ledger_entry_hash, ledger_entry_equal, free_entry, NULL);
	ledger->by_expiry = g_tree_new_full(compare_expiry, NULL, NULL, NULL);
	ledger->bytes = 0;
}

/* Frees the tables and all entries. */
void ledger_finish_tables(ledger_t *ledger)
{
	g_tree_destroy(ledger->by_expiry);
	g_hash_table_destroy(ledger->by_key);
}

/* Returns an empty ledger whose entries take at most "bytes_max" bytes. */
ledger_t *ledger_new(size_t bytes_max)
{
	ledger_t *ledger = g_new0(ledger_t, 1);

	ledger->bytes_max = bytes_max;
	ledger->now_ms = INT64_MIN;
	ledger_init_tables(ledger);
	return ledger;
}

/* Frees a ledger; NULL is ignored. */
void ledger_free(ledger_t *ledger)
{
	if (ledger == NULL)
		return;
	ledger_finish_tables(ledger);
	g_free(ledger);
}

/* Returns the number of entries and their size in bytes. */
ledger_usage_t ledger_usage(const ledger_t *ledger)
{
	return (ledger_usage_t){
		.entries = g_hash_table_size(ledger->by_key),
		.bytes = ledger->bytes,
	};
}

/* Adds an entry to the tables, which take ownership of it. */
void ledger_insert(ledger_t *ledger, ledger_entry_t *entry)
{
	ledger->bytes += ledger_entry_bytes(entry);
	g_hash_table_add(ledger->by_key, entry);
	g_tree_insert(ledger->by_expiry, entry, entry);
}

/* Removes entries that have not changed for their retention time. */
static void remove_expired_entries(ledger_t *ledger)
{
	for (;;) {
		GTreeNode *node = g_tree_node_first(ledger->by_expiry);
		ledger_entry_t *entry;

		if (node == NULL)
			return;
		entry = g_tree_node_value(node);
		if (entry->expires_ms > ledger->now_ms)
			return;
		ledger->bytes -= ledger_entry_bytes(entry);
		g_tree_remove(ledger->by_expiry, entry);
		g_hash_table_remove(ledger->by_key, entry);
	}
}

static int64_t add_time_saturating(int64_t time_ms, int64_t duration_ms)
{
	int64_t sum;

	if (__builtin_add_overflow(time_ms, duration_ms, &sum))
		return INT64_MAX;
	return sum;
}

/* Restarts the retention time of an entry at the current time. */
static void restart_retention(ledger_t *ledger, ledger_entry_t *entry)
{
	g_tree_remove(ledger->by_expiry, entry);
	entry->expires_ms =
		add_time_saturating(ledger->now_ms, entry->retention_ms);
	g_tree_insert(ledger->by_expiry, entry, entry);
}

static void set_reservation(ledger_t *ledger, ledger_entry_t *entry,
			    const msg_ledger_t *command)
{
	entry->state = ENTRY_PENDING;
	entry->owner = command->owner;
	entry->fingerprint = command->fingerprint;
	entry->reserved_ms = ledger->now_ms;
	entry->retention_ms =
		MAX(command->retention_ms, LEDGER_RETENTION_MIN_MS);
	entry->expires_ms =
		add_time_saturating(ledger->now_ms, entry->retention_ms);
}

static bool key_is_valid(const msg_ledger_t *command)
{
	return command->key[0] != '\0' &&
	       strlen(command->customer) + strlen(command->service) +
			       strlen(command->key) <=
		       LEDGER_KEY_BYTES_MAX;
}

/* Adds an entry for the command's key; returns NULL if the ledger is full. */
static ledger_entry_t *add_entry(ledger_t *ledger, const msg_ledger_t *command)
{
	ledger_entry_t *entry = ledger_entry_new(
		command->customer, command->service, command->key);

	if (ledger->bytes + ledger_entry_bytes(entry) > ledger->bytes_max) {
		ledger_entry_free(entry);
		return NULL;
	}
	entry->serial = ledger->next_serial++;
	set_reservation(ledger, entry, command);
	ledger_insert(ledger, entry);
	return entry;
}

static ledger_state_t reserve_new(ledger_t *ledger, const msg_ledger_t *command)
{
	if (!key_is_valid(command))
		return LEDGER_MISMATCH;
	return add_entry(ledger, command) != NULL ? LEDGER_GRANTED
						  : LEDGER_FULL;
}

static ledger_state_t reserve_pending(const ledger_t *ledger,
				      const ledger_entry_t *entry,
				      uint64_t owner)
{
	if (entry->owner == owner)
		return LEDGER_GRANTED;
	if (ledger->now_ms - entry->reserved_ms >= LEDGER_PENDING_TIMEOUT_MS)
		return LEDGER_UNKNOWN;
	return LEDGER_PENDING;
}

static ledger_state_t reserve_released(ledger_t *ledger, ledger_entry_t *entry,
				       const msg_ledger_t *command)
{
	if (ledger_entry_was_released_by(entry, command->owner))
		return LEDGER_PENDING;
	g_tree_remove(ledger->by_expiry, entry);
	set_reservation(ledger, entry, command);
	g_tree_insert(ledger->by_expiry, entry, entry);
	return LEDGER_GRANTED;
}

static ledger_state_t reserve_key(ledger_t *ledger, ledger_entry_t *entry,
				  const msg_ledger_t *command)
{
	if (entry == NULL)
		return reserve_new(ledger, command);
	if (entry->state == ENTRY_RELEASED)
		return reserve_released(ledger, entry, command);
	if (entry->fingerprint != command->fingerprint)
		return LEDGER_MISMATCH;
	if (entry->state == ENTRY_STORED)
		return LEDGER_STORED;
	if (entry->state == ENTRY_UNKNOWN)
		return LEDGER_UNKNOWN;
	return reserve_pending(ledger, entry, command->owner);
}

/*
 * Returns the reply to a command that does not change the key's state: its
 * sender does not own the key, or the call's outcome is recorded already.
 */
static ledger_state_t state_for_non_owner(const ledger_entry_t *entry)
{
	if (entry == NULL || entry->state == ENTRY_UNKNOWN)
		return LEDGER_UNKNOWN;
	if (entry->state == ENTRY_STORED)
		return LEDGER_STORED;
	return LEDGER_PENDING;
}

static bool is_owner(const ledger_entry_t *entry, const msg_ledger_t *command)
{
	return entry != NULL && entry->owner == command->owner &&
	       entry->state != ENTRY_RELEASED;
}

/*
 * Stores the result of a call.  The outcome becomes unknown if the result is
 * empty, too long or does not fit into the ledger.
 */
static ledger_state_t record_result(ledger_t *ledger, ledger_entry_t *entry,
				    const msg_ledger_t *command)
{
	const size_t len = command->result.len;

	if (!is_owner(entry, command))
		return state_for_non_owner(entry);
	if (entry->state == ENTRY_STORED)
		return LEDGER_OK;
	entry->state = ENTRY_UNKNOWN;
	if (len > 0 && len <= LEDGER_RESULT_BYTES_MAX &&
	    ledger->bytes + len <= ledger->bytes_max) {
		entry->state = ENTRY_STORED;
		ledger_entry_set_result(entry, command->result);
		ledger->bytes += len;
	}
	restart_retention(ledger, entry);
	return LEDGER_OK;
}

/*
 * Releases the key, unless a result was recorded, which shows that the call
 * may have run.  The owner need not have received the grant: even if the key
 * is not reserved for it, the owner is remembered, so that a delayed copy of
 * its reservation is not granted later.
 */
static ledger_state_t release_key(ledger_t *ledger, ledger_entry_t *entry,
				  const msg_ledger_t *command)
{
	if (entry == NULL && key_is_valid(command)) {
		entry = add_entry(ledger, command);
		if (entry == NULL)
			return LEDGER_FULL;
	}
	if (entry == NULL)
		return LEDGER_MISMATCH;
	if (entry->state == ENTRY_STORED || entry->state == ENTRY_UNKNOWN)
		return state_for_non_owner(entry);
	ledger_entry_record_release(entry, command->owner);
	if (!is_owner(entry, command))
		return entry->state == ENTRY_RELEASED ? LEDGER_OK
						      : LEDGER_PENDING;
	entry->state = ENTRY_RELEASED;
	restart_retention(ledger, entry);
	return LEDGER_OK;
}

/*
 * Applies one command at "now_ms" and writes the reply.  The reply's result
 * is owned by the ledger and is valid until the next command.
 */
void ledger_apply(ledger_t *ledger, const msg_ledger_t *command, int64_t now_ms,
		  msg_ledger_reply_t *reply)
{
	ledger_entry_t key = {
		.customer = (char *)command->customer,
		.service = (char *)command->service,
		.key = (char *)command->key,
	};
	ledger_entry_t *entry;

	ledger->now_ms = MAX(ledger->now_ms, now_ms);
	remove_expired_entries(ledger);
	*reply = (msg_ledger_reply_t){ .sequence = command->sequence };
	entry = g_hash_table_lookup(ledger->by_key, &key);
	switch (command->op) {
	case LEDGER_RESERVE:
		reply->state = reserve_key(ledger, entry, command);
		break;
	case LEDGER_RECORD:
		reply->state = record_result(ledger, entry, command);
		break;
	case LEDGER_RELEASE:
		reply->state = release_key(ledger, entry, command);
		break;
	default:
		reply->state = LEDGER_MISMATCH;
	}
	if (reply->state == LEDGER_STORED && command->op == LEDGER_RESERVE)
		reply->result = (bytes_t){ entry->result, entry->result_len };
}
