#include "coordinator.h"

#include "clock.h"
#include "count_codec.h"
#include "demand.h"
#include "fence.h"
#include "groupview.h"
#include "log.h"
#include "mapchange.h"
#include "mapplan.h"
#include "metrics.h"
#include "rankrelay.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#define PART		 "group"
#define ORDER_TIMEOUT_US (100 * SKH_US_PER_MS)
/* Longer: the process hands an order to its engine again and again for 180 ms. */
#define RELAY_TIMEOUT_US (220 * SKH_US_PER_MS)
/* Shorter: the group may stand still for it. Three ways of a millisecond, and slow processes. */
#define HOLD_TIMEOUT_US (60 * SKH_US_PER_MS)
/*
 * A change is not begun for less skew than this while passes are long, and for
 * much more while they are short: then copies cost more than they bring.
 */
#define LEAST_GAIN	0.15
#define LEAST_GAIN_IDLE 0.9
/* Skew of a set that a plan leaves alone, in the same two cases ... */
#define SKEW_TARGET	 1.08
#define SKEW_TARGET_IDLE 1.6
/* ... and that a first change after a shift does: each load of more takes longer to tell. */
#define RELIEF_TARGET 1.45
/* Passes are short below this part of a pass with every slot in use. */
#define SHORT_PASS_PART 0.75
/* Copies make passes longer: so much of a set's skew is one of them worth. */
#define LOAD_COST 0.006
/*
 * Above this skew a first change brings what can be copied within about half a
 * pass, an expert a rank at least: waiting for more costs more than a second change.
 */
#define RELIEF_SKEW  1.8
#define RELIEF_MS    45.0
#define RELIEF_LEAST 1
/* Later changes may take longer, as passes are shorter by then. */
#define COPY_MS	   100.0
#define COPY_LEAST 4
/* A rank that takes less than this many times as long as usual is not slow. */
#define SLOW_PACE 1.25
/* A pace that changes by this part is worth another plan. */
#define PACE_NEWS 0.2
#define MOST_NEW  64.0
/* Places in a map up to which the best one is searched for in a small share of a core. */
#define SEARCH_PLACES 600
/* A plan takes milliseconds of a small share of a core, for a gain that is seldom there. */
#define PLAN_PAUSE_US (60 * SKH_US_PER_MS)
/* A new holder hears all ranks before it decides. */
#define TAKEOVER_US (400 * SKH_US_PER_MS)

/* How orders reach one rank. */
typedef struct way {
	bool direct;	  /* its process did not answer the last order */
	bool wants_whole; /* its process does not know the map in use */
} way_t;

/* A deputy is a rank whose process was heard of within this. */
#define DEPUTY_HEARD_US (300 * SKH_US_PER_MS)

struct skh_coordinator {
	skh_coordinator_options_t options;
	skh_groupview_t view;
	skh_demand_t *demand;
	double *counts;			       /* of one report, [sets][experts] */
	double paces[SKH_MAPCHANGE_MAX_RANKS]; /* that the last plan was made for */
	way_t ways[SKH_MAPCHANGE_MAX_RANKS];
	bool holds_itself; /* the deputy did not answer the last order to hold */
	uint32_t deputy;   /* of the last change */
	skh_mapchange_t change;
	skh_mapplan_result_t plan;
	uint32_t change_number; /* tells answers to its orders from those of changes before */
	int64_t decide_us;
	int64_t plan_us; /* not before, unless demand has shifted */
	int64_t change_since_us;
	skh_fence_t fences;
	int64_t fence;	   /* of the lease; 0 while it is not held */
	bool fresh_counts; /* the shares have changed since the last decision */
	bool shifted;	   /* demand has shifted since the last plan */
	bool changing;
	bool outdated;
	bool repair; /* the last change failed: its leavings must go */
};

static void send_orders(skh_coordinator_t *coordinator, int64_t now_us);

static void on_state(void *context, uint32_t rank, int64_t asked_us, int64_t now_us)
{
	skh_coordinator_t *coordinator = context;

	if (!coordinator->changing)
		return;
	if (asked_us > 0 && rank == coordinator->change.proxy_rank)
		skh_mapchange_record_proxy_probe(&coordinator->change, asked_us);
	skh_mapchange_record_report(&coordinator->change, rank,
				    &coordinator->view.ranks[rank].report, now_us);
	send_orders(coordinator, now_us);
}

