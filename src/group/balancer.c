#include "balancer.h"

#include "address.h"
#include "admin.h"
#include "clock.h"
#include "coordinator.h"
#include "count_codec.h"
#include "count_reporter.h"
#include "election.h"
#include "group_id.h"
#include "log.h"
#include "metrics.h"
#include "process.h"
#include "rank_poller.h"
#include "rankrelay.h"
#include "settings_watcher.h"
#include "wire.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "balancer"
/* Interval at which due orders and reports are sent. */
#define TICK_INTERVAL_MS 20
/* Shorter during a map change because the group may be stopped meanwhile. */
#define MAP_CHANGE_TICK_INTERVAL_MS 8
/* Orders change the rank's state, so it is polled often only during a map change. */
#define POLL_INTERVAL_US	    (150 * SKH_US_PER_MS)
#define MAP_CHANGE_POLL_INTERVAL_US (8 * SKH_US_PER_MS)
/* A rank that copies experts for longer than this is polled at the normal interval again. */
#define MAX_PREPARE_US (600 * SKH_US_PER_MS)
/* Control budget of 2 KB per second minus the traffic to the store. */
#define REPORT_BYTES_PER_S	1500
#define DATAGRAM_OVERHEAD_BYTES 42
/* A report is sent to the coordinator at least this often, even if nothing has changed. */
#define HEARTBEAT_INTERVAL_US (500 * SKH_US_PER_MS)
#define MAX_DATAGRAM_BYTES    16384
/* Part of a report that is not counts: addresses, state and the rank's part of the map. */
#define MAX_STATE_BYTES 4096
/* Limit of the time that a planned stop waits for the end of a map change. */
#define STOP_DELAY_US	   (1 * SKH_US_PER_S)
#define CONNECT_TIMEOUT_US (300 * SKH_US_PER_MS)
#define UNACKED_TIMEOUT_US (1 * SKH_US_PER_S)
#define IDLE_TIMEOUT_US	   (4 * SKH_US_PER_S)
/* Older states of the engine are not reported: it may have restarted in another group since. */
#define MAX_SNAPSHOT_AGE_US (1 * SKH_US_PER_S)
/*
 * After a longer time without a tick the process was frozen, and its engine may be in another
 * group. Ticks of processes with a small share of a core come up to 100 ms late.
 */
#define FROZEN_AFTER_US (300 * SKH_US_PER_MS)
/* The notice is written once a second at most; composing it takes 0.2 ms for 1,024 ranks. */
#define MEMBERS_INTERVAL_US (200 * SKH_US_PER_MS)
/* A coordinator goes on without its engine's response after this time, which is a poll's limit. */
#define MAX_RESUME_US (400 * SKH_US_PER_MS)

/* What the process keeps for the group of its rank; starts anew when the group changes. */
typedef struct group {
	char name[SKH_GROUP_NAME_SIZE];
	uint32_t n_ranks;
	skh_election_t *election;
	skh_election_view_t election_view;    /* as last read */
	skh_coordinator_t *coordinator;	      /* NULL until the engine spec is known */
	skh_count_reporter_t *count_reporter; /* NULL until the engine spec is known */
	guint next_probe_index;	 /* index of the server that is probed next for its rank */
	int64_t next_members_us; /* when the members notice is composed next */
	char last_coordinator[64];
	bool has_logged_counts_too_large;
} group_t;

/* Copy of what the status page shows, for the admin thread. */
typedef struct status {
	char group[SKH_GROUP_NAME_SIZE]; /* "" without a group */
	uint32_t rank;
	uint32_t n_ranks;
	int64_t epoch;
	int64_t map_version;
	skh_election_view_t election;
	skh_coordinator_change_t last_change; /* of the process that coordinates */
	skh_coordinator_change_t last_abandoned;
} status_t;

