#include "group_breaker.h"

/* Interval of probes while tripped; a group forms again within a few hundred ms. */
#define PROBE_INTERVAL_US ((int64_t)150000)
/*
 * Duration of rejections after which the group counts as down; one or two rejections may come
 * from a single rank.
 */
#define DOWN_AFTER_US ((int64_t)500000)

/*
 * Time from a rank's start to the first pass: other ranks may start slightly later, and the group
 * then takes 0.6 s to form.
 */
#define FORMING_TIME_US ((int64_t)1500000)

/* A pass takes 0.05 to 0.2 s; a group without a stream event for longer runs no passes. */
#define SILENCE_TIMEOUT_US ((int64_t)400000)
/*
 * Interval of probes of a silent group. It can be long, because the events of open streams show
 * that the group runs again; only a group without open streams needs the probes.
 */
#define SILENT_PROBE_INTERVAL_US ((int64_t)1000000)

void skh_group_breaker_record_rejection(skh_group_breaker_t *breaker, int64_t now_us)
{
	if (breaker->tripped_since_us == 0)
		breaker->tripped_since_us = now_us;
	breaker->next_probe_us = now_us + PROBE_INTERVAL_US;
	breaker->awaiting_event_since_us = 0;
}

void skh_group_breaker_record_response(skh_group_breaker_t *breaker)
{
	breaker->tripped_since_us = 0;
	breaker->awaiting_event_since_us = 0;
}

void skh_group_breaker_record_failure(skh_group_breaker_t *breaker)
{
	breaker->awaiting_event_since_us = 0;
}

bool skh_group_breaker_is_silent(const skh_group_breaker_t *breaker, int64_t now_us)
{
	return breaker->awaiting_event_since_us != 0 &&
	       now_us - breaker->awaiting_event_since_us > SILENCE_TIMEOUT_US;
}

bool skh_group_breaker_can_send(const skh_group_breaker_t *breaker, int64_t now_us)
{
	if (skh_group_breaker_is_silent(breaker, now_us) &&
	    now_us < breaker->last_sent_us + SILENT_PROBE_INTERVAL_US)
		return false;
	return breaker->tripped_since_us == 0 || now_us >= breaker->next_probe_us;
}

void skh_group_breaker_record_send(skh_group_breaker_t *breaker, int64_t now_us)
{
	if (breaker->tripped_since_us != 0)
		breaker->next_probe_us = now_us + PROBE_INTERVAL_US;
	if (breaker->awaiting_event_since_us == 0)
		breaker->awaiting_event_since_us = now_us;
	breaker->last_sent_us = now_us;
}

void skh_group_breaker_record_rank_start(skh_group_breaker_t *breaker, int64_t now_us)
{
	breaker->rank_started_us = now_us;
}

bool skh_group_breaker_is_tripped(const skh_group_breaker_t *breaker)
{
	return breaker->tripped_since_us != 0;
}

bool skh_group_breaker_is_down(const skh_group_breaker_t *breaker, int64_t now_us)
{
	bool is_forming = breaker->rank_started_us != 0 &&
			  now_us - breaker->rank_started_us < FORMING_TIME_US;

	return breaker->tripped_since_us != 0 &&
	       now_us - breaker->tripped_since_us > DOWN_AFTER_US && !is_forming;
}
