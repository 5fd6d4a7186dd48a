// Groups of 1 to 1,024 ranks: planning, map changes, the coordinator's view and the relay's maps are
// sized by the group. Guards against groups that are ignored because of their size.
#include "count_reporter.h"
#include "dialect.h"
#include "groupview.h"
#include "mapchange.h"
#include "mapplan.h"
#include "rankrelay.h"
#include "zipf.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <random>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;
constexpr uint32_t kSlots = 3;
constexpr uint32_t kSets = 2;
const uint32_t kGroupSizes[] = { 1, 2, 12, 32, 64, 65, 72, 129, 257, 1024 };

skh_engine_spec_t make_spec(uint32_t n_ranks)
{
	skh_engine_spec_t spec = {};

	spec.expert_sets = kSets;
	spec.experts_per_set = 2 * n_ranks;
	spec.slots_per_rank = kSlots;
	spec.max_new_experts = 2;
	return spec;
}

std::vector<uint32_t> make_first_map(const skh_engine_spec_t &spec, uint32_t n_ranks)
{
	std::vector<uint32_t> map(static_cast<size_t>(kSets) * n_ranks * kSlots);

	for (uint32_t set = 0; set < kSets; set++) {
		for (uint32_t expert = 0; expert < spec.experts_per_set; expert++)
			map[(static_cast<size_t>(set) * n_ranks + expert % n_ranks) * kSlots +
			    expert / n_ranks] = expert + 1;
	}
	return map;
}

std::vector<double> make_shares(const skh_engine_spec_t &spec, uint32_t seed)
{
	std::vector<double> shares;

	for (uint32_t set = 0; set < kSets; set++) {
		std::vector<double> set_shares = zipf(spec.experts_per_set, 0.9, seed + set);

		shares.insert(shares.end(), set_shares.begin(), set_shares.end());
	}
	return shares;
}

// Computes the skew from its definition, one expert and rank after the other.
double compute_naive_skew(const skh_engine_spec_t &spec, uint32_t n_ranks,
			  const std::vector<double> &shares, const std::vector<uint32_t> &map)
{
	double sum = 0.0;

	for (uint32_t set = 0; set < kSets; set++) {
		const uint32_t *rows = map.data() + static_cast<size_t>(set) * n_ranks * kSlots;
		std::vector<uint32_t> n_replicas(spec.experts_per_set);
		double max_load = 0.0;

		for (uint32_t i = 0; i < n_ranks * kSlots; i++) {
			if (rows[i] > 0)
				n_replicas[rows[i] - 1]++;
		}
		for (uint32_t rank = 0; rank < n_ranks; rank++) {
			double load = 0.0;

			for (uint32_t i = 0; i < kSlots; i++) {
				uint32_t content = rows[rank * kSlots + i];

				if (content > 0)
					load += shares[set * spec.experts_per_set + content - 1] /
						n_replicas[content - 1];
			}
			max_load = std::max(max_load, load);
		}
		sum += max_load * n_ranks;
	}
	return sum / kSets;
}

// A group whose ranks carry out each order and report it 20 ms later; every fifth order is lost.
class Group
{
      public:
	explicit Group(uint32_t n_ranks) : random(n_ranks), reports(n_ranks)
	{
		skh_mapchange_options_t options = {};

		options.n_ranks = n_ranks;
		options.own_rank = n_ranks / 2;
		options.proxy_rank = (n_ranks / 2 + 1) % n_ranks;
		options.epoch = 1;
		options.version = 7;
		options.fence = 7;
		for (uint32_t rank = 0; rank < n_ranks; rank++) {
			reports[rank].rank = rank;
			reports[rank].epoch = 1;
			reports[rank].pass = 100;
		}
		skh_mapchange_init(&change, &options, now_us);
		send_reports();
	}
	~Group()
	{
		skh_mapchange_clear(&change);
	}
	Group(const Group &) = delete;
	Group &operator=(const Group &) = delete;

	void run(int64_t until_us)
	{
		while (now_us < until_us && change.phase != SKH_MAPCHANGE_DONE &&
		       change.phase != SKH_MAPCHANGE_FAILED) {
			now_us += 20 * kMs;
			start_pass();
			send_reports();
			skh_mapchange_tick(&change, now_us);
			send_orders();
		}
	}

	skh_mapchange_t change = {};
	bool has_mixed_maps = false;

