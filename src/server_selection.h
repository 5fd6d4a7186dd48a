#ifndef SKH_SERVER_SELECTION_H
#define SKH_SERVER_SELECTION_H

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

#define SKH_SELECTION_NONE (-1)

/** struct skh_candidate - what is known of one server */
typedef struct skh_candidate {
	uint32_t slots;
	uint32_t running;	/* requests sent there and not ended, by all gateways */
	double expected_tokens; /* expected tokens of those, or 0 */
	double mean_ms;		/* of its recent answers; 0 when unknown */
	double slowdown;	/* of a rank: time that it takes, 1 is usual */
	double failure_ratio;	/* part of recent requests that failed, 0 to 1 */
	int64_t avoid_until_us; /* it failed; 0 when it did not */
	int64_t full_until_us;	/* it turned a request away; 0 when it did not */
	bool excluded;		/* leaving, or tried by this request already */
} skh_candidate_t;

/** struct skh_selection_view - all candidates of a service */
typedef struct skh_selection_view {
	const skh_candidate_t *candidates;
	uint32_t n_candidates;
	bool lock_step;	     /* ranks of one group */
	uint32_t overcommit; /* requests beyond its slots that a server may be given */
	uint64_t random;     /* random, to break ties */
	int64_t now_us;
} skh_selection_view_t;

/** skh_select_server() - index into the list, or SKH_SELECTION_NONE when all are full */
int32_t skh_select_server(const skh_selection_view_t *view);

/** skh_selection_has_candidate() - some server could be used now or later */
bool skh_selection_has_candidate(const skh_selection_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
