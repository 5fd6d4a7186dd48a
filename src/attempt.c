#include "attempt.h"

#include "clock.h"
#include "culprits.h"
#include "forward.h"
#include "gossip.h"
#include "log.h"
#include "metrics.h"
#include "verdict.h"

#include <inttypes.h>
#include <string.h>

#define PART "request"
/* Answers that are kept whole before they are passed on. */
#define MAX_ANSWER_BYTES (16U << 20)

/* Leaves the attempt; the server's connection is closed if it still works. */
void skh_attempt_leave(skh_exchange_t *exchange, skh_outcome_t outcome, int64_t took_us)
{
	if (exchange->upstream) {
		skh_upstream_cancel(exchange->upstream);
		exchange->upstream = NULL;
	}
	if (exchange->target) {
		const skh_target_use_t use = { .work = exchange->work,
					       .streaming = exchange->attempt_streams,
					       .outcome = outcome,
					       .took_us = took_us };

		skh_target_end(exchange->target, &use, skh_clock_boot_us());
	}
	exchange->target = NULL;
	exchange->attempt_streams = false;
}

/* --- Sending --- */

static const skh_upstream_ops_t upstream_ops;

void skh_attempt_send(skh_exchange_t *exchange, skh_target_t *target, int64_t now_us)
{
	skh_buffer_t bytes = SKH_BUFFER_INIT;
	skh_gateway_t *gateway = exchange->gateway;
	skh_send_t send = {
		.attempt_id = exchange->attempt_id,
		.head_only = exchange->request->parser.method == HTTP_HEAD,
		.fresh = exchange->route->repeat == SKH_REPEAT_NEVER,
	};
	skh_forward_t forward = {
		.dialect = gateway->dialect,
		.request = exchange->request,
		.server_id = target->server->id,
		.customer = exchange->owner ? exchange->owner->customer : NULL,
		.priority = skh_exchange_priority(exchange),
		.left_ms = (exchange->until_us - now_us) / SKH_US_PER_MS,
		.last_event = exchange->events.last_id,
	};

	skh_waitline_remove(exchange->front->line, &exchange->waiter);
	exchange->queued_us += now_us - exchange->waiter.since_us;
	if (exchange->sends == 0)
		skh_retryshare_request(&exchange->front->share, &gateway->retry_bounds, now_us);
	else
		skh_retryshare_repeat(&exchange->front->share, &gateway->retry_bounds, now_us);
	skh_metrics_add(exchange->sends == 0 ? SKH_COUNT_ATTEMPTS : SKH_COUNT_RETRIES, 1);
	exchange->sends++;
	skh_groupgate_sent(&exchange->front->gate, now_us);
	exchange->stage = exchange->stage == SKH_EXCHANGE_ANSWERING ? SKH_EXCHANGE_ANSWERING
								    : SKH_EXCHANGE_SENT;
	exchange->target = target;
	exchange->sent_us = now_us;
	exchange->not_run = false;
	exchange->attempt_status = 0;
	skh_buffer_clear(&exchange->body);
	skh_target_begin(target, exchange->work, now_us);
	skh_log(SKH_LOG_INFO, PART, "Request placed.",
		"id=%s server=%s send=%u queued_ms=%" PRId64 " running=%u peers=%u waiting=%u"
		" config=%" PRId64 " config_age_ms=%" PRId64 " list=%" PRId64,
		exchange->attempt_id, target->server->id, exchange->sends,
		exchange->queued_us / SKH_US_PER_MS, target->own_running, target->peers_running,
		skh_waitline_length(exchange->front->line), exchange->routing->version,
		skh_gateway_fresh_age_us(gateway, now_us) / SKH_US_PER_MS,
		gateway->roster ? gateway->roster->revision : 0);
	skh_forward_write(&forward, &bytes);
	send.bytes = skh_buffer_chunk(&bytes);
	exchange->upstream = skh_pool_send(target->pool, &send, &upstream_ops, exchange);
	skh_buffer_free(&bytes);
}

/* --- Answers of servers --- */

static void begin_answer(skh_exchange_t *exchange, bool chunked, size_t content_length)
{
	skh_answer_head_t head = {
		.status = exchange->answer_status,
		.reason = exchange->answer_reason,
		.headers = exchange->answer_headers->str,
		.chunked = chunked,
		.content_length = content_length,
		.no_body = exchange->request->parser.method == HTTP_HEAD,
	};

	exchange->stage = SKH_EXCHANGE_ANSWERING;
	skh_caller_conn_begin(exchange->conn, &head);
}

