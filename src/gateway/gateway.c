#include "gateway.h"

#include "admin.h"
#include "attempt.h"
#include "backlog.h"
#include "clock.h"
#include "crash_suspects.h"
#include "exchange.h"
#include "gossip.h"
#include "log.h"
#include "metrics.h"
#include "pool_groups.h"
#include "process.h"
#include "settings_watcher.h"

#include <inttypes.h>
#include <string.h>

#define PART "gateway"
/* Interval for checking settings, rank notices, readiness, requests, gossip and stop signals. */
#define TICK_INTERVAL_MS 20
/*
 * A planned stop closes the listening socket only after this time: the platform's balancer checks
 * readiness every second and sends callers elsewhere after two failed checks.
 */
#define STOP_ACCEPT_DELAY_US (2600 * SKH_US_PER_MS)
/* Nothing is accepted in the last part of the grace, in which it could not be finished. */
#define STOP_ACCEPT_DIV 2
/*
 * With an older configuration the gateway is not ready. A poll of the store without changes
 * takes one second and confirms the configuration only as of the poll's start.
 */
#define MAX_READY_CONFIG_AGE_US (2600 * SKH_US_PER_MS)
/* The first read of the store takes less; after it, waiting callers are sent to other gateways. */
#define LOAD_TIMEOUT_US (400 * SKH_US_PER_MS)
/* A connect that takes longer fails, and the request is sent to another server. */
#define CONNECT_TIMEOUT_US (350 * SKH_US_PER_MS)
/* A server that acknowledges no bytes for this long is considered lost. */
#define UNACKED_TIMEOUT_US   (2500 * SKH_US_PER_MS)
#define IDLE_TIMEOUT_US	     (4 * SKH_US_PER_S)
#define MAX_IDLE_CONNECTIONS 24
/* Lower bound for the number of gateways that share the retry budget. */
#define MIN_GATEWAYS 4
/* Crash records that are passed to the feed at a time, and how often. */
#define MAX_STORED_RECORDS_A_TICK 32
#define CRASH_WRITE_INTERVAL_US	  (100 * SKH_US_PER_MS)

#define GROUP_METRICS_INTERVAL_US SKH_US_PER_S

typedef struct gateway_process {
	skh_gateway_t gateway;
	skh_upstream_pool_options_t pool_options;
	uv_async_t board_changed;
	uv_timer_t tick_timer;
	skh_admin_t *admin;
	skh_store_t *store;
	skh_settings_watcher_t *settings_watcher;
	int64_t next_crash_write_us;
	int64_t next_group_metrics_us;
	int64_t store_era;	      /* in which the crash records were stored */
	uint64_t last_peers_change;   /* newest change that skh_feed_get_gateways() returned */
	uint64_t last_notices_change; /* newest change that skh_feed_get_slow_ranks() returned */
	bool may_send;		      /* as of the last tick */
	gint is_ready;		      /* atomic; read by the administration listener's threads */
	int64_t stop_started_us;      /* time of SIGTERM or SIGINT; 0 before */
	int64_t stop_rejects_us;      /* requests are rejected from then on */
	int64_t stop_deadline_us;
	bool is_closed;
} gateway_process_t;

int64_t skh_gateway_config_age_us(const skh_gateway_t *gateway, int64_t now_us)
{
	int64_t fresh_as_of_us = skh_feed_fresh_as_of_us(gateway->feed);

	return fresh_as_of_us == 0 ? INT64_MAX : now_us - fresh_as_of_us;
}

bool skh_gateway_can_trust_keys(const skh_gateway_t *gateway, int64_t now_us)
{
	return skh_gateway_config_age_us(gateway, now_us) <
	       skh_settings_key_trust_ms(gateway->settings) * SKH_US_PER_MS;
}

static const char *find_domain_name(const skh_gateway_t *gateway, const skh_domain_news_t *news)
{
	for (guint i = 0; gateway->roster && i < gateway->roster->servers->len; i++) {
		const skh_server_t *server = g_ptr_array_index(gateway->roster->servers, i);

		if (skh_domain_hash(server->failure_domain) == news->domain)
			return server->failure_domain;
	}
	return *news->name ? news->name : "-";
}

