// Demand estimates and count reports when demand shifts: from one pass to the next the tokens of
// all ranks are routed to other experts.
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

constexpr int64_t kPassUs = 70 * SKH_US_PER_MS;

// Typical groups: many experts of similar popularity, or few whose popularity differs widely.
struct GroupProfile {
	uint32_t sets;
	uint32_t experts;
	double zipf_exponent;
};

constexpr GroupProfile kManySimilarExperts = { 8, 252, 0.66 };
constexpr GroupProfile kFewSkewedExperts = { 4, 72, 1.3 };

skh_engine_spec_t make_engine_spec(const GroupProfile &profile)
{
	skh_engine_spec_t engine_spec = {};

	engine_spec.expert_sets = profile.sets;
	engine_spec.experts_per_set = profile.experts;
	return engine_spec;
}

// Distribution of routed tokens: 0.9 is common to all prompts, 0.1 is specific to a prompt.
class TokenSource
{
      public:
	TokenSource(const GroupProfile &profile, uint32_t seed) : profile(profile), random(seed)
	{
		for (uint32_t set = 0; set < profile.sets; set++)
			common_shares.push_back(
				zipf(profile.experts, profile.zipf_exponent, seed * 100 + set));
		for (uint32_t i = 0; i < 40; i++)
			prompt_shares.push_back(
				zipf(profile.experts, profile.zipf_exponent, seed * 1000 + i));
	}

	// Permutes the popularity of a random part of the experts.
	void shift(double part)
	{
		for (uint32_t set = 0; set < profile.sets; set++) {
			std::vector<uint32_t> moved;
			std::vector<double> shares;

			for (uint32_t i = 0; i < profile.experts; i++) {
				if (std::uniform_real_distribution<double>(0, 1)(random) < part)
					moved.push_back(i);
			}
			for (uint32_t i : moved)
				shares.push_back(common_shares[set][i]);
			std::shuffle(shares.begin(), shares.end(), random);
			for (size_t i = 0; i < moved.size(); i++)
				common_shares[set][moved[i]] = shares[i];
		}
	}

	// Adds the choices of @n tokens of one prompt to @counts.
	void add_choices(double n, std::vector<double> &counts)
	{
		for (uint32_t set = 0; set < profile.sets; set++) {
			const std::vector<double> &own_shares =
				prompt_shares[random() % prompt_shares.size()];

			for (uint32_t i = 0; i < profile.experts; i++) {
				double mean =
					n * (0.9 * common_shares[set][i] + 0.1 * own_shares[i]);

				counts[set * profile.experts + i] +=
					std::poisson_distribution<int>(mean)(random);
			}
		}
	}

	// Sum of the absolute differences between @shares and the common shares of the first set.
	double distance(const double *shares) const
	{
		double sum = 0.0;

		for (uint32_t i = 0; i < profile.experts; i++)
			sum += std::fabs(shares[i] - common_shares[0][i]);
		return sum;
	}

	GroupProfile profile;

      private:
	std::mt19937 random;
	std::vector<std::vector<double>> common_shares;
	std::vector<std::vector<double>> prompt_shares;
};

// Counts of one rank in a pass: a few tokens per stream, and a long prompt in a third of passes.
std::vector<double> sample_pass(TokenSource &tokens, std::mt19937 &random)
{
	std::vector<double> counts(tokens.profile.sets * tokens.profile.experts);

	for (int stream = 0; stream < 5; stream++)
		tokens.add_choices(200, counts);
	if (random() % 3 == 0)
		tokens.add_choices(std::uniform_real_distribution<double>(5e3, 1e5)(random),
				   counts);
	return counts;
}

skh_demand_sample_t make_sample(const std::vector<double> &counts, int64_t from, int64_t to)
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

	explicit Demand(const GroupProfile &profile)
	{
		skh_engine_spec_t engine_spec = make_engine_spec(profile);

		demand = skh_demand_new(&engine_spec);
	}
	~Demand()
	{
		skh_demand_free(demand);
	}
};

class DemandByProfile : public testing::TestWithParam<GroupProfile>
{
};

TEST_P(DemandByProfile, PromptsAreNotTakenForAShift)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Demand fixture(GetParam());
		TokenSource tokens(GetParam(), seed);
		std::mt19937 random(seed);

		for (int64_t pass = 1; pass <= 100; pass++) {
			std::vector<double> counts = sample_pass(tokens, random);
			skh_demand_sample_t sample = make_sample(counts, pass - 1, pass);

			ASSERT_EQ(skh_demand_add_sample(fixture.demand, &sample, pass * kPassUs),
				  SKH_DEMAND_UPDATED)
				<< "seed " << seed << " pass " << pass;
		}
		EXPECT_LT(tokens.distance(skh_demand_shares(fixture.demand)), 0.25);
	}
}

