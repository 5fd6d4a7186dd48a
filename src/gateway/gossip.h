#ifndef SKH_GOSSIP_H
#define SKH_GOSSIP_H

/**
 * DOC: Gossip reports between gateways
 *
 * Over UDP, each gateway reports to the others how many requests it has
 * in flight at each backend server, its records of crashes (crash_suspects.h), and its waiting
 * and started requests (backlog.h).
 * Owns the UDP socket, the addresses of the other gateways and the
 * newest report of each. Runs on the gateway's event loop thread.
 *
 * The send rate is limited to a fixed number of bytes per second. Where it does not allow a report
 * to each gateway every second, reports go to the gateways in turn, in a random order. Datagrams may
 * be lost, delayed or reordered: each report is complete, a newer one replaces
 * it, and a report that is too old is dropped.
 */

#include "gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_gossip_start() - listens on UDP @address ("address:port") and receives reports
 * Return: NULL with @err when the address is invalid or can't be bound.
 */
skh_gossip_t *skh_gossip_start(skh_gateway_t *gateway, const char *address, skh_error_t *err);

/**
 * skh_gossip_set_peers() - replaces the list of the other gateways
 * @peers: texts "address:port"; ownership passes to the function
 *
 * Datagrams from IP addresses that are not in @peers are ignored; ports are not compared.
 */
void skh_gossip_set_peers(skh_gossip_t *gossip, GPtrArray *peers);

/** skh_gossip_count_peers() - returns the number of known gateways, not counting this one */
uint32_t skh_gossip_count_peers(const skh_gossip_t *gossip);

/**
 * skh_gossip_get_share() - the servers of @pool that this gateway prefers; see server_selection.h
 *
 * Not used while the other gateways' counts are current; see skh_selection_can_use_reports().
 */
skh_server_share_t skh_gossip_get_share(const skh_gossip_t *gossip, const skh_target_pool_t *pool);

/** skh_gossip_tick() - sends a report when one is due and drops reports that are too old */
void skh_gossip_tick(skh_gossip_t *gossip);

/** skh_gossip_close() - closes the socket; the event loop must run before skh_gossip_free() */
void skh_gossip_close(skh_gossip_t *gossip);
void skh_gossip_free(skh_gossip_t *gossip);

#ifdef __cplusplus
}
#endif
#endif
