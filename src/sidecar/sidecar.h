#ifndef SKH_SIDECAR_H
#define SKH_SIDECAR_H

/**
 * DOC: Sidecar
 *
 * The process that runs beside a backend server and forwards requests from
 * entries to it. One event loop thread owns the connections to entries, the
 * transfers to the backend server and the gate that limits them; the
 * administration listener has threads of its own.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_sidecar_main() - run a sidecar until a planned stop is complete
 * @settings: borrowed
 *
 * Return: the process's exit status, 1 when it can't start.
 */
int skh_sidecar_main(const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
