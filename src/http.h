#ifndef SKH_HTTP_H
#define SKH_HTTP_H

/**
 * DOC: HTTP server
 *
 * CivetWeb behind a few functions. Each request is handled on a thread of its
 * own, which may block. Errors leave as problem+json.
 */

#include "buffer.h"
#include "error.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_http_server skh_http_server_t;
typedef struct skh_http_request skh_http_request_t;

typedef void (*skh_http_handler_fn)(void *context, skh_http_request_t *request);

/** struct skh_http_options - how to listen */
typedef struct skh_http_options {
	const char *listen; /* address:port */
	int64_t threads;
	int64_t stack_kib;
	int64_t max_body_bytes;
} skh_http_options_t;

/** skh_http_start() - listen and answer with @handler; NULL with @err */
skh_http_server_t *skh_http_start(const skh_http_options_t *options, skh_http_handler_fn handler,
				  void *context, skh_error_t *err);

/** skh_http_stop() - close the listener and wait for the handlers that run */
void skh_http_stop(skh_http_server_t *server);

const char *skh_http_method(const skh_http_request_t *request);
const char *skh_http_path(const skh_http_request_t *request);
const char *skh_http_query(const skh_http_request_t *request);
const char *skh_http_header(const skh_http_request_t *request, const char *name);

/** skh_http_read_body() - the whole body; refused when it is over the limit or cut off */
bool skh_http_read_body(skh_http_request_t *request, skh_buffer_t *body, skh_error_t *err);

/** skh_http_add_header() - a header of the answer to come; both texts are copied */
void skh_http_add_header(skh_http_request_t *request, const char *name, const char *value);

/** skh_http_respond() - a whole answer; false when the caller has hung up */
bool skh_http_respond(skh_http_request_t *request, int32_t status, const char *content_type,
		      skh_chunk_t body);

/** skh_http_respond_problem() - @err as problem+json */
void skh_http_respond_problem(skh_http_request_t *request, const skh_error_t *err);

/** skh_http_append_problem() - append the problem+json document of @err */
void skh_http_append_problem(const skh_error_t *err, skh_buffer_t *out);

/* A streamed answer: begin, any number of writes, then end or abort. */
bool skh_http_stream_begin(skh_http_request_t *request, int32_t status, const char *content_type);
bool skh_http_stream_write(skh_http_request_t *request, skh_chunk_t bytes);
bool skh_http_stream_end(skh_http_request_t *request);

/** skh_http_stream_abort() - close without the end mark, so no client takes it for whole */
void skh_http_stream_abort(skh_http_request_t *request);

/** skh_http_disable_keep_alive() - do not keep the connection after this answer */
void skh_http_disable_keep_alive(skh_http_request_t *request);

#ifdef __cplusplus
}
#endif
#endif
