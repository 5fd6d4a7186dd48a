#ifndef SKH_ACCESS_H
#define SKH_ACCESS_H

/**
 * DOC: Access to the administration
 *
 * Who may do what. Operators and their keys stand in the manifest, so a key is
 * rotated by a change of configuration: add the new one, later take the old one
 * away. While the manifest lists no operator the administration is open, so that
 * the first manifest can be put in force. Pure.
 */

#include "manifest.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_access_level - the least role that an action takes, in rising order */
typedef enum skh_access_level {
	SKH_ACCESS_LEVEL_NONE,
	SKH_ACCESS_LEVEL_READER,
	SKH_ACCESS_LEVEL_TEAM,
	SKH_ACCESS_LEVEL_OPERATOR
} skh_access_level_t;

/**
 * skh_access_check() - may the bearer of @header do what takes @need?
 * @manifest: in force, or NULL before the first
 * @header: the Authorization header, or NULL
 * @who: receives the operator; NULL while none is listed
 */
bool skh_access_check(const skh_manifest_t *manifest, const char *header, skh_access_level_t need,
		      const skh_operator_t **who, skh_error_t *err);

/**
 * skh_access_check_change() - may @who replace @before by @after?
 *
 * The change names its author truly, and a team changes only services and
 * customers that are its own before and after.
 */
bool skh_access_check_change(const skh_operator_t *who, const skh_manifest_t *before,
			     const skh_manifest_t *after, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
