#include "coordinator.h"

#include "clock.h"
#include "countpack.h"
#include "fence.h"
#include "log.h"
#include "mapchange.h"
#include "mapplan.h"
#include "metrics.h"
#include "rankrelay.h"

#include <inttypes.h>
#include <string.h>

#define PART "group"
/* Counts are judged this often; less says little, more comes too late. */
#define OBSERVE_US (70 * SKH_US_PER_MS)
/* A rank that was not heard of for longer is asked over the network. */
#define SILENT_US (900 * SKH_US_PER_MS)
#define ASK_US	  (300 * SKH_US_PER_MS)
/* Counts of ranks that were silent for longer do not count. */
#define STALE_US (2500 * SKH_US_PER_MS)
/* Entries of others may name addresses where nobody answers. */
#define OFFER_TIMEOUT_US (100 * SKH_US_PER_MS)
#define ORDER_TIMEOUT_US (160 * SKH_US_PER_MS)
/* Longer: the process waits for its engine's answer for the time above. */
#define RELAY_TIMEOUT_US (300 * SKH_US_PER_MS)
/* At so short steps a trend is noise; shifts are seen by their distance. */
#define LEVEL_GAIN 0.4
#define TREND_GAIN 0.0
/* Tokens that the ranks of a group must have chosen experts for, by set. */
#define LEAST_TOKENS 3000.0
/*
 * Shares that differ by more from what was expected, in all sets together, mean
 * that other experts are in demand: what was counted before says nothing now.
 */
#define SHIFT_DISTANCE 0.6
/*
 * A change is not begun for less skew than this while passes are long, and for
 * much more while they are short: then copies cost more than they bring.
 */
#define LEAST_GAIN	0.3
#define LEAST_GAIN_IDLE 0.9
/* Skew of a set that quick relief leaves alone, in the same two cases. */
#define RELIEF_TARGET	   1.08
#define RELIEF_TARGET_IDLE 1.6
/* Passes are short below this part of a pass with every slot in use. */
#define SHORT_PASS_PART 0.75
/* Time over which the length of passes is taken. */
#define PASS_SPAN_US (600 * SKH_US_PER_MS)
/* Copies make passes longer: so much of a set's skew is one of them worth. */
#define LOAD_COST 0.006
/* Passes are longer while a rank copies; the best map may take so long ... */
#define COPY_MS 400.0
/* ... and while the skew is greater, a quick relief, which comes first, half of it. */
#define RELIEF_SKEW 1.8
#define RELIEF_MS   200.0
#define MOST_NEW    64.0
/* Places in a map up to which the best one is searched for in a small share of a core. */
#define SEARCH_PLACES 600
/* A hold that nobody seems to want is looked into after this. */
#define HELD_US (250 * SKH_US_PER_MS)
/* A new holder hears all ranks before it decides. */
#define TAKEOVER_US (400 * SKH_US_PER_MS)
#define COMPLAIN_US (500 * SKH_US_PER_MS)

typedef struct rank_state {
	skh_engine_client_t *client; /* NULL before its address is known */
	skh_engine_client_t *relay;  /* its process, which hands orders on */
	bool direct;		     /* the process did not answer the last order */
	bool wants_whole;	     /* the process does not know the map in use */
	bool reported;
	int64_t heard_us; /* of its process */
	int64_t told_us;  /* of its state, by its process or itself */
	uint64_t sender;
	uint64_t number;
	skh_engine_report_t report;
	bool map_known;
	bool asking;
	int64_t ask_us;
	int64_t held_since_us;
} rank_state_t;

