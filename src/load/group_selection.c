#include "group_selection.h"

#include <glib.h>
#include <math.h>

/*
 * Slowdown of the experts' part of a pass beyond which a coordinator moves experts off the slow
 * rank, so that passes are not delayed by more for long.
 */
#define MAX_EXPERT_SLOWDOWN 2.0

/* What the servers of a group have in total. */
typedef struct group_load {
	uint32_t n_servers;
	uint32_t n_eligible;
	double running;	     /* requests of all gateways, maybe estimated */
	double usable_slots; /* slots of eligible servers */
	double usable_running;
	double pass_ms;
	bool is_tried;
} group_load_t;

/* Known only for this gateway's requests if the servers are divided into shares. */
static double scale_running(const skh_group_selection_input_t *view, uint32_t running)
{
	return view->servers.share.count > 0 ? (double)running * view->servers.share.count
					     : (double)running;
}

static double get_slowdown(const skh_candidate_t *server)
{
	return MAX(server->slowdown, 1.0);
}

/* With a share, all ranks run about the same; but no gateway sends much to a slow one. */
static double server_running(const skh_group_selection_input_t *view, const group_load_t *load,
			     uint32_t i)
{
	const skh_candidate_t *server = &view->servers.candidates[i];

	if (view->servers.share.count == 0 || (server->running == 0 && server->slowdown > 1.0))
		return (double)server->running;
	return load->running / load->n_servers;
}

/* Duration of a rank's part of a step with its present requests. */
static double present_part_ms(const skh_group_selection_input_t *view, uint32_t i, double running)
{
	if (running <= 0.0)
		return 0.0;
	return (view->step_ms + running * view->step_ms_per_request) *
	       get_slowdown(&view->servers.candidates[i]);
}

static double next_part_ms(const skh_group_selection_input_t *view, uint32_t i, double running)
{
	return (view->step_ms + (running + 1.0) * view->step_ms_per_request) *
	       get_slowdown(&view->servers.candidates[i]);
}

static void add_server(const skh_group_selection_input_t *view, uint32_t i, group_load_t *load)
{
	const skh_candidate_t *server = &view->servers.candidates[i];
	double running = scale_running(view, server->running);

	load->n_servers++;
	load->running += running;
	if (server->is_excluded)
		return;
	load->n_eligible++;
	load->usable_slots += server->slots;
	load->usable_running += running;
}

static void estimate_pass(const skh_group_selection_input_t *view, uint32_t group,
			  group_load_t *load)
{
	double longest_ms = 0.0;
	double next_ms = HUGE_VAL;
	double slowest = 1.0;

	for (uint32_t i = 0; i < view->servers.n_candidates; i++) {
		double running;

		if (view->group_of[i] != group)
			continue;
		running = server_running(view, load, i);
		if (view->groups[group].is_joint) {
			longest_ms = MAX(longest_ms, present_part_ms(view, i, running));
			slowest = MAX(slowest, get_slowdown(&view->servers.candidates[i]));
		}
		if (!view->servers.candidates[i].is_excluded)
			next_ms = MIN(next_ms, next_part_ms(view, i, running));
	}
	load->pass_ms = MAX(longest_ms, next_ms) *
			(1.0 + view->expert_time_ratio * (MIN(slowest, MAX_EXPERT_SLOWDOWN) - 1.0));
}

static group_load_t *measure_groups(const skh_group_selection_input_t *view)
{
	group_load_t *loads = g_new0(group_load_t, view->n_groups);

	for (uint32_t i = 0; i < view->servers.n_candidates; i++)
		add_server(view, i, &loads[view->group_of[i]]);
	for (uint32_t group = 0; group < view->n_groups; group++)
		estimate_pass(view, group, &loads[group]);
	return loads;
}

double skh_group_selection_pass_ms(const skh_group_selection_input_t *view, uint32_t group)
{
	group_load_t *loads = measure_groups(view);
	double pass_ms = loads[group].pass_ms;

	g_free(loads);
	return pass_ms;
}

