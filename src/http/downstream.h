#ifndef SKH_DOWNSTREAM_H
#define SKH_DOWNSTREAM_H

/**
 * DOC: Connections from callers
 *
 * An HTTP/1.1 server: listens, reads one request at a time from each connection
 * and hands complete requests to its callbacks. Owns the connections. Reading
 * continues while a request is served, so that a caller that disconnects is
 * noticed at once. Runs on the event loop's thread.
 *
 * With a memory limit, it does not read more from a caller than there is room for,
 * and closes the connection of a caller that does not read its response for 5 s.
 */

#include "http_message.h"
#include "memory_budget.h"
#include "routing.h"

#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_listener skh_listener_t;
typedef struct skh_caller_conn skh_caller_conn_t;

/** struct skh_listener_ops - callbacks of a listener; run on the loop's thread */
typedef struct skh_listener_ops {
	/*
	 * Request complete; a response is expected.
	 * @conn, @request: valid until the response ends or on_disconnect() returns.
	 */
	void (*on_request)(void *context, skh_caller_conn_t *conn,
			   const skh_http_message_t *request);
	/* Caller disconnected before the response ended. Last callback for @exchange. */
	void (*on_disconnect)(void *context, void *exchange);
	/* Write backlog reported by skh_caller_conn_has_write_backlog() has been sent. */
	void (*on_writable)(void *context, void *exchange);
} skh_listener_ops_t;

/**
 * skh_listener_start() - listen for callers
 * @address: "address:port", IPv4
 * @ops: borrowed for the listener's lifetime
 * @err: set to SKH_CONFIG_INVALID when the address is invalid or can't be bound
 *
 * Return: the listener; stop with skh_listener_close(), then free with
 * skh_listener_free(). NULL on error.
 */
skh_listener_t *skh_listener_start(uv_loop_t *loop, const char *address,
				   const skh_listener_ops_t *ops, void *context, skh_error_t *err);

/** skh_listener_set_limits() - set the limits of requests that are read from now on */
void skh_listener_set_limits(skh_listener_t *listener, const skh_caller_limits_t *limits);

/**
 * skh_listener_set_memory() - set the budget that counts what connections buffer
 * @memory: borrowed for the listener's lifetime; to be called before the loop runs
 */
void skh_listener_set_memory(skh_listener_t *listener, skh_memory_budget_t *memory);

/** skh_listener_drain() - close idle connections within a second, others after their response */
void skh_listener_drain(skh_listener_t *listener);

/**
 * skh_listener_set_close_after_response() - set whether each response ends its connection
 * @close_after_response: true to make callers reconnect, so that they can reach another gateway
 */
void skh_listener_set_close_after_response(skh_listener_t *listener, bool close_after_response);

/** skh_listener_stop_accepting() - reject new connections; open ones continue */
void skh_listener_stop_accepting(skh_listener_t *listener);

/**
 * skh_listener_close() - stop accepting and close every connection
 *
 * Calls on_disconnect() for each request that is still being served.
 */
void skh_listener_close(skh_listener_t *listener);

/**
 * skh_listener_has_unsent() - true while a caller still reads a response that has ended
 *
 * False without a memory limit, which is what ends the wait for callers that do not read.
 */
bool skh_listener_has_unsent(const skh_listener_t *listener);

/** skh_listener_count_connections() - number of open connections */
uint32_t skh_listener_count_connections(const skh_listener_t *listener);

/** skh_listener_free() - free a closed listener, after the loop has closed its handles */
void skh_listener_free(skh_listener_t *listener);

/** skh_caller_conn_set_exchange() - set the @exchange of on_disconnect() and on_writable() */
void skh_caller_conn_set_exchange(skh_caller_conn_t *conn, void *exchange);

/**
 * skh_caller_conn_received_us() - time when parsing of the request began; boot clock
 *
 * A pipelined request is parsed after the response to the request before it.
 */
int64_t skh_caller_conn_received_us(const skh_caller_conn_t *conn);

/** struct skh_response_head - status line and headers of a response */
typedef struct skh_response_head {
	int32_t status;
	const char *reason;    /* reason phrase */
	const char *headers;   /* complete lines, each with CRLF */
	bool is_chunked;       /* chunked transfer encoding; false for Content-Length */
	size_t content_length; /* bytes of the body; unused if chunked */
	bool no_body;	       /* response to HEAD, or a status without a body */
} skh_response_head_t;

/** skh_caller_conn_begin_response() - write status line and headers; @head is borrowed */
void skh_caller_conn_begin_response(skh_caller_conn_t *conn, const skh_response_head_t *head);

/** skh_caller_conn_write() - write a part of the body; @bytes are copied */
void skh_caller_conn_write(skh_caller_conn_t *conn, skh_chunk_t bytes);

/** skh_caller_conn_end_response() - complete the response, then read on or close */
void skh_caller_conn_end_response(skh_caller_conn_t *conn);

/** skh_caller_conn_abort() - close mid-response, so that the caller sees it as incomplete */
void skh_caller_conn_abort(skh_caller_conn_t *conn);

/**
 * skh_caller_conn_has_write_backlog() - true while more bytes wait to be sent than should
 *
 * 256 KiB, or less when memory is scarce; always false while none wait.
 */
bool skh_caller_conn_has_write_backlog(const skh_caller_conn_t *conn);

#ifdef __cplusplus
}
#endif
#endif
