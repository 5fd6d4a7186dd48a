#ifndef SKH_RANKRELAY_H
#define SKH_RANKRELAY_H

/**
 * DOC: Relay of a coordinator's orders
 *
 * Takes orders from the group's coordinator over HTTP and hands them to the
 * engine beside this process. A map is small on the way and large only there.
 * The answer is the engine's own; the fence in the order is checked there. As a
 * deputy it hands an order to the coordinator's engine, over the network.
 */

#include "dialect.h"
#include "downstream.h"
#include "engine_client.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_RANKRELAY_PATH "/rank/v1/order"

typedef struct skh_rankrelay skh_rankrelay_t;

/** skh_rankrelay_start() - listen on "address:port"; NULL with @err */
skh_rankrelay_t *skh_rankrelay_start(uv_loop_t *loop, const char *address,
				     skh_engine_client_t *engine, const skh_dialect_t *dialect,
				     const skh_upstream_pool_options_t *pool_options,
				     skh_error_t *err);

/** skh_rankrelay_last_prepared() - the last map that the rank was told to prepare, and *@since_us when */
int64_t skh_rankrelay_last_prepared(const skh_rankrelay_t *relay, int64_t *since_us);

/* Status of an order whose map is told by its differences from one that is not known. */
#define SKH_RANKRELAY_STATUS_NO_BASE 428

/** struct skh_versioned_map - a whole map with the version that names it */
typedef struct skh_versioned_map {
	int64_t version;
	size_t n_slots;
	uint32_t *map; /* owned; NULL before the first */
} skh_versioned_map_t;

/* Versions of maps that the next may be told from: changes may fail or be withdrawn. */
#define SKH_RANKRELAY_MAX_MAPS 4

/** struct skh_map_cache - the last maps that a relay was told; zeroed before its first use */
typedef struct skh_map_cache {
	skh_versioned_map_t entries[SKH_RANKRELAY_MAX_MAPS];
	uint32_t next_index; /* the one that is replaced next */
} skh_map_cache_t;

/** skh_map_cache_find() - the map of @version, or NULL */
const skh_versioned_map_t *skh_map_cache_find(const skh_map_cache_t *maps, int64_t version);
void skh_map_cache_clear(skh_map_cache_t *maps);

/**
 * skh_rankrelay_pack() - append @order as the relay takes it
 * @base: a map that the relay knows, so that only differences are sent; or NULL
 * @engine: address of the engine that gets it; NULL for the one beside the relay
 */
void skh_rankrelay_pack(const skh_engine_order_t *order, const skh_versioned_map_t *base,
			const char *engine, skh_buffer_t *out);

/**
 * skh_rankrelay_unpack() - the order in @bytes
 * @known: the order's map is added, and then borrowed by @order
 * @engine: as in skh_rankrelay_pack(); set to NULL or a copy to free
 * Return: 200, or the status that refuses it.
 */
int32_t skh_rankrelay_unpack(skh_chunk_t bytes, skh_map_cache_t *known, skh_engine_order_t *order,
			     char **engine);

#ifdef __cplusplus
}
#endif
#endif
