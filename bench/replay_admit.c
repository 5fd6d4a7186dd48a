/*
 * Replays overload against the gates of src/gate.h and against naive ones (one
 * first-come first-served line, no refusals before it is full), in virtual time
 * with a fixed seed. Callers that are refused come again three times.
 *
 * Usage: replay-admit
 */
#include "clock.h"
#include "gate.h"
#include "request_fsm.h"
#include "replay.h"
#include "peer_selection.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS	      20
#define SLOTS	      16
#define QUEUE	      64
#define MEAN_RUN_S    4.0
#define SIGMA_RUN     0.6
#define CUSTOMERS     10
#define NET_US	      (1 * SKH_US_PER_MS)
#define TICK_US	      (50 * SKH_US_PER_MS)
#define DEADLINE_US   (20 * SKH_US_PER_S)
#define START_PART_US (10 * SKH_US_PER_S) /* of the deadline, as serve.c gives it */
#define COMES_AGAIN   3
#define BURST_FROM_US (40 * SKH_US_PER_S)
#define BURST_TO_US   (100 * SKH_US_PER_S)
#define AFTER_FROM_US (130 * SKH_US_PER_S) /* when all should be as before */
#define END_US	      (180 * SKH_US_PER_S)
#define NORMAL_LOAD   0.7

typedef struct scenario {
	const char *name;
	double hog;   /* what customer 0 sends in the burst, in normal loads */
	double all;   /* the same for the others */
	double batch; /* part of requests of a low priority */
} scenario_t;

static const scenario_t scenarios[] = {
	{ "steady 70%", 1.0, 1.0, 0.0 },
	{ "one customer x 10", 10.0, 1.0, 0.0 },
	{ "all at 2 x capacity", 2.0 / NORMAL_LOAD, 2.0 / NORMAL_LOAD, 0.0 },
	{ "2 x, a fifth is batch", 2.0 / NORMAL_LOAD, 2.0 / NORMAL_LOAD, 0.2 },
};

typedef struct request {
	uint32_t customer;
	uint32_t priority;
	uint32_t tries; /* times that its caller came */
	uint32_t placements;
	uint32_t overloads;
	uint32_t server;
	uint64_t attempt;
	int64_t first_us; /* when its caller first came */
	int64_t came_us;
	int64_t deadline_us;
	int64_t run_us;
} request_t;

typedef enum event_type {
	EVENT_COME,
	EVENT_REACH,
	EVENT_FINISH,
	EVENT_TICK
} event_type_t;

typedef struct server {
	skh_gate_t *gate;
	/* The naive server: */
	uint32_t running;
	GQueue line;
} server_t;

typedef struct world {
	const scenario_t *scenario;
	bool naive;
	GRand *random;
	replay_clock_t clock;
	uint64_t n_attempts;
	server_t servers[SERVERS];
	GHashTable *waiting; /* attempt -> request_t */
	/* results */
	GArray *others_us;   /* wait of customers 1.. in the burst */
	GArray *after_us;    /* wait of all, half a minute after the burst */
	GArray *refusals_us; /* from coming to the refusal */
	uint64_t on_time;    /* whole in time, of those that ended in the burst */
	uint64_t late;
	uint64_t refused;
	uint64_t batch_on_time;
} world_t;

static void schedule(world_t *world, int64_t at_us, event_type_t type, request_t *request)
{
	replay_schedule(&world->clock, at_us, (int32_t)type, request);
}

static bool in_burst(int64_t at_us)
{
	return at_us >= BURST_FROM_US && at_us < BURST_TO_US;
}

static int64_t draw_run_us(world_t *world)
{
	return (int64_t)replay_lognormal(world->random, MEAN_RUN_S * SKH_US_PER_S, SIGMA_RUN);
}

static void place(world_t *world, request_t *request)
{
	request->server = (uint32_t)g_rand_int_range(world->random, 0, SERVERS);
	request->placements++;
	schedule(world, world->clock.now_us + NET_US, EVENT_REACH, request);
}

static void come(world_t *world, request_t *request)
{
	request->came_us = world->clock.now_us;
	request->deadline_us = world->clock.now_us + DEADLINE_US;
	request->placements = 0;
	request->overloads = 0;
	request->tries++;
	place(world, request);
}

