#include "coordinator.h"

#include "clock.h"
#include "copy_limit.h"
#include "count_codec.h"
#include "demand.h"
#include "fence.h"
#include "groupview.h"
#include "log.h"
#include "mapchange.h"
#include "mapplan.h"
#include "metrics.h"
#include "order_sender.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#define PART "group"
/*
 * A change starts only if the skew of the map in use exceeds 1 by at least this much and the plan
 * reduces the skew by at least this much. The minimum is much higher while passes are short
 * because copies then cost more than they gain.
 */
#define MIN_SKEW_GAIN		   0.15
#define MIN_SKEW_GAIN_SHORT_PASSES 0.9
/*
 * A greedy plan leaves expert sets up to this skew unchanged; the second value applies while passes
 * are short.
 */
#define TARGET_SKEW		 1.08
#define TARGET_SKEW_SHORT_PASSES 1.6
/*
 * Target of a relief change (see RELIEF_MIN_SKEW). It is higher than TARGET_SKEW because an order
 * takes longer to send with each further copy.
 */
#define RELIEF_TARGET_SKEW 1.45
/* A pass is short if it takes less than this fraction of a pass with all request slots in use. */
#define SHORT_PASS_RATIO 0.75
/* Cost of one copied expert in a plan, in units of its set's skew: copying lengthens passes. */
#define COPY_COST_SKEW 0.006
/*
 * A change is a relief change, usually the first one after a demand shift, if the skew of the map
 * in use is above this.
 */
#define RELIEF_MIN_SKEW 1.8
/* A rank whose slowdown is at most this ratio is treated as normal. */
#define MIN_SLOWDOWN_RATIO 1.25
/* A slowdown that differs from the planned one by more than this ratio makes a new plan due. */
#define SLOWDOWN_CHANGE_RATIO 0.2
/* Largest map, in slots, that the full search handles fast enough on a small share of a core. */
#define MAX_SEARCH_SLOTS 600
/* Planning takes milliseconds on a small share of a core and seldom finds a gain. */
#define MIN_PLAN_INTERVAL_US (60 * SKH_US_PER_MS)
/* A new lease holder waits for reports of all ranks before it decides. */
#define TAKEOVER_DELAY_US (400 * SKH_US_PER_MS)

/* Only a rank whose process has sent a report within this time is selected as proxy. */
#define PROXY_MAX_SILENCE_US (300 * SKH_US_PER_MS)

struct skh_coordinator {
	skh_coordinator_options_t options;
	skh_groupview_t view;
	skh_demand_t *demand;
	double *counts;	   /* decoded from one report, [sets][experts] */
	double *slowdowns; /* used by the last plan, [@n_ranks] */
	skh_order_sender_t *sender;
	uint32_t n_ranks;	  /* ranks that the arrays have room for */
	uint32_t last_proxy_rank; /* proxy of the last change */
	skh_mapchange_t change;
	skh_mapplan_result_t plan;
	int64_t next_decision_us;
	int64_t next_plan_us; /* earliest time of the next plan unless demand has shifted */
	int64_t change_started_us;
	skh_fence_counter_t fences;
	int64_t fence;		 /* fencing token of the lease; 0 while it is not held */
	int64_t change_fence;	 /* fencing token of the lease that the change began under */
	bool has_fresh_counts;	 /* the demand estimate has changed since the last plan */
	bool has_demand_shifted; /* demand has shifted since the last plan */
	bool is_changing;
	bool was_fenced;
	skh_coordinator_change_t last_change;
	skh_coordinator_change_t last_abandoned;
	bool needs_repair; /* the last change failed and may have left ranks armed or held */
};

static void on_order_result(void *context, uint32_t rank, skh_mapchange_order_result_t result);
static void send_orders(skh_coordinator_t *coordinator, int64_t now_us);

