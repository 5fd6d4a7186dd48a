#include "serve.h"

#include "clock.h"
#include "decisions.h"
#include "log.h"
#include "metrics.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#define PART		   "serve"
#define STREAM_TYPE	   "text/event-stream"
#define HTTP_OK		   200
#define REPEAT_PAUSE_US	   (100 * SKH_US_PER_MS)
#define MIN_START_US	   (1 * SKH_US_PER_S)
#define CREDIT_BYTES	   (32U << 10)
#define MAX_BUFFERED_BYTES (64U << 20)
#define RETRY_HINT_US	   (1 * SKH_US_PER_S)

/* One request while it is being served. */
typedef struct serving {
	skh_link_t *link;
	skh_quarantine_t *quarantine;
	const skh_entry_request_t *job;
	skh_response_sink_t *sink;
	skh_request_fsm_t relay;
	skh_inbox_t *inbox;
	skh_peer_query_t query;
	skh_dispatched_attempt_t placement;
	bool lost;   /* the last attempt may have run */
	bool placed; /* @placement is not settled yet */
	char tried[SKH_PEER_QUERY_MAX_TRIED][SKH_WIRE_MAX_NAME_BYTES + 1];
	bool had_no_room[SKH_PEER_QUERY_MAX_TRIED]; /* what each of @tried said */
	int32_t status;
	char content_type[SKH_WIRE_MAX_NAME_BYTES + 1];
	bool begun; /* the caller has seen the start of the answer */
	bool caller_gone;
	bool too_long;	     /* the answer does not fit into what is kept back */
	bool replayed;	     /* the answer was recorded by an earlier run */
	skh_buffer_t kept;   /* an answer that is handed over whole */
	uint32_t uncredited; /* bytes taken since the last credit */
	uint64_t content;    /* hash of the request, whatever its id */
	bool suspect;	     /* a crash is held against @content */
} serving_t;

static int64_t start_by(const skh_entry_request_t *job, int64_t now_us)
{
	int64_t left_us = job->deadline_us - now_us;

	/* A queued attempt is handed back while there is time to place it elsewhere. */
	return MIN(now_us + MAX(left_us / 2, MIN_START_US), job->deadline_us);
}

static void note_tried(serving_t *serving)
{
	size_t n = serving->query.n_tried;

	if (n == SKH_PEER_QUERY_MAX_TRIED)
		return;
	(void)g_strlcpy(serving->tried[n], serving->placement.peer_id, sizeof(serving->tried[n]));
	serving->had_no_room[n] = false;
	serving->query.tried[n] = serving->tried[n];
	serving->query.n_tried++;
}

/* Nobody has room: from now on one of those that said so may queue the request. */
static void forget_full(serving_t *serving)
{
	size_t kept = 0;

	for (size_t i = 0; i < serving->query.n_tried; i++) {
		if (serving->had_no_room[i])
			continue;
		memmove(serving->tried[kept], serving->tried[i], sizeof(serving->tried[i]));
		serving->had_no_room[kept] = false;
		serving->query.tried[kept] = serving->tried[kept];
		kept++;
	}
	serving->query.n_tried = kept;
	serving->relay.may_queue = true;
}

static void settle(serving_t *serving, bool succeeded, bool cancel)
{
	if (!serving->placed)
		return;
	skh_link_release(serving->link, &serving->placement, succeeded, cancel);
	serving->placed = false;
}

static void fill_start(const serving_t *serving, Skh__Start *start)
{
	const skh_entry_request_t *job = serving->job;

	start->request = (char *)job->request_id;
	start->customer = (char *)job->customer;
	start->priority = job->priority;
	start->weight = job->weight;
	start->service = (char *)job->service;
	start->method = (char *)job->method;
	start->path = (char *)job->path;
	start->content_type = (char *)job->content_type;
	start->body.data = (uint8_t *)job->body.data;
	start->body.len = job->body.len;
	start->stream = job->is_streaming;
	start->resume_from = serving->begun ? serving->relay.forwarded_events : 0;
	start->idempotent = job->idempotent;
	start->key = (char *)job->idempotency_key;
}

static void count_placement(const serving_t *serving)
{
	if (serving->lost)
		skh_metrics_add(SKH_COUNT_RETRIES, 1);
	else if (serving->relay.dispatches > 0)
		skh_metrics_add(SKH_COUNT_PROBES, 1);
	if (serving->begun)
		skh_metrics_add(SKH_COUNT_RESUMES, 1);
}

