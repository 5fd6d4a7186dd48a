#include "attempt.h"

#include "backlog.h"
#include "clock.h"
#include "crash_suspects.h"
#include "forward.h"
#include "gossip.h"
#include "log.h"
#include "metrics.h"
#include "pool_groups.h"
#include "retry_policy.h"

#include <inttypes.h>
#include <string.h>

#define PART		  "request"
#define EVENT_STREAM_TYPE "text/event-stream"
/*
 * Servers disconnect when their data is not read for some seconds. A connection that closes after a
 * shorter pause was not closed for that reason.
 */
#define MIN_UNREAD_US (1 * SKH_US_PER_S)

skh_request_traits_t skh_exchange_traits(const skh_exchange_t *exchange)
{
	return (skh_request_traits_t){ exchange->content_hash, &exchange->prompt_parts };
}

/* --- Crash suspects --- */

static void log_crash(const skh_server_t *server, uint32_t n_records)
{
	if (n_records == 0)
		return;
	skh_metrics_add(SKH_COUNT_CRASHES_RECORDED, n_records);
	skh_log(SKH_LOG_WARNING, PART,
		"Server has crashed; contents and prompt parts of the requests lost there are "
		"suspects.",
		"server=%s crash=%016" PRIx64 " suspects=%u", server->id,
		skh_server_instance_hash(server), n_records);
}

void skh_attempt_on_server_lost(void *gateway, const skh_server_t *server)
{
	log_crash(server, skh_crash_suspects_record_crash(
				  ((skh_gateway_t *)gateway)->crash_suspects,
				  skh_server_instance_hash(server), skh_clock_boot_us()));
}

static void record_survival(skh_exchange_t *exchange)
{
	const skh_request_traits_t traits = skh_exchange_traits(exchange);

	exchange->has_survived = true;
	skh_crash_suspects_record_survival(exchange->gateway->crash_suspects, &traits,
					   skh_clock_boot_us());
}

/*
 * The connection was seen open at the last tick. A later time does not count: this process may have
 * been suspended since.
 */
static void check_survival(skh_exchange_t *exchange)
{
	/* It was not seen open while it was not read. */
	if (exchange->upstream_paused || exchange->was_unread)
		return;
	if (!exchange->has_survived && exchange->response_begun_us != 0 &&
	    exchange->gateway->last_tick_us - exchange->response_begun_us >=
		    SKH_CRASH_SUSPECTS_SURVIVAL_US)
		record_survival(exchange);
}

static void record_loss(skh_exchange_t *exchange)
{
	const skh_request_traits_t traits = skh_exchange_traits(exchange);

	if (exchange->was_unread)
		return;
	check_survival(exchange);
	if (exchange->has_survived)
		return;
	exchange->target->has_losses = true;
	skh_crash_suspects_record_loss(exchange->gateway->crash_suspects, &traits,
				       skh_server_instance_hash(exchange->target->server),
				       skh_clock_boot_us());
}

static void record_alive(skh_exchange_t *exchange)
{
	if (!exchange->target->has_losses)
		return;
	exchange->target->has_losses = false;
	skh_crash_suspects_record_alive(exchange->gateway->crash_suspects,
					skh_server_instance_hash(exchange->target->server),
					skh_clock_boot_us());
}

/* --- Slow callers --- */

static void pause_reading(skh_exchange_t *exchange)
{
	if (exchange->upstream_paused)
		return;
	/* Once for each request; a slow caller may cause many short pauses. */
	if (exchange->paused_since_us == 0)
		skh_log(SKH_LOG_INFO, PART,
			"Reading from the server is paused; its caller is slow.",
			"id=%s server=%s buffered=%zu limit=%zu", exchange->attempt_id,
			exchange->target->server->id,
			skh_memory_budget_used(&exchange->gateway->memory),
			exchange->gateway->memory.limit_bytes);
	exchange->upstream_paused = true;
	exchange->paused_since_us = skh_clock_boot_us();
	skh_upstream_set_paused(exchange->upstream, true);
	skh_target_set_stream_paused(exchange->target, true, exchange->paused_since_us);
	skh_metrics_add(SKH_COUNT_READS_PAUSED, 1);
}

static void end_pause(skh_exchange_t *exchange)
{
	int64_t now_us = skh_clock_boot_us();
	int64_t paused_us = now_us - exchange->paused_since_us;

	if (!exchange->upstream_paused)
		return;
	exchange->upstream_paused = false;
	skh_target_set_stream_paused(exchange->target, false, now_us);
	skh_metrics_add(SKH_COUNT_READS_RESUMED, 1);
	if (paused_us < MIN_UNREAD_US)
		return;
	exchange->was_unread = true;
	skh_log(SKH_LOG_INFO, PART, "Reading from the server is no longer paused.",
		"id=%s server=%s paused_ms=%" PRId64, exchange->attempt_id,
		exchange->target->server->id, paused_us / SKH_US_PER_MS);
}