/* @reason is NULL if the change has succeeded. */
static void record_end(skh_coordinator_t *coordinator, const char *reason, int64_t now_us)
{
	skh_coordinator_change_t *last = &coordinator->last_change;

	*last = (skh_coordinator_change_t){ .version = coordinator->change.version,
					    .ended_us = now_us,
					    .succeeded = !reason };
	(void)g_strlcpy(last->reason, reason ? reason : "", sizeof(last->reason));
	if (reason)
		coordinator->last_abandoned = *last;
}

static void set_changing(skh_coordinator_t *coordinator, bool is_changing)
{
	coordinator->is_changing = is_changing;
	coordinator->view.is_pinned = is_changing;
}

/* A change in progress is for a group that no longer exists, so it ends. */
static void adapt_to_group_size(skh_coordinator_t *coordinator)
{
	uint32_t n_ranks = coordinator->view.n_ranks;

	if (n_ranks == coordinator->n_ranks)
		return;
	if (coordinator->is_changing)
		skh_log(SKH_LOG_INFO, PART, "Map change abandoned because the group size changed.",
			"version=%" PRId64 " ranks=%u before=%u", coordinator->change.version,
			n_ranks, coordinator->n_ranks);
	if (coordinator->is_changing)
		record_end(coordinator, "group_size", skh_clock_boot_us());
	coordinator->needs_repair =
		coordinator->needs_repair ||
		(coordinator->is_changing && coordinator->change.held_since_us != 0);
	set_changing(coordinator, false);
	coordinator->n_ranks = n_ranks;
	g_free(coordinator->slowdowns);
	skh_order_sender_resize(coordinator->sender, n_ranks);
	coordinator->slowdowns = g_new(double, n_ranks);
	for (uint32_t rank = 0; rank < n_ranks; rank++)
		coordinator->slowdowns[rank] = 1.0;
}

static void on_rank_state(void *context, uint32_t rank, int64_t poll_started_us, int64_t now_us)
{
	skh_coordinator_t *coordinator = context;

	adapt_to_group_size(coordinator);
	if (!coordinator->is_changing)
		return;
	if (poll_started_us > 0 && rank == coordinator->change.proxy_rank)
		skh_mapchange_record_proxy_probe(&coordinator->change, poll_started_us);
	skh_mapchange_record_report(&coordinator->change, rank,
				    &coordinator->view.ranks[rank].report, now_us);
	send_orders(coordinator, now_us);
}

static void on_poll_done(void *context, uint32_t rank, int64_t now_us)
{
	skh_coordinator_t *coordinator = context;

	skh_order_sender_record_poll(coordinator->sender, rank, now_us);
}

static void poll_engine(void *context, uint32_t rank)
{
	skh_coordinator_t *coordinator = context;

	skh_groupview_poll_rank(&coordinator->view, rank, skh_clock_boot_us());
}

skh_coordinator_t *skh_coordinator_new(const skh_coordinator_options_t *options,
				       const skh_engine_spec_t *engine_spec)
{
	skh_coordinator_t *coordinator = g_new0(skh_coordinator_t, 1);
	const skh_groupview_options_t view_options = {
		.loop = options->loop,
		.dialect = options->dialect,
		.pool_options = options->pool_options,
		.group = options->group,
		.n_ranks = options->n_ranks,
		.on_rank_state = on_rank_state,
		.on_poll_done = on_poll_done,
		.context = coordinator,
	};
	const skh_order_sender_options_t sender_options = {
		.dialect = options->dialect,
		.view = &coordinator->view,
		.on_result = on_order_result,
		.poll_engine = poll_engine,
		.context = coordinator,
	};

	coordinator->options = *options;
	coordinator->demand = skh_demand_new(engine_spec);
	coordinator->counts =
		g_new0(double, (size_t)engine_spec->expert_sets * engine_spec->experts_per_set);
	skh_groupview_init(&coordinator->view, &view_options, engine_spec);
	coordinator->sender = skh_order_sender_new(&sender_options);
	return coordinator;
}

void skh_coordinator_free(skh_coordinator_t *coordinator)
{
	skh_groupview_clear(&coordinator->view);
	skh_mapchange_clear(&coordinator->change);
	g_free(coordinator->slowdowns);
	skh_order_sender_free(coordinator->sender);
	skh_demand_free(coordinator->demand);
	g_free(coordinator->counts);
	g_free(coordinator);
}

