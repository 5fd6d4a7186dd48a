// Guards against a step in which ranks of a group use different expert maps. Such a step can come
// about when coordinators exit, pause or overlap, when a sidecar restarts, when an engine fails an
// order, or when messages are delayed, lost, duplicated or reordered. Runs these faults in virtual
// time; planted faults show that the check detects a mixed step.
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

enum class PlantedFault {
	kNothing,
	kNoHold,
	kNoFence,
	kEarlyGo
};

// Model of an engine, which carries out every order of its sidecar and ignores fences. A step
// starts on all ranks or on none; each rank ends it at its own time.
struct Engine {
	bool held = false;
	bool in_step = false;
	uint64_t version = 1;
	bool has_order = false;
	skh_mapswitch_order_t order = {};
};

// An order to a rank (@to_rank) or the reply of a rank to its coordinator.
struct Message {
	bool to_rank = false;
	size_t coordinator = 0;
	size_t rank = 0;
	skh_mapswitch_order_t order = {};
	skh_mapswitch_order_outcome_t outcome = SKH_MAPSWITCH_ORDER_DONE;
	bool in_place = false;
};

struct Coordinator {
	bool alive = true;
	bool paused = false;
	std::unique_ptr<skh_mapswitch_t, decltype(&skh_mapswitch_free)> state{ nullptr,
									       skh_mapswitch_free };
};

class Simulation
{
      public:
	Simulation(uint32_t seed, size_t n, PlantedFault planted_fault)
	    : random(seed), planted_fault(planted_fault), ranks(n), engines(n)
	{
		for (auto &rank : ranks) {
			skh_rank_init(&rank, 0);
			rank.version = 1;
		}
	}

	void run(int events)
	{
		for (int i = 0; i < events && violation.empty(); i++)
			run_random_event();
	}

	// Stops all faults; returns whether a last coordinator completes its switch.
	bool finish_without_faults()
	{
		for (auto &coordinator : coordinators)
			coordinator.alive = false;
		messages.clear();
		delayed.clear();
		elect_coordinator();
		has_faults = false;
		for (int i = 0; i < 20000 && violation.empty(); i++) {
			run_random_event();
			if (skh_mapswitch_is_done(coordinators.back().state.get()))
				return true;
		}
		return false;
	}

	std::string violation;
	int steps = 0;
	std::map<uint64_t, int> versions_used;

      private:
	int random_below(int n)
	{
		return static_cast<int>(random() % static_cast<uint32_t>(n));
	}

	void elect_coordinator()
	{
		Coordinator coordinator;

		last_fence += 1 + static_cast<uint64_t>(random_below(3));
		last_version++;
		coordinator.state.reset(skh_mapswitch_new(ranks.size(), last_fence, last_version));
		coordinators.push_back(std::move(coordinator));
	}

	void run_random_event()
	{
		switch (random_below(10)) {
		case 0:
			if (has_faults && random_below(40) == 0)
				elect_coordinator();
			break;
		case 1:
			if (has_faults && !coordinators.empty())
				fail_or_pause(coordinators[random() % coordinators.size()]);
			break;
		case 2:
			if (has_faults && random_below(30) == 0)
				restart_sidecar(random() % ranks.size());
			break;
		case 3:
		case 4:
			send_order();
			break;
		case 5:
		case 6:
			deliver_message();
			break;
		case 7:
			run_engine(random() % engines.size());
			break;
		default:
			advance_engines();
			break;
		}
	}

	void fail_or_pause(Coordinator &coordinator)
	{
		if (random_below(20) == 0)
			coordinator.alive = false;
		coordinator.paused = random_below(2) == 0;
	}

	// The sidecar loses its state while the engine keeps running. The fence that the sidecar reads
	// back is no lower than any that was issued.
	void restart_sidecar(size_t rank)
	{
		if (engines[rank].has_order)
			return;
		skh_rank_init(&ranks[rank], last_fence);
		ranks[rank].version = engines[rank].version;
	}

