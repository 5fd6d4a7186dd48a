// Guards against a rejected attempt that starts and an attempt that starts twice.
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

GatePtr open_gate(uint32_t capacity, uint32_t queue_limit)
{
	GatePtr gate(skh_gate_new(capacity, queue_limit, kIncarnation), skh_gate_free);

	skh_gate_open(gate.get());
	return gate;
}

Skh__Start make_start(uint64_t attempt, int64_t start_before_us, uint32_t priority = 0)
{
	Skh__Start start = SKH__START__INIT;

	start.attempt = attempt;
	start.incarnation = kIncarnation;
	start.start_before_us = start_before_us;
	start.priority = priority;
	return start;
}

skh_gate_decision_t admit(skh_gate_t *gate, const Skh__Start &start, int64_t now_us,
			  skh_error_kind_t *kind = nullptr)
{
	skh_error_t err = {};
	skh_gate_decision_t decision = skh_gate_admit(gate, &start, now_us, &err);

	if (kind)
		*kind = err.kind;
	return decision;
}

TEST(Gate, ALateAttemptIsRejected)
{
	GatePtr gate = open_gate(1, 1);
	skh_error_kind_t kind;

	EXPECT_EQ(admit(gate.get(), make_start(1, 100), 100, &kind), SKH_GATE_DECISION_REJECT);
	EXPECT_EQ(kind, SKH_STALE);
}

TEST(Gate, AnAttemptForAnEarlierProcessIsRejected)
{
	GatePtr gate = open_gate(1, 1);
	Skh__Start start = make_start(1, 100);
	skh_error_kind_t kind;

	start.incarnation = kIncarnation - 1;
	EXPECT_EQ(admit(gate.get(), start, 0, &kind), SKH_GATE_DECISION_REJECT);
	EXPECT_EQ(kind, SKH_STALE);
}

TEST(Gate, ACopyOfARejectedAttemptIsNotStarted)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(admit(gate.get(), make_start(1, 100), 0), SKH_GATE_DECISION_START);
	EXPECT_EQ(admit(gate.get(), make_start(2, 100), 0), SKH_GATE_DECISION_QUEUE);
	EXPECT_EQ(admit(gate.get(), make_start(3, 100), 0), SKH_GATE_DECISION_REJECT);
	skh_gate_finish(gate.get(), 1, true);
	EXPECT_EQ(skh_gate_start_next(gate.get(), 1), 2U);
	EXPECT_EQ(admit(gate.get(), make_start(3, 100), 1), SKH_GATE_DECISION_IGNORE);
	EXPECT_EQ(skh_gate_resolve(gate.get(), 3, kIncarnation, 100, 1),
		  SKH_ATTEMPT_STATUS_REJECTED);
}

TEST(Gate, AnAttemptResolvedBeforeItArrivesIsNotStarted)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(skh_gate_resolve(gate.get(), 1, kIncarnation, 100, 0),
		  SKH_ATTEMPT_STATUS_REJECTED);
	EXPECT_EQ(admit(gate.get(), make_start(1, 100), 50), SKH_GATE_DECISION_IGNORE);
}

TEST(Gate, AnAttemptOfAnEarlierProcessIsUnknown)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(skh_gate_resolve(gate.get(), 1, kIncarnation - 1, 100, 0),
		  SKH_ATTEMPT_STATUS_UNKNOWN);
}

TEST(Gate, AnAttemptPastRetentionIsUnknownNotRejected)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(admit(gate.get(), make_start(1, 100), 0), SKH_GATE_DECISION_START);
	skh_gate_finish(gate.get(), 1, true);
	EXPECT_EQ(skh_gate_resolve(gate.get(), 1, kIncarnation, 100, 50), SKH_ATTEMPT_STATUS_ENDED);
	EXPECT_EQ(skh_gate_expire_next(gate.get(), 100 + SKH_GATE_RETENTION_US - 1), 0U);
	EXPECT_EQ(skh_gate_retained(gate.get()), 1U);
	EXPECT_EQ(skh_gate_expire_next(gate.get(), 100 + SKH_GATE_RETENTION_US), 0U);
	EXPECT_EQ(skh_gate_retained(gate.get()), 0U);
	EXPECT_EQ(skh_gate_resolve(gate.get(), 1, kIncarnation, 100, 100 + SKH_GATE_RETENTION_US),
		  SKH_ATTEMPT_STATUS_UNKNOWN);
}

// A copy of a Start frame that arrived after the attempt had ended and its record had been removed
// was rejected, which reports "not run" although the attempt ran. Found by make soak, seed 1925.
TEST(Gate, ALateCopyOfAnEndedAttemptIsNeverRejected)
{
	GatePtr gate = open_gate(1, 1);

	EXPECT_EQ(admit(gate.get(), make_start(1, 100), 0), SKH_GATE_DECISION_START);
	skh_gate_finish(gate.get(), 1, true);
	for (int64_t now_us = 100; now_us < 3 * SKH_GATE_RETENTION_US;
	     now_us += SKH_GATE_RETENTION_US / 2) {
		EXPECT_EQ(skh_gate_expire_next(gate.get(), now_us), 0U);
		EXPECT_EQ(admit(gate.get(), make_start(1, 100), now_us), SKH_GATE_DECISION_IGNORE);
	}
	/* Within its retention period, an attempt without a record is known not to have run. */
	EXPECT_EQ(admit(gate.get(), make_start(2, 100), 200), SKH_GATE_DECISION_REJECT);
}