struct skh_coordinator {
	skh_coordinator_options_t options;
	skh_engine_shape_t shape;
	rank_state_t ranks[SKH_MAPCHANGE_MAX_RANKS];
	skh_mapchange_t change;
	skh_mapplan_result_t plan;
	skh_engine_client_t *offered; /* an engine that is asked for its rank, or NULL */
	skh_forecast_t **forecasts;   /* one a set */
	uint32_t *map;		      /* in use, [sets][ranks][placements] */
	uint32_t *next;		      /* that the change under way brings */
	double *counts;		      /* of the interval, [sets][experts] */
	double *shares;		      /* expected, [sets][experts] */
	double *before;		      /* shares before the shift that is under way */
	int64_t offered_us;
	int64_t pass_seen; /* own rank's, at pass_seen_us */
	int64_t pass_seen_us;
	int64_t pass_us; /* length of a pass of late; 0 when unknown */
	int64_t observe_us;
	int64_t decide_us;
	int64_t complained_us;
	int64_t change_since_us;
	skh_fence_t fences;
	int64_t fence; /* of the lease; 0 while it is not held */
	uint32_t n_ranks;
	uint32_t own;
	bool has_own;
	bool fresh_counts; /* the shares have changed since the last decision */
	bool shifting;	   /* a shift was seen in the interval before */
	bool changing;
	bool outdated;
	bool repair; /* the last change failed: its leavings must go */
};

skh_coordinator_t *skh_coordinator_new(const skh_coordinator_options_t *options,
				       const skh_engine_shape_t *shape)
{
	skh_coordinator_t *coordinator = g_new0(skh_coordinator_t, 1);

	coordinator->options = *options;
	coordinator->shape = *shape;
	coordinator->counts = g_new0(double, (size_t)shape->sets * shape->experts);
	coordinator->before = g_new0(double, (size_t)shape->sets * shape->experts);
	coordinator->shares = g_new0(double, (size_t)shape->sets * shape->experts);
	coordinator->forecasts = g_new0(skh_forecast_t *, shape->sets);
	for (uint32_t set = 0; set < shape->sets; set++) {
		coordinator->forecasts[set] = skh_forecast_new(shape->experts);
		skh_forecast_set_gains(coordinator->forecasts[set], LEVEL_GAIN, TREND_GAIN);
	}
	return coordinator;
}

void skh_coordinator_free(skh_coordinator_t *coordinator)
{
	for (uint32_t rank = 0; rank < SKH_MAPCHANGE_MAX_RANKS; rank++) {
		if (coordinator->ranks[rank].client)
			skh_engine_client_free(coordinator->ranks[rank].client);
		if (coordinator->ranks[rank].relay)
			skh_engine_client_free(coordinator->ranks[rank].relay);
	}
	if (coordinator->offered)
		skh_engine_client_free(coordinator->offered);
	for (uint32_t set = 0; set < coordinator->shape.sets; set++)
		skh_forecast_free(coordinator->forecasts[set]);
	g_free(coordinator->forecasts);
	g_free(coordinator->counts);
	g_free(coordinator->shares);
	g_free(coordinator->before);
	g_free(coordinator->map);
	g_free(coordinator->next);
	g_free(coordinator);
}

void skh_coordinator_set_weights(skh_coordinator_t *coordinator, double skew_weight,
				 double cost_weight)
{
	coordinator->options.skew_weight = skew_weight;
	coordinator->options.cost_weight = cost_weight;
}

/* --- Reports --- */

static size_t map_size(const skh_coordinator_t *coordinator)
{
	return (size_t)coordinator->shape.sets * coordinator->n_ranks *
	       coordinator->shape.placements;
}

static void set_size(skh_coordinator_t *coordinator, uint32_t n_ranks)
{
	if (n_ranks == coordinator->n_ranks)
		return;
	coordinator->n_ranks = n_ranks;
	g_free(coordinator->map);
	g_free(coordinator->next);
	coordinator->map = g_new0(uint32_t, map_size(coordinator) + 1);
	coordinator->next = g_new0(uint32_t, map_size(coordinator) + 1);
	for (uint32_t rank = 0; rank < SKH_MAPCHANGE_MAX_RANKS; rank++)
		coordinator->ranks[rank].map_known = false;
}

static void set_address(skh_coordinator_t *coordinator, skh_engine_client_t **client,
			const char *address)
{
	if (*client && strcmp(skh_engine_client_address(*client), address) == 0)
		return;
	if (*client)
		skh_engine_client_free(*client);
	*client = skh_engine_client_new(coordinator->options.loop, address,
					coordinator->options.pool_options);
}

