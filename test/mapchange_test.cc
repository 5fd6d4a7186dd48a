// One expert map in every pass, in virtual time, with engines whose ranks switch
// at a pass that they were told: orders that are lost, carried out without an
// answer, or carried out seconds later; coordinators that die, freeze, overlap
// and wake up; ranks that restart. Planted faults show that the check can fail.
#include "mapchange.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;

enum class Planted {
	kNothing,
	kGoBeforeArmed, // the hold is released before every rank has confirmed
	kNoHold,	// ranks are armed without a hold
	kSameFence	// a later coordinator does not raise the fence
};

struct Engine {
	int64_t fence = 0;
	int64_t most_version = 0;
	int64_t prepared = 0;
	int64_t ready_at = 0;
	int64_t armed = 0;
	int64_t armed_pass = 0;
	int64_t held = 0;
	int64_t map = 0;
};

struct Order {
	size_t coordinator = 0;
	uint32_t rank = 0;
	skh_engine_order_t order = {};
	bool answered = true;
	uint32_t giver = 0; // the rank beside the process that hands it to the engine
	uint64_t number = 0;
};

struct Event {
	int64_t at = 0;
	int kind = 0; // 0: order arrives, 1: answer arrives, 2: report arrives
	Order order;
	int status = 0;
	skh_engine_report_t report = {};
};

struct Coordinator {
	int64_t lease = 0;
	bool alive = true;
	int64_t frozen_till = 0;
	int64_t holds_till = 0; // it acts on its lease before
	bool changing = false;
	bool repair = false;
	int64_t number = 0;
	uint32_t own = 0;
	skh_mapchange_t change = {};
	std::vector<skh_engine_report_t> reports;
	std::vector<bool> reported;
	std::vector<uint64_t> under_way;
	int64_t done = 0;
};

class World
{
      public:
	World(uint32_t seed, uint32_t n, Planted planted)
	    : random(seed), planted(planted), engines(n), frozen_till(n)
	{
	}

	void run(int64_t until, bool faults)
	{
		faulty = faults;
		while (now < until && violation.empty())
			step();
	}

	void stop_coordinators()
	{
		for (auto &coordinator : coordinators)
			coordinator->alive = false;
	}

	// The next process that places a hold freezes with its whole instance.
	void freeze_holder()
	{
		holder_freezes = true;
	}

	std::string violation;
	int64_t passes = 0;
	int64_t changes = 0;
	int64_t now = 0;
	int64_t held_longest = 0;
	int64_t frozen_since = 0; // by freeze_holder()

      private:
	bool chance(double part)
	{
		return std::uniform_real_distribution<double>(0, 1)(random) < part;
	}

	int64_t between(int64_t low, int64_t high)
	{
		return std::uniform_int_distribution<int64_t>(low, high)(random);
	}

	void step()
	{
		now += 5 * kMs;
		time_hold();
		deliver();
		begin_pass();
		elect();
		for (auto &coordinator : coordinators)
			act(*coordinator);
		send_reports();
		if (faulty && chance(0.0004))
			restart();
		if (faulty && chance(0.0008))
			freeze(static_cast<uint32_t>(between(0, engines.size() - 1)),
			       between(200, 5000) * kMs);
		if (faulty && chance(0.0008))
			holder_freezes = true;
	}

	void time_hold()
	{
		bool held = false;

		for (const auto &engine : engines)
			held = held || engine.held != 0;
		held_since = held && held_since == 0 ? now : held ? held_since : 0;
		if (held)
			held_longest = std::max(held_longest, now - held_since);
	}

	bool is_frozen(uint32_t rank) const
	{
		return now < frozen_till[rank];
	}

	void freeze(uint32_t rank, int64_t time)
	{
		frozen_till[rank] = now + time;
		for (auto &coordinator : coordinators) {
			if (coordinator->own == rank)
				coordinator->frozen_till = now + time;
		}
	}

	// --- Engines ---