typedef struct balancer {
	const skh_settings_t *settings;
	const skh_dialect_t *dialect;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_udp_t udp;
	skh_upstream_pool_options_t pool_options;
	skh_board_t *board;
	skh_admin_t *admin;
	skh_store_t *release_store;
	skh_engine_client_t *engine;
	skh_rank_poller_t *poller;
	skh_rankrelay_t *relay;
	skh_settings_watcher_t *settings_watcher;
	group_t *group; /* NULL while the engine names none */
	uint64_t sender_id;
	uint64_t report_number;
	int64_t last_tick_us;
	int64_t resumed_us; /* when the process ran again after it was frozen; 0 if it never was */
	int64_t last_report_us;
	bool report_now;      /* the rank's state or the coordinator has changed */
	bool is_changing_map; /* this rank prepares a map, or this process coordinates a change */
	int64_t stop_deadline_us; /* 0 unless a planned stop has begun */
	GMutex status_lock;
	status_t status; /* protected by the lock */
} balancer_t;

static bool is_ready(void *context)
{
	(void)context;
	return true;
}

static json_t *change_to_json(const skh_coordinator_change_t *change)
{
	if (change->version == 0)
		return json_null();
	return json_pack("{s:I, s:b, s:s, s:I}", "version", (json_int_t)change->version,
			 "succeeded", change->succeeded, "reason", change->reason, "age_ms",
			 (json_int_t)((skh_clock_boot_us() - change->ended_us) / SKH_US_PER_MS));
}

static json_t *get_status(void *context)
{
	balancer_t *balancer = context;
	status_t status;

	g_mutex_lock(&balancer->status_lock);
	status = balancer->status;
	g_mutex_unlock(&balancer->status_lock);
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:b, s:I, s:s, s:o, s:o}", "id",
			 balancer->settings->id, "role", "balancer", "failure_domain",
			 balancer->settings->failure_domain, "group", status.group, "rank",
			 (int)status.rank, "ranks", (int)status.n_ranks, "epoch",
			 (json_int_t)status.epoch, "map", (json_int_t)status.map_version,
			 "coordinates", status.election.is_holder, "fence",
			 (json_int_t)status.election.fence, "coordinator",
			 status.election.coordinator_address, "last_change",
			 change_to_json(&status.last_change), "last_abandoned",
			 change_to_json(&status.last_abandoned));
}

static void update_status(balancer_t *balancer)
{
	const skh_engine_report_t *report = &skh_rank_poller_snapshot(balancer->poller)->report;
	status_t status = { .rank = report->rank,
			    .epoch = report->epoch,
			    .map_version = report->map_version };

	if (balancer->group) {
		(void)g_strlcpy(status.group, balancer->group->name, sizeof(status.group));
		status.n_ranks = balancer->group->n_ranks;
		status.election = balancer->group->election_view;
		if (balancer->group->coordinator)
			skh_coordinator_get_last_changes(balancer->group->coordinator,
							 &status.last_change,
							 &status.last_abandoned);
	}
	g_mutex_lock(&balancer->status_lock);
	balancer->status = status;
	g_mutex_unlock(&balancer->status_lock);
}

static const skh_admin_ops_t admin_ops = { .is_ready = is_ready, .get_status = get_status };

/* A report with counts must fit into a datagram of MAX_DATAGRAM_BYTES. */
static bool can_report_counts(balancer_t *balancer)
{
	const skh_engine_spec_t *spec;
	size_t n_counts;
	size_t max_bytes = MAX_DATAGRAM_BYTES - MAX_STATE_BYTES;

	if (!balancer->group || !balancer->group->count_reporter)
		return false;
	spec = &balancer->group->election_view.engine_spec;
	n_counts = (size_t)spec->expert_sets * spec->experts_per_set;
	if (skh_count_codec_encoded_size(n_counts) <= max_bytes)
		return true;
	if (!balancer->group->has_logged_counts_too_large)
		skh_log(SKH_LOG_ERROR, PART,
			"Expert counts do not fit into a datagram; the map cannot follow demand.",
			"sets=%u experts=%u bytes=%zu max_bytes=%zu", spec->expert_sets,
			spec->experts_per_set, skh_count_codec_encoded_size(n_counts), max_bytes);
	balancer->group->has_logged_counts_too_large = true;
	return false;
}

