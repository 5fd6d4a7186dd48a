#include "mapchange.h"

#include "clock.h"

#include <glib.h>

/* Passes between the one seen last and the one at which the map changes. */
#define LEAD_PASSES 1
/* A hold whose pass is nearer than this is not tried again: its pass may have begun. */
#define LEAST_LEAD 0
/* After an order without an answer; it is sent again, which is harmless. */
#define AGAIN_US (20 * SKH_US_PER_MS)
/* After a refusal: until a newer report tells why. */
#define REFUSED_US (250 * SKH_US_PER_MS)
/* A phase in which no rank is armed ends after this. */
#define PHASE_US (9 * SKH_US_PER_S)
/* The group may stand still meanwhile. */
#define ARM_US (2500 * SKH_US_PER_MS)
/*
 * The deputy's answer is older than this when its rank is armed: twice the way between
 * failure domains and a turn of a slow process. Frozen meanwhile, it may be armed or not.
 */
#define CONTACT_US (30 * SKH_US_PER_MS)
/* The group stands still for the deputy; a pass takes 50 to 150 ms. */
#define DEPUTY_US (60 * SKH_US_PER_MS)
/* Without a hold the map can't have changed: begin anew. */
#define SETTLE_US (4 * SKH_US_PER_S)

void skh_mapchange_init(skh_mapchange_t *change, const skh_mapchange_options_t *options,
			int64_t now_us)
{
	*change = (skh_mapchange_t){
		.phase = SKH_MAPCHANGE_PREPARE,
		.n_ranks = options->n_ranks,
		.own_rank = options->own_rank,
		.proxy_rank = options->proxy_rank,
		.epoch = options->epoch,
		.version = options->version,
		.fence = options->fence,
		.phase_since_us = now_us,
	};
}

static void enter(skh_mapchange_t *change, skh_mapchange_phase_t phase, int64_t now_us)
{
	change->spent_us[change->phase] += now_us - change->phase_since_us;
	change->phase = phase;
	change->phase_since_us = now_us;
	for (uint32_t i = 0; i < change->n_ranks; i++)
		change->ranks[i].not_before_us = 0;
}

static void fail(skh_mapchange_t *change, const char *why, int64_t now_us)
{
	change->cause = why;
	enter(change, SKH_MAPCHANGE_FAILED, now_us);
}

static bool is_over(const skh_mapchange_t *change)
{
	return change->phase == SKH_MAPCHANGE_DONE || change->phase == SKH_MAPCHANGE_FAILED;
}

typedef bool (*rank_fn)(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank);

static bool all_ranks(const skh_mapchange_t *change, rank_fn holds)
{
	for (uint32_t i = 0; i < change->n_ranks; i++) {
		if (!holds(change, &change->ranks[i]))
			return false;
	}
	return true;
}

static bool has_accepted(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->prepared;
}

static bool has_copies(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	return rank->report.prepared_version == change->version;
}

static bool is_armed(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->armed;
}

static bool is_not_armed(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return !rank->may_be_armed;
}

static bool is_not_held(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->report.held_pass == 0;
}

/* All ranks were armed for one pass: where one has switched, all have. */
static bool has_switched(const skh_mapchange_t *change)
{
	return change->ranks[change->own_rank].report.map_version == change->version;
}

static bool has_deputy(const skh_mapchange_t *change)
{
	return change->proxy_rank != change->own_rank;
}

static bool others_are_armed(const skh_mapchange_t *change)
{
	for (uint32_t i = 0; i < change->n_ranks; i++) {
		if (i != change->proxy_rank && !change->ranks[i].armed)
			return false;
	}
	return true;
}

/* Frozen in between, the deputy's rank could be armed or not, and nobody could tell. */
static bool may_arm_deputy(const skh_mapchange_t *change, int64_t now_us)
{
	return !has_deputy(change) ||
	       (others_are_armed(change) && now_us - change->proxy_probe_us <= CONTACT_US);
}

