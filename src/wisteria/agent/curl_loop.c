/* Runs libcurl's multi interface on an event loop. */
#include "wisteria/agent/curl_loop.h"

#include <string.h>

#include <glib.h>

#include "wisteria/http/head_watch.h"
#include "wisteria/net/net.h"

/* Timeout of connecting to an engine or service. */
#define CURL_LOOP_CONNECT_TIMEOUT_MS 500L

/* A socket that is polled for libcurl. */
typedef struct {
	uv_poll_t poll;
	curl_loop_t *client;
	curl_socket_t socket;
} curl_watch_t;

/* A request in progress, in the linked list of its client. */
typedef struct curl_transfer_t {
	struct curl_transfer_t *next;
	struct curl_transfer_t **prev_next; /* points to this transfer */
	CURL *handle;
	curl_done_t *done;
	const curl_body_t *body; /* NULL: the request has none */
	bool is_unacknowledged;	 /* some of what the kernel took of it */
	head_watch_t head;
} curl_transfer_t;

static void unlink_transfer(curl_transfer_t *transfer)
{
	*transfer->prev_next = transfer->next;
	if (transfer->next != NULL)
		transfer->next->prev_next = transfer->prev_next;
	g_free(transfer);
}

static curl_transfer_t *transfer_of(CURL *handle)
{
	char *transfer = NULL;

	curl_easy_getinfo(handle, CURLINFO_PRIVATE, &transfer);
	return (curl_transfer_t *)(void *)transfer;
}

/* Whether the peer's system has received all of the request. */
static bool was_request_received(const curl_transfer_t *transfer)
{
	curl_off_t written = 0;

	if (transfer->is_unacknowledged)
		return false;
	curl_easy_getinfo(transfer->handle, CURLINFO_SIZE_UPLOAD_T, &written);
	return transfer->body == NULL ||
	       written >= (curl_off_t)transfer->body->len;
}

/*
 * Returns the result of a transfer that ended with "code".  libcurl stops sending
 * at the end of the stream and reports success.  A response that only the end of
 * the stream delimits is not told from a part of one if it ends before the peer
 * can have read the request.
 */
static CURLcode check_response(const curl_transfer_t *transfer, CURLcode code)
{
	if (code == CURLE_WRITE_ERROR && transfer->head.is_malformed)
		return CURLE_WEIRD_SERVER_REPLY;
	if (code != CURLE_OK)
		return code;
	if (!transfer->head.is_complete ||
	    (transfer->head.ends_with_close && !was_request_received(transfer)))
		return CURLE_PARTIAL_FILE;
	return CURLE_OK;
}

static void end_transfer(curl_loop_t *client, CURL *handle, CURLcode code)
{
	curl_transfer_t *transfer = transfer_of(handle);
	curl_done_t *done = transfer->done;

	code = check_response(transfer, code);
	curl_multi_remove_handle(client->multi, handle);
	unlink_transfer(transfer);
	done->done(done, handle, code);
	curl_easy_cleanup(handle);
}

static void finish_completed_transfers(curl_loop_t *client)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(client->multi, &remaining)) !=
	       NULL)
		if (message->msg == CURLMSG_DONE)
			end_transfer(client, message->easy_handle,
				     message->data.result);
}

static void on_timer(uv_timer_t *timer)
{
	curl_loop_t *client = timer->data;
	int running;

	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	finish_completed_transfers(client);
}

static void on_poll(uv_poll_t *poll, int status, int events)
{
	curl_watch_t *watched = poll->data;
	curl_loop_t *client = watched->client;
	int flags = 0;
	int running;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if ((events & UV_READABLE) != 0)
		flags |= CURL_CSELECT_IN;
	if ((events & UV_WRITABLE) != 0)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, watched->socket, flags,
				 &running);
	finish_completed_transfers(client);
}

static void on_socket_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static curl_watch_t *watch_socket(curl_loop_t *client, curl_socket_t socket)
{
	curl_watch_t *watched = g_new0(curl_watch_t, 1);

	watched->client = client;
	watched->socket = socket;
	uv_poll_init_socket(client->loop, &watched->poll, socket);
	watched->poll.data = watched;
	curl_multi_assign(client->multi, socket, watched);
	return watched;
}

/* Records, when libcurl gives up a socket, whether all that it sent arrived. */
static void record_acknowledgement(CURL *handle, curl_socket_t socket)
{
	curl_transfer_t *transfer = transfer_of(handle);

	if (transfer != NULL)
		transfer->is_unacknowledged = !net_is_acknowledged(socket);
}

