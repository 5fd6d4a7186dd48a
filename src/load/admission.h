#ifndef SKH_ADMISSION_H
#define SKH_ADMISSION_H

/**
 * DOC: Admission control
 *
 * Enforces each customer's rate limit and concurrency limit at one entry. Entries
 * exchange no counters, so each entry enforces an equal share of a limit: the
 * limit divided by the number of live entries.
 *
 * Owns the counters of all customers and does no I/O. The owner serialises
 * calls. Times are in microseconds on the monotonic clock.
 */

#include "error.h"
#include "manifest.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_admission skh_admission_t;

skh_admission_t *skh_admission_new(void);
void skh_admission_free(skh_admission_t *admission);

/**
 * skh_admission_acquire() - admit or reject one request of @customer
 * @entries: number of live entries that share the customer's limits, at least 1
 *
 * Each admitted request needs one call of skh_admission_release() when it ends.
 *
 * Return: true if the request is admitted. Otherwise false, with @err set to
 * SKH_LIMITED and its retry_at_us to the earliest useful time for a retry.
 */
bool skh_admission_acquire(skh_admission_t *admission, const skh_customer_t *customer,
			   size_t entries, int64_t now_us, skh_error_t *err);

/** skh_admission_release() - record the end of an admitted request of @customer */
void skh_admission_release(skh_admission_t *admission, const char *customer);

#ifdef __cplusplus
}
#endif
#endif
