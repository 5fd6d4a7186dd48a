#ifndef SKH_PEER_SELECTION_H
#define SKH_PEER_SELECTION_H

/**
 * DOC: Routing
 *
 * Chooses the sidecar for one attempt. A pure function of the entry's view of
 * its peers, the time and a random number.
 */

#include "peers.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_PEER_QUERY_MAX_TRIED 16
/** SKH_MAX_NO_QUEUE_ATTEMPTS - placements that are refused rather than queued at a full server */
#define SKH_MAX_NO_QUEUE_ATTEMPTS 7

/** struct skh_peer_query - what an attempt needs */
typedef struct skh_peer_query {
	const char *service;
	const char *failure_domain; /* of the asking entry */
	uint64_t prefix_hash;	    /* of the prompt's start; 0 for no affinity */
	double prefix_share;	    /* part of the requests that share it, see prefix_share.h */
	const char *tried[SKH_PEER_QUERY_MAX_TRIED];
	size_t n_tried;
} skh_peer_query_t;

/**
 * skh_select_peer() - the peer to send to
 * @random: any number; the same inputs give the same choice
 * Return: NULL with @err set when no peer may take new work.
 */
skh_peer_t *skh_select_peer(const skh_peers_t *peers, const skh_peer_query_t *query,
			    uint64_t random, int64_t now_us, skh_error_t *err);

/** skh_peer_can_accept() - whether @peer may be given new work at all */
bool skh_peer_can_accept(const skh_peer_t *peer, const skh_peer_query_t *query);

/** skh_peer_load() - estimated work per unit of capacity at @peer */
double skh_peer_load(const skh_peer_t *peer);

#ifdef __cplusplus
}
#endif
#endif
