#include "gate.h"

#include "clock.h"
#include "fair_queue.h"

#include <glib.h>

/* A queued attempt gains one priority level per interval, so that the lowest isn't starved. */
#define AGING_INTERVAL_US (5 * SKH_US_PER_S)
#define MAX_PRIORITIES	  16
/* Customers over their share can't use 1/RESERVE_DIVISOR of the capacity. */
#define RESERVE_DIVISOR 8
/*
 * Attempts that would wait longer than this fraction of the time to their latest start are not
 * queued, so that none starts at the last moment.
 */
#define MAX_QUEUE_TIME_RATIO 0.25
/* Weight of a new interval between two starts in the moving average. */
#define INTERVAL_EWMA_RATIO 0.1

typedef enum attempt_state {
	ATTEMPT_QUEUED,
	ATTEMPT_RUNNING,
	ATTEMPT_ENDED,
	ATTEMPT_REJECTED /* rejected, or resolved before it arrived; never starts */
} attempt_state_t;

typedef struct attempt_record {
	uint64_t attempt;
	attempt_state_t state;
	uint32_t priority;
	bool suspect;
	uint64_t arrival_seq; /* breaks ties in order of arrival */
	int64_t arrived_us;
	uint64_t customer_hash;
	double start_tag; /* see fair_queue.h */
	int64_t start_before_us;
} attempt_record_t;

struct skh_gate {
	skh_phase_t phase;
	uint32_t capacity;
	uint32_t queue_limit;
	uint64_t incarnation;
	uint64_t n_arrived;
	uint32_t running;
	uint64_t running_suspect; /* attempt of the crash suspect that runs; 0 for none */
	GHashTable *attempts;	  /* attempt id -> attempt_record_t, owned */
	GPtrArray *queued;	  /* attempt_record_t, borrowed; unordered; the queue is short */
	GQueue ended; /* attempt_record_t, borrowed; in order of their end or rejection */
	skh_fair_queue_t *fair_queue;
	GQueue evicted; /* attempt_record_t, borrowed; evicted from the queue and not popped yet */
	/* Measured while attempts are queued: */
	int64_t last_start_us;	  /* 0 when the queue has been empty since */
	double start_interval_us; /* moving average; 0 for unknown */
};

skh_gate_t *skh_gate_new(uint32_t capacity, uint32_t queue_limit, uint64_t incarnation)
{
	skh_gate_t *gate = g_new0(skh_gate_t, 1);

	gate->phase = SKH_PHASE_STARTING;
	gate->capacity = capacity;
	gate->queue_limit = queue_limit;
	gate->incarnation = incarnation;
	gate->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	gate->queued = g_ptr_array_new();
	g_queue_init(&gate->ended);
	g_queue_init(&gate->evicted);
	gate->fair_queue = skh_fair_queue_new();
	return gate;
}

void skh_gate_free(skh_gate_t *gate)
{
	g_queue_clear(&gate->ended);
	g_queue_clear(&gate->evicted);
	skh_fair_queue_free(gate->fair_queue);
	g_ptr_array_unref(gate->queued);
	g_hash_table_unref(gate->attempts);
	g_free(gate);
}

static attempt_record_t *find_record(const skh_gate_t *gate, uint64_t attempt)
{
	return g_hash_table_lookup(gate->attempts, &attempt);
}

static attempt_record_t *add_record(skh_gate_t *gate, uint64_t attempt, attempt_state_t state,
				    int64_t start_before_us)
{
	attempt_record_t *record = g_new0(attempt_record_t, 1);

	record->attempt = attempt;
	record->state = state;
	record->start_before_us = start_before_us;
	record->arrival_seq = gate->n_arrived++;
	g_hash_table_insert(gate->attempts, &record->attempt, record);
	return record;
}

static void mark_ended(skh_gate_t *gate, attempt_record_t *record, attempt_state_t state)
{
	record->state = state;
	g_queue_push_tail(&gate->ended, record);
}

static void add_rejected(skh_gate_t *gate, uint64_t attempt, int64_t start_before_us)
{
	mark_ended(gate, add_record(gate, attempt, ATTEMPT_REJECTED, start_before_us),
		   ATTEMPT_REJECTED);
}