/* The map that this coordinator has brought is known without asking. */
static void follow_map(skh_coordinator_t *coordinator, uint32_t rank,
		       const skh_engine_report_t *report)
{
	uint32_t places = coordinator->shape.placements;

	coordinator->ranks[rank].map_known = report->epoch == coordinator->change.epoch &&
					     report->map_version == coordinator->change.version;
	if (!coordinator->ranks[rank].map_known)
		return;
	for (uint32_t set = 0; set < coordinator->shape.sets; set++) {
		size_t at = ((size_t)set * coordinator->n_ranks + rank) * places;

		memcpy(coordinator->map + at, coordinator->next + at, places * sizeof(uint32_t));
	}
}

static void take_state(skh_coordinator_t *coordinator, uint32_t rank,
		       const skh_engine_report_t *report, int64_t now_us)
{
	rank_state_t *state = &coordinator->ranks[rank];

	if (state->reported && (state->report.epoch != report->epoch ||
				state->report.map_version != report->map_version))
		follow_map(coordinator, rank, report);
	if (report->held == 0)
		state->held_since_us = 0;
	else if (state->held_since_us == 0)
		state->held_since_us = now_us;
	state->reported = true;
	state->told_us = now_us;
	state->report = *report;
	if (coordinator->changing)
		skh_mapchange_report(&coordinator->change, rank, report, now_us);
}

static void take_counts(skh_coordinator_t *coordinator, const Skh__RankReport *message)
{
	size_t n = (size_t)coordinator->shape.sets * coordinator->shape.experts;

	if (message->n_counts == n && message->counts.len == skh_countpack_bytes(n))
		skh_countpack_add(message->counts.data, n, message->greatest_count,
				  coordinator->counts);
}

/* @map is the rank's own, [sets][placements]. */
static void place_map(skh_coordinator_t *coordinator, uint32_t rank, const uint32_t *map)
{
	uint32_t places = coordinator->shape.placements;

	for (uint32_t set = 0; set < coordinator->shape.sets; set++)
		memcpy(coordinator->map + ((size_t)set * coordinator->n_ranks + rank) * places,
		       map + (size_t)set * places, places * sizeof(uint32_t));
	coordinator->ranks[rank].map_known = true;
}

static void take_map(skh_coordinator_t *coordinator, uint32_t rank, const Skh__RankReport *message)
{
	size_t n = (size_t)coordinator->shape.sets * coordinator->shape.placements;

	if (message->map_known && message->n_map == n)
		place_map(coordinator, rank, message->map);
}

static void time_passes(skh_coordinator_t *coordinator, int64_t pass, int64_t now_us)
{
	int64_t span_us = now_us - coordinator->pass_seen_us;

	if (span_us < PASS_SPAN_US)
		return;
	if (pass > coordinator->pass_seen && coordinator->pass_seen > 0)
		coordinator->pass_us = span_us / (pass - coordinator->pass_seen);
	coordinator->pass_seen = pass;
	coordinator->pass_seen_us = now_us;
}

void skh_coordinator_report(skh_coordinator_t *coordinator, const Skh__RankReport *message,
			    bool own, int64_t now_us)
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
	};
	rank_state_t *state;

	if (message->size == 0 || message->size > SKH_MAPCHANGE_MAX_RANKS ||
	    message->rank >= message->size)
		return;
	state = &coordinator->ranks[message->rank];
	/* Datagrams may overtake each other. */
	if (message->sender == state->sender && message->number <= state->number)
		return;
	state->sender = message->sender;
	state->number = message->number;
	set_size(coordinator, message->size);
	set_address(coordinator, &state->client, message->engine);
	set_address(coordinator, &state->relay, message->relay);
	if (own) {
		coordinator->own = message->rank;
		coordinator->has_own = true;
		time_passes(coordinator, message->pass, now_us);
	}
	state->heard_us = now_us;
	take_state(coordinator, message->rank, &report, now_us);
	take_counts(coordinator, message);
	take_map(coordinator, message->rank, message);
}

