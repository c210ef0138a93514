#ifndef WISTERIA_SETTINGS_SETTINGS_DEFS_H
#define WISTERIA_SETTINGS_SETTINGS_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/* Maximum number of seeds in the settings of a fleet. */
#define SETTINGS_SEEDS_MAX 11

/* Another instance and the address it listens on. */
typedef struct {
	char *instance;
	char *address; /* IP:PORT */
} settings_peer_t;

/* The entry role, which accepts requests of clients. */
typedef struct {
	char *http_listen; /* IP:PORT */
	uint32_t http_threads;
	/* token for /v1/explain; NULL: that of the control role, if any */
	char *admin_token_file;
} settings_entry_t;

/* What a fleet bears to lose at once: the largest of these losses. */
typedef struct {
	uint32_t machines; /* with a control instance that has a disk */
	uint32_t failure_domains;
	uint32_t regions;
} settings_tolerance_t;

/* A failure domain of a fleet, and the region that it is in. */
typedef struct {
	char *name;
	char *region;
} settings_domain_t;

/* The control role, which stores the durable state. */
typedef struct {
	char *listen;	    /* IP:PORT, for daemons and control instances */
	char *admin_listen; /* IP:PORT, for operators */
	char *admin_token_file;
	char *data_dir;
	char *bootstrap_preset_file; /* first preset of a new group */
	settings_peer_t *voters;     /* initial members of a new group */
	unsigned voters_count;
	/* Set by the program, not in the file: */
	bool join_only; /* joins a group, never creates one */
	/* instances that join become voters; lost members are removed */
	bool open_group;
	/* what an open group bears; those of the fleet */
	const settings_tolerance_t *tolerance;
	const settings_domain_t *domains;
	unsigned domains_count;
} settings_control_t;

/*
 * The roles of a fleet, where endpoints register themselves and the operator
 * of the platform provides the configuration.
 */
typedef struct {
	char *front_listen;   /* IP:PORT, for clients */
	char *ready_listen;   /* IP:PORT, for readiness checks */
	char *control_listen; /* IP:PORT, for endpoints and operators */
	char *peer_listen;    /* IP:PORT, for other instances */
	char *data_dir;	      /* NULL: control without a replica */
	bool bootstrap;	      /* the first start of a new fleet */
	char **seeds;	      /* control_listen of control instances */
	unsigned seeds_count;
	settings_tolerance_t *tolerance;
	settings_domain_t *domains;
	unsigned domains_count;
	double stop_s;	       /* maximum shutdown time after SIGTERM */
	double retry_ratio;    /* retries per original request */
	uint32_t retry_slack;  /* additional retries, all entries together */
	double retry_window_s; /* sliding window of both limits */
	/* Of all clients of an entry together; 0: as http_server.c says */
	uint32_t front_connections;
	uint32_t front_held_mb; /* of requests until they are answered */
} settings_fleet_t;

typedef enum {
	SETTINGS_MODEL,
	SETTINGS_SERVICE
} settings_endpoint_kind_t;

/* One endpoint that the agent serves. */
typedef struct {
	char *name;
	settings_endpoint_kind_t kind;
	char *target; /* the model or service */
	uint32_t first_layer;
	uint32_t end_layer; /* one past the last */
	char *accelerator;
	char *url; /* of the engine or service */
	uint32_t slots;
	bool checks_fencing;
} settings_endpoint_t;

/* The agent role: the process that runs beside endpoints. */
typedef struct {
	char *listen; /* IP:PORT, for entries and agents */
	settings_endpoint_t *endpoints;
	unsigned endpoints_count;
	char *advertise; /* IP:PORT for others; NULL: "listen" */
} settings_agent_t;

/* The settings of one process. */
typedef struct {
	char *instance;
	char *failure_domain;
	char *region;
	char *cluster_key_file; /* NULL: a fleet on a trusted network */
	char *log_level;
	char *trace_file;     /* OTLP JSON lines; NULL: no traces */
	char *metrics_listen; /* IP:PORT for /metrics and /healthz */
	char **roles;
	unsigned roles_count;
	settings_peer_t *control_instances; /* for leases of daemons */
	unsigned control_instances_count;
	settings_entry_t *entry;
	settings_control_t *control;
	settings_agent_t *agent;
	settings_fleet_t *fleet;
} settings_t;

#endif
