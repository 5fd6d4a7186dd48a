#include "gateway.h"

#include "admin.h"
#include "clock.h"
#include "crash_suspects.h"
#include "exchange.h"
#include "gossip.h"
#include "log.h"
#include "process.h"
#include "settings_watcher.h"

#include <inttypes.h>
#include <string.h>

#define PART "gateway"
/* Waiting requests, reports and signals are looked at this often. */
#define TICK_MS 20
/* The balancer asks each second and needs two refusals to turn callers elsewhere. */
#define LAME_DUCK_US (2600 * SKH_US_PER_MS)
/* Without the store for longer; a poll without news takes a second, and vouches for its beginning. */
#define READY_US (2600 * SKH_US_PER_MS)
/* A connection that was not made by then is tried at another server. */
#define CONNECT_TIMEOUT_US (350 * SKH_US_PER_MS)
/* A server that acknowledges nothing for this long is lost. */
#define SILENCE_TIMEOUT_US (2500 * SKH_US_PER_MS)
#define MAX_IDLE_US	   (4 * SKH_US_PER_S)
#define MAX_IDLE	   24
/* Gateways that are counted on to share the retry budget, at least. */
#define LEAST_GATEWAYS 4

typedef struct shell {
	skh_gateway_t gateway; /* first */
	skh_upstream_pool_options_t pool_options;
	uv_async_t news;
	uv_timer_t tick;
	skh_admin_t *admin;
	skh_store_t *store;
	skh_settings_watcher_t *reload;
	uint64_t seen_peers; /* of the feed's */
	uint64_t seen_notices;
	gint ready;	  /* read by the administration's threads */
	int64_t leave_us; /* SIGTERM came then; 0 before */
	int64_t stop_by_us;
	bool closed;
} shell_t;

int64_t skh_gateway_config_age_us(const skh_gateway_t *gateway, int64_t now_us)
{
	int64_t fresh_us = skh_feed_fresh_as_of_us(gateway->feed);

	return fresh_us == 0 ? INT64_MAX : now_us - fresh_us;
}

bool skh_gateway_can_trust_keys(const skh_gateway_t *gateway, int64_t now_us)
{
	return skh_gateway_config_age_us(gateway, now_us) <
	       gateway->settings->key_trust_ms * SKH_US_PER_MS;
}

static bool is_ready(void *context)
{
	return g_atomic_int_get(&((shell_t *)context)->ready) != 0;
}

static json_t *status(void *context)
{
	shell_t *shell = context;
	const skh_settings_t *settings = shell->gateway.settings;
	const skh_routing_t *routing = skh_board_acquire_routing(shell->gateway.board);
	const skh_roster_t *roster = skh_board_acquire_roster(shell->gateway.board);
	int64_t age_us = skh_gateway_config_age_us(&shell->gateway, skh_clock_boot_us());
	json_t *servers = json_array();
	json_t *json;

	for (guint i = 0; roster && i < roster->servers->len; i++) {
		const skh_server_t *server = g_ptr_array_index(roster->servers, i);

		json_array_append_new(servers, json_pack("{s:s, s:s, s:s, s:b}", "id", server->id,
							 "service", server->service,
							 "failure_domain", server->failure_domain,
							 "leaving", server->leaving));
	}
	json = json_pack("{s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:o}", "id", settings->id,
			 "role", "gateway", "failure_domain", settings->failure_domain, "ready",
			 is_ready(shell), "version", (json_int_t)(routing ? routing->version : 0),
			 "revision", (json_int_t)(routing ? routing->revision : 0),
			 "roster_revision", (json_int_t)(roster ? roster->revision : 0),
			 "fresh_age_ms",
			 (json_int_t)(age_us == INT64_MAX ? -1 : age_us / SKH_US_PER_MS), "servers",
			 servers);
	skh_board_release(routing);
	skh_board_release(roster);
	return json;
}

static const skh_admin_ops_t admin_ops = { .is_ready = is_ready, .get_status = status };

static void on_notify(void *context)
{
	(void)uv_async_send(&((shell_t *)context)->news);
}

/* The board has changed: follow it. */
static void on_news(uv_async_t *async)
{
	shell_t *shell = async->data;
	skh_gateway_t *gateway = &shell->gateway;

	skh_board_release(gateway->routing);
	skh_board_release(gateway->roster);
	gateway->routing = skh_board_acquire_routing(gateway->board);
	gateway->roster = skh_board_acquire_roster(gateway->board);
	skh_backends_sync(gateway->backends, gateway->roster, gateway->routing);
	if (gateway->routing)
		skh_listener_set_limits(gateway->listener, &gateway->routing->limits);
	skh_exchange_dispatch(gateway);
}

