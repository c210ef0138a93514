/*
 * Measures the ledger without replication, by the number of keys that it keeps:
 * reserving and recording a key, memory, and snapshots.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <argp.h>
#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/ledger/ledger.h"

#define RESULT_BYTES 256
#define BYTES_MAX (1024UL * 1024 * 1024)
#define KEY_BYTES 37 /* a UUID */

static double now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void apply_command(ledger_t *ledger, ledger_op_t op, uint64_t number)
{
	static const uint8_t result[RESULT_BYTES] = { 1 };
	char key[KEY_BYTES];
	msg_ledger_t command = {
		.op = op,
		.customer = "deposito-central",
		.service = "pedidos",
		.key = key,
		.owner = number,
		.retention_ms = INT64_MAX,
	};
	msg_ledger_reply_t reply;

	g_snprintf(key, sizeof(key), "%036" G_GUINT64_FORMAT, number);
	if (op == LEDGER_RECORD)
		command.result = (bytes_t){ result, sizeof(result) };
	ledger_apply(ledger, &command, 0, &reply);
	if (reply.state != LEDGER_GRANTED && reply.state != LEDGER_OK)
		abort();
}

static void measure(uint64_t count)
{
	ledger_t *ledger = ledger_new(BYTES_MAX);
	ledger_t *copy = ledger_new(BYTES_MAX);
	msgpack_sbuffer snapshot;
	err_t err = ERR_INIT;
	double apply_us = -now_us();
	double write_us;
	double read_us;

	for (uint64_t i = 1; i <= count; i++) {
		apply_command(ledger, LEDGER_RESERVE, i);
		apply_command(ledger, LEDGER_RECORD, i);
	}
	apply_us += now_us();
	msgpack_sbuffer_init(&snapshot);
	write_us = -now_us();
	ledger_snapshot(ledger, &snapshot);
	write_us += now_us();
	read_us = -now_us();
	if (!ledger_restore(copy, (const uint8_t *)snapshot.data, snapshot.size,
			    &err))
		abort();
	read_us += now_us();
	printf("%9" G_GUINT64_FORMAT " %10.2f %12zu %14zu %10.1f %10.1f\n",
	       count, apply_us / (double)count,
	       ledger_usage(ledger).bytes / count, snapshot.size / count,
	       write_us / 1000, read_us / 1000);
	msgpack_sbuffer_destroy(&snapshot);
	ledger_free(ledger);
	ledger_free(copy);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.doc = "Cost of the ledger by number of keys",
	};

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	printf("%9s %10s %12s %14s %10s %10s\n", "keys", "us/call",
	       "counted B/key", "snapshot B/key", "write ms", "read ms");
	for (uint64_t count = 1000; count <= 100000; count *= 10)
		measure(count);
	return 0;
}
