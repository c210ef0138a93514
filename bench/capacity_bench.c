/*
 * Measures the slopes from which docs/CAPACITY.md computes the capacity, and
 * prints the page's table in Markdown.  Each quantity is measured at several
 * sizes, fitted by a line and extrapolated to the target size.
 */
#include <argp.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "bench_stats.h"
#include "daemons.h"
#include "held.h"
#include "routed.h"
#include "wisteria/base/log.h"

#define POINTS_MAX 8
#define SETTLE_MS 30000
#define STEADY_STATE_US 5000000
#define KIB 1024.0
#define MIB (1024.0 * 1024.0)
#define TARGET_DAEMONS 400
#define TARGET_ENDPOINTS 2400
#define TARGET_CUSTOMERS 2100
#define TARGET_TOKENS_PER_S 540000.0
#define TARGET_TOKEN_INTERVAL_S 0.061
#define TARGET_RANGES 3.0
#define DAEMON_ENDPOINTS (TARGET_ENDPOINTS / TARGET_DAEMONS)

/* One quantity at several sizes, and the size to extrapolate it to. */
typedef struct {
	const char *role;
	const char *quantity;
	const char *unit;
	const char *size_unit; /* what one unit of x is */
	const char *mechanism;
	double target;
	size_t count;
	double x[POINTS_MAX];
	double y[POINTS_MAX];
} slope_t;

typedef struct {
	const char *name;
	void (*run)(void);
} part_t;

static harness_t harness;

static void add_point(slope_t *slope, double x, double y)
{
	if (slope->count == POINTS_MAX)
		return;
	slope->x[slope->count] = x;
	slope->y[slope->count] = y;
	slope->count++;
}

static void print_table_head(void)
{
	printf("| Role | Quantity | Measured (size: value) | Slope | At target "
	       "| Fit off by | Carried by |\n"
	       "|---|---|---|---|---|---|---|\n");
}

static void print_slope(const slope_t *slope)
{
	bench_line_t line = bench_fit_line(slope->x, slope->y, slope->count);

	printf("| %s | %s, %s | ", slope->role, slope->quantity, slope->unit);
	for (size_t i = 0; i < slope->count; i++)
		printf("%s%.0f: %.4g", i > 0 ? "; " : "", slope->x[i],
		       slope->y[i]);
	printf(" | %.4g a %s | %.4g at %.0f | %.0f%% | %s |\n", line.slope,
	       slope->size_unit, line.offset + line.slope * slope->target,
	       slope->target, 100 * line.residual, slope->mechanism);
	fflush(stdout);
}

static void stop_cluster(cluster_t *cluster)
{
	for (size_t i = 0; i < cluster->endpoint_count; i++)
		cluster_kill_endpoint(&cluster->endpoints[i]);
	for (size_t i = 0; i < cluster->entry_count; i++)
		harness_kill(cluster->entries[i].process);
}

static void die(const char *why)
{
	harness_finish(&harness, false);
	g_error("%s", why);
}

/* Resources that a control instance and its daemons use in a steady state. */
typedef struct {
	double control_bytes; /* resident */
	double control_cpu;   /* cores */
	double wire_bytes; /* per second, in and out, at the control instance */
	double frames;	   /* per second, in and out */
	double daemon_bytes; /* resident, of one daemon */
	double daemon_cpu;   /* cores, of one daemon */
} control_cost_t;

static double read_metric(const cluster_entry_t *entry, const char *name)
{
	return (double)cluster_read_metric(entry->metrics, name);
}

static double wire_bytes(const cluster_entry_t *entry)
{
	return read_metric(entry, "wisteria_bytes_in_total") +
	       read_metric(entry, "wisteria_bytes_out_total");
}

static double wire_frames(const cluster_entry_t *entry)
{
	return read_metric(entry, "wisteria_frames_in_total") +
	       read_metric(entry, "wisteria_frames_out_total");
}