static bool has_valid_lease(const balancer_t *balancer, int64_t now_us)
{
	return balancer->group->election_view.is_holder &&
	       now_us < balancer->group->election_view.lease_deadline_us;
}

static void pack_counts(const balancer_t *balancer, Skh__RankReport *message)
{
	const skh_engine_spec_t *spec = &balancer->group->election_view.engine_spec;
	const skh_demand_sample_t *sample =
		skh_count_reporter_pending_sample(balancer->group->count_reporter);
	size_t n_counts = (size_t)spec->expert_sets * spec->experts_per_set;

	message->counts.len = skh_count_codec_encoded_size(n_counts);
	message->counts.data = g_malloc0(message->counts.len + 1);
	message->n_counts = (uint32_t)n_counts;
	message->from_pass = sample->from_pass;
	message->to_pass = sample->to_pass;
	message->greatest_count =
		skh_count_codec_encode(sample->counts, n_counts, message->counts.data);
}

static void fill_report(balancer_t *balancer, const skh_rank_snapshot_t *snapshot, bool with_counts,
			Skh__RankReport *message)
{
	const skh_engine_report_t *report = &snapshot->report;

	message->service = (char *)balancer->settings->backend_service;
	message->group = (char *)report->group;
	message->engine = (char *)balancer->settings->engine_address;
	message->rank = report->rank;
	message->size = report->group_size;
	message->open = report->is_group_open;
	message->epoch = report->epoch;
	message->pass = report->pass;
	message->map_version = report->map_version;
	message->prepared = report->prepared_version;
	message->armed = report->armed_version;
	message->held = report->held_pass;
	message->pace = report->slowdown;
	message->sender = balancer->sender_id;
	message->number = ++balancer->report_number;
	message->relay = (char *)balancer->settings->gossip_listen;
	message->map_known = snapshot->has_map;
	message->n_map = snapshot->has_map ? snapshot->n_map : 0;
	message->map = snapshot->map;
	if (with_counts)
		pack_counts(balancer, message);
}

static size_t send_report(balancer_t *balancer, const Skh__RankReport *message)
{
	uint8_t *packed;
	struct sockaddr_in destination;
	uv_buf_t buffer;
	size_t len;

	/* There is no coordinator, or its address is unknown. */
	if (!skh_address_parse(balancer->group->election_view.coordinator_address, &destination))
		return 0;
	packed = g_malloc(skh__rank_report__get_packed_size(message) + 1);
	len = skh__rank_report__pack(message, packed);
	buffer = uv_buf_init((char *)packed, (unsigned int)len);
	/* A failed send is ignored because the next report replaces this one. */
	(void)uv_udp_try_send(&balancer->udp, &buffer, 1, (const struct sockaddr *)&destination);
	g_free(packed);
	skh_metrics_add(SKH_COUNT_CONTROL_BYTES_OUT, len);
	return len + DATAGRAM_OVERHEAD_BYTES;
}

static bool is_coordinating(const balancer_t *balancer, int64_t now_us)
{
	return balancer->group && balancer->group->coordinator && has_valid_lease(balancer, now_us);
}

/* Whether the engine has described its state recently, and after the process was last frozen. */
static bool is_snapshot_current(const balancer_t *balancer, int64_t now_us)
{
	const skh_rank_snapshot_t *snapshot = skh_rank_poller_snapshot(balancer->poller);

	return snapshot->has_report && snapshot->requested_us >= balancer->resumed_us &&
	       now_us - snapshot->requested_us < MAX_SNAPSHOT_AGE_US;
}

/* A change whose lease has expired still needs the reports of its own rank to end. */
static bool is_changing_group(const balancer_t *balancer)
{
	return balancer->group && balancer->group->coordinator &&
	       skh_coordinator_is_changing_map(balancer->group->coordinator);
}

