/*
 * Replays requests against the routing of src/peer_selection.h and its rivals, in
 * virtual time with fixed seeds. Entries do not talk to each other, load reports
 * are seconds late, servers batch continuously in a fixed number of slots and
 * keep some prompt prefixes. Prints a row for each policy and fleet.
 *
 * Usage: replay-route [LOAD_PERCENT]
 */
#include "clock.h"
#include "prefix_share.h"
#include "replay.h"
#include "peer_selection.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS	      120
#define SLOTS	      16
#define MEAN_DECODE_S 4.0
#define SIGMA_DECODE  0.6
#define MISS_US	      (120 * SKH_US_PER_MS) /* prefill of a prompt that is not cached */
#define HIT_US	      (20 * SKH_US_PER_MS)
#define NET_US	      (1 * SKH_US_PER_MS)
#define REPORT_US     (2 * SKH_US_PER_S) /* between two reports, and their age */
#define SNAPSHOT_US   (250 * SKH_US_PER_MS)
#define SNAPSHOTS     16
#define PREFIXES      1500
#define ZIPF	      0.9
#define CACHED	      60 /* prefixes that a server keeps */
#define WARM_UP_US    (30 * SKH_US_PER_S)
#define END_US	      (120 * SKH_US_PER_S)
#define PROBES	      SKH_MAX_NO_QUEUE_ATTEMPTS
#define SERVICE	      "assistant"

typedef enum policy {
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_LEAST,
	POLICY_TWO_CHOICES,
	POLICY_ROUTE,
	POLICY_ORACLE,
	POLICY_COUNT
} policy_t;

static const char *const policy_names[POLICY_COUNT] = {
	"random",	    "round robin",     "least loaded, lagged", "two choices, lagged",
	"peer_selection.c", "oracle (no lag)",
};

typedef struct request {
	uint32_t entry;
	uint32_t server;
	uint32_t prefix;
	uint32_t placements;
	double heat;
	int64_t arrived_us;
	int64_t decode_us;
	uint32_t tried[SKH_PEER_QUERY_MAX_TRIED];
} request_t;

typedef struct server {
	char id[16];
	uint32_t running;
	GQueue queue; /* request_t */
	int64_t prefill_free_us;
	int64_t cached_at_us[PREFIXES]; /* last use; 0 for not cached */
	uint32_t n_cached;
	uint32_t loads[SNAPSHOTS]; /* running and queued, every SNAPSHOT_US */
	double slowness;
} server_t;

typedef enum event_type {
	EVENT_ARRIVE,
	EVENT_REACH,   /* a request reaches its server */
	EVENT_REFUSED, /* the refusal is back at the entry */
	EVENT_STARTED, /* word of the start is back at the entry */
	EVENT_FINISH,
	EVENT_SNAPSHOT
} event_type_t;

typedef struct world {
	policy_t policy;
	uint32_t n_entries;
	double rate_per_us;
	GRand *random;
	replay_clock_t clock;
	server_t *servers;
	skh_peers_t **views;	    /* of each entry; only for POLICY_ROUTE */
	skh_prefix_share_t **heats; /* the same */
	double cumulative[PREFIXES];
	uint32_t turn;
	/* results */
	GArray *first_us;
	uint64_t hits;
	uint64_t requests;
	uint64_t refusals;
} world_t;

static void schedule(world_t *world, int64_t at_us, event_type_t type, request_t *request)
{
	replay_schedule(&world->clock, at_us, (int32_t)type, request);
}

static uint32_t load_of(const server_t *server)
{
	return server->running + g_queue_get_length((GQueue *)&server->queue);
}

static uint32_t lagged_load(const world_t *world, const server_t *server)
{
	int64_t index = MAX(world->clock.now_us - REPORT_US, 0) / SNAPSHOT_US;

	return server->loads[index % SNAPSHOTS];
}

