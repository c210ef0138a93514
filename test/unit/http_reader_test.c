/* Unit tests of the incremental HTTP parser. */
#include "unit.h"

#include <string.h>

#include "wisteria/http/http_message.h"
#include "wisteria/http/http_reader.h"

/* Above the limit of the parser's own count of a head's bytes. */
#define ENDLESS_BYTES_MAX (128u << 10)

static http_reader_t reader;

static size_t feed(const char *text)
{
	return http_reader_feed(&reader, text, strlen(text));
}

static void init_reader(enum http_parser_type type)
{
	http_reader_init(&reader, type, 200, 20);
}

/* The result does not depend on where the request is split into two parts. */
static void test_every_split_position(void)
{
	static const char text[] = "POST /a/b?c HTTP/1.1\r\nHost: x\r\n"
				   "X-Empty:\r\nTransfer-Encoding: chunked\r\n"
				   "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

	for (size_t split = 0; split <= strlen(text); split++) {
		init_reader(HTTP_REQUEST);
		CU_ASSERT_EQUAL(http_reader_feed(&reader, text, split), split);
		CU_ASSERT_EQUAL(feed(text + split), strlen(text) - split);
		CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
		CU_ASSERT_STRING_EQUAL(reader.message.method, "POST");
		CU_ASSERT_STRING_EQUAL(http_message_target(&reader.message),
				       "/a/b?c");
		CU_ASSERT_STRING_EQUAL(
			http_message_find_header(&reader.message, "host"), "x");
		CU_ASSERT_STRING_EQUAL(
			http_message_find_header(&reader.message, "x-empty"),
			"");
		CU_ASSERT_EQUAL(reader.message.body->len, 5);
		CU_ASSERT_EQUAL(memcmp(reader.message.body->data, "abcde", 5),
				0);
		http_reader_finish(&reader);
	}
}

/* The strings of trailers end where they end in the message. */
static void test_trailers_are_terminated(void)
{
	init_reader(HTTP_REQUEST);
	feed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
	     "\r\n1\r\na\r\n0\r\nX-Last: value\r\n\r\n");
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
	CU_ASSERT_EQUAL(reader.message.text->data[reader.message.text->len - 1],
			'\0');
	CU_ASSERT_STRING_EQUAL(
		http_message_find_header(&reader.message, "x-last"), "value");
	http_reader_finish(&reader);
}

static void test_two_requests_at_once(void)
{
	static const char first[] = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";

	init_reader(HTTP_REQUEST);
	CU_ASSERT_EQUAL(feed("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2"),
			strlen(first));
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
	CU_ASSERT_TRUE(reader.message.keep_alive);
	CU_ASSERT_EQUAL(feed("GET /2"), 0);
	http_reader_reset(&reader);
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_HEADERS);
	CU_ASSERT_EQUAL(feed("GET /2 HTTP/1.0\r\n\r\n"), 19);
	CU_ASSERT_STRING_EQUAL(http_message_target(&reader.message), "/2");
	CU_ASSERT_FALSE(reader.message.keep_alive);
	http_reader_finish(&reader);
}

typedef struct {
	const char *text;
	http_read_error_t error;
} invalid_request_t;

