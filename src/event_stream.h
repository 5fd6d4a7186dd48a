#ifndef SKH_EVENT_STREAM_H
#define SKH_EVENT_STREAM_H

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

/** struct skh_event_stream - zeroed before its first use; free with skh_event_stream_clear() */
typedef struct skh_event_stream {
	skh_buffer_t pending;  /* start of an event that is not whole yet */
	int64_t last_event_id; /* of the last whole event; -1 before the first with an id */
	bool has_event;	       /* some whole event was seen */
} skh_event_stream_t;

void skh_event_stream_init(skh_event_stream_t *events);
void skh_event_stream_clear(skh_event_stream_t *events);

/** skh_event_stream_discard_pending() - the stream goes on from another server: forget the part */
void skh_event_stream_discard_pending(skh_event_stream_t *events);

/**
 * skh_event_stream_feed() - take @bytes; append whole events to @out
 *
 * Events that do not follow the last one, by their ids, are left out.
 * Return: false when an event is missing: the stream must not go on.
 */
bool skh_event_stream_feed(skh_event_stream_t *events, skh_chunk_t bytes, skh_buffer_t *out);

/** skh_event_stream_is_at_boundary() - nothing of an event is left over */
bool skh_event_stream_is_at_boundary(const skh_event_stream_t *events);

#ifdef __cplusplus
}
#endif
#endif
