/*
 * A randomized soak test of the fleet roles: three control instances and two or
 * more entries as processes, simulated endpoints behind relays, and clients with
 * persistent connections.  The seed determines the random faults, several of
 * which can overlap: processes are stopped, killed, paused and reloaded, a disk
 * is lost, also while all others end, connections are delayed, cut and silenced,
 * endpoints crash, shed and drop requests, break answers off and send bytes that
 * are no answer.  Configurations change meanwhile.
 *
 * It checks what clients and endpoints observe:
 *   - a client receives only its own stream, in order and without duplicates;
 *   - a booking runs at most once, and not at all if it was refused;
 *   - a read never returns a configuration older than an acknowledged one;
 *   - planned operations alone interrupt no request;
 *   - no process exits unexpectedly;
 *   - at the end requests are served and the configuration still exists.
 *
 * Prints the seed at the end.  After a violation it exits with 1 and keeps the
 * logs.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "harness/fake_endpoint.h"
#include "harness/harness.h"
#include "harness/http.h"
#include "harness/relay.h"
#include "wisteria/base/clock.h"
#include "wisteria/base/macros_defs.h"

#define CONTROLS 3
#define ENTRIES_DEFAULT 2
#define ENTRIES_MAX 100
#define WRITER_ENDPOINTS 4
#define ORDER_ENDPOINTS 3
#define ENDPOINTS (WRITER_ENDPOINTS + ORDER_ENDPOINTS)
#define FAULTS_MAX 3
#define SECONDS_DEFAULT 12
/*
 * Mean intervals between requests, faults, changes and reads; the first two for
 * ENTRIES_DEFAULT entries.
 */
#define REQUEST_INTERVAL_MS 70
#define FAULT_INTERVAL_MS 700
#define CHANGE_INTERVAL_MS 900
#define READ_INTERVAL_MS 300
/* Phases of this length alternate: only planned operations, then any fault. */
#define PHASE_MS 5000
/* A process that is still loading has no signal handlers; SIGHUP ends it. */
#define LOADING_MS 1000
/* An unplanned fault may still affect requests sent within this time of it. */
#define FAULT_EFFECT_MS 3000
/* Reads sent this long after an acknowledgement must include the change. */
#define APPLY_MS 2000

/* Share of the streams whose prompt has a part that crashes endpoints. */
#define CRASHING_SHARE 0.1
/* Crashes after which such a part must be known, and requests beyond. */
#define CRASHES_MAX 5
#define LATE_REQUESTS_MAX 3

/* What an endpoint takes in a second, and what is tolerated of all entries. */
#define REQUEST_LIMIT "5"
#define LIMIT_WINDOW_US (4 * G_USEC_PER_SEC)
#define LIMIT_WINDOW_RUNS_MAX (5 * 4 * 3 / 2 + 5)
#define LIMIT_LEARNED_US (3 * G_USEC_PER_SEC)
#define LIMITED_REQUESTS 400
#define LIMITED_INTERVAL_MS 20
/* Requests in a row that show that no limit is in force any more. */
#define UNLIMITED_REQUESTS 12

typedef enum {
	KIND_CHAT,
	KIND_CRASHING, /* KIND_CHAT with a part that crashes endpoints */
	KIND_BOOKING,
	KIND_ENDING, /* KIND_BOOKING that ends the endpoint that runs it */
	KIND_CHANGE,
	KIND_READ
} request_kind_t;

/* One request of a client and what is needed to check its response. */
typedef struct {
	request_kind_t kind;
	char id[32];
	clock_ms_t sent_ms;
	unsigned version; /* of a change; oldest that a read may return */
	unsigned target;  /* index of the instance it was sent to */
} sent_request_t;

typedef struct {
	harness_process_t *process;
	const char *address; /* for clients (entry) or operators (control) */
	const char *name;
	clock_ms_t resume_ms; /* end of its pause; 0: not paused */
	bool stopping;	      /* signalled to end; restarted once it has */
	bool erase_disk;      /* erase its data before the restart */
	clock_ms_t started_ms;
} instance_t;

typedef struct {
	fake_endpoint_t fake_endpoint;
	relay_t *relay;
	char id[16];
	bool is_running;
	unsigned born;	      /* its incarnation that the relay leads to */
	clock_ms_t repair_ms; /* when its fault ends; 0: no fault */
} soak_endpoint_t;

typedef struct {
	harness_t harness;
	http_client_t client;
	GRand *random;
	clock_ms_t now_ms;
	instance_t controls[CONTROLS];
	instance_t entries[ENTRIES_MAX];
	unsigned entry_count;
	const char *control_addresses[CONTROLS + 1];
	const char *control_ips[CONTROLS];
	unsigned peer_port;
	soak_endpoint_t endpoints[ENDPOINTS];
	unsigned endpoints_started;
	fake_endpoint_journal_t journal;
	GHashTable *bookings; /* ids of all bookings sent */
	GHashTable *refused;  /* ids of bookings refused as not run */
	unsigned requests;
	unsigned version;	       /* newest configuration sent */
	unsigned acknowledged_version; /* newest configuration acknowledged */
	clock_ms_t acknowledged_ms;
	unsigned settled_version; /* newest acknowledged for APPLY_MS */
	clock_ms_t unplanned_ms;  /* last time with an unplanned fault */
	bool disk_was_lost;
	unsigned served;
	unsigned faults;
	unsigned violations;
} soak_t;

static void report_violation(soak_t *soak, const char *property,
			     const sent_request_t *sent, const char *seen)
{
	soak->violations++;
	printf("BROKEN at %" G_GINT64_FORMAT
	       " ms: %s: request %s to instance %u, sent at %" G_GINT64_FORMAT
	       ": %s\n",
	       soak->now_ms, property, sent->id, sent->target, sent->sent_ms,
	       seen);
}

