#include "backends.h"

#include "clock.h"
#include "log.h"
#include "rank_liveness.h"

#include <string.h>

#define PART "backends"
/* How fast what is known of a server follows its newest answers. */
#define MEAN_GAIN    0.2
#define FAILING_GAIN 0.15
/* A server that can't be reached is left alone for this long, doubled each time. */
#define AVOID_US   (200 * SKH_US_PER_MS)
#define AVOID_MOST 5 /* doublings */
/* A server that turned a request away has room again after about this. */
#define FULL_US (60 * SKH_US_PER_MS)
/* The entry of an instance that is gone lapses after three missed heartbeats. */
#define MISPLACED_US (4 * SKH_US_PER_S)
#define RATE_SLOT_US (500 * SKH_US_PER_MS)
/* Beyond its slots a plain server may be given this many, as answers take a moment to arrive. */
#define OVERCOMMIT_PLAIN 2
#define OVERCOMMIT_RANK	 1
#define FIRST_MS_RANK	 150
#define FIRST_MS_PLAIN	 80

struct skh_backends {
	uv_loop_t *loop;
	const skh_upstream_pool_options_t *options;
	GHashTable *targets; /* id -> skh_target_t */
	GHashTable *fronts;  /* service -> skh_target_pool_t */
	char *paces;	     /* of slow ranks, "\naddress pace" each */
};

static void free_front(gpointer data)
{
	skh_target_pool_t *front = data;

	(void)g_ptr_array_free(front->targets, TRUE);
	skh_request_queue_free(front->queue);
	g_free(front->service);
	g_free(front);
}

static void unlist(gpointer data)
{
	skh_target_t *target = data;

	target->listed = false;
	(void)g_ptr_array_remove(target->target_pool->targets, target);
	skh_target_unref(target);
}

skh_backends_t *skh_backends_new(uv_loop_t *loop, const skh_upstream_pool_options_t *options)
{
	skh_backends_t *backends = g_new0(skh_backends_t, 1);

	backends->loop = loop;
	backends->options = options;
	backends->paces = g_strdup("");
	backends->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unlist);
	backends->fronts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_front);
	return backends;
}

void skh_backends_free(skh_backends_t *backends)
{
	g_hash_table_unref(backends->targets);
	g_hash_table_unref(backends->fronts);
	g_free(backends->paces);
	g_free(backends);
}

skh_target_pool_t *skh_backends_get_or_create_pool(skh_backends_t *backends, const char *name)
{
	skh_target_pool_t *front = g_hash_table_lookup(backends->fronts, name);

	if (front)
		return front;
	front = g_new0(skh_target_pool_t, 1);
	front->service = g_strdup(name);
	front->targets = g_ptr_array_new();
	front->queue = skh_request_queue_new();
	front->typical_first_event_ms = FIRST_MS_PLAIN;
	g_hash_table_insert(backends->fronts, front->service, front);
	return front;
}

skh_target_t *skh_backends_find_target(skh_backends_t *backends, const char *id)
{
	return g_hash_table_lookup(backends->targets, id);
}

