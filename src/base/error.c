#include "error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct kind_row {
	const char *name;
	int32_t http_status;
	skh_run_state_t run_state;
	bool is_retryable;
} kind_row_t;

static const kind_row_t kind_table[SKH_ERROR_KIND_COUNT] = {
	[SKH_OK] = { "ok", 200, SKH_RUN_RAN, false },
	[SKH_BAD_REQUEST] = { "bad_request", 400, SKH_RUN_NOT_RUN, false },
	[SKH_UNAUTHORIZED] = { "unauthorized", 401, SKH_RUN_NOT_RUN, false },
	[SKH_FORBIDDEN] = { "forbidden", 403, SKH_RUN_NOT_RUN, false },
	[SKH_NOT_FOUND] = { "not_found", 404, SKH_RUN_NOT_RUN, false },
	[SKH_METHOD_NOT_ALLOWED] = { "method_not_allowed", 405, SKH_RUN_NOT_RUN, false },
	[SKH_TOO_LARGE] = { "too_large", 413, SKH_RUN_NOT_RUN, false },
	[SKH_HEADERS_TOO_LARGE] = { "headers_too_large", 431, SKH_RUN_NOT_RUN, false },
	[SKH_REQUEST_TIMEOUT] = { "request_timeout", 408, SKH_RUN_NOT_RUN, true },
	[SKH_KEY_EXPIRED] = { "key_expired", 400, SKH_RUN_UNKNOWN, false },
	[SKH_KEY_REUSED] = { "key_reused", 422, SKH_RUN_NOT_RUN, false },
	[SKH_CONFLICT] = { "conflict", 409, SKH_RUN_NOT_RUN, false },
	[SKH_LIMITED] = { "limited", 429, SKH_RUN_NOT_RUN, true },
	[SKH_OVERLOADED] = { "overloaded", 503, SKH_RUN_NOT_RUN, true },
	[SKH_NO_BACKEND] = { "no_backend", 503, SKH_RUN_NOT_RUN, true },
	[SKH_LEAVING] = { "leaving", 503, SKH_RUN_NOT_RUN, true },
	[SKH_STALE] = { "stale", 503, SKH_RUN_NOT_RUN, true },
	[SKH_NOT_READY] = { "not_ready", 503, SKH_RUN_NOT_RUN, true },
	[SKH_DEADLINE_PASSED] = { "deadline_passed", 504, SKH_RUN_NOT_RUN, false },
	[SKH_TIMED_OUT] = { "timed_out", 504, SKH_RUN_UNKNOWN, false },
	[SKH_STORE_UNAVAILABLE] = { "store_unavailable", 503, SKH_RUN_NOT_RUN, true },
	[SKH_STORE_UNKNOWN] = { "store_unknown", 503, SKH_RUN_NOT_RUN, true },
	[SKH_STORE_COMPACTED] = { "store_compacted", 503, SKH_RUN_NOT_RUN, true },
	[SKH_OUTCOME_UNKNOWN] = { "outcome_unknown", 502, SKH_RUN_UNKNOWN, false },
	[SKH_ALREADY_RAN] = { "already_ran", 409, SKH_RUN_RAN, false },
	[SKH_CUT_OFF] = { "cut_off", 502, SKH_RUN_RAN, false },
	[SKH_BACKEND_FAILED] = { "backend_failed", 502, SKH_RUN_RAN, false },
	[SKH_BACKEND_LOST] = { "backend_lost", 502, SKH_RUN_UNKNOWN, false },
	[SKH_QUARANTINED] = { "quarantined", 422, SKH_RUN_NOT_RUN, false },
	[SKH_CANCELLED] = { "cancelled", 499, SKH_RUN_UNKNOWN, false },
	[SKH_CONFIG_INVALID] = { "config_invalid", 422, SKH_RUN_NOT_RUN, false },
	[SKH_INTERNAL] = { "internal", 500, SKH_RUN_UNKNOWN, false },
};

bool skh_error_set(skh_error_t *err, skh_error_kind_t kind, const char *format, ...)
{
	va_list args;

	err->kind = kind;
	err->run_state = kind_table[kind].run_state;
	err->retry_at_us = 0;
	va_start(args, format);
	(void)vsnprintf(err->text, sizeof(err->text), format, args);
	va_end(args);
	return false;
}

const char *skh_error_kind_name(skh_error_kind_t kind)
{
	return kind_table[kind].name;
}

skh_error_kind_t skh_error_kind_from_name(const char *name)
{
	for (int32_t i = 0; i < SKH_ERROR_KIND_COUNT; i++) {
		if (strcmp(kind_table[i].name, name) == 0)
			return (skh_error_kind_t)i;
	}
	return SKH_INTERNAL;
}

int32_t skh_error_kind_http_status(skh_error_kind_t kind)
{
	return kind_table[kind].http_status;
}

bool skh_error_kind_is_retryable(skh_error_kind_t kind)
{
	return kind_table[kind].is_retryable;
}

const char *skh_run_state_name(skh_run_state_t run_state)
{
	static const char *const names[] = { "not_run", "ran", "unknown" };

	return names[run_state];
}
