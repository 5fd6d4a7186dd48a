#include "retry_policy.h"

static bool can_retry(const skh_retry_policy_input_t *view)
{
	if (view->n_attempts >= SKH_RETRY_POLICY_MAX_ATTEMPTS ||
	    view->now_us + SKH_RETRY_POLICY_MIN_TIME_LEFT_US >= view->deadline_us)
		return false;
	if (view->has_response_begun && !view->can_resume)
		return false;
	/* If an attempt may have run, a retry at another server may run the request once more. */
	if (view->possible_runs > 0 &&
	    (view->retry_mode == SKH_RETRY_MODE_NEVER || view->possible_runs >= view->max_runs))
		return false;
	switch (view->end) {
	case SKH_END_UNREACHABLE:
		return true;
	case SKH_END_NOT_RUN:
		return view->has_retry_budget;
	case SKH_END_ERROR:
		return view->retry_mode == SKH_RETRY_MODE_ALLOWED && view->has_retry_budget;
	case SKH_END_LOST:
	case SKH_END_STREAM_BROKEN:
		return view->retry_mode != SKH_RETRY_MODE_NEVER && view->has_retry_budget &&
		       !view->is_retry_blocked;
	}
	return false;
}

skh_retry_decision_t skh_retry_policy_decide(const skh_retry_policy_input_t *view)
{
	if (can_retry(view))
		return SKH_RETRY_DECISION_RETRY;
	/* Nothing else can follow the part that the caller has, whatever ended the last attempt. */
	if (view->end == SKH_END_STREAM_BROKEN || view->has_response_begun)
		return SKH_RETRY_DECISION_CLOSE_STREAM;
	if (view->end == SKH_END_ERROR)
		return SKH_RETRY_DECISION_FORWARD_RESPONSE;
	/* An earlier attempt may have run even if the last one has not. */
	if (view->end == SKH_END_LOST || view->possible_runs > 0)
		return SKH_RETRY_DECISION_OUTCOME_UNKNOWN;
	return SKH_RETRY_DECISION_REJECT;
}
