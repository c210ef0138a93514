/*
 * A randomized soak of the fleet roles: three control instances and two
 * entries as processes, stand-ins of endpoints behind relays, and clients that
 * keep their connections.  A seed draws the faults, which come in series and
 * overlap: processes are stopped, killed, paused and told to read their
 * settings, disks are lost, connections are delayed, cut and silenced,
 * endpoints crash, shed and drop, and configurations change.
 *
 * Checked while it runs, from what clients and endpoints see:
 *   - what arrives of a stream is the client's own, in order, nothing twice;
 *   - a booking runs at most once, and not at all where it was refused;
 *   - an acknowledged configuration is never answered with an older one;
 *   - while only planned work goes on, no request is cut;
 *   - no process ends by itself;
 *   - afterwards requests are served and the configuration is still there.
 *
 * Exits with 1 and names the seed where a promise was broken; the logs are kept.
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
#define ENTRIES 2
#define WRITERS 4
#define BOOKERS 3
#define RUNNERS (WRITERS + BOOKERS)
#define FAULTS_MAX 3
#define SECONDS_DEFAULT 12
/* Mean time between two requests, two faults, and two changes. */
#define REQUEST_EVERY_MS 70
#define FAULT_EVERY_MS 700
#define CHANGE_EVERY_MS 900
#define READ_EVERY_MS 300
/* Half of a run has planned work only, in spells of this length. */
#define SPELL_MS 5000
/* A program that is still being loaded cannot take signals yet. */
#define LOADED_MS 1000
/* What came before this is over and mended when planned work is judged. */
#define CALM_MS 3000
/* A read that is sent so long after an acknowledgement is not older. */
#define APPLY_MS 2000

typedef enum {
	KIND_CHAT,
	KIND_BOOKING,
	KIND_CHANGE,
	KIND_READ
} kind_t;

/* One request of a client and what is needed to judge its answer. */
typedef struct {
	kind_t kind;
	char id[32];
	clock_ms_t sent_ms;
	unsigned version; /* of a change; least that a read may show */
	unsigned target;  /* number of the instance it was sent to */
} sent_t;

typedef struct {
	harness_process_t *process;
	const char *address; /* for clients or operators */
	const char *name;
	clock_ms_t resume_ms; /* paused until then; 0: it is not */
	bool stopping;	      /* told to end; started again when it has */
	bool loses_disk;      /* before it starts again */
	clock_ms_t started_ms;
} instance_t;

typedef struct {
	fake_endpoint_t fake_endpoint;
	relay_t *relay;
	char id[16];
	bool runs;
	clock_ms_t mend_ms; /* when its fault ends; 0: it has none */
} endpoint_rig_t;

typedef struct {
	harness_t harness;
	http_client_t client;
	GRand *random;
	clock_ms_t now_ms;
	instance_t controls[CONTROLS];
	instance_t entries[ENTRIES];
	const char *control_addresses[CONTROLS + 1];
	const char *control_ips[CONTROLS];
	unsigned peer_port;
	endpoint_rig_t endpoints[RUNNERS];
	unsigned endpoints_started;
	fake_endpoint_journal_t journal;
	GHashTable *bookings; /* ids of all that were sent */
	GHashTable *refused;  /* ids of those that were said not to run */
	unsigned requests;
	unsigned version;      /* newest configuration that was sent */
	unsigned acknowledged; /* newest that was acknowledged */
	clock_ms_t acknowledged_ms;
	unsigned settled;	 /* acknowledged for APPLY_MS */
	clock_ms_t unplanned_ms; /* when an unplanned fault last was */
	bool lost_disk;
	unsigned served;
	unsigned faults;
	unsigned broken;
} soak_t;

static void broken(soak_t *soak, const char *promise, const sent_t *sent,
		   const char *seen)
{
	soak->broken++;
	printf("BROKEN at %" G_GINT64_FORMAT
	       " ms: %s: request %s to instance %u, sent at %" G_GINT64_FORMAT
	       ": %s\n",
	       soak->now_ms, promise, sent->id, sent->target, sent->sent_ms,
	       seen);
}

