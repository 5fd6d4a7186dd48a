// A shift of demand: tokens turn to other experts within a pass.
#include "clock.h"
#include "demand.h"
#include "zipf.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <vector>

namespace
{

constexpr uint32_t kSets = 2;
constexpr uint32_t kExperts = 72;
constexpr int64_t kStep = 70 * SKH_US_PER_MS;

// Ranks report @tokens tokens, of which a part is still of before the shift.
void report(skh_demand_t *demand, const std::vector<double> &before,
	    const std::vector<double> &after, double part_before, double tokens)
{
	double *counts = skh_demand_counts(demand);

	for (uint32_t i = 0; i < kSets * kExperts; i++)
		counts[i] += tokens * (part_before * before[i % kExperts] +
				       (1.0 - part_before) * after[i % kExperts]);
}

double distance(const skh_demand_t *demand, const std::vector<double> &shares)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < kExperts; i++)
		sum += std::fabs(skh_demand_shares(demand)[i] - shares[i]);
	return sum;
}

struct Demand {
	skh_demand_t *demand;

	Demand()
	{
		skh_engine_shape_t shape = {};

		shape.sets = kSets;
		shape.experts = kExperts;
		demand = skh_demand_new(&shape);
	}
	~Demand()
	{
		skh_demand_free(demand);
	}
};

TEST(Demand, TooFewTokensSayNothing)
{
	Demand t;
	std::vector<double> shares = zipf(kExperts, 1.3, 1);

	report(t.demand, shares, shares, 1.0, 500.0);
	EXPECT_EQ(skh_demand_observe(t.demand, kStep), SKH_DEMAND_NONE);
	report(t.demand, shares, shares, 1.0, 3000.0);
	EXPECT_NE(skh_demand_observe(t.demand, kStep), SKH_DEMAND_NONE);
	report(t.demand, shares, shares, 1.0, 5000.0);
	EXPECT_EQ(skh_demand_observe(t.demand, kStep + 1), SKH_DEMAND_NONE);
}

// The interval in which the shift is seen is half of before it.
TEST(Demand, AShiftIsFollowedInTwoIntervals)
{
	Demand t;
	std::vector<double> before = zipf(kExperts, 1.3, 1);
	std::vector<double> after = zipf(kExperts, 1.3, 2);
	int64_t now = kStep;

	for (int i = 0; i < 20; i++, now += kStep) {
		report(t.demand, before, before, 1.0, 5000.0);
		skh_demand_news_t news = skh_demand_observe(t.demand, now);

		if (i > 0) {
			EXPECT_EQ(news, SKH_DEMAND_FRESH) << i;
		}
	}
	EXPECT_LT(distance(t.demand, before), 0.02);
	report(t.demand, before, after, 0.5, 5000.0);
	EXPECT_EQ(skh_demand_observe(t.demand, now), SKH_DEMAND_SHIFT);
	EXPECT_NEAR(skh_demand_gone(t.demand), 0.5, 0.1);
	// The counts themselves are half of the way off; what they are stretched to is nearer.
	EXPECT_LT(distance(t.demand, after), 0.5 * distance(t.demand, before));
	now += kStep;
	report(t.demand, before, after, 0.0, 5000.0);
	EXPECT_EQ(skh_demand_observe(t.demand, now), SKH_DEMAND_FRESH);
	EXPECT_LT(distance(t.demand, after), 0.02);
}

// Counts of an interval vary as draws do; what is no shift must not be taken for one.
TEST(Demand, NoiseIsNoShift)
{
	Demand t;
	std::vector<double> shares = zipf(kExperts, 1.3, 1);
	std::mt19937 random(7);
	std::discrete_distribution<uint32_t> draw(shares.begin(), shares.end());

	for (int i = 0; i < 200; i++) {
		double *counts = skh_demand_counts(t.demand);

		for (uint32_t set = 0; set < kSets; set++) {
			for (int token = 0; token < 3000; token++)
				counts[set * kExperts + draw(random)] += 1.0;
		}
		skh_demand_news_t news = skh_demand_observe(t.demand, (i + 1) * kStep);

		if (i > 0) {
			EXPECT_EQ(news, SKH_DEMAND_FRESH) << i;
		}
	}
	EXPECT_LT(distance(t.demand, shares), 0.15);
}

} // namespace
