#ifndef SKH_RANK_LIVENESS_H
#define SKH_RANK_LIVENESS_H

/**
 * DOC: A rank that went silent while its group goes on
 *
 * Pure. Answers the load pattern of an instance that freezes or is cut off: its
 * engine still takes part in every pass, so that the group goes on, but nothing
 * comes from it. Ranks of a lock-step group begin each pass together; a rank
 * whose streams stand still while those of others move is out of reach, not
 * slow. Its streams go on elsewhere before their callers give them up.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_rank_liveness_view - one rank as a gateway sees it */
typedef struct skh_rank_liveness_view {
	uint32_t running;		/* requests of this gateway's there */
	uint32_t streaming;		/* of these, such that have begun to answer */
	int64_t last_received_us;	/* the last bytes of any answer of the rank's */
	int64_t busy_since_us;		/* it has had some request of ours since */
	int64_t group_last_received_us; /* the last event from any other rank */
	int64_t now_us;
} skh_rank_liveness_view_t;

/** skh_rank_liveness_is_unreachable() - the rank is out of reach: what it has goes on elsewhere */
bool skh_rank_liveness_is_unreachable(const skh_rank_liveness_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