static void keep_answer_head(skh_exchange_t *exchange, const skh_message_t *answer)
{
	exchange->answer_status = (int32_t)answer->parser.status_code;
	(void)g_strlcpy(exchange->answer_reason,
			http_status_str((enum http_status)answer->parser.status_code),
			sizeof(exchange->answer_reason));
	(void)g_string_truncate(exchange->answer_headers, 0);
	skh_forward_answer_headers(answer, exchange->answer_headers);
}

static bool says_not_run(const skh_exchange_t *exchange, const skh_message_t *answer)
{
	return answer->parser.status_code == 421 ||
	       (answer->parser.status_code >= 400 &&
		skh_message_header(answer, skh_exchange_header_name(exchange, SKH_HEADER_NOT_RUN)));
}

/* A stream that goes on keeps the head of its first server. */
static bool on_head(void *context, const skh_message_t *answer)
{
	skh_exchange_t *exchange = context;
	bool is_success = answer->parser.status_code / 100 == 2;

	exchange->target->heard_us = skh_clock_boot_us();
	exchange->attempt_status = (int32_t)answer->parser.status_code;
	exchange->not_run = says_not_run(exchange, answer);
	exchange->signed_answer =
		skh_message_header(
			answer, skh_exchange_header_name(exchange, SKH_HEADER_SIGNATURE)) != NULL;
	if (is_success &&
	    (!exchange->signed_answer || skh_message_header(answer, "Content-Encoding")))
		return false;
	if (exchange->stage == SKH_EXCHANGE_ANSWERING)
		return true;
	keep_answer_head(exchange, answer);
	return true;
}

static bool streams_now(const skh_exchange_t *exchange)
{
	return exchange->route->streams && !exchange->not_run &&
	       exchange->attempt_status / 100 == 2;
}

static void finish_attempt(skh_exchange_t *exchange, skh_attempt_end_t end);

static void note_first(skh_exchange_t *exchange)
{
	if (exchange->first_us != 0)
		return;
	exchange->first_us = skh_clock_boot_us();
	skh_metrics_observe(SKH_HIST_FIRST_BYTE, skh_exchange_customer(exchange),
			    exchange->route->name, exchange->first_us - exchange->received_us);
}

static void pass_events(skh_exchange_t *exchange, skh_chunk_t bytes)
{
	skh_buffer_t out = SKH_BUFFER_INIT;
	bool follows = skh_events_feed(&exchange->events, bytes, &out);

	exchange->target->heard_us = skh_clock_boot_us();
	if (out.len > 0) {
		exchange->target->own_streaming += !exchange->attempt_streams;
		exchange->attempt_streams = true;
		skh_groupgate_answered(&exchange->front->gate);
		note_first(exchange);
		if (exchange->stage != SKH_EXCHANGE_ANSWERING)
			begin_answer(exchange, true, 0);
		skh_metrics_add(SKH_COUNT_TOKENS, 1);
		skh_caller_conn_write(exchange->conn, skh_buffer_chunk(&out));
		if (!exchange->paused && skh_caller_conn_is_slow(exchange->conn)) {
			exchange->paused = true;
			skh_upstream_pause(exchange->upstream, true);
		}
	}
	skh_buffer_free(&out);
	if (!follows)
		finish_attempt(exchange, SKH_END_CUT);
}

static void on_body(void *context, skh_chunk_t bytes)
{
	skh_exchange_t *exchange = context;

	if (streams_now(exchange))
		pass_events(exchange, bytes);
	else if (exchange->body.len + bytes.len <= MAX_ANSWER_BYTES)
		skh_buffer_append(&exchange->body, bytes);
}

static void observe_end(const skh_exchange_t *exchange)
{
	skh_metrics_add(SKH_COUNT_ANSWERS_WHOLE, 1);
	skh_culprits_clear(exchange->gateway->culprits, exchange->content);
	skh_metrics_observe(SKH_HIST_ANSWER, skh_exchange_customer(exchange), exchange->route->name,
			    skh_clock_boot_us() - exchange->received_us);
}

/* The server's own answer, kept whole until now. */
static void pass_answer(skh_exchange_t *exchange)
{
	note_first(exchange);
	begin_answer(exchange, false, exchange->body.len);
	if (exchange->request->parser.method != HTTP_HEAD)
		skh_caller_conn_write(exchange->conn, skh_buffer_chunk(&exchange->body));
	observe_end(exchange);
	skh_exchange_log_end(exchange, "passed", exchange->answer_status, "-");
	skh_attempt_leave(exchange,
			  exchange->answer_status < 500 ? SKH_OUTCOME_GOOD : SKH_OUTCOME_FAILED,
			  exchange->first_us - exchange->sent_us);
	skh_exchange_end(exchange);
	skh_caller_conn_end(exchange->conn);
	skh_exchange_dispatch(exchange->gateway);
}

