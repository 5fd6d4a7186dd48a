#include "count_reporter.h"

#include "clock.h"

#include <glib.h>
#include <string.h>

/* Capacity of the send budget: two reports of a large group and some state messages. */
#define BUDGET_CAPACITY_BYTES 2400.0
/*
 * Interval of reports at steady demand. They continue because prompts change and the coordinator
 * may be replaced.
 */
#define STEADY_INTERVAL_US (2 * SKH_US_PER_S)
/* After a shift, each further report within this time still improves the estimate. */
#define SHIFT_WINDOW_US (700 * SKH_US_PER_MS)
/* Minimum interval of reports within the shift window: about one pass. */
#define MIN_SHIFT_INTERVAL_US (60 * SKH_US_PER_MS)
/*
 * After a shift, a rank with fewer choices per expert delays its report until it has processed
 * a first prompt.
 */
#define MIN_CHOICES_PER_EXPERT 12.0
/*
 * Limit of this delay. A random offset for each rank is added to it, because the
 * coordinator's link is too slow for reports of all ranks at once.
 */
#define MAX_CHOICES_WAIT_US (80 * SKH_US_PER_MS)
#define MAX_JITTER_US	    (80 * SKH_US_PER_MS)

struct skh_count_reporter {
	skh_engine_spec_t engine_spec;
	skh_demand_t *demand; /* demand of this rank alone, to detect shifts */
	double *counts;	      /* counts since the last report or shift, [sets][experts] */
	skh_demand_sample_t sample;
	double bytes_per_s;
	double budget_bytes;
	double last_report_bytes;  /* size of the last report with counts */
	int64_t budget_updated_us; /* time at which @budget_bytes was computed */
	int64_t jitter_us;	   /* random offset of this rank, less than MAX_JITTER_US */
	int64_t last_report_us;
	int64_t shift_us; /* time of the last shift or change of epoch */
	int64_t due_us; /* next report, from STEADY_INTERVAL_US or skh_count_reporter_expedite() */
};

static size_t get_n_counts(const skh_count_reporter_t *reporter)
{
	return (size_t)reporter->engine_spec.expert_sets * reporter->engine_spec.experts_per_set;
}

skh_count_reporter_t *skh_count_reporter_new(const skh_engine_spec_t *engine_spec,
					     int64_t bytes_per_s, uint64_t random)
{
	skh_count_reporter_t *reporter = g_new0(skh_count_reporter_t, 1);

	reporter->engine_spec = *engine_spec;
	reporter->demand = skh_demand_new(engine_spec);
	reporter->counts = g_new0(double, get_n_counts(reporter));
	reporter->sample.counts = reporter->counts;
	reporter->bytes_per_s = (double)bytes_per_s;
	reporter->budget_bytes = BUDGET_CAPACITY_BYTES;
	reporter->jitter_us = (int64_t)(random % (uint64_t)MAX_JITTER_US);
	/* No shift yet; the first sample of a non-zero epoch counts as one. */
	reporter->shift_us = -SHIFT_WINDOW_US;
	return reporter;
}

void skh_count_reporter_free(skh_count_reporter_t *reporter)
{
	skh_demand_free(reporter->demand);
	g_free(reporter->counts);
	g_free(reporter);
}

static void reset_counts(skh_count_reporter_t *reporter)
{
	memset(reporter->counts, 0, get_n_counts(reporter) * sizeof(double));
	reporter->sample.from_pass = 0;
	reporter->sample.to_pass = 0;
}

skh_demand_update_t skh_count_reporter_add_sample(skh_count_reporter_t *reporter,
						  const skh_demand_sample_t *sample, int64_t now_us)
{
	skh_demand_update_t update = skh_demand_add_sample(reporter->demand, sample, now_us);

	if (update == SKH_DEMAND_SHIFTED || update == SKH_DEMAND_SHIFTED_MID_SAMPLE ||
	    sample->epoch != reporter->sample.epoch) {
		reset_counts(reporter);
		reporter->shift_us = now_us;
	}
	if (update == SKH_DEMAND_SHIFTED_MID_SAMPLE)
		return update;
	if (reporter->sample.to_pass == 0)
		reporter->sample.from_pass = sample->from_pass;
	reporter->sample.to_pass = sample->to_pass;
	reporter->sample.epoch = sample->epoch;
	for (size_t i = 0; i < get_n_counts(reporter); i++)
		reporter->counts[i] += sample->counts[i];
	return update;
}

void skh_count_reporter_expedite(skh_count_reporter_t *reporter, int64_t now_us)
{
	reporter->due_us = MIN(reporter->due_us, now_us + reporter->jitter_us);
}

/* Bytes that can be sent at @now_us: a token bucket refilled at bytes_per_s. */
static double compute_budget(const skh_count_reporter_t *reporter, int64_t now_us)
{
	double refill_bytes = reporter->bytes_per_s *
			      (double)(now_us - reporter->budget_updated_us) / (double)SKH_US_PER_S;

	/* A report of many experts may exceed the capacity and would then never be sent. */
	return MIN(reporter->budget_bytes + refill_bytes,
		   MAX(BUDGET_CAPACITY_BYTES, reporter->last_report_bytes));
}

/* Choices counted in the first set. */
static double count_choices(const skh_count_reporter_t *reporter)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < reporter->engine_spec.experts_per_set; i++)
		sum += reporter->counts[i];
	return sum;
}

static bool is_shift_report_due(const skh_count_reporter_t *reporter, double choices,
				int64_t now_us)
{
	int64_t since_us = now_us - reporter->shift_us;

	if (since_us > SHIFT_WINDOW_US || now_us - reporter->last_report_us < MIN_SHIFT_INTERVAL_US)
		return false;
	return choices >= MIN_CHOICES_PER_EXPERT * (double)reporter->engine_spec.experts_per_set ||
	       since_us > MAX_CHOICES_WAIT_US + reporter->jitter_us;
}

bool skh_count_reporter_is_due(const skh_count_reporter_t *reporter, int64_t now_us)
{
	double choices = count_choices(reporter);

	if (choices <= 0.0 || compute_budget(reporter, now_us) < reporter->last_report_bytes)
		return false;
	return now_us >= reporter->due_us || is_shift_report_due(reporter, choices, now_us);
}

const skh_demand_sample_t *skh_count_reporter_pending_sample(const skh_count_reporter_t *reporter)
{
	return &reporter->sample;
}

void skh_count_reporter_record_sent(skh_count_reporter_t *reporter, size_t sent_bytes,
				    bool with_counts, int64_t now_us)
{
	reporter->budget_bytes = compute_budget(reporter, now_us) - (double)sent_bytes;
	reporter->budget_updated_us = now_us;
	if (!with_counts)
		return;
	reporter->last_report_bytes = (double)sent_bytes;
	reporter->last_report_us = now_us;
	reporter->due_us = now_us + STEADY_INTERVAL_US;
	reset_counts(reporter);
}
