#ifndef SKH_LAYOUT_H
#define SKH_LAYOUT_H

/**
 * DOC: Layouts
 *
 * A placement of experts while the balancer (rebalance.h) changes it: who holds
 * what, how full each rank is, and what a change would do to that. Pure state.
 */

#include "rebalance.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_rank_slot - one slot of a rank */
typedef struct skh_rank_slot {
	uint32_t rank;
	uint32_t slot;
} skh_rank_slot_t;

/**
 * struct skh_layout - a placement under change, and what follows from it
 *
 * After a change of @placement and @hosts skh_layout_recompute() brings the rest
 * up to date.
 */
typedef struct skh_layout {
	const skh_rebalance_input_t *view;
	uint32_t *placement;
	uint64_t *hosts; /* of each expert: the live ranks that hold it */
	/* What skh_layout_recompute() derives from the hosts: */
	uint32_t *replica_count;	  /* of each expert: its live ranks */
	double *replica_work;		  /* of each expert: the work of one replica */
	skh_rank_slot_t *redundant_slots; /* slots whose expert stands elsewhere, too */
	uint32_t n_redundant_slots;
	double inverse_speed[SKH_REBALANCE_MAX_RANKS];
	double load[SKH_REBALANCE_MAX_RANKS];
	double norm_term[SKH_REBALANCE_MAX_RANKS]; /* (load / mean)^POWER */
	double norm;				   /* sum of the terms of live ranks */
	double inverse_mean_load;		   /* 1 / mean load */
	uint32_t n_live_ranks;
	uint32_t copies_left[SKH_REBALANCE_MAX_RANKS]; /* loads that each rank may still get */
} skh_layout_t;

/** struct skh_layout_trial - loads that a change would bring, of the ranks that it touches */
typedef struct skh_layout_trial {
	double load[SKH_REBALANCE_MAX_RANKS];
	uint64_t changed_ranks;
} skh_layout_trial_t;

static inline bool skh_layout_is_rank_live(const skh_rebalance_input_t *view, uint32_t rank)
{
	return view->speed[rank] > 0.0;
}

static inline uint32_t skh_layout_expert_at(const skh_layout_t *state, uint32_t rank, uint32_t slot)
{
	return state->placement[rank * state->view->n_slots + slot];
}

/* The work that one replica of @expert takes. */
static inline double skh_layout_replica_work(const skh_layout_t *state, uint32_t expert)
{
	return state->replica_work[expert];
}

static inline uint32_t skh_layout_replica_count(const skh_layout_t *state, uint32_t expert)
{
	return state->replica_count[expert];
}

static inline bool skh_layout_has_expert(const skh_layout_t *state, uint32_t rank, uint32_t expert)
{
	return (state->hosts[expert] >> rank & 1) != 0;
}

/** skh_layout_new() - from @view, which must outlive it; free with skh_layout_free() */
skh_layout_t *skh_layout_new(const skh_rebalance_input_t *view);
skh_layout_t *skh_layout_copy(const skh_layout_t *from);
void skh_layout_free(skh_layout_t *state);

/** skh_layout_recompute() - bring counts, loads and the norm up to date */
void skh_layout_recompute(skh_layout_t *state);

/** skh_layout_find_hosts() - the live ranks of each expert, as bits, [n_experts] */
void skh_layout_find_hosts(const skh_rebalance_input_t *view, const uint32_t *placement,
			   uint64_t *hosts);

/** skh_layout_compute_skew() - greatest rank load over the mean */
double skh_layout_compute_skew(const skh_rebalance_input_t *view, const uint64_t *hosts,
			       const double *shares);

/** skh_layout_smooth_skew() - skew that also sees the ranks next to the fullest */
double skh_layout_smooth_skew(const skh_layout_t *state, double norm);

/** skh_layout_trial_add_load() - @rank gets @work more in @trial, a share of tokens */
void skh_layout_trial_add_load(const skh_layout_t *state, skh_layout_trial_t *trial, uint32_t rank,
			       double work);

/** skh_layout_trial_change_hosts() - @expert stands on @after in place of @before in @trial */
void skh_layout_trial_change_hosts(const skh_layout_t *state, skh_layout_trial_t *trial,
				   uint32_t expert, uint64_t before, uint64_t after);

/** skh_layout_trial_norm() - the norm that @trial would have */
double skh_layout_trial_norm(const skh_layout_t *state, const skh_layout_trial_t *trial);

/** skh_layout_keeps_spread() - false when @after brings spread replicas into one domain */
bool skh_layout_keeps_spread(const skh_layout_t *state, uint32_t expert, uint64_t after);

#ifdef __cplusplus
}
#endif
#endif