static void end_stream(skh_exchange_t *exchange)
{
	/* A server that ended in the middle of an event has not finished. */
	if (!skh_events_is_whole(&exchange->events)) {
		finish_attempt(exchange, SKH_END_CUT);
		return;
	}
	if (exchange->stage != SKH_EXCHANGE_ANSWERING)
		begin_answer(exchange, true, 0);
	observe_end(exchange);
	skh_exchange_log_end(exchange, "streamed", exchange->answer_status, "-");
	skh_attempt_leave(exchange, SKH_OUTCOME_GOOD,
			  exchange->first_us ? exchange->first_us - exchange->sent_us : 0);
	skh_exchange_end(exchange);
	skh_caller_conn_end(exchange->conn);
	skh_exchange_dispatch(exchange->gateway);
}

static void on_end(void *context, const skh_message_t *answer)
{
	skh_exchange_t *exchange = context;
	uint32_t status = answer->parser.status_code;

	exchange->upstream = NULL;
	if (exchange->not_run) {
		finish_attempt(exchange, SKH_END_NOT_RUN);
		return;
	}
	if (status / 100 == 2 && exchange->route->streams)
		end_stream(exchange);
	else if (exchange->stage == SKH_EXCHANGE_ANSWERING)
		finish_attempt(exchange, SKH_END_CUT);
	else if (status == 408 || status == 421 || status == 429 || status == 503)
		/* A promise that the server did not make is not passed on. */
		finish_attempt(exchange, SKH_END_LOST);
	else if (status >= 500)
		finish_attempt(exchange, SKH_END_ERROR);
	else
		pass_answer(exchange);
}

static void tell_crash(void *context, uint64_t content, uint64_t crash)
{
	skh_log(SKH_LOG_WARNING, PART, "Request was lost in a crash.",
		"content=%016" PRIx64 " crash=%016" PRIx64, content, crash);
	skh_gossip_add_culprit(context, content, crash);
}

static void on_lost(void *context, skh_lost_t lost, bool handed_over)
{
	skh_exchange_t *exchange = context;
	skh_gateway_t *gateway = exchange->gateway;

	exchange->upstream = NULL;
	if (!handed_over) {
		/* What was lost there before was lost in a crash. */
		skh_culprits_crashed(gateway->culprits, exchange->target->server->id,
				     skh_clock_boot_us(), tell_crash, gateway->gossip);
		finish_attempt(exchange, SKH_END_UNREACHABLE);
		return;
	}
	if (lost == SKH_LOST_BROKEN)
		skh_culprits_note(gateway->culprits, exchange->content,
				  exchange->target->server->id, skh_clock_boot_us());
	finish_attempt(exchange, SKH_END_CUT);
}

static const skh_upstream_ops_t upstream_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
	.on_lost = on_lost,
};

static skh_outcome_t outcome_of(const skh_exchange_t *exchange, skh_attempt_end_t end)
{
	if (end == SKH_END_NOT_RUN && exchange->attempt_status == 421)
		return SKH_OUTCOME_MISPLACED;
	switch (end) {
	case SKH_END_UNREACHABLE:
		return SKH_OUTCOME_UNREACHABLE;
	case SKH_END_NOT_RUN:
		return SKH_OUTCOME_FULL;
	default:
		return SKH_OUTCOME_FAILED;
	}
}

static void send_again(skh_exchange_t *exchange, skh_target_t *target, skh_attempt_end_t end,
		       int64_t now_us)
{
	if (end != SKH_END_NOT_RUN) {
		target->references++;
		g_ptr_array_add(exchange->tried, target);
	}
	skh_events_restart(&exchange->events);
	skh_exchange_wait(exchange, now_us);
}

static void conclude(skh_exchange_t *exchange, skh_verdict_t verdict)
{
	switch (verdict) {
	case SKH_VERDICT_PASS:
		pass_answer(exchange);
		return;
	case SKH_VERDICT_REFUSE:
		skh_exchange_refuse(exchange, SKH_OVERLOADED,
				    skh_exchange_retry_after_ms(exchange, SKH_RETRY_DEFAULT_MS),
				    "servers turned it away");
		return;
	case SKH_VERDICT_CUT:
		skh_exchange_log_end(exchange, "cut", exchange->answer_status,
				     "the stream broke off");
		skh_exchange_end(exchange);
		skh_caller_conn_abort(exchange->conn);
		return;
	default:
		skh_exchange_refuse(exchange, SKH_OUTCOME_UNKNOWN, 0,
				    "the server's answer was lost");
		return;
	}
}

