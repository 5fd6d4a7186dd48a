#include "balancer.h"

#include "address.h"
#include "admin.h"
#include "clock.h"
#include "coordinator.h"
#include "count_reporter.h"
#include "count_codec.h"
#include "election.h"
#include "feed.h"
#include "log.h"
#include "metrics.h"
#include "process.h"
#include "rankrelay.h"
#include "rank_poller.h"
#include "settings_watcher.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "balancer"
/* Orders and reports are looked after this often ... */
#define TICK_MS 20
/* ... and while a change of the map is under way: the group may stand still for it. */
#define BUSY_TICK_MS 8
/* The rank's state changes by orders, which are followed closely, or seldom. */
#define REPORT_US      (150 * SKH_US_PER_MS)
#define BUSY_REPORT_US (8 * SKH_US_PER_MS)
/* A rank that copies for longer than this is no longer watched closely. */
#define COPYING_US (600 * SKH_US_PER_MS)
/* The control budget of 2 KB a second, less what the store takes. */
#define BYTES_PER_S    1500
#define DATAGRAM_BYTES 42
/* The coordinator hears of each rank this often, news or none. */
#define ALIVE_US	   (500 * SKH_US_PER_MS)
#define MAX_DATAGRAM	   16384
#define CONNECT_TIMEOUT_US (300 * SKH_US_PER_MS)
#define SILENCE_TIMEOUT_US (1 * SKH_US_PER_S)
#define MAX_IDLE_US	   (4 * SKH_US_PER_S)

typedef struct balancer {
	const skh_settings_t *settings;
	const skh_dialect_t *dialect;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_udp_t udp;
	skh_upstream_pool_options_t pool_options;
	skh_store_t *store;
	skh_board_t *board;
	skh_admin_t *admin;
	skh_election_t *election;
	skh_engine_client_t *engine;
	skh_rank_poller_t *watch;
	skh_rankrelay_t *relay;
	skh_settings_watcher_t *reload;
	char *notice_key;
	skh_coordinator_t *coordinator; /* NULL before the engines' shape is known */
	skh_election_view_t lease;
	guint offer_next; /* index of the server that is asked next for its rank */
	uint64_t sender;
	uint64_t number;
	skh_count_reporter_t *counts; /* NULL before the engines' shape is known */
	int64_t told_us;
	bool tell_now; /* the rank's state has changed */
	bool busy;     /* a change of the map is under way here */
	char coordinated_by[64];
	bool stopping;
} balancer_t;

static bool is_ready(void *context)
{
	(void)context;
	return true;
}

static json_t *status(void *context)
{
	balancer_t *balancer = context;
	skh_election_view_t lease;

	skh_election_get_view(balancer->election, &lease);
	return json_pack("{s:s, s:s, s:s, s:b, s:I, s:s}", "id", balancer->settings->id, "role",
			 "balancer", "failure_domain", balancer->settings->failure_domain,
			 "coordinates", lease.is_holder, "fence", (json_int_t)lease.fence,
			 "coordinator", lease.coordinator_address);
}

static const skh_admin_ops_t admin_ops = { .is_ready = is_ready, .get_status = status };

static bool holds_lease(const balancer_t *balancer, int64_t now_us)
{
	return balancer->lease.is_holder && now_us < balancer->lease.lease_deadline_us;
}

static void pack_counts(const balancer_t *balancer, Skh__RankReport *message)
{
	const skh_engine_spec_t *shape = &balancer->lease.engine_spec;
	const skh_demand_sample_t *sample = skh_count_reporter_pending_sample(balancer->counts);
	size_t n = (size_t)shape->expert_sets * shape->experts_per_set;

	message->counts.len = skh_count_codec_encoded_size(n);
	message->counts.data = g_malloc0(message->counts.len + 1);
	message->n_counts = (uint32_t)n;
	message->from_pass = sample->from_pass;
	message->to_pass = sample->to_pass;
	message->greatest_count = skh_count_codec_encode(sample->counts, n, message->counts.data);
}

static void fill_report(balancer_t *balancer, const skh_rank_snapshot_t *news, bool with_counts,
			Skh__RankReport *message)
{
	const skh_engine_report_t *report = &news->report;

	message->service = (char *)balancer->settings->backend_service;
	message->engine = (char *)balancer->settings->engine_address;
	message->rank = report->rank;
	message->size = report->group_size;
	message->open = report->group_open;
	message->epoch = report->epoch;
	message->pass = report->pass;
	message->map_version = report->map_version;
	message->prepared = report->prepared_version;
	message->armed = report->armed_version;
	message->held = report->held_pass;
	message->pace = report->slowdown;
	message->sender = balancer->sender;
	message->number = ++balancer->number;
	message->relay = (char *)balancer->settings->gossip_listen;
	message->map_known = news->has_map;
	message->n_map = news->has_map ? news->n_map : 0;
	message->map = news->map;
	if (with_counts)
		pack_counts(balancer, message);
}

