#include "gate.h"

#include "clock.h"
#include "fair_queue.h"

#include <glib.h>

/* A waiting attempt rises by one priority level in this time. */
#define AGING_US   (5 * SKH_US_PER_S)
#define MAX_LEVELS 16
/* This part of the capacity is kept from customers over their share. */
#define RESERVE_DIVISOR 8
/* Nobody is let into the line who would start at the very last moment. */
#define ADMIT_PART 0.25
/* Part of a new interval between two starts in the smoothed one. */
#define INTERVAL_GAIN 0.1

typedef enum slot_state {
	SLOT_WAITING,
	SLOT_RUNNING,
	SLOT_ENDED,
	SLOT_REFUSED /* or fenced: must never start */
} slot_state_t;

typedef struct slot {
	uint64_t attempt;
	slot_state_t state;
	uint32_t priority;
	bool suspect;
	uint64_t order; /* of arrival */
	int64_t arrived_us;
	uint64_t customer; /* hash of its name */
	double tag;	   /* see fair_queue.h */
	int64_t start_before_us;
} slot_t;

struct skh_gate {
	skh_phase_t phase;
	uint32_t capacity;
	uint32_t queue;
	uint64_t incarnation;
	uint64_t arrivals;
	uint32_t running;
	uint64_t suspect;   /* the attempt of a suspect that runs; 0 for none */
	GHashTable *slots;  /* attempt -> slot_t, owned */
	GPtrArray *waiting; /* borrowed slots, unordered and short */
	GQueue settled;	    /* attempts in order of settling */
	skh_fair_queue_t *fair;
	GQueue evicted; /* slots refused to make room, not told yet */
	/* While attempts wait: */
	int64_t last_start_us;	  /* 0 after nobody waited */
	double start_interval_us; /* smoothed; 0 for unknown */
};

skh_gate_t *skh_gate_new(uint32_t capacity, uint32_t queue, uint64_t incarnation)
{
	skh_gate_t *gate = g_new0(skh_gate_t, 1);

	gate->phase = SKH_PHASE_STARTING;
	gate->capacity = capacity;
	gate->queue = queue;
	gate->incarnation = incarnation;
	gate->slots = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	gate->waiting = g_ptr_array_new();
	g_queue_init(&gate->settled);
	g_queue_init(&gate->evicted);
	gate->fair = skh_fair_queue_new();
	return gate;
}

void skh_gate_free(skh_gate_t *gate)
{
	g_queue_clear(&gate->settled);
	g_queue_clear(&gate->evicted);
	skh_fair_queue_free(gate->fair);
	g_ptr_array_unref(gate->waiting);
	g_hash_table_unref(gate->slots);
	g_free(gate);
}

static slot_t *find(const skh_gate_t *gate, uint64_t attempt)
{
	return g_hash_table_lookup(gate->slots, &attempt);
}

static slot_t *add(skh_gate_t *gate, uint64_t attempt, slot_state_t state, int64_t start_before_us)
{
	slot_t *slot = g_new0(slot_t, 1);

	slot->attempt = attempt;
	slot->state = state;
	slot->start_before_us = start_before_us;
	slot->order = gate->arrivals++;
	g_hash_table_insert(gate->slots, &slot->attempt, slot);
	return slot;
}

static void settle(skh_gate_t *gate, slot_t *slot, slot_state_t state)
{
	slot->state = state;
	g_queue_push_tail(&gate->settled, slot);
}

static void remember_refused(skh_gate_t *gate, uint64_t attempt, int64_t start_before_us)
{
	settle(gate, add(gate, attempt, SLOT_REFUSED, start_before_us), SLOT_REFUSED);
}

/* Customers that run more than their share leave some room for those that don't. */
static uint32_t reserve_for(const skh_gate_t *gate, uint64_t customer)
{
	return skh_fair_queue_is_over_share(gate->fair, customer, gate->capacity)
		       ? gate->capacity / RESERVE_DIVISOR
		       : 0;
}

static bool has_room(const skh_gate_t *gate, bool suspect, uint64_t customer)
{
	return gate->running + reserve_for(gate, customer) < gate->capacity &&
	       !(suspect && gate->suspect != 0);
}

