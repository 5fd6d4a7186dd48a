#ifndef SKH_GROUP_BREAKER_H
#define SKH_GROUP_BREAKER_H

/**
 * DOC: Circuit breaker of a lock-step group
 *
 * Limits the requests that a gateway sends to a lock-step group while the group does
 * not serve any.
 *
 * A rank that dies breaks the whole group, and every rank rejects requests for seconds.
 * Sending each request to four ranks in turn would use up the retry budget without
 * success and delay the error to waiting callers. While the breaker is tripped, only one
 * request per interval is sent, as a probe. Once the group counts as down, new requests
 * are rejected with a time to retry, unless a rank has just started: the group is then
 * about to form, and a queued request is served sooner than a retried one.
 *
 * If a rank freezes, no rank sends events any more, and the frozen rank reads requests
 * long after their callers have left. While the group is silent, requests wait in the
 * gateway's queue, where they can still be rejected as not run.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in
 * microseconds on one monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_group_breaker - state of one group; the owner zeroes it before the first use */
typedef struct skh_group_breaker {
	int64_t tripped_since_us;	 /* first rejection by a rank; 0 while not tripped */
	int64_t next_probe_us;		 /* earliest time of the next probe while tripped */
	int64_t awaiting_event_since_us; /* first send since the last response or failure; 0 for none */
	int64_t last_sent_us;		 /* last request sent */
	int64_t rank_started_us;	 /* last start of a rank; 0 for none */
} skh_group_breaker_t;

/** skh_group_breaker_record_rejection() - trip the breaker: a rank with room rejected a request */
void skh_group_breaker_record_rejection(skh_group_breaker_t *breaker, int64_t now_us);

/** skh_group_breaker_record_response() - reset the breaker: a rank sent a response or an event */
void skh_group_breaker_record_response(skh_group_breaker_t *breaker);

/**
 * skh_group_breaker_record_failure() - record that an attempt failed
 *
 * A failed attempt shows that the group is not silent; whether the breaker is tripped is unchanged.
 */
void skh_group_breaker_record_failure(skh_group_breaker_t *breaker);

/**
 * skh_group_breaker_can_send() - whether a request may be sent now
 *
 * While the breaker is tripped or the group is silent, only probes may be sent.
 *
 * Return: false if the next probe is not due yet.
 */
bool skh_group_breaker_can_send(const skh_group_breaker_t *breaker, int64_t now_us);

/** skh_group_breaker_record_send() - record that a request was sent to a rank */
void skh_group_breaker_record_send(skh_group_breaker_t *breaker, int64_t now_us);

/** skh_group_breaker_record_rank_start() - record the start of a rank: the group may form soon */
void skh_group_breaker_record_rank_start(skh_group_breaker_t *breaker, int64_t now_us);

/** skh_group_breaker_is_tripped() - whether ranks reject requests, so that only probes are sent */
bool skh_group_breaker_is_tripped(const skh_group_breaker_t *breaker);

/** skh_group_breaker_is_silent() - whether a request has waited too long for any response */
bool skh_group_breaker_is_silent(const skh_group_breaker_t *breaker, int64_t now_us);

/**
 * skh_group_breaker_is_down() - whether new requests should be rejected instead of queued
 *
 * Return: true if ranks have rejected requests for too long to wait for the group, and no
 * rank has started recently.
 */
bool skh_group_breaker_is_down(const skh_group_breaker_t *breaker, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
