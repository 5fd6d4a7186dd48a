#include "mapchange.h"

#include "clock.h"

#include <glib.h>

/*
 * Distance from the last reported pass to the pass in which the map changes. In a running group it
 * is two passes: hold, arm and release take about as long as a loaded pass, so with one they delay
 * the next pass, and a pass of 80 ms that is held for 40 ms exceeds the gap objective of every
 * stream. An idle group, or one with passes longer than a change takes, changes in the next pass.
 */
#define LEAD_PASSES	    1
#define RUNNING_LEAD_PASSES 2
/* The group is running if a pass began so recently. */
#define MAX_PASS_AGE_US (150 * SKH_US_PER_MS)
/* A hold is not retried at a pass this close, because that pass may have begun. */
#define MIN_LEAD_PASSES 0
/* Delay before an order without a response is resent; orders are idempotent. */
#define RETRY_DELAY_US (20 * SKH_US_PER_MS)
/*
 * Delay after a rejected order, until a newer report shows the reason. Also the time in phase GO
 * after which a report without a hold is taken to mean that it was released.
 */
#define CONFLICT_DELAY_US (250 * SKH_US_PER_MS)
/* Timeout of the phases PREPARE, COPY and HOLD, before the first rank is sent an arm order. */
#define PHASE_TIMEOUT_US (9 * SKH_US_PER_S)
/*
 * Deadline of a hold: three orders to a relay that does not respond (220 ms each). With half of all
 * orders without a response, holds last 0.1 to 0.2 s.
 */
#define HOLD_TIMEOUT_US (700 * SKH_US_PER_MS)
/*
 * A rank that still rejects the undo of a change after this time is left to a repair. One that does
 * not respond is waited for: the repair would wait for it, too.
 */
#define UNDO_TIMEOUT_US (2500 * SKH_US_PER_MS)
/*
 * Time for which a change without a lease waits for ranks to confirm that they are armed: two orders
 * to a relay that does not respond (220 ms each). The rest of a second is left for the undo.
 */
#define ARM_WITHOUT_LEASE_US (450 * SKH_US_PER_MS)
/* A change that holds nothing waits this long for the renewal of its lease: one time to live. */
#define LEASE_WAIT_US (1 * SKH_US_PER_S)
/* A report of the own rank that arrives this long after an order was generated after it. */
#define OWN_REPORT_DELAY_US (60 * SKH_US_PER_MS)
/*
 * Maximum age of the probe that the proxy rank responded to, when it is armed: a round trip
 * between failure domains plus one event loop iteration of a slow process. If the proxy rank
 * freezes after the probe, it is unknown whether it is armed.
 */
#define PROBE_MAX_AGE_US (30 * SKH_US_PER_MS)
/* Timeout of the proxy rank, which the held group waits for; a pass takes 50 to 150 ms. */
#define PROXY_TIMEOUT_US (60 * SKH_US_PER_MS)
/*
 * Timeout for the switch after the hold is released. If the hold was lost, the map has not
 * changed, so a new change has to start.
 */
#define SETTLE_TIMEOUT_US (4 * SKH_US_PER_S)

void skh_mapchange_init(skh_mapchange_t *change, const skh_mapchange_options_t *options,
			int64_t now_us)
{
	g_free(change->ranks);
	*change = (skh_mapchange_t){
		.phase = SKH_MAPCHANGE_PREPARE,
		.n_ranks = options->n_ranks,
		.own_rank = options->own_rank,
		.proxy_rank = options->proxy_rank,
		.is_repair = options->is_repair,
		.epoch = options->epoch,
		.version = options->version,
		.fence = options->fence,
		.pass_began_us = options->pass_began_us,
		.phase_since_us = now_us,
		.ranks = g_new0(skh_mapchange_rank_t, options->n_ranks),
	};
}

void skh_mapchange_clear(skh_mapchange_t *change)
{
	g_free(change->ranks);
	*change = (skh_mapchange_t){ 0 };
}

static void enter_phase(skh_mapchange_t *change, skh_mapchange_phase_t phase, int64_t now_us)
{
	change->spent_us[change->phase] += now_us - change->phase_since_us;
	change->phase = phase;
	change->phase_since_us = now_us;
	for (uint32_t i = 0; i < change->n_ranks; i++)
		change->ranks[i].next_order_us = 0;
}

