#include "dialect.h"

#include "../platform/platform.h"

#include <string.h>

const skh_dialect_t *skh_dialect_find(const char *name, skh_error_t *err)
{
	static const skh_dialect_t *const dialects[] = { &skh_platform_dialect };

	for (size_t i = 0; i < G_N_ELEMENTS(dialects); i++) {
		if (strcmp(dialects[i]->name, name) == 0)
			return dialects[i];
	}
	(void)skh_error_set(err, SKH_CONFIG_INVALID, "unknown dialect \"%s\"", name);
	return NULL;
}
