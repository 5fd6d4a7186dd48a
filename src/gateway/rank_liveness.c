#include "rank_liveness.h"

/* The whole group counts as silent after this time without data; a pass takes 50 to 300 ms. */
#define MAX_GROUP_SILENCE_US ((int64_t)350000)
/* A stream receives an event in each pass; callers time out after 2 s without one. */
#define MAX_STREAM_SILENCE_US ((int64_t)800000)
/* A request without any response data may still be queued at the rank, so it gets more time. */
#define MAX_REQUEST_SILENCE_US ((int64_t)1400000)

bool skh_rank_liveness_is_unreachable(const skh_rank_liveness_input_t *view)
{
	int64_t silent_since_us = view->last_received_us > view->busy_since_us
					  ? view->last_received_us
					  : view->busy_since_us;
	int64_t max_silence_us =
		view->streaming > 0 ? MAX_STREAM_SILENCE_US : MAX_REQUEST_SILENCE_US;

	if (view->running == 0 ||
	    view->now_us - view->group_last_received_us > MAX_GROUP_SILENCE_US)
		return false;
	return view->now_us - silent_since_us > max_silence_us;
}
