/*
 * The entry's side of the parts of prompts, and the requests, that crash
 * endpoints: reports to the leader which were there as an endpoint crashed and
 * which were served, and follows the leader's refusals.  A request is known by its
 * digest, as its repetitions have other ids.
 */
#include "wisteria/gateway/prompt_parts.h"

#include <string.h>

#include <xxhash.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/http/http_message.h"

#define PART_FORMAT "%" G_GINT64_MODIFIER "x"

/*
 * Returns a digest of what a request asks for, its prompt included, and for which
 * customer.
 */
uint64_t prompt_parts_digest(const http_message_t *message,
			     const caller_request_t *caller,
			     const char *customer)
{
	const char *const texts[] = {
		message->method,
		http_message_find_header(message, "host"),
		http_message_target(message),
		customer,
	};
	uint64_t digest = caller->own_part;

	for (uint32_t i = 0; i < caller->shared_part_count; i++)
		digest = XXH3_64bits_withSeed(&caller->shared_parts[i],
					      sizeof(uint64_t), digest);
	for (size_t i = 0; i < ARRAY_SIZE(texts); i++)
		if (texts[i] != NULL)
			digest = XXH3_64bits_withSeed(
				texts[i], strlen(texts[i]) + 1, digest);
	return XXH3_64bits_withSeed(message->body->data, message->body->len,
				    digest);
}

static part_pass_t *pass_of(gateway_t *gateway, uint64_t part)
{
	uint64_t slot =
		XXH3_64bits(&part, sizeof(part)) % GATEWAY_PART_PASSES_MAX;

	return &gateway->part_passes[slot];
}

/* Returns how long ago "part" was last served here; -1: it is not known. */
static int64_t passed_ago_ms(gateway_t *gateway, uint64_t part, clock_ms_t now)
{
	const part_pass_t *pass = pass_of(gateway, part);

	return pass->part == part && pass->at_ms != 0 ? now - pass->at_ms : -1;
}

/*
 * Returns the parts of the prompt and the digest of the request for logs; the
 * caller frees it.
 */
char *prompt_parts_describe(const caller_request_t *caller)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < caller->shared_part_count; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
				       i == 0 ? "" : ",",
				       caller->shared_parts[i]);
	g_string_append_printf(text,
			       " own_part=" PART_FORMAT " digest=" PART_FORMAT,
			       caller->own_part, caller->digest);
	return g_string_free(text, FALSE);
}

/*
 * Fills "parts", of REQUEST_PARTS_MAX items, with what the request may be refused
 * for: the parts of its prompt, of which its session may have the last one too,
 * and itself.  Returns their number.
 */
static uint32_t list_parts(const caller_request_t *caller, uint64_t *parts)
{
	uint32_t count = caller->shared_part_count;

	memcpy(parts, caller->shared_parts, count * sizeof(*parts));
	if (caller->own_part != 0)
		parts[count++] = caller->own_part;
	parts[count++] = caller->digest;
	return count;
}

/* Records that an endpoint has begun to answer a request and runs on. */
void prompt_parts_passed(gateway_t *gateway, const caller_request_t *caller)
{
	clock_ms_t now = clock_now(gateway->clock);
	uint64_t parts[REQUEST_PARTS_MAX];
	uint32_t count = list_parts(caller, parts);

	for (uint32_t i = 0; i < count; i++)
		*pass_of(gateway, parts[i]) = (part_pass_t){
			.part = parts[i],
			.at_ms = now,
		};
}

