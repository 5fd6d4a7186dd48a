#ifndef SKH_MANIFEST_DIFF_H
#define SKH_MANIFEST_DIFF_H

/**
 * DOC: Differences of manifests
 *
 * What a new manifest would add, remove or change, item by item. Pure.
 */

#include "doc_node.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct skh_manifest_diff_item - one item that differs; texts borrowed from the trees
 * @kind: table of the manifest, such as "customer"
 * @name: of the item; "" for a table that is not repeated
 * @change: "added", "removed" or "changed"
 * @owner_before: owner in the old manifest, "" for none
 * @owner_after: owner in the new manifest, "" for none
 */
typedef struct skh_manifest_diff_item {
	const char *kind;
	const char *name;
	const char *change;
	const char *owner_before;
	const char *owner_after;
} skh_manifest_diff_item_t;

typedef void (*skh_manifest_diff_fn)(void *context, const skh_manifest_diff_item_t *difference);

/** skh_manifest_diff_for_each() - call @fn for each item that differs; who and why are left out */
void skh_manifest_diff_for_each(const skh_doc_node_t *before, const skh_doc_node_t *after,
				skh_manifest_diff_fn fn, void *context);

#ifdef __cplusplus
}
#endif
#endif
