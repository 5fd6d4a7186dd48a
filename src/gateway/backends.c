#include "backends.h"

#include "clock.h"
#include "dialect.h"
#include "log.h"
#include "metrics.h"
#include "pool_groups.h"
#include "rank_liveness.h"

#include <stdio.h>
#include <string.h>

#define PART "backends"
/* Weight of the newest response in a server's moving averages. */
#define LATENCY_EWMA_GAIN 0.2
#define FAILURE_EWMA_GAIN 0.15
/* Time for which a failing server is avoided, doubled with each failure in a row. */
#define AVOID_BASE_US	    (200 * SKH_US_PER_MS)
#define AVOID_MAX_DOUBLINGS 5
/* A server that rejected a request as full has a free slot again after about this time. */
#define FULL_PAUSE_US (60 * SKH_US_PER_MS)
/* The roster holds a stopped server until its entry expires after three missed heartbeats. */
#define WRONG_INSTANCE_PAUSE_US (4 * SKH_US_PER_S)
/* About the time that a request takes; what a server stated before tells no more. */
#define LOAD_EXPIRY_US (2 * SKH_US_PER_S)
#define RATE_SLOT_US   (500 * SKH_US_PER_MS)
/* Longest pause that a server can ask for, so that a garbled header does not end its use. */
#define MAX_RETRY_AFTER_S 600.0
/* More than any server takes; a greater limit is none. */
#define MAX_LIMIT_PER_S 1e6
/*
 * Requests sent beyond the slots of a server, or of a rank of a lock-step group: a slot is free at
 * the server before its last response arrives at the gateway.
 */
#define OVERCOMMIT_PLAIN_REQUESTS 2
#define OVERCOMMIT_RANK_REQUESTS  1
/*
 * Requests added to the load of a server that has just become cold; fewer as it warms up. About
 * half of the slots of a small server, so that warm servers are preferred until they are half full.
 */
#define WARMUP_PENALTY_REQUESTS 4.0
/* Longest time for which a response can say that the server stays cold. */
#define MAX_COLD_MS 3.6e6
/* For services with an engine (RANK) and without one (PLAIN). */
#define TYPICAL_FIRST_EVENT_RANK_MS  150
#define TYPICAL_FIRST_EVENT_PLAIN_MS 80

struct skh_backends {
	uv_loop_t *loop;
	const skh_upstream_pool_options_t *options;
	bool has_routing;		    /* the configured services are known */
	GHashTable *targets;		    /* id -> skh_target_t */
	GHashTable *pools;		    /* service -> skh_target_pool_t */
	char *slowdowns;		    /* "\naddress slowdown" for each slow rank */
	const skh_domain_status_t *domains; /* NULL if none is out of service */
	GHashTable *regions; /* failure domain -> region; empty if homes are not checked */
	double cold_overage; /* see struct skh_warmth_spec */
	double cold_slack;
	char *failure_domain;	    /* of the gateway; NULL if unknown */
	skh_server_lost_fn on_lost; /* may be NULL */
	void *on_lost_context;
};

static void free_pool(gpointer data)
{
	skh_target_pool_t *pool = data;

	skh_pool_groups_clear(pool);
	(void)g_ptr_array_free(pool->targets, TRUE);
	skh_request_queue_free(pool->queue);
	g_free(pool->service);
	g_free(pool);
}

static void unlist_target(gpointer data)
{
	skh_target_t *target = data;

	target->is_listed = false;
	skh_pool_groups_on_ended(target);
	(void)g_ptr_array_remove(target->target_pool->targets, target);
	skh_target_unref(target);
}

void skh_backends_set_lost_fn(skh_backends_t *backends, skh_server_lost_fn fn, void *context)
{
	backends->on_lost = fn;
	backends->on_lost_context = context;
}

/* A server that leaves ends as planned. */
static void report_lost(const skh_backends_t *backends, const skh_target_t *target)
{
	if (backends->on_lost && !target->server->is_leaving && !target->has_announced_leaving)
		backends->on_lost(backends->on_lost_context, target->server);
}

skh_backends_t *skh_backends_new(uv_loop_t *loop, const skh_upstream_pool_options_t *options)
{
	skh_backends_t *backends = g_new0(skh_backends_t, 1);

	backends->loop = loop;
	backends->options = options;
	backends->slowdowns = g_strdup("");
	backends->regions = g_hash_table_new(g_str_hash, g_str_equal);
	backends->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unlist_target);
	backends->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	return backends;
}

void skh_backends_free(skh_backends_t *backends)
{
	g_hash_table_unref(backends->targets);
	g_hash_table_unref(backends->pools);
	g_hash_table_unref(backends->regions);
	g_free(backends->slowdowns);
	g_free(backends->failure_domain);
	g_free(backends);
}

