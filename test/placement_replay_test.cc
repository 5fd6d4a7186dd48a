// Replay of many gateways that place requests on the same servers and know each other's requests
// only by reports that are as old as a request takes. Guards against servers that get more than
// they can take because all gateways choose them by the same old counts.
#include "server_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <vector>

namespace
{

enum Policy {
	kPresent,
	kBefore // that of d21531b
};

struct Fleet {
	uint32_t n_gateways;
	uint32_t n_servers;
	uint32_t slots;
	double requests_per_s;
	double report_interval_s;
	bool uses_shares;
	double mean_duration_s = 1.2;
	Policy policy = kPresent;
	bool states_loads = false; // servers state their load in responses
	double swing = 0.0;	   // of the traffic of each of three failure domains
	double skew = 0.0;	   // standard deviation of the logarithm of the gateways' traffic
	uint32_t slow_every = 0;   // one of so many ranks is slow
	double slowdown = 1.0;
};

struct Outcome {
	double rejected_ratio; // of the arrivals at servers
	double mean_spread;    // standard deviation of the requests per server
	double mean;	       // requests of a server
	double worst;	       // of the server for which its group waits, mean over time
	double crossed_ratio;  // requests served in another failure domain
};

// The selection of d21531b for lock-step groups, to compare with.
int32_t select_before(const skh_selection_input_t &view)
{
	int32_t best = SKH_SELECTION_NONE;
	double best_cost = 0.0;

	for (uint32_t i = 0; i < view.n_candidates; i++) {
		uint32_t position = (view.random + i) % view.n_candidates;
		const skh_candidate_t &candidate = view.candidates[position];
		bool is_in_share =
			view.share.count == 0 ||
			skh_server_share_contains(&view.share, position, view.n_candidates);
		double cost = (candidate.running + 12.0 * candidate.failure_ratio +
			       (is_in_share ? 0.0 : 2.0) + 4.0) *
			      std::max(candidate.slowdown, 1.0);

		if (candidate.is_excluded || candidate.running >= candidate.slots + view.overcommit)
			continue;
		if (best == SKH_SELECTION_NONE || cost < best_cost) {
			best = static_cast<int32_t>(position);
			best_cost = cost;
		}
	}
	return best;
}

class Replay
{
      public:
	explicit Replay(const Fleet &fleet)
	    : fleet(fleet), random(7), running(fleet.n_servers), reported_sum(fleet.n_servers),
	      own(fleet.n_gateways, std::vector<uint32_t>(fleet.n_servers)),
	      reported(fleet.n_gateways, std::vector<uint32_t>(fleet.n_servers)),
	      stated(fleet.n_gateways, std::vector<Statement>(fleet.n_servers))
	{
		std::lognormal_distribution<double> weight(0.0, fleet.skew);
		double sum = 0.0;

		for (uint32_t i = 0; i < fleet.n_gateways; i++) {
			sum += fleet.skew > 0.0 ? weight(random) : 1.0;
			weight_ends.push_back(sum);
		}
	}

	Outcome run(double until_s)
	{
		std::uniform_real_distribution<double> phase(0, fleet.report_interval_s);

		schedule(next_arrival(0), kArrival, 0, 0);
		schedule(kWarmUpS, kMeasure, 0, 0);
		for (uint32_t gateway = 0; gateway < fleet.n_gateways; gateway++)
			schedule(phase(random), kReport, gateway, 0);
		while (events.top().at_s < until_s) {
			const Event event = events.top();

			events.pop();
			handle(event);
		}
		return { n_rejected / n_arrivals, sum_of_spreads / n_measured,
			 sum_of_means / n_measured, sum_of_worst / n_measured,
			 n_crossed / n_started };
	}

      private:
	static constexpr uint32_t kDomains = 3;
	static constexpr double kSwingPeriodS = 13.0;
	static constexpr double kMeasureIntervalS = 0.1;
	static constexpr double kWarmUpS = 2.0;

