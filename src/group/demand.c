#include "demand.h"

#include "clock.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/*
 * Threshold for a shift: squared Hellinger distance between a sample and the earlier counts,
 * less the distance expected by chance. A shift of half of the demand has a distance of 0.09
 * (252 experts of similar popularity) to 0.3 (72 experts, a few of them very popular); a
 * single prompt has 0.03 to 0.13.
 */
#define MIN_SHIFT_DISTANCE 0.045
/*
 * A shift must also exceed this multiple of the typical distance of samples without a shift,
 * which differs between groups.
 */
#define SHIFT_TO_TYPICAL_RATIO 4.0
/* Weight of the newest sample in the typical distance. */
#define TYPICAL_DISTANCE_GAIN 0.1
/*
 * The threshold is multiplied by 1 + FEW_SAMPLES_MARGIN / number of earlier samples, because a few
 * samples mostly reflect the prompts that they happen to contain.
 */
#define FEW_SAMPLES_MARGIN 2.0
/*
 * A sample is compared only if it and the earlier counts each have this many choices in every
 * set, because the distance of fewer is not meaningful.
 */
#define MIN_CHOICES 150.0
/* Anscombe transform: stabilizes the variance of the square roots of small counts. */
#define ANSCOMBE_OFFSET 0.375
/*
 * Number of choices per expert beyond which further choices of the same sample add little
 * information: they come from one or two prompts, and prompts differ from each other by as
 * much as samples of this size do.
 */
#define SATURATION_CHOICES_PER_EXPERT 24.0
/*
 * Limit of choices per expert in the counts of a set. At the limit these counts are halved, so
 * that older samples weigh less.
 */
#define MAX_CHOICES_PER_EXPERT 800.0
/* Choices per expert that are enough to plan a map at once. */
#define ENOUGH_CHOICES_PER_EXPERT 50.0
/* Choices per expert that are enough once ROUGH_DELAY_US have passed since the shift. */
#define ROUGH_CHOICES_PER_EXPERT 20.0
#define ROUGH_DELAY_US		 (40 * SKH_US_PER_MS)
/* Added to each count, because an expert without tokens may receive one at any time. */
#define PSEUDO_COUNT 0.5

struct skh_demand {
	skh_engine_spec_t engine_spec;
	double *weighted_counts; /* since the last shift, [sets][experts] */
	double *set_totals;	 /* sum of the weighted counts of each set, [sets] */
	double *shares;		 /* result of skh_demand_shares(), [sets][experts] */
	double typical_distance; /* smoothed distance of samples without a shift */
	uint32_t n_samples;	 /* since the last shift */
	int64_t epoch;
	int64_t from_pass;	   /* samples that begin earlier are ignored */
	int64_t counting_since_us; /* time of the last shift or first sample of the epoch */
};

static size_t get_n_counts(const skh_demand_t *demand)
{
	return (size_t)demand->engine_spec.expert_sets * demand->engine_spec.experts_per_set;
}

skh_demand_t *skh_demand_new(const skh_engine_spec_t *engine_spec)
{
	skh_demand_t *demand = g_new0(skh_demand_t, 1);

	demand->engine_spec = *engine_spec;
	demand->weighted_counts = g_new0(double, get_n_counts(demand));
	demand->shares = g_new0(double, get_n_counts(demand));
	demand->set_totals = g_new0(double, engine_spec->expert_sets);
	return demand;
}

void skh_demand_free(skh_demand_t *demand)
{
	g_free(demand->weighted_counts);
	g_free(demand->shares);
	g_free(demand->set_totals);
	g_free(demand);
}

static double sum_counts(const double *counts, uint32_t n)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < n; i++)
		sum += counts[i];
	return sum;
}

/*
 * Returns the squared Hellinger distance between one set of a sample and the earlier counts, less
 * the distance expected by chance.
 */
static double compute_set_distance(const skh_demand_t *demand, uint32_t set, const double *counts,
				   double n_choices)
{
	uint32_t n_experts = demand->engine_spec.experts_per_set;
	const double *earlier_counts = demand->weighted_counts + (size_t)set * n_experts;
	double earlier_choices = demand->set_totals[set];
	double scale = MIN(n_choices, earlier_choices);
	double sum = 0.0;

	for (uint32_t i = 0; i < n_experts; i++) {
		double difference =
			sqrt(counts[i] * scale / n_choices + ANSCOMBE_OFFSET) -
			sqrt(earlier_counts[i] * scale / earlier_choices + ANSCOMBE_OFFSET);

		sum += difference * difference;
	}
	return 0.5 * sum / scale -
	       (double)n_experts / 8.0 * (1.0 / n_choices + 1.0 / earlier_choices);
}

/* Computes the mean distance of the sets; returns false when a set has too few choices. */
static bool compute_distance(const skh_demand_t *demand, const skh_demand_sample_t *sample,
			     double *distance)
{
	uint32_t n_experts = demand->engine_spec.experts_per_set;

	*distance = 0.0;
	for (uint32_t set = 0; set < demand->engine_spec.expert_sets; set++) {
		const double *counts = sample->counts + (size_t)set * n_experts;
		double n_choices = sum_counts(counts, n_experts);

		if (n_choices < MIN_CHOICES || demand->set_totals[set] < MIN_CHOICES)
			return false;
		*distance += compute_set_distance(demand, set, counts, n_choices) /
			     (double)demand->engine_spec.expert_sets;
	}
	return true;
}

