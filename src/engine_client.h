#ifndef SKH_ENGINE_CLIENT_H
#define SKH_ENGINE_CLIENT_H

/**
 * DOC: Calls to an engine
 *
 * Small JSON calls with a deadline: reports, counts, orders. Runs on the event
 * loop's thread.
 */

#include "upstream.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * typedef skh_engine_answer_fn - a call has ended
 * @status: HTTP status, or 0 when there is no answer
 * @body: valid during the call
 */
typedef void (*skh_engine_answer_fn)(void *context, uint32_t tag, int32_t status, skh_chunk_t body);

typedef struct skh_engine_client skh_engine_client_t;

/** skh_engine_client_new() - for the engine at "host:port"; @options must outlive it */
skh_engine_client_t *skh_engine_client_new(uv_loop_t *loop, const char *address,
					   const skh_upstream_pool_options_t *options);

/** skh_engine_client_free() - calls under way end without being told */
void skh_engine_client_free(skh_engine_client_t *client);

const char *skh_engine_client_address(const skh_engine_client_t *client);

/** skh_engine_client_get() - GET @path */
void skh_engine_client_get(skh_engine_client_t *client, const char *path, int64_t timeout_us,
			   uint32_t tag, skh_engine_answer_fn fn, void *context);

/** skh_engine_client_post() - POST @body to @path */
void skh_engine_client_post(skh_engine_client_t *client, const char *path, skh_chunk_t body,
			    int64_t timeout_us, uint32_t tag, skh_engine_answer_fn fn,
			    void *context);

#ifdef __cplusplus
}
#endif
#endif