static void test_invalid_requests(void)
{
	static const invalid_request_t invalid[] = {
		{ "GARBAGE\r\n\r\n", HTTP_BAD_SYNTAX },
		{ "POST / HTTP/1.1\r\nContent-Length: 90000000\r\n\r\n",
		  HTTP_BODY_TOO_LARGE },
		{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "15\r\n123456789012345678901\r\n",
		  HTTP_BODY_TOO_LARGE },
		{ "GET /01234567890123456789012345678901234567890123456789"
		  "01234567890123456789012345678901234567890123456789"
		  "01234567890123456789012345678901234567890123456789"
		  "01234567890123456789012345678901234567890123456789"
		  " HTTP/1.1\r\n\r\n",
		  HTTP_HEADERS_TOO_LARGE },
		{ "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  HTTP_BAD_SYNTAX },
	};

	for (size_t i = 0; i < ARRAY_SIZE(invalid); i++) {
		init_reader(HTTP_REQUEST);
		(void)!feed(invalid[i].text);
		CU_ASSERT_EQUAL(reader.state, HTTP_READ_FAILED);
		CU_ASSERT_EQUAL(reader.error, invalid[i].error);
		http_reader_finish(&reader);
	}
}

static void test_responses(void)
{
	init_reader(HTTP_RESPONSE);
	(void)!feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
		    "Content-Length: 2\r\n\r\nok");
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
	CU_ASSERT_EQUAL(reader.message.status, 200);
	CU_ASSERT_EQUAL(reader.message.framing, HTTP_FRAMING_LENGTH);
	http_reader_finish(&reader);

	init_reader(HTTP_RESPONSE);
	(void)!feed("HTTP/1.1 200 OK\r\n\r\nok");
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_BODY);
	CU_ASSERT_EQUAL(reader.message.framing, HTTP_FRAMING_CLOSE);
	http_reader_eof(&reader);
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
	http_reader_finish(&reader);

	init_reader(HTTP_RESPONSE);
	(void)!feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok");
	http_reader_eof(&reader);
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_FAILED);
	http_reader_finish(&reader);
}

/* Each head or body that does not end is refused after a bounded length. */
static void test_bytes_without_end_are_refused(void)
{
	static const struct {
		const char *start;
		const char *unit; /* repeated */
	} endless[] = {
		{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" },
		{ "", "\r\n" },
		{ "", "\x01junk" },
		{ "HTTP/1.1 200 ", "reason" },
		{ "HTTP/1.1 200 OK\r\n", "name" },
		{ "HTTP/1.1 200 OK\r\n", "A:\r\n" },
		{ "HTTP/1.1 200 OK\r\nA:", " " },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "0" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
		  "extension" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "0\r\n",
		  "A: trailer\r\n" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "1\r\nx\r\n" },
		{ "HTTP/1.1 200 OK\r\n\r\n", "body" },
	};

	for (size_t i = 0; i < ARRAY_SIZE(endless); i++) {
		size_t len = 0;

		init_reader(HTTP_RESPONSE);
		(void)!feed(endless[i].start);
		while (reader.state < HTTP_READ_COMPLETE &&
		       len < ENDLESS_BYTES_MAX)
			len += feed(endless[i].unit);
		CU_ASSERT_EQUAL(reader.state, HTTP_READ_FAILED);
		CU_ASSERT(len < ENDLESS_BYTES_MAX);
		http_reader_finish(&reader);
	}
}

typedef struct {
	const char *head;
	http_framing_t framing;
} framed_response_t;

static void test_framing(void)
{
	static const framed_response_t responses[] = {
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		  HTTP_FRAMING_CHUNKED },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		  HTTP_FRAMING_LENGTH },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		  HTTP_FRAMING_CLOSE },
		{ "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
		  HTTP_FRAMING_CLOSE },
		{ "HTTP/1.1 204 No Content\r\n\r\n", HTTP_FRAMING_NONE },
	};

	for (size_t i = 0; i < ARRAY_SIZE(responses); i++) {
		init_reader(HTTP_RESPONSE);
		(void)!feed(responses[i].head);
		CU_ASSERT_EQUAL(reader.message.framing, responses[i].framing);
		http_reader_finish(&reader);
	}
	init_reader(HTTP_REQUEST);
	(void)!feed("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	CU_ASSERT_EQUAL(reader.message.framing, HTTP_FRAMING_NONE);
	http_reader_finish(&reader);
}

typedef struct {
	const char *status_line;
	bool answers_head;
} bodiless_t;

