/* Unit tests of document compression. */
#include "unit.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/codec/pack.h"

static void assert_round_trip(const void *data, gsize len)
{
	GBytes *packed = pack_bytes(data, len);
	err_t err = ERR_INIT;
	GBytes *unpacked = unpack_bytes(g_bytes_get_data(packed, NULL),
					g_bytes_get_size(packed), &err);
	GBytes *original = g_bytes_new(data, len);

	CU_ASSERT_PTR_NOT_NULL(unpacked);
	if (unpacked != NULL) {
		CU_ASSERT_TRUE(g_bytes_equal(unpacked, original));
		g_bytes_unref(unpacked);
	}
	g_bytes_unref(original);
	g_bytes_unref(packed);
}

static void test_round_trip(void)
{
	static guint8 large[100000];

	assert_round_trip("", 0);
	assert_round_trip("abc", 3);
	for (size_t i = 0; i < sizeof(large); i++)
		large[i] = (guint8)(i % 7 * i % 13);
	assert_round_trip(large, sizeof(large));
}

static void test_corruption_is_detected(void)
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
	{ "round trip", test_round_trip },
	{ "corruption is detected", test_corruption_is_detected },
};

int main(void)
{
	return unit_run("pack", tests, ARRAY_SIZE(tests));
}
