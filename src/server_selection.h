#ifndef SKH_SERVER_SELECTION_H
#define SKH_SERVER_SELECTION_H

/**
 * DOC: Selection of a backend server
 *
 * Selects the backend server for one attempt by load, speed and recent failures.
 * In a lock-step group every rank waits for the rank with the most generating
 * requests, so the rank with the fewest requests is selected, and a slow rank gets
 * fewer than the others. Servers outside lock-step groups differ in speed, so the one with
 * the lowest expected response time is selected. A server that failed recently is avoided for
 * a period, and afterwards its load counts as higher in proportion to its failure
 * ratio; if all eligible servers are avoided, avoided ones are used.
 *
 * Pure functions without state; any thread may call them. Times are in microseconds
 * on one monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_SELECTION_NONE (-1)

/** struct skh_candidate - state of one server, as input of the selection */
typedef struct skh_candidate {
	uint32_t slots;
	uint32_t running;	/* requests in flight at the server, from all gateways */
	double expected_tokens; /* expected tokens of this gateway's requests in flight */
	double mean_latency_ms; /* mean response time of recent requests; 0 if unknown */
	double slowdown;	/* time that a rank takes relative to normal; 1 is normal */
	double failure_ratio;	/* ratio of recent requests that failed, 0 to 1 */
	int64_t avoid_until_us; /* end of the avoidance period after a failure; 0 for none */
	int64_t full_until_us;	/* counts as full until then, after a rejection; 0 for none */
	bool is_excluded;	/* not eligible: leaving, or already tried by the request */
} skh_candidate_t;

/** struct skh_selection_input - all candidates of a service */
typedef struct skh_selection_input {
	const skh_candidate_t *candidates;
	uint32_t n_candidates;
	bool is_lock_step;   /* the candidates are ranks of one lock-step group */
	uint32_t overcommit; /* requests that a server may get in excess of its slots */
	uint64_t random;     /* random number, breaks ties */
	int64_t now_us;
} skh_selection_input_t;

/**
 * skh_select_server() - select the server for one attempt
 *
 * Avoided servers are considered only if all eligible servers are avoided.
 *
 * Return: index into the candidates, or SKH_SELECTION_NONE if every server that is considered
 * is full or none is eligible.
 */
int32_t skh_select_server(const skh_selection_input_t *view);

/** skh_selection_has_candidate() - whether any server is eligible, even if it is full now */
bool skh_selection_has_candidate(const skh_selection_input_t *view);

#ifdef __cplusplus
}
#endif
#endif