/* Tells the leader of a crash; returns false if there is no leader. */
static bool report_crash(gateway_t *gateway, const seen_crash_t *crash,
			 clock_ms_t now)
{
	msg_fleet_part_t parts[REQUEST_PARTS_MAX];
	const msg_fleet_parts_t report = {
		.endpoint = XXH3_64bits_withSeed(crash->endpoint_id,
						 strlen(crash->endpoint_id),
						 crash->incarnation),
		.request = crash->request,
		.parts = parts,
		.part_count = crash->part_count,
		.digest = crash->digest,
		.digest_passed_ago_ms =
			passed_ago_ms(gateway, crash->digest, now),
		.suspected_id = crash->is_certain ? "" : crash->endpoint_id,
		.suspected_incarnation = crash->incarnation,
		.crashed_ago_ms = now - crash->at_ms,
	};

	for (uint32_t i = 0; i < crash->part_count; i++)
		parts[i] = (msg_fleet_part_t){
			.part = crash->parts[i],
			.passed_ago_ms =
				passed_ago_ms(gateway, crash->parts[i], now),
		};
	return subscription_send_to_leader(&gateway->subscription,
					   MSG_FLEET_PARTS, &report);
}

/*
 * Tells a leader that is new, or connected again, of the crashes that this entry
 * saw: a leader keeps what it counts in memory only.
 */
static void report_earlier_crashes(gateway_t *gateway, clock_ms_t now)
{
	uint64_t epoch = gateway->subscription.leader_epoch;

	if (epoch != gateway->crashes_leader_epoch) {
		gateway->crashes_leader_epoch = epoch;
		gateway->crashes_told_until_ms = now + GATEWAY_CRASHES_TOLD_MS;
	}
	if (now >= gateway->crashes_told_until_ms)
		return;
	for (uint32_t i = 0; i < GATEWAY_CRASHES_MAX; i++) {
		const seen_crash_t *crash = &gateway->crashes[i];

		if (crash->at_ms != 0 &&
		    now - crash->at_ms < PART_GUARD_MEMORY_MS)
			(void)report_crash(gateway, crash, now);
	}
}

/*
 * Reports to the leader that an endpoint crashed under a request or, if
 * "is_certain" is false, that it may have: it closed the connection.
 */
void prompt_parts_crashed(gateway_t *gateway, const caller_request_t *caller,
			  const char *endpoint_id, uint64_t incarnation,
			  bool is_certain)
{
	clock_ms_t now = clock_now(gateway->clock);
	seen_crash_t *crash = &gateway->crashes[gateway->next_crash];
	bool is_reported;

	gateway->next_crash = (gateway->next_crash + 1) % GATEWAY_CRASHES_MAX;
	*crash = (seen_crash_t){
		.at_ms = now,
		.incarnation = incarnation,
		.is_certain = is_certain,
		.request = XXH3_64bits(caller->id, strlen(caller->id)),
		.digest = caller->digest,
	};
	g_strlcpy(crash->endpoint_id, endpoint_id, sizeof(crash->endpoint_id));
	crash->part_count = list_parts(caller, crash->parts) - 1;
	if (is_certain)
		counter_add(COUNTER_GATEWAY_CRASHES, 1);
	is_reported = report_crash(gateway, crash, now);
	LOG_INFO(is_certain ? "endpoint_crashed_at_begin"
			    : "endpoint_crash_suspected",
		 "request=%s endpoint=%s incarnation=%" G_GUINT64_FORMAT
		 " parts=%u own_part=" PART_FORMAT " digest=" PART_FORMAT
		 " reported=%d",
		 caller->id, endpoint_id, incarnation, crash->part_count,
		 caller->own_part, caller->digest, is_reported);
}

/*
 * Returns for how long yet a request is refused for its parts, or itself; 0: it is
 * not.
 */
clock_ms_t prompt_parts_refused_ms(const gateway_t *gateway,
				   const caller_request_t *caller)
{
	clock_ms_t now = clock_now(gateway->clock);
	uint64_t parts[REQUEST_PARTS_MAX];
	uint32_t count = list_parts(caller, parts);
	clock_ms_t longest_ms = 0;

	for (uint32_t i = 0; i < count; i++)
		longest_ms =
			MAX(longest_ms, part_guard_refused_ms(&gateway->parts,
							      parts[i], now));
	return longest_ms;
}

/* Counts an exchange under each of the asked parts that its request has. */
static void count_under_way(const exchange_t *exchange, GHashTable *asked)
{
	uint64_t parts[REQUEST_PARTS_MAX];
	uint32_t count = list_parts(&exchange->caller, parts);

	for (uint32_t i = 0; i < count; i++) {
		msg_fleet_part_t *part = g_hash_table_lookup(asked, &parts[i]);

		if (part != NULL)
			part->under_way++;
	}
}

