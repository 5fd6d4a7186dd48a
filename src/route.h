#ifndef SKH_ROUTE_H
#define SKH_ROUTE_H

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

#define SKH_ROUTE_MAX_TRIED 16
/** SKH_ROUTE_PROBES - placements that are refused rather than queued at a full server */
#define SKH_ROUTE_PROBES 7

/** struct skh_route_query - what an attempt needs */
typedef struct skh_route_query {
	const char *service;
	const char *failure_domain; /* of the asking entry */
	uint64_t prefix_hash;	    /* of the prompt's start; 0 for no affinity */
	double heat;		    /* part of the requests that share it, see heat.h */
	const char *tried[SKH_ROUTE_MAX_TRIED];
	size_t n_tried;
} skh_route_query_t;

/**
 * skh_route_pick() - the peer to send to
 * @random: any number; the same inputs give the same choice
 * Return: NULL with @err set when no peer may take new work.
 */
skh_peer_t *skh_route_pick(const skh_peers_t *peers, const skh_route_query_t *query,
			   uint64_t random, int64_t now_us, skh_error_t *err);

/** skh_route_may_take() - whether @peer may be given new work at all */
bool skh_route_may_take(const skh_peer_t *peer, const skh_route_query_t *query);

/** skh_route_load() - estimated work per unit of capacity at @peer */
double skh_route_load(const skh_peer_t *peer);

#ifdef __cplusplus
}
#endif
#endif