void skh_attempt_resume_reading(skh_exchange_t *exchange)
{
	if (!exchange->upstream_paused || !exchange->upstream)
		return;
	end_pause(exchange);
	skh_upstream_set_paused(exchange->upstream, false);
}

static void record_unread_close(const skh_exchange_t *exchange)
{
	skh_metrics_add(SKH_COUNT_UNREAD_CLOSED, 1);
	skh_log(SKH_LOG_INFO, PART,
		"Server closed a connection that was not read for a while; this is no crash.",
		"id=%s server=%s", exchange->attempt_id, exchange->target->server->id);
}

void skh_attempt_release(skh_exchange_t *exchange, skh_target_outcome_t outcome, int64_t latency_us)
{
	end_pause(exchange);
	exchange->response_begun_us = 0;
	if (exchange->upstream) {
		skh_upstream_cancel(exchange->upstream);
		exchange->upstream = NULL;
	}
	if (exchange->target) {
		const skh_target_result_t result = { .expected_tokens = exchange->expected_tokens,
						     .is_streaming = exchange->attempt_is_streaming,
						     .outcome = outcome,
						     .latency_us = latency_us };

		exchange->target->cache_tokens -= exchange->cache_tokens;
		skh_target_end_attempt(exchange->target, &result, skh_clock_boot_us());
	}
	exchange->target = NULL;
	exchange->attempt_is_streaming = false;
}

/* --- Sending --- */

static const skh_upstream_ops_t upstream_ops;

/* Returns the id that the first event should have, or -1 if it is not known. */
static int64_t expected_first_event(const skh_exchange_t *exchange)
{
	const char *last_event = skh_http_message_header(
		exchange->request, skh_exchange_header_name(exchange, SKH_HEADER_LAST_EVENT));
	int64_t id;

	if (!last_event)
		return exchange->target_pool->first_event_id;
	return g_ascii_string_to_signed(last_event, 10, 0, INT32_MAX, &id, NULL) ? id + 1 : -1;
}

void skh_attempt_send(skh_exchange_t *exchange, skh_target_t *target, int64_t now_us)
{
	skh_buffer_t bytes = SKH_BUFFER_INIT;
	skh_gateway_t *gateway = exchange->gateway;
	skh_upstream_request_t upstream_request = {
		.attempt_id = exchange->attempt_id,
		.is_head_request = exchange->request->parser.method == HTTP_HEAD,
		/* A kept connection may still carry a copy of the response to the last attempt. */
		.use_new_connection = exchange->route->retry_mode == SKH_RETRY_MODE_NEVER ||
				      exchange->n_attempts > 0,
	};
	skh_forwarded_request_t forwarded = {
		.dialect = gateway->dialect,
		.request = exchange->request,
		.server_id = target->server->id,
		.customer = exchange->key_owner ? exchange->key_owner->customer : NULL,
		.priority = skh_request_queue_rank(exchange->target_pool->queue,
						   &exchange->queued_request, now_us),
		.remaining_ms = (exchange->deadline_us - now_us) / SKH_US_PER_MS,
		.last_event_id = exchange->event_stream.last_event_id,
	};

	skh_metrics_add(
		SKH_COUNT_FLOOR_STARTS,
		skh_request_queue_start(exchange->target_pool->queue, &exchange->queued_request));
	exchange->queue_duration_us += now_us - exchange->queued_request.enqueued_us;
	if (exchange->n_attempts == 0)
		skh_backlog_record_start(gateway->backlog, exchange->target_pool->service, now_us);
	if (exchange->n_attempts == 0)
		skh_retry_share_record_request(&exchange->target_pool->retry_share,
					       &gateway->retry_limits, now_us);
	else
		skh_retry_share_record_retry(&exchange->target_pool->retry_share,
					     &gateway->retry_limits, now_us);
	skh_metrics_add(exchange->n_attempts == 0 ? SKH_COUNT_ATTEMPTS : SKH_COUNT_RETRIES, 1);
	exchange->n_attempts++;
	exchange->is_group_probe = skh_target_is_guarded(target, now_us);
	skh_target_record_send(target, now_us);
	exchange->state = exchange->state == SKH_EXCHANGE_RESPONDING ? SKH_EXCHANGE_RESPONDING
								     : SKH_EXCHANGE_SENT;
	exchange->target = target;
	exchange->sent_us = now_us;
	exchange->reported_not_run = false;
	exchange->response_begun_us = 0;
	exchange->has_survived = false;
	exchange->was_unread = false;
	exchange->attempt_status = 0;
	exchange->has_logged_order = false;
	skh_attempt_discard_body(exchange);
	skh_event_stream_expect_first(&exchange->event_stream, expected_first_event(exchange));
	skh_target_begin_attempt(target, exchange->expected_tokens, now_us);
	target->cache_tokens += exchange->cache_tokens;
	skh_log(SKH_LOG_INFO, PART, "Request sent to a server.",
		"id=%s server=%s group=%s probe=%d send=%u queued_ms=%" PRId64
		" running=%u peers=%u waiting=%u"
		" config=%" PRId64 " config_age_ms=%" PRId64 " list=%" PRId64,
		exchange->attempt_id, target->server->id, skh_target_group_name(target),
		exchange->is_group_probe, exchange->n_attempts,
		exchange->queue_duration_us / SKH_US_PER_MS, target->own_in_flight,
		target->peers_running, skh_request_queue_length(exchange->target_pool->queue),
		exchange->routing->version,
		skh_gateway_config_age_us(gateway, now_us) / SKH_US_PER_MS,
		gateway->roster ? gateway->roster->revision : 0);
	skh_forward_write_request(&forwarded, &bytes);
	upstream_request.bytes = skh_buffer_chunk(&bytes);
	exchange->upstream = skh_upstream_pool_send(target->upstream_pool, &upstream_request,
						    &upstream_ops, exchange);
	skh_buffer_free(&bytes);
}

