/*
 * Fuzzes admission control against a model of all requests.  Requests are
 * offered, admitted, put back, finished and cancelled; time passes; the leased
 * shares of contracts change.  Checked: session and queue limits hold, each
 * request ends exactly once, none waits past its expiry, none that may start is
 * kept waiting, and a customer below its deserved sessions is not overtaken by
 * one that has reached its own.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fuzz_input.h"
#include "wisteria/limits/admission.h"

#define CUSTOMERS 3
#define TARGETS 2
#define REQUESTS_MAX 512
#define METERED 2 /* index of the customer with a token rate limit */

typedef enum {
	REQUEST_QUEUED,
	REQUEST_RUNNING,
	REQUEST_ENDED
} request_state_t;

typedef struct {
	request_state_t state;
	uint32_t customer;
	uint32_t target;
	clock_ms_t offered_ms;
	clock_ms_t deadline_ms;
} request_t;

typedef struct {
	fuzz_input_t input;
	clock_ms_t now_ms;
	admission_t *admission;
	preset_contract_t contracts[CUSTOMERS];
	preset_t preset;
	msg_share_t shares[CUSTOMERS];
	uint32_t limit[CUSTOMERS];
	uint32_t deserved[CUSTOMERS];
	bool has_contract[CUSTOMERS];
	uint32_t running[CUSTOMERS];
	uint32_t queued;
	uint32_t busy_slots[TARGETS];
	uint32_t slots[TARGETS];
	clock_ms_t blocked_at_ms[TARGETS];
	request_t requests[REQUESTS_MAX];
	uint32_t request_count;
} fuzz_t;

static char *const customers[CUSTOMERS] = { "grande", "pequeno", "medido" };
static const char *const targets[TARGETS] = { "modelo", "redactor" };

static handle_t handle_of(uint32_t number)
{
	return (handle_t){ number, 1 };
}

static admission_offer_t offer_of(const fuzz_t *fuzz, uint32_t number)
{
	const request_t *request = &fuzz->requests[number];

	return (admission_offer_t){
		.customer = customers[request->customer],
		.target = targets[request->target],
		.request = handle_of(number),
		.deadline_ms = request->deadline_ms,
		.offered_ms = request->offered_ms,
	};
}

static clock_ms_t expiry_of(const fuzz_t *fuzz, const request_t *request)
{
	return MIN(request->deadline_ms,
		   request->offered_ms + fuzz->preset.limits.queue_ms);
}

static void apply_answer(fuzz_t *fuzz, uint32_t number,
			 admission_answer_t answer)
{
	request_t *request = &fuzz->requests[number];

	switch (answer.result) {
	case ADMISSION_ADMITTED:
		request->state = REQUEST_RUNNING;
		CHECK(fuzz->has_contract[request->customer]);
		CHECK(fuzz->running[request->customer] <
		      fuzz->limit[request->customer]);
		fuzz->running[request->customer]++;
		return;
	case ADMISSION_QUEUED:
		request->state = REQUEST_QUEUED;
		CHECK(fuzz->has_contract[request->customer]);
		CHECK(expiry_of(fuzz, request) > fuzz->now_ms);
		fuzz->queued++;
		CHECK(fuzz->queued <= fuzz->preset.limits.queue_length);
		return;
	case ADMISSION_REFUSED:
		request->state = REQUEST_ENDED;
		CHECK(answer.reason != ADMISSION_REASON_NONE);
		CHECK(answer.retry_after_ms > 0);
		return;
	}
}

/* Gives an admitted request a free slot of its target, or puts it back. */
static void assign_slot(fuzz_t *fuzz, uint32_t number)
{
	request_t *request = &fuzz->requests[number];
	const admission_offer_t offer = offer_of(fuzz, number);

	if (fuzz->busy_slots[request->target] < fuzz->slots[request->target]) {
		fuzz->busy_slots[request->target]++;
		return;
	}
	fuzz->running[request->customer]--;
	fuzz->blocked_at_ms[request->target] = fuzz->now_ms;
	apply_answer(fuzz, number,
		     admission_requeue(fuzz->admission, &offer, fuzz->now_ms));
}