static void on_lists(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_coordinator_t *coordinator = context;
	uint32_t places = coordinator->shape.placements;
	uint32_t sets = coordinator->shape.sets;
	uint32_t *map;
	int64_t version;
	skh_error_t err;

	coordinator->ranks[tag].asking = false;
	if (status != 200)
		return;
	map = g_new0(uint32_t, (size_t)sets * places + 1);
	if (!coordinator->options.dialect->read_lists(body, sets, places, map, &version, &err))
		skh_log(SKH_LOG_WARNING, PART, "Map not read.", "rank=%u reason=%s", tag, err.text);
	else if (version == coordinator->ranks[tag].report.map_version)
		place_map(coordinator, tag, map);
	g_free(map);
}

static void ask_lists(skh_coordinator_t *coordinator, uint32_t rank)
{
	rank_state_t *state = &coordinator->ranks[rank];

	state->asking = true;
	skh_engine_client_get(state->client, coordinator->options.dialect->lists_path,
			      ORDER_TIMEOUT_US * 2, rank, on_lists, coordinator);
}

static void on_report(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_coordinator_t *coordinator = context;
	skh_engine_report_t report;
	skh_error_t err;

	coordinator->ranks[tag].asking = false;
	if (status != 200)
		return;
	if (!coordinator->options.dialect->read_report(body, &report, &err)) {
		skh_log(SKH_LOG_WARNING, PART, "Report not read.", "rank=%u reason=%s", tag,
			err.text);
		return;
	}
	if (report.rank != tag)
		return;
	take_state(coordinator, tag, &report, skh_clock_boot_us());
	if (!coordinator->ranks[tag].map_known)
		ask_lists(coordinator, tag);
}

bool skh_coordinator_lacks_ranks(const skh_coordinator_t *coordinator)
{
	for (uint32_t rank = 0; rank < coordinator->n_ranks; rank++) {
		if (!coordinator->ranks[rank].client)
			return true;
	}
	return false;
}

static bool knows_address(const skh_coordinator_t *coordinator, const char *address)
{
	for (uint32_t rank = 0; rank < coordinator->n_ranks; rank++) {
		const skh_engine_client_t *client = coordinator->ranks[rank].client;

		if (client && strcmp(skh_engine_client_address(client), address) == 0)
			return true;
	}
	return false;
}

static void on_offered_report(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_coordinator_t *coordinator = context;
	skh_engine_report_t report;
	skh_error_t err;

	(void)tag;
	coordinator->offered_us = 0;
	if (status != 200 || !coordinator->options.dialect->read_report(body, &report, &err) ||
	    report.group_size != coordinator->n_ranks || report.rank >= coordinator->n_ranks ||
	    coordinator->ranks[report.rank].client)
		return;
	set_address(coordinator, &coordinator->ranks[report.rank].client,
		    skh_engine_client_address(coordinator->offered));
	take_state(coordinator, report.rank, &report, skh_clock_boot_us());
}

bool skh_coordinator_offer(skh_coordinator_t *coordinator, const char *address, int64_t now_us)
{
	if (knows_address(coordinator, address))
		return true;
	if (coordinator->offered_us != 0)
		return false;
	coordinator->offered_us = now_us;
	set_address(coordinator, &coordinator->offered, address);
	skh_engine_client_get(coordinator->offered, coordinator->options.dialect->report_path,
			      OFFER_TIMEOUT_US, 0, on_offered_report, coordinator);
	return true;
}

/* A rank whose process is silent is asked itself; what it says is a moment old. */
static void ask_silent(skh_coordinator_t *coordinator, int64_t now_us)
{
	for (uint32_t rank = 0; rank < coordinator->n_ranks; rank++) {
		rank_state_t *state = &coordinator->ranks[rank];

		if (!state->client || state->asking || now_us - state->heard_us < SILENT_US ||
		    now_us < state->ask_us)
			continue;
		state->asking = true;
		state->ask_us = now_us + ASK_US;
		skh_engine_client_get(state->client, coordinator->options.dialect->report_path,
				      ORDER_TIMEOUT_US * 2, rank, on_report, coordinator);
	}
}