      private:
	void start_pass()
	{
		for (const skh_engine_report_t &report : reports) {
			if (report.held_pass == reports[0].pass + 1)
				return;
		}
		for (skh_engine_report_t &report : reports) {
			report.pass++;
			if (report.armed_version != 0 && report.pass == change.switch_pass)
				report.map_version = report.armed_version;
		}
		for (const skh_engine_report_t &report : reports)
			has_mixed_maps =
				has_mixed_maps || report.map_version != reports[0].map_version;
	}

	void send_reports()
	{
		for (uint32_t rank = 0; rank < reports.size(); rank++)
			skh_mapchange_record_report(&change, rank, &reports[rank], now_us);
	}

	void send_orders()
	{
		skh_mapchange_order_t order;

		for (uint32_t rank = 0; rank < reports.size(); rank++) {
			if (!skh_mapchange_next_order(&change, rank, now_us, &order))
				continue;
			bool is_lost = random() % 5 == 0;

			if (!is_lost)
				carry_out(&reports[rank], order);
			skh_mapchange_record_result(&change, rank,
						    is_lost ? SKH_MAPCHANGE_ORDER_NO_RESPONSE
							    : SKH_MAPCHANGE_ORDER_ACCEPTED,
						    now_us);
		}
		skh_mapchange_record_proxy_probe(&change, now_us);
	}

	static void carry_out(skh_engine_report_t *report, const skh_mapchange_order_t &order)
	{
		if (order.op == SKH_ENGINE_PREPARE)
			report->prepared_version = order.map_version;
		else if (order.op == SKH_ENGINE_ARM)
			report->armed_version = order.map_version;
		else if (order.op == SKH_ENGINE_HOLD)
			report->held_pass = order.pass;
		else if (order.op == SKH_ENGINE_RELEASE)
			report->held_pass = 0;
	}

	std::mt19937 random;
	std::vector<skh_engine_report_t> reports;
	int64_t now_us = 0;
};

// A view of a group and the reports that its ranks' processes send.
class View
{
      public:
	explicit View(const skh_engine_spec_t &spec)
	{
		skh_error_t err = {};

		uv_loop_init(&loop);
		pool_options.attempt_id_header = "";
		pool_options.connect_timeout_us = 100 * kMs;
		pool_options.max_idle_connections = 1;
		options.loop = &loop;
		options.dialect = skh_dialect_find("fleet", &err);
		options.pool_options = &pool_options;
		options.group = "g0";
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

	bool record(uint32_t rank, uint32_t n_ranks, const std::vector<uint32_t> &rank_map)
	{
		Skh__RankReport message = SKH__RANK_REPORT__INIT;
		std::string engine = "127.0.0.1:" + std::to_string(1024 + rank);

		message.service = const_cast<char *>("model");
		message.group = const_cast<char *>("g0");
		message.engine = const_cast<char *>(engine.c_str());
		message.relay = const_cast<char *>(engine.c_str());
		message.rank = rank;
		message.size = n_ranks;
		message.open = 1;
		message.epoch = 1;
		message.pace = 1.0;
		message.sender = 1000 + rank;
		message.number = ++number;
		message.map_known = 1;
		message.map = const_cast<uint32_t *>(rank_map.data());
		message.n_map = rank_map.size();
		return skh_groupview_record_report(&view, &message, rank == 0, kMs);
	}

	skh_groupview_t view;

      private:
	uv_loop_t loop;
	skh_upstream_pool_options_t pool_options = {};
	skh_groupview_options_t options = {};
	uint64_t number = 0;
};

} // namespace

TEST(GroupSize, PlansAreValidAndReduceTheSkew)
{
	for (uint32_t n_ranks : kGroupSizes) {
		for (bool greedy_only : { true, false }) {
			const skh_engine_spec_t spec = make_spec(n_ranks);
			std::vector<uint32_t> map = make_first_map(spec, n_ranks);
			std::vector<double> shares = make_shares(spec, n_ranks);
			skh_mapplan_options_t options = {};
			skh_mapplan_result_t result;

			options.greedy_only = greedy_only;
			options.greedy_target_skew = 1.2;
			options.skew_weight = 1.0;
			options.copy_cost = 0.006;
			options.max_copies_per_rank = 4;
			EXPECT_NEAR(skh_mapplan_skew(&spec, n_ranks, shares.data(), nullptr,
						     map.data()),
				    compute_naive_skew(spec, n_ranks, shares, map), 1e-9);
			skh_mapplan_compute(&spec, n_ranks, &options, shares.data(), map.data(),
					    &result);
			ASSERT_TRUE(skh_mapplan_is_valid(&spec, n_ranks, map.data())) << n_ranks;
			EXPECT_NEAR(result.skew_after,
				    compute_naive_skew(spec, n_ranks, shares, map), 1e-9);
			EXPECT_LE(result.skew_after, result.skew_before + 1e-9);
			EXPECT_LE(result.max_copies_per_rank, 4U);
			if (n_ranks >= 12) {
				EXPECT_LT(result.skew_after, 0.7 * result.skew_before) << n_ranks;
			}
		}
	}
}

