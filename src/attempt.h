#ifndef SKH_ATTEMPT_H
#define SKH_ATTEMPT_H

/**
 * DOC: One attempt of a request at one server
 *
 * Sending it, passing the answer on, and what follows when it fails. Shared by
 * attempt.c and exchange.c only: exchange.c has the caller's side.
 */

#include "event_stream.h"
#include "exchange.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Retry-After where nothing better is known: a server is back or free by then. */
#define SKH_DEFAULT_RETRY_AFTER_MS 500

/** enum skh_exchange_stage - how far a request is */
typedef enum skh_exchange_stage {
	SKH_EXCHANGE_WAITING,
	SKH_EXCHANGE_SENT,
	SKH_EXCHANGE_RESPONDING, /* the head has gone to the caller */
	SKH_EXCHANGE_ENDED
} skh_exchange_stage_t;

/** struct skh_exchange - one request, from the caller's words to the end of its answer */
typedef struct skh_exchange {
	skh_gateway_t *gateway;
	skh_caller_conn_t *conn;
	const skh_http_message_t *request; /* of the connection, until the answer ends */
	GList link;
	skh_exchange_stage_t stage;
	const skh_routing_t *routing; /* a reference: the route belongs to it */
	const skh_route_t *route;
	const skh_key_owner_t *owner; /* NULL where no key is asked for */
	skh_target_pool_t *target_pool;
	char attempt_id[80];
	uint64_t content_hash; /* hash of what the caller asks for */
	int64_t received_us;
	int64_t deadline_us;	/* the deadline or the route's timeout */
	int64_t sent_us;	/* of the attempt under way */
	int64_t queued_us;	/* spent waiting for a server */
	int64_t first_byte_us;	/* first event or answer */
	double expected_tokens; /* expected tokens */
	skh_queued_request_t queued_request;
	GPtrArray *tried_targets; /* skh_target_t; references */
	skh_target_t *target;
	skh_upstream_t *upstream;
	uint32_t sends;
	uint32_t possible_runs;	  /* attempts that may have run */
	uint32_t rejected_probes; /* sends that a closed group has refused */
	bool upstream_paused;
	skh_buffer_t response_body; /* of an answer that is kept whole */
	GString *response_headers;
	int32_t response_status;   /* that the caller gets */
	int32_t attempt_status;	   /* of the attempt under way; 0 before its head */
	bool attempt_is_streaming; /* its first event has come */
	char response_reason[64];
	bool response_is_signed;
	bool reported_not_run; /* the server's word */
	skh_event_stream_t event_stream;
	uv_timer_t timer;
} skh_exchange_t;

/* --- attempt.c --- */

/** skh_attempt_send() - hand the request to the server; it leaves the line */
void skh_attempt_send(skh_exchange_t *exchange, skh_target_t *target, int64_t now_us);

/** skh_attempt_release() - end the attempt, if any; the server's connection closes if it works */
void skh_attempt_release(skh_exchange_t *exchange, skh_outcome_t outcome, int64_t took_us);

/**
 * skh_attempt_retry_elsewhere() - the server is out of reach: try elsewhere, where that is allowed
 *
 * A request that may not run twice stays: its answer may still come.
 */
void skh_attempt_retry_elsewhere(skh_exchange_t *exchange);

/* --- exchange.c --- */

/** skh_exchange_header_name() - the platform's name of a header */
const char *skh_exchange_header_name(const skh_exchange_t *exchange, skh_header_name_t name);

/** skh_exchange_customer() - whose request it is, "-" if nobody's */
const char *skh_exchange_customer(const skh_exchange_t *exchange);

/** skh_exchange_priority() - the customer's, or else the route's */
uint32_t skh_exchange_priority(const skh_exchange_t *exchange);

/** skh_exchange_log_end() - the one line by which an operator finds how it ended */
void skh_exchange_log_end(const skh_exchange_t *exchange, const char *outcome, int32_t status,
			  const char *reason);

/** skh_exchange_end() - out of the line and the list; freed once its timer is closed */
void skh_exchange_end(skh_exchange_t *exchange);

/** skh_exchange_reject() - end it with the gateway's own answer; 0 ms for no Retry-After */
void skh_exchange_reject(skh_exchange_t *exchange, skh_error_kind_t kind, int64_t retry_after_ms,
			 const char *text);

/** skh_exchange_retry_after_ms() - what the caller will honour, spread */
int64_t skh_exchange_retry_after_ms(const skh_exchange_t *exchange, int64_t wanted_ms);

/** skh_exchange_enqueue() - into the service's line, which is served at once */
void skh_exchange_enqueue(skh_exchange_t *exchange, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
