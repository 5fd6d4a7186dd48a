#ifndef SKH_ENGINE_H
#define SKH_ENGINE_H

/**
 * DOC: Engine
 *
 * What a sidecar learns from its engine besides answers (load reports, cache
 * events, both late, the latter with gaps) and the orders that it gives it
 * (load a model, an adapter or a version; change role). Runs on the sidecar's
 * one thread, with transfers of its own, so that a slow report holds up no
 * answer.
 */

#include "backend.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_engine_view - what is known of the engine */
typedef struct skh_engine_view {
	int64_t reported_at_us; /* monotonic; 0 before the first report */
	uint32_t running;
	uint32_t queued;
	uint32_t cached_prefixes; /* counted from the events seen */
	uint64_t next_event;	  /* sequence number wanted next */
	uint64_t events_missed;	  /* numbers that never came */
	uint64_t orders_done;
	uint64_t orders_failed;
} skh_engine_view_t;

typedef struct skh_engine skh_engine_t;

/** skh_engine_new() - NULL when @backend gives no reports; it is borrowed */
skh_engine_t *skh_engine_new(skh_backend_t *backend);
void skh_engine_free(skh_engine_t *engine);

/** skh_engine_tick() - run transfers and ask for what is due */
void skh_engine_tick(skh_engine_t *engine, int64_t now_us);

/** skh_engine_get_view() - a copy, from any thread */
void skh_engine_get_view(skh_engine_t *engine, skh_engine_view_t *view);

/** skh_engine_enqueue_order() - give @order soon, after those before it; from any thread */
void skh_engine_enqueue_order(skh_engine_t *engine, const skh_backend_order_t *order);

/** skh_engine_read_load() - a load report; pure */
bool skh_engine_read_load(skh_chunk_t text, skh_engine_view_t *view);

/** skh_engine_read_events() - cache events; counts gaps; pure */
bool skh_engine_read_events(skh_chunk_t text, skh_engine_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