	enum Kind {
		kArrival,
		kEnd,
		kReport,
		kMeasure
	};
	struct Event {
		double at_s;
		Kind kind;
		uint32_t gateway;
		uint32_t server;
		bool operator<(const Event &other) const
		{
			return at_s > other.at_s;
		}
	};
	struct Statement {
		uint32_t others;
		double at_s; // 0 for none
	};

	void schedule(double at_s, Kind kind, uint32_t gateway, uint32_t server)
	{
		events.push({ at_s, kind, gateway, server });
	}

	// Arrivals at the highest rate; swings() leaves out a part of them.
	double next_arrival(double now_s)
	{
		return now_s + std::exponential_distribution<double>(fleet.requests_per_s *
								     (1.0 + fleet.swing))(random);
	}

	bool swings(double now_s, uint32_t gateway)
	{
		double phase =
			now_s / kSwingPeriodS + static_cast<double>(gateway % kDomains) / kDomains;
		double rate = 1.0 + fleet.swing * std::sin(2.0 * M_PI * phase);

		return std::uniform_real_distribution<double>(0.0, 1.0 + fleet.swing)(random) <
		       rate;
	}

	uint32_t choose_gateway()
	{
		double chosen =
			std::uniform_real_distribution<double>(0.0, weight_ends.back())(random);

		return static_cast<uint32_t>(
			std::upper_bound(weight_ends.begin(), weight_ends.end() - 1, chosen) -
			weight_ends.begin());
	}

	double slowdown(uint32_t server) const
	{
		return fleet.slow_every > 0 && server % fleet.slow_every == 0 ? fleet.slowdown
									      : 1.0;
	}

	void handle(const Event &event)
	{
		if (event.kind == kEnd) {
			running[event.server]--;
			own[event.gateway][event.server]--;
		} else if (event.kind == kReport) {
			publish(event.gateway);
			schedule(event.at_s + fleet.report_interval_s, kReport, event.gateway, 0);
		} else if (event.kind == kMeasure) {
			measure();
			schedule(event.at_s + kMeasureIntervalS, kMeasure, 0, 0);
		} else {
			uint32_t gateway = choose_gateway();

			if (swings(event.at_s, gateway))
				place(event.at_s, gateway);
			schedule(next_arrival(event.at_s), kArrival, 0, 0);
		}
	}

	void publish(uint32_t gateway)
	{
		for (uint32_t server = 0; server < fleet.n_servers; server++) {
			reported_sum[server] += own[gateway][server] - reported[gateway][server];
			reported[gateway][server] = own[gateway][server];
		}
	}

	// A slow rank counts as a normal one with the requests that take it as long.
	void measure()
	{
		double sum = 0;
		double squares = 0;
		double worst = 0;

		for (uint32_t server = 0; server < fleet.n_servers; server++) {
			double n = running[server];

			sum += n;
			squares += n * n;
			worst = std::max(worst, (n + 4.0) * slowdown(server) - 4.0);
		}
		sum /= fleet.n_servers;
		sum_of_spreads += std::sqrt(std::max(squares / fleet.n_servers - sum * sum, 0.0));
		sum_of_means += sum;
		sum_of_worst += worst;
		n_measured++;
	}

	std::vector<skh_candidate_t> make_candidates(uint32_t gateway) const
	{
		std::vector<skh_candidate_t> candidates(fleet.n_servers);

		for (uint32_t server = 0; server < fleet.n_servers; server++) {
			const Statement &statement = stated[gateway][server];

			candidates[server].slots = fleet.slots;
			candidates[server].running = own[gateway][server];
			if (!fleet.uses_shares)
				candidates[server].running +=
					reported_sum[server] - reported[gateway][server];
			candidates[server].slowdown = slowdown(server);
			candidates[server].is_in_other_domain =
				fleet.swing > 0.0 && server % kDomains != gateway % kDomains;
			candidates[server].others_running = statement.others;
			candidates[server].others_us = static_cast<int64_t>(statement.at_s * 1e6);
		}
		return candidates;
	}

