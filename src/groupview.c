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
			const skh_engine_spec_t *shape)
{
	*view = (skh_groupview_t){ .options = *options, .engine_spec = *shape };
}

void skh_groupview_clear(skh_groupview_t *view)
{
	for (uint32_t rank = 0; rank < SKH_MAPCHANGE_MAX_RANKS; rank++) {
		if (view->ranks[rank].engine)
			skh_engine_client_free(view->ranks[rank].engine);
		if (view->ranks[rank].relay)
			skh_engine_client_free(view->ranks[rank].relay);
	}
	if (view->probe_client)
		skh_engine_client_free(view->probe_client);
	g_free(view->map);
	g_free(view->next_map);
}

size_t skh_groupview_map_size(const skh_groupview_t *view)
{
	return (size_t)view->engine_spec.expert_sets * view->n_ranks *
	       view->engine_spec.expert_slots;
}

/* --- What ranks' processes tell --- */

static void set_size(skh_groupview_t *view, uint32_t n_ranks)
{
	if (n_ranks == view->n_ranks)
		return;
	view->n_ranks = n_ranks;
	g_free(view->map);
	g_free(view->next_map);
	view->map = g_new0(uint32_t, skh_groupview_map_size(view) + 1);
	view->next_map = g_new0(uint32_t, skh_groupview_map_size(view) + 1);
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
	uint32_t places = view->engine_spec.expert_slots;

	view->ranks[rank].map_known =
		report->epoch == view->next_epoch && report->map_version == view->next_version;
	if (!view->ranks[rank].map_known)
		return;
	for (uint32_t set = 0; set < view->engine_spec.expert_sets; set++) {
		size_t at = ((size_t)set * view->n_ranks + rank) * places;

		memcpy(view->map + at, view->next_map + at, places * sizeof(uint32_t));
	}
}

/* A rank may tell a little later of its state before the change that all ranks have made. */
static bool is_of_before(const skh_groupview_t *view, const skh_engine_report_t *report)
{
	return report->epoch == view->next_epoch && report->map_version < view->next_version &&
	       report->pass < view->switch_pass;
}

static void take_state(skh_groupview_t *view, uint32_t rank, const skh_engine_report_t *report,
		       int64_t asked_us, int64_t now_us)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	state->state_updated_us = now_us;
	if (is_of_before(view, report))
		return;
	if (state->has_report && (state->report.epoch != report->epoch ||
				  state->report.map_version != report->map_version))
		follow_map(view, rank, report);
	if (report->held_pass == 0)
		state->held_since_us = 0;
	else if (state->held_since_us == 0)
		state->held_since_us = now_us;
	state->has_report = true;
	state->report = *report;
	view->options.on_state(view->options.context, rank, asked_us, now_us);
}

void skh_groupview_adopt_next_map(skh_groupview_t *view, int64_t pass, int64_t now_us)
{
	view->switch_pass = pass;
	/* Passes of before say nothing of those to come. */
	view->pass_us = 0;
	view->last_pass = pass;
	view->last_pass_us = now_us;
	memcpy(view->map, view->next_map, skh_groupview_map_size(view) * sizeof(uint32_t));
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		skh_engine_report_t *report = &view->ranks[rank].report;

		/* Its own report of this comes a little later. */
		report->map_version = view->next_version;
		report->prepared_version = 0;
		report->armed_version = 0;
		view->ranks[rank].map_known = true;
	}
}

/* @map is the rank's own, [sets][placements]. */
static void place_map(skh_groupview_t *view, uint32_t rank, const uint32_t *map)
{
	uint32_t places = view->engine_spec.expert_slots;

	for (uint32_t set = 0; set < view->engine_spec.expert_sets; set++)
		memcpy(view->map + ((size_t)set * view->n_ranks + rank) * places,
		       map + (size_t)set * places, places * sizeof(uint32_t));
	view->ranks[rank].map_known = true;
}

static void take_map(skh_groupview_t *view, uint32_t rank, const Skh__RankReport *message)
{
	size_t n = (size_t)view->engine_spec.expert_sets * view->engine_spec.expert_slots;
	const skh_engine_report_t *report = &view->ranks[rank].report;

	/* It may be that of before a change, which is passed over. */
	if (message->map_known && message->n_map == n && message->epoch == report->epoch &&
	    message->map_version == report->map_version)
		place_map(view, rank, message->map);
}

static void time_passes(skh_groupview_t *view, int64_t pass, int64_t now_us)
{
	int64_t span_us = now_us - view->last_pass_us;

	if (span_us < PASS_SPAN_US)
		return;
	if (pass > view->last_pass && view->last_pass > 0)
		view->pass_us = span_us / (pass - view->last_pass);
	view->last_pass = pass;
	view->last_pass_us = now_us;
}

bool skh_groupview_handle_report(skh_groupview_t *view, const Skh__RankReport *message, bool own,
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
		.prepared_version = message->prepared,
		.armed_version = message->armed,
		.held_pass = message->held,
		.slowdown = message->pace,
	};
	skh_groupview_rank_t *state;

	if (message->size == 0 || message->size > SKH_MAPCHANGE_MAX_RANKS ||
	    message->rank >= message->size)
		return false;
	state = &view->ranks[message->rank];
	/* Datagrams may overtake each other. */
	if (message->sender == state->sender_id && message->number <= state->sequence)
		return false;
	state->sender_id = message->sender;
	state->sequence = message->number;
	set_size(view, message->size);
	set_address(view, &state->engine, message->engine);
	set_address(view, &state->relay, message->relay);
	if (own) {
		view->own_rank = message->rank;
		view->has_own_rank = true;
		time_passes(view, message->pass, now_us);
	}
	state->last_received_us = now_us;
	take_state(view, message->rank, &report, 0, now_us);
	take_map(view, message->rank, message);
	return true;
}

