#include "exchange.h"

#include "attempt.h"
#include "clock.h"
#include "crash_suspects.h"
#include "event_stream.h"
#include "gossip.h"
#include "log.h"
#include "metrics.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "request"
/* Deadline of a request without a deadline header. */
#define DEFAULT_DEADLINE_US (30 * SKH_US_PER_S)
/* Estimated time for a response to reach the caller. */
#define RESPONSE_TRANSIT_US (20 * SKH_US_PER_MS)
/*
 * Callers abandon a stream without an event after the longest of a minimum, a multiple of the
 * route's latency objective and a multiple of its gap objective.
 */
#define MIN_CALLER_TIMEOUT_US	       (2 * SKH_US_PER_S)
#define CALLER_TIMEOUT_OBJECTIVE_RATIO 4
#define CALLER_TIMEOUT_GAP_RATIO       8
/* Callers honour Retry-After only up to the remaining time divided by this. */
#define RETRY_AFTER_DIVISOR	  3
#define MIN_RETRY_AFTER_MS	  100
#define MAX_RETRY_AFTER_JITTER_MS 400
/* Time in which a gateway that has just started loads the configuration. */
#define NOT_READY_RETRY_AFTER_MS 150
/* Retry-After for a request that another gateway can serve at once. */
#define STALE_RETRY_AFTER_MS 10
/*
 * All streams of a group wait for its slowest rank. Beyond this slowdown, the rank's requests
 * delay the others by more than it costs to process their prompts again at another rank.
 */
#define MOVE_SLOWDOWN_RATIO 2.5
/* A group that has broken down needs seconds to recover. */
#define GROUP_DOWN_RETRY_AFTER_MS 2000

/* A response of the gateway's own: cause for the log and the caller. */
typedef struct rejection {
	skh_error_t err;
	int64_t retry_after_ms; /* 0 for none */
} rejection_t;

static skh_exchange_t *exchange_from_queued(skh_queued_request_t *queued_request)
{
	return (skh_exchange_t *)((char *)queued_request -
				  offsetof(skh_exchange_t, queued_request));
}

const char *skh_exchange_header_name(const skh_exchange_t *exchange, skh_header_name_t name)
{
	return exchange->gateway->dialect->headers[name];
}

static const char *request_header(const skh_exchange_t *exchange, skh_header_name_t name)
{
	return skh_http_message_header(exchange->request, skh_exchange_header_name(exchange, name));
}

const char *skh_exchange_customer(const skh_exchange_t *exchange)
{
	return exchange->owner ? exchange->owner->customer : "-";
}

uint32_t skh_exchange_priority(const skh_exchange_t *exchange)
{
	return exchange->owner && exchange->owner->has_priority ? exchange->owner->priority
								: exchange->route->priority;
}

static void on_timer_closed(uv_handle_t *handle)
{
	skh_exchange_t *exchange = handle->data;

	skh_board_release(exchange->routing);
	for (guint i = 0; i < exchange->tried_targets->len; i++)
		skh_target_unref(g_ptr_array_index(exchange->tried_targets, i));
	(void)g_ptr_array_free(exchange->tried_targets, TRUE);
	(void)g_string_free(exchange->response_headers, TRUE);
	skh_buffer_free(&exchange->response_body);
	skh_event_stream_clear(&exchange->event_stream);
	g_free(exchange);
}

void skh_exchange_log_end(const skh_exchange_t *exchange, const char *outcome, int32_t status,
			  const char *reason)
{
	int64_t now_us = skh_clock_boot_us();

	skh_log(SKH_LOG_INFO, PART, "Request ended.",
		"id=%s route=%s customer=%s outcome=%s status=%" PRId32 " server=%s sends=%u"
		" runs=%u queued_ms=%" PRId64 " first_ms=%" PRId64 " total_ms=%" PRId64
		" last_event=%" PRId64 " waiting=%u config=%" PRId64 " config_age_ms=%" PRId64
		" list=%" PRId64 " reason=%s",
		exchange->attempt_id, exchange->route ? exchange->route->name : "-",
		skh_exchange_customer(exchange), outcome, status,
		exchange->target ? exchange->target->server->id : "-", exchange->sends,
		exchange->possible_runs, exchange->queued_us / SKH_US_PER_MS,
		exchange->first_byte_us
			? (exchange->first_byte_us - exchange->received_us) / SKH_US_PER_MS
			: -1,
		(now_us - exchange->received_us) / SKH_US_PER_MS,
		exchange->event_stream.last_event_id,
		exchange->target_pool ? skh_request_queue_length(exchange->target_pool->queue) : 0,
		exchange->routing ? exchange->routing->version : 0,
		skh_gateway_config_age_us(exchange->gateway, now_us) / SKH_US_PER_MS,
		exchange->gateway->roster ? exchange->gateway->roster->revision : 0, reason);
}

