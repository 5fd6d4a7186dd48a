#ifndef SKH_ERROR_H
#define SKH_ERROR_H

/**
 * DOC: Errors
 *
 * One closed list of error kinds. A table (error.c) maps each kind to its
 * name, HTTP status, run state and retry advice. Functions that can fail take
 * a &skh_error_t and return true when they succeeded.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_error_kind - every way in which an operation can fail */
typedef enum skh_error_kind {
	SKH_OK = 0,
	SKH_BAD_REQUEST,
	SKH_UNAUTHORIZED,
	SKH_FORBIDDEN,
	SKH_NOT_FOUND,
	SKH_METHOD_NOT_ALLOWED,
	SKH_TOO_LARGE,
	SKH_HEADERS_TOO_LARGE,
	SKH_REQUEST_TIMEOUT,
	SKH_KEY_EXPIRED,
	SKH_KEY_REUSED,
	SKH_CONFLICT,
	SKH_LIMITED,
	SKH_OVERLOADED,
	SKH_NO_BACKEND,
	SKH_LEAVING,
	SKH_STALE,
	SKH_NOT_READY,
	SKH_DEADLINE_PASSED,
	SKH_TIMED_OUT,
	SKH_STORE_UNAVAILABLE,
	SKH_STORE_UNKNOWN,
	SKH_STORE_COMPACTED,
	SKH_OUTCOME_UNKNOWN,
	SKH_ALREADY_RAN,
	SKH_CUT_OFF,
	SKH_BACKEND_FAILED,
	SKH_BACKEND_LOST,
	SKH_QUARANTINED,
	SKH_CANCELLED,
	SKH_CONFIG_INVALID,
	SKH_INTERNAL,
	SKH_ERROR_KIND_COUNT
} skh_error_kind_t;

/** enum skh_run_state - what is known about whether a request ran */
typedef enum skh_run_state {
	SKH_RUN_NOT_RUN = 0,
	SKH_RUN_RAN,
	SKH_RUN_UNKNOWN
} skh_run_state_t;

#define SKH_ERROR_TEXT_BYTES 256

/**
 * struct skh_error - one failure, filled by the function that met it
 * @kind: what failed; SKH_OK when nothing did
 * @run: whether the caller's request ran; starts as the kind's default
 * @retry_at_us: earliest useful retry on the monotonic clock; 0 for none
 * @text: one sentence for a person, NUL-terminated
 */
typedef struct skh_error {
	skh_error_kind_t kind;
	skh_run_state_t run_state;
	int64_t retry_at_us;
	char text[SKH_ERROR_TEXT_BYTES];
} skh_error_t;

/** skh_error_set() - fill @err and return false, so callers can return it */
bool skh_error_set(skh_error_t *err, skh_error_kind_t kind, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** skh_error_kind_name() - stable name of @kind as it appears in answers and logs */
const char *skh_error_kind_name(skh_error_kind_t kind);

/** skh_error_kind_from_name() - the kind called @name, or SKH_INTERNAL */
skh_error_kind_t skh_error_kind_from_name(const char *name);

/** skh_error_kind_http_status() - HTTP status that answers @kind */
int32_t skh_error_kind_http_status(skh_error_kind_t kind);

/** skh_error_kind_is_retryable() - true when the same request may succeed later */
bool skh_error_kind_is_retryable(skh_error_kind_t kind);

/** skh_run_state_name() - "not_run", "ran" or "unknown" */
const char *skh_run_state_name(skh_run_state_t run);

#ifdef __cplusplus
}
#endif
#endif
