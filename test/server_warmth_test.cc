// Guards against more requests to a cold server than it takes: by gateways that know of it late, that
// were suspended, have lost the store or have just started, and by the sum of all saved requests.
#include "seeds.h"
#include "server_selection.h"
#include "server_warmth.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <vector>

namespace
{
constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;
const skh_warmth_spec_t kSpec = { 3 * kS, 26.0, 1.5, 5.0 };
const skh_gateway_list_t kAlone = { nullptr, 0, 1, 0 };

skh_server_warmth_t warm(int64_t now)
{
	skh_server_warmth_t warmth = {};

	skh_server_warmth_record_entry(&warmth, 0, 1, 10, now, now);
	return warmth;
}
} // namespace

TEST(ServerWarmth, AServerIsColdAfterTheReturnOfItsDomainUntilALaterEntryOrTheTimeIsOver)
{
	skh_server_warmth_t warmth = warm(10 * kS);

	EXPECT_FALSE(skh_server_warmth_is_cold(&warmth, 10 * kS));
	skh_server_warmth_begin(&warmth, &kSpec, 1, 50, 10 * kS);
	EXPECT_TRUE(skh_server_warmth_is_cold(&warmth, 10 * kS));
	skh_server_warmth_record_entry(&warmth, 0, 1, 49, 10 * kS, 10 * kS + 100 * kMs);
	EXPECT_TRUE(skh_server_warmth_is_cold(&warmth, 10 * kS + 100 * kMs)) << "written before";
	EXPECT_EQ(skh_server_warmth_left_us(&warmth, 11 * kS), 2 * kS);
	skh_server_warmth_t other = warmth;

	skh_server_warmth_record_entry(&warmth, 0, 1, 51, 11 * kS, 11 * kS);
	EXPECT_FALSE(skh_server_warmth_is_cold(&warmth, 11 * kS));
	EXPECT_FALSE(skh_server_warmth_is_cold(&other, 13 * kS));
}

TEST(ServerWarmth, TheNewestStatementHolds)
{
	skh_server_warmth_t warmth = warm(10 * kS);

	skh_server_warmth_record_response(&warmth, 2 * kS, 11 * kS);
	skh_server_warmth_record_entry(&warmth, 0, 1, 11, 11 * kS, 11 * kS + 500 * kMs);
	EXPECT_TRUE(skh_server_warmth_is_cold(&warmth, 12 * kS)) << "maybe written before";
	skh_server_warmth_record_entry(&warmth, 0, 1, 12, 12500 * kMs, 12500 * kMs);
	EXPECT_FALSE(skh_server_warmth_is_cold(&warmth, 12600 * kMs));
	skh_server_warmth_record_entry(&warmth, 900 * kMs, 1, 13, 13 * kS, 13 * kS);
	EXPECT_TRUE(skh_server_warmth_is_cold(&warmth, 13 * kS));
	skh_server_warmth_record_response(&warmth, 0, 13 * kS);
	EXPECT_FALSE(skh_server_warmth_is_cold(&warmth, 13 * kS));
	skh_server_warmth_record_report(&warmth, 900 * kMs, 13 * kS + 100 * kMs);
	EXPECT_FALSE(skh_server_warmth_is_cold(&warmth, 13 * kS + 100 * kMs)) << "under way before";
	skh_server_warmth_record_report(&warmth, 900 * kMs, 16 * kS);
	EXPECT_TRUE(skh_server_warmth_is_cold(&warmth, 16 * kS));
}

TEST(ServerWarmth, AServerNotHeardOfCountsAsCold)
{
	skh_server_warmth_t warmth = warm(10 * kS);

	EXPECT_FALSE(skh_server_warmth_is_cold(&warmth, 13 * kS));
	EXPECT_TRUE(skh_server_warmth_is_cold(&warmth, 15 * kS));
	EXPECT_GT(skh_server_warmth_free_from_us(&warmth, 15 * kS), 15 * kS) << "no part yet";
	// The answer of a poll from before a pause says nothing of the time since.
	skh_server_warmth_record_entry(&warmth, 0, 1, 11, 10 * kS, 15 * kS);
	EXPECT_TRUE(skh_server_warmth_is_cold(&warmth, 15 * kS));
	skh_server_warmth_record_entry(&warmth, 0, 1, 12, 15 * kS, 15 * kS);
	EXPECT_FALSE(skh_server_warmth_is_cold(&warmth, 15 * kS));
}

