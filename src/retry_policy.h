#ifndef SKH_RETRY_POLICY_H
#define SKH_RETRY_POLICY_H

/**
 * DOC: What follows a failed attempt
 *
 * Pure. Decides from how an attempt ended, and from what is known to have run,
 * whether the request goes to another server, and otherwise which answer is
 * true.
 */

#include "routing.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_attempt_end - how an attempt at a server ended */
typedef enum skh_attempt_end {
	SKH_END_UNREACHABLE,  /* no connection; nothing was handed over */
	SKH_END_NOT_RUN,      /* the server said that it did not run it */
	SKH_END_ERROR,	      /* whole answer: the server failed while running it */
	SKH_END_LOST,	      /* handed over, no whole answer: it may have run */
	SKH_END_STREAM_BROKEN /* a stream broke off after events had been delivered */
} skh_attempt_end_t;

/** struct skh_retry_policy_view - what the decision is made from */
typedef struct skh_retry_policy_view {
	skh_attempt_end_t end;
	skh_retry_mode_t retry_mode;
	uint32_t possible_runs; /* attempts that may have run, this one included */
	uint32_t max_attempts;	/* of the route: servers that may run it */
	uint32_t sends;		/* attempts in all */
	bool has_retry_budget;	/* the retry budget has room */
	bool is_suspect;	/* the request is held to crash its servers */
	int64_t now_us;
	int64_t deadline_us; /* the caller's deadline or the route's timeout */
} skh_retry_policy_view_t;

/** enum skh_retry_decision - what to do */
typedef enum skh_retry_decision {
	SKH_RETRY_DECISION_RETRY,	     /* send it to another server */
	SKH_RETRY_DECISION_FORWARD_RESPONSE, /* hand on the server's own answer */
	SKH_RETRY_DECISION_REJECT,	     /* it has not run and never will */
	SKH_RETRY_DECISION_OUTCOME_UNKNOWN,  /* it may have run */
	SKH_RETRY_DECISION_CLOSE_STREAM	     /* end the stream without an end mark */
} skh_retry_decision_t;

/* Servers that may turn one request away before it is refused. */
#define SKH_RETRY_POLICY_MAX_SENDS 4
/* A retry with less time left than this can't be answered. */
#define SKH_RETRY_POLICY_MIN_TIME_US ((int64_t)60000)

/** skh_retry_policy_decide() - decide */
skh_retry_decision_t skh_retry_policy_decide(const skh_retry_policy_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