void skh_gateway_log_domain(const skh_gateway_t *gateway, const skh_domain_news_t *news,
			    const char *source)
{
	bool is_out = news->kind == SKH_DOMAIN_NEWS_OUT;

	if (news->domain == 0)
		return;
	skh_metrics_add(is_out ? SKH_COUNT_DOMAINS_OUT : SKH_COUNT_DOMAINS_BACK, 1);
	skh_log(SKH_LOG_WARNING, PART,
		is_out ? "Failure domain is out of service and gets no new requests."
		       : "Failure domain is back in service.",
		"domain=%s source=%s era=%" PRId64 " revision=%" PRId64,
		find_domain_name(gateway, news), source, news->era, news->revision);
}

void skh_gateway_on_domains_changed(skh_gateway_t *gateway)
{
	skh_backends_set_domains(gateway->backends, gateway->domains);
	skh_exchange_withdraw_from_domains(gateway);
	gateway->has_home_changes = true;
}

static void apply_domain_news(skh_gateway_t *gateway, const GArray *news, int64_t now_us)
{
	bool has_changed = false;

	for (guint i = 0; i < news->len; i++) {
		const skh_domain_news_t *item = &g_array_index(news, skh_domain_news_t, i);

		if (!skh_domain_status_apply(gateway->domains, item, now_us))
			continue;
		skh_gateway_log_domain(gateway, item, "store");
		has_changed = true;
	}
	if (has_changed)
		skh_gateway_on_domains_changed(gateway);
}

static void apply_cold_news(skh_gateway_t *gateway)
{
	g_autoptr(GPtrArray) news = skh_feed_take_cold_news(gateway->feed);

	for (guint i = 0; news && i < news->len; i++) {
		const skh_cold_news_t *item = g_ptr_array_index(news, i);
		skh_target_t *target = skh_backends_find_target(gateway->backends, item->id);

		if (target)
			skh_server_warmth_record_entry(&target->warmth, item->left_us, item->era,
						       item->revision, item->poll_us,
						       skh_clock_boot_us());
	}
}

bool skh_gateway_may_send(skh_gateway_t *gateway, int64_t now_us)
{
	/* Read before the news, which then include all that was read up to this time. */
	int64_t as_of_us = skh_feed_fresh_as_of_us(gateway->feed);
	g_autoptr(GArray) news = skh_feed_take_domain_news(gateway->feed);

	if (news)
		apply_domain_news(gateway, news, now_us);
	apply_cold_news(gateway);
	skh_domain_status_set_read(gateway->domains, as_of_us);
	return skh_domain_status_can_send(gateway->domains, now_us);
}

static bool is_ready(void *context)
{
	return g_atomic_int_get(&((gateway_process_t *)context)->is_ready) != 0;
}

static json_t *get_status(void *context)
{
	gateway_process_t *process = context;
	const skh_settings_t *settings = process->gateway.settings;
	const skh_routing_t *routing = skh_board_acquire_routing(process->gateway.board);
	const skh_roster_t *roster = skh_board_acquire_roster(process->gateway.board);
	int64_t age_us = skh_gateway_config_age_us(&process->gateway, skh_clock_boot_us());
	json_t *servers = json_array();
	json_t *json;

	for (guint i = 0; roster && i < roster->servers->len; i++) {
		const skh_server_t *server = g_ptr_array_index(roster->servers, i);

		json_array_append_new(servers, json_pack("{s:s, s:s, s:s, s:b}", "id", server->id,
							 "service", server->service,
							 "failure_domain", server->failure_domain,
							 "leaving", server->is_leaving));
	}
	json = json_pack("{s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:o}", "id", settings->id,
			 "role", "gateway", "failure_domain", settings->failure_domain, "ready",
			 is_ready(process), "version", (json_int_t)(routing ? routing->version : 0),
			 "revision", (json_int_t)(routing ? routing->revision : 0),
			 "roster_revision", (json_int_t)(roster ? roster->revision : 0),
			 "fresh_age_ms",
			 (json_int_t)(age_us == INT64_MAX ? -1 : age_us / SKH_US_PER_MS), "servers",
			 servers);
	skh_board_release(routing);
	skh_board_release(roster);
	return json;
}

