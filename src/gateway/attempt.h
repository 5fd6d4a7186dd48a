#ifndef SKH_ATTEMPT_H
#define SKH_ATTEMPT_H

/**
 * DOC: Attempt of a request at one backend server
 *
 * Private interface between attempt.c, which sends a request to a server,
 * forwards the response and handles failures, and exchange.c, which handles the
 * caller and the queue. Runs on the event loop's thread.
 */

#include "crash_suspects.h"
#include "event_stream.h"
#include "exchange.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Default Retry-After: time in which a server is expected to recover or to have capacity. */
#define SKH_DEFAULT_RETRY_AFTER_MS 500

/** enum skh_exchange_state - progress of a request */
typedef enum skh_exchange_state {
	SKH_EXCHANGE_QUEUED,	 /* in the queue */
	SKH_EXCHANGE_SENT,	 /* sent to a server */
	SKH_EXCHANGE_RESPONDING, /* response head sent, also while queued to resume the stream */
	SKH_EXCHANGE_ENDED
} skh_exchange_state_t;

/** struct skh_exchange - one request, from its arrival to the end of its response */
typedef struct skh_exchange {
	skh_gateway_t *gateway;
	skh_caller_conn_t *conn;
	const skh_http_message_t *request; /* owned by @conn; valid until the response ends */
	GList link;
	skh_exchange_state_t state;
	const skh_routing_t *routing; /* counted reference; owns @route and @key_owner */
	const skh_route_t *route;
	const skh_key_owner_t *key_owner; /* NULL when the route needs no key */
	skh_target_pool_t *target_pool;
	skh_homes_t homes;     /* where the request may be served */
	char *attempt_id;      /* "-" if the caller sent none; owned */
	uint64_t content_hash; /* hash of request target, customer and body */
	skh_prompt_parts_t prompt_parts;
	int64_t response_begun_us; /* first body byte of the current attempt; 0 before */
	int64_t received_us;
	/* For the begin of the response: earlier of @end_deadline_us and the gateway's answer_by_us. */
	int64_t deadline_us;
	int64_t end_deadline_us;   /* earlier of the caller's deadline and the route's timeout */
	int64_t sent_us;	   /* start of the current attempt */
	int64_t queue_duration_us; /* total time in the queue */
	int64_t first_event_us;	   /* time of the first event or the response; 0 before */
	int64_t origin_us;	   /* @received_us, or of the request that was told to return */
	int64_t last_event_us;	   /* time of the last event; 0 if the gap to the next is unknown */
	uint32_t n_passes;	   /* passes that brought an event */
	double expected_tokens;	   /* estimated work */
	double cache_tokens;	   /* prompt and expected output tokens */
	skh_queued_request_t queued_request;
	GPtrArray *excluded_targets; /* skh_target_t not to retry at; counted references */
	skh_target_t *target;	     /* server of the current attempt, or NULL */
	skh_upstream_t *upstream;    /* connection of the current attempt, or NULL */
	uint32_t n_attempts;	     /* attempts so far */
	uint32_t possible_runs;	     /* attempts that may have run */
	uint32_t rejected_probes;    /* attempts rejected while the group's breaker was tripped */
	int64_t next_move_us;	     /* earliest next try to leave a silent group */
	int64_t paused_since_us;     /* start of the current or latest pause */
	size_t pending_charge;	     /* bytes of @event_stream that the memory budget counts */
	skh_buffer_t response_body;  /* body of a response that is not streamed */
	GString *response_headers;
	int32_t response_status; /* status for the caller */
	int32_t attempt_status;	 /* status of the current attempt; 0 before its head */
	char response_reason[64];
	bool awaits_config;    /* arrived before the first configuration was loaded */
	bool is_continuation;  /* of a stream that its caller has received a part of */
	bool is_crash_test;    /* tests a suspected prompt part */
	bool is_event_stream;  /* the response that the caller gets says so */
	bool has_logged_order; /* an event of the current attempt was out of order */
	bool has_survived;     /* the current attempt has, see crash_suspects.h */
	bool is_group_probe;   /* the current attempt probes a group that is not ready */
	bool upstream_paused;  /* the response is not read, as the caller is slow */
	bool was_unread; /* the current attempt was paused long enough for a server to give up */
	bool attempt_is_streaming; /* current attempt has delivered an event */
	bool response_is_signed;
	bool response_is_framed; /* did not end with its connection */
	bool reported_not_run;	 /* server reported that it did not run the request */
	skh_event_stream_t event_stream;
	uv_timer_t timer; /* deadline */
} skh_exchange_t;

