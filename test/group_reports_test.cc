// Reports of the ranks of several groups of one service at one coordinator. Guards against a
// report of another group that replaces the state of the rank with the same number.
#include "dialect.h"
#include "engine_client.h"
#include "groupview.h"
#include "metrics.h"
#include "rankrelay.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;
constexpr uint32_t kSets = 2;
constexpr uint32_t kSlots = 2;
constexpr uint32_t kRanks = 4;

skh_engine_spec_t make_spec()
{
	skh_engine_spec_t spec = {};

	spec.expert_sets = kSets;
	spec.experts_per_set = kRanks * kSlots;
	spec.slots_per_rank = kSlots;
	return spec;
}

std::string engine_of(char group, uint32_t rank)
{
	return "127.0.0.1:" + std::to_string((group == 'a' ? 1100 : 1200) + rank);
}

// The view of the coordinator of one group, which gets the reports of any group.
class View
{
      public:
	explicit View(const char *group)
	{
		const skh_engine_spec_t spec = make_spec();
		skh_error_t err = {};

		uv_loop_init(&loop);
		pool_options.attempt_id_header = "";
		pool_options.connect_timeout_us = 100 * kMs;
		pool_options.max_idle_connections = 1;
		options.loop = &loop;
		options.dialect = skh_dialect_find("fleet", &err);
		options.pool_options = &pool_options;
		options.group = group;
		options.on_rank_state = [](void *, uint32_t, int64_t, int64_t) {};
		skh_groupview_init(&view, &options, &spec);
	}
	~View()
	{
		skh_groupview_clear(&view);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
	}
	View(const View &) = delete;
	View &operator=(const View &) = delete;

	// The reported map has @expert in each set.
	bool record(const char *group, uint32_t rank, const std::string &engine, uint32_t expert,
		    uint32_t n_ranks = kRanks)
	{
		return record_map(group, rank, engine, { expert, 0, expert, 0 }, n_ranks, 1.0);
	}

	// The report of a rank of group "a".
	bool claim(uint32_t rank, const std::string &engine, int64_t epoch_of_report = 1)
	{
		epoch = epoch_of_report;
		return record("a", rank, engine, 1 + rank);
	}

	bool has_all_ranks_in_place()
	{
		for (uint32_t rank = 0; rank < kRanks; rank++) {
			if (engine(rank) != engine_of('a', rank))
				return false;
		}
		return skh_groupview_is_complete(&view, now_us);
	}

	bool record_map(const char *group, uint32_t rank, const std::string &engine,
			std::vector<uint32_t> map, uint32_t n_ranks, double slowdown)
	{
		Skh__RankReport message = SKH__RANK_REPORT__INIT;

		message.service = const_cast<char *>("model");
		message.group = const_cast<char *>(group);
		message.engine = const_cast<char *>(engine.c_str());
		message.relay = const_cast<char *>(engine.c_str());
		message.rank = rank;
		message.size = n_ranks;
		message.open = 1;
		message.epoch = epoch;
		message.pace = slowdown;
		message.sender = std::hash<std::string>()(engine);
		message.number = ++number;
		message.map_known = 1;
		message.map = map.data();
		message.n_map = map.size();
		return skh_groupview_record_report(&view, &message, engine == engine_of('a', 0),
						   now_us);
	}

	std::string engine(uint32_t rank)
	{
		return skh_engine_client_address(view.ranks[rank].engine);
	}

	uint32_t expert(uint32_t rank)
	{
		return view.map[static_cast<size_t>(rank) * kSlots];
	}

	skh_groupview_t view;
	int64_t now_us = kMs;

      private:
	uv_loop_t loop;
	skh_upstream_pool_options_t pool_options = {};
	skh_groupview_options_t options = {};
	uint64_t number = 0;
	int64_t epoch = 1;
};

} // namespace

TEST(GroupReports, RanksOfAnotherGroupReplaceNothing)
{
	View view("a");

	for (uint32_t rank = 0; rank < kRanks; rank++) {
		EXPECT_TRUE(view.record("a", rank, engine_of('a', rank), 1 + rank));
		EXPECT_FALSE(view.record("b", rank, engine_of('b', rank), 5));
	}
	for (uint32_t rank = 0; rank < kRanks; rank++) {
		EXPECT_EQ(view.engine(rank), engine_of('a', rank));
		EXPECT_EQ(view.expert(rank), 1 + rank);
	}
	EXPECT_TRUE(skh_groupview_is_complete(&view.view, kMs));
}