	// A rejected request tries up to three other servers.
	void place(double now_s, uint32_t gateway)
	{
		std::vector<skh_candidate_t> candidates = make_candidates(gateway);
		skh_selection_input_t view = {};

		view.candidates = candidates.data();
		view.n_candidates = fleet.n_servers;
		view.is_lock_step = true;
		view.overcommit = 1;
		view.now_us = static_cast<int64_t>(now_s * 1e6);
		if (fleet.uses_shares)
			view.share = { gateway, fleet.n_gateways };
		for (int attempt = 0; attempt < 4; attempt++) {
			view.random = random();
			int32_t selected = fleet.policy == kBefore ? select_before(view)
								   : skh_select_server(&view);

			if (selected < 0)
				return;
			uint32_t server = static_cast<uint32_t>(selected);

			n_arrivals++;
			if (fleet.states_loads)
				stated[gateway][server] = { running[server] - own[gateway][server],
							    now_s };
			if (running[server] < fleet.slots + 1) {
				start(now_s, gateway, server);
				return;
			}
			n_rejected++;
			candidates[server].is_excluded = true;
		}
	}

	void start(double now_s, uint32_t gateway, uint32_t server)
	{
		running[server]++;
		own[gateway][server]++;
		n_started++;
		n_crossed += server % kDomains != gateway % kDomains;
		schedule(now_s + fleet.mean_duration_s *
					 std::lognormal_distribution<double>(-0.08, 0.4)(random),
			 kEnd, gateway, server);
	}

	Fleet fleet;
	std::mt19937 random;
	std::priority_queue<Event> events;
	std::vector<uint32_t> running; // true number at each server
	std::vector<uint32_t> reported_sum;
	std::vector<std::vector<uint32_t>> own;
	std::vector<std::vector<uint32_t>> reported;
	std::vector<std::vector<Statement>> stated;
	std::vector<double> weight_ends;
	double n_arrivals = 0;
	double n_rejected = 0;
	double n_started = 0;
	double n_crossed = 0;
	double sum_of_spreads = 0;
	double sum_of_means = 0;
	double sum_of_worst = 0;
	int n_measured = 0;
};

Outcome replay(Fleet fleet, bool uses_shares)
{
	fleet.uses_shares = uses_shares;
	return Replay(fleet).run(12.0);
}

// Time between two reports with the counts of all servers, within the bytes that gossip.c sends.
double find_report_interval_s(const Fleet &fleet)
{
	double busy_servers = std::min<double>(
		fleet.n_servers, fleet.requests_per_s * fleet.mean_duration_s / fleet.n_gateways);

	return std::max(0.08, (fleet.n_gateways - 1) * (62.0 + 5.0 * busy_servers) / 1400.0);
}

// A full period of the swing and more; less for many gateways, whose mean is more exact.
Outcome run(const Fleet &fleet)
{
	return Replay(fleet).run(fleet.n_gateways <= 100 ? 30.0 : 9.0);
}

// Before, reports were sent each second at the latest, beyond the bytes allowed.
Outcome replay_before(Fleet fleet)
{
	fleet.policy = kBefore;
	fleet.report_interval_s = std::min(find_report_interval_s(fleet), 1.0);
	fleet.uses_shares = fleet.report_interval_s >= 0.3;
	return run(fleet);
}

Outcome replay_present(Fleet fleet)
{
	fleet.report_interval_s = find_report_interval_s(fleet);
	fleet.uses_shares =
		!skh_selection_can_use_reports(static_cast<int64_t>(fleet.report_interval_s * 1e6),
					       fleet.requests_per_s, fleet.n_servers);
	return Replay(fleet).run(30.0);
}

void print(const char *name, const Fleet &fleet, const Outcome &outcome)
{
	printf("%3u x %3u, %5.1f requests/s, %-8s rejected %.3f, requests per server %.2f, "
	       "spread %.2f, worst %5.2f, other domain %.2f\n",
	       fleet.n_gateways, fleet.n_servers, fleet.requests_per_s, name,
	       outcome.rejected_ratio, outcome.mean, outcome.mean_spread, outcome.worst,
	       outcome.crossed_ratio);
}

} // namespace

