#include "stages.h"

#include "layout.h"

#include <glib.h>
#include <stdlib.h>

/* For each stage: the ranks that hold an expert during all of it. */
typedef struct schedule {
	uint32_t n_experts;
	uint32_t n_stages; /* rows of @hosts, one more than the plan may use */
	uint64_t *hosts;   /* [n_stages][n_experts] */
} schedule_t;

static uint64_t *hosts_at(const schedule_t *schedule, uint32_t stage, uint32_t expert)
{
	return &schedule->hosts[(size_t)stage * schedule->n_experts + expert];
}

/* From @stage on, @old is gone from the rank and always stands somewhere else. */
static bool fits(const schedule_t *schedule, const skh_expert_copy_t *move, uint32_t old,
		 uint32_t stage)
{
	uint64_t bit = 1ULL << move->rank;

	if ((*hosts_at(schedule, stage, old) & bit) == 0)
		return false;
	for (uint32_t t = stage; t < schedule->n_stages; t++) {
		if ((*hosts_at(schedule, t, old) & ~bit) == 0 ||
		    (*hosts_at(schedule, t, move->expert) & bit) != 0)
			return false;
	}
	return true;
}

static void enter(schedule_t *schedule, const skh_expert_copy_t *move, uint32_t old)
{
	uint64_t bit = 1ULL << move->rank;

	for (uint32_t t = move->stage; t < schedule->n_stages; t++) {
		*hosts_at(schedule, t, old) &= ~bit;
		/* It serves from the stage after the one that loads it. */
		if (t > move->stage)
			*hosts_at(schedule, t, move->expert) |= bit;
	}
}

static int by_stage(const void *a, const void *b)
{
	const skh_expert_copy_t *left = a;
	const skh_expert_copy_t *right = b;

	if (left->stage != right->stage)
		return left->stage < right->stage ? -1 : 1;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return (left->slot > right->slot) - (left->slot < right->slot);
}

/*
 * Puts each load into the first stage during which its slot's old expert stands
 * elsewhere. The order of the decisions, one load a stage, always works.
 */
void skh_stages_assign(const skh_rebalance_input_t *view, skh_rebalance_plan_t *plan)
{
	g_autofree uint32_t *placement =
		g_memdup2(view->placement, view->n_ranks * view->n_slots * sizeof(uint32_t));
	/* An expert may stand in two slots of a rank in turn: hosts alone don't tell which. */
	uint32_t *earliest = g_new0(uint32_t, view->n_ranks * view->n_slots);
	schedule_t schedule = { view->n_experts, plan->n_copies + 1, NULL };

	schedule.hosts = g_new(uint64_t, (size_t)schedule.n_stages * view->n_experts);
	for (uint32_t t = 0; t < schedule.n_stages; t++)
		skh_layout_find_hosts(view, placement, hosts_at(&schedule, t, 0));
	for (uint32_t i = 0; i < plan->n_copies; i++) {
		skh_expert_copy_t *move = &plan->copies[i];
		uint32_t at = move->rank * view->n_slots + move->slot;
		uint32_t *cell = &placement[at];

		move->stage = earliest[at];
		while (move->stage + 1 < schedule.n_stages &&
		       !fits(&schedule, move, *cell, move->stage))
			move->stage++;
		enter(&schedule, move, *cell);
		*cell = move->expert;
		earliest[at] = move->stage + 1;
		plan->n_stages = MAX(plan->n_stages, move->stage + 1);
	}
	g_free(schedule.hosts);
	g_free(earliest);
	qsort(plan->copies, plan->n_copies, sizeof(skh_expert_copy_t), by_stage);
}
