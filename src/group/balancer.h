#ifndef SKH_BALANCER_H
#define SKH_BALANCER_H

/**
 * DOC: Expert balancer of a rank
 *
 * Main program of the process beside a model server that is a rank of a group. It polls the
 * rank's state and token counts, reports them to the group's coordinator over UDP, relays the
 * coordinator's orders to the engine, and acts as the coordinator while it holds the group's
 * lease. All work is done on one event loop except for the store requests of the election.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_balancer_main() - run until SIGTERM or SIGINT
 * Return: exit status of the process; 1 if the start failed.
 */
int skh_balancer_main(const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
