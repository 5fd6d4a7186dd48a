#ifndef SKH_LEASE_RENEWER_H
#define SKH_LEASE_RENEWER_H

/**
 * DOC: Renewals of a lease beside a thread that is in a slow call to the store
 *
 * The owner's thread renews its lease itself, and makes other calls. While one of its calls takes
 * long, threads of this module renew the lease over connections of their own when
 * renewal_schedule.h says so; at a healthy store they make no call. All functions may be called
 * from any thread. Failed renewals are counted and logged.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_lease_renewer_options - copied; strings are copied, too */
typedef struct skh_lease_renewer_options {
	const skh_dialect_t *dialect;
	const char *endpoint; /* of the store */
	int64_t store_timeout_ms;
	int64_t usable_us; /* time from sending a renewal to the deadline that it sets */
} skh_lease_renewer_options_t;

typedef struct skh_lease_renewer skh_lease_renewer_t;

/** skh_lease_renewer_new() - return: free with skh_lease_renewer_free(); starts no thread yet */
skh_lease_renewer_t *skh_lease_renewer_new(const skh_lease_renewer_options_t *options);

/** skh_lease_renewer_free() - does not wait for a call in progress, whose thread frees itself */
void skh_lease_renewer_free(skh_lease_renewer_t *renewer);

/**
 * skh_lease_renewer_set_lease() - set the lease to renew, and forget the deadline of another one
 * @lease: 0 for none
 * @era: era of the store (skh_store_era()) in which the lease was granted
 */
void skh_lease_renewer_set_lease(skh_lease_renewer_t *renewer, int64_t lease, int64_t era);

/** skh_lease_renewer_begin_call() - the owner's thread begins a call, or several in a row */
void skh_lease_renewer_begin_call(skh_lease_renewer_t *renewer, bool is_renewal);
void skh_lease_renewer_end_call(skh_lease_renewer_t *renewer);

/** skh_lease_renewer_record_renewal() - the owner's renewal, sent at @sent_us, has ended */
void skh_lease_renewer_record_renewal(skh_lease_renewer_t *renewer, int64_t sent_us);

/** skh_lease_renewer_wait_us() - time that the owner waits before its next renewal; 0 or more */
int64_t skh_lease_renewer_wait_us(skh_lease_renewer_t *renewer);

/** skh_lease_renewer_deadline_us() - deadline (boot clock) set by this module's renewals, or 0 */
int64_t skh_lease_renewer_deadline_us(skh_lease_renewer_t *renewer);

#ifdef __cplusplus
}
#endif
#endif
