#include "rank_poller.h"

#include "clock.h"
#include "group_id.h"
#include "log.h"
#include "report_filter.h"

#include <string.h>

#define PART		   "rank"
#define REQUEST_TIMEOUT_US (400 * SKH_US_PER_MS)
/* Period at which the map is polled until it matches the report. */
#define MAP_PERIOD_US (50 * SKH_US_PER_MS)
/* Delay before counts are read again after a read that came before the end of a pass. */
#define COUNTS_RETRY_US (15 * SKH_US_PER_MS)
/* A pass takes 50 to 300 ms. Its duration is averaged over about PASS_WINDOW_PASSES passes. */
#define INITIAL_PASS_US	   (60 * SKH_US_PER_MS)
#define MAX_PASS_US	   (300 * SKH_US_PER_MS)
#define PASS_WINDOW_PASSES 4

typedef enum poll_kind {
	POLL_REPORT,
	POLL_COUNTS,
	POLL_MAP,
	POLL_KIND_COUNT
} poll_kind_t;

/* Bits of a request's tag that hold its kind. */
#define TAG_KIND_BITS 4

struct skh_rank_poller {
	skh_engine_client_t *client;
	const skh_dialect_t *dialect;
	const skh_rank_poller_ops_t *ops;
	void *context;
	bool has_engine_spec;
	skh_engine_spec_t engine_spec;
	skh_rank_snapshot_t snapshot;
	skh_report_filter_t filter;
	uint32_t *read_map;	  /* the last map read, like @snapshot.map */
	int64_t read_map_version; /* version of @read_map; -1 before the first one */
	double *last_counts;  /* counts at the last read; NULL before the engine spec is known */
	double *count_deltas; /* difference between the last two reads */
	uint32_t n_counts;    /* entries of @last_counts and of @count_deltas */
	bool has_last_counts;
	int64_t last_counts_pass;
	int64_t last_counts_epoch;
	int64_t pass_end_seen_us; /* when a read last found that a pass had ended */
	int64_t pass_duration_us; /* moving average */
	bool is_in_flight[POLL_KIND_COUNT];
	uint32_t n_groups; /* changes of the group; marks responses from before the last one */
	int64_t report_requested_us;
	int64_t next_poll_us[POLL_KIND_COUNT];
	int64_t report_period_us;
	bool has_poll_failed; /* the last response was an error, or none arrived */
};

skh_rank_poller_t *skh_rank_poller_new(skh_engine_client_t *client, const skh_dialect_t *dialect,
				       const skh_rank_poller_ops_t *ops, void *context)
{
	skh_rank_poller_t *poller = g_new0(skh_rank_poller_t, 1);

	poller->client = client;
	poller->dialect = dialect;
	poller->ops = ops;
	poller->context = context;
	poller->pass_duration_us = INITIAL_PASS_US;
	poller->read_map_version = -1;
	return poller;
}

void skh_rank_poller_free(skh_rank_poller_t *poller)
{
	g_free(poller->snapshot.map);
	g_free(poller->read_map);
	g_free(poller->last_counts);
	g_free(poller->count_deltas);
	g_free(poller);
}

void skh_rank_poller_set_engine_spec(skh_rank_poller_t *poller,
				     const skh_engine_spec_t *engine_spec)
{
	if (poller->has_engine_spec || engine_spec->expert_sets == 0)
		return;
	poller->has_engine_spec = true;
	poller->engine_spec = *engine_spec;
	skh_engine_client_expect(poller->client, engine_spec);
	poller->snapshot.n_map = engine_spec->expert_sets * engine_spec->slots_per_rank;
	poller->snapshot.map = g_new0(uint32_t, poller->snapshot.n_map);
	poller->read_map = g_new0(uint32_t, poller->snapshot.n_map);
	poller->n_counts = engine_spec->expert_sets * engine_spec->experts_per_set;
	poller->last_counts = g_new0(double, poller->n_counts);
	poller->count_deltas = g_new0(double, poller->n_counts);
}

/* Map, counts and passes of the old group say nothing about the new one. */
static void begin_group(skh_rank_poller_t *poller)
{
	poller->n_groups++;
	poller->snapshot.has_map = false;
	poller->read_map_version = -1;
	poller->has_last_counts = false;
	poller->pass_duration_us = INITIAL_PASS_US;
	poller->pass_end_seen_us = 0;
}

/* Only a change of what names the rank is logged; the others come with each order. */
static void log_unconfirmed(const skh_rank_poller_t *poller)
{
	const skh_engine_report_t *known = &poller->filter.accepted;
	const skh_engine_report_t *said = &poller->filter.last;
	g_autofree char *group = NULL;

	if (!poller->filter.has_accepted ||
	    (!skh_report_filter_has_new_group(known, said) && known->rank == said->rank &&
	     known->epoch == said->epoch))
		return;
	group = skh_group_id_escape(said->group);
	skh_log(SKH_LOG_INFO, PART,
		"Engine names itself differently; the next response has to confirm that.",
		"engine=%s group=%s rank=%u known_rank=%u size=%u epoch=%" G_GINT64_FORMAT
		" known_epoch=%" G_GINT64_FORMAT,
		skh_engine_client_address(poller->client), said->is_in_group ? group : "-",
		said->rank, known->rank, said->group_size, said->epoch, known->epoch);
}

