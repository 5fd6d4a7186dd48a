// Greedy rebalancing and map planning: after a shift of demand the skew falls within the limits of
// the ranks and every expert keeps a slot. Also shift forecasts, fences, and the encodings of
// counts and orders.
#include "count_codec.h"
#include "fence.h"
#include "forecast.h"
#include "greedy_rebalance.h"
#include "mapplan.h"
#include "rankrelay.h"
#include "zipf.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <vector>

namespace
{

// Distributes the experts round-robin, as in the engines' first map; the other slots are empty.
std::vector<uint32_t> make_round_robin_map(uint32_t sets, uint32_t ranks, uint32_t slots,
					   uint32_t experts)
{
	std::vector<uint32_t> map(static_cast<size_t>(sets) * ranks * slots);

	for (uint32_t set = 0; set < sets; set++) {
		for (uint32_t expert = 0; expert < experts; expert++)
			map[(static_cast<size_t>(set) * ranks + expert % ranks) * slots +
			    expert / ranks] = expert + 1;
	}
	return map;
}

skh_engine_spec_t make_engine_spec(uint32_t sets, uint32_t experts, uint32_t slots,
				   uint32_t max_new_experts)
{
	skh_engine_spec_t engine_spec = {};

	engine_spec.expert_sets = sets;
	engine_spec.experts_per_set = experts;
	engine_spec.slots_per_rank = slots;
	engine_spec.max_new_experts = max_new_experts;
	return engine_spec;
}

} // namespace

double compute_skew(const skh_greedy_rebalance_input_t &input, std::vector<uint32_t> map)
{
	std::vector<uint32_t> no_copies(input.n_ranks);
	skh_greedy_rebalance_t *rebalance =
		skh_greedy_rebalance_new(&input, map.data(), 0, no_copies.data());
	double skew = skh_greedy_rebalance_skew(rebalance);

	skh_greedy_rebalance_free(rebalance);
	return skew;
}

// Runs steps until the skew is at most 1.08 or no step helps; returns their number.
int rebalance_greedily(const skh_greedy_rebalance_input_t &input, std::vector<uint32_t> &map,
		       std::vector<uint32_t> &copies_left)
{
	skh_greedy_rebalance_t *rebalance =
		skh_greedy_rebalance_new(&input, map.data(), copies_left[0], copies_left.data());
	int steps = 0;

	while (skh_greedy_rebalance_skew(rebalance) > 1.08 && skh_greedy_rebalance_step(rebalance))
		steps++;
	skh_greedy_rebalance_free(rebalance);
	return steps;
}

TEST(GreedyRebalance, ExpertWithAFifthOfAllTokensIsReplicated)
{
	std::vector<double> shares = zipf(72, 1.3, 7);
	std::vector<uint32_t> map = make_round_robin_map(1, 12, 8, 72);
	std::vector<uint32_t> copies_left(12, 2);
	skh_greedy_rebalance_input_t input = { 12, 8, 72, shares.data(), nullptr, 0.01 };

	EXPECT_GT(compute_skew(input, map), 3.0);
	EXPECT_GT(rebalance_greedily(input, map, copies_left), 0);
	EXPECT_LT(compute_skew(input, map), 1.25);
}

TEST(GreedyRebalance, KeepsReplicasThatOtherRanksNeed)
{
	// Guards against overwriting a replica that was just made, as happened on 63 ranks.
	std::vector<double> shares = zipf(252, 1.3, 3);
	std::vector<uint32_t> map = make_round_robin_map(1, 63, 5, 252);
	std::vector<uint32_t> copies_left(63, 3);
	skh_greedy_rebalance_input_t input = { 63, 5, 252, shares.data(), nullptr, 0.01 };

	(void)rebalance_greedily(input, map, copies_left);
	EXPECT_LT(compute_skew(input, map), 1.3);
}