TEST(ServerWarmth, AServiceThatNamesNothingIsNotBounded)
{
	const skh_warmth_spec_t none = { 0, 0.0, 1.5, 5.0 };
	skh_server_warmth_t warmth = warm(10 * kS);

	EXPECT_FALSE(skh_warmth_spec_is_set(&none));
	skh_server_warmth_record_entry(&warmth, 900 * kMs, 1, 11, 10 * kS, 10 * kS);
	skh_server_warmth_update(&warmth, &none, 1, 1, &kAlone, 10 * kS);
	EXPECT_EQ(warmth.limit.per_s, 0.0);
}

TEST(ServerWarmth, APartRisesOnlyWhenTheListOfGatewaysHasSettled)
{
	const uint64_t others[] = { 11, 12, 13 };
	skh_gateway_list_t four = { others, 3, 1, 0 };
	skh_gateway_list_t one = { others, 0, 2, 20 * kS };
	skh_server_warmth_t warmth = warm(19 * kS);

	skh_server_warmth_begin(&warmth, &kSpec, 1, 50, 19 * kS);
	skh_server_warmth_update(&warmth, &kSpec, 1, 10, &four, 19 * kS);
	EXPECT_NEAR(warmth.limit.part_per_s, 26.0 / 4, 0.01);
	skh_server_warmth_begin(&warmth, &kSpec, 1, 50, 21 * kS);
	skh_server_warmth_update(&warmth, &kSpec, 1, 10, &one, 21 * kS);
	EXPECT_NEAR(warmth.limit.part_per_s, 26.0 / 4, 0.01);
	skh_server_warmth_update(&warmth, &kSpec, 1, 10, &one, 23 * kS);
	EXPECT_NEAR(warmth.limit.part_per_s, 26.0, 0.01);
}

// --- Replay: gateways under a burst in front of servers that come back cold ---

namespace
{
constexpr int64_t kStep = 10 * kMs;
constexpr int64_t kHeartbeat = 1200 * kMs;
constexpr int64_t kEnd = 45 * kS;

struct Entry {
	int64_t written = 0;
	int64_t left = 0;
	int64_t revision = 0;
};

struct Gateway {
	uint64_t hash = 0;
	skh_server_warmth_t warmth = {};
	int64_t started = -1; // lists the server then
	int64_t frozen_until = 0;
	int64_t cut_off_until = 0; // from the store
	int64_t next_poll = 0;
	int64_t answer_at = 0; // of the poll in progress; 0 for none
	int64_t poll_began = 0;
	int64_t read_as_of = 0;
	Entry polled;
	int64_t polled_back = 0; // revision of the return of the domain; 0 while it is out
	int64_t known_back = 1;	 // 0: known to be out
	int64_t response_at = 0;
	int64_t next_report = 0;
};

// One server; the others behave alike.
class ColdServer
{
      public:
	ColdServer(size_t n, uint64_t seed, bool is_bounded)
	    : gateways_(n), random_(seed), is_bounded_(is_bounded)
	{
		for (auto &gateway : gateways_) {
			gateway.hash = random_();
			hashes_.push_back(gateway.hash);
		}
	}
	void run()
	{
		for (now_ = kStep; now_ < kEnd; now_ += kStep) {
			change_domain();
			disturb();
			write_entry();
			for (auto &gateway : gateways_) {
				if (now_ >= gateway.frozen_until)
					step(gateway);
			}
			count_arrivals();
		}
	}
	int worst = 0;	// most arrivals in a second while cold
	int served = 0; // while cold