static uint64_t hash_customer(const Skh__Start *start)
{
	return skh_chunk_hash(skh_chunk_from_string(start->customer), 0);
}

static bool refuse_reason(const skh_gate_t *gate, const Skh__Start *start, int64_t now_us,
			  skh_error_t *err)
{
	if (start->incarnation != gate->incarnation)
		return !skh_error_set(err, SKH_STALE, "meant for an earlier sidecar process");
	if (now_us >= start->start_before_us)
		return !skh_error_set(err, SKH_STALE, "arrived after its last moment to start");
	if (gate->phase == SKH_PHASE_STARTING)
		return !skh_error_set(err, SKH_NOT_READY, "the sidecar is starting");
	if (gate->phase == SKH_PHASE_LEAVING)
		return !skh_error_set(err, SKH_LEAVING, "the backend server is leaving");
	if (start->no_queue && !has_room(gate, start->suspect, hash_customer(start)))
		return !skh_error_set(err, SKH_OVERLOADED, "the backend server has no room now");
	return false;
}

static void run(skh_gate_t *gate, slot_t *slot)
{
	slot->state = SLOT_RUNNING;
	gate->running++;
	skh_fair_queue_start(gate->fair, slot->customer, slot->tag);
	if (slot->suspect)
		gate->suspect = slot->attempt;
}

/* A class that waits rises, so that even the lowest is served in the end. */
static int64_t level_of(const slot_t *slot, int64_t now_us)
{
	return (int64_t)slot->priority - (now_us - slot->arrived_us) / AGING_US;
}

/* Within one priority: the customers' shares, however long one of them has waited. */
static bool precedes(const slot_t *a, const slot_t *b)
{
	if (a->tag < b->tag || a->tag > b->tag)
		return a->tag < b->tag;
	return a->order < b->order;
}

static bool goes_before(const slot_t *a, const slot_t *b)
{
	return a->priority != b->priority ? a->priority < b->priority : precedes(a, b);
}

static void stop_waiting(skh_gate_t *gate, slot_t *slot)
{
	g_ptr_array_remove_fast(gate->waiting, slot);
	settle(gate, slot, SLOT_REFUSED);
	skh_fair_queue_cancel(gate->fair, slot->customer);
	if (gate->waiting->len == 0)
		gate->last_start_us = 0;
}

/* When the attempt would start; it runs no sooner than those that go before it. */
static int64_t expected_start_us(const skh_gate_t *gate, const slot_t *slot, int64_t now_us)
{
	uint32_t ahead = 0;

	for (size_t i = 0; i < gate->waiting->len; i++)
		ahead += goes_before(gate->waiting->pdata[i], slot);
	return now_us + (int64_t)((double)(ahead + 1) * gate->start_interval_us);
}

static slot_t *last_in_line(const skh_gate_t *gate)
{
	slot_t *last = NULL;

	for (size_t i = 0; i < gate->waiting->len; i++) {
		slot_t *slot = gate->waiting->pdata[i];

		if (!last || goes_before(last, slot))
			last = slot;
	}
	return last;
}

/* In a full queue whoever is over its share makes room for those under theirs. */
static bool make_room(skh_gate_t *gate, const slot_t *slot)
{
	slot_t *last = last_in_line(gate);

	if (gate->waiting->len < gate->queue)
		return true;
	if (!last || !goes_before(slot, last))
		return false;
	stop_waiting(gate, last);
	g_queue_push_tail(&gate->evicted, last);
	return true;
}

static skh_gate_decision_t enqueue(skh_gate_t *gate, slot_t *slot, int64_t now_us, skh_error_t *err)
{
	int64_t start_us = expected_start_us(gate, slot, now_us);
	double left_us = (double)(slot->start_before_us - now_us);
	bool in_time = (double)(start_us - now_us) < left_us * ADMIT_PART;

	if (in_time && make_room(gate, slot)) {
		g_ptr_array_add(gate->waiting, slot);
		return SKH_GATE_DECISION_QUEUE;
	}
	(void)skh_error_set(err, SKH_OVERLOADED, "%s",
			    in_time ? "the backend server's queue is full"
				    : "it could not start in time");
	err->retry_at_us = start_us;
	settle(gate, slot, SLOT_REFUSED);
	skh_fair_queue_cancel(gate->fair, slot->customer);
	return SKH_GATE_DECISION_REJECT;
}

