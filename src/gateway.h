#ifndef SKH_GATEWAY_H
#define SKH_GATEWAY_H

/**
 * DOC: Gateway
 *
 * An entry that reaches backend servers directly, on one event loop. It holds
 * nothing that must outlast it.
 */

#include "backends.h"
#include "board.h"
#include "dialect.h"
#include "downstream.h"
#include "feed.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_gossip skh_gossip_t;
typedef struct skh_crash_suspects skh_crash_suspects_t;

/** struct skh_gateway - what its parts share; the loop's thread only, but for the board */
typedef struct skh_gateway {
	const skh_settings_t *settings;
	const skh_dialect_t *dialect;
	uv_loop_t loop;
	skh_board_t *board;
	skh_feed_t *feed;
	skh_backends_t *backends;
	skh_listener_t *listener;
	skh_gossip_t *gossip;
	skh_crash_suspects_t *crash_suspects;
	const skh_routing_t *routing; /* a reference, or NULL before the first */
	const skh_roster_t *roster;
	skh_retry_share_limits_t retry_bounds;
	GQueue exchanges; /* open ones */
	bool dispatching;
	bool rejects_requests; /* a planned stop has gone on for so long that callers go elsewhere */
} skh_gateway_t;

/** skh_gateway_main() - run a gateway until SIGTERM or SIGINT; the exit status */
int skh_gateway_main(const skh_settings_t *settings);

/** skh_gateway_config_age_us() - how long ago the store had nothing newer; INT64_MAX if never */
int64_t skh_gateway_config_age_us(const skh_gateway_t *gateway, int64_t now_us);

/** skh_gateway_can_trust_keys() - customers' keys may still be taken for valid */
bool skh_gateway_can_trust_keys(const skh_gateway_t *gateway, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