static bool chance(soak_t *soak, double probability)
{
	return g_rand_double(soak->random) < probability;
}

static unsigned draw(soak_t *soak, unsigned below)
{
	return (unsigned)g_rand_int_range(soak->random, 0, (gint32)below);
}

/* Whether something that comes every "mean_ms" comes in this turn. */
static bool is_due(soak_t *soak, clock_ms_t turn_ms, double mean_ms)
{
	return chance(soak, (double)turn_ms / mean_ms);
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

/* Every control instance has an address of its own, with the same ports. */
static void lay_out(soak_t *soak)
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
	for (int i = 0; i < ENTRIES; i++) {
		instance_t *entry = &soak->entries[i];

		entry->address = harness_address(&soak->harness);
		entry->name = harness_string(&soak->harness, "entry-%d", i + 1);
	}
}

static void start_all(soak_t *soak)
{
	for (int i = 0; i < CONTROLS; i++) {
		write_control(soak, i, true);
		start_process(soak, &soak->controls[i]);
	}
	for (int i = 0; i < ENTRIES; i++) {
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
	endpoint_rig_t *endpoint = &soak->endpoints[i];

	g_snprintf(endpoint->id, sizeof(endpoint->id), "i-%u",
		   ++soak->endpoints_started);
	fake_endpoint_listen(
		&endpoint->fake_endpoint, endpoint->id,
		i < WRITERS ? "writer" : "orders", soak->harness.ip,
		soak->control_addresses[i % CONTROLS], FAKE_ENDPOINT_SERVE);
	endpoint->relay =
		relay_new(&soak->harness, endpoint->fake_endpoint.address);
	endpoint->fake_endpoint.advertised_address =
		relay_address(endpoint->relay);
	endpoint->fake_endpoint.fallback_controls = soak->control_addresses;
	endpoint->fake_endpoint.journal = &soak->journal;
	fake_endpoint_start_threads(&endpoint->fake_endpoint);
	endpoint->runs = true;
	endpoint->mend_ms = 0;
}

static void end_endpoint(endpoint_rig_t *endpoint, bool says_so)
{
	if (!endpoint->runs)
		return;
	if (says_so)
		fake_endpoint_stop(&endpoint->fake_endpoint);
	else
		fake_endpoint_crash(&endpoint->fake_endpoint);
	relay_free(endpoint->relay);
	endpoint->runs = false;
}

/* Requests. */

static http_request_t *send_request(soak_t *soak, kind_t kind,
				    const instance_t *to, unsigned target,
				    const char *path, const char *body)
{
	sent_t *sent = g_new0(sent_t, 1);
	http_params_t params = { .body = body };
	http_request_t *request;
	const char *headers[4] = { "Host: shop.example", NULL };
	char *id_line;
	char *url;

	sent->kind = kind;
	sent->sent_ms = soak->now_ms;
	sent->target = target;
	g_snprintf(sent->id, sizeof(sent->id), "r%u", ++soak->requests);
	id_line = g_strdup_printf("X-Wisteriadrift-Request-Id: %s", sent->id);
	headers[1] = id_line;
	headers[2] = "X-Wisteriadrift-Deadline-Ms: 6000";
	url = g_strdup_printf("http://%s%s", to->address, path);
	params.url = url;
	params.headers = headers;
	request = http_send(&soak->client, &params);
	request->user = sent;
	if (kind == KIND_BOOKING)
		g_hash_table_add(soak->bookings, g_strdup(sent->id));
	g_free(id_line);
	g_free(url);
	return request;
}

static char *configuration(unsigned version)
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
	char *body = configuration(version);
	http_request_t *request =
		send_request(soak, KIND_CHANGE, &to, target,
			     "/wisteriadrift/config/replace", body);

	((sent_t *)request->user)->version = version;
	g_free(body);
}