static uint32_t draw_prefix(world_t *world)
{
	double u = g_rand_double(world->random) * world->cumulative[PREFIXES - 1];
	uint32_t low = 0;
	uint32_t high = PREFIXES - 1;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (world->cumulative[middle] < u)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static uint64_t prefix_hash(uint32_t prefix)
{
	return skh_chunk_hash(skh_chunk_make(&prefix, sizeof(prefix)), 1) | 1;
}

static uint64_t random_u64(world_t *world)
{
	return (uint64_t)g_rand_int(world->random) << 32 | g_rand_int(world->random);
}

static bool is_cached(const server_t *server, uint32_t prefix)
{
	return server->cached_at_us[prefix] != 0;
}

static void cache(server_t *server, uint32_t prefix, int64_t now_us)
{
	uint32_t oldest = 0;

	if (!is_cached(server, prefix) && server->n_cached == CACHED) {
		for (uint32_t i = 0; i < PREFIXES; i++) {
			if (server->cached_at_us[i] != 0 &&
			    (server->cached_at_us[oldest] == 0 ||
			     server->cached_at_us[i] < server->cached_at_us[oldest]))
				oldest = i;
		}
		server->cached_at_us[oldest] = 0;
		server->n_cached--;
	}
	server->n_cached += !is_cached(server, prefix);
	server->cached_at_us[prefix] = now_us;
}

/* When the first token would come, if the request were here now. */
static double true_wait_us(const world_t *world, const server_t *server, uint32_t prefix)
{
	double wait_us = (double)MAX(server->prefill_free_us - world->clock.now_us, 0);

	wait_us += (double)(is_cached(server, prefix) ? HIT_US : MISS_US) * server->slowness;
	if (server->running >= SLOTS)
		wait_us += (double)(g_queue_get_length((GQueue *)&server->queue) + 1) *
			   MEAN_DECODE_S * SKH_US_PER_S / SLOTS;
	return wait_us;
}

static uint32_t pick_oracle(const world_t *world, uint32_t prefix)
{
	uint32_t best = 0;
	double least = INFINITY;

	for (uint32_t i = 0; i < SERVERS; i++) {
		double wait_us = true_wait_us(world, &world->servers[i], prefix);

		/* Of equals the emptier one. */
		wait_us += load_of(&world->servers[i]);
		if (wait_us < least) {
			least = wait_us;
			best = i;
		}
	}
	return best;
}

static uint32_t pick_least(world_t *world)
{
	uint32_t best = 0;
	uint32_t ties = 0;

	for (uint32_t i = 0; i < SERVERS; i++) {
		uint32_t load = lagged_load(world, &world->servers[i]);
		uint32_t least = lagged_load(world, &world->servers[best]);

		if (load < least)
			ties = 0;
		if (load < least ||
		    (load == least && g_rand_int_range(world->random, 0, (int32_t)++ties) == 0))
			best = i;
	}
	return best;
}

static uint32_t pick_two(world_t *world)
{
	uint32_t a = (uint32_t)g_rand_int_range(world->random, 0, SERVERS);
	uint32_t b = (uint32_t)g_rand_int_range(world->random, 0, SERVERS);

	return lagged_load(world, &world->servers[b]) < lagged_load(world, &world->servers[a]) ? b
											       : a;
}

static uint32_t pick_route(world_t *world, const request_t *request)
{
	skh_peers_t *view = world->views[request->entry];
	skh_peer_query_t query = {
		.service = SERVICE,
		.failure_domain = "",
		.prefix_hash = prefix_hash(request->prefix),
		.prefix_share = request->heat,
	};
	skh_error_t err;
	skh_peer_t *peer;

	for (uint32_t i = 0; i < request->placements; i++)
		query.tried[query.n_tried++] = world->servers[request->tried[i]].id;
	peer = skh_select_peer(view, &query, random_u64(world), world->clock.now_us, &err);
	if (!peer)
		return (uint32_t)g_rand_int_range(world->random, 0, SERVERS);
	skh_peers_begin_request(peer, world->clock.now_us);
	return (uint32_t)atoi(peer->id + 1);
}

static uint32_t pick(world_t *world, const request_t *request)
{
	switch (world->policy) {
	case POLICY_ROUND_ROBIN:
		/* Each entry goes round on its own. */
		return (world->turn++ * 7919 + request->entry * 31) % SERVERS;
	case POLICY_LEAST:
		return pick_least(world);
	case POLICY_TWO_CHOICES:
		return pick_two(world);
	case POLICY_ROUTE:
		return pick_route(world, request);
	case POLICY_ORACLE:
		return pick_oracle(world, request->prefix);
	default:
		return (uint32_t)g_rand_int_range(world->random, 0, SERVERS);
	}
}

static void place(world_t *world, request_t *request)
{
	request->server = pick(world, request);
	if (request->placements < SKH_PEER_QUERY_MAX_TRIED)
		request->tried[request->placements] = request->server;
	request->placements++;
	schedule(world, world->clock.now_us + NET_US, EVENT_REACH, request);
}

static void arrive(world_t *world)
{
	request_t *request = g_new0(request_t, 1);
	double gap_us = replay_exponential(world->random, world->rate_per_us);
	double decode_us =
		replay_lognormal(world->random, MEAN_DECODE_S * SKH_US_PER_S, SIGMA_DECODE);

	request->entry = (uint32_t)g_rand_int_range(world->random, 0, (int32_t)world->n_entries);
	request->prefix = draw_prefix(world);
	request->arrived_us = world->clock.now_us;
	request->decode_us = (int64_t)decode_us;
	if (world->policy == POLICY_ROUTE)
		request->heat =
			skh_prefix_share_record(world->heats[request->entry],
						prefix_hash(request->prefix), world->clock.now_us);
	place(world, request);
	schedule(world, world->clock.now_us + (int64_t)gap_us + 1, EVENT_ARRIVE, NULL);
}

static void hear(world_t *world, uint32_t entry, uint32_t index, uint32_t running, uint32_t queued)
{
	Skh__Status status = SKH__STATUS__INIT;

	status.incarnation = 1;
	status.phase = SKH_PHASE_READY;
	status.service = SERVICE;
	status.capacity = SLOTS;
	status.running = running;
	status.queued = queued;
	(void)skh_peers_record_frame(skh_peers_find(world->views[entry], world->servers[index].id),
				     &status, 1, world->clock.now_us);
}

static void hear_now(world_t *world, const request_t *request)
{
	const server_t *server = &world->servers[request->server];

	if (world->policy == POLICY_ROUTE)
		hear(world, request->entry, request->server, server->running,
		     g_queue_get_length((GQueue *)&server->queue));
}

static void start(world_t *world, request_t *request)
{
	server_t *server = &world->servers[request->server];
	bool hit = is_cached(server, request->prefix);
	int64_t begin_us = MAX(world->clock.now_us, server->prefill_free_us);
	int64_t first_us =
		begin_us + (int64_t)((double)(hit ? HIT_US : MISS_US) * server->slowness);

	server->running++;
	server->prefill_free_us = first_us;
	cache(server, request->prefix, world->clock.now_us);
	if (request->arrived_us >= WARM_UP_US) {
		int64_t taken_us = first_us + NET_US - request->arrived_us;

		g_array_append_val(world->first_us, taken_us);
		world->hits += hit;
		world->requests++;
	}
	schedule(world, world->clock.now_us + NET_US, EVENT_STARTED, request);
	schedule(world, first_us + (int64_t)((double)request->decode_us * server->slowness),
		 EVENT_FINISH, request);
}

static void reach(world_t *world, request_t *request)
{
	server_t *server = &world->servers[request->server];

	if (server->running < SLOTS) {
		start(world, request);
	} else if (world->policy == POLICY_ROUTE && request->placements <= PROBES) {
		world->refusals++;
		schedule(world, world->clock.now_us + NET_US, EVENT_REFUSED, request);
	} else {
		g_queue_push_tail(&server->queue, request);
	}
}

static void give_back(world_t *world, const request_t *request)
{
	if (world->policy == POLICY_ROUTE)
		skh_peers_end_request(skh_peers_find(world->views[request->entry],
						     world->servers[request->server].id),
				      true, world->clock.now_us);
}

static void finish(world_t *world, request_t *request)
{
	server_t *server = &world->servers[request->server];
	request_t *next = g_queue_pop_head(&server->queue);

	server->running--;
	if (next)
		start(world, next);
	give_back(world, request);
	hear_now(world, request);
	g_free(request);
}

/* Reports reach an entry in turn, each REPORT_US old when it comes. */
static void report(world_t *world)
{
	uint32_t steps = REPORT_US / SNAPSHOT_US;
	uint32_t step = (uint32_t)(world->clock.now_us / SNAPSHOT_US) % steps;

	for (uint32_t e = 0; e < world->n_entries; e++) {
		for (uint32_t i = (e + step) % steps; i < SERVERS; i += steps) {
			const skh_peer_t *peer =
				skh_peers_find(world->views[e], world->servers[i].id);
			uint32_t load = lagged_load(world, &world->servers[i]);

			if (peer->last_received_us < world->clock.now_us - REPORT_US)
				hear(world, e, i, MIN(load, SLOTS), load - MIN(load, SLOTS));
		}
	}
}

static void snapshot(world_t *world)
{
	int64_t index = world->clock.now_us / SNAPSHOT_US % SNAPSHOTS;

	for (uint32_t i = 0; i < SERVERS; i++)
		world->servers[i].loads[index] = load_of(&world->servers[i]);
	if (world->policy == POLICY_ROUTE)
		report(world);
	schedule(world, world->clock.now_us + SNAPSHOT_US, EVENT_SNAPSHOT, NULL);
}

static void handle(world_t *world, const replay_event_t *event)
{
	request_t *request = event->data;

	switch ((event_type_t)event->type) {
	case EVENT_ARRIVE:
		arrive(world);
		break;
	case EVENT_REACH:
		reach(world, request);
		break;
	case EVENT_REFUSED:
		give_back(world, request);
		hear_now(world, request);
		place(world, request);
		break;
	case EVENT_STARTED:
		hear_now(world, request);
		break;
	case EVENT_FINISH:
		finish(world, request);
		break;
	case EVENT_SNAPSHOT:
		snapshot(world);
		break;
	}
}

static skh_peers_t *new_view(world_t *world)
{
	static char role[] = "sidecar";
	static char link[] = "tcp://x";
	static char empty[] = "";
	skh_instance_t members[SERVERS];
	skh_instances_t list = { members, SERVERS };
	skh_peers_t *view = skh_peers_new();

	for (uint32_t i = 0; i < SERVERS; i++)
		members[i] =
			(skh_instance_t){ world->servers[i].id, role, link, empty, empty, false };
	skh_peers_sync(view, &list, 0);
	return view;
}

static void open_world(world_t *world, policy_t policy, uint32_t n_entries, double load,
		       uint32_t stragglers)
{
	double sum = 0.0;

	memset(world, 0, sizeof(*world));
	world->policy = policy;
	world->n_entries = n_entries;
	world->rate_per_us = load * SERVERS * SLOTS / (MEAN_DECODE_S * SKH_US_PER_S);
	world->random = g_rand_new_with_seed(7);
	replay_open(&world->clock);
	world->first_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	world->servers = g_new0(server_t, SERVERS);
	for (uint32_t i = 0; i < PREFIXES; i++) {
		sum += pow(i + 1, -ZIPF);
		world->cumulative[i] = sum;
	}
	for (uint32_t i = 0; i < SERVERS; i++) {
		(void)g_snprintf(world->servers[i].id, sizeof(world->servers[i].id), "s%u", i);
		g_queue_init(&world->servers[i].queue);
		world->servers[i].slowness = i < stragglers ? 3.0 : 1.0;
	}
	if (policy != POLICY_ROUTE)
		return;
	world->views = g_new0(skh_peers_t *, n_entries);
	world->heats = g_new0(skh_prefix_share_t *, n_entries);
	for (uint32_t e = 0; e < n_entries; e++) {
		world->views[e] = new_view(world);
		world->heats[e] = skh_prefix_share_new();
		for (uint32_t i = 0; i < SERVERS; i++)
			hear(world, e, i, 0, 0);
	}
}

static void close_world(world_t *world)
{
	for (uint32_t e = 0; world->views && e < world->n_entries; e++) {
		skh_peers_free(world->views[e]);
		skh_prefix_share_free(world->heats[e]);
	}
	g_free(world->views);
	g_free(world->heats);
	for (uint32_t i = 0; i < SERVERS; i++)
		g_queue_clear_full(&world->servers[i].queue, g_free);
	g_free(world->servers);
	replay_close(&world->clock);
	g_array_unref(world->first_us);
	g_rand_free(world->random);
}

static void run(policy_t policy, uint32_t n_entries, double load, uint32_t stragglers)
{
	replay_event_t event;
	world_t world;

	open_world(&world, policy, n_entries, load, stragglers);
	schedule(&world, 0, EVENT_ARRIVE, NULL);
	schedule(&world, 0, EVENT_SNAPSHOT, NULL);
	while (replay_next(&world.clock, END_US, &event))
		handle(&world, &event);
	printf("| %4u | %-20s | %7.0f | %7.0f | %7.0f | %4.1f%% | %.3f |\n", n_entries,
	       policy_names[policy], replay_percentile_ms(world.first_us, 50),
	       replay_percentile_ms(world.first_us, 95), replay_percentile_ms(world.first_us, 99),
	       100.0 * (double)world.hits / (double)world.requests,
	       (double)world.refusals / (double)world.requests);
	(void)fflush(stdout);
	close_world(&world);
}

int main(int argc, char **argv)
{
	static const uint32_t entries[] = { 10, 40, 100, 400 };
	double load = argc > 1 ? atof(argv[1]) / 100.0 : 0.85;
	const char *head =
		"| entries | policy | p50 ms | p95 ms | p99 ms | cache hits | refusals a "
		"request |\n|---|---|---|---|---|---|---|\n";

	printf("\nRouting: %d servers x %d slots, %.0f%% load, reports %d s late; time to first "
	       "token\n\n%s",
	       SERVERS, SLOTS, load * 100.0, (int)(REPORT_US / SKH_US_PER_S), head);
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		for (policy_t p = POLICY_RANDOM; p < POLICY_COUNT; p++) {
			/* Only the size of 40 is shown for every rival. */
			if (entries[i] == 40 || p == POLICY_ROUTE || p == POLICY_LEAST)
				run(p, entries[i], load, 0);
		}
	}
	printf("\nThe same with 4 of the servers three times slower\n\n%s", head);
	for (policy_t p = POLICY_RANDOM; p < POLICY_COUNT; p++)
		run(p, 40, load, 4);
	return 0;
}
