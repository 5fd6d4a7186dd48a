#include "groupview.h"

#include "clock.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

#define PART "group"
/* A rank that was not heard of for longer is asked over the network. */
#define SILENT_US      (1300 * SKH_US_PER_MS)
#define ASK_US	       (300 * SKH_US_PER_MS)
#define ASK_TIMEOUT_US (320 * SKH_US_PER_MS)
/* What ranks said that were silent for longer is no ground for a decision. */
#define STALE_US (2500 * SKH_US_PER_MS)
/* Entries of others may name addresses where nobody answers. */
#define OFFER_TIMEOUT_US (100 * SKH_US_PER_MS)
/* Time over which the length of passes is taken, since the last change of the map. */
#define PASS_SPAN_US (250 * SKH_US_PER_MS)
/* A hold that nobody seems to want is looked into after this. */
#define HELD_US	    (250 * SKH_US_PER_MS)
#define COMPLAIN_US (500 * SKH_US_PER_MS)

void skh_groupview_init(skh_groupview_t *view, const skh_groupview_options_t *options,
			const skh_engine_shape_t *shape)
{
	*view = (skh_groupview_t){ .options = *options, .shape = *shape };
}

void skh_groupview_clear(skh_groupview_t *view)
{
	for (uint32_t rank = 0; rank < SKH_MAPCHANGE_MAX_RANKS; rank++) {
		if (view->ranks[rank].engine)
			skh_engine_client_free(view->ranks[rank].engine);
		if (view->ranks[rank].relay)
			skh_engine_client_free(view->ranks[rank].relay);
	}
	if (view->offered)
		skh_engine_client_free(view->offered);
	g_free(view->map);
	g_free(view->next);
}

size_t skh_groupview_map_size(const skh_groupview_t *view)
{
	return (size_t)view->shape.sets * view->n_ranks * view->shape.placements;
}

/* --- What ranks' processes tell --- */

static void set_size(skh_groupview_t *view, uint32_t n_ranks)
{
	if (n_ranks == view->n_ranks)
		return;
	view->n_ranks = n_ranks;
	g_free(view->map);
	g_free(view->next);
	view->map = g_new0(uint32_t, skh_groupview_map_size(view) + 1);
	view->next = g_new0(uint32_t, skh_groupview_map_size(view) + 1);
	for (uint32_t rank = 0; rank < SKH_MAPCHANGE_MAX_RANKS; rank++)
		view->ranks[rank].map_known = false;
}

static void set_address(skh_groupview_t *view, skh_engine_client_t **client, const char *address)
{
	if (*client && strcmp(skh_engine_client_address(*client), address) == 0)
		return;
	if (*client)
		skh_engine_client_free(*client);
	*client = skh_engine_client_new(view->options.loop, address, view->options.pool_options);
}

/* The map that the coordinator has brought is known without asking. */
static void follow_map(skh_groupview_t *view, uint32_t rank, const skh_engine_report_t *report)
{
	uint32_t places = view->shape.placements;

	view->ranks[rank].map_known =
		report->epoch == view->next_epoch && report->map_version == view->next_version;
	if (!view->ranks[rank].map_known)
		return;
	for (uint32_t set = 0; set < view->shape.sets; set++) {
		size_t at = ((size_t)set * view->n_ranks + rank) * places;

		memcpy(view->map + at, view->next + at, places * sizeof(uint32_t));
	}
}

/* A rank may tell a little later of its state before the change that all ranks have made. */
static bool is_of_before(const skh_groupview_t *view, const skh_engine_report_t *report)
{
	return report->epoch == view->next_epoch && report->map_version < view->next_version &&
	       report->pass < view->switched_pass;
}

static void take_state(skh_groupview_t *view, uint32_t rank, const skh_engine_report_t *report,
		       int64_t asked_us, int64_t now_us)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	state->told_us = now_us;
	if (is_of_before(view, report))
		return;
	if (state->reported && (state->report.epoch != report->epoch ||
				state->report.map_version != report->map_version))
		follow_map(view, rank, report);
	if (report->held == 0)
		state->held_since_us = 0;
	else if (state->held_since_us == 0)
		state->held_since_us = now_us;
	state->reported = true;
	state->report = *report;
	view->options.on_state(view->options.context, rank, asked_us, now_us);
}