	void begin_pass()
	{
		if (now < next_pass)
			return;
		for (const auto &engine : engines) {
			if (engine.held == pass + 1)
				return;
		}
		pass++;
		passes++;
		next_pass = now + between(30, 150) * kMs;
		for (auto &engine : engines) {
			if (engine.armed != 0 && engine.armed_pass == pass) {
				engine.map = engine.armed;
				engine.armed = 0;
				engine.prepared = 0;
			}
		}
		for (const auto &engine : engines) {
			if (engine.map != engines[0].map)
				violation = "pass " + std::to_string(pass) + " mixes maps at " +
					    std::to_string(now / kMs) + " ms";
		}
	}

	void restart()
	{
		epoch++;
		for (auto &engine : engines)
			engine = Engine{};
		next_pass = now + 600 * kMs;
	}

	int prepare(Engine &engine, const skh_engine_order_t &order)
	{
		if (engine.armed != 0 || order.map_version <= engine.most_version)
			return 409;
		engine.most_version = order.map_version;
		engine.prepared = order.map_version;
		engine.ready_at = now + between(0, 300) * kMs;
		return 202;
	}

	int arm(Engine &engine, const skh_engine_order_t &order)
	{
		if (engine.armed == order.map_version && engine.armed_pass == order.pass)
			return 200;
		if (engine.prepared != order.map_version || now < engine.ready_at ||
		    order.pass <= pass || engine.armed != 0)
			return 409;
		engine.armed = order.map_version;
		engine.armed_pass = order.pass;
		return 202;
	}

	int disarm(Engine &engine, const skh_engine_order_t &order)
	{
		if (engine.map == order.map_version)
			return 409;
		if (engine.armed == order.map_version)
			engine.armed = 0;
		return 202;
	}

	int hold(Engine &engine, const skh_engine_order_t &order)
	{
		if (engine.held == order.pass)
			return 200;
		if (order.pass <= pass || engine.held != 0)
			return 409;
		engine.held = order.pass;
		return 202;
	}

	int go(Engine &engine, const skh_engine_order_t &order)
	{
		if (engine.held != order.pass)
			return 200;
		engine.held = 0;
		return 202;
	}

	int carry_out(const Order &message)
	{
		Engine &engine = engines[message.rank];
		const skh_engine_order_t &order = message.order;

		if (order.epoch != epoch)
			return 409;
		if (order.fence < engine.fence)
			return 412;
		int status = do_order(engine, order);

		// Whether a refused order's fence counts is not known: here it does not.
		if (status / 100 == 2)
			engine.fence = order.fence;
		return status;
	}

	int do_order(Engine &engine, const skh_engine_order_t &order)
	{
		switch (order.op) {
		case SKH_ENGINE_PREPARE:
			return prepare(engine, order);
		case SKH_ENGINE_ARM:
			return arm(engine, order);
		case SKH_ENGINE_DISARM:
			return disarm(engine, order);
		case SKH_ENGINE_HOLD:
			return hold(engine, order);
		case SKH_ENGINE_GO:
			return go(engine, order);
		}
		return 400;
	}

	skh_engine_report_t report_of(uint32_t rank) const
	{
		const Engine &engine = engines[rank];
		skh_engine_report_t report = {};

		report.in_group = true;
		report.group_open = true;
		report.rank = rank;
		report.epoch = epoch;
		report.pass = pass;
		report.map_version = engine.map;
		report.prepared_version = now >= engine.ready_at ? engine.prepared : 0;
		report.armed_version = engine.armed;
		report.held_pass = engine.held;
		return report;
	}

	// --- Network ---

	void post(int64_t at, Event event)
	{
		event.at = at;
		events.emplace(at, event);
	}

	void deliver()
	{
		while (!events.empty() && events.begin()->first <= now) {
			Event event = events.begin()->second;

			events.erase(events.begin());
			if (event.kind == 0)
				arrive(event);
			else if (event.kind == 1)
				answer(event);
			else
				take_report(event);
		}
	}