static void fail(skh_mapchange_t *change, const char *cause, int64_t now_us)
{
	change->cause = cause;
	enter_phase(change, SKH_MAPCHANGE_FAILED, now_us);
}

static bool has_ended(const skh_mapchange_t *change)
{
	return change->phase == SKH_MAPCHANGE_DONE || change->phase == SKH_MAPCHANGE_FAILED;
}

typedef bool (*rank_predicate_t)(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank);

static bool all_ranks(const skh_mapchange_t *change, rank_predicate_t predicate)
{
	for (uint32_t i = 0; i < change->n_ranks; i++) {
		if (!predicate(change, &change->ranks[i]))
			return false;
	}
	return true;
}

static bool has_prepared(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->has_prepared;
}

static bool has_copies(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	return rank->has_prepared && rank->report.prepared_version == change->version;
}

static bool is_armed(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->is_armed;
}

/* Unlike !rank->is_armed, also excludes an arm order that may be carried out late. */
static bool cannot_be_armed(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return !rank->may_be_armed;
}

static bool is_not_held(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->report.held_pass == 0;
}

/* All ranks are armed for the same pass, so one that has switched shows that all have. */
static bool has_switched(const skh_mapchange_t *change)
{
	return change->ranks[change->own_rank].report.map_version == change->version;
}

static bool has_proxy(const skh_mapchange_t *change)
{
	return change->proxy_rank != change->own_rank;
}

static bool are_others_armed(const skh_mapchange_t *change)
{
	for (uint32_t i = 0; i < change->n_ranks; i++) {
		if (i != change->proxy_rank && !change->ranks[i].is_armed)
			return false;
	}
	return true;
}

/*
 * The proxy rank must have responded to a recent probe: if it freezes before the arm order
 * arrives, it is unknown whether it is armed.
 */
static bool can_arm_proxy(const skh_mapchange_t *change, int64_t now_us)
{
	return !has_proxy(change) ||
	       (are_others_armed(change) && now_us - change->proxy_probe_us <= PROBE_MAX_AGE_US);
}

bool skh_mapchange_is_proxy_probe_due(const skh_mapchange_t *change)
{
	return change->phase == SKH_MAPCHANGE_ARM && has_proxy(change) &&
	       !change->ranks[change->proxy_rank].may_be_armed && are_others_armed(change);
}

void skh_mapchange_record_proxy_probe(skh_mapchange_t *change, int64_t sent_us)
{
	change->proxy_probe_us = MAX(change->proxy_probe_us, sent_us);
}

bool skh_mapchange_can_replace(const skh_mapchange_t *change)
{
	return (change->phase == SKH_MAPCHANGE_PREPARE || change->phase == SKH_MAPCHANGE_COPY) &&
	       change->held_since_us == 0 && !change->is_repair;
}

static int64_t choose_switch_pass(const skh_mapchange_t *change, int64_t now_us)
{
	bool is_running =
		change->pass_began_us != 0 && now_us - change->pass_began_us < MAX_PASS_AGE_US;

	return change->ranks[change->own_rank].report.pass +
	       (is_running ? RUNNING_LEAD_PASSES : LEAD_PASSES);
}

static void begin_hold(skh_mapchange_t *change, int64_t now_us)
{
	change->switch_pass = MAX(choose_switch_pass(change, now_us), change->released_pass + 1);
	enter_phase(change, SKH_MAPCHANGE_HOLD, now_us);
}

static bool is_guard_pending(const skh_mapchange_t *change)
{
	const skh_mapchange_rank_t *own = &change->ranks[change->own_rank];

	return own->is_order_pending && own->order_op == SKH_ENGINE_HOLD;
}

static void begin_undo(skh_mapchange_t *change, const char *cause, int64_t now_us)
{
	change->undo_cause = cause;
	enter_phase(change, SKH_MAPCHANGE_DISARM, now_us);
}

