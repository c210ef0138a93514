/*
 * Fuzzes the leasing of shares of contracts.  Entries renew, replies are
 * delayed or lost, entries start and end sessions, crash and restart, and the
 * leader changes.  Checked: the sessions that all entries run, and those that
 * they may start under the shares they hold, never exceed the contract.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz_input.h"
#include "wisteria/limits/shares.h"

#define ENTRIES 3
#define CONTRACTS 2
#define LEASE_MS 2500

static char *const customers[CONTRACTS] = { "deposito", "oficina" };
static const char *const entry_names[ENTRIES] = { "e0", "e1", "e2" };

typedef struct {
	uint32_t share[CONTRACTS];
	uint32_t running[CONTRACTS];
	clock_ms_t lease_until_ms;
	msg_share_t demand[CONTRACTS + 1];
	clock_ms_t sent_ms;
	uint64_t term;	      /* of the leader that replied last */
	bool request_pending; /* sent, not yet processed */
	uint64_t demand_term;
	bool reply_pending; /* sent, not yet received */
	uint64_t reply_term;
	uint32_t reply[CONTRACTS];
} fuzz_entry_t;

typedef struct {
	fuzz_input_t input;
	clock_ms_t now_ms;
	shares_t *shares;
	uint64_t term;
	preset_contract_t contracts[CONTRACTS];
	preset_t preset;
	fuzz_entry_t entries[ENTRIES];
} fuzz_t;

static fuzz_entry_t *pick_entry(fuzz_t *fuzz)
{
	return &fuzz->entries[fuzz_byte(&fuzz->input) % ENTRIES];
}

static void check_limits(const fuzz_t *fuzz)
{
	for (int i = 0; i < CONTRACTS; i++) {
		uint32_t possible = 0;
		uint32_t running = 0;

		for (int j = 0; j < ENTRIES; j++) {
			const fuzz_entry_t *entry = &fuzz->entries[j];
			const uint32_t share =
				fuzz->now_ms < entry->lease_until_ms
					? entry->share[i]
					: 0;

			running += entry->running[i];
			possible += MAX(share, entry->running[i]);
		}
		CHECK(running <= fuzz->contracts[i].capability_sessions);
		CHECK(possible <= fuzz->contracts[i].capability_sessions);
	}
}

static void send_demand(fuzz_t *fuzz)
{
	fuzz_entry_t *entry = pick_entry(fuzz);

	entry->request_pending = true;
	entry->reply_pending = false;
	entry->sent_ms = fuzz->now_ms;
	entry->demand_term = entry->term;
	entry->demand[CONTRACTS] = (msg_share_t){ .customer = "" };
	for (int i = 0; i < CONTRACTS; i++)
		entry->demand[i] = (msg_share_t){
			.customer = customers[i],
			.sessions =
				entry->running[i] + fuzz_byte(&fuzz->input) % 8,
			.running = entry->running[i],
			.held = fuzz->now_ms < entry->lease_until_ms
					? entry->share[i]
					: 0,
		};
}

static void reply(fuzz_t *fuzz)
{
	fuzz_entry_t *entry = pick_entry(fuzz);
	GArray *granted_shares;

	if (!entry->request_pending)
		return;
	granted_shares = g_array_new(FALSE, FALSE, sizeof(msg_share_t));
	shares_renew(fuzz->shares, entry_names[entry - fuzz->entries],
		     entry->demand, CONTRACTS + 1,
		     entry->demand_term == fuzz->term, fuzz->now_ms,
		     granted_shares);
	entry->request_pending = false;
	entry->reply_pending = true;
	entry->reply_term = fuzz->term;
	memset(entry->reply, 0, sizeof(entry->reply));
	for (guint i = 0; i < granted_shares->len; i++) {
		const msg_share_t *share =
			&g_array_index(granted_shares, msg_share_t, i);

		for (int j = 0; j < CONTRACTS; j++)
			if (strcmp(share->customer, customers[j]) == 0)
				entry->reply[j] = share->sessions;
	}
	g_array_free(granted_shares, TRUE);
	/*
	 * Only leased shares are counted: a delayed renewal may report running
	 * sessions of a lease that has expired, and with them the sum may
	 * exceed the contract.
	 */
	for (int i = 0; i < CONTRACTS; i++)
		CHECK(shares_leased_sessions(fuzz->shares, customers[i],
					     fuzz->now_ms) <=
		      fuzz->contracts[i].capability_sessions);
}

