// Many gateways that tell each other their waiting and started requests, in virtual time. Guards
// against totals that miss or count twice, shares that sum to more than the whole, and statements
// that count after their sender has stopped.
#include "backlog.h"
#include "backlog_report.h"
#include "demand_share.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <vector>

namespace
{
constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;
constexpr int64_t kTick = 20 * kMs;
constexpr const char *kService = "chat";

struct BacklogDeleter {
	void operator()(skh_backlog_t *backlog) const
	{
		skh_backlog_free(backlog);
	}
};
using BacklogPtr = std::unique_ptr<skh_backlog_t, BacklogDeleter>;

// Gateways that report to each other in turn, within a budget of bytes.
class Fleet
{
      public:
	explicit Fleet(uint32_t n_gateways, double lost_ratio = 0.0)
	    : is_silent(n_gateways), waiting(n_gateways), arrivals_per_s(n_gateways),
	      credit_bytes(n_gateways), peers(n_gateways), next_peer(n_gateways),
	      lost_ratio(lost_ratio)
	{
		for (uint32_t i = 0; i < n_gateways; i++) {
			backlogs.emplace_back(skh_backlog_new());
			skh_backlog_set_gateways(backlogs[i].get(), n_gateways);
			for (uint32_t peer = 0; peer < n_gateways; peer++)
				if (peer != i)
					peers[i].push_back(peer);
			std::shuffle(peers[i].begin(), peers[i].end(), random);
			credit_bytes[i] = static_cast<double>(random() % 100);
		}
	}

	void run(int64_t duration_us)
	{
		for (int64_t end_us = now_us + duration_us; now_us < end_us; now_us += kTick) {
			for (uint32_t i = 0; i < backlogs.size(); i++)
				tick(i);
		}
	}

	double sum_shares() const
	{
		double sum = 0.0;

		for (const BacklogPtr &backlog : backlogs)
			sum += skh_demand_share(backlog.get(), kService);
		return sum;
	}

	double mean_share(uint32_t first, uint32_t end) const
	{
		double sum = 0.0;

		for (uint32_t i = first; i < end; i++)
			sum += share(i);
		return sum / (end - first);
	}

	double share(uint32_t gateway) const
	{
		return skh_demand_share(backlogs[gateway].get(), kService);
	}

	std::vector<BacklogPtr> backlogs;
	std::vector<bool> is_silent; // neither sends nor receives
	std::vector<uint32_t> waiting;
	std::vector<double> arrivals_per_s;
	int64_t now_us = 100 * kS;

      private:
	static constexpr double kBytesPerS = 1400.0;
	static constexpr double kReportBytes = 100.0;

	void tick(uint32_t gateway)
	{
		const uint32_t counts[SKH_BACKLOG_PRIORITIES] = { 0, waiting[gateway], 0, 0 };
		std::poisson_distribution<int> arrivals(arrivals_per_s[gateway] * 0.02);

		skh_backlog_set_waiting(backlogs[gateway].get(), kService, counts);
		for (int n = arrivals(random); n > 0; n--) {
			skh_backlog_record_arrival(backlogs[gateway].get(), kService, now_us);
			skh_backlog_record_start(backlogs[gateway].get(), kService, now_us);
		}
		skh_backlog_update(backlogs[gateway].get(), now_us);
		credit_bytes[gateway] += kBytesPerS * 0.02;
		while (credit_bytes[gateway] >= kReportBytes && backlogs.size() > 1)
			report(gateway);
	}

	void report(uint32_t gateway)
	{
		skh_backlog_statement_t statement;
		uint32_t n_peers = static_cast<uint32_t>(backlogs.size()) - 1;
		uint32_t peer;

		credit_bytes[gateway] -= kReportBytes;
		skh_backlog_make_statement(backlogs[gateway].get(), &statement, now_us);
		statement.round_us = static_cast<int64_t>(n_peers * kReportBytes / kBytesPerS * kS);
		peer = peers[gateway][next_peer[gateway]++ % n_peers];
		if (is_silent[gateway] || is_silent[peer] ||
		    std::uniform_real_distribution<double>()(random) < lost_ratio)
			return;
		skh_backlog_merge(backlogs[peer].get(), gateway + 1, &statement, now_us);
	}