void skh_backends_set_failure_domain(skh_backends_t *backends, const char *failure_domain)
{
	g_free(backends->failure_domain);
	backends->failure_domain = g_strdup(failure_domain);
}

skh_target_pool_t *skh_backends_get_or_create_pool(skh_backends_t *backends, const char *name)
{
	skh_target_pool_t *pool = g_hash_table_lookup(backends->pools, name);

	if (pool)
		return pool;
	pool = g_new0(skh_target_pool_t, 1);
	pool->service = g_strdup(name);
	pool->targets = g_ptr_array_new();
	pool->queue = skh_request_queue_new();
	pool->typical_first_event_ms = TYPICAL_FIRST_EVENT_PLAIN_MS;
	pool->first_event_id = -1;
	skh_pool_groups_init(pool);
	g_hash_table_insert(backends->pools, pool->service, pool);
	return pool;
}

skh_target_t *skh_backends_find_target(skh_backends_t *backends, const char *id)
{
	return g_hash_table_lookup(backends->targets, id);
}

void skh_backends_for_each_pool(skh_backends_t *backends, skh_target_pool_fn fn, void *context)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, backends->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		fn(pool, context);
}

void skh_backends_for_each_target(skh_backends_t *backends, skh_target_fn fn, void *context)
{
	GHashTableIter iter;
	gpointer target;

	g_hash_table_iter_init(&iter, backends->targets);
	while (g_hash_table_iter_next(&iter, NULL, &target))
		fn(target, context);
}

static bool is_same_instance(const skh_server_t *a, const skh_server_t *b)
{
	return strcmp(a->host, b->host) == 0 && a->port == b->port &&
	       a->started_unix_ms == b->started_unix_ms && strcmp(a->service, b->service) == 0;
}

static guint hash_address(gconstpointer server)
{
	const skh_server_t *listed = server;

	return g_str_hash(listed->host) ^ listed->port;
}

static gboolean has_equal_address(gconstpointer left, gconstpointer right)
{
	const skh_server_t *a = left;
	const skh_server_t *b = right;

	return a->port == b->port && strcmp(a->host, b->host) == 0;
}

/* An entry of a service that the configuration does not name is no server to use. */
static bool is_configured(const skh_backends_t *backends, const skh_target_t *target)
{
	return !backends->has_routing || target->target_pool->is_configured;
}

/* Returns a table from each address in use to the target there that has started last. */
static GHashTable *find_latest_targets(skh_backends_t *backends)
{
	GHashTable *latest = g_hash_table_new(hash_address, has_equal_address);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, backends->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		skh_target_t *target = value;
		const skh_target_t *other = g_hash_table_lookup(latest, target->server);

		if (is_configured(backends, target) &&
		    (!other || target->server->started_unix_ms > other->server->started_unix_ms))
			(void)g_hash_table_replace(latest, target->server, target);
	}
	return latest;
}

static void set_successor(const skh_backends_t *backends, skh_target_t *target,
			  const skh_target_t *successor)
{
	if ((successor != NULL) == target->is_superseded)
		return;
	target->is_superseded = successor != NULL;
	if (successor) {
		skh_log(SKH_LOG_INFO, PART,
			"Address has a newer instance; the older one gets no new requests.",
			"address=%s:%u old=%s new=%s new_service=%s", target->server->host,
			target->server->port, target->server->id, successor->server->id,
			successor->server->service);
		report_lost(backends, target);
		skh_pool_groups_on_ended(target);
		return;
	}
	skh_log(SKH_LOG_INFO, PART,
		"Address has no newer instance any more; the listed one gets requests again.",
		"address=%s:%u server=%s", target->server->host, target->server->port,
		target->server->id);
	skh_pool_groups_on_reinstated(target);
}

/*
 * After a crash the old entry stays listed for a while beside the one of the new instance. Which
 * servers are superseded follows from the entries and services that are listed now, so it ends with
 * the entry that caused it.
 */
static void update_superseded(skh_backends_t *backends)
{
	g_autoptr(GHashTable) latest = find_latest_targets(backends);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, backends->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		skh_target_t *target = value;
		const skh_target_t *last = g_hash_table_lookup(latest, target->server);
		bool is_newer =
			last && last->server->started_unix_ms > target->server->started_unix_ms;

		set_successor(backends, target, is_newer ? last : NULL);
	}
}

/*
 * @slowdowns is what the coordinators reported last. Each line starts after a newline, so a search
 * can't match inside an address.
 */