/* --- Responses of servers --- */

static void begin_response(skh_exchange_t *exchange, bool chunked, size_t content_length)
{
	skh_response_head_t head = {
		.status = exchange->response_status,
		.reason = exchange->response_reason,
		.headers = exchange->response_headers->str,
		.is_chunked = chunked,
		.content_length = content_length,
		.no_body = exchange->request->parser.method == HTTP_HEAD,
	};

	exchange->state = SKH_EXCHANGE_RESPONDING;
	skh_caller_conn_begin_response(exchange->conn, &head);
}

static void store_response_head(skh_exchange_t *exchange, const skh_http_message_t *response)
{
	exchange->response_status = (int32_t)response->parser.status_code;
	(void)g_strlcpy(exchange->response_reason,
			http_status_str((enum http_status)response->parser.status_code),
			sizeof(exchange->response_reason));
	(void)g_string_truncate(exchange->response_headers, 0);
	skh_forward_write_response_headers(response, exchange->response_headers);
}

static bool is_reported_not_run(const skh_exchange_t *exchange, const skh_http_message_t *response)
{
	return response->parser.status_code == 421 ||
	       (response->parser.status_code >= 400 &&
		skh_http_message_header(response,
					skh_exchange_header_name(exchange, SKH_HEADER_NOT_RUN)));
}

static bool is_signed(const skh_exchange_t *exchange, const skh_http_message_t *response)
{
	return skh_http_message_header(
		       response, skh_exchange_header_name(exchange, SKH_HEADER_SIGNATURE)) != NULL;
}

/* Records what the server says about itself, whatever becomes of the response. */
static void record_server_state(const skh_exchange_t *exchange, const skh_http_message_t *response,
				int64_t now_us)
{
	const char *leaving = skh_http_message_header(
		response, skh_exchange_header_name(exchange, SKH_HEADER_LEAVING));
	const char *load = skh_http_message_header(
		response, skh_exchange_header_name(exchange, SKH_HEADER_LOAD));
	const char *retry_after = skh_http_message_header(response, "Retry-After");
	const char *limit = skh_http_message_header(
		response, skh_exchange_header_name(exchange, SKH_HEADER_LIMIT));
	const char *cold = skh_http_message_header(
		response, skh_exchange_header_name(exchange, SKH_HEADER_COLD));

	/* Another instance at the server's address speaks for itself. */
	if (response->parser.status_code == 421)
		return;
	if (cold)
		skh_target_record_cold(exchange->target, cold, now_us);
	/* A server that rejected the request does not count it. */
	if (load)
		skh_target_record_load(exchange->target, load,
				       exchange->target->own_in_flight -
					       (response->parser.status_code / 100 != 2),
				       now_us);
	if (leaving && strcmp(leaving, "1") == 0)
		skh_target_record_leaving(exchange->target);
	/* What ends a limit has to come from the server itself, not from something before it. */
	if (limit || (response->parser.status_code / 100 == 2 && is_signed(exchange, response)))
		skh_target_record_limit(exchange->target, limit, now_us);
	if (retry_after && response->parser.status_code == 503)
		skh_target_record_retry_after(exchange->target, retry_after, now_us);
}

