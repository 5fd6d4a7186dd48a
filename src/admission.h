#ifndef SKH_ADMISSION_H
#define SKH_ADMISSION_H

/**
 * DOC: Admission
 *
 * Customers' limits at one entry. Entries share nothing, so each enforces its
 * share: the customer's limit divided by the number of live entries. Pure
 * state; the owner serialises calls.
 */

#include "error.h"
#include "manifest.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_admission skh_admission_t;

skh_admission_t *skh_admission_new(void);
void skh_admission_free(skh_admission_t *admit);

/**
 * skh_admission_acquire() - let one request of @customer in, or say when to come back
 * @entries: live entries that share the customer's limits, at least 1
 */
bool skh_admission_acquire(skh_admission_t *admit, const skh_customer_t *customer, size_t entries,
			   int64_t now_us, skh_error_t *err);

/** skh_admission_release() - a request that was let in has ended */
void skh_admission_release(skh_admission_t *admit, const char *customer);

#ifdef __cplusplus
}
#endif
#endif
