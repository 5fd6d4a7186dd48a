#include "groupview.h"

#include "clock.h"
#include "log.h"
#include "mapplan.h"
#include "metrics.h"

#include <inttypes.h>
#include <string.h>

#define PART "group"
/* A rank that has sent no report for this long has its engine polled over the network. */
#define MAX_REPORT_SILENCE_US (1300 * SKH_US_PER_MS)
#define POLL_INTERVAL_US      (300 * SKH_US_PER_MS)
#define POLL_TIMEOUT_US	      (320 * SKH_US_PER_MS)
/* State that is older than this is not used for a decision. */
#define MAX_STATE_AGE_US (2500 * SKH_US_PER_MS)
/* Short because the server list may contain addresses that do not respond. */
#define PROBE_TIMEOUT_US (100 * SKH_US_PER_MS)
/* Minimum time over which the pass duration is measured. */
#define MIN_PASS_SPAN_US (250 * SKH_US_PER_MS)
/* A hold that lasts longer than this is considered abandoned and makes a repair due. */
#define MAX_HOLD_US	(250 * SKH_US_PER_MS)
#define LOG_INTERVAL_US (500 * SKH_US_PER_MS)
/* A rank that restarts takes longer than this to join another group. */
#define MAX_CONFIRMATION_AGE_US (300 * SKH_US_PER_MS)

void skh_groupview_init(skh_groupview_t *view, const skh_groupview_options_t *options,
			const skh_engine_spec_t *engine_spec)
{
	*view = (skh_groupview_t){ .options = *options, .engine_spec = *engine_spec };
	(void)g_strlcpy(view->group, options->group, sizeof(view->group));
	view->options.group = NULL;
}

static void free_clients(const skh_groupview_rank_t *state)
{
	if (state->engine)
		skh_engine_client_free(state->engine);
	if (state->relay)
		skh_engine_client_free(state->relay);
}

void skh_groupview_clear(skh_groupview_t *view)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		free_clients(&view->ranks[rank]);
	g_free(view->ranks);
	if (view->probe_client)
		skh_engine_client_free(view->probe_client);
	g_free(view->map);
	g_free(view->next_map);
}

size_t skh_groupview_map_size(const skh_groupview_t *view)
{
	return (size_t)view->engine_spec.expert_sets * view->n_ranks *
	       view->engine_spec.slots_per_rank;
}

/* --- Reports of the ranks' processes --- */

static void resize_group(skh_groupview_t *view, uint32_t n_ranks)
{
	uint32_t n_before = view->n_ranks;

	if (n_ranks == n_before)
		return;
	for (uint32_t rank = n_ranks; rank < n_before; rank++)
		free_clients(&view->ranks[rank]);
	view->ranks = g_renew(skh_groupview_rank_t, view->ranks, n_ranks);
	for (uint32_t rank = n_before; rank < n_ranks; rank++)
		view->ranks[rank] = (skh_groupview_rank_t){ 0 };
	/* The rank beside this process may have another number in the new group. */
	view->has_own_rank = view->has_own_rank && view->own_rank < n_ranks;
	view->n_ranks = n_ranks;
	skh_log(SKH_LOG_INFO, PART, "Group size is known; its state is collected anew.",
		"ranks=%u before=%u sets=%u experts=%u slots=%u", n_ranks, n_before,
		view->engine_spec.expert_sets, view->engine_spec.experts_per_set,
		view->engine_spec.slots_per_rank);
	g_free(view->map);
	g_free(view->next_map);
	view->map = g_new0(uint32_t, skh_groupview_map_size(view) + 1);
	view->next_map = g_new0(uint32_t, skh_groupview_map_size(view) + 1);
	for (uint32_t rank = 0; rank < n_ranks; rank++)
		view->ranks[rank].has_map = false;
}