void skh_groupview_switched(skh_groupview_t *view, int64_t pass, int64_t now_us)
{
	view->switched_pass = pass;
	/* Passes of before say nothing of those to come. */
	view->pass_us = 0;
	view->pass_seen = pass;
	view->pass_seen_us = now_us;
	memcpy(view->map, view->next, skh_groupview_map_size(view) * sizeof(uint32_t));
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		skh_engine_report_t *report = &view->ranks[rank].report;

		/* Its own report of this comes a little later. */
		report->map_version = view->next_version;
		report->prepared = 0;
		report->armed = 0;
		view->ranks[rank].map_known = true;
	}
}

/* @map is the rank's own, [sets][placements]. */
static void place_map(skh_groupview_t *view, uint32_t rank, const uint32_t *map)
{
	uint32_t places = view->shape.placements;

	for (uint32_t set = 0; set < view->shape.sets; set++)
		memcpy(view->map + ((size_t)set * view->n_ranks + rank) * places,
		       map + (size_t)set * places, places * sizeof(uint32_t));
	view->ranks[rank].map_known = true;
}

static void take_map(skh_groupview_t *view, uint32_t rank, const Skh__RankReport *message)
{
	size_t n = (size_t)view->shape.sets * view->shape.placements;
	const skh_engine_report_t *report = &view->ranks[rank].report;

	/* It may be that of before a change, which is passed over. */
	if (message->map_known && message->n_map == n && message->epoch == report->epoch &&
	    message->map_version == report->map_version)
		place_map(view, rank, message->map);
}

static void time_passes(skh_groupview_t *view, int64_t pass, int64_t now_us)
{
	int64_t span_us = now_us - view->pass_seen_us;

	if (span_us < PASS_SPAN_US)
		return;
	if (pass > view->pass_seen && view->pass_seen > 0)
		view->pass_us = span_us / (pass - view->pass_seen);
	view->pass_seen = pass;
	view->pass_seen_us = now_us;
}

bool skh_groupview_report(skh_groupview_t *view, const Skh__RankReport *message, bool own,
			  int64_t now_us)
{
	const skh_engine_report_t report = {
		.in_group = true,
		.group_open = message->open,
		.group_size = message->size,
		.rank = message->rank,
		.epoch = message->epoch,
		.pass = message->pass,
		.map_version = message->map_version,
		.prepared = message->prepared,
		.armed = message->armed,
		.held = message->held,
		.pace = message->pace,
	};
	skh_groupview_rank_t *state;

	if (message->size == 0 || message->size > SKH_MAPCHANGE_MAX_RANKS ||
	    message->rank >= message->size)
		return false;
	state = &view->ranks[message->rank];
	/* Datagrams may overtake each other. */
	if (message->sender == state->sender && message->number <= state->number)
		return false;
	state->sender = message->sender;
	state->number = message->number;
	set_size(view, message->size);
	set_address(view, &state->engine, message->engine);
	set_address(view, &state->relay, message->relay);
	if (own) {
		view->own = message->rank;
		view->has_own = true;
		time_passes(view, message->pass, now_us);
	}
	state->heard_us = now_us;
	take_state(view, message->rank, &report, 0, now_us);
	take_map(view, message->rank, message);
	return true;
}

/* --- What engines tell when they are asked --- */

static void on_lists(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_groupview_t *view = context;
	uint32_t places = view->shape.placements;
	uint32_t sets = view->shape.sets;
	uint32_t *map;
	int64_t version;
	skh_error_t err;

	view->ranks[tag].asking = false;
	if (status != 200)
		return;
	map = g_new0(uint32_t, (size_t)sets * places + 1);
	if (!view->options.dialect->read_lists(body, sets, places, map, &version, &err))
		skh_log(SKH_LOG_WARNING, PART, "Map not read.", "rank=%u reason=%s", tag, err.text);
	else if (version == view->ranks[tag].report.map_version)
		place_map(view, tag, map);
	g_free(map);
}