static const bodiless_t bodiless[] = {
	{ "HTTP/1.1 204 No Content\r\n", false },
	{ "HTTP/1.1 304 Not Modified\r\n", false },
	{ "HTTP/1.1 200 OK\r\n", true },
	{ "HTTP/1.1 404 Not Found\r\n", true },
	{ "HTTP/1.1 205 Reset Content\r\n", true },
	{ "HTTP/1.0 204 No Content\r\n", false },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n", false },
	{ "HTTP/1.1 103 Early\r\nContent-Length: 9\r\n\r\n"
	  "HTTP/1.1 204 No Content\r\n",
	  false },
	{ "HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "HTTP/1.1 304 Not Modified\r\n",
	  false },
};

static const char *const lengths[] = {
	"\r\n",
	"Content-Length: 0\r\n\r\n",
	"Content-Length: 2\r\n\r\n",
	"Content-Length: 90000000\r\n\r\n",
	"Transfer-Encoding: chunked\r\n\r\n",
	"Content-Type: text/event-stream\r\n\r\n",
	"Connection: close\r\nContent-Length: 2\r\n\r\n",
};

static const char *const bytes_behind[] = {
	"",
	"hi",
	"2\r\nhi\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
};

/*
 * Failure: a second answer behind a 204 is read as its body, and handed to the
 * caller's next request.
 */
static void test_response_that_ends_with_its_head(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(bodiless); i++)
		for (size_t j = 0; j < ARRAY_SIZE(lengths); j++)
			for (size_t k = 0; k < ARRAY_SIZE(bytes_behind); k++) {
				size_t behind = strlen(bytes_behind[k]);
				char *text = g_strconcat(
					bodiless[i].status_line, lengths[j],
					bytes_behind[k], NULL);

				init_reader(HTTP_RESPONSE);
				reader.answers_head = bodiless[i].answers_head;
				CU_ASSERT_EQUAL(feed(text),
						strlen(text) - behind);
				CU_ASSERT_EQUAL(reader.state,
						HTTP_READ_COMPLETE);
				CU_ASSERT_EQUAL(reader.message.framing,
						HTTP_FRAMING_NONE);
				CU_ASSERT_EQUAL(reader.message.body->len, 0);
				CU_ASSERT_EQUAL(reader.message.excess_bytes,
						behind);
				http_reader_finish(&reader);
				g_free(text);
			}
}

/* The fields of an interim response give the one behind it no other end. */
static void test_interim_response_has_no_body(void)
{
	static const char text[] =
		"HTTP/1.1 103 Early\r\nContent-Length: 4\r\n\r\n"
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

	for (size_t split = 0; split <= strlen(text); split++) {
		init_reader(HTTP_RESPONSE);
		reader.header_bytes_max = 400;
		CU_ASSERT_EQUAL(http_reader_feed(&reader, text, split), split);
		CU_ASSERT_EQUAL(feed(text + split), strlen(text) - split);
		CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
		CU_ASSERT_EQUAL(reader.message.status, 200);
		CU_ASSERT_EQUAL(reader.message.body->len, 2);
		CU_ASSERT_EQUAL(reader.message.declared_bytes, 2);
		http_reader_finish(&reader);
	}
}

/* 205 ends as its length says, although it has no content. */
static void test_reset_content_ends_by_its_length(void)
{
	init_reader(HTTP_RESPONSE);
	(void)!feed("HTTP/1.1 205 Reset Content\r\nContent-Length: 2\r\n\r\n"
		    "hiHTTP/1.1");
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
	CU_ASSERT_EQUAL(reader.message.framing, HTTP_FRAMING_LENGTH);
	CU_ASSERT_EQUAL(reader.message.body->len, 2);
	CU_ASSERT_EQUAL(reader.message.excess_bytes, 8);
	http_reader_finish(&reader);
}

typedef struct {
	const char *line;
	size_t len;
} field_line_t;

#define FIELD_LINE(text) \
	{ \
		text "\r\n", sizeof(text "\r\n") - 1 \
	}

