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
/* Without a deadline of the caller's own. */
#define DEFAULT_DEADLINE_US (30 * SKH_US_PER_S)
/* An answer takes about this long on its way to the caller. */
#define RETURN_US (20 * SKH_US_PER_MS)
/* Callers give a stream up after the longest of these without an event. */
#define PATIENCE_US    (2 * SKH_US_PER_S)
#define PATIENCE_GOALS 4
#define PATIENCE_GAPS  8
/* Callers honour Retry-After up to this part of the time they have left. */
#define RETRY_AFTER_PART 3
#define RETRY_LEAST_MS	 100
#define RETRY_SPREAD_MS	 400
/* A gateway that has just started knows the configuration within this. */
#define RETRY_READY_MS 150
/* When another gateway can serve now. */
#define RETRY_ELSEWHERE_MS 10
/*
 * All streams of a group wait for its slowest rank. Beyond this pace those that it has
 * cost the others more than they lose by being read again elsewhere.
 */
#define MOVE_PACE 2.5
/* A broken group is back after seconds. */
#define GROUP_DOWN_MS 2000

/* Why the gateway answers for itself, for the log and the caller. */
typedef struct refusal {
	skh_error_t err;
	int64_t retry_after_ms; /* 0 for none */
} refusal_t;

static skh_exchange_t *exchange_of(skh_queued_request_t *waiter)
{
	return (skh_exchange_t *)((char *)waiter - offsetof(skh_exchange_t, queued_request));
}

const char *skh_exchange_header_name(const skh_exchange_t *exchange, skh_header_name_t name)
{
	return exchange->gateway->dialect->headers[name];
}

static const char *header_of(const skh_exchange_t *exchange, skh_header_name_t name)
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

/* --- Answers of the gateway's own --- */

static void answer_refusal(skh_exchange_t *exchange, const refusal_t *refusal)
{
	g_autofree char *headers = NULL;
	skh_response_head_t head = { .status = skh_error_kind_http_status(refusal->err.kind),
				     .reason = skh_error_kind_name(refusal->err.kind) };
	skh_chunk_t text = skh_chunk_from_string(refusal->err.text);
	bool head_only = exchange->request->parser.method == HTTP_HEAD;

	headers = g_strdup_printf("Content-Type: text/plain\r\n%s: %s\r\n",
				  skh_exchange_header_name(exchange, SKH_HEADER_ATTEMPT_ID),
				  exchange->attempt_id);
	if (refusal->retry_after_ms > 0) {
		char *with_retry = g_strdup_printf("%sRetry-After: %" PRId64 ".%03" PRId64 "\r\n",
						   headers, refusal->retry_after_ms / SKH_MS_PER_S,
						   refusal->retry_after_ms % SKH_MS_PER_S);

		g_free(headers);
		headers = with_retry;
	}
	head.headers = headers;
	head.content_length = text.len;
	head.no_body = head_only;
	skh_caller_conn_begin_response(exchange->conn, &head);
	if (!head_only)
		skh_caller_conn_write(exchange->conn, text);
	skh_caller_conn_end_response(exchange->conn);
}

/* The answer is due and is the gateway's own. */
static void refuse(skh_exchange_t *exchange, const refusal_t *refusal)
{
	bool not_run = refusal->err.run_state == SKH_RUN_NOT_RUN;

	skh_metrics_add(not_run ? SKH_COUNT_REFUSED : SKH_COUNT_UNKNOWN, 1);
	skh_exchange_log_end(exchange, skh_error_kind_name(refusal->err.kind),
			     skh_error_kind_http_status(refusal->err.kind), refusal->err.text);
	skh_exchange_end(exchange);
	answer_refusal(exchange, refusal);
}

void skh_exchange_reject(skh_exchange_t *exchange, skh_error_kind_t kind, int64_t retry_after_ms,
			 const char *text)
{
	refusal_t refusal = { .retry_after_ms = retry_after_ms };

	(void)skh_error_set(&refusal.err, kind, "%s", text);
	refuse(exchange, &refusal);
}

/* Callers honour no more than a part of the time they have; they come back spread out. */
int64_t skh_exchange_retry_after_ms(const skh_exchange_t *exchange, int64_t wanted_ms)
{
	int64_t left_ms = (exchange->deadline_us - skh_clock_boot_us()) / SKH_US_PER_MS;
	int64_t most_ms = left_ms / RETRY_AFTER_PART;
	int64_t spread_ms =
		(int64_t)(skh_random_u64() % (uint64_t)CLAMP(wanted_ms, 1, RETRY_SPREAD_MS));

	return MAX(MIN(MAX(wanted_ms, RETRY_LEAST_MS) + spread_ms, most_ms), 1);
}

/* --- Waiting --- */

