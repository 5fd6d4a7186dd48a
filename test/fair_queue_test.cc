// Fairness at a gate: shares, priorities, refusals that come early.
#include "clock.h"
#include "fair_queue.h"
#include "gate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kFar_us = 1000 * SKH_US_PER_S;

using GatePtr = std::unique_ptr<skh_gate_t, decltype(&skh_gate_free)>;
using FairPtr = std::unique_ptr<skh_fair_queue_t, decltype(&skh_fair_queue_free)>;

class Gate
{
      public:
	Gate(uint32_t capacity, uint32_t queue)
	    : gate(skh_gate_new(capacity, queue, 1), skh_gate_free)
	{
		skh_gate_open(gate.get());
	}

	skh_gate_decision_t arrive(uint64_t attempt, const char *customer, uint32_t priority = 0,
				   bool no_queue = false, int64_t start_before_us = kFar_us)
	{
		Skh__Start start = SKH__START__INIT;

		start.attempt = attempt;
		start.incarnation = 1;
		start.customer = const_cast<char *>(customer);
		start.weight = 1.0;
		start.priority = priority;
		start.no_queue = no_queue;
		start.start_before_us = start_before_us;
		err = {};
		return skh_gate_admit(gate.get(), &start, now_us, &err);
	}

	uint64_t end(uint64_t attempt)
	{
		skh_gate_finish(gate.get(), attempt, true);
		return skh_gate_start_next(gate.get(), now_us);
	}

	GatePtr gate;
	skh_error_t err = {};
	int64_t now_us = 1;
};

TEST(Fair, ACustomerThatSendsMoreOnlyDelaysItself)
{
	Gate gate(1, 16);

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.arrive(1, "hog"));
	for (uint64_t id = 2; id < 8; id++)
		ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.arrive(id, "hog"));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.arrive(8, "small"));
	EXPECT_EQ(8u, gate.end(1));
	EXPECT_EQ(2u, gate.end(8));
}

TEST(Fair, AFullLineMakesRoomForWhoIsUnderTheirShare)
{
	Gate gate(1, 2);

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.arrive(1, "hog"));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.arrive(2, "hog"));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.arrive(3, "hog"));
	EXPECT_EQ(SKH_GATE_DECISION_REJECT, gate.arrive(4, "hog"));
	EXPECT_EQ(SKH_OVERLOADED, gate.err.kind);
	EXPECT_EQ(0u, skh_gate_pop_evicted(gate.gate.get()));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.arrive(5, "small"));
	EXPECT_EQ(3u, skh_gate_pop_evicted(gate.gate.get()));
	EXPECT_EQ(SKH_ATTEMPT_STATUS_REJECTED,
		  skh_gate_resolve(gate.gate.get(), 3, 1, kFar_us, gate.now_us));
	EXPECT_EQ(SKH_GATE_DECISION_IGNORE, gate.arrive(3, "hog"));
}

TEST(Fair, WhoeverIsOverTheirShareLeavesRoom)
{
	Gate gate(16, 16);
	uint64_t id = 1;

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.arrive(id++, "small"));
	while (gate.arrive(id, "hog", 0, true) == SKH_GATE_DECISION_START)
		id++;
	EXPECT_EQ(14u, skh_gate_running(gate.gate.get()));
	EXPECT_EQ(SKH_GATE_DECISION_START, gate.arrive(100, "small", 0, true));
	EXPECT_EQ(SKH_GATE_DECISION_START, gate.arrive(101, "small", 0, true));
}

TEST(Fair, ACustomerAloneMayUseEverything)
{
	Gate gate(16, 16);

	for (uint64_t id = 1; id <= 16; id++)
		EXPECT_EQ(SKH_GATE_DECISION_START, gate.arrive(id, "hog", 0, true));
	EXPECT_EQ(SKH_GATE_DECISION_REJECT, gate.arrive(17, "hog", 0, true));
	EXPECT_EQ(SKH_OVERLOADED, gate.err.kind);
}

