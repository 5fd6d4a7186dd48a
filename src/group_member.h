#ifndef SKH_GROUP_MEMBER_H
#define SKH_GROUP_MEMBER_H

/**
 * DOC: Group
 *
 * The shell around rank.h and mapswitch.h at the sidecar of an engine that
 * belongs to a group: carries orders to its own engine, and, while it leads,
 * brings the whole group to the placement that the configuration in force
 * names. Runs on the sidecar's one thread.
 */

#include "backend.h"
#include "board.h"
#include "sidecar_link.h"
#include "settings.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_group_member skh_group_member_t;

skh_group_member_t *skh_group_member_new(const skh_settings_t *settings, skh_board_t *board,
					 skh_store_t *store, skh_sidecar_link_t *port,
					 skh_backend_t *backend);
void skh_group_member_free(skh_group_member_t *member);

/** skh_group_member_on_frame() - an order or a reply from @peer; @frame stays the caller's */
void skh_group_member_on_frame(skh_group_member_t *member, const char *peer,
			       const Skh__Frame *frame);

/** skh_group_member_tick() - run transfers and send what is due */
void skh_group_member_tick(skh_group_member_t *member, int64_t now_us);

/** skh_group_member_map_version() - map that this rank's engine uses; 0 when not known */
uint64_t skh_group_member_map_version(const skh_group_member_t *member);

#ifdef __cplusplus
}
#endif
#endif
