#ifndef SKH_RETRY_SHARE_H
#define SKH_RETRY_SHARE_H

/**
 * DOC: Share of one gateway in the retry budget of a service
 *
 * Limits the retries that one gateway sends to one service. The budget of all
 * gateways together is a ratio of the requests in a sliding window plus a fixed
 * number of retries. Gateways exchange no counts: each is limited to that ratio of
 * its own requests plus an equal share of the fixed number. Only half of the result is
 * used, because a gateway that restarts loses its counts.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in
 * microseconds on one monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_RETRY_SHARE_SLOTS 20

/** struct skh_retry_share - counts per time slot; the owner zeroes it before the first use */
typedef struct skh_retry_share {
	int64_t slot_begin_us; /* start time of the newest slot */
	uint32_t newest_slot;
	uint32_t requests[SKH_RETRY_SHARE_SLOTS];
	uint32_t retries[SKH_RETRY_SHARE_SLOTS];
} skh_retry_share_t;

/** struct skh_retry_share_limits - retry budget of all gateways together */
typedef struct skh_retry_share_limits {
	double retry_ratio; /* retries per request in the window */
	double min_retries; /* retries per window in addition, whatever the number of requests */
	int64_t window_us;
	uint32_t gateways; /* maximum number of gateways that share @min_retries; 0 counts as 1 */
} skh_retry_share_limits_t;

/** skh_retry_share_record_request() - count the first attempt of a request */
void skh_retry_share_record_request(skh_retry_share_t *share,
				    const skh_retry_share_limits_t *limits, int64_t now_us);

/** skh_retry_share_has_room() - whether the limits allow one more retry; does not count it */
bool skh_retry_share_has_room(skh_retry_share_t *share, const skh_retry_share_limits_t *limits,
			      int64_t now_us);

/** skh_retry_share_record_retry() - count a retry */
void skh_retry_share_record_retry(skh_retry_share_t *share, const skh_retry_share_limits_t *limits,
				  int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