TEST(GroupSize, MapChangesAtOnceOnAllRanks)
{
	for (uint32_t n_ranks : kGroupSizes) {
		Group group(n_ranks);

		group.run(20000 * kMs);
		EXPECT_EQ(group.change.phase, SKH_MAPCHANGE_DONE)
			<< n_ranks << " ranks: " << (group.change.cause ? group.change.cause : "");
		EXPECT_FALSE(group.has_mixed_maps) << n_ranks;
	}
}

TEST(GroupSize, ViewIsCompleteOnceAllRanksHaveReported)
{
	for (uint32_t n_ranks : kGroupSizes) {
		skh_engine_spec_t spec = make_spec(n_ranks);
		std::vector<uint32_t> rank_map(kSets * kSlots);

		/* Each slot has an expert of its own. */
		spec.experts_per_set = n_ranks * kSlots + kSets * kSlots;
		View view(spec);

		for (uint32_t rank = 0; rank < n_ranks; rank++) {
			ASSERT_FALSE(skh_groupview_is_complete(&view.view, kMs)) << n_ranks;
			for (uint32_t i = 0; i < rank_map.size(); i++)
				rank_map[i] = rank * kSlots + i + 1;
			ASSERT_TRUE(view.record(rank, n_ranks, rank_map));
		}
		EXPECT_TRUE(skh_groupview_is_complete(&view.view, kMs)) << n_ranks;
		EXPECT_EQ(view.view.map[(static_cast<size_t>(n_ranks) + n_ranks - 1) * kSlots],
			  (n_ranks - 1) * kSlots + kSlots + 1);
	}
}

TEST(GroupSize, ViewFollowsAGroupThatGrowsAndShrinks)
{
	const skh_engine_spec_t spec = make_spec(65);
	const std::vector<uint32_t> rank_map = { 1, 2, 3, 3, 1, 2 };
	View view(spec);

	for (uint32_t n_ranks : { 3U, 65U, 2U, 129U, 1U }) {
		for (uint32_t rank = n_ranks; rank-- > 0;)
			ASSERT_TRUE(view.record(rank, n_ranks, rank_map));
		EXPECT_EQ(view.view.n_ranks, n_ranks);
		EXPECT_TRUE(skh_groupview_is_complete(&view.view, kMs)) << n_ranks;
	}
}

// A report of 32 sets of 512 experts takes 8 KB, more than the budget usually holds.
TEST(GroupSize, CountsOfManyExpertsAreReportedAgainAndAgain)
{
	skh_engine_spec_t spec = make_spec(256);

	spec.expert_sets = 32;
	spec.experts_per_set = 512;
	std::vector<double> counts(32 * 512, 1.0);
	skh_count_reporter_t *reporter = skh_count_reporter_new(&spec, 1500, 1);
	int n_reports = 0;

	for (int64_t now_us = 1000 * kMs; now_us < 61000 * kMs; now_us += 100 * kMs) {
		const skh_demand_sample_t sample = { counts.data(), 1, now_us / kMs - 100,
						     now_us / kMs };

		(void)skh_count_reporter_add_sample(reporter, &sample, now_us);
		if (!skh_count_reporter_is_due(reporter, now_us))
			continue;
		skh_count_reporter_record_sent(reporter, 8400, true, now_us);
		n_reports++;
	}
	EXPECT_GE(n_reports, 9); // one each 5.6 s within 1,500 B/s
	EXPECT_LE(n_reports, 12);
	skh_count_reporter_free(reporter);
}

TEST(GroupSize, ReportsOutOfBoundsAreIgnored)
{
	const skh_engine_spec_t spec = make_spec(4);
	const std::vector<uint32_t> rank_map(kSets * kSlots, 1);
	View view(spec);

	EXPECT_FALSE(view.record(0, 0, rank_map));
	EXPECT_FALSE(view.record(4, 4, rank_map));
	EXPECT_FALSE(view.record(0, SKH_GROUPVIEW_MAX_RANKS + 1, rank_map));
	EXPECT_FALSE(view.record(0, UINT32_MAX, rank_map));
	EXPECT_EQ(view.view.n_ranks, 0U);
	EXPECT_TRUE(view.record(3, 4, rank_map));
}
