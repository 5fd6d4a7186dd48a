#ifndef SKH_GROUPGATE_H
#define SKH_GROUPGATE_H

/**
 * DOC: Gate before a lock-step group
 *
 * Pure. Answers the load pattern of a rank that dies: it breaks the whole group,
 * and every rank refuses for seconds. Sending each request to four ranks in turn
 * uses up the retry budget for nothing, and callers who wait learn too late. While
 * the group refuses, one request now and then goes through as a probe. Callers are
 * told to come back, unless a rank has just started: then the group is about to form,
 * and who waits is served sooner than who comes back.
 *
 * And of a rank that freezes: all ranks fall silent, and what is sent to the frozen
 * one is read long after its callers have left. While nothing comes back, requests
 * wait here, where they can still be refused as not run.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_groupgate - zeroed before its first use */
typedef struct skh_groupgate {
	int64_t closed_since_us; /* ranks refuse; 0 while the group is open */
	int64_t probe_us;	 /* next request that is let through while it is closed */
	int64_t unanswered_us;	 /* first request sent since the last event; 0 for none */
	int64_t sent_us;	 /* the last one */
	int64_t joined_us;	 /* a rank has started anew; 0 for none */
} skh_groupgate_t;

/** skh_groupgate_refused() - a rank refused a request that it had room for */
void skh_groupgate_refused(skh_groupgate_t *gate, int64_t now_us);

/** skh_groupgate_answered() - a rank answers: the group is open */
void skh_groupgate_answered(skh_groupgate_t *gate);

/** skh_groupgate_failed() - an attempt failed by itself: broken, perhaps, but not silent */
void skh_groupgate_failed(skh_groupgate_t *gate);

/** skh_groupgate_may_send() - while the group is closed or silent only a probe now and then */
bool skh_groupgate_may_send(const skh_groupgate_t *gate, int64_t now_us);

/** skh_groupgate_sent() - a request was sent */
void skh_groupgate_sent(skh_groupgate_t *gate, int64_t now_us);

/** skh_groupgate_joined() - a rank has started anew: the group may form */
void skh_groupgate_joined(skh_groupgate_t *gate, int64_t now_us);

/** skh_groupgate_is_closed() - it refuses, and lets probes through only */
bool skh_groupgate_is_closed(const skh_groupgate_t *gate);

/** skh_groupgate_is_down() - it has refused for so long, and forms not, that waiting is no use */
bool skh_groupgate_is_down(const skh_groupgate_t *gate, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
