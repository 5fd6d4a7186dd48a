#ifndef SKH_GATE_H
#define SKH_GATE_H

/**
 * DOC: Gate
 *
 * What a sidecar lets through to its backend server, as pure state. The gate
 * keeps its word: an attempt that it refused is never started, though the
 * request arrives again or late, and an attempt is started at most once.
 *
 * Memory is bounded without trust in clocks: each attempt names the last
 * moment, on this sidecar's own clock, at which it may start. What became of it
 * is remembered for SKH_GATE_RETENTION_US longer. Until then a late copy that is
 * not known here never ran and is refused; of a later one nothing is known, and
 * nothing is said.
 */

#include "error.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_GATE_RETENTION_US ((int64_t)60 * 1000000)

typedef struct skh_gate skh_gate_t;

typedef enum skh_gate_decision {
	SKH_GATE_DECISION_START,	  /* hand it to the backend server now */
	SKH_GATE_DECISION_QUEUE,	  /* kept; skh_gate_start_next() brings it up */
	SKH_GATE_DECISION_REJECT,	  /* tell the entry why; it will not run */
	SKH_GATE_DECISION_IGNORE,	  /* decided before, or too late to tell; say nothing */
	SKH_GATE_DECISION_ALREADY_STARTED /* too late to take back: it was started */
} skh_gate_decision_t;

/** enum skh_attempt_status - what became of an attempt */
typedef enum skh_attempt_status {
	SKH_ATTEMPT_STATUS_WAITING,
	SKH_ATTEMPT_STATUS_RUNNING,
	SKH_ATTEMPT_STATUS_ENDED,
	SKH_ATTEMPT_STATUS_REJECTED, /* it did not start and never will */
	SKH_ATTEMPT_STATUS_UNKNOWN   /* too long ago to tell */
} skh_attempt_status_t;

/**
 * skh_gate_new() - an open gate
 * @capacity: attempts that run at once
 * @queue: attempts that wait at most
 * @incarnation: number of this sidecar process
 */
skh_gate_t *skh_gate_new(uint32_t capacity, uint32_t queue, uint64_t incarnation);
void skh_gate_free(skh_gate_t *gate);

/**
 * skh_gate_admit() - an attempt arrives
 *
 * One that asks not to queue is refused unless it can start at once, so that
 * its entry may try a server that has room.
 * Return: the verdict; @err is filled for SKH_GATE_DECISION_REJECT.
 */
skh_gate_decision_t skh_gate_admit(skh_gate_t *gate, const Skh__Start *start, int64_t now_us,
				   skh_error_t *err);

/**
 * skh_gate_pop_evicted() - a waiting attempt that had to make room; 0 for none
 *
 * In a full queue an attempt of a customer over its share is refused when one
 * of a customer under its share arrives. Ask after each skh_gate_admit().
 */
uint64_t skh_gate_pop_evicted(skh_gate_t *gate);

/**
 * skh_gate_cancel() - the entry no longer wants @attempt
 * Return: SKH_GATE_DECISION_ALREADY_STARTED when it runs, SKH_GATE_DECISION_REJECT when it was
 * waiting and now never starts, else SKH_GATE_DECISION_IGNORE.
 */
skh_gate_decision_t skh_gate_cancel(skh_gate_t *gate, uint64_t attempt);

/**
 * skh_gate_resolve() - what became of @attempt
 *
 * @incarnation: the sidecar process that it was meant for
 *
 * One that never arrived is fenced: it will not start if it arrives later.
 * Of what an earlier process did, nothing is known.
 * Return: what the entry may be told.
 */
skh_attempt_status_t skh_gate_resolve(skh_gate_t *gate, uint64_t attempt, uint64_t incarnation,
				      int64_t start_before_us, int64_t now_us);

/**
 * skh_gate_finish() - @attempt no longer runs
 * @started: false when it was stopped before the backend server got it
 */
void skh_gate_finish(skh_gate_t *gate, uint64_t attempt, bool started);

/**
 * skh_gate_start_next() - waiting attempt to start now; 0 for none
 *
 * By priority, which rises with the time spent waiting; among equals by the
 * customers' weights (fair_queue.h); then by age.
 */
uint64_t skh_gate_start_next(skh_gate_t *gate, int64_t now_us);

/**
 * skh_gate_expire_next() - one waiting attempt that may no longer start; 0 for none
 * Also forgets what no longer needs remembering.
 */
uint64_t skh_gate_expire_next(skh_gate_t *gate, int64_t now_us);

/**
 * skh_gate_clear_suspect() - the suspect @attempt has run past where it was suspected
 *
 * A gate runs one suspect at a time; from now on another may start.
 */
void skh_gate_clear_suspect(skh_gate_t *gate, uint64_t attempt);

/** skh_gate_set_leaving() - take no new work while @leaving */
void skh_gate_set_leaving(skh_gate_t *gate, bool leaving);

/** skh_gate_reject_next() - while leaving: one waiting attempt, refused; 0 for none */
uint64_t skh_gate_reject_next(skh_gate_t *gate);

/** skh_gate_open() - let work through once the process is ready */
void skh_gate_open(skh_gate_t *gate);

skh_phase_t skh_gate_phase(const skh_gate_t *gate);
uint32_t skh_gate_running(const skh_gate_t *gate);
uint32_t skh_gate_queued(const skh_gate_t *gate);
size_t skh_gate_retained(const skh_gate_t *gate);

#ifdef __cplusplus
}
#endif
#endif