	void send_order()
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
		if (planted_fault == PlantedFault::kEarlyGo && message.order.step == SKH_STEP_SET &&
		    random_below(2) == 0)
			message.order.step = SKH_STEP_RELEASE;
		message.to_rank = true;
		message.coordinator = c;
		message.rank = rank;
		messages.push_back(message);
	}

	void deliver_message()
	{
		/* Some messages are delivered again after a long delay. */
		if (has_faults && !delayed.empty() && random_below(6) == 0) {
			const size_t index = random() % delayed.size();

			messages.push_back(delayed[index]);
			delayed.erase(delayed.begin() + static_cast<long>(index));
		}
		if (messages.empty())
			return;
		const size_t index = has_faults ? random() % messages.size() : 0;
		const Message message = messages[index];

		if (!has_faults || random_below(8) != 0)
			messages.erase(messages.begin() + static_cast<long>(index));
		if (has_faults && random_below(4) == 0)
			delayed.push_back(message);
		if (has_faults && random_below(8) == 0)
			return;
		if (message.to_rank)
			handle_at_rank(message);
		else
			skh_mapswitch_record_response(coordinators[message.coordinator].state.get(),
						      message.rank, &message.order, message.outcome,
						      message.in_place);
	}

	void handle_at_rank(const Message &message)
	{
		skh_rank_t &rank = ranks[message.rank];
		skh_mapswitch_order_t order = message.order;
		Message reply = message;

		if (planted_fault == PlantedFault::kEarlyGo && order.step == SKH_STEP_RELEASE)
			rank.version = order.version;
		reply.to_rank = false;
		reply.outcome = planted_fault == PlantedFault::kNoFence
					? handle_order_unfenced(message.rank, order)
					: skh_rank_handle_order(&rank, &order);
		if (planted_fault == PlantedFault::kNoHold &&
		    reply.outcome == SKH_MAPSWITCH_ORDER_FORWARD && order.step == SKH_STEP_HOLD) {
			skh_rank_complete_order(&rank, true);
			reply.outcome = SKH_MAPSWITCH_ORDER_DONE;
		}
		if (reply.outcome == SKH_MAPSWITCH_ORDER_FORWARD) {
			engines[message.rank].has_order = true;
			engines[message.rank].order = order;
			return;
		}
		reply.in_place = skh_rank_is_running_version(&rank, order.version);
		messages.push_back(reply);
	}

	// A rank that checks neither the fence nor the sequence of orders.
	skh_mapswitch_order_outcome_t handle_order_unfenced(size_t index,
							    const skh_mapswitch_order_t &order)
	{
		const Engine &engine = engines[index];

		if (ranks[index].is_order_pending)
			return SKH_MAPSWITCH_ORDER_BUSY;
		if (order.step == SKH_STEP_PREPARE ||
		    (order.step == SKH_STEP_HOLD && engine.held) ||
		    (order.step == SKH_STEP_SET && engine.version == order.version) ||
		    (order.step == SKH_STEP_RELEASE && !engine.held))
			return SKH_MAPSWITCH_ORDER_DONE;
		ranks[index].is_order_pending = true;
		ranks[index].engine_order = order;
		return SKH_MAPSWITCH_ORDER_FORWARD;
	}

	void run_engine(size_t index)
	{
		Engine &engine = engines[index];

		/* An engine ends its current step before it carries out a hold. */
		if (!engine.has_order || (engine.order.step == SKH_STEP_HOLD && engine.in_step))
			return;
		engine.has_order = false;
		if (has_faults && random_below(20) == 0) {
			skh_rank_complete_order(&ranks[index], false);
			return;
		}
		if (engine.order.step == SKH_STEP_HOLD)
			engine.held = true;
		else if (engine.order.step == SKH_STEP_SET)
			engine.version = engine.order.version;
		else if (engine.order.step == SKH_STEP_RELEASE)
			engine.held = false;
		skh_rank_complete_order(&ranks[index], true);
	}

	void advance_engines()
	{
		bool all_idle = true;
		bool none_held = true;

		for (auto &engine : engines) {
			if (engine.in_step && random_below(2) == 0)
				engine.in_step = false;
			all_idle = all_idle && !engine.in_step;
			none_held = none_held && !engine.held;
		}
		if (!all_idle || !none_held)
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
	PlantedFault planted_fault;
	bool has_faults = true;
	std::vector<skh_rank_t> ranks;
	std::vector<Engine> engines;
	std::vector<Coordinator> coordinators;
	std::vector<Message> messages;
	std::vector<Message> delayed;
	uint64_t last_fence = 0;
	uint64_t last_version = 1;
};

const uint32_t kSeeds = get_seed_count(400);
constexpr int kEventsPerRun = 6000;

TEST(ExpertMap, NoStepMixesTwoMapsUnderAnyFault)
{
	int steps = 0;
	size_t switches = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		Simulation simulation(seed, 2 + seed % 5, PlantedFault::kNothing);

		simulation.run(kEventsPerRun);
		ASSERT_EQ(simulation.violation, "") << "seed " << seed;
		steps += simulation.steps;
		switches += simulation.versions_used.size();
	}
	/* Guards against runs with too few steps or switches to check. */
	EXPECT_GT(steps, 10000);
	EXPECT_GT(switches, kSeeds);
}

TEST(ExpertMap, ASuccessorCompletesItsSwitchOnceFaultsEnd)
{
	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		Simulation simulation(seed, 2 + seed % 5, PlantedFault::kNothing);

		simulation.run(kEventsPerRun / 4);
		EXPECT_TRUE(simulation.finish_without_faults()) << "seed " << seed;
		EXPECT_EQ(simulation.violation, "") << "seed " << seed;
	}
}

TEST(ExpertMap, ARankThatJoinsDuringASwitchReceivesNoOrder)
{
	std::unique_ptr<skh_mapswitch_t, decltype(&skh_mapswitch_free)> mapswitch(
		skh_mapswitch_new(2, 1, 7), skh_mapswitch_free);
	skh_mapswitch_order_t order = {};

	EXPECT_TRUE(skh_mapswitch_next_order(mapswitch.get(), 1, &order));
	EXPECT_FALSE(skh_mapswitch_next_order(mapswitch.get(), 2, &order));
}

TEST(ExpertMap, TheCheckCatchesPlantedFaults)
{
	for (PlantedFault planted_fault :
	     { PlantedFault::kNoHold, PlantedFault::kNoFence, PlantedFault::kEarlyGo }) {
		int caught = 0;

		for (uint32_t seed = 1; seed <= kSeeds; seed++) {
			Simulation simulation(seed, 2 + seed % 5, planted_fault);

			simulation.run(kEventsPerRun);
			caught += !simulation.violation.empty();
		}
		EXPECT_GT(caught, 0) << "planted fault " << static_cast<int>(planted_fault);
	}
}

} // namespace