/* Return: capacity that the customer can't use; it is reserved for those below their share. */
static uint32_t reserved_capacity(const skh_gate_t *gate, uint64_t customer_hash)
{
	return skh_fair_queue_is_over_share(gate->fair_queue, customer_hash, gate->capacity)
		       ? gate->capacity / RESERVE_DIVISOR
		       : 0;
}

static bool has_capacity(const skh_gate_t *gate, bool suspect, uint64_t customer_hash)
{
	return gate->running + reserved_capacity(gate, customer_hash) < gate->capacity &&
	       !(suspect && gate->running_suspect != 0);
}

static uint64_t hash_customer(const Skh__Start *start)
{
	return skh_chunk_hash(skh_chunk_from_string(start->customer), 0);
}

static bool must_reject(const skh_gate_t *gate, const Skh__Start *start, int64_t now_us,
			skh_error_t *err)
{
	if (start->incarnation != gate->incarnation)
		return !skh_error_set(err, SKH_STALE,
				      "the attempt is addressed to an earlier sidecar process");
	if (now_us >= start->start_before_us)
		return !skh_error_set(err, SKH_STALE,
				      "the attempt arrived after its latest start time");
	if (gate->phase == SKH_PHASE_STARTING)
		return !skh_error_set(err, SKH_NOT_READY, "the sidecar is starting");
	if (gate->phase == SKH_PHASE_LEAVING)
		return !skh_error_set(err, SKH_LEAVING, "the backend server is leaving");
	if (start->no_queue && !has_capacity(gate, start->suspect, hash_customer(start)))
		return !skh_error_set(err, SKH_OVERLOADED,
				      "the backend server has no free capacity now");
	return false;
}

static void begin_running(skh_gate_t *gate, attempt_record_t *record)
{
	record->state = ATTEMPT_RUNNING;
	gate->running++;
	skh_fair_queue_start(gate->fair_queue, record->customer_hash, record->start_tag);
	if (record->suspect)
		gate->running_suspect = record->attempt;
}

/* Priority after aging, so that the lowest isn't starved; smaller numbers start earlier. */
static int64_t aged_priority(const attempt_record_t *record, int64_t now_us)
{
	return (int64_t)record->priority - (now_us - record->arrived_us) / AGING_INTERVAL_US;
}

/* Order within one priority: by the customers' shares, regardless of the time in the queue. */
static bool has_smaller_tag(const attempt_record_t *a, const attempt_record_t *b)
{
	if (a->start_tag < b->start_tag || a->start_tag > b->start_tag)
		return a->start_tag < b->start_tag;
	return a->arrival_seq < b->arrival_seq;
}

static bool precedes(const attempt_record_t *a, const attempt_record_t *b)
{
	return a->priority != b->priority ? a->priority < b->priority : has_smaller_tag(a, b);
}

static void reject_queued(skh_gate_t *gate, attempt_record_t *record)
{
	g_ptr_array_remove_fast(gate->queued, record);
	mark_ended(gate, record, ATTEMPT_REJECTED);
	skh_fair_queue_cancel(gate->fair_queue, record->customer_hash);
	if (gate->queued->len == 0)
		gate->last_start_us = 0;
}

/* Estimated start, after all queued attempts that precede the given one. */
static int64_t expected_start_us(const skh_gate_t *gate, const attempt_record_t *record,
				 int64_t now_us)
{
	uint32_t ahead = 0;

	for (size_t i = 0; i < gate->queued->len; i++)
		ahead += precedes(gate->queued->pdata[i], record);
	return now_us + (int64_t)((double)(ahead + 1) * gate->start_interval_us);
}

static attempt_record_t *last_queued(const skh_gate_t *gate)
{
	attempt_record_t *last = NULL;

	for (size_t i = 0; i < gate->queued->len; i++) {
		attempt_record_t *record = gate->queued->pdata[i];

		if (!last || precedes(last, record))
			last = record;
	}
	return last;
}

/*
 * Evicts the last queued attempt from a full queue when the new one precedes it, so that a customer
 * over its share gives way to one below its share. Return: true when the queue has room for the new
 * attempt.
 */
static bool make_queue_room(skh_gate_t *gate, const attempt_record_t *record)
{
	attempt_record_t *last = last_queued(gate);

	if (gate->queued->len < gate->queue_limit)
		return true;
	if (!last || !precedes(record, last))
		return false;
	reject_queued(gate, last);
	g_queue_push_tail(&gate->evicted, last);
	return true;
}

