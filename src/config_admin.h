#ifndef SKH_CONFIG_ADMIN_H
#define SKH_CONFIG_ADMIN_H

/**
 * DOC: Control
 *
 * The part of the administration that any entry answers for the whole system:
 * the configuration, its history, and how far it has come. Nothing of it is kept
 * here; what must last stands in the key-value service.
 */

#include "access.h"
#include "board.h"
#include "settings.h"
#include "store.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_config_admin - what the functions work on; all borrowed */
typedef struct skh_config_admin {
	const skh_settings_t *settings;
	skh_store_t *store;
	skh_board_t *board;
} skh_config_admin_t;

/** skh_config_admin_get_config() - who, why and which revision is in force here, with the manifest */
json_t *skh_config_admin_get_config(const skh_config_t *config);

/**
 * skh_config_admin_apply() - judge a manifest and have it accepted
 * @config: in force here, or NULL before the first
 * @who: who asks; NULL while no operator is listed
 * @text: the manifest in TOML
 * @base: revision that the change is based on; -1 for the current one
 * @dry_run: only tell what would change
 * Return: new JSON object, or NULL with @err.
 */
json_t *skh_config_admin_apply(const skh_config_admin_t *control, const skh_config_t *config,
			       const skh_operator_t *who, skh_chunk_t text, int64_t base,
			       bool dry_run, skh_error_t *err);

/** skh_config_admin_list_history() - new JSON array of the accepted changes, oldest first */
json_t *skh_config_admin_list_history(const skh_config_admin_t *control, skh_error_t *err);

/** skh_config_admin_get_rollout() - revision in force at each listed instance; asks them all */
json_t *skh_config_admin_get_rollout(const skh_config_admin_t *control, skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