static void send_read(soak_t *soak)
{
	unsigned target = draw(soak, CONTROLS);
	http_request_t *request =
		send_request(soak, KIND_READ, &soak->controls[target], target,
			     "/wisteriadrift/config/get", NULL);

	((sent_t *)request->user)->version = soak->settled;
}

static http_request_t *send_work(soak_t *soak, bool books)
{
	unsigned target = draw(soak, ENTRIES);

	return send_request(soak, books ? KIND_BOOKING : KIND_CHAT,
			    &soak->entries[target], target,
			    books ? "/book/1" : "/chat/1", "7 bolts");
}

/* Judging answers. */

static char *whole_answer(const sent_t *sent)
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

/* Whether nothing but planned work has gone on around a request. */
static bool is_in_planned_spell(const soak_t *soak, const sent_t *sent)
{
	return sent->sent_ms - soak->unplanned_ms >= CALM_MS;
}

static void judge_work(soak_t *soak, const sent_t *sent,
		       const http_request_t *request)
{
	char *expected = whole_answer(sent);
	bool complete = request->result == CURLE_OK;

	if (request->status == 200) {
		if (!g_str_has_prefix(expected, request->body->str))
			broken(soak, "own answer, in order", sent,
			       request->body->str);
		else if (complete && strcmp(expected, request->body->str) != 0)
			broken(soak, "whole answer", sent, request->body->str);
		else
			soak->served += complete;
	}
	if (sent->kind == KIND_BOOKING && is_refusal(request->status))
		g_hash_table_add(soak->refused, g_strdup(sent->id));
	if (!complete && request->headers->len > 0 &&
	    is_in_planned_spell(soak, sent))
		broken(soak, "planned work cuts nothing", sent,
		       curl_easy_strerror(request->result));
	g_free(expected);
}

static void judge_read(soak_t *soak, const sent_t *sent,
		       const http_request_t *request)
{
	const char *at = strstr(request->body->str, "\"version\":");
	unsigned version;

	if (request->result != CURLE_OK || request->status != 200)
		return;
	version = at == NULL ? 0 : (unsigned)strtoul(at + 10, NULL, 10);
	if (version < sent->version || version > soak->version)
		broken(soak, "no older configuration", sent,
		       harness_string(&soak->harness, "%u, not %u", version,
				      sent->version));
}

static void judge_change(soak_t *soak, const sent_t *sent,
			 const http_request_t *request)
{
	const char *at = strcasestr(request->headers->str, "location: http://");

	if (request->result != CURLE_OK)
		return;
	if (request->status == 200 && sent->version > soak->acknowledged) {
		soak->acknowledged = sent->version;
		soak->acknowledged_ms = soak->now_ms;
	}
	if (request->status >= 400 && request->status < 500)
		broken(soak, "a valid change is not refused", sent,
		       request->body->str);
	if (request->status == 307 && at != NULL) {
		char *address = g_strndup(at + 17, strcspn(at + 17, "/\r\n"));

		send_change(soak, harness_string(&soak->harness, "%s", address),
			    sent->version, sent->target);
		g_free(address);
	}
}

static void judge_all(soak_t *soak)
{
	GPtrArray *requests = soak->client.requests;

	for (guint i = requests->len; i-- > 0;) {
		http_request_t *request = g_ptr_array_index(requests, i);
		sent_t *sent = request->user;

		if (!request->done)
			continue;
		if (sent->kind == KIND_READ)
			judge_read(soak, sent, request);
		else if (sent->kind == KIND_CHANGE)
			judge_change(soak, sent, request);
		else
			judge_work(soak, sent, request);
		g_free(sent);
		http_request_free(&soak->client, request);
	}
	if (soak->now_ms - soak->acknowledged_ms >= APPLY_MS)
		soak->settled = soak->acknowledged;
}