/* Enters the next phase when the known state of the ranks allows it. */
static void advance(skh_mapchange_t *change, int64_t now_us)
{
	if (change->phase == SKH_MAPCHANGE_PREPARE && all_ranks(change, has_prepared) &&
	    !is_guard_pending(change))
		enter_phase(change, SKH_MAPCHANGE_RELEASE_STALE_HOLD, now_us);
	if (change->phase == SKH_MAPCHANGE_RELEASE_STALE_HOLD && change->guard_pass == 0 &&
	    all_ranks(change, is_not_held))
		enter_phase(change, change->is_repair ? SKH_MAPCHANGE_DONE : SKH_MAPCHANGE_COPY,
			    now_us);
	if (change->phase == SKH_MAPCHANGE_COPY && all_ranks(change, has_copies) &&
	    change->no_lease_since_us == 0)
		begin_hold(change, now_us);
	if (change->phase == SKH_MAPCHANGE_ARM && all_ranks(change, is_armed))
		enter_phase(change, SKH_MAPCHANGE_RELEASE, now_us);
	if (change->phase == SKH_MAPCHANGE_DISARM && all_ranks(change, cannot_be_armed))
		enter_phase(change, SKH_MAPCHANGE_UNDO_HOLD, now_us);
	/* A rank that has switched cannot be disarmed; the pass has begun, so nothing holds it. */
	if ((change->phase == SKH_MAPCHANGE_SETTLE || change->phase == SKH_MAPCHANGE_DISARM) &&
	    has_switched(change))
		enter_phase(change, SKH_MAPCHANGE_DONE, now_us);
}

/* The hold in the own rank's report is current, because the report does not cross the network. */
static void process_own_report(skh_mapchange_t *change, const skh_engine_report_t *report,
			       int64_t now_us)
{
	if (change->phase == SKH_MAPCHANGE_HOLD && report->held_pass > change->released_pass) {
		change->switch_pass = report->held_pass;
		change->held_since_us = now_us;
		enter_phase(change, SKH_MAPCHANGE_ARM, now_us);
	} else if (change->phase == SKH_MAPCHANGE_RELEASE && report->held_pass == 0 &&
		   now_us - change->phase_since_us > CONFLICT_DELAY_US) {
		enter_phase(change, SKH_MAPCHANGE_SETTLE, now_us);
	} else if (change->phase == SKH_MAPCHANGE_UNDO_HOLD && change->undone_us != 0 &&
		   report->held_pass == 0 && now_us - change->undone_us > OWN_REPORT_DELAY_US) {
		change->held_since_us = 0;
		fail(change, change->undo_cause, now_us);
	}
}

void skh_mapchange_record_report(skh_mapchange_t *change, uint32_t rank,
				 const skh_engine_report_t *report, int64_t now_us)
{
	skh_mapchange_rank_t *state;

	if (has_ended(change) || rank >= change->n_ranks)
		return;
	state = &change->ranks[rank];
	if (report->epoch != change->epoch) {
		fail(change, "the group was formed again under another epoch", now_us);
		return;
	}
	if (rank == change->own_rank && state->has_reported && report->pass > state->report.pass)
		change->pass_began_us = now_us;
	state->report = *report;
	state->has_reported = true;
	state->reported_us = now_us;
	/* Only an order of this change leads to its version; without one, the number is wrong. */
	if (report->armed_version == change->version && state->may_be_armed)
		state->is_armed = true;
	if (report->prepared_version == change->version && state->may_be_prepared)
		state->has_prepared = true;
	/* The report shows why the rank rejected the prepare order. */
	if (change->phase == SKH_MAPCHANGE_PREPARE && report->armed_version != 0)
		state->next_order_us = 0;
	if (rank == change->own_rank)
		process_own_report(change, report, now_us);
	advance(change, now_us);
}

static bool is_not_armed_by_report(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->report.armed_version == 0;
}

static bool has_reported(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	(void)change;
	return rank->has_reported;
}

static bool needs_no_disarm(const skh_mapchange_t *change, const skh_mapchange_rank_t *rank)
{
	return rank->has_prepared || !rank->has_responded || is_not_armed_by_report(change, rank);
}

/*
 * The pass of the guard hold is the next one, or the one that the own rank already holds: a hold
 * that is accepted again is bound to the new fence.
 */
static bool choose_guard_order(const skh_mapchange_t *change, skh_mapchange_order_t *order)
{
	const skh_engine_report_t *own = &change->ranks[change->own_rank].report;

	if (change->has_guard || all_ranks(change, needs_no_disarm))
		return false;
	order->op = SKH_ENGINE_HOLD;
	order->pass = own->held_pass != 0 ? own->held_pass : own->pass + LEAD_PASSES;
	return true;
}