	void send(size_t from, uint32_t rank, const skh_engine_order_t &order)
	{
		Event event;

		event.order.coordinator = from;
		event.order.rank = rank;
		event.order.order = order;
		event.order.giver = giver_of(*coordinators[from], rank, order.op);
		event.order.number = ++numbers;
		coordinators[from]->under_way[rank] = numbers;
		if (faulty && chance(0.25)) {
			bool lost = chance(0.3);

			// No answer: never carried out, carried out now, or seconds later.
			event.order.answered = false;
			if (!lost)
				post(now + (chance(0.4) ? 2 * kMs : between(2000, 12000) * kMs),
				     event);
		} else {
			post(now + between(1, 15) * kMs, event);
		}
		Event timeout = event;

		timeout.kind = 1;
		timeout.status = 0;
		post(now + 160 * kMs, timeout);
	}

	static uint32_t giver_of(const Coordinator &coordinator, uint32_t rank, skh_engine_op_t op)
	{
		return op == SKH_ENGINE_HOLD ? coordinator.change.proxy_rank : rank;
	}

	// What a frozen instance was sent is read when it wakes up.
	void arrive(const Event &event)
	{
		Event reply = event;
		uint32_t rank = event.order.rank;
		uint32_t giver = event.order.giver;

		if (is_frozen(rank) || is_frozen(giver)) {
			post(std::max(frozen_till[rank], frozen_till[giver]) + kMs, event);
			return;
		}
		reply.kind = 1;
		reply.status = carry_out(event.order);
		if (event.order.order.op == SKH_ENGINE_HOLD && reply.status == 202 &&
		    holder_freezes) {
			holder_freezes = false;
			frozen_since = now;
			freeze(giver, 4 * kS);
			return;
		}
		if (event.order.answered)
			post(now + between(1, 15) * kMs, reply);
	}

	void answer(const Event &event)
	{
		Coordinator &coordinator = *coordinators[event.order.coordinator];
		skh_engine_order_result_t answer = SKH_ENGINE_ORDER_CONFLICT;

		if (!coordinator.alive || !coordinator.changing ||
		    coordinator.under_way[event.order.rank] != event.order.number)
			return;
		if (now < coordinator.frozen_till) {
			post(coordinator.frozen_till + kMs, event);
			return;
		}
		coordinator.under_way[event.order.rank] = 0;
		if (event.status == 200 || event.status == 202)
			answer = SKH_ENGINE_ORDER_ACCEPTED;
		else if (event.status == 412)
			answer = SKH_ENGINE_ORDER_FENCED;
		else if (event.status == 0)
			answer = SKH_ENGINE_ORDER_NO_ANSWER;
		skh_mapchange_record_result(&coordinator.change, event.order.rank, answer, now);
		send_orders(event.order.coordinator);
	}

	void send_reports()
	{
		if (now % (50 * kMs) != 0)
			return;
		for (size_t i = 0; i < coordinators.size(); i++) {
			for (uint32_t rank = 0; coordinators[i]->alive && rank < engines.size();
			     rank++) {
				Event event;
				bool own = coordinators[i]->own == rank;

				if (is_frozen(rank) || (!own && faulty && chance(0.2)))
					continue;
				event.kind = 2;
				event.order.coordinator = i;
				event.order.rank = rank;
				event.report = report_of(rank);
				post(now + (own ? 0 : between(1, 400) * kMs), event);
			}
		}
	}

	void take_report(const Event &event)
	{
		Coordinator &coordinator = *coordinators[event.order.coordinator];

		if (!coordinator.alive)
			return;
		if (now < coordinator.frozen_till) {
			post(coordinator.frozen_till + kMs, event);
			return;
		}
		coordinator.reports[event.order.rank] = event.report;
		coordinator.reported[event.order.rank] = true;
		if (coordinator.changing)
			skh_mapchange_record_report(&coordinator.change, event.order.rank,
						    &event.report, now);
	}

	// --- Coordinators ---