static void accept_reply(fuzz_t *fuzz)
{
	fuzz_entry_t *entry = pick_entry(fuzz);

	if (!entry->reply_pending)
		return;
	entry->reply_pending = false;
	if (entry->reply_term != entry->term) {
		entry->term = entry->reply_term; /* and renews again */
		return;
	}
	memcpy(entry->share, entry->reply, sizeof(entry->share));
	entry->lease_until_ms = entry->sent_ms + LEASE_MS;
}

static void start_session(fuzz_t *fuzz)
{
	fuzz_entry_t *entry = pick_entry(fuzz);
	const int contract = fuzz_byte(&fuzz->input) % CONTRACTS;

	if (fuzz->now_ms < entry->lease_until_ms &&
	    entry->running[contract] < entry->share[contract])
		entry->running[contract]++;
}

static void start_all_sessions(fuzz_t *fuzz)
{
	fuzz_entry_t *entry = pick_entry(fuzz);

	if (fuzz->now_ms >= entry->lease_until_ms)
		return;
	for (int i = 0; i < CONTRACTS; i++)
		entry->running[i] = MAX(entry->running[i], entry->share[i]);
}

static void end_sessions(fuzz_t *fuzz)
{
	fuzz_entry_t *entry = pick_entry(fuzz);
	const uint8_t choice = fuzz_byte(&fuzz->input);
	const int contract = choice % CONTRACTS;
	const uint32_t count = choice / CONTRACTS % 8 + 1;

	entry->running[contract] -= MIN(entry->running[contract], count);
}

/* Crashes an entry: its sessions end at once, before its lease expires. */
static void crash(fuzz_t *fuzz)
{
	*pick_entry(fuzz) = (fuzz_entry_t){ 0 };
}

static void pass_time(fuzz_t *fuzz)
{
	fuzz->now_ms += fuzz_byte(&fuzz->input) * 4;
	for (int i = 0; i < ENTRIES; i++)
		if (fuzz->now_ms >= fuzz->entries[i].lease_until_ms)
			memset(fuzz->entries[i].running, 0,
			       sizeof(fuzz->entries[i].running));
}

static void renew_all(fuzz_t *fuzz)
{
	const fuzz_input_t input = fuzz->input;

	for (uint8_t i = 0; i < ENTRIES; i++) {
		const uint8_t script[] = { i, 3, 3, i, i, i, 3, 3, i, i };

		fuzz->input = (fuzz_input_t){ script, sizeof(script) };
		for (int j = 0; j < 2; j++) {
			send_demand(fuzz);
			reply(fuzz);
			accept_reply(fuzz);
		}
	}
	fuzz->input = input;
	pass_time(fuzz);
}

static void change_leader(fuzz_t *fuzz)
{
	shares_free(fuzz->shares);
	fuzz->term++;
	fuzz->shares = shares_new(LEASE_MS, fuzz->now_ms + LEASE_MS);
	shares_set_contracts(fuzz->shares, &fuzz->preset);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const steps[])(fuzz_t * fuzz) = {
		send_demand,	    send_demand,  reply,	 reply,
		accept_reply,	    accept_reply, start_session, start_session,
		start_all_sessions, end_sessions, pass_time,	 pass_time,
		renew_all,	    crash,	  change_leader,
	};
	fuzz_t fuzz = { .input = { data, size }, .now_ms = 100000 };

	for (int i = 0; i < CONTRACTS; i++)
		fuzz.contracts[i] = (preset_contract_t){
			.customer = customers[i],
			.capability_sessions = fuzz_byte(&fuzz.input) % 12 + 1,
		};
	fuzz.preset.contracts = fuzz.contracts;
	fuzz.preset.contracts_count = CONTRACTS;
	fuzz.shares = shares_new(LEASE_MS, 0);
	shares_set_contracts(fuzz.shares, &fuzz.preset);
	while (fuzz.input.size > 0) {
		steps[fuzz_byte(&fuzz.input) %
		      (sizeof(steps) / sizeof(steps[0]))](&fuzz);
		check_limits(&fuzz);
	}
	shares_free(fuzz.shares);
	return 0;
}
