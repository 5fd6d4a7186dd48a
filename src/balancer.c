#include "balancer.h"

#include "address.h"
#include "admin.h"
#include "clock.h"
#include "coordinator.h"
#include "countpack.h"
#include "election.h"
#include "log.h"
#include "metrics.h"
#include "process.h"
#include "rankrelay.h"
#include "rankwatch.h"
#include "reload.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART	"balancer"
#define TICK_MS 25
/* The control budget of 2 KB a second, less what the store takes. */
#define BYTES_PER_S    1500
#define DATAGRAM_BYTES 42
#define LEAST_PAUSE_US (50 * SKH_US_PER_MS)
/* The coordinator's own rank is a sample of all: it shows a shift first. */
#define OWN_COUNTS_US (50 * SKH_US_PER_MS)
#define COUNTS_US     (75 * SKH_US_PER_MS)
/*
 * A report tells of about this long before it. Reports of a large group are 0.7 s
 * apart; told whole, what was before a shift would hide it.
 */
#define TOLD_SPAN_US	   (175 * SKH_US_PER_MS)
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
	skh_pool_options_t pool_options;
	skh_store_t *store;
	skh_board_t *board;
	skh_admin_t *admin;
	skh_election_t *election;
	skh_engine_client_t *engine;
	skh_rankwatch_t *watch;
	skh_rankrelay_t *relay;
	skh_reload_t *reload;
	skh_coordinator_t *coordinator; /* NULL before the engines' shape is known */
	skh_election_view_t lease;
	guint offer_next; /* index of the server that is asked next for its rank */
	uint64_t sender;
	uint64_t number;
	int64_t tell_us; /* next report with counts */
	bool tell_now;	 /* the rank's state has changed */
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

	skh_election_look(balancer->election, &lease);
	return json_pack("{s:s, s:s, s:s, s:b, s:I, s:s}", "id", balancer->settings->id, "role",
			 "balancer", "failure_domain", balancer->settings->failure_domain,
			 "coordinates", lease.holds, "fence", (json_int_t)lease.fence,
			 "coordinator", lease.coordinator);
}

static const skh_admin_ops_t admin_ops = { .is_ready = is_ready, .status = status };

static bool holds_lease(const balancer_t *balancer, int64_t now_us)
{
	return balancer->lease.holds && now_us < balancer->lease.holds_till_us;
}

static void pack_counts(const skh_rank_news_t *news, Skh__RankReport *message)
{
	message->counts.len = skh_countpack_bytes(news->n_counts);
	message->counts.data = g_malloc0(message->counts.len + 1);
	message->n_counts = news->n_counts;
	message->greatest_count =
		skh_countpack_write(news->counts, news->n_counts, message->counts.data);
}

static void fill_report(balancer_t *balancer, const skh_rank_news_t *news, bool with_counts,
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
	message->prepared = report->prepared;
	message->armed = report->armed;
	message->held = report->held;
	message->sender = balancer->sender;
	message->number = ++balancer->number;
	message->relay = (char *)balancer->settings->gossip_listen;
	message->map_known = news->has_map;
	message->n_map = news->has_map ? news->n_map : 0;
	message->map = news->map;
	if (with_counts)
		pack_counts(news, message);
}

