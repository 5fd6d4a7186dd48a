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

#include "message.h"

#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_lost - why there is no whole answer */
typedef enum skh_lost {
	SKH_LOST_UNREACHABLE, /* no connection: nothing was handed over */
	SKH_LOST_BROKEN,      /* the connection ended, or was reset */
	SKH_LOST_GARBLED      /* bytes that are no answer to this request */
} skh_lost_t;

/** struct skh_upstream_ops - what happens to a request that was sent */
typedef struct skh_upstream_ops {
	/* The head of the answer is read; false when it can't be used. */
	bool (*on_head)(void *context, const skh_message_t *answer);
	void (*on_body)(void *context, skh_chunk_t bytes);
	/* The answer is whole. Last call. */
	void (*on_end)(void *context, const skh_message_t *answer);
	/* @handed_over: some byte of the request may have reached the server. Last call. */
	void (*on_lost)(void *context, skh_lost_t lost, bool handed_over);
} skh_upstream_ops_t;

typedef struct skh_pool skh_pool_t;
typedef struct skh_upstream skh_upstream_t;

/** struct skh_pool_options - times in microseconds */
typedef struct skh_pool_options {
	const char *attempt_header; /* echoed by the server */
	int64_t connect_timeout_us;
	int64_t silence_timeout_us; /* unacknowledged bytes end the connection */
	int64_t max_idle_us;	    /* a connection idle for longer is not used again */
	uint32_t max_idle;	    /* connections kept */
} skh_pool_options_t;

/** skh_pool_new() - for the server at @host:@port; @options must outlive it */
skh_pool_t *skh_pool_new(uv_loop_t *loop, const char *host, uint16_t port,
			 const skh_pool_options_t *options);

/** skh_pool_free() - close idle connections; those in use end by themselves */
void skh_pool_free(skh_pool_t *pool);

/** skh_pool_drop_idle() - close idle connections: they may be dead without a sign */
void skh_pool_drop_idle(skh_pool_t *pool);

/** struct skh_send - one request for a server */
typedef struct skh_send {
	skh_chunk_t bytes;	/* copied */
	const char *attempt_id; /* NULL for a call whose answer names none */
	bool head_only;		/* the answer has no body */
	bool fresh;		/* on a new connection: an old one may be dead unseen */
} skh_send_t;

/** skh_pool_send() - send; callbacks never come before this returns */
skh_upstream_t *skh_pool_send(skh_pool_t *pool, const skh_send_t *send,
			      const skh_upstream_ops_t *ops, void *context);

/** skh_upstream_cancel() - close the connection; no callback follows */
void skh_upstream_cancel(skh_upstream_t *upstream);

/** skh_upstream_pause() - stop or resume reading, when the caller is slow */
void skh_upstream_pause(skh_upstream_t *upstream, bool paused);

/** skh_pool_opened() - connections opened so far by all pools */
uint64_t skh_pool_opened(void);

#ifdef __cplusplus
}
#endif
#endif
