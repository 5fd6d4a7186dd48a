// One expert map in every step, in virtual time: ranks, coordinators that die,
// pause and overlap, and a network that delays, drops, repeats and reorders.
// The history check is shown to catch planted faults.
#include "mapswitch.h"
#include "rank.h"
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

enum class Planted {
	kNothing,
	kNoHold,
	kNoFence,
	kEarlyGo
};

// An engine as the brief gives it: it does what its sidecar orders and ignores
// fences. A step begins on all ranks or on none; ranks end it at their own time.
struct Engine {
	bool held = false;
	bool in_step = false;
	uint64_t version = 1;
	bool has_order = false;
	skh_order_t order = {};
};

struct Message {
	bool to_rank = false;
	size_t coordinator = 0;
	size_t rank = 0;
	skh_order_t order = {};
	skh_order_outcome_t outcome = SKH_ORDER_DONE;
	bool in_place = false;
};

struct Coordinator {
	bool alive = true;
	bool paused = false;
	std::unique_ptr<skh_mapswitch_t, decltype(&skh_mapswitch_free)> state{ nullptr,
									       skh_mapswitch_free };
};

class World
{
      public:
	World(uint32_t seed, size_t n, Planted planted)
	    : random(seed), planted(planted), ranks(n), engines(n)
	{
		for (auto &rank : ranks) {
			skh_rank_init(&rank, 0);
			rank.version = 1;
		}
	}

	void run(int events)
	{
		for (int i = 0; i < events && violation.empty(); i++)
			event();
	}

	// No faults any more: a last coordinator must bring the group to its map.
	bool settle()
	{
		for (auto &coordinator : coordinators)
			coordinator.alive = false;
		messages.clear();
		late.clear();
		elect();
		faulty = false;
		for (int i = 0; i < 20000 && violation.empty(); i++) {
			event();
			if (skh_mapswitch_is_done(coordinators.back().state.get()))
				return true;
		}
		return false;
	}

	std::string violation;
	int steps = 0;
	std::map<uint64_t, int> versions_used;

      private:
	int chance(int n)
	{
		return static_cast<int>(random() % static_cast<uint32_t>(n));
	}

	void elect()
	{
		Coordinator fresh;

		last_fence += 1 + static_cast<uint64_t>(chance(3));
		last_version++;
		fresh.state.reset(skh_mapswitch_new(ranks.size(), last_fence, last_version));
		coordinators.push_back(std::move(fresh));
	}

	void event()
	{
		switch (chance(10)) {
		case 0:
			if (faulty && chance(40) == 0)
				elect();
			break;
		case 1:
			if (faulty && !coordinators.empty())
				disturb(coordinators[random() % coordinators.size()]);
			break;
		case 2:
			if (faulty && chance(30) == 0)
				restart(random() % ranks.size());
			break;
		case 3:
		case 4:
			send_orders();
			break;
		case 5:
		case 6:
			deliver();
			break;
		case 7:
			engine_acts(random() % engines.size());
			break;
		default:
			advance_step();
			break;
		}
	}

	void disturb(Coordinator &coordinator)
	{
		if (chance(20) == 0)
			coordinator.alive = false;
		coordinator.paused = chance(2) == 0;
	}

	// The sidecar forgets everything; the engine goes on as it was. The fence it
	// reads back is no lower than any that was given out.
	void restart(size_t rank)
	{
		if (engines[rank].has_order)
			return;
		skh_rank_init(&ranks[rank], last_fence);
		ranks[rank].version = engines[rank].version;
	}

	void send_orders()
	{
		if (coordinators.empty())
			return;
		const size_t c = random() % coordinators.size();
		const size_t rank = random() % ranks.size();
		Coordinator &coordinator = coordinators[c];
		Message message;

		if (!coordinator.alive || coordinator.paused)
			return;
		if (!skh_mapswitch_next_order(coordinator.state.get(), rank, &message.order))
			return;
		if (planted == Planted::kEarlyGo && message.order.step == SKH_STEP_SET &&
		    chance(2) == 0)
			message.order.step = SKH_STEP_GO;
		message.to_rank = true;
		message.coordinator = c;
		message.rank = rank;
		messages.push_back(message);
	}

	void deliver()
	{
		/* Some messages come again after a long time. */
		if (faulty && !late.empty() && chance(6) == 0) {
			const size_t which = random() % late.size();

			messages.push_back(late[which]);
			late.erase(late.begin() + static_cast<long>(which));
		}
		if (messages.empty())
			return;
		const size_t at = faulty ? random() % messages.size() : 0;
		const Message message = messages[at];

		if (!faulty || chance(8) != 0)
			messages.erase(messages.begin() + static_cast<long>(at));
		if (faulty && chance(4) == 0)
			late.push_back(message);
		if (faulty && chance(8) == 0)
			return;
		if (message.to_rank)
			arrive(message);
		else
			skh_mapswitch_record_reply(coordinators[message.coordinator].state.get(),
						   message.rank, &message.order, message.outcome,
						   message.in_place);
	}

