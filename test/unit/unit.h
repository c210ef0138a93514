#ifndef TEST_UNIT_UNIT_H
#define TEST_UNIT_UNIT_H

#include <CUnit/Basic.h>
#include <stdlib.h>

#include "wisteria/base/macros_defs.h"

typedef struct {
	const char *name;
	void (*run)(void);
} unit_test_t;

/* Runs the tests of one suite; returns the exit status of the runner. */
static inline int unit_run(const char *suite_name, const unit_test_t *tests,
			   size_t count)
{
	CU_pSuite suite;
	unsigned int failures;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return EXIT_FAILURE;
	suite = CU_add_suite(suite_name, NULL, NULL);
	for (size_t i = 0; i < count; i++)
		CU_add_test(suite, tests[i].name, tests[i].run);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
