#ifndef SKH_RELOAD_H
#define SKH_RELOAD_H

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

typedef struct skh_reload skh_reload_t;

/** skh_reload_new() - watch the file of @settings */
skh_reload_t *skh_reload_new(const skh_settings_t *settings);

/**
 * skh_reload_look() - settings that replace those in force, or NULL
 *
 * What it returns, and what it replaces, stays valid for the process's life.
 */
const skh_settings_t *skh_reload_look(skh_reload_t *reload, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
