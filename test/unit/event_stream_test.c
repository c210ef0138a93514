/* Unit tests of splitting streams into whole events. */
#include "unit.h"

#include <string.h>

#include "wisteria/gateway/event_stream.h"

static size_t take(event_stream_t *stream, const char *text)
{
	return event_stream_take(stream, (const uint8_t *)text, strlen(text));
}

static void test_whole_events(void)
{
	event_stream_t stream;

	event_stream_init(&stream, -1);
	CU_ASSERT_EQUAL(take(&stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
			30);
	CU_ASSERT_EQUAL(stream.last_id, 2);
	CU_ASSERT_EQUAL(stream.events, 2);
}

static void test_a_part_is_left(void)
{
	event_stream_t stream;

	event_stream_init(&stream, -1);
	CU_ASSERT_EQUAL(take(&stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n"),
			15);
	CU_ASSERT_EQUAL(stream.last_id, 1);
	CU_ASSERT_EQUAL(take(&stream, "id: 2\nda"), 0);
	CU_ASSERT_EQUAL(stream.last_id, 1);
}

static void test_line_ends(void)
{
	event_stream_t stream;

	event_stream_init(&stream, 6);
	CU_ASSERT_EQUAL(take(&stream, "id:7\r\ndata: a\r\n\r\n"), 17);
	CU_ASSERT_EQUAL(stream.last_id, 7);
}

static void test_ids_that_are_none(void)
{
	event_stream_t stream;

	event_stream_init(&stream, 3);
	CU_ASSERT_EQUAL(take(&stream, "id: x\n\n"), 7);
	CU_ASSERT_EQUAL(take(&stream, "data: id: 9\n\n"), 13);
	CU_ASSERT_EQUAL(take(&stream, "id: 99999999999999999999999\n\n"), 29);
	CU_ASSERT_EQUAL(stream.last_id, 3);
	CU_ASSERT_EQUAL(stream.events, 3);
}

/* However the bytes are cut, the same events are passed on, once. */
static void test_every_cut(void)
{
	static const char text[] =
		"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\n\n";

	for (size_t cut = 0; cut <= strlen(text); cut++) {
		event_stream_t stream;
		size_t taken;

		event_stream_init(&stream, -1);
		taken = event_stream_take(&stream, (const uint8_t *)text, cut);
		CU_ASSERT(taken <= cut);
		taken += event_stream_take(&stream,
					   (const uint8_t *)text + taken,
					   strlen(text) - taken);
		CU_ASSERT_EQUAL(taken, strlen(text));
		CU_ASSERT_EQUAL(stream.events, 3);
		CU_ASSERT_EQUAL(stream.last_id, 3);
	}
}

static const unit_test_t tests[] = {
	{ "whole events", test_whole_events },
	{ "a part is left", test_a_part_is_left },
	{ "line ends", test_line_ends },
	{ "ids that are none", test_ids_that_are_none },
	{ "every cut", test_every_cut },
};

int main(void)
{
	return unit_run("event_stream", tests, ARRAY_SIZE(tests));
}
