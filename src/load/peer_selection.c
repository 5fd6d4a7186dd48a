#include "peer_selection.h"

#include "clock.h"

#include <glib.h>
#include <string.h>

/*
 * Load limit of a peer selected for a prefix that needs only one peer: mean * ratio + slack, as
 * in bounded-load hashing.
 */
#define AFFINITY_MAX_LOAD_RATIO 1.25
#define AFFINITY_LOAD_SLACK	0.10
/* Peers considered for a prefix, by descending weight; the most frequent prefixes need many. */
#define MAX_AFFINITY_PEERS 16
/* A prefix with a share s of the requests is spread over s * PREFIX_SPREAD_RATIO of the peers. */
#define PREFIX_SPREAD_RATIO 3.0
/* Attempts that use affinity; after as many rejections a free slot outweighs a cached prefix. */
#define MAX_AFFINITY_ATTEMPTS 5
/* Validity of a report that a peer is full; afterwards the peer may have room again. */
#define FULL_REPORT_VALID_US (100 * SKH_US_PER_MS)
/* Load added to a peer in a remote failure domain, so that local peers are preferred. */
#define REMOTE_DOMAIN_PENALTY 0.25
#define RETRY_DELAY_US	      (1 * SKH_US_PER_S)

double skh_peer_load(const skh_peer_t *peer)
{
	return (double)skh_peers_estimate_load(peer) / (double)MAX(peer->capacity, 1);
}

static bool was_tried(const skh_peer_query_t *query, const char *id)
{
	for (size_t i = 0; i < query->n_tried; i++) {
		if (strcmp(query->tried[i], id) == 0)
			return true;
	}
	return false;
}

bool skh_peer_can_accept(const skh_peer_t *peer, const skh_peer_query_t *query)
{
	return peer->is_reachable && peer->phase == SKH_PHASE_READY && peer->is_listed &&
	       !peer->is_listed_leaving && strcmp(peer->service, query->service) == 0 &&
	       !was_tried(query, peer->id);
}

static GPtrArray *find_candidates(const skh_peers_t *peers, const skh_peer_query_t *query,
				  bool include_avoided, int64_t now_us)
{
	GPtrArray *candidates = g_ptr_array_new();

	for (size_t i = 0; i < skh_peers_count(peers); i++) {
		skh_peer_t *peer = skh_peers_at(peers, i);

		if (!skh_peer_can_accept(peer, query))
			continue;
		if (include_avoided || peer->avoid_until_us <= now_us)
			g_ptr_array_add(candidates, peer);
	}
	return candidates;
}

static double mean_load(const GPtrArray *candidates)
{
	double sum = 0.0;

	for (size_t i = 0; i < candidates->len; i++)
		sum += skh_peer_load(candidates->pdata[i]);
	return sum / (double)candidates->len;
}

typedef struct weighted_peer {
	skh_peer_t *peer;
	uint64_t weight;
} weighted_peer_t;

/*
 * Rendezvous hashing (highest random weight): all entries sort the peers of a prefix in the
 * same order, and only 1/n of the prefixes move when a server is added or removed.
 */
static size_t sort_peers_by_weight(const GPtrArray *candidates, uint64_t prefix_hash,
				   weighted_peer_t *sorted)
{
	size_t n = 0;

	for (size_t i = 0; i < candidates->len; i++) {
		skh_peer_t *peer = candidates->pdata[i];
		uint64_t weight = skh_chunk_hash(skh_chunk_from_string(peer->id), prefix_hash);
		size_t position;

		if (n == MAX_AFFINITY_PEERS && weight <= sorted[n - 1].weight)
			continue;
		n = MIN(n + 1, MAX_AFFINITY_PEERS);
		for (position = n - 1; position > 0 && sorted[position - 1].weight < weight;
		     position--)
			sorted[position] = sorted[position - 1];
		sorted[position] = (weighted_peer_t){ peer, weight };
	}
	return n;
}

