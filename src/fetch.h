#ifndef SKH_FETCH_H
#define SKH_FETCH_H

/**
 * DOC: Transfers
 *
 * Many concurrent HTTP requests on one thread: libcurl's multi interface on an
 * epoll set, so that the cost of an event does not grow with the number of
 * transfers.
 */

#include "buffer.h"
#include "error.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_fetch skh_fetch_t;

/** struct skh_fetch_request - one request; everything is copied */
typedef struct skh_fetch_request {
	uint64_t id;
	const char *method;
	const char *url;
	const char *const *headers; /* NULL-terminated "Name: value" */
	skh_chunk_t body;
	int64_t deadline_us; /* monotonic deadline */
	bool at_most_once;   /* never send it a second time, whatever happens to its connection */
} skh_fetch_request_t;

/** struct skh_fetch_ops - how the owner learns what happens */
typedef struct skh_fetch_ops {
	/* Bytes of the answer; @status and @content_type are final by then. */
	void (*on_body)(void *context, uint64_t id, int32_t status, const char *content_type,
			skh_chunk_t bytes);
	/* Nothing follows. @err is NULL when the transfer was complete. */
	void (*on_done)(void *context, uint64_t id, int32_t status, const char *content_type,
			const skh_error_t *err);
} skh_fetch_ops_t;

skh_fetch_t *skh_fetch_new(const skh_fetch_ops_t *events, void *context);
void skh_fetch_free(skh_fetch_t *fetch);

void skh_fetch_start(skh_fetch_t *fetch, const skh_fetch_request_t *request, int64_t now_us);

/** skh_fetch_cancel() - close the transfer; no event follows */
void skh_fetch_cancel(skh_fetch_t *fetch, uint64_t id);

/** skh_fetch_set_paused() - stop or go on reading an answer */
void skh_fetch_set_paused(skh_fetch_t *fetch, uint64_t id, bool paused);

/** skh_fetch_watch_fd() - let skh_fetch_poll() also return when @fd is readable */
void skh_fetch_watch_fd(skh_fetch_t *fetch, int fd);

/** skh_fetch_poll() - run transfers until something happened or @until_us */
void skh_fetch_poll(skh_fetch_t *fetch, int64_t until_us);

#ifdef __cplusplus
}
#endif
#endif