static const skh_admin_ops_t admin_ops = { .is_ready = is_ready, .get_status = get_status };

static void notify_loop(void *context)
{
	(void)uv_async_send(&((gateway_process_t *)context)->board_changed);
}

static void on_board_changed(uv_async_t *async)
{
	gateway_process_t *process = async->data;
	skh_gateway_t *gateway = &process->gateway;

	skh_board_release(gateway->routing);
	skh_board_release(gateway->roster);
	gateway->routing = skh_board_acquire_routing(gateway->board);
	gateway->roster = skh_board_acquire_roster(gateway->board);
	skh_backends_sync(gateway->backends, gateway->roster, gateway->routing);
	if (gateway->routing)
		skh_listener_set_limits(gateway->listener, &gateway->routing->limits);
	gateway->has_home_changes = true;
	skh_exchange_route_waiting(gateway);
	skh_exchange_dispatch(gateway);
}

static void update_peers(gateway_process_t *process)
{
	skh_gateway_t *gateway = &process->gateway;
	GPtrArray *peers = skh_feed_get_gateways(gateway->feed, &process->last_peers_change);

	if (!peers)
		return;
	skh_gossip_set_peers(gateway->gossip, peers);
	/*
	 * The lower bound covers gateways that are no longer registered: they may have used a part
	 * of the budget a moment ago.
	 */
	gateway->retry_limits.gateways =
		MAX(MIN_GATEWAYS, skh_gossip_count_peers(gateway->gossip) + 1);
}

static void update_members(gateway_process_t *process)
{
	g_autoptr(GPtrArray) notices = skh_feed_take_members(process->gateway.feed);

	for (guint i = 0; notices && i < notices->len; i++) {
		const skh_feed_members_t *notice = g_ptr_array_index(notices, i);

		skh_backends_set_members(process->gateway.backends, notice->service, notice->group,
					 notice->text, notice->revision);
	}
}

static void publish_pool_metrics(skh_target_pool_t *pool, void *now_us)
{
	skh_pool_groups_publish_metrics(pool, *(const int64_t *)now_us);
}

static void publish_group_metrics(gateway_process_t *process, int64_t now_us)
{
	if (now_us < process->next_group_metrics_us)
		return;
	process->next_group_metrics_us = now_us + GROUP_METRICS_INTERVAL_US;
	skh_backends_for_each_pool(process->gateway.backends, publish_pool_metrics, &now_us);
}

static void update_slowdowns(gateway_process_t *process)
{
	g_autofree char *notices =
		skh_feed_get_slow_ranks(process->gateway.feed, &process->last_notices_change);

	if (!notices)
		return;
	skh_backends_set_slowdowns(process->gateway.backends, notices);
	skh_exchange_move_off_slow_ranks(&process->gateway);
}

/*
 * A gateway that can't reach the store becomes not ready well before it stops trusting its keys,
 * because the platform's balancer takes two seconds to send new callers elsewhere. Callers with a
 * persistent connection would stay at this gateway, so each connection is closed after its
 * response.
 */
static void update_ready(gateway_process_t *process, int64_t now_us)
{
	skh_gateway_t *gateway = &process->gateway;
	bool is_config_fresh = skh_gateway_config_age_us(gateway, now_us) < MAX_READY_CONFIG_AGE_US;
	bool is_ready_now = process->stop_started_us == 0 && gateway->routing && gateway->roster &&
			    is_config_fresh;

	if (is_ready_now != (g_atomic_int_get(&process->is_ready) != 0))
		skh_log(SKH_LOG_INFO, PART, is_ready_now ? "Ready." : "Not ready.",
			"config_age_ms=%" PRId64 " leaving=%d",
			skh_gateway_config_age_us(gateway, now_us) / SKH_US_PER_MS,
			process->stop_started_us != 0);
	g_atomic_int_set(&process->is_ready, is_ready_now);
	skh_listener_set_close_after_response(gateway->listener, !is_config_fresh);
}

