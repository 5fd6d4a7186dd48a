#ifndef SKH_CONFIG_ADMIN_H
#define SKH_CONFIG_ADMIN_H

/**
 * DOC: Configuration API
 *
 * Operations of the administration API that concern the whole system and that
 * every entry serves: reading and applying the configuration, listing its
 * history and reporting its rollout. The module keeps no state; the key-value
 * service stores everything. The functions block their thread and may be called
 * on several threads.
 */

#include "access.h"
#include "board.h"
#include "settings.h"
#include "store.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_config_admin - dependencies of the functions; all borrowed */
typedef struct skh_config_admin {
	const skh_settings_t *settings;
	skh_store_t *store;
	skh_board_t *board;
} skh_config_admin_t;

/**
 * skh_config_admin_get_config() - describe the configuration in force at the process
 * @config: configuration in force
 *
 * Return: new JSON object with revision, author, reason and manifest.
 */
json_t *skh_config_admin_get_config(const skh_config_t *config);

/**
 * skh_config_admin_apply() - validate, authorize and apply a manifest
 * @admin: dependencies
 * @config: configuration in force at the process, or NULL before the first one
 * @principal: authenticated operator; NULL while the manifest lists no operator
 * @text: manifest in TOML
 * @base_revision: revision that the change is based on; -1 for the current one
 * @dry_run: report the differences without applying the manifest
 * @err: receives SKH_CONFIG_INVALID, SKH_FORBIDDEN or an error of skh_apply_manifest()
 *
 * Return: new JSON object with the outcome and the differences, or NULL with @err.
 */
json_t *skh_config_admin_apply(const skh_config_admin_t *admin, const skh_config_t *config,
			       const skh_operator_t *principal, skh_chunk_t text,
			       int64_t base_revision, bool dry_run, skh_error_t *err);

/**
 * skh_config_admin_list_history() - list the accepted changes
 * @admin: dependencies
 * @err: receives an error of the key-value service
 *
 * Return: new JSON array, oldest change first, without unreadable entries; or NULL with @err.
 */
json_t *skh_config_admin_list_history(const skh_config_admin_t *admin, skh_error_t *err);

/**
 * skh_config_admin_get_rollout() - get the revision in force at each listed instance
 * @admin: dependencies
 * @err: receives an error of the key-value service
 *
 * Sends a status request to every instance; the revision of one that does not respond is null.
 *
 * Return: new JSON object, or NULL with @err.
 */
json_t *skh_config_admin_get_rollout(const skh_config_admin_t *admin, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
