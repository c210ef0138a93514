#ifndef TEST_FUZZ_FUZZ_INPUT_H
#define TEST_FUZZ_FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* Aborts the run if "condition", demanded by an oracle, does not hold. */
#define CHECK(condition) \
	do { \
		if (!(condition)) { \
			fprintf(stderr, "%s:%d: %s\n", __FILE__, __LINE__, \
				#condition); \
			abort(); \
		} \
	} while (0)

/* The bytes that choose the steps of a run; reads 0 past the end. */
typedef struct {
	const uint8_t *data;
	size_t size;
} fuzz_input_t;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static inline uint8_t fuzz_byte(fuzz_input_t *input)
{
	if (input->size == 0)
		return 0;
	input->size--;
	return *input->data++;
}

#endif