/* A booking ran at most once, and not at all where that was said. */
static void judge_bookings(soak_t *soak)
{
	GHashTableIter iter;
	gpointer id;
	gpointer runs;

	pthread_mutex_lock(&soak->journal.lock);
	g_hash_table_iter_init(&iter, soak->journal.runs);
	while (g_hash_table_iter_next(&iter, &id, &runs)) {
		sent_t sent = { .kind = KIND_BOOKING };

		g_strlcpy(sent.id, id, sizeof(sent.id));
		if (!g_hash_table_contains(soak->bookings, id))
			continue;
		if (GPOINTER_TO_UINT(runs) > 1)
			broken(soak, "at most once", &sent, "it ran again");
		if (g_hash_table_contains(soak->refused, id))
			broken(soak, "refused means not run", &sent, "it ran");
	}
	pthread_mutex_unlock(&soak->journal.lock);
}

/* Faults. */

typedef void (*fault_t)(soak_t *soak);

static instance_t *any_entry(soak_t *soak)
{
	return &soak->entries[draw(soak, ENTRIES)];
}

static instance_t *any_control(soak_t *soak)
{
	return &soak->controls[draw(soak, CONTROLS)];
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
	instance->resume_ms = soak->now_ms + 200 + draw(soak, 3000);
}

static void fault_stop_entry(soak_t *soak)
{
	/* The other one serves meanwhile. */
	for (int i = 0; i < ENTRIES; i++)
		if (!is_up(&soak->entries[i]))
			return;
	stop_instance(any_entry(soak));
}

static void fault_reload(soak_t *soak)
{
	instance_t *instance =
		chance(soak, 0.5) ? any_entry(soak) : any_control(soak);

	if (is_up(instance) && soak->now_ms - instance->started_ms >= LOADED_MS)
		harness_signal(instance->process, SIGHUP);
}

static void fault_endpoint_leaves(soak_t *soak)
{
	unsigned i = draw(soak, RUNNERS);

	if (soak->endpoints[i].mend_ms != 0)
		return;
	end_endpoint(&soak->endpoints[i], true);
	start_endpoint(soak, i);
}

static void fault_kill_entry(soak_t *soak)
{
	kill_instance(any_entry(soak));
}

static void fault_pause_entry(soak_t *soak)
{
	pause_instance(soak, any_entry(soak));
}

static void fault_stop_control(soak_t *soak)
{
	stop_instance(any_control(soak));
}

static void fault_kill_control(soak_t *soak)
{
	kill_instance(any_control(soak));
}

static void fault_kill_all_controls(soak_t *soak)
{
	for (int i = 0; i < CONTROLS; i++)
		kill_instance(&soak->controls[i]);
}

static void fault_pause_control(soak_t *soak)
{
	pause_instance(soak, any_control(soak));
}

/* Once: more disks than one may not be lost. */
static void fault_lose_disk(soak_t *soak)
{
	instance_t *control = any_control(soak);

	if (soak->lost_disk || !is_up(control))
		return;
	soak->lost_disk = true;
	kill_instance(control);
	control->loses_disk = true;
}

static endpoint_rig_t *sound_endpoint(soak_t *soak)
{
	endpoint_rig_t *endpoint = &soak->endpoints[draw(soak, RUNNERS)];

	if (endpoint->mend_ms != 0)
		return NULL;
	endpoint->mend_ms = soak->now_ms + 300 + draw(soak, 2500);
	return endpoint;
}

static void fault_endpoint_crashes(soak_t *soak)
{
	endpoint_rig_t *endpoint = sound_endpoint(soak);

	if (endpoint != NULL)
		end_endpoint(endpoint, false);
}

static void fault_endpoint_fails(soak_t *soak)
{
	static const fake_endpoint_mode_t modes[] = { FAKE_ENDPOINT_TRUNCATE,
						      FAKE_ENDPOINT_REJECT,
						      FAKE_ENDPOINT_DROP };
	endpoint_rig_t *endpoint = sound_endpoint(soak);

	if (endpoint != NULL)
		endpoint->fake_endpoint.mode =
			modes[draw(soak, ARRAY_SIZE(modes))];
}

