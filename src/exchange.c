#include "exchange.h"

#include "clock.h"
#include "culprits.h"
#include "events.h"
#include "gossip.h"
#include "log.h"
#include "metrics.h"
#include "verdict.h"

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
#define RETRY_DEFAULT_MS 500
/* A broken group is back after seconds. */
#define GROUP_DOWN_MS 2000
/* Answers that are kept whole before they are passed on. */
#define MAX_ANSWER_BYTES (16U << 20)
#define MOST_URGENT	 0U
#define LEAST_URGENT	 9U

typedef enum stage {
	STAGE_WAITING,
	STAGE_SENT,
	STAGE_ANSWERING, /* the head has gone to the caller */
	STAGE_ENDED
} stage_t;

/* Why the gateway answers for itself, for the log and the caller. */
typedef struct refusal {
	skh_error_t err;
	int64_t retry_after_ms; /* 0 for none */
} refusal_t;

typedef struct exchange {
	skh_gateway_t *gateway;
	skh_caller_conn_t *conn;
	const skh_message_t *request; /* of the connection, until the answer ends */
	GList link;
	stage_t stage;
	const skh_routing_t *routing; /* a reference: the route belongs to it */
	const skh_route_t *route;
	const skh_key_owner_t *owner; /* NULL where no key is asked for */
	skh_front_t *front;
	char attempt_id[80];
	uint64_t content; /* hash of what the caller asks for */
	int64_t received_us;
	int64_t until_us;  /* the deadline or the route's timeout */
	int64_t sent_us;   /* of the attempt under way */
	int64_t queued_us; /* spent waiting for a server */
	int64_t first_us;  /* first event or answer */
	double work;	   /* expected tokens */
	skh_waiter_t waiter;
	GPtrArray *tried; /* skh_target_t; references */
	skh_target_t *target;
	skh_upstream_t *upstream;
	uint32_t sends;
	uint32_t runs; /* attempts that may have run */
	bool paused;
	skh_buffer_t body; /* of an answer that is kept whole */
	GString *answer_headers;
	int32_t answer_status;	/* that the caller gets */
	int32_t attempt_status; /* of the attempt under way; 0 before its head */
	char answer_reason[64];
	bool signed_answer;
	bool not_run; /* the server's word */
	skh_events_t events;
	uv_timer_t timer;
} exchange_t;

static exchange_t *exchange_of(skh_waiter_t *waiter)
{
	return (exchange_t *)((char *)waiter - offsetof(exchange_t, waiter));
}

static const char *header_name(const exchange_t *exchange, skh_field_name_t name)
{
	return exchange->gateway->dialect->headers[name];
}

static const char *header_of(const exchange_t *exchange, skh_field_name_t name)
{
	return skh_message_header(exchange->request, header_name(exchange, name));
}

static const char *customer_of(const exchange_t *exchange)
{
	return exchange->owner ? exchange->owner->customer : "-";
}

static uint32_t priority_of(const exchange_t *exchange)
{
	return exchange->owner && exchange->owner->has_priority ? exchange->owner->priority
								: exchange->route->priority;
}

static void on_timer_closed(uv_handle_t *handle)
{
	exchange_t *exchange = handle->data;

	skh_board_release(exchange->routing);
	for (guint i = 0; i < exchange->tried->len; i++)
		skh_target_unref(g_ptr_array_index(exchange->tried, i));
	(void)g_ptr_array_free(exchange->tried, TRUE);
	(void)g_string_free(exchange->answer_headers, TRUE);
	skh_buffer_free(&exchange->body);
	skh_events_clear(&exchange->events);
	g_free(exchange);
}

static void log_end(const exchange_t *exchange, const char *outcome, int32_t status,
		    const char *reason)
{
	int64_t now_us = skh_clock_boot_us();

	skh_log(SKH_LOG_INFO, PART, "Request ended.",
		"id=%s route=%s customer=%s outcome=%s status=%" PRId32 " server=%s sends=%u"
		" runs=%u queued_ms=%" PRId64 " first_ms=%" PRId64 " total_ms=%" PRId64
		" last_event=%" PRId64 " reason=%s",
		exchange->attempt_id, exchange->route ? exchange->route->name : "-",
		customer_of(exchange), outcome, status,
		exchange->target ? exchange->target->server->id : "-", exchange->sends,
		exchange->runs, exchange->queued_us / SKH_US_PER_MS,
		exchange->first_us ? (exchange->first_us - exchange->received_us) / SKH_US_PER_MS
				   : -1,
		(now_us - exchange->received_us) / SKH_US_PER_MS, exchange->events.last_id, reason);
}