static bool check_standing(serving_t *serving, Skh__Start *start, skh_error_t *err)
{
	skh_suspect_state_t standing;

	if (serving->content == 0)
		serving->content = skh_wire_hash_request(start) | 1;
	standing = skh_quarantine_get_state(serving->quarantine, serving->content);
	serving->suspect = standing != SKH_SUSPECT_STATE_CLEAR;
	start->suspect = serving->suspect;
	if (standing != SKH_SUSPECT_STATE_QUARANTINED)
		return true;
	skh_metrics_add(SKH_COUNT_QUARANTINED, 1);
	return skh_error_set(err, SKH_QUARANTINED,
			     "backend servers crashed while they ran this request");
}

static bool hand_over(serving_t *serving, Skh__Start *start, int64_t now_us, skh_error_t *err)
{
	const skh_entry_request_t *job = serving->job;

	if (serving->query.n_tried >= SKH_MAX_NO_QUEUE_ATTEMPTS && !serving->relay.may_queue)
		forget_full(serving);
	for (;;) {
		start->no_queue = !serving->relay.may_queue;
		if (skh_link_dispatch(serving->link, &serving->query, start, start_by(job, now_us),
				      job->deadline_us, serving->inbox, &serving->placement, err))
			return true;
		if (err->kind != SKH_NO_BACKEND || serving->relay.may_queue)
			return false;
		forget_full(serving);
	}
}

static skh_request_action_t place(serving_t *serving)
{
	const skh_entry_request_t *job = serving->job;
	Skh__Start start = SKH__START__INIT;
	int64_t now_us = skh_clock_now_us();
	skh_error_t err;

	if (now_us >= job->deadline_us)
		return skh_request_fsm_on_deadline(&serving->relay);
	/* What is not begun yet starts afresh: nobody has seen the old pieces. */
	if (!serving->begun) {
		skh_buffer_clear(&serving->kept);
		serving->relay.forwarded_events = 0;
		serving->status = 0;
	}
	fill_start(serving, &start);
	if (!check_standing(serving, &start, &err))
		return skh_request_fsm_on_dispatch_failed(&serving->relay, &err);
	if (!hand_over(serving, &start, now_us, &err))
		return skh_request_fsm_on_dispatch_failed(&serving->relay, &err);
	serving->placed = true;
	note_tried(serving);
	count_placement(serving);
	skh_request_fsm_on_sent(&serving->relay, serving->placement.attempt);
	return SKH_REQUEST_ACTION_WAIT;
}

static bool is_streamed(const serving_t *serving)
{
	return serving->job->is_streaming && serving->status == HTTP_OK &&
	       g_str_has_prefix(serving->content_type, STREAM_TYPE);
}

static void give_credit(serving_t *serving, size_t bytes)
{
	serving->uncredited += (uint32_t)bytes;
	if (serving->uncredited < CREDIT_BYTES)
		return;
	skh_link_send_credit(serving->link, &serving->placement, serving->uncredited);
	serving->uncredited = 0;
}

static void observe_first_byte(const serving_t *serving)
{
	skh_metrics_observe(SKH_HIST_FIRST_BYTE, serving->job->customer,
			    serving->job->priority_name,
			    skh_clock_now_us() - serving->job->accepted_at_us);
}

static void take_head(serving_t *serving, const Skh__Data *data)
{
	if (serving->status != 0 || data->http_status == 0)
		return;
	serving->status = (int32_t)data->http_status;
	(void)g_strlcpy(serving->content_type, data->content_type, sizeof(serving->content_type));
}

static void forward(serving_t *serving, const Skh__Data *data)
{
	skh_chunk_t bytes = skh_chunk_make(data->bytes.data, data->bytes.len);

	take_head(serving, data);
	if (is_streamed(serving)) {
		if (!serving->begun) {
			observe_first_byte(serving);
			serving->begun = true;
			serving->caller_gone = !serving->sink->ops->begin(
				serving->sink, serving->status, serving->content_type);
		}
		if (!serving->caller_gone)
			serving->caller_gone = !serving->sink->ops->write(serving->sink, bytes);
		skh_metrics_add(SKH_COUNT_STREAM_EVENTS, data->events);
	} else {
		skh_buffer_append(&serving->kept, bytes);
		serving->too_long = serving->kept.len > MAX_BUFFERED_BYTES;
	}
	give_credit(serving, bytes.len);
}

