#include "pool_load.h"

#include "clock.h"
#include "log.h"
#include "pool_groups.h"

#include <inttypes.h>

#define PART "load"
/*
 * Longest time to the first event that the order of the queue allows for. Typical objectives are
 * 500 ms; a longer time would count every request as late.
 */
#define MAX_FIRST_EVENT_US (400 * SKH_US_PER_MS)

static skh_group_load_t get_group_load(const skh_target_pool_t *pool,
				       const skh_target_group_t *group, double share,
				       double starts_per_s)
{
	skh_group_load_t load = { .share = share };
	uint32_t ranks = 0;

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);

		ranks += !skh_target_is_retired(target);
		if (target->group != group)
			continue;
		load.own_running += target->own_in_flight;
		load.peers_running += target->peers_running;
		load.ranks += !skh_target_is_retired(target);
	}
	/* Many gateways don't report the counts of single servers, but all report what they start. */
	if (load.peers_running == 0 && ranks > 0)
		load.peers_running =
			(uint32_t)(skh_wait_forecast_running(&pool->load.forecast,
							     starts_per_s * (1.0 - share),
							     group->limit.mean_pass_us) *
				   load.ranks / ranks);
	return load;
}

/* The longest pass of a group: it decides how long a request is held. */
static int64_t find_pass_us(const skh_target_pool_t *pool)
{
	int64_t pass_us = 0;

	for (guint i = 0; i < pool->groups->len; i++) {
		const skh_target_group_t *group = g_ptr_array_index(pool->groups, i);

		pass_us = MAX(pass_us, group->limit.mean_pass_us);
	}
	return pass_us;
}

skh_load_view_t skh_pool_load_get(const skh_target_pool_t *pool, double share, int64_t now_us)
{
	bool is_limited = false;
	bool is_stopped = true;
	skh_load_view_t view = {
		.share = share,
		.completions_per_s = skh_target_pool_completion_rate(pool, now_us),
		.is_lock_step = pool->is_lock_step,
		.is_blocked = pool->is_blocked,
	};

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);

		view.own_running += target->own_in_flight;
		if (skh_target_is_retired(target))
			continue;
		view.ranks++;
		view.slots += target->server->slots;
		view.own_limit += target->group && target->group->own_limit > 0.0
					  ? target->group->own_limit_per_rank
					  : target->server->slots * share;
		view.is_settling = view.is_settling ||
				   (target->group && skh_concurrency_limit_is_settling(
							     &target->group->limit, now_us));
		is_limited = is_limited || (target->group && target->group->own_limit > 0.0);
		is_stopped = is_stopped && (target->group ? !target->group->was_ready
							  : skh_target_is_guarded(target, now_us));
	}
	view.is_stopped = pool->is_lock_step && is_stopped;
	view.pass_us = find_pass_us(pool);
	if (!is_limited)
		view.own_limit = 0.0;
	return view;
}

static void log_limit(const skh_target_pool_t *pool, const skh_target_group_t *group,
		      const skh_group_load_t *load)
{
	const skh_concurrency_limit_t *limit = &group->limit;

	skh_log(SKH_LOG_INFO, PART, "Concurrency limit of a group changed.",
		"service=%s group=%s reason=%s per_rank=%.1f own=%.1f share=%.3f running=%u"
		" peers=%u pass_ms=%" PRId64 " skew=%.2f spread=%.2f gap_objective_ms=%" PRId64,
		pool->service, group->name, skh_limit_reason_name(limit->reason), limit->per_rank,
		group->own_limit, load->share, load->own_running, load->peers_running,
		limit->mean_pass_us / SKH_US_PER_MS, limit->skew, limit->spread,
		limit->gap_objective_us / SKH_US_PER_MS);
}

static void update_group(const skh_target_pool_t *pool, skh_target_group_t *group, double share,
			 double starts_per_s, int64_t now_us)
{
	const skh_group_load_t load = get_group_load(pool, group, share, starts_per_s);
	const skh_pass_cost_t cost = { .steps_per_pass = pool->steps_per_pass,
				       .step_ms = pool->step_ms,
				       .step_ms_per_request = pool->step_ms_per_request };
	bool has_changed = skh_load_control_update_limit(&pool->load, &group->limit, &load, &cost,
							 pool->rank_slots, now_us);

	group->was_ready = skh_pool_groups_is_ready(pool, group, now_us);
	group->own_limit = skh_group_load_own_limit(&group->limit, &load);
	group->own_slots = (double)load.ranks * pool->rank_slots * share;
	group->own_limit_per_rank = load.ranks > 0 ? group->own_limit / load.ranks : 0.0;
	if (has_changed)
		log_limit(pool, group, &load);
}

void skh_pool_load_update(skh_target_pool_t *pool, double share, double starts_per_s,
			  int64_t now_us)
{
	int64_t typical_us = pool->typical_first_event_ms * SKH_US_PER_MS;
	int64_t first_event_us;

	if (!pool->is_lock_step)
		return;
	for (guint i = 0; i < pool->groups->len; i++)
		update_group(pool, g_ptr_array_index(pool->groups, i), share, starts_per_s, now_us);
	first_event_us = skh_wait_forecast_first_event_us(&pool->load.forecast, typical_us);
	skh_request_queue_set_delay(pool->queue,
				    MIN(first_event_us, MAX_FIRST_EVENT_US) - typical_us);
}

void skh_pool_load_set_allowed(skh_target_pool_t *pool, uint32_t priority, bool is_late)
{
	for (guint i = 0; i < pool->groups->len; i++) {
		skh_target_group_t *group = g_ptr_array_index(pool->groups, i);
		const skh_start_room_t room = { group->own_limit, group->own_slots, priority,
						is_late };

		group->max_running = skh_load_control_max_running(&pool->load, &room);
	}
}

void skh_pool_load_lift_limits(skh_target_pool_t *pool)
{
	for (guint i = 0; i < pool->groups->len; i++)
		((skh_target_group_t *)g_ptr_array_index(pool->groups, i))->max_running = 0;
}