/* An earlier copy may have run and been forgotten. */
static bool is_past_memory(const skh_gate_t *gate, const Skh__Start *start, int64_t now_us)
{
	return start->incarnation == gate->incarnation &&
	       now_us - SKH_GATE_RETENTION_US >= start->start_before_us;
}

skh_gate_decision_t skh_gate_admit(skh_gate_t *gate, const Skh__Start *start, int64_t now_us,
				   skh_error_t *err)
{
	slot_t *slot;

	if (find(gate, start->attempt) || is_past_memory(gate, start, now_us))
		return SKH_GATE_DECISION_IGNORE;
	if (refuse_reason(gate, start, now_us, err)) {
		if (err->kind != SKH_STALE)
			remember_refused(gate, start->attempt, start->start_before_us);
		return SKH_GATE_DECISION_REJECT;
	}
	slot = add(gate, start->attempt, SLOT_WAITING, start->start_before_us);
	slot->priority = start->priority;
	slot->suspect = start->suspect;
	slot->arrived_us = now_us;
	slot->customer = hash_customer(start);
	slot->tag = skh_fair_queue_enqueue(gate->fair, slot->customer, start->weight);
	if (!has_room(gate, slot->suspect, slot->customer))
		return enqueue(gate, slot, now_us, err);
	run(gate, slot);
	return SKH_GATE_DECISION_START;
}

uint64_t skh_gate_pop_evicted(skh_gate_t *gate)
{
	slot_t *slot = g_queue_pop_head(&gate->evicted);

	return slot ? slot->attempt : 0;
}

skh_gate_decision_t skh_gate_cancel(skh_gate_t *gate, uint64_t attempt)
{
	slot_t *slot = find(gate, attempt);

	if (!slot || slot->state == SLOT_ENDED || slot->state == SLOT_REFUSED)
		return SKH_GATE_DECISION_IGNORE;
	if (slot->state == SLOT_RUNNING)
		return SKH_GATE_DECISION_ALREADY_STARTED;
	stop_waiting(gate, slot);
	return SKH_GATE_DECISION_REJECT;
}

skh_attempt_status_t skh_gate_resolve(skh_gate_t *gate, uint64_t attempt, uint64_t incarnation,
				      int64_t start_before_us, int64_t now_us)
{
	static const skh_attempt_status_t fates[] = {
		[SLOT_WAITING] = SKH_ATTEMPT_STATUS_WAITING,
		[SLOT_RUNNING] = SKH_ATTEMPT_STATUS_RUNNING,
		[SLOT_ENDED] = SKH_ATTEMPT_STATUS_ENDED,
		[SLOT_REFUSED] = SKH_ATTEMPT_STATUS_REJECTED,
	};
	const slot_t *slot = find(gate, attempt);

	if (slot)
		return fates[slot->state];
	/* Past its last moment to start, its slot may have been forgotten. */
	if (start_before_us <= now_us || incarnation != gate->incarnation)
		return SKH_ATTEMPT_STATUS_UNKNOWN;
	remember_refused(gate, attempt, start_before_us);
	return SKH_ATTEMPT_STATUS_REJECTED;
}

void skh_gate_clear_suspect(skh_gate_t *gate, uint64_t attempt)
{
	if (gate->suspect == attempt)
		gate->suspect = 0;
}

void skh_gate_finish(skh_gate_t *gate, uint64_t attempt, bool started)
{
	slot_t *slot = find(gate, attempt);

	if (!slot || slot->state != SLOT_RUNNING)
		return;
	gate->running--;
	skh_fair_queue_finish(gate->fair, slot->customer);
	skh_gate_clear_suspect(gate, attempt);
	settle(gate, slot, started ? SLOT_ENDED : SLOT_REFUSED);
}

