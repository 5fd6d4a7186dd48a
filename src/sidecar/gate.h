#ifndef SKH_GATE_H
#define SKH_GATE_H

/**
 * DOC: Gate
 *
 * Admission control and queue of a sidecar: decides which attempts start at
 * its backend server, are queued or are rejected. Pure state; the owner serialises
 * calls and passes the time in microseconds on the sidecar's clock.
 *
 * Guarantees: an attempt starts at most once, and a rejected attempt never
 * starts, even when its Start frame arrives again or late.
 *
 * Memory is bounded without synchronised clocks: each attempt names its latest
 * start on this sidecar's clock, and its outcome is retained for
 * SKH_GATE_RETENTION_US after that time. Within that period an attempt without
 * a record never ran, and a copy of it is rejected. Later the record may have
 * been removed although the attempt ran, so a copy is ignored.
 */

#include "error.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/** SKH_GATE_RETENTION_US - how long an outcome is retained after the attempt's latest start */
#define SKH_GATE_RETENTION_US ((int64_t)60 * 1000000)

typedef struct skh_gate skh_gate_t;

/** enum skh_gate_decision - what the owner does with an attempt */
typedef enum skh_gate_decision {
	SKH_GATE_DECISION_START,	  /* start at the backend server now */
	SKH_GATE_DECISION_QUEUE,	  /* queued; skh_gate_start_next() returns it */
	SKH_GATE_DECISION_REJECT,	  /* send the entry a rejection; never starts */
	SKH_GATE_DECISION_IGNORE,	  /* already decided or past retention; send nothing */
	SKH_GATE_DECISION_ALREADY_STARTED /* started, can't be withdrawn */
} skh_gate_decision_t;

/** enum skh_attempt_status - state of an attempt as reported to an entry */
typedef enum skh_attempt_status {
	SKH_ATTEMPT_STATUS_QUEUED,
	SKH_ATTEMPT_STATUS_RUNNING,
	SKH_ATTEMPT_STATUS_ENDED,
	SKH_ATTEMPT_STATUS_REJECTED, /* did not start and never will */
	SKH_ATTEMPT_STATUS_UNKNOWN /* earlier process, or past its latest start without a record */
} skh_attempt_status_t;

/**
 * skh_gate_new() - new gate, which rejects attempts until skh_gate_open()
 * @capacity: maximum number of running attempts
 * @queue_limit: maximum number of queued attempts
 * @incarnation: random id of this sidecar process
 */
skh_gate_t *skh_gate_new(uint32_t capacity, uint32_t queue_limit, uint64_t incarnation);

/** skh_gate_free() - free @gate with all records */
void skh_gate_free(skh_gate_t *gate);

/**
 * skh_gate_admit() - decide about an attempt that has arrived
 *
 * An attempt with no_queue set is rejected unless it can start at once, so that
 * its entry can try a sidecar with free capacity.
 * Return: the decision; @err is set for SKH_GATE_DECISION_REJECT.
 */
skh_gate_decision_t skh_gate_admit(skh_gate_t *gate, const Skh__Start *start, int64_t now_us,
				   skh_error_t *err);

/**
 * skh_gate_pop_evicted() - next attempt evicted from the queue; 0 for none
 *
 * An attempt that arrives at a full queue evicts the last queued one when it
 * precedes that one by priority or by its customer's share. The owner rejects
 * the evicted attempt. Call until 0 after each skh_gate_admit().
 */
uint64_t skh_gate_pop_evicted(skh_gate_t *gate);

/**
 * skh_gate_cancel() - withdraw @attempt at its entry's request
 * Return: SKH_GATE_DECISION_ALREADY_STARTED when @attempt runs, SKH_GATE_DECISION_REJECT when it
 * was queued and now never starts, else SKH_GATE_DECISION_IGNORE.
 */
skh_gate_decision_t skh_gate_cancel(skh_gate_t *gate, uint64_t attempt);

/**
 * skh_gate_resolve() - state of @attempt, for an entry that asks
 * @incarnation: sidecar process that the attempt was addressed to
 * @start_before_us: latest start of the attempt
 *
 * An attempt without a record that may still arrive is recorded as rejected, so
 * that it never starts. Attempts of an
 * earlier process are unknown.
 * Return: the state to report.
 */
skh_attempt_status_t skh_gate_resolve(skh_gate_t *gate, uint64_t attempt, uint64_t incarnation,
				      int64_t start_before_us, int64_t now_us);

/**
 * skh_gate_finish() - running @attempt has ended
 * @started: false when it ended before it reached the backend server
 */
void skh_gate_finish(skh_gate_t *gate, uint64_t attempt, bool started);

/**
 * skh_gate_start_next() - take the next attempt to start now from the queue; 0 for none
 *
 * In order of priority, which rises with the time in the queue; within one
 * priority by the customers' weights (fair_queue.h); then in order of arrival.
 */
uint64_t skh_gate_start_next(skh_gate_t *gate, int64_t now_us);

/**
 * skh_gate_expire_next() - remove one queued attempt that can't start in time; 0 for none
 *
 * The owner rejects the returned attempt and calls again. Also removes records
 * past their retention.
 */
uint64_t skh_gate_expire_next(skh_gate_t *gate, int64_t now_us);

/**
 * skh_gate_clear_suspect() - @attempt ran long enough not to be treated as a crash suspect
 *
 * A gate runs one crash suspect (suspect.h) at a time; afterwards another may start.
 */
void skh_gate_clear_suspect(skh_gate_t *gate, uint64_t attempt);

/**
 * skh_gate_set_leaving() - set whether new attempts are rejected as leaving
 *
 * A gate that stops leaving rejects attempts as starting until skh_gate_open().
 */
void skh_gate_set_leaving(skh_gate_t *gate, bool leaving);

/** skh_gate_reject_next() - while leaving, remove one queued attempt to be rejected; 0 for none */
uint64_t skh_gate_reject_next(skh_gate_t *gate);

/** skh_gate_open() - admit attempts, unless leaving */
void skh_gate_open(skh_gate_t *gate);

/** skh_gate_phase() - starting, ready or leaving; reported to entries */
skh_phase_t skh_gate_phase(const skh_gate_t *gate);

/** skh_gate_running() - number of attempts that run */
uint32_t skh_gate_running(const skh_gate_t *gate);

/** skh_gate_queued() - number of queued attempts */
uint32_t skh_gate_queued(const skh_gate_t *gate);

/** skh_gate_retained() - number of attempts with a record, also ended ones */
size_t skh_gate_retained(const skh_gate_t *gate);

#ifdef __cplusplus
}
#endif
#endif