/*
 * Sends prepare to all ranks. Those that an earlier coordinator left armed reject it and are sent
 * disarm under the guard hold, the own rank first: if it held the group already, its engine may
 * have rejected the guard hold without recording the fence.
 */
static bool choose_prepare_order(const skh_mapchange_t *change, uint32_t rank,
				 skh_mapchange_order_t *order)
{
	const skh_mapchange_rank_t *state = &change->ranks[rank];
	const skh_mapchange_rank_t *own = &change->ranks[change->own_rank];

	if (!all_ranks(change, has_reported))
		return false;
	if (rank == change->own_rank && choose_guard_order(change, order))
		return true;
	if (state->has_prepared)
		return false;
	order->op = SKH_ENGINE_PREPARE;
	if (needs_no_disarm(change, state))
		return true;
	order->op = SKH_ENGINE_DISARM;
	order->map_version = state->report.armed_version;
	return change->has_guard &&
	       (rank == change->own_rank || is_not_armed_by_report(change, own));
}

static bool choose_order(const skh_mapchange_t *change, uint32_t rank, int64_t now_us,
			 skh_mapchange_order_t *order)
{
	const skh_mapchange_rank_t *state = &change->ranks[rank];

	switch (change->phase) {
	case SKH_MAPCHANGE_PREPARE:
		return choose_prepare_order(change, rank, order);
	case SKH_MAPCHANGE_RELEASE_STALE_HOLD:
		order->op = SKH_ENGINE_RELEASE;
		order->pass = state->report.held_pass;
		if (rank == change->own_rank && change->guard_pass != 0)
			order->pass = change->guard_pass;
		return order->pass != 0;
	case SKH_MAPCHANGE_HOLD:
		/* A guard hold without a response may be carried out after its release. */
		order->op = SKH_ENGINE_HOLD;
		if (state->report.held_pass != 0) {
			order->op = SKH_ENGINE_RELEASE;
			order->pass = state->report.held_pass;
		}
		return rank == change->own_rank;
	case SKH_MAPCHANGE_ARM:
		order->op = SKH_ENGINE_ARM;
		/* Once an arm order was sent, another one adds no uncertainty. */
		return !state->is_armed && (rank != change->proxy_rank || state->may_be_armed ||
					    can_arm_proxy(change, now_us));
	case SKH_MAPCHANGE_DISARM:
		order->op = SKH_ENGINE_DISARM;
		order->fence++;
		return state->may_be_armed;
	case SKH_MAPCHANGE_UNDO_HOLD:
		/* A hold order without a response may have taken effect at an earlier pass. */
		order->op = SKH_ENGINE_RELEASE;
		order->fence++;
		if (state->report.held_pass != 0)
			order->pass = state->report.held_pass;
		return rank == change->own_rank &&
		       (change->undone_us == 0 || state->report.held_pass != 0);
	case SKH_MAPCHANGE_RELEASE:
		order->op = SKH_ENGINE_RELEASE;
		return rank == change->own_rank;
	case SKH_MAPCHANGE_SETTLE:
		/*
		 * A hold order without a response may be carried out late, and an earlier coordinator
		 * that resumes from a freeze may place a hold that it can't release any more. All
		 * ranks are armed, so any hold can be released.
		 */
		order->op = SKH_ENGINE_RELEASE;
		order->pass = state->report.held_pass;
		return state->report.held_pass != 0;
	default:
		return false;
	}
}

bool skh_mapchange_next_order(skh_mapchange_t *change, uint32_t rank, int64_t now_us,
			      skh_mapchange_order_t *order)
{
	skh_mapchange_rank_t *state = &change->ranks[rank];

	*order = (skh_mapchange_order_t){
		.map_version = change->version,
		.pass = change->switch_pass,
		.epoch = change->epoch,
		.fence = change->fence,
	};
	if (state->is_order_pending || now_us < state->next_order_us ||
	    !choose_order(change, rank, now_us, order))
		return false;
	state->is_order_pending = true;
	state->may_be_armed = state->may_be_armed || order->op == SKH_ENGINE_ARM;
	state->may_be_prepared = state->may_be_prepared || order->op == SKH_ENGINE_PREPARE;
	if (change->phase == SKH_MAPCHANGE_PREPARE && order->op == SKH_ENGINE_HOLD) {
		change->guard_pass = order->pass;
		change->held_since_us = change->held_since_us ? change->held_since_us : now_us;
	}
	if (rank == change->own_rank && order->op == SKH_ENGINE_RELEASE &&
	    (change->phase == SKH_MAPCHANGE_RELEASE_STALE_HOLD ||
	     change->phase == SKH_MAPCHANGE_HOLD)) {
		change->released_pass = MAX(change->released_pass, order->pass);
		change->switch_pass = MAX(change->switch_pass, change->released_pass + 1);
	}
	state->order_op = order->op;
	state->order_sent_us = now_us;
	return true;
}

