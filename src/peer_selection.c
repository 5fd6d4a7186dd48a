#include "peer_selection.h"

#include "clock.h"

#include <glib.h>
#include <string.h>

/* Affinity may load its server this much above the mean, as in bounded-load hashing. */
#define AFFINITY_HEADROOM 1.25
#define AFFINITY_SLACK	  0.10
/* Homes of a prefix that are looked at, best first; the hottest need many. */
#define AFFINITY_HOMES 16
/* After this many refusals a free slot is worth more than a cached prefix. */
#define HEAT_SPREAD 3.0
#define HOME_TRIES  5
/* A server that was full longer ago than this is worth asking again. */
#define FULL_MEMORY_US (100 * SKH_US_PER_MS)
/* A remote failure domain is used when the local choice is fuller by this much. */
#define LOCAL_PREFERENCE 0.25
#define RETRY_US	 (1 * SKH_US_PER_S)

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
	return peer->reachable && peer->phase == SKH_PHASE_READY && peer->listed &&
	       !peer->listed_leaving && strcmp(peer->service, query->service) == 0 &&
	       !was_tried(query, peer->id);
}

static GPtrArray *candidates(const skh_peers_t *peers, const skh_peer_query_t *query,
			     bool with_avoided, int64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();

	for (size_t i = 0; i < skh_peers_count(peers); i++) {
		skh_peer_t *peer = skh_peers_at(peers, i);

		if (!skh_peer_can_accept(peer, query))
			continue;
		if (with_avoided || peer->avoid_until_us <= now_us)
			g_ptr_array_add(list, peer);
	}
	return list;
}

static double mean_load(const GPtrArray *list)
{
	double sum = 0.0;

	for (size_t i = 0; i < list->len; i++)
		sum += skh_peer_load(list->pdata[i]);
	return sum / (double)list->len;
}

typedef struct home {
	skh_peer_t *peer;
	uint64_t weight;
} home_t;

/*
 * Highest random weight: each prefix has an order of homes that all entries
 * agree on, and only 1/n of the prefixes move when a server comes or goes.
 */
static size_t find_homes(const GPtrArray *list, uint64_t prefix_hash, home_t *homes)
{
	size_t n = 0;

	for (size_t i = 0; i < list->len; i++) {
		skh_peer_t *peer = list->pdata[i];
		uint64_t weight = skh_chunk_hash(skh_chunk_from_string(peer->id), prefix_hash);
		size_t place;

		if (n == AFFINITY_HOMES && weight <= homes[n - 1].weight)
			continue;
		n = MIN(n + 1, AFFINITY_HOMES);
		for (place = n - 1; place > 0 && homes[place - 1].weight < weight; place--)
			homes[place] = homes[place - 1];
		homes[place] = (home_t){ peer, weight };
	}
	return n;
}

static bool is_full(const skh_peer_t *peer, int64_t now_us)
{
	return skh_peers_estimate_load(peer) >= peer->capacity &&
	       now_us - peer->last_received_us < FULL_MEMORY_US;
}

static double cost(const skh_peer_t *peer, const skh_peer_query_t *query)
{
	bool local = strcmp(peer->failure_domain, query->failure_domain) == 0;

	return skh_peer_load(peer) + (local ? 0.0 : LOCAL_PREFERENCE);
}

static skh_peer_t *better_of_two(const GPtrArray *list, const skh_peer_query_t *query,
				 uint64_t random)
{
	skh_peer_t *first = list->pdata[(uint32_t)random % list->len];
	skh_peer_t *second = list->pdata[(uint32_t)(random >> 32) % list->len];

	return cost(second, query) < cost(first, query) ? second : first;
}

/* A hot prefix fills several homes: enough for its part of all work, and one more. */
static size_t homes_of_heat(const GPtrArray *list, double heat)
{
	return (size_t)(heat * HEAT_SPREAD * (double)list->len) + 1;
}

/* The first home that is neither full nor far above the others. */
static skh_peer_t *first_home(const GPtrArray *list, const home_t *homes, size_t n, int64_t now_us)
{
	double bound = mean_load(list) * AFFINITY_HEADROOM + AFFINITY_SLACK;

	for (size_t i = 0; i < n; i++) {
		skh_peer_t *peer = homes[i].peer;

		if (!is_full(peer, now_us) && skh_peer_load(peer) <= bound)
			return peer;
	}
	return NULL;
}

/*
 * A prefix that several homes hold anyway goes to the emptier of two of them,
 * which leaves room for the prefixes that have only one.
 */
static skh_peer_t *pick_home(const GPtrArray *list, const skh_peer_query_t *query, uint64_t random,
			     int64_t now_us)
{
	home_t homes[AFFINITY_HOMES];
	size_t n = find_homes(list, query->prefix_hash, homes);
	size_t warm = MIN(homes_of_heat(list, query->prefix_share), n);
	skh_peer_t *first;
	skh_peer_t *second;

	if (warm < 2)
		return first_home(list, homes, n, now_us);
	first = homes[(uint32_t)random % warm].peer;
	second = homes[(uint32_t)(random >> 32) % warm].peer;
	return skh_peer_load(second) < skh_peer_load(first) ? second : first;
}

skh_peer_t *skh_select_peer(const skh_peers_t *peers, const skh_peer_query_t *query,
			    uint64_t random, int64_t now_us, skh_error_t *err)
{
	g_autoptr(GPtrArray) list = candidates(peers, query, false, now_us);
	skh_peer_t *home;

	/* Ejecting outliers must not empty the pool. */
	if (list->len == 0) {
		g_ptr_array_unref(list);
		list = candidates(peers, query, true, now_us);
	}
	if (list->len == 0) {
		(void)skh_error_set(err, SKH_NO_BACKEND,
				    "no backend server of \"%s\" takes new work", query->service);
		err->retry_at_us = now_us + RETRY_US;
		return NULL;
	}
	home = query->prefix_hash != 0 && query->n_tried < HOME_TRIES
		       ? pick_home(list, query, random, now_us)
		       : NULL;
	return home ? home : better_of_two(list, query, random);
}