/* --- Orders --- */

static const char *op_name(skh_engine_op_t op)
{
	static const char *const names[] = {
		[SKH_ENGINE_PREPARE] = "prepare", [SKH_ENGINE_ARM] = "arm",
		[SKH_ENGINE_DISARM] = "disarm",	  [SKH_ENGINE_HOLD] = "hold",
		[SKH_ENGINE_GO] = "go",
	};

	return names[op];
}

static skh_order_answer_t answer_of(int32_t status)
{
	switch (status) {
	case 200:
	case 202:
		return SKH_ORDER_ACCEPTED;
	case 412:
		return SKH_ORDER_OUTDATED;
	case 0:
	case SKH_RANKRELAY_NO_BASE:
	case 502:
	case 503:
	case 504:
		return SKH_ORDER_NO_ANSWER;
	default:
		return SKH_ORDER_CONFLICT;
	}
}

static void send_orders(skh_coordinator_t *coordinator, int64_t now_us);

static void on_order_answer(void *context, uint32_t tag, int32_t status, skh_chunk_t body)
{
	skh_coordinator_t *coordinator = context;
	rank_state_t *state = &coordinator->ranks[tag];
	int64_t now_us = skh_clock_boot_us();
	skh_order_answer_t answer = answer_of(status);

	(void)body;
	/* A process that is gone or frozen must not keep its engine from the order. */
	state->wants_whole = status == SKH_RANKRELAY_NO_BASE;
	state->direct = answer == SKH_ORDER_NO_ANSWER && !state->wants_whole && !state->direct;
	if (answer != SKH_ORDER_ACCEPTED)
		skh_log(SKH_LOG_INFO, PART, "Order not done.",
			"rank=%u op=%s status=%d version=%" PRId64 " direct=%d", tag,
			op_name(coordinator->change.ranks[tag].op), status,
			coordinator->change.version, state->direct);
	if (!coordinator->changing)
		return;
	skh_mapchange_answer(&coordinator->change, tag, answer, now_us);
	coordinator->outdated = coordinator->outdated || answer == SKH_ORDER_OUTDATED;
	send_orders(coordinator, now_us);
}

static void send_direct(skh_coordinator_t *coordinator, uint32_t rank,
			const skh_engine_order_t *order)
{
	char *body = coordinator->options.dialect->write_order(order);

	skh_engine_client_post(
		coordinator->ranks[rank].client, coordinator->options.dialect->order_path,
		skh_chunk_from_string(body), ORDER_TIMEOUT_US, rank, on_order_answer, coordinator);
	free(body);
}

/* The rank's process hands the order on: it is small on the way, and free there. */
static void send_relayed(skh_coordinator_t *coordinator, uint32_t rank,
			 const skh_engine_order_t *order)
{
	skh_buffer_t body = SKH_BUFFER_INIT;
	const skh_rank_map_t base = { coordinator->ranks[rank].report.map_version,
				      map_size(coordinator), coordinator->map };

	skh_rankrelay_pack(order, coordinator->ranks[rank].wants_whole ? NULL : &base, &body);
	skh_engine_client_post(coordinator->ranks[rank].relay, SKH_RANKRELAY_PATH,
			       skh_buffer_chunk(&body), RELAY_TIMEOUT_US, rank, on_order_answer,
			       coordinator);
	skh_buffer_free(&body);
}

static void send_order(skh_coordinator_t *coordinator, uint32_t rank, skh_engine_order_t *order)
{
	const rank_state_t *state = &coordinator->ranks[rank];

	order->map = coordinator->next;
	order->sets = coordinator->shape.sets;
	order->ranks = coordinator->n_ranks;
	order->places = coordinator->shape.placements;
	skh_log(SKH_LOG_DEBUG, PART, "Order sent.",
		"rank=%u op=%s version=%" PRId64 " pass=%" PRId64, rank, op_name(order->op),
		order->version, order->pass);
	skh_metrics_add(SKH_COUNT_ORDERS, 1);
	if (state->relay && !state->direct)
		send_relayed(coordinator, rank, order);
	else
		send_direct(coordinator, rank, order);
}