/* Returns whether the client was replaced, which cancels its calls without a callback. */
static bool set_client(skh_groupview_t *view, skh_engine_client_t **client, const char *address)
{
	if (*client && strcmp(skh_engine_client_address(*client), address) == 0)
		return false;
	if (*client)
		skh_engine_client_free(*client);
	*client = skh_engine_client_new(view->options.loop, address, view->options.pool_options);
	skh_engine_client_expect(*client, &view->engine_spec);
	return true;
}

/* A rank that reports the coordinator's latest map version needs no poll of its map. */
static void update_known_map(skh_groupview_t *view, uint32_t rank,
			     const skh_engine_report_t *report)
{
	uint32_t n_slots = view->engine_spec.slots_per_rank;

	view->ranks[rank].has_map =
		report->epoch == view->next_epoch && report->map_version == view->next_version;
	if (!view->ranks[rank].has_map)
		return;
	for (uint32_t set = 0; set < view->engine_spec.expert_sets; set++) {
		size_t offset = ((size_t)set * view->n_ranks + rank) * n_slots;

		memcpy(view->map + offset, view->next_map + offset, n_slots * sizeof(uint32_t));
	}
}

/* A delayed report may describe a rank's state from before the group switched its map. */
static bool is_from_before_switch(const skh_groupview_t *view, const skh_engine_report_t *report)
{
	return report->epoch == view->next_epoch && report->map_version < view->next_version &&
	       report->pass < view->switch_pass;
}

static void update_state(skh_groupview_t *view, uint32_t rank, const skh_engine_report_t *report,
			 int64_t poll_started_us, int64_t now_us)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	state->state_updated_us = now_us;
	if (is_from_before_switch(view, report))
		return;
	if (state->has_report && (state->report.epoch != report->epoch ||
				  state->report.map_version != report->map_version))
		update_known_map(view, rank, report);
	if (report->held_pass == 0)
		state->held_since_us = 0;
	else if (state->held_since_us == 0)
		state->held_since_us = now_us;
	if (state->has_report && report->pass > state->report.pass)
		state->pass_began_us = now_us;
	state->has_report = true;
	state->report = *report;
	view->options.on_rank_state(view->options.context, rank, poll_started_us, now_us);
}

void skh_groupview_adopt_next_map(skh_groupview_t *view, int64_t pass, int64_t now_us)
{
	view->switch_pass = pass;
	/* Pass durations under the previous map do not predict those under the new one. */
	view->pass_duration_us = 0;
	view->last_pass = pass;
	view->last_pass_us = now_us;
	memcpy(view->map, view->next_map, skh_groupview_map_size(view) * sizeof(uint32_t));
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		skh_engine_report_t *report = &view->ranks[rank].report;

		/* The rank's own report of the switch arrives later. */
		report->map_version = view->next_version;
		report->prepared_version = 0;
		report->armed_version = 0;
		view->ranks[rank].has_map = true;
	}
}

/* Stores one rank's part of the map; @rank_map is [sets][slots]. */
static void store_rank_map(skh_groupview_t *view, uint32_t rank, const uint32_t *rank_map)
{
	uint32_t n_slots = view->engine_spec.slots_per_rank;

	for (uint32_t set = 0; set < view->engine_spec.expert_sets; set++)
		memcpy(view->map + ((size_t)set * view->n_ranks + rank) * n_slots,
		       rank_map + (size_t)set * n_slots, n_slots * sizeof(uint32_t));
	view->ranks[rank].has_map = true;
}

static bool is_log_due(skh_groupview_t *view, int64_t now_us)
{
	if (now_us - view->last_logged_us <= LOG_INTERVAL_US)
		return false;
	view->last_logged_us = now_us;
	return true;
}

static void reject_map(skh_groupview_t *view, const Skh__RankReport *message, int64_t now_us)
{
	skh_metrics_add(SKH_COUNT_BAD_FRAMES, 1);
	if (is_log_due(view, now_us))
		skh_log(SKH_LOG_WARNING, PART,
			"Rank's map has an unknown expert, or one twice, and is ignored.",
			"rank=%u engine=%s version=%" PRId64, message->rank, message->engine,
			message->map_version);
}

