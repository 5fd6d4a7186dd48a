// Selection of a sidecar by an entry; load, loss and replacement of peers; share of a prefix.
#include "clock.h"
#include "peer_selection.h"
#include "prefix_share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>

namespace
{

using PeersPtr = std::unique_ptr<skh_peers_t, decltype(&skh_peers_free)>;

class Fleet
{
      public:
	explicit Fleet(size_t n) : peers(skh_peers_new(), skh_peers_free), ids(n), members(n)
	{
		for (size_t i = 0; i < n; i++) {
			ids[i] = "s" + std::to_string(i);
			members[i] = { ids[i].data(), role, link, admin, domains[i % 3], false };
		}
		sync();
		for (size_t i = 0; i < n; i++)
			report(i, SKH_PHASE_READY, 1);
	}

	void sync()
	{
		const skh_instances_t instances = { members.data(), members.size() };

		skh_peers_sync(peers.get(), &instances, now_us);
	}

	bool report(size_t i, skh_phase_t phase, uint64_t incarnation, uint32_t running = 0)
	{
		Skh__Status status = SKH__STATUS__INIT;

		status.incarnation = incarnation;
		status.phase = phase;
		status.service = service;
		status.capacity = 8;
		status.running = running;
		return skh_peers_record_frame(peer(i), &status, 1, now_us);
	}

	skh_peer_t *peer(size_t i)
	{
		return skh_peers_find(peers.get(), ids[i].c_str());
	}

	skh_peer_t *select_peer(uint64_t random, uint64_t prefix = 0)
	{
		skh_peer_query_t query = {};
		skh_error_t err = {};

		query.service = "assistant";
		query.failure_domain = "nairobi";
		query.prefix_hash = prefix;
		return skh_select_peer(peers.get(), &query, random, now_us, &err);
	}

	PeersPtr peers;
	std::vector<std::string> ids;
	std::vector<skh_instance_t> members;
	int64_t now_us = 1000;