static bool is_event_stream(const skh_http_message_t *response)
{
	const char *type = skh_http_message_header(response, "Content-Type");

	return type && g_ascii_strncasecmp(type, EVENT_STREAM_TYPE, strlen(EVENT_STREAM_TYPE)) == 0;
}

/*
 * Whether the events of a successful response may follow those that the caller has: an error page or
 * an empty response is no rest of a stream.
 */
static bool can_continue_stream(const skh_exchange_t *exchange, const skh_http_message_t *response)
{
	if ((int32_t)response->parser.status_code == exchange->response_status &&
	    (!exchange->is_event_stream || is_event_stream(response)))
		return true;
	skh_log(SKH_LOG_WARNING, PART,
		"Server that was to resume a stream has sent another kind of response.",
		"id=%s server=%s status=%u began_with=%" PRId32, exchange->attempt_id,
		exchange->target->server->id, response->parser.status_code,
		exchange->response_status);
	return false;
}

/*
 * Stores the head for the caller; a stream that resumes at another server keeps the head of its
 * first response. Rejects a successful response that has no signature or has a Content-Encoding.
 */
static bool on_head(void *context, const skh_http_message_t *response)
{
	skh_exchange_t *exchange = context;
	bool is_success = response->parser.status_code / 100 == 2;

	exchange->target->last_received_us = skh_clock_boot_us();
	record_server_state(exchange, response, exchange->target->last_received_us);
	exchange->attempt_status = (int32_t)response->parser.status_code;
	exchange->reported_not_run = is_reported_not_run(exchange, response);
	exchange->response_is_signed = is_signed(exchange, response);
	if (is_success && (!exchange->response_is_signed ||
			   skh_http_message_header(response, "Content-Encoding")))
		return false;
	if (is_success)
		record_alive(exchange);
	if (exchange->state == SKH_EXCHANGE_RESPONDING)
		return !is_success || can_continue_stream(exchange, response);
	exchange->is_event_stream = is_event_stream(response);
	store_response_head(exchange, response);
	return true;
}

static bool is_streaming_response(const skh_exchange_t *exchange)
{
	return exchange->route->is_streaming && !exchange->reported_not_run &&
	       exchange->attempt_status / 100 == 2;
}

static void finish_attempt(skh_exchange_t *exchange, skh_attempt_end_t end);
static skh_retry_decision_t decide_retry(const skh_exchange_t *exchange, skh_attempt_end_t end,
					 int64_t now_us, skh_retry_policy_input_t *view);

static void record_first_byte(skh_exchange_t *exchange)
{
	if (exchange->first_event_us != 0)
		return;
	exchange->first_event_us = skh_clock_boot_us();
	skh_metrics_observe(SKH_HIST_FIRST_BYTE, skh_exchange_customer(exchange),
			    exchange->route->name,
			    exchange->first_event_us - exchange->received_us);
}

/*
 * An incomplete event is useless until the rest of it is read, so instead of waiting, a large one
 * is given up when too much is buffered.
 */
static bool has_room_for_event(const skh_exchange_t *exchange)
{
	const skh_memory_budget_t *memory = &exchange->gateway->memory;

	return !skh_memory_budget_has_limit(memory) ||
	       exchange->event_stream.pending.len <= skh_memory_budget_small_response(memory) ||
	       memory->used_bytes[SKH_MEMORY_RESPONSES] <= skh_memory_budget_response_limit(memory);
}

void skh_attempt_count_pending(skh_exchange_t *exchange)
{
	skh_memory_budget_t *memory = &exchange->gateway->memory;

	if (skh_memory_budget_has_limit(memory))
		skh_buffer_shrink(&exchange->event_stream.pending);
	skh_memory_budget_remove(memory, SKH_MEMORY_RESPONSES, exchange->pending_charge);
	exchange->pending_charge = exchange->event_stream.pending.capacity;
	skh_memory_budget_add(memory, SKH_MEMORY_RESPONSES, exchange->pending_charge);
}

