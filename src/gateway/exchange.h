#ifndef SKH_EXCHANGE_H
#define SKH_EXCHANGE_H

/**
 * DOC: HTTP exchange between a caller and the gateway
 *
 * Follows one request from its arrival to the end of its response: routing,
 * authorization, queueing, attempts at backend servers and the response. An
 * exchange frees itself when it ends. Runs on the event loop's thread.
 */

#include "gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/** skh_exchange_listener_ops - callbacks for skh_listener_start(), with the gateway as context */
extern const skh_listener_ops_t skh_exchange_listener_ops;

/** skh_exchange_dispatch() - send queued requests to servers that have capacity */
void skh_exchange_dispatch(skh_gateway_t *gateway);

/**
 * skh_exchange_tick() - periodic work
 *
 * Moves requests off ranks that stopped responding, ends expired requests and
 * dispatches the queues.
 */
void skh_exchange_tick(skh_gateway_t *gateway);

/**
 * skh_exchange_route_waiting() - route the requests that wait for the first configuration
 *
 * Does nothing before it is loaded or the gateway's load_deadline_us has passed; then they are
 * rejected. Does not dispatch the queues.
 */
void skh_exchange_route_waiting(skh_gateway_t *gateway);

/**
 * skh_exchange_begin_stop() - a planned stop has begun; @gateway->answer_by_us is set
 *
 * What is in progress is answered by then, as if it were the deadline: as not run where it was not sent
 * to a server, and else as unknown. A response that has begun goes on.
 */
void skh_exchange_begin_stop(skh_gateway_t *gateway);

/**
 * skh_exchange_move_off_slow_ranks() - retry requests of slow ranks at other servers
 *
 * Called when ranks have become slow or normal again. Also dispatches the queues.
 */
void skh_exchange_move_off_slow_ranks(skh_gateway_t *gateway);

/**
 * skh_exchange_withdraw_from_domains() - enqueue requests again that are still connecting to servers
 * of domains out of service
 *
 * Does not dispatch the queues.
 */
void skh_exchange_withdraw_from_domains(skh_gateway_t *gateway);

#ifdef __cplusplus
}
#endif
#endif