bool skh_mapchange_is_proxy_probe_due(const skh_mapchange_t *change)
{
	return change->phase == SKH_MAPCHANGE_ARM && has_deputy(change) &&
	       !change->ranks[change->proxy_rank].may_be_armed && others_are_armed(change);
}

void skh_mapchange_record_proxy_probe(skh_mapchange_t *change, int64_t asked_us)
{
	change->proxy_probe_us = MAX(change->proxy_probe_us, asked_us);
}

bool skh_mapchange_can_withdraw(const skh_mapchange_t *change)
{
	return (change->phase == SKH_MAPCHANGE_PREPARE || change->phase == SKH_MAPCHANGE_COPY) &&
	       change->held_since_us == 0;
}

static void begin_hold(skh_mapchange_t *change, int64_t now_us)
{
	change->switch_pass = change->ranks[change->own_rank].report.pass + LEAD_PASSES;
	enter(change, SKH_MAPCHANGE_HOLD, now_us);
}

/* Goes on to the next phase as far as what is known allows. */
static void advance(skh_mapchange_t *change, int64_t now_us)
{
	if (change->phase == SKH_MAPCHANGE_PREPARE && all_ranks(change, has_accepted))
		enter(change, SKH_MAPCHANGE_RELEASE_STALE_HOLD, now_us);
	if (change->phase == SKH_MAPCHANGE_RELEASE_STALE_HOLD && all_ranks(change, is_not_held))
		enter(change, SKH_MAPCHANGE_COPY, now_us);
	if (change->phase == SKH_MAPCHANGE_COPY && all_ranks(change, has_copies))
		begin_hold(change, now_us);
	if (change->phase == SKH_MAPCHANGE_ARM && all_ranks(change, is_armed))
		enter(change, SKH_MAPCHANGE_GO, now_us);
	if (change->phase == SKH_MAPCHANGE_DISARM && all_ranks(change, is_not_armed))
		enter(change, SKH_MAPCHANGE_UNDO_HOLD, now_us);
	if (change->phase == SKH_MAPCHANGE_SETTLE && has_switched(change))
		enter(change, SKH_MAPCHANGE_DONE, now_us);
}

/* What this process's own rank reports of the hold is fresh. */
static void note_own_report(skh_mapchange_t *change, const skh_engine_report_t *report,
			    int64_t now_us)
{
	if (change->phase == SKH_MAPCHANGE_HOLD && report->held_pass != 0) {
		change->switch_pass = report->held_pass;
		change->held_since_us = now_us;
		enter(change, SKH_MAPCHANGE_ARM, now_us);
	} else if (change->phase == SKH_MAPCHANGE_GO && report->held_pass == 0 &&
		   now_us - change->phase_since_us > REFUSED_US) {
		enter(change, SKH_MAPCHANGE_SETTLE, now_us);
	}
}

void skh_mapchange_record_report(skh_mapchange_t *change, uint32_t rank,
				 const skh_engine_report_t *report, int64_t now_us)
{
	skh_mapchange_rank_t *state = &change->ranks[rank];

	if (is_over(change) || rank >= change->n_ranks)
		return;
	if (report->epoch != change->epoch) {
		fail(change, "the group has formed anew", now_us);
		return;
	}
	state->report = *report;
	state->reported = true;
	state->reported_us = now_us;
	if (report->armed_version == change->version)
		state->armed = true;
	if (report->prepared_version == change->version)
		state->prepared = true;
	if (rank == change->own_rank)
		note_own_report(change, report, now_us);
	advance(change, now_us);
}

/* The rank that holds the group, or the number of ranks when none is known to. */
static uint32_t holder_of(const skh_mapchange_t *change)
{
	for (uint32_t i = 0; i < change->n_ranks; i++) {
		if (change->ranks[i].report.held_pass != 0)
			return i;
	}
	return change->n_ranks;
}

static bool has_answered(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->answered;
}

static bool has_reported(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->reported;
}

