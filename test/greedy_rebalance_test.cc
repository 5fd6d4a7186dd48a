// Quick relief and planning of maps: a shift of demand is answered within the
// ranks' limits, every expert keeps a place, counts survive their packing.
#include "count_codec.h"
#include "fence.h"
#include "forecast.h"
#include "mapplan.h"
#include "rankrelay.h"
#include "greedy_rebalance.h"
#include "zipf.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <vector>

namespace
{

// Experts dealt in turn, as the engines' first map does; the other places are empty.
std::vector<uint32_t> dealt(uint32_t sets, uint32_t ranks, uint32_t places, uint32_t experts)
{
	std::vector<uint32_t> map(static_cast<size_t>(sets) * ranks * places);

	for (uint32_t set = 0; set < sets; set++) {
		for (uint32_t expert = 0; expert < experts; expert++)
			map[(static_cast<size_t>(set) * ranks + expert % ranks) * places +
			    expert / ranks] = expert + 1;
	}
	return map;
}

skh_engine_spec_t shape_of(uint32_t sets, uint32_t experts, uint32_t places, uint32_t spare)
{
	skh_engine_spec_t shape = {};

	shape.expert_sets = sets;
	shape.experts_per_set = experts;
	shape.expert_slots = places;
	shape.spare_slots = spare;
	return shape;
}

} // namespace

double skew_of(const skh_greedy_rebalance_input_t &view, std::vector<uint32_t> map)
{
	std::vector<uint32_t> none(view.n_ranks);
	skh_greedy_rebalance_t *relief =
		skh_greedy_rebalance_new(&view, map.data(), 0, none.data());
	double skew = skh_greedy_rebalance_skew(relief);

	skh_greedy_rebalance_free(relief);
	return skew;
}

// Steps that were taken until the skew is below 1.08.
int relieve(const skh_greedy_rebalance_input_t &view, std::vector<uint32_t> &map,
	    std::vector<uint32_t> &left)
{
	skh_greedy_rebalance_t *relief =
		skh_greedy_rebalance_new(&view, map.data(), left[0], left.data());
	int steps = 0;

	while (skh_greedy_rebalance_skew(relief) > 1.08 && skh_greedy_rebalance_step(relief))
		steps++;
	skh_greedy_rebalance_free(relief);
	return steps;
}

TEST(Relief, OneExpertWithAFifthOfAllTokensIsSpread)
{
	std::vector<double> shares = zipf(72, 1.3, 7);
	std::vector<uint32_t> map = dealt(1, 12, 8, 72);
	std::vector<uint32_t> left(12, 2);
	skh_greedy_rebalance_input_t view = { 12, 8, 72, shares.data(), nullptr, 0.01 };

	EXPECT_GT(skew_of(view, map), 3.0);
	EXPECT_GT(relieve(view, map, left), 0);
	EXPECT_LT(skew_of(view, map), 1.25);
}

TEST(Relief, DoesNotDropAReplicaThatOthersNeed)
{
	// A replica just made must not make room for the next: seen on 63 ranks.
	std::vector<double> shares = zipf(252, 1.3, 3);
	std::vector<uint32_t> map = dealt(1, 63, 5, 252);
	std::vector<uint32_t> left(63, 3);
	skh_greedy_rebalance_input_t view = { 63, 5, 252, shares.data(), nullptr, 0.01 };

	(void)relieve(view, map, left);
	EXPECT_LT(skew_of(view, map), 1.3);
}