static void update_slowdown(skh_target_t *target, const char *slowdowns)
{
	g_autofree char *address =
		g_strdup_printf("\n%s:%u ", target->server->host, target->server->port);
	const char *line = strstr(slowdowns, address);
	double slowdown = line ? g_ascii_strtod(line + strlen(address), NULL) : 1.0;

	if (!(slowdown > 0.0 && slowdown <= SKH_ENGINE_MAX_SLOWDOWN)) {
		skh_log(SKH_LOG_WARNING, PART, "Slowdown of a rank is out of range and ignored.",
			"server=%s value=%g", target->server->id, slowdown);
		slowdown = 1.0;
	}
	if (slowdown != target->slowdown)
		skh_log(SKH_LOG_INFO, PART, "Slowdown of a rank changed.", "server=%s pace=%.1f",
			target->server->id, slowdown);
	target->slowdown = slowdown;
}

static void update_target_slowdown(gpointer id, gpointer value, gpointer context)
{
	(void)id;
	update_slowdown(value, context);
}

void skh_backends_set_slowdowns(skh_backends_t *backends, const char *text)
{
	g_free(backends->slowdowns);
	backends->slowdowns = g_strconcat("\n", text, NULL);
	g_hash_table_foreach(backends->targets, update_target_slowdown, backends->slowdowns);
}

void skh_backends_set_members(skh_backends_t *backends, const char *service, const char *group,
			      const char *text, int64_t revision)
{
	skh_pool_groups_apply_notice(skh_backends_get_or_create_pool(backends, service), group,
				     text, revision, skh_clock_boot_us());
}

static void update_domain(skh_target_t *target, const skh_domain_status_t *domains)
{
	const char *name = target->server->failure_domain;
	const skh_domain_news_t *statement =
		domains ? skh_domain_status_find(domains, skh_domain_hash(name)) : NULL;
	bool is_out = statement && statement->kind == SKH_DOMAIN_NEWS_OUT;

	if (is_out != target->is_domain_out)
		skh_log(SKH_LOG_INFO, PART,
			is_out ? "Server's failure domain is out of service; the server gets no "
				 "new "
				 "requests."
			       : "Server's failure domain is back in service.",
			"server=%s domain=%s running=%u", target->server->id, name,
			target->own_in_flight);
	if (statement && !is_out && target->is_domain_out)
		skh_server_warmth_begin(&target->warmth, &target->target_pool->warmth_spec,
					statement->era, statement->revision, skh_clock_boot_us());
	target->is_domain_out = is_out;
}

static void update_region(gpointer id, gpointer value, gpointer context)
{
	skh_target_t *target = value;

	(void)id;
	target->region =
		g_intern_string(g_hash_table_lookup(context, target->server->failure_domain));
}

void skh_backends_set_regions(skh_backends_t *backends, GHashTable *regions)
{
	g_hash_table_unref(backends->regions);
	backends->regions = regions;
	g_hash_table_foreach(backends->targets, update_region, regions);
}

bool skh_backends_has_regions(const skh_backends_t *backends)
{
	return g_hash_table_size(backends->regions) > 0;
}

static skh_target_t *add_target(skh_backends_t *backends, const skh_server_t *server)
{
	skh_target_t *target = g_new0(skh_target_t, 1);

	target->server = skh_server_copy(server);
	target->target_pool = skh_backends_get_or_create_pool(backends, server->service);
	target->upstream_pool = skh_upstream_pool_new(backends->loop, server->host, server->port,
						      backends->options);
	target->references = 1;
	target->slowdown = 1.0;
	target->is_listed = true;
	target->is_in_other_domain = backends->failure_domain && server->failure_domain &&
				     strcmp(backends->failure_domain, server->failure_domain) != 0;
	update_slowdown(target, backends->slowdowns);
	update_domain(target, backends->domains);
	update_region(NULL, target, backends->regions);
	/* The entry may be older than the start of the instance or the return of its domain. */
	skh_server_warmth_record_entry(&target->warmth, server->cold_left_us, server->era,
				       server->revision, skh_clock_boot_us(), skh_clock_boot_us());
	skh_server_warmth_begin(&target->warmth, &target->target_pool->warmth_spec, server->era,
				server->revision, skh_clock_boot_us());
	g_ptr_array_add(target->target_pool->targets, target);
	g_hash_table_insert(backends->targets, target->server->id, target);
	skh_log(SKH_LOG_INFO, PART, "Server is listed.", "server=%s service=%s address=%s:%u",
		server->id, server->service, server->host, server->port);
	return target;
}

/* Appends the server's target to @added if it is a new one. */
static void update_server(skh_backends_t *backends, const skh_server_t *server, GPtrArray *added)
{
	skh_target_t *target = g_hash_table_lookup(backends->targets, server->id);

	if (target && !is_same_instance(target->server, server)) {
		skh_log(SKH_LOG_INFO, PART,
			"Server has started again; its connections and statistics are reset.",
			"server=%s", server->id);
		report_lost(backends, target);
		(void)g_hash_table_remove(backends->targets, server->id);
		target = NULL;
	}
	if (!target) {
		g_ptr_array_add(added, add_target(backends, server));
		return;
	}
	if (server->is_leaving && !target->server->is_leaving)
		skh_log(SKH_LOG_INFO, PART, "Server is leaving and gets no new requests.",
			"server=%s", server->id);
	target->server->is_leaving = server->is_leaving;
	target->server->slots = server->slots;
	if (strcmp(target->server->failure_domain, server->failure_domain) != 0) {
		g_free(target->server->failure_domain);
		target->server->failure_domain = g_strdup(server->failure_domain);
		update_domain(target, backends->domains);
		update_region(NULL, target, backends->regions);
	}
}

