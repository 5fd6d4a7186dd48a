#include "serve.h"

#include "clock.h"
#include "decisions.h"
#include "log.h"
#include "metrics.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#define PART		      "serve"
#define STREAM_TYPE	      "text/event-stream"
#define HTTP_OK		      200
#define RETRY_BUDGET_PAUSE_US (100 * SKH_US_PER_MS)
/* The begin of a planned stop is noticed after this time. */
#define STOP_CHECK_INTERVAL_US (100 * SKH_US_PER_MS)
#define MIN_START_WINDOW_US    (1 * SKH_US_PER_S)
#define CREDIT_BATCH_BYTES     (32U << 10)
#define MAX_BUFFERED_BYTES     (64U << 20)
#define DEFAULT_RETRY_AFTER_US (1 * SKH_US_PER_S)

/* Local state of skh_serve_request(). */
typedef struct serving {
	skh_link_t *link;
	skh_quarantine_t *quarantine;
	const skh_entry_request_t *request;
	skh_response_sink_t *sink;
	skh_request_fsm_t fsm;
	skh_inbox_t *inbox;
	skh_peer_query_t query;
	skh_dispatched_attempt_t dispatched;
	bool is_attempt_lost;  /* the last attempt may have run; a retry needs the budget */
	bool has_open_attempt; /* @dispatched is not released yet */
	char tried[SKH_PEER_QUERY_MAX_TRIED][SKH_WIRE_MAX_NAME_BYTES + 1];
	/* For each of @tried: the sidecar rejected the attempt as overloaded. */
	bool was_overloaded[SKH_PEER_QUERY_MAX_TRIED];
	int32_t status;
	char content_type[SKH_WIRE_MAX_NAME_BYTES + 1];
	bool has_begun; /* the caller has received the start of the stream */
	bool is_caller_disconnected;
	bool is_too_long;	   /* the response exceeds MAX_BUFFERED_BYTES */
	bool is_replayed;	   /* the response was recorded by an earlier run */
	skh_buffer_t body;	   /* response that is not streamed */
	uint32_t uncredited_bytes; /* received since the last credit */
	uint64_t content_hash;	   /* hash of the request without its id; 0 until computed */
	bool is_suspect;	   /* a crash is recorded for @content_hash */
} serving_t;

static int64_t start_deadline_us(const skh_entry_request_t *request, int64_t now_us)
{
	int64_t remaining_us = request->deadline_us - now_us;

	/* A queued attempt is rejected at half of the remaining time, to be retried elsewhere. */
	return MIN(now_us + MAX(remaining_us / 2, MIN_START_WINDOW_US), request->deadline_us);
}

static void record_tried(serving_t *serving)
{
	size_t index = serving->query.n_tried;

	if (index == SKH_PEER_QUERY_MAX_TRIED)
		return;
	(void)g_strlcpy(serving->tried[index], serving->dispatched.peer_id,
			sizeof(serving->tried[index]));
	serving->was_overloaded[index] = false;
	serving->query.tried[index] = serving->tried[index];
	serving->query.n_tried++;
}

/* Makes the sidecars that rejected the request as overloaded eligible again, now to queue it. */
static void allow_queueing(serving_t *serving)
{
	size_t n_kept = 0;

	for (size_t i = 0; i < serving->query.n_tried; i++) {
		if (serving->was_overloaded[i])
			continue;
		memmove(serving->tried[n_kept], serving->tried[i], sizeof(serving->tried[i]));
		serving->was_overloaded[n_kept] = false;
		serving->query.tried[n_kept] = serving->tried[n_kept];
		n_kept++;
	}
	serving->query.n_tried = n_kept;
	serving->fsm.may_queue = true;
}

static void release_attempt(serving_t *serving, bool succeeded, bool cancel)
{
	if (!serving->has_open_attempt)
		return;
	skh_link_release(serving->link, &serving->dispatched, succeeded, cancel);
	serving->has_open_attempt = false;
}