skh_coordinator_t *skh_coordinator_new(const skh_coordinator_options_t *options,
				       const skh_engine_spec_t *shape)
{
	skh_coordinator_t *coordinator = g_new0(skh_coordinator_t, 1);
	const skh_groupview_options_t view_options = {
		.loop = options->loop,
		.dialect = options->dialect,
		.pool_options = options->pool_options,
		.on_state = on_state,
		.context = coordinator,
	};

	coordinator->options = *options;
	for (uint32_t rank = 0; rank < SKH_MAPCHANGE_MAX_RANKS; rank++)
		coordinator->paces[rank] = 1.0;
	coordinator->demand = skh_demand_new(shape);
	coordinator->counts = g_new0(double, (size_t)shape->expert_sets * shape->experts_per_set);
	skh_groupview_init(&coordinator->view, &view_options, shape);
	return coordinator;
}

void skh_coordinator_free(skh_coordinator_t *coordinator)
{
	skh_groupview_clear(&coordinator->view);
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

static void consider(skh_coordinator_t *coordinator, int64_t now_us);

void skh_coordinator_handle_sample(skh_coordinator_t *coordinator,
				   const skh_demand_sample_t *sample, int64_t now_us)
{
	skh_demand_update_t news = skh_demand_add_sample(coordinator->demand, sample, now_us);

	if (news == SKH_DEMAND_SHIFTED || news == SKH_DEMAND_SHIFTED_MID_SAMPLE) {
		skh_log(SKH_LOG_INFO, PART, "Demand shifts.",
			"after_pass=%" PRId64 " up_to_pass=%" PRId64 " whole=%d", sample->from_pass,
			sample->to_pass, news == SKH_DEMAND_SHIFTED);
		coordinator->shifted = true;
	}
	coordinator->fresh_counts = coordinator->fresh_counts || news != SKH_DEMAND_IGNORED;
	if (coordinator->fence != 0)
		consider(coordinator, now_us);
}

static void take_counts(skh_coordinator_t *coordinator, const Skh__RankReport *message,
			int64_t now_us)
{
	const skh_engine_spec_t *shape = &coordinator->view.engine_spec;
	size_t n = (size_t)shape->expert_sets * shape->experts_per_set;
	const skh_demand_sample_t sample = {
		.counts = coordinator->counts,
		.epoch = message->epoch,
		.from_pass = message->from_pass,
		.to_pass = message->to_pass,
	};

	if (message->n_counts != n || message->counts.len != skh_count_codec_encoded_size(n))
		return;
	memset(coordinator->counts, 0, n * sizeof(double));
	skh_count_codec_decode_add(message->counts.data, n, message->greatest_count,
				   coordinator->counts);
	skh_coordinator_handle_sample(coordinator, &sample, now_us);
}

void skh_coordinator_handle_report(skh_coordinator_t *coordinator, const Skh__RankReport *message,
				   bool own, int64_t now_us)
{
	if (skh_groupview_handle_report(&coordinator->view, message, own, now_us))
		take_counts(coordinator, message, now_us);
}

bool skh_coordinator_is_changing_map(const skh_coordinator_t *coordinator)
{
	return coordinator->changing;
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

static const char *op_name(skh_engine_op_t op)
{
	static const char *const names[] = {
		[SKH_ENGINE_PREPARE] = "prepare", [SKH_ENGINE_ARM] = "arm",
		[SKH_ENGINE_DISARM] = "disarm",	  [SKH_ENGINE_HOLD] = "hold",
		[SKH_ENGINE_GO] = "go",
	};

	return names[op];
}

static skh_engine_order_result_t answer_of(int32_t status)
{
	switch (status) {
	case 200:
	case 202:
		return SKH_ENGINE_ORDER_ACCEPTED;
	case 412:
		return SKH_ENGINE_ORDER_FENCED;
	case 0:
	case SKH_RANKRELAY_STATUS_NO_BASE:
	case 502:
	case 503:
	case 504:
		return SKH_ENGINE_ORDER_NO_ANSWER;
	default:
		return SKH_ENGINE_ORDER_CONFLICT;
	}
}

static bool is_by_deputy(const skh_coordinator_t *coordinator, skh_engine_op_t op)
{
	return op == SKH_ENGINE_HOLD &&
	       coordinator->change.proxy_rank != coordinator->change.own_rank &&
	       !coordinator->holds_itself;
}

static void note_way(skh_coordinator_t *coordinator, uint32_t rank, int32_t status)
{
	way_t *way = &coordinator->ways[rank];
	bool no_answer = answer_of(status) == SKH_ENGINE_ORDER_NO_ANSWER;

	if (is_by_deputy(coordinator, coordinator->change.ranks[rank].order_op)) {
		coordinator->holds_itself = no_answer;
		return;
	}
	/* A process that is gone or frozen must not keep its engine from the order. */
	way->wants_whole = status == SKH_RANKRELAY_STATUS_NO_BASE;
	way->direct = no_answer && !way->wants_whole && !way->direct;
}

/* Orders outlive their change: an answer must not be taken for one of the next. */
static uint32_t tag_of(const skh_coordinator_t *coordinator, uint32_t rank)
{
	return coordinator->change_number * SKH_MAPCHANGE_MAX_RANKS + rank;
}

static void on_order_answer(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_coordinator_t *coordinator = context;
	int64_t now_us = skh_clock_boot_us();
	skh_engine_order_result_t answer = answer_of(status);
	uint32_t rank = tag % SKH_MAPCHANGE_MAX_RANKS;

	(void)body;
	if (tag != tag_of(coordinator, rank))
		return;
	note_way(coordinator, rank, status);
	if (answer != SKH_ENGINE_ORDER_ACCEPTED)
		skh_log(SKH_LOG_INFO, PART, "Order not done.",
			"rank=%u op=%s status=%d version=%" PRId64 " direct=%d", rank,
			op_name(coordinator->change.ranks[rank].order_op), status,
			coordinator->change.version, coordinator->ways[rank].direct);
	if (!coordinator->changing)
		return;
	skh_mapchange_record_result(&coordinator->change, rank, answer, now_us);
	coordinator->outdated = coordinator->outdated || answer == SKH_ENGINE_ORDER_FENCED;
	send_orders(coordinator, now_us);
}

static void send_direct(skh_coordinator_t *coordinator, uint32_t rank,
			const skh_engine_order_t *order)
{
	char *body = coordinator->options.dialect->write_order(order);

	skh_engine_client_post(coordinator->view.ranks[rank].engine,
			       coordinator->options.dialect->order_path,
			       skh_chunk_from_string(body), ORDER_TIMEOUT_US,
			       tag_of(coordinator, rank), on_order_answer, coordinator);
	free(body);
}

/*
 * The process of @giver hands the order on. A rank's own gets a map in a small form
 * and has the engine beside it; the deputy reaches the coordinator's engine.
 */
static void send_relayed(skh_coordinator_t *coordinator, uint32_t rank, uint32_t giver,
			 const skh_engine_order_t *order)
{
	skh_buffer_t body = SKH_BUFFER_INIT;
	const skh_groupview_t *view = &coordinator->view;
	const skh_versioned_map_t base = { view->ranks[rank].report.map_version,
					   skh_groupview_map_size(view), view->map };

	skh_rankrelay_pack(
		order, coordinator->ways[rank].wants_whole ? NULL : &base,
		giver == rank ? NULL : skh_engine_client_address(view->ranks[rank].engine), &body);
	skh_engine_client_post(view->ranks[giver].relay, SKH_RANKRELAY_PATH,
			       skh_buffer_chunk(&body),
			       giver == rank ? RELAY_TIMEOUT_US : HOLD_TIMEOUT_US,
			       tag_of(coordinator, rank), on_order_answer, coordinator);
	skh_buffer_free(&body);
}

static void send_order(skh_coordinator_t *coordinator, uint32_t rank, skh_engine_order_t *order)
{
	const skh_groupview_t *view = &coordinator->view;

	order->map = view->next_map;
	order->n_sets = view->engine_spec.expert_sets;
	order->n_ranks = view->n_ranks;
	order->n_slots = view->engine_spec.expert_slots;
	skh_log(SKH_LOG_DEBUG, PART, "Order sent.",
		"rank=%u op=%s version=%" PRId64 " pass=%" PRId64, rank, op_name(order->op),
		order->map_version, order->pass);
	skh_metrics_add(SKH_COUNT_ENGINE_ORDERS, 1);
	if (is_by_deputy(coordinator, order->op))
		send_relayed(coordinator, rank, coordinator->change.proxy_rank, order);
	else if (view->ranks[rank].relay && !coordinator->ways[rank].direct)
		send_relayed(coordinator, rank, rank, order);
	else
		send_direct(coordinator, rank, order);
}

static void send_orders(skh_coordinator_t *coordinator, int64_t now_us)
{
	skh_engine_order_t order;

	for (uint32_t rank = 0; coordinator->changing && rank < coordinator->view.n_ranks; rank++) {
		if (coordinator->view.ranks[rank].engine &&
		    skh_mapchange_next_order(&coordinator->change, rank, now_us, &order))
			send_order(coordinator, rank, &order);
	}
	if (coordinator->changing && skh_mapchange_is_proxy_probe_due(&coordinator->change))
		skh_groupview_poll_rank(&coordinator->view, coordinator->change.proxy_rank, now_us);
}

/* --- Decisions --- */

/* Another one each time; the own rank when no other is heard of. */
static uint32_t choose_deputy(const skh_coordinator_t *coordinator, int64_t now_us)
{
	const skh_groupview_t *view = &coordinator->view;

	for (uint32_t i = 1; i <= view->n_ranks; i++) {
		uint32_t rank = (coordinator->deputy + i) % view->n_ranks;

		if (rank != view->own_rank && view->ranks[rank].relay &&
		    now_us - view->ranks[rank].last_received_us < DEPUTY_HEARD_US)
			return rank;
	}
	return view->own_rank;
}

static void begin_change(skh_coordinator_t *coordinator, int64_t now_us)
{
	skh_groupview_t *view = &coordinator->view;
	int64_t epoch = view->ranks[view->own_rank].report.epoch;
	int64_t fence = skh_fence_reserve(&coordinator->fences, coordinator->fence,
					  SKH_MAPCHANGE_MAX_FENCES);
	const skh_mapchange_options_t options = {
		.n_ranks = view->n_ranks,
		.own_rank = view->own_rank,
		.proxy_rank = choose_deputy(coordinator, now_us),
		.epoch = epoch,
		/* Fences only grow, from holder to holder, and so do versions named after them. */
		.version = fence,
		.fence = fence,
	};

	skh_mapchange_init(&coordinator->change, &options, now_us);
	coordinator->change_number++;
	coordinator->deputy = options.proxy_rank;
	coordinator->holds_itself = false;
	view->next_epoch = epoch;
	view->next_version = fence;
	view->switch_pass = 0;
	coordinator->changing = true;
	coordinator->change_since_us = now_us;
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		if (view->ranks[rank].has_report)
			skh_mapchange_record_report(&coordinator->change, rank,
						    &view->ranks[rank].report, now_us);
	}
	skh_log(SKH_LOG_INFO, PART, "Map change begins.",
		"version=%" PRId64 " epoch=%" PRId64 " skew_before=%.3f skew_after=%.3f new=%u"
		" most_new=%u repair=%d",
		fence, epoch, coordinator->plan.skew_before, coordinator->plan.skew_after,
		coordinator->plan.n_copies, coordinator->plan.max_copies_per_rank,
		coordinator->repair);
	send_orders(coordinator, now_us);
}

/* Experts that a rank can copy in @time_ms; @least at least. */
static uint32_t copies_in(const skh_engine_spec_t *shape, double time_ms, double least)
{
	double bits = shape->expert_mb * 8.0e6;
	double copy_ms = shape->link_mbps > 0.0 ? bits / (shape->link_mbps * 1000.0) : 0.0;
	double most = copy_ms > 0.0 ? (time_ms + copy_ms / 2.0) / copy_ms : MOST_NEW;

	return (uint32_t)CLAMP(most, least, MOST_NEW);
}

static bool has_short_passes(const skh_groupview_t *view)
{
	const skh_engine_spec_t *shape = &view->engine_spec;
	double full_ms = (double)shape->steps_per_pass *
			 (shape->step_ms + (double)shape->slots * shape->step_ms_per_request);
	double pass_ms = (double)view->pass_us / (double)SKH_US_PER_MS;

	return pass_ms > 0.0 && pass_ms < SHORT_PASS_PART * full_ms;
}

/* Time that a rank takes for its part, 1 is usual. */
static double pace_of(const skh_coordinator_t *coordinator, uint32_t rank)
{
	double pace = coordinator->view.ranks[rank].report.slowdown;

	return pace > SLOW_PACE ? pace : 1.0;
}

static bool has_pace_changed(const skh_coordinator_t *coordinator)
{
	for (uint32_t rank = 0; rank < coordinator->view.n_ranks; rank++) {
		double planned = coordinator->paces[rank];

		if (fabs(pace_of(coordinator, rank) - planned) > PACE_NEWS * planned)
			return true;
	}
	return false;
}

char *skh_coordinator_slow_ranks(const skh_coordinator_t *coordinator)
{
	const skh_groupview_t *view = &coordinator->view;
	GString *text = g_string_new(NULL);

	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		double pace = pace_of(coordinator, rank);

		if (pace > 1.0 && view->ranks[rank].engine)
			g_string_append_printf(text, "%s %.1f\n",
					       skh_engine_client_address(view->ranks[rank].engine),
					       pace);
	}
	return g_string_free(text, FALSE);
}