/* Context of is_unlisted(). */
typedef struct unlisted_search {
	const skh_backends_t *backends;
	const skh_roster_t *roster;
} unlisted_search_t;

static gboolean is_unlisted(gpointer id, gpointer value, gpointer context)
{
	const unlisted_search_t *search = context;

	if (skh_roster_find(search->roster, id))
		return FALSE;
	report_lost(search->backends, value);
	skh_log(SKH_LOG_INFO, PART, "Server is no longer listed and gets no new requests.",
		"server=%s", (const char *)id);
	return TRUE;
}

static gint compare_target_ids(gconstpointer left, gconstpointer right)
{
	const skh_target_t *const *a = left;
	const skh_target_t *const *b = right;

	return strcmp((*a)->server->id, (*b)->server->id);
}

/* Gateways divide the servers into shares by their position. */
static void sort_targets(gpointer name, gpointer value, gpointer context)
{
	(void)name;
	(void)context;
	g_ptr_array_sort(((skh_target_pool_t *)value)->targets, compare_target_ids);
}

/* Servers that were listed before the service named a cold time may be cold, see add_target(). */
static void set_warmth_spec(skh_target_pool_t *pool, const skh_warmth_spec_t *spec)
{
	bool was_set = skh_warmth_spec_is_set(&pool->warmth_spec);

	pool->warmth_spec = *spec;
	for (guint i = 0; !was_set && skh_warmth_spec_is_set(spec) && i < pool->targets->len; i++) {
		skh_target_t *target = g_ptr_array_index(pool->targets, i);

		skh_server_warmth_begin(&target->warmth, spec, target->server->era,
					target->server->revision, skh_clock_boot_us());
	}
}

/* Services that the new routing table does not name are not configured any more. */
static void begin_services(skh_backends_t *backends)
{
	GHashTableIter iter;
	gpointer pool;

	backends->has_routing = true;
	g_hash_table_iter_init(&iter, backends->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		((skh_target_pool_t *)pool)->is_configured = false;
}

void skh_backends_sync(skh_backends_t *backends, const skh_roster_t *roster,
		       const skh_routing_t *routing)
{
	g_autoptr(GPtrArray) added = g_ptr_array_new();

	for (guint i = 0; roster && i < roster->servers->len; i++)
		update_server(backends, g_ptr_array_index(roster->servers, i), added);
	if (roster)
		(void)g_hash_table_foreach_remove(
			backends->targets, is_unlisted,
			&(unlisted_search_t){ .backends = backends, .roster = roster });
	if (roster)
		g_hash_table_foreach(backends->pools, sort_targets, NULL);
	if (routing)
		begin_services(backends);
	for (guint i = 0; routing && i < routing->services->len; i++) {
		const skh_service_info_t *service = skh_routing_get_service(routing, i);
		skh_target_pool_t *pool = skh_backends_get_or_create_pool(backends, service->name);

		pool->is_configured = true;
		pool->is_lock_step =
			service->has_engine_spec && service->engine_spec.expert_sets > 0;
		pool->step_ms = service->engine_spec.step_ms;
		pool->step_ms_per_request = service->engine_spec.step_ms_per_request;
		pool->expert_time_ratio = service->engine_spec.expert_time_ratio;
		pool->steps_per_pass = service->engine_spec.steps_per_pass;
		pool->rank_slots = service->engine_spec.request_slots;
		pool->max_connections = service->max_connections;
		set_warmth_spec(
			pool, &(skh_warmth_spec_t){ service->cold_start_us, service->cold_per_s,
						    backends->cold_overage, backends->cold_slack });
		pool->cache_capacity = service->engine_spec.cache_tokens;
		pool->typical_first_event_ms = service->has_engine_spec
						       ? TYPICAL_FIRST_EVENT_RANK_MS
						       : TYPICAL_FIRST_EVENT_PLAIN_MS;
	}
	update_superseded(backends);
	/* A former instance at a server's address has left its group by now. */
	for (guint i = 0; i < added->len; i++)
		skh_pool_groups_on_listed(g_ptr_array_index(added, i), skh_clock_boot_us());
}

bool skh_target_is_retired(const skh_target_t *target)
{
	return target->server->is_leaving || target->has_announced_leaving || target->is_superseded;
}

static bool is_excluded(const GPtrArray *excluded_targets, const skh_target_t *target)
{
	return excluded_targets && g_ptr_array_find((GPtrArray *)excluded_targets, target, NULL);
}

/* Time until which the server wants no request of this gateway. */
static int64_t get_accepts_from_us(const skh_target_t *target, int64_t now_us)
{
	int64_t free_from_us = skh_server_limit_free_from_us(&target->limit, now_us);

	if (skh_warmth_spec_is_set(&target->target_pool->warmth_spec))
		free_from_us =
			MAX(free_from_us, skh_server_warmth_free_from_us(&target->warmth, now_us));
	return MAX(target->rejects_until_us, free_from_us);
}

/* A cold server is slow; its load counts as higher, by the time for which it stays cold. */
static double get_warmup_requests(const skh_target_t *target, int64_t now_us)
{
	const skh_warmth_spec_t *spec = &target->target_pool->warmth_spec;
	int64_t left_us = skh_server_warmth_left_us(&target->warmth, now_us);

	if (!skh_warmth_spec_is_set(spec) || left_us == 0)
		return 0.0;
	return WARMUP_PENALTY_REQUESTS * MIN((double)left_us / (double)spec->cold_start_us, 1.0);
}

/* Whether the server may get a request of this gateway now. */
static bool is_eligible(const skh_target_t *target, int64_t now_us)
{
	return !skh_target_is_retired(target) && !target->is_domain_out &&
	       skh_homes_allow(target->target_pool->homes, target->region) &&
	       now_us >= target->wrong_instance_until_us &&
	       now_us >= get_accepts_from_us(target, now_us);
}

/* Tokens of a request in the KV cache, by those in flight. */
static double find_mean_cache_tokens(const skh_target_pool_t *pool)
{
	double tokens = 0.0;
	uint32_t running = 0;

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);

		tokens += target->cache_tokens;
		running += target->own_in_flight;
	}
	return running > 0 ? tokens / running : pool->next_cache_tokens;
}

