// Expert balance: plans keep every expert standing, pay for themselves, settle.
#include "rebalance.h"
#include "forecast.h"

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
	std::vector<uint32_t> domain;
	double load_cost = 0.0002;
	uint32_t max_loads = 64;

	skh_rebalance_input_t view() const
	{
		skh_rebalance_input_t view = {};

		view.n_ranks = ranks;
		view.n_slots = slots;
		view.n_experts = experts;
		view.placement = placement.data();
		view.forecast_shares = forecast.data();
		view.speed = speed.data();
		view.failure_domain = domain.data();
		view.skew_weight = 0.8;
		view.cost_weight = 0.2;
		view.copy_cost = load_cost;
		view.max_copies = max_loads;
		return view;
	}

	uint32_t &cell(uint32_t rank, uint32_t slot)
	{
		return placement[rank * slots + slot];
	}
};

// Experts dealt round the ranks: no rank holds one twice while slots <= experts.
Group dealt(uint32_t ranks, uint32_t slots, uint32_t experts)
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
		group.domain.push_back(rank % 2);
	return group;
}

// The naive version of the load model, straight from its definition.
std::vector<double> naive_loads(const Group &group)
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

double naive_mean(const Group &group)
{
	return std::accumulate(group.forecast.begin(), group.forecast.end(), 0.0) /
	       std::accumulate(group.speed.begin(), group.speed.end(), 0.0);
}

double naive_skew(const Group &group)
{
	const std::vector<double> loads = naive_loads(group);

	return *std::max_element(loads.begin(), loads.end()) / naive_mean(group);
}

double naive_norm(const Group &group)
{
	double sum = 0.0;

	for (double load : naive_loads(group))
		sum += std::pow(load / naive_mean(group), 16.0);
	return sum;
}

std::set<uint32_t> standing(const Group &group)
{
	std::set<uint32_t> experts;

	for (uint32_t i = 0; i < group.placement.size(); i++) {
		if (group.speed[i / group.slots] > 0.0)
			experts.insert(group.placement[i]);
	}
	return experts;
}

bool holds_twice(const Group &group)
{
	for (uint32_t rank = 0; rank < group.ranks; rank++) {
		const auto first = group.placement.begin() + rank * group.slots;

		if (std::set<uint32_t>(first, first + group.slots).size() < group.slots)
			return true;
	}
	return false;
}

// Runs the plan stage by stage; false when an expert that stood is missing meanwhile.
bool run_plan(Group &group, const skh_rebalance_plan_t &plan)
{
	for (uint32_t stage = 0; stage < plan.n_stages; stage++) {
		Group during = group;
		std::set<uint32_t> before = standing(group);

		for (uint32_t i = 0; i < plan.n_copies; i++) {
			if (plan.copies[i].stage == stage)
				during.cell(plan.copies[i].rank, plan.copies[i].slot) = UINT32_MAX;
		}
		std::set<uint32_t> meanwhile = standing(during);
		meanwhile.erase(UINT32_MAX);
		if (meanwhile != before)
			return false;
		for (uint32_t i = 0; i < plan.n_copies; i++) {
			const skh_expert_copy_t &move = plan.copies[i];

			if (move.stage == stage)
				group.cell(move.rank, move.slot) = move.expert;
		}
	}
	return true;
}

Group any_group()
{
	const uint32_t ranks = *rc::gen::inRange<uint32_t>(2, 9);
	const uint32_t slots = *rc::gen::inRange<uint32_t>(2, 5);
	const uint32_t experts = *rc::gen::inRange<uint32_t>(slots, ranks * slots);
	Group group = dealt(ranks, slots, experts);

	for (double &share : group.forecast)
		share = *rc::gen::inRange(1, 1000);
	for (double &speed : group.speed)
		speed = *rc::gen::element(1.0, 1.0, 1.0, 0.8);
	return group;
}

RC_GTEST_PROP(Balance, EveryStageKeepsEveryExpertStanding, ())
{
	Group group = any_group();
	const Group before = group;
	skh_rebalance_plan_t plan;
	const skh_rebalance_input_t view = group.view();

	RC_ASSERT(skh_rebalance_compute_plan(&view, &plan));
	RC_ASSERT(std::fabs(plan.skew_before - naive_skew(group)) < 1e-9);
	RC_ASSERT(run_plan(group, plan));
	RC_ASSERT(std::fabs(plan.skew_after - naive_skew(group)) < 1e-9);
	RC_ASSERT(!holds_twice(group));
	RC_ASSERT(standing(group).size() == group.experts);
	RC_ASSERT(naive_norm(group) <= naive_norm(before) * (1.0 + 1e-9));
}