static bool is_full(const skh_peer_t *peer, int64_t now_us)
{
	return skh_peers_estimate_load(peer) >= peer->capacity &&
	       now_us - peer->last_received_us < FULL_REPORT_VALID_US;
}

static double estimate_cost(const skh_peer_t *peer, const skh_peer_query_t *query)
{
	bool is_local = strcmp(peer->failure_domain, query->failure_domain) == 0;

	return skh_peer_load(peer) + (is_local ? 0.0 : REMOTE_DOMAIN_PENALTY);
}

static skh_peer_t *select_less_loaded_of_two(const GPtrArray *candidates,
					     const skh_peer_query_t *query, uint64_t random)
{
	skh_peer_t *first = candidates->pdata[(uint32_t)random % candidates->len];
	skh_peer_t *second = candidates->pdata[(uint32_t)(random >> 32) % candidates->len];

	return estimate_cost(second, query) < estimate_cost(first, query) ? second : first;
}

/* A frequent prefix needs several peers: enough for its share of all requests, and one more. */
static size_t count_affinity_peers(const GPtrArray *candidates, double prefix_share)
{
	return (size_t)(prefix_share * PREFIX_SPREAD_RATIO * (double)candidates->len) + 1;
}

/* Returns the first of the n sorted peers that is neither full nor loaded far above the mean. */
static skh_peer_t *find_first_with_room(const GPtrArray *candidates, const weighted_peer_t *sorted,
					size_t n, int64_t now_us)
{
	double max_load = mean_load(candidates) * AFFINITY_MAX_LOAD_RATIO + AFFINITY_LOAD_SLACK;

	for (size_t i = 0; i < n; i++) {
		skh_peer_t *peer = sorted[i].peer;

		if (!is_full(peer, now_us) && skh_peer_load(peer) <= max_load)
			return peer;
	}
	return NULL;
}

/*
 * A prefix that several peers have cached goes to the less loaded of two of them, which
 * leaves room for the prefixes that only one peer has cached.
 */
static skh_peer_t *select_by_affinity(const GPtrArray *candidates, const skh_peer_query_t *query,
				      uint64_t random, int64_t now_us)
{
	weighted_peer_t sorted[MAX_AFFINITY_PEERS];
	size_t n = sort_peers_by_weight(candidates, query->prefix_hash, sorted);
	size_t n_preferred = MIN(count_affinity_peers(candidates, query->prefix_share), n);
	skh_peer_t *first;
	skh_peer_t *second;

	if (n_preferred < 2)
		return find_first_with_room(candidates, sorted, n, now_us);
	first = sorted[(uint32_t)random % n_preferred].peer;
	second = sorted[(uint32_t)(random >> 32) % n_preferred].peer;
	return skh_peer_load(second) < skh_peer_load(first) ? second : first;
}

skh_peer_t *skh_select_peer(const skh_peers_t *peers, const skh_peer_query_t *query,
			    uint64_t random, int64_t now_us, skh_error_t *err)
{
	g_autoptr(GPtrArray) candidates = find_candidates(peers, query, false, now_us);
	skh_peer_t *affinity_peer;

	/* Outlier ejection must not leave an empty pool, so avoided peers are the fallback. */
	if (candidates->len == 0) {
		g_ptr_array_unref(candidates);
		candidates = find_candidates(peers, query, true, now_us);
	}
	if (candidates->len == 0) {
		(void)skh_error_set(err, SKH_NO_BACKEND,
				    "no backend server of service \"%s\" accepts new requests",
				    query->service);
		err->retry_at_us = now_us + RETRY_DELAY_US;
		return NULL;
	}
	affinity_peer = query->prefix_hash != 0 && query->n_tried < MAX_AFFINITY_ATTEMPTS
				? select_by_affinity(candidates, query, random, now_us)
				: NULL;
	return affinity_peer ? affinity_peer : select_less_loaded_of_two(candidates, query, random);
}
