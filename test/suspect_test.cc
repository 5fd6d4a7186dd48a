// Requests that crash backend servers: recognised, run one at a time, cleared.
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
	SuspectsPtr table = new_suspects();

	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(table.get(), 1, 0));
	EXPECT_TRUE(skh_suspects_record_crash(table.get(), 1, 100, 0));
	EXPECT_EQ(SKH_SUSPECT_STATE_SUSPECT, skh_suspects_get_state(table.get(), 1, 1));
	EXPECT_FALSE(skh_suspects_record_crash(table.get(), 1, 100, 1));
	EXPECT_EQ(SKH_SUSPECT_STATE_SUSPECT, skh_suspects_get_state(table.get(), 1, 2));
	EXPECT_TRUE(skh_suspects_record_crash(table.get(), 1, 101, kLater_us));
	EXPECT_EQ(SKH_SUSPECT_STATE_QUARANTINED, skh_suspects_get_state(table.get(), 1, kLater_us));
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(table.get(), 2, kLater_us));
}

TEST(Suspect, AWholeAnswerOrTimeClears)
{
	SuspectsPtr table = new_suspects();
	uint64_t crashes[SKH_SUSPECT_QUARANTINE_CRASHES];
	const int64_t over_us = SKH_SUSPECT_EXPIRY_S * SKH_US_PER_S;

	ASSERT_TRUE(skh_suspects_record_crash(table.get(), 1, 100, 0));
	ASSERT_EQ(1u, skh_suspects_clear(table.get(), 1, crashes));
	EXPECT_EQ(100u, crashes[0]);
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(table.get(), 1, 1));
	ASSERT_TRUE(skh_suspects_record_crash(table.get(), 2, 100, 0));
	EXPECT_EQ(SKH_SUSPECT_STATE_SUSPECT, skh_suspects_get_state(table.get(), 2, over_us - 1));
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(table.get(), 2, over_us));
}

TEST(Suspect, ServersLostTogetherAccuseNobodyFurther)
{
	SuspectsPtr table = new_suspects();

	EXPECT_TRUE(skh_suspects_record_crash(table.get(), 1, 100, 0));
	EXPECT_TRUE(skh_suspects_record_crash(table.get(), 2, 101, 1));
	EXPECT_TRUE(skh_suspects_record_crash(table.get(), 3, 102, 2));
	EXPECT_FALSE(skh_suspects_record_crash(table.get(), 4, 103, 3));
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(table.get(), 4, 4));
	EXPECT_TRUE(skh_suspects_record_crash(table.get(), 4, 104, kLater_us));
}

TEST(Suspect, WhatOthersClearedIsClearedHereAndOwnNewsStays)
{
	SuspectsPtr table = new_suspects();

	skh_suspects_begin_snapshot(table.get());
	skh_suspects_add_snapshot_crash(table.get(), 1, 100, 0);
	skh_suspects_end_snapshot(table.get());
	ASSERT_TRUE(skh_suspects_record_crash(table.get(), 2, 101, 0));
	skh_suspects_begin_snapshot(table.get());
	skh_suspects_end_snapshot(table.get());
	EXPECT_EQ(SKH_SUSPECT_STATE_CLEAR, skh_suspects_get_state(table.get(), 1, 1));
	EXPECT_EQ(SKH_SUSPECT_STATE_SUSPECT, skh_suspects_get_state(table.get(), 2, 1));
}

// The naive version: every crash of every request, counted anew each time.
RC_GTEST_PROP(Suspect, StandsAsTheNaiveCountSays, ())
{
	SuspectsPtr table = new_suspects();
	std::map<uint64_t, std::map<uint64_t, int64_t>> held;
	int64_t now_us = 0;
	const auto steps = *rc::gen::container<std::vector<std::tuple<int, uint64_t, uint64_t>>>(
		rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange<uint64_t>(1, 5),
			       rc::gen::inRange<uint64_t>(1, 9)));

	for (const auto &[what, request, crash] : steps) {
		uint64_t cleared[SKH_SUSPECT_QUARANTINE_CRASHES];

		now_us += kLater_us;
		if (what == 0) {
			skh_suspects_clear(table.get(), request, cleared);
			held.erase(request);
		} else {
			skh_suspects_record_crash(table.get(), request, crash, now_us);
			if (held[request].size() < SKH_SUSPECT_QUARANTINE_CRASHES)
				held[request].emplace(crash, now_us);
		}
		for (uint64_t other = 1; other < 5; other++) {
			const size_t n = held[other].size();
			const skh_suspect_state_t expected =
				n == 0	 ? SKH_SUSPECT_STATE_CLEAR
				: n == 1 ? SKH_SUSPECT_STATE_SUSPECT
					 : SKH_SUSPECT_STATE_QUARANTINED;

			RC_ASSERT(skh_suspects_get_state(table.get(), other, now_us) == expected);
		}
	}
}

Skh__Start start_of(uint64_t attempt, bool suspect)
{
	Skh__Start start = SKH__START__INIT;

	start.attempt = attempt;
	start.incarnation = 1;
	start.start_before_us = kLater_us;
	start.suspect = suspect;
	return start;
}

// However suspects and others arrive, end and survive, two suspects never run
// together, and nobody waits where there is room.
RC_GTEST_PROP(Suspect, AGateRunsOneAtATimeAndWastesNoRoom, ())
{
	constexpr uint32_t kCapacity = 3;
	GatePtr gate(skh_gate_new(kCapacity, 64, 1), skh_gate_free);
	std::map<uint64_t, bool> running;
	std::map<uint64_t, bool> waiting;
	std::set<uint64_t> survived;
	uint64_t next = 1;
	const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));

	skh_gate_open(gate.get());
	for (int what : steps) {
		skh_error_t err = {};
		uint64_t id;

		if (what <= 1) {
			const Skh__Start start = start_of(next, what == 1);
			const skh_gate_decision_t verdict =
				skh_gate_admit(gate.get(), &start, 1, &err);

			RC_ASSERT(verdict != SKH_GATE_DECISION_REJECT || waiting.size() >= 64);
			if (verdict == SKH_GATE_DECISION_START)
				running[next] = what == 1;
			if (verdict == SKH_GATE_DECISION_QUEUE)
				waiting[next] = what == 1;
			next++;
		} else if (!running.empty()) {
			const auto [first, suspect] = *running.begin();

			if (what == 2 && suspect) {
				skh_gate_clear_suspect(gate.get(), first);
				survived.insert(first);
			} else {
				skh_gate_finish(gate.get(), first, true);
				running.erase(first);
			}
		}
		while ((id = skh_gate_start_next(gate.get(), 1)) != 0) {
			running[id] = waiting.at(id);
			waiting.erase(id);
		}
		size_t suspects = 0;
		size_t innocents_waiting = 0;
		for (const auto &[attempt, suspect] : running)
			suspects += suspect && survived.count(attempt) == 0;
		for (const auto &[attempt, suspect] : waiting)
			innocents_waiting += !suspect;
		RC_ASSERT(suspects <= 1);
		RC_ASSERT(running.size() <= kCapacity);
		if (running.size() < kCapacity) {
			RC_ASSERT(innocents_waiting == 0);
			RC_ASSERT(waiting.empty() || suspects == 1);
		}
	}
}

} // namespace
