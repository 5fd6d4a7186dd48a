// Fair queueing at a gate: customers' shares, priorities and early rejection.
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

constexpr int64_t kFarFuture_us = 1000 * SKH_US_PER_S;

using GatePtr = std::unique_ptr<skh_gate_t, decltype(&skh_gate_free)>;
using FairQueuePtr = std::unique_ptr<skh_fair_queue_t, decltype(&skh_fair_queue_free)>;

class Gate
{
      public:
	Gate(uint32_t capacity, uint32_t max_queued)
	    : gate(skh_gate_new(capacity, max_queued, 1), skh_gate_free)
	{
		skh_gate_open(gate.get());
	}

	skh_gate_decision_t admit(uint64_t attempt, const char *customer, uint32_t priority = 0,
				  bool no_queue = false, int64_t start_before_us = kFarFuture_us)
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

	uint64_t finish_and_start_next(uint64_t attempt)
	{
		skh_gate_finish(gate.get(), attempt, true);
		return skh_gate_start_next(gate.get(), now_us);
	}

	GatePtr gate;
	skh_error_t err = {};
	int64_t now_us = 1;
};

TEST(FairQueue, ACustomerThatSendsMoreOnlyDelaysItself)
{
	Gate gate(1, 16);

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.admit(1, "hog"));
	for (uint64_t id = 2; id < 8; id++)
		ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.admit(id, "hog"));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.admit(8, "small"));
	EXPECT_EQ(8u, gate.finish_and_start_next(1));
	EXPECT_EQ(2u, gate.finish_and_start_next(8));
}

TEST(FairQueue, AFullQueueEvictsARequestOfACustomerOverItsShare)
{
	Gate gate(1, 2);

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.admit(1, "hog"));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.admit(2, "hog"));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.admit(3, "hog"));
	EXPECT_EQ(SKH_GATE_DECISION_REJECT, gate.admit(4, "hog"));
	EXPECT_EQ(SKH_OVERLOADED, gate.err.kind);
	EXPECT_EQ(0u, skh_gate_pop_evicted(gate.gate.get()));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.admit(5, "small"));
	EXPECT_EQ(3u, skh_gate_pop_evicted(gate.gate.get()));
	EXPECT_EQ(SKH_ATTEMPT_STATUS_REJECTED,
		  skh_gate_resolve(gate.gate.get(), 3, 1, kFarFuture_us, gate.now_us));
	EXPECT_EQ(SKH_GATE_DECISION_IGNORE, gate.admit(3, "hog"));
}

TEST(FairQueue, ACustomerOverItsShareLeavesCapacityForOthers)
{
	Gate gate(16, 16);
	uint64_t id = 1;

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.admit(id++, "small"));
	while (gate.admit(id, "hog", 0, true) == SKH_GATE_DECISION_START)
		id++;
	EXPECT_EQ(14u, skh_gate_running(gate.gate.get()));
	EXPECT_EQ(SKH_GATE_DECISION_START, gate.admit(100, "small", 0, true));
	EXPECT_EQ(SKH_GATE_DECISION_START, gate.admit(101, "small", 0, true));
}

TEST(FairQueue, ASingleCustomerCanUseTheWholeCapacity)
{
	Gate gate(16, 16);

	for (uint64_t id = 1; id <= 16; id++)
		EXPECT_EQ(SKH_GATE_DECISION_START, gate.admit(id, "hog", 0, true));
	EXPECT_EQ(SKH_GATE_DECISION_REJECT, gate.admit(17, "hog", 0, true));
	EXPECT_EQ(SKH_OVERLOADED, gate.err.kind);
}

TEST(FairQueue, ALowPriorityRequestIsServedDespiteConstantHigherPriority)
{
	Gate gate(1, 64);

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.admit(1, "a"));
	ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.admit(2, "b", 4));
	uint64_t running = 1;
	uint64_t next = 10;
	bool served = false;
	/* Requests of a higher priority keep arriving. */
	for (int i = 0; i < 40 && !served; i++) {
		ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.admit(next++, "a"));
		gate.now_us += 1 * SKH_US_PER_S;
		running = gate.finish_and_start_next(running);
		served = running == 2;
		EXPECT_FALSE(served && i < 10);
	}
	EXPECT_TRUE(served);
}

