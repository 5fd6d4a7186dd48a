#include "concurrency_limit.h"

#include <glib.h>
#include <math.h>

/* Two to four passes of a loaded group: enough to see a change of the skew at once. */
#define WINDOW_US ((int64_t)200000)
/* A gap beyond this is a stop of the group and says nothing about its passes. */
#define MAX_PASS_US ((int64_t)1000000)
/*
 * After a stop the first passes read the prompts of the backlog under the engine's first map, and take
 * longer than later ones at the same load. A limit by them would let nothing start for half a second.
 */
#define SETTLE_US ((int64_t)800000)
/* Without a gap for so long, nothing is known about the group any more. */
#define FORGET_AFTER_US ((int64_t)3000000)
/* Weight of the newest window; three windows follow a demand shift within its first second. */
#define WINDOW_GAIN 0.25
/* What other gateways run is known a second late, so it is averaged over about as long. */
#define RUNNING_GAIN 0.2
/*
 * A stream is late by the longest of its gaps, and one long pass makes all streams late. So the
 * limit allows for the longest passes of the last 20 s or so. Passes vary by the prompts that begin
 * in them.
 */
#define SPREAD_RISE_GAIN 0.5
#define SPREAD_FALL_GAIN 0.01
#define FIRST_SPREAD	 1.15
/* A longer pass is the beginning of a demand shift or of a slowness, which the mean follows. */
#define CHANGE_RATIO 1.3
#define CHANGE_GAIN  0.7
/* While the load itself changes by more than this, passes differ for that reason. */
#define RAMP_RATIO 1.15
#define MAX_SPREAD 1.4
/* The part of the gap objective that an expected long pass may take; the rest is for the network. */
#define GAP_RATIO 0.95
/*
 * Requests a rank below which the gap objective is out of reach: with fewer, less than a third of
 * the requests are served that the slots would serve late. It is within reach again from the second
 * number on, to avoid oscillation.
 */
#define MIN_RUNNING	    1.4
#define REACH_AGAIN_RUNNING 2.0
/* Windows in a row; one alone may be the beginning of a change that is measured too high. */
#define OUT_OF_REACH_WINDOWS 4
/*
 * Requests a rank by which one window raises or lowers the limit. While it is lowered, requests
 * still start at about half the rate at which others end; with a greater step nothing starts for
 * half a second, and urgent requests become late.
 */
#define RAISE_STEP 0.4
#define LOWER_STEP 0.3
/* Far below what the passes allow, the limit is raised by this part of the distance. */
#define RAISE_RATIO 0.3
/* Above the limit by more than this, whatever starts is late; it is left to drain first. */
#define DRAIN_DISTANCE 1.0
/* The part of its time that a stream may spend in passes; the rest is for queue and first event. */
#define DEADLINE_RATIO 0.75

void skh_concurrency_limit_record_gap(skh_concurrency_limit_t *limit, int64_t gap_us,
				      int64_t gap_objective_us, int64_t now_us)
{
	if (gap_us <= 0 || gap_us > MAX_PASS_US)
		return;
	if (limit->n_gaps == 0)
		limit->window_began_us = now_us;
	if (limit->has_stopped)
		limit->resumed_us = now_us;
	limit->has_stopped = false;
	limit->last_gap_us = now_us;
	limit->n_gaps++;
	limit->window_sum_us += (double)gap_us;
	limit->window_longest_us = MAX(limit->window_longest_us, gap_us);
	if (gap_objective_us > 0 &&
	    (limit->gap_objective_us == 0 || gap_objective_us < limit->gap_objective_us))
		limit->gap_objective_us = gap_objective_us;
}

void skh_concurrency_limit_record_stop(skh_concurrency_limit_t *limit)
{
	limit->has_stopped = true;
}

bool skh_concurrency_limit_is_settling(const skh_concurrency_limit_t *limit, int64_t now_us)
{
	return limit->has_stopped ||
	       (limit->resumed_us != 0 && now_us - limit->resumed_us < SETTLE_US);
}

static double pass_cost_us(const skh_pass_cost_t *cost, double running)
{
	return cost->steps_per_pass * (cost->step_ms + running * cost->step_ms_per_request) * 1e3;
}

/* Greatest number of requests a rank whose expected pass takes at most @pass_us. */
static double find_running(const skh_pass_cost_t *cost, double skew, double pass_us)
{
	return (pass_us / 1e3 / skew / cost->steps_per_pass - cost->step_ms) /
	       cost->step_ms_per_request;
}

/* Whether the passes differ so much from before that a shift or slowness has begun or ended. */
static bool is_change(const skh_concurrency_limit_t *limit, double window_mean_us)
{
	double mean_us = (double)limit->mean_pass_us;

	return window_mean_us > mean_us * CHANGE_RATIO || mean_us > window_mean_us * CHANGE_RATIO;
}

static void update_spread(skh_concurrency_limit_t *limit, double window_mean_us, double running)
{
	double mean_us = (double)limit->mean_pass_us;
	double spread = MIN((double)limit->window_longest_us / mean_us, MAX_SPREAD);

	if (is_change(limit, window_mean_us) || limit->running > running * RAMP_RATIO ||
	    running > limit->running * RAMP_RATIO)
		return;
	limit->spread += (spread > limit->spread ? SPREAD_RISE_GAIN : SPREAD_FALL_GAIN) *
			 (spread - limit->spread);
}

