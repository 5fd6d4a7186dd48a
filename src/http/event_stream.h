#ifndef SKH_EVENT_STREAM_H
#define SKH_EVENT_STREAM_H

/**
 * DOC: Server-sent event stream
 *
 * Splits a text/event-stream into complete events, so that a stream which is
 * interrupted inside an event can resume on another backend server after the last
 * complete event. Owns the bytes of the incomplete event. No I/O and no locking:
 * the owner of a stream serialises all calls.
 *
 * The ids come from servers and may be wrong. Within one response they are compared
 * but decide nothing: an event is left out only if another server sends it again
 * after a resume, and a stream resumes only after an id that two events agree on.
 */

#include "buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest event; one that is still incomplete at this size does not end. */
#define SKH_EVENT_STREAM_MAX_EVENT_BYTES ((size_t)256 << 10)

/** enum skh_event_stream_status - result of skh_event_stream_feed() */
typedef enum skh_event_stream_status {
	SKH_EVENT_STREAM_OK,
	SKH_EVENT_STREAM_OUT_OF_ORDER, /* the id of the next event does not follow the last one */
	SKH_EVENT_STREAM_TOO_LARGE     /* the next event is too large */
} skh_event_stream_status_t;

/** struct skh_event_stream - splitter state of one stream */
typedef struct skh_event_stream {
	skh_buffer_t pending;	   /* bytes that are not emitted yet */
	size_t searched_bytes;	   /* of @pending, in which no event ends */
	int64_t last_event_id;	   /* id of the last emitted event that has an id; -1 for none */
	int64_t first_event_id;	   /* id of the first emitted event that has an id; -1 for none */
	int64_t expected_first_id; /* -1 if it is not known */
	uint64_t n_events;	   /* emitted events with data or an id */
	bool is_position_certain;  /* the last event has an id that agrees with the one before */
	/* Another server resumes the stream and has sent no new event yet. */
	bool is_resuming;
	int64_t repeated_id; /* id of the last event that it sent again; -1 for none */
	bool accepts_next;   /* see skh_event_stream_accept_next() */
} skh_event_stream_t;

/** skh_event_stream_init() - initialise @events; release with skh_event_stream_clear() */
void skh_event_stream_init(skh_event_stream_t *events);

/**
 * skh_event_stream_expect_first() - tell which id the first event should have
 * @id: -1 if it is not known; the first event's id is then certain only with the second one
 */
void skh_event_stream_expect_first(skh_event_stream_t *events, int64_t id);

/** skh_event_stream_clear() - release the pending bytes */
void skh_event_stream_clear(skh_event_stream_t *events);

/**
 * skh_event_stream_resume() - expect the events after the last one from another server
 *
 * Drops the incomplete event, which that server sends again from its start. The last event id is
 * kept.
 */
void skh_event_stream_resume(skh_event_stream_t *events);

/**
 * skh_event_stream_can_resume() - whether another server can be told where to go on
 * Return: true if no event was emitted, or the id of the last one is certain.
 */
bool skh_event_stream_can_resume(const skh_event_stream_t *events);

/**
 * skh_event_stream_learned_first() - the id that the server's numbering begins with
 * Return: -1 unless the first two events have just agreed on it.
 */
int64_t skh_event_stream_learned_first(const skh_event_stream_t *events);

/**
 * skh_event_stream_feed() - add @bytes to the stream and append complete events to @out
 *
 * After a resume, a server may send all events again from the first one on; those that were emitted
 * are dropped. Events without a valid id are appended.
 * Return: SKH_EVENT_STREAM_OUT_OF_ORDER if the next event repeats or skips an id; the event stays
 * pending and those before it are in @out.
 */
skh_event_stream_status_t skh_event_stream_feed(skh_event_stream_t *events, skh_chunk_t bytes,
						skh_buffer_t *out);

/**
 * skh_event_stream_accept_next() - emit the next event whatever its id
 *
 * For a server that goes on after an event out of order, when no other server can resume. Not
 * allowed while the stream is resuming: events of two servers are joined only by their ids.
 */
void skh_event_stream_accept_next(skh_event_stream_t *events);

/**
 * skh_event_stream_is_complete() - whether the stream may end here
 * Return: false while an event is incomplete, or if a server that resumes the stream has repeated
 * only a part of the emitted events.
 */
bool skh_event_stream_is_complete(const skh_event_stream_t *events);

#ifdef __cplusplus
}
#endif
#endif