/* Lines of fields whose names are no tokens. */
static const field_line_t invalid_lines[] = {
	FIELD_LINE("X Bad: 1"),
	FIELD_LINE("X-Bad : 1"),
	FIELD_LINE("Content-Length : 1"),
	FIELD_LINE("Content Length: 1"),
	FIELD_LINE("Content-Length\t: 1"),
	FIELD_LINE("Transfer Encoding: chunked"),
	FIELD_LINE("Transfer-Encoding : chunked"),
	FIELD_LINE("X\tBad: 1"),
	FIELD_LINE("X\x01"
		   "Bad: 1"),
	FIELD_LINE("X\x7f"
		   "Bad: 1"),
	FIELD_LINE("X\x80"
		   "Bad: 1"),
	FIELD_LINE("X\0Bad: 1"),
	FIELD_LINE("X\rBad: 1"),
	FIELD_LINE("X(Bad): 1"),
	FIELD_LINE(": 1"),
	FIELD_LINE("no colon"),
};

/* What comes before an invalid line, and behind it. */
typedef struct {
	enum http_parser_type type;
	const char *start;
	const char *end;
} around_line_t;

static const around_line_t around_lines[] = {
	{ HTTP_REQUEST, "POST / HTTP/1.1\r\nHost: x\r\n", "\r\nab" },
	{ HTTP_REQUEST,
	  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	  "\r\n" },
	{ HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n", "\r\nab" },
	{ HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "\r\nab" },
	{ HTTP_RESPONSE, "HTTP/1.1 103 Early Hints\r\n",
	  "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab" },
	{ HTTP_RESPONSE,
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	  "\r\n" },
};

/* Feeds "text" in parts of at most "part_len". */
static void feed_parts(const GString *text, size_t part_len)
{
	size_t at = 0;

	while (at < text->len && reader.state < HTTP_READ_COMPLETE)
		at += http_reader_feed(&reader, text->str + at,
				       MIN(part_len, text->len - at));
}

/*
 * Failure: a field whose name has a blank is passed on, or taken for a length
 * that other readers of the message do not see.
 */
static void test_invalid_field_names(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(invalid_lines); i++)
		for (size_t j = 0; j < ARRAY_SIZE(around_lines); j++) {
			const around_line_t *around = &around_lines[j];
			GString *text = g_string_new(around->start);

			g_string_append_len(text, invalid_lines[i].line,
					    (gssize)invalid_lines[i].len);
			g_string_append(text, around->end);
			for (size_t part = 1; part <= text->len;
			     part += text->len - 1) {
				init_reader(around->type);
				feed_parts(text, part);
				CU_ASSERT_EQUAL(reader.state, HTTP_READ_FAILED);
				CU_ASSERT_EQUAL(reader.error, HTTP_BAD_SYNTAX);
				http_reader_finish(&reader);
			}
			g_string_free(text, TRUE);
		}
}

static void test_field_name_may_be_any_token(void)
{
	static const char name[] = "!#$%&'*+-.^_`|~09azAZ";
	GString *text = g_string_new(NULL);

	g_string_printf(text, "HTTP/1.1 204 No Content\r\n%s: 1\r\n\r\n", name);
	for (size_t part = 1; part <= text->len; part++) {
		init_reader(HTTP_RESPONSE);
		feed_parts(text, part);
		CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
		CU_ASSERT_STRING_EQUAL(
			http_message_find_header(&reader.message, name), "1");
		http_reader_finish(&reader);
	}
	g_string_free(text, TRUE);
}

static const unit_test_t tests[] = {
	{ "every split position", test_every_split_position },
	{ "two requests at once", test_two_requests_at_once },
	{ "response that ends with its head",
	  test_response_that_ends_with_its_head },
	{ "interim response has no body", test_interim_response_has_no_body },
	{ "reset content ends by its length",
	  test_reset_content_ends_by_its_length },
	{ "invalid requests", test_invalid_requests },
	{ "responses", test_responses },
	{ "framing", test_framing },
	{ "bytes without end are refused", test_bytes_without_end_are_refused },
	{ "trailers are terminated", test_trailers_are_terminated },
	{ "invalid field names", test_invalid_field_names },
	{ "field name may be any token", test_field_name_may_be_any_token },
};

int main(void)
{
	return unit_run("http_reader", tests, ARRAY_SIZE(tests));
}