	std::vector<double> credit_bytes;
	std::vector<std::vector<uint32_t>> peers; // in a random order
	std::vector<size_t> next_peer;
	double lost_ratio;
	std::mt19937 random{ 7 };
};

// Relative errors of what the gateways take for the requests waiting elsewhere.
struct Errors {
	double mean;
	double worst;
};

Errors measure_errors(const Fleet &fleet)
{
	Errors errors = { 0.0, 0.0 };
	double total = 0.0;

	for (uint32_t n : fleet.waiting)
		total += n;
	for (uint32_t i = 0; i < fleet.backlogs.size(); i++) {
		double others = total - fleet.waiting[i];
		double error =
			std::abs(skh_backlog_waiting_ahead(fleet.backlogs[i].get(), kService, 1) -
				 others) /
			others;

		errors.mean += error / static_cast<double>(fleet.backlogs.size());
		errors.worst = std::max(errors.worst, error);
	}
	return errors;
}
} // namespace

TEST(Backlog, CountsWaitingRequestsOfOthersByPriority)
{
	BacklogPtr backlog(skh_backlog_new());
	const uint32_t own[SKH_BACKLOG_PRIORITIES] = { 7, 7, 7, 7 };
	skh_backlog_statement_t statement = {};

	skh_backlog_set_gateways(backlog.get(), 2);
	skh_backlog_set_waiting(backlog.get(), kService, own);
	statement.n_services = 1;
	statement.services[0] = skh_backlog_hash(kService);
	statement.own[0] = { { 1, 2, 4, 8 }, 30.0, 40.0, 1.0 };
	skh_backlog_merge(backlog.get(), 9, &statement, kS);
	skh_backlog_update(backlog.get(), kS);
	EXPECT_EQ(skh_backlog_waiting_ahead(backlog.get(), kService, 0), 1);
	EXPECT_EQ(skh_backlog_waiting_ahead(backlog.get(), kService, 1), 3);
	EXPECT_EQ(skh_backlog_waiting_ahead(backlog.get(), kService, 9), 15);
	EXPECT_EQ(skh_backlog_waiting_ahead(backlog.get(), "other", 9), 0);
	EXPECT_EQ(skh_backlog_start_rate(backlog.get(), kService), 30);
	skh_backlog_update(backlog.get(), kS + SKH_BACKLOG_EXPIRY_US + 1);
	EXPECT_EQ(skh_backlog_waiting_ahead(backlog.get(), kService, 9), 0);
	EXPECT_FALSE(skh_backlog_has_reports(backlog.get()));
	EXPECT_EQ(skh_demand_share(backlog.get(), kService), 0.5);
}

TEST(Backlog, CountsStartsOfTheLastSecond)
{
	BacklogPtr backlog(skh_backlog_new());

	for (int i = 0; i < 200; i++)
		skh_backlog_record_start(backlog.get(), kService, 10 * kS + i * 10 * kMs);
	skh_backlog_update(backlog.get(), 12 * kS);
	EXPECT_EQ(skh_backlog_start_rate(backlog.get(), kService), 100);
	skh_backlog_update(backlog.get(), 14 * kS);
	EXPECT_EQ(skh_backlog_start_rate(backlog.get(), kService), 0);
	EXPECT_EQ(skh_demand_share(backlog.get(), kService), 1.0);
}

// A full exchange is exact; a sampled one has a bounded error.
TEST(Backlog, TotalsReachAllGateways)
{
	for (uint32_t n_gateways : { 2U, 5U, 15U, 22U, 52U, 400U }) {
		Fleet fleet(n_gateways);
		Errors errors;

		for (uint32_t i = 0; i < n_gateways; i++)
			fleet.waiting[i] = i < n_gateways / 3 ? 16 : 1;
		fleet.run(8 * kS);
		errors = measure_errors(fleet);
		printf("%u gateways: error of the total: mean %.3f worst %.3f\n", n_gateways,
		       errors.mean, errors.worst);
		EXPECT_LT(errors.mean, n_gateways <= 22 ? 0.001 : 0.12) << n_gateways;
		EXPECT_LT(errors.worst, n_gateways <= 22 ? 0.001 : 0.4) << n_gateways;
	}
}

