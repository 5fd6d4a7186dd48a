#ifndef SKH_RANK_LIVENESS_H
#define SKH_RANK_LIVENESS_H

/**
 * DOC: Rank liveness
 *
 * Detects a rank of a lock-step group that has become unreachable while its
 * group continues. Stateless; callable from any thread.
 *
 * This happens when an instance freezes or loses its network connection: its
 * engine still takes part in every pass, so the group makes progress, but the
 * gateway receives nothing from the rank. The ranks of a lock-step group begin
 * each pass together, so a rank whose streams are silent while streams of other
 * ranks receive events is unreachable rather than slow. Early detection lets
 * the streams resume on other ranks before their callers time out.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_rank_liveness_input - one rank as seen by a gateway; all times on one clock */
typedef struct skh_rank_liveness_input {
	uint32_t running;		/* requests of this gateway at the rank */
	uint32_t streaming;		/* requests among @running whose response has begun */
	int64_t last_received_us;	/* last bytes of any response from the rank */
	int64_t busy_since_us;		/* since when the rank has had requests of this gateway */
	int64_t group_last_received_us; /* last bytes of any response from any other rank */
	int64_t now_us;
} skh_rank_liveness_input_t;

/**
 * skh_rank_liveness_is_unreachable() - whether a rank with requests has been silent for too long
 * @view: the rank and its group at @view->now_us
 *
 * Return: true if the requests of the rank should be moved to other ranks; false if the rank
 * has no requests or if its whole group is silent.
 */
bool skh_rank_liveness_is_unreachable(const skh_rank_liveness_input_t *view);

#ifdef __cplusplus
}
#endif
#endif