static int64_t patience_us(const skh_exchange_t *exchange)
{
	const skh_route_t *route = exchange->route;

	if (!route->is_streaming)
		return exchange->deadline_us - exchange->received_us;
	return MAX(PATIENCE_US, MAX(PATIENCE_GOALS * route->objective_us,
				    PATIENCE_GAPS * route->gap_objective_us));
}

static void set_waiter(skh_exchange_t *exchange, int64_t now_us)
{
	int64_t first_us =
		exchange->target_pool->typical_first_event_ms * SKH_US_PER_MS + RETURN_US;
	int64_t gives_up_us = exchange->received_us + patience_us(exchange);

	exchange->queued_request = (skh_queued_request_t){
		.is_probe_rejected = exchange->rejected_probes > 0,
		.priority = skh_exchange_priority(exchange),
		.enqueued_us = now_us,
		.dispatch_objective_us =
			exchange->received_us + exchange->route->objective_us - first_us,
		.expires_us = MIN(exchange->deadline_us, gives_up_us) - first_us,
		.index = -1,
	};
}

void skh_exchange_enqueue(skh_exchange_t *exchange, int64_t now_us)
{
	set_waiter(exchange, now_us);
	if (exchange->stage != SKH_EXCHANGE_RESPONDING)
		exchange->stage = SKH_EXCHANGE_WAITING;
	skh_request_queue_enqueue(exchange->target_pool->queue, &exchange->queued_request);
	skh_exchange_dispatch(exchange->gateway);
}

/* Time until a newcomer would be served, by how fast requests end here. */
static int64_t expected_wait_us(const skh_exchange_t *exchange, int64_t now_us)
{
	double rate = skh_target_pool_completion_rate(exchange->target_pool, now_us);
	uint32_t ahead = skh_request_queue_count_ahead(exchange->target_pool->queue,
						       &exchange->queued_request, now_us);

	if (rate <= 0.0)
		return 0;
	return (int64_t)((double)(ahead + 1) / rate * (double)SKH_US_PER_S);
}

static skh_queued_request_t *next_of(const skh_target_pool_t *front, int64_t now_us)
{
	return skh_group_breaker_is_tripped(&front->gate)
		       ? skh_request_queue_peek_probe(front->queue, now_us)
		       : skh_request_queue_peek(front->queue, now_us);
}

