#ifndef WISTERIA_SETTINGS_PRESET_DEFS_H
#define WISTERIA_SETTINGS_PRESET_DEFS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	char *name;
	uint32_t layers;
	uint32_t max_tokens; /* per completion */
} preset_model_t;

typedef struct {
	char *name;
	char **idempotent_methods; /* in addition to GET, HEAD, OPTIONS */
	unsigned idempotent_methods_count;
} preset_service_t;

/*
 * The contract of one customer.  The session limits count concurrent sessions
 * in the whole system: guarantee <= deserved <= capability.
 */
typedef struct {
	char *customer;
	char *api_key_hash; /* hexadecimal BLAKE2b-256 of the key */
	uint32_t priority;  /* larger values are served first */
	uint32_t guarantee_sessions;
	uint32_t deserved_sessions;
	uint32_t capability_sessions;
	uint32_t tokens_per_s; /* 0: unlimited */
} preset_contract_t;

typedef struct {
	uint32_t queue_length;	     /* queued requests per entry */
	uint32_t queue_ms;	     /* longest time in the queue */
	uint32_t request_ms;	     /* longest time until its response ends */
	uint32_t retry_percent;	     /* retries per 100 requests */
	uint64_t weight_bytes_per_s; /* read rate of the weight store */
	uint32_t ledger_retention_ms;
} preset_limits_t;

/*
 * How a session recovers after losing an endpoint of its chain.  The first
 * value is 0 and thus the default where the preset omits the key.
 */
typedef enum {
	PRESET_REPLAY, /* replaces the lost endpoint, if possible */
	PRESET_RESTART /* starts again on a new chain */
} preset_recovery_t;

/* A preset: models, services, contracts and limits, activated together. */
typedef struct {
	char *name;
	preset_model_t *models;
	unsigned models_count;
	preset_service_t *services;
	unsigned services_count;
	preset_contract_t *contracts;
	unsigned contracts_count;
	preset_limits_t limits;
	preset_recovery_t recovery;
} preset_t;

#endif