/* Events of a stream arrive once a pass of its group, so their distance is a pass's duration. */
static void record_pass(skh_exchange_t *exchange, int64_t now_us)
{
	skh_load_control_t *load = &exchange->target_pool->load;

	if (exchange->first_event_us == 0)
		skh_wait_forecast_record_first_event(&load->forecast, now_us - exchange->sent_us);
	else if (exchange->target->group && exchange->attempt_is_streaming &&
		 exchange->last_event_us != 0)
		skh_concurrency_limit_record_gap(&exchange->target->group->limit,
						 now_us - exchange->last_event_us,
						 exchange->route->gap_objective_us, now_us);
	exchange->last_event_us = now_us;
	exchange->n_passes++;
}

/* Once a response; a server may number all events wrongly. */
static void log_event_out_of_order(skh_exchange_t *exchange, bool is_accepted)
{
	skh_metrics_add(SKH_COUNT_EVENTS_OUT_OF_ORDER, 1);
	if (exchange->has_logged_order)
		return;
	exchange->has_logged_order = true;
	skh_log(SKH_LOG_WARNING, PART,
		is_accepted ? "Event's id does not follow the last one; the event is passed on."
			    : "Event's id does not follow the last one; the response is given up.",
		"id=%s server=%s last_event=%" PRId64 " resuming=%d", exchange->attempt_id,
		exchange->target->server->id, exchange->event_stream.last_event_id,
		exchange->event_stream.is_resuming);
}

/*
 * The server's event has an id that does not follow. Another server can send it again; if none may
 * be asked, the caller gets what the server sends.
 */
static bool should_accept_event(const skh_exchange_t *exchange)
{
	skh_retry_policy_input_t view;

	return !exchange->event_stream.is_resuming &&
	       decide_retry(exchange, SKH_END_STREAM_BROKEN, skh_clock_boot_us(), &view) !=
		       SKH_RETRY_DECISION_RETRY;
}

/* Appends the complete events to @out; returns false if the server's stream can't go on. */
static bool read_events(skh_exchange_t *exchange, skh_chunk_t bytes, skh_buffer_t *out)
{
	skh_event_stream_t *events = &exchange->event_stream;
	skh_event_stream_status_t status = skh_event_stream_feed(events, bytes, out);

	while (status == SKH_EVENT_STREAM_OUT_OF_ORDER) {
		bool is_accepted = should_accept_event(exchange);

		log_event_out_of_order(exchange, is_accepted);
		if (!is_accepted)
			return false;
		skh_event_stream_accept_next(events);
		status = skh_event_stream_feed(events, skh_chunk_make(NULL, 0), out);
	}
	if (!exchange->is_continuation && skh_event_stream_learned_first(events) >= 0)
		exchange->target_pool->first_event_id = skh_event_stream_learned_first(events);
	return status == SKH_EVENT_STREAM_OK && has_room_for_event(exchange);
}

static void forward_events(skh_exchange_t *exchange, skh_chunk_t bytes)
{
	skh_buffer_t out = SKH_BUFFER_INIT;
	bool can_go_on = read_events(exchange, bytes, &out);

	skh_attempt_count_pending(exchange);
	exchange->target->last_received_us = skh_clock_boot_us();
	if (out.len > 0) {
		record_pass(exchange, exchange->target->last_received_us);
		exchange->target->own_streaming += !exchange->attempt_is_streaming;
		exchange->attempt_is_streaming = true;
		skh_target_record_response(exchange->target);
		record_first_byte(exchange);
		if (exchange->state != SKH_EXCHANGE_RESPONDING)
			begin_response(exchange, true, 0);
		skh_metrics_add(SKH_COUNT_STREAM_EVENTS, 1);
		skh_caller_conn_write(exchange->conn, skh_buffer_chunk(&out));
		if (skh_caller_conn_has_write_backlog(exchange->conn))
			pause_reading(exchange);
	}
	skh_buffer_free(&out);
	if (!can_go_on)
		finish_attempt(exchange, SKH_END_STREAM_BROKEN);
}

static void reject_oversized_response(skh_exchange_t *exchange)
{
	skh_log(SKH_LOG_WARNING, PART, "Response is too large to forward and counts as lost.",
		"id=%s server=%s max_bytes=%zu", exchange->attempt_id, exchange->target->server->id,
		skh_memory_budget_response_limit(&exchange->gateway->memory));
	finish_attempt(exchange, SKH_END_LOST);
}

static bool has_room_to_buffer(const skh_exchange_t *exchange, size_t len)
{
	const skh_memory_budget_t *memory = &exchange->gateway->memory;
	size_t size = exchange->response_body.len + len;

	return size <= SKH_MEMORY_MAX_RESPONSE_BYTES &&
	       (size <= skh_memory_budget_small_response(memory) ||
		exchange->gateway->buffered_bytes + len <=
			skh_memory_budget_response_limit(memory));
}

