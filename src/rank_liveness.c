#include "rank_liveness.h"

/* Other ranks moved within this: a pass lasts 50 to 300 ms. */
#define GROUP_MOVES_US ((int64_t)350000)
/* A stream gets an event in each pass; callers give it up after 2 s without one. */
#define STREAM_SILENT_US ((int64_t)800000)
/* A request that has not begun may wait for its turn at the rank. */
#define REQUEST_SILENT_US ((int64_t)1400000)

bool skh_rank_liveness_is_unreachable(const skh_rank_liveness_view_t *view)
{
	int64_t since_us = view->last_received_us > view->busy_since_us ? view->last_received_us
									: view->busy_since_us;
	int64_t patience_us = view->streaming > 0 ? STREAM_SILENT_US : REQUEST_SILENT_US;

	if (view->running == 0 || view->now_us - view->group_last_received_us > GROUP_MOVES_US)
		return false;
	return view->now_us - since_us > patience_us;
}