      private:
	int64_t between(int64_t least, int64_t most)
	{
		return std::uniform_int_distribution<int64_t>(least, most)(random_);
	}
	// The domain is out for 7 s in 11, and its servers are cold when it is back.
	void change_domain()
	{
		const int64_t phase = now_ % (11 * kS);

		if (phase == 3 * kS) {
			back_revision_ = 0;
			revision_++;
		} else if (phase == 10 * kS) {
			back_revision_ = ++revision_;
			cold_until_ = now_ + kSpec.cold_start_us;
		}
	}
	void restart(Gateway &gateway)
	{
		const uint64_t hash = gateway.hash;

		gateway = Gateway();
		gateway.hash = hash;
		gateway.started = now_ + between(100, 600) * kMs;
	}
	void disturb()
	{
		if (now_ == 21500 * kMs) {
			for (auto &gateway : gateways_)
				restart(gateway);
		}
		const int64_t interval =
			std::max(kStep, 14 * kS / (int64_t)gateways_.size() / kStep * kStep);

		if (now_ % interval != 0)
			return;
		Gateway &gateway = gateways_[(size_t)between(0, (int64_t)gateways_.size() - 1)];

		switch (between(0, 3)) {
		case 0:
			restart(gateway);
			break;
		case 1:
			gateway.frozen_until = now_ + between(200, 9000) * kMs;
			break;
		case 2:
			gateway.cut_off_until = now_ + between(1000, 12000) * kMs;
			break;
		default:
			break;
		}
	}
	void write_entry()
	{
		if (now_ - entry_.written >= kHeartbeat)
			entry_ = { now_, std::max(cold_until_ - now_, (int64_t)0), ++revision_ };
	}
	void poll(Gateway &gateway)
	{
		if (gateway.answer_at != 0 && now_ >= gateway.answer_at) {
			gateway.answer_at = 0;
			apply(gateway);
		}
		if (gateway.answer_at != 0 || now_ < gateway.next_poll)
			return;
		gateway.next_poll = now_ + 600 * kMs;
		if (now_ < gateway.cut_off_until)
			return;
		gateway.poll_began = now_;
		gateway.answer_at = now_ + between(4, 90) * kMs;
		gateway.polled = entry_;
		gateway.polled_back = back_revision_;
	}
	void apply(Gateway &gateway)
	{
		gateway.read_as_of = gateway.poll_began;
		if (gateway.started >= 0 && now_ >= gateway.started) {
			gateway.started = -1;
			skh_server_warmth_record_entry(&gateway.warmth, gateway.polled.left, 1,
						       gateway.polled.revision, now_, now_);
			skh_server_warmth_begin(&gateway.warmth, &kSpec, 1, gateway.polled.revision,
						now_);
		} else {
			skh_server_warmth_record_entry(&gateway.warmth, gateway.polled.left, 1,
						       gateway.polled.revision, gateway.poll_began,
						       now_);
		}
		if (gateway.polled_back > 1 && gateway.known_back == 0)
			skh_server_warmth_begin(&gateway.warmth, &kSpec, 1, gateway.polled_back,
						now_);
		gateway.known_back = gateway.polled_back;
	}
	void update(Gateway &gateway)
	{
		const size_t own = (size_t)(&gateway - gateways_.data());

		// The list does not change, and the hashes are read only once.
		std::swap(hashes_[own], hashes_.back());
		const skh_gateway_list_t list = { hashes_.data(), hashes_.size() - 1, 1, 0 };

		skh_server_warmth_update(&gateway.warmth, &kSpec, 1, gateway.hash, &list, now_);
		std::swap(hashes_[own], hashes_.back());
	}
	void hear(Gateway &gateway)
	{
		if (gateway.response_at != 0 && now_ >= gateway.response_at) {
			gateway.response_at = 0;
			skh_server_warmth_record_response(
				&gateway.warmth, std::max(cold_until_ - now_, (int64_t)0), now_);
		}
		const int64_t left = skh_server_warmth_left_us(&gateway.warmth, now_);

		if (!gateway.warmth.is_own || left == 0 || now_ < gateway.next_report)
			return;
		gateway.next_report = now_ + kS;
		for (auto &other : gateways_) {
			if (&other != &gateway && now_ >= other.frozen_until && between(0, 4) > 0)
				skh_server_warmth_record_report(&other.warmth, left, now_);
		}
	}
	// Each gateway has more requests than the server takes.
	void step(Gateway &gateway)
	{
		send(gateway);
		poll(gateway);
		if (gateway.started >= 0)
			return;
		update(gateway);
		hear(gateway);
		send(gateway);
	}
	void send(Gateway &gateway)
	{
		const bool has_request = between(0, 9) < 3;

		// A gateway without the store does not know whether the domain is out, see
		// domain_status.h.
		if (now_ - gateway.read_as_of > 4 * kS)
			return;
		if (gateway.started >= 0 || gateway.known_back == 0 || !has_request ||
		    (is_bounded_ && skh_server_warmth_free_from_us(&gateway.warmth, now_) > now_))
			return;
		skh_server_warmth_take(&gateway.warmth, now_);
		arrivals_.insert(now_ + between(1, 60) * kMs);
		if (gateway.response_at == 0)
			gateway.response_at = now_ + 100 * kMs;
	}
	void count_arrivals()
	{
		while (!arrivals_.empty() && *arrivals_.begin() <= now_) {
			if (now_ <= cold_until_) {
				window_.push_back(now_);
				served++;
			}
			arrivals_.erase(arrivals_.begin());
		}
		while (!window_.empty() && window_.front() <= now_ - kS)
			window_.pop_front();
		worst = std::max(worst, (int)window_.size());
	}

