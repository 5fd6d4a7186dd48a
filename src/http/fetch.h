#ifndef SKH_FETCH_H
#define SKH_FETCH_H

/**
 * DOC: HTTP transfers
 *
 * Runs many concurrent HTTP requests on one thread, with libcurl's multi
 * interface on an epoll set, so that the cost of an event does not grow with the
 * number of transfers. The owner calls all functions from that thread. Callbacks
 * run inside skh_fetch_poll(); on_body can also run inside skh_fetch_set_paused().
 * Failures are reported through on_done.
 */

#include "buffer.h"
#include "error.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_fetch skh_fetch_t;

/** struct skh_fetch_request - one HTTP request; all texts and bytes are copied */
typedef struct skh_fetch_request {
	uint64_t id; /* chosen by the owner; unique among the transfers in progress */
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value", NULL-terminated; NULL for none */
	skh_chunk_t body;
	int64_t deadline_us; /* end of the whole transfer, as a time of skh_clock_now_us() */
	bool at_most_once;   /* never resend the request, even when its connection closes */
} skh_fetch_request_t;

/** struct skh_fetch_ops - callbacks into the owner */
typedef struct skh_fetch_ops {
	/* Receives response bytes; @status and @content_type are final. */
	void (*on_body)(void *context, uint64_t id, int32_t status, const char *content_type,
			skh_chunk_t bytes);
	/* Last callback of a transfer; @err is NULL when the response is complete. */
	void (*on_done)(void *context, uint64_t id, int32_t status, const char *content_type,
			const skh_error_t *err);
} skh_fetch_ops_t;

/**
 * skh_fetch_new() - create a set of transfers
 * @ops: callbacks; must outlive the result
 * @context: first argument of each callback
 *
 * Return: the set, to be freed with skh_fetch_free().
 */
skh_fetch_t *skh_fetch_new(const skh_fetch_ops_t *ops, void *context);

/** skh_fetch_free() - free the set and close its transfers without callbacks */
void skh_fetch_free(skh_fetch_t *fetch);

/**
 * skh_fetch_start() - start a transfer
 * @fetch: the set
 * @request: the request; copied
 * @now_us: current time of skh_clock_now_us()
 *
 * A request whose deadline has passed is still started, with a timeout of 1 ms.
 */
void skh_fetch_start(skh_fetch_t *fetch, const skh_fetch_request_t *request, int64_t now_us);

/** skh_fetch_cancel() - close the transfer, if it exists; no callback follows */
void skh_fetch_cancel(skh_fetch_t *fetch, uint64_t id);

/** skh_fetch_set_paused() - pause or resume receiving the response */
void skh_fetch_set_paused(skh_fetch_t *fetch, uint64_t id, bool paused);

/** skh_fetch_watch_fd() - make skh_fetch_poll() return when @fd is readable, too */
void skh_fetch_watch_fd(skh_fetch_t *fetch, int fd);

/**
 * skh_fetch_poll() - wait for events, process them and run the callbacks
 * @fetch: the set
 * @deadline_us: time of skh_clock_now_us() until which to wait for an event
 *
 * Waits for at most 1 s, also when @deadline_us is later.
 */
void skh_fetch_poll(skh_fetch_t *fetch, int64_t deadline_us);

#ifdef __cplusplus
}
#endif
#endif
