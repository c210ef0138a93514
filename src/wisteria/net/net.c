/*
 * The connections of one event loop: addresses, the cluster key, and the
 * timer that drives heartbeats and reconnection.
 */
#include "wisteria/net/net.h"

#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>
#include <glib.h>
#include <linux/sockios.h>
#include <sodium.h>
#include <sys/ioctl.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"

/*
 * Parses "IP:PORT" or "[IPV6]:PORT".  Host names are refused: processes
 * address each other by IP number.
 */
bool net_parse_address(const char *text, struct sockaddr_storage *address,
		       err_t *err)
{
	const char *colon = strrchr(text, ':');
	char host[INET6_ADDRSTRLEN + 2];
	guint64 port;
	size_t len;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL)) {
		err_set(err, ERR_INVALID, "parse_address", text,
			"expected IP:PORT");
		return false;
	}
	len = (size_t)(colon - text);
	if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	if (len >= sizeof(host)) {
		err_set(err, ERR_INVALID, "parse_address", "",
			"address too long");
		return false;
	}
	memcpy(host, text, len);
	host[len] = '\0';
	memset(address, 0, sizeof(*address));
	if (uv_ip4_addr(host, (int)port, (struct sockaddr_in *)address) == 0)
		return true;
	if (uv_ip6_addr(host, (int)port, (struct sockaddr_in6 *)address) == 0)
		return true;
	err_set(err, ERR_INVALID, "parse_address", host,
		"not an IP number; host names are not taken");
	return false;
}

/* Reads a cluster key: a file of 64 hexadecimal digits. */
bool net_load_key(const char *path, uint8_t key[NET_KEY_BYTES], err_t *err)
{
	gchar *text = NULL;
	gsize len = 0;
	size_t key_len = 0;
	int status;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		err_set(err, ERR_IO, "load_key", path, "cannot read the file");
		return false;
	}
	status = sodium_hex2bin(key, NET_KEY_BYTES, text, len, " \r\n",
				&key_len, NULL);
	sodium_memzero(text, len);
	g_free(text);
	if (status != 0 || key_len != NET_KEY_BYTES) {
		err_set(err, ERR_INVALID, "load_key", path,
			"expected 64 hexadecimal digits");
		return false;
	}
	return true;
}

/*
 * Extends all timeouts by the time that our own loop was blocked: data that
 * arrived meanwhile has not been read yet.
 */
static void extend_timeouts(net_t *net, clock_ms_t delay)
{
	conn_t *conn;

	LIST_FOREACH(conn, &net->conns, entry)
	conn_extend_timeouts(conn, delay);
}

static void on_tick(uv_timer_t *timer)
{
	net_t *net = timer->data;
	clock_ms_t now = clock_now(net->clock);
	clock_ms_t delay = now - net->last_tick_ms - NET_TICK_MS;
	conn_t *conn = LIST_FIRST(&net->conns);
	link_t *link;

	net->last_tick_ms = now;
	if (delay > NET_LATE_TICK_MS)
		extend_timeouts(net, delay);
	while (conn != NULL) {
		conn_t *next = LIST_NEXT(conn, entry);

		conn_tick(conn, now);
		conn = next;
	}
	LIST_FOREACH(link, &net->links, entry)
	link_tick(link, now);
}

/*
 * Writes the queued messages of all connections to their sockets now instead of
 * at the end of the loop iteration.
 */
void net_flush(net_t *net)
{
	while (!LIST_EMPTY(&net->unflushed))
		conn_flush(LIST_FIRST(&net->unflushed));
}

static void on_flush(uv_prepare_t *prepare)
{
	net_flush(prepare->data);
}

/* Initializes "net" on "loop"; called on the loop's thread. */
void net_init(net_t *net, uv_loop_t *loop, const clock_source_t *clock,
	      const char *instance, const char *failure_domain,
	      uint64_t incarnation, const uint8_t key[NET_KEY_BYTES])
{
	memset(net, 0, sizeof(*net));
	net->loop = loop;
	net->clock = clock;
	net->incarnation = incarnation;
	net->last_tick_ms = clock_now(clock);
	snprintf(net->instance, sizeof(net->instance), "%s", instance);
	snprintf(net->failure_domain, sizeof(net->failure_domain), "%s",
		 failure_domain);
	memcpy(net->key, key, NET_KEY_BYTES);
	LIST_INIT(&net->conns);
	LIST_INIT(&net->unflushed);
	LIST_INIT(&net->links);
	uv_timer_init(loop, &net->tick);
	net->tick.data = net;
	uv_timer_start(&net->tick, on_tick, NET_TICK_MS, NET_TICK_MS);
	uv_prepare_init(loop, &net->flush);
	net->flush.data = net;
	uv_prepare_start(&net->flush, on_flush);
}

/*
 * Returns whether the peer's system has acknowledged all bytes that the kernel
 * took for TCP socket "fd".  The end of a stream acknowledges all that its sender
 * has received.
 */
bool net_is_acknowledged(int fd)
{
	int unacknowledged;

	return ioctl(fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

/*
 * Closes all connections without calling their handlers.  "net" may be freed
 * once the loop has run to its end.
 */
void net_close(net_t *net)
{
	const err_t why = { .code = ERR_CLOSED };

	net->closing = true;
	while (!LIST_EMPTY(&net->conns))
		conn_close(LIST_FIRST(&net->conns), &why);
	uv_close((uv_handle_t *)&net->tick, NULL);
	uv_close((uv_handle_t *)&net->flush, NULL);
	sodium_memzero(net->key, sizeof(net->key));
}
