// Replay of many gateways that place requests on the same servers and know each other's requests
// only by reports that are as old as a request takes. Guards against servers that get more than
// they can take because all gateways choose them by the same old counts.
#include "server_selection.h"

#include <gtest/gtest.h>

#include <cmath>
#include <queue>
#include <random>
#include <vector>

namespace
{

struct Fleet {
	uint32_t n_gateways;
	uint32_t n_servers;
	uint32_t slots;
	double requests_per_s;
	double report_interval_s;
	bool uses_shares;
};

struct Outcome {
	double rejected_ratio; // of the arrivals at servers
	double mean_spread;    // standard deviation of the requests per server
};

class Replay
{
      public:
	explicit Replay(const Fleet &fleet)
	    : fleet(fleet), random(7), running(fleet.n_servers), reported_sum(fleet.n_servers),
	      own(fleet.n_gateways, std::vector<uint32_t>(fleet.n_servers)),
	      reported(fleet.n_gateways, std::vector<uint32_t>(fleet.n_servers))
	{
	}

	Outcome run(double until_s)
	{
		std::uniform_real_distribution<double> phase(0, fleet.report_interval_s);

		schedule(next_arrival(0), kArrival, 0, 0);
		for (uint32_t gateway = 0; gateway < fleet.n_gateways; gateway++)
			schedule(phase(random), kReport, gateway, 0);
		while (events.top().at_s < until_s) {
			const Event event = events.top();

			events.pop();
			handle(event);
		}
		return { n_rejected / n_arrivals, sum_of_spreads / n_spreads };
	}

      private:
	enum Kind {
		kArrival,
		kEnd,
		kReport
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

	void schedule(double at_s, Kind kind, uint32_t gateway, uint32_t server)
	{
		events.push({ at_s, kind, gateway, server });
	}

	double next_arrival(double now_s)
	{
		return now_s + std::exponential_distribution<double>(fleet.requests_per_s)(random);
	}

	void handle(const Event &event)
	{
		if (event.kind == kEnd) {
			running[event.server]--;
			own[event.gateway][event.server]--;
		} else if (event.kind == kReport) {
			publish(event.gateway);
			schedule(event.at_s + fleet.report_interval_s, kReport, event.gateway, 0);
		} else {
			place(event.at_s, random() % fleet.n_gateways);
			schedule(next_arrival(event.at_s), kArrival, 0, 0);
		}
	}

	void publish(uint32_t gateway)
	{
		for (uint32_t server = 0; server < fleet.n_servers; server++) {
			reported_sum[server] += own[gateway][server] - reported[gateway][server];
			reported[gateway][server] = own[gateway][server];
		}
		measure_spread();
	}

	void measure_spread()
	{
		double sum = 0;
		double squares = 0;

		for (uint32_t n : running) {
			sum += n;
			squares += static_cast<double>(n) * n;
		}
		sum /= fleet.n_servers;
		sum_of_spreads += std::sqrt(squares / fleet.n_servers - sum * sum);
		n_spreads++;
	}

	std::vector<skh_candidate_t> make_candidates(uint32_t gateway) const
	{
		std::vector<skh_candidate_t> candidates(fleet.n_servers);

		for (uint32_t server = 0; server < fleet.n_servers; server++) {
			candidates[server].slots = fleet.slots;
			candidates[server].running = own[gateway][server];
			if (!fleet.uses_shares)
				candidates[server].running +=
					reported_sum[server] - reported[gateway][server];
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
		if (fleet.uses_shares)
			view.share = { gateway, fleet.n_gateways };
		for (int attempt = 0; attempt < 4; attempt++) {
			view.random = random();
			int32_t server = skh_select_server(&view);

			if (server < 0)
				return;
			n_arrivals++;
			if (running[server] < fleet.slots + 1) {
				start(now_s, gateway, static_cast<uint32_t>(server));
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
		schedule(now_s + std::lognormal_distribution<double>(0.1, 0.4)(random), kEnd,
			 gateway, server);
	}

	Fleet fleet;
	std::mt19937 random;
	std::priority_queue<Event> events;
	std::vector<uint32_t> running; // true number at each server
	std::vector<uint32_t> reported_sum;
	std::vector<std::vector<uint32_t>> own;
	std::vector<std::vector<uint32_t>> reported;
	double n_arrivals = 0;
	double n_rejected = 0;
	double sum_of_spreads = 0;
	int n_spreads = 0;
};

Outcome replay(Fleet fleet, bool uses_shares)
{
	fleet.uses_shares = uses_shares;
	return Replay(fleet).run(12.0);
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