static void fill_start(const serving_t *serving, Skh__Start *start)
{
	const skh_entry_request_t *request = serving->request;

	start->request = (char *)request->request_id;
	start->customer = (char *)request->customer;
	start->priority = request->priority;
	start->weight = request->weight;
	start->service = (char *)request->service;
	start->method = (char *)request->method;
	start->path = (char *)request->path;
	start->content_type = (char *)request->content_type;
	start->body.data = (uint8_t *)request->body.data;
	start->body.len = request->body.len;
	start->stream = request->is_streaming;
	start->resume_from = serving->has_begun ? serving->fsm.forwarded_events : 0;
	start->idempotent = request->is_idempotent;
	start->key = (char *)request->idempotency_key;
}

static void count_dispatch(const serving_t *serving)
{
	if (serving->is_attempt_lost)
		skh_metrics_add(SKH_COUNT_RETRIES, 1);
	else if (serving->fsm.dispatches > 0)
		skh_metrics_add(SKH_COUNT_PROBES, 1);
	if (serving->has_begun)
		skh_metrics_add(SKH_COUNT_RESUMES, 1);
}

static bool check_quarantine(serving_t *serving, Skh__Start *start, skh_error_t *err)
{
	skh_suspect_state_t state;

	if (serving->content_hash == 0)
		serving->content_hash = skh_wire_hash_request(start) | 1;
	state = skh_quarantine_get_state(serving->quarantine, serving->content_hash);
	serving->is_suspect = state != SKH_SUSPECT_STATE_CLEAR;
	start->suspect = serving->is_suspect;
	if (state != SKH_SUSPECT_STATE_QUARANTINED)
		return true;
	skh_metrics_add(SKH_COUNT_QUARANTINED, 1);
	return skh_error_set(
		err, SKH_QUARANTINED,
		"the request is quarantined: backend servers crashed while they ran it");
}

static bool send_attempt(serving_t *serving, Skh__Start *start, int64_t now_us, skh_error_t *err)
{
	const skh_entry_request_t *request = serving->request;

	if (serving->query.n_tried >= SKH_MAX_NO_QUEUE_ATTEMPTS && !serving->fsm.may_queue)
		allow_queueing(serving);
	for (;;) {
		start->no_queue = !serving->fsm.may_queue;
		if (skh_link_dispatch(serving->link, &serving->query, start,
				      start_deadline_us(request, now_us), request->deadline_us,
				      serving->inbox, &serving->dispatched, err))
			return true;
		if (err->kind != SKH_NO_BACKEND || serving->fsm.may_queue)
			return false;
		allow_queueing(serving);
	}
}

static skh_request_action_t dispatch(serving_t *serving)
{
	const skh_entry_request_t *request = serving->request;
	Skh__Start start = SKH__START__INIT;
	int64_t now_us = skh_clock_now_us();
	skh_error_t err;

	if (now_us >= request->deadline_us)
		return skh_request_fsm_on_deadline(&serving->fsm);
	/* Discards an earlier attempt's response if the caller has received none of it. */
	if (!serving->has_begun) {
		skh_buffer_clear(&serving->body);
		serving->fsm.forwarded_events = 0;
		serving->status = 0;
	}
	fill_start(serving, &start);
	if (!check_quarantine(serving, &start, &err))
		return skh_request_fsm_on_dispatch_failed(&serving->fsm, &err);
	if (!send_attempt(serving, &start, now_us, &err))
		return skh_request_fsm_on_dispatch_failed(&serving->fsm, &err);
	serving->has_open_attempt = true;
	record_tried(serving);
	count_dispatch(serving);
	skh_request_fsm_on_sent(&serving->fsm, serving->dispatched.attempt);
	return SKH_REQUEST_ACTION_WAIT;
}

static bool is_streamed(const serving_t *serving)
{
	return serving->request->is_streaming && serving->status == HTTP_OK &&
	       g_str_has_prefix(serving->content_type, STREAM_TYPE);
}

static void return_credit(serving_t *serving, size_t bytes)
{
	serving->uncredited_bytes += (uint32_t)bytes;
	if (serving->uncredited_bytes < CREDIT_BATCH_BYTES)
		return;
	skh_link_send_credit(serving->link, &serving->dispatched, serving->uncredited_bytes);
	serving->uncredited_bytes = 0;
}

