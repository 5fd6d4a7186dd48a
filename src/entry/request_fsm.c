#include "request_fsm.h"

#include <string.h>

void skh_request_fsm_init(skh_request_fsm_t *fsm, bool idempotent, bool is_streaming,
			  int64_t deadline_us)
{
	memset(fsm, 0, sizeof(*fsm));
	fsm->is_idempotent = idempotent;
	fsm->is_streaming = is_streaming;
	fsm->deadline_us = deadline_us;
}

skh_run_state_t skh_request_fsm_run_state(const skh_request_fsm_t *fsm)
{
	if (fsm->has_run || fsm->state == SKH_REQUEST_FSM_RUNNING)
		return SKH_RUN_RAN;
	return fsm->may_have_run ? SKH_RUN_UNKNOWN : SKH_RUN_NOT_RUN;
}

static skh_request_action_t fail(skh_request_fsm_t *fsm, const skh_error_t *cause)
{
	fsm->error = *cause;
	/* A failure in the middle of a stream is reported as cut off, unless the deadline passed. */
	if (fsm->is_streaming && fsm->forwarded_events > 0 && cause->kind != SKH_DEADLINE_PASSED)
		fsm->error.kind = SKH_CUT_OFF;
	fsm->error.run_state = skh_request_fsm_run_state(fsm);
	fsm->state = SKH_REQUEST_FSM_ENDED;
	fsm->attempt = 0;
	return SKH_REQUEST_ACTION_FAIL;
}

static skh_request_action_t fail_with(skh_request_fsm_t *fsm, skh_error_kind_t kind,
				      const char *text)
{
	skh_error_t err;

	(void)skh_error_set(&err, kind, "%s", text);
	return fail(fsm, &err);
}

void skh_request_fsm_on_sent(skh_request_fsm_t *fsm, uint64_t attempt)
{
	fsm->state = SKH_REQUEST_FSM_SENT;
	fsm->attempt = attempt;
	fsm->next_seq = 0;
	fsm->dispatches++;
}

skh_request_action_t skh_request_fsm_on_dispatch_failed(skh_request_fsm_t *fsm,
							const skh_error_t *err)
{
	return fail(fsm, err);
}

static bool is_current(const skh_request_fsm_t *fsm, uint64_t attempt)
{
	return attempt != 0 && fsm->attempt == attempt && fsm->state != SKH_REQUEST_FSM_ENDED;
}

static void mark_running(skh_request_fsm_t *fsm)
{
	fsm->state = SKH_REQUEST_FSM_RUNNING;
}

skh_request_action_t skh_request_fsm_on_started(skh_request_fsm_t *fsm, uint64_t attempt)
{
	if (is_current(fsm, attempt))
		mark_running(fsm);
	return SKH_REQUEST_ACTION_WAIT;
}

static skh_request_action_t redispatch(skh_request_fsm_t *fsm)
{
	fsm->state = SKH_REQUEST_FSM_DISPATCHING;
	fsm->attempt = 0;
	return SKH_REQUEST_ACTION_DISPATCH;
}

/* The current attempt may have run and has no complete response: retries or fails the request. */
static skh_request_action_t fail_attempt(skh_request_fsm_t *fsm, const skh_error_t *cause)
{
	bool was_running = fsm->state == SKH_REQUEST_FSM_RUNNING;

	fsm->state = SKH_REQUEST_FSM_DISPATCHING;
	fsm->may_have_run = true;
	if (!fsm->is_idempotent) {
		/* The attempt may have started without ending; only a claim record proves a run. */
		fsm->has_run = cause->kind == SKH_ALREADY_RAN;
		return fail(fsm, cause);
	}
	fsm->has_run = fsm->has_run || was_running;
	if (fsm->losses >= SKH_REQUEST_FSM_MAX_LOSSES ||
	    fsm->silent_losses >= SKH_REQUEST_FSM_MAX_SILENT_LOSSES ||
	    fsm->dispatches >= SKH_REQUEST_FSM_MAX_DISPATCHES)
		return fail(fsm, cause);
	return redispatch(fsm);
}

