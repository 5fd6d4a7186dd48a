#ifndef SKH_LEADER_H
#define SKH_LEADER_H

/**
 * DOC: Leader of a group
 *
 * Which sidecar of a group coordinates it is decided by a lease in the
 * key-value service; the store's revision at which the lease was taken is the
 * fence of its orders. This thread takes and renews the lease and reads who
 * the group's ranks are. A paused holder may act after its lease has lapsed;
 * the fence makes that harmless.
 */

#include "settings.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_LEADER_MAX_RANKS 1024

/** struct skh_leader_rank - where one rank's sidecar is; "" when not known */
typedef struct skh_leader_rank {
	char id[256];
	char link_address[256];
} skh_leader_rank_t;

/** struct skh_leader_view - what the thread knows; free @ranks with g_free() */
typedef struct skh_leader_view {
	bool has_fence_floor;	   /* @fence_floor is known */
	uint64_t fence_floor;	   /* no fence given out before the start is higher */
	uint64_t fence;		   /* of this sidecar's lease; 0 when it holds none */
	int64_t lease_deadline_us; /* monotonic; it acts only before */
	size_t n_ranks;
	skh_leader_rank_t *ranks;
} skh_leader_view_t;

typedef struct skh_leader skh_leader_t;

skh_leader_t *skh_leader_start(skh_store_t *store, const skh_settings_t *settings);
void skh_leader_stop(skh_leader_t *leader);
void skh_leader_get_view(skh_leader_t *leader, skh_leader_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