static void ask_lists(skh_groupview_t *view, uint32_t rank)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	state->asking = true;
	skh_engine_client_get(state->engine, view->options.dialect->lists_path, ASK_TIMEOUT_US,
			      rank, on_lists, view);
}

static void on_report(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_groupview_t *view = context;
	skh_engine_report_t report;
	skh_error_t err;

	view->ranks[tag].asking = false;
	if (status != 200)
		return;
	if (!view->options.dialect->read_report(body, &report, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Report not read.", "rank=%u reason=%s", tag,
			err.text);
		return;
	}
	if (report.rank != tag)
		return;
	take_state(view, tag, &report, view->ranks[tag].asked_us, skh_clock_boot_us());
	if (!view->ranks[tag].map_known)
		ask_lists(view, tag);
}

bool skh_groupview_lacks_ranks(const skh_groupview_t *view)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		if (!view->ranks[rank].engine)
			return true;
	}
	return false;
}

static bool knows_address(const skh_groupview_t *view, const char *address)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		const skh_engine_client_t *client = view->ranks[rank].engine;

		if (client && strcmp(skh_engine_client_address(client), address) == 0)
			return true;
	}
	return false;
}

static void on_offered_report(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_groupview_t *view = context;
	skh_engine_report_t report;
	skh_error_t err;

	(void)tag;
	view->offered_us = 0;
	if (status != 200 || !view->options.dialect->read_report(body, &report, &err) ||
	    report.group_size != view->n_ranks || report.rank >= view->n_ranks ||
	    view->ranks[report.rank].engine)
		return;
	set_address(view, &view->ranks[report.rank].engine,
		    skh_engine_client_address(view->offered));
	take_state(view, report.rank, &report, 0, skh_clock_boot_us());
}

bool skh_groupview_offer(skh_groupview_t *view, const char *address, int64_t now_us)
{
	if (knows_address(view, address))
		return true;
	if (view->offered_us != 0)
		return false;
	view->offered_us = now_us;
	set_address(view, &view->offered, address);
	skh_engine_client_get(view->offered, view->options.dialect->report_path, OFFER_TIMEOUT_US,
			      0, on_offered_report, view);
	return true;
}

void skh_groupview_ask(skh_groupview_t *view, uint32_t rank, int64_t now_us)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	if (!state->engine || state->asking)
		return;
	state->asking = true;
	state->asked_us = now_us;
	state->ask_us = now_us + ASK_US;
	skh_engine_client_get(state->engine, view->options.dialect->report_path, ASK_TIMEOUT_US,
			      rank, on_report, view);
}

void skh_groupview_ask_silent(skh_groupview_t *view, int64_t now_us)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		skh_groupview_rank_t *state = &view->ranks[rank];

		if (now_us - state->heard_us >= SILENT_US && now_us >= state->ask_us)
			skh_groupview_ask(view, rank, now_us);
	}
}

/* --- Whether it fits together --- */

static const char *why_unknown(const skh_groupview_t *view, const skh_groupview_rank_t *state,
			       int64_t now_us)
{
	const skh_groupview_rank_t *own = &view->ranks[view->own];

	if (!state->reported || !state->engine)
		return "never_heard";
	if (now_us - state->told_us > STALE_US)
		return "silent";
	if (state->report.epoch != own->report.epoch)
		return "epoch";
	if (state->report.map_version != own->report.map_version)
		return "map_version";
	return state->map_known ? NULL : "map";
}

bool skh_groupview_is_whole(skh_groupview_t *view, int64_t now_us)
{
	if (!view->has_own || view->n_ranks == 0 || !view->ranks[view->own].report.group_open)
		return false;
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		const char *why = why_unknown(view, &view->ranks[rank], now_us);

		if (!why)
			continue;
		if (now_us - view->complained_us > COMPLAIN_US) {
			view->complained_us = now_us;
			skh_log(SKH_LOG_INFO, PART, "Group is not known.", "rank=%u lacks=%s", rank,
				why);
		}
		return false;
	}
	return true;
}

bool skh_groupview_is_held(const skh_groupview_t *view, int64_t now_us)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		const skh_groupview_rank_t *state = &view->ranks[rank];

		if (state->held_since_us != 0 && now_us - state->held_since_us > HELD_US)
			return true;
	}
	return false;
}
