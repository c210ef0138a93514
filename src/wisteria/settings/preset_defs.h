#ifndef WISTERIA_SETTINGS_PRESET_DEFS_H
#define WISTERIA_SETTINGS_PRESET_DEFS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	char *name;
	uint32_t layers;
	uint32_t max_tokens; /* most tokens of one answer */
} preset_model_t;

typedef struct {
	char *name;
	char **idempotent_methods; /* in addition to GET, HEAD, OPTIONS */
	unsigned idempotent_methods_count;
} preset_service_t;

/*
 * What one customer may use: guarantee <= deserved <= capability, in
 * sessions at a time over the whole system.
 */
typedef struct {
	char *customer;
	char *api_key_hash; /* hexadecimal BLAKE2b-256 of the key */
	uint32_t priority;  /* larger goes first */
	uint32_t guarantee_sessions;
	uint32_t deserved_sessions;
	uint32_t capability_sessions;
	uint32_t tokens_per_s; /* 0: unlimited */
} preset_contract_t;

typedef struct {
	uint32_t queue_length;	     /* requests waiting in one entry */
	uint32_t queue_ms;	     /* longest wait */
	uint32_t request_ms;	     /* longest answer */
	uint32_t retry_percent;	     /* retries for each 100 requests */
	uint64_t weight_bytes_per_s; /* taken from the weight store */
	uint32_t ledger_retention_ms;
} preset_limits_t;

/* How a stream goes on after a lost stage; the first is the default. */
typedef enum {
	PRESET_REPLAY,
	PRESET_RESTART
} preset_recovery_t;

/* A preset: everything that operators choose between. */
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