TEST_P(DemandByProfile, ShiftIsDetectedInItsFirstPass)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Demand fixture(GetParam());
		TokenSource tokens(GetParam(), seed);
		std::mt19937 random(seed);

		for (int64_t pass = 1; pass <= 60; pass++) {
			bool has_shifted = pass % 20 == 0;

			if (has_shifted)
				tokens.shift(0.6);
			std::vector<double> counts = sample_pass(tokens, random);
			skh_demand_sample_t sample = make_sample(counts, pass - 1, pass);

			ASSERT_EQ(skh_demand_add_sample(fixture.demand, &sample, pass * kPassUs),
				  has_shifted ? SKH_DEMAND_SHIFTED : SKH_DEMAND_UPDATED)
				<< "seed " << seed << " pass " << pass;
		}
	}
}

// Samples of other ranks arrive late, and some include passes from before the shift.
TEST_P(DemandByProfile, SamplesFromBeforeAShiftAreIgnored)
{
	Demand fixture(GetParam());
	TokenSource tokens(GetParam(), 3);
	std::mt19937 random(3);
	std::vector<double> before;

	for (int64_t pass = 1; pass <= 20; pass++) {
		before = sample_pass(tokens, random);
		skh_demand_sample_t sample = make_sample(before, pass - 1, pass);

		(void)skh_demand_add_sample(fixture.demand, &sample, pass * kPassUs);
	}
	tokens.shift(0.6);
	std::vector<double> after = sample_pass(tokens, random);
	skh_demand_sample_t sample = make_sample(after, 20, 21);

	ASSERT_EQ(skh_demand_add_sample(fixture.demand, &sample, 21 * kPassUs), SKH_DEMAND_SHIFTED);
	EXPECT_FALSE(skh_demand_has_enough_counts(fixture.demand, 21 * kPassUs));
	sample = make_sample(before, 12, 20);
	EXPECT_EQ(skh_demand_add_sample(fixture.demand, &sample, 21 * kPassUs), SKH_DEMAND_IGNORED);
	std::vector<double> mixed = after;

	for (size_t i = 0; i < mixed.size(); i++)
		mixed[i] += before[i];
	sample = make_sample(mixed, 18, 21);
	EXPECT_EQ(skh_demand_add_sample(fixture.demand, &sample, 21 * kPassUs), SKH_DEMAND_IGNORED);
	for (int i = 0; i < 30; i++) {
		after = sample_pass(tokens, random);
		sample = make_sample(after, 20, 21);
		EXPECT_EQ(skh_demand_add_sample(fixture.demand, &sample, 21 * kPassUs),
			  SKH_DEMAND_UPDATED);
	}
	EXPECT_TRUE(skh_demand_has_enough_counts(fixture.demand, 21 * kPassUs));
	EXPECT_LT(tokens.distance(skh_demand_shares(fixture.demand)), 0.25);
}

// A shift within a sample of several passes is detected, but it is unknown which of its counts are
// from after the shift.
TEST_P(DemandByProfile, SampleThatSpansAShiftIsDropped)
{
	Demand fixture(GetParam());
	TokenSource tokens(GetParam(), 4);
	std::mt19937 random(4);

	for (int64_t pass = 1; pass <= 20; pass++) {
		std::vector<double> counts = sample_pass(tokens, random);
		skh_demand_sample_t sample = make_sample(counts, pass - 1, pass);

		(void)skh_demand_add_sample(fixture.demand, &sample, pass * kPassUs);
	}
	std::vector<double> counts = sample_pass(tokens, random);

	tokens.shift(0.8);
	for (int i = 0; i < 3; i++)
		tokens.add_choices(1e5, counts);
	skh_demand_sample_t sample = make_sample(counts, 20, 23);

	EXPECT_EQ(skh_demand_add_sample(fixture.demand, &sample, 23 * kPassUs),
		  SKH_DEMAND_SHIFTED_MID_SAMPLE);
	EXPECT_FALSE(skh_demand_has_enough_counts(fixture.demand, 24 * kPassUs));
	for (int i = 0; i < 30; i++) {
		counts = sample_pass(tokens, random);
		sample = make_sample(counts, 23, 24);
		EXPECT_EQ(skh_demand_add_sample(fixture.demand, &sample, 24 * kPassUs),
			  SKH_DEMAND_UPDATED);
	}
	EXPECT_LT(tokens.distance(skh_demand_shares(fixture.demand)), 0.25);
}

INSTANTIATE_TEST_SUITE_P(Profiles, DemandByProfile,
			 testing::Values(kManySimilarExperts, kFewSkewedExperts));

