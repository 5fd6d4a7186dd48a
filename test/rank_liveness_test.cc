// Detection of a rank that freezes while its lock-step group goes on, in virtual time with twelve
// ranks. If the detection is missed or late, the rank's callers time out; a false one moves streams
// away from a healthy rank.
#include "rank_liveness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

namespace
{

constexpr int64_t kUsPerMs = 1000;
constexpr int64_t kCallerTimeoutUs = 2000 * kUsPerMs;

// Every rank has @streams streams, each of which gets an event in every pass.
struct Group {
	static constexpr size_t kRanks = 12;

	std::mt19937 random;
	std::array<skh_rank_liveness_input_t, kRanks> ranks = {};
	int64_t now_us = 0;
	int64_t next_pass_us = 0;
	int64_t min_pass_ms = 50;
	int64_t max_pass_ms = 150;
	size_t frozen_rank = kRanks; // none
	uint32_t streams;

	Group(uint32_t seed, uint32_t streams) : random(seed), streams(streams)
	{
		for (auto &rank : ranks) {
			rank.running = 4;
			rank.streaming = streams;
		}
	}

	// Returns the ranks that are detected as unreachable now.
	std::vector<size_t> advance()
	{
		std::vector<size_t> unreachable;

		now_us += 20 * kUsPerMs;
		if (now_us >= next_pass_us) {
			next_pass_us = now_us + std::uniform_int_distribution<int64_t>(
							min_pass_ms, max_pass_ms)(random) *
							kUsPerMs;
			for (size_t i = 0; i < kRanks; i++) {
				if (i != frozen_rank && streams > 0)
					ranks[i].last_received_us = now_us;
			}
		}
		for (size_t i = 0; i < kRanks; i++) {
			skh_rank_liveness_input_t view = ranks[i];

			view.now_us = now_us;
			view.group_last_received_us = 0;
			for (size_t other = 0; other < kRanks; other++) {
				if (other != i)
					view.group_last_received_us =
						std::max(view.group_last_received_us,
							 ranks[other].last_received_us);
			}
			if (skh_rank_liveness_is_unreachable(&view))
				unreachable.push_back(i);
		}
		return unreachable;
	}
};

TEST(RankLiveness, NoRankIsUnreachableInASlowOrHeldGroup)
{
	for (uint32_t seed = 1; seed <= 50; seed++) {
		Group group(seed, 3);

		group.max_pass_ms = 300;
		while (group.now_us < 20000 * kUsPerMs) {
			// The group is held or broken for three seconds, so all ranks are silent.
			if (group.now_us == 8000 * kUsPerMs)
				group.next_pass_us = group.now_us + 3000 * kUsPerMs;
			ASSERT_TRUE(group.advance().empty()) << "seed " << seed;
		}
	}
}

TEST(RankLiveness, AFrozenRankIsDetectedBeforeItsCallersTimeOut)
{
	for (uint32_t seed = 1; seed <= 50; seed++) {
		Group group(seed, 3);

		while (group.now_us < 5000 * kUsPerMs)
			ASSERT_TRUE(group.advance().empty());
		group.frozen_rank = seed % Group::kRanks;
		while (group.advance().empty())
			ASSERT_LT(group.now_us, 5000 * kUsPerMs + kCallerTimeoutUs / 2);
		EXPECT_EQ(group.advance(), std::vector<size_t>{ group.frozen_rank });
	}
}

// The rank has only requests without any response data, which may still be queued there.
TEST(RankLiveness, ARequestThatHasNotStartedHasALongerButBoundedTimeout)
{
	Group group(1, 3);

	group.frozen_rank = 4;
	group.ranks[4].streaming = 0;
	group.ranks[4].busy_since_us = 1000 * kUsPerMs;
	while (group.now_us <= 2200 * kUsPerMs)
		ASSERT_TRUE(group.advance().empty());
	while (group.advance().empty())
		ASSERT_LT(group.now_us, 1000 * kUsPerMs + kCallerTimeoutUs);
}

TEST(RankLiveness, AnIdleRankIsNeverUnreachable)
{
	Group group(1, 3);

	group.frozen_rank = 4;
	group.ranks[4].running = 0;
	while (group.now_us < 5000 * kUsPerMs)
		ASSERT_TRUE(group.advance().empty());
}

} // namespace