TEST(Backlog, SharesSumToTheWholeAndFollowTheDemand)
{
	for (uint32_t n_gateways : { 5U, 15U, 22U, 52U, 400U }) {
		Fleet fleet(n_gateways);

		for (uint32_t i = 0; i < n_gateways; i++)
			fleet.arrivals_per_s[i] = i < n_gateways / 2 ? 30 : 10;
		fleet.run(15 * kS);
		double busy = fleet.mean_share(0, n_gateways / 2) * n_gateways;
		double quiet = fleet.mean_share(n_gateways / 2, n_gateways) * n_gateways;

		printf("%u gateways: sum of shares %.3f, busy %.3f, quiet %.3f\n", n_gateways,
		       fleet.sum_shares(), busy, quiet);
		EXPECT_NEAR(fleet.sum_shares(), 1.0, 0.1) << n_gateways;
		EXPECT_GT(busy, 1.2) << n_gateways;
		EXPECT_LT(quiet, 0.8) << n_gateways;
		EXPECT_GT(quiet, 0.5) << n_gateways;
	}
}

TEST(Backlog, AFrozenGatewayLosesItsShareAndRegainsIt)
{
	for (uint32_t n_gateways : { 5U, 22U }) {
		Fleet fleet(n_gateways);
		double before;

		std::fill(fleet.arrivals_per_s.begin(), fleet.arrivals_per_s.end(), 20);
		fleet.run(8 * kS);
		before = fleet.share(1);
		EXPECT_NEAR(before, 1.0 / n_gateways, 0.4 / n_gateways);
		fleet.is_silent[0] = true;
		fleet.run(6 * kS);
		double sum = fleet.sum_shares() - fleet.share(0);

		EXPECT_NEAR(sum, 1.0 - 0.25 / n_gateways, 0.02);
		// It hears nobody either: then it has the equal share.
		EXPECT_NEAR(fleet.share(0), 1.0 / n_gateways, 0.001);
		fleet.is_silent[0] = false;
		fleet.run(6 * kS);
		EXPECT_NEAR(fleet.sum_shares(), 1.0, 0.05);
	}
}

TEST(Backlog, LostReportsLeaveTheTotalsNearTheTruth)
{
	for (uint32_t n_gateways : { 15U, 52U, 400U }) {
		Fleet fleet(n_gateways, 0.2);

		std::fill(fleet.waiting.begin(), fleet.waiting.end(), 6);
		fleet.run(8 * kS);
		EXPECT_LT(measure_errors(fleet).mean, 0.3) << n_gateways;
	}
}

TEST(DemandShare, ChangesByAQuarterASecondAtMost)
{
	skh_demand_share_t share = {};
	skh_demand_view_t view = { 10.0, 100.0, 9.0, 10, 9 };
	double last;

	skh_demand_share_update(&share, &view, kS);
	EXPECT_NEAR(share.share, 0.1, 1e-9);
	last = share.share;
	view.demand = 60.0;
	view.total_demand = 150.0;
	for (int64_t now = kS; now < 9 * kS; now += 100 * kMs) {
		skh_demand_share_update(&share, &view, now);
		EXPECT_LE(share.share, last * 1.026);
		EXPECT_GE(share.share, last);
		last = share.share;
	}
	EXPECT_GT(last, 0.2);
	view.demand = 0.0;
	view.total_demand = 90.0;
	for (int64_t now = 9 * kS; now < 30 * kS; now += 100 * kMs) {
		skh_demand_share_update(&share, &view, now);
		EXPECT_LE(share.share, last);
		EXPECT_GE(share.share, last - 0.0251 * std::max(last, 0.1));
		EXPECT_GE(share.share, 0.025);
		last = share.share;
	}
	EXPECT_LT(last, 0.04);
}

// Single requests of a service that is hardly used do not move the shares.
TEST(DemandShare, IsEqualWithoutDemandOrReports)
{
	skh_demand_share_t share = {};
	const skh_demand_view_t idle = { 0.0, 0.0, 9.0, 10, 9 };
	const skh_demand_view_t unheard = { 50.0, 50.0, 0.0, 10, 0 };
	const skh_demand_view_t alone = { 0.0, 0.0, 0.0, 1, 0 };

	for (int64_t now = kS; now < 5 * kS; now += 100 * kMs)
		skh_demand_share_update(&share, &idle, now);
	EXPECT_NEAR(share.share, 0.1, 1e-9);
	skh_demand_share_update(&share, &unheard, 5 * kS);
	EXPECT_NEAR(share.share, 0.1, 1e-9);
	skh_demand_share_update(&share, &alone, 5 * kS);
	EXPECT_EQ(share.share, 1.0);
}