static const char *end_name(skh_attempt_end_t end)
{
	static const char *const names[] = {
		[SKH_END_UNREACHABLE] = "unreachable",
		[SKH_END_NOT_RUN] = "not_run",
		[SKH_END_ERROR] = "error",
		[SKH_END_LOST] = "lost",
		[SKH_END_CUT] = "cut",
	};

	return names[end];
}

/* What follows when the attempt under way ends so. */
static skh_verdict_t verdict_on(const skh_exchange_t *exchange, skh_attempt_end_t end,
				int64_t now_us, skh_verdict_view_t *view)
{
	const skh_gateway_t *gateway = exchange->gateway;
	bool ran = end == SKH_END_ERROR || end == SKH_END_LOST || end == SKH_END_CUT;

	*view = (skh_verdict_view_t){
		.end = end,
		.repeat = exchange->route->repeat,
		.runs = exchange->runs + ran,
		.max_attempts = exchange->route->max_attempts,
		.sends = exchange->sends - exchange->probes,
		.may_repeat = skh_retryshare_has_room(&exchange->front->share,
						      &gateway->retry_bounds, now_us),
		.is_suspect = skh_culprits_is_held(gateway->culprits, exchange->content, now_us),
		.now_us = now_us,
		.until_us = exchange->until_us,
	};
	return skh_verdict_of(view);
}

static void log_failure(const skh_exchange_t *exchange, const skh_verdict_view_t *view,
			skh_verdict_t verdict)
{
	skh_log(SKH_LOG_INFO, PART, "Attempt failed.",
		"id=%s server=%s end=%s status=%" PRId32 " runs=%u budget=%d suspect=%d again=%d",
		exchange->attempt_id, exchange->target->server->id, end_name(view->end),
		exchange->attempt_status, view->runs, view->may_repeat, view->is_suspect,
		verdict == SKH_VERDICT_AGAIN);
}

static void finish_attempt(skh_exchange_t *exchange, skh_attempt_end_t end)
{
	skh_gateway_t *gateway = exchange->gateway;
	int64_t now_us = skh_clock_boot_us();
	skh_target_t *target = exchange->target;
	skh_verdict_view_t view;
	skh_verdict_t verdict;

	if (end == SKH_END_CUT && exchange->stage != SKH_EXCHANGE_ANSWERING)
		end = SKH_END_LOST;
	if (end == SKH_END_NOT_RUN && exchange->front->lock_step &&
	    exchange->attempt_status == 503) {
		exchange->probes += skh_groupgate_is_closed(&exchange->front->gate);
		skh_groupgate_refused(&exchange->front->gate, now_us);
	}
	verdict = verdict_on(exchange, end, now_us, &view);
	exchange->runs = view.runs;
	skh_groupgate_failed(&exchange->front->gate);
	log_failure(exchange, &view, verdict);
	if (verdict == SKH_VERDICT_PASS) {
		conclude(exchange, verdict);
		return;
	}
	target->references++; /* outlives the attempt */
	skh_attempt_leave(exchange, outcome_of(exchange, end), 0);
	if (verdict == SKH_VERDICT_AGAIN)
		send_again(exchange, target, end, now_us);
	else
		conclude(exchange, verdict);
	skh_target_unref(target);
	skh_exchange_dispatch(gateway);
}

void skh_attempt_move(skh_exchange_t *exchange)
{
	skh_attempt_end_t end =
		exchange->stage == SKH_EXCHANGE_ANSWERING ? SKH_END_CUT : SKH_END_LOST;
	int64_t now_us = skh_clock_boot_us();
	skh_target_t *target = exchange->target;
	skh_verdict_view_t view;
	skh_verdict_t verdict = verdict_on(exchange, end, now_us, &view);

	log_failure(exchange, &view, verdict);
	if (verdict != SKH_VERDICT_AGAIN)
		return;
	exchange->runs = view.runs;
	target->references++; /* outlives the attempt */
	skh_attempt_leave(exchange, SKH_OUTCOME_WITHDRAWN, 0);
	send_again(exchange, target, end, now_us);
	skh_target_unref(target);
}
