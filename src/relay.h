#ifndef SKH_RELAY_H
#define SKH_RELAY_H

/**
 * DOC: Relay
 *
 * The life of one request at an entry, as a pure state machine: which attempt
 * counts, which frames are late, when an attempt may be repeated or resumed,
 * and what is known about whether the request ran.
 *
 * Rules: silence never proves "not run"; only an attempt that was not handed
 * over, or the sidecar's refusal, does. A non-idempotent request is handed
 * over again only after such proof.
 */

#include "error.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_relay_state {
	SKH_RELAY_PLACING, /* no attempt is out */
	SKH_RELAY_SENT,	   /* handed over; not known to have started */
	SKH_RELAY_RUNNING, /* known to have started */
	SKH_RELAY_ENDED
} skh_relay_state_t;

/** enum skh_loss - what shows that a sidecar is gone */
typedef enum skh_loss {
	SKH_LOSS_SILENT,   /* nothing is heard: a stall or the network, it may come back */
	SKH_LOSS_CLOSED,   /* its connection is closed */
	SKH_LOSS_REPLACED, /* another process answers in its place */
} skh_loss_t;

/** enum skh_action - what the owner does next */
typedef enum skh_action {
	SKH_ACT_PLACE,	 /* choose a sidecar and hand an attempt over */
	SKH_ACT_WAIT,	 /* wait for the next event or the deadline */
	SKH_ACT_FORWARD, /* pass the piece on to the caller, then wait */
	SKH_ACT_FINISH,	 /* the answer is whole */
	SKH_ACT_FAIL	 /* answer with @error */
} skh_action_t;

/**
 * struct skh_relay - one request
 * @idempotent: may be handed over again when its outcome is unknown
 * @stream: pieces reach the caller as they come; otherwise they are kept back
 * @deadline_us: when the caller's answer must be whole
 * @attempt: the attempt whose frames count; 0 for none
 * @next_seq: number of the next piece of @attempt
 * @events: whole stream events passed on to the caller
 * @placements: attempts handed over so far
 * @may_queue: no more looking for a free server: attempts may wait in line
 * @overloads: refusals for want of room since then
 * @losses: attempts that were lost after they were handed over, with their server
 * @silences: attempts given up because nothing was heard
 * @may_have_run: an earlier attempt was lost without proof that it did not run
 * @has_run: an earlier attempt, or the one that ended, is known to have run
 * @error: why the request failed
 */
typedef struct skh_relay {
	bool idempotent;
	bool stream;
	int64_t deadline_us;
	skh_relay_state_t state;
	uint64_t attempt;
	uint64_t next_seq;
	uint64_t events;
	uint32_t placements;
	bool may_queue;
	uint32_t overloads;
	uint32_t losses;
	uint32_t silences;
	bool may_have_run;
	bool has_run;
	skh_error_t error;
} skh_relay_t;

#define SKH_RELAY_MAX_PLACEMENTS 16
#define SKH_RELAY_MAX_LOSSES	 2
#define SKH_RELAY_MAX_SILENCES	 3
#define SKH_RELAY_MAX_OVERLOADS	 2

void skh_relay_init(skh_relay_t *relay, bool idempotent, bool stream, int64_t deadline_us);

/** skh_relay_sent() - attempt @attempt was handed over */
void skh_relay_sent(skh_relay_t *relay, uint64_t attempt);

/** skh_relay_not_placed() - no sidecar could be given the attempt, because of @err */
skh_action_t skh_relay_not_placed(skh_relay_t *relay, const skh_error_t *err);

skh_action_t skh_relay_started(skh_relay_t *relay, uint64_t attempt);
skh_action_t skh_relay_data(skh_relay_t *relay, uint64_t attempt, uint64_t seq, uint32_t events);
skh_action_t skh_relay_end(skh_relay_t *relay, uint64_t attempt, uint64_t pieces,
			   const skh_error_t *fault);
skh_action_t skh_relay_refused(skh_relay_t *relay, uint64_t attempt, const skh_error_t *err);

/** skh_relay_lost() - the sidecar of @attempt is gone */
skh_action_t skh_relay_lost(skh_relay_t *relay, uint64_t attempt, skh_loss_t loss);

/** skh_relay_timeout() - the deadline has passed */
skh_action_t skh_relay_timeout(skh_relay_t *relay);

/** skh_relay_run() - what is known now about whether the request ran */
skh_run_t skh_relay_run(const skh_relay_t *relay);

#ifdef __cplusplus
}
#endif
#endif
