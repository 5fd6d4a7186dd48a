#include "stages.h"

#include "layout.h"

#include <glib.h>
#include <stdlib.h>

/* Ranks that hold each expert throughout each stage. */
typedef struct schedule {
	uint32_t n_experts;
	uint32_t n_stages; /* rows of @hosts: one more than the plan can use */
	uint64_t *hosts;   /* ranks as bits, [n_stages][n_experts] */
} schedule_t;

static uint64_t *hosts_at(const schedule_t *schedule, uint32_t stage, uint32_t expert)
{
	return &schedule->hosts[(size_t)stage * schedule->n_experts + expert];
}

/*
 * Checks whether @copy can overwrite expert @replaced in @stage. The rank must hold @replaced
 * in @stage, and another rank must hold it in @stage and all later ones. The rank must not
 * hold the new expert in any of these stages.
 */
static bool can_run_in_stage(const schedule_t *schedule, const skh_expert_copy_t *copy,
			     uint32_t replaced, uint32_t stage)
{
	uint64_t bit = 1ULL << copy->rank;

	if ((*hosts_at(schedule, stage, replaced) & bit) == 0)
		return false;
	for (uint32_t later = stage; later < schedule->n_stages; later++) {
		if ((*hosts_at(schedule, later, replaced) & ~bit) == 0 ||
		    (*hosts_at(schedule, later, copy->expert) & bit) != 0)
			return false;
	}
	return true;
}

static void apply_copy(schedule_t *schedule, const skh_expert_copy_t *copy, uint32_t replaced)
{
	uint64_t bit = 1ULL << copy->rank;

	for (uint32_t later = copy->stage; later < schedule->n_stages; later++) {
		*hosts_at(schedule, later, replaced) &= ~bit;
		/* The copied expert is available from the stage after its copy. */
		if (later > copy->stage)
			*hosts_at(schedule, later, copy->expert) |= bit;
	}
}

static int compare_copies(const void *a, const void *b)
{
	const skh_expert_copy_t *left = a;
	const skh_expert_copy_t *right = b;

	if (left->stage != right->stage)
		return left->stage < right->stage ? -1 : 1;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return (left->slot > right->slot) - (left->slot < right->slot);
}

void skh_stages_assign(const skh_rebalance_input_t *input, skh_rebalance_plan_t *plan)
{
	g_autofree uint32_t *placement = g_memdup2(
		input->placement, input->n_ranks * input->slots_per_rank * sizeof(uint32_t));
	/*
	 * First stage in which each slot can be overwritten again. The hosts in the schedule
	 * do not tell the slots of a rank apart, and a plan can move an expert from one slot to
	 * another of the same rank.
	 */
	uint32_t *first_free_stage = g_new0(uint32_t, input->n_ranks * input->slots_per_rank);
	schedule_t schedule = { input->n_experts, plan->n_copies + 1, NULL };

	schedule.hosts = g_new(uint64_t, (size_t)schedule.n_stages * input->n_experts);
	for (uint32_t stage = 0; stage < schedule.n_stages; stage++)
		skh_layout_find_hosts(input, placement, hosts_at(&schedule, stage, 0));
	for (uint32_t i = 0; i < plan->n_copies; i++) {
		skh_expert_copy_t *copy = &plan->copies[i];
		uint32_t slot_index = copy->rank * input->slots_per_rank + copy->slot;
		uint32_t *slot_expert = &placement[slot_index];

		/* Ends with a valid stage: one copy per stage, in plan order, is always possible. */
		copy->stage = first_free_stage[slot_index];
		while (copy->stage + 1 < schedule.n_stages &&
		       !can_run_in_stage(&schedule, copy, *slot_expert, copy->stage))
			copy->stage++;
		apply_copy(&schedule, copy, *slot_expert);
		*slot_expert = copy->expert;
		first_free_stage[slot_index] = copy->stage + 1;
		plan->n_stages = MAX(plan->n_stages, copy->stage + 1);
	}
	g_free(schedule.hosts);
	g_free(first_free_stage);
	qsort(plan->copies, plan->n_copies, sizeof(skh_expert_copy_t), compare_copies);
}
