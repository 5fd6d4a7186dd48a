#ifndef SKH_INBOX_H
#define SKH_INBOX_H

/**
 * DOC: Inboxes
 *
 * Event queue of one request in an entry. The link thread pushes events of the
 * request's attempts and the thread that handles the request pops them; push and
 * pop are thread-safe.
 */

#include "request_fsm.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_attempt_event_type {
	SKH_ATTEMPT_EVENT_FRAME,    /* the sidecar sent @frame */
	SKH_ATTEMPT_EVENT_NOT_SENT, /* the attempt was never sent to the sidecar; @err is the cause */
	SKH_ATTEMPT_EVENT_LOST	    /* the sidecar is lost; @loss is how this was detected */
} skh_attempt_event_type_t;

typedef struct skh_attempt_event {
	skh_attempt_event_type_t type;
	uint64_t attempt;
	Skh__Frame *frame;	 /* owned; only for SKH_ATTEMPT_EVENT_FRAME, otherwise NULL */
	skh_sidecar_loss_t loss; /* only for SKH_ATTEMPT_EVENT_LOST */
	skh_error_t err;	 /* only for SKH_ATTEMPT_EVENT_NOT_SENT */
} skh_attempt_event_t;

typedef struct skh_inbox skh_inbox_t;

skh_inbox_t *skh_inbox_new(void);

/** skh_inbox_free() - free @inbox and the events left in it */
void skh_inbox_free(skh_inbox_t *inbox);

/** skh_inbox_push() - append @event and take ownership of it */
void skh_inbox_push(skh_inbox_t *inbox, skh_attempt_event_t *event);

/**
 * skh_inbox_pop() - remove the oldest event, waiting for one if there is none
 * @deadline_us: monotonic time at which waiting ends
 *
 * Return: an event to free with skh_attempt_event_free(), or NULL at the deadline.
 */
skh_attempt_event_t *skh_inbox_pop(skh_inbox_t *inbox, int64_t deadline_us);

/** skh_attempt_event_new() - event of the attempt with id @attempt; other fields are zero */
skh_attempt_event_t *skh_attempt_event_new(skh_attempt_event_type_t type, uint64_t attempt);

/** skh_attempt_event_free() - free @event and its frame; NULL is allowed */
void skh_attempt_event_free(skh_attempt_event_t *event);

#ifdef __cplusplus
}
#endif
#endif
