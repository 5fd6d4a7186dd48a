// The sidecar's word: refused work never starts, started work starts once.
#include "gate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>

namespace
{

constexpr uint64_t kIncarnation = 99;

using GatePtr = std::unique_ptr<skh_gate_t, decltype(&skh_gate_free)>;

GatePtr open_gate(uint32_t capacity, uint32_t queue)
{
	GatePtr gate(skh_gate_new(capacity, queue, kIncarnation), skh_gate_free);

	skh_gate_open(gate.get());
	return gate;
}

Skh__Start start_of(uint64_t attempt, int64_t start_before_us, uint32_t priority = 0)
{
	Skh__Start start = SKH__START__INIT;

	start.attempt = attempt;
	start.incarnation = kIncarnation;
	start.start_before_us = start_before_us;
	start.priority = priority;
	return start;
}

skh_gate_decision_t arrive(skh_gate_t *gate, const Skh__Start &start, int64_t now_us,
			   skh_error_kind_t *kind = nullptr)
{
	skh_error_t err = {};
	skh_gate_decision_t verdict = skh_gate_admit(gate, &start, now_us, &err);

	if (kind)
		*kind = err.kind;
	return verdict;
}

TEST(Gate, ALateRequestIsRefused)
{
	GatePtr gate = open_gate(1, 1);
	skh_error_kind_t kind;

	EXPECT_EQ(arrive(gate.get(), start_of(1, 100), 100, &kind), SKH_GATE_DECISION_REJECT);
	EXPECT_EQ(kind, SKH_STALE);
}

TEST(Gate, ARequestForAnEarlierProcessIsRefused)
{
	GatePtr gate = open_gate(1, 1);
	Skh__Start start = start_of(1, 100);
	skh_error_kind_t kind;

	start.incarnation = kIncarnation - 1;
	EXPECT_EQ(arrive(gate.get(), start, 0, &kind), SKH_GATE_DECISION_REJECT);
	EXPECT_EQ(kind, SKH_STALE);
}

TEST(Gate, ARefusedRequestThatComesAgainIsNotStarted)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(arrive(gate.get(), start_of(1, 100), 0), SKH_GATE_DECISION_START);
	EXPECT_EQ(arrive(gate.get(), start_of(2, 100), 0), SKH_GATE_DECISION_QUEUE);
	EXPECT_EQ(arrive(gate.get(), start_of(3, 100), 0), SKH_GATE_DECISION_REJECT);
	skh_gate_finish(gate.get(), 1, true);
	EXPECT_EQ(skh_gate_start_next(gate.get(), 1), 2U);
	EXPECT_EQ(arrive(gate.get(), start_of(3, 100), 1), SKH_GATE_DECISION_IGNORE);
	EXPECT_EQ(skh_gate_resolve(gate.get(), 3, kIncarnation, 100, 1),
		  SKH_ATTEMPT_STATUS_REJECTED);
}

TEST(Gate, AFencedRequestThatArrivesLaterIsNotStarted)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(skh_gate_resolve(gate.get(), 1, kIncarnation, 100, 0),
		  SKH_ATTEMPT_STATUS_REJECTED);
	EXPECT_EQ(arrive(gate.get(), start_of(1, 100), 50), SKH_GATE_DECISION_IGNORE);
}

TEST(Gate, WhatAnEarlierProcessDidIsUnknown)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(skh_gate_resolve(gate.get(), 1, kIncarnation - 1, 100, 0),
		  SKH_ATTEMPT_STATUS_UNKNOWN);
}

TEST(Gate, WhatMayHaveBeenForgottenIsUnknownNotRefused)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(arrive(gate.get(), start_of(1, 100), 0), SKH_GATE_DECISION_START);
	skh_gate_finish(gate.get(), 1, true);
	EXPECT_EQ(skh_gate_resolve(gate.get(), 1, kIncarnation, 100, 50), SKH_ATTEMPT_STATUS_ENDED);
	EXPECT_EQ(skh_gate_expire_next(gate.get(), 100 + SKH_GATE_RETENTION_US - 1), 0U);
	EXPECT_EQ(skh_gate_retained(gate.get()), 1U);
	EXPECT_EQ(skh_gate_expire_next(gate.get(), 100 + SKH_GATE_RETENTION_US), 0U);
	EXPECT_EQ(skh_gate_retained(gate.get()), 0U);
	EXPECT_EQ(skh_gate_resolve(gate.get(), 1, kIncarnation, 100, 100 + SKH_GATE_RETENTION_US),
		  SKH_ATTEMPT_STATUS_UNKNOWN);
}

// A copy that comes after its attempt ran, and after it was forgotten, must not
// be told as "not run": found by make soak, seed 1925.
TEST(Gate, ALateCopyOfWhatRanIsNeverRefused)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(arrive(gate.get(), start_of(1, 100), 0), SKH_GATE_DECISION_START);
	skh_gate_finish(gate.get(), 1, true);
	for (int64_t now_us = 100; now_us < 3 * SKH_GATE_RETENTION_US;
	     now_us += SKH_GATE_RETENTION_US / 2) {
		EXPECT_EQ(skh_gate_expire_next(gate.get(), now_us), 0U);
		EXPECT_EQ(arrive(gate.get(), start_of(1, 100), now_us), SKH_GATE_DECISION_IGNORE);
	}
	/* One that never came before and is not too late to tell did not run. */
	EXPECT_EQ(arrive(gate.get(), start_of(2, 100), 200), SKH_GATE_DECISION_REJECT);
}