/* Returns true with the given probability. */
static bool random_chance(soak_t *soak, double probability)
{
	return g_rand_double(soak->random) < probability;
}

/* Returns a random number from 0 to below - 1. */
static unsigned random_below(soak_t *soak, unsigned below)
{
	return (unsigned)g_rand_int_range(soak->random, 0, (gint32)below);
}

/* Draws whether an event with this mean interval occurs in the elapsed time. */
static bool is_due(soak_t *soak, clock_ms_t elapsed_ms, double mean_ms)
{
	return random_chance(soak, (double)elapsed_ms / mean_ms);
}

/* Returns an interval that is inversely proportional to the entries. */
static double interval_per_entry(const soak_t *soak, double mean_ms)
{
	return mean_ms * ENTRIES_DEFAULT / soak->entry_count;
}

/* Settings and processes. */

static void write_settings(soak_t *soak, const char *name, const char *role,
			   const char *ip, const char *addresses)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "instance: %s\nfailure_domain: z1\n"
			       "region: here\nlog_level: info\n"
			       "roles: [%s]\nfleet:\n%s"
			       "  peer_listen: \"%s:%u\"\n  stop_s: 8\n"
			       "  seeds:\n",
			       name, role, addresses, ip, soak->peer_port);
	for (int i = 0; i < CONTROLS; i++)
		g_string_append_printf(text, "    - \"%s\"\n",
				       soak->control_addresses[i]);
	harness_write_file(&soak->harness,
			   harness_string(&soak->harness, "%s.yaml", name),
			   text->str);
	g_string_free(text, TRUE);
}

static void write_control(soak_t *soak, int i, bool bootstrap)
{
	instance_t *control = &soak->controls[i];
	char *addresses = g_strdup_printf(
		"  control_listen: \"%s\"\n  data_dir: \"%s\"\n"
		"  bootstrap: %s\n",
		control->address, harness_path(&soak->harness, control->name),
		bootstrap ? "true" : "false");

	write_settings(soak, control->name, "fleet_control",
		       soak->control_ips[i], addresses);
	g_free(addresses);
}

static void start_process(soak_t *soak, instance_t *instance)
{
	const char *argv[] = {
		harness_program(&soak->harness, "wisteriad"), "--config",
		harness_path(&soak->harness,
			     harness_string(&soak->harness, "%s.yaml",
					    instance->name)),
		NULL
	};

	instance->process = harness_start(&soak->harness, instance->name, argv);
}

/* Gives every control instance its own IP address, with the same ports. */
static void assign_addresses(soak_t *soak)
{
	const char *first = harness_address(&soak->harness);
	const char *port = strrchr(first, ':') + 1;
	const char *rest = strchr(strchr(soak->harness.ip, '.') + 1, '.');

	soak->peer_port = (unsigned)atoi(
		strrchr(harness_address(&soak->harness), ':') + 1);
	for (int i = 0; i < CONTROLS; i++) {
		instance_t *control = &soak->controls[i];

		soak->control_ips[i] =
			harness_string(&soak->harness, "127.%d%s", i + 1, rest);
		control->address = harness_string(&soak->harness, "%s:%s",
						  soak->control_ips[i], port);
		control->name =
			harness_string(&soak->harness, "control-%d", i + 1);
		soak->control_addresses[i] = control->address;
	}
	for (unsigned i = 0; i < soak->entry_count; i++) {
		instance_t *entry = &soak->entries[i];

		entry->address = harness_address(&soak->harness);
		entry->name = harness_string(&soak->harness, "entry-%u", i + 1);
	}
}

static void start_all(soak_t *soak)
{
	for (int i = 0; i < CONTROLS; i++) {
		write_control(soak, i, true);
		start_process(soak, &soak->controls[i]);
	}
	for (unsigned i = 0; i < soak->entry_count; i++) {
		instance_t *entry = &soak->entries[i];
		char *addresses = g_strdup_printf(
			"  front_listen: \"%s\"\n  ready_listen: \"%s\"\n",
			entry->address, harness_address(&soak->harness));

		write_settings(soak, entry->name, "fleet_entry",
			       soak->harness.ip, addresses);
		g_free(addresses);
		start_process(soak, entry);
	}
}

/* Endpoints. */

static void start_endpoint(soak_t *soak, unsigned i)
{
	soak_endpoint_t *endpoint = &soak->endpoints[i];

	g_snprintf(endpoint->id, sizeof(endpoint->id), "i-%u",
		   ++soak->endpoints_started);
	fake_endpoint_listen(
		&endpoint->fake_endpoint, endpoint->id,
		i < WRITER_ENDPOINTS ? "writer" : "orders", soak->harness.ip,
		soak->control_addresses[i % CONTROLS], FAKE_ENDPOINT_SERVE);
	endpoint->relay =
		relay_new(&soak->harness, endpoint->fake_endpoint.address);
	endpoint->fake_endpoint.advertised_address =
		relay_address(endpoint->relay);
	endpoint->fake_endpoint.fallback_controls = soak->control_addresses;
	endpoint->fake_endpoint.journal = &soak->journal;
	endpoint->fake_endpoint.crashes_on_bad_part = i < WRITER_ENDPOINTS;
	endpoint->fake_endpoint.ends_on_bad_request = i >= WRITER_ENDPOINTS;
	endpoint->born = endpoint->fake_endpoint.born;
	fake_endpoint_start_threads(&endpoint->fake_endpoint);
	endpoint->is_running = true;
	endpoint->repair_ms = 0;
}

static void stop_endpoint(soak_endpoint_t *endpoint, bool deregister)
{
	if (!endpoint->is_running)
		return;
	if (deregister)
		fake_endpoint_stop(&endpoint->fake_endpoint);
	else
		fake_endpoint_crash(&endpoint->fake_endpoint);
	relay_free(endpoint->relay);
	endpoint->is_running = false;
}