/* Passes the state of the rank beside this process to the coordinator in this process. */
static void handle_own_report(balancer_t *balancer, int64_t now_us)
{
	const skh_rank_snapshot_t *snapshot = skh_rank_poller_snapshot(balancer->poller);
	Skh__RankReport message = SKH__RANK_REPORT__INIT;

	if (!is_snapshot_current(balancer, now_us))
		return;
	fill_report(balancer, snapshot, false, &message);
	skh_coordinator_record_report(balancer->group->coordinator, &message, true, now_us);
}

/* Sends the rank's report to the coordinator in another process if one is due. */
static void report_if_due(balancer_t *balancer, int64_t now_us)
{
	const skh_rank_snapshot_t *snapshot = skh_rank_poller_snapshot(balancer->poller);
	bool with_counts = can_report_counts(balancer) &&
			   skh_count_reporter_is_due(balancer->group->count_reporter, now_us);
	Skh__RankReport message = SKH__RANK_REPORT__INIT;
	size_t n_sent_bytes;

	if (!balancer->group || !is_snapshot_current(balancer, now_us) ||
	    is_coordinating(balancer, now_us) ||
	    (!with_counts && !balancer->report_now &&
	     now_us - balancer->last_report_us < HEARTBEAT_INTERVAL_US))
		return;
	fill_report(balancer, snapshot, with_counts, &message);
	n_sent_bytes = send_report(balancer, &message);
	g_free(message.counts.data);
	if (n_sent_bytes == 0)
		return;
	balancer->report_now = false;
	balancer->last_report_us = now_us;
	if (balancer->group->count_reporter)
		skh_count_reporter_record_sent(balancer->group->count_reporter, n_sent_bytes,
					       with_counts, now_us);
}

static void on_rank_change(void *context)
{
	balancer_t *balancer = context;
	int64_t now_us = skh_clock_boot_us();

	balancer->report_now = true;
	if (is_coordinating(balancer, now_us) || is_changing_group(balancer))
		handle_own_report(balancer, now_us);
	report_if_due(balancer, now_us);
}

static void on_counts(void *context, const skh_demand_sample_t *sample)
{
	balancer_t *balancer = context;
	int64_t now_us = skh_clock_boot_us();

	if (is_coordinating(balancer, now_us))
		skh_coordinator_record_sample(balancer->group->coordinator, sample, now_us);
	/* Collected while coordinating too, for the next coordinator if the lease is lost. */
	if (balancer->group && balancer->group->count_reporter)
		(void)skh_count_reporter_add_sample(balancer->group->count_reporter, sample,
						    now_us);
	report_if_due(balancer, now_us);
}

static skh_election_t *start_election(balancer_t *balancer, const char *group)
{
	const skh_settings_t *settings = balancer->settings;
	const skh_election_options_t options = {
		/* The thread of the previous group's election may still be in a long poll. */
		.store = balancer->dialect->open_store(skh_settings_store_endpoint(settings, 0),
						       settings->store_timeout_ms),
		.release_store = balancer->release_store,
		.store_endpoint = skh_settings_store_endpoint(settings, 0),
		.store_timeout_ms = settings->store_timeout_ms,
		.dialect = balancer->dialect,
		.group = group,
		.address = settings->gossip_listen,
		.service = settings->backend_service,
	};

	return skh_election_start(&options);
}

static void leave_group(balancer_t *balancer)
{
	group_t *group = balancer->group;

	if (!group)
		return;
	skh_log(SKH_LOG_INFO, PART, "Engine has left its group; its state is dropped.",
		"ranks=%u coordinates=%d", group->n_ranks, group->election_view.is_holder);
	skh_election_abandon(group->election);
	if (group->coordinator)
		skh_coordinator_free(group->coordinator);
	if (group->count_reporter)
		skh_count_reporter_free(group->count_reporter);
	g_free(group);
	balancer->group = NULL;
	skh_log_set_context("");
	skh_metrics_set_own_group("", "");
}

/*
 * A group whose name can't be part of a store key has no election, so its map is left as it is.
 * Called on a change of the group, so each is logged once.
 */
