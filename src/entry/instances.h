#ifndef SKH_INSTANCES_H
#define SKH_INSTANCES_H

/**
 * DOC: Instances
 *
 * The platform's list of instances, parsed from key-value pairs of the store.
 * A list is plain data without locks; once published on the blackboard it is
 * only read. It may be stale: an instance may have stopped or begun to leave
 * before the list shows the change.
 */

#include "error.h"
#include "store.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_instance - one instance; all strings are owned and never NULL */
typedef struct skh_instance {
	char *id;
	char *role;	     /* "entry" or "sidecar" */
	char *link_address;  /* ZeroMQ address of a sidecar, "" for an entry */
	char *admin_address; /* address:port of the administration listener, "" if not listed */
	char *failure_domain;
	bool is_leaving; /* the instance is about to stop */
} skh_instance_t;

/** struct skh_instances - list of instances, sorted by id */
typedef struct skh_instances {
	skh_instance_t *list;
	size_t count;
} skh_instances_t;

/**
 * skh_instances_parse() - parse the pairs under the platform's prefix
 * @pairs: one pair per instance, with a JSON object as value; copied
 * @prefix: prefix that every key has; the rest of the key is the instance id
 * @n_invalid: set to the number of pairs that are invalid and were skipped
 *
 * Return: a new list, to be freed with skh_instances_free().
 */
skh_instances_t *skh_instances_parse(const skh_kv_pairs_t *pairs, const char *prefix,
				     size_t *n_invalid);

/** skh_instances_find() - the instance @id, owned by @instances, or NULL if not listed */
const skh_instance_t *skh_instances_find(const skh_instances_t *instances, const char *id);

/** skh_instances_count_role() - number of instances with @role that are not leaving */
size_t skh_instances_count_role(const skh_instances_t *instances, const char *role);

/** skh_instances_clear() - free the contents of @instances and reset it to an empty list */
void skh_instances_clear(skh_instances_t *instances);

/** skh_instances_free() - free @instances and its contents; NULL is allowed */
void skh_instances_free(skh_instances_t *instances);

#ifdef __cplusplus
}
#endif
#endif