// A statement that is received is the one that was sent, within the rounding of the report.
TEST(BacklogReport, KeepsTheStatement)
{
	skh_backlog_statement_t sent = {};
	skh_backlog_statement_t received;
	skh_backlog_report_t arrays;
	Skh__LoadReport message = SKH__LOAD_REPORT__INIT;
	std::vector<uint8_t> packed;

	sent.n_services = 2;
	sent.services[0] = skh_backlog_hash("chat");
	sent.services[1] = skh_backlog_hash("search");
	sent.own[0] = { { 1, 2, 3, 4 }, 20, 30, 1.25 };
	sent.own[1] = { { 0, 0, 0, 300 }, 2, 3, 0.5 };
	sent.has_totals = true;
	sent.totals[0] = { { 100, 200, 300, 400 }, 2000, 3000, 52.0 };
	sent.n_customers = 1;
	sent.customers[0] = skh_backlog_hash("large");
	sent.customers_waiting[0] = 250;
	sent.round_us = 3600 * kMs;
	skh_backlog_report_encode(&sent, &arrays, &message);
	packed.resize(skh__load_report__get_packed_size(&message));
	(void)skh__load_report__pack(&message, packed.data());
	EXPECT_LT(packed.size(), 100);
	Skh__LoadReport *parsed = skh__load_report__unpack(nullptr, packed.size(), packed.data());
	ASSERT_NE(parsed, nullptr);
	ASSERT_TRUE(skh_backlog_report_decode(parsed, &received));
	skh__load_report__free_unpacked(parsed, nullptr);
	EXPECT_EQ(received.n_services, 2);
	EXPECT_EQ(received.round_us, 3600 * kMs);
	EXPECT_TRUE(received.has_totals);
	EXPECT_EQ(received.services[1], sent.services[1]);
	EXPECT_EQ(received.own[1].waiting[3], 300);
	EXPECT_EQ(received.own[0].started_per_s, 20);
	EXPECT_EQ(received.own[0].relative_demand, 1.25);
	EXPECT_EQ(received.totals[0].demand, 3000);
	EXPECT_EQ(received.customers[0], sent.customers[0]);
	EXPECT_EQ(received.customers_waiting[0], 250);
}

TEST(BacklogReport, IgnoresArraysThatDoNotFitTogether)
{
	uint32_t numbers[SKH_BACKLOG_REPORT_NUMBERS * 9] = {};
	skh_backlog_statement_t received;
	Skh__LoadReport message = SKH__LOAD_REPORT__INIT;

	EXPECT_FALSE(skh_backlog_report_decode(&message, &received));
	message.round_ms = 1000;
	EXPECT_TRUE(skh_backlog_report_decode(&message, &received));
	message.n_backlog_services = 1;
	message.backlog_services = numbers;
	message.n_backlog = SKH_BACKLOG_REPORT_NUMBERS - 1;
	message.backlog = numbers;
	EXPECT_FALSE(skh_backlog_report_decode(&message, &received));
	message.n_backlog = SKH_BACKLOG_REPORT_NUMBERS;
	EXPECT_TRUE(skh_backlog_report_decode(&message, &received));
	message.n_backlog_totals = 1;
	message.backlog_totals = numbers;
	EXPECT_FALSE(skh_backlog_report_decode(&message, &received));
	message.n_backlog_totals = 0;
	message.n_customers = 5;
	message.customers = numbers;
	message.n_customers_waiting = 5;
	message.customers_waiting = numbers;
	EXPECT_FALSE(skh_backlog_report_decode(&message, &received));
	message.n_customers = message.n_customers_waiting = 0;
	message.n_backlog_services = 9;
	message.n_backlog = 9 * SKH_BACKLOG_REPORT_NUMBERS;
	EXPECT_FALSE(skh_backlog_report_decode(&message, &received));
}