static void handle_report(skh_rank_poller_t *poller, skh_chunk_t body)
{
	skh_engine_report_t report;
	skh_error_t err;
	skh_engine_report_t before = poller->snapshot.report;
	bool changed;
	bool epoch_changed;
	bool group_changed;

	if (!poller->dialect->read_report(body, &report, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Engine report could not be parsed.",
			"engine=%s reason=%s", skh_engine_client_address(poller->client), err.text);
		return;
	}
	if (!skh_report_filter_accept(&poller->filter, &report, poller->report_requested_us)) {
		log_unconfirmed(poller);
		skh_rank_poller_poll_now(poller);
		return;
	}
	group_changed =
		!poller->snapshot.has_report || skh_report_filter_has_new_group(&before, &report);
	changed = group_changed || skh_report_filter_has_new_state(&before, &report) ||
		  skh_report_filter_has_new_slowdown(&before, &report);
	epoch_changed = group_changed || report.epoch != before.epoch ||
			report.is_group_open != before.is_group_open;
	if (changed) {
		g_autofree char *group = skh_group_id_escape(report.group);

		skh_log(epoch_changed ? SKH_LOG_INFO : SKH_LOG_DEBUG, PART, "Engine state changed.",
			"group=%s rank=%u size=%u epoch=%" G_GINT64_FORMAT
			" open=%d pass=%" G_GINT64_FORMAT " map=%" G_GINT64_FORMAT
			" prepared=%" G_GINT64_FORMAT " armed=%" G_GINT64_FORMAT
			" held=%" G_GINT64_FORMAT " pace=%.2f",
			report.is_in_group ? group : "-", report.rank, report.group_size,
			report.epoch, report.is_group_open, report.pass, report.map_version,
			report.prepared_version, report.armed_version, report.held_pass,
			report.slowdown);
	}
	poller->snapshot.has_report = true;
	poller->snapshot.report = report;
	poller->snapshot.requested_us = poller->report_requested_us;
	if (report.map_version != poller->snapshot.map_version ||
	    report.epoch != poller->snapshot.map_epoch)
		poller->snapshot.has_map = false;
	if (group_changed) {
		begin_group(poller);
		poller->ops->on_group_change(poller->context);
	}
	if (changed)
		poller->ops->on_change(poller->context);
}

/*
 * Counts are read once per pass, so that a sample does not mix counts from before and after
 * a demand shift. The next read is due when the next pass is expected to have ended.
 */
static void schedule_counts_poll(skh_rank_poller_t *poller, bool has_sample, int64_t passes,
				 int64_t now_us)
{
	int64_t elapsed_us = now_us - poller->pass_end_seen_us;

	if (!has_sample) {
		poller->next_poll_us[POLL_COUNTS] = now_us + COUNTS_RETRY_US;
		return;
	}
	/* A longer interval includes time in which the group was idle or held. */
	if (elapsed_us < passes * MAX_PASS_US)
		poller->pass_duration_us +=
			(elapsed_us / passes - poller->pass_duration_us) / PASS_WINDOW_PASSES;
	poller->pass_end_seen_us = now_us;
	poller->next_poll_us[POLL_COUNTS] = now_us + poller->pass_duration_us;
}

/*
 * Computes the counts since the last read. Returns false if they are not usable: no pass has
 * ended, or the last read is missing, of another epoch or from before a restart of the engine.
 */
static bool compute_count_deltas(skh_rank_poller_t *poller, const skh_engine_counts_t *counts)
{
	bool has_sample = poller->has_last_counts && counts->epoch == poller->last_counts_epoch &&
			  counts->pass > poller->last_counts_pass;

	for (uint32_t i = 0; i < poller->n_counts; i++) {
		poller->count_deltas[i] = counts->counts[i] - poller->last_counts[i];
		/* Counts of a restarted engine begin at 0. */
		has_sample = has_sample && poller->count_deltas[i] >= 0.0;
		poller->last_counts[i] = counts->counts[i];
	}
	return has_sample;
}

