#include "demand.h"

#include "clock.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/*
 * A sample departs from what was counted before when their Hellinger distance, squared and
 * less what chance brings, is greater than this: a shift of half of what is liked brings
 * 0.09 (252 experts, all liked alike) to 0.3 (72, a few liked most), a prompt 0.03 to 0.13.
 */
#define SHIFT_LEAST 0.045
/* And than so many times what samples without a shift bring, which differs by group. */
#define SHIFT_TIMES  4.0
#define TYPICAL_GAIN 0.1
/* Of so few samples before, each is an accident of its prompts. */
#define FEW_SAMPLES 2.0
/* Fewer choices in a set tell nothing. */
#define LEAST_CHOICES 150.0
/* Added to each count before its root is taken: levels the variance of small ones (Anscombe). */
#define ROOT_SHIFT 0.375
/*
 * Choices an expert from which more of the same sample say little: they are of one or two
 * prompts, and prompts differ by as much as so few choices do.
 */
#define SATURATION_PER_EXPERT 24.0
/* Choices an expert that are remembered; then older ones fade by half. */
#define MEMORY_PER_EXPERT 800.0
/* Choices an expert that a map is planned by at once ... */
#define KNOWN_PER_EXPERT 50.0
/* ... or, when no more have come for a while after the shift, by so few. */
#define ROUGH_PER_EXPERT 20.0
#define ROUGH_AFTER_US	 (40 * SKH_US_PER_MS)
/* An expert that was never seen may be asked for any moment. */
#define UNSEEN_COUNT 0.5

struct skh_demand {
	skh_engine_spec_t shape;
	double *sums;	 /* weighed counts since the last shift, [sets][experts] */
	double *weights; /* their sum, by set */
	double *shares;
	double typical; /* distance of samples without a shift */
	uint32_t n_samples;
	int64_t epoch;
	int64_t from_pass;
	int64_t since_us; /* first sample since the last shift */
};

static size_t size_of(const skh_demand_t *demand)
{
	return (size_t)demand->shape.expert_sets * demand->shape.experts_per_set;
}

skh_demand_t *skh_demand_new(const skh_engine_spec_t *shape)
{
	skh_demand_t *demand = g_new0(skh_demand_t, 1);

	demand->shape = *shape;
	demand->sums = g_new0(double, size_of(demand));
	demand->shares = g_new0(double, size_of(demand));
	demand->weights = g_new0(double, shape->expert_sets);
	return demand;
}

void skh_demand_free(skh_demand_t *demand)
{
	g_free(demand->sums);
	g_free(demand->shares);
	g_free(demand->weights);
	g_free(demand);
}

static double sum_of(const double *counts, uint32_t n)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < n; i++)
		sum += counts[i];
	return sum;
}

/* Squared Hellinger distance of one set of a sample from what was counted before, less chance. */
static double distance_of(const skh_demand_t *demand, uint32_t set, const double *counts, double n)
{
	uint32_t experts = demand->shape.experts_per_set;
	const double *sums = demand->sums + (size_t)set * experts;
	double before = demand->weights[set];
	double scale = MIN(n, before);
	double sum = 0.0;

	for (uint32_t i = 0; i < experts; i++) {
		double root = sqrt(counts[i] * scale / n + ROOT_SHIFT) -
			      sqrt(sums[i] * scale / before + ROOT_SHIFT);

		sum += root * root;
	}
	return 0.5 * sum / scale - (double)experts / 8.0 * (1.0 / n + 1.0 / before);
}

/* Mean of the sets; false when some set has too few choices to tell. */
static bool find_distance(const skh_demand_t *demand, const skh_demand_sample_t *sample,
			  double *distance)
{
	uint32_t experts = demand->shape.experts_per_set;

	*distance = 0.0;
	for (uint32_t set = 0; set < demand->shape.expert_sets; set++) {
		const double *counts = sample->counts + (size_t)set * experts;
		double n = sum_of(counts, experts);

		if (n < LEAST_CHOICES || demand->weights[set] < LEAST_CHOICES)
			return false;
		*distance +=
			distance_of(demand, set, counts, n) / (double)demand->shape.expert_sets;
	}
	return true;
}

