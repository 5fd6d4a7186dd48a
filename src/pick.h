#ifndef SKH_PICK_H
#define SKH_PICK_H

/**
 * DOC: Which backend server gets a request
 *
 * Pure. In a lock-step group every rank waits for the one with the most
 * writers, so requests go where the fewest run, and fewer to a rank that takes
 * longer than the others. Plain servers differ in speed,
 * so there the expected time decides. A server that failed of late is left
 * alone for a while, then tried with a single request; when nothing else is
 * left it is used all the same.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_PICK_NONE (-1)

/** struct skh_candidate - what is known of one server */
typedef struct skh_candidate {
	uint32_t slots;
	uint32_t running;      /* requests sent there and not ended, by all gateways */
	double work;	       /* expected tokens of those, or 0 */
	double mean_ms;	       /* of its recent answers; 0 when unknown */
	double pace;	       /* of a rank: time that it takes, 1 is usual */
	double failing;	       /* part of recent requests that failed, 0 to 1 */
	int64_t avoid_till_us; /* it failed; 0 when it did not */
	int64_t full_till_us;  /* it turned a request away; 0 when it did not */
	bool excluded;	       /* leaving, or tried by this request already */
} skh_candidate_t;

/** struct skh_pick_view - all candidates of a service */
typedef struct skh_pick_view {
	const skh_candidate_t *list;
	uint32_t n;
	bool lock_step;	     /* ranks of one group */
	uint32_t overcommit; /* requests beyond its slots that a server may be given */
	uint64_t draw;	     /* random, to break ties */
	int64_t now_us;
} skh_pick_view_t;

/** skh_pick_server() - index into the list, or SKH_PICK_NONE when all are full */
int32_t skh_pick_server(const skh_pick_view_t *view);

/** skh_pick_has_any() - some server could be used now or later */
bool skh_pick_has_any(const skh_pick_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