/* Knowledge that is too old or from before a pause is to be renewed without a long poll. */
static void update_domains(gateway_process_t *process, int64_t now_us)
{
	skh_gateway_t *gateway = &process->gateway;
	bool may_send;

	if (skh_domain_status_update(gateway->domains, now_us)) {
		skh_log(SKH_LOG_WARNING, PART,
			"Failure domain is back in service: the store came back without its key.",
			"kept_ms=%" PRId64, SKH_DOMAIN_STATUS_KEEP_US / SKH_US_PER_MS);
		skh_metrics_add(SKH_COUNT_DOMAINS_BACK, 1);
		skh_gateway_on_domains_changed(gateway);
	}
	may_send = skh_gateway_may_send(gateway, now_us);
	if (!may_send)
		skh_feed_poll_at_once(gateway->feed);
	if (may_send != process->may_send && gateway->roster)
		skh_log(may_send ? SKH_LOG_INFO : SKH_LOG_WARNING, PART,
			may_send ? "Requests are sent to servers again."
				 : "Requests wait: the domains out of service have to be read "
				   "again.",
			"read_age_ms=%" PRId64,
			(now_us - skh_domain_status_read_as_of_us(gateway->domains)) /
				SKH_US_PER_MS);
	process->may_send = may_send;
}

static void begin_stop(gateway_process_t *process, int64_t now_us)
{
	int64_t grace_us = process->gateway.settings->drain_ms * SKH_US_PER_MS;

	process->stop_started_us = now_us;
	process->stop_rejects_us = now_us + MIN(STOP_ACCEPT_DELAY_US, grace_us / STOP_ACCEPT_DIV);
	process->stop_deadline_us = now_us + grace_us;
	process->gateway.answer_by_us = skh_stop_answer_by_us(now_us, grace_us);
	skh_exchange_begin_stop(&process->gateway);
	skh_log(SKH_LOG_INFO, PART, "Planned stop begins.", "in_flight=%u connections=%u",
		g_queue_get_length(&process->gateway.exchanges),
		skh_listener_count_connections(process->gateway.listener));
	skh_board_publish_lifecycle(process->gateway.board,
				    (skh_lifecycle_t){ SKH_LIFECYCLE_LEAVING,
						       process->stop_deadline_us,
						       process->gateway.answer_by_us });
	skh_listener_drain(process->gateway.listener);
}

static void finish_stop(gateway_process_t *process)
{
	skh_gateway_t *gateway = &process->gateway;

	process->is_closed = true;
	skh_log(SKH_LOG_INFO, PART, "Planned stop ends.", "in_flight=%u connections=%u",
		g_queue_get_length(&gateway->exchanges),
		skh_listener_count_connections(gateway->listener));
	skh_listener_close(gateway->listener);
	skh_gossip_close(gateway->gossip);
	uv_close((uv_handle_t *)&process->tick_timer, NULL);
	uv_close((uv_handle_t *)&process->board_changed, NULL);
	uv_stop(&gateway->loop);
}

static void continue_stop(gateway_process_t *process, int64_t now_us)
{
	skh_gateway_t *gateway = &process->gateway;
	bool is_idle = g_queue_is_empty(&gateway->exchanges) &&
		       !skh_listener_has_unsent(gateway->listener);

	gateway->rejects_requests = now_us >= process->stop_rejects_us;
	if (now_us >= process->stop_started_us + STOP_ACCEPT_DELAY_US)
		skh_listener_stop_accepting(gateway->listener);
	if (now_us >= process->stop_deadline_us ||
	    (is_idle && now_us >= process->stop_started_us + STOP_ACCEPT_DELAY_US))
		finish_stop(process);
}

static void apply_settings(skh_gateway_t *gateway, const skh_settings_t *settings)
{
	gateway->settings = settings;
	gateway->retry_limits.retry_ratio = (double)settings->retry_percent / 100.0;
	gateway->retry_limits.min_retries = (double)settings->min_retries;
	gateway->retry_limits.window_us = settings->retry_window_ms * SKH_US_PER_MS;
	skh_memory_budget_set_limit(&gateway->memory, settings->memory_mb);
	skh_domain_status_set_bound(gateway->domains, settings->domain_out_ms * SKH_US_PER_MS);
	skh_backends_set_regions(gateway->backends, skh_settings_new_regions(settings));
	gateway->has_home_changes = true;
	skh_backends_set_cold_bounds(gateway->backends,
				     (double)settings->cold_overage_percent / 100.0,
				     (double)settings->cold_slack);
}