void skh_coordinator_set_weights(skh_coordinator_t *coordinator, double skew_weight,
				 double cost_weight)
{
	coordinator->options.skew_weight = skew_weight;
	coordinator->options.cost_weight = cost_weight;
}

static void maybe_change_map(skh_coordinator_t *coordinator, int64_t now_us);

void skh_coordinator_record_sample(skh_coordinator_t *coordinator,
				   const skh_demand_sample_t *sample, int64_t now_us)
{
	skh_demand_update_t update = skh_demand_add_sample(coordinator->demand, sample, now_us);

	if (update == SKH_DEMAND_SHIFTED || update == SKH_DEMAND_SHIFTED_MID_SAMPLE) {
		skh_log(SKH_LOG_INFO, PART, "Expert demand shifted.",
			"after_pass=%" PRId64 " up_to_pass=%" PRId64 " whole=%d", sample->from_pass,
			sample->to_pass, update == SKH_DEMAND_SHIFTED);
		coordinator->has_demand_shifted = true;
	}
	coordinator->has_fresh_counts =
		coordinator->has_fresh_counts || update != SKH_DEMAND_IGNORED;
	if (coordinator->fence != 0)
		maybe_change_map(coordinator, now_us);
}

/* Counts of a later epoch than the group's would make all others count as old. */
static bool is_sample_plausible(const skh_groupview_t *view, const skh_demand_sample_t *sample)
{
	return view->has_own_rank && sample->epoch == view->ranks[view->own_rank].report.epoch &&
	       sample->from_pass >= 0 && sample->to_pass >= sample->from_pass;
}

static void decode_counts(skh_coordinator_t *coordinator, const Skh__RankReport *message,
			  int64_t now_us)
{
	const skh_engine_spec_t *spec = &coordinator->view.engine_spec;
	size_t n_counts = (size_t)spec->expert_sets * spec->experts_per_set;
	const skh_demand_sample_t sample = {
		.counts = coordinator->counts,
		.epoch = message->epoch,
		.from_pass = message->from_pass,
		.to_pass = message->to_pass,
	};

	if (message->n_counts != n_counts ||
	    message->counts.len != skh_count_codec_encoded_size(n_counts) ||
	    !is_sample_plausible(&coordinator->view, &sample))
		return;
	memset(coordinator->counts, 0, n_counts * sizeof(double));
	skh_count_codec_decode_add(message->counts.data, n_counts, message->greatest_count,
				   coordinator->counts);
	skh_coordinator_record_sample(coordinator, &sample, now_us);
}

void skh_coordinator_record_report(skh_coordinator_t *coordinator, const Skh__RankReport *message,
				   bool is_own_rank, int64_t now_us)
{
	if (!skh_groupview_record_report(&coordinator->view, message, is_own_rank, now_us))
		return;
	adapt_to_group_size(coordinator);
	decode_counts(coordinator, message, now_us);
}

void skh_coordinator_get_last_changes(const skh_coordinator_t *coordinator,
				      skh_coordinator_change_t *last,
				      skh_coordinator_change_t *last_abandoned)
{
	*last = coordinator->last_change;
	*last_abandoned = coordinator->last_abandoned;
}

bool skh_coordinator_is_changing_map(const skh_coordinator_t *coordinator)
{
	return coordinator->is_changing;
}

char *skh_coordinator_format_members(const skh_coordinator_t *coordinator)
{
	return skh_groupview_format_members(&coordinator->view);
}

void skh_coordinator_adopt_members(skh_coordinator_t *coordinator,
				   const skh_members_notice_t *notice, int64_t now_us)
{
	skh_groupview_adopt_members(&coordinator->view, notice, now_us);
}

bool skh_coordinator_may_hold_group(const skh_coordinator_t *coordinator)
{
	return coordinator->is_changing && !skh_mapchange_can_replace(&coordinator->change);
}