TEST(PlacementReplay, SharesSpreadTheRequestsOfManyGateways)
{
	const Fleet large = { 52, 129, 6, 313, 1.0, false };
	Outcome by_old_counts = replay(large, false);
	Outcome by_shares = replay(large, true);

	EXPECT_GT(by_old_counts.rejected_ratio, 0.2);
	EXPECT_LT(by_shares.rejected_ratio, 0.01);
	EXPECT_LT(by_shares.mean_spread, 0.75 * by_old_counts.mean_spread);
}

TEST(PlacementReplay, SharesHoldAtTheDesignSize)
{
	const Fleet design = { 400, 720, 6, 1700, 1.0, false };

	EXPECT_LT(replay(design, true).rejected_ratio, 0.05);
}

TEST(PlacementReplay, CurrentCountsNeedNoShares)
{
	const Fleet small = { 5, 12, 12, 56, 0.1, false };

	EXPECT_LT(replay(small, false).rejected_ratio, 0.001);
	EXPECT_LT(replay(small, true).rejected_ratio, 0.001);
	EXPECT_LT(replay(small, false).mean_spread, 1.1);
}

// Each server is in the share of some gateway, and shares overlap only if gateways outnumber
// servers.
TEST(PlacementReplay, SharesCoverAllServers)
{
	for (uint32_t n_gateways : { 1U, 5U, 12U, 13U, 52U, 400U }) {
		for (uint32_t n_servers : { 1U, 3U, 12U, 129U, 720U }) {
			for (uint32_t position = 0; position < n_servers; position++) {
				uint32_t n_owners = 0;

				for (uint32_t index = 0; index < n_gateways; index++) {
					const skh_server_share_t share = { index, n_gateways };

					n_owners += skh_server_share_contains(&share, position,
									      n_servers);
				}
				ASSERT_GE(n_owners, 1U);
				ASSERT_LE(n_owners, n_gateways / n_servers + 2);
			}
		}
	}
}

namespace
{

// Traffic of three failure domains that swings by 0.55 with phases of its own.
Fleet make_swinging(uint32_t n_gateways, uint32_t n_servers, uint32_t slots, double requests_per_s,
		    double mean_duration_s)
{
	Fleet fleet = { n_gateways, n_servers, slots, requests_per_s, 0.0, false };

	fleet.mean_duration_s = mean_duration_s;
	fleet.states_loads = true;
	fleet.swing = 0.55;
	fleet.skew = 0.3;
	return fleet;
}

const Fleet kSwinging[] = {
	make_swinging(5, 12, 12, 56, 1.2),     make_swinging(15, 72, 10, 253, 1.6),
	make_swinging(22, 72, 10, 260, 1.85),  make_swinging(27, 73, 10, 290, 1.4),
	make_swinging(52, 129, 6, 313, 1.1),   make_swinging(100, 60, 6, 150, 1.1),
	make_swinging(400, 720, 6, 1700, 1.1),
};

void expect_no_worse(const Outcome &before, const Outcome &present)
{
	EXPECT_LE(present.worst, before.worst * 1.02);
	EXPECT_LE(present.rejected_ratio, before.rejected_ratio + 0.001);
}

} // namespace

// Guards against a group that waits for a server with more requests than the others although the
// servers state their loads, and against bytes between failure domains without need.
TEST(PlacementReplay, StatedLoadsSpreadTheRequestsOfSwingingDomains)
{
	for (const Fleet &fleet : kSwinging) {
		Outcome before = replay_before(fleet);
		Outcome present = replay_present(fleet);

		print("before", fleet, before);
		print("present", fleet, present);
		expect_no_worse(before, present);
		EXPECT_LT(present.crossed_ratio, before.crossed_ratio - 0.05);
	}
	// At a load of two thirds of the slots.
	EXPECT_GT(replay_before(kSwinging[2]).rejected_ratio, 0.01);
	EXPECT_LT(replay_present(kSwinging[2]).rejected_ratio, 0.005);
	EXPECT_LT(replay_present(kSwinging[1]).worst, replay_before(kSwinging[1]).worst - 0.5);
}