/* Plans the next map from fresh counts, unless the one in use is good enough. */
static void plan(skh_coordinator_t *coordinator, bool idle)
{
	skh_groupview_t *view = &coordinator->view;
	const double *shares = skh_demand_shares(coordinator->demand);
	double skew;
	bool relief;
	skh_mapplan_options_t weights;

	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		coordinator->paces[rank] = pace_of(coordinator, rank);
	skew = skh_mapplan_skew(&view->engine_spec, view->n_ranks, shares, coordinator->paces,
				view->map);
	relief = skew > RELIEF_SKEW;
	weights = (skh_mapplan_options_t){
		.greedy_target_skew = idle     ? SKEW_TARGET_IDLE
				      : relief ? RELIEF_TARGET
					       : SKEW_TARGET,
		.skew_weight = coordinator->options.skew_weight,
		.cost_weight = coordinator->options.cost_weight,
		.copy_cost = LOAD_COST,
		.max_new_per_rank = relief ? copies_in(&view->engine_spec, RELIEF_MS, RELIEF_LEAST)
					   : copies_in(&view->engine_spec, COPY_MS, COPY_LEAST),
		.greedy_only = relief || skh_groupview_map_size(view) > SEARCH_PLACES,
		.slowdowns = coordinator->paces,
	};

	/* Whether more pays depends on how long passes are now. */
	if (!relief && view->pass_us == 0)
		return;
	if (skew - 1.0 < (idle ? LEAST_GAIN_IDLE : LEAST_GAIN))
		return;
	skh_mapplan_make(&view->engine_spec, view->n_ranks, &weights, shares, view->next_map,
			 &coordinator->plan);
}