static size_t send_report(balancer_t *balancer, const Skh__RankReport *message)
{
	uint8_t *packed;
	struct sockaddr_in to;
	uv_buf_t buffer;
	size_t len;

	/* Nobody coordinates, or it is not known who. */
	if (!skh_address_parse(balancer->lease.coordinator_address, &to))
		return 0;
	packed = g_malloc(skh__rank_report__get_packed_size(message) + 1);
	len = skh__rank_report__pack(message, packed);
	buffer = uv_buf_init((char *)packed, (unsigned int)len);
	/* A report that does not go out is made good by the next. */
	(void)uv_udp_try_send(&balancer->udp, &buffer, 1, (const struct sockaddr *)&to);
	g_free(packed);
	skh_metrics_add(SKH_COUNT_CONTROL_BYTES_OUT, len);
	return len + DATAGRAM_BYTES;
}

static bool coordinates(const balancer_t *balancer, int64_t now_us)
{
	return balancer->coordinator && holds_lease(balancer, now_us);
}

/* This process coordinates: it sees its own rank each time. */
static void tell_oneself(balancer_t *balancer, int64_t now_us)
{
	const skh_rank_snapshot_t *news = skh_rank_poller_snapshot(balancer->watch);
	Skh__RankReport message = SKH__RANK_REPORT__INIT;

	if (!news->has_report)
		return;
	fill_report(balancer, news, false, &message);
	skh_coordinator_handle_report(balancer->coordinator, &message, true, now_us);
}

/* Tells another process, which coordinates, of the rank. */
static void tell(balancer_t *balancer, int64_t now_us)
{
	const skh_rank_snapshot_t *news = skh_rank_poller_snapshot(balancer->watch);
	bool with_counts = balancer->counts && skh_count_reporter_is_due(balancer->counts, now_us);
	Skh__RankReport message = SKH__RANK_REPORT__INIT;
	size_t sent;

	if (!news->has_report || coordinates(balancer, now_us) ||
	    (!with_counts && !balancer->tell_now && now_us - balancer->told_us < ALIVE_US))
		return;
	fill_report(balancer, news, with_counts, &message);
	sent = send_report(balancer, &message);
	g_free(message.counts.data);
	if (sent == 0)
		return;
	balancer->tell_now = false;
	balancer->told_us = now_us;
	if (balancer->counts)
		skh_count_reporter_record_sent(balancer->counts, sent, with_counts, now_us);
}

static void on_rank_changed(void *context)
{
	balancer_t *balancer = context;
	int64_t now_us = skh_clock_boot_us();

	balancer->tell_now = true;
	if (coordinates(balancer, now_us))
		tell_oneself(balancer, now_us);
	else
		tell(balancer, now_us);
}

static void on_look(void *context, const skh_demand_sample_t *sample)
{
	balancer_t *balancer = context;
	int64_t now_us = skh_clock_boot_us();

	if (coordinates(balancer, now_us))
		skh_coordinator_handle_sample(balancer->coordinator, sample, now_us);
	/* Also there: it may lose the lease. */
	if (balancer->counts)
		(void)skh_count_reporter_add_sample(balancer->counts, sample, now_us);
	tell(balancer, now_us);
}

static const skh_rank_poller_ops_t watch_ops = {
	.on_change = on_rank_changed,
	.on_counts = on_look,
};

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	balancer_t *balancer = udp->data;
	Skh__RankReport *message;

	(void)flags;
	if (n <= 0 || !from || !balancer->coordinator)
		return;
	skh_metrics_add(SKH_COUNT_CONTROL_BYTES_IN, (uint64_t)n);
	message = skh__rank_report__unpack(NULL, (size_t)n, (const uint8_t *)buffer->base);
	if (!message) {
		skh_metrics_add(SKH_COUNT_BAD_FRAMES, 1);
		return;
	}
	if (strcmp(message->service, balancer->settings->backend_service) == 0)
		skh_coordinator_handle_report(balancer->coordinator, message, false,
					      skh_clock_boot_us());
	skh__rank_report__free_unpacked(message, NULL);
}

