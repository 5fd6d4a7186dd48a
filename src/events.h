#ifndef SKH_EVENTS_H
#define SKH_EVENTS_H

/**
 * DOC: Streams of events
 *
 * Cuts a text/event-stream into whole events, so that a stream which breaks off
 * in the middle of one can go on elsewhere after the last whole one. Pure state.
 */

#include "buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_events - zeroed before its first use; free with skh_events_clear() */
typedef struct skh_events {
	skh_buffer_t pending; /* start of an event that is not whole yet */
	int64_t last_id;      /* of the last whole event; -1 before the first with an id */
	bool any;	      /* some whole event was seen */
} skh_events_t;

void skh_events_init(skh_events_t *events);
void skh_events_clear(skh_events_t *events);

/** skh_events_restart() - the stream goes on from another server: forget the part */
void skh_events_restart(skh_events_t *events);

/**
 * skh_events_feed() - take @bytes; append whole events to @out
 *
 * Events that do not follow the last one, by their ids, are left out.
 * Return: false when an event is missing: the stream must not go on.
 */
bool skh_events_feed(skh_events_t *events, skh_chunk_t bytes, skh_buffer_t *out);

/** skh_events_is_whole() - nothing of an event is left over */
bool skh_events_is_whole(const skh_events_t *events);

#ifdef __cplusplus
}
#endif
#endif