	void elect()
	{
		bool held = false;

		for (auto &coordinator : coordinators) {
			if (faulty && coordinator->alive && chance(0.0015))
				coordinator->frozen_till = now + between(200, 5000) * kMs;
			if (faulty && coordinator->alive && chance(0.0008))
				coordinator->alive = false;
			if (coordinator->alive && now >= coordinator->frozen_till &&
			    now < coordinator->holds_till)
				coordinator->holds_till = now + 1000 * kMs;
			held = held || now < coordinator->holds_till;
		}
		if (held)
			return;
		auto coordinator = std::make_unique<Coordinator>();

		coordinator->lease = ++leases;
		coordinator->holds_till = now + 1000 * kMs;
		coordinator->own = static_cast<uint32_t>(between(0, engines.size() - 1));
		coordinator->reports.resize(engines.size());
		coordinator->reported.resize(engines.size());
		coordinator->under_way.resize(engines.size());
		coordinators.push_back(std::move(coordinator));
	}

	void send_orders(size_t index)
	{
		Coordinator &coordinator = *coordinators[index];
		skh_engine_order_t order;

		for (uint32_t rank = 0; rank < engines.size(); rank++) {
			if (skh_mapchange_next_order(&coordinator.change, rank, now, &order))
				send(index, rank, order);
		}
	}

	// A question to the deputy's engine, and its answer: 2 ms each way.
	void ask_deputy(size_t index)
	{
		Coordinator &coordinator = *coordinators[index];
		uint32_t deputy = coordinator.change.proxy_rank;

		if (!skh_mapchange_is_proxy_probe_due(&coordinator.change) || is_frozen(deputy) ||
		    (faulty && chance(0.1)))
			return;
		skh_mapchange_record_proxy_probe(&coordinator.change, now - 4 * kMs);
		send_orders(index);
	}

	bool knows_group(const Coordinator &coordinator) const
	{
		for (uint32_t rank = 0; rank < engines.size(); rank++) {
			if (!coordinator.reported[rank] ||
			    coordinator.reports[rank].epoch !=
				    coordinator.reports[coordinator.own].epoch)
				return false;
		}
		return true;
	}

	void begin(Coordinator &coordinator)
	{
		int64_t fence = coordinator.lease * 4096 + coordinator.number;
		skh_mapchange_options_t options = {};

		coordinator.number += SKH_MAPCHANGE_MAX_FENCES;
		options.n_ranks = static_cast<uint32_t>(engines.size());
		options.own_rank = coordinator.own;
		options.proxy_rank =
			(coordinator.own + 1 + coordinator.number / 2 % (options.n_ranks - 1)) %
			options.n_ranks;
		options.epoch = coordinator.reports[coordinator.own].epoch;
		options.version = fence;
		options.fence = planted == Planted::kSameFence ? 1 : fence;
		skh_mapchange_init(&coordinator.change, &options, now);
		coordinator.changing = true;
		for (auto &number : coordinator.under_way)
			number = 0;
		for (uint32_t rank = 0; rank < engines.size(); rank++)
			skh_mapchange_record_report(&coordinator.change, rank,
						    &coordinator.reports[rank], now);
	}

	void plant(Coordinator &coordinator)
	{
		skh_mapchange_t &change = coordinator.change;

		if (planted == Planted::kGoBeforeArmed && change.phase == SKH_MAPCHANGE_ARM &&
		    change.ranks[0].armed)
			change.phase = SKH_MAPCHANGE_GO;
		if (planted == Planted::kNoHold && change.phase == SKH_MAPCHANGE_HOLD)
			change.phase = SKH_MAPCHANGE_ARM;
	}

