#ifndef WISTERIA_FLEET_PART_GUARD_H
#define WISTERIA_FLEET_PART_GUARD_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/part_guard_defs.h"

void part_guard_init(part_guard_t *guard) ATTR_NONNULL_ALL;
const part_record_t *
part_guard_crash(part_guard_t *guard, const part_seen_t *parts, uint32_t count,
		 const part_crash_t *crash,
		 clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
const part_record_t *
part_guard_judge(part_guard_t *guard, const part_seen_t *parts, uint32_t count,
		 const part_crash_t *crash, bool is_complete,
		 clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void part_guard_clear_under_way(part_guard_t *guard) ATTR_NONNULL_ALL;
void part_guard_add_under_way(part_guard_t *guard, uint64_t part,
			      uint32_t requests) ATTR_NONNULL_ALL;
bool part_guard_has_crash(const part_guard_t *guard, uint64_t part,
			  const part_crash_t *crash) ATTR_NONNULL_ALL;
void part_guard_pass(part_guard_t *guard, uint64_t part,
		     clock_ms_t passed_ms) ATTR_NONNULL_ALL;
bool part_guard_watch(part_guard_t *guard, uint64_t part,
		      clock_ms_t refused_until_ms,
		      clock_ms_t now) ATTR_NONNULL_ALL;
void part_guard_unwatch(part_guard_t *guard) ATTR_NONNULL_ALL;
uint32_t part_guard_refused_count(const part_guard_t *guard,
				  clock_ms_t now) ATTR_NONNULL_ALL;
clock_ms_t part_guard_refused_ms(const part_guard_t *guard, uint64_t part,
				 clock_ms_t now) ATTR_NONNULL_ALL;
const part_record_t *part_guard_find(const part_guard_t *guard,
				     uint64_t part) ATTR_NONNULL_ALL;
void part_guard_expire(part_guard_t *guard, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
