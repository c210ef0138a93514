/* Copies, fingerprints and checks of orders and the records of the store. */
#include "wisteria/store/store_order.h"

#include <string.h>

#include <sodium.h>

#include "wisteria/settings/name.h"
#include "wisteria/settings/preset.h"

static const char *or_empty(const char *text)
{
	return text == NULL ? "" : text;
}

/* Copies "from" and its strings; the text is left empty unless "with_text". */
void store_order_copy(msg_order_t *to, const msg_order_t *from, bool with_text)
{
	*to = *from;
	to->id = g_strdup(or_empty(from->id));
	to->name = g_strdup(or_empty(from->name));
	to->text = g_strdup(with_text ? or_empty(from->text) : "");
	to->operator_name = g_strdup(or_empty(from->operator_name));
}

/* Frees the strings of a copy. */
void store_order_finish(msg_order_t *order)
{
	g_free((char *)order->id);
	g_free((char *)order->name);
	g_free((char *)order->text);
	g_free((char *)order->operator_name);
	memset(order, 0, sizeof(*order));
}

static void hash_u64(crypto_generichash_state *state, uint64_t value)
{
	unsigned char bytes[sizeof(value)];

	for (size_t i = 0; i < sizeof(value); i++)
		bytes[i] = (unsigned char)(value >> (8 * i));
	crypto_generichash_update(state, bytes, sizeof(bytes));
}

/*
 * Hashes the length first, so that different sequences of texts never feed the
 * same bytes to the hash.
 */
static void hash_text(crypto_generichash_state *state, const char *text)
{
	size_t len = strlen(or_empty(text));

	hash_u64(state, len);
	crypto_generichash_update(state, (const unsigned char *)or_empty(text),
				  len);
}

/*
 * Writes the BLAKE2b-256 hash of the content of an order.  Its id and its time
 * are left out: an order that is sent again later is the same order.
 */
void store_order_fingerprint(const msg_order_t *order,
			     uint8_t fingerprint[STORE_FINGERPRINT_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, STORE_FINGERPRINT_BYTES);
	hash_u64(&state, order->kind);
	hash_u64(&state, order->has_expected);
	hash_u64(&state, order->has_expected ? order->expected_revision : 0);
	hash_u64(&state, order->fence);
	hash_u64(&state, order->incarnation);
	hash_u64(&state, order->engine_state);
	hash_text(&state, order->name);
	hash_text(&state, order->text);
	hash_text(&state, order->operator_name);
	crypto_generichash_final(&state, fingerprint, STORE_FINGERPRINT_BYTES);
}

/*
 * Checks an order without regard to the state of the store; returns the reason
 * for refusing it, or NULL.
 */
const char *store_order_validate(const msg_order_t *order)
{
	size_t text_len_max = order->kind == ORDER_PRESET_CREATE
				      ? PRESET_TEXT_BYTES_MAX
				      : STORE_TEXT_LEN_MAX;

	if (order->kind >= ORDER_KIND_COUNT)
		return "unknown kind of order";
	if (!name_is_valid(or_empty(order->name), ""))
		return "the name is empty, too long or holds other bytes than "
		       "letters, digits, \".\", \"_\" and \"-\"";
	if (strlen(or_empty(order->text)) > text_len_max)
		return "the text is too long";
	if (strlen(or_empty(order->operator_name)) > STORE_OPERATOR_LEN_MAX)
		return "the operator's name is too long";
	return NULL;
}

/* Returns a record of an accepted change; free it by store_change_free(). */
store_change_t *store_change_new(const msg_order_t *order, uint64_t revision,
				 uint64_t log_index)
{
	store_change_t *change = g_new0(store_change_t, 1);

	store_order_copy(&change->order, order,
			 order->kind != ORDER_PRESET_CREATE);
	change->revision = revision;
	change->log_index = log_index;
	return change;
}

/* Frees a store_change_t. */
void store_change_free(void *change)
{
	store_order_finish(&((store_change_t *)change)->order);
	g_free(change);
}

/* Frees a store_result_t. */
void store_result_free(void *result)
{
	store_result_t *self = result;

	g_free((char *)self->id);
	g_free((uint8_t *)self->fingerprint.data);
	g_free((char *)self->reason);
	store_order_finish(&self->winner);
	g_free(self);
}