static void store_reported_map(skh_groupview_t *view, uint32_t rank, const Skh__RankReport *message,
			       int64_t now_us)
{
	size_t n_entries = (size_t)view->engine_spec.expert_sets * view->engine_spec.slots_per_rank;
	const skh_engine_report_t *report = &view->ranks[rank].report;

	/* A map of another epoch or version, such as from before a change, is ignored. */
	if (!message->map_known || message->n_map != n_entries || message->epoch != report->epoch ||
	    message->map_version != report->map_version)
		return;
	if (skh_mapplan_is_rank_map_valid(&view->engine_spec, message->map))
		store_rank_map(view, rank, message->map);
	else
		reject_map(view, message, now_us);
}

void skh_groupview_forget_maps(skh_groupview_t *view)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		view->ranks[rank].has_map = false;
}

static void measure_pass_duration(skh_groupview_t *view, int64_t pass, int64_t now_us)
{
	int64_t span_us = now_us - view->last_pass_us;

	if (span_us < MIN_PASS_SPAN_US)
		return;
	if (pass > view->last_pass && view->last_pass > 0)
		view->pass_duration_us = span_us / (pass - view->last_pass);
	view->last_pass = pass;
	view->last_pass_us = now_us;
}

static void reject_report(skh_groupview_t *view, const Skh__RankReport *message, int64_t now_us)
{
	skh_metrics_add(SKH_COUNT_BAD_FRAMES, 1);
	if (is_log_due(view, now_us))
		skh_log(SKH_LOG_WARNING, PART, "Rank's report is out of bounds and ignored.",
			"rank=%u size=%u max_size=%u epoch=%" PRId64 " pass=%" PRId64
			" slowdown=%g engine=%s",
			message->rank, message->size, SKH_GROUPVIEW_MAX_RANKS, message->epoch,
			message->pass, message->pace, message->engine);
}

/* A report without a group comes from a process whose engine is in none, or from an old release. */
static void reject_foreign_report(skh_groupview_t *view, const Skh__RankReport *message,
				  int64_t now_us)
{
	skh_metrics_add(SKH_COUNT_FOREIGN_REPORTS, 1);
	if (is_log_due(view, now_us))
		skh_log(SKH_LOG_INFO, PART, "Report of another group is ignored.",
			"rank=%u engine=%s reported_bytes=%zu", message->rank, message->engine,
			strlen(message->group));
}

static void finish_poll(skh_groupview_t *view, uint32_t rank)
{
	if (view->options.on_poll_done)
		view->options.on_poll_done(view->options.context, rank, skh_clock_boot_us());
}

/* The engine's process will report to another coordinator, so nothing here may come from it. */
static void forget_engine(skh_groupview_t *view, uint32_t rank, uint32_t reported_rank)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	if (!state->has_left)
		skh_log(SKH_LOG_INFO, PART, "Engine has left the group or changed its rank.",
			"rank=%u engine=%s reported_rank=%u", rank,
			skh_engine_client_address(state->engine), reported_rank);
	state->has_left = true;
	state->has_report = false;
	state->has_map = false;
	state->confirmed_us = 0;
	state->held_since_us = 0;
	state->report = (skh_engine_report_t){ 0 };
}

/* Sets the address of the engine of @rank. */
static void set_engine(skh_groupview_t *view, uint32_t rank, const char *address)
{
	skh_groupview_rank_t *state = &view->ranks[rank];
	bool was_poll_pending = state->is_poll_pending;

	state->has_left = false;
	if (!set_client(view, &state->engine, address))
		return;
	state->confirmed_us = 0;
	state->is_poll_pending = false;
	state->poll_filter = (skh_report_filter_t){ 0 };
	state->has_report = false;
	state->has_map = false;
	/* An engine that restarted as another rank is not the former rank any more. */
	for (uint32_t other = 0; other < view->n_ranks; other++) {
		const skh_groupview_rank_t *former = &view->ranks[other];

		if (other != rank && former->engine &&
		    strcmp(skh_engine_client_address(former->engine), address) == 0)
			forget_engine(view, other, rank);
	}
	if (was_poll_pending)
		finish_poll(view, rank);
}