/* How fast attempts start while others wait. */
static void note_start(skh_gate_t *gate, int64_t now_us)
{
	if (gate->last_start_us > 0) {
		double interval_us = (double)(now_us - gate->last_start_us);

		if (gate->start_interval_us > 0.0)
			gate->start_interval_us +=
				INTERVAL_GAIN * (interval_us - gate->start_interval_us);
		else
			gate->start_interval_us = interval_us;
	}
	gate->last_start_us = gate->waiting->len > 0 ? now_us : 0;
}

/* The head of each priority, then the one that has risen highest. */
static slot_t *first_in_line(const skh_gate_t *gate, int64_t now_us)
{
	slot_t *heads[MAX_LEVELS] = { NULL };
	slot_t *best = NULL;

	for (size_t i = 0; i < gate->waiting->len; i++) {
		slot_t *slot = gate->waiting->pdata[i];
		slot_t **head = &heads[MIN(slot->priority, MAX_LEVELS - 1)];

		if (slot->start_before_us > now_us &&
		    has_room(gate, slot->suspect, slot->customer) &&
		    (!*head || precedes(slot, *head)))
			*head = slot;
	}
	for (size_t i = 0; i < MAX_LEVELS; i++) {
		if (heads[i] && (!best || level_of(heads[i], now_us) < level_of(best, now_us)))
			best = heads[i];
	}
	return best;
}

uint64_t skh_gate_start_next(skh_gate_t *gate, int64_t now_us)
{
	slot_t *first = first_in_line(gate, now_us);

	if (!first)
		return 0;
	g_ptr_array_remove_fast(gate->waiting, first);
	note_start(gate, now_us);
	run(gate, first);
	return first->attempt;
}

/* Whoever is last and has no hope left is told now rather than at its last moment. */
static uint64_t refuse_hopeless(skh_gate_t *gate, int64_t now_us)
{
	slot_t *last = last_in_line(gate);

	if (!last || expected_start_us(gate, last, now_us) < last->start_before_us)
		return 0;
	stop_waiting(gate, last);
	return last->attempt;
}

static void forget_expired(skh_gate_t *gate, int64_t now_us)
{
	while (!g_queue_is_empty(&gate->settled)) {
		slot_t *oldest = g_queue_peek_head(&gate->settled);

		if (oldest->start_before_us > now_us - SKH_GATE_RETENTION_US)
			return;
		g_queue_pop_head(&gate->settled);
		g_hash_table_remove(gate->slots, &oldest->attempt);
	}
}

uint64_t skh_gate_expire_next(skh_gate_t *gate, int64_t now_us)
{
	for (size_t i = 0; i < gate->waiting->len; i++) {
		slot_t *slot = gate->waiting->pdata[i];

		if (slot->start_before_us <= now_us) {
			stop_waiting(gate, slot);
			return slot->attempt;
		}
	}
	forget_expired(gate, now_us);
	skh_fair_queue_evict_idle(gate->fair);
	return refuse_hopeless(gate, now_us);
}

void skh_gate_set_leaving(skh_gate_t *gate, bool leaving)
{
	if (leaving)
		gate->phase = SKH_PHASE_LEAVING;
	else if (gate->phase == SKH_PHASE_LEAVING)
		gate->phase = SKH_PHASE_STARTING;
}

uint64_t skh_gate_reject_next(skh_gate_t *gate)
{
	slot_t *slot;

	if (gate->phase != SKH_PHASE_LEAVING || gate->waiting->len == 0)
		return 0;
	slot = gate->waiting->pdata[0];
	stop_waiting(gate, slot);
	return slot->attempt;
}

void skh_gate_open(skh_gate_t *gate)
{
	if (gate->phase == SKH_PHASE_STARTING)
		gate->phase = SKH_PHASE_READY;
}

skh_phase_t skh_gate_phase(const skh_gate_t *gate)
{
	return gate->phase;
}

uint32_t skh_gate_running(const skh_gate_t *gate)
{
	return gate->running;
}

uint32_t skh_gate_queued(const skh_gate_t *gate)
{
	return gate->waiting->len;
}

size_t skh_gate_retained(const skh_gate_t *gate)
{
	return g_hash_table_size(gate->slots);
}
