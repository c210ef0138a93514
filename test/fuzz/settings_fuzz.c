/*
 * Fuzzes the preset parser: it takes a text or gives an error with a reason,
 * says the same each time, and never crashes.
 */
#include <stdlib.h>
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_shares(const preset_t *preset)
{
	for (unsigned i = 0; i < preset->contracts_count; i++) {
		const preset_contract_t *contract = &preset->contracts[i];

		if (contract->guarantee_sessions >
			    contract->deserved_sessions ||
		    contract->deserved_sessions > contract->capability_sessions)
			abort();
		if (preset_contract(preset, contract->customer) != contract)
			abort();
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	err_t first = ERR_INIT;
	err_t second = ERR_INIT;
	preset_t *preset = preset_parse((const char *)data, size, &first);
	preset_t *again = preset_parse((const char *)data, size, &second);

	if ((preset == NULL) != (again == NULL))
		abort();
	if (preset == NULL &&
	    (first.text[0] == '\0' || strcmp(first.text, second.text) != 0))
		abort();
	if (preset != NULL)
		check_shares(preset);
	preset_free(preset);
	preset_free(again);
	return 0;
}
