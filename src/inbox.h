#ifndef SKH_INBOX_H
#define SKH_INBOX_H

/**
 * DOC: Inboxes
 *
 * One request's queue of events between the link thread, which pushes, and the
 * caller's thread, which pops.
 */

#include "relay.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_event_type {
	SKH_EVENT_FRAME,    /* @frame from the sidecar */
	SKH_EVENT_NOT_SENT, /* the attempt was never handed over; @err says why */
	SKH_EVENT_LOST	    /* the sidecar is gone; @loss says what shows it */
} skh_event_type_t;

typedef struct skh_event {
	skh_event_type_t type;
	uint64_t attempt;
	Skh__Frame *frame; /* owned */
	skh_loss_t loss;
	skh_error_t err;
} skh_event_t;

typedef struct skh_inbox skh_inbox_t;

skh_inbox_t *skh_inbox_new(void);
void skh_inbox_free(skh_inbox_t *inbox);

/** skh_inbox_push() - takes ownership of @event */
void skh_inbox_push(skh_inbox_t *inbox, skh_event_t *event);

/** skh_inbox_pop() - the next event, or NULL at @until_us; free with skh_event_free() */
skh_event_t *skh_inbox_pop(skh_inbox_t *inbox, int64_t until_us);

skh_event_t *skh_event_new(skh_event_type_t type, uint64_t attempt);
void skh_event_free(skh_event_t *event);

#ifdef __cplusplus
}
#endif
#endif
