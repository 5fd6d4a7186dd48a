#ifndef SKH_SETTINGS_WATCHER_H
#define SKH_SETTINGS_WATCHER_H

/**
 * DOC: Reload of settings
 *
 * Reloads the settings file of a running process after SIGHUP, and also when its
 * size or modification time changes, because the file can be replaced without a
 * signal. A file with errors is rejected and the settings in force stay. Changes
 * of addresses and names need a restart; the owner applies the other settings.
 * The owner serialises calls.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_settings_watcher skh_settings_watcher_t;

/**
 * skh_settings_watcher_new() - watch the file from which @settings were loaded
 * @settings: settings in force; must stay valid for the lifetime of the process
 *
 * Return: a watcher for the lifetime of the process.
 */
skh_settings_watcher_t *skh_settings_watcher_new(const skh_settings_t *settings);

/**
 * skh_settings_watcher_poll() - check for new settings
 * @watcher: the watcher
 * @now_us: current time in microseconds, always from the same clock
 *
 * Return: settings that replace those in force; NULL without a change or when the
 * file is rejected. Both the new and the replaced settings stay valid for the
 * lifetime of the process.
 */
const skh_settings_t *skh_settings_watcher_poll(skh_settings_watcher_t *watcher, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
