#ifndef SKH_WAITLINE_H
#define SKH_WAITLINE_H

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

/** struct skh_waiter - one request that waits; embedded by its owner */
typedef struct skh_waiter {
	uint32_t priority; /* 0 is served first */
	int64_t since_us;
	int64_t goal_us;  /* it must be handed to a server by then to be in time */
	int64_t until_us; /* it is hopeless after that */
	int32_t index;	  /* in the line; -1 outside */
	bool probed;	  /* a closed group has refused it */
} skh_waiter_t;

typedef struct skh_waitline skh_waitline_t;

skh_waitline_t *skh_waitline_new(void);
void skh_waitline_free(skh_waitline_t *line);

void skh_waitline_add(skh_waitline_t *line, skh_waiter_t *waiter);
void skh_waitline_remove(skh_waitline_t *line, skh_waiter_t *waiter);
uint32_t skh_waitline_length(const skh_waitline_t *line);

/** skh_waitline_next() - who is served next; it stays in the line. NULL when empty */
skh_waiter_t *skh_waitline_next(const skh_waitline_t *line, int64_t now_us);

/** skh_waitline_probe() - who goes first to a group that may refuse: one that was not refused yet */
skh_waiter_t *skh_waitline_probe(const skh_waitline_t *line, int64_t now_us);

/** skh_waitline_hopeless() - one that can't be served any more, or NULL */
skh_waiter_t *skh_waitline_hopeless(const skh_waitline_t *line, int64_t now_us);

/** skh_waitline_ahead() - how many would be served before a newcomer like @waiter */
uint32_t skh_waitline_ahead(const skh_waitline_t *line, const skh_waiter_t *waiter, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