static bool can_take_part(const balancer_t *balancer, const skh_engine_report_t *report)
{
	size_t max_bytes = balancer->dialect->max_key_bytes;
	size_t key_bytes;

	if (report->has_unusable_group) {
		skh_log(SKH_LOG_WARNING, PART,
			"Name of the engine's group can't be used; its map stays as it is.",
			"engine=%s max_bytes=%d", balancer->settings->engine_address,
			SKH_GROUP_NAME_SIZE - 1);
		return false;
	}
	if (!report->is_in_group || report->group_size == 0)
		return false;
	key_bytes = skh_election_max_key_bytes(balancer->settings->backend_service, report->group);
	if (max_bytes == 0 || key_bytes <= max_bytes)
		return true;
	skh_log(SKH_LOG_WARNING, PART,
		"Names of the engine's service and group are too long for a store key; "
		"the group's map stays as it is.",
		"engine=%s group_bytes=%zu key_bytes=%zu max_key_bytes=%zu",
		balancer->settings->engine_address, strlen(report->group), key_bytes, max_bytes);
	return false;
}

/* A group is known once the engine names it with its size; engines may name it before it is open. */
static void join_group(balancer_t *balancer, const skh_engine_report_t *report)
{
	g_autofree char *escaped = NULL;
	g_autofree char *log_context = NULL;
	group_t *group;

	if (!can_take_part(balancer, report))
		return;
	group = g_new0(group_t, 1);
	(void)g_strlcpy(group->name, report->group, sizeof(group->name));
	group->n_ranks = report->group_size;
	escaped = skh_group_id_escape(group->name);
	log_context = g_strconcat("group=", escaped, NULL);
	skh_log_set_context(log_context);
	skh_metrics_set_own_group(balancer->settings->backend_service, group->name);
	skh_log(SKH_LOG_INFO, PART, "Engine is in a group; taking part in its election.",
		"ranks=%u rank=%u epoch=%" PRId64, group->n_ranks, report->rank, report->epoch);
	group->election = start_election(balancer, group->name);
	balancer->group = group;
	balancer->report_now = true;
}

static void on_group_change(void *context)
{
	balancer_t *balancer = context;

	leave_group(balancer);
	skh_rankrelay_reset(balancer->relay);
	join_group(balancer, &skh_rank_poller_snapshot(balancer->poller)->report);
}

static const skh_rank_poller_ops_t poller_ops = {
	.on_change = on_rank_change,
	.on_counts = on_counts,
	.on_group_change = on_group_change,
};

static void on_datagram(uv_udp_t *udp, ssize_t n_bytes, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	balancer_t *balancer = udp->data;
	Skh__RankReport *message;

	(void)flags;
	if (n_bytes <= 0 || !from || !balancer->group || !balancer->group->coordinator)
		return;
	skh_metrics_add(SKH_COUNT_CONTROL_BYTES_IN, (uint64_t)n_bytes);
	message = skh__rank_report__unpack(NULL, (size_t)n_bytes, (const uint8_t *)buffer->base);
	if (!message) {
		skh_metrics_add(SKH_COUNT_BAD_FRAMES, 1);
		return;
	}
	if (!skh_wire_is_whole(&message->base, (size_t)n_bytes))
		skh_metrics_add(SKH_COUNT_BAD_FRAMES, 1);
	else if (strcmp(message->service, balancer->settings->backend_service) == 0)
		skh_coordinator_record_report(balancer->group->coordinator, message, false,
					      skh_clock_boot_us());
	skh__rank_report__free_unpacked(message, NULL);
}

