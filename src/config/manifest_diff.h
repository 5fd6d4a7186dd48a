#ifndef SKH_MANIFEST_DIFF_H
#define SKH_MANIFEST_DIFF_H

/**
 * DOC: Manifest differences
 *
 * Lists what a new manifest adds, removes or changes, item by item. The function
 * is pure and runs on any thread.
 */

#include "doc_node.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct skh_manifest_diff_item - one item that differs; texts are borrowed from the trees
 * @kind: table of the manifest, such as "customer"
 * @name: name of the item; "" for a table that occurs only once
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

/**
 * skh_manifest_diff_for_each() - call @fn for each item that differs
 * @before: root of the old manifest; NULL if there is none
 * @after: root of the new manifest
 * @fn: called before the function returns
 * @context: passed to @fn
 *
 * The [change] table, which holds the author and the reason, is left out.
 */
void skh_manifest_diff_for_each(const skh_doc_node_t *before, const skh_doc_node_t *after,
				skh_manifest_diff_fn fn, void *context);

#ifdef __cplusplus
}
#endif
#endif
