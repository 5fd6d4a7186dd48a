#ifndef SKH_RETRYSHARE_H
#define SKH_RETRYSHARE_H

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

#define SKH_RETRYSHARE_SLOTS 20

/** struct skh_retryshare - zeroed before its first use */
typedef struct skh_retryshare {
	int64_t slot_begin_us; /* of the newest slot */
	uint32_t newest;
	uint32_t requests[SKH_RETRYSHARE_SLOTS];
	uint32_t repeats[SKH_RETRYSHARE_SLOTS];
} skh_retryshare_t;

/** struct skh_retryshare_bounds - of all gateways together */
typedef struct skh_retryshare_bounds {
	double ratio; /* repeats for each request of the window */
	double least; /* repeats that are always allowed in a window */
	int64_t window_us;
	uint32_t gateways; /* that share @least; an upper bound */
} skh_retryshare_bounds_t;

/** skh_retryshare_request() - a request is sent for the first time */
void skh_retryshare_request(skh_retryshare_t *share, const skh_retryshare_bounds_t *bounds,
			    int64_t now_us);

/** skh_retryshare_has_room() - whether one more repeat fits */
bool skh_retryshare_has_room(skh_retryshare_t *share, const skh_retryshare_bounds_t *bounds,
			     int64_t now_us);

/** skh_retryshare_repeat() - a request is sent again */
void skh_retryshare_repeat(skh_retryshare_t *share, const skh_retryshare_bounds_t *bounds,
			   int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