static bool has_engine_at(const skh_groupview_t *view, uint32_t rank, const char *address)
{
	const skh_groupview_rank_t *state = &view->ranks[rank];

	return state->engine && !state->has_left &&
	       strcmp(skh_engine_client_address(state->engine), address) == 0;
}

/* Returns the rank whose engine is at @address; the number of ranks if there is none. */
static uint32_t find_rank_of(const skh_groupview_t *view, const char *address)
{
	uint32_t rank = 0;

	while (rank < view->n_ranks && !has_engine_at(view, rank, address))
		rank++;
	return rank;
}

/* Whether a report of @epoch is older than what is known, unless the rank beside this process agrees. */
static bool is_older_epoch(const skh_groupview_t *view, int64_t epoch, int64_t known_epoch)
{
	bool is_own_epoch = view->has_own_rank && epoch == view->ranks[view->own_rank].report.epoch;

	return epoch < known_epoch && !is_own_epoch;
}

/* Whether another engine is known to be @rank in the epoch, or in a later one. */
static bool is_rank_taken(const skh_groupview_t *view, uint32_t rank, const char *address,
			  int64_t epoch, int64_t now_us)
{
	const skh_groupview_rank_t *state = &view->ranks[rank];
	int64_t known_epoch = state->report.epoch;

	if (!state->engine || !state->has_report || state->has_left ||
	    strcmp(skh_engine_client_address(state->engine), address) == 0)
		return false;
	return view->is_pinned ||
	       ((epoch == known_epoch || is_older_epoch(view, epoch, known_epoch)) &&
		now_us - state->state_updated_us <= MAX_STATE_AGE_US);
}

static void log_contradiction(skh_groupview_t *view, const char *address, uint32_t rank,
			      uint32_t known_rank, int64_t epoch, int64_t now_us)
{
	const skh_engine_client_t *known = rank < view->n_ranks ? view->ranks[rank].engine : NULL;

	skh_metrics_add(SKH_COUNT_CONTRADICTING_REPORTS, 1);
	if (is_log_due(view, now_us))
		skh_log(SKH_LOG_WARNING, PART,
			"Rank's report contradicts another one and is ignored.",
			"engine=%s rank=%u known_rank=%d known_engine=%s epoch=%" PRId64
			" changing_map=%d",
			address, rank, known_rank < view->n_ranks ? (int)known_rank : -1,
			known ? skh_engine_client_address(known) : "-", epoch, view->is_pinned);
}

/* The group was formed again, which ends a map change: the rank beside this process says so. */
static bool is_new_own_epoch(const skh_groupview_t *view, bool is_own_rank, int64_t epoch)
{
	return is_own_rank && view->has_own_rank &&
	       epoch > view->ranks[view->own_rank].report.epoch;
}

/*
 * Whether the engine at @address may be @rank. A number that differs from the engine's own one of
 * the same epoch shows that one of the two is wrong, so the known one is forgotten, too.
 */
static bool accept_rank(skh_groupview_t *view, uint32_t rank, const char *address, int64_t epoch,
			bool is_own_rank, int64_t now_us)
{
	uint32_t known_rank;
	int64_t known_epoch;
	bool is_known;

	if (has_engine_at(view, rank, address) || is_new_own_epoch(view, is_own_rank, epoch))
		return true;
	known_rank = find_rank_of(view, address);
	is_known = known_rank < view->n_ranks && view->ranks[known_rank].has_report;
	known_epoch = is_known ? view->ranks[known_rank].report.epoch : 0;
	if (!is_rank_taken(view, rank, address, epoch, now_us) &&
	    !(is_known && (view->is_pinned || epoch == known_epoch ||
			   is_older_epoch(view, epoch, known_epoch))))
		return true;
	log_contradiction(view, address, rank, known_rank, epoch, now_us);
	if (is_known && !view->is_pinned && epoch == known_epoch)
		forget_engine(view, known_rank, rank);
	return false;
}

