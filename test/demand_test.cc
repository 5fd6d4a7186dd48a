// A shift of demand: from one pass to the next all tokens turn to other experts.
#include "clock.h"
#include "count_reporter.h"
#include "demand.h"
#include "zipf.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <vector>

namespace
{

constexpr int64_t kPass = 70 * SKH_US_PER_MS;

// A group as one of the users': many experts that are liked alike, or few that are liked most.
struct Kind {
	uint32_t sets;
	uint32_t experts;
	double skew;
};

constexpr Kind kMany = { 8, 252, 0.66 };
constexpr Kind kFew = { 4, 72, 1.3 };

skh_engine_spec_t shape_of(const Kind &kind)
{
	skh_engine_spec_t shape = {};

	shape.expert_sets = kind.sets;
	shape.experts_per_set = kind.experts;
	return shape;
}

// What tokens choose: 0.7 of it is common, the rest is the prompt's own.
class Tokens
{
      public:
	Tokens(const Kind &kind, uint32_t seed) : kind(kind), random(seed)
	{
		for (uint32_t set = 0; set < kind.sets; set++)
			common.push_back(zipf(kind.experts, kind.skew, seed * 100 + set));
		for (uint32_t i = 0; i < 40; i++)
			topics.push_back(zipf(kind.experts, kind.skew, seed * 1000 + i));
	}

	// Part of the experts change places in what is liked.
	void shift(double part)
	{
		for (uint32_t set = 0; set < kind.sets; set++) {
			std::vector<uint32_t> moved;
			std::vector<double> shares;

			for (uint32_t i = 0; i < kind.experts; i++) {
				if (std::uniform_real_distribution<double>(0, 1)(random) < part)
					moved.push_back(i);
			}
			for (uint32_t i : moved)
				shares.push_back(common[set][i]);
			std::shuffle(shares.begin(), shares.end(), random);
			for (size_t i = 0; i < moved.size(); i++)
				common[set][moved[i]] = shares[i];
		}
	}

	// Adds the choices of @n tokens of one prompt to @counts.
	void choose(double n, std::vector<double> &counts)
	{
		for (uint32_t set = 0; set < kind.sets; set++) {
			const std::vector<double> &own = topics[random() % topics.size()];

			for (uint32_t i = 0; i < kind.experts; i++) {
				double mean = n * (0.9 * common[set][i] + 0.1 * own[i]);

				counts[set * kind.experts + i] +=
					std::poisson_distribution<int>(mean)(random);
			}
		}
	}

	double distance(const double *shares) const
	{
		double sum = 0.0;

		for (uint32_t i = 0; i < kind.experts; i++)
			sum += std::fabs(shares[i] - common[0][i]);
		return sum;
	}

	Kind kind;

      private:
	std::mt19937 random;
	std::vector<std::vector<double>> common;
	std::vector<std::vector<double>> topics;
};

// One rank: streams that choose a little in each pass, and a long prompt now and then.
std::vector<double> pass_of(Tokens &tokens, std::mt19937 &random)
{
	std::vector<double> counts(tokens.kind.sets * tokens.kind.experts);

	for (int stream = 0; stream < 5; stream++)
		tokens.choose(200, counts);
	if (random() % 3 == 0)
		tokens.choose(std::uniform_real_distribution<double>(5e3, 1e5)(random), counts);
	return counts;
}

skh_demand_sample_t sample_of(const std::vector<double> &counts, int64_t from, int64_t to)
{
	skh_demand_sample_t sample = {};

	sample.counts = counts.data();
	sample.epoch = 1;
	sample.from_pass = from;
	sample.to_pass = to;
	return sample;
}

struct Demand {
	skh_demand_t *demand;

	explicit Demand(const Kind &kind)
	{
		skh_engine_spec_t shape = shape_of(kind);

		demand = skh_demand_new(&shape);
	}
	~Demand()
	{
		skh_demand_free(demand);
	}
};

class DemandOf : public testing::TestWithParam<Kind>
{
};

TEST_P(DemandOf, PromptsAreNoShift)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Demand t(GetParam());
		Tokens tokens(GetParam(), seed);
		std::mt19937 random(seed);

		for (int64_t pass = 1; pass <= 100; pass++) {
			std::vector<double> counts = pass_of(tokens, random);
			skh_demand_sample_t sample = sample_of(counts, pass - 1, pass);

			ASSERT_EQ(skh_demand_add_sample(t.demand, &sample, pass * kPass),
				  SKH_DEMAND_UPDATED)
				<< "seed " << seed << " pass " << pass;
		}
		EXPECT_LT(tokens.distance(skh_demand_shares(t.demand)), 0.25);
	}
}

