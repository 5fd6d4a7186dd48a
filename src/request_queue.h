#ifndef SKH_REQUEST_QUEUE_H
#define SKH_REQUEST_QUEUE_H

/**
 * DOC: Requests that wait for a server
 *
 * Pure. Answers the load pattern of a burst beyond capacity: with first come,
 * first served, a backlog makes every request miss its objective for as long as
 * it lasts. Here those that can still be in time go first, the more urgent
 * class before the less urgent; those that are late already take what is left,
 * and nobody waits who can't be served before giving up.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_queued_request - one request that waits; embedded by its owner */
typedef struct skh_queued_request {
	uint32_t priority; /* 0 is served first */
	int64_t enqueued_us;
	int64_t dispatch_objective_us; /* it must be handed to a server by then to be in time */
	int64_t expires_us;	       /* it is hopeless after that */
	int32_t index;		       /* in the line; -1 outside */
	bool is_probe_rejected;	       /* a closed group has refused it */
} skh_queued_request_t;

typedef struct skh_request_queue skh_request_queue_t;

skh_request_queue_t *skh_request_queue_new(void);
void skh_request_queue_free(skh_request_queue_t *line);

void skh_request_queue_enqueue(skh_request_queue_t *line, skh_queued_request_t *waiter);
void skh_request_queue_remove(skh_request_queue_t *line, skh_queued_request_t *waiter);
uint32_t skh_request_queue_length(const skh_request_queue_t *line);

/** skh_request_queue_peek() - who is served next; it stays in the line. NULL when empty */
skh_queued_request_t *skh_request_queue_peek(const skh_request_queue_t *line, int64_t now_us);

/** skh_request_queue_peek_probe() - who goes first to a group that may refuse: one that was not refused yet */
skh_queued_request_t *skh_request_queue_peek_probe(const skh_request_queue_t *line, int64_t now_us);

/** skh_request_queue_find_expired() - one that can't be served any more, or NULL */
skh_queued_request_t *skh_request_queue_find_expired(const skh_request_queue_t *line,
						     int64_t now_us);

/** skh_request_queue_count_ahead() - how many would be served before a newcomer like @waiter */
uint32_t skh_request_queue_count_ahead(const skh_request_queue_t *line,
				       const skh_queued_request_t *waiter, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