static void alloc_buffer(uv_handle_t *handle, size_t size_hint, uv_buf_t *buffer)
{
	static char bytes[MAX_DATAGRAM_BYTES];

	(void)handle;
	(void)size_hint;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void apply_engine_spec(balancer_t *balancer)
{
	const skh_coordinator_options_t options = {
		.loop = &balancer->loop,
		.dialect = balancer->dialect,
		.pool_options = &balancer->pool_options,
		.group = balancer->group->name,
		.n_ranks = balancer->group->n_ranks,
		.skew_weight = (double)balancer->settings->skew_weight,
		.cost_weight = (double)balancer->settings->cost_weight,
	};

	if (balancer->group->coordinator || !balancer->group->election_view.has_engine_spec ||
	    balancer->group->election_view.engine_spec.expert_sets == 0)
		return;
	skh_rank_poller_set_engine_spec(balancer->poller,
					&balancer->group->election_view.engine_spec);
	balancer->group->count_reporter = skh_count_reporter_new(
		&balancer->group->election_view.engine_spec, REPORT_BYTES_PER_S, skh_random_u64());
	balancer->group->coordinator =
		skh_coordinator_new(&options, &balancer->group->election_view.engine_spec);
}

/* Ranks whose own process has sent no report are found through the server list. */
static void probe_unknown_ranks(balancer_t *balancer, int64_t now_us)
{
	bool probe_wanted = balancer->group->coordinator && has_valid_lease(balancer, now_us) &&
			    skh_coordinator_has_unknown_ranks(balancer->group->coordinator);
	GPtrArray *servers = skh_election_get_servers(balancer->group->election, probe_wanted);

	/* Round-robin, so that an address that does not respond cannot block the others. */
	for (guint i = 0; probe_wanted && i < servers->len; i++) {
		guint index = balancer->group->next_probe_index % servers->len;

		if (!skh_coordinator_probe_engine(balancer->group->coordinator,
						  g_ptr_array_index(servers, index), now_us))
			break;
		balancer->group->next_probe_index = index + 1;
	}
	g_ptr_array_unref(servers);
}

/* Gateways send fewer requests to a slow rank because all other ranks wait for it. */
static void publish_slow_ranks(balancer_t *balancer)
{
	g_autofree char *text = skh_coordinator_format_slow_ranks(balancer->group->coordinator);

	skh_election_set_slow_ranks(balancer->group->election, text);
}

static void publish_members(balancer_t *balancer, int64_t now_us)
{
	g_autofree char *text = NULL;

	if (now_us < balancer->group->next_members_us)
		return;
	balancer->group->next_members_us = now_us + MEMBERS_INTERVAL_US;
	text = skh_coordinator_format_members(balancer->group->coordinator);
	skh_election_set_members(balancer->group->election, text);
}

/* Reports of all ranks may take half a second, and the list of servers has several groups. */
static void adopt_members(balancer_t *balancer, int64_t now_us)
{
	g_autofree char *text = skh_election_take_members(balancer->group->election);
	skh_members_notice_t *notice = text ? skh_members_notice_parse(text) : NULL;

	if (!text)
		return;
	skh_log(notice ? SKH_LOG_INFO : SKH_LOG_WARNING, PART,
		notice ? "Polling the members that the last coordinator has named."
		       : "Members notice is invalid and ignored.",
		"bytes=%zu members=%u", strlen(text), notice ? notice->n_members : 0);
	if (notice)
		skh_coordinator_adopt_members(balancer->group->coordinator, notice, now_us);
	skh_members_notice_free(notice);
}

static void run_coordinator(balancer_t *balancer, int64_t now_us)
{
	/* While the process stops, a change is brought to an end as without the lease. */
	bool acts_as_holder = has_valid_lease(balancer, now_us) && balancer->stop_deadline_us == 0;
	int64_t fence = acts_as_holder ? balancer->group->election_view.fence : 0;

	/* The size of the group is known from the engine's own report. */
	if (is_coordinating(balancer, now_us) && is_snapshot_current(balancer, now_us))
		adopt_members(balancer, now_us);
	probe_unknown_ranks(balancer, now_us);

	/* A process that was frozen first learns whether its engine is still in the group. */
	if (skh_rank_poller_snapshot(balancer->poller)->requested_us < balancer->resumed_us &&
	    now_us - balancer->resumed_us < MAX_RESUME_US)
		return;
	if (balancer->group->coordinator &&
	    !skh_coordinator_tick(balancer->group->coordinator, fence, now_us)) {
		skh_log(SKH_LOG_WARNING, PART, "A later coordinator exists; resigning the lease.",
			"fence=%" PRId64, fence);
		skh_election_resign(balancer->group->election);
	}
	if (is_coordinating(balancer, now_us)) {
		publish_slow_ranks(balancer);
		publish_members(balancer, now_us);
	}
}

static void stop_when_possible(balancer_t *balancer, int64_t now_us)
{
	if (balancer->stop_deadline_us == 0) {
		skh_log(SKH_LOG_INFO, PART, "Planned stop begins.", "coordinates=%d",
			balancer->group && balancer->group->election_view.is_holder);
		balancer->stop_deadline_us = now_us + STOP_DELAY_US;
	}
	if (now_us >= balancer->stop_deadline_us || !balancer->group ||
	    !balancer->group->coordinator ||
	    !skh_coordinator_may_hold_group(balancer->group->coordinator))
		uv_stop(&balancer->loop);
}

static void apply_settings(balancer_t *balancer, int64_t now_us)
{
	const skh_settings_t *settings =
		skh_settings_watcher_poll(balancer->settings_watcher, now_us);

	if (!settings)
		return;
	balancer->settings = settings;
	if (balancer->group && balancer->group->coordinator)
		skh_coordinator_set_weights(balancer->group->coordinator,
					    (double)settings->skew_weight,
					    (double)settings->cost_weight);
}

/* A new coordinator knows nothing about this rank, so the next report is sent at once. */
static void update_election_view(balancer_t *balancer, int64_t now_us)
{
	skh_election_get_view(balancer->group->election, &balancer->group->election_view);
	if (strcmp(balancer->group->last_coordinator,
		   balancer->group->election_view.coordinator_address) == 0)
		return;
	(void)g_strlcpy(balancer->group->last_coordinator,
			balancer->group->election_view.coordinator_address,
			sizeof(balancer->group->last_coordinator));
	balancer->report_now = true;
	if (balancer->group->count_reporter)
		skh_count_reporter_expedite(balancer->group->count_reporter, now_us);
}

static void update_intervals(balancer_t *balancer, int64_t now_us)
{
	const skh_engine_report_t *report = &skh_rank_poller_snapshot(balancer->poller)->report;
	int64_t prepared_us = 0;
	int64_t version = skh_rankrelay_last_prepared_version(balancer->relay, &prepared_us);
	bool is_preparing = version > report->prepared_version && version > report->map_version &&
			    now_us - prepared_us < MAX_PREPARE_US;
	bool is_changing_map = is_preparing || is_changing_group(balancer);

	skh_rank_poller_set_report_period(
		balancer->poller, is_changing_map ? MAP_CHANGE_POLL_INTERVAL_US : POLL_INTERVAL_US);
	if (is_changing_map != balancer->is_changing_map)
		uv_timer_set_repeat(&balancer->tick, is_changing_map ? MAP_CHANGE_TICK_INTERVAL_MS
								     : TICK_INTERVAL_MS);
	balancer->is_changing_map = is_changing_map;
}

static void run_group(balancer_t *balancer, int64_t now_us)
{
	update_election_view(balancer, now_us);
	apply_engine_spec(balancer);
	if (is_coordinating(balancer, now_us) || is_changing_group(balancer))
		handle_own_report(balancer, now_us);
	report_if_due(balancer, now_us);
	run_coordinator(balancer, now_us);
}

static void note_freeze(balancer_t *balancer, int64_t now_us)
{
	int64_t pause_us = now_us - balancer->last_tick_us;

	if (balancer->last_tick_us != 0 && pause_us > FROZEN_AFTER_US) {
		balancer->resumed_us = now_us;
		skh_rank_poller_poll_now(balancer->poller);
		skh_log(SKH_LOG_INFO, PART, "Process was frozen; asking the engine for its state.",
			"pause_ms=%" PRId64, pause_us / SKH_US_PER_MS);
	}
	balancer->last_tick_us = now_us;
}

static void on_tick(uv_timer_t *timer)
{
	balancer_t *balancer = timer->data;
	int64_t now_us = skh_clock_boot_us();

	if (skh_process_stop_requests() > 0)
		stop_when_possible(balancer, now_us);
	apply_settings(balancer, now_us);
	note_freeze(balancer, now_us);
	update_intervals(balancer, now_us);
	skh_rank_poller_tick(balancer->poller, now_us);
	if (balancer->group)
		run_group(balancer, now_us);
	update_status(balancer);
}

static bool open_udp(balancer_t *balancer, skh_error_t *err)
{
	const char *address = balancer->settings->gossip_listen;
	struct sockaddr_in own_address;
	int result = skh_address_parse(address, &own_address) ? 0 : UV_EINVAL;

	(void)uv_udp_init(&balancer->loop, &balancer->udp);
	balancer->udp.data = balancer;
	if (result == 0)
		result = uv_udp_bind(&balancer->udp, (const struct sockaddr *)&own_address, 0);
	if (result == 0)
		result = uv_udp_recv_start(&balancer->udp, alloc_buffer, on_datagram);
	return result == 0 ||
	       skh_error_set(err, SKH_CONFIG_INVALID, "cannot listen on UDP address %s: %s",
			     address, uv_strerror(result));
}

static bool start(balancer_t *balancer, skh_error_t *err)
{
	const skh_settings_t *settings = balancer->settings;

	balancer->sender_id = skh_random_u64();
	g_mutex_init(&balancer->status_lock);
	balancer->pool_options = (skh_upstream_pool_options_t){
		.attempt_id_header = "",
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.unacked_timeout_us = UNACKED_TIMEOUT_US,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.max_idle_connections = 2,
	};
	(void)uv_loop_init(&balancer->loop);
	if (!open_udp(balancer, err))
		return false;
	balancer->engine = skh_engine_client_new(&balancer->loop, settings->engine_address,
						 &balancer->pool_options);
	balancer->poller =
		skh_rank_poller_new(balancer->engine, balancer->dialect, &poller_ops, balancer);
	balancer->relay = skh_rankrelay_start(&balancer->loop, settings->gossip_listen,
					      balancer->engine, balancer->poller, balancer->dialect,
					      &balancer->pool_options, err);
	if (!balancer->relay)
		return false;
	balancer->board = skh_board_new();
	balancer->admin = skh_admin_start(settings->admin_listen, &admin_ops, balancer,
					  balancer->board, NULL, err);
	if (!balancer->admin)
		return false;
	balancer->release_store = balancer->dialect->open_store(
		skh_settings_store_endpoint(settings, 0), settings->store_timeout_ms);
	(void)uv_timer_init(&balancer->loop, &balancer->tick);
	balancer->tick.data = balancer;
	(void)uv_timer_start(&balancer->tick, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
	skh_log(SKH_LOG_INFO, PART, "Balancer runs.", "id=%s engine=%s service=%s", settings->id,
		settings->engine_address, settings->backend_service);
	return true;
}

static int run(balancer_t *balancer)
{
	skh_error_t err;

	balancer->dialect = skh_dialect_find(balancer->settings->dialect, &err);
	if (!balancer->dialect || !start(balancer, &err)) {
		skh_log(SKH_LOG_ERROR, PART, "Start failed.", "reason=%s", err.text);
		return 1;
	}
	(void)uv_run(&balancer->loop, UV_RUN_DEFAULT);
	if (balancer->group)
		skh_election_stop(balancer->group->election);
	skh_admin_stop(balancer->admin);
	skh_log(SKH_LOG_INFO, PART, "Balancer stopped.", "id=%s", balancer->settings->id);
	return 0;
}

int skh_balancer_main(const skh_settings_t *settings)
{
	/* Static because threads may use the state until the process ends. */
	static balancer_t balancer;

	skh_process_setup(settings);
	balancer.settings = settings;
	balancer.settings_watcher = skh_settings_watcher_new(settings);
	return run(&balancer);
}