static void give_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
	static char bytes[MAX_DATAGRAM];

	(void)handle;
	(void)wanted;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void follow_shape(balancer_t *balancer)
{
	const skh_coordinator_options_t options = {
		.loop = &balancer->loop,
		.dialect = balancer->dialect,
		.pool_options = &balancer->pool_options,
		.skew_weight = (double)balancer->settings->skew_weight,
		.cost_weight = (double)balancer->settings->cost_weight,
	};

	if (balancer->coordinator || !balancer->lease.has_engine_spec ||
	    balancer->lease.engine_spec.expert_sets == 0)
		return;
	skh_rank_poller_set_engine_spec(balancer->watch, &balancer->lease.engine_spec);
	balancer->counts =
		skh_count_reporter_new(&balancer->lease.engine_spec, BYTES_PER_S, skh_random_u64());
	balancer->coordinator = skh_coordinator_new(&options, &balancer->lease.engine_spec);
}

/* Ranks whose own process never spoke are found in the list of servers. */
static void find_ranks(balancer_t *balancer, int64_t now_us)
{
	bool wanted = balancer->coordinator && holds_lease(balancer, now_us) &&
		      skh_coordinator_has_unknown_ranks(balancer->coordinator);
	GPtrArray *servers = skh_election_get_servers(balancer->election, wanted);

	/* In turn, as an entry where nobody answers must not keep the others out. */
	for (guint i = 0; wanted && i < servers->len; i++) {
		guint at = balancer->offer_next % servers->len;

		if (!skh_coordinator_probe_engine(balancer->coordinator,
						  g_ptr_array_index(servers, at), now_us))
			break;
		balancer->offer_next = at + 1;
	}
	g_ptr_array_unref(servers);
}

/* Gateways send less to a rank that all others wait for. */
static void tell_slow_ranks(balancer_t *balancer)
{
	g_autofree char *text = skh_coordinator_slow_ranks(balancer->coordinator);

	skh_election_set_notice(balancer->election, text);
}

static void coordinate(balancer_t *balancer, int64_t now_us)
{
	int64_t fence = holds_lease(balancer, now_us) ? balancer->lease.fence : 0;

	find_ranks(balancer, now_us);

	if (balancer->coordinator && !skh_coordinator_tick(balancer->coordinator, fence, now_us)) {
		skh_log(SKH_LOG_WARNING, PART, "A later coordinator exists.", "fence=%" PRId64,
			fence);
		skh_election_resign(balancer->election);
	}
	if (coordinates(balancer, now_us))
		tell_slow_ranks(balancer);
}

static void close_all(balancer_t *balancer)
{
	skh_log(SKH_LOG_INFO, PART, "Planned stop.", "coordinates=%d", balancer->lease.is_holder);
	balancer->stopping = true;
	uv_stop(&balancer->loop);
}

static void follow_settings(balancer_t *balancer, int64_t now_us)
{
	const skh_settings_t *fresh = skh_settings_watcher_poll(balancer->reload, now_us);

	if (!fresh)
		return;
	balancer->settings = fresh;
	if (balancer->coordinator)
		skh_coordinator_set_weights(balancer->coordinator, (double)fresh->skew_weight,
					    (double)fresh->cost_weight);
}

/* Who coordinates from now on knows nothing yet. */
static void follow_lease(balancer_t *balancer, int64_t now_us)
{
	skh_election_get_view(balancer->election, &balancer->lease);
	if (strcmp(balancer->coordinated_by, balancer->lease.coordinator_address) == 0)
		return;
	(void)g_strlcpy(balancer->coordinated_by, balancer->lease.coordinator_address,
			sizeof(balancer->coordinated_by));
	balancer->tell_now = true;
	if (balancer->counts)
		skh_count_reporter_expedite(balancer->counts, now_us);
}

static void follow_pace(balancer_t *balancer, int64_t now_us)
{
	const skh_engine_report_t *report = &skh_rank_poller_snapshot(balancer->watch)->report;
	int64_t since_us = 0;
	int64_t version = skh_rankrelay_last_prepared(balancer->relay, &since_us);
	bool copying = version > report->prepared_version && version > report->map_version &&
		       now_us - since_us < COPYING_US;
	bool busy = copying || (coordinates(balancer, now_us) &&
				skh_coordinator_is_changing_map(balancer->coordinator));

	skh_rank_poller_set_report_period(balancer->watch, busy ? BUSY_REPORT_US : REPORT_US);
	if (busy != balancer->busy)
		uv_timer_set_repeat(&balancer->tick, busy ? BUSY_TICK_MS : TICK_MS);
	balancer->busy = busy;
}

