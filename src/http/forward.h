#ifndef SKH_FORWARD_H
#define SKH_FORWARD_H

/**
 * DOC: Forwarding of HTTP messages
 *
 * Writes a caller's request for one backend server, and the headers of the
 * server's response for the caller. Hop-by-hop headers are removed; the caller's
 * key is never forwarded. Holds no state; any thread may call it.
 */

#include "buffer.h"
#include "dialect.h"
#include "http_message.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_forwarded_request - one attempt at one backend server; all pointers are borrowed */
typedef struct skh_forwarded_request {
	const skh_dialect_t *dialect;
	const skh_http_message_t *request;
	const char *server_id; /* another instance at the same address rejects the request */
	const char *customer;  /* NULL for none */
	uint32_t priority;     /* 0 is most urgent; values above 9 are sent as 9 */
	int64_t remaining_ms;  /* until the deadline of the request; sent as at least 1 */
	int64_t last_event_id; /* last event that the caller has received; negative for none */
} skh_forwarded_request_t;

/** skh_forward_write_request() - append the complete request, head and body, to @out */
void skh_forward_write_request(const skh_forwarded_request_t *forwarded, skh_buffer_t *out);

/** skh_forward_write_response_headers() - append the response's end-to-end headers to @out */
void skh_forward_write_response_headers(const skh_http_message_t *response, GString *out);

#ifdef __cplusplus
}
#endif
#endif
