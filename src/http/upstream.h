#ifndef SKH_UPSTREAM_H
#define SKH_UPSTREAM_H

/**
 * DOC: Connections to backend servers
 *
 * A pool of HTTP/1.1 connections to one backend server. A connection carries
 * one request at a time and is reused only after a complete response with no
 * bytes behind it. Responses are matched by attempt id; a response to another
 * request is skipped. Runs on the event loop's thread.
 */

#include "http_message.h"
#include "memory_budget.h"

#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_upstream_error - why no complete response was received */
typedef enum skh_upstream_error {
	SKH_UPSTREAM_ERROR_UNREACHABLE,	      /* connect failed; no byte was sent */
	SKH_UPSTREAM_ERROR_CONNECTION_CLOSED, /* connection closed or reset */
	SKH_UPSTREAM_ERROR_INVALID_RESPONSE,  /* response malformed or rejected by on_head() */
	SKH_UPSTREAM_ERROR_WITHDRAWN	      /* may_write() returned false; no byte was sent */
} skh_upstream_error_t;

/** struct skh_upstream_ops - callbacks for one request; run on the loop's thread */
typedef struct skh_upstream_ops {
	/* Response head received. Return false to reject the response. */
	bool (*on_head)(void *context, const skh_http_message_t *response);
	void (*on_body)(void *context, skh_chunk_t bytes);
	/* Response complete. Last callback; the request's handle is invalid afterwards. */
	void (*on_end)(void *context, const skh_http_message_t *response);
	/*
	 * Request failed. Last callback; the request's handle is invalid afterwards.
	 * @request_written: the server may have received a part of the request.
	 */
	void (*on_error)(void *context, skh_upstream_error_t error, bool request_written);
	/*
	 * A new connection is open. Return false if the request is no longer to be sent; NULL sends
	 * it always.
	 */
	bool (*may_write)(void *context);
} skh_upstream_ops_t;

typedef struct skh_upstream_pool skh_upstream_pool_t;
typedef struct skh_upstream skh_upstream_t;

/** struct skh_upstream_pool_options - limits of a pool */
typedef struct skh_upstream_pool_options {
	const char *attempt_id_header; /* request header that the server echoes */
	int64_t connect_timeout_us;
	int64_t unacked_timeout_us; /* time after which unacknowledged bytes close a connection */
	int64_t idle_timeout_us;    /* a connection idle for this long is not reused */
	uint32_t max_idle_connections; /* if exceeded, the longest idle connection is closed */
	skh_memory_budget_t *memory;   /* counts what is buffered; NULL for no limit */
} skh_upstream_pool_options_t;

/**
 * skh_upstream_pool_new() - create a pool; connections are opened on demand
 * @host: IPv4 address
 * @options: borrowed; must outlive the pool
 *
 * Return: the pool; free with skh_upstream_pool_free().
 */
skh_upstream_pool_t *skh_upstream_pool_new(uv_loop_t *loop, const char *host, uint16_t port,
					   const skh_upstream_pool_options_t *options);

/** skh_upstream_pool_free() - close idle connections; requests in flight still complete */
void skh_upstream_pool_free(skh_upstream_pool_t *pool);

/**
 * skh_upstream_pool_close_idle() - close all idle connections
 *
 * For a server that has become unreachable: its idle connections may be dead
 * without an error on the socket.
 */
void skh_upstream_pool_close_idle(skh_upstream_pool_t *pool);

/** struct skh_upstream_request - one request to a server */
typedef struct skh_upstream_request {
	skh_chunk_t bytes;	 /* head and body; copied */
	const char *attempt_id;	 /* copied; NULL accepts any response */
	bool is_head_request;	 /* the response has no body */
	bool use_new_connection; /* an idle connection may be dead without an error */
} skh_upstream_request_t;

/**
 * skh_upstream_pool_send() - send a request
 * @request: borrowed for the call
 * @ops: borrowed until the last callback
 *
 * Callbacks run from the loop, after the function has returned.
 *
 * Return: handle of the request, owned by the pool; valid until on_end() or
 * on_error() runs or skh_upstream_cancel() is called.
 */
skh_upstream_t *skh_upstream_pool_send(skh_upstream_pool_t *pool,
				       const skh_upstream_request_t *request,
				       const skh_upstream_ops_t *ops, void *context);

/** skh_upstream_cancel() - close the request's connection; no callback follows */
void skh_upstream_cancel(skh_upstream_t *upstream);

/** skh_upstream_is_connecting() - true while no byte of the request has been written */
bool skh_upstream_is_connecting(const skh_upstream_t *upstream);

/** skh_upstream_set_paused() - stop or resume reading the response, for flow control */
void skh_upstream_set_paused(skh_upstream_t *upstream, bool paused);

/** skh_upstream_pool_opened_count() - connects by all pools since start, including failed ones */
uint64_t skh_upstream_pool_opened_count(void);

#ifdef __cplusplus
}
#endif
#endif
