#ifndef SKH_DOWNSTREAM_H
#define SKH_DOWNSTREAM_H

/**
 * DOC: Connections from callers
 *
 * Listens, reads one request at a time from each connection and hands it on
 * when it is whole. The connection is read on while the request is served, so
 * that a caller who leaves is seen at once. Runs on the event loop's thread.
 */

#include "http_message.h"
#include "routing.h"

#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_listener skh_listener_t;
typedef struct skh_caller_conn skh_caller_conn_t;

/** struct skh_listener_ops - told by the listener */
typedef struct skh_listener_ops {
	/* A whole request; its answer is due. Valid until the answer ends. */
	void (*on_request)(void *context, skh_caller_conn_t *conn,
			   const skh_http_message_t *request);
	/* The caller has left before its answer ended. */
	void (*on_disconnect)(void *context, void *exchange);
	/* What the caller was sent has gone out, after skh_caller_conn_has_write_backlog(). */
	void (*on_writable)(void *context, void *exchange);
} skh_listener_ops_t;

/** skh_listener_start() - listen on "address:port"; NULL with @err */
skh_listener_t *skh_listener_start(uv_loop_t *loop, const char *address,
				   const skh_listener_ops_t *ops, void *context, skh_error_t *err);

/** skh_listener_set_limits() - for requests that are read from now on */
void skh_listener_set_limits(skh_listener_t *listener, const skh_caller_limits_t *limits);

/** skh_listener_drain() - answers end their connections; idle ones are closed */
void skh_listener_drain(skh_listener_t *listener);

/** skh_listener_set_close_after_response() - while @away, answers end their connections: others serve better */
void skh_listener_set_close_after_response(skh_listener_t *listener, bool away);

/** skh_listener_stop_accepting() - new connections are refused; open ones go on */
void skh_listener_stop_accepting(skh_listener_t *listener);

/** skh_listener_close() - accept nothing more and close every connection */
void skh_listener_close(skh_listener_t *listener);

/** skh_listener_count_connections() - connections that are open */
uint32_t skh_listener_count_connections(const skh_listener_t *listener);

/** skh_listener_free() - after the loop has run out of handles */
void skh_listener_free(skh_listener_t *listener);

/** skh_caller_conn_set_exchange() - @exchange is told of by on_gone() and on_drained() */
void skh_caller_conn_set_exchange(skh_caller_conn_t *conn, void *exchange);

/** skh_caller_conn_received_us() - when the first byte of the request was read; boot clock */
int64_t skh_caller_conn_received_us(const skh_caller_conn_t *conn);

/** struct skh_response_head - an answer that begins; @headers end with CRLF each */
typedef struct skh_response_head {
	int32_t status;
	const char *reason;
	const char *headers;
	bool chunked; /* else @content_length bytes follow */
	size_t content_length;
	bool no_body; /* the request was HEAD, or the status allows none */
} skh_response_head_t;

void skh_caller_conn_begin_response(skh_caller_conn_t *conn, const skh_response_head_t *head);
void skh_caller_conn_write(skh_caller_conn_t *conn, skh_chunk_t bytes);

/** skh_caller_conn_end_response() - the answer is whole; the connection reads on or closes */
void skh_caller_conn_end_response(skh_caller_conn_t *conn);

/** skh_caller_conn_abort() - close without an end, so no caller takes it for whole */
void skh_caller_conn_abort(skh_caller_conn_t *conn);

/** skh_caller_conn_has_write_backlog() - much that was written has not gone out yet */
bool skh_caller_conn_has_write_backlog(const skh_caller_conn_t *conn);

#ifdef __cplusplus
}
#endif
#endif