static void fault_connections(soak_t *soak)
{
	endpoint_rig_t *endpoint = sound_endpoint(soak);

	if (endpoint == NULL)
		return;
	switch (draw(soak, 4)) {
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
		relay_set_delay(endpoint->relay, 20 + draw(soak, 300));
	}
}

static const fault_t planned_faults[] = {
	fault_stop_entry,
	fault_reload,
	fault_endpoint_leaves,
};

static const fault_t all_faults[] = {
	fault_stop_entry,	fault_reload,
	fault_endpoint_leaves,	fault_kill_entry,
	fault_pause_entry,	fault_stop_control,
	fault_kill_control,	fault_kill_all_controls,
	fault_pause_control,	fault_lose_disk,
	fault_endpoint_crashes, fault_endpoint_fails,
	fault_connections,	fault_connections,
};

static void mend_endpoint(soak_t *soak, unsigned i)
{
	endpoint_rig_t *endpoint = &soak->endpoints[i];

	if (!endpoint->runs) {
		start_endpoint(soak, i);
		return;
	}
	endpoint->mend_ms = 0;
	endpoint->fake_endpoint.mode = FAKE_ENDPOINT_SERVE;
	relay_silence(endpoint->relay, false);
	relay_set_delay(endpoint->relay, 0);
}

static void mend_instance(soak_t *soak, instance_t *instance)
{
	if (instance->resume_ms != 0 && soak->now_ms >= instance->resume_ms) {
		harness_signal(instance->process, SIGCONT);
		instance->resume_ms = 0;
	}
	if (harness_is_running(instance->process))
		return;
	if (!instance->stopping) {
		soak->broken++;
		printf("BROKEN at %" G_GINT64_FORMAT
		       " ms: %s ended by itself, status %d\n",
		       soak->now_ms, instance->name,
		       instance->process->exit_status);
	}
	if (instance->loses_disk)
		harness_remove_tree(
			harness_path(&soak->harness, instance->name));
	instance->loses_disk = false;
	instance->stopping = false;
	instance->started_ms = soak->now_ms;
	harness_restart(instance->process);
}

static void mend(soak_t *soak)
{
	for (unsigned i = 0; i < RUNNERS; i++)
		if (soak->endpoints[i].mend_ms != 0 &&
		    soak->now_ms >= soak->endpoints[i].mend_ms)
			mend_endpoint(soak, i);
	for (int i = 0; i < CONTROLS; i++)
		mend_instance(soak, &soak->controls[i]);
	for (int i = 0; i < ENTRIES; i++)
		mend_instance(soak, &soak->entries[i]);
}

/* Whether a fault that was not planned still goes on. */
static bool is_disturbed(const soak_t *soak)
{
	for (int i = 0; i < CONTROLS; i++)
		if (!is_up(&soak->controls[i]))
			return true;
	for (int i = 0; i < ENTRIES; i++)
		if (soak->entries[i].resume_ms != 0)
			return true;
	for (unsigned i = 0; i < RUNNERS; i++)
		if (soak->endpoints[i].mend_ms != 0)
			return true;
	return false;
}

static void inject(soak_t *soak, clock_ms_t turn_ms)
{
	bool planned_only = soak->now_ms / SPELL_MS % 2 == 0;

	if (is_disturbed(soak))
		soak->unplanned_ms = soak->now_ms;
	if (!is_due(soak, turn_ms, FAULT_EVERY_MS))
		return;
	for (unsigned i = draw(soak, FAULTS_MAX) + 1; i > 0; i--) {
		soak->faults++;
		if (planned_only) {
			planned_faults[draw(soak, ARRAY_SIZE(planned_faults))](
				soak);
			continue;
		}
		soak->unplanned_ms = soak->now_ms;
		all_faults[draw(soak, ARRAY_SIZE(all_faults))](soak);
	}
}