static bool is_report_in_bounds(const Skh__RankReport *message)
{
	return message->rank < message->size && message->size <= SKH_GROUPVIEW_MAX_RANKS &&
	       message->epoch >= 0 && message->pass >= 0 && message->map_version >= 0 &&
	       message->prepared >= 0 && message->armed >= 0 && message->held >= 0 &&
	       message->pace >= 0.0 && message->pace <= SKH_ENGINE_MAX_SLOWDOWN;
}

bool skh_groupview_record_report(skh_groupview_t *view, const Skh__RankReport *message,
				 bool is_own_rank, int64_t now_us)
{
	const skh_engine_report_t report = {
		.is_in_group = true,
		.is_group_open = message->open,
		.group_size = message->size,
		.rank = message->rank,
		.epoch = message->epoch,
		.pass = message->pass,
		.map_version = message->map_version,
		.prepared_version = message->prepared,
		.armed_version = message->armed,
		.held_pass = message->held,
		/* Not set by older releases. */
		.slowdown = message->pace > 0.0 ? message->pace : 1.0,
	};
	skh_groupview_rank_t *state;

	if (!*message->group || strcmp(message->group, view->group) != 0) {
		reject_foreign_report(view, message, now_us);
		return false;
	}
	if (!is_report_in_bounds(message) ||
	    (view->options.n_ranks != 0 && message->size != view->options.n_ranks)) {
		reject_report(view, message, now_us);
		return false;
	}
	resize_group(view, message->size);
	state = &view->ranks[message->rank];
	/* Datagrams may arrive out of order. */
	if (message->sender == state->sender_id && message->number <= state->sequence)
		return false;
	if (!accept_rank(view, message->rank, message->engine, message->epoch, is_own_rank, now_us))
		return false;
	state->sender_id = message->sender;
	state->sequence = message->number;
	set_engine(view, message->rank, message->engine);
	if (!view->is_pinned || !state->relay)
		(void)set_client(view, &state->relay, message->relay);
	if (is_own_rank) {
		view->own_rank = message->rank;
		view->has_own_rank = true;
		measure_pass_duration(view, message->pass, now_us);
	}
	state->last_received_us = now_us;
	update_state(view, message->rank, &report, 0, now_us);
	store_reported_map(view, message->rank, message, now_us);
	return true;
}

/* --- Polls of engines --- */

static bool is_in_group(const skh_groupview_t *view, const skh_engine_report_t *report)
{
	return report->is_in_group && strcmp(report->group, view->group) == 0;
}

bool skh_groupview_is_confirmed(const skh_groupview_t *view, uint32_t rank, int64_t epoch,
				int64_t now_us)
{
	const skh_groupview_rank_t *state = &view->ranks[rank];

	return state->confirmed_us != 0 && state->confirmed_epoch == epoch &&
	       now_us - state->confirmed_us <= MAX_CONFIRMATION_AGE_US;
}

static void on_map_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_groupview_t *view = context;
	uint32_t n_slots = view->engine_spec.slots_per_rank;
	uint32_t n_sets = view->engine_spec.expert_sets;
	uint32_t *map;
	int64_t version;
	skh_error_t err;

	view->ranks[tag].is_poll_pending = false;
	finish_poll(view, tag);
	if (status != 200 || tag >= view->n_ranks)
		return;
	map = g_new0(uint32_t, (size_t)n_sets * n_slots + 1);
	if (!view->options.dialect->read_map(body, &view->engine_spec, map, &version, &err))
		skh_log(SKH_LOG_WARNING, PART, "Rank's expert map could not be parsed.",
			"rank=%u engine=%s reason=%s", tag,
			skh_engine_client_address(view->ranks[tag].engine), err.text);
	else if (view->ranks[tag].has_report && version == view->ranks[tag].report.map_version)
		store_rank_map(view, tag, map);
	g_free(map);
}