// One rank takes five times as long as the others, which wait for it in each pass.
TEST(GreedyRebalance, ExpertsOfASlowRankAreMoved)
{
	const skh_engine_spec_t engine_specs[] = { make_engine_spec(4, 72, 8, 3),
						   make_engine_spec(8, 252, 5, 2) };
	const uint32_t ranks[] = { 12, 63 };

	for (size_t group = 0; group < 2; group++) {
		const skh_engine_spec_t &engine_spec = engine_specs[group];
		std::vector<uint32_t> map = make_round_robin_map(
			engine_spec.expert_sets, ranks[group], engine_spec.slots_per_rank,
			engine_spec.experts_per_set);
		std::vector<double> slowdowns(ranks[group], 1.0);
		std::vector<double> shares;
		skh_mapplan_options_t options = {};
		skh_mapplan_result_t result;

		for (uint32_t set = 0; set < engine_spec.expert_sets; set++) {
			std::vector<double> set_shares =
				zipf(engine_spec.experts_per_set, group == 0 ? 1.3 : 0.66, set);

			shares.insert(shares.end(), set_shares.begin(), set_shares.end());
		}
		options.greedy_only = true;
		options.greedy_target_skew = 1.08;
		options.max_copies_per_rank = 8;
		skh_mapplan_compute(&engine_spec, ranks[group], &options, shares.data(), map.data(),
				    &result);
		EXPECT_LT(result.skew_after, 1.35);
		slowdowns[5] = 5.0;
		options.slowdowns = slowdowns.data();
		options.max_copies_per_rank = 4;
		skh_mapplan_compute(&engine_spec, ranks[group], &options, shares.data(), map.data(),
				    &result);
		EXPECT_GT(result.skew_before, 4.0);
		EXPECT_LT(result.skew_after, 1.5);
		EXPECT_TRUE(skh_mapplan_is_valid(&engine_spec, ranks[group], map.data()));
		// Engines report their experts without gaps.
		for (size_t i = 0; i + 1 < map.size(); i++) {
			if ((i + 1) % engine_spec.slots_per_rank != 0) {
				ASSERT_TRUE(map[i] > 0 || map[i + 1] == 0);
			}
		}
		EXPECT_LE(result.max_copies_per_rank, 4U);
	}
}

TEST(GreedyRebalance, SkewNeverGrowsAndLimitsHoldForAnyShift)
{
	const skh_engine_spec_t engine_spec = make_engine_spec(4, 72, 8, 3);
	std::vector<uint32_t> map = make_round_robin_map(4, 12, 8, 72);
	const skh_mapplan_options_t options[] = { { 1, 1, 0.006, 2, true, 0, nullptr },
						  { 1, 1, 0.006, 4, false, 0, nullptr } };

	for (uint32_t shift = 0; shift < 30; shift++) {
		std::vector<double> shares;

		for (uint32_t set = 0; set < 4; set++) {
			std::vector<double> set_shares = zipf(72, 1.3, shift * 4 + set);

			shares.insert(shares.end(), set_shares.begin(), set_shares.end());
		}
		for (const auto &option : options) {
			std::vector<uint32_t> before = map;
			skh_mapplan_result_t result;

			skh_mapplan_compute(&engine_spec, 12, &option, shares.data(), map.data(),
					    &result);
			ASSERT_TRUE(skh_mapplan_is_valid(&engine_spec, 12, map.data())) << shift;
			EXPECT_LE(result.skew_after, result.skew_before + 1e-9) << shift;
			EXPECT_LE(result.max_copies_per_rank, option.max_copies_per_rank) << shift;
			for (size_t row = 0; row < 4 * 12; row++) {
				int n_new = 0;

				for (size_t i = 0; i < 8; i++) {
					uint32_t expert = map[row * 8 + i];
					auto row_begin =
						before.begin() + static_cast<long>(row) * 8;

					n_new += expert > 0 && std::find(row_begin, row_begin + 8,
									 expert) == row_begin + 8;
				}
				EXPECT_LE(n_new, 3);
			}
		}
		EXPECT_LT(skh_mapplan_skew(&engine_spec, 12, shares.data(), nullptr, map.data()),
			  1.35)
			<< shift;
	}
}

TEST(MapPlan, InvalidMapsAreDetected)
{
	const skh_engine_spec_t engine_spec = make_engine_spec(1, 4, 3, 1);
	std::vector<uint32_t> map = { 1, 2, 0, 3, 4, 0 };

	EXPECT_TRUE(skh_mapplan_is_valid(&engine_spec, 2, map.data()));
	map[1] = 1;
	EXPECT_FALSE(skh_mapplan_is_valid(&engine_spec, 2, map.data())); // twice on a rank
	map[1] = 0;
	EXPECT_FALSE(skh_mapplan_is_valid(&engine_spec, 2, map.data())); // expert 2 is on no rank
	map[1] = 5;
	EXPECT_FALSE(skh_mapplan_is_valid(&engine_spec, 2, map.data())); // no such expert
}