static int on_socket(CURL *handle, curl_socket_t socket, int what, void *user,
		     void *socket_user)
{
	curl_loop_t *client = user;
	curl_watch_t *watched = socket_user;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		record_acknowledgement(handle, socket);
		if (watched == NULL)
			return 0;
		curl_multi_assign(client->multi, socket, NULL);
		uv_poll_stop(&watched->poll);
		uv_close((uv_handle_t *)&watched->poll, on_socket_closed);
		return 0;
	}
	if (watched == NULL)
		watched = watch_socket(client, socket);
	if ((what & CURL_POLL_IN) != 0)
		events |= UV_READABLE;
	if ((what & CURL_POLL_OUT) != 0)
		events |= UV_WRITABLE;
	uv_poll_start(&watched->poll, events, on_poll);
	return 0;
}

static int on_timeout(CURLM *multi, long timeout_ms, void *user)
{
	curl_loop_t *client = user;

	(void)multi;
	if (timeout_ms < 0)
		uv_timer_stop(&client->timer);
	else
		uv_timer_start(&client->timer, on_timer, (uint64_t)timeout_ms,
			       0);
	return 0;
}

/* Initializes a client on "loop". */
void curl_loop_init(curl_loop_t *client, uv_loop_t *loop)
{
	client->loop = loop;
	client->transfers = NULL;
	client->multi = curl_multi_init();
	uv_timer_init(loop, &client->timer);
	client->timer.data = client;
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
}

/*
 * Aborts all requests; their callbacks get CURLE_ABORTED_BY_CALLBACK.  The
 * client may be freed when the loop has closed its handles.
 */
void curl_loop_close(curl_loop_t *client)
{
	while (client->transfers != NULL)
		end_transfer(client, client->transfers->handle,
			     CURLE_ABORTED_BY_CALLBACK);
	curl_multi_cleanup(client->multi);
	uv_timer_stop(&client->timer);
	uv_close((uv_handle_t *)&client->timer, NULL);
}

/*
 * Returns a new request to "url" for the caller to configure.  Ownership passes
 * to curl_loop_start().
 */
CURL *curl_loop_new_request(curl_loop_t *client, const char *url)
{
	curl_transfer_t *transfer = g_new0(curl_transfer_t, 1);
	CURL *handle = curl_easy_init();

	(void)client;
	transfer->handle = handle;
	curl_easy_setopt(handle, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
			 CURL_LOOP_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(handle, CURLOPT_PROXY, "");
	return handle;
}

static size_t on_read_body(char *buffer, size_t size, size_t count, void *user)
{
	curl_body_t *body = user;
	size_t len = MIN(size * count, body->len - body->sent);

	memcpy(buffer, body->data + body->sent, len);
	body->sent += len;
	return len;
}

static int on_seek_body(void *user, curl_off_t offset, int origin)
{
	(void)user;
	(void)offset;
	(void)origin;
	return CURL_SEEKFUNC_FAIL;
}

/*
 * Makes the request a POST of "body" that is sent at most once.  libcurl sends
 * a request again if a reused connection was lost; to do so it has to rewind
 * the body, which fails here.
 */
void curl_loop_set_body(CURL *handle, curl_body_t *body)
{
	transfer_of(handle)->body = body;
	curl_easy_setopt(handle, CURLOPT_POST, 1L);
	curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)body->len);
	curl_easy_setopt(handle, CURLOPT_READFUNCTION, on_read_body);
	curl_easy_setopt(handle, CURLOPT_READDATA, body);
	curl_easy_setopt(handle, CURLOPT_SEEKFUNCTION, on_seek_body);
	curl_easy_setopt(handle, CURLOPT_EXPECT_100_TIMEOUT_MS, 1L);
}

static size_t on_header_line(char *data, size_t size, size_t count, void *user)
{
	curl_transfer_t *transfer = user;
	curl_done_t *done = transfer->done;
	bool begins_head = head_watch_line(&transfer->head, data, size * count);

	if (transfer->head.is_malformed)
		return 0; /* aborts the request */
	if (done->header != NULL)
		done->header(done, data, size * count, begins_head);
	return size * count;
}

/*
 * Starts a request; "done" must stay valid until it is called.  A response whose
 * head breaks off ends with CURLE_PARTIAL_FILE, and so does one that only the end
 * of the connection delimits, before the request was received; one with a line
 * that is not a field ends with CURLE_WEIRD_SERVER_REPLY.
 */
void curl_loop_start(curl_loop_t *client, CURL *handle, curl_done_t *done)
{
	curl_transfer_t *transfer = transfer_of(handle);

	transfer->done = done;
	transfer->next = client->transfers;
	transfer->prev_next = &client->transfers;
	if (transfer->next != NULL)
		transfer->next->prev_next = &transfer->next;
	client->transfers = transfer;
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header_line);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, transfer);
	curl_multi_add_handle(client->multi, handle);
}

/* Aborts a request; its callback gets CURLE_ABORTED_BY_CALLBACK. */
void curl_loop_cancel(curl_loop_t *client, CURL *handle)
{
	end_transfer(client, handle, CURLE_ABORTED_BY_CALLBACK);
}