static skh_gate_decision_t enqueue(skh_gate_t *gate, attempt_record_t *record, int64_t now_us,
				   skh_error_t *err)
{
	int64_t start_us = expected_start_us(gate, record, now_us);
	double remaining_us = (double)(record->start_before_us - now_us);
	bool can_start_in_time = (double)(start_us - now_us) < remaining_us * MAX_QUEUE_TIME_RATIO;

	if (can_start_in_time && make_queue_room(gate, record)) {
		g_ptr_array_add(gate->queued, record);
		return SKH_GATE_DECISION_QUEUE;
	}
	(void)skh_error_set(err, SKH_OVERLOADED, "%s",
			    can_start_in_time ? "the backend server's queue is full"
					      : "the attempt could not start in time");
	err->retry_at_us = start_us;
	mark_ended(gate, record, ATTEMPT_REJECTED);
	skh_fair_queue_cancel(gate->fair_queue, record->customer_hash);
	return SKH_GATE_DECISION_REJECT;
}

/* A copy of the attempt may have run, and its record may have been removed. */
static bool is_past_retention(const skh_gate_t *gate, const Skh__Start *start, int64_t now_us)
{
	return start->incarnation == gate->incarnation &&
	       now_us - SKH_GATE_RETENTION_US >= start->start_before_us;
}

skh_gate_decision_t skh_gate_admit(skh_gate_t *gate, const Skh__Start *start, int64_t now_us,
				   skh_error_t *err)
{
	attempt_record_t *record;

	if (find_record(gate, start->attempt) || is_past_retention(gate, start, now_us))
		return SKH_GATE_DECISION_IGNORE;
	if (must_reject(gate, start, now_us, err)) {
		if (err->kind != SKH_STALE)
			add_rejected(gate, start->attempt, start->start_before_us);
		return SKH_GATE_DECISION_REJECT;
	}
	record = add_record(gate, start->attempt, ATTEMPT_QUEUED, start->start_before_us);
	record->priority = start->priority;
	record->suspect = start->suspect;
	record->arrived_us = now_us;
	record->customer_hash = hash_customer(start);
	record->start_tag =
		skh_fair_queue_enqueue(gate->fair_queue, record->customer_hash, start->weight);
	if (!has_capacity(gate, record->suspect, record->customer_hash))
		return enqueue(gate, record, now_us, err);
	begin_running(gate, record);
	return SKH_GATE_DECISION_START;
}

uint64_t skh_gate_pop_evicted(skh_gate_t *gate)
{
	attempt_record_t *record = g_queue_pop_head(&gate->evicted);

	return record ? record->attempt : 0;
}

skh_gate_decision_t skh_gate_cancel(skh_gate_t *gate, uint64_t attempt)
{
	attempt_record_t *record = find_record(gate, attempt);

	if (!record || record->state == ATTEMPT_ENDED || record->state == ATTEMPT_REJECTED)
		return SKH_GATE_DECISION_IGNORE;
	if (record->state == ATTEMPT_RUNNING)
		return SKH_GATE_DECISION_ALREADY_STARTED;
	reject_queued(gate, record);
	return SKH_GATE_DECISION_REJECT;
}

skh_attempt_status_t skh_gate_resolve(skh_gate_t *gate, uint64_t attempt, uint64_t incarnation,
				      int64_t start_before_us, int64_t now_us)
{
	static const skh_attempt_status_t statuses[] = {
		[ATTEMPT_QUEUED] = SKH_ATTEMPT_STATUS_QUEUED,
		[ATTEMPT_RUNNING] = SKH_ATTEMPT_STATUS_RUNNING,
		[ATTEMPT_ENDED] = SKH_ATTEMPT_STATUS_ENDED,
		[ATTEMPT_REJECTED] = SKH_ATTEMPT_STATUS_REJECTED,
	};
	const attempt_record_t *record = find_record(gate, attempt);

	if (record)
		return statuses[record->state];
	/* The record of an attempt past its latest start may have been removed. */
	if (start_before_us <= now_us || incarnation != gate->incarnation)
		return SKH_ATTEMPT_STATUS_UNKNOWN;
	add_rejected(gate, attempt, start_before_us);
	return SKH_ATTEMPT_STATUS_REJECTED;
}