static void dispatch_front(skh_target_pool_t *front, void *context)
{
	int64_t now_us = skh_clock_boot_us();
	skh_queued_request_t *waiter;

	(void)context;
	while ((waiter = next_of(front, now_us)) != NULL) {
		skh_exchange_t *exchange = exchange_of(waiter);
		skh_target_t *target;

		if (front->lock_step && !skh_group_breaker_can_send(&front->gate, now_us))
			return;
		target = skh_target_pool_select(front, exchange->tried_targets, now_us);
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
	skh_backends_for_each_pool(gateway->backends, dispatch_front, NULL);
	gateway->dispatching = false;
}

static void give_up_waiting(skh_exchange_t *exchange, int64_t now_us)
{
	int64_t wait_us = expected_wait_us(exchange, now_us);

	if (exchange->stage == SKH_EXCHANGE_RESPONDING) {
		skh_exchange_log_end(exchange, "cut", exchange->response_status,
				     "no server to go on at");
		skh_exchange_end(exchange);
		skh_caller_conn_abort(exchange->conn);
		return;
	}
	if (exchange->possible_runs > 0) {
		skh_exchange_reject(exchange, SKH_OUTCOME_UNKNOWN, 0,
				    "an attempt was lost and there is no server to repeat it at");
		return;
	}
	skh_exchange_reject(exchange, SKH_OVERLOADED,
			    skh_exchange_retry_after_ms(exchange, MAX(wait_us / SKH_US_PER_MS,
								      SKH_DEFAULT_RETRY_AFTER_MS)),
			    "no server had room in time");
}

static void end_hopeless(skh_target_pool_t *front, void *context)
{
	int64_t now_us = skh_clock_boot_us();
	skh_queued_request_t *waiter;

	(void)context;
	while ((waiter = skh_request_queue_find_expired(front->queue, now_us)) != NULL) {
		skh_exchange_t *exchange = exchange_of(waiter);

		skh_request_queue_remove(front->queue, waiter);
		exchange->queued_us += now_us - waiter->enqueued_us;
		give_up_waiting(exchange, now_us);
	}
}

/* What may run again goes on elsewhere. */
static void move_all(skh_gateway_t *gateway, skh_target_t *target)
{
	GList *link = gateway->exchanges.head;

	target->references++;
	while (link) {
		skh_exchange_t *exchange = link->data;

		/* A move may end the exchange, but no other. */
		link = link->next;
		if (exchange->target == target)
			skh_attempt_retry_elsewhere(exchange);
	}
	skh_target_unref(target);
}

/* Requests at a rank that is out of reach go on elsewhere; new ones have to connect first. */
static void leave_rank(skh_gateway_t *gateway, skh_target_t *target, int64_t now_us)
{
	skh_log(SKH_LOG_WARNING, PART, "Rank is silent while its group goes on.",
		"server=%s running=%u streaming=%u silent_ms=%" PRId64, target->server->id,
		target->own_running, target->own_streaming,
		(now_us - MAX(target->last_received_us, target->busy_since_us)) / SKH_US_PER_MS);
	skh_upstream_pool_close_idle(target->pool);
	move_all(gateway, target);
	/* What had to stay is asked about again later. */
	target->busy_since_us = now_us;
	skh_target_mark_unreachable(target, now_us);
}

static void relieve_slow(skh_target_t *target, void *context)
{
	if (target->slowdown < MOVE_PACE || target->own_running == 0)
		return;
	skh_log(SKH_LOG_WARNING, PART, "Rank is slow and all wait for it.",
		"server=%s pace=%.1f running=%u", target->server->id, target->slowdown,
		target->own_running);
	move_all(context, target);
}

void skh_exchange_move_off_slow_ranks(skh_gateway_t *gateway)
{
	skh_backends_for_each_target(gateway->backends, relieve_slow, gateway);
	skh_exchange_dispatch(gateway);
}

static void watch_ranks(skh_target_pool_t *front, void *context)
{
	int64_t now_us = skh_clock_boot_us();

	for (guint i = 0; front->lock_step && i < front->targets->len; i++) {
		skh_target_t *target = g_ptr_array_index(front->targets, i);

		if (skh_target_pool_is_rank_lost(front, target, now_us))
			leave_rank(context, target, now_us);
	}
}

void skh_exchange_tick(skh_gateway_t *gateway)
{
	skh_backends_for_each_pool(gateway->backends, watch_ranks, gateway);
	skh_backends_for_each_pool(gateway->backends, end_hopeless, NULL);
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
				     "the time was up");
		skh_attempt_release(exchange, SKH_OUTCOME_CANCELED, 0);
		skh_exchange_end(exchange);
		skh_caller_conn_abort(exchange->conn);
	} else if (exchange->stage == SKH_EXCHANGE_WAITING && exchange->possible_runs == 0) {
		skh_exchange_reject(exchange, SKH_OVERLOADED, 0, "no server had room in time");
	} else {
		skh_attempt_release(exchange, SKH_OUTCOME_FAILED, 0);
		skh_exchange_reject(exchange, SKH_TIMED_OUT, 0,
				    "the server did not answer in time");
	}
	skh_exchange_dispatch(gateway);
}

static void on_gone(void *context, void *data)
{
	skh_exchange_t *exchange = data;

	skh_metrics_add(SKH_COUNT_CANCELS, 1);
	skh_exchange_log_end(exchange, "gone", 0, "the caller left");
	skh_attempt_release(exchange, SKH_OUTCOME_CANCELED, 0);
	skh_exchange_end(exchange);
	skh_exchange_dispatch(context);
}

static void on_drained(void *context, void *data)
{
	skh_exchange_t *exchange = data;

	(void)context;
	if (!exchange->upstream_paused || !exchange->upstream)
		return;
	exchange->upstream_paused = false;
	skh_upstream_set_paused(exchange->upstream, false);
}

static int64_t deadline_of(const skh_exchange_t *exchange)
{
	const char *text = header_of(exchange, SKH_HEADER_DEADLINE);
	int64_t left_ms = text ? g_ascii_strtoll(text, NULL, 10) : 0;

	return exchange->received_us +
	       (left_ms > 0 ? left_ms * SKH_US_PER_MS : DEFAULT_DEADLINE_US);
}

/* Prompt tokens count as far as they are read in pieces between others' tokens. */
static double work_of(const skh_exchange_t *exchange)
{
	const char *usage = header_of(exchange, SKH_HEADER_TOKENS);
	const char *hint = header_of(exchange, SKH_HEADER_LENGTH_HINT);
	const char *comma = usage ? strchr(usage, ',') : NULL;
	double prompt = usage ? g_ascii_strtod(usage, NULL) : 0.0;
	double output = comma ? g_ascii_strtod(comma + 1, NULL) : 0.0;

	if (hint && g_ascii_strtod(hint, NULL) > 0.0)
		output = MIN(output, g_ascii_strtod(hint, NULL));
	return prompt / 10.0 + output;
}

/* The same caller asking for the same thing again, under whatever id. */
static uint64_t content_of(const skh_exchange_t *exchange)
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
	id = header_of(exchange, SKH_HEADER_ATTEMPT_ID);
	(void)g_strlcpy(exchange->attempt_id, id ? id : "-", sizeof(exchange->attempt_id));
	(void)uv_timer_init(&gateway->loop, &exchange->timer);
	exchange->timer.data = exchange;
	g_queue_push_tail_link(&gateway->exchanges, &exchange->link);
	skh_caller_conn_set_exchange(conn, exchange);
	return exchange;
}

