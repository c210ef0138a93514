/* Common code of the HTTP listeners for operators and for metrics. */
#include "wisteria/admin/admin_http.h"

#include <string.h>

#include <sys/socket.h>

#include "wisteria/base/err.h"
#include "wisteria/net/net.h"

#define HTTP_CONNECTIONS_MAX 256
#define HTTP_IDLE_S 30

static void no_completion(void *owner, struct MHD_Connection *connection,
			  void **context, enum MHD_RequestTerminationCode code)
{
	(void)owner;
	(void)connection;
	(void)context;
	(void)code;
}

/*
 * Listens on "address" and handles requests on one thread, which libmicrohttpd
 * runs.  "on_completed" may be NULL.  Connections may be suspended.
 */
struct MHD_Daemon *admin_http_start(const char *address,
				    MHD_AccessHandlerCallback on_request,
				    MHD_RequestCompletedCallback on_completed,
				    void *owner, err_t *err)
{
	struct sockaddr_storage parsed;
	struct MHD_Daemon *daemon;
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_SUSPEND_RESUME;

	if (!net_parse_address(address, &parsed, err))
		return NULL;
	if (parsed.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, on_request, owner, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&parsed, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed == NULL ? no_completion : on_completed, owner,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)HTTP_CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)HTTP_IDLE_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (daemon == NULL)
		err_set(err, ERR_IO, "http_listen", address, "cannot listen");
	return daemon;
}

/* Queues a response and takes ownership of its body. */
enum MHD_Result admin_http_respond(struct MHD_Connection *connection,
				   const admin_http_response_t *response)
{
	struct MHD_Response *mhd_response = MHD_create_response_from_buffer(
		strlen(response->body), response->body, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result;

	MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE,
				response->type);
	if (response->retry_after != NULL)
		MHD_add_response_header(mhd_response,
					MHD_HTTP_HEADER_RETRY_AFTER,
					response->retry_after);
	result = MHD_queue_response(connection, response->status, mhd_response);
	MHD_destroy_response(mhd_response);
	return result;
}

/* Returns the bound port, which the system chose if port 0 was requested. */
unsigned admin_http_port(struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info == NULL ? 0 : info->port;
}