static void observe_first_byte(const serving_t *serving)
{
	skh_metrics_observe(SKH_HIST_FIRST_BYTE, serving->request->customer,
			    serving->request->priority_name,
			    skh_clock_now_us() - serving->request->received_us);
}

static void save_response_head(serving_t *serving, const Skh__Data *data)
{
	if (serving->status != 0 || data->http_status == 0)
		return;
	serving->status = (int32_t)data->http_status;
	(void)g_strlcpy(serving->content_type, data->content_type, sizeof(serving->content_type));
}

static void forward_data(serving_t *serving, const Skh__Data *data)
{
	skh_chunk_t bytes = skh_chunk_make(data->bytes.data, data->bytes.len);

	save_response_head(serving, data);
	if (is_streamed(serving)) {
		if (!serving->has_begun) {
			observe_first_byte(serving);
			serving->has_begun = true;
			serving->is_caller_disconnected = !serving->sink->ops->begin(
				serving->sink, serving->status, serving->content_type);
		}
		if (!serving->is_caller_disconnected)
			serving->is_caller_disconnected =
				!serving->sink->ops->write(serving->sink, bytes);
		skh_metrics_add(SKH_COUNT_STREAM_EVENTS, data->events);
	} else {
		skh_buffer_append(&serving->body, bytes);
		serving->is_too_long = serving->body.len > MAX_BUFFERED_BYTES;
	}
	return_credit(serving, bytes.len);
}

static skh_request_action_t on_end(serving_t *serving, const Skh__End *end)
{
	skh_error_t err;

	serving->is_replayed = end->replayed;
	if (end->whole)
		return skh_request_fsm_on_end(&serving->fsm, end->attempt, end->pieces, NULL);
	(void)skh_error_set(&err, skh_error_kind_from_name(end->kind), "%s", end->text);
	return skh_request_fsm_on_end(&serving->fsm, end->attempt, end->pieces, &err);
}

static skh_request_action_t on_reject(serving_t *serving, const Skh__Refuse *refuse)
{
	skh_error_t err;

	(void)skh_error_set(&err, skh_error_kind_from_name(refuse->kind), "%s", refuse->text);
	if (err.kind == SKH_OVERLOADED && !serving->fsm.may_queue && serving->query.n_tried > 0)
		serving->was_overloaded[serving->query.n_tried - 1] = true;
	if (skh_error_kind_is_retryable(err.kind))
		err.retry_at_us =
			skh_clock_now_us() + (refuse->retry_after_us > 0 ? refuse->retry_after_us
									 : DEFAULT_RETRY_AFTER_US);
	return skh_request_fsm_on_rejected(&serving->fsm, refuse->attempt, &err);
}

static skh_request_action_t on_frame(serving_t *serving, const Skh__Frame *frame)
{
	skh_request_action_t action = SKH_REQUEST_ACTION_WAIT;

	switch (frame->body_case) {
	case SKH__FRAME__BODY_STARTED:
		return skh_request_fsm_on_started(&serving->fsm, frame->started->attempt);
	case SKH__FRAME__BODY_DATA:
		action = skh_request_fsm_on_data(&serving->fsm, frame->data->attempt,
						 frame->data->seq, frame->data->events);
		if (action == SKH_REQUEST_ACTION_FORWARD) {
			forward_data(serving, frame->data);
			action = SKH_REQUEST_ACTION_WAIT;
		}
		return action;
	case SKH__FRAME__BODY_END:
		return on_end(serving, frame->end);
	case SKH__FRAME__BODY_REFUSE:
		return on_reject(serving, frame->refuse);
	default:
		return SKH_REQUEST_ACTION_WAIT;
	}
}

/* Return: true when @event proves that the attempt did not run: rejected or not sent. */
static bool is_rejection(const skh_attempt_event_t *event)
{
	if (event->type == SKH_ATTEMPT_EVENT_FRAME)
		return event->frame->body_case == SKH__FRAME__BODY_REFUSE;
	return event->type == SKH_ATTEMPT_EVENT_NOT_SENT;
}

