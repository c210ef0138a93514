/* Output of results: tables and key-value lines for operators, or JSON. */
#include "cli/output.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define OUTPUT_CELL_BYTES 128

/* Prints "value" as JSON and releases the caller's reference to it. */
void output_json(json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(value);
}

static void format_time(json_int_t wall_ms, char *out, size_t size)
{
	time_t seconds = (time_t)(wall_ms / 1000);
	struct tm utc;

	if (wall_ms == 0) {
		snprintf(out, size, "-");
		return;
	}
	gmtime_r(&seconds, &utc);
	strftime(out, size, "%Y-%m-%d %H:%M:%S UTC", &utc);
}

static void format_cell(const json_t *row, const char *key, char *out,
			size_t size)
{
	const json_t *value = json_object_get(row, key);

	if (json_is_string(value))
		snprintf(out, size, "%s", json_string_value(value));
	else if (json_is_integer(value) && strcmp(key, "wall_ms") == 0)
		format_time(json_integer_value(value), out, size);
	else if (json_is_integer(value))
		snprintf(out, size, "%lld",
			 (long long)json_integer_value(value));
	else if (json_is_boolean(value))
		snprintf(out, size, "%s", json_is_true(value) ? "yes" : "no");
	else
		snprintf(out, size, "-");
	if (out[0] == '\0')
		snprintf(out, size, "-");
}

static size_t column_width(const json_t *rows, const output_column_t *column)
{
	char cell[OUTPUT_CELL_BYTES];
	size_t width = strlen(column->title);

	for (size_t i = 0; i < json_array_size(rows); i++) {
		format_cell(json_array_get(rows, i), column->key, cell,
			    sizeof(cell));
		if (strlen(cell) > width)
			width = strlen(cell);
	}
	return width;
}

static void print_cell(const char *text, size_t width, bool is_last)
{
	if (is_last)
		printf("%s\n", text);
	else
		printf("%-*s  ", (int)width, text);
}

static void print_row(const json_t *row, const output_column_t *columns,
		      size_t column_count, const size_t *widths)
{
	char cell[OUTPUT_CELL_BYTES];

	for (size_t i = 0; i < column_count; i++) {
		format_cell(row, columns[i].key, cell, sizeof(cell));
		print_cell(cell, widths[i], i + 1 == column_count);
	}
}

/* Prints an array of objects as a table: a title line, then a line each. */
void output_table(const json_t *rows, const output_column_t *columns,
		  size_t column_count)
{
	size_t *widths = calloc(column_count + 1, sizeof(*widths));

	if (widths == NULL)
		return;
	for (size_t i = 0; i < column_count; i++) {
		widths[i] = column_width(rows, &columns[i]);
		print_cell(columns[i].title, widths[i], i + 1 == column_count);
	}
	for (size_t i = 0; i < json_array_size(rows); i++)
		print_row(json_array_get(rows, i), columns, column_count,
			  widths);
	free(widths);
}

/* Prints one object, one key per line. */
void output_pairs(const json_t *object, const output_column_t *columns,
		  size_t column_count)
{
	char cell[OUTPUT_CELL_BYTES];

	for (size_t i = 0; i < column_count; i++) {
		format_cell(object, columns[i].key, cell, sizeof(cell));
		printf("%-14s %s\n", columns[i].title, cell);
	}
}

static void print_winner(const json_t *winner)
{
	char when[OUTPUT_CELL_BYTES];
	char who[OUTPUT_CELL_BYTES];
	char kind[OUTPUT_CELL_BYTES];
	char name[OUTPUT_CELL_BYTES];

	format_cell(winner, "wall_ms", when, sizeof(when));
	format_cell(winner, "operator", who, sizeof(who));
	format_cell(winner, "kind", kind, sizeof(kind));
	format_cell(winner, "name", name, sizeof(name));
	printf("Applied first: %s %s, by %s at %s.\n", kind, name, who, when);
	printf("Check the current state before you send another order.\n");
}

/* Prints the outcome of an order. */
void output_order(const json_t *response)
{
	static const output_column_t columns[] = {
		{ "order", "id" },
		{ "outcome", "outcome" },
		{ "revision", "revision" },
		{ "reason", "reason" },
	};
	const json_t *winner = json_object_get(response, "winner");
	const char *engine =
		json_string_value(json_object_get(response, "engine"));
	const char *reason =
		json_string_value(json_object_get(response, "reason"));
	bool has_reason = reason != NULL && reason[0] != '\0';

	output_pairs(response, columns,
		     ARRAY_SIZE(columns) - (has_reason ? 0 : 1));
	if (engine != NULL)
		printf("%-14s %s\n", "at the engine", engine);
	if (winner != NULL)
		print_winner(winner);
}
