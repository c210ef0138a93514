/*
 * The entry role on its traffic thread: receives requests from the HTTP
 * threads, authenticates them, and passes them to entry_model.c or
 * entry_call.c.
 */
#include "wisteria/entry/entry.h"

#include <string.h>

#include <ck_pr.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/mailbox.h"
#include "wisteria/base/table.h"
#include "wisteria/control/control_defs.h"
#include "wisteria/control/view.h"
#include "wisteria/entry/call_ledger.h"
#include "wisteria/entry/entry_call.h"
#include "wisteria/entry/entry_defs.h"
#include "wisteria/entry/entry_explain.h"
#include "wisteria/entry/entry_model.h"
#include "wisteria/entry/refusal.h"
#include "wisteria/entry/request.h"
#include "wisteria/settings/preset.h"
#include "wisteria/trace/explain.h"

#define ENTRY_TICK_MS 20

typedef void (*entry_accept_t)(entry_t *entry, request_t *request,
			       const preset_contract_t *contract);

typedef struct {
	task_t task;
	entry_t *entry;
	request_t *request;
} cancel_task_t;

static const entry_accept_t acceptors[] = {
	[REQUEST_COMPLETION] = entry_model_accept,
	[REQUEST_CHAT] = entry_model_accept,
	[REQUEST_CALL] = entry_call_accept,
};

static entry_t *entry_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, entry_t, handler);
}

/*
 * Enters the newest view for one callback of the event loop, and applies what
 * has changed in it.
 */
static void begin_callback(entry_t *entry)
{
	const view_t *view = view_enter(&entry->reader);

	entry->view = view;
	if (view == NULL)
		return;
	if (view->directory_serial != entry->router_directory_serial) {
		entry->router_directory_serial = view->directory_serial;
		router_update(entry->router, view->endpoints,
			      view->endpoint_count, view->leaving,
			      view->leaving_count,
			      clock_now(entry->net->clock));
	}
	if (view->serial != entry->view_serial) {
		entry->view_serial = view->serial;
		entry->revision = view->revision;
		entry_model_on_new_view(entry);
	}
}

static void end_callback(entry_t *entry)
{
	entry_model_free_ended(entry);
	entry_call_free_ended(entry);
	entry->view = NULL;
	view_exit(&entry->reader);
	counter_set(GAUGE_SESSIONS, g_hash_table_size(entry->jobs));
	counter_set(GAUGE_QUEUED, admission_queue_length(entry->admission));
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	entry_t *entry = entry_of(handler);

	begin_callback(entry);
	entry_model_on_agent_up(entry, conn->peer_address);
	entry_call_on_agent_up(entry, conn);
	end_callback(entry);
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	entry_t *entry = entry_of(handler);

	(void)why;
	begin_callback(entry);
	entry_model_on_agent_down(entry, conn->peer_address);
	entry_call_on_agent_down(entry, conn);
	end_callback(entry);
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	entry_t *entry = entry_of(handler);

	(void)conn;
	begin_callback(entry);
	if (!entry_model_on_message(entry, msg) && msg->type == MSG_CALL_REPLY)
		entry_call_on_reply(entry, msg->body);
	end_callback(entry);
}

static void on_ledger_reply(ledger_reply_handler_t *reply_handler,
			    const msg_ledger_reply_t *reply)
{
	entry_t *entry =
		CONTAINER_OF(reply_handler, entry_t, ledger_reply_handler);

	begin_callback(entry);
	call_ledger_on_reply(entry, reply);
	end_callback(entry);
}

static void on_tick(uv_timer_t *timer)
{
	entry_t *entry = timer->data;
	clock_ms_t now = clock_now(entry->net->clock);

	ledger_client_tick(&entry->ledger, now);
	begin_callback(entry);
	entry_model_tick(entry, now);
	entry_call_tick(entry, now);
	end_callback(entry);
}

static void refuse(entry_t *entry, request_t *request, err_code_t code,
		   const char *step, const char *reason,
		   clock_ms_t retry_after_ms)
{
	entry_refusal_t refusal = {
		.not_run = true,
		.retry_after_ms = retry_after_ms,
	};

	err_set(&refusal.err, code, step, entry->net->instance, "%s", reason);
	refusal_send(request, &refusal, entry->view);
}

static bool has_lease(const entry_t *entry)
{
	return entry->view != NULL && entry->view->preset != NULL &&
	       clock_now(entry->net->clock) < entry->view->lease_until_ms;
}

static void accept_request(entry_t *entry, request_t *request)
{
	const preset_contract_t *contract;

	if (request->kind == REQUEST_EXPLAIN) {
		entry_explain_accept(entry, request);
		return;
	}
	if (!has_lease(entry)) {
		refuse(entry, request, ERR_UNAVAILABLE, "lease",
		       "this entry is cut off from control and takes no work",
		       LEASE_MS);
		return;
	}
	contract = preset_find_contract_by_key(entry->view->preset,
					       request->api_key);
	if (contract == NULL) {
		refuse(entry, request, ERR_AUTH, "authenticate",
		       "unknown API key", 0);
		return;
	}
	if (request->kind >= ARRAY_SIZE(acceptors)) {
		refuse(entry, request, ERR_NOT_FOUND, "route", "not served", 0);
		return;
	}
	acceptors[request->kind](entry, request, contract);
}