TEST_P(DemandOf, AShiftIsSeenInItsFirstPass)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Demand t(GetParam());
		Tokens tokens(GetParam(), seed);
		std::mt19937 random(seed);

		for (int64_t pass = 1; pass <= 60; pass++) {
			bool shifts = pass % 20 == 0;

			if (shifts)
				tokens.shift(0.6);
			std::vector<double> counts = pass_of(tokens, random);
			skh_demand_sample_t sample = sample_of(counts, pass - 1, pass);

			ASSERT_EQ(skh_demand_add_sample(t.demand, &sample, pass * kPass),
				  shifts ? SKH_DEMAND_SHIFTED : SKH_DEMAND_UPDATED)
				<< "seed " << seed << " pass " << pass;
		}
	}
}

// Samples of other ranks come late, and some began to count before the shift.
TEST_P(DemandOf, WhatWasCountedBeforeAShiftSaysNothingAnyMore)
{
	Demand t(GetParam());
	Tokens tokens(GetParam(), 3);
	std::mt19937 random(3);
	std::vector<double> before;

	for (int64_t pass = 1; pass <= 20; pass++) {
		before = pass_of(tokens, random);
		skh_demand_sample_t sample = sample_of(before, pass - 1, pass);

		(void)skh_demand_add_sample(t.demand, &sample, pass * kPass);
	}
	tokens.shift(0.6);
	std::vector<double> after = pass_of(tokens, random);
	skh_demand_sample_t sample = sample_of(after, 20, 21);

	ASSERT_EQ(skh_demand_add_sample(t.demand, &sample, 21 * kPass), SKH_DEMAND_SHIFTED);
	EXPECT_FALSE(skh_demand_has_enough_counts(t.demand, 21 * kPass));
	sample = sample_of(before, 12, 20);
	EXPECT_EQ(skh_demand_add_sample(t.demand, &sample, 21 * kPass), SKH_DEMAND_IGNORED);
	std::vector<double> mixed = after;

	for (size_t i = 0; i < mixed.size(); i++)
		mixed[i] += before[i];
	sample = sample_of(mixed, 18, 21);
	EXPECT_EQ(skh_demand_add_sample(t.demand, &sample, 21 * kPass), SKH_DEMAND_IGNORED);
	for (int i = 0; i < 30; i++) {
		after = pass_of(tokens, random);
		sample = sample_of(after, 20, 21);
		EXPECT_EQ(skh_demand_add_sample(t.demand, &sample, 21 * kPass), SKH_DEMAND_UPDATED);
	}
	EXPECT_TRUE(skh_demand_has_enough_counts(t.demand, 21 * kPass));
	EXPECT_LT(tokens.distance(skh_demand_shares(t.demand)), 0.25);
}

// A look over several passes: the shift is certain, but not what it counted.
TEST_P(DemandOf, ASampleThatAShiftCutsInTwoIsDropped)
{
	Demand t(GetParam());
	Tokens tokens(GetParam(), 4);
	std::mt19937 random(4);

	for (int64_t pass = 1; pass <= 20; pass++) {
		std::vector<double> counts = pass_of(tokens, random);
		skh_demand_sample_t sample = sample_of(counts, pass - 1, pass);

		(void)skh_demand_add_sample(t.demand, &sample, pass * kPass);
	}
	std::vector<double> counts = pass_of(tokens, random);

	tokens.shift(0.8);
	for (int i = 0; i < 3; i++)
		tokens.choose(1e5, counts);
	skh_demand_sample_t sample = sample_of(counts, 20, 23);

	EXPECT_EQ(skh_demand_add_sample(t.demand, &sample, 23 * kPass),
		  SKH_DEMAND_SHIFTED_MID_SAMPLE);
	EXPECT_FALSE(skh_demand_has_enough_counts(t.demand, 24 * kPass));
	for (int i = 0; i < 30; i++) {
		counts = pass_of(tokens, random);
		sample = sample_of(counts, 23, 24);
		EXPECT_EQ(skh_demand_add_sample(t.demand, &sample, 24 * kPass), SKH_DEMAND_UPDATED);
	}
	EXPECT_LT(tokens.distance(skh_demand_shares(t.demand)), 0.25);
}

