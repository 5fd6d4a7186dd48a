#include "load_control.h"

#include "fair_order.h"

#include <glib.h>
#include <math.h>

/*
 * Factor on the rate when waiting requests are rejected by forecast: one that is kept in vain costs
 * its caller a second, one that is rejected wrongly costs the request.
 */
#define KEEP_OPTIMISM 1.25
/*
 * Reports of the others are a second old. When all start again after a stop, what runs here says
 * more about the others; by less than this, as gateways see unequal parts of the traffic.
 */
#define OWN_SHARE_WEIGHT 0.75
/* Part of its share that a gateway counts on when it finds no room for a request. */
#define BLOCKED_RATIO 0.5
/* Weight of the newest request in the average time to the deadline. */
#define TIMEOUT_GAIN 0.05
/* Requests a rank by which the limit changes before it is reported again. */
#define REPORTED_CHANGE 1.0
/*
 * Requests by which the most urgent ones may exceed the limit, in roots of it: the number that runs
 * varies by about the root of its mean.
 */
#define URGENT_DEVIATIONS 1.3
/* Part of the slots that late requests may fill. */
#define LATE_RATIO 0.75
/* Requests that start on each rank in a pass; several prompts make a loaded pass too long. */
#define STARTS_PER_RANK 1.5
/* So many start together at any gateway: on a quiet group they are spread over the ranks. */
#define MIN_PACE_BURST 6.0
/* Of a pass, before one was seen. */
#define TYPICAL_PASS_US ((int64_t)40000)
/* Of a pass that reads the backlog's prompts after a stop; the passes seen so far read few. */
#define SETTLING_PASS_US ((int64_t)100000)

double skh_group_load_running(const skh_group_load_t *load)
{
	double by_share = load->share > 0.0 ? load->own_running / load->share : 0.0;

	/* The others are known by the share alone. */
	if (load->peers_running == 0)
		return MAX((double)load->own_running, by_share);
	return MAX((double)load->own_running + load->peers_running, by_share * OWN_SHARE_WEIGHT);
}

double skh_group_load_own_limit(const skh_concurrency_limit_t *limit, const skh_group_load_t *load)
{
	double total, own, room;

	if (limit->per_rank <= 0.0)
		return 0.0;
	total = limit->per_rank * load->ranks;
	own = total * load->share;
	room = total - (skh_group_load_running(load) - load->own_running);
	if (room > own)
		own += (room - own) / 2.0;
	return MAX(floor(own + 0.5), 1.0);
}

void skh_load_control_record_arrival(skh_load_control_t *control, uint32_t priority,
				     int64_t timeout_us, int64_t now_us)
{
	skh_wait_forecast_record_arrival(&control->forecast, priority, now_us);
	control->timeout_us =
		control->timeout_us == 0
			? timeout_us
			: control->timeout_us +
				  (int64_t)(TIMEOUT_GAIN *
					    (double)(timeout_us - control->timeout_us));
}

bool skh_load_control_update_limit(const skh_load_control_t *control,
				   skh_concurrency_limit_t *limit, const skh_group_load_t *load,
				   const skh_pass_cost_t *cost, uint32_t rank_slots, int64_t now_us)
{
	const skh_concurrency_input_t input = {
		.cost = *cost,
		.slots = rank_slots,
		.running_per_rank = skh_group_load_running(load) / MAX(load->ranks, 1),
		.passes = control->forecast.passes,
		.timeout_us = control->timeout_us,
	};
	bool has_new_reason = skh_concurrency_limit_update(limit, &input, now_us);

	if (!has_new_reason && fabs(limit->per_rank - limit->logged_per_rank) < REPORTED_CHANGE)
		return false;
	limit->logged_per_rank = limit->per_rank;
	return true;
}

uint32_t skh_load_control_max_running(const skh_load_control_t *control,
				      const skh_start_room_t *room)
{
	double limit = room->own_limit;

	if (limit <= 0.0 && !room->is_late)
		return 0;
	if (limit <= 0.0)
		return (uint32_t)MAX(floor(room->own_slots * LATE_RATIO), 1.0);
	limit += URGENT_DEVIATIONS * skh_wait_forecast_urgency(&control->forecast, room->priority) *
		 sqrt(room->own_limit);
	return (uint32_t)MAX(ceil(limit), 1.0);
}

static double pace_burst(const skh_load_view_t *view)
{
	return MAX(view->ranks * view->share * STARTS_PER_RANK, MIN_PACE_BURST);
}

static int64_t pace_pass(const skh_load_view_t *view)
{
	int64_t pass_us = view->pass_us > 0 ? view->pass_us : TYPICAL_PASS_US;

	return view->is_settling ? MAX(pass_us, SETTLING_PASS_US) : pass_us;
}

static double find_pace_tokens(const skh_load_control_t *control, const skh_load_view_t *view,
			       int64_t now_us)
{
	double burst = pace_burst(view);
	double refill = burst * (double)(now_us - control->paced_us) / (double)pace_pass(view);

	return MIN(control->pace_tokens + refill, burst);
}

void skh_load_control_record_start(skh_load_control_t *control, const skh_load_view_t *view,
				   int64_t now_us)
{
	control->pace_tokens = MAX(find_pace_tokens(control, view, now_us) - 1.0, 0.0);
	control->paced_us = now_us;
}

bool skh_load_control_is_paced(const skh_load_control_t *control, const skh_load_view_t *view,
			       int64_t now_us)
{
	return view->is_lock_step && find_pace_tokens(control, view, now_us) < 1.0;
}