static void buffer_body(skh_exchange_t *exchange, skh_chunk_t bytes)
{
	exchange->gateway->buffered_bytes += bytes.len;
	skh_memory_budget_add(&exchange->gateway->memory, SKH_MEMORY_RESPONSES, bytes.len);
	skh_buffer_append(&exchange->response_body, bytes);
}

void skh_attempt_discard_body(skh_exchange_t *exchange)
{
	exchange->gateway->buffered_bytes -= exchange->response_body.len;
	skh_memory_budget_remove(&exchange->gateway->memory, SKH_MEMORY_RESPONSES,
				 exchange->response_body.len);
	skh_buffer_free(&exchange->response_body);
}

static void on_body(void *context, skh_chunk_t bytes)
{
	skh_exchange_t *exchange = context;

	if (exchange->response_begun_us == 0)
		exchange->response_begun_us = skh_clock_boot_us();
	check_survival(exchange);
	if (is_streaming_response(exchange))
		forward_events(exchange, bytes);
	else if (has_room_to_buffer(exchange, bytes.len))
		buffer_body(exchange, bytes);
	else
		reject_oversized_response(exchange);
}

static void record_completion(skh_exchange_t *exchange)
{
	skh_metrics_add(SKH_COUNT_ANSWERS_WHOLE, 1);
	if (exchange->response_is_framed)
		record_survival(exchange);
	else
		record_loss(exchange);
	skh_metrics_observe(SKH_HIST_ANSWER, skh_exchange_customer(exchange), exchange->route->name,
			    skh_clock_boot_us() - exchange->received_us);
}

/* Forwards the buffered response of the server. */
static void forward_response(skh_exchange_t *exchange)
{
	record_first_byte(exchange);
	begin_response(exchange, false, exchange->response_body.len);
	if (exchange->request->parser.method != HTTP_HEAD)
		skh_caller_conn_write(exchange->conn, skh_buffer_chunk(&exchange->response_body));
	skh_attempt_discard_body(exchange);
	record_completion(exchange);
	skh_exchange_log_end(exchange, "passed", exchange->response_status, "-");
	skh_attempt_release(exchange,
			    exchange->response_status < 500 ? SKH_TARGET_OUTCOME_SUCCEEDED
							    : SKH_TARGET_OUTCOME_FAILED,
			    exchange->first_event_us - exchange->sent_us);
	skh_exchange_end(exchange);
	skh_caller_conn_end_response(exchange->conn);
	skh_exchange_dispatch(exchange->gateway);
}

static void end_stream(skh_exchange_t *exchange)
{
	/* A response that ends in the middle of an event, or before new events, is incomplete. */
	if (!skh_event_stream_is_complete(&exchange->event_stream)) {
		finish_attempt(exchange, SKH_END_STREAM_BROKEN);
		return;
	}
	if (exchange->state != SKH_EXCHANGE_RESPONDING)
		begin_response(exchange, true, 0);
	record_completion(exchange);
	if (exchange->n_attempts == 1)
		skh_wait_forecast_record_end(&exchange->target_pool->load.forecast,
					     exchange->n_passes,
					     skh_clock_boot_us() - exchange->sent_us);
	skh_exchange_log_end(exchange, "streamed", exchange->response_status, "-");
	skh_attempt_release(exchange, SKH_TARGET_OUTCOME_SUCCEEDED,
			    exchange->first_event_us ? exchange->first_event_us - exchange->sent_us
						     : 0);
	skh_exchange_end(exchange);
	skh_caller_conn_end_response(exchange->conn);
	skh_exchange_dispatch(exchange->gateway);
}

static void on_end(void *context, const skh_http_message_t *response)
{
	skh_exchange_t *exchange = context;
	uint32_t status = response->parser.status_code;

	exchange->upstream = NULL;
	/* The end of the connection may also be a crash. */
	exchange->response_is_framed = skh_http_message_is_framed(response);
	if (exchange->reported_not_run) {
		finish_attempt(exchange, SKH_END_NOT_RUN);
		return;
	}
	if (status / 100 == 2 && exchange->route->is_streaming)
		end_stream(exchange);
	else if (exchange->state == SKH_EXCHANGE_RESPONDING)
		finish_attempt(exchange, SKH_END_STREAM_BROKEN);
	else if (status == 408 || status == 421 || status == 429 || status == 503)
		/*
		 * Callers conclude from these statuses that the request did not run. The server did
		 * not promise that, so its response is not forwarded.
		 */
		finish_attempt(exchange, SKH_END_LOST);
	else if (status >= 500)
		finish_attempt(exchange, SKH_END_ERROR);
	else
		forward_response(exchange);
}