static void offer(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);
	const uint32_t number = fuzz->request_count;
	admission_offer_t offered;

	if (number == REQUESTS_MAX)
		return;
	fuzz->request_count++;
	fuzz->requests[number] = (request_t){
		.customer = choice % CUSTOMERS,
		.target = choice / CUSTOMERS % TARGETS,
		.offered_ms = fuzz->now_ms,
		.deadline_ms = fuzz->now_ms + (choice >= 250   ? 0
					       : choice >= 200 ? 300
							       : 60000),
	};
	offered = offer_of(fuzz, number);
	apply_answer(fuzz, number,
		     admission_offer(fuzz->admission, &offered, fuzz->now_ms));
	if (fuzz->requests[number].state == REQUEST_RUNNING)
		assign_slot(fuzz, number);
}

/*
 * Returns whether a waiting request of the customer may start on the target.
 * Always false for METERED: the model doesn't follow its token balance.
 */
static bool may_start(const fuzz_t *fuzz, uint32_t customer, uint32_t target)
{
	if (fuzz->running[customer] >= fuzz->limit[customer] ||
	    customer == METERED)
		return false;
	for (uint32_t i = 0; i < fuzz->request_count; i++) {
		const request_t *request = &fuzz->requests[i];

		if (request->state == REQUEST_QUEUED &&
		    request->customer == customer && request->target == target)
			return true;
	}
	return false;
}

/* Checks that the request overtakes no customer below its deserved sessions. */
static void check_precedence(const fuzz_t *fuzz, const request_t *request)
{
	const uint32_t chosen = request->customer;

	if (fuzz->running[chosen] < fuzz->deserved[chosen])
		return;
	for (uint32_t i = 0; i < CUSTOMERS; i++)
		CHECK(i == chosen || fuzz->running[i] >= fuzz->deserved[i] ||
		      !may_start(fuzz, i, request->target));
}

static void expire(fuzz_t *fuzz)
{
	clock_ms_t retry_after_ms;
	handle_t handle;

	while (admission_expire(fuzz->admission, fuzz->now_ms, &handle,
				&retry_after_ms)) {
		request_t *request = &fuzz->requests[handle.index];

		CHECK(handle.index < fuzz->request_count);
		CHECK(request->state == REQUEST_QUEUED);
		CHECK(expiry_of(fuzz, request) <= fuzz->now_ms ||
		      !fuzz->has_contract[request->customer]);
		CHECK(retry_after_ms > 0);
		request->state = REQUEST_ENDED;
		fuzz->queued--;
	}
	for (uint32_t i = 0; i < fuzz->request_count; i++)
		CHECK(fuzz->requests[i].state != REQUEST_QUEUED ||
		      expiry_of(fuzz, &fuzz->requests[i]) > fuzz->now_ms);
}

/* Admits all requests that may start, as an entry does when one ends. */
static void admit_waiting(fuzz_t *fuzz)
{
	handle_t handle;

	expire(fuzz);
	while (admission_next(fuzz->admission, fuzz->now_ms, &handle)) {
		request_t *request = &fuzz->requests[handle.index];

		CHECK(handle.index < fuzz->request_count);
		CHECK(request->state == REQUEST_QUEUED);
		request->state = REQUEST_RUNNING;
		fuzz->queued--;
		CHECK(fuzz->running[request->customer] <
		      fuzz->limit[request->customer]);
		check_precedence(fuzz, request);
		fuzz->running[request->customer]++;
		assign_slot(fuzz, handle.index);
	}
	for (uint32_t i = 0; i < TARGETS; i++)
		for (uint32_t j = 0;
		     j < CUSTOMERS &&
		     fuzz->now_ms - fuzz->blocked_at_ms[i] > 100;
		     j++)
			CHECK(!may_start(fuzz, j, i));
	CHECK(admission_queue_length(fuzz->admission) == fuzz->queued);
}

