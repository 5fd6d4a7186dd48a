#ifndef SKH_PROCESS_H
#define SKH_PROCESS_H

/**
 * DOC: Process set-up
 *
 * Set-up that all long-running roles share: logging, signal handlers and libcurl.
 * The signal counts can be read from any thread.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_process_setup() - set up logging, signal handlers and libcurl
 * @settings: settings with the log level, format and output
 *
 * SIGTERM and SIGINT request a stop, SIGHUP requests a reload of the settings, and
 * SIGPIPE is ignored. Called once, before other threads start.
 */
void skh_process_setup(const skh_settings_t *settings);

/** skh_process_reload_requests() - number of SIGHUP signals received so far */
int32_t skh_process_reload_requests(void);

/** skh_process_stop_requests() - number of SIGTERM and SIGINT signals received so far */
int32_t skh_process_stop_requests(void);

#ifdef __cplusplus
}
#endif
#endif