// Found by the property above: an expert leaves a slot of a rank, comes to another of the
// same rank and leaves that one, too.
TEST(Balance, ASlotThatIsLoadedTwiceKeepsTheLaterExpert)
{
	Group group = dealt(4, 3, 8);
	skh_rebalance_plan_t plan;

	group.forecast = { 221, 492, 569, 373, 454, 80, 398, 358 };
	group.speed = { 1.0, 1.0, 0.8, 0.8 };
	const skh_rebalance_input_t view = group.view();

	ASSERT_TRUE(skh_rebalance_compute_plan(&view, &plan));
	ASSERT_TRUE(run_plan(group, plan));
	EXPECT_NEAR(plan.skew_after, naive_skew(group), 1e-9);
}

RC_GTEST_PROP(Balance, ASettledPlacementIsLeftAlone, ())
{
	Group group = any_group();
	skh_rebalance_plan_t plan;
	skh_rebalance_plan_t again;
	skh_rebalance_input_t view = group.view();

	RC_ASSERT(skh_rebalance_compute_plan(&view, &plan));
	RC_PRE(plan.n_copies + 8 < group.max_loads);
	RC_ASSERT(run_plan(group, plan));
	view = group.view();
	RC_ASSERT(skh_rebalance_compute_plan(&view, &again));
	RC_ASSERT(again.n_copies == 0u);
}

RC_GTEST_PROP(Balance, ALostRanksExpertsComeBackOrItSaysSo, ())
{
	Group group = any_group();
	const uint32_t lost = *rc::gen::inRange<uint32_t>(0, group.ranks);
	const bool has_room = (group.ranks - 1) * group.slots >= group.experts;
	skh_rebalance_plan_t plan;

	group.speed[lost] = 0.0;
	const skh_rebalance_input_t view = group.view();
	const bool complete = skh_rebalance_compute_plan(&view, &plan);
	RC_ASSERT(complete == has_room);
	RC_ASSERT(run_plan(group, plan));
	if (complete)
		RC_ASSERT(standing(group).size() == group.experts);
	for (uint32_t i = 0; i < plan.n_copies; i++)
		RC_ASSERT(plan.copies[i].rank != lost);
}

TEST(Balance, WhatCostsMoreThanItBringsIsNotDone)
{
	Group group = dealt(4, 3, 10);
	skh_rebalance_plan_t plan;

	group.forecast[0] = 3.0;
	group.load_cost = 1e6;
	const skh_rebalance_input_t view = group.view();
	ASSERT_TRUE(skh_rebalance_compute_plan(&view, &plan));
	EXPECT_EQ(0u, plan.n_copies);
}

TEST(Balance, TheWeightStoresRateIsKept)
{
	Group group = dealt(8, 4, 28);
	skh_rebalance_plan_t plan;

	for (uint32_t i = 0; i < group.experts; i++)
		group.forecast[i] = 1.0 + (i * 37 % 11);
	group.max_loads = 3;
	const skh_rebalance_input_t view = group.view();
	ASSERT_TRUE(skh_rebalance_compute_plan(&view, &plan));
	EXPECT_GT(plan.n_copies, 0u);
	EXPECT_LE(plan.n_copies, 3u);
}

TEST(Forecast, FollowsADriftAndBridgesGaps)
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

TEST(Forecast, IsNotReadyUntilEveryExpertWasReported)
{
	skh_forecast_t *forecast = skh_forecast_new(2);
	const double half[2] = { 10.0, SKH_FORECAST_UNKNOWN_COUNT };
	const double whole[2] = { 10.0, 30.0 };

	skh_forecast_observe(forecast, half);
	EXPECT_FALSE(skh_forecast_is_ready(forecast));
	skh_forecast_observe(forecast, whole);
	EXPECT_TRUE(skh_forecast_is_ready(forecast));
	skh_forecast_free(forecast);
}

} // namespace