/* What an earlier coordinator left armed is disarmed, the holder's rank before all others. */
static bool next_prepare(const skh_mapchange_t *change, uint32_t rank, skh_engine_order_t *order)
{
	const skh_mapchange_rank_t *state = &change->ranks[rank];
	uint32_t holder = holder_of(change);

	if (state->prepared || !all_ranks(change, has_reported))
		return false;
	order->op = SKH_ENGINE_PREPARE;
	if (state->report.armed_version == 0 || !state->answered)
		return true;
	if (!all_ranks(change, has_answered) ||
	    (holder < change->n_ranks && holder != rank && !change->ranks[holder].prepared))
		return false;
	order->op = SKH_ENGINE_DISARM;
	order->map_version = state->report.armed_version;
	return true;
}

static bool choose_order(const skh_mapchange_t *change, uint32_t rank, int64_t now_us,
			 skh_engine_order_t *order)
{
	const skh_mapchange_rank_t *state = &change->ranks[rank];

	switch (change->phase) {
	case SKH_MAPCHANGE_PREPARE:
		return next_prepare(change, rank, order);
	case SKH_MAPCHANGE_RELEASE_STALE_HOLD:
		order->op = SKH_ENGINE_GO;
		order->pass = state->report.held_pass;
		return state->report.held_pass != 0;
	case SKH_MAPCHANGE_HOLD:
		order->op = SKH_ENGINE_HOLD;
		return rank == change->own_rank;
	case SKH_MAPCHANGE_ARM:
		order->op = SKH_ENGINE_ARM;
		return !state->armed &&
		       (rank != change->proxy_rank || may_arm_deputy(change, now_us));
	case SKH_MAPCHANGE_DISARM:
		order->op = SKH_ENGINE_DISARM;
		order->fence++;
		return state->may_be_armed;
	case SKH_MAPCHANGE_UNDO_HOLD:
		order->op = SKH_ENGINE_GO;
		order->fence++;
		return rank == change->own_rank;
	case SKH_MAPCHANGE_GO:
		order->op = SKH_ENGINE_GO;
		return rank == change->own_rank;
	case SKH_MAPCHANGE_SETTLE:
		/* A hold that was given up and carried out late: all ranks are armed by now. */
		order->op = SKH_ENGINE_GO;
		order->pass = state->report.held_pass;
		return rank == change->own_rank && state->report.held_pass != 0;
	default:
		return false;
	}
}

bool skh_mapchange_next_order(skh_mapchange_t *change, uint32_t rank, int64_t now_us,
			      skh_engine_order_t *order)
{
	skh_mapchange_rank_t *state = &change->ranks[rank];

	*order = (skh_engine_order_t){
		.map_version = change->version,
		.pass = change->switch_pass,
		.epoch = change->epoch,
		.fence = change->fence,
	};
	if (state->order_pending || now_us < state->not_before_us ||
	    !choose_order(change, rank, now_us, order))
		return false;
	state->order_pending = true;
	state->may_be_armed = state->may_be_armed || order->op == SKH_ENGINE_ARM;
	state->order_op = order->op;
	state->order_sent_us = now_us;
	return true;
}

static void on_accepted(skh_mapchange_t *change, skh_mapchange_rank_t *state, skh_engine_op_t op,
			int64_t now_us)
{
	switch (op) {
	case SKH_ENGINE_PREPARE:
		state->prepared = true;
		break;
	case SKH_ENGINE_DISARM:
		state->report.armed_version = 0;
		if (change->phase == SKH_MAPCHANGE_DISARM) {
			state->armed = false;
			state->may_be_armed = false;
		}
		break;
	case SKH_ENGINE_HOLD:
		if (change->phase == SKH_MAPCHANGE_HOLD) {
			change->held_since_us = now_us;
			enter(change, SKH_MAPCHANGE_ARM, now_us);
		}
		break;
	case SKH_ENGINE_ARM:
		state->armed = true;
		break;
	case SKH_ENGINE_GO:
		state->report.held_pass = 0;
		if (change->phase == SKH_MAPCHANGE_GO)
			enter(change, SKH_MAPCHANGE_SETTLE, now_us);
		if (change->phase == SKH_MAPCHANGE_UNDO_HOLD) {
			change->held_since_us = 0;
			fail(change, "the deputy fell silent", now_us);
		}
		break;
	}
}

