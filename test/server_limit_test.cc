#include "seeds.h"
#include "server_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace
{
constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;

const skh_gateway_list_t kAlone = { nullptr, 0, 1 };

// A gateway alone has the whole limit.
skh_server_limit_t make_limit(double per_s, int64_t now)
{
	skh_server_limit_t limit = {};

	skh_server_limit_name(&limit, per_s, now, true);
	skh_server_limit_update(&limit, 1, 1, &kAlone, now);
	return limit;
}

int count_sent(skh_server_limit_t *limit, int64_t begin, int64_t end)
{
	int sent = 0;

	for (int64_t now = begin; now < end; now += kMs) {
		if (skh_server_limit_free_from_us(limit, now) > now)
			continue;
		skh_server_limit_take(limit, now);
		sent++;
	}
	return sent;
}
} // namespace

TEST(ServerLimit, AServerWithoutALimitTakesAnyNumber)
{
	skh_server_limit_t limit = {};

	EXPECT_EQ(count_sent(&limit, kS, 2 * kS), 1000);
}

TEST(ServerLimit, AGatewayAloneSendsAsManyAsTheServerTakes)
{
	skh_server_limit_t limit = make_limit(2.5, kS);

	EXPECT_NEAR(count_sent(&limit, kS, 41 * kS), 100, 2);
	(void)count_sent(&limit, 41 * kS, 42 * kS);
	skh_server_limit_take(&limit, 42 * kS);
	EXPECT_GT(skh_server_limit_free_from_us(&limit, 42 * kS), 42 * kS);
	EXPECT_LE(skh_server_limit_free_from_us(&limit, 42 * kS), 42 * kS + 800 * kMs + 1);
}

TEST(ServerLimit, TheNewestStatementHoldsAndAnOldOneExpires)
{
	skh_server_limit_t limit = make_limit(2.0, 10 * kS);

	skh_server_limit_name(&limit, 0.0, 9 * kS, false);
	EXPECT_GT(limit.per_s, 0.0);
	skh_server_limit_name(&limit, 0.0, 11 * kS, false);
	EXPECT_EQ(limit.per_s, 0.0);
	skh_server_limit_name(&limit, 3.0, 10 * kS, true);
	EXPECT_EQ(limit.per_s, 0.0);
	skh_server_limit_name(&limit, 3.0, 12 * kS, true);
	EXPECT_EQ(limit.per_s, 3.0);
	skh_server_limit_update(&limit, 1, 1, &kAlone, 12 * kS + SKH_SERVER_LIMIT_EXPIRY_US + 1);
	EXPECT_EQ(limit.per_s, 0.0);
}

TEST(ServerLimit, ALimitOfNothingIsStillProbed)
{
	skh_server_limit_t limit = make_limit(0.001, kS);

	EXPECT_NEAR(count_sent(&limit, kS, 41 * kS), 10, 1);
}

TEST(ServerLimit, OnlySomeOfManyGatewaysShareAServer)
{
	std::vector<uint64_t> gateways(52);
	double sum = 0.0;
	int sharers = 0;

	for (size_t i = 0; i < gateways.size(); i++)
		gateways[i] = 1000 + i;
	for (size_t i = 0; i < gateways.size(); i++) {
		std::vector<uint64_t> others = gateways;
		skh_server_limit_t limit = {};

		others.erase(others.begin() + (long)i);
		skh_server_limit_name(&limit, 2.0, kS, true);
		const skh_gateway_list_t list = { others.data(), others.size(), 1 };

		skh_server_limit_update(&limit, 7, gateways[i], &list, kS);
		sum += limit.part_per_s;
		sharers += limit.part_per_s > 0.0;
	}
	EXPECT_NEAR(sum, 2.0, 0.001);
	EXPECT_EQ(sharers, 7);
}

// --- Replay of a fleet ---

namespace
{
constexpr int64_t kStep = 10 * kMs;
constexpr int64_t kWindow = 4 * kS;
constexpr int64_t kTold = 500 * kMs;
constexpr int64_t kLatency = 200 * kMs;

// Gateways with more requests than one server takes, which names its limit in each response.
class LimitedServer
{
      public:
	LimitedServer(int gateways, double per_s, uint64_t seed)
	    : per_s_(per_s), random_(seed), gateways_(gateways)
	{
		for (size_t i = 0; i < gateways_.size(); i++)
			gateways_[i].hash = random_();
	}
	// Returns the largest number of arrivals in a window beyond what is allowed.
	int run(int64_t end, int64_t contact)
	{
		int worst = -1000;

		for (; now_ < end; now_ += kStep) {
			disturb();
			for (auto &gateway : gateways_) {
				send(gateway);
				tell(gateway);
			}
			while (!arrivals_.empty() && arrivals_.front() < now_ - kWindow)
				arrivals_.pop_front();
			if (now_ > contact)
				worst = std::max(worst, (int)((double)arrivals_.size() -
							      1.5 * per_s_ * 4 - 5));
		}
		return worst;
	}
	int served() const
	{
		return served_;
	}

