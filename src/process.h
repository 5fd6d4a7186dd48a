#ifndef SKH_PROCESS_H
#define SKH_PROCESS_H

/**
 * DOC: Process
 *
 * What both long-running roles share: stop signals, logs and start-up.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** skh_process_setup() - logs from @settings; SIGTERM and SIGINT ask for a stop, SIGHUP to reload */
void skh_process_setup(const skh_settings_t *settings);

/** skh_process_reload_requests() - how many times SIGHUP has come */
int32_t skh_process_reload_requests(void);

/** skh_process_stop_requests() - how many stop signals have come */
int32_t skh_process_stop_requests(void);

#ifdef __cplusplus
}
#endif
#endif