static void reload_settings(gateway_process_t *process, int64_t now_us)
{
	const skh_settings_t *settings =
		skh_settings_watcher_poll(process->settings_watcher, now_us);

	if (settings)
		apply_settings(&process->gateway, settings);
}

/* Exchanges crash records with the store; the other gateways also get them by gossip. */
static void sync_crash_records(gateway_process_t *process, int64_t now_us)
{
	skh_gateway_t *gateway = &process->gateway;
	skh_crash_record_t unstored[MAX_STORED_RECORDS_A_TICK];
	uint32_t n;
	g_autoptr(GArray) read = skh_feed_take_crash_records(gateway->feed);

	for (guint i = 0; read && i < read->len; i++)
		skh_crash_suspects_merge_stored(gateway->crash_suspects,
						&g_array_index(read, skh_crash_record_t, i),
						now_us);
	if (now_us < process->next_crash_write_us)
		return;
	process->next_crash_write_us = now_us + CRASH_WRITE_INTERVAL_US;
	if (skh_store_era(process->store) != process->store_era) {
		process->store_era = skh_store_era(process->store);
		skh_crash_suspects_store_again(gateway->crash_suspects);
	}
	n = skh_crash_suspects_take_unstored(gateway->crash_suspects, unstored,
					     MAX_STORED_RECORDS_A_TICK, now_us);
	if (n > 0)
		skh_feed_put_crash_records(gateway->feed, unstored, n);
}

static void watch_memory(skh_gateway_t *gateway)
{
	const skh_memory_budget_t *memory = &gateway->memory;

	if (!skh_memory_budget_update_scarce(&gateway->memory))
		return;
	skh_log(memory->is_scarce ? SKH_LOG_WARNING : SKH_LOG_INFO, PART,
		memory->is_scarce ? "Memory for buffered data is scarce; slow peers get less of it."
				  : "Memory for buffered data is no longer scarce.",
		"limit=%zu to_callers=%zu responses=%zu requests=%zu unread=%zu",
		memory->limit_bytes, memory->used_bytes[SKH_MEMORY_TO_CALLERS],
		memory->used_bytes[SKH_MEMORY_RESPONSES], memory->used_bytes[SKH_MEMORY_REQUESTS],
		memory->used_bytes[SKH_MEMORY_UNREAD]);
}

static void on_tick(uv_timer_t *timer)
{
	gateway_process_t *process = timer->data;
	int64_t now_us = skh_clock_boot_us();

	process->gateway.last_tick_us = now_us;
	sync_crash_records(process, now_us);
	reload_settings(process, now_us);
	update_peers(process);
	update_members(process);
	publish_group_metrics(process, now_us);
	update_slowdowns(process);
	update_domains(process, now_us);
	update_ready(process, now_us);
	skh_exchange_route_waiting(&process->gateway);
	skh_exchange_tick(&process->gateway);
	skh_gossip_tick(process->gateway.gossip);
	watch_memory(&process->gateway);
	if (process->stop_started_us == 0 && skh_process_stop_requests() > 0)
		begin_stop(process, now_us);
	if (process->stop_started_us != 0)
		continue_stop(process, now_us);
}

