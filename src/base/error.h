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
	SKH_REQUEST_TIMEOUT, /* the caller did not send the complete request in time */
	SKH_KEY_EXPIRED,     /* the idempotency key is older than claim records are kept */
	SKH_KEY_REUSED,	     /* the idempotency key was used before with a different request */
	SKH_CONFLICT,	     /* the configuration was changed concurrently */
	SKH_LIMITED,	     /* a rate, concurrency or crash limit of the customer or the request */
	SKH_OVERLOADED,	     /* no backend server has capacity now or in time */
	SKH_NO_BACKEND,	     /* no backend server is available, or it could not be reached */
	SKH_LEAVING, /* this instance or the backend server is leaving and takes no new work */
	SKH_STALE, /* attempt too late or unknown to this sidecar process; or configuration may be outdated */
	SKH_NOT_READY,	       /* the process is starting or stopping, or has no configuration */
	SKH_DEADLINE_PASSED,   /* at an entry: the response was not complete at the deadline */
	SKH_TIMED_OUT,	       /* at a gateway: no response from a server before the deadline */
	SKH_STORE_UNAVAILABLE, /* store unavailable; a store operation had no effect */
	SKH_STORE_UNKNOWN,     /* unknown whether a store operation had an effect */
	SKH_STORE_COMPACTED,   /* the store no longer has the requested revisions */
	SKH_OUTCOME_UNKNOWN,   /* unknown whether the request ran or the change took effect */
	SKH_ALREADY_RAN,       /* the request ran earlier and its response was not recorded */
	SKH_CUT_OFF, /* a streamed response failed after a part was forwarded to the caller */
	SKH_BACKEND_FAILED, /* the backend server failed or sent an incomplete response */
	SKH_BACKEND_LOST,   /* the connection to the backend server failed during the request */
	SKH_QUARANTINED,    /* backend servers crashed while they ran this request */
	SKH_CANCELLED,	    /* the caller closed the connection, or the attempt was cancelled */
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
 * @kind: cause of the failure; SKH_OK for none
 * @run_state: whether the request ran; skh_error_set() sets the default of @kind
 * @retry_at_us: earliest useful retry, as a time of skh_clock_now_us(); 0 for none
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
 * @kind: cause of the failure
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