static skh_request_action_t on_end(serving_t *serving, const Skh__End *end)
{
	skh_error_t fault;

	serving->replayed = end->replayed;
	if (end->whole)
		return skh_request_fsm_on_end(&serving->relay, end->attempt, end->pieces, NULL);
	(void)skh_error_set(&fault, skh_error_kind_from_name(end->kind), "%s", end->text);
	return skh_request_fsm_on_end(&serving->relay, end->attempt, end->pieces, &fault);
}

static skh_request_action_t on_refuse(serving_t *serving, const Skh__Refuse *refuse)
{
	skh_error_t err;

	(void)skh_error_set(&err, skh_error_kind_from_name(refuse->kind), "%s", refuse->text);
	if (err.kind == SKH_OVERLOADED && !serving->relay.may_queue && serving->query.n_tried > 0)
		serving->had_no_room[serving->query.n_tried - 1] = true;
	if (skh_error_kind_is_retryable(err.kind))
		err.retry_at_us =
			skh_clock_now_us() +
			(refuse->retry_after_us > 0 ? refuse->retry_after_us : RETRY_HINT_US);
	return skh_request_fsm_on_rejected(&serving->relay, refuse->attempt, &err);
}

static skh_request_action_t on_frame(serving_t *serving, const Skh__Frame *frame)
{
	skh_request_action_t action = SKH_REQUEST_ACTION_WAIT;

	switch (frame->body_case) {
	case SKH__FRAME__BODY_STARTED:
		return skh_request_fsm_on_started(&serving->relay, frame->started->attempt);
	case SKH__FRAME__BODY_DATA:
		action = skh_request_fsm_on_data(&serving->relay, frame->data->attempt,
						 frame->data->seq, frame->data->events);
		if (action == SKH_REQUEST_ACTION_FORWARD) {
			forward(serving, frame->data);
			action = SKH_REQUEST_ACTION_WAIT;
		}
		return action;
	case SKH__FRAME__BODY_END:
		return on_end(serving, frame->end);
	case SKH__FRAME__BODY_REFUSE:
		return on_refuse(serving, frame->refuse);
	default:
		return SKH_REQUEST_ACTION_WAIT;
	}
}

static bool is_refusal(const skh_attempt_event_t *event)
{
	if (event->type == SKH_ATTEMPT_EVENT_FRAME)
		return event->frame->body_case == SKH__FRAME__BODY_REFUSE;
	return event->type == SKH_ATTEMPT_EVENT_NOT_SENT;
}

/* The crash that an event tells of; 0 for none. */
static uint64_t crash_in(const serving_t *serving, const skh_attempt_event_t *event)
{
	if (event->attempt != serving->placement.attempt)
		return 0;
	if (event->type == SKH_ATTEMPT_EVENT_LOST && event->loss != SKH_SIDECAR_LOSS_SILENT)
		return serving->placement.incarnation;
	if (event->type == SKH_ATTEMPT_EVENT_FRAME &&
	    event->frame->body_case == SKH__FRAME__BODY_END)
		return event->frame->end->crash;
	return 0;
}

static void note_crash(serving_t *serving, const skh_attempt_event_t *event)
{
	uint64_t crash = crash_in(serving, event);

	if (crash == 0 || !serving->placed)
		return;
	skh_quarantine_record_crash(serving->quarantine, serving->content, crash);
	serving->suspect = true;
}

static skh_request_action_t wait_one(serving_t *serving)
{
	skh_attempt_event_t *event = skh_inbox_pop(serving->inbox, serving->relay.deadline_us);
	skh_request_action_t action = SKH_REQUEST_ACTION_WAIT;

	if (!event)
		return skh_request_fsm_on_deadline(&serving->relay);
	note_crash(serving, event);
	switch (event->type) {
	case SKH_ATTEMPT_EVENT_FRAME:
		action = on_frame(serving, event->frame);
		break;
	case SKH_ATTEMPT_EVENT_NOT_SENT:
		action = skh_request_fsm_on_rejected(&serving->relay, event->attempt, &event->err);
		break;
	case SKH_ATTEMPT_EVENT_LOST:
		action = skh_request_fsm_on_lost(&serving->relay, event->attempt, event->loss);
		break;
	}
	serving->lost = action == SKH_REQUEST_ACTION_DISPATCH && !is_refusal(event);
	/* A refusal is an honest answer; a loss or a fault counts against the sidecar. */
	if (action == SKH_REQUEST_ACTION_DISPATCH || action == SKH_REQUEST_ACTION_FAIL)
		settle(serving, is_refusal(event), event->type == SKH_ATTEMPT_EVENT_LOST);
	skh_attempt_event_free(event);
	return action;
}