bool skh_coordinator_has_unknown_ranks(const skh_coordinator_t *coordinator)
{
	return skh_groupview_has_unknown_ranks(&coordinator->view);
}

bool skh_coordinator_probe_engine(skh_coordinator_t *coordinator, const char *address,
				  int64_t now_us)
{
	return skh_groupview_probe_engine(&coordinator->view, address, now_us);
}

/* --- Orders --- */

static void on_order_result(void *context, uint32_t rank, skh_mapchange_order_result_t result)
{
	skh_coordinator_t *coordinator = context;
	int64_t now_us = skh_clock_boot_us();

	if (!coordinator->is_changing)
		return;
	skh_mapchange_record_result(&coordinator->change, rank, result, now_us);
	/* A change of an earlier lease says nothing about the present one. */
	if (result == SKH_MAPCHANGE_ORDER_FENCED && coordinator->change_fence == coordinator->fence)
		coordinator->was_fenced = true;
	send_orders(coordinator, now_us);
}

static void send_orders(skh_coordinator_t *coordinator, int64_t now_us)
{
	uint32_t n_ranks = coordinator->is_changing ? coordinator->n_ranks : 0;
	skh_rank_order_t *orders = NULL;
	uint32_t n_orders = 0;

	for (uint32_t rank = 0; rank < n_ranks; rank++) {
		skh_rank_order_t order = { .rank = rank };

		if (!coordinator->view.ranks[rank].engine ||
		    !skh_mapchange_next_order(&coordinator->change, rank, now_us, &order.order))
			continue;
		if (!orders)
			orders = g_new(skh_rank_order_t, n_ranks);
		orders[n_orders++] = order;
	}
	if (n_orders > 0)
		skh_order_sender_send(coordinator->sender, orders, n_orders);
	g_free(orders);
	if (coordinator->is_changing && skh_mapchange_is_proxy_probe_due(&coordinator->change))
		skh_groupview_poll_rank(&coordinator->view, coordinator->change.proxy_rank, now_us);
}

/* --- Decisions --- */

/* Selects ranks in turn; returns the coordinator's own rank if no other has reported recently. */
static uint32_t select_proxy_rank(const skh_coordinator_t *coordinator, int64_t now_us)
{
	const skh_groupview_t *view = &coordinator->view;

	for (uint32_t i = 1; i <= view->n_ranks; i++) {
		uint32_t rank = (coordinator->last_proxy_rank + i) % view->n_ranks;

		if (rank != view->own_rank && view->ranks[rank].relay &&
		    now_us - view->ranks[rank].last_received_us < PROXY_MAX_SILENCE_US)
			return rank;
	}
	return view->own_rank;
}

static void begin_change(skh_coordinator_t *coordinator, bool is_repair, int64_t now_us)
{
	skh_groupview_t *view = &coordinator->view;
	int64_t epoch = view->ranks[view->own_rank].report.epoch;
	int64_t fence = skh_fence_reserve(&coordinator->fences, coordinator->fence,
					  SKH_MAPCHANGE_MAX_FENCES);
	const skh_mapchange_options_t options = {
		.n_ranks = view->n_ranks,
		.own_rank = view->own_rank,
		.proxy_rank = select_proxy_rank(coordinator, now_us),
		.epoch = epoch,
		.pass_began_us = view->ranks[view->own_rank].pass_began_us,
		/* Equal to the fence so that versions, too, increase from one lease holder to the next. */
		.version = fence,
		.fence = fence,
		.is_repair = is_repair,
	};

	skh_mapchange_init(&coordinator->change, &options, now_us);
	coordinator->change_fence = coordinator->fence;
	coordinator->last_proxy_rank = options.proxy_rank;
	skh_order_sender_begin_change(coordinator->sender, options.proxy_rank);
	view->next_epoch = epoch;
	view->next_version = fence;
	view->switch_pass = 0;
	set_changing(coordinator, true);
	coordinator->change_started_us = now_us;
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		if (view->ranks[rank].has_report)
			skh_mapchange_record_report(&coordinator->change, rank,
						    &view->ranks[rank].report, now_us);
	}
	skh_log(SKH_LOG_INFO, PART, "Map change begins.",
		"version=%" PRId64 " epoch=%" PRId64 " skew_before=%.3f skew_after=%.3f new=%u"
		" most_new=%u repair=%d",
		fence, epoch, coordinator->plan.skew_before, coordinator->plan.skew_after,
		coordinator->plan.n_copies, coordinator->plan.max_copies_per_rank, is_repair);
	send_orders(coordinator, now_us);
}

