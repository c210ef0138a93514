/*
 * Fake plain services.  Every call that arrives is counted as run and written
 * to the journal before it is answered.  A request header "X-Fake: drop"
 * makes the service run the call and close the connection without an answer;
 * "X-Fake: stream" and "X-Fake: cut" make it answer with events and no framing,
 * and "cut" closes the connection inside the second one.  A number is the status
 * of the answer.
 *
 * Journal line: METHOD PATH IDEMPOTENCY-KEY BODY LISTEN-ADDRESS.
 */
#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <microhttpd.h>

#include "stop_signals.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net.h"

#define FAKE_SERVICES_MAX 64
#define FAKE_BLOCK_BYTES 1024
#define FAKE_EVENT "data: 1\n\n"

typedef struct {
	char *listen;
	struct MHD_Daemon *daemon;
	uint32_t delay_us;
} service_t;

static service_t services[FAKE_SERVICES_MAX];
static size_t service_count;
static uint32_t default_delay_us;
static FILE *journal;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t run_count;

static const char *header_or_dash(struct MHD_Connection *connection,
				  const char *name)
{
	const char *value =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);

	return value == NULL ? "-" : value;
}

static void sleep_us(uint32_t us)
{
	struct timespec wait = { .tv_sec = (time_t)(us / 1000000),
				 .tv_nsec = (long)(us % 1000000) * 1000 };

	while (us > 0 && nanosleep(&wait, &wait) != 0 && errno == EINTR)
		continue;
}

static uint64_t record_call(const service_t *service, const char *method,
			    const char *url, const char *key,
			    const GString *body)
{
	uint64_t number;

	pthread_mutex_lock(&lock);
	number = ++run_count;
	if (journal != NULL) {
		fprintf(journal, "%s %s %s %s %s\n", method, url, key,
			body->len == 0 ? "-" : body->str, service->listen);
		fflush(journal);
	}
	pthread_mutex_unlock(&lock);
	return number;
}

static enum MHD_Result answer(struct MHD_Connection *connection,
			      unsigned status, const char *url, uint64_t number,
			      const GString *body)
{
	char *text = g_strdup_printf("{\"run\":%" PRIu64
				     ",\"path\":\"%s\",\"bytes\":%zu}\n",
				     number, url, (size_t)body->len);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	g_free(text);
	return result;
}

static ssize_t read_text(void *closure, uint64_t position, char *out,
			 size_t size)
{
	const char *text = closure;
	size_t len = strlen(text) - (size_t)position;

	if (len == 0)
		return MHD_CONTENT_READER_END_OF_STREAM;
	len = MIN(len, size);
	for (size_t i = 0; i < len; i++)
		out[i] = text[position + i];
	return (ssize_t)len;
}

/* Answers with text whose end is the end of the connection. */
static enum MHD_Result answer_unframed(struct MHD_Connection *connection,
				       const char *text)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, FAKE_BLOCK_BYTES, read_text,
		(void *)(uintptr_t)text, NULL);
	enum MHD_Result result;

	MHD_set_response_options(response, MHD_RF_HTTP_VERSION_1_0_RESPONSE,
				 MHD_RO_END);
	MHD_add_response_header(response, "Content-Type", "text/event-stream");
	result = MHD_queue_response(connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result on_request(void *closure,
				  struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_len, void **state)
{
	const service_t *service = closure;
	GString *body = *state;
	unsigned status;
	uint64_t number;

	(void)version;
	if (body == NULL) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*data_len > 0) {
		g_string_append_len(body, data, (gssize)*data_len);
		*data_len = 0;
		return MHD_YES;
	}
	number = record_call(service, method, url,
			     header_or_dash(connection, "Idempotency-Key"),
			     body);
	sleep_us(service->delay_us);
	if (strcmp(header_or_dash(connection, "X-Fake"), "drop") == 0)
		return MHD_NO;
	if (strcmp(header_or_dash(connection, "X-Fake"), "stream") == 0)
		return answer_unframed(connection, FAKE_EVENT "data: 2\n\n");
	if (strcmp(header_or_dash(connection, "X-Fake"), "cut") == 0)
		return answer_unframed(connection, FAKE_EVENT "data: 2");
	status = (unsigned)atoi(header_or_dash(connection, "X-Fake"));
	return answer(connection, status == 0 ? 200 : status, url, number,
		      body);
}

static void on_completed(void *closure, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	(void)closure;
	(void)connection;
	(void)code;
	if (*state != NULL)
		g_string_free(*state, TRUE);
	*state = NULL;
}

static void start_service(service_t *service)
{
	struct sockaddr_storage address;
	err_t err = { .code = ERR_NONE };

	if (!net_parse_address(service->listen, &address, &err)) {
		fprintf(stderr, "fake_service: %s: %s\n", service->listen,
			err.text);
		exit(2);
	}
	service->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			MHD_USE_THREAD_PER_CONNECTION,
		0, NULL, NULL, on_request, service, MHD_OPTION_SOCK_ADDR,
		&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (service->daemon == NULL) {
		fprintf(stderr, "fake_service: cannot listen on %s\n",
			service->listen);
		exit(1);
	}
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	switch (key) {
	case 'l':
		if (service_count == FAKE_SERVICES_MAX)
			argp_error(state, "too many services");
		services[service_count].delay_us = default_delay_us;
		services[service_count++].listen = text;
		return 0;
	case 'd':
		default_delay_us = (uint32_t)g_ascii_strtoull(text, NULL, 10);
		return 0;
	case 'j':
		journal = fopen(text, "ae");
		if (journal == NULL)
			argp_failure(state, 1, errno, "%s", text);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "Add a service", 0 },
	{ "delay-us", 'd', "US", 0, "Time of one call", 0 },
	{ "journal", 'j', "FILE", 0, "Append a line for each call", 0 },
	{ 0 },
};

int main(int argc, char **argv)
{
	const struct argp argp = { options, parse_option,
				   NULL,    "Stand-ins for plain services.",
				   NULL,    NULL,
				   NULL };
	sigset_t signals;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	if (service_count == 0) {
		fprintf(stderr, "fake_service: no --listen given\n");
		return 2;
	}
	fake_block_signals(&signals);
	for (size_t i = 0; i < service_count; i++)
		start_service(&services[i]);
	fake_wait_for_signal(&signals);
	return 0;
}
