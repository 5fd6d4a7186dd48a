#ifndef SKH_GROUP_MEMBER_H
#define SKH_GROUP_MEMBER_H

/**
 * DOC: Group member
 *
 * Connects the state machines of rank.h and mapswitch.h to the network, at the
 * sidecar of an engine that belongs to a group. It forwards map switch orders
 * to its own engine and, while its sidecar leads the group, switches all ranks
 * to the expert map of the placement in the configuration in force. It owns the
 * HTTP transfers to the engine and the thread of leader.h. All functions run on the
 * sidecar's event loop thread; times are in microseconds of skh_clock_now_us(). A failed order is
 * logged here; the leader retries it.
 */

#include "backend.h"
#include "board.h"
#include "settings.h"
#include "sidecar_link.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_group_member skh_group_member_t;

/**
 * skh_group_member_new() - start taking part in the group named in @settings
 * @settings: borrowed
 * @board: source of the configuration; borrowed
 * @store: key-value service that holds the leader lease; borrowed
 * @link: connections to the other sidecars; borrowed
 * @backend: engine of this rank; must implement send_map_order; borrowed
 *
 * Return: a new group member, to be freed with skh_group_member_free().
 */
skh_group_member_t *skh_group_member_new(const skh_settings_t *settings, skh_board_t *board,
					 skh_store_t *store, skh_sidecar_link_t *link,
					 skh_backend_t *backend);

/** skh_group_member_free() - stop the leader thread and free @member; NULL is allowed */
void skh_group_member_free(skh_group_member_t *member);

/**
 * skh_group_member_on_frame() - handle an order or an order reply; ignores other frames
 * @peer: routing id of the sender, to which the reply to an order is sent
 * @frame: owned by the caller
 */
void skh_group_member_on_frame(skh_group_member_t *member, const char *peer,
			       const Skh__Frame *frame);

/** skh_group_member_tick() - run transfers and send the orders that are due at @now_us */
void skh_group_member_tick(skh_group_member_t *member, int64_t now_us);

/** skh_group_member_map_version() - version of this engine's map; 0 if unknown */
uint64_t skh_group_member_map_version(const skh_group_member_t *member);

#ifdef __cplusplus
}
#endif
#endif
