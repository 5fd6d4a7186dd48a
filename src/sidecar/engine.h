#ifndef SKH_ENGINE_H
#define SKH_ENGINE_H

/**
 * DOC: Engine
 *
 * A sidecar's control channel to its engine: polls load reports and cache events
 * and sends orders (load a model or an adapter in a given version, change role).
 * Reports and events arrive late, and events may have gaps. Runs on the sidecar's
 * event loop thread, except where a function says otherwise. Its HTTP transfers
 * are apart from those of requests, so that a slow report delays no response.
 * Times are microseconds of the monotonic clock.
 */

#include "backend.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_engine_view - state of the engine and counts of events and orders */
typedef struct skh_engine_view {
	int64_t reported_us; /* monotonic; 0 before the first report */
	uint32_t running;
	uint32_t queued;
	uint32_t cached_prefixes; /* prefixes in the cache, by the events received */
	uint64_t next_event;	  /* next sequence number expected */
	uint64_t events_missed;	  /* sequence numbers that were skipped */
	uint64_t orders_done;
	uint64_t orders_failed;
} skh_engine_view_t;

typedef struct skh_engine skh_engine_t;

/**
 * skh_engine_new() - creates the control channel of an engine
 * @backend: borrowed; must outlive the result
 * Return: NULL when @backend has no load reports.
 */
skh_engine_t *skh_engine_new(skh_backend_t *backend);
void skh_engine_free(skh_engine_t *engine);

/** skh_engine_tick() - runs transfers, requests reports that are due and sends the next order */
void skh_engine_tick(skh_engine_t *engine, int64_t now_us);

/** skh_engine_get_view() - copies the engine's state into @view; from any thread */
void skh_engine_get_view(skh_engine_t *engine, skh_engine_view_t *view);

/** skh_engine_enqueue_order() - queues a copy of @order, first in first out; from any thread */
void skh_engine_enqueue_order(skh_engine_t *engine, const skh_backend_order_t *order);

/**
 * skh_engine_read_load() - parses a load report into @view; pure
 * Return: false and @view unchanged when @text is no valid report.
 */
bool skh_engine_read_load(skh_chunk_t text, skh_engine_view_t *view);

/**
 * skh_engine_read_events() - applies cache events to @view and counts gaps; pure
 * Return: false when @text is no JSON array.
 */
bool skh_engine_read_events(skh_chunk_t text, skh_engine_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
