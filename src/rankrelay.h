#ifndef SKH_RANKRELAY_H
#define SKH_RANKRELAY_H

/**
 * DOC: Relay of a coordinator's orders
 *
 * Takes orders from the group's coordinator over HTTP and hands them to the
 * engine beside this process. A map is small on the way and large only there.
 * The answer is the engine's own; the fence in the order is checked there.
 */

#include "dialect.h"
#include "downstream.h"
#include "enginecall.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_RANKRELAY_PATH "/rank/v1/order"

typedef struct skh_rankrelay skh_rankrelay_t;

/** skh_rankrelay_start() - listen on "address:port"; NULL with @err */
skh_rankrelay_t *skh_rankrelay_start(uv_loop_t *loop, const char *address,
				     skh_engine_client_t *engine, const skh_dialect_t *dialect,
				     skh_error_t *err);

/** skh_rankrelay_pack() - append @order as the relay takes it */
void skh_rankrelay_pack(const skh_engine_order_t *order, skh_buffer_t *out);

/** skh_rankrelay_unpack() - the order in @bytes; free its map with g_free(); false if none */
bool skh_rankrelay_unpack(skh_chunk_t bytes, skh_engine_order_t *order, uint32_t **map);

#ifdef __cplusplus
}
#endif
#endif