static void follow_peers(shell_t *shell)
{
	skh_gateway_t *gateway = &shell->gateway;
	GPtrArray *peers = skh_feed_get_gateways(gateway->feed, &shell->seen_peers);

	if (!peers)
		return;
	skh_gossip_set_peers(gateway->gossip, peers);
	/* Some that are not registered now may have been a moment ago. */
	gateway->retry_bounds.gateways =
		MAX(LEAST_GATEWAYS, skh_gossip_count_peers(gateway->gossip) + 1);
}

static void follow_notices(shell_t *shell)
{
	g_autofree char *notices =
		skh_feed_get_rank_notices(shell->gateway.feed, &shell->seen_notices);

	if (!notices)
		return;
	skh_backends_set_slowdowns(shell->gateway.backends, notices);
	skh_exchange_move_off_slow_ranks(&shell->gateway);
}

/*
 * A gateway that has lost the store turns callers away well before its keys end: the
 * balancer needs two seconds to send them elsewhere, and kept connections stay.
 */
static void update_ready(shell_t *shell, int64_t now_us)
{
	skh_gateway_t *gateway = &shell->gateway;
	bool fresh = skh_gateway_config_age_us(gateway, now_us) < READY_US;
	bool ready = shell->leave_us == 0 && gateway->routing && gateway->roster && fresh;

	if (ready != (g_atomic_int_get(&shell->ready) != 0))
		skh_log(SKH_LOG_INFO, PART, ready ? "Ready." : "Not ready.",
			"config_age_ms=%" PRId64 " leaving=%d",
			skh_gateway_config_age_us(gateway, now_us) / SKH_US_PER_MS,
			shell->leave_us != 0);
	g_atomic_int_set(&shell->ready, ready);
	skh_listener_set_close_after_response(gateway->listener, !fresh);
}

static void begin_stop(shell_t *shell, int64_t now_us)
{
	shell->leave_us = now_us;
	shell->stop_by_us = now_us + shell->gateway.settings->drain_ms * SKH_US_PER_MS;
	skh_log(SKH_LOG_INFO, PART, "Planned stop begins.", "in_flight=%u connections=%u",
		g_queue_get_length(&shell->gateway.exchanges),
		skh_listener_count_connections(shell->gateway.listener));
	skh_board_publish_lifecycle(shell->gateway.board,
				    (skh_lifecycle_t){ SKH_LIFECYCLE_LEAVING, shell->stop_by_us });
	skh_listener_drain(shell->gateway.listener);
}

static void close_all(shell_t *shell)
{
	skh_gateway_t *gateway = &shell->gateway;

	shell->closed = true;
	skh_log(SKH_LOG_INFO, PART, "Planned stop ends.", "in_flight=%u connections=%u",
		g_queue_get_length(&gateway->exchanges),
		skh_listener_count_connections(gateway->listener));
	skh_listener_close(gateway->listener);
	skh_gossip_close(gateway->gossip);
	uv_close((uv_handle_t *)&shell->tick, NULL);
	uv_close((uv_handle_t *)&shell->news, NULL);
	uv_stop(&gateway->loop);
}

static void continue_stop(shell_t *shell, int64_t now_us)
{
	skh_gateway_t *gateway = &shell->gateway;
	bool idle = g_queue_is_empty(&gateway->exchanges);

	if (now_us >= shell->leave_us + LAME_DUCK_US && !gateway->rejects_requests) {
		gateway->rejects_requests = true;
		skh_listener_stop_accepting(gateway->listener);
	}
	if (now_us >= shell->stop_by_us || (idle && now_us >= shell->leave_us + LAME_DUCK_US))
		close_all(shell);
}

static void apply_settings(skh_gateway_t *gateway, const skh_settings_t *settings)
{
	gateway->settings = settings;
	gateway->retry_bounds.retry_ratio = (double)settings->retry_percent / 100.0;
	gateway->retry_bounds.min_retries = (double)settings->retry_least;
	gateway->retry_bounds.window_us = settings->retry_window_ms * SKH_US_PER_MS;
}

static void follow_settings(shell_t *shell, int64_t now_us)
{
	const skh_settings_t *fresh = skh_settings_watcher_poll(shell->reload, now_us);

	if (fresh)
		apply_settings(&shell->gateway, fresh);
}

