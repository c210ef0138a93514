#ifndef WISTERIA_FLEET_REGISTRY_FILE_H
#define WISTERIA_FLEET_REGISTRY_FILE_H

#include <uv.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/part_guard_defs.h"
#include "wisteria/fleet/registry_defs.h"

/* Delay of a write after the first change, so that changes share a write. */
#define REGISTRY_FILE_WRITE_DELAY_MS 500

/* A copy of the registry and the refused parts on disk, loaded at start. */
typedef struct {
	uv_loop_t *loop;
	char *folder;
	uint64_t written_version;      /* of the registry; 0: none */
	unsigned written_silent_count; /* how many endpoints were silent then */
	uint32_t written_part_count;   /* how many parts were refused then */
	part_guard_t *parts;	       /* of the owner */
	clock_ms_t changed_ms;	       /* 0: the file is up to date */
	uint32_t entries; /* of the fleet: loaded, or to be written */
	bool writing;
	bool failing; /* the last write failed */
} registry_file_t;

void registry_file_init(registry_file_t *file, uv_loop_t *loop,
			const char *folder,
			part_guard_t *parts) ATTR_NONNULL_ALL;
void registry_file_finish(registry_file_t *file) ATTR_NONNULL_ALL;
unsigned registry_file_load(registry_file_t *file, registry_t *registry,
			    clock_ms_t now) ATTR_NONNULL_ALL;
void registry_file_write_if_changed(registry_file_t *file,
				    const registry_t *registry,
				    clock_ms_t now) ATTR_NONNULL_ALL;
void registry_file_write_now(registry_file_t *file, const registry_t *registry,
			     clock_ms_t now) ATTR_NONNULL_ALL;

bool registry_file_write(const char *folder, const void *data, size_t len,
			 err_t *err) ATTR_WARN_UNUSED;

#endif