TEST(Gate, LeavingRejectsTheQueueAndLetsRunningAttemptsEnd)
{
	GatePtr gate = open_gate(1, 4);
	skh_error_kind_t kind;

	EXPECT_EQ(admit(gate.get(), make_start(1, 100), 0), SKH_GATE_DECISION_START);
	EXPECT_EQ(admit(gate.get(), make_start(2, 100), 0), SKH_GATE_DECISION_QUEUE);
	skh_gate_set_leaving(gate.get(), true);
	EXPECT_EQ(admit(gate.get(), make_start(3, 100), 0, &kind), SKH_GATE_DECISION_REJECT);
	EXPECT_EQ(kind, SKH_LEAVING);
	EXPECT_EQ(skh_gate_reject_next(gate.get()), 2U);
	EXPECT_EQ(skh_gate_reject_next(gate.get()), 0U);
	EXPECT_EQ(skh_gate_running(gate.get()), 1U);
}

TEST(Gate, StartsByPriorityThenArrival)
{
	GatePtr gate = open_gate(1, 4);

	EXPECT_EQ(admit(gate.get(), make_start(1, 100), 0), SKH_GATE_DECISION_START);
	EXPECT_EQ(admit(gate.get(), make_start(2, 100, 5), 0), SKH_GATE_DECISION_QUEUE);
	EXPECT_EQ(admit(gate.get(), make_start(3, 100, 1), 0), SKH_GATE_DECISION_QUEUE);
	EXPECT_EQ(admit(gate.get(), make_start(4, 100, 1), 0), SKH_GATE_DECISION_QUEUE);
	for (uint64_t expected : { 3U, 4U, 2U }) {
		uint64_t running_attempt = expected == 3U ? 1U : expected == 4U ? 3U : 4U;

		skh_gate_finish(gate.get(), running_attempt, true);
		EXPECT_EQ(skh_gate_start_next(gate.get(), 1), expected);
	}
}

TEST(Gate, AQueuedAttemptPastItsLatestStartIsExpired)
{
	GatePtr gate = open_gate(1, 4);

	EXPECT_EQ(admit(gate.get(), make_start(1, 100), 0), SKH_GATE_DECISION_START);
	EXPECT_EQ(admit(gate.get(), make_start(2, 50), 0), SKH_GATE_DECISION_QUEUE);
	skh_gate_finish(gate.get(), 1, true);
	EXPECT_EQ(skh_gate_start_next(gate.get(), 50), 0U);
	EXPECT_EQ(skh_gate_expire_next(gate.get(), 50), 2U);
}

// Reference model, with which the gate must agree: keeps all outcomes and removes none.
struct ReferenceModel {
	std::set<uint64_t> started;
	std::set<uint64_t> rejected;
};

RC_GTEST_PROP(Gate, RejectedNeverStartsAndStartsOnceUnderRandomEvents, ())
{
	GatePtr gate = open_gate(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 4));
	ReferenceModel model;
	std::set<uint64_t> running;
	int64_t now_us = 0;

	for (int step = 0; step < 200; step++) {
		const uint64_t attempt = *rc::gen::inRange(1, 30);
		const int64_t start_before_us = static_cast<int64_t>(attempt) * 10;
		const int action = *rc::gen::inRange(0, 6);
		uint64_t started_attempt = 0;

		now_us += *rc::gen::inRange(0, 4);
		if (action <= 1) {
			skh_gate_decision_t decision =
				admit(gate.get(), make_start(attempt, start_before_us), now_us);
			if (decision == SKH_GATE_DECISION_START)
				started_attempt = attempt;
			if (decision == SKH_GATE_DECISION_REJECT)
				model.rejected.insert(attempt);
		} else if (action == 2) {
			switch (skh_gate_resolve(gate.get(), attempt, kIncarnation, start_before_us,
						 now_us)) {
			case SKH_ATTEMPT_STATUS_REJECTED:
				RC_ASSERT(model.started.count(attempt) == 0U);
				model.rejected.insert(attempt);
				break;
			case SKH_ATTEMPT_STATUS_RUNNING:
			case SKH_ATTEMPT_STATUS_ENDED:
				RC_ASSERT(model.started.count(attempt) == 1U);
				break;
			default:
				break;
			}
		} else if (action == 3 && !running.empty()) {
			skh_gate_finish(gate.get(), *running.begin(), true);
			running.erase(running.begin());
			started_attempt = skh_gate_start_next(gate.get(), now_us);
		} else if (action == 4) {
			if (skh_gate_cancel(gate.get(), attempt) == SKH_GATE_DECISION_REJECT)
				model.rejected.insert(attempt);
		} else {
			uint64_t expired = skh_gate_expire_next(gate.get(), now_us);

			if (expired != 0)
				model.rejected.insert(expired);
		}
		if (started_attempt != 0) {
			RC_ASSERT(model.rejected.count(started_attempt) == 0U);
			RC_ASSERT(model.started.insert(started_attempt).second);
			running.insert(started_attempt);
		}
		RC_ASSERT(skh_gate_running(gate.get()) == running.size());
	}
}

} // namespace
