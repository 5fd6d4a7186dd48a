#ifndef SKH_RETRY_SHARE_H
#define SKH_RETRY_SHARE_H

/**
 * DOC: This gateway's share of a service's retry budget
 *
 * All gateways together may repeat a part of the requests of a sliding window
 * and a fixed number besides. They need not talk: each keeps to the part that
 * its own requests earn and to an equal share of the fixed number. Pure state.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_RETRY_SHARE_SLOTS 20

/** struct skh_retry_share - zeroed before its first use */
typedef struct skh_retry_share {
	int64_t slot_begin_us; /* of the newest slot */
	uint32_t newest_slot;
	uint32_t requests[SKH_RETRY_SHARE_SLOTS];
	uint32_t retries[SKH_RETRY_SHARE_SLOTS];
} skh_retry_share_t;

/** struct skh_retry_share_limits - of all gateways together */
typedef struct skh_retry_share_limits {
	double retry_ratio; /* repeats for each request of the window */
	double min_retries; /* repeats that are always allowed in a window */
	int64_t window_us;
	uint32_t gateways; /* that share @least; an upper bound */
} skh_retry_share_limits_t;

/** skh_retry_share_record_request() - a request is sent for the first time */
void skh_retry_share_record_request(skh_retry_share_t *share,
				    const skh_retry_share_limits_t *bounds, int64_t now_us);

/** skh_retry_share_has_room() - whether one more repeat fits */
bool skh_retry_share_has_room(skh_retry_share_t *share, const skh_retry_share_limits_t *bounds,
			      int64_t now_us);

/** skh_retry_share_record_retry() - a request is sent again */
void skh_retry_share_record_retry(skh_retry_share_t *share, const skh_retry_share_limits_t *bounds,
				  int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