/* Leaves the attempt; the server's connection is closed if it still works. */
static void leave_attempt(exchange_t *exchange, skh_outcome_t outcome, int64_t took_us)
{
	if (exchange->upstream) {
		skh_upstream_cancel(exchange->upstream);
		exchange->upstream = NULL;
	}
	if (exchange->target)
		skh_target_end(exchange->target, exchange->work, outcome, took_us,
			       skh_clock_boot_us());
	exchange->target = NULL;
}

static void end_exchange(exchange_t *exchange)
{
	if (exchange->stage == STAGE_ENDED)
		return;
	if (exchange->front)
		skh_waitline_remove(exchange->front->line, &exchange->waiter);
	exchange->stage = STAGE_ENDED;
	g_queue_unlink(&exchange->gateway->exchanges, &exchange->link);
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

/* --- Answers of the gateway's own --- */

static void answer_refusal(exchange_t *exchange, const refusal_t *refusal)
{
	g_autofree char *headers = NULL;
	skh_answer_head_t head = { .status = skh_kind_http_status(refusal->err.kind),
				   .reason = skh_kind_name(refusal->err.kind) };
	skh_chunk_t text = skh_chunk_from_string(refusal->err.text);
	bool head_only = exchange->request->parser.method == HTTP_HEAD;

	headers =
		g_strdup_printf("Content-Type: text/plain\r\n%s: %s\r\n",
				header_name(exchange, SKH_HEADER_ATTEMPT_ID), exchange->attempt_id);
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
	skh_caller_conn_begin(exchange->conn, &head);
	if (!head_only)
		skh_caller_conn_write(exchange->conn, text);
	skh_caller_conn_end(exchange->conn);
}

/* The answer is due and is the gateway's own. */
static void refuse(exchange_t *exchange, const refusal_t *refusal)
{
	bool not_run = refusal->err.run == SKH_RUN_NOT_RUN;

	skh_metrics_add(not_run ? SKH_COUNT_REFUSED : SKH_COUNT_UNKNOWN, 1);
	log_end(exchange, skh_kind_name(refusal->err.kind), skh_kind_http_status(refusal->err.kind),
		refusal->err.text);
	end_exchange(exchange);
	answer_refusal(exchange, refusal);
}

static void refuse_kind(exchange_t *exchange, skh_kind_t kind, int64_t retry_after_ms,
			const char *text)
{
	refusal_t refusal = { .retry_after_ms = retry_after_ms };

	(void)skh_error_set(&refusal.err, kind, "%s", text);
	refuse(exchange, &refusal);
}

/* Callers honour no more than a part of the time they have; they come back spread out. */
static int64_t retry_after_ms(const exchange_t *exchange, int64_t wanted_ms)
{
	int64_t left_ms = (exchange->until_us - skh_clock_boot_us()) / SKH_US_PER_MS;
	int64_t most_ms = left_ms / RETRY_AFTER_PART;
	int64_t spread_ms = (int64_t)(skh_random_u64() % RETRY_SPREAD_MS);

	return MAX(MIN(MAX(wanted_ms, RETRY_LEAST_MS) + spread_ms, most_ms), 1);
}

/* --- Sending --- */

static bool is_replaced(const exchange_t *exchange, const char *name)
{
	static const skh_field_name_t replaced[] = { SKH_HEADER_DEADLINE, SKH_HEADER_CUSTOMER,
						     SKH_HEADER_INSTANCE, SKH_HEADER_PRIORITY };

	for (size_t i = 0; i < G_N_ELEMENTS(replaced); i++) {
		if (g_ascii_strcasecmp(name, header_name(exchange, replaced[i])) == 0)
			return true;
	}
	if (g_ascii_strcasecmp(name, header_name(exchange, SKH_HEADER_LAST_EVENT)) == 0)
		return exchange->events.last_id >= 0;
	return g_ascii_strcasecmp(name, "authorization") == 0;
}

/* A field that the sender names in "Connection" is for that connection only. */
static bool is_named_by(const char *connection, const char *name)
{
	g_auto(GStrv) tokens = connection ? g_strsplit(connection, ",", -1) : NULL;

	for (size_t i = 0; tokens && tokens[i]; i++) {
		if (g_ascii_strcasecmp(g_strstrip(tokens[i]), name) == 0)
			return true;
	}
	return false;
}

static void write_own_headers(const exchange_t *exchange, const skh_target_t *target,
			      int64_t now_us, skh_buffer_t *out)
{
	int64_t left_ms = (exchange->until_us - now_us) / SKH_US_PER_MS;

	skh_buffer_printf(out, "%s: %" PRId64 "\r\n", header_name(exchange, SKH_HEADER_DEADLINE),
			  MAX(left_ms, 1));
	skh_buffer_printf(out, "%s: %s\r\n", header_name(exchange, SKH_HEADER_INSTANCE),
			  target->server->id);
	skh_buffer_printf(out, "%s: %u\r\n", header_name(exchange, SKH_HEADER_PRIORITY),
			  MIN(priority_of(exchange), LEAST_URGENT));
	if (exchange->owner)
		skh_buffer_printf(out, "%s: %s\r\n", header_name(exchange, SKH_HEADER_CUSTOMER),
				  exchange->owner->customer);
	if (exchange->events.last_id >= 0)
		skh_buffer_printf(out, "%s: %" PRId64 "\r\n",
				  header_name(exchange, SKH_HEADER_LAST_EVENT),
				  exchange->events.last_id);
	if (exchange->request->body.len > 0 || exchange->request->parser.method == HTTP_POST ||
	    exchange->request->parser.method == HTTP_PUT)
		skh_buffer_printf(out, "Content-Length: %zu\r\n", exchange->request->body.len);
}

static void write_request(const exchange_t *exchange, const skh_target_t *target, int64_t now_us,
			  skh_buffer_t *out)
{
	const skh_message_t *request = exchange->request;
	const char *connection = skh_message_header(request, "Connection");

	skh_buffer_printf(out, "%s %s HTTP/1.1\r\n",
			  http_method_str((enum http_method)request->parser.method),
			  request->target->str);
	for (guint i = 0; i < request->headers->len; i++) {
		const skh_header_t *header = &g_array_index(request->headers, skh_header_t, i);

		if (!skh_header_is_hop(header->name) && !is_replaced(exchange, header->name) &&
		    !is_named_by(connection, header->name))
			skh_buffer_printf(out, "%s: %s\r\n", header->name, header->value);
	}
	write_own_headers(exchange, target, now_us, out);
	skh_buffer_append_string(out, "\r\n");
	skh_buffer_append(out, skh_buffer_chunk(&request->body));
}

static const skh_upstream_ops_t upstream_ops;

static void send_to(exchange_t *exchange, skh_target_t *target, int64_t now_us)
{
	skh_buffer_t bytes = SKH_BUFFER_INIT;
	skh_gateway_t *gateway = exchange->gateway;
	skh_send_t send = {
		.attempt_id = exchange->attempt_id,
		.head_only = exchange->request->parser.method == HTTP_HEAD,
		.fresh = exchange->route->repeat == SKH_REPEAT_NEVER,
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
	exchange->stage = exchange->stage == STAGE_ANSWERING ? STAGE_ANSWERING : STAGE_SENT;
	exchange->target = target;
	exchange->sent_us = now_us;
	exchange->not_run = false;
	exchange->attempt_status = 0;
	skh_buffer_clear(&exchange->body);
	skh_target_begin(target, exchange->work);
	skh_log(SKH_LOG_INFO, PART, "Request placed.",
		"id=%s server=%s send=%u queued_ms=%" PRId64 " running=%u peers=%u waiting=%u"
		" config=%" PRId64 " config_age_ms=%" PRId64 " list=%" PRId64,
		exchange->attempt_id, target->server->id, exchange->sends,
		exchange->queued_us / SKH_US_PER_MS, target->own_running, target->peers_running,
		skh_waitline_length(exchange->front->line), exchange->routing->version,
		skh_gateway_fresh_age_us(gateway, now_us) / SKH_US_PER_MS,
		gateway->roster ? gateway->roster->revision : 0);
	write_request(exchange, target, now_us, &bytes);
	send.bytes = skh_buffer_chunk(&bytes);
	exchange->upstream = skh_pool_send(target->pool, &send, &upstream_ops, exchange);
	skh_buffer_free(&bytes);
}

/* --- Waiting --- */

static int64_t patience_us(const exchange_t *exchange)
{
	const skh_route_t *route = exchange->route;

	if (!route->streams)
		return exchange->until_us - exchange->received_us;
	return MAX(PATIENCE_US,
		   MAX(PATIENCE_GOALS * route->goal_us, PATIENCE_GAPS * route->gap_goal_us));
}

static void set_waiter(exchange_t *exchange, int64_t now_us)
{
	int64_t first_us = exchange->front->first_ms * SKH_US_PER_MS + RETURN_US;
	int64_t gives_up_us = exchange->received_us + patience_us(exchange);

	exchange->waiter = (skh_waiter_t){
		.priority = priority_of(exchange),
		.since_us = now_us,
		.goal_us = exchange->received_us + exchange->route->goal_us - first_us,
		.until_us = MIN(exchange->until_us, gives_up_us) - first_us,
		.index = -1,
	};
}

static void wait_for_server(exchange_t *exchange, int64_t now_us)
{
	set_waiter(exchange, now_us);
	if (exchange->stage != STAGE_ANSWERING)
		exchange->stage = STAGE_WAITING;
	skh_waitline_add(exchange->front->line, &exchange->waiter);
	skh_exchange_dispatch(exchange->gateway);
}

/* Time until a newcomer would be served, by how fast requests end here. */
static int64_t expected_wait_us(const exchange_t *exchange, int64_t now_us)
{
	double rate = skh_front_rate(exchange->front, now_us);
	uint32_t ahead = skh_waitline_ahead(exchange->front->line, &exchange->waiter, now_us);

	if (rate <= 0.0)
		return 0;
	return (int64_t)((double)(ahead + 1) / rate * (double)SKH_US_PER_S);
}

static void dispatch_front(skh_front_t *front, void *context)
{
	int64_t now_us = skh_clock_boot_us();
	skh_waiter_t *waiter;

	(void)context;
	while ((waiter = skh_waitline_next(front->line, now_us)) != NULL) {
		exchange_t *exchange = exchange_of(waiter);
		skh_target_t *target;

		if (front->lock_step && !skh_groupgate_may_send(&front->gate, now_us))
			return;
		target = skh_front_pick(front, exchange->tried, now_us);
		if (!target)
			return;
		send_to(exchange, target, now_us);
	}
}

void skh_exchange_dispatch(skh_gateway_t *gateway)
{
	if (gateway->dispatching)
		return;
	gateway->dispatching = true;
	skh_backends_each_front(gateway->backends, dispatch_front, NULL);
	gateway->dispatching = false;
}

static void give_up_waiting(exchange_t *exchange, int64_t now_us)
{
	int64_t wait_us = expected_wait_us(exchange, now_us);

	if (exchange->stage == STAGE_ANSWERING) {
		log_end(exchange, "cut", exchange->answer_status, "no server to go on at");
		end_exchange(exchange);
		skh_caller_conn_abort(exchange->conn);
		return;
	}
	if (exchange->runs > 0) {
		refuse_kind(exchange, SKH_OUTCOME_UNKNOWN, 0,
			    "an attempt was lost and there is no server to repeat it at");
		return;
	}
	refuse_kind(exchange, SKH_OVERLOADED,
		    retry_after_ms(exchange, MAX(wait_us / SKH_US_PER_MS, RETRY_DEFAULT_MS)),
		    "no server had room in time");
}

static void end_hopeless(skh_front_t *front, void *context)
{
	int64_t now_us = skh_clock_boot_us();
	skh_waiter_t *waiter;

	(void)context;
	while ((waiter = skh_waitline_hopeless(front->line, now_us)) != NULL) {
		exchange_t *exchange = exchange_of(waiter);

		skh_waitline_remove(front->line, waiter);
		exchange->queued_us += now_us - waiter->since_us;
		give_up_waiting(exchange, now_us);
	}
}

void skh_exchange_tick(skh_gateway_t *gateway)
{
	skh_backends_each_front(gateway->backends, end_hopeless, NULL);
	skh_exchange_dispatch(gateway);
}

/* --- Answers of servers --- */

static void begin_answer(exchange_t *exchange, bool chunked, size_t content_length)
{
	skh_answer_head_t head = {
		.status = exchange->answer_status,
		.reason = exchange->answer_reason,
		.headers = exchange->answer_headers->str,
		.chunked = chunked,
		.content_length = content_length,
		.no_body = exchange->request->parser.method == HTTP_HEAD,
	};

	exchange->stage = STAGE_ANSWERING;
	skh_caller_conn_begin(exchange->conn, &head);
}

static void keep_answer_head(exchange_t *exchange, const skh_message_t *answer)
{
	const char *connection = skh_message_header(answer, "Connection");

	exchange->answer_status = (int32_t)answer->parser.status_code;
	(void)g_strlcpy(exchange->answer_reason,
			http_status_str((enum http_status)answer->parser.status_code),
			sizeof(exchange->answer_reason));
	(void)g_string_truncate(exchange->answer_headers, 0);
	for (guint i = 0; i < answer->headers->len; i++) {
		const skh_header_t *header = &g_array_index(answer->headers, skh_header_t, i);

		if (!skh_header_is_hop(header->name) && !is_named_by(connection, header->name))
			g_string_append_printf(exchange->answer_headers, "%s: %s\r\n", header->name,
					       header->value);
	}
}

static bool says_not_run(const exchange_t *exchange, const skh_message_t *answer)
{
	return answer->parser.status_code == 421 ||
	       (answer->parser.status_code >= 400 &&
		skh_message_header(answer, header_name(exchange, SKH_HEADER_NOT_RUN)));
}

/* A stream that goes on keeps the head of its first server. */
static bool on_head(void *context, const skh_message_t *answer)
{
	exchange_t *exchange = context;
	bool is_success = answer->parser.status_code / 100 == 2;

	exchange->attempt_status = (int32_t)answer->parser.status_code;
	exchange->not_run = says_not_run(exchange, answer);
	exchange->signed_answer =
		skh_message_header(answer, header_name(exchange, SKH_HEADER_SIGNATURE)) != NULL;
	if (is_success &&
	    (!exchange->signed_answer || skh_message_header(answer, "Content-Encoding")))
		return false;
	if (exchange->stage == STAGE_ANSWERING)
		return true;
	keep_answer_head(exchange, answer);
	return true;
}

static bool streams_now(const exchange_t *exchange)
{
	return exchange->route->streams && !exchange->not_run &&
	       exchange->attempt_status / 100 == 2;
}

static void finish_attempt(exchange_t *exchange, skh_attempt_end_t end);

static void note_first(exchange_t *exchange)
{
	if (exchange->first_us != 0)
		return;
	exchange->first_us = skh_clock_boot_us();
	skh_metrics_observe(SKH_HIST_FIRST_BYTE, customer_of(exchange), exchange->route->name,
			    exchange->first_us - exchange->received_us);
}

static void pass_events(exchange_t *exchange, skh_chunk_t bytes)
{
	skh_buffer_t out = SKH_BUFFER_INIT;
	bool follows = skh_events_feed(&exchange->events, bytes, &out);

	if (out.len > 0) {
		skh_groupgate_answered(&exchange->front->gate);
		note_first(exchange);
		if (exchange->stage != STAGE_ANSWERING)
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
	exchange_t *exchange = context;

	if (streams_now(exchange))
		pass_events(exchange, bytes);
	else if (exchange->body.len + bytes.len <= MAX_ANSWER_BYTES)
		skh_buffer_append(&exchange->body, bytes);
}

static void observe_end(const exchange_t *exchange)
{
	skh_metrics_add(SKH_COUNT_ANSWERS_WHOLE, 1);
	skh_culprits_clear(exchange->gateway->culprits, exchange->content);
	skh_metrics_observe(SKH_HIST_ANSWER, customer_of(exchange), exchange->route->name,
			    skh_clock_boot_us() - exchange->received_us);
}

/* The server's own answer, kept whole until now. */
static void pass_answer(exchange_t *exchange)
{
	note_first(exchange);
	begin_answer(exchange, false, exchange->body.len);
	if (exchange->request->parser.method != HTTP_HEAD)
		skh_caller_conn_write(exchange->conn, skh_buffer_chunk(&exchange->body));
	observe_end(exchange);
	log_end(exchange, "passed", exchange->answer_status, "-");
	leave_attempt(exchange,
		      exchange->answer_status < 500 ? SKH_OUTCOME_GOOD : SKH_OUTCOME_FAILED,
		      exchange->first_us - exchange->sent_us);
	end_exchange(exchange);
	skh_caller_conn_end(exchange->conn);
	skh_exchange_dispatch(exchange->gateway);
}

static void end_stream(exchange_t *exchange)
{
	/* A server that ended in the middle of an event has not finished. */
	if (!skh_events_is_whole(&exchange->events)) {
		finish_attempt(exchange, SKH_END_CUT);
		return;
	}
	if (exchange->stage != STAGE_ANSWERING)
		begin_answer(exchange, true, 0);
	observe_end(exchange);
	log_end(exchange, "streamed", exchange->answer_status, "-");
	leave_attempt(exchange, SKH_OUTCOME_GOOD,
		      exchange->first_us ? exchange->first_us - exchange->sent_us : 0);
	end_exchange(exchange);
	skh_caller_conn_end(exchange->conn);
	skh_exchange_dispatch(exchange->gateway);
}

static void on_end(void *context, const skh_message_t *answer)
{
	exchange_t *exchange = context;
	uint32_t status = answer->parser.status_code;

	exchange->upstream = NULL;
	if (exchange->not_run) {
		finish_attempt(exchange, SKH_END_NOT_RUN);
		return;
	}
	if (status / 100 == 2 && exchange->route->streams)
		end_stream(exchange);
	else if (exchange->stage == STAGE_ANSWERING)
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
	exchange_t *exchange = context;
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

static skh_outcome_t outcome_of(const exchange_t *exchange, skh_attempt_end_t end)
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

static void send_again(exchange_t *exchange, skh_target_t *target, skh_attempt_end_t end,
		       int64_t now_us)
{
	if (end != SKH_END_NOT_RUN) {
		target->references++;
		g_ptr_array_add(exchange->tried, target);
	}
	skh_events_restart(&exchange->events);
	wait_for_server(exchange, now_us);
}

static void conclude(exchange_t *exchange, skh_verdict_t verdict)
{
	switch (verdict) {
	case SKH_VERDICT_PASS:
		pass_answer(exchange);
		return;
	case SKH_VERDICT_REFUSE:
		refuse_kind(exchange, SKH_OVERLOADED, retry_after_ms(exchange, RETRY_DEFAULT_MS),
			    "servers turned it away");
		return;
	case SKH_VERDICT_CUT:
		log_end(exchange, "cut", exchange->answer_status, "the stream broke off");
		end_exchange(exchange);
		skh_caller_conn_abort(exchange->conn);
		return;
	default:
		refuse_kind(exchange, SKH_OUTCOME_UNKNOWN, 0, "the server's answer was lost");
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

static void finish_attempt(exchange_t *exchange, skh_attempt_end_t end)
{
	skh_gateway_t *gateway = exchange->gateway;
	int64_t now_us = skh_clock_boot_us();
	skh_target_t *target = exchange->target;
	skh_verdict_view_t view;
	skh_verdict_t verdict;

	if (end == SKH_END_CUT && exchange->stage != STAGE_ANSWERING)
		end = SKH_END_LOST;
	if (end == SKH_END_ERROR || end == SKH_END_LOST || end == SKH_END_CUT)
		exchange->runs++;
	view = (skh_verdict_view_t){
		.end = end,
		.repeat = exchange->route->repeat,
		.runs = exchange->runs,
		.max_attempts = exchange->route->max_attempts,
		.sends = exchange->sends,
		.may_repeat = skh_retryshare_has_room(&exchange->front->share,
						      &gateway->retry_bounds, now_us),
		.is_suspect = skh_culprits_is_held(gateway->culprits, exchange->content, now_us),
		.now_us = now_us,
		.until_us = exchange->until_us,
	};
	verdict = skh_verdict_of(&view);
	if (end == SKH_END_NOT_RUN && exchange->front->lock_step && exchange->attempt_status == 503)
		skh_groupgate_refused(&exchange->front->gate, now_us);
	skh_log(SKH_LOG_INFO, PART, "Attempt failed.",
		"id=%s server=%s end=%s status=%" PRId32 " runs=%u budget=%d suspect=%d again=%d",
		exchange->attempt_id, target->server->id, end_name(end), exchange->attempt_status,
		exchange->runs, view.may_repeat, view.is_suspect, verdict == SKH_VERDICT_AGAIN);
	if (verdict == SKH_VERDICT_PASS) {
		conclude(exchange, verdict);
		return;
	}
	target->references++; /* outlives the attempt */
	leave_attempt(exchange, outcome_of(exchange, end), 0);
	if (verdict == SKH_VERDICT_AGAIN)
		send_again(exchange, target, end, now_us);
	else
		conclude(exchange, verdict);
	skh_target_unref(target);
	skh_exchange_dispatch(gateway);
}

/* --- Callers --- */

static void on_timeout(uv_timer_t *timer)
{
	exchange_t *exchange = timer->data;
	skh_gateway_t *gateway = exchange->gateway;

	if (exchange->stage == STAGE_ENDED)
		return;
	if (exchange->stage == STAGE_ANSWERING) {
		log_end(exchange, "timed_out", exchange->answer_status, "the time was up");
		leave_attempt(exchange, SKH_OUTCOME_WITHDRAWN, 0);
		end_exchange(exchange);
		skh_caller_conn_abort(exchange->conn);
	} else if (exchange->stage == STAGE_WAITING && exchange->runs == 0) {
		refuse_kind(exchange, SKH_OVERLOADED, 0, "no server had room in time");
	} else {
		leave_attempt(exchange, SKH_OUTCOME_FAILED, 0);
		refuse_kind(exchange, SKH_TIMED_OUT, 0, "the server did not answer in time");
	}
	skh_exchange_dispatch(gateway);
}

static void on_gone(void *context, void *data)
{
	exchange_t *exchange = data;

	skh_metrics_add(SKH_COUNT_CANCELS, 1);
	log_end(exchange, "gone", 0, "the caller left");
	leave_attempt(exchange, SKH_OUTCOME_WITHDRAWN, 0);
	end_exchange(exchange);
	skh_exchange_dispatch(context);
}

static void on_drained(void *context, void *data)
{
	exchange_t *exchange = data;

	(void)context;
	if (!exchange->paused || !exchange->upstream)
		return;
	exchange->paused = false;
	skh_upstream_pause(exchange->upstream, false);
}

static int64_t deadline_of(const exchange_t *exchange)
{
	const char *text = header_of(exchange, SKH_HEADER_DEADLINE);
	int64_t left_ms = text ? g_ascii_strtoll(text, NULL, 10) : 0;

	return exchange->received_us +
	       (left_ms > 0 ? left_ms * SKH_US_PER_MS : DEFAULT_DEADLINE_US);
}

/* Prompt tokens count as far as they are read in pieces between others' tokens. */
static double work_of(const exchange_t *exchange)
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
static uint64_t content_of(const exchange_t *exchange)
{
	uint64_t hash = skh_chunk_hash(skh_chunk_from_string(exchange->request->target->str), 0);

	hash = skh_chunk_hash(skh_chunk_from_string(customer_of(exchange)), hash);
	return skh_chunk_hash(skh_buffer_chunk(&exchange->request->body), hash);
}

static exchange_t *new_exchange(skh_gateway_t *gateway, skh_caller_conn_t *conn,
				const skh_message_t *request)
{
	exchange_t *exchange = g_new0(exchange_t, 1);
	const char *id;

	exchange->gateway = gateway;
	exchange->conn = conn;
	exchange->request = request;
	exchange->link.data = exchange;
	exchange->received_us = skh_caller_conn_received_us(conn);
	exchange->waiter.index = -1;
	exchange->tried = g_ptr_array_new();
	exchange->answer_headers = g_string_new(NULL);
	skh_events_init(&exchange->events);
	id = header_of(exchange, SKH_HEADER_ATTEMPT_ID);
	(void)g_strlcpy(exchange->attempt_id, id ? id : "-", sizeof(exchange->attempt_id));
	(void)uv_timer_init(&gateway->loop, &exchange->timer);
	exchange->timer.data = exchange;
	g_queue_push_tail_link(&gateway->exchanges, &exchange->link);
	skh_caller_conn_bind(conn, exchange);
	return exchange;
}

/* Finds route and customer; false when the answer is given already. */
static bool resolve(exchange_t *exchange, int64_t now_us)
{
	skh_gateway_t *gateway = exchange->gateway;
	const char *host = skh_message_header(exchange->request, "Host");

	exchange->until_us = deadline_of(exchange);
	if (gateway->refuses) {
		refuse_kind(exchange, SKH_LEAVING, RETRY_LEAST_MS, "this instance is stopping");
		return false;
	}
	exchange->routing = skh_board_routing(gateway->board);
	if (!exchange->routing || !gateway->roster) {
		refuse_kind(exchange, SKH_NOT_READY, retry_after_ms(exchange, RETRY_DEFAULT_MS),
			    "no configuration is known yet");
		return false;
	}
	exchange->route = skh_routing_find(exchange->routing, host ? host : "",
					   exchange->request->target->str);
	if ((!exchange->route || exchange->route->needs_key) &&
	    !skh_gateway_keys_hold(gateway, now_us)) {
		refuse_kind(exchange, SKH_STALE, retry_after_ms(exchange, RETRY_DEFAULT_MS),
			    "the configuration may be out of date");
		return false;
	}
	if (!exchange->route) {
		refuse_kind(exchange, SKH_NOT_FOUND, 0, "no route");
		return false;
	}
	exchange->until_us =
		MIN(exchange->until_us, exchange->received_us + exchange->route->timeout_us);
	if (!exchange->route->needs_key || !exchange->routing->keys)
		return true;
	exchange->owner = skh_routing_owner(exchange->routing, gateway->dialect->key_scheme,
					    skh_message_header(exchange->request, "Authorization"));
	if (!exchange->owner)
		refuse_kind(exchange, SKH_UNAUTHORIZED, 0, "the key is not known");
	return exchange->owner != NULL;
}

static void choose_service(exchange_t *exchange)
{
	double draw = (double)(skh_random_u64() >> 11) / (double)(1ULL << 53);
	uint32_t index = skh_routing_split(exchange->route, draw);
	const skh_service_info_t *service = skh_routing_service_at(exchange->routing, index);

	exchange->front = skh_backends_front(exchange->gateway->backends, service->name);
}

/* What can't be served is told at once. */
static bool admit(exchange_t *exchange, int64_t now_us)
{
	int64_t wait_us;

	if (skh_culprits_is_barred(exchange->gateway->culprits, exchange->content, now_us)) {
		refuse_kind(exchange, SKH_LIMITED, 0, "this request has crashed its servers");
		return false;
	}
	if (!skh_front_has_servers(exchange->front)) {
		refuse_kind(exchange, SKH_NO_BACKEND, retry_after_ms(exchange, RETRY_DEFAULT_MS),
			    "no server is listed");
		return false;
	}
	set_waiter(exchange, now_us);
	if (skh_waitline_length(exchange->front->line) == 0)
		return true;
	/* Those who wait already are enough to see when it opens. */
	if (skh_groupgate_is_closed(&exchange->front->gate, now_us)) {
		refuse_kind(exchange, SKH_NO_BACKEND, retry_after_ms(exchange, GROUP_DOWN_MS),
			    "the group of servers is down");
		return false;
	}
	wait_us = expected_wait_us(exchange, now_us);
	if (now_us + wait_us <= exchange->waiter.until_us)
		return true;
	refuse_kind(exchange, SKH_OVERLOADED, retry_after_ms(exchange, wait_us / SKH_US_PER_MS),
		    "too many wait already");
	return false;
}

static void on_request(void *context, skh_caller_conn_t *conn, const skh_message_t *request)
{
	skh_gateway_t *gateway = context;
	int64_t now_us = skh_clock_boot_us();
	exchange_t *exchange = new_exchange(gateway, conn, request);
	int64_t left_us;

	skh_metrics_add(SKH_COUNT_REQUESTS, 1);
	if (!resolve(exchange, now_us))
		return;
	choose_service(exchange);
	exchange->content = content_of(exchange);
	exchange->work = work_of(exchange);
	if (!admit(exchange, now_us))
		return;
	left_us = exchange->until_us - now_us;
	(void)uv_timer_start(&exchange->timer, on_timeout,
			     (uint64_t)(MAX(left_us, 0) / SKH_US_PER_MS), 0);
	wait_for_server(exchange, now_us);
}

const skh_listener_ops_t skh_exchange_listener_ops = {
	.on_request = on_request,
	.on_gone = on_gone,
	.on_drained = on_drained,
};