// One rank takes five times as long, and all others wait for it.
TEST(Relief, TheExpertsOfASlowRankComeToStandElsewhere)
{
	const skh_engine_spec_t shapes[] = { shape_of(4, 72, 8, 3), shape_of(8, 252, 5, 2) };
	const uint32_t ranks[] = { 12, 63 };

	for (size_t kind = 0; kind < 2; kind++) {
		const skh_engine_spec_t &shape = shapes[kind];
		std::vector<uint32_t> map = dealt(shape.expert_sets, ranks[kind],
						  shape.expert_slots, shape.experts_per_set);
		std::vector<double> paces(ranks[kind], 1.0);
		std::vector<double> shares;
		skh_mapplan_options_t weights = {};
		skh_mapplan_result_t result;

		for (uint32_t set = 0; set < shape.expert_sets; set++) {
			std::vector<double> part =
				zipf(shape.experts_per_set, kind == 0 ? 1.3 : 0.66, set);

			shares.insert(shares.end(), part.begin(), part.end());
		}
		weights.greedy_only = true;
		weights.greedy_target_skew = 1.08;
		weights.max_new_per_rank = 8;
		skh_mapplan_make(&shape, ranks[kind], &weights, shares.data(), map.data(), &result);
		EXPECT_LT(result.skew_after, 1.35);
		paces[5] = 5.0;
		weights.slowdowns = paces.data();
		weights.max_new_per_rank = 4;
		skh_mapplan_make(&shape, ranks[kind], &weights, shares.data(), map.data(), &result);
		EXPECT_GT(result.skew_before, 4.0);
		EXPECT_LT(result.skew_after, 1.5);
		EXPECT_TRUE(skh_mapplan_is_valid(&shape, ranks[kind], map.data()));
		// Engines tell their experts without gaps.
		for (size_t i = 0; i + 1 < map.size(); i++) {
			if ((i + 1) % shape.expert_slots != 0) {
				ASSERT_TRUE(map[i] > 0 || map[i + 1] == 0);
			}
		}
		EXPECT_LE(result.max_copies_per_rank, 4U);
	}
}

TEST(Relief, NeverWorseAndWithinLimitsForAnyShift)
{
	const skh_engine_spec_t shape = shape_of(4, 72, 8, 3);
	std::vector<uint32_t> map = dealt(4, 12, 8, 72);
	const skh_mapplan_options_t weights[] = { { 1, 1, 0.006, 2, true, 0, nullptr },
						  { 1, 1, 0.006, 4, false, 0, nullptr } };

	for (uint32_t shift = 0; shift < 30; shift++) {
		std::vector<double> shares;

		for (uint32_t set = 0; set < 4; set++) {
			std::vector<double> part = zipf(72, 1.3, shift * 4 + set);

			shares.insert(shares.end(), part.begin(), part.end());
		}
		for (const auto &weight : weights) {
			std::vector<uint32_t> before = map;
			skh_mapplan_result_t result;

			skh_mapplan_make(&shape, 12, &weight, shares.data(), map.data(), &result);
			ASSERT_TRUE(skh_mapplan_is_valid(&shape, 12, map.data())) << shift;
			EXPECT_LE(result.skew_after, result.skew_before + 1e-9) << shift;
			EXPECT_LE(result.max_copies_per_rank, weight.max_new_per_rank) << shift;
			for (size_t row = 0; row < 4 * 12; row++) {
				int fresh = 0;

				for (size_t i = 0; i < 8; i++) {
					uint32_t expert = map[row * 8 + i];
					auto begin = before.begin() + static_cast<long>(row) * 8;

					fresh += expert > 0 &&
						 std::find(begin, begin + 8, expert) == begin + 8;
				}
				EXPECT_LE(fresh, 3);
			}
		}
		EXPECT_LT(skh_mapplan_skew(&shape, 12, shares.data(), nullptr, map.data()), 1.35)
			<< shift;
	}
}

TEST(MapPlan, AnInvalidMapIsSeen)
{
	const skh_engine_spec_t shape = shape_of(1, 4, 3, 1);
	std::vector<uint32_t> map = { 1, 2, 0, 3, 4, 0 };

	EXPECT_TRUE(skh_mapplan_is_valid(&shape, 2, map.data()));
	map[1] = 1;
	EXPECT_FALSE(skh_mapplan_is_valid(&shape, 2, map.data())); // twice on a rank
	map[1] = 0;
	EXPECT_FALSE(skh_mapplan_is_valid(&shape, 2, map.data())); // 2 stands nowhere
	map[1] = 5;
	EXPECT_FALSE(skh_mapplan_is_valid(&shape, 2, map.data())); // no such expert
}

TEST(Forecast, TheEndOfAShiftIsForetoldFromItsBeginning)
{
	std::vector<double> before = zipf(72, 1.3, 1);
	std::vector<double> after = zipf(72, 1.3, 2);
	std::vector<double> now(72);
	std::vector<double> outcome(72);
	double far = 0.0;
	double near = 0.0;

	for (size_t i = 0; i < 72; i++)
		now[i] = 0.5 * before[i] + 0.5 * after[i];
	EXPECT_NEAR(skh_forecast_extrapolate_shift(before.data(), now.data(), 72, outcome.data()),
		    0.5, 0.1);
	for (size_t i = 0; i < 72; i++) {
		far += std::fabs(now[i] - after[i]);
		near += std::fabs(outcome[i] - after[i]);
	}
	EXPECT_LT(near, far / 2);
}