static bool is_plan_due(skh_coordinator_t *coordinator, int64_t now_us)
{
	return (coordinator->fresh_counts || has_pace_changed(coordinator)) &&
	       (coordinator->shifted || now_us >= coordinator->plan_us) &&
	       skh_demand_has_enough_counts(coordinator->demand, now_us);
}

static void decide(skh_coordinator_t *coordinator, int64_t now_us)
{
	skh_groupview_t *view = &coordinator->view;
	bool idle = has_short_passes(view);
	bool repair = coordinator->repair || skh_groupview_is_held_too_long(view, now_us);
	bool judged = is_plan_due(coordinator, now_us);
	double gain;

	if (!judged && !repair)
		return;
	memcpy(view->next_map, view->map, skh_groupview_map_size(view) * sizeof(uint32_t));
	coordinator->plan = (skh_mapplan_result_t){ 0 };
	if (judged) {
		coordinator->fresh_counts = false;
		coordinator->shifted = false;
		coordinator->plan_us = now_us + PLAN_PAUSE_US;
		plan(coordinator, idle);
	}
	if (!skh_mapplan_is_valid(&view->engine_spec, view->n_ranks, view->next_map)) {
		skh_log(SKH_LOG_ERROR, PART, "Plan is no map.", "judged=%d", judged);
		return;
	}
	gain = coordinator->plan.skew_before - coordinator->plan.skew_after;
	if (repair ||
	    (coordinator->plan.n_copies > 0 && gain >= (idle ? LEAST_GAIN_IDLE : LEAST_GAIN)))
		begin_change(coordinator, now_us);
}