// The order of the first reports must not matter.
TEST(GroupReports, FirstReportOfAnotherGroupIsNotAdopted)
{
	View view("a");

	EXPECT_FALSE(view.record("b", 3, engine_of('b', 3), 5, 64));
	EXPECT_EQ(view.view.n_ranks, 0U);
	EXPECT_TRUE(view.record("a", 3, engine_of('a', 3), 1));
	EXPECT_EQ(view.view.n_ranks, kRanks);
	EXPECT_FALSE(view.record("b", 3, engine_of('b', 3), 5, 64));
	EXPECT_EQ(view.view.n_ranks, kRanks);
}

TEST(GroupReports, OtherAndUnknownGroupsAreCounted)
{
	View view("g0");
	uint64_t before = skh_metrics_get(SKH_COUNT_FOREIGN_REPORTS);

	for (const char *group : { "", "g", "g00", "G0", "g1" })
		EXPECT_FALSE(view.record(group, 1, engine_of('b', 1), 5)) << group;
	EXPECT_EQ(view.view.n_ranks, 0U);
	EXPECT_EQ(skh_metrics_get(SKH_COUNT_FOREIGN_REPORTS) - before, 5U);
}

// Reports of other processes are as untrusted as the engines' responses that they pass on.
TEST(GroupReports, MapsWithUnknownOrRepeatedExpertsAreIgnored)
{
	View view("a");
	const std::vector<uint32_t> wrong_maps[] = {
		{ 1, 9, 3, 0 }, { 1, 777777778, 3, 0 }, { 1, 0, 3, UINT32_MAX }, { 2, 2, 3, 0 }
	};

	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.record("a", rank, engine_of('a', rank), 1 + rank));
	ASSERT_TRUE(skh_groupview_is_complete(&view.view, kMs));
	for (const std::vector<uint32_t> &map : wrong_maps) {
		/* The rest of the report is used: the rank is alive. */
		EXPECT_TRUE(view.record_map("a", 1, engine_of('a', 1), map, kRanks, 1.0));
		EXPECT_EQ(view.expert(1), 2U);
	}
	EXPECT_TRUE(skh_groupview_is_complete(&view.view, kMs));
	EXPECT_TRUE(view.record("a", 1, engine_of('a', 1), 8));
	EXPECT_EQ(view.expert(1), 8U);
}

// A wrong rank in one report gave the rank's orders to another engine.
TEST(GroupReports, RankKeepsItsEngineWithinAnEpoch)
{
	View view("a");

	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim(rank, engine_of('a', rank)));
	ASSERT_TRUE(view.has_all_ranks_in_place());
	/* Rank 1 says that it is rank 2. One of its two numbers is wrong; rank 2 stays. */
	EXPECT_FALSE(view.claim(2, engine_of('a', 1)));
	EXPECT_EQ(view.engine(2), engine_of('a', 2));
	EXPECT_FALSE(skh_groupview_is_complete(&view.view, view.now_us));
	EXPECT_TRUE(view.claim(1, engine_of('a', 1)));
	EXPECT_TRUE(view.has_all_ranks_in_place());
	/* An engine that was not known says so. */
	EXPECT_FALSE(view.claim(2, engine_of('b', 2)));
	EXPECT_TRUE(view.has_all_ranks_in_place());
}

TEST(GroupReports, WrongRankThatWasRecordedFirstIsCorrected)
{
	View view("a");

	EXPECT_TRUE(view.claim(2, engine_of('a', 1)));
	for (int round = 0; round < 3; round++) {
		for (uint32_t rank = 0; rank < kRanks; rank++)
			(void)view.claim(rank, engine_of('a', rank));
	}
	EXPECT_TRUE(view.has_all_ranks_in_place());
}

// During a map change, answers to orders count for the rank that the engine has had at its beginning.
TEST(GroupReports, NoRankGetsAnotherEngineDuringAMapChange)
{
	View view("a");

	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim(rank, engine_of('a', rank)));
	view.view.is_pinned = true;
	for (int64_t epoch : { 0, 1, 2 }) {
		EXPECT_FALSE(view.claim(2, engine_of('a', 1), epoch));
		EXPECT_FALSE(view.claim(2, engine_of('b', 2), epoch));
		EXPECT_TRUE(view.has_all_ranks_in_place()) << epoch;
	}
	/* The rank is silent, but may still be armed. */
	view.now_us += 60000 * kMs;
	EXPECT_FALSE(view.claim(2, engine_of('b', 2)));
	EXPECT_EQ(view.engine(2), engine_of('a', 2));
	/* Calm traffic: reports of the ranks themselves. */
	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim(rank, engine_of('a', rank)));
	EXPECT_TRUE(view.has_all_ranks_in_place());
}