/* --- What engines tell when they are asked --- */

static void on_lists(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_groupview_t *view = context;
	uint32_t places = view->engine_spec.expert_slots;
	uint32_t sets = view->engine_spec.expert_sets;
	uint32_t *map;
	int64_t version;
	skh_error_t err;

	view->ranks[tag].poll_pending = false;
	if (status != 200)
		return;
	map = g_new0(uint32_t, (size_t)sets * places + 1);
	if (!view->options.dialect->read_map(body, sets, places, map, &version, &err))
		skh_log(SKH_LOG_WARNING, PART, "Map not read.", "rank=%u reason=%s", tag, err.text);
	else if (version == view->ranks[tag].report.map_version)
		place_map(view, tag, map);
	g_free(map);
}

static void ask_lists(skh_groupview_t *view, uint32_t rank)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	state->poll_pending = true;
	skh_engine_client_get(state->engine, view->options.dialect->map_path, ASK_TIMEOUT_US, rank,
			      on_lists, view);
}

static void on_report(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_groupview_t *view = context;
	skh_engine_report_t report;
	skh_error_t err;

	view->ranks[tag].poll_pending = false;
	if (status != 200)
		return;
	if (!view->options.dialect->read_report(body, &report, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Report not read.", "rank=%u reason=%s", tag,
			err.text);
		return;
	}
	if (report.rank != tag)
		return;
	take_state(view, tag, &report, view->ranks[tag].poll_started_us, skh_clock_boot_us());
	if (!view->ranks[tag].map_known)
		ask_lists(view, tag);
}

bool skh_groupview_has_unknown_ranks(const skh_groupview_t *view)
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
	view->probe_started_us = 0;
	if (status != 200 || !view->options.dialect->read_report(body, &report, &err) ||
	    report.group_size != view->n_ranks || report.rank >= view->n_ranks ||
	    view->ranks[report.rank].engine)
		return;
	set_address(view, &view->ranks[report.rank].engine,
		    skh_engine_client_address(view->probe_client));
	take_state(view, report.rank, &report, 0, skh_clock_boot_us());
}

bool skh_groupview_probe_engine(skh_groupview_t *view, const char *address, int64_t now_us)
{
	if (knows_address(view, address))
		return true;
	if (view->probe_started_us != 0)
		return false;
	view->probe_started_us = now_us;
	set_address(view, &view->probe_client, address);
	skh_engine_client_get(view->probe_client, view->options.dialect->report_path,
			      OFFER_TIMEOUT_US, 0, on_offered_report, view);
	return true;
}

void skh_groupview_poll_rank(skh_groupview_t *view, uint32_t rank, int64_t now_us)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	if (!state->engine || state->poll_pending)
		return;
	state->poll_pending = true;
	state->poll_started_us = now_us;
	state->next_poll_us = now_us + ASK_US;
	skh_engine_client_get(state->engine, view->options.dialect->report_path, ASK_TIMEOUT_US,
			      rank, on_report, view);
}

void skh_groupview_poll_silent_ranks(skh_groupview_t *view, int64_t now_us)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		skh_groupview_rank_t *state = &view->ranks[rank];

		if (now_us - state->last_received_us >= SILENT_US && now_us >= state->next_poll_us)
			skh_groupview_poll_rank(view, rank, now_us);
	}
}

/* --- Whether it fits together --- */

static const char *why_unknown(const skh_groupview_t *view, const skh_groupview_rank_t *state,
			       int64_t now_us)
{
	const skh_groupview_rank_t *own = &view->ranks[view->own_rank];

	if (!state->has_report || !state->engine)
		return "never_heard";
	if (now_us - state->state_updated_us > STALE_US)
		return "silent";
	if (state->report.epoch != own->report.epoch)
		return "epoch";
	if (state->report.map_version != own->report.map_version)
		return "map_version";
	return state->map_known ? NULL : "map";
}

bool skh_groupview_is_complete(skh_groupview_t *view, int64_t now_us)
{
	if (!view->has_own_rank || view->n_ranks == 0 ||
	    !view->ranks[view->own_rank].report.group_open)
		return false;
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		const char *why = why_unknown(view, &view->ranks[rank], now_us);

		if (!why)
			continue;
		if (now_us - view->last_logged_us > COMPLAIN_US) {
			view->last_logged_us = now_us;
			skh_log(SKH_LOG_INFO, PART, "Group is not known.", "rank=%u lacks=%s", rank,
				why);
		}
		return false;
	}
	return true;
}

bool skh_groupview_is_held_too_long(const skh_groupview_t *view, int64_t now_us)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		const skh_groupview_rank_t *state = &view->ranks[rank];

		if (state->held_since_us != 0 && now_us - state->held_since_us > HELD_US)
			return true;
	}
	return false;
}
