#ifndef SKH_MAPCHANGE_H
#define SKH_MAPCHANGE_H

/**
 * DOC: Coordinated change of a group's expert map
 *
 * State machine of the coordinator that brings all ranks of a group to a new expert
 * map in the same pass. It is for engines whose ranks begin each pass together and
 * switch maps at a pass given in advance. All ranks must use the same map in every
 * pass, although an order without a response may be carried out seconds later, and
 * coordinators may crash, overlap or resume after a freeze. The module sends
 * nothing: the owner of the struct sends the orders, passes in reports and results, and
 * serialises all calls on a change. Times are monotonic, in microseconds.
 *
 * A prepare order lets a rank copy the experts of the new map; an arm order makes it
 * switch to the map at the beginning of a given pass, and a disarm order cancels that.
 * A hold order keeps the group from beginning a given pass; a go order releases the hold.
 *
 * The sequence of the phases guarantees the same map in every pass:
 *
 * 1. Prepare all ranks under a fencing token (fence) higher than any earlier one. An
 *    armed rank rejects the prepare and has to be disarmed. It is disarmed only under a
 *    hold that this coordinator has placed under its own fence (guard hold): an earlier
 *    coordinator may still release its own hold, also by an order that is carried out
 *    late, and the armed ranks would switch without those that are already disarmed.
 *    Once all ranks have accepted, none is armed, and all orders in flight from earlier
 *    coordinators are fenced off.
 * 2. Only then release a hold that an earlier change left behind, and the guard hold.
 * 3. When all ranks have their copies, hold the group at a future pass, so late that the
 *    hold is usually released before it delays the pass: no rank begins
 *    that pass until the hold is released. The hold is at the coordinator's own rank,
 *    where it can be released without the network, but it is placed by the process of
 *    another rank, the proxy rank. It is at a later pass than any that was released in
 *    phase 2, because such a release may be carried out late and would end it.
 * 4. Arm the ranks for that pass, only after the hold is confirmed. The proxy rank is
 *    armed last, and only right after its engine has responded to a probe.
 * 5. Release the hold, only after every rank has confirmed that it is armed; usually
 *    long before the pass. All ranks then switch in that pass, and the report of the
 *    coordinator's own rank shows when.
 *
 * The most costly failure is the loss of the instance that places the hold just as it
 * does so. If the proxy rank stops responding to probes, no arm order was sent to it and
 * it is certainly not armed: the other ranks are disarmed under the next fence, which
 * invalidates the orders in flight, and the group continues with its previous map.
 *
 * A coordinator whose lease has expired brings its change to an end, because a group that
 * it leaves held stays held until a later coordinator has taken over. It begins no hold.
 * Before the first arm order it undoes the change; once all ranks are armed it releases
 * the hold; in between it does what the ranks confirm first. This needs no lease: a later
 * coordinator relies only on ranks that know its fence and on its own hold, and a rank that
 * knows a higher fence rejects the orders, which ends the change.
 *
 * A hold has a deadline: if not all ranks are armed by then, the change is undone. What
 * is left held or armed after that, because a rank does not respond, is released by a
 * repair: phases 1 and 2 alone, by this coordinator or the next one.
 *
 * A coordinator that fails at any point leaves the group running or held; the next
 * coordinator starts again with phase 1.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Fences that one change can use: its own, and the next one to undo the change. */
#define SKH_MAPCHANGE_MAX_FENCES 2

/** enum skh_mapchange_phase - phases of a change, as described above */
typedef enum skh_mapchange_phase {
	SKH_MAPCHANGE_PREPARE,
	SKH_MAPCHANGE_RELEASE_STALE_HOLD,
	SKH_MAPCHANGE_COPY,
	SKH_MAPCHANGE_HOLD,
	SKH_MAPCHANGE_ARM,
	SKH_MAPCHANGE_DISARM,	 /* undo: disarm the ranks that may be armed */
	SKH_MAPCHANGE_UNDO_HOLD, /* undo: no rank is armed, release the hold */
	SKH_MAPCHANGE_RELEASE,	 /* all ranks are armed, release the hold */
	SKH_MAPCHANGE_SETTLE,	 /* wait for the switch */
	SKH_MAPCHANGE_DONE,
	SKH_MAPCHANGE_FAILED
} skh_mapchange_phase_t;

/** enum skh_mapchange_order_result - an engine's response to an order */
typedef enum skh_mapchange_order_result {
	SKH_MAPCHANGE_ORDER_ACCEPTED,	/* started, done, or already in that state */
	SKH_MAPCHANGE_ORDER_CONFLICT,	/* not possible in the rank's state */
	SKH_MAPCHANGE_ORDER_FENCED,	/* the rank has seen a higher fence */
	SKH_MAPCHANGE_ORDER_NO_RESPONSE /* no response; the order may still be carried out */
} skh_mapchange_order_result_t;

/** struct skh_mapchange_rank - known state of one rank */
typedef struct skh_mapchange_rank {
	bool has_reported;	    /* @report is valid */
	skh_engine_report_t report; /* newest report */
	int64_t reported_us;	    /* when @report was received */
	bool has_responded;	  /* has responded to an order of this change, so knows the fence */
	bool may_be_prepared;	  /* a prepare order was sent */
	bool has_prepared;	  /* has accepted the prepare order of this change */
	bool is_armed;		  /* is armed for this change */
	bool may_be_armed;	  /* an arm order was sent and may take effect now or later */
	bool is_order_pending;	  /* an order is in flight */
	skh_engine_op_t order_op; /* kind of the last order */
	int64_t order_sent_us;
	int64_t next_order_us; /* earliest time of the next order, after a failed one */
} skh_mapchange_rank_t;