/* The process may have been suspended, or the domain taken out of service, since the connect began. */
static bool may_write(void *context)
{
	const skh_exchange_t *exchange = context;

	return skh_gateway_may_send(exchange->gateway, skh_clock_boot_us()) && exchange->target &&
	       !exchange->target->is_domain_out;
}

static void on_error(void *context, skh_upstream_error_t error, bool request_written)
{
	skh_exchange_t *exchange = context;

	exchange->upstream = NULL;
	if (error == SKH_UPSTREAM_ERROR_WITHDRAWN) {
		skh_attempt_withdraw(exchange);
		return;
	}
	if (!request_written) {
		/* A failed connect is counted as a server crash for each request recently lost there. */
		skh_attempt_on_server_lost(exchange->gateway, exchange->target->server);
		finish_attempt(exchange, SKH_END_UNREACHABLE);
		return;
	}
	if (error == SKH_UPSTREAM_ERROR_CONNECTION_CLOSED && exchange->was_unread)
		record_unread_close(exchange);
	else if (error == SKH_UPSTREAM_ERROR_CONNECTION_CLOSED)
		record_loss(exchange);
	finish_attempt(exchange, SKH_END_STREAM_BROKEN);
}

static const skh_upstream_ops_t upstream_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
	.on_error = on_error,
	.may_write = may_write,
};

static skh_target_outcome_t choose_outcome(const skh_exchange_t *exchange, skh_attempt_end_t end)
{
	if (end == SKH_END_NOT_RUN && exchange->attempt_status == 421)
		return SKH_TARGET_OUTCOME_WRONG_INSTANCE;
	/* Not the server's fault. */
	if (end == SKH_END_STREAM_BROKEN && exchange->was_unread)
		return SKH_TARGET_OUTCOME_CANCELLED;
	switch (end) {
	case SKH_END_UNREACHABLE:
		return SKH_TARGET_OUTCOME_UNREACHABLE;
	case SKH_END_NOT_RUN:
		return SKH_TARGET_OUTCOME_FULL;
	default:
		return SKH_TARGET_OUTCOME_FAILED;
	}
}

static void enqueue_retry(skh_exchange_t *exchange, skh_target_t *target, skh_attempt_end_t end,
			  int64_t now_us)
{
	if (end != SKH_END_NOT_RUN) {
		target->references++;
		g_ptr_array_add(exchange->excluded_targets, target);
	}
	skh_event_stream_resume(&exchange->event_stream);
	skh_exchange_enqueue(exchange, now_us);
}

static void end_without_retry(skh_exchange_t *exchange, skh_retry_decision_t decision)
{
	switch (decision) {
	case SKH_RETRY_DECISION_FORWARD_RESPONSE:
		forward_response(exchange);
		return;
	case SKH_RETRY_DECISION_REJECT:
		skh_exchange_reject(
			exchange, SKH_OVERLOADED,
			skh_exchange_retry_after_ms(exchange, SKH_DEFAULT_RETRY_AFTER_MS),
			"none of the servers accepted the request");
		return;
	case SKH_RETRY_DECISION_CLOSE_STREAM:
		skh_exchange_log_end(exchange, "cut", exchange->response_status,
				     "the server's event stream was interrupted");
		skh_exchange_end(exchange);
		skh_caller_conn_abort(exchange->conn);
		return;
	default:
		skh_exchange_reject(exchange, SKH_OUTCOME_UNKNOWN, 0,
				    "the server's response was lost");
		return;
	}
}

static const char *attempt_end_name(skh_attempt_end_t end)
{
	static const char *const names[] = {
		[SKH_END_UNREACHABLE] = "unreachable",
		[SKH_END_NOT_RUN] = "not_run",
		[SKH_END_ERROR] = "error",
		[SKH_END_LOST] = "lost",
		[SKH_END_STREAM_BROKEN] = "cut",
	};

	return names[end];
}

