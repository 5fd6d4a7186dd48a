#include "rank_poller.h"

#include "clock.h"
#include "log.h"

#include <math.h>
#include <string.h>

#define PART	   "rank"
#define TIMEOUT_US (400 * SKH_US_PER_MS)
#define LISTS_US   (50 * SKH_US_PER_MS)
/* A look that came before the end of its pass is followed by another after this. */
#define EARLY_US (15 * SKH_US_PER_MS)
/* A pass lasts 50 to 300 ms; its length is followed over about so many. */
#define FIRST_PASS_US (60 * SKH_US_PER_MS)
#define MOST_PASS_US  (300 * SKH_US_PER_MS)
#define PASS_MEMORY   4

typedef enum ask {
	ASK_REPORT,
	ASK_COUNTS,
	ASK_LISTS,
	ASK_KINDS
} ask_t;

struct skh_rank_poller {
	skh_engine_client_t *client;
	const skh_dialect_t *dialect;
	const skh_rank_poller_ops_t *ops;
	void *context;
	bool has_shape;
	skh_engine_spec_t shape;
	skh_rank_snapshot_t news;
	double *seen; /* counts at the last look; NULL before the shape is known */
	double *more; /* since the look before */
	uint32_t n_seen;
	bool has_seen;
	int64_t seen_pass;
	int64_t seen_epoch;
	int64_t looked_us; /* when a pass was last seen to have ended */
	int64_t pass_us;   /* about how long it lasts */
	bool asked[ASK_KINDS];
	int64_t next_us[ASK_KINDS];
	int64_t report_us;
	bool lost; /* the engine does not answer */
};

skh_rank_poller_t *skh_rank_poller_new(skh_engine_client_t *client, const skh_dialect_t *dialect,
				       const skh_rank_poller_ops_t *ops, void *context)
{
	skh_rank_poller_t *watch = g_new0(skh_rank_poller_t, 1);

	watch->client = client;
	watch->dialect = dialect;
	watch->ops = ops;
	watch->context = context;
	watch->pass_us = FIRST_PASS_US;
	return watch;
}

void skh_rank_poller_free(skh_rank_poller_t *watch)
{
	g_free(watch->news.map);
	g_free(watch->seen);
	g_free(watch->more);
	g_free(watch);
}

void skh_rank_poller_set_engine_spec(skh_rank_poller_t *watch, const skh_engine_spec_t *shape)
{
	if (watch->has_shape || shape->expert_sets == 0)
		return;
	watch->has_shape = true;
	watch->shape = *shape;
	watch->news.n_map = shape->expert_sets * shape->expert_slots;
	watch->news.map = g_new0(uint32_t, watch->news.n_map);
	watch->n_seen = shape->expert_sets * shape->experts_per_set;
	watch->seen = g_new0(double, watch->n_seen);
	watch->more = g_new0(double, watch->n_seen);
}

/* A rank's pace that changes by less is no news. */
#define PACE_NEWS 0.1

static bool differs(const skh_engine_report_t *a, const skh_engine_report_t *b)
{
	return fabs(a->slowdown - b->slowdown) > PACE_NEWS * b->slowdown || a->epoch != b->epoch ||
	       a->group_open != b->group_open || a->map_version != b->map_version ||
	       a->prepared_version != b->prepared_version || a->armed_version != b->armed_version ||
	       a->held_pass != b->held_pass || a->rank != b->rank;
}