/* --- attempt.c --- */

/**
 * skh_attempt_on_server_lost() - a server has disappeared without leaving
 * @gateway: skh_gateway_t
 */
void skh_attempt_on_server_lost(void *gateway, const skh_server_t *server);

/** skh_exchange_traits() - what identifies the request if it crashes servers; borrowed */
skh_request_traits_t skh_exchange_traits(const skh_exchange_t *exchange);

/** skh_attempt_discard_body() - free what is buffered of the current attempt's response */
void skh_attempt_discard_body(skh_exchange_t *exchange);

/** skh_attempt_send() - dequeue the request and send it to @target */
void skh_attempt_send(skh_exchange_t *exchange, skh_target_t *target, int64_t now_us);

/**
 * skh_attempt_release() - end the current attempt, if any
 * @latency_us: time to the first event or the complete response; 0 if unknown
 *
 * Closes the connection to the server if the response is not complete.
 */
void skh_attempt_release(skh_exchange_t *exchange, skh_target_outcome_t outcome,
			 int64_t latency_us);

/** skh_attempt_resume_reading() - read the response again, if that was paused for a slow caller */
void skh_attempt_resume_reading(skh_exchange_t *exchange);

/** skh_attempt_count_pending() - update what the memory budget counts of an incomplete event */
void skh_attempt_count_pending(skh_exchange_t *exchange);

/**
 * skh_attempt_retry_elsewhere() - cancel the current attempt and retry at another server
 *
 * Only where the retry policy allows a retry. Otherwise the attempt continues,
 * because its response may still arrive.
 */
void skh_attempt_retry_elsewhere(skh_exchange_t *exchange);

/**
 * skh_attempt_withdraw() - end an attempt of which no byte was sent, and enqueue the request again
 *
 * It needs no retry budget, because no server has seen the request.
 */
void skh_attempt_withdraw(skh_exchange_t *exchange);

/* --- exchange.c --- */

/** skh_exchange_header_name() - name of a header in the gateway's dialect */
const char *skh_exchange_header_name(const skh_exchange_t *exchange, skh_header_name_t name);

/** skh_exchange_customer() - customer of the request, or "-" if unknown */
const char *skh_exchange_customer(const skh_exchange_t *exchange);

/** skh_exchange_priority() - priority of the customer, or else of the route; 0 is most urgent */
uint32_t skh_exchange_priority(const skh_exchange_t *exchange);

/**
 * skh_exchange_log_end() - log the single line that tells an operator how the request ended
 * @status: HTTP status for the caller; 0 for none
 */
void skh_exchange_log_end(const skh_exchange_t *exchange, const char *outcome, int32_t status,
			  const char *reason);

/**
 * skh_exchange_end() - remove the request from its queue and the gateway's list of exchanges
 *
 * @exchange is freed once its timer is closed.
 */
void skh_exchange_end(skh_exchange_t *exchange);

/**
 * skh_exchange_reject() - end the exchange with a response generated by the gateway
 * @retry_after_ms: 0 for no Retry-After header
 *
 * To be called only while the caller still waits for the head of a response.
 */
void skh_exchange_reject(skh_exchange_t *exchange, skh_error_kind_t kind, int64_t retry_after_ms,
			 const char *text);

/**
 * skh_exchange_retry_after_ms() - compute the Retry-After value
 *
 * Return: @wanted_ms with random jitter, limited to what the caller honours.
 */
int64_t skh_exchange_retry_after_ms(const skh_exchange_t *exchange, int64_t wanted_ms);

/** skh_exchange_enqueue() - enqueue the request and dispatch the queues */
void skh_exchange_enqueue(skh_exchange_t *exchange, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