static void come_first(world_t *world, uint32_t customer)
{
	double factor = customer == 0 ? world->scenario->hog : world->scenario->all;
	double per_us = NORMAL_LOAD * SERVERS * SLOTS / (MEAN_RUN_S * SKH_US_PER_S) / CUSTOMERS;
	request_t *request = g_new0(request_t, 1);
	request_t *next = g_new0(request_t, 1);

	if (in_burst(world->clock.now_us))
		per_us *= factor;
	request->customer = customer;
	request->priority = g_rand_double(world->random) < world->scenario->batch ? 4 : 0;
	request->first_us = world->clock.now_us;
	request->run_us = draw_run_us(world);
	come(world, request);
	next->customer = customer;
	schedule(world,
		 world->clock.now_us + (int64_t)replay_exponential(world->random, per_us) + 1,
		 EVENT_COME, next);
}

/* The caller has its answer: no. It comes again when it was told to, a few times. */
static void refuse(world_t *world, request_t *request, int64_t retry_at_us)
{
	int64_t taken_us = world->clock.now_us + NET_US - request->came_us;

	if (in_burst(world->clock.now_us)) {
		g_array_append_val(world->refusals_us, taken_us);
		world->refused++;
	}
	if (request->tries > COMES_AGAIN) {
		g_free(request);
		return;
	}
	schedule(world,
		 MAX(retry_at_us, world->clock.now_us + SKH_US_PER_S) +
			 g_rand_int_range(world->random, 0, (int32_t)SKH_US_PER_S),
		 EVENT_COME, request);
}

static void start(world_t *world, request_t *request)
{
	int64_t waited_us = world->clock.now_us - request->first_us;

	if (request->customer != 0 && in_burst(request->first_us))
		g_array_append_val(world->others_us, waited_us);
	if (request->first_us >= AFTER_FROM_US)
		g_array_append_val(world->after_us, waited_us);
	schedule(world, world->clock.now_us + request->run_us, EVENT_FINISH, request);
}

static request_t *take_waiting(world_t *world, uint64_t attempt)
{
	request_t *request = g_hash_table_lookup(world->waiting, &attempt);

	if (request)
		g_hash_table_remove(world->waiting, &attempt);
	return request;
}

static void start_waiting(world_t *world, server_t *server)
{
	uint64_t attempt;

	if (world->naive) {
		while (server->running < SLOTS && !g_queue_is_empty(&server->line)) {
			server->running++;
			start(world, g_queue_pop_head(&server->line));
		}
		return;
	}
	while ((attempt = skh_gate_start_next(server->gate, world->clock.now_us)) != 0)
		start(world, take_waiting(world, attempt));
}

static void reach_naive(world_t *world, server_t *server, request_t *request)
{
	if (g_queue_get_length(&server->line) >= QUEUE) {
		refuse(world, request, 0);
		return;
	}
	g_queue_push_tail(&server->line, request);
	start_waiting(world, server);
}

static void on_refusal(world_t *world, request_t *request, const skh_error_t *err, bool queued)
{
	request->overloads += queued;
	if (request->overloads >= SKH_REQUEST_FSM_MAX_OVERLOAD_REJECTIONS)
		refuse(world, request, err->retry_at_us);
	else
		place(world, request);
}

static void reach(world_t *world, request_t *request)
{
	server_t *server = &world->servers[request->server];
	char customer[16];
	Skh__Start frame = SKH__START__INIT;
	skh_error_t err = { 0 };
	skh_gate_decision_t verdict;
	uint64_t evicted;

	if (world->naive) {
		reach_naive(world, server, request);
		return;
	}
	(void)g_snprintf(customer, sizeof(customer), "c%u", request->customer);
	request->attempt = ++world->n_attempts;
	frame.attempt = request->attempt;
	frame.incarnation = 1;
	frame.customer = customer;
	frame.weight = 1.0;
	frame.priority = request->priority;
	frame.start_before_us = world->clock.now_us + START_PART_US;
	frame.no_queue = request->placements <= SKH_MAX_NO_QUEUE_ATTEMPTS;
	verdict = skh_gate_admit(server->gate, &frame, world->clock.now_us, &err);
	if (verdict == SKH_GATE_DECISION_START)
		start(world, request);
	else if (verdict == SKH_GATE_DECISION_QUEUE)
		g_hash_table_insert(world->waiting, &request->attempt, request);
	else
		on_refusal(world, request, &err, !frame.no_queue);
	err.retry_at_us = 0;
	while ((evicted = skh_gate_pop_evicted(server->gate)) != 0)
		on_refusal(world, take_waiting(world, evicted), &err, true);
}