static void take_report(skh_rank_poller_t *watch, skh_chunk_t body)
{
	skh_engine_report_t report;
	skh_error_t err;
	bool changed;
	bool formed;

	if (!watch->dialect->read_report(body, &report, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Report not read.", "reason=%s", err.text);
		return;
	}
	changed = !watch->news.has_report || differs(&report, &watch->news.report);
	formed = !watch->news.has_report || report.epoch != watch->news.report.epoch ||
		 report.group_open != watch->news.report.group_open;
	if (changed)
		skh_log(formed ? SKH_LOG_INFO : SKH_LOG_DEBUG, PART, "Engine's state.",
			"group=%s rank=%u size=%u epoch=%" G_GINT64_FORMAT
			" open=%d pass=%" G_GINT64_FORMAT " map=%" G_GINT64_FORMAT
			" prepared=%" G_GINT64_FORMAT " armed=%" G_GINT64_FORMAT
			" held=%" G_GINT64_FORMAT " pace=%.2f",
			report.in_group ? report.group : "-", report.rank, report.group_size,
			report.epoch, report.group_open, report.pass, report.map_version,
			report.prepared_version, report.armed_version, report.held_pass,
			report.slowdown);
	watch->news.has_report = true;
	watch->news.report = report;
	watch->news.reported_us = skh_clock_boot_us();
	if (report.map_version != watch->news.map_version || report.epoch != watch->news.map_epoch)
		watch->news.has_map = false;
	if (changed)
		watch->ops->on_change(watch->context);
}

/*
 * Counts are read once a pass, so that what is counted before a shift does not mix with
 * what is after. The next look is due when the next pass should have ended.
 */
static void plan_look(skh_rank_poller_t *watch, bool is_next, int64_t passes, int64_t now_us)
{
	int64_t span_us = now_us - watch->looked_us;

	if (!is_next) {
		watch->next_us[ASK_COUNTS] = now_us + EARLY_US;
		return;
	}
	/* A group that stood still does not tell how long a pass lasts. */
	if (span_us < passes * MOST_PASS_US)
		watch->pass_us += (span_us / passes - watch->pass_us) / PASS_MEMORY;
	watch->looked_us = now_us;
	watch->next_us[ASK_COUNTS] = now_us + watch->pass_us;
}

/* What was counted since the last look; false for the first of an engine's start. */
static bool find_more(skh_rank_poller_t *watch, const skh_engine_counts_t *counts)
{
	bool is_next = watch->has_seen && counts->epoch == watch->seen_epoch &&
		       counts->pass > watch->seen_pass;

	for (uint32_t i = 0; i < watch->n_seen; i++) {
		watch->more[i] = counts->counts[i] - watch->seen[i];
		/* An engine that restarted counts from nothing. */
		is_next = is_next && watch->more[i] >= 0.0;
		watch->seen[i] = counts->counts[i];
	}
	return is_next;
}

static void take_counts(skh_rank_poller_t *watch, skh_chunk_t body)
{
	skh_engine_counts_t counts;
	skh_error_t err;

	if (!watch->dialect->read_counts(body, &counts, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Counts not read.", "reason=%s", err.text);
		return;
	}
	if (counts.n == watch->n_seen) {
		skh_demand_sample_t sample = {
			.counts = watch->more,
			.epoch = counts.epoch,
			.from_pass = watch->seen_pass,
			.to_pass = counts.pass,
		};
		bool is_next = find_more(watch, &counts);

		plan_look(watch, is_next, counts.pass - watch->seen_pass, skh_clock_boot_us());
		watch->has_seen = true;
		watch->seen_epoch = counts.epoch;
		watch->seen_pass = counts.pass;
		if (is_next)
			watch->ops->on_counts(watch->context, &sample);
	} else {
		skh_log(SKH_LOG_WARNING, PART, "Counts do not fit.", "counts=%u expected=%u",
			counts.n, watch->n_seen);
	}
	g_free(counts.counts);
}

static void take_lists(skh_rank_poller_t *watch, skh_chunk_t body)
{
	int64_t version;
	skh_error_t err;

	if (!watch->dialect->read_map(body, watch->shape.expert_sets, watch->shape.expert_slots,
				      watch->news.map, &version, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Map not read.", "reason=%s", err.text);
		return;
	}
	/* The map may have changed between the report and now. */
	if (version != watch->news.report.map_version)
		return;
	watch->news.has_map = true;
	watch->news.map_version = version;
	watch->news.map_epoch = watch->news.report.epoch;
	watch->ops->on_change(watch->context);
}

static void on_answer(void *context, uint32_t tag, int32_t status, skh_chunk_t body);

static void ask(skh_rank_poller_t *watch, ask_t what, const char *path, int64_t period_us,
		int64_t now_us)
{
	if (watch->asked[what] || now_us < watch->next_us[what])
		return;
	watch->asked[what] = true;
	watch->next_us[what] = now_us + period_us;
	skh_engine_client_get(watch->client, path, TIMEOUT_US, what, on_answer, watch);
}

static void on_answer(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_rank_poller_t *watch = context;

	watch->asked[tag] = false;
	if (status != 200) {
		if (!watch->lost)
			skh_log(SKH_LOG_WARNING, PART, "Engine does not answer.", "status=%d",
				status);
		watch->lost = true;
		return;
	}
	if (watch->lost)
		skh_log(SKH_LOG_INFO, PART, "Engine answers again.", "status=%d", status);
	watch->lost = false;
	if (tag == ASK_REPORT)
		take_report(watch, body);
	else if (tag == ASK_COUNTS)
		take_counts(watch, body);
	else
		take_lists(watch, body);
}

void skh_rank_poller_set_report_period(skh_rank_poller_t *watch, int64_t report_us)
{
	/* What was to come late comes sooner. */
	if (report_us < watch->report_us)
		watch->next_us[ASK_REPORT] = 0;
	watch->report_us = report_us;
}

void skh_rank_poller_tick(skh_rank_poller_t *watch, int64_t now_us)
{
	ask(watch, ASK_REPORT, watch->dialect->report_path, watch->report_us, now_us);
	if (!watch->has_shape || !watch->news.has_report)
		return;
	ask(watch, ASK_COUNTS, watch->dialect->counts_path, watch->pass_us, now_us);
	if (!watch->news.has_map)
		ask(watch, ASK_LISTS, watch->dialect->map_path, LISTS_US, now_us);
}

const skh_rank_snapshot_t *skh_rank_poller_snapshot(const skh_rank_poller_t *watch)
{
	return &watch->news;
}