static void measure_window(const cluster_t *cluster, size_t daemon_count,
			   control_cost_t *cost)
{
	const cluster_entry_t *entry = &cluster->entries[0];
	const double seconds = STEADY_STATE_US * 1e-6;
	double bytes = wire_bytes(entry);
	double frames = wire_frames(entry);
	usage_t control = usage_read(entry->process->pid);
	usage_t self = usage_read(getpid());

	g_usleep(STEADY_STATE_US);
	cost->control_cpu =
		(usage_read(entry->process->pid).cpu_s - control.cpu_s) /
		seconds;
	cost->daemon_cpu = (usage_read(getpid()).cpu_s - self.cpu_s) / seconds /
			   (double)daemon_count;
	cost->wire_bytes = (wire_bytes(entry) - bytes) / seconds;
	cost->frames = (wire_frames(entry) - frames) / seconds;
	cost->control_bytes = control.resident_bytes;
}

static void start_control(cluster_t *cluster, size_t customers)
{
	const cluster_params_t params = { .entries = 1,
					  .customers = customers };

	cluster_init(cluster, &harness, &params);
	cluster->endpoint_count = 0;
	cluster_write_files(cluster);
	cluster_start_entry(cluster, &cluster->entries[0]);
	if (!harness_wait_http(cluster->entries[0].metrics, "/metrics", 200,
			       HARNESS_WAIT_MS))
		die("the control instance did not start");
}

/* Returns this process's memory after giving freed memory to the kernel. */
static double own_resident_bytes(void)
{
	malloc_trim(0);
	return usage_read(getpid()).resident_bytes;
}

static void measure_control(size_t daemon_count, size_t endpoints_each,
			    size_t customers, control_cost_t *cost)
{
	double before = own_resident_bytes();
	cluster_t cluster;
	daemons_params_t params = { .cluster = &cluster,
				    .count = daemon_count,
				    .endpoints_each = endpoints_each,
				    .customers = customers };
	daemons_t *daemons;

	start_control(&cluster, customers);
	daemons = daemons_start(&params);
	if (!daemons_wait(daemons, daemon_count * endpoints_each, 1, SETTLE_MS))
		die("the daemons did not receive the directory");
	cost->daemon_bytes =
		(own_resident_bytes() - before) / (double)daemon_count;
	measure_window(&cluster, daemon_count, cost);
	daemons_stop(daemons);
	stop_cluster(&cluster);
}

/* Measures a control instance by the number of daemons. */
static void measure_control_slopes(void)
{
	static const size_t sizes[] = { 50, 100, 200, 400 };
	slope_t memory = { .role = "control voter",
			   .quantity = "memory",
			   .unit = "MiB",
			   .size_unit = "daemon with 6 endpoints",
			   .mechanism = "control/directory.c "
					"directory_announce(), net/conn.c",
			   .target = TARGET_DAEMONS };
	slope_t cpu = { .role = "control voter",
			.quantity = "processor",
			.unit = "% of a core",
			.size_unit = "daemon",
			.mechanism = "control/control.c, MSG_RENEW answered "
				     "with directory_delta()",
			.target = TARGET_DAEMONS };
	slope_t bytes = { .role = "control voter",
			  .quantity = "wire, both ways",
			  .unit = "KiB/s",
			  .size_unit = "daemon",
			  .mechanism = "control/lease_client.c send_renewal()",
			  .target = TARGET_DAEMONS };
	slope_t frames = { .role = "control voter",
			   .quantity = "frames, both ways",
			   .unit = "1/s",
			   .size_unit = "daemon",
			   .mechanism = "control/control_defs.h LEASE_RENEW_MS",
			   .target = TARGET_DAEMONS };

	for (size_t i = 0; i < ARRAY_SIZE(sizes); i++) {
		control_cost_t cost;
		double x = (double)sizes[i];

		measure_control(sizes[i], DAEMON_ENDPOINTS, 0, &cost);
		add_point(&memory, x, cost.control_bytes / MIB);
		add_point(&cpu, x, 100 * cost.control_cpu);
		add_point(&bytes, x, cost.wire_bytes / KIB);
		add_point(&frames, x, cost.frames);
	}
	print_slope(&memory);
	print_slope(&cpu);
	print_slope(&bytes);
	print_slope(&frames);
}

