#ifndef SKH_INSTANCES_H
#define SKH_INSTANCES_H

/**
 * DOC: Members
 *
 * The platform's list of instances, as last read. It lags: an instance may be
 * gone, or leaving, before the list says so.
 */

#include "error.h"
#include "store.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_instance {
	char *id;
	char *role;	     /* "entry" or "sidecar" */
	char *link_address;  /* ZeroMQ address of a sidecar, "" for an entry */
	char *admin_address; /* host:port of its administration listener */
	char *failure_domain;
	bool leaving;
} skh_instance_t;

/** struct skh_instances - sorted by id */
typedef struct skh_instances {
	skh_instance_t *list;
	size_t count;
} skh_instances_t;

/**
 * skh_instances_parse() - the list from the pairs under the platform's prefix
 * @prefix: leading part of each key; the rest is the instance's id
 * @n_bad: set to the number of pairs that could not be read and were left out
 */
skh_instances_t *skh_instances_parse(const skh_kv_pairs_t *pairs, const char *prefix,
				     size_t *n_bad);

const skh_instance_t *skh_instances_find(const skh_instances_t *members, const char *id);
size_t skh_instances_count_role(const skh_instances_t *members, const char *role);

/** skh_instances_clear() - free what @members owns, not @members itself */
void skh_instances_clear(skh_instances_t *members);
void skh_instances_free(skh_instances_t *members);

#ifdef __cplusplus
}
#endif
#endif