static void finish(world_t *world, request_t *request)
{
	server_t *server = &world->servers[request->server];
	bool on_time = world->clock.now_us <= request->deadline_us;

	if (world->naive)
		server->running--;
	else
		skh_gate_finish(server->gate, request->attempt, true);
	if (in_burst(world->clock.now_us)) {
		world->on_time += on_time;
		world->late += !on_time;
		world->batch_on_time += on_time && request->priority > 0;
	}
	g_free(request);
	start_waiting(world, server);
}

static void tick(world_t *world)
{
	skh_error_t err = { 0 };
	uint64_t attempt;

	for (uint32_t i = 0; i < SERVERS && !world->naive; i++) {
		while ((attempt = skh_gate_expire_next(world->servers[i].gate,
						       world->clock.now_us)) != 0)
			on_refusal(world, take_waiting(world, attempt), &err, true);
	}
	schedule(world, world->clock.now_us + TICK_US, EVENT_TICK, NULL);
}

static void handle(world_t *world, const replay_event_t *event)
{
	request_t *request = event->data;

	switch ((event_type_t)event->type) {
	case EVENT_COME:
		if (request->tries > 0) {
			come(world, request);
		} else {
			come_first(world, request->customer);
			g_free(request);
		}
		break;
	case EVENT_REACH:
		reach(world, request);
		break;
	case EVENT_FINISH:
		finish(world, request);
		break;
	case EVENT_TICK:
		tick(world);
		break;
	}
}

static void open_world(world_t *world, const scenario_t *scenario, bool naive)
{
	memset(world, 0, sizeof(*world));
	world->scenario = scenario;
	world->naive = naive;
	world->random = g_rand_new_with_seed(7);
	replay_open(&world->clock);
	world->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	world->others_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	world->after_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	world->refusals_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (uint32_t i = 0; i < SERVERS; i++) {
		world->servers[i].gate = skh_gate_new(SLOTS, QUEUE, 1);
		skh_gate_open(world->servers[i].gate);
		g_queue_init(&world->servers[i].line);
	}
}

static void close_world(world_t *world)
{
	for (uint32_t i = 0; i < SERVERS; i++) {
		skh_gate_free(world->servers[i].gate);
		g_queue_clear(&world->servers[i].line);
	}
	g_hash_table_unref(world->waiting);
	replay_close(&world->clock);
	g_array_unref(world->others_us);
	g_array_unref(world->after_us);
	g_array_unref(world->refusals_us);
	g_rand_free(world->random);
}

static void run(const scenario_t *scenario, bool naive)
{
	const double capacity =
		SERVERS * SLOTS / MEAN_RUN_S * (double)(BURST_TO_US - BURST_FROM_US) / SKH_US_PER_S;
	replay_event_t event;
	world_t world;

	open_world(&world, scenario, naive);
	for (uint32_t customer = 0; customer < CUSTOMERS; customer++)
		come_first(&world, customer);
	schedule(&world, 0, EVENT_TICK, NULL);
	while (replay_next(&world.clock, END_US, &event))
		handle(&world, &event);
	printf("| %-21s | %-7s | %8.0f | %5.1f%% | %6.1f%% | %7.1f%% | %6.0f | %6.0f | %8.0f |\n",
	       scenario->name, naive ? "naive" : "gate.c",
	       replay_percentile_ms(world.others_us, 95), 100.0 * (double)world.on_time / capacity,
	       100.0 * (double)world.late / MAX((double)(world.on_time + world.late), 1.0),
	       100.0 * (double)world.batch_on_time / MAX((double)world.on_time, 1.0),
	       replay_percentile_ms(world.refusals_us, 50),
	       replay_percentile_ms(world.refusals_us, 95),
	       replay_percentile_ms(world.after_us, 95));
	close_world(&world);
}

int main(void)
{
	printf("\nOverload: %d servers x %d slots, %d customers of equal weight; a burst of 60 s, "
	       "then 70%% again\n\n| burst | gate | others' wait p95 ms | on time, of capacity | "
	       "late | batch, of on time | refusal told p50 ms | p95 | wait 30 s after p95 ms "
	       "|\n|---|---|---|---|---|---|---|---|---|\n",
	       SERVERS, SLOTS, CUSTOMERS);
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		run(&scenarios[i], true);
		run(&scenarios[i], false);
	}
	return 0;
}
