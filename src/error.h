#ifndef SKH_ERROR_H
#define SKH_ERROR_H

/**
 * DOC: Errors
 *
 * Closed list of error kinds. A constant table in error.c maps each kind to its
 * name, HTTP status, default run state and whether a retry can succeed. Functions
 * that can fail take a &skh_error_t and return true on success. The module keeps
 * no state and can be used from any thread.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_error_kind - why an operation failed */
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

/** enum skh_run_state - whether a backend server ran the request */
typedef enum skh_run_state {
	SKH_RUN_NOT_RUN = 0,
	SKH_RUN_RAN,
	SKH_RUN_UNKNOWN
} skh_run_state_t;

#define SKH_ERROR_TEXT_BYTES 256

/**
 * struct skh_error - one failure, filled in by the function that detects it
 * @kind: reason of the failure; SKH_OK for none
 * @run_state: whether the request ran; skh_error_set() sets the default of @kind
 * @retry_at_us: earliest useful retry on the monotonic clock, in microseconds; 0 for none
 * @text: one sentence for people, NUL-terminated
 */
typedef struct skh_error {
	skh_error_kind_t kind;
	skh_run_state_t run_state;
	int64_t retry_at_us;
	char text[SKH_ERROR_TEXT_BYTES];
} skh_error_t;

/**
 * skh_error_set() - fill in an error with the defaults of its kind
 * @err: the error to fill in
 * @kind: reason of the failure
 * @format: printf format of the text, which is truncated to SKH_ERROR_TEXT_BYTES
 *
 * Return: always false, so that callers can return the result directly.
 */
bool skh_error_set(skh_error_t *err, skh_error_kind_t kind, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** skh_error_kind_name() - stable name of @kind, as written in responses and logs */
const char *skh_error_kind_name(skh_error_kind_t kind);

/** skh_error_kind_from_name() - kind with this name; SKH_INTERNAL for an unknown name */
skh_error_kind_t skh_error_kind_from_name(const char *name);

/** skh_error_kind_http_status() - HTTP status of a response that reports @kind */
int32_t skh_error_kind_http_status(skh_error_kind_t kind);

/** skh_error_kind_is_retryable() - true when the same request may succeed later */
bool skh_error_kind_is_retryable(skh_error_kind_t kind);

/** skh_run_state_name() - "not_run", "ran" or "unknown" */
const char *skh_run_state_name(skh_run_state_t run_state);

#ifdef __cplusplus
}
#endif
#endif
