#ifndef SKH_GROUP_BREAKER_H
#define SKH_GROUP_BREAKER_H

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

/** struct skh_group_breaker - zeroed before its first use */
typedef struct skh_group_breaker {
	int64_t tripped_since_us;    /* ranks refuse; 0 while the group is open */
	int64_t next_probe_us;	     /* next request that is let through while it is closed */
	int64_t unanswered_since_us; /* first request sent since the last event; 0 for none */
	int64_t last_sent_us;	     /* the last one */
	int64_t rank_started_us;     /* a rank has started anew; 0 for none */
} skh_group_breaker_t;

/** skh_group_breaker_record_rejection() - a rank refused a request that it had room for */
void skh_group_breaker_record_rejection(skh_group_breaker_t *gate, int64_t now_us);

/** skh_group_breaker_record_answer() - a rank answers: the group is open */
void skh_group_breaker_record_answer(skh_group_breaker_t *gate);

/** skh_group_breaker_record_failure() - an attempt failed by itself: broken, perhaps, but not silent */
void skh_group_breaker_record_failure(skh_group_breaker_t *gate);

/** skh_group_breaker_can_send() - while the group is closed or silent only a probe now and then */
bool skh_group_breaker_can_send(const skh_group_breaker_t *gate, int64_t now_us);

/** skh_group_breaker_record_send() - a request was sent */
void skh_group_breaker_record_send(skh_group_breaker_t *gate, int64_t now_us);

/** skh_group_breaker_record_rank_start() - a rank has started anew: the group may form */
void skh_group_breaker_record_rank_start(skh_group_breaker_t *gate, int64_t now_us);

/** skh_group_breaker_is_tripped() - it refuses, and lets probes through only */
bool skh_group_breaker_is_tripped(const skh_group_breaker_t *gate);

/** skh_group_breaker_is_down() - it has refused for so long, and forms not, that waiting is no use */
bool skh_group_breaker_is_down(const skh_group_breaker_t *gate, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
