#ifndef WISTERIA_SETTINGS_SETTINGS_DEFS_H
#define WISTERIA_SETTINGS_SETTINGS_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/* Most seeds of a fleet. */
#define SETTINGS_SEEDS_MAX 11

/* Another instance of the system and where it listens. */
typedef struct {
	char *instance;
	char *address; /* IP:PORT */
} settings_peer_t;

/* The role that faces callers. */
typedef struct {
	char *http_listen; /* IP:PORT */
	uint32_t http_threads;
	char *admin_token_file; /* of those who may ask for explanations */
} settings_entry_t;

/* The role that keeps the durable state. */
typedef struct {
	char *listen;	    /* IP:PORT, for daemons and control instances */
	char *admin_listen; /* IP:PORT, for operators */
	char *admin_token_file;
	char *data_dir;
	char *bootstrap_preset_file; /* the first preset of a new group */
	settings_peer_t *voters;     /* the first members of a new group */
	unsigned voters_count;
	/* Not in the file: */
	bool join_only;	 /* never founds a group */
	bool open_group; /* all who join vote, who is lost leaves */
} settings_control_t;

/*
 * The roles of a fleet whose endpoints announce themselves and whose
 * configuration comes from the platform's operator.
 */
typedef struct {
	char *front_listen;   /* IP:PORT, for callers */
	char *ready_listen;   /* IP:PORT, for the balancer's question */
	char *control_listen; /* IP:PORT, for endpoints and operators */
	char *peer_listen;    /* IP:PORT, for frames between processes */
	char *data_dir;	      /* NULL: control without a vote */
	bool bootstrap;	      /* the whole fleet starts for the first time */
	char **seeds;	      /* control_listen of some control instances */
	unsigned seeds_count;
	double stop_s;	       /* from SIGTERM to the end at the latest */
	double retry_ratio;    /* retries for each fresh request */
	uint32_t retry_slack;  /* retries beyond that, of all entries */
	double retry_window_s; /* over which both are counted */
} settings_fleet_t;

typedef enum {
	SETTINGS_MODEL,
	SETTINGS_SERVICE
} settings_kind_t;

/* One endpoint that the agent stands beside. */
typedef struct {
	char *name;
	settings_kind_t kind;
	char *target; /* the model or service */
	uint32_t first_layer;
	uint32_t end_layer; /* one past the last */
	char *accelerator;
	char *url; /* of the engine or service */
	uint32_t slots;
	bool checks_fencing;
} settings_endpoint_t;

/* The role of the small process beside endpoints. */
typedef struct {
	char *listen; /* IP:PORT, for entries and agents */
	settings_endpoint_t *endpoints;
	unsigned endpoints_count;
	char *advertise; /* IP:PORT told to others; NULL: "listen" */
} settings_agent_t;

/* The settings of one process. */
typedef struct {
	char *instance;
	char *failure_domain;
	char *region;
	char *cluster_key_file; /* NULL: a fleet on a network of its own */
	char *log_level;
	char *trace_file;     /* OTLP JSON lines; NULL: no traces */
	char *metrics_listen; /* IP:PORT for /metrics and /healthz */
	char **roles;
	unsigned roles_count;
	settings_peer_t *control_instances; /* whom a daemon renews from */
	unsigned control_instances_count;
	settings_entry_t *entry;
	settings_control_t *control;
	settings_agent_t *agent;
	settings_fleet_t *fleet;
} settings_t;

#endif