TEST(Demand, NewEpochRestartsPassNumbers)
{
	Demand fixture(kFewSkewedExperts);
	TokenSource tokens(kFewSkewedExperts, 5);
	std::mt19937 random(5);
	std::vector<double> counts = sample_pass(tokens, random);
	skh_demand_sample_t sample = make_sample(counts, 700, 701);

	EXPECT_EQ(skh_demand_add_sample(fixture.demand, &sample, kPassUs), SKH_DEMAND_UPDATED);
	sample.epoch = 2;
	sample.from_pass = 0;
	sample.to_pass = 1;
	EXPECT_EQ(skh_demand_add_sample(fixture.demand, &sample, kPassUs), SKH_DEMAND_UPDATED);
	sample.epoch = 1;
	sample.from_pass = 702;
	EXPECT_EQ(skh_demand_add_sample(fixture.demand, &sample, kPassUs), SKH_DEMAND_IGNORED);
}

constexpr int64_t kBytesPerSecond = 1500;
constexpr size_t kReportBytes = 1100;

struct ReporterFixture {
	TokenSource tokens;
	std::mt19937 random;
	skh_count_reporter_t *reporter;
	int64_t now_us = 0;
	int64_t pass = 0;
	size_t sent_bytes = 0;

	explicit ReporterFixture(uint32_t seed) : tokens(kManySimilarExperts, seed), random(seed)
	{
		skh_engine_spec_t engine_spec = make_engine_spec(kManySimilarExperts);

		reporter = skh_count_reporter_new(&engine_spec, kBytesPerSecond, seed * 12345);
	}
	~ReporterFixture()
	{
		skh_count_reporter_free(reporter);
	}

	// Runs one pass; returns true when a report with counts is sent in it.
	bool step()
	{
		std::vector<double> counts = sample_pass(tokens, random);
		skh_demand_sample_t sample = make_sample(counts, pass, pass + 1);
		bool is_due = false;

		pass++;
		now_us += kPassUs;
		(void)skh_count_reporter_add_sample(reporter, &sample, now_us);
		is_due = skh_count_reporter_is_due(reporter, now_us);
		if (is_due) {
			skh_count_reporter_record_sent(reporter, kReportBytes, true, now_us);
			sent_bytes += kReportBytes;
		}
		return is_due;
	}
};

TEST(CountReporter, KeepsItsBudgetAndReportsAShiftAtOnce)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		ReporterFixture fixture(seed);

		for (int i = 0; i < 30; i++)
			(void)fixture.step();
		for (int shift = 0; shift < 6; shift++) {
			int passes_to_report = 0;

			fixture.tokens.shift(0.6);
			for (int i = 1; i <= 36; i++) {
				if (fixture.step() && passes_to_report == 0) {
					passes_to_report = i;
					EXPECT_EQ(
						skh_count_reporter_pending_sample(fixture.reporter)
							->from_pass,
						0);
				}
			}
			// The report is sent in the first pass with a prompt, or after 0.16 s
			// without one.
			EXPECT_GE(passes_to_report, 1) << "seed " << seed;
			EXPECT_LE(passes_to_report, 4) << "seed " << seed;
		}
		EXPECT_LT(fixture.sent_bytes,
			  2400 + kBytesPerSecond * fixture.now_us / SKH_US_PER_S)
			<< "seed " << seed;
	}
}

TEST(CountReporter, DropsCountsFromBeforeAShift)
{
	ReporterFixture fixture(7);

	while (!fixture.step())
		;
	for (int i = 0; i < 5; i++)
		(void)fixture.step();
	fixture.tokens.shift(0.7);
	int64_t shift_pass = fixture.pass;

	std::vector<double> counts = sample_pass(fixture.tokens, fixture.random);
	skh_demand_sample_t sample = make_sample(counts, fixture.pass, fixture.pass + 1);

	EXPECT_EQ(
		skh_count_reporter_add_sample(fixture.reporter, &sample, fixture.now_us + kPassUs),
		SKH_DEMAND_SHIFTED);
	EXPECT_EQ(skh_count_reporter_pending_sample(fixture.reporter)->from_pass, shift_pass);
	EXPECT_EQ(skh_count_reporter_pending_sample(fixture.reporter)->to_pass, shift_pass + 1);
	EXPECT_EQ(skh_count_reporter_pending_sample(fixture.reporter)->counts[3], counts[3]);
}

TEST(CountReporter, ExpediteMakesReportDue)
{
	ReporterFixture fixture(8);

	for (int i = 0; i < 60; i++)
		(void)fixture.step();
	while (!fixture.step())
		;
	(void)fixture.step();
	(void)fixture.step();
	EXPECT_FALSE(skh_count_reporter_is_due(fixture.reporter, fixture.now_us));
	skh_count_reporter_expedite(fixture.reporter, fixture.now_us);
	EXPECT_TRUE(skh_count_reporter_is_due(fixture.reporter, fixture.now_us + SKH_US_PER_S));
}

} // namespace
