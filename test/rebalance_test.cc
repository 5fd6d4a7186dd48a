// Rebalance plans keep every expert available, are worth their cost and converge.
#include "forecast.h"
#include "rebalance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <vector>

namespace
{

struct Group {
	uint32_t ranks = 0;
	uint32_t slots = 0;
	uint32_t experts = 0;
	std::vector<uint32_t> placement;
	std::vector<double> forecast;
	std::vector<double> speed;
	std::vector<uint32_t> failure_domain;
	double copy_cost = 0.0002;
	uint32_t max_copies = 64;

	skh_rebalance_input_t input() const
	{
		skh_rebalance_input_t input = {};

		input.n_ranks = ranks;
		input.slots_per_rank = slots;
		input.n_experts = experts;
		input.placement = placement.data();
		input.forecast_shares = forecast.data();
		input.speed = speed.data();
		input.failure_domain = failure_domain.data();
		input.skew_weight = 0.8;
		input.cost_weight = 0.2;
		input.copy_cost = copy_cost;
		input.max_copies = max_copies;
		return input;
	}

	uint32_t &expert_at(uint32_t rank, uint32_t slot)
	{
		return placement[rank * slots + slot];
	}
};

// Distributes the experts round-robin; no rank holds one twice while slots <= experts.
Group make_round_robin_group(uint32_t ranks, uint32_t slots, uint32_t experts)
{
	Group group;

	group.ranks = ranks;
	group.slots = slots;
	group.experts = experts;

	for (uint32_t i = 0; i < ranks * slots; i++)
		group.placement.push_back(i % experts);
	group.forecast.assign(experts, 1.0);
	group.speed.assign(ranks, 1.0);
	for (uint32_t rank = 0; rank < ranks; rank++)
		group.failure_domain.push_back(rank % 2);
	return group;
}

// Naive version of the load model, directly from its definition.
std::vector<double> compute_loads_naively(const Group &group)
{
	std::vector<double> loads(group.ranks, 0.0);

	for (uint32_t expert = 0; expert < group.experts; expert++) {
		std::vector<uint32_t> hosts;

		for (uint32_t i = 0; i < group.placement.size(); i++) {
			if (group.placement[i] == expert && group.speed[i / group.slots] > 0.0)
				hosts.push_back(i / group.slots);
		}
		for (uint32_t rank : hosts)
			loads[rank] += group.forecast[expert] / hosts.size() / group.speed[rank];
	}
	return loads;
}

double compute_mean_load_naively(const Group &group)
{
	return std::accumulate(group.forecast.begin(), group.forecast.end(), 0.0) /
	       std::accumulate(group.speed.begin(), group.speed.end(), 0.0);
}

double compute_skew_naively(const Group &group)
{
	const std::vector<double> loads = compute_loads_naively(group);

	return *std::max_element(loads.begin(), loads.end()) / compute_mean_load_naively(group);
}

double compute_norm_naively(const Group &group)
{
	double sum = 0.0;

	for (double load : compute_loads_naively(group))
		sum += std::pow(load / compute_mean_load_naively(group), 16.0);
	return sum;
}

std::set<uint32_t> find_available_experts(const Group &group)
{
	std::set<uint32_t> experts;

	for (uint32_t i = 0; i < group.placement.size(); i++) {
		if (group.speed[i / group.slots] > 0.0)
			experts.insert(group.placement[i]);
	}
	return experts;
}

bool has_duplicate_on_rank(const Group &group)
{
	for (uint32_t rank = 0; rank < group.ranks; rank++) {
		const auto first = group.placement.begin() + rank * group.slots;

		if (std::set<uint32_t>(first, first + group.slots).size() < group.slots)
			return true;
	}
	return false;
}

// Applies the plan stage by stage; returns false when a stage makes an expert unavailable.
bool apply_plan(Group &group, const skh_rebalance_plan_t &plan)
{
	for (uint32_t stage = 0; stage < plan.n_stages; stage++) {
		Group during_stage = group;
		std::set<uint32_t> before = find_available_experts(group);

		for (uint32_t i = 0; i < plan.n_copies; i++) {
			if (plan.copies[i].stage == stage)
				during_stage.expert_at(plan.copies[i].rank, plan.copies[i].slot) =
					UINT32_MAX;
		}
		std::set<uint32_t> available = find_available_experts(during_stage);
		available.erase(UINT32_MAX);
		if (available != before)
			return false;
		for (uint32_t i = 0; i < plan.n_copies; i++) {
			const skh_expert_copy_t &copy = plan.copies[i];

			if (copy.stage == stage)
				group.expert_at(copy.rank, copy.slot) = copy.expert;
		}
	}
	return true;
}

Group generate_group()
{
	const uint32_t ranks = *rc::gen::inRange<uint32_t>(2, 9);
	const uint32_t slots = *rc::gen::inRange<uint32_t>(2, 5);
	const uint32_t experts = *rc::gen::inRange<uint32_t>(slots, ranks * slots);
	Group group = make_round_robin_group(ranks, slots, experts);

	for (double &share : group.forecast)
		share = *rc::gen::inRange(1, 1000);
	for (double &speed : group.speed)
		speed = *rc::gen::element(1.0, 1.0, 1.0, 0.8);
	return group;
}

RC_GTEST_PROP(Rebalance, EveryExpertIsAvailableInEveryStage, ())
{
	Group group = generate_group();
	const Group before = group;
	skh_rebalance_plan_t plan;
	const skh_rebalance_input_t input = group.input();

	RC_ASSERT(skh_rebalance_compute_plan(&input, &plan));
	RC_ASSERT(std::fabs(plan.skew_before - compute_skew_naively(group)) < 1e-9);
	RC_ASSERT(apply_plan(group, plan));
	RC_ASSERT(std::fabs(plan.skew_after - compute_skew_naively(group)) < 1e-9);
	RC_ASSERT(!has_duplicate_on_rank(group));
	RC_ASSERT(find_available_experts(group).size() == group.experts);
	RC_ASSERT(compute_norm_naively(group) <= compute_norm_naively(before) * (1.0 + 1e-9));
}

// An expert is overwritten in one slot of a rank, copied to another slot of the same rank and
// overwritten there, too. Found by the property EveryExpertIsAvailableInEveryStage.
TEST(Rebalance, SlotOverwrittenTwiceKeepsLaterExpert)
{
	Group group = make_round_robin_group(4, 3, 8);
	skh_rebalance_plan_t plan;

	group.forecast = { 221, 492, 569, 373, 454, 80, 398, 358 };
	group.speed = { 1.0, 1.0, 0.8, 0.8 };
	const skh_rebalance_input_t input = group.input();

	ASSERT_TRUE(skh_rebalance_compute_plan(&input, &plan));
	ASSERT_TRUE(apply_plan(group, plan));
	EXPECT_NEAR(plan.skew_after, compute_skew_naively(group), 1e-9);
}

RC_GTEST_PROP(Rebalance, BalancedPlacementIsNotChanged, ())
{
	Group group = generate_group();
	skh_rebalance_plan_t plan;
	skh_rebalance_plan_t second_plan;
	skh_rebalance_input_t input = group.input();

	RC_ASSERT(skh_rebalance_compute_plan(&input, &plan));
	// Leaves out plans that the copy limit may have cut off.
	RC_PRE(plan.n_copies + 8 < group.max_copies);
	RC_ASSERT(apply_plan(group, plan));
	input = group.input();
	RC_ASSERT(skh_rebalance_compute_plan(&input, &second_plan));
	RC_ASSERT(second_plan.n_copies == 0u);
}

RC_GTEST_PROP(Rebalance, ExpertsOfLostRankAreReplacedOrPlanIsIncomplete, ())
{
	Group group = generate_group();
	const uint32_t lost_rank = *rc::gen::inRange<uint32_t>(0, group.ranks);
	const bool has_room = (group.ranks - 1) * group.slots >= group.experts;
	skh_rebalance_plan_t plan;

	group.speed[lost_rank] = 0.0;
	const skh_rebalance_input_t input = group.input();
	const bool is_complete = skh_rebalance_compute_plan(&input, &plan);
	RC_ASSERT(is_complete == has_room);
	RC_ASSERT(apply_plan(group, plan));
	if (is_complete)
		RC_ASSERT(find_available_experts(group).size() == group.experts);
	for (uint32_t i = 0; i < plan.n_copies; i++)
		RC_ASSERT(plan.copies[i].rank != lost_rank);
}

TEST(Rebalance, CopyThatCostsMoreThanItGainsIsNotMade)
{
	Group group = make_round_robin_group(4, 3, 10);
	skh_rebalance_plan_t plan;

	group.forecast[0] = 3.0;
	group.copy_cost = 1e6;
	const skh_rebalance_input_t input = group.input();
	ASSERT_TRUE(skh_rebalance_compute_plan(&input, &plan));
	EXPECT_EQ(0u, plan.n_copies);
}

TEST(Rebalance, CopyLimitIsKept)
{
	Group group = make_round_robin_group(8, 4, 28);
	skh_rebalance_plan_t plan;

	for (uint32_t i = 0; i < group.experts; i++)
		group.forecast[i] = 1.0 + (i * 37 % 11);
	group.max_copies = 3;
	const skh_rebalance_input_t input = group.input();
	ASSERT_TRUE(skh_rebalance_compute_plan(&input, &plan));
	EXPECT_GT(plan.n_copies, 0u);
	EXPECT_LE(plan.n_copies, 3u);
}

TEST(Forecast, FollowsDriftAcrossUnknownCounts)
{
	skh_forecast_t *forecast = skh_forecast_new(2);
	double first = 100.0;

	for (int i = 0; i < 20; i++) {
		const double counts[2] = { i % 5 == 4 ? SKH_FORECAST_UNKNOWN_COUNT : first, 100.0 };

		skh_forecast_observe(forecast, counts);
		first *= 1.05;
	}
	ASSERT_TRUE(skh_forecast_is_ready(forecast));
	const double *shares = skh_forecast_shares(forecast);
	EXPECT_NEAR(first / 100.0, shares[0] / shares[1], 0.1 * first / 100.0);
	EXPECT_NEAR(1.0, shares[0] + shares[1], 1e-12);
	skh_forecast_free(forecast);
}

TEST(Forecast, IsNotReadyUntilEveryExpertIsReported)
{
	skh_forecast_t *forecast = skh_forecast_new(2);
	const double partial_counts[2] = { 10.0, SKH_FORECAST_UNKNOWN_COUNT };
	const double complete_counts[2] = { 10.0, 30.0 };

	skh_forecast_observe(forecast, partial_counts);
	EXPECT_FALSE(skh_forecast_is_ready(forecast));
	skh_forecast_observe(forecast, complete_counts);
	EXPECT_TRUE(skh_forecast_is_ready(forecast));
	skh_forecast_free(forecast);
}

} // namespace
