/* Settings of both roles: each input is either rejected with an error or parsed. */
#include "settings.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void parse_for_role(skh_chunk_t text, skh_role_t role)
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	skh_settings_t *settings = skh_settings_parse(text, role, errors);

	if (!settings && skh_validation_errors_count(errors) == 0)
		abort(); /* rejected without an error */
	skh_settings_free(settings);
	skh_validation_errors_free(errors);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	parse_for_role(skh_chunk_make(data, size), SKH_ROLE_ENTRY);
	parse_for_role(skh_chunk_make(data, size), SKH_ROLE_SIDECAR);
	return 0;
}