INSTANTIATE_TEST_SUITE_P(Kinds, DemandOf, testing::Values(kMany, kFew));

TEST(Demand, AGroupThatFormsAnewCountsPassesFromTheBeginning)
{
	Demand t(kFew);
	Tokens tokens(kFew, 5);
	std::mt19937 random(5);
	std::vector<double> counts = pass_of(tokens, random);
	skh_demand_sample_t sample = sample_of(counts, 700, 701);

	EXPECT_EQ(skh_demand_add_sample(t.demand, &sample, kPass), SKH_DEMAND_UPDATED);
	sample.epoch = 2;
	sample.from_pass = 0;
	sample.to_pass = 1;
	EXPECT_EQ(skh_demand_add_sample(t.demand, &sample, kPass), SKH_DEMAND_UPDATED);
	sample.epoch = 1;
	sample.from_pass = 702;
	EXPECT_EQ(skh_demand_add_sample(t.demand, &sample, kPass), SKH_DEMAND_IGNORED);
}

constexpr int64_t kBytesAS = 1500;
constexpr size_t kReport = 1100;

struct Feed {
	Tokens tokens;
	std::mt19937 random;
	skh_count_reporter_t *feed;
	int64_t now = 0;
	int64_t pass = 0;
	size_t bytes = 0;

	explicit Feed(uint32_t seed) : tokens(kMany, seed), random(seed)
	{
		skh_engine_spec_t shape = shape_of(kMany);

		feed = skh_count_reporter_new(&shape, kBytesAS, seed * 12345);
	}
	~Feed()
	{
		skh_count_reporter_free(feed);
	}

	// One pass; returns whether a report with counts goes out in it.
	bool step()
	{
		std::vector<double> counts = pass_of(tokens, random);
		skh_demand_sample_t sample = sample_of(counts, pass, pass + 1);
		bool due = false;

		pass++;
		now += kPass;
		(void)skh_count_reporter_add_sample(feed, &sample, now);
		due = skh_count_reporter_is_due(feed, now);
		if (due) {
			skh_count_reporter_record_sent(feed, kReport, true, now);
			bytes += kReport;
		}
		return due;
	}
};

TEST(CountFeed, KeepsToItsBudgetAndTellsOfAShiftAtOnce)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Feed t(seed);

		for (int i = 0; i < 30; i++)
			(void)t.step();
		for (int shift = 0; shift < 6; shift++) {
			int passes = 0;

			t.tokens.shift(0.6);
			for (int i = 1; i <= 36; i++) {
				if (t.step() && passes == 0) {
					passes = i;
					EXPECT_EQ(skh_count_reporter_pending_sample(t.feed)
							  ->from_pass,
						  0);
				}
			}
			// At once with a prompt; without one after 0.16 s.
			EXPECT_GE(passes, 1) << "seed " << seed;
			EXPECT_LE(passes, 4) << "seed " << seed;
		}
		EXPECT_LT(t.bytes, 2400 + kBytesAS * t.now / SKH_US_PER_S) << "seed " << seed;
	}
}

TEST(CountFeed, DropsWhatItCountedBeforeAShift)
{
	Feed t(7);

	while (!t.step())
		;
	for (int i = 0; i < 5; i++)
		(void)t.step();
	t.tokens.shift(0.7);
	int64_t shift = t.pass;

	std::vector<double> counts = pass_of(t.tokens, t.random);
	skh_demand_sample_t sample = sample_of(counts, t.pass, t.pass + 1);

	EXPECT_EQ(skh_count_reporter_add_sample(t.feed, &sample, t.now + kPass),
		  SKH_DEMAND_SHIFTED);
	EXPECT_EQ(skh_count_reporter_pending_sample(t.feed)->from_pass, shift);
	EXPECT_EQ(skh_count_reporter_pending_sample(t.feed)->to_pass, shift + 1);
	EXPECT_EQ(skh_count_reporter_pending_sample(t.feed)->counts[3], counts[3]);
}

TEST(CountFeed, HurriesForANewCoordinator)
{
	Feed t(8);

	for (int i = 0; i < 60; i++)
		(void)t.step();
	while (!t.step())
		;
	(void)t.step();
	(void)t.step();
	EXPECT_FALSE(skh_count_reporter_is_due(t.feed, t.now));
	skh_count_reporter_expedite(t.feed, t.now);
	EXPECT_TRUE(skh_count_reporter_is_due(t.feed, t.now + SKH_US_PER_S));
}

} // namespace