/** struct skh_mapchange - one change; zeroed before its first skh_mapchange_init() */
typedef struct skh_mapchange {
	skh_mapchange_phase_t phase;
	uint32_t n_ranks;
	uint32_t own_rank;   /* the coordinator's own rank, which holds the group */
	uint32_t proxy_rank; /* rank whose process places the hold; @own_rank without one */
	bool is_repair;	     /* ends after phase 2 */
	int64_t epoch;
	int64_t version;
	int64_t fence;
	int64_t switch_pass;   /* pass in which the map changes */
	int64_t pass_began_us; /* when the own rank last reported a new pass; 0 before */
	int64_t phase_since_us;
	int64_t spent_us[SKH_MAPCHANGE_FAILED + 1]; /* time spent in each phase */
	int64_t held_since_us;	   /* time of the hold; 0 before it and after it was undone */
	int64_t no_lease_since_us; /* when the lease of the change expired; 0 while it is held */
	int64_t undone_us;	   /* when the own rank accepted the release that undoes a hold */
	bool has_guard;		   /* the guard hold of phase 1 is in place */
	int64_t guard_pass;	/* pass of the last order for it; 0 before it and after release */
	int64_t released_pass;	/* latest pass that the own rank was told to release in phase 2 */
	const char *undo_cause; /* why the change is undone; static text */
	int64_t proxy_probe_us; /* send time of the newest probe that the proxy rank responded to */
	int64_t others_armed_since_us; /* when all ranks but the proxy rank were armed; 0 if not */
	const char *cause;	       /* cause of a failure; static text, NULL without one */
	skh_mapchange_rank_t *ranks;   /* [@n_ranks] */
} skh_mapchange_t;

/** struct skh_mapchange_options - parameters of a change; see struct skh_mapchange */
typedef struct skh_mapchange_options {
	uint32_t n_ranks;
	uint32_t own_rank;
	uint32_t proxy_rank;
	int64_t epoch;
	int64_t version;
	int64_t fence;
	int64_t pass_began_us; /* when the own rank last reported a new pass; 0 if unknown */
	bool is_repair;	       /* end after phase 2, without a change of the map */
} skh_mapchange_options_t;

/**
 * skh_mapchange_init() - start a change
 * @change: replaced by the initial state; free with skh_mapchange_clear()
 * @options: parameters; the fence must be higher than any that was used before
 * @now_us: current monotonic time
 */
void skh_mapchange_init(skh_mapchange_t *change, const skh_mapchange_options_t *options,
			int64_t now_us);

/** skh_mapchange_clear() - free what @change owns */
void skh_mapchange_clear(skh_mapchange_t *change);

/** skh_mapchange_record_report() - process a newer engine report of @rank */
void skh_mapchange_record_report(skh_mapchange_t *change, uint32_t rank,
				 const skh_engine_report_t *report, int64_t now_us);

/**
 * skh_mapchange_next_order() - get the order to send to a rank now
 * @change: change in progress
 * @rank: rank to send the order to
 * @now_us: current monotonic time
 * @order: receives the order, without the map
 *
 * Return: false when there is no order to send. Otherwise the order counts as in
 * flight until skh_mapchange_record_result().
 */
bool skh_mapchange_next_order(skh_mapchange_t *change, uint32_t rank, int64_t now_us,
			      skh_mapchange_order_t *order);

/** skh_mapchange_record_result() - process the result of the order in flight to @rank */
void skh_mapchange_record_result(skh_mapchange_t *change, uint32_t rank,
				 skh_mapchange_order_result_t result, int64_t now_us);

/**
 * skh_mapchange_is_proxy_probe_due() - check whether to probe the proxy rank's engine
 *
 * Return: true when a probe is due; any request to the engine is one.
 */
bool skh_mapchange_is_proxy_probe_due(const skh_mapchange_t *change);

/**
 * skh_mapchange_record_proxy_probe() - record a response of the proxy rank's engine
 * @change: change in progress
 * @sent_us: monotonic time when the request was sent
 */
void skh_mapchange_record_proxy_probe(skh_mapchange_t *change, int64_t sent_us);

/**
 * skh_mapchange_can_replace() - check whether another change can replace this one
 *
 * Return: true when the ranks only prepare or copy experts and the group is not held
 * by this change, unless it is a repair.
 */
bool skh_mapchange_can_replace(const skh_mapchange_t *change);

/**
 * skh_mapchange_set_lease() - tell whether the lease that the change began under is held
 * @has_lease: false after the lease's deadline, or if the lease is lost or was acquired anew
 *
 * Without the lease the change is brought to an end as described above; if the lease is renewed
 * before that, the change continues.
 */
void skh_mapchange_set_lease(skh_mapchange_t *change, bool has_lease, int64_t now_us);

/** skh_mapchange_tick() - apply timeouts; to be called periodically */
void skh_mapchange_tick(skh_mapchange_t *change, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