      private:
	char role[8] = "sidecar";
	char link[2] = "";
	char admin[2] = "";
	char service[10] = "assistant";
	char nairobi[8] = "nairobi";
	char mombasa[8] = "mombasa";
	char kisumu[8] = "kisumu";
	char *domains[3] = { nairobi, mombasa, kisumu };
};

TEST(PeerSelection, PeerThatIsLeavingByStatusOrListIsNotSelected)
{
	Fleet fleet(2);

	fleet.report(0, SKH_PHASE_LEAVING, 1);
	for (uint64_t r = 0; r < 64; r++)
		EXPECT_EQ(fleet.select_peer(r * 0x9e3779b97f4a7c15U), fleet.peer(1));
	fleet.report(0, SKH_PHASE_READY, 1);
	fleet.members[1].is_leaving = true;
	fleet.sync();
	for (uint64_t r = 0; r < 64; r++)
		EXPECT_EQ(fleet.select_peer(r * 0x9e3779b97f4a7c15U), fleet.peer(0));
}

TEST(PeerSelection, NoBackendErrorHasARetryTime)
{
	Fleet fleet(1);
	skh_peer_query_t query = {};
	skh_error_t err = {};

	query.service = "ledger";
	query.failure_domain = "";
	EXPECT_EQ(skh_select_peer(fleet.peers.get(), &query, 1, fleet.now_us, &err), nullptr);
	EXPECT_EQ(err.kind, SKH_NO_BACKEND);
	EXPECT_EQ(err.run_state, SKH_RUN_NOT_RUN);
	EXPECT_GT(err.retry_at_us, fleet.now_us);
}

TEST(PeerSelection, EjectingOutliersNeverEmptiesThePool)
{
	Fleet fleet(3);

	for (size_t i = 0; i < 3; i++) {
		skh_peers_begin_request(fleet.peer(i), fleet.now_us);
		skh_peers_end_request(fleet.peer(i), false, fleet.now_us);
	}
	EXPECT_NE(fleet.select_peer(5), nullptr);
}

TEST(PeerSelection, OutlierIsAvoidedWhileOtherPeersAreLeft)
{
	Fleet fleet(3);

	skh_peers_begin_request(fleet.peer(0), fleet.now_us);
	skh_peers_end_request(fleet.peer(0), false, fleet.now_us);
	for (uint64_t r = 0; r < 64; r++)
		EXPECT_NE(fleet.select_peer(r * 0x9e3779b97f4a7c15U), fleet.peer(0));
	fleet.now_us += 10 * SKH_US_PER_S;
	bool used = false;
	for (uint64_t r = 0; r < 64; r++)
		used = used || fleet.select_peer(r * 0x9e3779b97f4a7c15U) == fleet.peer(0);
	EXPECT_TRUE(used);
}

TEST(PeerSelection, PrefixKeepsItsPreferredPeerUntilThatPeerIsFull)
{
	Fleet fleet(6);
	skh_peer_t *preferred = fleet.select_peer(1, 12345);

	for (uint64_t r = 0; r < 32; r++)
		EXPECT_EQ(fleet.select_peer(r * 77, 12345), preferred);
	for (int i = 0; i < 8; i++)
		skh_peers_begin_request(preferred, fleet.now_us);
	EXPECT_NE(fleet.select_peer(1, 12345), preferred);
}

TEST(PeerSelection, EntriesAgreeOnTheOrderOfPreferredPeers)
{
	Fleet one(8);
	Fleet other(8);
	skh_peer_t *preferred = one.select_peer(1, 777);

	EXPECT_STREQ(preferred->id, other.select_peer(99, 777)->id);
	one.report(static_cast<size_t>(atoi(preferred->id + 1)), SKH_PHASE_READY, 1, 8);
	other.report(static_cast<size_t>(atoi(preferred->id + 1)), SKH_PHASE_READY, 1, 8);
	EXPECT_STRNE(preferred->id, one.select_peer(1, 777)->id);
	EXPECT_STREQ(one.select_peer(1, 777)->id, other.select_peer(99, 777)->id);
}

TEST(PeerSelection, PeerIsSelectedAgainWhenItsFullReportIsOld)
{
	Fleet fleet(8);
	skh_peer_t *preferred = fleet.select_peer(1, 777);
	const size_t index = static_cast<size_t>(atoi(preferred->id + 1));

	for (size_t i = 0; i < 8; i++)
		fleet.report(i, SKH_PHASE_READY, 1, 8);
	EXPECT_NE(fleet.peer(index), fleet.select_peer(1, 777));
	fleet.now_us += 200 * SKH_US_PER_MS;
	EXPECT_EQ(fleet.peer(index), fleet.select_peer(1, 777));
}

TEST(PeerSelection, LoadEstimateIncludesRequestsSentSinceTheReport)
{
	Fleet fleet(1);
	skh_peer_t *peer = fleet.peer(0);

	skh_peers_begin_request(peer, fleet.now_us);
	fleet.report(0, SKH_PHASE_READY, 1, 5);
	EXPECT_EQ(5u, skh_peers_estimate_load(peer));
	skh_peers_begin_request(peer, fleet.now_us);
	EXPECT_EQ(6u, skh_peers_estimate_load(peer));
	skh_peers_end_request(peer, true, fleet.now_us);
	skh_peers_end_request(peer, true, fleet.now_us);
	EXPECT_EQ(4u, skh_peers_estimate_load(peer));
}

TEST(PeerSelection, PrefixShareFollowsRecentRequests)
{
	skh_prefix_share_t *prefix_share = skh_prefix_share_new();
	double frequent_share = 0.0;
	double rare_share = 0.0;

	for (int i = 0; i < 200; i++)
		frequent_share = skh_prefix_share_record(
			prefix_share, i % 2 ? 0x100000000ULL : 0x1000000000ULL * i, 1000 + i);
	rare_share = skh_prefix_share_record(prefix_share, 0xabcd00000000ULL, 2000);
	EXPECT_GT(frequent_share, 0.3);
	EXPECT_EQ(0.0, rare_share);
	EXPECT_LT(skh_prefix_share_record(prefix_share, 0x100000000ULL, 200 * SKH_US_PER_S), 0.1);
	skh_prefix_share_free(prefix_share);
}

TEST(PeerSelection, ReplacedProcessIsDetected)
{
	Fleet fleet(1);

	EXPECT_FALSE(fleet.report(0, SKH_PHASE_READY, 1));
	EXPECT_TRUE(fleet.report(0, SKH_PHASE_READY, 2));
}

TEST(PeerSelection, SilentPeerWithWorkInFlightIsLost)
{
	Fleet fleet(1);
	skh_peer_t *peer = fleet.peer(0);

	EXPECT_FALSE(skh_peers_is_lost(peer, fleet.now_us + 60 * SKH_US_PER_S));
	skh_peers_begin_request(peer, fleet.now_us);
	EXPECT_FALSE(skh_peers_is_lost(peer, fleet.now_us + 1 * SKH_US_PER_S));
	EXPECT_TRUE(skh_peers_is_lost(peer, fleet.now_us + 3 * SKH_US_PER_S));
}

TEST(PeerSelection, AnUnlistedPeerIsKeptWhileItHasWork)
{
	Fleet fleet(2);

	skh_peers_begin_request(fleet.peer(0), fleet.now_us);
	fleet.members.erase(fleet.members.begin());
	fleet.sync();
	EXPECT_EQ(skh_peers_count(fleet.peers.get()), 2U);
	skh_peers_end_request(skh_peers_find(fleet.peers.get(), "s0"), true, fleet.now_us);
	fleet.sync();
	EXPECT_EQ(skh_peers_count(fleet.peers.get()), 1U);
}

RC_GTEST_PROP(PeerSelection, SelectsOnlyEligiblePeers, ())
{
	const size_t n = *rc::gen::inRange(1, 12);
	Fleet fleet(n);
	size_t n_eligible = 0;

	for (size_t i = 0; i < n; i++) {
		skh_peer_t *peer = fleet.peer(i);

		fleet.report(i, static_cast<skh_phase_t>(*rc::gen::inRange(0, 3)), 1,
			     *rc::gen::inRange(0, 16));
		peer->is_reachable = *rc::gen::inRange(0, 4) != 0;
		peer->is_listed_leaving = *rc::gen::inRange(0, 4) == 0;
		peer->avoid_until_us = *rc::gen::inRange(0, 2) * 5000;
		n_eligible += peer->is_reachable && peer->phase == SKH_PHASE_READY &&
			      !peer->is_listed_leaving;
	}
	skh_peer_t *selected =
		fleet.select_peer(*rc::gen::arbitrary<uint64_t>(), *rc::gen::inRange(0, 2) * 77U);
	RC_ASSERT((selected != nullptr) == (n_eligible > 0));
	if (selected) {
		RC_ASSERT(selected->is_reachable);
		RC_ASSERT(selected->phase == SKH_PHASE_READY);
		RC_ASSERT(!selected->is_listed_leaving);
	}
}

} // namespace