static void send_some(soak_t *soak, clock_ms_t turn_ms)
{
	if (is_due(soak, turn_ms, REQUEST_EVERY_MS))
		send_work(soak, chance(soak, 0.5));
	if (is_due(soak, turn_ms, READ_EVERY_MS))
		send_read(soak);
	if (is_due(soak, turn_ms, CHANGE_EVERY_MS)) {
		unsigned target = draw(soak, CONTROLS);

		soak->version += 1 + draw(soak, 5);
		send_change(soak, soak->controls[target].address, soak->version,
			    target);
	}
}

/* The end: all is mended, and everything works again. */

typedef struct {
	soak_t *soak;
	const instance_t *to;
	unsigned target;
	kind_t kind;
} probe_wait_t;

static const char *probe_path(kind_t kind)
{
	static const char *const paths[] = {
		[KIND_CHAT] = "/chat/1",
		[KIND_BOOKING] = "/book/1",
		[KIND_READ] = "/wisteriadrift/config/get",
	};

	return paths[kind];
}

static bool is_served(void *user)
{
	const probe_wait_t *wait = user;
	soak_t *soak = wait->soak;
	http_request_t *request =
		send_request(soak, wait->kind, wait->to, wait->target,
			     probe_path(wait->kind),
			     wait->kind == KIND_READ ? NULL : "7 bolts");
	sent_t *sent = request->user;
	bool served;

	sent->version = soak->acknowledged;
	served = http_wait(&soak->client, request, HARNESS_WAIT_MS) &&
		 request->result == CURLE_OK && request->status == 200;
	if (served && wait->kind == KIND_READ)
		judge_read(soak, sent, request);
	g_free(sent);
	http_request_free(&soak->client, request);
	return served;
}

static void expect_served(soak_t *soak, const instance_t *to, unsigned target,
			  kind_t kind)
{
	probe_wait_t wait = { soak, to, target, kind };
	const sent_t sent = { .kind = kind, .target = target, .id = "-" };

	if (!harness_wait_until(is_served, &wait, HARNESS_WAIT_MS))
		broken(soak, "served again", &sent, probe_path(kind));
}

static bool all_are_up(const soak_t *soak)
{
	for (int i = 0; i < CONTROLS; i++)
		if (!is_up(&soak->controls[i]))
			return false;
	for (int i = 0; i < ENTRIES; i++)
		if (!is_up(&soak->entries[i]))
			return false;
	return true;
}

static void finish_run(soak_t *soak)
{
	clock_ms_t limit = clock_now(&clock_monotonic) + HARNESS_WAIT_MS;

	for (unsigned i = 0; i < RUNNERS; i++)
		if (soak->endpoints[i].mend_ms != 0)
			mend_endpoint(soak, i);
	soak->now_ms += HARNESS_WAIT_MS; /* all pauses are over */
	while (!all_are_up(soak) && clock_now(&clock_monotonic) < limit) {
		mend(soak);
		http_client_poll(&soak->client, 10);
	}
	if (!http_client_run(&soak->client, HARNESS_WAIT_MS)) {
		soak->broken++;
		printf("BROKEN: requests without an answer are left\n");
	}
	judge_all(soak);
	for (unsigned i = 0; i < ENTRIES; i++) {
		expect_served(soak, &soak->entries[i], i, KIND_CHAT);
		expect_served(soak, &soak->entries[i], i, KIND_BOOKING);
	}
	for (unsigned i = 0; i < CONTROLS; i++)
		expect_served(soak, &soak->controls[i], i, KIND_READ);
	judge_bookings(soak);
}

