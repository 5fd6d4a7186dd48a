#include "report_filter.h"

#include "clock.h"

#include <math.h>
#include <string.h>

/* An engine needs at least this long for a pass. */
#define MIN_PASS_US (1 * SKH_US_PER_MS)
/* A smaller relative change of a rank's slowdown doesn't count as a change of its state. */
#define SLOWDOWN_CHANGE_RATIO 0.1

bool skh_report_filter_has_new_group(const skh_engine_report_t *before,
				     const skh_engine_report_t *after)
{
	return after->is_in_group != before->is_in_group ||
	       after->has_unusable_group != before->has_unusable_group ||
	       after->group_size != before->group_size || strcmp(after->group, before->group) != 0;
}

bool skh_report_filter_has_new_state(const skh_engine_report_t *before,
				     const skh_engine_report_t *after)
{
	return after->epoch != before->epoch || after->is_group_open != before->is_group_open ||
	       after->map_version != before->map_version ||
	       after->prepared_version != before->prepared_version ||
	       after->armed_version != before->armed_version ||
	       after->held_pass != before->held_pass || after->rank != before->rank;
}

bool skh_report_filter_has_new_slowdown(const skh_engine_report_t *before,
					const skh_engine_report_t *after)
{
	return fabs(after->slowdown - before->slowdown) > SLOWDOWN_CHANGE_RATIO * before->slowdown;
}

/* Whether the passes of two reports of one epoch can follow each other within @elapsed_us. */
static bool is_pass_plausible(const skh_engine_report_t *before, const skh_engine_report_t *after,
			      int64_t elapsed_us)
{
	int64_t n_passes = after->pass - before->pass;

	return n_passes >= 0 && n_passes <= 1 + elapsed_us / MIN_PASS_US;
}

static bool agrees(const skh_engine_report_t *before, const skh_engine_report_t *after,
		   int64_t elapsed_us)
{
	return !skh_report_filter_has_new_group(before, after) &&
	       !skh_report_filter_has_new_state(before, after) &&
	       is_pass_plausible(before, after, elapsed_us);
}

bool skh_report_filter_accept(skh_report_filter_t *filter, skh_engine_report_t *report,
			      int64_t requested_us)
{
	const skh_engine_report_t response = *report;
	bool is_unchanged = filter->has_accepted &&
			    agrees(&filter->accepted, report, requested_us - filter->accepted_us);
	bool is_confirmed =
		filter->has_last && agrees(&filter->last, report, requested_us - filter->last_us);
	bool is_used = is_unchanged || is_confirmed;

	/* A slowdown may change with each response, so it does not keep the rest from being used. */
	if (filter->has_accepted && skh_report_filter_has_new_slowdown(&filter->accepted, report) &&
	    skh_report_filter_has_new_slowdown(&filter->last, report))
		report->slowdown = filter->accepted.slowdown;
	if (is_used) {
		filter->has_accepted = true;
		filter->accepted = *report;
		filter->accepted_us = requested_us;
	}
	filter->has_last = true;
	filter->last = response;
	filter->last_us = requested_us;
	return is_used;
}
