/* Unit tests of the compression of documents. */
#include "unit.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/codec/pack.h"

static void assert_comes_back(const void *data, gsize len)
{
	GBytes *packed = pack_bytes(data, len);
	err_t err = ERR_INIT;
	GBytes *back = unpack_bytes(g_bytes_get_data(packed, NULL),
				    g_bytes_get_size(packed), &err);
	GBytes *given = g_bytes_new(data, len);

	CU_ASSERT_PTR_NOT_NULL(back);
	if (back != NULL) {
		CU_ASSERT_TRUE(g_bytes_equal(back, given));
		g_bytes_unref(back);
	}
	g_bytes_unref(given);
	g_bytes_unref(packed);
}

static void test_comes_back(void)
{
	static guint8 large[100000];

	assert_comes_back("", 0);
	assert_comes_back("abc", 3);
	for (size_t i = 0; i < sizeof(large); i++)
		large[i] = (guint8)(i % 7 * i % 13);
	assert_comes_back(large, sizeof(large));
}

static void test_damage_is_found(void)
{
	GBytes *packed = pack_bytes("abcabcabcabc", 12);
	gsize len = 0;
	const guint8 *data = g_bytes_get_data(packed, &len);
	guint8 copy[64];

	for (gsize cut = 0; cut < len; cut++) {
		err_t err = ERR_INIT;

		CU_ASSERT_PTR_NULL(unpack_bytes(data, cut, &err));
		CU_ASSERT_EQUAL(err.code, ERR_CORRUPT);
	}
	for (gsize i = 0; i < len; i++) {
		err_t err = ERR_INIT;

		memcpy(copy, data, len);
		copy[i] ^= 0x10;
		CU_ASSERT_PTR_NULL(unpack_bytes(copy, len, &err));
	}
	g_bytes_unref(packed);
}

static const unit_test_t tests[] = {
	{ "comes back", test_comes_back },
	{ "damage is found", test_damage_is_found },
};

int main(void)
{
	return unit_run("pack", tests, ARRAY_SIZE(tests));
}
