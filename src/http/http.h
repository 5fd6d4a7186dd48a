#ifndef SKH_HTTP_H
#define SKH_HTTP_H

/**
 * DOC: HTTP server
 *
 * A wrapper of the CivetWeb HTTP server. Each request is handled on a worker
 * thread of the server, which may block; a request is used only by its handler
 * and only until the handler returns. Error responses are problem+json
 * documents (RFC 9457).
 */

#include "buffer.h"
#include "error.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_http_server skh_http_server_t;
typedef struct skh_http_request skh_http_request_t;

typedef void (*skh_http_handler_fn)(void *context, skh_http_request_t *request);

/** struct skh_http_options - listener options */
typedef struct skh_http_options {
	const char *listen;	/* address:port */
	int64_t threads;	/* worker threads */
	int64_t stack_kib;	/* stack size of each thread */
	int64_t max_body_bytes; /* a longer request body is rejected */
} skh_http_options_t;

/**
 * skh_http_start() - listen and pass each request to @handler
 * @context: passed to @handler; borrowed until skh_http_stop()
 * @err: SKH_CONFIG_INVALID when the address can't be bound
 *
 * Return: the server, or NULL with @err.
 */
skh_http_server_t *skh_http_start(const skh_http_options_t *options, skh_http_handler_fn handler,
				  void *context, skh_error_t *err);

/** skh_http_stop() - close the listener, wait for running handlers and free @server */
void skh_http_stop(skh_http_server_t *server);

const char *skh_http_method(const skh_http_request_t *request);
const char *skh_http_path(const skh_http_request_t *request);

/** skh_http_query() - query string without the question mark; "" for none */
const char *skh_http_query(const skh_http_request_t *request);

/** skh_http_header() - value of a request header, or NULL */
const char *skh_http_header(const skh_http_request_t *request, const char *name);

/**
 * skh_http_read_body() - append the complete request body to @body; blocks
 * @err: SKH_TOO_LARGE over the limit, SKH_BAD_REQUEST for an incomplete body
 *
 * Return: false with @err; the connection then closes after the response.
 */
bool skh_http_read_body(skh_http_request_t *request, skh_buffer_t *body, skh_error_t *err);

/** skh_http_add_header() - add a header to the response to come; both texts are copied */
void skh_http_add_header(skh_http_request_t *request, const char *name, const char *value);

/** skh_http_respond() - send a complete response; false when the connection is closed */
bool skh_http_respond(skh_http_request_t *request, int32_t status, const char *content_type,
		      skh_chunk_t body);

/** skh_http_respond_problem() - send @err as a problem+json response */
void skh_http_respond_problem(skh_http_request_t *request, const skh_error_t *err);

/** skh_http_append_problem() - append the problem+json document of @err to @out */
void skh_http_append_problem(const skh_error_t *err, skh_buffer_t *out);

/*
 * A streamed response: begin, any number of writes, then end or abort. The first
 * three return false when the connection is closed.
 */
bool skh_http_stream_begin(skh_http_request_t *request, int32_t status, const char *content_type);
bool skh_http_stream_write(skh_http_request_t *request, skh_chunk_t bytes);
bool skh_http_stream_end(skh_http_request_t *request);

/**
 * skh_http_stream_abort() - end the stream without its last chunk
 *
 * The connection closes, and the missing last chunk tells the client that the
 * response is incomplete.
 */
void skh_http_stream_abort(skh_http_request_t *request);

/** skh_http_disable_keep_alive() - close the connection after the response */
void skh_http_disable_keep_alive(skh_http_request_t *request);

#ifdef __cplusplus
}
#endif
#endif
