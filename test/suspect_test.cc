// Crash suspects: recognised by content, run one at a time, quarantined and cleared.
#include "suspect.h"

#include "clock.h"
#include "gate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>

namespace
{

constexpr int64_t kLater_us = 10 * SKH_US_PER_S;

using SuspectsPtr = std::unique_ptr<skh_suspects_t, decltype(&skh_suspects_free)>;
using GatePtr = std::unique_ptr<skh_gate_t, decltype(&skh_gate_free)>;

SuspectsPtr new_suspects()
{
	return SuspectsPtr(skh_suspects_new(), skh_suspects_free);
}

TEST(Suspect, TwoCrashesQuarantineARequest)
{
	SuspectsPtr suspects = new_suspects();

	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(suspects.get(), 1, 0));
	EXPECT_TRUE(skh_suspects_record_crash(suspects.get(), 1, 100, 0));
	EXPECT_EQ(SKH_SUSPECT_STATE_SUSPECT, skh_suspects_get_state(suspects.get(), 1, 1));
	EXPECT_FALSE(skh_suspects_record_crash(suspects.get(), 1, 100, 1));
	EXPECT_EQ(SKH_SUSPECT_STATE_SUSPECT, skh_suspects_get_state(suspects.get(), 1, 2));
	EXPECT_TRUE(skh_suspects_record_crash(suspects.get(), 1, 101, kLater_us));
	EXPECT_EQ(SKH_SUSPECT_STATE_QUARANTINED,
		  skh_suspects_get_state(suspects.get(), 1, kLater_us));
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(suspects.get(), 2, kLater_us));
}

TEST(Suspect, ACompleteResponseOrExpiryClearsARequest)
{
	SuspectsPtr suspects = new_suspects();
	uint64_t crashes[SKH_SUSPECT_QUARANTINE_CRASHES];
	const int64_t expiry_us = SKH_SUSPECT_EXPIRY_S * SKH_US_PER_S;

	ASSERT_TRUE(skh_suspects_record_crash(suspects.get(), 1, 100, 0));
	ASSERT_EQ(1u, skh_suspects_clear(suspects.get(), 1, crashes));
	EXPECT_EQ(100u, crashes[0]);
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(suspects.get(), 1, 1));
	ASSERT_TRUE(skh_suspects_record_crash(suspects.get(), 2, 100, 0));
	EXPECT_EQ(SKH_SUSPECT_STATE_SUSPECT,
		  skh_suspects_get_state(suspects.get(), 2, expiry_us - 1));
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(suspects.get(), 2, expiry_us));
}

TEST(Suspect, CrashesBeyondTheLimitOfAWindowAreNotRecorded)
{
	SuspectsPtr suspects = new_suspects();

	EXPECT_TRUE(skh_suspects_record_crash(suspects.get(), 1, 100, 0));
	EXPECT_TRUE(skh_suspects_record_crash(suspects.get(), 2, 101, 1));
	EXPECT_TRUE(skh_suspects_record_crash(suspects.get(), 3, 102, 2));
	EXPECT_FALSE(skh_suspects_record_crash(suspects.get(), 4, 103, 3));
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(suspects.get(), 4, 4));
	EXPECT_TRUE(skh_suspects_record_crash(suspects.get(), 4, 104, kLater_us));
}

TEST(Suspect, ASnapshotRemovesSharedCrashesAndKeepsUnsharedOnes)
{
	SuspectsPtr suspects = new_suspects();

	skh_suspects_begin_snapshot(suspects.get());
	skh_suspects_add_snapshot_crash(suspects.get(), 1, 100, 0);
	skh_suspects_end_snapshot(suspects.get());
	ASSERT_TRUE(skh_suspects_record_crash(suspects.get(), 2, 101, 0));
	skh_suspects_begin_snapshot(suspects.get());
	skh_suspects_end_snapshot(suspects.get());
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(suspects.get(), 1, 1));
	EXPECT_EQ(SKH_SUSPECT_STATE_SUSPECT, skh_suspects_get_state(suspects.get(), 2, 1));
}

