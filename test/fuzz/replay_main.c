/*
 * Runs a fuzz target without libFuzzer, alike in each run: first over the files
 * of the folders that are named, in order of their names, then over inputs from
 * a generator with a fixed seed, which changes and joins those files.
 *
 * Usage: TARGET --runs=N [--seed=N] [FOLDER...]
 */
#include <fcntl.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#define INPUT_BYTES_MAX 2048
#define CHANGES_MAX 8

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The input that is being run, for a crash to be reproduced. */
static GByteArray *current;
static const char *crash_path;
static const char *crash_text; /* says where the input is */

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void read_folder(GPtrArray *inputs, const char *path)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GDir *folder = g_dir_open(path, 0, NULL);
	const char *name;

	while (folder != NULL && (name = g_dir_read_name(folder)) != NULL)
		g_ptr_array_add(names, g_build_filename(path, name, NULL));
	if (folder != NULL)
		g_dir_close(folder);
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++) {
		gchar *data;
		gsize size;

		if (g_file_get_contents(g_ptr_array_index(names, i), &data,
					&size, NULL))
			g_ptr_array_add(inputs, g_bytes_new_take(data, size));
	}
	g_ptr_array_unref(names);
}

/* Stores the input before it is run: a sanitizer ends the process at once. */
static void run(const uint8_t *data, size_t size)
{
	g_byte_array_set_size(current, 0);
	g_byte_array_append(current, data, (guint)size);
	LLVMFuzzerTestOneInput(current->data, current->len);
}

static void on_abort(int signal_number)
{
	int fd = open(crash_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
		      0644);

	(void)signal_number;
	if (fd >= 0 &&
	    write(fd, current->data, current->len) == (ssize_t)current->len)
		(void)!write(STDERR_FILENO, crash_text, strlen(crash_text));
	_exit(EXIT_FAILURE);
}

static void append_part(GByteArray *input, GPtrArray *inputs, GRand *random)
{
	GBytes *other;
	gsize size;
	const uint8_t *data;
	gsize from;

	if (inputs->len == 0)
		return;
	other = g_ptr_array_index(
		inputs, g_rand_int_range(random, 0, (int)inputs->len));
	data = g_bytes_get_data(other, &size);
	if (size == 0)
		return;
	from = (gsize)g_rand_int_range(random, 0, (int)size);
	g_byte_array_append(input, data + from, (guint)(size - from));
}

static void append_random(GByteArray *input, GRand *random)
{
	int count = g_rand_int_range(random, 1, 256);

	for (int i = 0; i < count; i++) {
		uint8_t byte = (uint8_t)g_rand_int(random);

		g_byte_array_append(input, &byte, 1);
	}
}

static void change_bytes(GByteArray *input, GRand *random)
{
	int count = g_rand_int_range(random, 0, CHANGES_MAX + 1);

	for (int i = 0; i < count && input->len > 0; i++) {
		guint at = (guint)g_rand_int_range(random, 0, (int)input->len);

		input->data[at] = (uint8_t)g_rand_int(random);
	}
}

static void generate(GByteArray *input, GPtrArray *inputs, GRand *random)
{
	int parts = g_rand_int_range(random, 1, 4);

	g_byte_array_set_size(input, 0);
	for (int i = 0; i < parts; i++)
		if (g_rand_int_range(random, 0, 3) == 0)
			append_random(input, random);
		else
			append_part(input, inputs, random);
	if (input->len > INPUT_BYTES_MAX)
		g_byte_array_set_size(input, INPUT_BYTES_MAX);
	change_bytes(input, random);
}

int main(int argc, char **argv)
{
	GPtrArray *inputs =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	GByteArray *input = g_byte_array_new();
	uint32_t seed = 1;
	unsigned long runs = 0;
	char *path = g_strdup_printf("%s.crash", argv[0]);
	char *text = g_strdup_printf("the input is in %s\n", path);
	GRand *random;

	current = g_byte_array_new();
	crash_path = path;
	crash_text = text;
	signal(SIGABRT, on_abort);
	for (int i = 1; i < argc; i++)
		if (strncmp(argv[i], "--runs=", strlen("--runs=")) == 0)
			runs = strtoul(argv[i] + strlen("--runs="), NULL, 10);
		else if (strncmp(argv[i], "--seed=", strlen("--seed=")) == 0)
			seed = (uint32_t)strtoul(argv[i] + strlen("--seed="),
						 NULL, 10);
		else
			read_folder(inputs, argv[i]);
	if (runs == 0) {
		fprintf(stderr, "usage: %s --runs=N [--seed=N] [FOLDER...]\n",
			argv[0]);
		return EXIT_FAILURE;
	}
	for (guint i = 0; i < inputs->len; i++) {
		gsize size;
		const uint8_t *data =
			g_bytes_get_data(g_ptr_array_index(inputs, i), &size);

		run(data, size);
	}
	random = g_rand_new_with_seed(seed);
	for (unsigned long i = 0; i < runs; i++) {
		generate(input, inputs, random);
		run(input->data, input->len);
	}
	printf("files=%u generated=%lu seed=%u\n", inputs->len, runs, seed);
	g_rand_free(random);
	g_byte_array_unref(input);
	g_byte_array_unref(current);
	g_ptr_array_unref(inputs);
	g_free(text);
	g_free(path);
	return EXIT_SUCCESS;
}