/* Whether @a is to be tried before @b. */
static bool is_better(const skh_group_selection_input_t *view, const group_load_t *loads,
		      uint32_t a, uint32_t b)
{
	bool a_has_room = loads[a].usable_running < loads[a].usable_slots;
	bool b_has_room = loads[b].usable_running < loads[b].usable_slots;

	if (a_has_room != b_has_room)
		return a_has_room;
	if (view->groups[a].is_left != view->groups[b].is_left)
		return view->groups[b].is_left;
	if (loads[a].pass_ms != loads[b].pass_ms)
		return loads[a].pass_ms < loads[b].pass_ms;
	return loads[a].running / loads[a].n_servers < loads[b].running / loads[b].n_servers;
}

/*
 * Only the group's servers are passed on, so that positions count within the group: each gateway
 * then has a share of each group, and ties are broken evenly.
 */
static int32_t select_in_group(const skh_group_selection_input_t *view, uint32_t group)
{
	skh_selection_input_t servers = view->servers;
	skh_candidate_t *members = g_new(skh_candidate_t, servers.n_candidates);
	uint32_t *positions = g_new(uint32_t, servers.n_candidates);
	int32_t selected;

	servers.candidates = members;
	servers.n_candidates = 0;
	for (uint32_t i = 0; i < view->servers.n_candidates; i++) {
		if (view->group_of[i] != group)
			continue;
		positions[servers.n_candidates] = i;
		members[servers.n_candidates++] = view->servers.candidates[i];
	}
	selected = skh_select_server(&servers);
	if (selected != SKH_SELECTION_NONE)
		selected = (int32_t)positions[selected];
	g_free(positions);
	g_free(members);
	return selected;
}

typedef bool (*group_filter_fn)(const skh_group_candidate_t *group);

static bool is_ready(const skh_group_candidate_t *group)
{
	return group->is_ready && group->can_send;
}

static bool is_probe_due(const skh_group_candidate_t *group)
{
	return !group->is_ready && group->can_send;
}

static bool is_spare_probe_due(const skh_group_candidate_t *group)
{
	return !group->is_ready && group->is_spare_probe_due;
}

static int32_t find_best(const skh_group_selection_input_t *view, const group_load_t *loads,
			 group_filter_fn filter)
{
	int32_t best = -1;

	for (uint32_t n = 0; n < view->n_groups; n++) {
		/* The low bits of the random number select among servers. */
		uint32_t group = (uint32_t)(((view->servers.random >> 32) + n) % view->n_groups);

		if (loads[group].is_tried || loads[group].n_eligible == 0 ||
		    view->groups[group].is_at_limit || !filter(&view->groups[group]))
			continue;
		if (best < 0 || is_better(view, loads, group, (uint32_t)best))
			best = (int32_t)group;
	}
	return best;
}

static int32_t select_among(const skh_group_selection_input_t *view, group_load_t *loads,
			    group_filter_fn filter)
{
	int32_t group;

	while ((group = find_best(view, loads, filter)) >= 0) {
		int32_t server = select_in_group(view, (uint32_t)group);

		if (server != SKH_SELECTION_NONE)
			return server;
		loads[group].is_tried = true;
	}
	return SKH_SELECTION_NONE;
}

/* Whether a ready group has servers for the request, even if they are full now. */
static bool has_ready_group(const skh_group_selection_input_t *view, const group_load_t *loads)
{
	for (uint32_t group = 0; group < view->n_groups; group++) {
		if (view->groups[group].is_ready && loads[group].n_eligible > 0)
			return true;
	}
	return false;
}

static int32_t select_server(const skh_group_selection_input_t *view, group_load_t *loads)
{
	int32_t server;

	if (!has_ready_group(view, loads))
		return select_among(view, loads, is_probe_due);
	server = select_among(view, loads, is_ready);
	/* A request that no ready group can take now loses little as a probe. */
	return server != SKH_SELECTION_NONE ? server
					    : select_among(view, loads, is_spare_probe_due);
}

int32_t skh_group_selection_server(const skh_group_selection_input_t *view)
{
	group_load_t *loads = measure_groups(view);
	int32_t server = select_server(view, loads);

	g_free(loads);
	return server;
}

int32_t skh_group_selection_probe(const skh_group_selection_input_t *view)
{
	group_load_t *loads = measure_groups(view);
	int32_t server = has_ready_group(view, loads)
				 ? select_among(view, loads, is_spare_probe_due)
				 : SKH_SELECTION_NONE;

	g_free(loads);
	return server;
}