static bool begin_run(soak_t *soak)
{
	probe_wait_t wait = { soak, &soak->controls[0], 0, KIND_READ };

	lay_out(soak);
	start_all(soak);
	for (unsigned i = 0; i < RUNNERS; i++)
		start_endpoint(soak, i);
	soak->version = 1;
	for (int tries = 0; soak->acknowledged == 0; tries++) {
		if (tries * 100 > HARNESS_WAIT_MS)
			return false;
		send_change(soak, soak->controls[0].address, 1, 0);
		if (!http_client_run(&soak->client, HARNESS_WAIT_MS))
			return false;
		judge_all(soak);
		g_usleep(100000);
	}
	if (!harness_wait_until(is_served, &wait, HARNESS_WAIT_MS))
		return false;
	/* From here on a disk that is empty is a disk that was lost. */
	for (int i = 0; i < CONTROLS; i++)
		write_control(soak, i, false);
	for (unsigned i = 0; i < ENTRIES; i++) {
		wait = (probe_wait_t){ soak, &soak->entries[i], i, KIND_CHAT };
		if (!harness_wait_until(is_served, &wait, HARNESS_WAIT_MS))
			return false;
	}
	return true;
}

static void run(soak_t *soak, int seconds)
{
	clock_ms_t begun = clock_now(&clock_monotonic);
	clock_ms_t last = begun;

	soak->now_ms = 0;
	soak->unplanned_ms = -CALM_MS;
	while (soak->now_ms < (clock_ms_t)seconds * 1000) {
		clock_ms_t now;

		http_client_poll(&soak->client, 5);
		now = clock_now(&clock_monotonic);
		soak->now_ms = now - begun;
		judge_all(soak);
		mend(soak);
		inject(soak, now - last);
		send_some(soak, now - last);
		last = now;
	}
}

static void end_run(soak_t *soak)
{
	for (guint i = 0; i < soak->client.requests->len; i++) {
		http_request_t *request =
			g_ptr_array_index(soak->client.requests, i);

		g_free(request->user);
	}
	http_client_finish(&soak->client);
	for (unsigned i = 0; i < RUNNERS; i++)
		end_endpoint(&soak->endpoints[i], false);
	for (int i = 0; i < ENTRIES; i++)
		harness_kill(soak->entries[i].process);
	for (int i = 0; i < CONTROLS; i++)
		harness_kill(soak->controls[i].process);
	fake_endpoint_journal_finish(&soak->journal);
	g_hash_table_destroy(soak->bookings);
	g_hash_table_destroy(soak->refused);
	g_rand_free(soak->random);
	harness_finish(&soak->harness, soak->broken == 0);
}

typedef struct {
	int seed;
	int seconds;
} options_t;

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	options_t *options = state->input;

	if (key == 's')
		options->seed = atoi(argument);
	else if (key == 't')
		options->seconds = atoi(argument);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp_option option_list[] = {
	{ "seed", 's', "N", 0, "Draws the faults (default: 1)", 0 },
	{ "seconds", 't', "N", 0, "How long faults come (default: 12)", 0 },
	{ 0 },
};

int main(int argc, char **argv)
{
	static const struct argp parser = {
		.options = option_list,
		.parser = parse_option,
		.doc = "Runs the fleet roles under drawn faults.",
	};
	options_t options = { .seed = 1, .seconds = SECONDS_DEFAULT };
	bool is_broken;
	soak_t *soak;

	if (argp_parse(&parser, argc, argv, 0, NULL, &options) != 0)
		return 2;
	soak = g_new0(soak_t, 1);
	harness_init(&soak->harness, "soak");
	http_client_init(&soak->client);
	fake_endpoint_journal_init(&soak->journal);
	soak->random = g_rand_new_with_seed((guint32)options.seed);
	soak->bookings =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (begin_run(soak)) {
		run(soak, options.seconds);
		finish_run(soak);
	} else {
		soak->broken++;
		printf("BROKEN: the fleet did not come up\n");
	}
	printf("seed=%d seconds=%d requests=%u served=%u faults=%u "
	       "configurations=%u broken=%u\n",
	       options.seed, options.seconds, soak->requests, soak->served,
	       soak->faults, soak->acknowledged, soak->broken);
	is_broken = soak->broken > 0;
	end_run(soak);
	g_free(soak);
	return is_broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