TEST(Forecast, ShiftIsExtrapolatedFromItsBeginning)
{
	std::vector<double> before = zipf(72, 1.3, 1);
	std::vector<double> after = zipf(72, 1.3, 2);
	std::vector<double> current(72);
	std::vector<double> predicted(72);
	double current_distance = 0.0;
	double predicted_distance = 0.0;

	for (size_t i = 0; i < 72; i++)
		current[i] = 0.5 * before[i] + 0.5 * after[i];
	EXPECT_NEAR(
		skh_forecast_extrapolate_shift(before.data(), current.data(), 72, predicted.data()),
		0.5, 0.1);
	for (size_t i = 0; i < 72; i++) {
		current_distance += std::fabs(current[i] - after[i]);
		predicted_distance += std::fabs(predicted[i] - after[i]);
	}
	EXPECT_LT(predicted_distance, current_distance / 2);
}

TEST(Forecast, UnchangedSharesAreNotTakenForAShift)
{
	std::vector<double> before = zipf(72, 1.3, 1);
	std::vector<double> predicted(72);

	EXPECT_LT(
		skh_forecast_extrapolate_shift(before.data(), before.data(), 72, predicted.data()),
		0.01);
	for (size_t i = 0; i < 72; i++)
		EXPECT_NEAR(predicted[i], before[i], 1e-9);
}

TEST(Fence, IsUniqueUnderOneLease)
{
	skh_fence_counter_t fence = {};
	int64_t first = skh_fence_reserve(&fence, 7, 2);
	int64_t second = skh_fence_reserve(&fence, 7, 2);

	// The earlier change owns both of its fences.
	EXPECT_GT(second, first + 1);
	// A lease that only seemed lost continues the sequence.
	EXPECT_GT(skh_fence_reserve(&fence, 7, 1), second + 1);
	EXPECT_GT(skh_fence_reserve(&fence, 8, 1), skh_fence_reserve(&fence, 7, 1));
}

// Each era begins some thousand revisions before the end of the one before.
TEST(Fence, RisesWithTheEraAlthoughRevisionsGoBack)
{
	skh_fence_counter_t fences = {};
	int64_t revision = 7;
	int64_t last = 0;

	for (int64_t era = 0; era < 100; era++) {
		for (int64_t lease = 0; lease < 50; lease++) {
			int64_t fence =
				skh_fence_reserve(&fences, skh_fence_of_lease(era, revision), 2);

			ASSERT_GT(fence, last) << "era " << era << " revision " << revision;
			last = fence + 1;
			revision += 20000;
		}
		revision -= SKH_FENCE_REVISIONS_PER_ERA - 1;
	}
	EXPECT_LT(last, (int64_t)1 << 53);
}

TEST(CountCodec, KeepsProportions)
{
	std::vector<double> counts = { 0, 1, 7, 80, 900, 100000, 55000, 3 };
	std::vector<uint8_t> packed(skh_count_codec_encoded_size(counts.size()));
	std::vector<double> sums(counts.size(), 0.0);
	uint32_t max_count = skh_count_codec_encode(counts.data(), counts.size(), packed.data());

	EXPECT_EQ(max_count, 100000U);
	skh_count_codec_decode_add(packed.data(), counts.size(), max_count, sums.data());
	EXPECT_EQ(sums[0], 0.0);
	EXPECT_NEAR(sums[5], 100000.0, 1.0);
	EXPECT_NEAR(sums[6] / 55000.0, 1.0, 0.2);
	EXPECT_LT(sums[1], 1000.0); // below the resolution of the encoding
}