TEST(Gate, LeavingHandsBackTheQueueAndLetsWorkEnd)
{
	GatePtr gate = open_gate(1, 4);
	skh_error_kind_t kind;

	EXPECT_EQ(arrive(gate.get(), start_of(1, 100), 0), SKH_GATE_DECISION_START);
	EXPECT_EQ(arrive(gate.get(), start_of(2, 100), 0), SKH_GATE_DECISION_QUEUE);
	skh_gate_set_leaving(gate.get(), true);
	EXPECT_EQ(arrive(gate.get(), start_of(3, 100), 0, &kind), SKH_GATE_DECISION_REJECT);
	EXPECT_EQ(kind, SKH_LEAVING);
	EXPECT_EQ(skh_gate_reject_next(gate.get()), 2U);
	EXPECT_EQ(skh_gate_reject_next(gate.get()), 0U);
	EXPECT_EQ(skh_gate_running(gate.get()), 1U);
}

TEST(Gate, StartsByPriorityThenAge)
{
	GatePtr gate = open_gate(1, 4);

	EXPECT_EQ(arrive(gate.get(), start_of(1, 100), 0), SKH_GATE_DECISION_START);
	EXPECT_EQ(arrive(gate.get(), start_of(2, 100, 5), 0), SKH_GATE_DECISION_QUEUE);
	EXPECT_EQ(arrive(gate.get(), start_of(3, 100, 1), 0), SKH_GATE_DECISION_QUEUE);
	EXPECT_EQ(arrive(gate.get(), start_of(4, 100, 1), 0), SKH_GATE_DECISION_QUEUE);
	for (uint64_t expected : { 3U, 4U, 2U }) {
		uint64_t before = expected == 3U ? 1U : expected == 4U ? 3U : 4U;

		skh_gate_finish(gate.get(), before, true);
		EXPECT_EQ(skh_gate_start_next(gate.get(), 1), expected);
	}
}

TEST(Gate, AWaitingRequestPastItsMomentIsRefusedNotStarted)
{
	GatePtr gate = open_gate(1, 4);

	EXPECT_EQ(arrive(gate.get(), start_of(1, 100), 0), SKH_GATE_DECISION_START);
	EXPECT_EQ(arrive(gate.get(), start_of(2, 50), 0), SKH_GATE_DECISION_QUEUE);
	skh_gate_finish(gate.get(), 1, true);
	EXPECT_EQ(skh_gate_start_next(gate.get(), 50), 0U);
	EXPECT_EQ(skh_gate_expire_next(gate.get(), 50), 2U);
}

// The naive gate keeps everything for ever; both must tell the same story.
struct NaiveGate {
	std::set<uint64_t> started;
	std::set<uint64_t> refused;
};

RC_GTEST_PROP(Gate, KeepsItsWordUnderAnyOrderOfEvents, ())
{
	GatePtr gate = open_gate(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 4));
	NaiveGate naive;
	std::set<uint64_t> running;
	int64_t now_us = 0;

	for (int step = 0; step < 200; step++) {
		const uint64_t attempt = *rc::gen::inRange(1, 30);
		const int64_t start_before_us = static_cast<int64_t>(attempt) * 10;
		const int action = *rc::gen::inRange(0, 6);
		uint64_t begun = 0;

		now_us += *rc::gen::inRange(0, 4);
		if (action <= 1) {
			skh_gate_decision_t verdict =
				arrive(gate.get(), start_of(attempt, start_before_us), now_us);
			if (verdict == SKH_GATE_DECISION_START)
				begun = attempt;
			if (verdict == SKH_GATE_DECISION_REJECT)
				naive.refused.insert(attempt);
		} else if (action == 2) {
			switch (skh_gate_resolve(gate.get(), attempt, kIncarnation, start_before_us,
						 now_us)) {
			case SKH_ATTEMPT_STATUS_REJECTED:
				RC_ASSERT(naive.started.count(attempt) == 0U);
				naive.refused.insert(attempt);
				break;
			case SKH_ATTEMPT_STATUS_RUNNING:
			case SKH_ATTEMPT_STATUS_ENDED:
				RC_ASSERT(naive.started.count(attempt) == 1U);
				break;
			default:
				break;
			}
		} else if (action == 3 && !running.empty()) {
			skh_gate_finish(gate.get(), *running.begin(), true);
			running.erase(running.begin());
			begun = skh_gate_start_next(gate.get(), now_us);
		} else if (action == 4) {
			if (skh_gate_cancel(gate.get(), attempt) == SKH_GATE_DECISION_REJECT)
				naive.refused.insert(attempt);
		} else {
			uint64_t expired = skh_gate_expire_next(gate.get(), now_us);

			if (expired != 0)
				naive.refused.insert(expired);
		}
		if (begun != 0) {
			RC_ASSERT(naive.refused.count(begun) == 0U);
			RC_ASSERT(naive.started.insert(begun).second);
			running.insert(begun);
		}
		RC_ASSERT(skh_gate_running(gate.get()) == running.size());
	}
}

} // namespace