/* Requests of other gateways; a statement of the server counts less as it gets older. */
static double estimate_others(const skh_target_t *target, bool has_reports, int64_t now_us)
{
	int64_t age_us = now_us - target->stated_us;

	if (has_reports)
		return target->peers_running;
	if (target->stated_us == 0 || age_us >= LOAD_EXPIRY_US)
		return 0.0;
	return target->stated_others * (1.0 - (double)age_us / (double)LOAD_EXPIRY_US);
}

/*
 * Whether the next request does not fit beside those in flight. The other gateways' requests are
 * taken to be like the own ones. A server without requests is never full.
 */
static bool is_cache_full(const skh_target_t *target, bool has_reports, double mean_tokens,
			  int64_t now_us)
{
	const skh_target_pool_t *pool = target->target_pool;
	double others = estimate_others(target, has_reports, now_us);
	double tokens = target->cache_tokens + mean_tokens * others;

	return pool->cache_capacity > 0.0 && (target->own_in_flight > 0 || others > 0.0) &&
	       tokens + pool->next_cache_tokens > pool->cache_capacity;
}

static skh_target_t *select_target(skh_target_pool_t *pool, const GPtrArray *excluded_targets,
				   skh_server_share_t share, bool probe_only, int64_t now_us)
{
	g_autofree skh_candidate_t *candidates = g_new0(skh_candidate_t, pool->targets->len + 1);
	skh_selection_input_t view = { .candidates = candidates,
				       .n_candidates = pool->targets->len,
				       .is_lock_step = pool->is_lock_step,
				       .overcommit = pool->is_lock_step ? OVERCOMMIT_RANK_REQUESTS
									: OVERCOMMIT_PLAIN_REQUESTS,
				       .random = skh_random_u64() >> 1,
				       .now_us = now_us,
				       .share = share };
	double mean_tokens = find_mean_cache_tokens(pool);
	int32_t selected;

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);

		candidates[i] = (skh_candidate_t){
			.slots = target->server->slots,
			.running = target->own_in_flight +
				   (share.count == 0 ? target->peers_running : 0),
			.others_running = target->stated_others,
			.others_us = target->stated_us,
			.is_in_other_domain = target->is_in_other_domain,
			.expected_tokens = target->expected_tokens,
			.is_cache_full =
				is_cache_full(target, share.count == 0, mean_tokens, now_us),
			.mean_latency_ms = target->mean_latency_ms,
			.slowdown = target->slowdown,
			.warmup_requests = get_warmup_requests(target, now_us),
			.failure_ratio = target->failure_ratio,
			.avoid_until_us = target->avoid_until_us,
			.full_until_us = target->full_until_us,
			.is_excluded = !is_eligible(target, now_us) ||
				       is_excluded(excluded_targets, target),
		};
	}
	selected = pool->is_lock_step
			   ? skh_pool_groups_select(pool, &view, excluded_targets, probe_only)
			   : skh_select_server(&view);
	return selected == SKH_SELECTION_NONE ? NULL
					      : g_ptr_array_index(pool->targets, (guint)selected);
}