/*
 * Return: id of the crash that @event reports for the current attempt; 0 for none. The crash of a
 * lost sidecar has its incarnation as id, the same for all requests that were running there.
 */
static uint64_t get_crash_id(const serving_t *serving, const skh_attempt_event_t *event)
{
	if (event->attempt != serving->dispatched.attempt)
		return 0;
	if (event->type == SKH_ATTEMPT_EVENT_LOST && event->loss != SKH_SIDECAR_LOSS_SILENT)
		return serving->dispatched.incarnation;
	if (event->type == SKH_ATTEMPT_EVENT_FRAME &&
	    event->frame->body_case == SKH__FRAME__BODY_END)
		return event->frame->end->crash;
	return 0;
}

static void record_crash(serving_t *serving, const skh_attempt_event_t *event)
{
	uint64_t crash_id = get_crash_id(serving, event);

	if (crash_id == 0 || !serving->has_open_attempt)
		return;
	skh_quarantine_record_crash(serving->quarantine, serving->content_hash, crash_id);
	serving->is_suspect = true;
}

/* In a planned stop, what is unfinished is answered while its response can still be sent. */
static int64_t find_deadline_us(const serving_t *serving)
{
	skh_lifecycle_t lifecycle = skh_board_get_lifecycle(serving->request->board);

	if (lifecycle.state == SKH_LIFECYCLE_SERVING)
		return serving->fsm.deadline_us;
	return MIN(serving->fsm.deadline_us, lifecycle.answer_by_us);
}

/* Returns NULL at the deadline, which the begin of a planned stop may bring forward. */
static skh_attempt_event_t *wait_for_event(const serving_t *serving)
{
	skh_attempt_event_t *event = NULL;

	while (!event && skh_clock_now_us() < find_deadline_us(serving))
		event = skh_inbox_pop(serving->inbox,
				      MIN(find_deadline_us(serving),
					  skh_clock_now_us() + STOP_CHECK_INTERVAL_US));
	return event;
}

static skh_request_action_t handle_next_event(serving_t *serving)
{
	skh_attempt_event_t *event = wait_for_event(serving);
	skh_request_action_t action = SKH_REQUEST_ACTION_WAIT;

	if (!event)
		return skh_request_fsm_on_deadline(&serving->fsm);
	record_crash(serving, event);
	switch (event->type) {
	case SKH_ATTEMPT_EVENT_FRAME:
		action = on_frame(serving, event->frame);
		break;
	case SKH_ATTEMPT_EVENT_NOT_SENT:
		action = skh_request_fsm_on_rejected(&serving->fsm, event->attempt, &event->err);
		break;
	case SKH_ATTEMPT_EVENT_LOST:
		action = skh_request_fsm_on_lost(&serving->fsm, event->attempt, event->loss);
		break;
	}
	serving->is_attempt_lost = action == SKH_REQUEST_ACTION_DISPATCH && !is_rejection(event);
	/* A rejection is no failure of the sidecar; a loss or an error counts against it. */
	if (action == SKH_REQUEST_ACTION_DISPATCH || action == SKH_REQUEST_ACTION_FAIL)
		release_attempt(serving, is_rejection(event),
				event->type == SKH_ATTEMPT_EVENT_LOST);
	skh_attempt_event_free(event);
	return action;
}

static bool finish_response(serving_t *serving)
{
	skh_response_sink_t *sink = serving->sink;

	release_attempt(serving, true, false);
	if (serving->is_suspect)
		(void)skh_quarantine_clear(serving->quarantine, serving->content_hash);
	if (serving->has_begun)
		return sink->ops->end(sink);
	observe_first_byte(serving);
	return sink->ops->send_complete(sink, serving->status ? serving->status : HTTP_OK,
					serving->content_type, skh_buffer_chunk(&serving->body),
					serving->is_replayed);
}

/* Sets the error for an end outside the state machine: caller disconnected or response too long. */
static void set_abort_error(serving_t *serving)
{
	skh_error_t *err = &serving->fsm.error;

	if (serving->is_too_long)
		(void)skh_error_set(err, SKH_BACKEND_FAILED,
				    "the response exceeds the entry's buffer limit");
	else
		(void)skh_error_set(err, SKH_CANCELLED, "the caller closed the connection");
	err->run_state = skh_request_fsm_run_state(&serving->fsm);
}