// Reference model: the set of crashes of each request, counted after each step.
RC_GTEST_PROP(Suspect, StateMatchesTheReferenceModel, ())
{
	SuspectsPtr suspects = new_suspects();
	std::map<uint64_t, std::map<uint64_t, int64_t>> crashes_of;
	int64_t now_us = 0;
	const auto steps = *rc::gen::container<std::vector<std::tuple<int, uint64_t, uint64_t>>>(
		rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange<uint64_t>(1, 5),
			       rc::gen::inRange<uint64_t>(1, 9)));

	for (const auto &[action, request, crash] : steps) {
		uint64_t cleared[SKH_SUSPECT_QUARANTINE_CRASHES];

		now_us += kLater_us;
		if (action == 0) {
			skh_suspects_clear(suspects.get(), request, cleared);
			crashes_of.erase(request);
		} else {
			skh_suspects_record_crash(suspects.get(), request, crash, now_us);
			if (crashes_of[request].size() < SKH_SUSPECT_QUARANTINE_CRASHES)
				crashes_of[request].emplace(crash, now_us);
		}
		for (uint64_t other = 1; other < 5; other++) {
			const size_t n = crashes_of[other].size();
			const skh_suspect_state_t expected =
				n == 0	 ? SKH_SUSPECT_STATE_CLEAR
				: n == 1 ? SKH_SUSPECT_STATE_SUSPECT
					 : SKH_SUSPECT_STATE_QUARANTINED;

			RC_ASSERT(skh_suspects_get_state(suspects.get(), other, now_us) ==
				  expected);
		}
	}
}

Skh__Start make_start(uint64_t attempt, bool is_suspect)
{
	Skh__Start start = SKH__START__INIT;

	start.attempt = attempt;
	start.incarnation = 1;
	start.start_before_us = kLater_us;
	start.suspect = is_suspect;
	return start;
}

// For any order of arrivals, completions and cleared suspects, a gate runs at most one uncleared
// suspect at a time and queues no other request while it has free capacity.
RC_GTEST_PROP(Suspect, AGateRunsOneSuspectAtATimeAndUsesFreeCapacity, ())
{
	constexpr uint32_t kCapacity = 3;
	GatePtr gate(skh_gate_new(kCapacity, 64, 1), skh_gate_free);
	std::map<uint64_t, bool> running;
	std::map<uint64_t, bool> queued;
	std::set<uint64_t> cleared;
	uint64_t next = 1;
	const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));

	skh_gate_open(gate.get());
	for (int action : steps) {
		skh_error_t err = {};
		uint64_t started;

		if (action <= 1) {
			const Skh__Start start = make_start(next, action == 1);
			const skh_gate_decision_t decision =
				skh_gate_admit(gate.get(), &start, 1, &err);

			RC_ASSERT(decision != SKH_GATE_DECISION_REJECT || queued.size() >= 64);
			if (decision == SKH_GATE_DECISION_START)
				running[next] = action == 1;
			if (decision == SKH_GATE_DECISION_QUEUE)
				queued[next] = action == 1;
			next++;
		} else if (!running.empty()) {
			const auto [first, is_suspect] = *running.begin();

			if (action == 2 && is_suspect) {
				skh_gate_clear_suspect(gate.get(), first);
				cleared.insert(first);
			} else {
				skh_gate_finish(gate.get(), first, true);
				running.erase(first);
			}
		}
		while ((started = skh_gate_start_next(gate.get(), 1)) != 0) {
			running[started] = queued.at(started);
			queued.erase(started);
		}
		size_t n_suspects_running = 0;
		size_t n_others_queued = 0;
		for (const auto &[attempt, is_suspect] : running)
			n_suspects_running += is_suspect && cleared.count(attempt) == 0;
		for (const auto &[attempt, is_suspect] : queued)
			n_others_queued += !is_suspect;
		RC_ASSERT(n_suspects_running <= 1);
		RC_ASSERT(running.size() <= kCapacity);
		if (running.size() < kCapacity) {
			RC_ASSERT(n_others_queued == 0);
			RC_ASSERT(queued.empty() || n_suspects_running == 1);
		}
	}
}

} // namespace