skh_target_t *skh_target_pool_select(skh_target_pool_t *pool, const GPtrArray *excluded_targets,
				     skh_server_share_t share, int64_t now_us)
{
	return select_target(pool, excluded_targets, share, false, now_us);
}

skh_target_t *skh_target_pool_select_probe(skh_target_pool_t *pool,
					   const GPtrArray *excluded_targets,
					   skh_server_share_t share, int64_t now_us)
{
	return pool->is_lock_step ? select_target(pool, excluded_targets, share, true, now_us)
				  : NULL;
}

void skh_backends_set_cold_bounds(skh_backends_t *backends, double overage, double slack)
{
	GHashTableIter iter;
	gpointer pool;

	backends->cold_overage = overage;
	backends->cold_slack = slack;
	g_hash_table_iter_init(&iter, backends->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool)) {
		((skh_target_pool_t *)pool)->warmth_spec.overage = overage;
		((skh_target_pool_t *)pool)->warmth_spec.slack = slack;
	}
}

void skh_target_update_warmth(skh_target_t *target, uint64_t gateway,
			      const skh_gateway_list_t *others, int64_t now_us)
{
	const skh_warmth_spec_t *spec = &target->target_pool->warmth_spec;
	bool is_cold =
		skh_warmth_spec_is_set(spec) && skh_server_warmth_is_cold(&target->warmth, now_us);

	skh_server_warmth_update(&target->warmth, spec, skh_server_instance_hash(target->server),
				 gateway, others, now_us);
	if (is_cold == target->was_cold)
		return;
	target->was_cold = is_cold;
	skh_metrics_add(is_cold ? SKH_COUNT_SERVERS_COLD : SKH_COUNT_SERVERS_WARM, 1);
	skh_log(SKH_LOG_INFO, PART,
		is_cold ? "Server is cold, or may be; it gets few requests." : "Server is warm.",
		"server=%s left_ms=%" G_GINT64_FORMAT " part_per_s=%.2f", target->server->id,
		skh_server_warmth_left_us(&target->warmth, now_us) / SKH_US_PER_MS,
		target->warmth.limit.part_per_s);
}

void skh_target_record_cold(skh_target_t *target, const char *left_ms, int64_t now_us)
{
	char *end = NULL;
	double value_ms = g_ascii_strtod(left_ms, &end);

	if (end == left_ms || *end != '\0' || !(value_ms >= 0.0)) {
		skh_log(SKH_LOG_DEBUG, PART, "Server's cold time is not a number of milliseconds.",
			"server=%s value=%.32s", target->server->id, left_ms);
		return;
	}
	skh_server_warmth_record_response(
		&target->warmth, (int64_t)(MIN(value_ms, MAX_COLD_MS) * (double)SKH_US_PER_MS),
		now_us);
}

static uint32_t count_slots_in_service(const skh_target_pool_t *pool)
{
	uint32_t slots = 0;

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);

		if (!skh_target_is_retired(target) && !target->is_domain_out)
			slots += target->server->slots;
	}
	return slots;
}

/*
 * The completion rate is that of the last seconds. When slots are lost, the expected wait is to
 * rise at once; when they come back, the rate rises by itself.
 */
static void update_pool_domains(gpointer name, gpointer value, gpointer context)
{
	skh_target_pool_t *pool = value;
	uint32_t slots_before = count_slots_in_service(pool);
	uint32_t slots;

	(void)name;
	for (guint i = 0; i < pool->targets->len; i++)
		update_domain(g_ptr_array_index(pool->targets, i), context);
	slots = count_slots_in_service(pool);
	for (size_t i = 0; slots < slots_before && i < SKH_TARGET_POOL_RATE_SLOTS; i++)
		pool->completed[i] *= (double)slots / (double)slots_before;
}

void skh_backends_set_domains(skh_backends_t *backends, const skh_domain_status_t *status)
{
	backends->domains = status;
	g_hash_table_foreach(backends->pools, update_pool_domains, (gpointer)status);
}

void skh_target_pool_set_homes(skh_target_pool_t *pool, const skh_homes_t *homes)
{
	pool->homes = homes;
}

skh_home_state_t skh_target_pool_find_home(const skh_target_pool_t *pool, const skh_homes_t *homes)
{
	skh_home_state_t state = SKH_HOME_NO_SERVER;

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);

		if (skh_target_is_retired(target) || !skh_homes_allow(homes, target->region))
			continue;
		if (!target->is_domain_out)
			return SKH_HOME_SERVED;
		state = SKH_HOME_OUT_OF_SERVICE;
	}
	return state;
}

