#ifndef SKH_FLEET_H
#define SKH_FLEET_H

/**
 * DOC: Fleet
 *
 * Reads the platform's list of instances and requests the status of each over
 * HTTP, for the command line tools. Holds no state; all calls block.
 */

#include "instances.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_fleet_read_instances() - reads the platform's list of instances from the store
 * @instances_prefix: prefix of the keys of instances
 * Return: the list, to be freed with skh_instances_free(); NULL with @err.
 */
skh_instances_t *skh_fleet_read_instances(skh_store_t *store, const char *instances_prefix,
					  skh_error_t *err);

/**
 * skh_fleet_get_statuses() - requests the status of all @instances, many in parallel
 *
 * An instance that does not respond takes its full timeout without delaying the others.
 * Return: an array of @instances->count JSON values, NULL for an instance without a valid response;
 * to be freed with skh_fleet_free_statuses().
 */
json_t **skh_fleet_get_statuses(const skh_instances_t *instances);
void skh_fleet_free_statuses(json_t **statuses, size_t count);

#ifdef __cplusplus
}
#endif
#endif