static void on_conflict(skh_mapchange_t *change, skh_mapchange_rank_t *state, int64_t now_us)
{
	state->not_before_us = now_us + REFUSED_US;
	if (change->phase == SKH_MAPCHANGE_HOLD) {
		/* Its pass has begun, or the rank holds already: the report tells. */
		change->switch_pass = MAX(change->switch_pass, state->report.pass) + LEAD_PASSES;
		state->not_before_us = now_us;
	}
}

void skh_mapchange_record_result(skh_mapchange_t *change, uint32_t rank,
				 skh_engine_order_result_t answer, int64_t now_us)
{
	skh_mapchange_rank_t *state = &change->ranks[rank];
	skh_engine_op_t op = state->order_op;

	state->order_pending = false;
	if (is_over(change))
		return;
	state->answered = state->answered || answer != SKH_ENGINE_ORDER_NO_ANSWER;
	switch (answer) {
	case SKH_ENGINE_ORDER_ACCEPTED:
		on_accepted(change, state, op, now_us);
		break;
	case SKH_ENGINE_ORDER_CONFLICT:
		on_conflict(change, state, now_us);
		break;
	case SKH_ENGINE_ORDER_FENCED:
		fail(change, "a later coordinator exists", now_us);
		return;
	case SKH_ENGINE_ORDER_NO_ANSWER:
		state->not_before_us = now_us + AGAIN_US;
		break;
	}
	advance(change, now_us);
}

/* Undoes the change while it is certain that the deputy's rank was never armed. */
static void watch_deputy(skh_mapchange_t *change, int64_t now_us)
{
	if (!skh_mapchange_is_proxy_probe_due(change)) {
		change->others_armed_since_us = 0;
		return;
	}
	if (change->others_armed_since_us == 0)
		change->others_armed_since_us = now_us;
	if (now_us - change->others_armed_since_us > DEPUTY_US)
		enter(change, SKH_MAPCHANGE_DISARM, now_us);
}

void skh_mapchange_tick(skh_mapchange_t *change, int64_t now_us)
{
	int64_t spent_us = now_us - change->phase_since_us;
	const skh_engine_report_t *own = &change->ranks[change->own_rank].report;

	if (change->phase == SKH_MAPCHANGE_HOLD && own->pass + LEAST_LEAD >= change->switch_pass &&
	    !change->ranks[change->own_rank].order_pending)
		change->switch_pass = own->pass + LEAD_PASSES;
	if ((change->phase == SKH_MAPCHANGE_PREPARE || change->phase == SKH_MAPCHANGE_COPY ||
	     change->phase == SKH_MAPCHANGE_HOLD) &&
	    spent_us > PHASE_US)
		fail(change, "a rank did not follow in time", now_us);
	/* The next change disarms and releases. */
	if (change->phase == SKH_MAPCHANGE_ARM && spent_us > ARM_US)
		fail(change, "a rank was not armed in time", now_us);
	if ((change->phase == SKH_MAPCHANGE_DISARM || change->phase == SKH_MAPCHANGE_UNDO_HOLD) &&
	    spent_us > ARM_US)
		fail(change, "a rank was not disarmed in time", now_us);
	if (change->phase == SKH_MAPCHANGE_ARM)
		watch_deputy(change, now_us);
	/* An idle group makes no passes: it changes with the first that comes. */
	if (change->phase == SKH_MAPCHANGE_SETTLE && own->pass < change->switch_pass)
		change->phase_since_us = now_us;
	else if (change->phase == SKH_MAPCHANGE_SETTLE && spent_us > SETTLE_US)
		fail(change, "the map did not change", now_us);
}