// Servers restart as other ranks: the group is formed again under the next epoch.
TEST(GroupReports, RanksMoveWithANewEpoch)
{
	View view("a");

	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim(rank, engine_of('a', rank)));
	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim((rank + 1) % kRanks, engine_of('a', rank), 2)) << rank;
	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_EQ(view.engine((rank + 1) % kRanks), engine_of('a', rank));
	/* The map comes with the next report. */
	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim((rank + 1) % kRanks, engine_of('a', rank), 2)) << rank;
	EXPECT_TRUE(skh_groupview_is_complete(&view.view, view.now_us));
	/* A late report from before takes nothing back. */
	EXPECT_FALSE(view.claim(3, engine_of('a', 3), 1));
	EXPECT_EQ(view.engine(3), engine_of('a', 2));
	EXPECT_TRUE(skh_groupview_is_complete(&view.view, view.now_us));
}

// A server is replaced by one at another address that takes its number in the same epoch.
TEST(GroupReports, RankOfASilentEngineIsTakenOver)
{
	View view("a");

	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim(rank, engine_of('a', rank)));
	view.now_us += 3000 * kMs;
	EXPECT_TRUE(view.claim(2, engine_of('b', 2)));
	EXPECT_EQ(view.engine(2), engine_of('b', 2));
}

// An epoch that is too high must not keep the rank's real engine out.
TEST(GroupReports, WrongEpochBlocksNoRank)
{
	View view("a");

	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim(rank, engine_of('a', rank)));
	EXPECT_TRUE(view.claim(2, engine_of('b', 2), 9));
	EXPECT_TRUE(view.claim(2, engine_of('a', 2), 1));
	EXPECT_TRUE(view.has_all_ranks_in_place());
}

// A wrong size in one report dropped the state of all ranks and ended a change that held the group.
TEST(GroupReports, SizeIsThatOfTheOwnEngine)
{
	View view("a");

	view.view.options.n_ranks = kRanks;
	for (uint32_t rank = 0; rank < kRanks; rank++)
		EXPECT_TRUE(view.claim(rank, engine_of('a', rank)));
	EXPECT_FALSE(view.record("a", 2, engine_of('a', 2), 3, 64));
	EXPECT_TRUE(view.has_all_ranks_in_place());
}

// A slowdown that is no number made each plan a sum of such numbers.
TEST(GroupReports, ReportsWithSlowdownsOutOfRangeAreIgnored)
{
	View view("a");

	for (double slowdown : { -1.0, 1e9, (double)INFINITY, (double)NAN })
		EXPECT_FALSE(view.record_map("a", 1, engine_of('a', 1), { 1, 0, 1, 0 }, kRanks,
					     slowdown))
			<< slowdown;
	EXPECT_TRUE(view.record_map("a", 1, engine_of('a', 1), { 1, 0, 1, 0 }, kRanks, 9.0));
	EXPECT_EQ(view.view.ranks[1].report.slowdown, 9.0);
	/* A process of an older release states none. */
	EXPECT_TRUE(view.record_map("a", 1, engine_of('a', 1), { 1, 0, 1, 0 }, kRanks, 0.0));
	EXPECT_EQ(view.view.ranks[1].report.slowdown, 1.0);
}

namespace
{

int32_t send_order(const char *order_group, const char *engine_group, skh_map_cache_t *cache)
{
	const uint32_t map[] = { 1, 2 };
	skh_mapchange_order_t order = {};
	skh_mapchange_order_t unpacked;
	skh_buffer_t packed = SKH_BUFFER_INIT;
	char *engine = nullptr;

	order.op = SKH_ENGINE_PREPARE;
	order.map_version = 7;
	order.epoch = 1;
	order.fence = 9;
	order.map = map;
	order.n_sets = 1;
	order.n_ranks = 2;
	order.n_slots = 1;
	skh_rankrelay_pack(&order, nullptr, 2, order_group, nullptr, &packed);
	int32_t status = skh_rankrelay_unpack(skh_buffer_chunk(&packed), cache, engine_group,
					      &unpacked, &engine);
	skh_buffer_free(&packed);
	g_free(engine);
	return status;
}

} // namespace

// An order that was delayed while the engine restarted into the other group: the engine would
// carry it out, as epoch and fence of the two groups are unrelated.
TEST(GroupReports, OrdersOfAnotherGroupAreNotUnpacked)
{
	skh_map_cache_t cache = {};

	EXPECT_EQ(send_order("a", "b", &cache), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(send_order("", "b", &cache), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(send_order("a", "", &cache), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(send_order("", "", &cache), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(skh_map_cache_find(&cache, 7), nullptr)
		<< "a rejected map is a base for differences";
	EXPECT_EQ(send_order("b", "b", &cache), 200);
	skh_map_cache_clear(&cache);
}