static void handle_counts(skh_rank_poller_t *poller, skh_chunk_t body)
{
	skh_engine_counts_t counts;
	skh_error_t err;

	if (!poller->dialect->read_counts(body, &counts, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Engine token counts could not be parsed.",
			"engine=%s reason=%s", skh_engine_client_address(poller->client), err.text);
		return;
	}
	if (counts.epoch != poller->snapshot.report.epoch) {
		/* Those of a new epoch are read once the report has confirmed it. */
		skh_log(SKH_LOG_DEBUG, PART, "Engine token counts of another epoch are ignored.",
			"engine=%s epoch=%" G_GINT64_FORMAT " known_epoch=%" G_GINT64_FORMAT,
			skh_engine_client_address(poller->client), counts.epoch,
			poller->snapshot.report.epoch);
	} else if (counts.n == poller->n_counts) {
		skh_demand_sample_t sample = {
			.counts = poller->count_deltas,
			.epoch = counts.epoch,
			.from_pass = poller->last_counts_pass,
			.to_pass = counts.pass,
		};
		bool has_sample = compute_count_deltas(poller, &counts);

		schedule_counts_poll(poller, has_sample, counts.pass - poller->last_counts_pass,
				     skh_clock_boot_us());
		poller->has_last_counts = true;
		poller->last_counts_epoch = counts.epoch;
		poller->last_counts_pass = counts.pass;
		if (has_sample)
			poller->ops->on_counts(poller->context, &sample);
	} else {
		skh_log(SKH_LOG_WARNING, PART,
			"Engine token counts ignored: their number does not match the engine spec.",
			"counts=%u expected=%u", counts.n, poller->n_counts);
	}
	g_free(counts.counts);
}

/*
 * A map is used once two reads in a row agree: it is read once for each version, and a wrong
 * number that is the number of an expert can't be told from a right one.
 */
static void handle_map(skh_rank_poller_t *poller, skh_chunk_t body)
{
	size_t map_bytes = poller->snapshot.n_map * sizeof(uint32_t);
	g_autofree uint32_t *last_map = g_memdup2(poller->read_map, map_bytes);
	int64_t last_version = poller->read_map_version;
	skh_error_t err;

	if (!poller->dialect->read_map(body, &poller->engine_spec, poller->read_map,
				       &poller->read_map_version, &err)) {
		poller->read_map_version = -1;
		skh_log(SKH_LOG_WARNING, PART, "Engine expert map could not be parsed.",
			"engine=%s reason=%s", skh_engine_client_address(poller->client), err.text);
		return;
	}
	/* The map has changed since the report was read; poll it again. */
	if (poller->read_map_version != poller->snapshot.report.map_version)
		return;
	if (last_version != poller->read_map_version ||
	    memcmp(last_map, poller->read_map, map_bytes) != 0) {
		poller->next_poll_us[POLL_MAP] = 0;
		return;
	}
	memcpy(poller->snapshot.map, poller->read_map, map_bytes);
	poller->snapshot.has_map = true;
	poller->snapshot.map_version = poller->read_map_version;
	poller->snapshot.map_epoch = poller->snapshot.report.epoch;
	poller->ops->on_change(poller->context);
}

static void on_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body);

static void poll_if_due(skh_rank_poller_t *poller, poll_kind_t kind, const char *path,
			int64_t period_us, int64_t now_us)
{
	if (poller->is_in_flight[kind] || now_us < poller->next_poll_us[kind])
		return;
	poller->is_in_flight[kind] = true;
	if (kind == POLL_REPORT)
		poller->report_requested_us = now_us;
	poller->next_poll_us[kind] = now_us + period_us;
	skh_engine_client_get(poller->client, path, REQUEST_TIMEOUT_US,
			      poller->n_groups << TAG_KIND_BITS | kind, on_response, poller);
}

static void on_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_rank_poller_t *poller = context;
	poll_kind_t kind = tag & ((1U << TAG_KIND_BITS) - 1);

	poller->is_in_flight[kind] = false;
	if (status != 200) {
		if (!poller->has_poll_failed)
			skh_log(SKH_LOG_WARNING, PART, "Engine poll failed; retrying.", "status=%d",
				status);
		poller->has_poll_failed = true;
		return;
	}
	if (poller->has_poll_failed)
		skh_log(SKH_LOG_INFO, PART, "Engine poll succeeded again.", "status=%d", status);
	poller->has_poll_failed = false;
	if (kind == POLL_REPORT)
		handle_report(poller, body);
	else if (tag >> TAG_KIND_BITS != poller->n_groups)
		return;
	else if (kind == POLL_COUNTS)
		handle_counts(poller, body);
	else
		handle_map(poller, body);
}

void skh_rank_poller_set_report_period(skh_rank_poller_t *poller, int64_t period_us)
{
	/* Applies a shorter period at once instead of after the poll already scheduled. */
	if (period_us < poller->report_period_us)
		poller->next_poll_us[POLL_REPORT] = 0;
	poller->report_period_us = period_us;
}

void skh_rank_poller_poll_now(skh_rank_poller_t *poller)
{
	poller->next_poll_us[POLL_REPORT] = 0;
}

void skh_rank_poller_tick(skh_rank_poller_t *poller, int64_t now_us)
{
	poll_if_due(poller, POLL_REPORT, poller->dialect->report_path, poller->report_period_us,
		    now_us);
	if (!poller->has_engine_spec || !poller->snapshot.has_report)
		return;
	poll_if_due(poller, POLL_COUNTS, poller->dialect->counts_path, poller->pass_duration_us,
		    now_us);
	if (!poller->snapshot.has_map)
		poll_if_due(poller, POLL_MAP, poller->dialect->map_path, MAP_PERIOD_US, now_us);
}

const skh_rank_snapshot_t *skh_rank_poller_snapshot(const skh_rank_poller_t *poller)
{
	return &poller->snapshot;
}