static void request_map(skh_groupview_t *view, uint32_t rank)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	state->is_poll_pending = true;
	skh_engine_client_get(state->engine, view->options.dialect->map_path, POLL_TIMEOUT_US, rank,
			      on_map_response, view);
}

/* During a map change, the engine stays known, but gets no direct order before it names its rank. */
static void handle_other_rank(skh_groupview_t *view, uint32_t rank,
			      const skh_engine_report_t *report)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	state->confirmed_us = 0;
	if (view->is_pinned)
		log_contradiction(view, skh_engine_client_address(state->engine), report->rank,
				  rank, report->epoch, skh_clock_boot_us());
	else
		forget_engine(view, rank, report->rank);
}

static void handle_poll_response(skh_groupview_t *view, uint32_t tag, int32_t status,
				 skh_chunk_t body)
{
	skh_groupview_rank_t *state = &view->ranks[tag];
	int64_t now_us = skh_clock_boot_us();
	skh_engine_report_t report;
	skh_error_t err;
	bool is_new;

	if (status != 200) {
		/* An address from a notice whose engine does not respond may be out of date. */
		state->has_left = state->has_left || !state->has_report;
		return;
	}
	if (!view->options.dialect->read_report(body, &report, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Rank's report could not be parsed.",
			"rank=%u engine=%s reason=%s", tag,
			skh_engine_client_address(state->engine), err.text);
		return;
	}
	is_new = !skh_report_filter_accept(&state->poll_filter, &report, state->poll_started_us);
	if (!is_in_group(view, &report) || report.rank != tag) {
		handle_other_rank(view, tag, &report);
		return;
	}
	state->has_left = false;
	state->confirmed_us = state->poll_started_us;
	state->confirmed_epoch = report.epoch;
	if (is_new && state->has_report) {
		/* The engine is alive; what it says has to be confirmed by the next response. */
		state->next_poll_us = 0;
		state->state_updated_us = now_us;
		view->options.on_rank_state(view->options.context, tag, state->poll_started_us,
					    now_us);
		return;
	}
	update_state(view, tag, &report, state->poll_started_us, now_us);
	if (!view->ranks[tag].has_map)
		request_map(view, tag);
}

static void on_poll_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_groupview_t *view = context;

	view->ranks[tag].is_poll_pending = false;
	handle_poll_response(view, tag, status, body);
	finish_poll(view, tag);
}

bool skh_groupview_has_unknown_ranks(const skh_groupview_t *view)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		if (!view->ranks[rank].engine || view->ranks[rank].has_left)
			return true;
	}
	return false;
}

static void on_probe_response(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_groupview_t *view = context;
	skh_engine_report_t report;
	skh_error_t err;

	(void)tag;
	view->probe_started_us = 0;
	if (status != 200 || !view->options.dialect->read_report(body, &report, &err) ||
	    !is_in_group(view, &report) || report.group_size != view->n_ranks ||
	    report.rank >= view->n_ranks || view->is_pinned ||
	    (view->ranks[report.rank].engine && !view->ranks[report.rank].has_left) ||
	    find_rank_of(view, skh_engine_client_address(view->probe_client)) < view->n_ranks)
		return;
	/* The state is taken from a poll, which has to name the same rank. */
	set_engine(view, report.rank, skh_engine_client_address(view->probe_client));
	skh_groupview_poll_rank(view, report.rank, skh_clock_boot_us());
}

