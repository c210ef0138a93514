#ifndef TEST_FUNCTIONAL_HARNESS_CLUSTER_H
#define TEST_FUNCTIONAL_HARNESS_CLUSTER_H

#include "harness/harness.h"
#include "harness/http.h"

#define CLUSTER_ENTRIES_MAX 5
#define CLUSTER_ENDPOINTS_MAX 64
#define CLUSTER_MODEL "modelo"
#define CLUSTER_SERVICE "pedidos"
#define CLUSTER_API_KEY "key-recife"
#define CLUSTER_ADMIN_TOKEN "operator-token"

/*
 * The size and settings of a cluster; members that are zero take the defaults
 * in brackets.
 */
typedef struct {
	size_t entries;		    /* run entry and control [1] */
	size_t ranges;		    /* layer ranges of the model [3] */
	size_t endpoints_per_range; /* [2] */
	size_t services;	    /* endpoints of the plain service [0] */
	uint32_t layers;	    /* of the model [12] */
	uint32_t slots;		    /* of each endpoint [256] */
	uint32_t engine_slots;	    /* of each engine [slots] */
	uint32_t step_us;	    /* engine time of one step [1000] */
	uint32_t sessions;	    /* in each customer's contract [1000] */
	size_t customers;	    /* each with its own contract [1] */
	const char *recovery;	    /* "restart" or "replay" [restart] */
	bool ignores_fencing;	    /* engines accept stale orders */
} cluster_params_t;

/* An instance with the roles entry and control. */
typedef struct {
	char name[HARNESS_NAME_BYTES];
	const char *http;    /* IP:PORT, for callers */
	const char *control; /* IP:PORT, for daemons */
	const char *admin;   /* IP:PORT, for operators */
	const char *metrics; /* IP:PORT */
	const char *data_dir;
	const char *settings;
	harness_process_t *process;
} cluster_entry_t;

/* An endpoint: an agent and its engine or service. */
typedef struct {
	char name[HARNESS_NAME_BYTES];
	uint32_t first_layer;
	uint32_t end_layer;    /* 0 for a service */
	const char *listen;    /* IP:PORT of the agent */
	const char *advertise; /* NULL: same as listen */
	const char *metrics;
	const char *backend_address; /* of the engine or service */
	const char *journal;	     /* written by the engine or service */
	const char *settings;
	harness_process_t *agent;
	harness_process_t *engine; /* or the service */
} cluster_endpoint_t;

typedef struct {
	harness_t *harness;
	cluster_params_t params;
	const char *key_file;
	const char *token_file;
	const char *preset_file;
	cluster_entry_t entries[CLUSTER_ENTRIES_MAX];
	size_t entry_count;
	cluster_endpoint_t endpoints[CLUSTER_ENDPOINTS_MAX];
	size_t endpoint_count;
} cluster_t;

/*
 * Assigns names and addresses without starting anything, so that a test can
 * replace addresses (by those of relays) before it calls
 * cluster_write_files() and starts the processes.
 */
void cluster_init(cluster_t *cluster, harness_t *harness,
		  const cluster_params_t *params) ATTR_NONNULL_ALL;
void cluster_write_files(cluster_t *cluster) ATTR_NONNULL_ALL;
/* Starts all processes and waits until every entry and agent is ready. */
bool cluster_start(cluster_t *cluster) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void cluster_start_entry(cluster_t *cluster,
			 cluster_entry_t *entry) ATTR_NONNULL_ALL;
void cluster_start_endpoint(cluster_t *cluster,
			    cluster_endpoint_t *endpoint) ATTR_NONNULL_ALL;
bool cluster_wait_ready(cluster_t *cluster) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
/* Kills an agent and its engine or service. */
void cluster_kill_endpoint(cluster_endpoint_t *endpoint) ATTR_NONNULL_ALL;
/* Returns the API key of a customer; that of number 0 is CLUSTER_API_KEY. */
const char *cluster_api_key(cluster_t *cluster,
			    size_t customer) ATTR_NONNULL_ALL;
http_request_t *cluster_send_request(cluster_t *cluster, http_client_t *client,
				     size_t entry, const char *prompt,
				     uint32_t max_tokens,
				     bool stream) ATTR_NONNULL_ALL;
http_request_t *cluster_send_request_as(cluster_t *cluster,
					http_client_t *client, size_t customer,
					size_t entry,
					const char *prompt) ATTR_NONNULL_ALL;
uint64_t cluster_read_metric(const char *metrics_address,
			     const char *name) ATTR_NONNULL_ALL;

#endif
