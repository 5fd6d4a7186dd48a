#ifndef SKH_ENGINE_CLIENT_H
#define SKH_ENGINE_CLIENT_H

/**
 * DOC: HTTP client for an engine
 *
 * Makes small JSON calls with a timeout to one engine: requests for reports and
 * counts, and orders. Owns a connection pool to the engine and the calls in
 * progress. All functions and callbacks run on the event loop's thread. Calls are
 * not retried.
 */

#include "routing.h"
#include "upstream.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * typedef skh_engine_response_fn - receives the result of a call, once
 * @context: passed when the call was started
 * @tag: passed when the call was started
 * @status: HTTP status, or 0 when no complete response arrived in time
 * @body: response body; valid only during the callback
 */
typedef void (*skh_engine_response_fn)(void *context, uint32_t tag, int32_t status,
				       skh_chunk_t body);

typedef struct skh_engine_client skh_engine_client_t;

/**
 * skh_engine_client_new() - create a client for one engine
 * @address: "address:port", copied; with an invalid address every call fails with status 0
 * @options: must outlive the client
 * Return: the client; release with skh_engine_client_free().
 */
skh_engine_client_t *skh_engine_client_new(uv_loop_t *loop, const char *address,
					   const skh_upstream_pool_options_t *options);

/** skh_engine_client_free() - cancel calls in progress without callbacks and free @client */
void skh_engine_client_free(skh_engine_client_t *client);

/** skh_engine_client_address() - the address given to skh_engine_client_new(); owned by @client */
const char *skh_engine_client_address(const skh_engine_client_t *client);

/**
 * skh_engine_client_expect() - accept responses as large as those of an engine of @spec
 *
 * A larger response counts as lost: a faulty engine may send bytes without end. Before this call,
 * responses with a map or counts may be too large.
 */
void skh_engine_client_expect(skh_engine_client_t *client, const skh_engine_spec_t *spec);

/**
 * skh_engine_client_get() - send GET @path
 * @timeout_us: time limit of the call, rounded down to milliseconds
 * @tag: passed to @fn, to distinguish calls
 * @fn: called once after the return of skh_engine_client_get(), unless the client is
 *	freed before the call ends; NULL ignores the result
 * @context: passed to @fn
 */
void skh_engine_client_get(skh_engine_client_t *client, const char *path, int64_t timeout_us,
			   uint32_t tag, skh_engine_response_fn fn, void *context);

/**
 * skh_engine_client_order() - send POST @path with the JSON document @body, an order to an engine
 * @body: copied
 *
 * Opens a connection: responses of engines name no request, and on a kept connection a copy of an
 * earlier response would count as the answer to the order. The other parameters are those of
 * skh_engine_client_get().
 */
void skh_engine_client_order(skh_engine_client_t *client, const char *path, skh_chunk_t body,
			     int64_t timeout_us, uint32_t tag, skh_engine_response_fn fn,
			     void *context);

/**
 * skh_engine_client_post() - send POST @path with the document @body to another process of ours
 * @body: copied
 *
 * The other parameters are those of skh_engine_client_get().
 */
void skh_engine_client_post(skh_engine_client_t *client, const char *path, skh_chunk_t body,
			    int64_t timeout_us, uint32_t tag, skh_engine_response_fn fn,
			    void *context);

#ifdef __cplusplus
}
#endif
#endif
