#ifndef SKH_ACCESS_H
#define SKH_ACCESS_H

/**
 * DOC: Access control for the administration API
 *
 * Authenticates API keys and authorizes actions by the operator's role.
 * Operators and their keys are part of the manifest, so a key is rotated by a
 * configuration change that adds the new key and a later one that removes the
 * old key. While the manifest lists no operator, every action is allowed;
 * otherwise nobody could apply the first manifest. The functions have no state
 * and may be called on any thread.
 */

#include "manifest.h"

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_access_level - minimum role that an action requires, in ascending order */
typedef enum skh_access_level {
	SKH_ACCESS_LEVEL_NONE,
	SKH_ACCESS_LEVEL_READER,
	SKH_ACCESS_LEVEL_TEAM,
	SKH_ACCESS_LEVEL_OPERATOR
} skh_access_level_t;

/**
 * skh_access_check() - check that an Authorization header grants an access level
 * @manifest: manifest in force, or NULL before the first one
 * @header: value of the Authorization header, or NULL
 * @required_level: access level that the action requires
 * @principal: receives the authenticated operator, borrowed from @manifest; NULL when the
 *	action requires no access level, the manifest lists no operator or the check fails
 *	before the key is found
 * @err: receives SKH_UNAUTHORIZED (no key or an unknown one) or SKH_FORBIDDEN (role too low)
 *
 * Return: true when the action is allowed; otherwise false with @err.
 */
bool skh_access_check(const skh_manifest_t *manifest, const char *header,
		      skh_access_level_t required_level, const skh_operator_t **principal,
		      skh_error_t *err);

/**
 * skh_access_check_change() - check that an operator may replace one manifest by another
 * @principal: operator that submits the change; NULL allows every change
 * @before: manifest in force, or NULL before the first one
 * @after: manifest to apply
 * @err: receives SKH_FORBIDDEN
 *
 * The author that @after names must be @principal. An operator with the team
 * role may change only services and customers that its team owns in both
 * manifests, add items that its team owns in @after and remove items that its
 * team owns in @before.
 *
 * Return: true when the change is allowed; otherwise false with @err.
 */
bool skh_access_check_change(const skh_operator_t *principal, const skh_manifest_t *before,
			     const skh_manifest_t *after, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
