#ifndef SKH_BALANCER_H
#define SKH_BALANCER_H

/**
 * DOC: Balancer of experts
 *
 * The process beside a model server that is a rank of a group: it reads the
 * rank's state and counts, tells the group's coordinator, and coordinates while
 * it holds the group's lease.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** skh_balancer_main() - run until SIGTERM or SIGINT; the exit status */
int skh_balancer_main(const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