TEST(RankRelay, MapSentAsDifferencesIsTheSameMap)
{
	std::vector<uint32_t> first = make_round_robin_map(2, 4, 3, 8);
	std::vector<uint32_t> second = first;
	skh_map_cache_t cache = {};
	skh_mapchange_order_t order = {};
	skh_mapchange_order_t unpacked = {};
	skh_buffer_t packed = SKH_BUFFER_INIT;
	char *engine = nullptr;
	const skh_versioned_map_t base = { 5, first.size(), first.data() };

	order.op = SKH_ENGINE_PREPARE;
	order.n_sets = 2;
	order.n_ranks = 4;
	order.n_slots = 3;
	order.map_version = 5;
	order.map = first.data();
	skh_rankrelay_pack(&order, nullptr, 0, "g0", nullptr, &packed);
	ASSERT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&packed), &cache, "g0", &unpacked, &engine),
		  200);
	EXPECT_EQ(engine, nullptr);
	second[2] = 7;
	second[20] = 1;
	order.map_version = 6;
	order.map = second.data();
	skh_buffer_clear(&packed);
	skh_rankrelay_pack(&order, &base, 0, "g0", "10.0.0.7:80", &packed);
	ASSERT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&packed), &cache, "g0", &unpacked, &engine),
		  200);
	EXPECT_TRUE(std::equal(second.begin(), second.end(), unpacked.map));
	EXPECT_EQ(unpacked.map_version, 6);
	EXPECT_STREQ(engine, "10.0.0.7:80");
	g_free(engine);

	// A process without the base map rejects the order, which has only the differences.
	skh_map_cache_t other_cache = {};

	EXPECT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&packed), &other_cache, "g0", &unpacked,
				       &engine),
		  SKH_RANKRELAY_STATUS_NO_BASE);
	g_free(engine);
	ASSERT_NE(skh_map_cache_find(&cache, 5), nullptr);
	// The hash of the order detects a base map with other content. Version 6 is removed from the
	// cache, as an order for a cached version doesn't need the base map.
	cache.entries[0].map[0] = 3;
	cache.entries[1].version = 7;
	EXPECT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&packed), &cache, "g0", &unpacked, &engine),
		  SKH_RANKRELAY_STATUS_NO_BASE);
	g_free(engine);
	skh_buffer_free(&packed);
	skh_map_cache_clear(&cache);
	skh_map_cache_clear(&other_cache);
}

// The relay of a new group has no map yet: differences from the engines' first map need none.
TEST(RankRelay, FirstMapNeedsNoBase)
{
	std::vector<uint32_t> first = make_round_robin_map(16, 129, 3, 258);
	std::vector<uint32_t> next = first;
	skh_map_cache_t cache = {};
	skh_mapchange_order_t order = {};
	skh_mapchange_order_t unpacked = {};
	skh_buffer_t packed = SKH_BUFFER_INIT;
	char *engine = nullptr;
	const skh_versioned_map_t base = { SKH_RANKRELAY_FIRST_MAP, first.size(), first.data() };

	order.op = SKH_ENGINE_PREPARE;
	order.n_sets = 16;
	order.n_ranks = 129;
	order.n_slots = 3;
	order.map_version = 6;
	for (size_t i = 2; i < next.size(); i += 30)
		next[i] = 1 + static_cast<uint32_t>(i % 258);
	order.map = next.data();
	skh_rankrelay_pack(&order, &base, 258, "g0", nullptr, &packed);
	EXPECT_LT(packed.len, 1000U) << "a complete map takes 12 KB";
	ASSERT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&packed), &cache, "g0", &unpacked, &engine),
		  200);
	EXPECT_TRUE(std::equal(next.begin(), next.end(), unpacked.map));
	skh_map_cache_clear(&cache);
	// Engines with another first map: the hash shows it.
	skh_buffer_clear(&packed);
	skh_rankrelay_pack(&order, &base, 257, "g0", nullptr, &packed);
	EXPECT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&packed), &cache, "g0", &unpacked, &engine),
		  SKH_RANKRELAY_STATUS_NO_BASE);
	skh_buffer_clear(&packed);
	skh_rankrelay_pack(&order, &base, 388, "g0", nullptr, &packed);
	EXPECT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&packed), &cache, "g0", &unpacked, &engine),
		  SKH_RANKRELAY_STATUS_NO_BASE);
	// Numbers whose product wraps are out of bounds.
	order.n_sets = 1U << 31;
	order.n_ranks = 2;
	order.n_slots = 0;
	skh_buffer_clear(&packed);
	skh_rankrelay_pack(&order, nullptr, 0, "g0", nullptr, &packed);
	EXPECT_EQ(skh_rankrelay_unpack(skh_buffer_chunk(&packed), &cache, "g0", &unpacked, &engine),
		  400);
	skh_buffer_free(&packed);
	skh_map_cache_clear(&cache);
}