void skh_backends_for_each_pool(skh_backends_t *backends, skh_target_pool_fn fn, void *context)
{
	GHashTableIter iter;
	gpointer front;

	g_hash_table_iter_init(&iter, backends->fronts);
	while (g_hash_table_iter_next(&iter, NULL, &front))
		fn(front, context);
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

/* After a crash the entry of before stays listed for a while beside the new one. */
static void note_address(gpointer key, gpointer value, gpointer context)
{
	skh_target_t *other = value;
	skh_target_t *fresh = context;
	bool is_later = fresh->server->started_unix_ms > other->server->started_unix_ms;

	(void)key;
	if (other == fresh || other->server->port != fresh->server->port ||
	    strcmp(other->server->host, fresh->server->host) != 0 ||
	    fresh->server->started_unix_ms == other->server->started_unix_ms)
		return;
	other->superseded = other->superseded || is_later;
	fresh->superseded = fresh->superseded || !is_later;
	skh_log(SKH_LOG_INFO, PART, "Address has a new instance.", "address=%s:%u old=%s new=%s",
		fresh->server->host, fresh->server->port,
		is_later ? other->server->id : fresh->server->id,
		is_later ? fresh->server->id : other->server->id);
}

/* By the coordinators' last word; each line of it begins after a line's end. */
static void follow_pace(skh_target_t *target, const char *paces)
{
	g_autofree char *address =
		g_strdup_printf("\n%s:%u ", target->server->host, target->server->port);
	const char *line = strstr(paces, address);
	double pace = line ? g_ascii_strtod(line + strlen(address), NULL) : 1.0;

	if (pace != target->slowdown)
		skh_log(SKH_LOG_INFO, PART, "Pace of a rank.", "server=%s pace=%.1f",
			target->server->id, pace);
	target->slowdown = pace;
}

static void set_pace(gpointer id, gpointer value, gpointer context)
{
	(void)id;
	follow_pace(value, context);
}

void skh_backends_set_slowdowns(skh_backends_t *backends, const char *text)
{
	g_free(backends->paces);
	backends->paces = g_strconcat("\n", text, NULL);
	g_hash_table_foreach(backends->targets, set_pace, backends->paces);
}

static void add_target(skh_backends_t *backends, const skh_server_t *server)
{
	skh_target_t *target = g_new0(skh_target_t, 1);

	target->server = skh_server_copy(server);
	target->target_pool = skh_backends_get_or_create_pool(backends, server->service);
	target->pool = skh_upstream_pool_new(backends->loop, server->host, server->port,
					     backends->options);
	target->references = 1;
	target->slowdown = 1.0;
	target->listed = true;
	follow_pace(target, backends->paces);
	g_ptr_array_add(target->target_pool->targets, target);
	skh_group_breaker_record_rank_start(&target->target_pool->gate, skh_clock_boot_us());
	g_hash_table_insert(backends->targets, target->server->id, target);
	g_hash_table_foreach(backends->targets, note_address, target);
	skh_log(SKH_LOG_INFO, PART, "Server listed.", "server=%s service=%s address=%s:%u",
		server->id, server->service, server->host, server->port);
}

static void follow_server(skh_backends_t *backends, const skh_server_t *server)
{
	skh_target_t *target = g_hash_table_lookup(backends->targets, server->id);

	if (target && !is_same_instance(target->server, server)) {
		skh_log(SKH_LOG_INFO, PART, "Server started anew.", "server=%s", server->id);
		(void)g_hash_table_remove(backends->targets, server->id);
		target = NULL;
	}
	if (!target) {
		add_target(backends, server);
		return;
	}
	if (server->leaving && !target->server->leaving)
		skh_log(SKH_LOG_INFO, PART, "Server is leaving.", "server=%s", server->id);
	target->server->leaving = server->leaving;
	target->server->slots = server->slots;
}

static gboolean is_gone(gpointer id, gpointer value, gpointer context)
{
	(void)value;
	if (skh_roster_find(context, id))
		return FALSE;
	skh_log(SKH_LOG_INFO, PART, "Server is gone.", "server=%s", (const char *)id);
	return TRUE;
}

void skh_backends_sync(skh_backends_t *backends, const skh_roster_t *roster,
		       const skh_routing_t *routing)
{
	for (guint i = 0; roster && i < roster->servers->len; i++)
		follow_server(backends, g_ptr_array_index(roster->servers, i));
	if (roster)
		(void)g_hash_table_foreach_remove(backends->targets, is_gone, (gpointer)roster);
	for (guint i = 0; routing && i < routing->services->len; i++) {
		const skh_service_info_t *service = skh_routing_get_service(routing, i);
		skh_target_pool_t *front = skh_backends_get_or_create_pool(backends, service->name);

		front->lock_step = service->has_engine && service->engine.expert_sets > 0;
		front->max_connections = service->max_connections;
		front->typical_first_event_ms =
			service->has_engine ? FIRST_MS_RANK : FIRST_MS_PLAIN;
	}
}

static bool was_tried(const GPtrArray *tried, const skh_target_t *target)
{
	return tried && g_ptr_array_find((GPtrArray *)tried, target, NULL);
}

skh_target_t *skh_target_pool_select(skh_target_pool_t *front, const GPtrArray *tried,
				     int64_t now_us)
{
	g_autofree skh_candidate_t *list = g_new0(skh_candidate_t, front->targets->len + 1);
	skh_selection_view_t view = { .candidates = list,
				      .n_candidates = front->targets->len,
				      .lock_step = front->lock_step,
				      .overcommit =
					      front->lock_step ? OVERCOMMIT_RANK : OVERCOMMIT_PLAIN,
				      .random = skh_random_u64() >> 1,
				      .now_us = now_us };
	int32_t chosen;

	for (guint i = 0; i < front->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(front->targets, i);

		list[i] = (skh_candidate_t){
			.slots = target->server->slots,
			.running = target->own_running + target->peers_running,
			.expected_tokens = target->expected_tokens,
			.mean_ms = target->mean_latency_ms,
			.slowdown = target->slowdown,
			.failure_ratio = target->failure_ratio,
			.avoid_until_us = target->avoid_until_us,
			.full_until_us = target->full_until_us,
			.excluded = target->server->leaving || target->superseded ||
				    now_us < target->wrong_instance_until_us ||
				    was_tried(tried, target),
		};
	}
	chosen = skh_select_server(&view);
	return chosen == SKH_SELECTION_NONE ? NULL
					    : g_ptr_array_index(front->targets, (guint)chosen);
}

bool skh_target_pool_has_servers(const skh_target_pool_t *front)
{
	for (guint i = 0; i < front->targets->len; i++) {
		const skh_target_t *target = g_ptr_array_index(front->targets, i);

		if (!target->server->leaving && !target->superseded)
			return true;
	}
	return false;
}

static void advance_rate(skh_target_pool_t *front, int64_t now_us)
{
	int64_t slot = now_us / RATE_SLOT_US;

	if (slot - front->completed_slot > SKH_TARGET_POOL_RATE_SLOTS)
		front->completed_slot = slot - SKH_TARGET_POOL_RATE_SLOTS;
	while (front->completed_slot < slot) {
		front->completed_slot++;
		front->completed[front->completed_slot % SKH_TARGET_POOL_RATE_SLOTS] = 0.0;
	}
}

double skh_target_pool_completion_rate(const skh_target_pool_t *front, int64_t now_us)
{
	int64_t slot = now_us / RATE_SLOT_US;
	double done = 0.0;

	/* The slot that has just begun says little yet. */
	for (int64_t i = 1; i < SKH_TARGET_POOL_RATE_SLOTS; i++) {
		int64_t at = slot - i;

		if (at <= front->completed_slot &&
		    at > front->completed_slot - SKH_TARGET_POOL_RATE_SLOTS && at >= 0)
			done += front->completed[at % SKH_TARGET_POOL_RATE_SLOTS];
	}
	return done * (double)SKH_US_PER_S /
	       (double)(RATE_SLOT_US * (SKH_TARGET_POOL_RATE_SLOTS - 1));
}

bool skh_target_pool_is_rank_lost(const skh_target_pool_t *front, const skh_target_t *target,
				  int64_t now_us)
{
	skh_rank_liveness_view_t view = {
		.running = target->own_running,
		.streaming = target->own_streaming,
		.last_received_us = target->last_received_us,
		.busy_since_us = target->busy_since_us,
		.now_us = now_us,
	};

	for (guint i = 0; i < front->targets->len; i++) {
		const skh_target_t *other = g_ptr_array_index(front->targets, i);

		if (other != target)
			view.group_last_received_us =
				MAX(view.group_last_received_us, other->last_received_us);
	}
	return front->lock_step && skh_rank_liveness_is_unreachable(&view);
}

void skh_target_begin_request(skh_target_t *target, double work, int64_t now_us)
{
	if (target->own_running == 0)
		target->busy_since_us = now_us;
	target->references++;
	target->own_running++;
	target->expected_tokens += work;
}

static void note_failure(skh_target_t *target, skh_outcome_t outcome, int64_t now_us)
{
	uint32_t doublings = MIN(target->consecutive_failures, AVOID_MOST);

	target->failure_ratio += FAILING_GAIN * (1.0 - target->failure_ratio);
	target->consecutive_failures++;
	/* A server that fails part of its requests is used less; a dead one not at all. */
	if (outcome == SKH_OUTCOME_UNREACHABLE || target->consecutive_failures > 2)
		target->avoid_until_us = now_us + (AVOID_US << doublings);
}

void skh_target_mark_unreachable(skh_target_t *target, int64_t now_us)
{
	note_failure(target, SKH_OUTCOME_UNREACHABLE, now_us);
}

static void note_success(skh_target_t *target, int64_t took_us, int64_t now_us)
{
	double took_ms = (double)took_us / (double)SKH_US_PER_MS;

	target->consecutive_failures = 0;
	target->avoid_until_us = 0;
	target->failure_ratio -= FAILING_GAIN * target->failure_ratio;
	if (took_us > 0)
		target->mean_latency_ms =
			target->mean_latency_ms > 0.0
				? target->mean_latency_ms +
					  MEAN_GAIN * (took_ms - target->mean_latency_ms)
				: took_ms;
	advance_rate(target->target_pool, now_us);
	target->target_pool
		->completed[target->target_pool->completed_slot % SKH_TARGET_POOL_RATE_SLOTS] +=
		1.0;
}

void skh_target_end_request(skh_target_t *target, const skh_target_result_t *use, int64_t now_us)
{
	target->own_running--;
	target->own_streaming -= use->streaming;
	target->expected_tokens -= use->expected_tokens;
	if (use->outcome == SKH_OUTCOME_SUCCEEDED)
		note_success(target, use->latency_us, now_us);
	else if (use->outcome == SKH_OUTCOME_FULL)
		target->full_until_us =
			now_us + FULL_US + (int64_t)(skh_random_u64() % (uint64_t)FULL_US);
	else if (use->outcome == SKH_OUTCOME_WRONG_INSTANCE)
		target->wrong_instance_until_us = now_us + MISPLACED_US;
	else if (use->outcome != SKH_OUTCOME_CANCELED)
		note_failure(target, use->outcome, now_us);
	skh_target_unref(target);
}

void skh_target_unref(skh_target_t *target)
{
	if (--target->references > 0)
		return;
	skh_upstream_pool_free(target->pool);
	skh_server_free(target->server);
	g_free(target);
}
