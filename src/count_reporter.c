#include "count_reporter.h"

#include "clock.h"

#include <glib.h>
#include <string.h>

/* Bytes that may be saved up: two reports of a large group and some of its state. */
#define MOST_SAVED_BYTES 2400.0
/* Steady demand: prompts come and go, and the coordinator may have changed. */
#define STEADY_US (2 * SKH_US_PER_S)
/* For so long after a shift each report still sharpens the picture. */
#define NEWS_US (700 * SKH_US_PER_MS)
/* Reports in that time are no closer than this: about a pass. */
#define LEAST_PAUSE_US (60 * SKH_US_PER_MS)
/* A rank that has counted few choices an expert waits for the first prompt that it reads ... */
#define WORTH_TELLING_PER_EXPERT 12.0
/* ... but no longer than this, and all of them a bit apart: the coordinator's link is narrow. */
#define FEW_WAIT_US   (80 * SKH_US_PER_MS)
#define FEW_SPREAD_US (80 * SKH_US_PER_MS)

struct skh_count_reporter {
	skh_engine_spec_t shape;
	skh_demand_t *demand; /* this rank's own picture, to see shifts */
	double *counts;	      /* since the last report or shift, [sets][experts] */
	skh_demand_sample_t sample;
	double bytes_a_s;
	double saved_bytes;
	double report_bytes; /* what a report with counts took last */
	int64_t saved_us;    /* when @saved_bytes was true */
	int64_t spread_us;
	int64_t told_us;
	int64_t shifted_us;
	int64_t due_us; /* at the latest; the steady rhythm, or somebody is in a hurry */
};

static size_t size_of(const skh_count_reporter_t *feed)
{
	return (size_t)feed->shape.expert_sets * feed->shape.experts_per_set;
}

skh_count_reporter_t *skh_count_reporter_new(const skh_engine_spec_t *shape, int64_t bytes_a_s,
					     uint64_t draw)
{
	skh_count_reporter_t *feed = g_new0(skh_count_reporter_t, 1);

	feed->shape = *shape;
	feed->demand = skh_demand_new(shape);
	feed->counts = g_new0(double, size_of(feed));
	feed->sample.counts = feed->counts;
	feed->bytes_a_s = (double)bytes_a_s;
	feed->saved_bytes = MOST_SAVED_BYTES;
	feed->spread_us = (int64_t)(draw % (uint64_t)FEW_SPREAD_US);
	/* Nothing was seen yet: the first look counts as a shift. */
	feed->shifted_us = -NEWS_US;
	return feed;
}

void skh_count_reporter_free(skh_count_reporter_t *feed)
{
	skh_demand_free(feed->demand);
	g_free(feed->counts);
	g_free(feed);
}

static void clear(skh_count_reporter_t *feed)
{
	memset(feed->counts, 0, size_of(feed) * sizeof(double));
	feed->sample.from_pass = 0;
	feed->sample.to_pass = 0;
}

skh_demand_update_t skh_count_reporter_add_sample(skh_count_reporter_t *feed,
						  const skh_demand_sample_t *sample, int64_t now_us)
{
	skh_demand_update_t news = skh_demand_add_sample(feed->demand, sample, now_us);

	if (news == SKH_DEMAND_SHIFTED || news == SKH_DEMAND_SHIFTED_MID_SAMPLE ||
	    sample->epoch != feed->sample.epoch) {
		clear(feed);
		feed->shifted_us = now_us;
	}
	if (news == SKH_DEMAND_SHIFTED_MID_SAMPLE)
		return news;
	if (feed->sample.to_pass == 0)
		feed->sample.from_pass = sample->from_pass;
	feed->sample.to_pass = sample->to_pass;
	feed->sample.epoch = sample->epoch;
	for (size_t i = 0; i < size_of(feed); i++)
		feed->counts[i] += sample->counts[i];
	return news;
}

void skh_count_reporter_expedite(skh_count_reporter_t *feed, int64_t now_us)
{
	feed->due_us = MIN(feed->due_us, now_us + feed->spread_us);
}

static double saved_at(const skh_count_reporter_t *feed, int64_t now_us)
{
	double more = feed->bytes_a_s * (double)(now_us - feed->saved_us) / (double)SKH_US_PER_S;

	return MIN(feed->saved_bytes + more, MOST_SAVED_BYTES);
}

static double choices_of(const skh_count_reporter_t *feed)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < feed->shape.experts_per_set; i++)
		sum += feed->counts[i];
	return sum;
}

static bool is_news(const skh_count_reporter_t *feed, double choices, int64_t now_us)
{
	int64_t since_us = now_us - feed->shifted_us;

	if (since_us > NEWS_US || now_us - feed->told_us < LEAST_PAUSE_US)
		return false;
	return choices >= WORTH_TELLING_PER_EXPERT * (double)feed->shape.experts_per_set ||
	       since_us > FEW_WAIT_US + feed->spread_us;
}

bool skh_count_reporter_is_due(const skh_count_reporter_t *feed, int64_t now_us)
{
	double choices = choices_of(feed);

	if (choices <= 0.0 || saved_at(feed, now_us) < feed->report_bytes)
		return false;
	return now_us >= feed->due_us || is_news(feed, choices, now_us);
}

const skh_demand_sample_t *skh_count_reporter_pending_sample(const skh_count_reporter_t *feed)
{
	return &feed->sample;
}

void skh_count_reporter_record_sent(skh_count_reporter_t *feed, size_t bytes, bool with_counts,
				    int64_t now_us)
{
	feed->saved_bytes = saved_at(feed, now_us) - (double)bytes;
	feed->saved_us = now_us;
	if (!with_counts)
		return;
	feed->report_bytes = (double)bytes;
	feed->told_us = now_us;
	feed->due_us = now_us + STEADY_US;
	clear(feed);
}
