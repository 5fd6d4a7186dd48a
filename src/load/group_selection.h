#ifndef SKH_GROUP_SELECTION_H
#define SKH_GROUP_SELECTION_H

/**
 * DOC: Selection of a lock-step group
 *
 * Selects the group of a service that gets the next request, and a server in it
 * (server_selection.h). Load pattern: a service of two or three groups of 24 to 32 ranks at
 * two thirds of their slots, of which one group is down, held, forming or slow for seconds. The
 * other groups then take all requests, and the unhealthy one costs no request more than a rare
 * probe.
 *
 * Ready groups come first: of those with a free slot the one whose next pass is expected to be
 * the shortest with the request in it, and of equal ones the one with fewer requests for each
 * rank. A pass takes as long as the slowest rank's part, and a slow rank also delays the experts'
 * work, until the coordinator has moved most of it to other ranks. A group in which an attempt of
 * the request failed before comes after the others.
 *
 * An unhealthy group gets requests only as probes: at the breaker's pace (group_breaker.h) while
 * no group is ready, and rarely otherwise. With one group the result is that of
 * skh_select_server() while the breaker allows a request.
 *
 * With a share (server_selection.h) only the own requests are known. The load of a rank is then
 * taken as the own mean for each rank of the group times the number of gateways.
 *
 * Pure functions without state; any thread may call them.
 */

#include "server_selection.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_group_candidate - state of one group, as input of the selection */
typedef struct skh_group_candidate {
	bool is_joint;		 /* its servers run passes together */
	bool is_ready;		 /* it answers; if not, it gets only probes */
	bool can_send;		 /* its breaker allows a request, see group_breaker.h */
	bool is_spare_probe_due; /* a probe may be sent while another group is ready */
	bool is_left;		 /* an attempt of this request has failed there */
	bool is_at_limit;	 /* it may run no further request of this gateway */
} skh_group_candidate_t;

/**
 * struct skh_group_selection_input - input of a selection
 * @servers: servers of all groups
 * @group_of: index into @groups for each of the servers
 * @step_ms: duration of a step without requests
 * @step_ms_per_request: added duration of a step for each running request of a rank
 * @expert_time_ratio: fraction of a step's duration spent in experts, 0 to 1
 */
typedef struct skh_group_selection_input {
	skh_selection_input_t servers;
	const uint32_t *group_of;
	const skh_group_candidate_t *groups;
	uint32_t n_groups;
	double step_ms;
	double step_ms_per_request;
	double expert_time_ratio;
} skh_group_selection_input_t;

/**
 * skh_group_selection_server() - select the server for one attempt
 *
 * Return: index into the servers, or SKH_SELECTION_NONE if no group can take the request now.
 */
int32_t skh_group_selection_server(const skh_group_selection_input_t *view);

/**
 * skh_group_selection_probe() - select a server of an unhealthy group while another is ready
 *
 * For a request that stays in time if the probe fails.
 *
 * Return: index into the servers, or SKH_SELECTION_NONE if no such probe is due.
 */
int32_t skh_group_selection_probe(const skh_group_selection_input_t *view);

/**
 * skh_group_selection_pass_ms() - expected duration of a step of a group with one more request
 * @group: index into the groups
 *
 * Return: milliseconds; HUGE_VAL if no server of the group is eligible.
 */
double skh_group_selection_pass_ms(const skh_group_selection_input_t *view, uint32_t group);

#ifdef __cplusplus
}
#endif
#endif