/* Decides what follows when the current attempt ends with @end; fills @view. */
static skh_retry_decision_t decide_retry(const skh_exchange_t *exchange, skh_attempt_end_t end,
					 int64_t now_us, skh_retry_policy_input_t *view)
{
	const skh_gateway_t *gateway = exchange->gateway;
	const skh_request_traits_t traits = skh_exchange_traits(exchange);
	bool may_have_run =
		end == SKH_END_ERROR || end == SKH_END_LOST || end == SKH_END_STREAM_BROKEN;

	*view = (skh_retry_policy_input_t){
		.end = end,
		.retry_mode = exchange->route->retry_mode,
		.possible_runs = exchange->possible_runs + may_have_run,
		.max_runs = exchange->route->max_runs,
		.n_attempts = exchange->n_attempts - exchange->rejected_probes,
		.has_retry_budget = skh_retry_share_has_room(&exchange->target_pool->retry_share,
							     &gateway->retry_limits, now_us),
		.is_retry_blocked = skh_crash_suspects_is_retry_blocked(gateway->crash_suspects,
									&traits, now_us),
		.has_response_begun = exchange->state == SKH_EXCHANGE_RESPONDING,
		.can_resume = skh_event_stream_can_resume(&exchange->event_stream),
		.now_us = now_us,
		.deadline_us = exchange->deadline_us,
	};
	return skh_retry_policy_decide(view);
}

static void log_failure(const skh_exchange_t *exchange, const skh_retry_policy_input_t *view,
			skh_retry_decision_t decision)
{
	g_autofree char *parts = skh_prompt_parts_format(&exchange->prompt_parts);

	skh_log(SKH_LOG_INFO, PART, "Attempt failed.",
		"id=%s server=%s end=%s status=%" PRId32 " runs=%u budget=%d suspect=%d again=%d"
		" content=%016" PRIx64 " parts=%s",
		exchange->attempt_id, exchange->target->server->id, attempt_end_name(view->end),
		exchange->attempt_status, view->possible_runs, view->has_retry_budget,
		view->is_retry_blocked, decision == SKH_RETRY_DECISION_RETRY,
		exchange->content_hash, *parts ? parts : "-");
}

static void finish_attempt(skh_exchange_t *exchange, skh_attempt_end_t end)
{
	skh_gateway_t *gateway = exchange->gateway;
	int64_t now_us = skh_clock_boot_us();
	skh_target_t *target = exchange->target;
	skh_retry_policy_input_t view;
	skh_retry_decision_t decision;

	if (end == SKH_END_STREAM_BROKEN && exchange->state != SKH_EXCHANGE_RESPONDING)
		end = SKH_END_LOST;
	if (end == SKH_END_NOT_RUN && exchange->target_pool->is_lock_step &&
	    exchange->attempt_status == 503)
		exchange->rejected_probes += skh_target_record_rejection(target, now_us);
	decision = decide_retry(exchange, end, now_us, &view);
	exchange->possible_runs = view.possible_runs;
	skh_target_record_failure(target, end != SKH_END_NOT_RUN && end != SKH_END_ERROR, now_us);
	log_failure(exchange, &view, decision);
	if (decision == SKH_RETRY_DECISION_FORWARD_RESPONSE) {
		end_without_retry(exchange, decision);
		return;
	}
	target->references++; /* used after the attempt has released it */
	skh_attempt_release(exchange, choose_outcome(exchange, end), 0);
	skh_attempt_discard_body(exchange);
	if (decision == SKH_RETRY_DECISION_RETRY)
		enqueue_retry(exchange, target, end, now_us);
	else
		end_without_retry(exchange, decision);
	skh_target_unref(target);
	skh_exchange_dispatch(gateway);
}

void skh_attempt_withdraw(skh_exchange_t *exchange)
{
	skh_metrics_add(SKH_COUNT_WITHDRAWN, 1);
	skh_log(SKH_LOG_INFO, PART, "Attempt withdrawn before anything was sent.",
		"id=%s server=%s domain_out=%d", exchange->attempt_id, exchange->target->server->id,
		exchange->target->is_domain_out);
	skh_attempt_release(exchange, SKH_TARGET_OUTCOME_CANCELLED, 0);
	skh_exchange_enqueue(exchange, skh_clock_boot_us());
}

void skh_attempt_retry_elsewhere(skh_exchange_t *exchange)
{
	skh_attempt_end_t end =
		exchange->state == SKH_EXCHANGE_RESPONDING ? SKH_END_STREAM_BROKEN : SKH_END_LOST;
	int64_t now_us = skh_clock_boot_us();
	skh_target_t *target = exchange->target;
	skh_retry_policy_input_t view;
	skh_retry_decision_t decision = decide_retry(exchange, end, now_us, &view);

	log_failure(exchange, &view, decision);
	if (decision != SKH_RETRY_DECISION_RETRY)
		return;
	exchange->possible_runs = view.possible_runs;
	target->references++; /* used after the attempt has released it */
	skh_attempt_release(exchange, SKH_TARGET_OUTCOME_CANCELLED, 0);
	enqueue_retry(exchange, target, end, now_us);
	skh_target_unref(target);
}