// Without statements, a preference for the own domain would fill the servers of a busy domain.
TEST(PlacementReplay, WithoutStatementsTheDomainDoesNotMatter)
{
	for (Fleet fleet : kSwinging) {
		if (fleet.n_gateways > 100)
			continue;
		fleet.states_loads = false;
		expect_no_worse(replay_before(fleet), replay_present(fleet));
	}
}

// A quarter of the ranks takes 1.5 times as long. By own counts alone, which are 0 or 1, each of
// many gateways left these ranks out, and the others got more than they can take: one of the
// reasons why own counts served fewer requests than reports.
TEST(PlacementReplay, ManyGatewaysUseRanksThatAreALittleSlow)
{
	for (Fleet fleet : kSwinging) {
		fleet.slow_every = 4;
		fleet.slowdown = 1.5;
		Outcome before = replay_before(fleet);
		Outcome present = replay_present(fleet);

		print("slow, before", fleet, before);
		print("slow, present", fleet, present);
		expect_no_worse(before, present);
	}
	Fleet loaded = kSwinging[2];

	loaded.slow_every = 4;
	loaded.slowdown = 1.5;
	EXPECT_GT(replay_before(loaded).rejected_ratio, 0.15);
	EXPECT_LT(replay_present(loaded).rejected_ratio, 0.03);
}

// With frequent reports the selection is that of before, apart from the domain.
TEST(PlacementReplay, FrequentReportsAreUsedAsBefore)
{
	Fleet fleet = kSwinging[0];

	fleet.report_interval_s = 0.1;
	fleet.swing = 0.0;
	Outcome present = Replay(fleet).run(30.0);

	fleet.policy = kBefore;
	Outcome before = Replay(fleet).run(30.0);

	EXPECT_EQ(present.worst, before.worst);
	EXPECT_EQ(present.rejected_ratio, before.rejected_ratio);
	fleet.swing = 0.55;
	before = Replay(fleet).run(30.0);
	fleet.policy = kPresent;
	present = Replay(fleet).run(30.0);
	print("reports, before", fleet, before);
	print("reports, present", fleet, present);
	expect_no_worse(before, present);
	EXPECT_LT(present.crossed_ratio, before.crossed_ratio);
}

// Whether reports are better than shares depends on the requests that a server gets between two
// of them, not on their age alone.
TEST(PlacementReplay, ReportsAreUsedWhereFewRequestsComeBetweenThem)
{
	struct {
		uint32_t n_gateways;
		uint32_t n_servers;
		double mean_duration_s;
		bool uses_reports;
	} const rows[] = {
		{ 5, 12, 24.0, true },	  { 10, 24, 1.5, false },   { 10, 24, 3.0, false },
		{ 10, 24, 24.0, true },	  { 10, 24, 48.0, true },   { 15, 40, 1.5, false },
		{ 27, 73, 1.5, false },	  { 27, 73, 6.0, false },   { 27, 73, 48.0, false },
		{ 52, 100, 24.0, false }, { 100, 60, 24.0, false },
	};

	for (const auto &row : rows) {
		Fleet fleet = make_swinging(row.n_gateways, row.n_servers, 6,
					    row.n_servers * 3.0 / row.mean_duration_s,
					    row.mean_duration_s);
		fleet.states_loads = false;
		fleet.policy = kBefore;
		fleet.report_interval_s = find_report_interval_s(fleet);
		Outcome by_reports = Replay(fleet).run(60.0);

		fleet.uses_shares = true;
		Outcome by_shares = Replay(fleet).run(60.0);

		printf("%u x %u, a request of %.1f s, a report each %.2f s: worst by reports "
		       "%.2f, by shares %.2f\n",
		       row.n_gateways, row.n_servers, row.mean_duration_s, fleet.report_interval_s,
		       by_reports.worst, by_shares.worst);
		EXPECT_EQ(skh_selection_can_use_reports(
				  static_cast<int64_t>(fleet.report_interval_s * 1e6),
				  fleet.requests_per_s, fleet.n_servers),
			  row.uses_reports);
		EXPECT_EQ(by_reports.worst < by_shares.worst, row.uses_reports);
	}
}

