#ifndef SKH_FORWARD_H
#define SKH_FORWARD_H

/**
 * DOC: What goes on to a server, and back
 *
 * A caller's request as it is written for one server, and the headers of a
 * server's answer as the caller gets them. Fields of one connection only are
 * left out; the caller's key never goes on.
 */

#include "buffer.h"
#include "dialect.h"
#include "http_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_forwarded_request - one attempt at one server; borrows everything */
typedef struct skh_forwarded_request {
	const skh_dialect_t *dialect;
	const skh_http_message_t *request;
	const char *server_id; /* another instance at the same address refuses */
	const char *customer;  /* NULL for none */
	uint32_t priority;
	int64_t remaining_ms;  /* until the caller's deadline or the route's */
	int64_t last_event_id; /* that the caller has; below 0 for none */
} skh_forwarded_request_t;

/** skh_forward_write_request() - append the whole request, head and body, to @out */
void skh_forward_write_request(const skh_forwarded_request_t *forward, skh_buffer_t *out);

/** skh_forward_write_response_headers() - append the answer's end-to-end headers to @out */
void skh_forward_write_response_headers(const skh_http_message_t *answer, GString *out);

#ifdef __cplusplus
}
#endif
#endif