/* Requests. */

static http_request_t *send_request(soak_t *soak, request_kind_t kind,
				    const instance_t *to, unsigned target,
				    const char *path, const char *body)
{
	sent_request_t *sent = g_new0(sent_request_t, 1);
	http_params_t params = { .body = body };
	http_request_t *request;
	const char *headers[5] = { "Host: shop.example", NULL };
	char *parts_line;
	char *id_line;
	char *url;

	sent->kind = kind;
	sent->sent_ms = soak->now_ms;
	sent->target = target;
	g_snprintf(sent->id, sizeof(sent->id), "r%u", ++soak->requests);
	id_line = g_strdup_printf("X-Wisteriadrift-Request-Id: %s", sent->id);
	headers[1] = id_line;
	headers[2] = "X-Wisteriadrift-Deadline-Ms: 6000";
	parts_line = g_strdup_printf(
		"X-Wisteriadrift-Prefix-Hash: aa:9,%s%x:9",
		kind == KIND_CRASHING ? FAKE_ENDPOINT_BAD_PART ":9," : "",
		soak->requests);
	/* Repetitions of one request have the same prompt, here none. */
	headers[3] = kind == KIND_ENDING ? NULL : parts_line;
	url = g_strdup_printf("http://%s%s", to->address, path);
	params.url = url;
	params.headers = headers;
	request = http_send(&soak->client, &params);
	request->user = sent;
	if (kind == KIND_BOOKING)
		g_hash_table_add(soak->bookings, g_strdup(sent->id));
	g_free(parts_line);
	g_free(id_line);
	g_free(url);
	return request;
}

static char *make_configuration(unsigned version)
{
	return g_strdup_printf(
		"{\"version\":%u,\"routes\":["
		"{\"name\":\"chat\",\"host\":\"shop.example\","
		"\"pathPrefix\":\"/chat/\",\"kind\":\"stream\","
		"\"timeoutMs\":6000,\"goalMs\":3000,\"priority\":1,"
		"\"service\":\"writer\",\"maxAttempts\":3,"
		"\"allowAnonymous\":true,\"sticky\":false,"
		"\"streamResume\":true,\"gapGoalMs\":500},"
		"{\"name\":\"book\",\"host\":\"shop.example\","
		"\"pathPrefix\":\"/book/\",\"kind\":\"non_idempotent\","
		"\"timeoutMs\":6000,\"goalMs\":3000,\"priority\":0,"
		"\"service\":\"orders\",\"maxAttempts\":2,"
		"\"allowAnonymous\":true},"
		"{\"name\":\"idle\",\"host\":\"shop.example\","
		"\"pathPrefix\":\"/idle%u/\",\"kind\":\"idempotent\","
		"\"timeoutMs\":6000,\"goalMs\":3000,\"priority\":0,"
		"\"service\":\"orders\",\"maxAttempts\":2,"
		"\"allowAnonymous\":true}],\"services\":["
		"{\"name\":\"writer\",\"healthPath\":\"/health\","
		"\"maxConns\":50,\"protocol\":\"h1\",\"tls\":false},"
		"{\"name\":\"orders\",\"healthPath\":\"/health\","
		"\"maxConns\":50,\"protocol\":\"h1\",\"tls\":false}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,"
		"\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}}",
		version, version);
}

static void send_change(soak_t *soak, const char *to_address, unsigned version,
			unsigned target)
{
	const instance_t to = { .address = to_address };
	char *body = make_configuration(version);
	http_request_t *request =
		send_request(soak, KIND_CHANGE, &to, target,
			     "/wisteriadrift/config/replace", body);

	((sent_request_t *)request->user)->version = version;
	g_free(body);
}

static void send_read(soak_t *soak)
{
	unsigned target = random_below(soak, CONTROLS);
	http_request_t *request =
		send_request(soak, KIND_READ, &soak->controls[target], target,
			     "/wisteriadrift/config/get", NULL);

	((sent_request_t *)request->user)->version = soak->settled_version;
}

static http_request_t *send_service_request(soak_t *soak, bool is_booking)
{
	unsigned target = random_below(soak, soak->entry_count);
	request_kind_t kind = is_booking ? KIND_BOOKING
			      : random_chance(soak, CRASHING_SHARE)
				      ? KIND_CRASHING
				      : KIND_CHAT;

	return send_request(soak, kind, &soak->entries[target], target,
			    is_booking ? "/book/1" : "/chat/1", "7 bolts");
}

/* Checks of responses. */

static char *expected_response(const sent_request_t *sent)
{
	GString *expected = g_string_new(NULL);

	for (unsigned i = 0; i < FAKE_ENDPOINT_EVENTS; i++)
		g_string_append_printf(expected,
				       "id: %u\ndata: word%u of %s\n\n", i, i,
				       sent->id);
	return g_string_free(expected, FALSE);
}