static size_t send_report(balancer_t *balancer, const Skh__RankReport *message)
{
	uint8_t *packed;
	struct sockaddr_in to;
	uv_buf_t buffer;
	size_t len;

	/* Nobody coordinates, or it is not known who. */
	if (!skh_address_parse(balancer->lease.coordinator, &to))
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

/* Tells the coordinator, which may be this process, of the rank. */
static void tell(balancer_t *balancer, int64_t now_us)
{
	const skh_rank_news_t *news = skh_rankwatch_news(balancer->watch);
	bool with_counts = now_us >= balancer->tell_us;
	Skh__RankReport message = SKH__RANK_REPORT__INIT;
	size_t sent = 0;

	if (!news->has_report || (!with_counts && !balancer->tell_now))
		return;
	balancer->tell_now = false;
	fill_report(balancer, news, with_counts, &message);
	if (holds_lease(balancer, now_us) && balancer->coordinator)
		skh_coordinator_report(balancer->coordinator, &message, true, now_us);
	else
		sent = send_report(balancer, &message);
	g_free(message.counts.data);
	if (!with_counts)
		return;
	if (news->n_counts > 0)
		skh_rankwatch_take_counts(balancer->watch);
	balancer->tell_us =
		now_us + MAX(LEAST_PAUSE_US, (int64_t)sent * SKH_US_PER_S / BYTES_PER_S);
}

static void on_rank_changed(void *context)
{
	balancer_t *balancer = context;

	balancer->tell_now = true;
	tell(balancer, skh_clock_boot_us());
}

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
		skh_coordinator_report(balancer->coordinator, message, false, skh_clock_boot_us());
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

	if (balancer->coordinator || !balancer->lease.has_shape || balancer->lease.shape.sets == 0)
		return;
	skh_rankwatch_set_shape(balancer->watch, &balancer->lease.shape);
	balancer->coordinator = skh_coordinator_new(&options, &balancer->lease.shape);
}

/* Ranks whose own process never spoke are found in the list of servers. */
static void find_ranks(balancer_t *balancer, int64_t now_us)
{
	bool wanted = balancer->coordinator && holds_lease(balancer, now_us) &&
		      skh_coordinator_lacks_ranks(balancer->coordinator);
	GPtrArray *servers = skh_election_servers(balancer->election, wanted);

	/* In turn, as an entry where nobody answers must not keep the others out. */
	for (guint i = 0; wanted && i < servers->len; i++) {
		guint at = balancer->offer_next % servers->len;

		if (!skh_coordinator_offer(balancer->coordinator, g_ptr_array_index(servers, at),
					   now_us))
			break;
		balancer->offer_next = at + 1;
	}
	g_ptr_array_unref(servers);
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
}

static void close_all(balancer_t *balancer)
{
	skh_log(SKH_LOG_INFO, PART, "Planned stop.", "coordinates=%d", balancer->lease.holds);
	balancer->stopping = true;
	uv_stop(&balancer->loop);
}

static void follow_settings(balancer_t *balancer, int64_t now_us)
{
	const skh_settings_t *fresh = skh_reload_look(balancer->reload, now_us);

	if (!fresh)
		return;
	balancer->settings = fresh;
	if (balancer->coordinator)
		skh_coordinator_set_weights(balancer->coordinator, (double)fresh->skew_weight,
					    (double)fresh->cost_weight);
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
	skh_election_look(balancer->election, &balancer->lease);
	follow_shape(balancer);
	skh_rankwatch_set_pace(balancer->watch,
			       holds_lease(balancer, now_us) ? OWN_COUNTS_US : COUNTS_US,
			       balancer->tell_us - TOLD_SPAN_US);
	skh_rankwatch_tick(balancer->watch, now_us);
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
		.release_store = balancer->dialect->open_store(skh_settings_endpoint(settings, 0),
							       settings->store_timeout_ms),
		.dialect = balancer->dialect,
		.prefix = prefix,
		.address = settings->gossip_listen,
		.service = settings->backend_service,
	};

	balancer->election = skh_election_start(&options);
}

static bool start(balancer_t *balancer, char *prefix, skh_error_t *err)
{
	const skh_settings_t *settings = balancer->settings;

	balancer->sender = skh_random_u64();
	balancer->pool_options = (skh_pool_options_t){
		.attempt_header = "",
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.silence_timeout_us = SILENCE_TIMEOUT_US,
		.max_idle_us = MAX_IDLE_US,
		.max_idle = 2,
	};
	(void)uv_loop_init(&balancer->loop);
	if (!open_udp(balancer, err))
		return false;
	balancer->engine = skh_engine_client_new(&balancer->loop, settings->engine_address,
						 &balancer->pool_options);
	balancer->watch =
		skh_rankwatch_new(balancer->engine, balancer->dialect, on_rank_changed, balancer);
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
	balancer->store = balancer->dialect->open_store(skh_settings_endpoint(settings, 0),
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
	balancer.reload = skh_reload_new(settings);
	return run(&balancer);
}