static void on_tick(uv_timer_t *timer)
{
	shell_t *shell = timer->data;
	int64_t now_us = skh_clock_boot_us();

	follow_settings(shell, now_us);
	follow_peers(shell);
	follow_notices(shell);
	update_ready(shell, now_us);
	skh_exchange_tick(&shell->gateway);
	skh_gossip_tick(shell->gateway.gossip);
	if (shell->leave_us == 0 && skh_process_stop_requests() > 0)
		begin_stop(shell, now_us);
	if (shell->leave_us != 0)
		continue_stop(shell, now_us);
}

static void set_up(shell_t *shell, const skh_settings_t *settings)
{
	skh_gateway_t *gateway = &shell->gateway;

	apply_settings(gateway, settings);
	gateway->retry_bounds.gateways = LEAST_GATEWAYS;
	shell->reload = skh_settings_watcher_new(settings);
	gateway->board = skh_board_new();
	gateway->crash_suspects = skh_crash_suspects_new();
	g_queue_init(&gateway->exchanges);
	shell->pool_options = (skh_upstream_pool_options_t){
		.attempt_id_header = gateway->dialect->headers[SKH_HEADER_ATTEMPT_ID],
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.unacked_timeout_us = SILENCE_TIMEOUT_US,
		.idle_timeout_us = MAX_IDLE_US,
		.max_idle_connections = MAX_IDLE,
	};
	(void)uv_loop_init(&gateway->loop);
	(void)uv_async_init(&gateway->loop, &shell->news, on_news);
	shell->news.data = shell;
	(void)uv_timer_init(&gateway->loop, &shell->tick);
	shell->tick.data = shell;
	gateway->backends = skh_backends_new(&gateway->loop, &shell->pool_options);
}

static void start_feed(shell_t *shell)
{
	const skh_settings_t *settings = shell->gateway.settings;
	skh_feed_options_t options = {
		.dialect = shell->gateway.dialect,
		.board = shell->gateway.board,
		.poll_interval_us = settings->poll_pace_ms * SKH_US_PER_MS,
		.poll_timeout_ms = settings->poll_wait_ms,
		.peers_prefix = settings->peers_prefix,
		.own_id = settings->id,
		.own_address = settings->gossip_listen,
		.notify = on_notify,
		.context = shell,
	};

	shell->store = shell->gateway.dialect->open_store(skh_settings_store_endpoint(settings, 0),
							  settings->store_timeout_ms);
	options.store = shell->store;
	shell->gateway.feed = skh_feed_start(&options);
}

static bool start(shell_t *shell, skh_error_t *err)
{
	skh_gateway_t *gateway = &shell->gateway;
	const skh_settings_t *settings = gateway->settings;

	gateway->listener = skh_listener_start(&gateway->loop, settings->http_listen,
					       &skh_exchange_listener_ops, gateway, err);
	if (!gateway->listener)
		return false;
	gateway->gossip = skh_gossip_start(gateway, settings->gossip_listen, err);
	if (!gateway->gossip)
		return false;
	shell->admin = skh_admin_start(settings->admin_listen, &admin_ops, shell, gateway->board,
				       NULL, err);
	if (!shell->admin)
		return false;
	start_feed(shell);
	skh_board_publish_lifecycle(gateway->board, (skh_lifecycle_t){ SKH_LIFECYCLE_SERVING, 0 });
	skh_log(SKH_LOG_INFO, PART, "Gateway is listening.", "id=%s callers=%s admin=%s",
		settings->id, settings->http_listen, settings->admin_listen);
	return true;
}

static int run(shell_t *shell, const skh_settings_t *settings)
{
	skh_error_t err;

	shell->gateway.dialect = skh_dialect_find(settings->dialect, &err);
	if (shell->gateway.dialect)
		set_up(shell, settings);
	if (!shell->gateway.dialect || !start(shell, &err)) {
		skh_log(SKH_LOG_ERROR, PART, "Start failed.", "reason=%s", err.text);
		return 1;
	}
	(void)uv_timer_start(&shell->tick, on_tick, TICK_MS, TICK_MS);
	(void)uv_run(&shell->gateway.loop, UV_RUN_DEFAULT);
	skh_admin_stop(shell->admin);
	/* Let what was closed be freed; connections to servers end with the process. */
	(void)uv_run(&shell->gateway.loop, UV_RUN_NOWAIT);
	skh_log(SKH_LOG_INFO, PART, "Gateway has stopped.", "id=%s", settings->id);
	return 0;
}

int skh_gateway_main(const skh_settings_t *settings)
{
	/* Threads may use it up to the end of the process. */
	static shell_t shell;

	skh_process_setup(settings);
	return run(&shell, settings);
}