static bool has_short_passes(const skh_groupview_t *view)
{
	const skh_engine_spec_t *spec = &view->engine_spec;
	double full_ms = (double)spec->steps_per_pass *
			 (spec->step_ms + (double)spec->request_slots * spec->step_ms_per_request);
	double pass_ms = (double)view->pass_duration_us / (double)SKH_US_PER_MS;

	return pass_ms > 0.0 && pass_ms < SHORT_PASS_RATIO * full_ms;
}

/* Slowdown of a rank; 1, which is normal, if it is at most MIN_SLOWDOWN_RATIO. */
static double rank_slowdown(const skh_coordinator_t *coordinator, uint32_t rank)
{
	double slowdown = coordinator->view.ranks[rank].report.slowdown;

	return slowdown > MIN_SLOWDOWN_RATIO ? slowdown : 1.0;
}

static bool has_slowdown_changed(const skh_coordinator_t *coordinator)
{
	for (uint32_t rank = 0; rank < coordinator->view.n_ranks; rank++) {
		double planned = coordinator->slowdowns[rank];

		if (fabs(rank_slowdown(coordinator, rank) - planned) >
		    SLOWDOWN_CHANGE_RATIO * planned)
			return true;
	}
	return false;
}

char *skh_coordinator_format_slow_ranks(const skh_coordinator_t *coordinator)
{
	const skh_groupview_t *view = &coordinator->view;
	GString *text = g_string_new(NULL);

	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		double slowdown = rank_slowdown(coordinator, rank);

		if (slowdown > 1.0 && view->ranks[rank].engine)
			g_string_append_printf(text, "%s %.1f\n",
					       skh_engine_client_address(view->ranks[rank].engine),
					       slowdown);
	}
	return g_string_free(text, FALSE);
}

/* Plans the next map unless the current skew is too small or the pass duration is unknown. */
static void plan_next_map(skh_coordinator_t *coordinator, bool short_passes)
{
	skh_groupview_t *view = &coordinator->view;
	const double *shares = skh_demand_shares(coordinator->demand);
	double skew;
	bool is_relief;
	skh_mapplan_options_t plan_options;

	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		coordinator->slowdowns[rank] = rank_slowdown(coordinator, rank);
	skew = skh_mapplan_skew(&view->engine_spec, view->n_ranks, shares, coordinator->slowdowns,
				view->map);
	is_relief = skew > RELIEF_MIN_SKEW;
	plan_options = (skh_mapplan_options_t){
		.greedy_target_skew = short_passes ? TARGET_SKEW_SHORT_PASSES
				      : is_relief  ? RELIEF_TARGET_SKEW
						   : TARGET_SKEW,
		.skew_weight = coordinator->options.skew_weight,
		.cost_weight = coordinator->options.cost_weight,
		.copy_cost = COPY_COST_SKEW,
		.max_copies_per_rank = skh_copy_limit_per_rank(&view->engine_spec, is_relief),
		.greedy_only = is_relief || skh_groupview_map_size(view) > MAX_SEARCH_SLOTS,
		.slowdowns = coordinator->slowdowns,
	};

	/* The minimum gain depends on the pass duration; only a relief change does not wait for it. */
	if (!is_relief && view->pass_duration_us == 0)
		return;
	if (skew - 1.0 < (short_passes ? MIN_SKEW_GAIN_SHORT_PASSES : MIN_SKEW_GAIN))
		return;
	skh_mapplan_compute(&view->engine_spec, view->n_ranks, &plan_options, shares,
			    view->next_map, &coordinator->plan);
}

