#ifndef SKH_ADMIN_H
#define SKH_ADMIN_H

/**
 * DOC: Administration listener
 *
 * Health, readiness, metrics and status of one process, on an address of its
 * own.
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

/** struct skh_admin_ops - what the process behind the listener provides */
typedef struct skh_admin_ops {
	bool (*is_ready)(void *context);
	/* Returns a new JSON object. */
	json_t *(*get_status)(void *context);
	/* Take no new work from now on, or again; NULL where that can't be asked. */
	void (*set_draining)(void *context, bool drain);
	/* Queue the order that @body names; NULL where there is no engine. */
	bool (*enqueue_order)(void *context, const json_t *body, skh_error_t *err);
	/* Returns a new JSON array of suspected requests; NULL where none are kept. */
	json_t *(*list_suspects)(void *context);
	/* Hold nothing against the request with hash @content; true when something was. */
	bool (*clear_suspect)(void *context, const char *content);
} skh_admin_ops_t;

/**
 * skh_admin_start() - listen and answer
 * @board: the configuration in force names who may do what
 * @control: for the whole system; NULL where it is not offered
 */
skh_admin_t *skh_admin_start(const char *listen, const skh_admin_ops_t *ops, void *context,
			     skh_board_t *board, const skh_config_admin_t *control,
			     skh_error_t *err);

/** skh_admin_route_at() - method and path of route number @index; false beyond the last */
bool skh_admin_route_at(size_t index, const char **method, const char **path);

void skh_admin_stop(skh_admin_t *admin);

#ifdef __cplusplus
}
#endif
#endif