TEST(FairQueue, ARequestThatCannotStartInTimeIsRejectedAtOnce)
{
	Gate gate(1, 64);
	uint64_t running = 1;

	ASSERT_EQ(SKH_GATE_DECISION_START, gate.admit(1, "a"));
	for (uint64_t id = 2; id < 22; id++)
		ASSERT_EQ(SKH_GATE_DECISION_QUEUE, gate.admit(id, "a"));
	for (int i = 0; i < 10; i++) {
		gate.now_us += 1 * SKH_US_PER_S;
		running = gate.finish_and_start_next(running);
	}
	/* Ten requests are queued and one starts per second. */
	EXPECT_EQ(SKH_GATE_DECISION_REJECT,
		  gate.admit(50, "a", 0, false, gate.now_us + 5 * SKH_US_PER_S));
	EXPECT_EQ(SKH_OVERLOADED, gate.err.kind);
	EXPECT_EQ(SKH_RUN_NOT_RUN, gate.err.run_state);
	EXPECT_GT(gate.err.retry_at_us, gate.now_us + 5 * SKH_US_PER_S);
	EXPECT_EQ(SKH_GATE_DECISION_QUEUE,
		  gate.admit(51, "a", 0, false, gate.now_us + 60 * SKH_US_PER_S));
}

// Reference model: the tags of queued requests in a list that is searched for the minimum.
RC_GTEST_PROP(FairQueue, TagOrderMatchesTheReferenceModel, ())
{
	struct QueuedRequest {
		uint64_t customer;
		double tag;
		size_t arrival;
	};
	FairQueuePtr fair_queue(skh_fair_queue_new(), skh_fair_queue_free);
	std::map<uint64_t, double> next_tag;
	std::vector<QueuedRequest> queued;
	std::vector<uint64_t> running;
	double virtual_time = 0.0;
	size_t arrival = 0;
	const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));

	for (int step : steps) {
		if (step < 5) {
			const uint64_t customer = step;
			const double weight = step + 1.0;
			const double tag = std::max(virtual_time, next_tag[customer]);

			next_tag[customer] = tag + 1.0 / weight;
			RC_ASSERT(skh_fair_queue_enqueue(fair_queue.get(), customer, weight) ==
				  tag);
			queued.push_back({ customer, tag, arrival++ });
		} else if (step < 7 && !queued.empty()) {
			const auto first = std::min_element(
				queued.begin(), queued.end(),
				[](const QueuedRequest &a, const QueuedRequest &b) {
					return std::tie(a.tag, a.arrival) <
					       std::tie(b.tag, b.arrival);
				});

			virtual_time = std::max(virtual_time, first->tag);
			skh_fair_queue_start(fair_queue.get(), first->customer, first->tag);
			running.push_back(first->customer);
			queued.erase(first);
		} else if (!running.empty()) {
			skh_fair_queue_finish(fair_queue.get(), running.back());
			running.pop_back();
			skh_fair_queue_evict_idle(fair_queue.get());
		}
		for (uint64_t customer = 0; customer < 5; customer++) {
			double active_weight = 0.0;
			double n_running = std::count(running.begin(), running.end(), customer);

			for (uint64_t other = 0; other < 5; other++) {
				const bool is_queued =
					std::any_of(queued.begin(), queued.end(),
						    [&](const QueuedRequest &request) {
							    return request.customer == other;
						    });

				if (is_queued ||
				    std::count(running.begin(), running.end(), other) > 0)
					active_weight += other + 1.0;
			}
			RC_ASSERT(skh_fair_queue_is_over_share(fair_queue.get(), customer, 4) ==
				  (n_running > 0 &&
				   n_running * active_weight >= 4 * (customer + 1.0)));
		}
	}
}

} // namespace
