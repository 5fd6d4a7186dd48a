#ifndef SKH_HTTP_MESSAGE_H
#define SKH_HTTP_MESSAGE_H

/**
 * DOC: HTTP/1.1 message parser
 *
 * Incremental parser for one HTTP/1.1 request or response at a time, on top of
 * http-parser. A message owns its headers, request target and collected body;
 * they stay valid until the next skh_http_message_reset() or
 * skh_http_message_free(). No locking: the owner of a message serialises all
 * calls, and callbacks run inside them. Sizes are in bytes.
 */

#include "buffer.h"
#include "error.h"

#include <glib.h>
#include <http_parser.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_header - one header field; both strings are owned */
typedef struct skh_header {
	char *name;
	char *value;
} skh_header_t;

typedef struct skh_http_message skh_http_message_t;

/** struct skh_http_message_ops - parser callbacks; each may be NULL */
typedef struct skh_http_message_ops {
	/* Called when all headers are parsed. Returns false to reject the message. */
	bool (*on_head)(void *context, skh_http_message_t *message);
	/* Receives each piece of the body. If NULL, the body is collected in the message. */
	void (*on_body)(void *context, skh_chunk_t bytes);
	/* Called once, when the message is complete. */
	void (*on_end)(void *context, skh_http_message_t *message);
} skh_http_message_ops_t;

/**
 * struct skh_http_message - parser state and the message parsed so far
 *
 * Zero-initialise, then call skh_http_message_reset() before the first use.
 */
struct skh_http_message {
	http_parser parser;
	const skh_http_message_ops_t *ops;
	void *context;
	size_t max_header_bytes; /* limit on header_bytes; 0 for that of http-parser, 80 KiB */
	size_t max_body_bytes;	 /* limit on Content-Length and a collected body; 0 for no limit */
	size_t header_bytes;	 /* request target, header names and header values */
	GArray *headers;	 /* skh_header_t, in order of arrival, trailers included */
	GString *request_target; /* requests only */
	GString *field_name;	 /* name of the header being parsed */
	GString *field_value;	 /* value of the header being parsed */
	bool is_value_started;
	bool skip_body; /* no body follows, as in the response to a HEAD request; set in on_head */
	bool is_head_complete;
	bool is_complete;
	skh_error_kind_t error_kind; /* cause of a parse failure, or SKH_OK */
	skh_buffer_t body;	     /* collected body; empty when on_body is set */
};

/**
 * skh_http_message_reset() - discard the current message and prepare for the next one
 * @message: zeroed or used before; max_header_bytes and max_body_bytes are kept
 * @type: HTTP_REQUEST or HTTP_RESPONSE
 * @ops: must outlive the message
 * @context: passed to the callbacks
 */
void skh_http_message_reset(skh_http_message_t *message, enum http_parser_type type,
			    const skh_http_message_ops_t *ops, void *context);

/** skh_http_message_is_framed() - whether a length or chunks say where the body ends */
bool skh_http_message_is_framed(const skh_http_message_t *message);

/** skh_http_message_free() - release what @message owns and zero it; a zeroed message is allowed */
void skh_http_message_free(skh_http_message_t *message);

/**
 * skh_http_message_feed() - parse @bytes up to the end of the message
 * @consumed: set to the number of bytes parsed; the rest belongs to the next message
 * @err: set when @bytes are malformed, exceed a limit or are rejected by on_head
 * Return: false with @err on failure.
 */
bool skh_http_message_feed(skh_http_message_t *message, skh_chunk_t bytes, size_t *consumed,
			   skh_error_t *err);

/**
 * skh_http_message_feed_eof() - report that the peer closed the connection
 *
 * Completes a response whose body is delimited by the end of the connection.
 * Return: true when the message is complete; false when it is truncated.
 */
bool skh_http_message_feed_eof(skh_http_message_t *message);

/**
 * skh_http_message_header() - look up a header, ignoring case
 * Return: the first value of @name, owned by @message, or NULL.
 */
const char *skh_http_message_header(const skh_http_message_t *message, const char *name);

/**
 * skh_http_message_can_keep_alive() - whether the connection can carry another message
 * Return: true when @message is complete and its headers allow a persistent connection.
 */
bool skh_http_message_can_keep_alive(const skh_http_message_t *message);

/**
 * skh_http_status_is_valid() - whether @status is one of HTTP (RFC 9110, section 15)
 *
 * A response with another status is none: it must not be passed on, nor be taken for an interim one.
 */
static inline bool skh_http_status_is_valid(unsigned int status)
{
	return status >= 100 && status <= 599;
}

/** skh_header_is_hop_by_hop() - whether a proxy must not forward the header @name */
bool skh_header_is_hop_by_hop(const char *name);

#ifdef __cplusplus
}
#endif
#endif