      private:
	struct Gateway {
		uint64_t hash = 0;
		skh_server_limit_t limit = {};
		int64_t told = INT64_MAX;     // first response that named the limit
		int64_t response = INT64_MAX; // next response
		int64_t frozen_until = 0;
		int64_t excused_until = 0;
		std::vector<uint64_t> others;
	};

	int64_t between(int64_t least, int64_t most)
	{
		return std::uniform_int_distribution<int64_t>(least, most)(random_);
	}
	void read_list(Gateway &gateway)
	{
		gateway.others.clear();
		for (const auto &other : gateways_) {
			if (&other != &gateway)
				gateway.others.push_back(other.hash);
		}
	}
	// A process that has started again reads the list and knows no limit.
	void restart(Gateway &gateway)
	{
		gateway.limit = {};
		gateway.others.clear();
		gateway.told = INT64_MAX;
		gateway.response = INT64_MAX;
		gateway.excused_until = now_ + 3 * kS;
	}
	void disturb()
	{
		const int64_t interval =
			std::max(kStep, 14 * kS / (int64_t)gateways_.size() / kStep * kStep);

		if (now_ == 20 * kS) {
			for (auto &gateway : gateways_)
				restart(gateway);
		}
		if (now_ % interval != 0 || now_ == 0)
			return;
		Gateway &gateway = gateways_[(size_t)between(0, (int64_t)gateways_.size() - 1)];

		if (between(0, 1) == 0) {
			restart(gateway);
		} else {
			gateway.frozen_until = now_ + between(kS, 5 * kS);
			gateway.excused_until = gateway.frozen_until + 3 * kS;
		}
	}
	void send(Gateway &gateway)
	{
		if (now_ < gateway.frozen_until)
			return;
		if (gateway.others.empty())
			read_list(gateway);
		const skh_gateway_list_t list = { gateway.others.data(), gateway.others.size(), 1 };

		if (gateway.limit.named_us != 0)
			skh_server_limit_update(&gateway.limit, 1, gateway.hash, &list, now_);
		if (between(0, 4) > 0 || skh_server_limit_free_from_us(&gateway.limit, now_) > now_)
			return;
		skh_server_limit_take(&gateway.limit, now_);
		served_++;
		gateway.response = std::min(gateway.response, now_ + kLatency);
		if (gateway.told != INT64_MAX && now_ - gateway.told >= kTold &&
		    now_ >= gateway.excused_until)
			arrivals_.push_back(now_);
	}
	void tell(Gateway &gateway)
	{
		if (now_ < gateway.frozen_until || now_ < gateway.response)
			return;
		gateway.response = INT64_MAX;
		gateway.told = std::min(gateway.told, now_);
		skh_server_limit_name(&gateway.limit, per_s_, now_, true);
		for (auto &other : gateways_) {
			if (now_ >= other.frozen_until && between(0, 19) > 0)
				skh_server_limit_name(&other.limit, per_s_, now_, false);
		}
	}

	double per_s_;
	std::mt19937_64 random_;
	std::vector<Gateway> gateways_;
	std::deque<int64_t> arrivals_;
	int64_t now_ = 0;
	int served_ = 0;
};

class ServerLimitFleet : public testing::TestWithParam<int>
{
};
} // namespace

TEST_P(ServerLimitFleet, AServerGetsNoMoreThanItsLimitFromAllGateways)
{
	for (double per_s : { 0.4, 2.0, 9.0, 40.0 }) {
		for (uint64_t seed = 1; seed <= get_seed_count(4); seed++) {
			LimitedServer server(GetParam(), per_s, seed);

			EXPECT_LE(server.run(40 * kS, 5 * kS), 0)
				<< GetParam() << " gateways, " << per_s << " a second, seed "
				<< seed;
			EXPECT_GE(server.served(), 0.5 * per_s * 40) << "the limit is used";
		}
	}
}

INSTANTIATE_TEST_SUITE_P(Sizes, ServerLimitFleet, testing::Values(5, 13, 52, 400));