bool skh_target_pool_is_out_of_service(const skh_target_pool_t *pool)
{
	return skh_target_pool_find_home(pool, NULL) == SKH_HOME_OUT_OF_SERVICE;
}

bool skh_target_pool_has_servers(const skh_target_pool_t *pool)
{
	for (guint i = 0; i < pool->targets->len; i++) {
		if (!skh_target_is_retired(g_ptr_array_index(pool->targets, i)))
			return true;
	}
	return false;
}

int64_t skh_target_pool_accepts_from_us(const skh_target_pool_t *pool, int64_t now_us)
{
	int64_t earliest_us = INT64_MAX;

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(pool->targets, i);

		if (!skh_target_is_retired(target) && !target->is_domain_out)
			earliest_us = MIN(earliest_us, get_accepts_from_us(target, now_us));
	}
	return earliest_us == INT64_MAX || earliest_us <= now_us ? 0 : earliest_us;
}

static void advance_rate_slots(skh_target_pool_t *pool, int64_t now_us)
{
	int64_t slot = now_us / RATE_SLOT_US;

	if (slot - pool->newest_slot > SKH_TARGET_POOL_RATE_SLOTS)
		pool->newest_slot = slot - SKH_TARGET_POOL_RATE_SLOTS;
	while (pool->newest_slot < slot) {
		pool->newest_slot++;
		pool->completed[pool->newest_slot % SKH_TARGET_POOL_RATE_SLOTS] = 0.0;
	}
}

double skh_target_pool_completion_rate(const skh_target_pool_t *pool, int64_t now_us)
{
	int64_t slot = now_us / RATE_SLOT_US;
	double completed = 0.0;

	/* The current slot is left out because its time is not over. */
	for (int64_t i = 1; i < SKH_TARGET_POOL_RATE_SLOTS; i++) {
		int64_t past_slot = slot - i;

		if (past_slot <= pool->newest_slot &&
		    past_slot > pool->newest_slot - SKH_TARGET_POOL_RATE_SLOTS && past_slot >= 0)
			completed += pool->completed[past_slot % SKH_TARGET_POOL_RATE_SLOTS];
	}
	return completed * (double)SKH_US_PER_S /
	       (double)(RATE_SLOT_US * (SKH_TARGET_POOL_RATE_SLOTS - 1));
}

bool skh_target_pool_is_rank_unreachable(const skh_target_pool_t *pool, const skh_target_t *target,
					 int64_t now_us)
{
	skh_rank_liveness_input_t view = {
		/* Nothing is expected from streams that this gateway does not read. */
		.running = target->own_in_flight - target->own_paused,
		.streaming = target->own_streaming - target->own_paused,
		.last_received_us = target->last_received_us,
		.busy_since_us = target->busy_since_us,
		.now_us = now_us,
	};

	for (guint i = 0; i < pool->targets->len; i++) {
		const skh_target_t *other = g_ptr_array_index(pool->targets, i);

		if (other != target && other->group == target->group)
			view.group_last_received_us =
				MAX(view.group_last_received_us, other->last_received_us);
	}
	return pool->is_lock_step && target->group && skh_rank_liveness_is_unreachable(&view);
}

void skh_target_set_stream_paused(skh_target_t *target, bool is_paused, int64_t now_us)
{
	if (is_paused) {
		target->own_paused++;
		return;
	}
	target->own_paused--;
	/* The rank was silent meanwhile because this gateway did not read. */
	target->busy_since_us = now_us;
}

void skh_target_begin_attempt(skh_target_t *target, double expected_tokens, int64_t now_us)
{
	if (target->own_in_flight == 0)
		target->busy_since_us = now_us;
	skh_server_limit_take(&target->limit, now_us);
	skh_server_warmth_take(&target->warmth, now_us);
	target->references++;
	target->own_in_flight++;
	target->expected_tokens += expected_tokens;
}

static void record_failure(skh_target_t *target, skh_target_outcome_t outcome, int64_t now_us)
{
	uint32_t doublings = MIN(target->consecutive_failures, AVOID_MAX_DOUBLINGS);

	target->failure_ratio += FAILURE_EWMA_GAIN * (1.0 - target->failure_ratio);
	target->consecutive_failures++;
	/*
	 * A server that fails some requests is selected less often. One that is unreachable or
	 * fails three requests in a row is avoided for a while.
	 */
	if (outcome == SKH_TARGET_OUTCOME_UNREACHABLE || target->consecutive_failures > 2)
		target->avoid_until_us = now_us + (AVOID_BASE_US << doublings);
}

void skh_target_record_leaving(skh_target_t *target)
{
	if (target->has_announced_leaving)
		return;
	target->has_announced_leaving = true;
	skh_log(SKH_LOG_INFO, PART, "Server says that it is leaving and gets no new requests.",
		"server=%s listed_as_leaving=%d", target->server->id, target->server->is_leaving);
}

