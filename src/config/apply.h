#ifndef SKH_APPLY_H
#define SKH_APPLY_H

/**
 * DOC: Applying a manifest
 *
 * Writes a manifest to the key-value service as parts and a head. A manifest is
 * accepted once a compare-and-swap has replaced the head. When the response to
 * the swap is lost, the head is read back and its apply id compared with the
 * caller's. When two operators apply at the same time, one succeeds and the
 * other gets SKH_CONFLICT with the names of the changed parts. Calls block
 * their thread; the functions keep no state of their own.
 */

#include "config_parts.h"
#include "manifest.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_apply_result - outcome of an apply; free with skh_apply_result_clear() */
typedef struct skh_apply_result {
	int64_t revision;  /* revision of the accepted configuration */
	bool is_unchanged; /* the manifest had already been accepted; nothing was written */
	size_t n_parts_written;
	char *changed_parts; /* names joined by ", "; "everything" for the first configuration */
} skh_apply_result_t;

/**
 * skh_apply_manifest() - write a manifest and make it the accepted configuration
 * @store: key-value service
 * @prefix: key prefix of the system in the key-value service
 * @manifest: valid manifest to apply; borrowed
 * @base_revision: revision that the change is based on; -1 for the current one
 * @min_revision: newest revision known to be in force at any process; the new revision is
 *	higher. A key-value service that lost its contents would otherwise restart at 1, and
 *	processes ignore a revision that is not newer than their own.
 * @result: receives the outcome, also on failure; free with skh_apply_result_clear()
 * @err: receives SKH_CONFLICT when another change was accepted first, SKH_OUTCOME_UNKNOWN
 *	when the acceptance can't be determined, or an error of the key-value service
 *
 * Return: true when the manifest is accepted; otherwise false with @err.
 */
bool skh_apply_manifest(skh_store_t *store, const char *prefix, const skh_manifest_t *manifest,
			int64_t base_revision, int64_t min_revision, skh_apply_result_t *result,
			skh_error_t *err);

/** skh_apply_result_clear() - free the contents of @result and reset it */
void skh_apply_result_clear(skh_apply_result_t *result);

#ifdef __cplusplus
}
#endif
#endif
