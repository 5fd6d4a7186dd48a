#ifndef SKH_MESSAGE_H
#define SKH_MESSAGE_H

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

typedef struct skh_message skh_message_t;

/** struct skh_message_ops - told while a message is read; each may be NULL */
typedef struct skh_message_ops {
	/* Return false to refuse the message. */
	bool (*on_head)(void *context, skh_message_t *message);
	/* Without it the body is collected in the message. */
	void (*on_body)(void *context, skh_chunk_t bytes);
	void (*on_end)(void *context, skh_message_t *message);
} skh_message_ops_t;

/** struct skh_message - zeroed, then skh_message_reset() */
struct skh_message {
	http_parser parser;
	const skh_message_ops_t *ops;
	void *context;
	size_t max_header_bytes; /* 0 for no limit */
	size_t max_body_bytes;	 /* 0 for no limit */
	size_t header_bytes;
	GArray *headers; /* skh_header_t */
	GString *target; /* of a request */
	GString *name;	 /* of the field that is being read */
	GString *value;
	bool in_value;
	bool skip_body; /* the answer to a HEAD request */
	bool head_done;
	bool done;
	skh_kind_t fault; /* why reading stopped, or SKH_OK */
	skh_buffer_t body;
};

/** skh_message_reset() - be ready for the next message; limits stay */
void skh_message_reset(skh_message_t *message, enum http_parser_type type,
		       const skh_message_ops_t *ops, void *context);
void skh_message_free(skh_message_t *message);

/**
 * skh_message_feed() - read @bytes up to the end of the message
 * @used: set to the bytes that belong to the message
 * Return: false with @err when they can't be part of one.
 */
bool skh_message_feed(skh_message_t *message, skh_chunk_t bytes, size_t *used, skh_error_t *err);

/** skh_message_eof() - the peer has ended; true when that ends the message as it should */
bool skh_message_eof(skh_message_t *message);

/** skh_message_header() - first value of @name in any case, or NULL */
const char *skh_message_header(const skh_message_t *message, const char *name);

/** skh_message_keeps_alive() - whether another message may follow on the connection */
bool skh_message_keeps_alive(const skh_message_t *message);

/** skh_header_is_hop() - the field concerns one connection only */
bool skh_header_is_hop(const char *name);

#ifdef __cplusplus
}
#endif
#endif