/*
 * Waits until the budget allows a retry. The interval is random, so that requests that were lost
 * together aren't retried at the same moment.
 */
static void wait_for_retry_budget(const serving_t *serving)
{
	const skh_entry_request_t *request = serving->request;

	while (skh_clock_now_us() < request->deadline_us &&
	       !skh_link_acquire_retry(serving->link, request->customer)) {
		skh_metrics_add(SKH_COUNT_RETRIES_HELD, 1);
		(void)usleep((useconds_t)(RETRY_BUDGET_PAUSE_US / 2 +
					  skh_random_u64() % RETRY_BUDGET_PAUSE_US));
	}
}

static bool run_request(serving_t *serving)
{
	skh_request_action_t action = SKH_REQUEST_ACTION_DISPATCH;

	while (!serving->is_caller_disconnected && !serving->is_too_long) {
		if (action == SKH_REQUEST_ACTION_DISPATCH) {
			if (serving->is_attempt_lost)
				wait_for_retry_budget(serving);
			action = dispatch(serving);
		} else if (action == SKH_REQUEST_ACTION_FINISH) {
			return finish_response(serving);
		} else if (action == SKH_REQUEST_ACTION_FAIL) {
			return false;
		} else {
			action = handle_next_event(serving);
		}
	}
	set_abort_error(serving);
	return false;
}

static void count_result(const serving_t *serving, bool is_complete)
{
	const skh_entry_request_t *request = serving->request;

	skh_metrics_add(is_complete ? SKH_COUNT_ANSWERS_WHOLE : SKH_COUNT_ANSWERS_FAILED, 1);
	if (!is_complete && serving->fsm.error.run_state == SKH_RUN_UNKNOWN)
		skh_metrics_add(SKH_COUNT_UNKNOWN, 1);
	skh_metrics_observe(SKH_HIST_ANSWER, request->customer, request->priority_name,
			    skh_clock_now_us() - request->received_us);
	skh_log(SKH_LOG_DEBUG, PART, is_complete ? "Request succeeded." : "Request failed.",
		"request=%s customer=%s service=%s placements=%u kind=%s run=%s reason=%s",
		request->request_id, request->customer, request->service, serving->fsm.dispatches,
		is_complete ? "ok" : skh_error_kind_name(serving->fsm.error.kind),
		is_complete ? "ran" : skh_run_state_name(serving->fsm.error.run_state),
		is_complete ? "" : serving->fsm.error.text);
}

bool skh_serve_request(skh_link_t *link, skh_quarantine_t *quarantine,
		       const skh_entry_request_t *request, skh_response_sink_t *sink,
		       skh_error_t *result)
{
	serving_t serving = {
		.link = link,
		.quarantine = quarantine,
		.request = request,
		.sink = sink,
		.body = SKH_BUFFER_INIT,
	};
	bool is_complete;

	skh_request_fsm_init(&serving.fsm, request->is_idempotent, request->is_streaming,
			     request->deadline_us);
	serving.inbox = skh_inbox_new();
	serving.query.service = request->service;
	serving.query.failure_domain = request->failure_domain;
	serving.query.prefix_hash = request->prefix_hash;
	serving.query.prefix_share =
		skh_link_record_request(link, request->customer, request->prefix_hash);
	is_complete = run_request(&serving);
	if (!is_complete && serving.fsm.error.kind == SKH_OK)
		set_abort_error(&serving);
	release_attempt(&serving, true, !is_complete);
	skh_link_record_end(link, request->customer);
	if (!is_complete && serving.fsm.error.kind != SKH_CANCELLED)
		sink->ops->fail(sink, &serving.fsm.error);
	count_result(&serving, is_complete);
	*result = serving.fsm.error;
	skh_decisions_record(request->request_id, request->customer, request->service,
			     serving.query.tried, serving.query.n_tried, result);
	skh_inbox_free(serving.inbox);
	skh_buffer_free(&serving.body);
	return is_complete;
}
