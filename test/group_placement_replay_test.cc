// Replay of 22 gateways before three groups of 24 ranks, each with its own requests as the only
// known ones. Guards against a selection of the group that loads some ranks or groups more than
// the selection of a server alone does: each pass waits for the fullest rank.
#include "group_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <vector>

namespace
{

constexpr uint32_t kGateways = 22;
constexpr uint32_t kGroups = 3;
constexpr uint32_t kServers = 72;
constexpr uint32_t kSlots = 10;

struct Outcome {
	double fullest_rank = 0; // requests of the fullest rank of a group, mean over time
	double fullest_group = 0;
	double spread = 0; // standard deviation of the requests for each rank
	double rejected_ratio = 0;
};

struct Replay {
	std::mt19937_64 random{ 11 };
	std::vector<uint32_t> running;
	std::vector<std::vector<uint32_t>> own;
	std::vector<uint32_t> group_of;
	bool by_group;
	double slowdown; // of the first rank
	int n_samples = 0;
	int n_sends = 0;
	int n_rejected = 0;
	Outcome outcome;

	Replay(bool by_group, bool are_groups_mixed, double slowdown)
	    : running(kServers), own(kGateways, std::vector<uint32_t>(kServers)),
	      group_of(kServers), by_group(by_group), slowdown(slowdown)
	{
		for (uint32_t i = 0; i < kServers; i++)
			group_of[i] = i / (kServers / kGroups);
		if (are_groups_mixed)
			std::shuffle(group_of.begin(), group_of.end(), random);
	}
	int32_t select(uint32_t gateway, const std::vector<bool> &excluded)
	{
		std::vector<skh_candidate_t> servers(kServers);
		std::vector<skh_group_candidate_t> groups(kGroups);
		skh_group_selection_input_t view = {};

		for (uint32_t i = 0; i < kServers; i++) {
			servers[i].slots = kSlots;
			servers[i].running = own[gateway][i];
			servers[i].slowdown = i == 0 ? slowdown : 1.0;
			servers[i].is_excluded = excluded[i];
		}
		for (auto &group : groups)
			group.is_joint = group.is_ready = group.can_send = true;
		view.servers.candidates = servers.data();
		view.servers.n_candidates = kServers;
		view.servers.is_lock_step = true;
		view.servers.overcommit = 1;
		view.servers.random = random() >> 1;
		view.servers.share = { gateway, kGateways };
		view.group_of = group_of.data();
		view.groups = groups.data();
		view.n_groups = kGroups;
		view.step_ms = 5.85;
		view.step_ms_per_request = 1.09;
		view.expert_time_ratio = 0.3;
		return by_group ? skh_group_selection_server(&view)
				: skh_select_server(&view.servers);
	}
	void sample()
	{
		double sum[kGroups] = {};
		uint32_t fullest[kGroups] = {};
		double total = 0;
		double squares = 0;

		for (uint32_t i = 0; i < kServers; i++) {
			sum[group_of[i]] += running[i];
			fullest[group_of[i]] = std::max(fullest[group_of[i]], running[i]);
			total += running[i];
			squares += static_cast<double>(running[i]) * running[i];
		}
		total /= kServers;
		outcome.spread += std::sqrt(squares / kServers - total * total);
		outcome.fullest_group += *std::max_element(sum, sum + kGroups);
		for (uint32_t most : fullest)
			outcome.fullest_rank += static_cast<double>(most) / kGroups;
		n_samples++;
	}
	Outcome run(double requests_per_s)
	{
		struct End {
			double at_s;
			uint32_t gateway;
			uint32_t server;
			bool operator<(const End &other) const
			{
				return at_s > other.at_s;
			}
		};
		std::priority_queue<End> ends;
		std::exponential_distribution<double> gap(requests_per_s);
		std::lognormal_distribution<double> duration(0.3, 0.4);

		for (double now_s = 0; now_s < 15; now_s += gap(random)) {
			uint32_t gateway = static_cast<uint32_t>(random() % kGateways);
			std::vector<bool> excluded(kServers);

			for (; !ends.empty() && ends.top().at_s < now_s; ends.pop()) {
				running[ends.top().server]--;
				own[ends.top().gateway][ends.top().server]--;
			}
			for (int attempt = 0; attempt < 4; attempt++) {
				int32_t server = select(gateway, excluded);

				n_sends++;
				if (running[server] < kSlots + 1) {
					running[server]++;
					own[gateway][server]++;
					ends.push({ now_s + duration(random), gateway,
						    static_cast<uint32_t>(server) });
					break;
				}
				n_rejected++;
				excluded[server] = true;
			}
			if (now_s > 3)
				sample();
		}
		outcome.fullest_rank /= n_samples;
		outcome.fullest_group /= n_samples;
		outcome.spread /= n_samples;
		outcome.rejected_ratio = static_cast<double>(n_rejected) / n_sends;
		return outcome;
	}
};

Outcome replay(bool by_group, bool are_groups_mixed, double slowdown, double requests_per_s)
{
	return Replay(by_group, are_groups_mixed, slowdown).run(requests_per_s);
}

TEST(GroupPlacementReplay, GroupsAreLoadedMoreEvenlyThanBySelectionOfAServerAlone)
{
	for (double requests_per_s : { 180.0, 260.0 }) {
		for (bool are_groups_mixed : { false, true }) {
			Outcome alone = replay(false, are_groups_mixed, 1.0, requests_per_s);
			Outcome by_group = replay(true, are_groups_mixed, 1.0, requests_per_s);

			EXPECT_LT(by_group.fullest_rank, alone.fullest_rank);
			EXPECT_LT(by_group.fullest_group, alone.fullest_group);
			EXPECT_LT(by_group.spread, alone.spread);
			EXPECT_LT(by_group.rejected_ratio, 0.005);
		}
	}
}

// The group with the slow rank gets fewer requests, but the others must not be overloaded.
TEST(GroupPlacementReplay, ASlowRankDoesNotOverloadTheOtherGroups)
{
	for (bool are_groups_mixed : { false, true }) {
		Outcome even = replay(true, are_groups_mixed, 1.0, 260.0);
		Outcome uneven = replay(true, are_groups_mixed, 12.0, 260.0);

		EXPECT_GT(uneven.fullest_group, 1.05 * even.fullest_group);
		EXPECT_LT(uneven.fullest_group, 1.3 * even.fullest_group);
		EXPECT_LT(uneven.rejected_ratio, 0.01);
	}
}

} // namespace