	std::vector<Gateway> gateways_;
	std::vector<uint64_t> hashes_;
	std::mt19937_64 random_;
	bool is_bounded_;
	Entry entry_;
	std::multiset<int64_t> arrivals_;
	std::deque<int64_t> window_;
	int64_t now_ = 0;
	int64_t revision_ = 10;
	int64_t back_revision_ = 1;
	int64_t cold_until_ = 0;
};

class ColdServerFleet : public testing::TestWithParam<size_t>
{
};
} // namespace

TEST_P(ColdServerFleet, AColdServerGetsNoMoreThanItsBoundInAnySecond)
{
	const int bound = (int)(kSpec.per_s * kSpec.overage + kSpec.slack);

	for (uint64_t seed = 1; seed <= get_seed_count(GetParam() > 100 ? 2 : 6); seed++) {
		ColdServer server(GetParam(), seed, true);

		server.run();
		EXPECT_LE(server.worst, bound) << GetParam() << " gateways, seed " << seed;
		EXPECT_GE(server.served, 0.4 * kSpec.per_s * 12) << "the rate is used";
	}
	ColdServer before(GetParam(), 1, false);

	before.run();
	EXPECT_GT(before.worst, bound) << "the replay has cases that matter";
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdServerFleet, testing::Values(5, 15, 52, 400));

// --- Replay: a domain of 24 servers comes back cold at once beside 48 warm ones, under a burst ---

namespace
{
constexpr size_t kServers = 72;
constexpr size_t kCold = 24;
constexpr uint32_t kSlots = 8;
constexpr double kResponseMs = 60.0;
constexpr int64_t kLate = 200 * kMs;
// A request takes so many times as long at a server that has just become cold.
constexpr double kColdFactor = 6.0;

// Returns the ratio of late responses during the cold time.
double place_burst(double penalty_requests, uint64_t seed)
{
	std::mt19937_64 random(seed);
	std::vector<std::multiset<int64_t>> ends(kServers);
	std::exponential_distribution<double> gap(5000.0); // requests a second
	std::uniform_real_distribution<double> work(0.5, 1.5);
	double now_s = 0.0;
	int requests = 0;
	int late = 0;

	while ((now_s += gap(random)) < 3.0) {
		const int64_t now = (int64_t)(now_s * 1e6);
		const double left = 1.0 - now_s / 3.0;
		std::vector<skh_candidate_t> candidates(kServers);

		for (size_t i = 0; i < kServers; i++) {
			while (!ends[i].empty() && *ends[i].begin() <= now)
				ends[i].erase(ends[i].begin());
			candidates[i].slots = kSlots;
			candidates[i].running = (uint32_t)ends[i].size();
			candidates[i].mean_latency_ms = kResponseMs;
			candidates[i].slowdown = 1.0;
			candidates[i].warmup_requests = i < kCold ? penalty_requests * left : 0.0;
		}
		skh_selection_input_t view = {};

		view.candidates = candidates.data();
		view.n_candidates = kServers;
		view.random = random() >> 1;
		view.now_us = now;
		const int32_t selected = skh_select_server(&view);

		requests++;
		if (selected < 0) {
			late++;
			continue;
		}
		const double factor =
			(size_t)selected < kCold ? 1.0 + (kColdFactor - 1.0) * left : 1.0;
		const auto duration = (int64_t)(work(random) * factor * kResponseMs * 1e3);

		late += duration > kLate;
		ends[(size_t)selected].insert(now + duration);
	}
	return (double)late / requests;
}
} // namespace

// Guards against late responses because cold servers are loaded like warm ones.
TEST(ServerWarmth, FewerResponsesAreLateIfColdServersAreLoadedLess)
{
	double before = 0.0;
	double after = 0.0;

	for (uint64_t seed = 1; seed <= 4; seed++) {
		before += place_burst(0.0, seed) / 4;
		after += place_burst(4.0, seed) / 4;
	}
	EXPECT_LT(after, 0.8 * before);
}
