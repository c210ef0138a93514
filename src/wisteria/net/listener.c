/* Accepts connections from other wisteriadrift processes. */
#include "wisteria/net/listener.h"

#include <stdio.h>

#include <arpa/inet.h>

#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/net.h"

#define LISTENER_BACKLOG 512

static void set_peer_address(conn_t *conn)
{
	struct sockaddr_storage address;
	int len = sizeof(address);
	char host[INET6_ADDRSTRLEN] = "?";

	if (uv_tcp_getpeername(&conn->tcp, (struct sockaddr *)&address, &len) !=
	    0)
		return;
	if (address.ss_family == AF_INET6)
		uv_ip6_name((struct sockaddr_in6 *)&address, host,
			    sizeof(host));
	else
		uv_ip4_name((struct sockaddr_in *)&address, host, sizeof(host));
	snprintf(conn->peer_address, sizeof(conn->peer_address), "%s", host);
}

static void on_connection(uv_stream_t *server, int status)
{
	listener_t *listener = server->data;
	const err_t why = { .code = ERR_CLOSED };
	conn_t *conn;

	if (status < 0) {
		LOG_WARN("accept_failed", "reason=%s", uv_err_name(status));
		return;
	}
	conn = conn_new(listener->net, listener->handler);
	if (uv_accept(server, (uv_stream_t *)&conn->tcp) != 0) {
		conn_close(conn, &why);
		return;
	}
	set_peer_address(conn);
	conn_start(conn);
}

/* Listens on "address"; returns false if the address cannot be bound. */
bool listener_init(listener_t *listener, net_t *net, const char *address,
		   conn_handler_t *handler, err_t *err)
{
	struct sockaddr_storage socket_address;
	int status;

	if (!net_parse_address(address, &socket_address, err))
		return false;
	listener->net = net;
	listener->handler = handler;
	uv_tcp_init(net->loop, &listener->tcp);
	listener->tcp.data = listener;
	status = uv_tcp_bind(&listener->tcp,
			     (const struct sockaddr *)&socket_address, 0);
	if (status == 0)
		status = uv_listen((uv_stream_t *)&listener->tcp,
				   LISTENER_BACKLOG, on_connection);
	if (status != 0) {
		err_set(err, ERR_IO, "listen", address, "%s",
			uv_strerror(status));
		listener_close(listener);
		return false;
	}
	return true;
}

/* Stops accepting; open connections stay open. */
void listener_close(listener_t *listener)
{
	uv_close((uv_handle_t *)&listener->tcp, NULL);
}