static skh_request_action_t fail_attempt_unknown(skh_request_fsm_t *fsm, const char *text)
{
	skh_error_t cause;

	(void)skh_error_set(&cause, SKH_OUTCOME_UNKNOWN, "%s", text);
	return fail_attempt(fsm, &cause);
}

skh_request_action_t skh_request_fsm_on_data(skh_request_fsm_t *fsm, uint64_t attempt, uint64_t seq,
					     uint32_t events)
{
	if (!is_current(fsm, attempt))
		return SKH_REQUEST_ACTION_WAIT;
	mark_running(fsm);
	if (seq != fsm->next_seq) {
		fsm->losses++;
		return fail_attempt_unknown(fsm,
					    "a data frame of the response was lost in transit");
	}
	fsm->next_seq++;
	fsm->forwarded_events += events;
	return SKH_REQUEST_ACTION_FORWARD;
}

skh_request_action_t skh_request_fsm_on_end(skh_request_fsm_t *fsm, uint64_t attempt,
					    uint64_t n_data_frames, const skh_error_t *err)
{
	if (!is_current(fsm, attempt))
		return SKH_REQUEST_ACTION_WAIT;
	if (!err && n_data_frames == fsm->next_seq) {
		fsm->has_run = true;
		fsm->state = SKH_REQUEST_FSM_ENDED;
		return SKH_REQUEST_ACTION_FINISH;
	}
	fsm->losses++;
	if (err)
		return fail_attempt(fsm, err);
	return fail_attempt_unknown(fsm, "a data frame of the response was lost in transit");
}

/* Rejections that depend on the state of one sidecar; another one may accept the request. */
static bool may_succeed_elsewhere(skh_error_kind_t kind)
{
	return kind == SKH_OVERLOADED || kind == SKH_NO_BACKEND || kind == SKH_LEAVING ||
	       kind == SKH_STALE || kind == SKH_NOT_READY;
}

skh_request_action_t skh_request_fsm_on_rejected(skh_request_fsm_t *fsm, uint64_t attempt,
						 const skh_error_t *err)
{
	if (!is_current(fsm, attempt))
		return SKH_REQUEST_ACTION_WAIT;
	if (err->kind == SKH_OVERLOADED && fsm->may_queue)
		fsm->overload_rejections++;
	/* When several queues are full the others probably are, too; fail without trying them. */
	if (!may_succeed_elsewhere(err->kind) ||
	    fsm->dispatches >= SKH_REQUEST_FSM_MAX_DISPATCHES ||
	    fsm->overload_rejections >= SKH_REQUEST_FSM_MAX_OVERLOAD_REJECTIONS)
		return fail(fsm, err);
	return redispatch(fsm);
}

skh_request_action_t skh_request_fsm_on_lost(skh_request_fsm_t *fsm, uint64_t attempt,
					     skh_sidecar_loss_t loss)
{
	if (!is_current(fsm, attempt))
		return SKH_REQUEST_ACTION_WAIT;
	/* A sidecar that was not replaced may still respond; a non-idempotent request waits. */
	if (loss != SKH_SIDECAR_LOSS_REPLACED && !fsm->is_idempotent) {
		fsm->may_have_run = true;
		return SKH_REQUEST_ACTION_WAIT;
	}
	/* Silence has its own limit: a stall does not suggest that the request crashes servers. */
	if (loss == SKH_SIDECAR_LOSS_SILENT)
		fsm->silent_losses++;
	else
		fsm->losses++;
	return fail_attempt_unknown(fsm, "the sidecar of the backend server was lost");
}

skh_request_action_t skh_request_fsm_on_deadline(skh_request_fsm_t *fsm)
{
	if (fsm->state == SKH_REQUEST_FSM_ENDED)
		return SKH_REQUEST_ACTION_WAIT;
	if (fsm->state == SKH_REQUEST_FSM_SENT)
		fsm->may_have_run = true;
	/* The attempt may have started without ending: whether the request ran is unknown. */
	if (fsm->state == SKH_REQUEST_FSM_RUNNING && !fsm->is_idempotent) {
		fsm->state = SKH_REQUEST_FSM_SENT;
		fsm->may_have_run = true;
	}
	return fail_with(fsm, SKH_DEADLINE_PASSED,
			 "the deadline passed before the response was complete");
}
