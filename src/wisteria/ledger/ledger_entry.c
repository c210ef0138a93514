/* One entry of the ledger: the state of one idempotency key. */
#include "wisteria/ledger/ledger_entry.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* Returns an entry for a key; the strings are copied. */
ledger_entry_t *ledger_entry_new(const char *customer, const char *service,
				 const char *key)
{
	ledger_entry_t *entry = g_new0(ledger_entry_t, 1);

	entry->customer = g_strdup(customer);
	entry->service = g_strdup(service);
	entry->key = g_strdup(key);
	return entry;
}

/* Frees an entry; NULL is ignored. */
void ledger_entry_free(ledger_entry_t *entry)
{
	if (entry == NULL)
		return;
	g_free(entry->customer);
	g_free(entry->service);
	g_free(entry->key);
	g_free(entry->result);
	g_free(entry);
}

/* Returns a hash of customer, service and key. */
unsigned ledger_entry_hash(const void *entry)
{
	const ledger_entry_t *hashed = entry;
	XXH64_hash_t hash =
		XXH3_64bits(hashed->customer, strlen(hashed->customer) + 1);

	hash = XXH3_64bits_withSeed(hashed->service,
				    strlen(hashed->service) + 1, hash);
	hash = XXH3_64bits_withSeed(hashed->key, strlen(hashed->key), hash);
	return (unsigned)hash;
}

/* Returns whether two entries have the same customer, service and key. */
int ledger_entry_equal(const void *a, const void *b)
{
	const ledger_entry_t *left = a;
	const ledger_entry_t *right = b;

	return strcmp(left->customer, right->customer) == 0 &&
	       strcmp(left->service, right->service) == 0 &&
	       strcmp(left->key, right->key) == 0;
}

/*
 * Returns the size in bytes that an entry counts towards bytes_max, including
 * its result.
 */
size_t ledger_entry_bytes(const ledger_entry_t *entry)
{
	return sizeof(*entry) + strlen(entry->customer) +
	       strlen(entry->service) + strlen(entry->key) + entry->result_len;
}

/* Replaces the result by a copy of "result". */
void ledger_entry_set_result(ledger_entry_t *entry, bytes_t result)
{
	g_free(entry->result);
	entry->result = g_memdup2(result.data, result.len);
	entry->result_len = result.len;
}

/*
 * Returns whether "owner" is among the remembered owners that released the key.
 */
bool ledger_entry_was_released_by(const ledger_entry_t *entry, uint64_t owner)
{
	for (uint32_t i = 0; i < entry->released_owner_count; i++)
		if (entry->released_owners[i] == owner)
			return true;
	return false;
}

/*
 * Remembers that "owner" released the key.  If the list is full, the oldest
 * owner is dropped.
 */
void ledger_entry_record_release(ledger_entry_t *entry, uint64_t owner)
{
	if (ledger_entry_was_released_by(entry, owner))
		return;
	if (entry->released_owner_count == LEDGER_RELEASED_OWNERS_MAX) {
		memmove(&entry->released_owners[0], &entry->released_owners[1],
			sizeof(entry->released_owners) -
				sizeof(entry->released_owners[0]));
		entry->released_owner_count--;
	}
	entry->released_owners[entry->released_owner_count++] = owner;
}
