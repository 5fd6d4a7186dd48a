// An instance freezes while its group goes on: events of twelve ranks in virtual time.
#include "rank_liveness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kCallerPatience = 2000 * kMs;

// Each rank has @streaming streams, which get an event in every pass.
struct Group {
	static constexpr size_t kRanks = 12;

	std::mt19937 random;
	std::array<skh_rank_liveness_view_t, kRanks> ranks = {};
	int64_t now = 0;
	int64_t next_pass = 0;
	int64_t pass_from = 50;
	int64_t pass_to = 150;
	size_t frozen = kRanks; // none
	uint32_t streaming;

	Group(uint32_t seed, uint32_t streaming) : random(seed), streaming(streaming)
	{
		for (auto &rank : ranks) {
			rank.running = 4;
			rank.streaming = streaming;
		}
	}

	// Returns the ranks that are taken for lost now.
	std::vector<size_t> step()
	{
		std::vector<size_t> lost;

		now += 20 * kMs;
		if (now >= next_pass) {
			next_pass = now + std::uniform_int_distribution<int64_t>(pass_from,
										 pass_to)(random) *
						  kMs;
			for (size_t i = 0; i < kRanks; i++) {
				if (i != frozen && streaming > 0)
					ranks[i].last_received_us = now;
			}
		}
		for (size_t i = 0; i < kRanks; i++) {
			skh_rank_liveness_view_t view = ranks[i];

			view.now_us = now;
			view.group_last_received_us = 0;
			for (size_t k = 0; k < kRanks; k++) {
				if (k != i)
					view.group_last_received_us =
						std::max(view.group_last_received_us,
							 ranks[k].last_received_us);
			}
			if (skh_rank_liveness_is_unreachable(&view))
				lost.push_back(i);
		}
		return lost;
	}
};

TEST(RankSilence, NobodyIsLostInAGroupThatIsSlowOrStandsStill)
{
	for (uint32_t seed = 1; seed <= 50; seed++) {
		Group group(seed, 3);

		group.pass_to = 300;
		while (group.now < 20000 * kMs) {
			// Held, or broken, for three seconds: all of them are silent.
			if (group.now == 8000 * kMs)
				group.next_pass = group.now + 3000 * kMs;
			ASSERT_TRUE(group.step().empty()) << "seed " << seed;
		}
	}
}

TEST(RankSilence, AFrozenRankIsFoundBeforeItsCallersLeave)
{
	for (uint32_t seed = 1; seed <= 50; seed++) {
		Group group(seed, 3);

		while (group.now < 5000 * kMs)
			ASSERT_TRUE(group.step().empty());
		group.frozen = seed % Group::kRanks;
		while (group.step().empty())
			ASSERT_LT(group.now, 5000 * kMs + kCallerPatience / 2);
		EXPECT_EQ(group.step(), std::vector<size_t>{ group.frozen });
	}
}

// Only one rank was sent something, and it has not begun: it may wait for its turn.
TEST(RankSilence, WhatHasNotBegunHasLongerButNotTooLong)
{
	Group group(1, 3);

	group.frozen = 4;
	group.ranks[4].streaming = 0;
	group.ranks[4].busy_since_us = 1000 * kMs;
	while (group.now <= 2200 * kMs)
		ASSERT_TRUE(group.step().empty());
	while (group.step().empty())
		ASSERT_LT(group.now, 1000 * kMs + kCallerPatience);
}

TEST(RankSilence, AnIdleRankOwesNothing)
{
	Group group(1, 3);

	group.frozen = 4;
	group.ranks[4].running = 0;
	while (group.now < 5000 * kMs)
		ASSERT_TRUE(group.step().empty());
}

} // namespace
