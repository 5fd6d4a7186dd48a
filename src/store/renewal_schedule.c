#include "renewal_schedule.h"

#include "clock.h"

#include <glib.h>

/* Interval at a healthy store: two renewals in a row may be lost. */
#define MAX_INTERVAL_US (280 * SKH_US_PER_MS)
/* Lower bound of the interval, as each call has a cost and adds to the load of a slow store. */
#define MIN_INTERVAL_US (100 * SKH_US_PER_MS)
/* A call that takes longer is slow; a healthy store takes 4 ms, with full links up to 20 ms. */
#define SLOW_CALL_US (50 * SKH_US_PER_MS)

/* Two intervals and a call fit into the usable time, so that one renewal may be lost. */
static int64_t interval_us(const skh_renewal_schedule_t *schedule, int64_t duration_us)
{
	return CLAMP((schedule->usable_us - duration_us) / 2, MIN_INTERVAL_US, MAX_INTERVAL_US);
}

void skh_renewal_record_sent(skh_renewal_schedule_t *schedule, int64_t now_us)
{
	schedule->sent_us = MAX(schedule->sent_us, now_us);
}

void skh_renewal_record_duration(skh_renewal_schedule_t *schedule, int64_t duration_us)
{
	schedule->duration_us = MAX(duration_us, schedule->duration_us * 3 / 4);
}

int64_t skh_renewal_wait_us(const skh_renewal_schedule_t *schedule, int64_t now_us)
{
	if (schedule->duration_us <= SLOW_CALL_US)
		return MAX_INTERVAL_US;
	return MAX(schedule->sent_us + interval_us(schedule, schedule->duration_us) - now_us, 0);
}

bool skh_renewal_is_overlap_due(const skh_renewal_schedule_t *schedule, int64_t call_started_us,
				int64_t now_us)
{
	int64_t in_call_us = now_us - call_started_us;
	int64_t duration_us = MAX(schedule->duration_us, in_call_us);

	return in_call_us > SLOW_CALL_US &&
	       now_us - schedule->sent_us >= interval_us(schedule, duration_us);
}