static void close_window(skh_concurrency_limit_t *limit, const skh_concurrency_input_t *input)
{
	double mean_us = limit->window_sum_us / limit->n_gaps;

	if (limit->mean_pass_us == 0) {
		limit->mean_pass_us = (int64_t)mean_us;
		limit->running = input->running_per_rank;
		limit->spread = FIRST_SPREAD;
	}
	update_spread(limit, mean_us, input->running_per_rank);
	limit->running += RUNNING_GAIN * (input->running_per_rank - limit->running);
	limit->mean_pass_us += (int64_t)((is_change(limit, mean_us) ? CHANGE_GAIN : WINDOW_GAIN) *
					 (mean_us - (double)limit->mean_pass_us));
	limit->skew = (double)limit->mean_pass_us / pass_cost_us(&input->cost, limit->running);
	limit->n_gaps = 0;
	limit->window_sum_us = 0.0;
	limit->window_longest_us = 0;
}

/* Returns the greatest number of requests a rank that keeps the gap objective; may be below 1. */
static double find_running_by_gap(const skh_concurrency_limit_t *limit,
				  const skh_concurrency_input_t *input)
{
	return find_running(&input->cost, limit->skew * limit->spread,
			    (double)limit->gap_objective_us * GAP_RATIO);
}

/* Returns the limit by the deadline; 0 for none. */
static double find_limit_by_deadline(const skh_concurrency_limit_t *limit,
				     const skh_concurrency_input_t *input)
{
	double running = input->slots;

	if (input->passes >= 1.0)
		running = find_running(&input->cost, limit->skew,
				       (double)input->timeout_us * DEADLINE_RATIO / input->passes);
	return running >= input->slots ? 0.0 : MAX(running, 1.0);
}

static bool set_limit(skh_concurrency_limit_t *limit, double per_rank, skh_limit_reason_t reason)
{
	bool has_changed = limit->reason != reason;

	limit->reason = reason;
	limit->per_rank = per_rank;
	return has_changed;
}

/* Moves the limit towards @wanted. Without a limit so far, it starts from what runs. */
static bool follow_gap(skh_concurrency_limit_t *limit, const skh_concurrency_input_t *input,
		       double wanted)
{
	double before = limit->reason == SKH_LIMIT_GAP
				? limit->per_rank
				: CLAMP(input->running_per_rank, wanted, input->slots);
	bool is_at_limit = input->running_per_rank > before - RAISE_STEP;

	if (wanted < before)
		return set_limit(limit,
				 wanted < before - DRAIN_DISTANCE
					 ? wanted
					 : MAX(wanted, before - LOWER_STEP),
				 SKH_LIMIT_GAP);
	if (before + RAISE_STEP >= input->slots)
		return set_limit(limit, 0.0, SKH_LIMIT_NONE);
	/* A limit that is not reached needs no raise, and its effect would not be seen. */
	if (!is_at_limit)
		return set_limit(limit, before, SKH_LIMIT_GAP);
	return set_limit(limit,
			 MIN(wanted, before + MAX(RAISE_STEP, RAISE_RATIO * (wanted - before))),
			 SKH_LIMIT_GAP);
}

static void update_reach(skh_concurrency_limit_t *limit, double by_gap)
{
	bool is_reached = by_gap >= (limit->is_out_of_reach ? REACH_AGAIN_RUNNING : MIN_RUNNING);

	limit->n_windows_out = is_reached ? 0 : limit->n_windows_out + 1;
	if (is_reached)
		limit->is_out_of_reach = false;
	else if (limit->n_windows_out >= OUT_OF_REACH_WINDOWS)
		limit->is_out_of_reach = true;
}

static bool apply(skh_concurrency_limit_t *limit, const skh_concurrency_input_t *input)
{
	double by_gap = find_running_by_gap(limit, input);
	double by_deadline;

	update_reach(limit, by_gap);
	if (!limit->is_out_of_reach && by_gap >= input->slots)
		return set_limit(limit, 0.0, SKH_LIMIT_NONE);
	if (!limit->is_out_of_reach)
		return follow_gap(limit, input, MAX(by_gap, MIN_RUNNING));
	by_deadline = find_limit_by_deadline(limit, input);
	return set_limit(limit, by_deadline,
			 by_deadline > 0.0 ? SKH_LIMIT_DEADLINE : SKH_LIMIT_NONE);
}

bool skh_concurrency_limit_update(skh_concurrency_limit_t *limit,
				  const skh_concurrency_input_t *input, int64_t now_us)
{
	bool had_limit = limit->per_rank > 0.0;

	if (limit->last_gap_us != 0 && now_us - limit->last_gap_us > FORGET_AFTER_US) {
		*limit = (skh_concurrency_limit_t){ .has_stopped = limit->has_stopped };
		return had_limit;
	}
	if (limit->n_gaps == 0 || now_us - limit->window_began_us < WINDOW_US ||
	    limit->gap_objective_us == 0 || input->cost.steps_per_pass == 0 ||
	    input->cost.step_ms_per_request <= 0.0)
		return false;
	close_window(limit, input);
	return !skh_concurrency_limit_is_settling(limit, now_us) && apply(limit, input);
}

const char *skh_limit_reason_name(skh_limit_reason_t reason)
{
	static const char *const names[] = {
		[SKH_LIMIT_NONE] = "none",
		[SKH_LIMIT_GAP] = "gap",
		[SKH_LIMIT_DEADLINE] = "deadline",
	};

	return names[reason];
}