static bool departs(skh_demand_t *demand, const skh_demand_sample_t *sample)
{
	double few = 1.0 + FEW_SAMPLES / (double)demand->n_samples;
	double distance;

	if (!find_distance(demand, sample, &distance))
		return false;
	if (distance > few * MAX(SHIFT_LEAST, SHIFT_TIMES * demand->typical))
		return true;
	demand->typical += TYPICAL_GAIN * (fabs(distance) - demand->typical);
	return false;
}

static void restart(skh_demand_t *demand, int64_t epoch, int64_t from_pass, int64_t now_us)
{
	memset(demand->sums, 0, size_of(demand) * sizeof(double));
	memset(demand->weights, 0, demand->shape.expert_sets * sizeof(double));
	demand->n_samples = 0;
	demand->epoch = epoch;
	demand->from_pass = from_pass;
	demand->since_us = now_us;
}

static void fade(skh_demand_t *demand, uint32_t set)
{
	uint32_t experts = demand->shape.experts_per_set;

	if (demand->weights[set] < MEMORY_PER_EXPERT * (double)experts)
		return;
	demand->weights[set] *= 0.5;
	for (uint32_t i = 0; i < experts; i++)
		demand->sums[(size_t)set * experts + i] *= 0.5;
}

static void take_in(skh_demand_t *demand, const skh_demand_sample_t *sample)
{
	uint32_t experts = demand->shape.experts_per_set;

	for (uint32_t set = 0; set < demand->shape.expert_sets; set++) {
		const double *counts = sample->counts + (size_t)set * experts;
		double n = sum_of(counts, experts);
		double weight = 1.0 / (1.0 + n / (SATURATION_PER_EXPERT * (double)experts));

		for (uint32_t i = 0; i < experts; i++)
			demand->sums[(size_t)set * experts + i] += counts[i] * weight;
		demand->weights[set] += n * weight;
		fade(demand, set);
	}
}

skh_demand_update_t skh_demand_add_sample(skh_demand_t *demand, const skh_demand_sample_t *sample,
					  int64_t now_us)
{
	bool is_later = sample->from_pass > demand->from_pass;
	bool shifts = false;

	if (sample->epoch < demand->epoch ||
	    sum_of(sample->counts, demand->shape.experts_per_set) <= 0.0)
		return SKH_DEMAND_IGNORED;
	if (sample->epoch > demand->epoch)
		restart(demand, sample->epoch, sample->from_pass, now_us);
	else if (sample->from_pass < demand->from_pass)
		return SKH_DEMAND_IGNORED;
	else if (demand->n_samples > 0)
		shifts = departs(demand, sample);
	/* It begins as late and differs: it counts some pass of before the shift. */
	if (shifts && !is_later)
		return SKH_DEMAND_IGNORED;
	/* Of several passes the first may be of before, and the next certainly is not. */
	if (shifts && sample->to_pass > sample->from_pass + 1) {
		restart(demand, sample->epoch, sample->from_pass + 1, now_us);
		return SKH_DEMAND_SHIFTED_MID_SAMPLE;
	}
	if (shifts)
		restart(demand, sample->epoch, sample->from_pass, now_us);
	take_in(demand, sample);
	demand->n_samples++;
	return shifts ? SKH_DEMAND_SHIFTED : SKH_DEMAND_UPDATED;
}

bool skh_demand_has_enough_counts(const skh_demand_t *demand, int64_t now_us)
{
	double weight = demand->weights[0];
	double experts = (double)demand->shape.experts_per_set;

	for (uint32_t set = 1; set < demand->shape.expert_sets; set++)
		weight = MIN(weight, demand->weights[set]);
	return weight >= KNOWN_PER_EXPERT * experts ||
	       (weight >= ROUGH_PER_EXPERT * experts && now_us - demand->since_us > ROUGH_AFTER_US);
}

static double share_of(const skh_demand_t *demand, uint32_t set, uint32_t expert)
{
	uint32_t experts = demand->shape.experts_per_set;

	return (demand->sums[(size_t)set * experts + expert] + UNSEEN_COUNT) /
	       (demand->weights[set] + UNSEEN_COUNT * (double)experts);
}

const double *skh_demand_shares(skh_demand_t *demand)
{
	uint32_t experts = demand->shape.experts_per_set;

	for (uint32_t set = 0; set < demand->shape.expert_sets; set++) {
		for (uint32_t i = 0; i < experts; i++)
			demand->shares[(size_t)set * experts + i] = share_of(demand, set, i);
	}
	return demand->shares;
}
