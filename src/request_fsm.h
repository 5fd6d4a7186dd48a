#ifndef SKH_REQUEST_FSM_H
#define SKH_REQUEST_FSM_H

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

typedef enum skh_request_fsm_state {
	SKH_REQUEST_FSM_DISPATCHING, /* no attempt is out */
	SKH_REQUEST_FSM_SENT,	     /* handed over; not known to have started */
	SKH_REQUEST_FSM_RUNNING,     /* known to have started */
	SKH_REQUEST_FSM_ENDED
} skh_request_fsm_state_t;

/** enum skh_sidecar_loss - what shows that a sidecar is gone */
typedef enum skh_sidecar_loss {
	SKH_SIDECAR_LOSS_SILENT,   /* nothing is heard: a stall or the network, it may come back */
	SKH_SIDECAR_LOSS_CLOSED,   /* its connection is closed */
	SKH_SIDECAR_LOSS_REPLACED, /* another process answers in its place */
} skh_sidecar_loss_t;

/** enum skh_request_action - what the owner does next */
typedef enum skh_request_action {
	SKH_REQUEST_ACTION_DISPATCH, /* choose a sidecar and hand an attempt over */
	SKH_REQUEST_ACTION_WAIT,     /* wait for the next event or the deadline */
	SKH_REQUEST_ACTION_FORWARD,  /* pass the piece on to the caller, then wait */
	SKH_REQUEST_ACTION_FINISH,   /* the answer is whole */
	SKH_REQUEST_ACTION_FAIL	     /* answer with @error */
} skh_request_action_t;

/**
 * struct skh_request_fsm - one request
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
typedef struct skh_request_fsm {
	bool idempotent;
	bool is_streaming;
	int64_t deadline_us;
	skh_request_fsm_state_t state;
	uint64_t attempt;
	uint64_t next_seq;
	uint64_t forwarded_events;
	uint32_t dispatches;
	bool may_queue;
	uint32_t overload_rejections;
	uint32_t losses;
	uint32_t silent_losses;
	bool may_have_run;
	bool has_run;
	skh_error_t error;
} skh_request_fsm_t;

#define SKH_REQUEST_FSM_MAX_DISPATCHES		16
#define SKH_REQUEST_FSM_MAX_LOSSES		2
#define SKH_REQUEST_FSM_MAX_SILENT_LOSSES	3
#define SKH_REQUEST_FSM_MAX_OVERLOAD_REJECTIONS 2

void skh_request_fsm_init(skh_request_fsm_t *relay, bool idempotent, bool stream,
			  int64_t deadline_us);

/** skh_request_fsm_on_sent() - attempt @attempt was handed over */
void skh_request_fsm_on_sent(skh_request_fsm_t *relay, uint64_t attempt);

/** skh_request_fsm_on_dispatch_failed() - no sidecar could be given the attempt, because of @err */
skh_request_action_t skh_request_fsm_on_dispatch_failed(skh_request_fsm_t *relay,
							const skh_error_t *err);

skh_request_action_t skh_request_fsm_on_started(skh_request_fsm_t *relay, uint64_t attempt);
skh_request_action_t skh_request_fsm_on_data(skh_request_fsm_t *relay, uint64_t attempt,
					     uint64_t seq, uint32_t events);
skh_request_action_t skh_request_fsm_on_end(skh_request_fsm_t *relay, uint64_t attempt,
					    uint64_t pieces, const skh_error_t *fault);
skh_request_action_t skh_request_fsm_on_rejected(skh_request_fsm_t *relay, uint64_t attempt,
						 const skh_error_t *err);

/** skh_request_fsm_on_lost() - the sidecar of @attempt is gone */
skh_request_action_t skh_request_fsm_on_lost(skh_request_fsm_t *relay, uint64_t attempt,
					     skh_sidecar_loss_t loss);

/** skh_request_fsm_on_deadline() - the deadline has passed */
skh_request_action_t skh_request_fsm_on_deadline(skh_request_fsm_t *relay);

/** skh_request_fsm_run_state() - what is known now about whether the request ran */
skh_run_state_t skh_request_fsm_run_state(const skh_request_fsm_t *relay);

#ifdef __cplusplus
}
#endif
#endif