static void init_gateway(gateway_process_t *process, const skh_settings_t *settings)
{
	skh_gateway_t *gateway = &process->gateway;

	gateway->domains = skh_domain_status_new();
	gateway->backends = skh_backends_new(&gateway->loop, &process->pool_options);
	apply_settings(gateway, settings);
	gateway->retry_limits.gateways = MIN_GATEWAYS;
	process->settings_watcher = skh_settings_watcher_new(settings);
	gateway->board = skh_board_new();
	gateway->crash_suspects = skh_crash_suspects_new(skh_random_u64());
	gateway->backlog = skh_backlog_new();
	g_queue_init(&gateway->exchanges);
	gateway->load_deadline_us = skh_clock_boot_us() + LOAD_TIMEOUT_US;
	gateway->answer_by_us = INT64_MAX;
	process->pool_options = (skh_upstream_pool_options_t){
		.attempt_id_header = gateway->dialect->headers[SKH_HEADER_ATTEMPT_ID],
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.unacked_timeout_us = UNACKED_TIMEOUT_US,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.max_idle_connections = MAX_IDLE_CONNECTIONS,
		.memory = &gateway->memory,
	};
	(void)uv_loop_init(&gateway->loop);
	(void)uv_async_init(&gateway->loop, &process->board_changed, on_board_changed);
	process->board_changed.data = process;
	(void)uv_timer_init(&gateway->loop, &process->tick_timer);
	process->tick_timer.data = process;
	skh_backends_set_failure_domain(gateway->backends, settings->failure_domain);
	skh_backends_set_lost_fn(gateway->backends, skh_attempt_on_server_lost, gateway);
}

static void start_feed(gateway_process_t *process)
{
	const skh_settings_t *settings = process->gateway.settings;
	skh_feed_options_t options = {
		.dialect = process->gateway.dialect,
		.board = process->gateway.board,
		.poll_interval_us = skh_settings_poll_interval_ms(settings) * SKH_US_PER_MS,
		.poll_timeout_ms = settings->poll_timeout_ms,
		.gateways_prefix = settings->gateways_prefix,
		.own_id = settings->id,
		.own_address = settings->gossip_listen,
		.notify = notify_loop,
		.context = process,
	};

	process->store = process->gateway.dialect->open_store(
		skh_settings_store_endpoint(settings, 0), settings->store_timeout_ms);
	options.store = process->store;
	process->gateway.feed = skh_feed_start(&options);
}

static bool start_gateway(gateway_process_t *process, skh_error_t *err)
{
	skh_gateway_t *gateway = &process->gateway;
	const skh_settings_t *settings = gateway->settings;

	gateway->listener = skh_listener_start(&gateway->loop, settings->http_listen,
					       &skh_exchange_listener_ops, gateway, err);
	if (!gateway->listener)
		return false;
	skh_listener_set_memory(gateway->listener, &gateway->memory);
	gateway->gossip = skh_gossip_start(gateway, settings->gossip_listen, err);
	if (!gateway->gossip)
		return false;
	process->admin = skh_admin_start(settings->admin_listen, &admin_ops, process,
					 gateway->board, NULL, err);
	if (!process->admin)
		return false;
	start_feed(process);
	skh_board_publish_lifecycle(gateway->board,
				    (skh_lifecycle_t){ SKH_LIFECYCLE_SERVING, 0, 0 });
	skh_log(SKH_LOG_INFO, PART, "Gateway is listening.", "id=%s callers=%s admin=%s",
		settings->id, settings->http_listen, settings->admin_listen);
	return true;
}

static int run_gateway(gateway_process_t *process, const skh_settings_t *settings)
{
	skh_error_t err;

	process->gateway.dialect = skh_dialect_find(settings->dialect, &err);
	if (process->gateway.dialect)
		init_gateway(process, settings);
	if (!process->gateway.dialect || !start_gateway(process, &err)) {
		skh_log(SKH_LOG_ERROR, PART, "Start failed.", "reason=%s", err.text);
		return 1;
	}
	(void)uv_timer_start(&process->tick_timer, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
	(void)uv_run(&process->gateway.loop, UV_RUN_DEFAULT);
	skh_admin_stop(process->admin);
	/* Run the close callbacks; connections to servers are closed by the process's exit. */
	(void)uv_run(&process->gateway.loop, UV_RUN_NOWAIT);
	skh_log(SKH_LOG_INFO, PART, "Gateway has stopped.", "id=%s", settings->id);
	return 0;
}

int skh_gateway_main(const skh_settings_t *settings)
{
	/* Static because other threads may use it until the process exits. */
	static gateway_process_t process;

	skh_process_setup(settings);
	return run_gateway(&process, settings);
}
