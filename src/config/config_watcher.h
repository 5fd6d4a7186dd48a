#ifndef SKH_CONFIG_WATCHER_H
#define SKH_CONFIG_WATCHER_H

/**
 * DOC: Configuration watcher
 *
 * Watches the accepted configuration and the platform's list of instances in
 * the key-value service and publishes both on the blackboard. The configuration
 * is published only when its revision is newer than the one in force. Each of
 * the two watches runs on a thread that the watcher owns.
 */

#include "board.h"
#include "settings.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Key and key prefixes below the key prefix of the system in the key-value service. */
#define SKH_CONFIG_HEAD_KEY	  "config/head"
#define SKH_CONFIG_PARTS_PREFIX	  "parts/"
#define SKH_CONFIG_HISTORY_PREFIX "history/"

typedef struct skh_config_watcher skh_config_watcher_t;

/**
 * skh_config_watcher_start() - start both watches
 * @store: key-value service; borrowed until skh_config_watcher_stop()
 * @settings: settings of the process; borrowed until skh_config_watcher_stop()
 * @board: blackboard to publish on; borrowed until skh_config_watcher_stop()
 *
 * Return: a watcher to be freed with skh_config_watcher_stop().
 */
skh_config_watcher_t *skh_config_watcher_start(skh_store_t *store, const skh_settings_t *settings,
					       skh_board_t *board);

/** skh_config_watcher_stop() - end both threads and free @watcher */
void skh_config_watcher_stop(skh_config_watcher_t *watcher);

/**
 * skh_config_watcher_hint_revision() - read the configuration if another process has a newer one
 * @watcher: watcher
 * @revision: revision that another process reported
 *
 * Starts a read at most once a second. Must be called by one thread at a time.
 */
void skh_config_watcher_hint_revision(skh_config_watcher_t *watcher, int64_t revision);

/** skh_settings_open_store() - open the key-value service at the endpoints in @settings */
skh_store_t *skh_settings_open_store(const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