	void arrive(const Message &message)
	{
		skh_rank_t &rank = ranks[message.rank];
		skh_order_t order = message.order;
		Message reply = message;

		if (planted == Planted::kEarlyGo && order.step == SKH_STEP_GO)
			rank.version = order.version;
		reply.to_rank = false;
		reply.outcome = planted == Planted::kNoFence ? take_unfenced(message.rank, order)
							     : skh_rank_handle_order(&rank, &order);
		if (planted == Planted::kNoHold && reply.outcome == SKH_ORDER_FORWARD &&
		    order.step == SKH_STEP_HOLD) {
			skh_rank_complete_order(&rank, true);
			reply.outcome = SKH_ORDER_DONE;
		}
		if (reply.outcome == SKH_ORDER_FORWARD) {
			engines[message.rank].has_order = true;
			engines[message.rank].order = order;
			return;
		}
		reply.in_place = skh_rank_is_running_version(&rank, order.version);
		messages.push_back(reply);
	}

	// A rank that passes every order on, whoever gives it.
	skh_order_outcome_t take_unfenced(size_t index, const skh_order_t &order)
	{
		const Engine &engine = engines[index];

		if (ranks[index].order_pending)
			return SKH_ORDER_BUSY;
		if (order.step == SKH_STEP_PREPARE ||
		    (order.step == SKH_STEP_HOLD && engine.held) ||
		    (order.step == SKH_STEP_SET && engine.version == order.version) ||
		    (order.step == SKH_STEP_GO && !engine.held))
			return SKH_ORDER_DONE;
		ranks[index].order_pending = true;
		ranks[index].engine_order = order;
		return SKH_ORDER_FORWARD;
	}

	void engine_acts(size_t index)
	{
		Engine &engine = engines[index];

		/* An engine that holds first ends the step that it is in. */
		if (!engine.has_order || (engine.order.step == SKH_STEP_HOLD && engine.in_step))
			return;
		engine.has_order = false;
		if (faulty && chance(20) == 0) {
			skh_rank_complete_order(&ranks[index], false);
			return;
		}
		if (engine.order.step == SKH_STEP_HOLD)
			engine.held = true;
		else if (engine.order.step == SKH_STEP_SET)
			engine.version = engine.order.version;
		else if (engine.order.step == SKH_STEP_GO)
			engine.held = false;
		skh_rank_complete_order(&ranks[index], true);
	}

	void advance_step()
	{
		bool idle = true;
		bool free_to_run = true;

		for (auto &engine : engines) {
			if (engine.in_step && chance(2) == 0)
				engine.in_step = false;
			idle = idle && !engine.in_step;
			free_to_run = free_to_run && !engine.held;
		}
		if (!idle || !free_to_run)
			return;
		steps++;
		versions_used[engines[0].version]++;
		for (auto &engine : engines) {
			engine.in_step = true;
			if (engine.version != engines[0].version)
				violation = "step " + std::to_string(steps) + " mixes map " +
					    std::to_string(engines[0].version) + " and " +
					    std::to_string(engine.version);
		}
	}

	std::mt19937 random;
	Planted planted;
	bool faulty = true;
	std::vector<skh_rank_t> ranks;
	std::vector<Engine> engines;
	std::vector<Coordinator> coordinators;
	std::vector<Message> messages;
	std::vector<Message> late;
	uint64_t last_fence = 0;
	uint64_t last_version = 1;
};

const uint32_t kSeeds = seeds_or(400);
constexpr int kEvents = 6000;

TEST(ExpertMap, NoStepMixesTwoMapsUnderAnyFault)
{
	int steps = 0;
	size_t switches = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		World world(seed, 2 + seed % 5, Planted::kNothing);

		world.run(kEvents);
		ASSERT_EQ(world.violation, "") << "seed " << seed;
		steps += world.steps;
		switches += world.versions_used.size();
	}
	/* The runs must have done something worth checking. */
	EXPECT_GT(steps, 10000);
	EXPECT_GT(switches, kSeeds);
}

TEST(ExpertMap, OnceFaultsEndASuccessorBringsTheGroupToItsMap)
{
	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		World world(seed, 2 + seed % 5, Planted::kNothing);

		world.run(kEvents / 4);
		EXPECT_TRUE(world.settle()) << "seed " << seed;
		EXPECT_EQ(world.violation, "") << "seed " << seed;
	}
}

TEST(ExpertMap, ARankThatJoinsDuringASwitchIsGivenNoOrderOfIt)
{
	std::unique_ptr<skh_mapswitch_t, decltype(&skh_mapswitch_free)> mapswitch(
		skh_mapswitch_new(2, 1, 7), skh_mapswitch_free);
	skh_order_t order = {};

	EXPECT_TRUE(skh_mapswitch_next_order(mapswitch.get(), 1, &order));
	EXPECT_FALSE(skh_mapswitch_next_order(mapswitch.get(), 2, &order));
}

TEST(ExpertMap, TheCheckCatchesPlantedFaults)
{
	for (Planted planted : { Planted::kNoHold, Planted::kNoFence, Planted::kEarlyGo }) {
		int caught = 0;

		for (uint32_t seed = 1; seed <= kSeeds; seed++) {
			World world(seed, 2 + seed % 5, planted);

			world.run(kEvents);
			caught += !world.violation.empty();
		}
		EXPECT_GT(caught, 0) << "planted fault " << static_cast<int>(planted);
	}
}

} // namespace
