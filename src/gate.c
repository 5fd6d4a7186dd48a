#include "gate.h"

#include <glib.h>

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
	uint64_t order; /* of arrival */
	int64_t start_before_us;
} slot_t;

struct skh_gate {
	skh_phase_t phase;
	uint32_t capacity;
	uint32_t queue;
	uint64_t incarnation;
	uint64_t arrivals;
	uint32_t running;
	GHashTable *slots;  /* attempt -> slot_t, owned */
	GPtrArray *waiting; /* borrowed slots, unordered and short */
	GQueue settled;	    /* attempts in order of settling */
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
	return gate;
}

void skh_gate_free(skh_gate_t *gate)
{
	g_queue_clear(&gate->settled);
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
	if (gate->running >= gate->capacity && gate->waiting->len >= gate->queue)
		return !skh_error_set(err, SKH_OVERLOADED, "the backend server's queue is full");
	return false;
}

static void run(skh_gate_t *gate, slot_t *slot)
{
	slot->state = SLOT_RUNNING;
	gate->running++;
}

skh_verdict_t skh_gate_start(skh_gate_t *gate, const Skh__Start *start, int64_t now_us,
			     skh_error_t *err)
{
	slot_t *slot;

	if (find(gate, start->attempt))
		return SKH_VERDICT_DUPLICATE;
	if (refuse_reason(gate, start, now_us, err)) {
		if (err->kind != SKH_STALE)
			remember_refused(gate, start->attempt, start->start_before_us);
		return SKH_VERDICT_REFUSE;
	}
	slot = add(gate, start->attempt, SLOT_WAITING, start->start_before_us);
	slot->priority = start->priority;
	if (gate->running < gate->capacity) {
		run(gate, slot);
		return SKH_VERDICT_START;
	}
	g_ptr_array_add(gate->waiting, slot);
	return SKH_VERDICT_QUEUE;
}

static void stop_waiting(skh_gate_t *gate, slot_t *slot)
{
	g_ptr_array_remove_fast(gate->waiting, slot);
	settle(gate, slot, SLOT_REFUSED);
}

skh_verdict_t skh_gate_cancel(skh_gate_t *gate, uint64_t attempt)
{
	slot_t *slot = find(gate, attempt);

	if (!slot || slot->state == SLOT_ENDED || slot->state == SLOT_REFUSED)
		return SKH_VERDICT_DUPLICATE;
	if (slot->state == SLOT_RUNNING)
		return SKH_VERDICT_STARTED;
	stop_waiting(gate, slot);
	return SKH_VERDICT_REFUSE;
}

skh_fate_t skh_gate_ask(skh_gate_t *gate, uint64_t attempt, uint64_t incarnation,
			int64_t start_before_us, int64_t now_us)
{
	static const skh_fate_t fates[] = {
		[SLOT_WAITING] = SKH_FATE_WAITING,
		[SLOT_RUNNING] = SKH_FATE_RUNNING,
		[SLOT_ENDED] = SKH_FATE_ENDED,
		[SLOT_REFUSED] = SKH_FATE_REFUSED,
	};
	const slot_t *slot = find(gate, attempt);

	if (slot)
		return fates[slot->state];
	/* Past its last moment to start, its slot may have been forgotten. */
	if (start_before_us <= now_us || incarnation != gate->incarnation)
		return SKH_FATE_UNKNOWN;
	remember_refused(gate, attempt, start_before_us);
	return SKH_FATE_REFUSED;
}

void skh_gate_ended(skh_gate_t *gate, uint64_t attempt, bool started)
{
	slot_t *slot = find(gate, attempt);

	if (!slot || slot->state != SLOT_RUNNING)
		return;
	gate->running--;
	settle(gate, slot, started ? SLOT_ENDED : SLOT_REFUSED);
}

static bool goes_before(const slot_t *a, const slot_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->order < b->order;
}

uint64_t skh_gate_next(skh_gate_t *gate, int64_t now_us)
{
	slot_t *best = NULL;

	if (gate->running >= gate->capacity)
		return 0;
	for (size_t i = 0; i < gate->waiting->len; i++) {
		slot_t *slot = gate->waiting->pdata[i];

		if (slot->start_before_us > now_us && (!best || goes_before(slot, best)))
			best = slot;
	}
	if (!best)
		return 0;
	g_ptr_array_remove_fast(gate->waiting, best);
	run(gate, best);
	return best->attempt;
}

static void forget_expired(skh_gate_t *gate, int64_t now_us)
{
	while (!g_queue_is_empty(&gate->settled)) {
		slot_t *oldest = g_queue_peek_head(&gate->settled);

		if (oldest->start_before_us > now_us)
			return;
		g_queue_pop_head(&gate->settled);
		g_hash_table_remove(gate->slots, &oldest->attempt);
	}
}

uint64_t skh_gate_expire(skh_gate_t *gate, int64_t now_us)
{
	for (size_t i = 0; i < gate->waiting->len; i++) {
		slot_t *slot = gate->waiting->pdata[i];

		if (slot->start_before_us <= now_us) {
			stop_waiting(gate, slot);
			return slot->attempt;
		}
	}
	forget_expired(gate, now_us);
	return 0;
}

void skh_gate_leave(skh_gate_t *gate, bool leaving)
{
	if (leaving)
		gate->phase = SKH_PHASE_LEAVING;
	else if (gate->phase == SKH_PHASE_LEAVING)
		gate->phase = SKH_PHASE_STARTING;
}

uint64_t skh_gate_hand_back(skh_gate_t *gate)
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

size_t skh_gate_remembered(const skh_gate_t *gate)
{
	return g_hash_table_size(gate->slots);
}
