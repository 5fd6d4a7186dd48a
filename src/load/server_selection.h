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
 * Load pattern: dozens of gateways in front of a hundred servers with a few slots each. What
 * a gateway knows of the others' requests is then about as old as a request takes. Gateways
 * that all select the least loaded server by the same old counts send it more than it can
 * take. Instead each one counts only its own requests and prefers its share of the servers:
 * disjoint shares spread the load without a message, and requests that a share has no room
 * for go to other servers. What a server said of its load in a recent response corrects this:
 * each gateway hears most often of the servers that it uses most. Penalties that stand for
 * requests of all gateways count by this gateway's part of them, so that a server that is a
 * little slow gets a little less from all gateways and not nothing from each of them.
 *
 * Of equally loaded servers one of the gateway's own failure domain is selected.
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

/**
 * struct skh_server_share - part of a service's servers that one gateway prefers
 * @index: position of the gateway among all gateways, from 0
 * @count: number of gateways; 0 if the servers are not divided
 */
typedef struct skh_server_share {
	uint32_t index;
	uint32_t count;
} skh_server_share_t;

/**
 * skh_server_share_contains() - whether the share has a server
 * @position: position of the server among the @n_servers of its service, in an order that all
 *	gateways use
 *
 * With more gateways than servers, several gateways share a server.
 */
bool skh_server_share_contains(const skh_server_share_t *share, uint32_t position,
			       uint32_t n_servers);

/** struct skh_candidate - state of one server, as input of the selection */
typedef struct skh_candidate {
	uint32_t slots;
	uint32_t running;	/* requests in flight, with a share only this gateway's */
	double expected_tokens; /* expected tokens of this gateway's requests in flight */
	double mean_latency_ms; /* mean response time of recent requests; 0 if unknown */
	double slowdown;	/* time that a rank takes relative to normal; 1 is normal */
	double warmup_requests; /* added to the load of a server that is warming up */
	double failure_ratio;	/* ratio of recent requests that failed, 0 to 1 */
	int64_t avoid_until_us; /* end of the avoidance period after a failure; 0 for none */
	int64_t full_until_us;	/* counts as full until then, after a rejection; 0 for none */
	bool is_excluded;	/* not eligible: leaving, or already tried by the request */
	/* Beyond load and failures: */
	bool is_cache_full;	 /* the request does not fit into its KV cache */
	bool is_in_other_domain; /* not in the failure domain of the gateway */
	/* Used with a share only: */
	uint32_t others_running; /* requests of other gateways, by the server's last statement */
	int64_t others_us;	 /* time of that statement; 0 for none */
} skh_candidate_t;

/** struct skh_selection_input - all candidates of a service */
typedef struct skh_selection_input {
	const skh_candidate_t *candidates;
	uint32_t n_candidates;
	bool is_lock_step;   /* the candidates are ranks of one lock-step group */
	uint32_t overcommit; /* requests that a server may get in excess of its slots */
	uint64_t random;     /* random number, breaks ties */
	int64_t now_us;
	skh_server_share_t share; /* if used, candidates are in the order of positions */
} skh_selection_input_t;

/**
 * skh_selection_can_use_reports() - whether to select by the counts that other gateways report
 * @interval_us: time between two reports of a gateway
 * @starts_per_s: requests that all gateways start at the @n_servers servers of the service
 *
 * Return: true if reports are frequent, or if few requests reach a server between two reports.
 * Otherwise the own counts and a share of the servers are to be used.
 */
bool skh_selection_can_use_reports(int64_t interval_us, double starts_per_s, uint32_t n_servers);

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