/*
 * Answers a question of the leader: when the parts that it lists were last served
 * here, and how many requests with them are at an endpoint that has not outlived
 * them yet.
 */
void prompt_parts_answer(gateway_t *gateway, const msg_fleet_parts_t *list)
{
	clock_ms_t now = clock_now(gateway->clock);
	msg_fleet_part_t *parts = g_new(msg_fleet_part_t, list->part_count + 1);
	GHashTable *asked = g_hash_table_new(g_int64_hash, g_int64_equal);
	const msg_fleet_parts_t answer = {
		.parts = parts,
		.part_count = list->part_count,
		.question = list->question,
	};
	const exchange_t *exchange;

	for (size_t i = 0; i < list->part_count; i++) {
		parts[i] = (msg_fleet_part_t){
			.part = list->parts[i].part,
			.passed_ago_ms = passed_ago_ms(
				gateway, list->parts[i].part, now),
		};
		g_hash_table_insert(asked, &parts[i].part, &parts[i]);
	}
	LIST_FOREACH(exchange, &gateway->exchanges, entry)
	if (exchange->call != NULL && !exchange->has_passed)
		count_under_way(exchange, asked);
	subscription_send_to_leader(&gateway->subscription, MSG_FLEET_PARTS,
				    &answer);
	g_hash_table_destroy(asked);
	g_free(parts);
}

/*
 * Takes over the leader's list.  Refusals that it lacks stay until their end: a
 * new leader may not know them yet.  Returns whether a part is newly refused.
 */
bool prompt_parts_follow(gateway_t *gateway, const msg_fleet_parts_t *list)
{
	clock_ms_t now = clock_now(gateway->clock);
	bool any_new = false;

	part_guard_unwatch(&gateway->parts);
	for (size_t i = 0; i < list->part_count; i++) {
		const msg_fleet_part_t *part = &list->parts[i];
		clock_ms_t left_ms =
			MIN(part->refused_left_ms, PART_GUARD_REFUSAL_MS);

		if (!part_guard_watch(&gateway->parts, part->part,
				      now + left_ms, now))
			continue;
		any_new = true;
		LOG_WARN("part_refused",
			 "part=" PART_FORMAT " for_ms=%" G_GINT64_FORMAT
			 " source=leader",
			 part->part, left_ms);
	}
	return any_new;
}

static void log_ended_refusals(const gateway_t *gateway, clock_ms_t now)
{
	for (uint32_t i = 0; i < gateway->parts.count; i++) {
		const part_record_t *record = &gateway->parts.records[i];

		if (record->refused_until_ms > gateway->parts_reported_ms &&
		    record->refused_until_ms <= now)
			LOG_INFO("part_allowed", "part=" PART_FORMAT,
				 record->part);
	}
}

/*
 * Tells the leader which of the watched parts were served lately, and which
 * parts are refused here, in case it has just begun to lead.
 */
void prompt_parts_report(gateway_t *gateway, clock_ms_t now)
{
	msg_fleet_part_t parts[PART_GUARD_PARTS_MAX];
	msg_fleet_parts_t report = { .parts = parts };

	log_ended_refusals(gateway, now);
	gateway->parts_reported_ms = now;
	part_guard_expire(&gateway->parts, now);
	for (uint32_t i = 0; i < gateway->parts.count; i++) {
		uint64_t part = gateway->parts.records[i].part;
		msg_fleet_part_t known = {
			.part = part,
			.passed_ago_ms = passed_ago_ms(gateway, part, now),
			.refused_left_ms = part_guard_refused_ms(
				&gateway->parts, part, now),
		};

		if (known.passed_ago_ms >= 0 || known.refused_left_ms > 0)
			parts[report.part_count++] = known;
	}
	if (report.part_count > 0)
		subscription_send_to_leader(&gateway->subscription,
					    MSG_FLEET_PARTS, &report);
	report_earlier_crashes(gateway, now);
}
