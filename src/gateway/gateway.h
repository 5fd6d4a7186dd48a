#ifndef SKH_GATEWAY_H
#define SKH_GATEWAY_H

/**
 * DOC: Gateway
 *
 * The process that sends callers' requests directly to backend servers, without
 * sidecars, from one event loop. Keeps no persistent state.
 */

#include "backends.h"
#include "board.h"
#include "dialect.h"
#include "downstream.h"
#include "feed.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_gossip skh_gossip_t;
typedef struct skh_crash_suspects skh_crash_suspects_t;
typedef struct skh_backlog skh_backlog_t;

/**
 * struct skh_gateway - state shared by the gateway's modules
 *
 * Used on the loop's thread, except that the administration listener's threads read the
 * settings, the board and the feed.
 */
typedef struct skh_gateway {
	const skh_settings_t *settings;
	const skh_dialect_t *dialect;
	uv_loop_t loop;
	skh_board_t *board;
	skh_feed_t *feed;
	skh_backends_t *backends;
	skh_listener_t *listener;
	skh_gossip_t *gossip;
	skh_crash_suspects_t *crash_suspects;
	skh_domain_status_t *domains; /* failure domains out of service */
	skh_backlog_t *backlog;	      /* waiting and started requests of all gateways */
	const skh_routing_t *routing; /* counted reference; NULL before the first configuration */
	const skh_roster_t *roster;   /* counted reference; NULL before the first roster */
	skh_retry_share_limits_t retry_limits;
	skh_memory_budget_t memory;
	int64_t last_tick_us;  /* the loop was running then; boot clock */
	size_t buffered_bytes; /* of responses that are not streamed */
	GQueue exchanges;      /* open exchanges */
	int64_t load_deadline_us; /* requests wait for the first configuration until then; 0 afterwards */
	bool has_home_changes; /* servers, domains or regions changed since the last tick */
	bool is_dispatching;   /* skh_exchange_dispatch() is running */
	bool rejects_requests; /* planned stop, after callers had time to move to other gateways */
	/* Planned stop: requests whose response has not begun are answered by then; INT64_MAX before. */
	int64_t answer_by_us;
} skh_gateway_t;

/**
 * skh_gateway_main() - run a gateway until a planned stop, by SIGTERM or SIGINT, is complete
 *
 * Return: the process's exit status.
 */
int skh_gateway_main(const skh_settings_t *settings);

/**
 * skh_gateway_config_age_us() - time since the configuration was last known to be current
 * @now_us: boot clock
 *
 * Return: microseconds; INT64_MAX before the store's first response.
 */
int64_t skh_gateway_config_age_us(const skh_gateway_t *gateway, int64_t now_us);

/**
 * skh_gateway_may_send() - whether servers may get requests now, see domain_status.h
 *
 * Applies news about failure domains first, so that the servers' states are current.
 */
bool skh_gateway_may_send(skh_gateway_t *gateway, int64_t now_us);

/** skh_gateway_log_domain() - log and count that a domain went out of service or came back */
void skh_gateway_log_domain(const skh_gateway_t *gateway, const skh_domain_news_t *news,
			    const char *source);

/** skh_gateway_on_domains_changed() - apply a change of @gateway->domains to servers and requests */
void skh_gateway_on_domains_changed(skh_gateway_t *gateway);

/** skh_gateway_can_trust_keys() - true while the configuration is recent enough to check keys */
bool skh_gateway_can_trust_keys(const skh_gateway_t *gateway, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
