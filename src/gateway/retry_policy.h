#ifndef SKH_RETRY_POLICY_H
#define SKH_RETRY_POLICY_H

/**
 * DOC: Retry policy
 *
 * Decides after a failed attempt whether the request is retried at another server,
 * and otherwise which response is correct for the caller. The decision depends on
 * how the attempt ended and on how many attempts may have run the request.
 *
 * A pure function without state; any thread may call it. Times are in microseconds
 * on one monotonic clock.
 */

#include "routing.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_attempt_end - how an attempt at a server ended */
typedef enum skh_attempt_end {
	SKH_END_UNREACHABLE,  /* no connection; no part of the request was sent */
	SKH_END_NOT_RUN,      /* the server reported that it did not run the request */
	SKH_END_ERROR,	      /* complete response: the server failed while it ran the request */
	SKH_END_LOST,	      /* sent, but no complete response: the request may have run */
	SKH_END_STREAM_BROKEN /* a stream ended early after events had been delivered */
} skh_attempt_end_t;

/** struct skh_retry_policy_input - input of the decision */
typedef struct skh_retry_policy_input {
	skh_attempt_end_t end;
	skh_retry_mode_t retry_mode;
	uint32_t possible_runs;	 /* attempts that may have run, the failed one included */
	uint32_t max_runs;	 /* the route's limit of @possible_runs */
	uint32_t n_attempts;	 /* attempts so far, whether run or not */
	bool has_retry_budget;	 /* the retry budget has room */
	bool is_retry_blocked;	 /* the request is a crash suspect */
	bool has_response_begun; /* the caller has received a part of a response */
	bool can_resume;	 /* another server can be told where to go on after that part */
	int64_t now_us;
	int64_t deadline_us; /* the caller's deadline or the route's timeout */
} skh_retry_policy_input_t;

/** enum skh_retry_decision - what to do after a failed attempt */
typedef enum skh_retry_decision {
	SKH_RETRY_DECISION_RETRY,	     /* send the request to another server */
	SKH_RETRY_DECISION_FORWARD_RESPONSE, /* forward the server's own response */
	SKH_RETRY_DECISION_REJECT,	     /* report that the request did not and will not run */
	SKH_RETRY_DECISION_OUTCOME_UNKNOWN,  /* report that the request may have run */
	SKH_RETRY_DECISION_CLOSE_STREAM	     /* close the stream without an end marker */
} skh_retry_decision_t;

/* Maximum number of attempts per request, including those that the server rejects. */
#define SKH_RETRY_POLICY_MAX_ATTEMPTS 4
/* Minimum time left before the deadline for a retry; no server can respond in less time. */
#define SKH_RETRY_POLICY_MIN_TIME_LEFT_US ((int64_t)60000)

/** skh_retry_policy_decide() - decide what follows the failed attempt described by @view */
skh_retry_decision_t skh_retry_policy_decide(const skh_retry_policy_input_t *view);

#ifdef __cplusplus
}
#endif
#endif
