#ifndef SKH_APPLY_H
#define SKH_APPLY_H

/**
 * DOC: Accepting a manifest
 *
 * Accepted means: the head was swapped by compare-and-swap. An answer lost on
 * the way is settled by reading back one's own attempt. Of two operators who
 * race, one wins and the other is told what changed.
 */

#include "manifest.h"
#include "config_parts.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_apply_result - what became of an apply */
typedef struct skh_apply_result {
	int64_t revision; /* of the configuration that is accepted now */
	bool unchanged;	  /* it already was */
	size_t parts_written;
	char *changed_parts; /* names, joined by ", " */
} skh_apply_result_t;

/**
 * skh_apply_manifest() - have @manifest accepted
 * @prefix: the system's prefix in the key-value service
 * @base: revision that the caller's change is based on; -1 for the current one
 * @floor: newest revision known to be in force anywhere; a service that has
 *	lost its contents would otherwise count from 1, and nobody goes back
 */
bool skh_apply_manifest(skh_store_t *store, const char *prefix, const skh_manifest_t *manifest,
			int64_t base, int64_t floor, skh_apply_result_t *result, skh_error_t *err);

void skh_apply_result_clear(skh_apply_result_t *result);

#ifdef __cplusplus
}
#endif
#endif
