#include "verdict.h"

static bool may_go_again(const skh_verdict_view_t *view)
{
	if (view->sends >= SKH_VERDICT_MAX_SENDS ||
	    view->now_us + SKH_VERDICT_LEAST_TIME_US >= view->until_us)
		return false;
	/* Wherever it may have run, another server is another run. */
	if (view->runs > 0 &&
	    (view->repeat == SKH_REPEAT_NEVER || view->runs >= view->max_attempts))
		return false;
	switch (view->end) {
	case SKH_END_UNREACHABLE:
		return true;
	case SKH_END_NOT_RUN:
		return view->may_repeat;
	case SKH_END_ERROR:
		return view->repeat == SKH_REPEAT_FREELY && view->may_repeat;
	case SKH_END_LOST:
	case SKH_END_CUT:
		return view->repeat != SKH_REPEAT_NEVER && view->may_repeat && !view->is_suspect;
	}
	return false;
}

skh_verdict_t skh_verdict_of(const skh_verdict_view_t *view)
{
	if (may_go_again(view))
		return SKH_VERDICT_AGAIN;
	if (view->end == SKH_END_CUT)
		return SKH_VERDICT_CUT;
	if (view->end == SKH_END_ERROR)
		return SKH_VERDICT_PASS;
	/* An earlier attempt may have run even if this one has not. */
	if (view->end == SKH_END_LOST || view->runs > 0)
		return SKH_VERDICT_UNKNOWN;
	return SKH_VERDICT_REFUSE;
}
