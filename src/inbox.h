#ifndef SKH_INBOX_H
#define SKH_INBOX_H

/**
 * DOC: Inboxes
 *
 * One request's queue of events between the link thread, which pushes, and the
 * caller's thread, which pops.
 */

#include "request_fsm.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_attempt_event_type {
	SKH_ATTEMPT_EVENT_FRAME,    /* @frame from the sidecar */
	SKH_ATTEMPT_EVENT_NOT_SENT, /* the attempt was never handed over; @err says why */
	SKH_ATTEMPT_EVENT_LOST	    /* the sidecar is gone; @loss says what shows it */
} skh_attempt_event_type_t;

typedef struct skh_attempt_event {
	skh_attempt_event_type_t type;
	uint64_t attempt;
	Skh__Frame *frame; /* owned */
	skh_sidecar_loss_t loss;
	skh_error_t err;
} skh_attempt_event_t;

typedef struct skh_inbox skh_inbox_t;

skh_inbox_t *skh_inbox_new(void);
void skh_inbox_free(skh_inbox_t *inbox);

/** skh_inbox_push() - takes ownership of @event */
void skh_inbox_push(skh_inbox_t *inbox, skh_attempt_event_t *event);

/** skh_inbox_pop() - the next event, or NULL at @until_us; free with skh_attempt_event_free() */
skh_attempt_event_t *skh_inbox_pop(skh_inbox_t *inbox, int64_t until_us);

skh_attempt_event_t *skh_attempt_event_new(skh_attempt_event_type_t type, uint64_t attempt);
void skh_attempt_event_free(skh_attempt_event_t *event);

#ifdef __cplusplus
}
#endif
#endif