static bool detect_shift(skh_demand_t *demand, const skh_demand_sample_t *sample)
{
	double margin = 1.0 + FEW_SAMPLES_MARGIN / (double)demand->n_samples;
	double distance;

	if (!compute_distance(demand, sample, &distance))
		return false;
	if (distance >
	    margin * MAX(MIN_SHIFT_DISTANCE, SHIFT_TO_TYPICAL_RATIO * demand->typical_distance))
		return true;
	demand->typical_distance +=
		TYPICAL_DISTANCE_GAIN * (fabs(distance) - demand->typical_distance);
	return false;
}

static void reset_counts(skh_demand_t *demand, int64_t epoch, int64_t from_pass, int64_t now_us)
{
	memset(demand->weighted_counts, 0, get_n_counts(demand) * sizeof(double));
	memset(demand->set_totals, 0, demand->engine_spec.expert_sets * sizeof(double));
	demand->n_samples = 0;
	demand->epoch = epoch;
	demand->from_pass = from_pass;
	demand->counting_since_us = now_us;
}

static void decay_counts(skh_demand_t *demand, uint32_t set)
{
	uint32_t n_experts = demand->engine_spec.experts_per_set;

	if (demand->set_totals[set] < MAX_CHOICES_PER_EXPERT * (double)n_experts)
		return;
	demand->set_totals[set] *= 0.5;
	for (uint32_t i = 0; i < n_experts; i++)
		demand->weighted_counts[(size_t)set * n_experts + i] *= 0.5;
}

static void add_counts(skh_demand_t *demand, const skh_demand_sample_t *sample)
{
	uint32_t n_experts = demand->engine_spec.experts_per_set;

	for (uint32_t set = 0; set < demand->engine_spec.expert_sets; set++) {
		const double *counts = sample->counts + (size_t)set * n_experts;
		double n_choices = sum_counts(counts, n_experts);
		double weight =
			1.0 /
			(1.0 + n_choices / (SATURATION_CHOICES_PER_EXPERT * (double)n_experts));

		for (uint32_t i = 0; i < n_experts; i++)
			demand->weighted_counts[(size_t)set * n_experts + i] += counts[i] * weight;
		demand->set_totals[set] += n_choices * weight;
		decay_counts(demand, set);
	}
}

skh_demand_update_t skh_demand_add_sample(skh_demand_t *demand, const skh_demand_sample_t *sample,
					  int64_t now_us)
{
	bool begins_later = sample->from_pass > demand->from_pass;
	bool has_shifted = false;

	if (sample->epoch < demand->epoch ||
	    sum_counts(sample->counts, demand->engine_spec.experts_per_set) <= 0.0)
		return SKH_DEMAND_IGNORED;
	if (sample->epoch > demand->epoch)
		reset_counts(demand, sample->epoch, sample->from_pass, now_us);
	else if (sample->from_pass < demand->from_pass)
		return SKH_DEMAND_IGNORED;
	else if (demand->n_samples > 0)
		has_shifted = detect_shift(demand, sample);
	/*
	 * A sample that differs but does not begin later includes passes from before the last
	 * shift.
	 */
	if (has_shifted && !begins_later)
		return SKH_DEMAND_IGNORED;
	/*
	 * When the sample covers several passes, the first may be from before the shift, so the
	 * counts are not used. Of two passes, the second is certainly from after the shift, so
	 * samples that begin with it are accepted.
	 */
	if (has_shifted && sample->to_pass > sample->from_pass + 1) {
		reset_counts(demand, sample->epoch, sample->from_pass + 1, now_us);
		return SKH_DEMAND_SHIFTED_MID_SAMPLE;
	}
	if (has_shifted)
		reset_counts(demand, sample->epoch, sample->from_pass, now_us);
	add_counts(demand, sample);
	demand->n_samples++;
	return has_shifted ? SKH_DEMAND_SHIFTED : SKH_DEMAND_UPDATED;
}

bool skh_demand_has_enough_counts(const skh_demand_t *demand, int64_t now_us)
{
	double min_total = demand->set_totals[0];
	double n_experts = (double)demand->engine_spec.experts_per_set;

	for (uint32_t set = 1; set < demand->engine_spec.expert_sets; set++)
		min_total = MIN(min_total, demand->set_totals[set]);
	return min_total >= ENOUGH_CHOICES_PER_EXPERT * n_experts ||
	       (min_total >= ROUGH_CHOICES_PER_EXPERT * n_experts &&
		now_us - demand->counting_since_us > ROUGH_DELAY_US);
}

static double compute_share(const skh_demand_t *demand, uint32_t set, uint32_t expert)
{
	uint32_t n_experts = demand->engine_spec.experts_per_set;

	return (demand->weighted_counts[(size_t)set * n_experts + expert] + PSEUDO_COUNT) /
	       (demand->set_totals[set] + PSEUDO_COUNT * (double)n_experts);
}

const double *skh_demand_shares(skh_demand_t *demand)
{
	uint32_t n_experts = demand->engine_spec.experts_per_set;

	for (uint32_t set = 0; set < demand->engine_spec.expert_sets; set++) {
		for (uint32_t i = 0; i < n_experts; i++)
			demand->shares[(size_t)set * n_experts + i] = compute_share(demand, set, i);
	}
	return demand->shares;
}
