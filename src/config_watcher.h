#ifndef SKH_CONFIG_WATCHER_H
#define SKH_CONFIG_WATCHER_H

/**
 * DOC: Configuration controller
 *
 * Follows the accepted configuration and the platform's list of instances and
 * publishes both on the blackboard. A configuration replaces only an older one.
 */

#include "board.h"
#include "settings.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_CONFIG_HEAD_KEY	  "config/head"
#define SKH_CONFIG_PARTS_PREFIX	  "parts/"
#define SKH_CONFIG_HISTORY_PREFIX "history/"

typedef struct skh_config_watcher skh_config_watcher_t;

skh_config_watcher_t *skh_config_watcher_start(skh_store_t *store, const skh_settings_t *settings,
					       skh_board_t *board);
void skh_config_watcher_stop(skh_config_watcher_t *follower);

/** skh_config_watcher_hint_revision() - a peer has named @revision; look for it if it is news */
void skh_config_watcher_hint_revision(skh_config_watcher_t *follower, int64_t revision);

/** skh_settings_open_store() - open the key-value service that the settings name */
skh_store_t *skh_settings_open_store(const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