bool skh_groupview_probe_engine(skh_groupview_t *view, const char *address, int64_t now_us)
{
	if (find_rank_of(view, address) < view->n_ranks)
		return true;
	if (view->probe_started_us != 0)
		return false;
	view->probe_started_us = now_us;
	(void)set_client(view, &view->probe_client, address);
	skh_engine_client_get(view->probe_client, view->options.dialect->report_path,
			      PROBE_TIMEOUT_US, 0, on_probe_response, view);
	return true;
}

void skh_groupview_poll_rank(skh_groupview_t *view, uint32_t rank, int64_t now_us)
{
	skh_groupview_rank_t *state = &view->ranks[rank];

	if (!state->engine || state->is_poll_pending)
		return;
	state->is_poll_pending = true;
	state->poll_started_us = now_us;
	state->next_poll_us = now_us + POLL_INTERVAL_US;
	skh_engine_client_get(state->engine, view->options.dialect->report_path, POLL_TIMEOUT_US,
			      rank, on_poll_response, view);
}

char *skh_groupview_format_members(const skh_groupview_t *view)
{
	skh_members_notice_t notice = { .n_ranks = view->n_ranks };
	char *text;

	if (!view->has_own_rank)
		return g_strdup("");
	notice.epoch = view->ranks[view->own_rank].report.epoch;
	notice.members = g_new(skh_member_t, view->n_ranks);
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		const skh_groupview_rank_t *state = &view->ranks[rank];

		if (state->engine && state->has_report)
			notice.members[notice.n_members++] =
				(skh_member_t){ (char *)skh_engine_client_address(state->engine),
						rank };
	}
	text = skh_members_notice_write(&notice);
	g_free(notice.members);
	return text;
}

void skh_groupview_adopt_members(skh_groupview_t *view, const skh_members_notice_t *notice,
				 int64_t now_us)
{
	if (notice->n_ranks != view->n_ranks)
		return;
	for (uint32_t i = 0; i < notice->n_members; i++) {
		const skh_member_t *member = &notice->members[i];

		if (view->ranks[member->rank].engine ||
		    find_rank_of(view, member->address) < view->n_ranks)
			continue;
		set_engine(view, member->rank, member->address);
		skh_groupview_poll_rank(view, member->rank, now_us);
	}
}

void skh_groupview_poll_silent_ranks(skh_groupview_t *view, int64_t now_us)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		skh_groupview_rank_t *state = &view->ranks[rank];

		if (now_us - state->last_received_us >= MAX_REPORT_SILENCE_US &&
		    now_us >= state->next_poll_us)
			skh_groupview_poll_rank(view, rank, now_us);
	}
}

/* --- Completeness --- */

static const char *missing_state(const skh_groupview_t *view, const skh_groupview_rank_t *state,
				 int64_t now_us)
{
	const skh_groupview_rank_t *own = &view->ranks[view->own_rank];

	if (!state->has_report || !state->engine)
		return "never_heard";
	if (now_us - state->state_updated_us > MAX_STATE_AGE_US)
		return "silent";
	if (state->report.epoch != own->report.epoch)
		return "epoch";
	if (state->report.map_version != own->report.map_version)
		return "map_version";
	return state->has_map ? NULL : "map";
}

bool skh_groupview_is_complete(skh_groupview_t *view, int64_t now_us)
{
	if (!view->has_own_rank || view->n_ranks == 0 ||
	    !view->ranks[view->own_rank].report.is_group_open)
		return false;
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		const char *missing = missing_state(view, &view->ranks[rank], now_us);

		if (!missing)
			continue;
		if (is_log_due(view, now_us))
			skh_log(SKH_LOG_INFO, PART,
				"Group state is incomplete; no map change is possible.",
				"rank=%u lacks=%s", rank, missing);
		return false;
	}
	return true;
}

bool skh_groupview_is_held_too_long(const skh_groupview_t *view, int64_t now_us)
{
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		const skh_groupview_rank_t *state = &view->ranks[rank];

		if (state->held_since_us != 0 && now_us - state->held_since_us > MAX_HOLD_US)
			return true;
	}
	return false;
}
