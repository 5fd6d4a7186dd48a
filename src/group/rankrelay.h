#ifndef SKH_RANKRELAY_H
#define SKH_RANKRELAY_H

/**
 * DOC: HTTP relay for a coordinator's orders
 *
 * Accepts orders of the group's coordinator over HTTP and sends them to the engine beside this
 * process, so that a map crosses the network in a compact form and is expanded only here. The
 * response has the engine's status; the engine checks the fencing token. An order for another group
 * than the engine's is rejected: after a restart, engines of another group accept any fencing
 * token. Before an order is sent, the engine must have named its group within the last 300 ms, so
 * that a process that was frozen meanwhile asks first. The relay of a map
 * change's proxy rank sends the hold order over the network to the coordinator's engine instead.
 * An order to many ranks arrives as a batch (order_batch.h) and is passed on to their relays.
 * Owns the listener and the maps of recent orders; runs on the event loop's thread.
 */

#include "dialect.h"
#include "downstream.h"
#include "engine_client.h"
#include "rank_poller.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_RANKRELAY_PATH "/rank/v1/order"

typedef struct skh_rankrelay skh_rankrelay_t;

/**
 * skh_rankrelay_start() - listen for orders
 * @address: "address:port" to listen on
 * @engine: client of the engine beside this process; borrowed, like the following parameters
 * @poller: poller of the same engine
 * Return: the relay, which stays until the end of the process; NULL with @err set if the address
 * cannot be used.
 */
skh_rankrelay_t *skh_rankrelay_start(uv_loop_t *loop, const char *address,
				     skh_engine_client_t *engine, const skh_rank_poller_t *poller,
				     const skh_dialect_t *dialect,
				     const skh_upstream_pool_options_t *pool_options,
				     skh_error_t *err);

/**
 * skh_rankrelay_last_prepared_version() - version of the map in the last prepare order
 * @prepared_us: set to the time of that order, boot clock in microseconds
 * Return: 0 if there was none.
 */
int64_t skh_rankrelay_last_prepared_version(const skh_rankrelay_t *relay, int64_t *prepared_us);

/** skh_rankrelay_reset() - forget the maps of recent orders because the engine's group has changed */
void skh_rankrelay_reset(skh_rankrelay_t *relay);

/* Status of an order for a group that the engine is not in. */
#define SKH_RANKRELAY_STATUS_OTHER_GROUP 421

/* Status of an order whose map is encoded as differences from a map that is not cached. */
#define SKH_RANKRELAY_STATUS_NO_BASE 428

/* Version of the map that an engine starts with: experts on the ranks in turn. */
#define SKH_RANKRELAY_FIRST_MAP 0

/** struct skh_versioned_map - a complete map and its version */
typedef struct skh_versioned_map {
	int64_t version;
	size_t n_slots;
	uint32_t *map; /* owned by the cache if in one; NULL in an unused entry */
} skh_versioned_map_t;

/* Maps kept as bases for differences; more than one because changes may fail or be withdrawn. */
#define SKH_RANKRELAY_MAX_MAPS 4

/** struct skh_map_cache - the last maps that a relay received; zeroed before its first use */
typedef struct skh_map_cache {
	skh_versioned_map_t entries[SKH_RANKRELAY_MAX_MAPS];
	uint32_t next_index; /* entry that is replaced next */
} skh_map_cache_t;

/**
 * skh_map_cache_find() - look up the map with @version
 * Return: borrowed from the cache, or NULL.
 */
const skh_versioned_map_t *skh_map_cache_find(const skh_map_cache_t *cache, int64_t version);
void skh_map_cache_clear(skh_map_cache_t *cache);

/**
 * skh_rankrelay_pack() - append @order to @out in the relay's wire format
 * @base: map that the relay has, so that only differences are sent; NULL for a complete map. Every
 *	relay can compute the map SKH_RANKRELAY_FIRST_MAP
 * @n_experts: experts of each set
 * @group: name of the group that the order is for
 * @engine: "address:port" of the engine that gets the order; NULL for the one beside the relay
 */
void skh_rankrelay_pack(const skh_mapchange_order_t *order, const skh_versioned_map_t *base,
			uint32_t n_experts, const char *group, const char *engine,
			skh_buffer_t *out);

/**
 * skh_rankrelay_unpack() - decode the order in @bytes
 * @cache: gets the order's map, which @order then borrows
 * @group: name of the engine's group; "" rejects all orders
 * @engine: as in skh_rankrelay_pack(); set to NULL or to a copy to free with g_free()
 * Return: 200, or the HTTP status with which to reject the order.
 */
int32_t skh_rankrelay_unpack(skh_chunk_t bytes, skh_map_cache_t *cache, const char *group,
			     skh_mapchange_order_t *order, char **engine);

#ifdef __cplusplus
}
#endif
#endif
