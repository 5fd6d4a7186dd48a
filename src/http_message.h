#ifndef SKH_HTTP_MESSAGE_H
#define SKH_HTTP_MESSAGE_H

/**
 * DOC: HTTP messages
 *
 * One HTTP/1.1 message read piece by piece through http-parser, and the header
 * lists that both sides of the gateway keep. Owns what it has read.
 */

#include "buffer.h"
#include "error.h"

#include <glib.h>
#include <http_parser.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_header - one field; owned texts */
typedef struct skh_header {
	char *name;
	char *value;
} skh_header_t;

typedef struct skh_http_message skh_http_message_t;

/** struct skh_http_message_ops - told while a message is read; each may be NULL */
typedef struct skh_http_message_ops {
	/* Return false to refuse the message. */
	bool (*on_head)(void *context, skh_http_message_t *message);
	/* Without it the body is collected in the message. */
	void (*on_body)(void *context, skh_chunk_t bytes);
	void (*on_end)(void *context, skh_http_message_t *message);
} skh_http_message_ops_t;

/** struct skh_http_message - zeroed, then skh_http_message_reset() */
struct skh_http_message {
	http_parser parser;
	const skh_http_message_ops_t *ops;
	void *context;
	size_t max_header_bytes; /* 0 for no limit */
	size_t max_body_bytes;	 /* 0 for no limit */
	size_t header_bytes;
	GArray *headers;	 /* skh_header_t */
	GString *request_target; /* of a request */
	GString *field_name;	 /* of the field that is being read */
	GString *field_value;
	bool in_value;
	bool skip_body; /* the answer to a HEAD request */
	bool head_done;
	bool done;
	skh_error_kind_t error_kind; /* why reading stopped, or SKH_OK */
	skh_buffer_t body;
};

/** skh_http_message_reset() - be ready for the next message; limits stay */
void skh_http_message_reset(skh_http_message_t *message, enum http_parser_type type,
			    const skh_http_message_ops_t *ops, void *context);
void skh_http_message_free(skh_http_message_t *message);

/**
 * skh_http_message_feed() - read @bytes up to the end of the message
 * @used: set to the bytes that belong to the message
 * Return: false with @err when they can't be part of one.
 */
bool skh_http_message_feed(skh_http_message_t *message, skh_chunk_t bytes, size_t *used,
			   skh_error_t *err);

/** skh_http_message_feed_eof() - the peer has ended; true when that ends the message as it should */
bool skh_http_message_feed_eof(skh_http_message_t *message);

/** skh_http_message_header() - first value of @name in any case, or NULL */
const char *skh_http_message_header(const skh_http_message_t *message, const char *name);

/** skh_http_message_can_keep_alive() - whether another message may follow on the connection */
bool skh_http_message_can_keep_alive(const skh_http_message_t *message);

/** skh_header_is_hop_by_hop() - the field concerns one connection only */
bool skh_header_is_hop_by_hop(const char *name);

#ifdef __cplusplus
}
#endif
#endif
