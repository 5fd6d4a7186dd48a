#include "return_schedule.h"

#include <glib.h>
#include <stdlib.h>

/* Callers honour Retry-After only up to the remaining time divided by this. */
#define REMAINING_DIVISOR 3
/* A shorter pause would be over before anything has changed. */
#define MIN_PAUSE_US ((int64_t)100000)
/* A group that is down or held needs seconds to recover. */
#define UNKNOWN_END_PAUSE_US ((int64_t)2400000)
/* Clocks and paths of callers differ by less than this. */
#define EARLY_TOLERANCE_US ((int64_t)30000)
/* Deadlines are sent as the time left, so they shift by the time on the way. */
#define DEADLINE_TOLERANCE_US ((int64_t)80000)
/* A caller that is back later than this after its time sends something new. */
#define EXPIRY_US ((int64_t)3000000)

static void expect(skh_return_schedule_t *schedule, const skh_return_request_t *request,
		   int64_t due_us)
{
	schedule->expected[schedule->n_told++ % SKH_RETURN_SCHEDULE_EXPECTED] =
		(skh_expected_return_t){ request->content_hash, due_us, request->origin_us,
					 request->deadline_us };
}

int64_t skh_return_schedule_add(skh_return_schedule_t *schedule,
				const skh_return_request_t *request, int64_t now_us)
{
	int64_t longest_us = (request->deadline_us - now_us) / REMAINING_DIVISOR;
	int64_t due_us = MAX(MAX(request->free_from_us, now_us + MIN_PAUSE_US), schedule->next_us);

	if (request->is_end_unknown)
		due_us = now_us + CLAMP(longest_us, 1, UNKNOWN_END_PAUSE_US);
	else if (due_us - now_us > longest_us)
		return 0;
	if (!request->is_end_unknown && request->returns_per_s > 0.0)
		schedule->next_us = due_us + (int64_t)(1e6 / request->returns_per_s);
	expect(schedule, request, due_us);
	return due_us - now_us;
}

int64_t skh_return_schedule_take(skh_return_schedule_t *schedule, uint64_t content_hash,
				 int64_t deadline_us, int64_t now_us)
{
	for (uint32_t i = 0; i < SKH_RETURN_SCHEDULE_EXPECTED; i++) {
		skh_expected_return_t *expected = &schedule->expected[i];

		if (expected->content_hash != content_hash || content_hash == 0 ||
		    now_us < expected->due_us - EARLY_TOLERANCE_US ||
		    now_us > expected->due_us + EXPIRY_US ||
		    llabs(deadline_us - expected->deadline_us) > DEADLINE_TOLERANCE_US)
			continue;
		expected->content_hash = 0;
		return expected->origin_us;
	}
	return 0;
}
