/* Counters and gauges of the process, updated without locks by any thread. */
#include "wisteria/base/counters.h"

#include <inttypes.h>

#include <ck_pr.h>

typedef struct {
	const char *name;
	const char *type;
	const char *help;
} counter_info_t;

static const counter_info_t counter_info[COUNTER_COUNT] = {
	[COUNTER_REQUESTS] = { "requests_total", "counter",
			       "Model requests taken from callers." },
	[COUNTER_REQUESTS_REFUSED] = { "requests_refused_total", "counter",
				       "Requests answered with a refusal." },
	[COUNTER_CALLERS_GONE] = { "callers_gone_total", "counter",
				   "Callers that left before the end." },
	[COUNTER_TOKENS_DELIVERED] = { "tokens_delivered_total", "counter",
				       "Tokens handed to callers." },
	[COUNTER_ATTEMPTS] = { "attempts_total", "counter",
			       "Attempts started for model requests." },
	[COUNTER_RECOVERIES] = { "recoveries_total", "counter",
				 "Attempts that replaced a failed one." },
	[COUNTER_CALLS] = { "calls_total", "counter", "Plain service calls." },
	[COUNTER_STEPS_RUN] = { "steps_run_total", "counter",
				"Steps run by engines." },
	[COUNTER_STEPS_REPEATED] = { "steps_repeated_total", "counter",
				     "Repeated steps answered from store." },
	[COUNTER_STEPS_REFUSED] = { "steps_refused_total", "counter",
				    "Steps refused: old attempt or order." },
	[COUNTER_FRAMES_IN] = { "frames_in_total", "counter",
				"Frames received." },
	[COUNTER_FRAMES_OUT] = { "frames_out_total", "counter",
				 "Frames sent." },
	[COUNTER_BYTES_IN] = { "bytes_in_total", "counter",
			       "Bytes received in frames." },
	[COUNTER_BYTES_OUT] = { "bytes_out_total", "counter",
				"Bytes sent in frames." },
	[COUNTER_CONNECTIONS_SILENT] = { "connections_silent_total", "counter",
					 "Connections left as silent." },
	[COUNTER_CONNECTIONS_REFUSED] = { "connections_refused_total",
					  "counter",
					  "Connections closed for bad "
					  "frames or keys." },
	[COUNTER_RENEWALS] = { "renewals_total", "counter",
			       "Lease renewals granted or received." },
	[COUNTER_CONTROL_BYTES_IN] = { "control_bytes_in_total", "counter",
				       "Bytes received for control." },
	[COUNTER_CONTROL_BYTES_OUT] = { "control_bytes_out_total", "counter",
					"Bytes sent for control." },
	[COUNTER_ORDERS] = { "orders_total", "counter",
			     "Operators' orders answered." },
	[COUNTER_LOG_APPENDS] = { "log_appends_total", "counter",
				  "Entries appended to the log." },
	[COUNTER_LOG_SYNCS] = { "log_syncs_total", "counter",
				"Syncs of the log file." },
	[COUNTER_GATEWAY_REQUESTS] = { "gateway_requests_total", "counter",
				       "Requests of callers, all of them." },
	[COUNTER_GATEWAY_ANSWERED] = { "gateway_answered_total", "counter",
				       "Requests answered by an endpoint." },
	[COUNTER_GATEWAY_REFUSED] = { "gateway_refused_total", "counter",
				      "Requests that were not run." },
	[COUNTER_GATEWAY_FAILED] = { "gateway_failed_total", "counter",
				     "Requests that failed and may have "
				     "run." },
	[COUNTER_GATEWAY_SENDS] = { "gateway_sends_total", "counter",
				    "Requests sent to endpoints." },
	[COUNTER_GATEWAY_FAILED_SENDS] = { "gateway_failed_sends_total",
					   "counter",
					   "Sends without a good answer." },
	[COUNTER_GATEWAY_RETRIES] = { "gateway_retries_total", "counter",
				      "Attempts after the first, counted "
				      "against the retry budget." },
	[COUNTER_GATEWAY_UNCOUNTED_RETRIES] = { "gateway_uncounted_retries_"
						"total",
						"counter",
						"Attempts after the first of "
						"requests that no endpoint "
						"received." },
	[COUNTER_GATEWAY_RETRIES_DENIED] = { "gateway_retries_denied_total",
					     "counter",
					     "Attempts not made because the "
					     "retry budget was spent." },
	[COUNTER_GATEWAY_STALLS] = { "gateway_stalls_total", "counter",
				     "Silent streams taken up elsewhere." },
	[COUNTER_GATEWAY_CLOSED_OPEN] = { "gateway_closed_open_total",
					  "counter",
					  "Streams that were closed although "
					  "the endpoint of an attempt had not "
					  "ended it." },
	[COUNTER_PIPELINES_REPAIRED] = { "pipelines_repaired_total", "counter",
					 "Lost endpoints replaced in the "
					 "pipelines of running streams." },
	[COUNTER_PIPELINE_REPAIRS_FAILED] = { "pipeline_repairs_failed_total",
					      "counter",
					      "Repairs of pipelines that were "
					      "refused, not answered or not "
					      "possible." },
	[COUNTER_PREFILLED_AGAIN_NOT_RUN] = { "prefilled_again_not_run_tokens_"
					      "total",
					      "counter",
					      "Prompt tokens prefilled again "
					      "since "
					      "an endpoint rejected or "
					      "preempted the request." },
	[COUNTER_PREFILLED_AGAIN_LOST_ENDPOINT] = { "prefilled_again_lost_"
						    "endpoint_tokens_total",
						    "counter",
						    "Prompt tokens prefilled "
						    "again since "
						    "an endpoint was lost." },
	[COUNTER_PREFILLED_AGAIN_SILENT] = { "prefilled_again_silent_tokens_"
					     "total",
					     "counter",
					     "Prompt tokens prefilled again "
					     "since "
					     "a stream was silent." },
	[COUNTER_PREFILLED_AGAIN_ERROR] = { "prefilled_again_error_tokens_"
					    "total",
					    "counter",
					    "Prompt tokens prefilled again "
					    "since "
					    "an endpoint answered with an "
					    "error or not completely." },
	[COUNTER_ENDPOINTS_LEAVING] = { "endpoints_leaving_total", "counter",
					"Endpoints that said in an answer that "
					"they leave." },
	[COUNTER_ENDPOINT_PAUSES] = { "endpoint_pauses_total", "counter",
				      "Answers of endpoints that want nothing "
				      "for a while." },
	[COUNTER_GATEWAY_EVENTS] = { "gateway_events_total", "counter",
				     "Events of streams passed on." },
	[COUNTER_GATEWAY_BROKEN_STREAMS] = { "gateway_broken_streams_total",
					     "counter",
					     "Streams that ended inside an "
					     "event or without one." },
	[COUNTER_GATEWAY_HELD_BACK] = { "gateway_held_back_total", "counter",
					"Times that a stream was not read on "
					"as its caller took too little." },
	[COUNTER_GATEWAY_CRASHES] = { "gateway_crashes_total", "counter",
				      "Answers that ended as they began." },
	[COUNTER_GATEWAY_PART_REFUSALS] = { "gateway_part_refusals_total",
					    "counter",
					    "Requests refused since they, or "
					    "a part of their prompt, crash "
					    "endpoints." },
	[COUNTER_GATEWAY_PROMOTED] = { "gateway_promoted_total", "counter",
				       "requests sent with the most urgent "
				       "rank, for the minimum of their own" },
	[COUNTER_GATEWAY_DISPLACED] = { "gateway_displaced_total", "counter",
					"waiting requests refused for more "
					"urgent ones" },
	[COUNTER_GATEWAY_LIMITED] = { "gateway_limited_total", "counter",
				      "Requests whose best endpoint was at "
				      "the limit that it names." },
	[COUNTER_HTTP_CLOSED_IDLE] = { "http_closed_idle_total", "counter",
				       "Connections closed while idle." },
	[COUNTER_HTTP_CLOSED_UNANSWERED] = { "http_closed_unanswered_total",
					     "counter",
					     "Connections closed with a "
					     "request or response that was "
					     "not complete." },
	[COUNTER_HTTP_REFUSED_UNREAD] = { "http_refused_unread_total",
					  "counter",
					  "Requests refused before they were "
					  "read, as clients together sent too "
					  "much." },
	[COUNTER_PERMITS_ISSUED] = { "permits_issued_total", "counter",
				     "Permits for requests to endpoints that "
				     "name a limit." },
	[COUNTER_RETRIES_GRANTED] = { "retries_granted_total", "counter",
				      "Retries of the reserve granted to "
				      "entries." },
	[COUNTER_HEARTBEATS_REFUSED] = { "heartbeats_refused_total", "counter",
					 "Heartbeats that describe no endpoint "
					 "to use." },
	[COUNTER_HEARTBEATS] = { "heartbeats_total", "counter",
				 "Heartbeats of endpoints taken." },
	[COUNTER_REPORTS_REFUSED] = { "reports_refused_total", "counter",
				      "Reports of endpoints refused as the "
				      "control group was not reached." },
	[COUNTER_REPLICA_MESSAGES_DROPPED] = { "replica_messages_dropped_total",
					       "counter",
					       "Messages of replicas that an "
					       "instance without one "
					       "dropped." },
	[COUNTER_PLACE_ORDERS] = { "place_orders_total", "counter",
				   "Orders to hold layers given." },
	[GAUGE_GATEWAY_OPEN] = { "gateway_open", "gauge",
				 "Requests under way." },
	[GAUGE_GATEWAY_WAITING] = { "gateway_waiting", "gauge",
				    "Requests that wait for a place." },
	[GAUGE_GATEWAY_ANSWER_BYTES] = { "gateway_answer_bytes", "gauge",
					 "Bytes held of unfinished answers." },
	[GAUGE_ENDPOINTS] = { "endpoints", "gauge", "Endpoints known." },
	[GAUGE_PARTS_REFUSED] = { "parts_refused", "gauge",
				  "Parts of prompts, and requests, that "
				  "are refused." },
	[GAUGE_ENDPOINTS_LIMITED] = { "endpoints_limited", "gauge",
				      "Endpoints that name a limit." },
	[GAUGE_LEASE] = { "lease", "gauge",
			  "1 while the revision held is confirmed." },
	[GAUGE_CONTROL_LEADER] = { "control_leader", "gauge",
				   "1 while the leader of the control group "
				   "is known to this replica." },
	[GAUGE_SESSIONS] = { "sessions", "gauge", "Open sessions." },
	[GAUGE_QUEUED] = { "queued", "gauge", "Requests waiting at entry." },
	[GAUGE_REVISION] = { "revision", "gauge",
			     "Configuration revision in force." },
};

static uint64_t counter_values[COUNTER_COUNT];

/* Adds "amount" to a counter. */
void counter_add(counter_t counter, uint64_t amount)
{
	ck_pr_add_64(&counter_values[counter], amount);
}

/* Sets a gauge. */
void counter_set(counter_t counter, uint64_t value)
{
	ck_pr_store_64(&counter_values[counter], value);
}

/* Returns the current value of a counter or gauge. */
uint64_t counter_get(counter_t counter)
{
	return ck_pr_load_64(&counter_values[counter]);
}

/* Writes all counters to "out" in the Prometheus text format. */
void counter_print(FILE *out)
{
	for (size_t i = 0; i < COUNTER_COUNT; i++) {
		const counter_info_t *info = &counter_info[i];

		fprintf(out, "# HELP wisteria_%s %s\n", info->name, info->help);
		fprintf(out, "# TYPE wisteria_%s %s\n", info->name, info->type);
		fprintf(out, "wisteria_%s %" PRIu64 "\n", info->name,
			counter_get((counter_t)i));
	}
}