static void send_orders(skh_coordinator_t *coordinator, int64_t now_us)
{
	skh_engine_order_t order;

	for (uint32_t rank = 0; coordinator->changing && rank < coordinator->n_ranks; rank++) {
		if (coordinator->ranks[rank].client &&
		    skh_mapchange_next(&coordinator->change, rank, now_us, &order))
			send_order(coordinator, rank, &order);
	}
}

/* --- Decisions --- */

static const char *why_unknown(const skh_coordinator_t *coordinator, const rank_state_t *state,
			       int64_t now_us)
{
	const rank_state_t *own = &coordinator->ranks[coordinator->own];

	if (!state->reported || !state->client)
		return "never_heard";
	if (now_us - state->told_us > STALE_US)
		return "silent";
	if (state->report.epoch != own->report.epoch)
		return "epoch";
	if (state->report.map_version != own->report.map_version)
		return "map_version";
	return state->map_known ? NULL : "map";
}

/* Everything that a decision needs is known of all ranks, and fits together. */
static bool is_group_known(skh_coordinator_t *coordinator, int64_t now_us)
{
	if (!coordinator->has_own || coordinator->n_ranks == 0 ||
	    !coordinator->ranks[coordinator->own].report.group_open)
		return false;
	for (uint32_t rank = 0; rank < coordinator->n_ranks; rank++) {
		const char *why = why_unknown(coordinator, &coordinator->ranks[rank], now_us);

		if (!why)
			continue;
		if (now_us - coordinator->complained_us > COMPLAIN_US) {
			coordinator->complained_us = now_us;
			skh_log(SKH_LOG_INFO, PART, "Group is not known.", "rank=%u lacks=%s", rank,
				why);
		}
		return false;
	}
	return true;
}

static bool has_leavings(const skh_coordinator_t *coordinator, int64_t now_us)
{
	for (uint32_t rank = 0; rank < coordinator->n_ranks; rank++) {
		const rank_state_t *state = &coordinator->ranks[rank];

		if (state->held_since_us != 0 && now_us - state->held_since_us > HELD_US)
			return true;
	}
	return coordinator->repair;
}

static bool has_counts(const skh_coordinator_t *coordinator)
{
	double tokens = 0.0;

	for (uint32_t i = 0; i < coordinator->shape.experts; i++)
		tokens += coordinator->counts[i];
	return tokens >= LEAST_TOKENS;
}

static bool has_shifted(const skh_coordinator_t *coordinator)
{
	uint32_t experts = coordinator->shape.experts;
	double distance = 0.0;

	for (uint32_t set = 0; set < coordinator->shape.sets; set++)
		distance += skh_forecast_distance(coordinator->forecasts[set],
						  coordinator->counts + (size_t)set * experts);
	return distance > SHIFT_DISTANCE * (double)coordinator->shape.sets;
}

/* Counts of one set as shares. */
static void share_out(const double *counts, uint32_t n, double *shares)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < n; i++)
		sum += counts[i];
	for (uint32_t i = 0; i < n; i++)
		shares[i] = sum > 0.0 ? counts[i] / sum : 1.0 / (double)n;
}

/* During a shift the counts are a mixture: they are replaced by where it will end. */
static double stretch_counts(skh_coordinator_t *coordinator)
{
	uint32_t experts = coordinator->shape.experts;
	double *now = g_new(double, experts);
	double gone = 0.0;

	for (uint32_t set = 0; set < coordinator->shape.sets; set++) {
		double *counts = coordinator->counts + (size_t)set * experts;

		share_out(counts, experts, now);
		gone += skh_forecast_outcome(coordinator->before + (size_t)set * experts, now,
					     experts, counts);
		skh_forecast_restart(coordinator->forecasts[set]);
	}
	g_free(now);
	return gone / (double)coordinator->shape.sets;
}

