#ifndef SKH_RENEWAL_SCHEDULE_H
#define SKH_RENEWAL_SCHEDULE_H

/**
 * DOC: When to renew a short lease at a store that may be slow
 *
 * Load: one holder renews a lease of 1 s, of which it uses the first 0.8 s. A healthy store takes
 * 4 ms for a call, a slow one 0.1 to 0.5 s for each call over several seconds. If each renewal
 * waited for the response of the one before, calls of 0.25 s would let the lease expire. So
 * renewals overlap when calls are slow, and follow each other faster the longer they take, such
 * that one lost renewal does not let the lease expire. While calls are fast, one thread renews at
 * a fixed interval, as each call has a cost. Pure: time is passed in, in microseconds of any one
 * clock. The owner of the struct serialises calls.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_renewal_schedule - zeroed before its first use, except for @usable_us */
typedef struct skh_renewal_schedule {
	int64_t usable_us;   /* time from sending a renewal to the deadline that it sets */
	int64_t sent_us;     /* when the newest renewal was sent */
	int64_t duration_us; /* of recent calls: the longest, forgotten by a quarter a call */
} skh_renewal_schedule_t;

/** skh_renewal_record_sent() - a renewal was sent at @now_us */
void skh_renewal_record_sent(skh_renewal_schedule_t *schedule, int64_t now_us);

/** skh_renewal_record_duration() - a renewal has ended, also without a response */
void skh_renewal_record_duration(skh_renewal_schedule_t *schedule, int64_t duration_us);

/**
 * skh_renewal_wait_us() - time until the next renewal of the thread whose renewal has just ended
 * Return: 0 or more.
 */
int64_t skh_renewal_wait_us(const skh_renewal_schedule_t *schedule, int64_t now_us);

/**
 * skh_renewal_is_overlap_due() - whether to renew while that thread is in a call
 * @call_started_us: when it began the call
 */
bool skh_renewal_is_overlap_due(const skh_renewal_schedule_t *schedule, int64_t call_started_us,
				int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