// --- Single decisions ---

struct ShareSelection {
	std::vector<skh_candidate_t> candidates{ 6 };
	skh_selection_input_t view = {};

	ShareSelection()
	{
		for (skh_candidate_t &candidate : candidates)
			candidate.slots = 10;
		view.candidates = candidates.data();
		view.n_candidates = 6;
		view.is_lock_step = true;
		view.now_us = 10000000;
		view.share = { 0, 1 };
	}
	int32_t select()
	{
		return skh_select_server(&view);
	}
};

TEST(PlacementReplay, ANewStatementOutweighsAnOldOne)
{
	ShareSelection t;

	for (skh_candidate_t &candidate : t.candidates) {
		candidate.others_running = 8;
		candidate.others_us = t.view.now_us - 100000;
	}
	t.candidates[3].others_running = 2;
	for (t.view.random = 0; t.view.random < 6; t.view.random++)
		EXPECT_EQ(t.select(), 3);
	t.candidates[4].others_running = 0;
	t.candidates[4].others_us = t.view.now_us - 1900000;
	EXPECT_EQ(t.select(), 3);
	// Statements of another time say nothing.
	t.view.now_us += 10000000;
	t.candidates[3].running = 1;
	for (t.view.random = 0; t.view.random < 6; t.view.random++)
		EXPECT_NE(t.select(), 3);
}

TEST(PlacementReplay, AServerThatStatesNoFreeSlotIsNotAskedAtOnce)
{
	ShareSelection t;

	for (skh_candidate_t &candidate : t.candidates) {
		candidate.others_running = 10;
		candidate.others_us = t.view.now_us - 50000;
	}
	EXPECT_EQ(t.select(), SKH_SELECTION_NONE);
	t.view.now_us += 60000;
	EXPECT_NE(t.select(), SKH_SELECTION_NONE);
}

// Guards against a server that each of many gateways leaves out after one failure there, since its
// own count elsewhere never reaches the penalty for the requests of all gateways.
TEST(PlacementReplay, AFailureCountsByThePartOfTheGateway)
{
	ShareSelection t;

	t.view.share = { 0, 20 };
	for (uint32_t i = 0; i < 6; i++)
		t.candidates[i].running = i == 0 ? 9 : 1;
	t.candidates[3].running = 0;
	t.candidates[3].failure_ratio = 0.15;
	for (t.view.random = 0; t.view.random < 6; t.view.random++) {
		EXPECT_EQ(t.select(), 3);
		EXPECT_NE(select_before(t.view), 3);
	}
	t.candidates[1].running = 0;
	for (t.view.random = 0; t.view.random < 6; t.view.random++)
		EXPECT_EQ(t.select(), 1);
	// One that fails nearly all requests is left out.
	t.candidates[3].failure_ratio = 0.9;
	for (uint32_t i = 0; i < 6; i++)
		t.candidates[i].running = i != 3;
	for (t.view.random = 0; t.view.random < 6; t.view.random++)
		EXPECT_NE(t.select(), 3);
}

TEST(PlacementReplay, TheOwnDomainIsPreferredOnEqualTermsOnly)
{
	ShareSelection t;

	t.view.share = { 0, 0 };
	for (uint32_t i = 0; i < 6; i++) {
		t.candidates[i].running = 3;
		t.candidates[i].is_in_other_domain = i != 2;
	}
	for (t.view.random = 0; t.view.random < 6; t.view.random++)
		EXPECT_EQ(t.select(), 2);
	t.candidates[2].running = 4;
	for (t.view.random = 0; t.view.random < 6; t.view.random++)
		EXPECT_NE(t.select(), 2);
}
