/* Unit tests of what makes two requests repetitions of each other. */
#include "unit.h"

#include <string.h>

#include <glib.h>

#include "wisteria/gateway/prompt_parts.h"
#include "wisteria/http/http_reader.h"

static uint64_t digest(const char *method, const char *target, const char *id,
		       const char *body, const char *customer)
{
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: shop.example\r\n"
				     "X-Request: %s\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     method, target, id, strlen(body), body);
	const caller_request_t caller = { 0 };
	http_reader_t reader;
	uint64_t digest;

	http_reader_init(&reader, HTTP_REQUEST, 1000, 1000);
	CU_ASSERT_EQUAL(http_reader_feed(&reader, text, strlen(text)),
			strlen(text));
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
	digest = prompt_parts_digest(&reader.message, &caller, customer);
	http_reader_finish(&reader);
	g_free(text);
	return digest;
}

static void test_digest_is_that_of_repetitions(void)
{
	uint64_t first = digest("POST", "/a/1?x=2", "id-1", "7", "blue");

	CU_ASSERT_EQUAL(digest("POST", "/a/1?x=2", "id-2", "7", "blue"), first);
	CU_ASSERT_NOT_EQUAL(digest("PUT", "/a/1?x=2", "id-1", "7", "blue"),
			    first);
	CU_ASSERT_NOT_EQUAL(digest("POST", "/a/1?x=3", "id-1", "7", "blue"),
			    first);
	CU_ASSERT_NOT_EQUAL(digest("POST", "/a/1?x=2", "id-1", "8", "blue"),
			    first);
	CU_ASSERT_NOT_EQUAL(digest("POST", "/a/1?x=2", "id-1", "7", "red"),
			    first);
	CU_ASSERT_NOT_EQUAL(digest("POST", "/a/1?x=2", "id-1", "7", NULL),
			    first);
	CU_ASSERT_NOT_EQUAL(digest("POST", "/a/1?x=27", "id-1", "", "blue"),
			    first);
}

static const unit_test_t tests[] = {
	{ "digest is that of repetitions", test_digest_is_that_of_repetitions },
};

int main(void)
{
	return unit_run("prompt_parts", tests, ARRAY_SIZE(tests));
}