	// A frozen coordinator that wakes up does not know it: it acts on once more.
	void act(Coordinator &coordinator)
	{
		size_t index = 0;
		bool woke =
			now >= coordinator.frozen_till && now < coordinator.frozen_till + 50 * kMs;

		while (coordinators[index].get() != &coordinator)
			index++;
		if (!coordinator.alive || now < coordinator.frozen_till ||
		    (now >= coordinator.holds_till && !woke))
			return;
		if (!coordinator.changing) {
			if (knows_group(coordinator) && chance(0.05))
				begin(coordinator);
			else
				return;
		}
		skh_mapchange_tick(&coordinator.change, now);
		plant(coordinator);
		send_orders(index);
		ask_deputy(index);
		if (coordinator.change.phase == SKH_MAPCHANGE_DONE) {
			coordinator.changing = false;
			changes++;
		} else if (coordinator.change.phase == SKH_MAPCHANGE_FAILED) {
			coordinator.changing = false;
		}
	}

	std::mt19937 random;
	Planted planted;
	std::vector<Engine> engines;
	std::vector<int64_t> frozen_till; // an instance with its engine and process
	std::vector<std::unique_ptr<Coordinator>> coordinators;
	std::multimap<int64_t, Event> events;
	int64_t epoch = 1;
	int64_t pass = 0;
	int64_t next_pass = 0;
	int64_t leases = 0;
	uint64_t numbers = 0;
	bool faulty = true;
	bool holder_freezes = false;
	int64_t held_since = 0;
};

uint32_t violations(Planted planted, uint32_t seeds)
{
	uint32_t found = 0;

	for (uint32_t seed = 1; seed <= seeds; seed++) {
		World world(seed, 2 + seed % 4, planted);

		world.run(40 * kS, true);
		found += !world.violation.empty();
	}
	return found;
}

} // namespace

TEST(MapChange, NoPassMixesMaps)
{
	int64_t changes = 0;

	for (uint32_t seed = 1; seed <= seeds_or(150); seed++) {
		World world(seed, 2 + seed % 5, Planted::kNothing);

		world.run(40 * kS, true);
		ASSERT_EQ(world.violation, "") << "seed " << seed;
		changes += world.changes;
	}
	EXPECT_GT(changes, 150);
}

TEST(MapChange, AfterFaultsTheGroupGoesOnAndChanges)
{
	for (uint32_t seed = 1; seed <= seeds_or(100); seed++) {
		World world(seed, 2 + seed % 5, Planted::kNothing);
		int64_t passes;
		int64_t changes;

		world.run(20 * kS, true);
		ASSERT_EQ(world.violation, "") << "seed " << seed;
		world.stop_coordinators();
		// What is still under way is carried out within 12 s.
		world.run(36 * kS, false);
		passes = world.passes;
		changes = world.changes;
		world.run(50 * kS, false);
		ASSERT_EQ(world.violation, "") << "seed " << seed;
		EXPECT_GT(world.passes, passes + 50) << "seed " << seed;
		EXPECT_GT(world.changes, changes) << "seed " << seed;
	}
}

// The instance from which a hold was placed freezes with it: others see to its end.
TEST(MapChange, GroupIsNotHeldWhileItsHolderIsFrozen)
{
	for (uint32_t seed = 1; seed <= seeds_or(100); seed++) {
		World world(seed, 3 + seed % 5, Planted::kNothing);
		int64_t changes;

		world.run(5 * kS, false);
		world.freeze_holder();
		world.run(10 * kS, false);
		ASSERT_EQ(world.violation, "") << "seed " << seed;
		ASSERT_GT(world.frozen_since, 0) << "seed " << seed;
		EXPECT_LT(world.held_longest, 400 * kMs) << "seed " << seed;
		changes = world.changes;
		world.run(20 * kS, false);
		ASSERT_EQ(world.violation, "") << "seed " << seed;
		EXPECT_GT(world.changes, changes) << "seed " << seed;
	}
}

TEST(MapChange, PlantedFaultsAreCaught)
{
	EXPECT_GT(violations(Planted::kGoBeforeArmed, 40), 0U);
	EXPECT_GT(violations(Planted::kNoHold, 40), 0U);
	EXPECT_GT(violations(Planted::kSameFence, 400), 0U);
}
