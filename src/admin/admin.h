#ifndef SKH_ADMIN_H
#define SKH_ADMIN_H

/**
 * DOC: Administration listener
 *
 * HTTP server for the health, readiness, metrics, status and configuration
 * routes of one process. Its address is separate from the one that receives the
 * customers' requests. The listener's threads handle several administration
 * requests at a time, so the functions of &skh_admin_ops_t must be safe to call
 * concurrently.
 */

#include "access.h"
#include "board.h"
#include "config_admin.h"
#include "http.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_admin skh_admin_t;

/** struct skh_admin_ops - callbacks into the process that the listener administers */
typedef struct skh_admin_ops {
	bool (*is_ready)(void *context);
	/* Returns a new JSON object. */
	json_t *(*get_status)(void *context);
	/* Starts (@drain true) or ends draining. Optional: NULL when it isn't supported. */
	void (*set_draining)(void *context, bool drain);
	/* Queues the engine order in @body. Optional: NULL when the process has no engine. */
	bool (*enqueue_order)(void *context, const json_t *body, skh_error_t *err);
	/* Returns a new JSON array of crash suspects. Optional: NULL when they are not tracked. */
	json_t *(*list_suspects)(void *context);
	/* Clears a crash suspect; true when @content_hash was one. Optional as list_suspects. */
	bool (*clear_suspect)(void *context, const char *content_hash);
} skh_admin_ops_t;

/**
 * skh_admin_start() - start the listener and its threads
 * @listen: "address:port" to listen on
 * @ops: callbacks; borrowed until skh_admin_stop()
 * @context: first argument of the callbacks
 * @board: blackboard whose configuration in force lists the operators; borrowed
 * @config_admin: configuration API of the whole system; borrowed, or NULL when the process
 *	does not serve the API
 * @err: receives the cause of a failure
 *
 * Return: a listener to be freed with skh_admin_stop(), or NULL with @err.
 */
skh_admin_t *skh_admin_start(const char *listen, const skh_admin_ops_t *ops, void *context,
			     skh_board_t *board, const skh_config_admin_t *config_admin,
			     skh_error_t *err);

/**
 * skh_admin_route_at() - get one served route
 * @index: number of the route, from 0
 * @method: receives the HTTP method, a static string
 * @path: receives the path, a static string
 *
 * Return: true, or false when @index is past the last route.
 */
bool skh_admin_route_at(size_t index, const char **method, const char **path);

/** skh_admin_stop() - close the listener, wait for running handlers and free @admin */
void skh_admin_stop(skh_admin_t *admin);

#ifdef __cplusplus
}
#endif
#endif
