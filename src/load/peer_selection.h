#ifndef SKH_PEER_SELECTION_H
#define SKH_PEER_SELECTION_H

/**
 * DOC: Selection of a sidecar
 *
 * Selects the sidecar for one attempt of an entry by prefix affinity, or else as the
 * less loaded of two random candidates. The result depends only on the entry's table
 * of peers, the time and a random number.
 *
 * Keeps no state and does no I/O. The owner of the peer table serialises calls.
 * Times are in microseconds on the monotonic clock.
 */

#include "peers.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_PEER_QUERY_MAX_TRIED 16
/** SKH_MAX_NO_QUEUE_ATTEMPTS - attempts of a request before one may be queued at a full sidecar */
#define SKH_MAX_NO_QUEUE_ATTEMPTS 7

/** struct skh_peer_query - requirements of one attempt */
typedef struct skh_peer_query {
	const char *service;
	const char *failure_domain; /* failure domain of the entry */
	uint64_t prefix_hash;	    /* hash of the prompt's prefix; 0 for no affinity */
	double prefix_share;	    /* share of requests with the same prefix, see prefix_share.h */
	const char *tried[SKH_PEER_QUERY_MAX_TRIED]; /* ids of peers that are not selected again */
	size_t n_tried;
} skh_peer_query_t;

/**
 * skh_select_peer() - select the sidecar for one attempt
 * @random: random number; equal inputs give equal results
 *
 * Return: the peer, owned by @peers; or NULL with @err set to SKH_NO_BACKEND, and its
 * retry_at_us, if no peer accepts new requests.
 */
skh_peer_t *skh_select_peer(const skh_peers_t *peers, const skh_peer_query_t *query,
			    uint64_t random, int64_t now_us, skh_error_t *err);

/** skh_peer_can_accept() - whether @peer is ready, serves the service and was not tried yet */
bool skh_peer_can_accept(const skh_peer_t *peer, const skh_peer_query_t *query);

/** skh_peer_load() - estimated requests at @peer, running or queued, per unit of capacity */
double skh_peer_load(const skh_peer_t *peer);

#ifdef __cplusplus
}
#endif
#endif