static void on_tick(uv_timer_t *timer)
{
	balancer_t *balancer = timer->data;
	int64_t now_us = skh_clock_boot_us();

	if (skh_process_stop_requests() > 0) {
		close_all(balancer);
		return;
	}
	follow_settings(balancer, now_us);
	follow_lease(balancer, now_us);
	follow_shape(balancer);
	follow_pace(balancer, now_us);
	skh_rank_poller_tick(balancer->watch, now_us);
	if (coordinates(balancer, now_us))
		tell_oneself(balancer, now_us);
	else
		tell(balancer, now_us);
	coordinate(balancer, now_us);
}

static bool open_udp(balancer_t *balancer, skh_error_t *err)
{
	const char *address = balancer->settings->gossip_listen;
	struct sockaddr_in own;
	int code = skh_address_parse(address, &own) ? 0 : UV_EINVAL;

	(void)uv_udp_init(&balancer->loop, &balancer->udp);
	balancer->udp.data = balancer;
	if (code == 0)
		code = uv_udp_bind(&balancer->udp, (const struct sockaddr *)&own, 0);
	if (code == 0)
		code = uv_udp_recv_start(&balancer->udp, give_buffer, on_datagram);
	return code == 0 || skh_error_set(err, SKH_CONFIG_INVALID, "can't use UDP %s: %s", address,
					  uv_strerror(code));
}

static void start_election(balancer_t *balancer, char *prefix)
{
	const skh_settings_t *settings = balancer->settings;

	const skh_election_options_t options = {
		.store = balancer->store,
		.release_store = balancer->dialect->open_store(
			skh_settings_store_endpoint(settings, 0), settings->store_timeout_ms),
		.dialect = balancer->dialect,
		.prefix = prefix,
		.notice_key = balancer->notice_key,
		.address = settings->gossip_listen,
		.service = settings->backend_service,
	};

	balancer->election = skh_election_start(&options);
}

static bool start(balancer_t *balancer, char *prefix, skh_error_t *err)
{
	const skh_settings_t *settings = balancer->settings;

	balancer->sender = skh_random_u64();
	balancer->notice_key = g_strconcat(SKH_RANK_NOTICE_PREFIX, settings->backend_service, NULL);
	balancer->pool_options = (skh_upstream_pool_options_t){
		.attempt_id_header = "",
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.unacked_timeout_us = SILENCE_TIMEOUT_US,
		.idle_timeout_us = MAX_IDLE_US,
		.max_idle_connections = 2,
	};
	(void)uv_loop_init(&balancer->loop);
	if (!open_udp(balancer, err))
		return false;
	balancer->engine = skh_engine_client_new(&balancer->loop, settings->engine_address,
						 &balancer->pool_options);
	balancer->watch =
		skh_rank_poller_new(balancer->engine, balancer->dialect, &watch_ops, balancer);
	balancer->relay =
		skh_rankrelay_start(&balancer->loop, settings->gossip_listen, balancer->engine,
				    balancer->dialect, &balancer->pool_options, err);
	if (!balancer->relay)
		return false;
	balancer->board = skh_board_new();
	balancer->admin = skh_admin_start(settings->admin_listen, &admin_ops, balancer,
					  balancer->board, NULL, err);
	if (!balancer->admin)
		return false;
	balancer->store = balancer->dialect->open_store(skh_settings_store_endpoint(settings, 0),
							settings->store_timeout_ms);
	start_election(balancer, prefix);
	(void)uv_timer_init(&balancer->loop, &balancer->tick);
	balancer->tick.data = balancer;
	(void)uv_timer_start(&balancer->tick, on_tick, TICK_MS, TICK_MS);
	skh_log(SKH_LOG_INFO, PART, "Balancer runs.", "id=%s engine=%s service=%s", settings->id,
		settings->engine_address, settings->backend_service);
	return true;
}

static int run(balancer_t *balancer)
{
	g_autofree char *prefix =
		g_strdup_printf("skylarkhead/groups/%s/", balancer->settings->backend_service);
	skh_error_t err;

	balancer->dialect = skh_dialect_find(balancer->settings->dialect, &err);
	if (!balancer->dialect || !start(balancer, prefix, &err)) {
		skh_log(SKH_LOG_ERROR, PART, "Start failed.", "reason=%s", err.text);
		return 1;
	}
	(void)uv_run(&balancer->loop, UV_RUN_DEFAULT);
	skh_election_stop(balancer->election);
	skh_admin_stop(balancer->admin);
	skh_log(SKH_LOG_INFO, PART, "Balancer has stopped.", "id=%s", balancer->settings->id);
	return 0;
}

int skh_balancer_main(const skh_settings_t *settings)
{
	/* Threads may use it up to the end of the process. */
	static balancer_t balancer;

	skh_process_setup(settings);
	balancer.settings = settings;
	balancer.reload = skh_settings_watcher_new(settings);
	return run(&balancer);
}