/*
 * The interval in which a shift is seen began before it: its counts are stretched
 * to where the shift ends. The next interval lies behind it and stands alone.
 */
static void follow_shift(skh_coordinator_t *coordinator)
{
	size_t n = (size_t)coordinator->shape.sets * coordinator->shape.experts;
	double gone;

	if (coordinator->shifting) {
		coordinator->shifting = false;
		for (uint32_t set = 0; set < coordinator->shape.sets; set++)
			skh_forecast_restart(coordinator->forecasts[set]);
	} else if (has_shifted(coordinator)) {
		coordinator->shifting = true;
		memcpy(coordinator->before, coordinator->shares, n * sizeof(double));
		gone = stretch_counts(coordinator);
		skh_log(SKH_LOG_INFO, PART, "Demand shifts.", "gone=%.2f", gone);
	}
}

/* Takes the counts of the interval into the forecasts; writes the expected shares. */
static void foretell(skh_coordinator_t *coordinator)
{
	uint32_t experts = coordinator->shape.experts;

	follow_shift(coordinator);
	for (uint32_t set = 0; set < coordinator->shape.sets; set++) {
		skh_forecast_t *forecast = coordinator->forecasts[set];

		skh_forecast_observe(forecast, coordinator->counts + (size_t)set * experts);
		memcpy(coordinator->shares + (size_t)set * experts, skh_forecast_shares(forecast),
		       experts * sizeof(double));
	}
	memset(coordinator->counts, 0,
	       sizeof(double) * coordinator->shape.sets * coordinator->shape.experts);
}

static void begin_change(skh_coordinator_t *coordinator, int64_t now_us)
{
	const rank_state_t *own = &coordinator->ranks[coordinator->own];
	int64_t fence = skh_fence_next(&coordinator->fences, coordinator->fence);

	/* Fences only grow, from holder to holder, and so do versions named after them. */
	skh_mapchange_init(&coordinator->change, coordinator->n_ranks, coordinator->own,
			   own->report.epoch, fence, fence, now_us);
	coordinator->changing = true;
	coordinator->change_since_us = now_us;
	for (uint32_t rank = 0; rank < coordinator->n_ranks; rank++) {
		if (coordinator->ranks[rank].reported)
			skh_mapchange_report(&coordinator->change, rank,
					     &coordinator->ranks[rank].report, now_us);
	}
	skh_log(SKH_LOG_INFO, PART, "Map change begins.",
		"version=%" PRId64 " epoch=%" PRId64 " skew_before=%.3f skew_after=%.3f new=%u"
		" most_new=%u repair=%d",
		fence, own->report.epoch, coordinator->plan.skew_before,
		coordinator->plan.skew_after, coordinator->plan.n_new, coordinator->plan.most_new,
		coordinator->repair);
	send_orders(coordinator, now_us);
}

/* Counts are taken into the forecasts in steady steps, also while a change is under way. */
static void observe(skh_coordinator_t *coordinator, int64_t now_us)
{
	if (now_us < coordinator->observe_us || !has_counts(coordinator))
		return;
	coordinator->observe_us = now_us + OBSERVE_US;
	coordinator->fresh_counts = true;
	foretell(coordinator);
}

/* Experts that a rank can copy in @time_ms; one at least. */
static uint32_t copies_in(const skh_engine_shape_t *shape, double time_ms)
{
	double bits = shape->expert_mb * 8.0e6;
	double copy_ms = shape->link_mbps > 0.0 ? bits / (shape->link_mbps * 1000.0) : 0.0;
	double most = copy_ms > 0.0 ? (time_ms + copy_ms / 2.0) / copy_ms : MOST_NEW;

	return (uint32_t)CLAMP(most, 1.0, MOST_NEW);
}

static bool has_short_passes(const skh_coordinator_t *coordinator)
{
	const skh_engine_shape_t *shape = &coordinator->shape;
	double full_ms = (double)shape->steps_a_pass *
			 (shape->step_ms + (double)shape->slots * shape->step_ms_each);
	double pass_ms = (double)coordinator->pass_us / (double)SKH_US_PER_MS;

	return pass_ms > 0.0 && pass_ms < SHORT_PASS_PART * full_ms;
}