static bool is_plan_due(skh_coordinator_t *coordinator, int64_t now_us)
{
	return (coordinator->has_fresh_counts || has_slowdown_changed(coordinator)) &&
	       (coordinator->has_demand_shifted || now_us >= coordinator->next_plan_us) &&
	       skh_demand_has_enough_counts(coordinator->demand, now_us);
}

static void decide_change(skh_coordinator_t *coordinator, int64_t now_us)
{
	skh_groupview_t *view = &coordinator->view;
	bool short_passes = has_short_passes(view);
	bool needs_repair =
		coordinator->needs_repair || skh_groupview_is_held_too_long(view, now_us);
	bool should_plan = !needs_repair && is_plan_due(coordinator, now_us);
	double skew_gain;

	if (!should_plan && !needs_repair)
		return;
	if (!skh_mapplan_is_valid(&view->engine_spec, view->n_ranks, view->map)) {
		skh_log(SKH_LOG_WARNING, PART,
			"Reported maps leave out an expert; waiting for new reports of all ranks.",
			"ranks=%u version=%" PRId64, view->n_ranks,
			view->ranks[view->own_rank].report.map_version);
		skh_groupview_forget_maps(view);
		return;
	}
	memcpy(view->next_map, view->map, skh_groupview_map_size(view) * sizeof(uint32_t));
	coordinator->plan = (skh_mapplan_result_t){ 0 };
	if (should_plan) {
		coordinator->has_fresh_counts = false;
		coordinator->has_demand_shifted = false;
		coordinator->next_plan_us = now_us + MIN_PLAN_INTERVAL_US;
		plan_next_map(coordinator, short_passes);
	}
	if (!skh_mapplan_is_valid(&view->engine_spec, view->n_ranks, view->next_map)) {
		skh_log(SKH_LOG_ERROR, PART, "Planned map is invalid; keeping the current map.",
			"judged=%d", should_plan);
		return;
	}
	skew_gain = coordinator->plan.skew_before - coordinator->plan.skew_after;
	if (needs_repair ||
	    (coordinator->plan.n_copies > 0 &&
	     skew_gain >= (short_passes ? MIN_SKEW_GAIN_SHORT_PASSES : MIN_SKEW_GAIN)))
		begin_change(coordinator, needs_repair, now_us);
}

/* Ends the change in progress because its copies were planned for demand that has since shifted. */
static void withdraw_change(skh_coordinator_t *coordinator, int64_t now_us)
{
	set_changing(coordinator, false);
	record_end(coordinator, "shift", now_us);
	skh_log(SKH_LOG_INFO, PART, "Map change withdrawn because demand shifted.",
		"version=%" PRId64 " took_ms=%" PRId64 " reason=shift", coordinator->change.version,
		(now_us - coordinator->change_started_us) / SKH_US_PER_MS);
}

static void maybe_change_map(skh_coordinator_t *coordinator, int64_t now_us)
{
	/* A hold that its coordinator has left behind is released without further delay. */
	if ((now_us < coordinator->next_decision_us &&
	     !skh_groupview_is_held_too_long(&coordinator->view, now_us)) ||
	    !skh_groupview_is_complete(&coordinator->view, now_us))
		return;
	if (coordinator->is_changing) {
		if (!coordinator->has_demand_shifted || !is_plan_due(coordinator, now_us) ||
		    !skh_mapchange_can_replace(&coordinator->change))
			return;
		withdraw_change(coordinator, now_us);
	}
	decide_change(coordinator, now_us);
}

static int64_t phase_ms(const skh_mapchange_t *change, skh_mapchange_phase_t phase)
{
	return change->spent_us[phase] / SKH_US_PER_MS;
}