/* Requests that this gateway can expect to run at a time. */
static double find_capacity(const skh_load_view_t *view)
{
	double expected = view->own_limit > 0.0 ? view->own_limit : view->slots * view->share;

	/* Servers may also refuse for a moment that have room. */
	if (view->is_blocked)
		expected *= BLOCKED_RATIO;
	return view->own_limit > 0.0 && !view->is_blocked ? expected
							  : MAX(expected, view->own_running);
}

/* Requests a second that this gateway can expect to send; 0 if unknown. */
static double find_rate(const skh_load_control_t *control, const skh_load_view_t *view)
{
	if (!view->is_lock_step)
		return view->completions_per_s;
	return skh_wait_forecast_rate(&control->forecast, find_capacity(view), view->pass_us);
}

/* Time until the pace lets a request start. */
static int64_t find_pace_wait(const skh_load_view_t *view, double ahead)
{
	return view->is_lock_step ? (int64_t)(ahead / pace_burst(view) * (double)pace_pass(view))
				  : 0;
}

static int64_t forecast_wait(const skh_load_control_t *control, const skh_load_view_t *view,
			     const skh_wait_position_t *position, int64_t now_us)
{
	skh_wait_position_t at = *position;

	if (!view->is_blocked && !view->is_stopped)
		return find_pace_wait(view, position->ahead);
	if (!view->is_lock_step) {
		at.priority = 0;
		at.is_behind_equal = false;
		at.has_floor = false;
	} else if (!view->is_blocked) {
		at.free = MAX(find_capacity(view) - view->own_running, 0.0);
	}
	return MAX(skh_wait_forecast_wait_us(&control->forecast, &at, now_us),
		   find_pace_wait(view, position->ahead));
}

int64_t skh_load_control_wait_us(const skh_load_control_t *control, const skh_load_view_t *view,
				 const skh_request_queue_t *queue,
				 const skh_queued_request_t *request, bool is_late, int64_t now_us)
{
	const skh_wait_position_t position = {
		.ahead = skh_request_queue_count_ahead(queue, request, now_us),
		.ahead_equal = skh_request_queue_count_equal(queue, request, now_us),
		.has_floor = request->priority > 0 &&
			     request->priority >= skh_request_queue_least_urgent(queue),
		.rate = find_rate(control, view),
		.priority = request->priority,
		.is_behind_equal = is_late,
	};

	return forecast_wait(control, view, &position, now_us);
}

bool skh_load_control_can_serve(const skh_load_control_t *control, const skh_load_view_t *view,
				const skh_request_queue_t *queue,
				const skh_queued_request_t *request, int64_t now_us)
{
	bool is_late = skh_request_queue_is_late(queue, request, now_us);
	int64_t wait_us = skh_load_control_wait_us(control, view, queue, request, is_late, now_us);

	if (!is_late && skh_request_queue_is_late(queue, request, now_us + wait_us))
		wait_us = skh_load_control_wait_us(control, view, queue, request, true, now_us);
	return !skh_request_queue_is_expired(queue, request, now_us + wait_us);
}

void skh_load_control_find_unservable(const skh_load_control_t *control,
				      const skh_load_view_t *view, const skh_request_queue_t *queue,
				      GPtrArray *found, int64_t now_us)
{
	skh_wait_position_t position = { .rate = KEEP_OPTIMISM * find_rate(control, view) };
	uint32_t least_urgent = skh_request_queue_least_urgent(queue);
	double kept[SKH_FAIR_ORDER_PRIORITIES] = { 0.0 };
	g_autoptr(GPtrArray) sorted = NULL;

	if (!view->is_lock_step || position.rate <= 0.0)
		return;
	sorted = skh_request_queue_sort(queue, now_us);
	for (guint i = 0; i < sorted->len; i++) {
		skh_queued_request_t *request = g_ptr_array_index(sorted, i);
		double *kept_equal = &kept[MIN(request->priority, SKH_FAIR_ORDER_PRIORITIES - 1)];

		position.priority = request->priority;
		position.ahead_equal = *kept_equal;
		position.has_floor = request->priority > 0 && request->priority == least_urgent;
		position.is_behind_equal = skh_request_queue_is_late(queue, request, now_us);
		if (!request->is_resumed &&
		    skh_request_queue_is_expired(
			    queue, request,
			    now_us + forecast_wait(control, view, &position, now_us))) {
			g_ptr_array_add(found, request);
			continue;
		}
		position.ahead += 1.0;
		*kept_equal += 1.0;
	}
}

int64_t skh_load_control_schedule_return(skh_load_control_t *control, const skh_load_view_t *view,
					 const skh_request_queue_t *queue,
					 const skh_rejected_request_t *rejected, int64_t now_us)
{
	double rate = find_rate(control, view);
	double ahead = skh_request_queue_count_ahead(queue, rejected->queued, now_us) + 1.0;
	/* What arrives until then is in the rate of returns. */
	int64_t wait_us = rate > 0.0 ? (int64_t)(ahead / rate * 1e6) : 0;
	const skh_return_request_t request = {
		.content_hash = rejected->content_hash,
		.origin_us = rejected->origin_us,
		.free_from_us = now_us + wait_us,
		.returns_per_s = view->is_lock_step ? skh_wait_forecast_spare_rate(
							      &control->forecast, rate, now_us)
						    : rate,
		.deadline_us = rejected->deadline_us,
		.is_end_unknown = view->is_stopped,
	};

	return skh_return_schedule_add(&control->returns, &request, now_us);
}
