#ifndef SKH_SETTINGS_WATCHER_H
#define SKH_SETTINGS_WATCHER_H

/**
 * DOC: Settings that change while a process runs
 *
 * The file is read again after SIGHUP, and when it looks changed, as it may be
 * replaced without a signal. A file with faults changes nothing. Addresses and
 * names need a restart; the owner applies the rest.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_settings_watcher skh_settings_watcher_t;

/** skh_settings_watcher_new() - watch the file of @settings */
skh_settings_watcher_t *skh_settings_watcher_new(const skh_settings_t *settings);

/**
 * skh_settings_watcher_poll() - settings that replace those in force, or NULL
 *
 * What it returns, and what it replaces, stays valid for the process's life.
 */
const skh_settings_t *skh_settings_watcher_poll(skh_settings_watcher_t *reload, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
