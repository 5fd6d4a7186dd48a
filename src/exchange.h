#ifndef SKH_EXCHANGE_H
#define SKH_EXCHANGE_H

/**
 * DOC: One request at a gateway
 *
 * From the caller's request to the end of its answer: which route and service,
 * whose key, waiting for a server, sending, sending again, passing on.
 */

#include "gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/** skh_exchange_listener_ops - for skh_listener_start(); the context is the gateway */
extern const skh_listener_ops_t skh_exchange_listener_ops;

/** skh_exchange_dispatch() - hand waiting requests to servers that have room */
void skh_exchange_dispatch(skh_gateway_t *gateway);

/** skh_exchange_tick() - end what has waited too long, then dispatch */
void skh_exchange_tick(skh_gateway_t *gateway);

/** skh_exchange_move_off_slow_ranks() - ranks have turned slow or usual: move what they hold up */
void skh_exchange_move_off_slow_ranks(skh_gateway_t *gateway);

#ifdef __cplusplus
}
#endif
#endif
