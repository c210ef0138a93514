/*
 * HTTP requests, each with the lock-free queue of its response, which the
 * traffic thread fills and the HTTP thread empties.
 */
#include "wisteria/entry/request.h"

#include <string.h>

#include <ck_pr.h>
#include <sodium.h>

#define REQUEST_RANDOM_BYTES 12

static void clear_header(gpointer data)
{
	request_header_t *header = data;

	g_free(header->name);
	g_free(header->value);
}

/* Creates an empty list of headers; freed with the chunk or the request. */
GArray *request_headers_new(void)
{
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(request_header_t));

	g_array_set_clear_func(headers, clear_header);
	return headers;
}

/* Appends a copy of a header. */
void request_headers_add(GArray *headers, const char *name, const char *value)
{
	const request_header_t header = { g_strdup(name), g_strdup(value) };

	g_array_append_val(headers, header);
}

/* Creates a request with one reference, the HTTP thread's, and a random id. */
request_t *request_new(struct MHD_Connection *connection)
{
	request_t *request = g_new0(request_t, 1);
	uint8_t random[REQUEST_RANDOM_BYTES];

	request->connection = connection;
	request->references = 1;
	request->headers = request_headers_new();
	request->body = g_byte_array_new();
	randombytes_buf(random, sizeof(random));
	memcpy(request->id, "req-", 4);
	sodium_bin2hex(request->id + 4, sizeof(request->id) - 4, random,
		       sizeof(random));
	ck_fifo_spsc_init(&request->out, g_malloc0(sizeof(request_chunk_t)));
	return request;
}

/* Adds a reference; returns "request". */
request_t *request_ref(request_t *request)
{
	ck_pr_inc_32(&request->references);
	return request;
}

/* Frees a chunk and what it owns. */
void request_chunk_free(request_chunk_t *chunk)
{
	if (chunk == NULL)
		return;
	if (chunk->headers != NULL)
		g_array_free(chunk->headers, TRUE);
	g_free(chunk->data);
	g_free(chunk);
}

static void free_request(request_t *request)
{
	ck_fifo_spsc_entry_t *stub = NULL;
	request_chunk_t *chunk = request_next_chunk(request);

	while (chunk != NULL) {
		request_chunk_free(chunk);
		chunk = request_next_chunk(request);
	}
	ck_fifo_spsc_deinit(&request->out, &stub);
	while (stub != NULL) {
		ck_fifo_spsc_entry_t *next = stub->next;

		g_free(stub);
		stub = next;
	}
	request_chunk_free(request->sending);
	g_array_free(request->headers, TRUE);
	g_byte_array_free(request->body, TRUE);
	g_free(request->method);
	g_free(request->path);
	g_free(request->api_key);
	g_free(request->idempotency_key);
	g_free(request->last_event_id);
	g_free(request->traceparent);
	g_free(request->model);
	g_free(request->prompt);
	g_free(request);
}

/* Releases a reference; the last one frees the request. */
void request_unref(request_t *request)
{
	bool last = false;

	ck_pr_dec_32_zero(&request->references, &last);
	if (last)
		free_request(request);
}

/* Queues a chunk and resumes the connection if it is suspended. */
static void enqueue(request_t *request, request_chunk_t *chunk)
{
	ck_fifo_spsc_entry_t *entry = ck_fifo_spsc_recycle(&request->out);

	if (entry == NULL)
		entry = g_malloc0(sizeof(*entry));
	ck_fifo_spsc_enqueue(&request->out, entry, chunk);
	ck_pr_fence_memory();
	if (ck_pr_cas_32(&request->suspended, 1, 0))
		MHD_resume_connection(request->connection);
}

/* Sends status and headers; takes ownership of "headers". */
void request_send_head(request_t *request, unsigned status, GArray *headers)
{
	request_chunk_t *chunk = g_new0(request_chunk_t, 1);

	chunk->head = true;
	chunk->status = status;
	chunk->headers = headers;
	enqueue(request, chunk);
}

/* Sends a copy of "len" bytes of the body. */
void request_write_body(request_t *request, const void *data, size_t len)
{
	request_chunk_t *chunk;

	if (len == 0)
		return;
	chunk = g_new0(request_chunk_t, 1);
	chunk->data = g_memdup2(data, len);
	chunk->len = len;
	enqueue(request, chunk);
}

/* Ends the response. */
void request_end_response(request_t *request)
{
	request_chunk_t *chunk = g_new0(request_chunk_t, 1);

	chunk->end = true;
	enqueue(request, chunk);
}

/* Removes and returns the next chunk, or NULL; called on the HTTP thread. */
request_chunk_t *request_next_chunk(request_t *request)
{
	request_chunk_t *chunk = NULL;

	if (!ck_fifo_spsc_dequeue(&request->out, &chunk))
		return NULL;
	return chunk;
}

/*
 * Suspends the connection until the next chunk.  Returns false if one was
 * queued meanwhile; the connection is resumed then.
 */
bool request_suspend(request_t *request)
{
	MHD_suspend_connection(request->connection);
	ck_pr_store_32(&request->suspended, 1);
	ck_pr_fence_memory();
	if (ck_fifo_spsc_isempty(&request->out))
		return true;
	if (ck_pr_cas_32(&request->suspended, 1, 0))
		MHD_resume_connection(request->connection);
	return false;
}