static void finish_change(skh_coordinator_t *coordinator, int64_t now_us)
{
	const skh_mapchange_t *change = &coordinator->change;
	bool succeeded = change->phase == SKH_MAPCHANGE_DONE;
	const char *message = !succeeded	  ? "Map change failed."
			      : change->is_repair ? "Group released without a map change."
						  : "Map changed.";

	if (!succeeded && change->phase != SKH_MAPCHANGE_FAILED)
		return;
	set_changing(coordinator, false);
	if (succeeded && !change->is_repair)
		skh_groupview_adopt_next_map(&coordinator->view, change->switch_pass, now_us);
	/* A change that failed after a hold may leave a rank armed or held. */
	coordinator->needs_repair = !succeeded && change->held_since_us != 0;
	skh_log(SKH_LOG_INFO, PART, message,
		"version=%" PRId64 " took_ms=%" PRId64 " prepare_ms=%" PRId64 " copy_ms=%" PRId64
		" hold_ms=%" PRId64 " arm_ms=%" PRId64 " go_ms=%" PRId64 " settle_ms=%" PRId64
		" reason=%s",
		change->version, (now_us - coordinator->change_started_us) / SKH_US_PER_MS,
		phase_ms(change, SKH_MAPCHANGE_PREPARE), phase_ms(change, SKH_MAPCHANGE_COPY),
		phase_ms(change, SKH_MAPCHANGE_HOLD), phase_ms(change, SKH_MAPCHANGE_ARM),
		phase_ms(change, SKH_MAPCHANGE_RELEASE), phase_ms(change, SKH_MAPCHANGE_SETTLE),
		succeeded ? "-" : change->cause);
	record_end(coordinator, succeeded ? NULL : change->cause, now_us);
	if (!succeeded || !change->is_repair)
		skh_metrics_add(succeeded ? SKH_COUNT_MAP_CHANGES : SKH_COUNT_MAP_FAILURES, 1);
}

static const char *phase_name(skh_mapchange_phase_t phase)
{
	static const char *const names[] = {
		[SKH_MAPCHANGE_PREPARE] = "prepare", [SKH_MAPCHANGE_RELEASE_STALE_HOLD] = "release",
		[SKH_MAPCHANGE_COPY] = "copy",	     [SKH_MAPCHANGE_HOLD] = "hold",
		[SKH_MAPCHANGE_ARM] = "arm",	     [SKH_MAPCHANGE_DISARM] = "disarm",
		[SKH_MAPCHANGE_UNDO_HOLD] = "undo",  [SKH_MAPCHANGE_RELEASE] = "go",
		[SKH_MAPCHANGE_SETTLE] = "settle",   [SKH_MAPCHANGE_DONE] = "done",
		[SKH_MAPCHANGE_FAILED] = "failed",
	};

	return names[phase];
}

/* A change in progress is brought to an end, as nobody else knows yet what it has armed or held. */
static void update_lease(skh_coordinator_t *coordinator, int64_t fence, int64_t now_us)
{
	if (coordinator->is_changing)
		skh_mapchange_set_lease(&coordinator->change,
					fence != 0 && fence == coordinator->change_fence, now_us);
	if (fence == coordinator->fence)
		return;
	if (coordinator->is_changing)
		skh_log(SKH_LOG_INFO, PART, "Lease changed during a map change.",
			"version=%" PRId64 " phase=%s began_under=%" PRId64 " fence=%" PRId64,
			coordinator->change.version, phase_name(coordinator->change.phase),
			coordinator->change_fence, fence);
	coordinator->fence = fence;
	coordinator->was_fenced = false;
	coordinator->needs_repair = false;
	coordinator->next_decision_us = now_us + TAKEOVER_DELAY_US;
}

bool skh_coordinator_tick(skh_coordinator_t *coordinator, int64_t fence, int64_t now_us)
{
	update_lease(coordinator, fence, now_us);
	if (fence == 0 && !coordinator->is_changing)
		return true;
	skh_groupview_poll_silent_ranks(&coordinator->view, now_us);
	if (coordinator->is_changing) {
		skh_mapchange_tick(&coordinator->change, now_us);
		send_orders(coordinator, now_us);
		finish_change(coordinator, now_us);
	}
	if (fence == 0)
		return true;
	maybe_change_map(coordinator, now_us);
	return !coordinator->was_fenced;
}