void skh_exchange_end(skh_exchange_t *exchange)
{
	if (exchange->stage == SKH_EXCHANGE_ENDED)
		return;
	if (exchange->target_pool)
		skh_request_queue_remove(exchange->target_pool->queue, &exchange->queued_request);
	exchange->stage = SKH_EXCHANGE_ENDED;
	g_queue_unlink(&exchange->gateway->exchanges, &exchange->link);
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

/* --- Responses of the gateway's own --- */

static void send_rejection(skh_exchange_t *exchange, const rejection_t *rejection)
{
	g_autofree char *headers = NULL;
	skh_response_head_t head = { .status = skh_error_kind_http_status(rejection->err.kind),
				     .reason = skh_error_kind_name(rejection->err.kind) };
	skh_chunk_t text = skh_chunk_from_string(rejection->err.text);
	bool is_head_request = exchange->request->parser.method == HTTP_HEAD;

	headers = g_strdup_printf("Content-Type: text/plain\r\n%s: %s\r\n",
				  skh_exchange_header_name(exchange, SKH_HEADER_ATTEMPT_ID),
				  exchange->attempt_id);
	if (rejection->retry_after_ms > 0) {
		char *with_retry_after =
			g_strdup_printf("%sRetry-After: %" PRId64 ".%03" PRId64 "\r\n", headers,
					rejection->retry_after_ms / SKH_MS_PER_S,
					rejection->retry_after_ms % SKH_MS_PER_S);

		g_free(headers);
		headers = with_retry_after;
	}
	head.headers = headers;
	head.content_length = text.len;
	head.no_body = is_head_request;
	skh_caller_conn_begin_response(exchange->conn, &head);
	if (!is_head_request)
		skh_caller_conn_write(exchange->conn, text);
	skh_caller_conn_end_response(exchange->conn);
}

static void reject(skh_exchange_t *exchange, const rejection_t *rejection)
{
	bool is_not_run = rejection->err.run_state == SKH_RUN_NOT_RUN;

	skh_metrics_add(is_not_run ? SKH_COUNT_REFUSED : SKH_COUNT_UNKNOWN, 1);
	skh_exchange_log_end(exchange, skh_error_kind_name(rejection->err.kind),
			     skh_error_kind_http_status(rejection->err.kind), rejection->err.text);
	skh_exchange_end(exchange);
	send_rejection(exchange, rejection);
}

void skh_exchange_reject(skh_exchange_t *exchange, skh_error_kind_t kind, int64_t retry_after_ms,
			 const char *text)
{
	rejection_t rejection = { .retry_after_ms = retry_after_ms };

	(void)skh_error_set(&rejection.err, kind, "%s", text);
	reject(exchange, &rejection);
}

/* Limited to what callers honour; the jitter spreads their retries over time. */
int64_t skh_exchange_retry_after_ms(const skh_exchange_t *exchange, int64_t wanted_ms)
{
	int64_t remaining_ms = (exchange->deadline_us - skh_clock_boot_us()) / SKH_US_PER_MS;
	int64_t max_ms = remaining_ms / RETRY_AFTER_DIVISOR;
	int64_t jitter_ms = (int64_t)(skh_random_u64() %
				      (uint64_t)CLAMP(wanted_ms, 1, MAX_RETRY_AFTER_JITTER_MS));

	return MAX(MIN(MAX(wanted_ms, MIN_RETRY_AFTER_MS) + jitter_ms, max_ms), 1);
}

/* --- Queueing --- */

static int64_t caller_timeout_us(const skh_exchange_t *exchange)
{
	const skh_route_t *route = exchange->route;

	if (!route->is_streaming)
		return exchange->deadline_us - exchange->received_us;
	return MAX(MIN_CALLER_TIMEOUT_US, MAX(CALLER_TIMEOUT_OBJECTIVE_RATIO * route->objective_us,
					      CALLER_TIMEOUT_GAP_RATIO * route->gap_objective_us));
}

static void init_queued_request(skh_exchange_t *exchange, int64_t now_us)
{
	int64_t time_to_first_event_us =
		exchange->target_pool->typical_first_event_ms * SKH_US_PER_MS + RESPONSE_TRANSIT_US;
	int64_t caller_gives_up_us = exchange->received_us + caller_timeout_us(exchange);

	exchange->queued_request = (skh_queued_request_t){
		.is_probe_rejected = exchange->rejected_probes > 0,
		.priority = skh_exchange_priority(exchange),
		.enqueued_us = now_us,
		.dispatch_objective_us = exchange->received_us + exchange->route->objective_us -
					 time_to_first_event_us,
		.expires_us =
			MIN(exchange->deadline_us, caller_gives_up_us) - time_to_first_event_us,
		.index = -1,
	};
}

void skh_exchange_enqueue(skh_exchange_t *exchange, int64_t now_us)
{
	init_queued_request(exchange, now_us);
	if (exchange->stage != SKH_EXCHANGE_RESPONDING)
		exchange->stage = SKH_EXCHANGE_WAITING;
	skh_request_queue_enqueue(exchange->target_pool->queue, &exchange->queued_request);
	skh_exchange_dispatch(exchange->gateway);
}

/* Estimates the queueing time from the completion rate; 0 if the rate is unknown. */
static int64_t expected_wait_us(const skh_exchange_t *exchange, int64_t now_us)
{
	double completions_per_s = skh_target_pool_completion_rate(exchange->target_pool, now_us);
	uint32_t ahead = skh_request_queue_count_ahead(exchange->target_pool->queue,
						       &exchange->queued_request, now_us);

	if (completions_per_s <= 0.0)
		return 0;
	return (int64_t)((double)(ahead + 1) / completions_per_s * (double)SKH_US_PER_S);
}

static skh_queued_request_t *peek_next(const skh_target_pool_t *pool, int64_t now_us)
{
	return skh_group_breaker_is_tripped(&pool->gate)
		       ? skh_request_queue_peek_probe(pool->queue, now_us)
		       : skh_request_queue_peek(pool->queue, now_us);
}

static void dispatch_pool(skh_target_pool_t *pool, void *context)
{
	int64_t now_us = skh_clock_boot_us();
	skh_queued_request_t *queued_request;

	(void)context;
	while ((queued_request = peek_next(pool, now_us)) != NULL) {
		skh_exchange_t *exchange = exchange_from_queued(queued_request);
		skh_target_t *target;

		if (pool->lock_step && !skh_group_breaker_can_send(&pool->gate, now_us))
			return;
		target = skh_target_pool_select(pool, exchange->tried_targets, now_us);
		if (!target)
			return;
		skh_attempt_send(exchange, target, now_us);
	}
}

void skh_exchange_dispatch(skh_gateway_t *gateway)
{
	if (gateway->dispatching)
		return;
	gateway->dispatching = true;
	skh_backends_for_each_pool(gateway->backends, dispatch_pool, NULL);
	gateway->dispatching = false;
}

static void end_expired(skh_exchange_t *exchange, int64_t now_us)
{
	int64_t wait_us = expected_wait_us(exchange, now_us);

	if (exchange->stage == SKH_EXCHANGE_RESPONDING) {
		skh_exchange_log_end(exchange, "cut", exchange->response_status,
				     "no server was available to resume the stream");
		skh_exchange_end(exchange);
		skh_caller_conn_abort(exchange->conn);
		return;
	}
	if (exchange->possible_runs > 0) {
		skh_exchange_reject(exchange, SKH_OUTCOME_UNKNOWN, 0,
				    "an attempt was lost and no server was available for a retry");
		return;
	}
	skh_exchange_reject(exchange, SKH_OVERLOADED,
			    skh_exchange_retry_after_ms(exchange, MAX(wait_us / SKH_US_PER_MS,
								      SKH_DEFAULT_RETRY_AFTER_MS)),
			    "no server had capacity in time");
}

static void end_expired_in_pool(skh_target_pool_t *pool, void *context)
{
	int64_t now_us = skh_clock_boot_us();
	skh_queued_request_t *queued_request;

	(void)context;
	while ((queued_request = skh_request_queue_find_expired(pool->queue, now_us)) != NULL) {
		skh_exchange_t *exchange = exchange_from_queued(queued_request);

		skh_request_queue_remove(pool->queue, queued_request);
		exchange->queued_us += now_us - queued_request->enqueued_us;
		end_expired(exchange, now_us);
	}
}

/* Retries the target's requests elsewhere, where the retry policy allows. */
static void retry_all_elsewhere(skh_gateway_t *gateway, skh_target_t *target)
{
	GList *link = gateway->exchanges.head;

	target->references++;
	while (link) {
		skh_exchange_t *exchange = link->data;

		/* A retry may end this exchange, but no other. */
		link = link->next;
		if (exchange->target == target)
			skh_attempt_retry_elsewhere(exchange);
	}
	skh_target_unref(target);
}

/*
 * Retries the requests of an unreachable rank elsewhere. Idle connections are closed, so that
 * new requests have to connect first.
 */
static void abandon_rank(skh_gateway_t *gateway, skh_target_t *target, int64_t now_us)
{
	skh_log(SKH_LOG_WARNING, PART,
		"Rank is silent while its group responds; its retryable requests are moved.",
		"server=%s running=%u streaming=%u silent_ms=%" PRId64, target->server->id,
		target->own_running, target->own_streaming,
		(now_us - MAX(target->last_received_us, target->busy_since_us)) / SKH_US_PER_MS);
	skh_upstream_pool_close_idle(target->pool);
	retry_all_elsewhere(gateway, target);
	/* Requests that can't be retried stay; restart the interval before the next check. */
	target->busy_since_us = now_us;
	skh_target_mark_unreachable(target, now_us);
}

static void move_off_slow_rank(skh_target_t *target, void *context)
{
	if (target->slowdown < MOVE_SLOWDOWN_RATIO || target->own_running == 0)
		return;
	skh_log(SKH_LOG_WARNING, PART,
		"Slow rank makes its group wait; its retryable requests are moved.",
		"server=%s pace=%.1f running=%u", target->server->id, target->slowdown,
		target->own_running);
	retry_all_elsewhere(context, target);
}

void skh_exchange_move_off_slow_ranks(skh_gateway_t *gateway)
{
	skh_backends_for_each_target(gateway->backends, move_off_slow_rank, gateway);
	skh_exchange_dispatch(gateway);
}

static void check_ranks(skh_target_pool_t *pool, void *context)
{
	int64_t now_us = skh_clock_boot_us();

	for (guint i = 0; pool->lock_step && i < pool->targets->len; i++) {
		skh_target_t *target = g_ptr_array_index(pool->targets, i);

		if (skh_target_pool_is_rank_lost(pool, target, now_us))
			abandon_rank(context, target, now_us);
	}
}

void skh_exchange_tick(skh_gateway_t *gateway)
{
	skh_backends_for_each_pool(gateway->backends, check_ranks, gateway);
	skh_backends_for_each_pool(gateway->backends, end_expired_in_pool, NULL);
	skh_exchange_dispatch(gateway);
}

/* --- Callers --- */

static void on_timeout(uv_timer_t *timer)
{
	skh_exchange_t *exchange = timer->data;
	skh_gateway_t *gateway = exchange->gateway;

	if (exchange->stage == SKH_EXCHANGE_ENDED)
		return;
	if (exchange->stage == SKH_EXCHANGE_RESPONDING) {
		skh_exchange_log_end(exchange, "timed_out", exchange->response_status,
				     "the request's deadline passed");
		skh_attempt_release(exchange, SKH_OUTCOME_CANCELED, 0);
		skh_exchange_end(exchange);
		skh_caller_conn_abort(exchange->conn);
	} else if (exchange->stage == SKH_EXCHANGE_WAITING && exchange->possible_runs == 0) {
		skh_exchange_reject(exchange, SKH_OVERLOADED, 0, "no server had capacity in time");
	} else {
		skh_attempt_release(exchange, SKH_OUTCOME_FAILED, 0);
		skh_exchange_reject(exchange, SKH_TIMED_OUT, 0,
				    "the server did not answer before the deadline");
	}
	skh_exchange_dispatch(gateway);
}

static void on_disconnect(void *context, void *data)
{
	skh_exchange_t *exchange = data;

	skh_metrics_add(SKH_COUNT_CANCELS, 1);
	skh_exchange_log_end(exchange, "gone", 0, "the caller disconnected");
	skh_attempt_release(exchange, SKH_OUTCOME_CANCELED, 0);
	skh_exchange_end(exchange);
	skh_exchange_dispatch(context);
}

static void on_writable(void *context, void *data)
{
	skh_exchange_t *exchange = data;

	(void)context;
	if (!exchange->upstream_paused || !exchange->upstream)
		return;
	exchange->upstream_paused = false;
	skh_upstream_set_paused(exchange->upstream, false);
}

static int64_t parse_deadline_us(const skh_exchange_t *exchange)
{
	const char *text = request_header(exchange, SKH_HEADER_DEADLINE);
	int64_t remaining_ms = text ? g_ascii_strtoll(text, NULL, 10) : 0;

	return exchange->received_us +
	       (remaining_ms > 0 ? remaining_ms * SKH_US_PER_MS : DEFAULT_DEADLINE_US);
}

/*
 * Prompt tokens count a tenth of output tokens: an engine reads a prompt in chunks between the
 * output tokens of other requests.
 */
static double estimate_tokens(const skh_exchange_t *exchange)
{
	const char *token_counts = request_header(exchange, SKH_HEADER_TOKENS);
	const char *length_hint = request_header(exchange, SKH_HEADER_LENGTH_HINT);
	const char *comma = token_counts ? strchr(token_counts, ',') : NULL;
	double prompt_tokens = token_counts ? g_ascii_strtod(token_counts, NULL) : 0.0;
	double output_tokens = comma ? g_ascii_strtod(comma + 1, NULL) : 0.0;

	if (length_hint && g_ascii_strtod(length_hint, NULL) > 0.0)
		output_tokens = MIN(output_tokens, g_ascii_strtod(length_hint, NULL));
	return prompt_tokens / 10.0 + output_tokens;
}

/* Identifies a request by customer and content, so that a resend under a new id is recognized. */
static uint64_t hash_content(const skh_exchange_t *exchange)
{
	uint64_t hash =
		skh_chunk_hash(skh_chunk_from_string(exchange->request->request_target->str), 0);

	hash = skh_chunk_hash(skh_chunk_from_string(skh_exchange_customer(exchange)), hash);
	return skh_chunk_hash(skh_buffer_chunk(&exchange->request->body), hash);
}

static skh_exchange_t *new_exchange(skh_gateway_t *gateway, skh_caller_conn_t *conn,
				    const skh_http_message_t *request)
{
	skh_exchange_t *exchange = g_new0(skh_exchange_t, 1);
	const char *id;

	exchange->gateway = gateway;
	exchange->conn = conn;
	exchange->request = request;
	exchange->link.data = exchange;
	exchange->received_us = skh_caller_conn_received_us(conn);
	exchange->queued_request.index = -1;
	exchange->tried_targets = g_ptr_array_new();
	exchange->response_headers = g_string_new(NULL);
	skh_event_stream_init(&exchange->event_stream);
	id = request_header(exchange, SKH_HEADER_ATTEMPT_ID);
	(void)g_strlcpy(exchange->attempt_id, id ? id : "-", sizeof(exchange->attempt_id));
	(void)uv_timer_init(&gateway->loop, &exchange->timer);
	exchange->timer.data = exchange;
	g_queue_push_tail_link(&gateway->exchanges, &exchange->link);
	skh_caller_conn_set_exchange(conn, exchange);
	return exchange;
}

/* Finds route and customer; rejects the request and returns false if it can't be served. */
static bool resolve_route(skh_exchange_t *exchange, int64_t now_us)
{
	skh_gateway_t *gateway = exchange->gateway;
	const char *host = skh_http_message_header(exchange->request, "Host");

	exchange->deadline_us = parse_deadline_us(exchange);
	if (gateway->rejects_requests) {
		skh_exchange_reject(exchange, SKH_LEAVING, MIN_RETRY_AFTER_MS,
				    "this instance is stopping");
		return false;
	}
	exchange->routing = skh_board_acquire_routing(gateway->board);
	if (!exchange->routing || !gateway->roster) {
		skh_exchange_reject(exchange, SKH_NOT_READY,
				    skh_exchange_retry_after_ms(exchange, NOT_READY_RETRY_AFTER_MS),
				    "no configuration has been loaded yet");
		return false;
	}
	exchange->route = skh_routing_find_route(exchange->routing, host ? host : "",
						 exchange->request->request_target->str);
	if ((!exchange->route || exchange->route->needs_key) &&
	    !skh_gateway_can_trust_keys(gateway, now_us)) {
		/* Another gateway may have current keys; the caller's retry opens a new connection. */
		skh_exchange_reject(exchange, SKH_STALE, STALE_RETRY_AFTER_MS,
				    "the configuration may be out of date");
		return false;
	}
	if (!exchange->route) {
		skh_exchange_reject(exchange, SKH_NOT_FOUND, 0,
				    "no route matches the host and path");
		return false;
	}
	exchange->deadline_us =
		MIN(exchange->deadline_us, exchange->received_us + exchange->route->timeout_us);
	if (!exchange->route->needs_key || !exchange->routing->keys)
		return true;
	exchange->owner = skh_routing_find_key_owner(
		exchange->routing, gateway->dialect->auth_scheme,
		skh_http_message_header(exchange->request, "Authorization"));
	if (!exchange->owner)
		skh_exchange_reject(exchange, SKH_UNAUTHORIZED, 0,
				    "the Authorization header holds no known key");
	return exchange->owner != NULL;
}

static void select_service(skh_exchange_t *exchange)
{
	double fraction = (double)(skh_random_u64() >> 11) / (double)(1ULL << 53);
	uint32_t index = skh_routing_select_service(exchange->route, fraction);
	const skh_service_info_t *service = skh_routing_get_service(exchange->routing, index);

	exchange->target_pool =
		skh_backends_get_or_create_pool(exchange->gateway->backends, service->name);
}

/* Rejects at once what can't be served in time, so that the caller does not wait in vain. */
static bool admit(skh_exchange_t *exchange, int64_t now_us)
{
	int64_t wait_us;

	if (skh_crash_suspects_is_rejected(exchange->gateway->crash_suspects,
					   exchange->content_hash, now_us)) {
		skh_exchange_reject(exchange, SKH_LIMITED, 0,
				    "this request has crashed several servers");
		return false;
	}
	if (!skh_target_pool_has_servers(exchange->target_pool)) {
		skh_exchange_reject(
			exchange, SKH_NO_BACKEND,
			skh_exchange_retry_after_ms(exchange, SKH_DEFAULT_RETRY_AFTER_MS),
			"no server of the service is available");
		return false;
	}
	init_queued_request(exchange, now_us);
	if (skh_request_queue_length(exchange->target_pool->queue) == 0)
		return true;
	/* The requests queued already suffice as probes that show when the group recovers. */
	if (skh_group_breaker_is_down(&exchange->target_pool->gate, now_us)) {
		skh_exchange_reject(
			exchange, SKH_NO_BACKEND,
			skh_exchange_retry_after_ms(exchange, GROUP_DOWN_RETRY_AFTER_MS),
			"the group of servers is down");
		return false;
	}
	wait_us = expected_wait_us(exchange, now_us);
	if (now_us + wait_us <= exchange->queued_request.expires_us)
		return true;
	skh_exchange_reject(exchange, SKH_OVERLOADED,
			    skh_exchange_retry_after_ms(exchange, wait_us / SKH_US_PER_MS),
			    "the expected wait is too long");
	return false;
}

static void on_request(void *context, skh_caller_conn_t *conn, const skh_http_message_t *request)
{
	skh_gateway_t *gateway = context;
	int64_t now_us = skh_clock_boot_us();
	skh_exchange_t *exchange = new_exchange(gateway, conn, request);
	int64_t remaining_us;

	skh_metrics_add(SKH_COUNT_REQUESTS, 1);
	if (!resolve_route(exchange, now_us))
		return;
	select_service(exchange);
	exchange->content_hash = hash_content(exchange);
	exchange->expected_tokens = estimate_tokens(exchange);
	if (!admit(exchange, now_us))
		return;
	remaining_us = exchange->deadline_us - now_us;
	(void)uv_timer_start(&exchange->timer, on_timeout,
			     (uint64_t)(MAX(remaining_us, 0) / SKH_US_PER_MS), 0);
	skh_exchange_enqueue(exchange, now_us);
}

const skh_listener_ops_t skh_exchange_listener_ops = {
	.on_request = on_request,
	.on_disconnect = on_disconnect,
	.on_writable = on_writable,
};