static bool finish(serving_t *serving)
{
	skh_response_sink_t *sink = serving->sink;

	settle(serving, true, false);
	if (serving->suspect)
		(void)skh_quarantine_clear(serving->quarantine, serving->content);
	if (serving->begun)
		return sink->ops->end(sink);
	observe_first_byte(serving);
	return sink->ops->send_complete(sink, serving->status ? serving->status : HTTP_OK,
					serving->content_type, skh_buffer_chunk(&serving->kept),
					serving->replayed);
}

/* Not the relay's decision: the caller is gone, or can't be given the answer. */
static void give_up(serving_t *serving)
{
	skh_error_t *err = &serving->relay.error;

	if (serving->too_long)
		(void)skh_error_set(err, SKH_BACKEND_FAILED, "the answer is over the limit");
	else
		(void)skh_error_set(err, SKH_CANCELLED, "the caller hung up");
	err->run_state = skh_request_fsm_run_state(&serving->relay);
}

/* What was lost is placed again as the budget allows, at differing moments. */
static void wait_for_budget(const serving_t *serving)
{
	const skh_entry_request_t *job = serving->job;

	while (skh_clock_now_us() < job->deadline_us &&
	       !skh_link_acquire_retry(serving->link, job->customer)) {
		skh_metrics_add(SKH_COUNT_RETRIES_HELD, 1);
		(void)usleep(
			(useconds_t)(REPEAT_PAUSE_US / 2 + skh_random_u64() % REPEAT_PAUSE_US));
	}
}

static bool drive(serving_t *serving)
{
	skh_request_action_t action = SKH_REQUEST_ACTION_DISPATCH;

	while (!serving->caller_gone && !serving->too_long) {
		if (action == SKH_REQUEST_ACTION_DISPATCH) {
			if (serving->lost)
				wait_for_budget(serving);
			action = place(serving);
		} else if (action == SKH_REQUEST_ACTION_FINISH) {
			return finish(serving);
		} else if (action == SKH_REQUEST_ACTION_FAIL) {
			return false;
		} else {
			action = wait_one(serving);
		}
	}
	give_up(serving);
	return false;
}

static void count_result(const serving_t *serving, bool whole)
{
	const skh_entry_request_t *job = serving->job;

	skh_metrics_add(whole ? SKH_COUNT_ANSWERS_WHOLE : SKH_COUNT_ANSWERS_FAILED, 1);
	if (!whole && serving->relay.error.run_state == SKH_RUN_UNKNOWN)
		skh_metrics_add(SKH_COUNT_UNKNOWN, 1);
	skh_metrics_observe(SKH_HIST_ANSWER, job->customer, job->priority_name,
			    skh_clock_now_us() - job->accepted_at_us);
	skh_log(SKH_LOG_DEBUG, PART, whole ? "Answer is whole." : "Request failed.",
		"request=%s customer=%s service=%s placements=%u kind=%s run=%s reason=%s",
		job->request_id, job->customer, job->service, serving->relay.dispatches,
		whole ? "ok" : skh_error_kind_name(serving->relay.error.kind),
		whole ? "ran" : skh_run_state_name(serving->relay.error.run_state),
		whole ? "" : serving->relay.error.text);
}

bool skh_serve_request(skh_link_t *link, skh_quarantine_t *quarantine,
		       const skh_entry_request_t *job, skh_response_sink_t *sink,
		       skh_error_t *result)
{
	serving_t serving = {
		.link = link,
		.quarantine = quarantine,
		.job = job,
		.sink = sink,
		.kept = SKH_BUFFER_INIT,
	};
	bool whole;

	skh_request_fsm_init(&serving.relay, job->idempotent, job->is_streaming, job->deadline_us);
	serving.inbox = skh_inbox_new();
	serving.query.service = job->service;
	serving.query.failure_domain = job->failure_domain;
	serving.query.prefix_hash = job->prefix_hash;
	serving.query.prefix_share = skh_link_record_request(link, job->customer, job->prefix_hash);
	whole = drive(&serving);
	if (!whole && serving.relay.error.kind == SKH_OK)
		give_up(&serving);
	settle(&serving, true, !whole);
	skh_link_record_end(link, job->customer);
	if (!whole && serving.relay.error.kind != SKH_CANCELLED)
		sink->ops->fail(sink, &serving.relay.error);
	count_result(&serving, whole);
	*result = serving.relay.error;
	skh_decisions_record(job->request_id, job->customer, job->service, serving.query.tried,
			     serving.query.n_tried, result);
	skh_inbox_free(serving.inbox);
	skh_buffer_free(&serving.kept);
	return whole;
}