TEST(Forecast, NoiseIsNotTakenForAShift)
{
	std::vector<double> before = zipf(72, 1.3, 1);
	std::vector<double> outcome(72);

	EXPECT_LT(skh_forecast_extrapolate_shift(before.data(), before.data(), 72, outcome.data()),
		  0.01);
	for (size_t i = 0; i < 72; i++)
		EXPECT_NEAR(outcome[i], before[i], 1e-9);
}

TEST(Fence, NeverComesTwiceUnderOneLease)
{
	skh_fence_t fence = {};
	int64_t first = skh_fence_reserve(&fence, 7, 2);
	int64_t second = skh_fence_reserve(&fence, 7, 2);

	// The change before has both of its own.
	EXPECT_GT(second, first + 1);
	// The lease seemed lost and was not: the numbers go on.
	EXPECT_GT(skh_fence_reserve(&fence, 7, 1), second + 1);
	EXPECT_GT(skh_fence_reserve(&fence, 8, 1), skh_fence_reserve(&fence, 7, 1));
}

TEST(CountPack, KeepsProportions)
{
	std::vector<double> counts = { 0, 1, 7, 80, 900, 100000, 55000, 3 };
	std::vector<uint8_t> packed(skh_count_codec_encoded_size(counts.size()));
	std::vector<double> sums(counts.size(), 0.0);
	uint32_t greatest = skh_count_codec_encode(counts.data(), counts.size(), packed.data());

	EXPECT_EQ(greatest, 100000U);
	skh_count_codec_decode_add(packed.data(), counts.size(), greatest, sums.data());
	EXPECT_EQ(sums[0], 0.0);
	EXPECT_NEAR(sums[5], 100000.0, 1.0);
	EXPECT_NEAR(sums[6] / 55000.0, 1.0, 0.2);
	EXPECT_LT(sums[1], 1000.0); // below the scale: next to nothing
}

TEST(RankRelay, AMapByItsDifferencesIsTheSameMap)
{
	std::vector<uint32_t> first = dealt(2, 4, 3, 8);
	std::vector<uint32_t> second = first;
	skh_map_cache_t known = {};
	skh_engine_order_t order = {};
	skh_engine_order_t read = {};
	skh_buffer_t bytes = SKH_BUFFER_INIT;
	char *engine = nullptr;
	const skh_versioned_map_t base = { 5, first.size(), first.data() };

	order.op = SKH_ENGINE_PREPARE;
	order.n_sets = 2;
	order.n_ranks = 4;
	order.n_slots = 3;
	order.map_version = 5;
	order.map = first.data();
	skh_rankrelay_pack(&order, nullptr, nullptr, &bytes);
	ASSERT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&bytes), &known, &read, &engine), 200);
	EXPECT_EQ(engine, nullptr);
	second[2] = 7;
	second[20] = 1;
	order.map_version = 6;
	order.map = second.data();
	skh_buffer_clear(&bytes);
	skh_rankrelay_pack(&order, &base, "10.0.0.7:80", &bytes);
	ASSERT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&bytes), &known, &read, &engine), 200);
	EXPECT_TRUE(std::equal(second.begin(), second.end(), read.map));
	EXPECT_EQ(read.map_version, 6);
	EXPECT_STREQ(engine, "10.0.0.7:80");
	g_free(engine);

	// A process that knows another map says so rather than guess.
	skh_map_cache_t others = {};

	EXPECT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&bytes), &others, &read, &engine),
		  SKH_RANKRELAY_STATUS_NO_BASE);
	g_free(engine);
	ASSERT_NE(skh_map_cache_find(&known, 5), nullptr);
	known.entries[0].map[0] = 3;
	known.entries[1].version = 7;
	EXPECT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&bytes), &known, &read, &engine),
		  SKH_RANKRELAY_STATUS_NO_BASE);
	g_free(engine);
	skh_buffer_free(&bytes);
	skh_map_cache_clear(&known);
	skh_map_cache_clear(&others);
}