static void decide(skh_coordinator_t *coordinator, int64_t now_us)
{
	const skh_engine_shape_t *shape = &coordinator->shape;
	double skew = skh_mapplan_skew(&coordinator->shape, coordinator->n_ranks,
				       coordinator->shares, coordinator->map);
	bool idle = has_short_passes(coordinator);
	const skh_mapplan_weights_t weights = {
		.quick_target = idle ? RELIEF_TARGET_IDLE : RELIEF_TARGET,
		.skew_weight = coordinator->options.skew_weight,
		.cost_weight = coordinator->options.cost_weight,
		.load_cost = LOAD_COST,
		.most_new = copies_in(shape, skew > RELIEF_SKEW ? RELIEF_MS : COPY_MS),
		.quick = skew > RELIEF_SKEW || map_size(coordinator) > SEARCH_PLACES,
	};
	bool repair = has_leavings(coordinator, now_us);
	bool judged = coordinator->fresh_counts;

	if (!judged && !repair)
		return;
	coordinator->fresh_counts = false;
	memcpy(coordinator->next, coordinator->map, map_size(coordinator) * sizeof(uint32_t));
	coordinator->plan = (skh_mapplan_result_t){ 0 };
	if (judged)
		skh_mapplan_make(&coordinator->shape, coordinator->n_ranks, &weights,
				 coordinator->shares, coordinator->next, &coordinator->plan);
	if (!skh_mapplan_is_valid(&coordinator->shape, coordinator->n_ranks, coordinator->next)) {
		skh_log(SKH_LOG_ERROR, PART, "Plan is no map.", "judged=%d", judged);
		return;
	}
	if (!repair && (coordinator->plan.n_new == 0 ||
			coordinator->plan.skew_before - coordinator->plan.skew_after <
				(idle ? LEAST_GAIN_IDLE : LEAST_GAIN)))
		return;
	begin_change(coordinator, now_us);
}

static void end_change(skh_coordinator_t *coordinator, int64_t now_us)
{
	const skh_mapchange_t *change = &coordinator->change;
	bool done = change->phase == SKH_CHANGE_DONE;

	if (!done && change->phase != SKH_CHANGE_FAILED)
		return;
	coordinator->changing = false;
	/* A rank may be left armed or holding. */
	coordinator->repair = !done && change->held_since_us != 0;
	skh_log(SKH_LOG_INFO, PART, done ? "Map changed." : "Map change failed.",
		"version=%" PRId64 " took_ms=%" PRId64 " reason=%s", change->version,
		(now_us - coordinator->change_since_us) / SKH_US_PER_MS, done ? "-" : change->why);
	skh_metrics_add(done ? SKH_COUNT_MAP_CHANGES : SKH_COUNT_MAP_FAILURES, 1);
}

/* Another holder's change must not be taken for one's own. */
static void follow_lease(skh_coordinator_t *coordinator, int64_t fence, int64_t now_us)
{
	if (fence == coordinator->fence)
		return;
	if (coordinator->changing)
		skh_log(SKH_LOG_INFO, PART, "Map change left.", "version=%" PRId64,
			coordinator->change.version);
	coordinator->fence = fence;
	coordinator->changing = false;
	coordinator->outdated = false;
	coordinator->repair = false;
	coordinator->decide_us = now_us + TAKEOVER_US;
}

bool skh_coordinator_tick(skh_coordinator_t *coordinator, int64_t fence, int64_t now_us)
{
	follow_lease(coordinator, fence, now_us);
	if (fence == 0)
		return true;
	ask_silent(coordinator, now_us);
	observe(coordinator, now_us);
	if (coordinator->changing) {
		skh_mapchange_tick(&coordinator->change, now_us);
		send_orders(coordinator, now_us);
		end_change(coordinator, now_us);
	} else if (now_us >= coordinator->decide_us && is_group_known(coordinator, now_us)) {
		decide(coordinator, now_us);
	}
	return !coordinator->outdated;
}