TEST(Fair, ALowPriorityRisesWhileItWaits)
{
	Gate gate(1, 64);

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.arrive(1, "a"));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.arrive(2, "b", 4));
	uint64_t running = 1;
	uint64_t next = 10;
	bool served = false;
	/* A high priority that never lets up. */
	for (int i = 0; i < 40 && !served; i++) {
		ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.arrive(next++, "a"));
		gate.now_us += 1 * SKH_US_PER_S;
		running = gate.end(running);
		served = running == 2;
		EXPECT_FALSE(served && i < 10);
	}
	EXPECT_TRUE(served);
}

TEST(Fair, WhoCannotStartInTimeIsToldAtOnce)
{
	Gate gate(1, 64);
	uint64_t running = 1;

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.arrive(1, "a"));
	for (uint64_t id = 2; id < 22; id++)
		ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.arrive(id, "a"));
	for (int i = 0; i < 10; i++) {
		gate.now_us += 1 * SKH_US_PER_S;
		running = gate.end(running);
	}
	/* Ten wait, one starts a second. */
	EXPECT_EQ(SKH_GATE_DECISION_REJECT,
		  gate.arrive(50, "a", 0, false, gate.now_us + 5 * SKH_US_PER_S));
	EXPECT_EQ(SKH_OVERLOADED, gate.err.kind);
	EXPECT_EQ(SKH_RUN_NOT_RUN, gate.err.run_state);
	EXPECT_GT(gate.err.retry_at_us, gate.now_us + 5 * SKH_US_PER_S);
	EXPECT_EQ(SKH_GATE_DECISION_QUEUE,
		  gate.arrive(51, "a", 0, false, gate.now_us + 60 * SKH_US_PER_S));
}

// The naive version: customers' tags kept in a plain list and sorted each time.
RC_GTEST_PROP(Fair, TagsOrderAsTheNaiveVersion, ())
{
	struct Entry {
		uint64_t customer;
		double tag;
		size_t order;
	};
	FairPtr fair(skh_fair_queue_new(), skh_fair_queue_free);
	std::map<uint64_t, double> finish;
	std::vector<Entry> waiting;
	std::vector<uint64_t> running;
	double now = 0.0;
	size_t order = 0;
	const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));

	for (int step : steps) {
		if (step < 5) {
			const uint64_t customer = step;
			const double weight = step + 1.0;
			const double tag = std::max(now, finish[customer]);

			finish[customer] = tag + 1.0 / weight;
			RC_ASSERT(skh_fair_queue_enqueue(fair.get(), customer, weight) == tag);
			waiting.push_back({ customer, tag, order++ });
		} else if (step < 7 && !waiting.empty()) {
			const auto first = std::min_element(
				waiting.begin(), waiting.end(), [](const Entry &a, const Entry &b) {
					return std::tie(a.tag, a.order) < std::tie(b.tag, b.order);
				});

			now = std::max(now, first->tag);
			skh_fair_queue_start(fair.get(), first->customer, first->tag);
			running.push_back(first->customer);
			waiting.erase(first);
		} else if (!running.empty()) {
			skh_fair_queue_finish(fair.get(), running.back());
			running.pop_back();
			skh_fair_queue_evict_idle(fair.get());
		}
		for (uint64_t customer = 0; customer < 5; customer++) {
			double active = 0.0;
			double runs = std::count(running.begin(), running.end(), customer);

			for (uint64_t other = 0; other < 5; other++) {
				const bool waits = std::any_of(
					waiting.begin(), waiting.end(),
					[&](const Entry &e) { return e.customer == other; });

				if (waits || std::count(running.begin(), running.end(), other) > 0)
					active += other + 1.0;
			}
			RC_ASSERT(skh_fair_queue_is_over_share(fair.get(), customer, 4) ==
				  (runs > 0 && runs * active >= 4 * (customer + 1.0)));
		}
	}
}

} // namespace