static bool is_refusal(long status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Returns whether no unplanned fault can have affected the request. */
static bool had_planned_operations_only(const soak_t *soak,
					const sent_request_t *sent)
{
	return sent->sent_ms - soak->unplanned_ms >= FAULT_EFFECT_MS;
}

static void check_service_response(soak_t *soak, const sent_request_t *sent,
				   const http_request_t *request)
{
	char *expected = expected_response(sent);
	bool complete = request->result == CURLE_OK;

	if (request->status == 200) {
		if (!g_str_has_prefix(expected, request->body->str))
			report_violation(
				soak,
				"stream belongs to the request and is in order",
				sent, request->body->str);
		else if (complete && strcmp(expected, request->body->str) != 0)
			report_violation(soak, "response is complete", sent,
					 request->body->str);
		else
			soak->served += complete;
	}
	if (sent->kind == KIND_BOOKING && is_refusal(request->status))
		g_hash_table_add(soak->refused, g_strdup(sent->id));
	if (!complete && request->headers->len > 0 &&
	    had_planned_operations_only(soak, sent))
		report_violation(soak,
				 "planned operations interrupt no request",
				 sent, curl_easy_strerror(request->result));
	g_free(expected);
}

static void check_read(soak_t *soak, const sent_request_t *sent,
		       const http_request_t *request)
{
	const char *at = strstr(request->body->str, "\"version\":");
	unsigned version;

	if (request->result != CURLE_OK || request->status != 200)
		return;
	version = at == NULL ? 0 : (unsigned)strtoul(at + 10, NULL, 10);
	if (version < sent->version || version > soak->version)
		report_violation(soak, "no older configuration", sent,
				 harness_string(&soak->harness, "%u, not %u",
						version, sent->version));
}

static void check_change(soak_t *soak, const sent_request_t *sent,
			 const http_request_t *request)
{
	const char *at = strcasestr(request->headers->str, "location: http://");

	if (request->result != CURLE_OK)
		return;
	if (request->status == 200 &&
	    sent->version > soak->acknowledged_version) {
		soak->acknowledged_version = sent->version;
		soak->acknowledged_ms = soak->now_ms;
	}
	if (request->status >= 400 && request->status < 500)
		report_violation(soak, "valid change is not refused", sent,
				 request->body->str);
	if (request->status == 307 && at != NULL) {
		char *address = g_strndup(at + 17, strcspn(at + 17, "/\r\n"));

		send_change(soak, harness_string(&soak->harness, "%s", address),
			    sent->version, sent->target);
		g_free(address);
	}
}

static void check_responses(soak_t *soak)
{
	GPtrArray *requests = soak->client.requests;

	for (guint i = requests->len; i-- > 0;) {
		http_request_t *request = g_ptr_array_index(requests, i);
		sent_request_t *sent = request->user;

		if (!request->done)
			continue;
		if (sent->kind == KIND_READ)
			check_read(soak, sent, request);
		else if (sent->kind == KIND_CHANGE)
			check_change(soak, sent, request);
		else
			check_service_response(soak, sent, request);
		g_free(sent);
		http_request_free(&soak->client, request);
	}
	if (soak->now_ms - soak->acknowledged_ms >= APPLY_MS)
		soak->settled_version = soak->acknowledged_version;
}

/* Checks that bookings ran at most once, and not at all if refused. */
static void check_bookings(soak_t *soak)
{
	GHashTableIter iter;
	gpointer id;
	gpointer runs;

	pthread_mutex_lock(&soak->journal.lock);
	g_hash_table_iter_init(&iter, soak->journal.runs);
	while (g_hash_table_iter_next(&iter, &id, &runs)) {
		sent_request_t sent = { .kind = KIND_BOOKING };

		g_strlcpy(sent.id, id, sizeof(sent.id));
		if (!g_hash_table_contains(soak->bookings, id))
			continue;
		if (GPOINTER_TO_UINT(runs) > 1)
			report_violation(soak, "booking runs at most once",
					 &sent, "it ran again");
		if (g_hash_table_contains(soak->refused, id))
			report_violation(soak, "refused booking does not run",
					 &sent, "it ran");
	}
	pthread_mutex_unlock(&soak->journal.lock);
}

/* Faults. */

typedef void (*fault_t)(soak_t *soak);

static instance_t *random_entry(soak_t *soak)
{
	return &soak->entries[random_below(soak, soak->entry_count)];
}

static instance_t *random_control(soak_t *soak)
{
	return &soak->controls[random_below(soak, CONTROLS)];
}

static bool is_up(const instance_t *instance)
{
	return instance->process->pid != 0 && !instance->stopping &&
	       instance->resume_ms == 0;
}

static void stop_instance(instance_t *instance)
{
	if (!is_up(instance))
		return;
	harness_signal(instance->process, SIGTERM);
	instance->stopping = true;
}

static void kill_instance(instance_t *instance)
{
	if (instance->process->pid == 0)
		return;
	harness_kill(instance->process);
	instance->resume_ms = 0;
	instance->stopping = true;
}

static void pause_instance(soak_t *soak, instance_t *instance)
{
	if (!is_up(instance))
		return;
	harness_signal(instance->process, SIGSTOP);
	instance->resume_ms = soak->now_ms + 200 + random_below(soak, 3000);
}

static void fault_stop_entry(soak_t *soak)
{
	/* Only if both entries are up, so that the other one keeps serving. */
	for (unsigned i = 0; i < soak->entry_count; i++)
		if (!is_up(&soak->entries[i]))
			return;
	stop_instance(random_entry(soak));
}

static void fault_reload(soak_t *soak)
{
	instance_t *instance = random_chance(soak, 0.5) ? random_entry(soak)
							: random_control(soak);

	if (is_up(instance) &&
	    soak->now_ms - instance->started_ms >= LOADING_MS)
		harness_signal(instance->process, SIGHUP);
}

static void fault_endpoint_leaves(soak_t *soak)
{
	unsigned i = random_below(soak, ENDPOINTS);

	if (soak->endpoints[i].repair_ms != 0)
		return;
	stop_endpoint(&soak->endpoints[i], true);
	start_endpoint(soak, i);
}

static void fault_kill_entry(soak_t *soak)
{
	kill_instance(random_entry(soak));
}

static void fault_pause_entry(soak_t *soak)
{
	pause_instance(soak, random_entry(soak));
}

static void fault_stop_control(soak_t *soak)
{
	stop_instance(random_control(soak));
}

static void fault_kill_control(soak_t *soak)
{
	kill_instance(random_control(soak));
}

static void fault_kill_all_controls(soak_t *soak)
{
	for (int i = 0; i < CONTROLS; i++)
		kill_instance(&soak->controls[i]);
}

static void fault_pause_control(soak_t *soak)
{
	pause_instance(soak, random_control(soak));
}

/* At most once per run: the group tolerates the loss of only one disk. */
static void fault_lose_disk(soak_t *soak)
{
	instance_t *control = random_control(soak);

	if (soak->disk_was_lost || !is_up(control))
		return;
	soak->disk_was_lost = true;
	kill_instance(control);
	control->erase_disk = true;
}

/* A disk is lost while all other instances end at the same moment. */
static void fault_lose_disk_of_all_that_end(soak_t *soak)
{
	fault_lose_disk(soak);
	for (int i = 0; i < CONTROLS; i++)
		kill_instance(&soak->controls[i]);
	for (unsigned i = 0; i < soak->entry_count; i++)
		kill_instance(&soak->entries[i]);
}

/*
 * Returns a random endpoint and schedules the end of its fault; NULL if it
 * already has a fault.
 */
static soak_endpoint_t *begin_endpoint_fault(soak_t *soak)
{
	soak_endpoint_t *endpoint =
		&soak->endpoints[random_below(soak, ENDPOINTS)];

	if (endpoint->repair_ms != 0)
		return NULL;
	endpoint->repair_ms = soak->now_ms + 300 + random_below(soak, 2500);
	return endpoint;
}

static void fault_endpoint_crashes(soak_t *soak)
{
	soak_endpoint_t *endpoint = begin_endpoint_fault(soak);

	if (endpoint != NULL)
		stop_endpoint(endpoint, false);
}

static void fault_endpoint_mode(soak_t *soak)
{
	static const fake_endpoint_mode_t modes[] = {
		FAKE_ENDPOINT_TRUNCATE,
		FAKE_ENDPOINT_REJECT,
		FAKE_ENDPOINT_DROP,
		FAKE_ENDPOINT_UNFRAMED,
		FAKE_ENDPOINT_UNFRAMED_CUT,
		FAKE_ENDPOINT_UNFRAMED_EMPTY,
		FAKE_ENDPOINT_CHUNKED_CUT,
		FAKE_ENDPOINT_RESTART,
		FAKE_ENDPOINT_ENDLESS_INTERIM,
		FAKE_ENDPOINT_ENDLESS_BYTES,
		FAKE_ENDPOINT_ENDLESS_LINES,
		FAKE_ENDPOINT_ENDLESS_BLANKS,
	};
	soak_endpoint_t *endpoint = begin_endpoint_fault(soak);

	if (endpoint != NULL)
		endpoint->fake_endpoint.mode =
			modes[random_below(soak, ARRAY_SIZE(modes))];
}

static void fault_endpoint_connections(soak_t *soak)
{
	soak_endpoint_t *endpoint = begin_endpoint_fault(soak);

	if (endpoint == NULL)
		return;
	switch (random_below(soak, 4)) {
	case 0:
		relay_close_connections(endpoint->relay);
		break;
	case 1:
		relay_silence_open(endpoint->relay);
		break;
	case 2:
		relay_silence(endpoint->relay, true);
		break;
	default:
		relay_set_delay(endpoint->relay, 20 + random_below(soak, 300));
	}
}

static void fault_endpoint_limit(soak_t *soak)
{
	static const char *const limits[] = { "0",  "0.4",  "3",    "20",
					      "-1", "soon", "1e300" };
	soak_endpoint_t *endpoint = begin_endpoint_fault(soak);

	if (endpoint != NULL)
		endpoint->fake_endpoint.request_limit =
			limits[random_below(soak, ARRAY_SIZE(limits))];
}

static const fault_t planned_faults[] = {
	fault_stop_entry,
	fault_reload,
	fault_endpoint_leaves,
};

static const fault_t all_faults[] = {
	fault_stop_entry,
	fault_reload,
	fault_endpoint_leaves,
	fault_kill_entry,
	fault_pause_entry,
	fault_stop_control,
	fault_kill_control,
	fault_kill_all_controls,
	fault_pause_control,
	fault_lose_disk,
	fault_endpoint_crashes,
	fault_endpoint_mode,
	fault_endpoint_connections,
	fault_endpoint_connections,
	fault_lose_disk_of_all_that_end,
	fault_endpoint_limit,
};

static void repair_endpoint(soak_t *soak, unsigned i)
{
	soak_endpoint_t *endpoint = &soak->endpoints[i];

	if (!endpoint->is_running) {
		start_endpoint(soak, i);
		return;
	}
	endpoint->repair_ms = 0;
	endpoint->fake_endpoint.mode = FAKE_ENDPOINT_SERVE;
	endpoint->fake_endpoint.request_limit = NULL;
	relay_silence(endpoint->relay, false);
	relay_set_delay(endpoint->relay, 0);
}

static void repair_instance(soak_t *soak, instance_t *instance)
{
	if (instance->resume_ms != 0 && soak->now_ms >= instance->resume_ms) {
		harness_signal(instance->process, SIGCONT);
		instance->resume_ms = 0;
	}
	if (harness_is_running(instance->process))
		return;
	if (!instance->stopping) {
		soak->violations++;
		printf("BROKEN at %" G_GINT64_FORMAT
		       " ms: %s exited unexpectedly, status %d\n",
		       soak->now_ms, instance->name,
		       instance->process->exit_status);
	}
	if (instance->erase_disk)
		harness_remove_tree(
			harness_path(&soak->harness, instance->name));
	instance->erase_disk = false;
	instance->stopping = false;
	instance->started_ms = soak->now_ms;
	harness_restart(instance->process);
}

static void repair_due_faults(soak_t *soak)
{
	for (unsigned i = 0; i < ENDPOINTS; i++)
		if (soak->endpoints[i].repair_ms != 0 &&
		    soak->now_ms >= soak->endpoints[i].repair_ms)
			repair_endpoint(soak, i);
	for (int i = 0; i < CONTROLS; i++)
		repair_instance(soak, &soak->controls[i]);
	for (unsigned i = 0; i < soak->entry_count; i++)
		repair_instance(soak, &soak->entries[i]);
}

/* Returns whether the effect of an unplanned fault still lasts. */
static bool has_unplanned_fault(const soak_t *soak)
{
	for (int i = 0; i < CONTROLS; i++)
		if (!is_up(&soak->controls[i]))
			return true;
	for (unsigned i = 0; i < soak->entry_count; i++)
		if (soak->entries[i].resume_ms != 0)
			return true;
	for (unsigned i = 0; i < ENDPOINTS; i++)
		if (soak->endpoints[i].repair_ms != 0)
			return true;
	return false;
}

static void inject_faults(soak_t *soak, clock_ms_t elapsed_ms)
{
	bool planned_only = soak->now_ms / PHASE_MS % 2 == 0;

	if (has_unplanned_fault(soak))
		soak->unplanned_ms = soak->now_ms;
	if (!is_due(soak, elapsed_ms,
		    interval_per_entry(soak, FAULT_INTERVAL_MS)))
		return;
	for (unsigned i = random_below(soak, FAULTS_MAX) + 1; i > 0; i--) {
		soak->faults++;
		if (planned_only) {
			planned_faults[random_below(
				soak, ARRAY_SIZE(planned_faults))](soak);
			continue;
		}
		soak->unplanned_ms = soak->now_ms;
		all_faults[random_below(soak, ARRAY_SIZE(all_faults))](soak);
	}
}

static void send_due_requests(soak_t *soak, clock_ms_t elapsed_ms)
{
	if (is_due(soak, elapsed_ms,
		   interval_per_entry(soak, REQUEST_INTERVAL_MS)))
		send_service_request(soak, random_chance(soak, 0.5));
	if (is_due(soak, elapsed_ms, READ_INTERVAL_MS))
		send_read(soak);
	if (is_due(soak, elapsed_ms, CHANGE_INTERVAL_MS)) {
		unsigned target = random_below(soak, CONTROLS);

		soak->version += 1 + random_below(soak, 5);
		send_change(soak, soak->controls[target].address, soak->version,
			    target);
	}
}

/* The end of a run: all faults are repaired and the fleet must work again. */

typedef struct {
	soak_t *soak;
	const instance_t *to;
	unsigned target;
	request_kind_t kind;
} probe_t;

static const char *probe_path(request_kind_t kind)
{
	static const char *const paths[] = {
		[KIND_CHAT] = "/chat/1",
		[KIND_BOOKING] = "/book/1",
		[KIND_READ] = "/wisteriadrift/config/get",
	};

	return paths[kind];
}

static bool probe_succeeds(void *user)
{
	const probe_t *probe = user;
	soak_t *soak = probe->soak;
	http_request_t *request =
		send_request(soak, probe->kind, probe->to, probe->target,
			     probe_path(probe->kind),
			     probe->kind == KIND_READ ? NULL : "7 bolts");
	sent_request_t *sent = request->user;
	bool served;

	sent->version = soak->acknowledged_version;
	served = http_wait(&soak->client, request, HARNESS_WAIT_MS) &&
		 request->result == CURLE_OK && request->status == 200;
	if (served && probe->kind == KIND_READ)
		check_read(soak, sent, request);
	g_free(sent);
	http_request_free(&soak->client, request);
	return served;
}

static void expect_probe_succeeds(soak_t *soak, const instance_t *to,
				  unsigned target, request_kind_t kind)
{
	probe_t probe = { soak, to, target, kind };
	const sent_request_t sent = { .kind = kind,
				      .target = target,
				      .id = "-" };

	if (!harness_wait_until(probe_succeeds, &probe, HARNESS_WAIT_MS))
		report_violation(soak, "requests are served at the end", &sent,
				 probe_path(kind));
}

static unsigned count_crashes(const soak_t *soak)
{
	unsigned crashes = 0;

	for (unsigned i = 0; i < ENDPOINTS; i++)
		crashes += soak->endpoints[i].fake_endpoint.crashes;
	return crashes;
}

/* Sends a request that crashes endpoints to an entry; returns its status. */
static long crashing_status(soak_t *soak, request_kind_t kind, unsigned target)
{
	http_request_t *request = send_request(
		soak, kind, &soak->entries[target], target,
		kind == KIND_ENDING ? "/book/1" : "/chat/1",
		kind == KIND_ENDING ? FAKE_ENDPOINT_BAD_BODY : "7 bolts");
	long status = 0;

	if (http_wait(&soak->client, request, HARNESS_WAIT_MS))
		status = request->status;
	g_free(request->user);
	http_request_free(&soak->client, request);
	return status;
}

/* Checks that a part that crashes endpoints is refused soon, and everywhere. */
static void check_crashing_part(soak_t *soak)
{
	unsigned before = count_crashes(soak);
	sent_request_t sent = { .kind = KIND_CRASHING, .id = "-" };
	unsigned crashes;

	for (unsigned i = 0; i < CRASHES_MAX + LATE_REQUESTS_MAX; i++)
		crashing_status(soak, KIND_CRASHING, i % soak->entry_count);
	for (; sent.target < soak->entry_count; sent.target++)
		if (crashing_status(soak, KIND_CRASHING, sent.target) != 503)
			report_violation(soak, "crashing part is refused",
					 &sent, "it was not");
	crashes = count_crashes(soak) - before;
	if (crashes > CRASHES_MAX + LATE_REQUESTS_MAX)
		report_violation(soak, "few endpoints crash", &sent,
				 harness_string(&soak->harness, "%u", crashes));
}

/* Leads the relays of endpoints that were started again to them. */
static void follow_restarts(soak_t *soak)
{
	for (unsigned i = 0; i < ENDPOINTS; i++) {
		soak_endpoint_t *endpoint = &soak->endpoints[i];

		if (endpoint->born == endpoint->fake_endpoint.born)
			continue;
		endpoint->born = endpoint->fake_endpoint.born;
		relay_set_target(endpoint->relay,
				 endpoint->fake_endpoint.address);
	}
}

static void wait_until_all_serve(soak_t *soak, unsigned target)
{
	gint64 until_us = g_get_monotonic_time() +
			  2 * FAKE_ENDPOINT_DOWN_MS * G_TIME_SPAN_MILLISECOND;

	while (g_get_monotonic_time() < until_us) {
		http_client_poll(&soak->client, 10);
		follow_restarts(soak);
	}
	expect_probe_succeeds(soak, &soak->entries[target], target,
			      KIND_BOOKING);
}

/* Checks that a repeated request that ends endpoints is refused everywhere. */
static void check_repeated_request(soak_t *soak)
{
	unsigned before = count_crashes(soak);
	sent_request_t sent = { .kind = KIND_ENDING, .id = "-" };
	unsigned crashes;

	for (unsigned i = 0; i < CRASHES_MAX; i++) {
		crashing_status(soak, KIND_ENDING, i % soak->entry_count);
		wait_until_all_serve(soak, i % soak->entry_count);
	}
	for (; sent.target < soak->entry_count; sent.target++)
		if (crashing_status(soak, KIND_ENDING, sent.target) != 503)
			report_violation(soak, "repeated request is refused",
					 &sent, "it was not");
	crashes = count_crashes(soak) - before;
	if (crashes > CRASHES_MAX)
		report_violation(soak, "few endpoints end", &sent,
				 harness_string(&soak->harness, "%u", crashes));
}

static void set_limits(soak_t *soak, const char *limit,
		       fake_endpoint_mode_t mode)
{
	for (unsigned i = WRITER_ENDPOINTS; i < ENDPOINTS; i++) {
		soak->endpoints[i].fake_endpoint.request_limit = limit;
		soak->endpoints[i].fake_endpoint.mode = mode;
	}
}

/* Sends bookings to the entries in turn, faster than the endpoints take. */
static void press_on_limits(soak_t *soak)
{
	http_request_t *requests[LIMITED_REQUESTS];

	for (unsigned i = 0; i < LIMITED_REQUESTS; i++) {
		unsigned target = i % soak->entry_count;
		gint64 until_us = g_get_monotonic_time() +
				  LIMITED_INTERVAL_MS * G_TIME_SPAN_MILLISECOND;

		requests[i] =
			send_request(soak, KIND_BOOKING, &soak->entries[target],
				     target, "/book/1", "7 bolts");
		while (g_get_monotonic_time() < until_us)
			http_client_poll(&soak->client, 5);
	}
	for (unsigned i = 0; i < LIMITED_REQUESTS; i++) {
		sent_request_t *sent = requests[i]->user;

		if (!http_wait(&soak->client, requests[i], HARNESS_WAIT_MS) ||
		    (requests[i]->status != 200 && requests[i]->status != 503))
			report_violation(soak, "limited booking is answered",
					 sent, "it was not");
		g_free(sent);
		http_request_free(&soak->client, requests[i]);
	}
}

static bool serves_in_a_row(void *user)
{
	for (unsigned i = 0; i < UNLIMITED_REQUESTS; i++)
		if (!probe_succeeds(user))
			return false;
	return true;
}

/*
 * Checks that all entries together keep to the limits that endpoints name, and
 * that each entry learns their end.
 */
static void check_request_limits(soak_t *soak)
{
	gint64 since_us = g_get_monotonic_time() + LIMIT_LEARNED_US;
	sent_request_t sent = { .kind = KIND_BOOKING, .id = "-" };

	set_limits(soak, REQUEST_LIMIT, FAKE_ENDPOINT_JSON);
	press_on_limits(soak);
	for (unsigned i = WRITER_ENDPOINTS; i < ENDPOINTS; i++)
		if (fake_endpoint_most_runs(&soak->endpoints[i].fake_endpoint,
					    since_us, LIMIT_WINDOW_US) >
		    LIMIT_WINDOW_RUNS_MAX)
			report_violation(soak, "limits are kept", &sent,
					 soak->endpoints[i].id);
	set_limits(soak, NULL, FAKE_ENDPOINT_JSON);
	for (unsigned i = 0; i < soak->entry_count; i++) {
		probe_t probe = { soak, &soak->entries[i], i, KIND_BOOKING };

		sent.target = i;
		if (!harness_wait_until(serves_in_a_row, &probe,
					HARNESS_WAIT_MS))
			report_violation(soak, "ends of limits are learned",
					 &sent, "requests are refused");
	}
}

static bool all_are_up(const soak_t *soak)
{
	for (int i = 0; i < CONTROLS; i++)
		if (!is_up(&soak->controls[i]))
			return false;
	for (unsigned i = 0; i < soak->entry_count; i++)
		if (!is_up(&soak->entries[i]))
			return false;
	return true;
}

static void verify_recovery(soak_t *soak)
{
	clock_ms_t limit = clock_now(&clock_monotonic) + HARNESS_WAIT_MS;

	for (unsigned i = 0; i < ENDPOINTS; i++)
		if (soak->endpoints[i].repair_ms != 0)
			repair_endpoint(soak, i);
	soak->now_ms += HARNESS_WAIT_MS; /* ends all pauses */
	while (!all_are_up(soak) && clock_now(&clock_monotonic) < limit) {
		repair_due_faults(soak);
		http_client_poll(&soak->client, 10);
	}
	if (!http_client_run(&soak->client, HARNESS_WAIT_MS)) {
		soak->violations++;
		printf("BROKEN: some requests got no response\n");
	}
	check_responses(soak);
	for (unsigned i = 0; i < soak->entry_count; i++) {
		expect_probe_succeeds(soak, &soak->entries[i], i, KIND_CHAT);
		expect_probe_succeeds(soak, &soak->entries[i], i, KIND_BOOKING);
	}
	for (unsigned i = 0; i < CONTROLS; i++)
		expect_probe_succeeds(soak, &soak->controls[i], i, KIND_READ);
	check_crashing_part(soak);
	check_repeated_request(soak);
	check_request_limits(soak);
	check_bookings(soak);
}

static bool set_up(soak_t *soak)
{
	probe_t probe = { soak, &soak->controls[0], 0, KIND_READ };

	assign_addresses(soak);
	start_all(soak);
	for (unsigned i = 0; i < ENDPOINTS; i++)
		start_endpoint(soak, i);
	soak->version = 1;
	for (int tries = 0; soak->acknowledged_version == 0; tries++) {
		if (tries * 100 > HARNESS_WAIT_MS)
			return false;
		send_change(soak, soak->controls[0].address, 1, 0);
		if (!http_client_run(&soak->client, HARNESS_WAIT_MS))
			return false;
		check_responses(soak);
		g_usleep(100000);
	}
	if (!harness_wait_until(probe_succeeds, &probe, HARNESS_WAIT_MS))
		return false;
	/* From here on, an empty disk is a lost disk and not a new instance. */
	for (int i = 0; i < CONTROLS; i++)
		write_control(soak, i, false);
	for (unsigned i = 0; i < soak->entry_count; i++) {
		probe = (probe_t){ soak, &soak->entries[i], i, KIND_CHAT };
		if (!harness_wait_until(probe_succeeds, &probe,
					HARNESS_WAIT_MS))
			return false;
	}
	return true;
}

static void run_faults(soak_t *soak, int seconds)
{
	clock_ms_t start = clock_now(&clock_monotonic);
	clock_ms_t last = start;

	soak->now_ms = 0;
	soak->unplanned_ms = -FAULT_EFFECT_MS;
	while (soak->now_ms < (clock_ms_t)seconds * 1000) {
		clock_ms_t now;

		http_client_poll(&soak->client, 5);
		now = clock_now(&clock_monotonic);
		soak->now_ms = now - start;
		check_responses(soak);
		repair_due_faults(soak);
		inject_faults(soak, now - last);
		send_due_requests(soak, now - last);
		last = now;
	}
}

static void tear_down(soak_t *soak)
{
	for (guint i = 0; i < soak->client.requests->len; i++) {
		http_request_t *request =
			g_ptr_array_index(soak->client.requests, i);

		g_free(request->user);
	}
	http_client_finish(&soak->client);
	for (unsigned i = 0; i < ENDPOINTS; i++)
		stop_endpoint(&soak->endpoints[i], false);
	for (unsigned i = 0; i < soak->entry_count; i++)
		harness_kill(soak->entries[i].process);
	for (int i = 0; i < CONTROLS; i++)
		harness_kill(soak->controls[i].process);
	fake_endpoint_journal_finish(&soak->journal);
	g_hash_table_destroy(soak->bookings);
	g_hash_table_destroy(soak->refused);
	g_rand_free(soak->random);
	harness_finish(&soak->harness, soak->violations == 0);
}

typedef struct {
	int seed;
	int seconds;
	int entries;
} options_t;

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	options_t *options = state->input;

	if (key == 's')
		options->seed = atoi(argument);
	else if (key == 't')
		options->seconds = atoi(argument);
	else if (key == 'e')
		options->entries = atoi(argument);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp_option option_list[] = {
	{ "seed", 's', "N", 0, "Seed of the random faults (default: 1)", 0 },
	{ "seconds", 't', "N", 0, "Duration of the faults (default: 12)", 0 },
	{ "entries", 'e', "N", 0, "Number of entries, 1 to 100 (default: 2)",
	  0 },
	{ 0 },
};

int main(int argc, char **argv)
{
	static const struct argp parser = {
		.options = option_list,
		.parser = parse_option,
		.doc = "Runs the fleet roles under random faults.",
	};
	options_t options = { .seed = 1,
			      .seconds = SECONDS_DEFAULT,
			      .entries = ENTRIES_DEFAULT };
	bool failed;
	soak_t *soak;

	if (argp_parse(&parser, argc, argv, 0, NULL, &options) != 0)
		return 2;
	if (options.entries < 1 || options.entries > ENTRIES_MAX) {
		fprintf(stderr, "soak: --entries: from 1 to %d\n", ENTRIES_MAX);
		return 2;
	}
	soak = g_new0(soak_t, 1);
	soak->entry_count = (unsigned)options.entries;
	harness_init(&soak->harness, "soak");
	http_client_init(&soak->client);
	fake_endpoint_journal_init(&soak->journal);
	soak->random = g_rand_new_with_seed((guint32)options.seed);
	soak->bookings =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (set_up(soak)) {
		run_faults(soak, options.seconds);
		verify_recovery(soak);
	} else {
		soak->violations++;
		printf("BROKEN: the fleet did not start\n");
	}
	printf("seed=%d seconds=%d entries=%u requests=%u served=%u faults=%u "
	       "configurations=%u broken=%u\n",
	       options.seed, options.seconds, soak->entry_count, soak->requests,
	       soak->served, soak->faults, soak->acknowledged_version,
	       soak->violations);
	failed = soak->violations > 0;
	tear_down(soak);
	g_free(soak);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
