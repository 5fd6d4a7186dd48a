#ifndef SKH_REQUEST_FSM_H
#define SKH_REQUEST_FSM_H

/**
 * DOC: Request state machine
 *
 * The state of one request at an entry: which attempt is current, which frames
 * belong to earlier attempts, when a request is retried or a stream resumed, and
 * what is known about whether the request ran. Pure state without I/O; the
 * owner reports events, carries out the returned action and serialises calls.
 * Times are in microseconds on the entry's monotonic clock.
 *
 * Only an attempt that was never sent, or a rejection by the sidecar, proves
 * that the request did not run; a missing response never does. A non-idempotent
 * request is dispatched again only after such proof, so that it runs at most
 * once.
 */

#include "error.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_request_fsm_state {
	SKH_REQUEST_FSM_DISPATCHING, /* no current attempt */
	SKH_REQUEST_FSM_SENT,	     /* attempt sent; not known to have started */
	SKH_REQUEST_FSM_RUNNING,     /* attempt known to have started */
	SKH_REQUEST_FSM_ENDED	     /* finished or failed; later events are ignored */
} skh_request_fsm_state_t;

/** enum skh_sidecar_loss - how the loss of a sidecar was detected */
typedef enum skh_sidecar_loss {
	SKH_SIDECAR_LOSS_SILENT,   /* no frame before the timeout: stall or network; may recover */
	SKH_SIDECAR_LOSS_CLOSED,   /* connection closed */
	SKH_SIDECAR_LOSS_REPLACED, /* another process has the sidecar's id */
} skh_sidecar_loss_t;

/** enum skh_request_action - what the owner has to do next */
typedef enum skh_request_action {
	SKH_REQUEST_ACTION_DISPATCH, /* select a sidecar and send it an attempt */
	SKH_REQUEST_ACTION_WAIT,     /* wait for the next event or the deadline */
	SKH_REQUEST_ACTION_FORWARD,  /* forward or buffer the data frame, then wait */
	SKH_REQUEST_ACTION_FINISH,   /* the response is complete */
	SKH_REQUEST_ACTION_FAIL	     /* respond with @error of the state machine */
} skh_request_action_t;

/**
 * struct skh_request_fsm - state of one request
 * @is_idempotent: the request may be retried when its outcome is unknown
 * @is_streaming: data is forwarded to the caller as it arrives; otherwise it is buffered
 * @deadline_us: time by which the response must be complete
 * @state: state of the current attempt
 * @attempt: id of the current attempt; frames of others are ignored; 0 for none
 * @next_seq: expected sequence number of the next data frame of @attempt
 * @forwarded_events: complete stream events forwarded to the caller; the owner resets the count
 *                    when it discards a response that the caller has not seen
 * @dispatches: attempts sent so far
 * @may_queue: set by the owner when it found no sidecar with free capacity: attempts may be queued
 * @overload_rejections: rejections as overloaded since @may_queue was set
 * @losses: attempts that were sent and then lost or failed, other than by silence
 * @silent_losses: attempts abandoned because their sidecar was silent past its timeout
 * @may_have_run: an attempt was lost or failed without proof that it did not run
 * @has_run: an earlier attempt, or the one that ended, is known to have run
 * @error: cause of the failure, once the action is SKH_REQUEST_ACTION_FAIL
 */
typedef struct skh_request_fsm {
	bool is_idempotent;
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

/* No attempt is dispatched once a counter of struct skh_request_fsm has reached its limit. */
#define SKH_REQUEST_FSM_MAX_DISPATCHES		16
#define SKH_REQUEST_FSM_MAX_LOSSES		2
#define SKH_REQUEST_FSM_MAX_SILENT_LOSSES	3
#define SKH_REQUEST_FSM_MAX_OVERLOAD_REJECTIONS 2

/** skh_request_fsm_init() - start a request without a current attempt */
void skh_request_fsm_init(skh_request_fsm_t *fsm, bool idempotent, bool is_streaming,
			  int64_t deadline_us);

/** skh_request_fsm_on_sent() - @attempt was sent and becomes the current attempt */
void skh_request_fsm_on_sent(skh_request_fsm_t *fsm, uint64_t attempt);

/**
 * skh_request_fsm_on_dispatch_failed() - no attempt could be sent
 * @err: the cause, copied into the request's error
 * Return: SKH_REQUEST_ACTION_FAIL.
 */
skh_request_action_t skh_request_fsm_on_dispatch_failed(skh_request_fsm_t *fsm,
							const skh_error_t *err);

/*
 * Events of an attempt. Each function ignores an attempt that is not current and then returns
 * SKH_REQUEST_ACTION_WAIT; else it returns the next action.
 */

/** skh_request_fsm_on_started() - the sidecar handed @attempt to the backend server */
skh_request_action_t skh_request_fsm_on_started(skh_request_fsm_t *fsm, uint64_t attempt);

/**
 * skh_request_fsm_on_data() - a data frame of @attempt arrived
 * @seq: sequence number of the frame; a gap means that a frame was lost
 * @events: complete stream events in the frame
 */
skh_request_action_t skh_request_fsm_on_data(skh_request_fsm_t *fsm, uint64_t attempt, uint64_t seq,
					     uint32_t events);

/**
 * skh_request_fsm_on_end() - the sidecar reported the end of @attempt
 * @n_data_frames: data frames that the sidecar sent for it
 * @err: the failure; NULL when the response is complete
 */
skh_request_action_t skh_request_fsm_on_end(skh_request_fsm_t *fsm, uint64_t attempt,
					    uint64_t n_data_frames, const skh_error_t *err);

/** skh_request_fsm_on_rejected() - @attempt did not run: rejected or not sent, because of @err */
skh_request_action_t skh_request_fsm_on_rejected(skh_request_fsm_t *fsm, uint64_t attempt,
						 const skh_error_t *err);

/** skh_request_fsm_on_lost() - the sidecar of @attempt is lost */
skh_request_action_t skh_request_fsm_on_lost(skh_request_fsm_t *fsm, uint64_t attempt,
					     skh_sidecar_loss_t loss);

/** skh_request_fsm_on_deadline() - the deadline has passed; fails a request that has not ended */
skh_request_action_t skh_request_fsm_on_deadline(skh_request_fsm_t *fsm);

/** skh_request_fsm_run_state() - what is known now about whether the request ran */
skh_run_state_t skh_request_fsm_run_state(const skh_request_fsm_t *fsm);

#ifdef __cplusplus
}
#endif
#endif
