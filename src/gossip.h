#ifndef SKH_GOSSIP_H
#define SKH_GOSSIP_H

/**
 * DOC: Load reports between gateways
 *
 * Each gateway tells the others, over UDP and within a fixed byte rate, how
 * many requests it has at each server, and which requests crash their servers.
 * Reports may be lost, late or reordered: each is complete, and the newest
 * counts until it is too old.
 */

#include "gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/** skh_gossip_start() - on UDP @address; NULL with @err */
skh_gossip_t *skh_gossip_start(skh_gateway_t *gateway, const char *address, skh_error_t *err);

/** skh_gossip_set_peers() - "address:port" of the other gateways; @peers is taken */
void skh_gossip_set_peers(skh_gossip_t *gossip, GPtrArray *peers);

/** skh_gossip_count_peers() - gateways known besides this one */
uint32_t skh_gossip_count_peers(const skh_gossip_t *gossip);

/** skh_gossip_tick() - send what is due, forget what is too old */
void skh_gossip_tick(skh_gossip_t *gossip);

/** skh_gossip_add_crash_suspect() - tell the others of it for a while */
void skh_gossip_add_crash_suspect(skh_gossip_t *gossip, uint64_t content, uint64_t crash);

void skh_gossip_close(skh_gossip_t *gossip);
void skh_gossip_free(skh_gossip_t *gossip);

#ifdef __cplusplus
}
#endif
#endif