/* Measures a daemon's lease client by the size of the directory. */
static void measure_daemon_slopes(void)
{
	static const size_t endpoint_counts[] = { 3, 6, 12, 24 };
	const size_t daemon_count = 100;
	slope_t memory = { .role = "daemon, control part",
			   .quantity = "memory",
			   .unit = "KiB",
			   .size_unit = "endpoint in the directory",
			   .mechanism = "control/view_builder.c",
			   .target = TARGET_ENDPOINTS };
	slope_t cpu = { .role = "daemon, control part",
			.quantity = "processor",
			.unit = "% of a core",
			.size_unit = "endpoint in the directory",
			.mechanism = "control/lease_client.c take_reply(), "
				     "view_builder_make()",
			.target = TARGET_ENDPOINTS };
	slope_t bytes = { .role = "daemon, control part",
			  .quantity = "wire, both ways",
			  .unit = "KiB/s",
			  .size_unit = "endpoint in the directory",
			  .mechanism = "control/directory.c directory_delta()",
			  .target = TARGET_ENDPOINTS };

	for (size_t i = 0; i < ARRAY_SIZE(endpoint_counts); i++) {
		control_cost_t cost;
		double x = (double)(daemon_count * endpoint_counts[i]);

		measure_control(daemon_count, endpoint_counts[i], 0, &cost);
		add_point(&memory, x, cost.daemon_bytes / KIB);
		add_point(&cpu, x, 100 * cost.daemon_cpu);
		add_point(&bytes, x,
			  cost.wire_bytes / KIB / (double)daemon_count);
	}
	print_slope(&memory);
	print_slope(&cpu);
	print_slope(&bytes);
}

/* Measures an entry's requests for shares by the number of customers. */
static void measure_share_slopes(void)
{
	static const size_t sizes[] = { 50, 100, 200, 400 };
	const size_t entry_count = 20;
	slope_t bytes = { .role = "entry, control part",
			  .quantity = "wire, both ways",
			  .unit = "KiB/s",
			  .size_unit = "customer with work at the entry",
			  .mechanism = "msg_renew_t.demand, "
				       "msg_renew_reply_t.shares",
			  .target = TARGET_CUSTOMERS };
	slope_t cpu = { .role = "control voter",
			.quantity = "processor for one entry",
			.unit = "% of a core",
			.size_unit = "customer with work at the entry",
			.mechanism = "limits/shares, control/control.c",
			.target = TARGET_CUSTOMERS };

	for (size_t i = 0; i < ARRAY_SIZE(sizes); i++) {
		control_cost_t cost;
		double x = (double)sizes[i];

		measure_control(entry_count, 0, sizes[i], &cost);
		add_point(&bytes, x,
			  cost.wire_bytes / KIB / (double)entry_count);
		add_point(&cpu, x,
			  100 * cost.control_cpu / (double)entry_count);
	}
	print_slope(&bytes);
	print_slope(&cpu);
}

static void start_cluster(cluster_t *cluster, uint32_t step_us)
{
	const cluster_params_t params = { .slots = 4096,
					  .engine_slots = 1000000,
					  .sessions = 100000,
					  .step_us = step_us };

	cluster_init(cluster, &harness, &params);
	cluster_write_files(cluster);
	if (!cluster_start(cluster))
		die("the cluster did not start");
}

/* Measures the entry and the agents by the number of open sessions. */
static void measure_session_slopes(void)
{
	static const uint32_t sizes[] = { 125, 250, 500, 1000 };
	const double open = TARGET_TOKENS_PER_S * TARGET_TOKEN_INTERVAL_S;
	slope_t entry = { .role = "entry",
			  .quantity = "memory",
			  .unit = "MiB",
			  .size_unit = "open session",
			  .mechanism = "entry/, session/entry_session.c",
			  .target = open / TARGET_DAEMONS };
	slope_t agent = { .role = "agent",
			  .quantity = "memory",
			  .unit = "MiB",
			  .size_unit = "open session of one hop",
			  .mechanism = "agent/agent_session.c, "
				       "session/hop_session.c",
			  .target = open * TARGET_RANGES / TARGET_DAEMONS };

	for (size_t i = 0; i < ARRAY_SIZE(sizes); i++) {
		cluster_t cluster;
		held_cost_t cost;
		double x = sizes[i];

		start_cluster(&cluster, 1000);
		held_measure(&cluster, sizes[i], &cost);
		stop_cluster(&cluster);
		add_point(&entry, x, cost.entry_bytes / MIB);
		add_point(&agent, x * (double)cluster.params.ranges,
			  cost.agent_bytes / MIB);
	}
	print_slope(&entry);
	print_slope(&agent);
}