/*
 * The hold counts from its order on: a process that resumes from a freeze finds the response to an
 * order that has held the group ever since, and another coordinator may have taken over.
 */
static void check_hold_deadline(skh_mapchange_t *change, int64_t now_us)
{
	if (change->phase == SKH_MAPCHANGE_ARM && now_us - change->held_since_us > HOLD_TIMEOUT_US)
		begin_undo(change, "a rank was not armed in time", now_us);
}

static void process_accepted(skh_mapchange_t *change, skh_mapchange_rank_t *state,
			     skh_engine_op_t op, int64_t now_us)
{
	switch (op) {
	case SKH_ENGINE_PREPARE:
		state->has_prepared = true;
		break;
	case SKH_ENGINE_DISARM:
		state->report.armed_version = 0;
		if (change->phase == SKH_MAPCHANGE_DISARM) {
			state->is_armed = false;
			state->may_be_armed = false;
		}
		break;
	case SKH_ENGINE_HOLD:
		if (change->phase == SKH_MAPCHANGE_HOLD) {
			change->held_since_us = state->order_sent_us;
			enter_phase(change, SKH_MAPCHANGE_ARM, now_us);
			check_hold_deadline(change, now_us);
		} else if (change->phase == SKH_MAPCHANGE_PREPARE) {
			change->has_guard = true;
		}
		break;
	case SKH_ENGINE_ARM:
		state->is_armed = true;
		break;
	case SKH_ENGINE_RELEASE:
		state->report.held_pass = 0;
		if (change->phase == SKH_MAPCHANGE_RELEASE_STALE_HOLD &&
		    state == &change->ranks[change->own_rank] && change->guard_pass != 0) {
			change->has_guard = false;
			change->guard_pass = 0;
			change->held_since_us = 0;
		}
		if (change->phase == SKH_MAPCHANGE_RELEASE)
			enter_phase(change, SKH_MAPCHANGE_SETTLE, now_us);
		if (change->phase == SKH_MAPCHANGE_UNDO_HOLD)
			change->undone_us = now_us;
		break;
	}
}

static void process_conflict(skh_mapchange_t *change, skh_mapchange_rank_t *state, int64_t now_us)
{
	state->next_order_us = now_us + CONFLICT_DELAY_US;
	if (change->phase == SKH_MAPCHANGE_HOLD && state->order_op == SKH_ENGINE_HOLD) {
		/* The pass has begun, or the rank already holds, which its report will show. */
		change->switch_pass =
			MAX(change->switch_pass + 1, choose_switch_pass(change, now_us));
		state->next_order_us = now_us;
	} else if (change->phase == SKH_MAPCHANGE_PREPARE && state->order_op == SKH_ENGINE_HOLD) {
		/* The pass has begun, or the engine rejects a hold that it already has. */
		if (state->report.held_pass == change->guard_pass)
			change->has_guard = true;
		state->next_order_us = now_us + RETRY_DELAY_US;
	} else if ((change->phase == SKH_MAPCHANGE_DISARM ||
		    change->phase == SKH_MAPCHANGE_UNDO_HOLD) &&
		   change->no_lease_since_us == 0 &&
		   now_us - change->phase_since_us > UNDO_TIMEOUT_US) {
		fail(change, "a rank rejected the undo of the change", now_us);
	}
}

