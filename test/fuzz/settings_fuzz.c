/*
 * Fuzzes the preset parser: it accepts a text or returns an error with a
 * message, gives the same result each time, and never crashes.
 */
#include <stdlib.h>
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_contracts(const preset_t *preset)
{
	for (unsigned i = 0; i < preset->contracts_count; i++) {
		const preset_contract_t *contract = &preset->contracts[i];

		if (contract->guarantee_sessions >
			    contract->deserved_sessions ||
		    contract->deserved_sessions > contract->capability_sessions)
			abort();
		if (preset_find_contract(preset, contract->customer) !=
		    contract)
			abort();
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	err_t first_err = ERR_INIT;
	err_t second_err = ERR_INIT;
	preset_t *preset = preset_parse((const char *)data, size, &first_err);
	preset_t *again = preset_parse((const char *)data, size, &second_err);

	if ((preset == NULL) != (again == NULL))
		abort();
	if (preset == NULL && (first_err.text[0] == '\0' ||
			       strcmp(first_err.text, second_err.text) != 0))
		abort();
	if (preset != NULL)
		check_contracts(preset);
	preset_free(preset);
	preset_free(again);
	return 0;
}
