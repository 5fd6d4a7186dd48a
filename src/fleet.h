#ifndef SKH_FLEET_H
#define SKH_FLEET_H

/**
 * DOC: Fleet
 *
 * Asks the instances that the platform lists for their status, for the
 * commands.
 */

#include "instances.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** skh_fleet_read_members() - the platform's list, or NULL with @err */
skh_instances_t *skh_fleet_read_members(skh_store_t *store, const char *instances_prefix,
					skh_error_t *err);

/**
 * skh_fleet_get_statuses() - ask all @members for their status, many at a time
 *
 * A silent one costs its timeout, but does not hold up the others.
 * Return: an array of @members->count JSON objects, NULL for who did not answer;
 * free with skh_fleet_free_statuses().
 */
json_t **skh_fleet_get_statuses(const skh_instances_t *members);
void skh_fleet_free_statuses(json_t **statuses, size_t count);

#ifdef __cplusplus
}
#endif
#endif
