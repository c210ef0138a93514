/* Writing to a socket; data is copied only if the kernel does not accept it. */
#include "wisteria/http/http_write.h"

#include <string.h>

#include <glib.h>

typedef struct {
	uv_write_t request;
	char data[];
} queued_write_t;

static void on_written(uv_write_t *request, int status)
{
	/*
	 * The read callback closes a lost connection: it gets the error or, if
	 * this write took it, the end of the stream.
	 */
	(void)status;
	g_free(CONTAINER_OF(request, queued_write_t, request));
}

static size_t total_len(const uv_buf_t *bufs, unsigned count)
{
	size_t total = 0;

	for (unsigned i = 0; i < count; i++)
		total += bufs[i].len;
	return total;
}

/*
 * Writes all of "bufs" in order; queues a copy of what cannot be written at
 * once.  Returns false if the connection has failed or if more than
 * HTTP_BACKLOG_BYTES_MAX would be queued.
 */
bool http_write(uv_stream_t *stream, const uv_buf_t *bufs, unsigned count)
{
	size_t total = total_len(bufs, count);
	size_t written = 0;
	queued_write_t *queued;
	uv_buf_t unsent;
	size_t queued_len = 0;

	if (uv_stream_get_write_queue_size(stream) == 0) {
		int status = uv_try_write(stream, bufs, count);

		if (status < 0 && status != UV_EAGAIN)
			return false;
		written = status < 0 ? 0 : (size_t)status;
	}
	if (written == total)
		return true;
	if (uv_stream_get_write_queue_size(stream) + total - written >
	    HTTP_BACKLOG_BYTES_MAX)
		return false;
	queued = g_malloc(sizeof(*queued) + total - written);
	for (unsigned i = 0; i < count; i++) {
		size_t skip = MIN(written, bufs[i].len);

		memcpy(queued->data + queued_len, bufs[i].base + skip,
		       bufs[i].len - skip);
		queued_len += bufs[i].len - skip;
		written -= skip;
	}
	unsent = uv_buf_init(queued->data, (unsigned)queued_len);
	if (uv_write(&queued->request, stream, &unsent, 1, on_written) != 0) {
		g_free(queued);
		return false;
	}
	return true;
}
