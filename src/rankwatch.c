#include "rankwatch.h"

#include "clock.h"
#include "log.h"

#include <string.h>

#define PART "rank"
/* The engine's own machine asks for nothing. */
#define REPORT_US  (50 * SKH_US_PER_MS)
#define TIMEOUT_US (400 * SKH_US_PER_MS)
/* Counts over longer than this say too little of the last passes, and are left out. */
#define MOST_SPAN_US (300 * SKH_US_PER_MS)

typedef enum ask {
	ASK_REPORT,
	ASK_COUNTS,
	ASK_LISTS,
	ASK_KINDS
} ask_t;

struct skh_rankwatch {
	skh_engine_client_t *client;
	const skh_dialect_t *dialect;
	skh_rankwatch_fn fn;
	void *context;
	bool has_shape;
	skh_engine_shape_t shape;
	skh_rank_news_t news;
	double *seen; /* counts at the last look */
	uint32_t n_seen;
	int64_t seen_us;
	int64_t seen_epoch;
	bool asked[ASK_KINDS];
	int64_t next_us[ASK_KINDS];
	int64_t counts_us;
	int64_t counts_from_us;
	bool lost; /* the engine does not answer */
};

skh_rankwatch_t *skh_rankwatch_new(skh_engine_client_t *client, const skh_dialect_t *dialect,
				   skh_rankwatch_fn fn, void *context)
{
	skh_rankwatch_t *watch = g_new0(skh_rankwatch_t, 1);

	watch->client = client;
	watch->dialect = dialect;
	watch->fn = fn;
	watch->context = context;
	return watch;
}

void skh_rankwatch_free(skh_rankwatch_t *watch)
{
	g_free(watch->news.map);
	g_free(watch->news.counts);
	g_free(watch->seen);
	g_free(watch);
}

void skh_rankwatch_set_shape(skh_rankwatch_t *watch, const skh_engine_shape_t *shape)
{
	if (watch->has_shape || shape->sets == 0)
		return;
	watch->has_shape = true;
	watch->shape = *shape;
	watch->news.n_map = shape->sets * shape->placements;
	watch->news.map = g_new0(uint32_t, watch->news.n_map);
	watch->news.n_counts = shape->sets * shape->experts;
	watch->news.counts = g_new0(uint32_t, watch->news.n_counts);
	watch->n_seen = watch->news.n_counts;
	watch->seen = g_new0(double, watch->n_seen);
}

static bool differs(const skh_engine_report_t *a, const skh_engine_report_t *b)
{
	return a->epoch != b->epoch || a->group_open != b->group_open ||
	       a->map_version != b->map_version || a->prepared != b->prepared ||
	       a->armed != b->armed || a->held != b->held || a->rank != b->rank;
}

static void take_report(skh_rankwatch_t *watch, skh_chunk_t body)
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
			" held=%" G_GINT64_FORMAT,
			report.in_group ? report.group : "-", report.rank, report.group_size,
			report.epoch, report.group_open, report.pass, report.map_version,
			report.prepared, report.armed, report.held);
	watch->news.has_report = true;
	watch->news.report = report;
	watch->news.reported_us = skh_clock_boot_us();
	if (report.map_version != watch->news.map_version || report.epoch != watch->news.map_epoch)
		watch->news.has_map = false;
	if (changed)
		watch->fn(watch->context);
}

static void take_counts(skh_rankwatch_t *watch, skh_chunk_t body)
{
	int64_t now_us = skh_clock_boot_us();
	bool is_fresh = now_us - watch->seen_us <= MOST_SPAN_US;
	skh_engine_counts_t counts;
	skh_error_t err;

	if (!watch->dialect->read_counts(body, &counts, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Counts not read.", "reason=%s", err.text);
		return;
	}
	for (uint32_t i = 0; i < MIN(counts.n, watch->n_seen); i++) {
		double more = counts.counts[i] - watch->seen[i];

		/* An engine that restarted counts from nothing. */
		if (more < 0.0 || counts.epoch != watch->seen_epoch)
			more = more < 0.0 ? counts.counts[i] : more;
		if (is_fresh)
			watch->news.counts[i] += (uint32_t)more;
		watch->seen[i] = counts.counts[i];
	}
	watch->seen_epoch = counts.epoch;
	watch->seen_us = now_us;
	g_free(counts.counts);
}

static void take_lists(skh_rankwatch_t *watch, skh_chunk_t body)
{
	int64_t version;
	skh_error_t err;

	if (!watch->dialect->read_lists(body, watch->shape.sets, watch->shape.placements,
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
	watch->fn(watch->context);
}

static void on_answer(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_rankwatch_t *watch = context;

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

static void ask(skh_rankwatch_t *watch, ask_t what, const char *path, int64_t period_us,
		int64_t now_us)
{
	if (watch->asked[what] || now_us < watch->next_us[what])
		return;
	watch->asked[what] = true;
	watch->next_us[what] = now_us + period_us;
	skh_engine_client_get(watch->client, path, TIMEOUT_US, what, on_answer, watch);
}

void skh_rankwatch_set_pace(skh_rankwatch_t *watch, int64_t counts_us, int64_t from_us)
{
	watch->counts_us = counts_us;
	watch->counts_from_us = from_us;
}

void skh_rankwatch_tick(skh_rankwatch_t *watch, int64_t now_us)
{
	ask(watch, ASK_REPORT, watch->dialect->report_path, REPORT_US, now_us);
	if (!watch->has_shape || !watch->news.has_report)
		return;
	if (now_us >= watch->counts_from_us)
		ask(watch, ASK_COUNTS, watch->dialect->counts_path, watch->counts_us, now_us);
	if (!watch->news.has_map)
		ask(watch, ASK_LISTS, watch->dialect->lists_path, REPORT_US, now_us);
}

const skh_rank_news_t *skh_rankwatch_news(const skh_rankwatch_t *watch)
{
	return &watch->news;
}

void skh_rankwatch_take_counts(skh_rankwatch_t *watch)
{
	memset(watch->news.counts, 0, sizeof(*watch->news.counts) * watch->news.n_counts);
}