static void finish(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);

	for (uint32_t i = 0; i < fuzz->request_count; i++) {
		request_t *request =
			&fuzz->requests[(i + choice) % fuzz->request_count];

		if (request->state != REQUEST_RUNNING)
			continue;
		request->state = REQUEST_ENDED;
		fuzz->running[request->customer]--;
		fuzz->busy_slots[request->target]--;
		admission_finished(
			fuzz->admission, customers[request->customer],
			targets[request->target], choice, fuzz->now_ms);
		break;
	}
	admit_waiting(fuzz);
}

static void cancel(fuzz_t *fuzz)
{
	request_t *request;
	uint32_t number;

	if (fuzz->request_count == 0)
		return;
	number = fuzz_byte(&fuzz->input) % fuzz->request_count;
	request = &fuzz->requests[number];
	CHECK(admission_cancel(fuzz->admission, handle_of(number)) ==
	      (request->state == REQUEST_QUEUED));
	if (request->state != REQUEST_QUEUED)
		return;
	request->state = REQUEST_ENDED;
	fuzz->queued--;
}

static void pass_time(fuzz_t *fuzz)
{
	fuzz->now_ms += fuzz_byte(&fuzz->input) * 2;
	admit_waiting(fuzz);
}

/* Changes the shares and, at times, removes the contract of a customer. */
static void change_shares(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);

	fuzz->preset.contracts_count =
		choice >= 230 ? CUSTOMERS - 1 : CUSTOMERS;
	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		const preset_contract_t *contract = &fuzz->contracts[i];
		const uint32_t sessions = fuzz_byte(&fuzz->input) %
					  (contract->capability_sessions + 1);

		fuzz->has_contract[i] = i < fuzz->preset.contracts_count;
		fuzz->limit[i] = fuzz->has_contract[i] ? sessions : 0;
		fuzz->deserved[i] =
			(fuzz->limit[i] * contract->deserved_sessions +
			 contract->capability_sessions - 1) /
			contract->capability_sessions;
		fuzz->shares[i] = (msg_share_t){
			.customer = customers[i],
			.sessions = sessions,
			.capability = contract->capability_sessions,
		};
	}
	admission_set_contracts(fuzz->admission, &fuzz->preset, fuzz->shares,
				CUSTOMERS, fuzz->now_ms);
	admit_waiting(fuzz);
}

static void set_up(fuzz_t *fuzz)
{
	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		const uint32_t capability = fuzz_byte(&fuzz->input) % 8 + 1;

		fuzz->contracts[i] = (preset_contract_t){
			.customer = customers[i],
			.priority = fuzz_byte(&fuzz->input) % 3,
			.guarantee_sessions = capability / 4,
			.deserved_sessions = capability / 2,
			.capability_sessions = capability,
			.tokens_per_s = i == METERED ? 100 : 0,
		};
	}
	fuzz->preset.contracts = fuzz->contracts;
	fuzz->preset.limits.queue_length = fuzz_byte(&fuzz->input) % 12;
	fuzz->preset.limits.queue_ms = 1000;
	fuzz->slots[0] = fuzz_byte(&fuzz->input) % 8 + 1;
	fuzz->slots[1] = fuzz_byte(&fuzz->input) % 8 + 1;
	fuzz->admission = admission_new();
	change_shares(fuzz);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const steps[])(fuzz_t * fuzz) = {
		offer,	offer,	offer,	   offer,     offer,	     offer,
		finish, finish, cancel,	   pass_time, pass_time,     finish,
		offer,	offer,	pass_time, offer,     change_shares, offer,
	};
	fuzz_t fuzz = { .input = { data, size }, .now_ms = 10000 };

	set_up(&fuzz);
	while (fuzz.input.size > 0)
		steps[fuzz_byte(&fuzz.input) %
		      (sizeof(steps) / sizeof(steps[0]))](&fuzz);
	fuzz.now_ms += 120000;
	expire(&fuzz);
	CHECK(fuzz.queued == 0);
	admission_free(fuzz.admission);
	return 0;
}