/* Finds route and customer; false when the answer is given already. */
static bool resolve(skh_exchange_t *exchange, int64_t now_us)
{
	skh_gateway_t *gateway = exchange->gateway;
	const char *host = skh_http_message_header(exchange->request, "Host");

	exchange->deadline_us = deadline_of(exchange);
	if (gateway->rejects_requests) {
		skh_exchange_reject(exchange, SKH_LEAVING, RETRY_LEAST_MS,
				    "this instance is stopping");
		return false;
	}
	exchange->routing = skh_board_acquire_routing(gateway->board);
	if (!exchange->routing || !gateway->roster) {
		skh_exchange_reject(exchange, SKH_NOT_READY,
				    skh_exchange_retry_after_ms(exchange, RETRY_READY_MS),
				    "no configuration is known yet");
		return false;
	}
	exchange->route = skh_routing_find_route(exchange->routing, host ? host : "",
						 exchange->request->request_target->str);
	if ((!exchange->route || exchange->route->needs_key) &&
	    !skh_gateway_can_trust_keys(gateway, now_us)) {
		/* Other gateways hold the keys: they are asked next, on a new connection. */
		skh_exchange_reject(exchange, SKH_STALE, RETRY_ELSEWHERE_MS,
				    "the configuration may be out of date");
		return false;
	}
	if (!exchange->route) {
		skh_exchange_reject(exchange, SKH_NOT_FOUND, 0, "no route");
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
		skh_exchange_reject(exchange, SKH_UNAUTHORIZED, 0, "the key is not known");
	return exchange->owner != NULL;
}

static void choose_service(skh_exchange_t *exchange)
{
	double draw = (double)(skh_random_u64() >> 11) / (double)(1ULL << 53);
	uint32_t index = skh_routing_select_service(exchange->route, draw);
	const skh_service_info_t *service = skh_routing_get_service(exchange->routing, index);

	exchange->target_pool =
		skh_backends_get_or_create_pool(exchange->gateway->backends, service->name);
}

/* What can't be served is told at once. */
static bool admit(skh_exchange_t *exchange, int64_t now_us)
{
	int64_t wait_us;

	if (skh_crash_suspects_is_rejected(exchange->gateway->crash_suspects,
					   exchange->content_hash, now_us)) {
		skh_exchange_reject(exchange, SKH_LIMITED, 0,
				    "this request has crashed its servers");
		return false;
	}
	if (!skh_target_pool_has_servers(exchange->target_pool)) {
		skh_exchange_reject(
			exchange, SKH_NO_BACKEND,
			skh_exchange_retry_after_ms(exchange, SKH_DEFAULT_RETRY_AFTER_MS),
			"no server is listed");
		return false;
	}
	set_waiter(exchange, now_us);
	if (skh_request_queue_length(exchange->target_pool->queue) == 0)
		return true;
	/* Those who wait already are enough to see when it opens. */
	if (skh_group_breaker_is_down(&exchange->target_pool->gate, now_us)) {
		skh_exchange_reject(exchange, SKH_NO_BACKEND,
				    skh_exchange_retry_after_ms(exchange, GROUP_DOWN_MS),
				    "the group of servers is down");
		return false;
	}
	wait_us = expected_wait_us(exchange, now_us);
	if (now_us + wait_us <= exchange->queued_request.expires_us)
		return true;
	skh_exchange_reject(exchange, SKH_OVERLOADED,
			    skh_exchange_retry_after_ms(exchange, wait_us / SKH_US_PER_MS),
			    "too many wait already");
	return false;
}

static void on_request(void *context, skh_caller_conn_t *conn, const skh_http_message_t *request)
{
	skh_gateway_t *gateway = context;
	int64_t now_us = skh_clock_boot_us();
	skh_exchange_t *exchange = new_exchange(gateway, conn, request);
	int64_t left_us;

	skh_metrics_add(SKH_COUNT_REQUESTS, 1);
	if (!resolve(exchange, now_us))
		return;
	choose_service(exchange);
	exchange->content_hash = content_of(exchange);
	exchange->expected_tokens = work_of(exchange);
	if (!admit(exchange, now_us))
		return;
	left_us = exchange->deadline_us - now_us;
	(void)uv_timer_start(&exchange->timer, on_timeout,
			     (uint64_t)(MAX(left_us, 0) / SKH_US_PER_MS), 0);
	skh_exchange_enqueue(exchange, now_us);
}

const skh_listener_ops_t skh_exchange_listener_ops = {
	.on_request = on_request,
	.on_disconnect = on_gone,
	.on_writable = on_drained,
};