static void run_request(task_t *task)
{
	request_t *request = CONTAINER_OF(task, request_t, task);
	entry_t *entry = request->entry;

	counter_add(COUNTER_REQUESTS, 1);
	begin_callback(entry);
	accept_request(entry, request);
	end_callback(entry);
	request_unref(request);
	ck_pr_dec_32(&entry->posted_tasks);
}

/* Posts a completely read request to the traffic thread. */
void entry_post(entry_t *entry, request_t *request)
{
	ck_pr_inc_32(&entry->posted_tasks);
	request_ref(request);
	request->task.run = run_request;
	mailbox_post(entry->mailbox, &request->task);
}

static void run_cancel(task_t *task)
{
	cancel_task_t *cancel = CONTAINER_OF(task, cancel_task_t, task);
	entry_t *entry = cancel->entry;

	begin_callback(entry);
	entry_model_on_cancel(entry, cancel->request);
	entry_call_on_cancel(entry, cancel->request);
	end_callback(entry);
	request_unref(cancel->request);
	g_free(cancel);
	ck_pr_dec_32(&entry->posted_tasks);
}

/* Notifies the traffic thread that the caller of "request" has disconnected. */
void entry_cancel(entry_t *entry, request_t *request)
{
	cancel_task_t *cancel = g_new0(cancel_task_t, 1);

	ck_pr_inc_32(&entry->posted_tasks);
	cancel->entry = entry;
	cancel->request = request_ref(request);
	cancel->task.run = run_cancel;
	mailbox_post(entry->mailbox, &cancel->task);
}

/*
 * Fills "demand", of "max" records, with the demand for sessions of each
 * contract at this entry; returns the number of records.
 */
size_t entry_demand(const entry_t *entry, msg_share_t *demand, size_t max)
{
	return admission_demand(entry->admission, demand, max);
}

/* Returns whether no request is in progress. */
bool entry_is_idle(const entry_t *entry)
{
	return ck_pr_load_32(&entry->posted_tasks) == 0 &&
	       g_hash_table_size(entry->jobs) == 0 &&
	       g_hash_table_size(entry->calls) == 0 &&
	       ledger_client_pending(&entry->ledger) == 0;
}

/* Starts the entry role on the loop of "net"; "tracer" may be NULL. */
entry_t *entry_new(net_t *net, const settings_t *settings, view_board_t *board,
		   mailbox_t *mailbox, trace_writer_t *tracer)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->handler.opened = on_opened;
	entry->handler.message = on_message;
	entry->handler.closed = on_closed;
	entry->net = net;
	entry->settings = settings;
	entry->mailbox = mailbox;
	entry->tracer = tracer;
	view_reader_init(&entry->reader, board);
	entry->router = router_new(settings->region, settings->failure_domain,
				   (uint32_t)net->incarnation);
	agent_links_init(&entry->links, net, &entry->handler);
	entry->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	table_init(&entry->job_handles, sizeof(job_t *));
	entry->admission = admission_new();
	entry->ended_jobs = g_ptr_array_new();
	entry->ended_calls = g_ptr_array_new();
	entry->ledger_reply_handler.replied = on_ledger_reply;
	ledger_client_init(&entry->ledger, net, settings,
			   &entry->ledger_reply_handler);
	entry_model_init(entry);
	entry_explain_init(entry);
	uv_timer_init(net->loop, &entry->tick);
	entry->tick.data = entry;
	uv_timer_start(&entry->tick, on_tick, ENTRY_TICK_MS, ENTRY_TICK_MS);
	return entry;
}

static void on_tick_closed(uv_handle_t *handle)
{
	entry_t *entry = handle->data;

	router_free(entry->router);
	g_hash_table_destroy(entry->jobs);
	g_hash_table_destroy(entry->calls);
	table_finish(&entry->job_handles);
	admission_free(entry->admission);
	g_ptr_array_free(entry->ended_jobs, TRUE);
	g_ptr_array_free(entry->ended_calls, TRUE);
	explain_log_finish(&entry->explanations);
	g_free(entry);
}

/*
 * Stops the role, which must be idle; called before its net is closed.  Its
 * memory is freed when the loop has closed its handles.
 */
void entry_free(entry_t *entry)
{
	if (entry == NULL)
		return;
	ledger_client_finish(&entry->ledger);
	agent_links_finish(&entry->links);
	view_reader_finish(&entry->reader);
	uv_close((uv_handle_t *)&entry->tick, on_tick_closed);
}
