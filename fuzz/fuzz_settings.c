/* Settings of both roles: refused with a reason or whole. */
#include "settings.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void try_role(skh_chunk_t text, skh_role_t role)
{
	skh_validation_errors_t *faults = skh_validation_errors_new();
	skh_settings_t *settings = skh_settings_parse(text, role, faults);

	if (!settings && skh_validation_errors_count(faults) == 0)
		abort(); /* refused without a reason */
	skh_settings_free(settings);
	skh_validation_errors_free(faults);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	try_role(skh_chunk_make(data, size), SKH_ROLE_ENTRY);
	try_role(skh_chunk_make(data, size), SKH_ROLE_SIDECAR);
	return 0;
}