void skh_gate_clear_suspect(skh_gate_t *gate, uint64_t attempt)
{
	if (gate->running_suspect == attempt)
		gate->running_suspect = 0;
}

void skh_gate_finish(skh_gate_t *gate, uint64_t attempt, bool started)
{
	attempt_record_t *record = find_record(gate, attempt);

	if (!record || record->state != ATTEMPT_RUNNING)
		return;
	gate->running--;
	skh_fair_queue_finish(gate->fair_queue, record->customer_hash);
	skh_gate_clear_suspect(gate, attempt);
	mark_ended(gate, record, started ? ATTEMPT_ENDED : ATTEMPT_REJECTED);
}

/* Measures the interval between starts while attempts are queued. */
static void update_start_interval(skh_gate_t *gate, int64_t now_us)
{
	if (gate->last_start_us > 0) {
		double interval_us = (double)(now_us - gate->last_start_us);

		if (gate->start_interval_us > 0.0)
			gate->start_interval_us +=
				INTERVAL_EWMA_RATIO * (interval_us - gate->start_interval_us);
		else
			gate->start_interval_us = interval_us;
	}
	gate->last_start_us = gate->queued->len > 0 ? now_us : 0;
}

/* Selects the first attempt of each priority, then the one with the best aged priority. */
static attempt_record_t *next_to_start(const skh_gate_t *gate, int64_t now_us)
{
	attempt_record_t *first_of_priority[MAX_PRIORITIES] = { NULL };
	attempt_record_t *best = NULL;

	for (size_t i = 0; i < gate->queued->len; i++) {
		attempt_record_t *record = gate->queued->pdata[i];
		attempt_record_t **head =
			&first_of_priority[MIN(record->priority, MAX_PRIORITIES - 1)];

		if (record->start_before_us > now_us &&
		    has_capacity(gate, record->suspect, record->customer_hash) &&
		    (!*head || has_smaller_tag(record, *head)))
			*head = record;
	}
	for (size_t i = 0; i < MAX_PRIORITIES; i++) {
		if (first_of_priority[i] && (!best || aged_priority(first_of_priority[i], now_us) <
							      aged_priority(best, now_us)))
			best = first_of_priority[i];
	}
	return best;
}

uint64_t skh_gate_start_next(skh_gate_t *gate, int64_t now_us)
{
	attempt_record_t *next = next_to_start(gate, now_us);

	if (!next)
		return 0;
	g_ptr_array_remove_fast(gate->queued, next);
	update_start_interval(gate, now_us);
	begin_running(gate, next);
	return next->attempt;
}

/*
 * Rejects the last queued attempt when it is not expected to start in time, so that its entry can
 * retry elsewhere before the deadline.
 */
static uint64_t reject_overdue(skh_gate_t *gate, int64_t now_us)
{
	attempt_record_t *last = last_queued(gate);

	if (!last || expected_start_us(gate, last, now_us) < last->start_before_us)
		return 0;
	reject_queued(gate, last);
	return last->attempt;
}

static void remove_expired_records(skh_gate_t *gate, int64_t now_us)
{
	while (!g_queue_is_empty(&gate->ended)) {
		attempt_record_t *oldest = g_queue_peek_head(&gate->ended);

		if (oldest->start_before_us > now_us - SKH_GATE_RETENTION_US)
			return;
		g_queue_pop_head(&gate->ended);
		g_hash_table_remove(gate->attempts, &oldest->attempt);
	}
}

uint64_t skh_gate_expire_next(skh_gate_t *gate, int64_t now_us)
{
	for (size_t i = 0; i < gate->queued->len; i++) {
		attempt_record_t *record = gate->queued->pdata[i];

		if (record->start_before_us <= now_us) {
			reject_queued(gate, record);
			return record->attempt;
		}
	}
	remove_expired_records(gate, now_us);
	skh_fair_queue_evict_idle(gate->fair_queue);
	return reject_overdue(gate, now_us);
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
	attempt_record_t *record;

	if (gate->phase != SKH_PHASE_LEAVING || gate->queued->len == 0)
		return 0;
	record = gate->queued->pdata[0];
	reject_queued(gate, record);
	return record->attempt;
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
	return gate->queued->len;
}

size_t skh_gate_retained(const skh_gate_t *gate)
{
	return g_hash_table_size(gate->attempts);
}
