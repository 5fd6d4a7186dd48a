#ifndef SKH_UPSTREAM_H
#define SKH_UPSTREAM_H

/**
 * DOC: Connections to backend servers
 *
 * A pool of HTTP/1.1 connections to one server. A connection carries one
 * request at a time; it is used again only after a whole answer with nothing
 * behind it. Answers are told apart by the attempt's id: an answer to another
 * request is skipped. Runs on the event loop's thread.
 */

#include "http_message.h"

#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_upstream_error - why there is no whole answer */
typedef enum skh_upstream_error {
	SKH_UPSTREAM_ERROR_UNREACHABLE,	      /* no connection: nothing was handed over */
	SKH_UPSTREAM_ERROR_CONNECTION_CLOSED, /* the connection ended, or was reset */
	SKH_UPSTREAM_ERROR_INVALID_RESPONSE   /* bytes that are no answer to this request */
} skh_upstream_error_t;

/** struct skh_upstream_ops - what happens to a request that was sent */
typedef struct skh_upstream_ops {
	/* The head of the answer is read; false when it can't be used. */
	bool (*on_head)(void *context, const skh_http_message_t *answer);
	void (*on_body)(void *context, skh_chunk_t bytes);
	/* The answer is whole. Last call. */
	void (*on_end)(void *context, const skh_http_message_t *answer);
	/* @handed_over: some byte of the request may have reached the server. Last call. */
	void (*on_error)(void *context, skh_upstream_error_t lost, bool handed_over);
} skh_upstream_ops_t;

typedef struct skh_upstream_pool skh_upstream_pool_t;
typedef struct skh_upstream skh_upstream_t;

/** struct skh_upstream_pool_options - times in microseconds */
typedef struct skh_upstream_pool_options {
	const char *attempt_id_header; /* echoed by the server */
	int64_t connect_timeout_us;
	int64_t unacked_timeout_us;    /* unacknowledged bytes end the connection */
	int64_t idle_timeout_us;       /* a connection idle for longer is not used again */
	uint32_t max_idle_connections; /* connections kept */
} skh_upstream_pool_options_t;

/** skh_upstream_pool_new() - for the server at @host:@port; @options must outlive it */
skh_upstream_pool_t *skh_upstream_pool_new(uv_loop_t *loop, const char *host, uint16_t port,
					   const skh_upstream_pool_options_t *options);

/** skh_upstream_pool_free() - close idle connections; those in use end by themselves */
void skh_upstream_pool_free(skh_upstream_pool_t *pool);

/** skh_upstream_pool_close_idle() - close idle connections: they may be dead without a sign */
void skh_upstream_pool_close_idle(skh_upstream_pool_t *pool);

/** struct skh_upstream_request - one request for a server */
typedef struct skh_upstream_request {
	skh_chunk_t bytes;	 /* copied */
	const char *attempt_id;	 /* NULL for a call whose answer names none */
	bool is_head_request;	 /* the answer has no body */
	bool use_new_connection; /* on a new connection: an old one may be dead unseen */
} skh_upstream_request_t;

/** skh_upstream_pool_send() - send; callbacks never come before this returns */
skh_upstream_t *skh_upstream_pool_send(skh_upstream_pool_t *pool,
				       const skh_upstream_request_t *send,
				       const skh_upstream_ops_t *ops, void *context);

/** skh_upstream_cancel() - close the connection; no callback follows */
void skh_upstream_cancel(skh_upstream_t *upstream);

/** skh_upstream_set_paused() - stop or resume reading, when the caller is slow */
void skh_upstream_set_paused(skh_upstream_t *upstream, bool paused);

/** skh_upstream_pool_opened_count() - connections opened so far by all pools */
uint64_t skh_upstream_pool_opened_count(void);

#ifdef __cplusplus
}
#endif
#endif