void skh_target_record_retry_after(skh_target_t *target, const char *retry_after, int64_t now_us)
{
	char *end = NULL;
	double wait_s = g_ascii_strtod(retry_after, &end);

	if (end == retry_after || *end != '\0' || !(wait_s > 0.0)) {
		skh_log(SKH_LOG_DEBUG, PART, "Server's Retry-After is not a number of seconds.",
			"server=%s value=%.32s", target->server->id, retry_after);
		return;
	}
	wait_s = MIN(wait_s, MAX_RETRY_AFTER_S);
	target->rejects_until_us =
		MAX(target->rejects_until_us, now_us + (int64_t)(wait_s * (double)SKH_US_PER_S));
	skh_log(SKH_LOG_INFO, PART, "Server rejects requests for a while and gets none.",
		"server=%s wait_ms=%.0f", target->server->id, wait_s * (double)SKH_MS_PER_S);
}

void skh_target_record_limit(skh_target_t *target, const char *per_s, int64_t now_us)
{
	char *end = NULL;
	double limit_per_s = per_s ? g_ascii_strtod(per_s, &end) : 0.0;
	bool was_limited = target->limit.per_s > 0.0;

	if (per_s && (end == per_s || *end != '\0' ||
		      !(limit_per_s >= 0.0 && limit_per_s <= MAX_LIMIT_PER_S))) {
		skh_log(SKH_LOG_DEBUG, PART, "Server's limit is not a number of requests a second.",
			"server=%s value=%.32s", target->server->id, per_s);
		return;
	}
	if (per_s)
		limit_per_s = MAX(limit_per_s, SKH_SERVER_LIMIT_MIN_PER_S);
	skh_server_limit_name(&target->limit, limit_per_s, now_us, true);
	if (was_limited != (target->limit.per_s > 0.0))
		skh_log(SKH_LOG_INFO, PART,
			was_limited ? "Server no longer names a limit."
				    : "Server names a limit; it gets fewer requests.",
			"server=%s per_s=%.2f", target->server->id, limit_per_s);
}

void skh_target_record_load(skh_target_t *target, const char *load, uint32_t own_running,
			    int64_t now_us)
{
	unsigned int running = 0;
	unsigned int queued = 0;
	unsigned int slots = 0;

	if (sscanf(load, "%6u,%6u,%6u", &running, &queued, &slots) != 3) {
		skh_log(SKH_LOG_DEBUG, PART, "Server's load is not three numbers.",
			"server=%s value=%.32s", target->server->id, load);
		return;
	}
	target->stated_others = running + queued - MIN(running + queued, own_running);
	target->stated_us = now_us;
}

void skh_target_mark_unreachable(skh_target_t *target, int64_t now_us)
{
	record_failure(target, SKH_TARGET_OUTCOME_UNREACHABLE, now_us);
}

static void record_success(skh_target_t *target, int64_t latency_us, int64_t now_us)
{
	double latency_ms = (double)latency_us / (double)SKH_US_PER_MS;

	target->consecutive_failures = 0;
	target->avoid_until_us = 0;
	target->failure_ratio -= FAILURE_EWMA_GAIN * target->failure_ratio;
	if (latency_us > 0)
		target->mean_latency_ms =
			target->mean_latency_ms > 0.0
				? target->mean_latency_ms +
					  LATENCY_EWMA_GAIN * (latency_ms - target->mean_latency_ms)
				: latency_ms;
	advance_rate_slots(target->target_pool, now_us);
	target->target_pool
		->completed[target->target_pool->newest_slot % SKH_TARGET_POOL_RATE_SLOTS] += 1.0;
}

void skh_target_end_attempt(skh_target_t *target, const skh_target_result_t *result, int64_t now_us)
{
	target->own_in_flight--;
	target->own_streaming -= result->is_streaming;
	target->expected_tokens -= result->expected_tokens;
	if (result->outcome == SKH_TARGET_OUTCOME_SUCCEEDED)
		record_success(target, result->latency_us, now_us);
	else if (result->outcome == SKH_TARGET_OUTCOME_FULL)
		target->full_until_us = now_us + FULL_PAUSE_US +
					(int64_t)(skh_random_u64() % (uint64_t)FULL_PAUSE_US);
	else if (result->outcome == SKH_TARGET_OUTCOME_WRONG_INSTANCE)
		target->wrong_instance_until_us = now_us + WRONG_INSTANCE_PAUSE_US;
	else if (result->outcome != SKH_TARGET_OUTCOME_CANCELLED)
		record_failure(target, result->outcome, now_us);
	skh_target_unref(target);
}

void skh_target_unref(skh_target_t *target)
{
	if (--target->references > 0)
		return;
	skh_upstream_pool_free(target->upstream_pool);
	skh_server_free(target->server);
	g_free(target);
}
