#ifndef SKH_LAYOUT_H
#define SKH_LAYOUT_H

/**
 * DOC: Expert layout
 *
 * Working copy of an expert placement that the rebalancer (rebalance.h) modifies:
 * the expert in each slot, the ranks that hold each expert, the load of each rank,
 * and trials that compute the effect of a change before it is made. Owns its arrays;
 * does no I/O and takes no locks, so the owner serialises access. A load is work
 * divided by speed, in the unit of the forecast shares.
 */

#include "rebalance.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_rank_slot - position of one expert slot */
typedef struct skh_rank_slot {
	uint32_t rank;
	uint32_t slot;
} skh_rank_slot_t;

/**
 * struct skh_layout - placement being modified, with values derived from it
 *
 * After a change to @placement and @hosts, call skh_layout_recompute() to update
 * the derived fields.
 */
typedef struct skh_layout {
	const skh_rebalance_input_t *input; /* borrowed */
	uint32_t *placement;		    /* expert in each slot, [n_ranks][slots_per_rank] */
	uint64_t *hosts; /* live ranks that hold each expert, as bits, [n_experts] */
	/* Set by skh_layout_recompute(), or by skh_layout_new() from @input where noted: */
	uint32_t *replica_count;	  /* live ranks that hold each expert */
	double *replica_work;		  /* work of one replica of each expert */
	skh_rank_slot_t *redundant_slots; /* slots whose expert has another live replica */
	uint32_t n_redundant_slots;
	double *inverse_speed;	  /* of each rank, 0 for a lost one; from @input */
	double *load;		  /* of each rank */
	double *norm_term;	  /* of each rank: (load / mean load)^16 */
	double norm;		  /* sum of norm_term over the live ranks */
	double inverse_mean_load; /* total speed / total work; from @input */
	uint32_t n_live_ranks;	  /* from @input */
	/* Copies that may still be planned to each rank; UINT32_MAX without a limit. */
	uint32_t *copies_left;
} skh_layout_t;

/** struct skh_layout_trial - rank loads after a change that has not been made */
typedef struct skh_layout_trial {
	double load[8 * sizeof(uint64_t)]; /* valid only for @changed_ranks */
	uint64_t changed_ranks;		   /* as bits */
} skh_layout_trial_t;

static inline bool skh_layout_is_rank_live(const skh_rebalance_input_t *input, uint32_t rank)
{
	return input->speed[rank] > 0.0;
}

static inline uint32_t skh_layout_expert_at(const skh_layout_t *layout, uint32_t rank,
					    uint32_t slot)
{
	return layout->placement[rank * layout->input->slots_per_rank + slot];
}

/* Returns the work of one replica of @expert; replicas share the tokens equally. */
static inline double skh_layout_replica_work(const skh_layout_t *layout, uint32_t expert)
{
	return layout->replica_work[expert];
}

static inline uint32_t skh_layout_replica_count(const skh_layout_t *layout, uint32_t expert)
{
	return layout->replica_count[expert];
}

static inline bool skh_layout_has_expert(const skh_layout_t *layout, uint32_t rank, uint32_t expert)
{
	return (layout->hosts[expert] >> rank & 1) != 0;
}

/**
 * skh_layout_new() - create a layout from the placement in @input
 * @input: borrowed; must outlive the layout
 *
 * Return: the layout, to be freed with skh_layout_free().
 */
skh_layout_t *skh_layout_new(const skh_rebalance_input_t *input);

/** skh_layout_copy() - deep copy, to be freed with skh_layout_free(); shares the borrowed input */
skh_layout_t *skh_layout_copy(const skh_layout_t *source);

void skh_layout_free(skh_layout_t *layout);

/** skh_layout_recompute() - update replica counts, loads and the norm from the hosts */
void skh_layout_recompute(skh_layout_t *layout);

/**
 * skh_layout_find_hosts() - compute the live ranks that hold each expert
 * @input: dimensions and rank speeds; its placement is not read
 * @placement: expert in each slot, [n_ranks][slots_per_rank]
 * @hosts: receives the ranks as bits, [n_experts]
 */
void skh_layout_find_hosts(const skh_rebalance_input_t *input, const uint32_t *placement,
			   uint64_t *hosts);

/**
 * skh_layout_compute_skew() - compute the maximum rank load divided by the mean load
 * @input: dimensions and rank speeds
 * @hosts: live ranks that hold each expert, as bits, [n_experts]
 * @shares: share of tokens of each expert, [n_experts], any unit
 *
 * Return: the skew; 1 is perfectly balanced.
 */
double skh_layout_compute_skew(const skh_rebalance_input_t *input, const uint64_t *hosts,
			       const double *shares);

/**
 * skh_layout_smooth_skew() - convert a norm into a skew that accounts for all heavily loaded ranks
 *
 * The maximum load depends on the most loaded rank only. The norm, and with it this
 * skew, also falls when a rank close to the maximum is relieved.
 *
 * Return: the skew that corresponds to @norm; 1 is perfectly balanced.
 */
double skh_layout_smooth_skew(const skh_layout_t *layout, double norm);

/**
 * skh_layout_trial_add_load() - add work to a rank in a trial
 * @layout: layout that the trial starts from
 * @trial: trial to change; a new one has a changed_ranks of 0
 * @rank: live rank
 * @work: token share to add; negative to remove
 */
void skh_layout_trial_add_load(const skh_layout_t *layout, skh_layout_trial_t *trial, uint32_t rank,
			       double work);

/**
 * skh_layout_trial_change_hosts() - replace the hosts of an expert in a trial
 * @layout: layout that the trial starts from
 * @trial: trial to change; a new one has a changed_ranks of 0
 * @expert: expert whose load moves
 * @before: ranks that hold it before the change, as bits
 * @after: ranks that hold it after the change, as bits
 */
void skh_layout_trial_change_hosts(const skh_layout_t *layout, skh_layout_trial_t *trial,
				   uint32_t expert, uint64_t before, uint64_t after);

/** skh_layout_trial_norm() - compute the norm of the layout after the changes in @trial */
double skh_layout_trial_norm(const skh_layout_t *layout, const skh_layout_trial_t *trial);

/**
 * skh_layout_keeps_spread() - check that a change keeps replicas in several failure domains
 * @layout: layout before the change
 * @expert: expert whose hosts change
 * @after: ranks that hold @expert after the change, as bits
 *
 * Return: false when the replicas are in several failure domains now and all of them
 * would be in the same one after the change. A single replica is always allowed.
 */
bool skh_layout_keeps_spread(const skh_layout_t *layout, uint32_t expert, uint64_t after);

#ifdef __cplusplus
}
#endif
#endif