typedef struct {
	slope_t entry_cpu;
	slope_t entry_bytes;
	slope_t entry_frames;
	slope_t agent_cpu;
} token_slopes_t;

static void measure_tokens(cluster_t *cluster, uint32_t streams,
			   token_slopes_t *slopes)
{
	const cluster_entry_t *entry = &cluster->entries[0];
	double cpu = usage_read(entry->process->pid).cpu_s;
	double agents = held_agents_usage(cluster).cpu_s;
	double bytes = wire_bytes(entry);
	double frames = wire_frames(entry);
	bench_run_t run;
	double per_s;

	bench_run_init(&run);
	routed_run_closed_loop(cluster, streams, streams * 20, &run);
	per_s = (double)run.tokens / run.seconds;
	cpu = usage_read(entry->process->pid).cpu_s - cpu;
	agents = held_agents_usage(cluster).cpu_s - agents;
	add_point(&slopes->entry_cpu, per_s, 100 * cpu / run.seconds);
	add_point(&slopes->entry_bytes, per_s,
		  (wire_bytes(entry) - bytes) / run.seconds / KIB);
	add_point(&slopes->entry_frames, per_s,
		  (wire_frames(entry) - frames) / run.seconds);
	add_point(&slopes->agent_cpu, per_s * (double)cluster->params.ranges,
		  100 * agents / run.seconds);
	bench_run_finish(&run);
}

/* Measures an entry and its agents by the rate of tokens. */
static void measure_token_slopes(void)
{
	static const uint32_t streams[] = { 1, 2, 4, 8, 16, 32 };
	const double share = TARGET_TOKENS_PER_S / TARGET_DAEMONS;
	token_slopes_t slopes = {
		{ .role = "entry",
		  .quantity = "processor",
		  .unit = "% of a core",
		  .size_unit = "token/s",
		  .mechanism = "session/entry_session.c "
			       "entry_session_on_tokens(), entry/",
		  .target = share },
		{ .role = "entry",
		  .quantity = "wire to agents and control",
		  .unit = "KiB/s",
		  .size_unit = "token/s",
		  .mechanism = "codec/msg.c MSG_TOKENS, MSG_TOKENS_ACK",
		  .target = share },
		{ .role = "entry",
		  .quantity = "frames",
		  .unit = "1/s",
		  .size_unit = "token/s",
		  .mechanism = "session/entry_session.c",
		  .target = share },
		{ .role = "agent",
		  .quantity = "processor",
		  .unit = "% of a core",
		  .size_unit = "step/s",
		  .mechanism = "session/hop_session.c, agent/engine_http.c",
		  .target = share * TARGET_RANGES },
	};
	cluster_t cluster;

	start_cluster(&cluster, 1000);
	for (size_t i = 0; i < ARRAY_SIZE(streams); i++)
		measure_tokens(&cluster, streams[i], &slopes);
	stop_cluster(&cluster);
	print_slope(&slopes.entry_cpu);
	print_slope(&slopes.entry_bytes);
	print_slope(&slopes.entry_frames);
	print_slope(&slopes.agent_cpu);
}

static const part_t parts[] = {
	{ "control", measure_control_slopes },
	{ "daemon", measure_daemon_slopes },
	{ "shares", measure_share_slopes },
	{ "sessions", measure_session_slopes },
	{ "tokens", measure_token_slopes },
};

static const struct argp_option option_table[] = {
	{ "part", 'p', "NAME", 0, "Only one part", 0 },
	{ 0 },
};

static error_t parse(int key, char *text, struct argp_state *state)
{
	const char **part = state->input;

	if (key != 'p')
		return ARGP_ERR_UNKNOWN;
	*part = text;
	return 0;
}

int main(int argc, char **argv)
{
	const struct argp argp = { option_table, parse,
				   NULL,	 "Slopes of the capacity page.",
				   NULL,	 NULL,
				   NULL };
	const char *part = NULL;

	argp_parse(&argp, argc, argv, 0, NULL, &part);
	if (!log_init("capacity_bench", "error"))
		return 1;
	harness_init(&harness, "capacity_bench");
	print_table_head();
	for (size_t i = 0; i < ARRAY_SIZE(parts); i++)
		if (part == NULL || strcmp(part, parts[i].name) == 0)
			parts[i].run();
	harness_finish(&harness, true);
	return 0;
}
