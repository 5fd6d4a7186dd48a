#ifndef SKH_DIFFERENCE_H
#define SKH_DIFFERENCE_H

/**
 * DOC: Differences of manifests
 *
 * What a new manifest would add, remove or change, item by item. Pure.
 */

#include "node.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct skh_difference - one item that differs; texts borrowed from the trees
 * @kind: table of the manifest, such as "customer"
 * @name: of the item; "" for a table that is not repeated
 * @change: "added", "removed" or "changed"
 * @owner_before: owner in the old manifest, "" for none
 * @owner_after: owner in the new manifest, "" for none
 */
typedef struct skh_difference {
	const char *kind;
	const char *name;
	const char *change;
	const char *owner_before;
	const char *owner_after;
} skh_difference_t;

typedef void (*skh_difference_fn)(void *context, const skh_difference_t *difference);

/** skh_difference_each() - call @fn for each item that differs; who and why are left out */
void skh_difference_each(const skh_node_t *before, const skh_node_t *after, skh_difference_fn fn,
			 void *context);

#ifdef __cplusplus
}
#endif
#endif
