#ifndef SKH_LEADER_H
#define SKH_LEADER_H

/**
 * DOC: Leader election among the sidecars of a group
 *
 * A thread that registers this sidecar's rank, acquires and renews the leader's lease in the
 * key-value service, and reads the registered ranks. The store revision at which the lease was
 * acquired is the fencing token of the leader's orders. A leader that was paused may send orders
 * after its lease has expired; ranks that have received a higher token reject them. Functions may
 * be called from any thread; failed store requests are logged, counted and retried.
 */

#include "settings.h"
#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_LEADER_MAX_RANKS 1024

/** struct skh_leader_rank - ID and address of one rank's sidecar; "" if unknown */
typedef struct skh_leader_rank {
	char id[256];
	char link_address[256];
} skh_leader_rank_t;

/** struct skh_leader_view - state last read from the store; free @ranks with g_free() */
typedef struct skh_leader_view {
	bool has_fence_floor;	   /* whether @fence_floor is known */
	uint64_t fence_floor;	   /* no fence issued before this sidecar's start is higher */
	uint64_t fence;		   /* fencing token of this sidecar's lease; 0 if it holds none */
	int64_t lease_deadline_us; /* monotonic clock; the leader must not act later */
	size_t n_ranks;
	skh_leader_rank_t *ranks;
} skh_leader_view_t;

typedef struct skh_leader skh_leader_t;

/**
 * skh_leader_start() - start the thread
 * @store: used by the thread only; borrowed, like @settings, until skh_leader_stop()
 */
skh_leader_t *skh_leader_start(skh_store_t *store, const skh_settings_t *settings);

/** skh_leader_stop() - join the thread and free @leader; the lease expires by itself */
void skh_leader_stop(skh_leader_t *leader);

/** skh_leader_get_view() - copy the known state to @view */
void skh_leader_get_view(skh_leader_t *leader, skh_leader_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