/* What ranks are copying was planned for a demand that is gone. */
static void withdraw_change(skh_coordinator_t *coordinator, int64_t now_us)
{
	coordinator->changing = false;
	skh_log(SKH_LOG_INFO, PART, "Map change withdrawn.",
		"version=%" PRId64 " took_ms=%" PRId64 " reason=shift", coordinator->change.version,
		(now_us - coordinator->change_since_us) / SKH_US_PER_MS);
}

static void consider(skh_coordinator_t *coordinator, int64_t now_us)
{
	if (now_us < coordinator->decide_us ||
	    !skh_groupview_is_complete(&coordinator->view, now_us))
		return;
	if (coordinator->changing) {
		if (!coordinator->shifted || !is_plan_due(coordinator, now_us) ||
		    !skh_mapchange_can_withdraw(&coordinator->change))
			return;
		withdraw_change(coordinator, now_us);
	}
	decide(coordinator, now_us);
}

static int64_t spent_ms(const skh_mapchange_t *change, skh_mapchange_phase_t phase)
{
	return change->spent_us[phase] / SKH_US_PER_MS;
}

static void end_change(skh_coordinator_t *coordinator, int64_t now_us)
{
	const skh_mapchange_t *change = &coordinator->change;
	bool done = change->phase == SKH_MAPCHANGE_DONE;

	if (!done && change->phase != SKH_MAPCHANGE_FAILED)
		return;
	coordinator->changing = false;
	if (done)
		skh_groupview_adopt_next_map(&coordinator->view, change->switch_pass, now_us);
	/* A rank may be left armed or holding. */
	coordinator->repair = !done && change->held_since_us != 0;
	skh_log(SKH_LOG_INFO, PART, done ? "Map changed." : "Map change failed.",
		"version=%" PRId64 " took_ms=%" PRId64 " prepare_ms=%" PRId64 " copy_ms=%" PRId64
		" hold_ms=%" PRId64 " arm_ms=%" PRId64 " go_ms=%" PRId64 " settle_ms=%" PRId64
		" reason=%s",
		change->version, (now_us - coordinator->change_since_us) / SKH_US_PER_MS,
		spent_ms(change, SKH_MAPCHANGE_PREPARE), spent_ms(change, SKH_MAPCHANGE_COPY),
		spent_ms(change, SKH_MAPCHANGE_HOLD), spent_ms(change, SKH_MAPCHANGE_ARM),
		spent_ms(change, SKH_MAPCHANGE_GO), spent_ms(change, SKH_MAPCHANGE_SETTLE),
		done ? "-" : change->cause);
	skh_metrics_add(done ? SKH_COUNT_MAP_CHANGES : SKH_COUNT_MAP_FAILURES, 1);
}

/* Another holder's change must not be taken for one's own. */
static void follow_lease(skh_coordinator_t *coordinator, int64_t fence, int64_t now_us)
{
	if (fence == coordinator->fence)
		return;
	if (coordinator->changing)
		skh_log(SKH_LOG_INFO, PART, "Map change left.", "version=%" PRId64,
			coordinator->change.version);
	coordinator->fence = fence;
	coordinator->changing = false;
	coordinator->outdated = false;
	coordinator->repair = false;
	coordinator->decide_us = now_us + TAKEOVER_US;
}

bool skh_coordinator_tick(skh_coordinator_t *coordinator, int64_t fence, int64_t now_us)
{
	follow_lease(coordinator, fence, now_us);
	if (fence == 0)
		return true;
	skh_groupview_poll_silent_ranks(&coordinator->view, now_us);
	if (coordinator->changing) {
		skh_mapchange_tick(&coordinator->change, now_us);
		send_orders(coordinator, now_us);
		end_change(coordinator, now_us);
	}
	consider(coordinator, now_us);
	return !coordinator->outdated;
}