void skh_mapchange_record_result(skh_mapchange_t *change, uint32_t rank,
				 skh_mapchange_order_result_t result, int64_t now_us)
{
	skh_mapchange_rank_t *state = &change->ranks[rank];
	skh_engine_op_t op = state->order_op;

	state->is_order_pending = false;
	if (has_ended(change))
		return;
	state->has_responded = state->has_responded || result != SKH_MAPCHANGE_ORDER_NO_RESPONSE;
	switch (result) {
	case SKH_MAPCHANGE_ORDER_ACCEPTED:
		process_accepted(change, state, op, now_us);
		break;
	case SKH_MAPCHANGE_ORDER_CONFLICT:
		process_conflict(change, state, now_us);
		break;
	case SKH_MAPCHANGE_ORDER_FENCED:
		fail(change, "a rank has seen a higher fence of another coordinator", now_us);
		return;
	case SKH_MAPCHANGE_ORDER_NO_RESPONSE:
		state->next_order_us = now_us + RETRY_DELAY_US;
		break;
	}
	advance(change, now_us);
}

/* Undoes the change if the proxy rank times out before it was sent an arm order. */
static void check_proxy_timeout(skh_mapchange_t *change, int64_t now_us)
{
	if (!skh_mapchange_is_proxy_probe_due(change)) {
		change->others_armed_since_us = 0;
		return;
	}
	if (change->others_armed_since_us == 0)
		change->others_armed_since_us = now_us;
	if (now_us - change->others_armed_since_us > PROXY_TIMEOUT_US)
		begin_undo(change, "the proxy rank was silent past its timeout", now_us);
}

void skh_mapchange_set_lease(skh_mapchange_t *change, bool has_lease, int64_t now_us)
{
	if (has_lease)
		change->no_lease_since_us = 0;
	else if (change->no_lease_since_us == 0)
		change->no_lease_since_us = now_us;
}

static bool is_group_untouched(const skh_mapchange_t *change)
{
	return all_ranks(change, is_not_held) && all_ranks(change, is_not_armed_by_report);
}

/* Brings a change without a lease to an end. */
static void check_lease(skh_mapchange_t *change, int64_t now_us)
{
	static const char *const cause = "the lease expired";
	bool is_lost = change->no_lease_since_us != 0 &&
		       now_us - change->no_lease_since_us > LEASE_WAIT_US;

	if (change->no_lease_since_us == 0)
		return;
	switch (change->phase) {
	case SKH_MAPCHANGE_PREPARE:
		/* What an earlier change left held or armed is still to be released. */
		if (is_lost && is_group_untouched(change))
			fail(change, cause, now_us);
		break;
	case SKH_MAPCHANGE_COPY:
		if (is_lost)
			fail(change, cause, now_us);
		break;
	case SKH_MAPCHANGE_HOLD:
		begin_undo(change, cause, now_us);
		break;
	case SKH_MAPCHANGE_ARM:
		if (all_ranks(change, cannot_be_armed) ||
		    now_us - change->phase_since_us > ARM_WITHOUT_LEASE_US)
			begin_undo(change, cause, now_us);
		break;
	default:
		break;
	}
	advance(change, now_us);
}

void skh_mapchange_tick(skh_mapchange_t *change, int64_t now_us)
{
	const skh_engine_report_t *own = &change->ranks[change->own_rank].report;
	int64_t elapsed_us;

	check_lease(change, now_us);
	elapsed_us = now_us - change->phase_since_us;
	if (change->phase == SKH_MAPCHANGE_HOLD &&
	    own->pass + MIN_LEAD_PASSES >= change->switch_pass &&
	    !change->ranks[change->own_rank].is_order_pending)
		change->switch_pass = choose_switch_pass(change, now_us);
	if ((change->phase == SKH_MAPCHANGE_PREPARE || change->phase == SKH_MAPCHANGE_COPY ||
	     change->phase == SKH_MAPCHANGE_HOLD) &&
	    elapsed_us > PHASE_TIMEOUT_US)
		fail(change, "a rank did not prepare, copy or hold in time", now_us);
	check_hold_deadline(change, now_us);
	if (change->phase == SKH_MAPCHANGE_ARM)
		check_proxy_timeout(change, now_us);
	/* An idle group runs no passes and switches in its next one, so the timeout restarts. */
	if (change->phase == SKH_MAPCHANGE_SETTLE && own->pass < change->switch_pass)
		change->phase_since_us = now_us;
	else if (change->phase == SKH_MAPCHANGE_SETTLE && elapsed_us > SETTLE_TIMEOUT_US)
		fail(change, "the map did not change at the switch pass", now_us);
}
