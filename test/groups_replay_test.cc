// Replays in virtual time of 1, 2, 3 and 22 groups of 32 ranks of one service: demand shifts, late
// and lost orders, and servers that restart into another group. Guards against groups that mix
// expert maps, that stay on a map that does not fit demand, or whose processes exchange more
// messages the more groups there are. The same replay with one coordinator for the whole service,
// as before groups had an identity, shows that the check can fail.
#include "count_reporter.h"
#include "dialect.h"
#include "engine_client.h"
#include "groupview.h"
#include "mapchange.h"
#include "mapplan.h"
#include "zipf.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;
constexpr int64_t kTickUs = 5 * kMs;
constexpr uint32_t kRanks = 32;
constexpr uint32_t kSets = 2;
constexpr uint32_t kSlots = 3;
constexpr uint32_t kExperts = 2 * kRanks;
constexpr double kChoices = 800.0;	   // of experts, in a set, rank and pass
constexpr int64_t kFirstChangeUs = 2 * kS; // of demand; then each 3 s
constexpr uint32_t kMoves = 8;
constexpr int64_t kMovesUs = 6 * kS; // when servers restart in the other group

enum class Policy {
	kGroup,	  // as implemented
	kNoCheck, // fault: relays and engines take orders of any group
	kService  // fault: one coordinator for the service, as before groups had an identity
};

struct Slot {
	uint32_t group;
	uint32_t rank;
};

// A server with the process beside it.
struct Server {
	std::string address;
	Slot slot;  // where the engine is
	Slot known; // what its process knows
	skh_engine_report_t report = {};
	std::vector<uint32_t> map, prepared_map; // complete maps
	int64_t fence = 0;
	int64_t highest_version = 0;
	int64_t copies_ready_us = 0;
	int64_t armed_pass = 0;
	int64_t known_since_us = 0;
	skh_count_reporter_t *counts = nullptr;
	skh_engine_report_t sent = {};
	int64_t next_heartbeat_us = 0;
	uint64_t n_reports = 0;
	int64_t n_messages = 0;
};

struct Group {
	std::vector<Server *> ranks;
	std::vector<double> shares;
	int64_t pass = 1;
	int64_t epoch = 1;
	int64_t next_pass_us = 0;
	int64_t n_mixed = 0;
	int64_t held_us = 0;
	double skew_sum = 0.0;
	int64_t n_passes = 0;
};

struct Order {
	int64_t at_us;
	Server *server;
	std::string group;
	skh_mapchange_order_t order;
	std::vector<uint32_t> map;
	class Coordinator *sender;
	uint64_t change_number;
	uint32_t rank;
	bool has_response;
};

std::vector<uint32_t> make_first_map()
{
	std::vector<uint32_t> map(kSets * kRanks * kSlots);

	for (uint32_t set = 0; set < kSets; set++) {
		for (uint32_t expert = 0; expert < kExperts; expert++)
			map[(set * kRanks + expert % kRanks) * kSlots + expert / kRanks] =
				expert + 1;
	}
	return map;
}

skh_engine_spec_t make_spec()
{
	skh_engine_spec_t spec = {};

	spec.expert_sets = kSets;
	spec.experts_per_set = kExperts;
	spec.slots_per_rank = kSlots;
	spec.max_new_experts = kSlots;
	return spec;
}

class Replay;

// The process of one server that holds the lease; decides as coordinator.c, in short.
class Coordinator
{
      public:
	Coordinator(Replay *replay, Server *server, const std::string &group, int64_t fence);
	~Coordinator()
	{
		skh_groupview_clear(&view);
		skh_mapchange_clear(&change);
		skh_demand_free(demand);
	}
	Coordinator(const Coordinator &) = delete;
	Coordinator &operator=(const Coordinator &) = delete;

	void tick();
	void record(const Skh__RankReport &message, const skh_demand_sample_t *sample, bool is_own);
	void record_result(const Order &order, skh_mapchange_order_result_t result);

	Replay *replay;
	Server *server;
	std::string group;
	int64_t n_done = 0;
	uint64_t change_number = 0;

      private:
	void decide();
	void send_orders();

	skh_groupview_t view;
	skh_demand_t *demand;
	skh_mapchange_t change = {};
	bool is_changing = false;
	bool needs_repair = false;
	int64_t fence; // the first group's lease is the newest
	int64_t next_plan_us = 0;
};

class Replay
{
      public:
	Replay(uint32_t n_groups, Policy policy, int64_t moves_us, uint32_t late_percent)
	    : policy(policy), moves_us(moves_us), late_percent(late_percent), groups(n_groups),
	      random(n_groups)
	{
		skh_error_t err = {};

		uv_loop_init(&loop);
		pool_options.attempt_id_header = "";
		pool_options.max_idle_connections = 1;
		dialect = skh_dialect_find("fleet", &err);
		for (uint32_t g = 0; g < n_groups; g++) {
			// Servers of the first group move to the epoch that they have left.
			groups[g].epoch = policy == Policy::kService ? 1 : 2 - g % 2;
			for (uint32_t rank = 0; rank < kRanks; rank++)
				add_server(g, rank);
		}
		change_demand();
		for (uint32_t g = 0; g < (policy == Policy::kService ? 1 : n_groups); g++)
			coordinators.push_back(std::make_unique<Coordinator>(
				this, groups[g].ranks[0], group_name(g),
				1 + 1000 * (n_groups - g)));
	}
	~Replay()
	{
		coordinators.clear();
		for (auto &server : servers)
			skh_count_reporter_free(server->counts);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
	}
	Replay(const Replay &) = delete;
	Replay &operator=(const Replay &) = delete;

	void run(int64_t until_us)
	{
		int64_t next_change_us = kFirstChangeUs;

		for (; now_us < until_us; now_us += kTickUs) {
			if (now_us >= next_change_us) {
				change_demand();
				next_change_us += 3 * kS;
			}
			if (now_us == moves_us && groups.size() > 1)
				swap_servers();
			deliver_orders();
			for (Group &group : groups)
				run_group(group);
			for (auto &server : servers)
				run_process(*server);
			for (auto &coordinator : coordinators)
				coordinator->tick();
		}
	}

	std::string group_name(uint32_t g) const
	{
		return policy == Policy::kService ? "service" : "g" + std::to_string(g);
	}

	int64_t max_messages_per_s() const
	{
		int64_t most = 0;

		for (const auto &server : servers)
			most = std::max(most, server->n_messages);
		return most * kS / now_us;
	}

	Policy policy;
	int64_t moves_us;
	uint32_t late_percent;
	int64_t now_us = 0;
	std::vector<Group> groups;
	std::vector<std::unique_ptr<Server>> servers;
	std::vector<std::unique_ptr<Coordinator>> coordinators;
	std::deque<Order> orders;
	std::map<std::string, Server *> by_address;
	std::mt19937 random;
	int64_t n_foreign_orders = 0;
	uv_loop_t loop;
	skh_upstream_pool_options_t pool_options = {};
	const skh_dialect_t *dialect;
	const skh_engine_spec_t spec = make_spec();

      private:
	void add_server(uint32_t g, uint32_t rank)
	{
		auto server = std::make_unique<Server>();

		server->address = "10.0." + std::to_string(g) + "." + std::to_string(rank) + ":80";
		server->counts = skh_count_reporter_new(&spec, 1500, g * 1000 + rank);
		by_address[server->address] = server.get();
		groups[g].ranks.push_back(server.get());
		place(*server, { g, rank });
		server->known = server->slot;
		servers.push_back(std::move(server));
	}

	// Starts the engine as this rank.
	void place(Server &server, Slot slot)
	{
		server.slot = slot;
		server.report = {};
		server.report.rank = slot.rank;
		server.report.group_size = kRanks;
		server.report.epoch = groups[slot.group].epoch;
		server.report.is_group_open = true;
		server.map = make_first_map();
		server.fence = 0;
		server.highest_version = 0;
		server.known_since_us = now_us + 150 * kMs; // the next poll
	}

	// Some ranks of the first two groups swap. Both groups form anew, the second
	// with the epoch that the first had.
	void swap_servers()
	{
		for (uint32_t rank = 3; rank < 3 + kMoves; rank++)
			std::swap(groups[0].ranks[rank], groups[1].ranks[rank + 2]);
		for (uint32_t g : { 0U, 1U }) {
			groups[g].epoch++;
			groups[g].pass = 1;
			groups[g].next_pass_us = now_us + 300 * kMs;
			for (uint32_t rank = 0; rank < kRanks; rank++)
				place(*groups[g].ranks[rank], { g, rank });
		}
	}

	void change_demand()
	{
		for (Group &group : groups) {
			group.shares.clear();
			for (uint32_t set = 0; set < kSets; set++) {
				std::vector<double> shares = zipf(kExperts, 1.0, random());

				group.shares.insert(group.shares.end(), shares.begin(),
						    shares.end());
			}
		}
	}

	void run_group(Group &group)
	{
		bool is_held = false;

		for (const Server *server : group.ranks)
			is_held = is_held || server->report.held_pass == group.pass + 1;
		if (now_us < group.next_pass_us)
			return;
		if (is_held) {
			group.held_us += kTickUs;
			return;
		}
		group.pass++;
		for (Server *server : group.ranks) {
			server->report.pass = group.pass;
			if (server->report.armed_version == 0 || server->armed_pass != group.pass)
				continue;
			server->report.map_version = server->report.armed_version;
			server->map = server->prepared_map;
			server->report.armed_version = 0;
			server->report.prepared_version = 0;
		}
		finish_pass(group);
	}

	void finish_pass(Group &group)
	{
		const Server &first = *group.ranks[0];
		bool is_mixed = false;
		double skew;

		for (const Server *server : group.ranks)
			is_mixed = is_mixed || server->map != first.map ||
				   server->report.map_version != first.report.map_version;
		skew = skh_mapplan_skew(&spec, kRanks, group.shares.data(), nullptr,
					first.map.data());
		group.n_mixed += is_mixed;
		group.n_passes++;
		group.skew_sum += skew;
		group.next_pass_us = now_us + static_cast<int64_t>(skew * 40 * kMs);
		for (Server *server : group.ranks)
			count(*server, group);
	}

	void count(Server &server, const Group &group)
	{
		std::vector<double> counts(group.shares);

		for (double &value : counts)
			value *= kChoices;
		const skh_demand_sample_t sample = { counts.data(), group.epoch, group.pass - 1,
						     group.pass };

		(void)skh_count_reporter_add_sample(server.counts, &sample, now_us);
	}

	Coordinator *coordinator_of(Slot slot)
	{
		return coordinators[policy == Policy::kService ? 0 : slot.group].get();
	}

	void run_process(Server &server)
	{
		if (now_us >= server.known_since_us)
			server.known = server.slot;
		if (server.report.prepared_version == 0 && !server.prepared_map.empty() &&
		    server.highest_version > server.report.map_version &&
		    now_us >= server.copies_ready_us)
			server.report.prepared_version = server.highest_version;

		Coordinator *coordinator = coordinator_of(server.known);
		bool is_own = coordinator->server == &server;
		bool with_counts = skh_count_reporter_is_due(server.counts, now_us);
		bool is_changed = memcmp(&server.sent.map_version, &server.report.map_version,
					 sizeof(int64_t) * 4) != 0 ||
				  server.sent.epoch != server.report.epoch;

		if (!is_own && !with_counts && !is_changed && now_us < server.next_heartbeat_us)
			return;
		send_report(server, coordinator, is_own, with_counts);
	}

	void send_report(Server &server, Coordinator *coordinator, bool is_own, bool with_counts)
	{
		const skh_engine_report_t &report = server.report;
		std::string group = group_name(server.known.group);
		Skh__RankReport message = SKH__RANK_REPORT__INIT;
		std::vector<uint32_t> map;

		for (uint32_t set = 0; set < kSets; set++) {
			auto first = server.map.begin() + (set * kRanks + report.rank) * kSlots;

			map.insert(map.end(), first, first + kSlots);
		}
		message.group = const_cast<char *>(group.c_str());
		message.engine = const_cast<char *>(server.address.c_str());
		message.relay = message.engine;
		message.rank = server.known.rank;
		message.size = kRanks;
		message.open = 1;
		message.epoch = report.epoch;
		message.pass = report.pass;
		message.map_version = report.map_version;
		message.prepared = report.prepared_version;
		message.armed = report.armed_version;
		message.held = report.held_pass;
		message.pace = 1.0;
		message.sender = std::hash<std::string>()(server.address);
		message.number = ++server.n_reports;
		message.map_known = 1;
		message.map = map.data();
		message.n_map = map.size();
		coordinator->record(message,
				    with_counts ? skh_count_reporter_pending_sample(server.counts)
						: nullptr,
				    is_own);
		if (with_counts)
			skh_count_reporter_record_sent(server.counts, 300, true, now_us);
		server.sent = report;
		server.next_heartbeat_us = now_us + 500 * kMs;
		server.n_messages += !is_own;
		coordinator->server->n_messages += !is_own;
	}

	void deliver_orders()
	{
		std::vector<Order> due;

		for (auto order = orders.begin(); order != orders.end();) {
			if (order->at_us > now_us) {
				++order;
				continue;
			}
			due.push_back(*order);
			order = orders.erase(order);
		}
		for (const Order &order : due) {
			skh_mapchange_order_result_t result = carry_out(order);

			if (order.has_response)
				order.sender->record_result(order, result);
		}
	}

	// What the relay and then the engine do with an order.
	skh_mapchange_order_result_t carry_out(const Order &arrived)
	{
		Server &server = *arrived.server;
		skh_engine_report_t &report = server.report;
		const skh_mapchange_order_t &order = arrived.order;

		server.n_messages++;
		if (arrived.group != group_name(server.slot.group)) {
			n_foreign_orders++;
			if (policy != Policy::kNoCheck)
				return SKH_MAPCHANGE_ORDER_CONFLICT;
		}
		if (order.epoch != report.epoch)
			return SKH_MAPCHANGE_ORDER_CONFLICT;
		if (order.fence < server.fence)
			return SKH_MAPCHANGE_ORDER_FENCED;
		server.fence = order.fence;
		switch (order.op) {
		case SKH_ENGINE_PREPARE:
			if (report.armed_version != 0 || order.map_version < server.highest_version)
				return SKH_MAPCHANGE_ORDER_CONFLICT;
			if (order.map_version > server.highest_version) {
				report.prepared_version = 0;
				server.highest_version = order.map_version;
				server.prepared_map = arrived.map;
				server.copies_ready_us = now_us + 50 * kMs;
			}
			break;
		case SKH_ENGINE_ARM:
			if (report.prepared_version != order.map_version ||
			    order.pass <= report.pass)
				return SKH_MAPCHANGE_ORDER_CONFLICT;
			report.armed_version = order.map_version;
			server.armed_pass = order.pass;
			break;
		case SKH_ENGINE_DISARM:
			report.armed_version = 0;
			break;
		case SKH_ENGINE_HOLD:
			if (order.pass <= report.pass)
				return SKH_MAPCHANGE_ORDER_CONFLICT;
			report.held_pass = order.pass;
			break;
		case SKH_ENGINE_RELEASE:
			report.held_pass = 0;
			break;
		}
		return SKH_MAPCHANGE_ORDER_ACCEPTED;
	}
};

Coordinator::Coordinator(Replay *replay, Server *server, const std::string &group, int64_t fence)
    : replay(replay), server(server), group(group), fence(fence)
{
	skh_groupview_options_t options = {};

	options.loop = &replay->loop;
	options.dialect = replay->dialect;
	options.pool_options = &replay->pool_options;
	options.group = group.c_str();
	options.on_rank_state = [](void *context, uint32_t rank, int64_t, int64_t now_us) {
		auto *self = static_cast<Coordinator *>(context);

		if (self->is_changing)
			skh_mapchange_record_report(&self->change, rank,
						    &self->view.ranks[rank].report, now_us);
	};
	options.context = this;
	skh_groupview_init(&view, &options, &replay->spec);
	demand = skh_demand_new(&replay->spec);
}

void Coordinator::record(const Skh__RankReport &message, const skh_demand_sample_t *sample,
			 bool is_own)
{
	if (!skh_groupview_record_report(&view, &message, is_own, replay->now_us))
		return;
	if (sample)
		(void)skh_demand_add_sample(demand, sample, replay->now_us);
}

void Coordinator::record_result(const Order &order, skh_mapchange_order_result_t result)
{
	if (is_changing && order.change_number == change_number)
		skh_mapchange_record_result(&change, order.rank, result, replay->now_us);
}

void Coordinator::tick()
{
	if (is_changing) {
		skh_mapchange_record_proxy_probe(&change, replay->now_us - 2 * kMs);
		skh_mapchange_tick(&change, replay->now_us);
		send_orders();
		if (change.phase == SKH_MAPCHANGE_DONE)
			skh_groupview_adopt_next_map(&view, change.switch_pass, replay->now_us);
		n_done += change.phase == SKH_MAPCHANGE_DONE;
		needs_repair = change.phase == SKH_MAPCHANGE_FAILED && change.held_since_us != 0;
		is_changing =
			change.phase != SKH_MAPCHANGE_DONE && change.phase != SKH_MAPCHANGE_FAILED;
	} else if (replay->now_us >= next_plan_us &&
		   skh_groupview_is_complete(&view, replay->now_us)) {
		decide();
	}
}

void Coordinator::decide()
{
	skh_mapplan_options_t options = {};
	skh_mapplan_result_t plan = {};
	skh_mapchange_options_t change_options = {};
	bool must_repair = needs_repair || skh_groupview_is_held_too_long(&view, replay->now_us);

	next_plan_us = replay->now_us + 60 * kMs;
	std::copy(view.map, view.map + skh_groupview_map_size(&view), view.next_map);
	if (skh_demand_has_enough_counts(demand, replay->now_us)) {
		options.greedy_only = true;
		options.greedy_target_skew = 1.08;
		options.skew_weight = 1.0;
		options.copy_cost = 0.006;
		options.max_copies_per_rank = 4;
		skh_mapplan_compute(&replay->spec, kRanks, &options, skh_demand_shares(demand),
				    view.next_map, &plan);
	}
	if (!skh_mapplan_is_valid(&replay->spec, kRanks, view.next_map) ||
	    (!must_repair && plan.skew_before - plan.skew_after < 0.15))
		return;
	fence += SKH_MAPCHANGE_MAX_FENCES;
	change_options.n_ranks = kRanks;
	change_options.own_rank = view.own_rank;
	change_options.proxy_rank = (view.own_rank + 1) % kRanks;
	change_options.epoch = view.ranks[view.own_rank].report.epoch;
	change_options.version = fence;
	change_options.fence = fence;
	skh_mapchange_init(&change, &change_options, replay->now_us);
	view.next_epoch = change_options.epoch;
	view.next_version = fence;
	view.switch_pass = 0;
	is_changing = true;
	change_number++;
	for (uint32_t rank = 0; rank < kRanks; rank++)
		skh_mapchange_record_report(&change, rank, &view.ranks[rank].report,
					    replay->now_us);
}

// One order in 100 is lost, and some are carried out 700 ms late; both have no response.
void Coordinator::send_orders()
{
	skh_mapchange_order_t order;

	for (uint32_t rank = 0; rank < kRanks; rank++) {
		uint32_t fault = replay->random() % 100;

		if (!skh_mapchange_next_order(&change, rank, replay->now_us, &order))
			continue;
		server->n_messages++;
		bool is_late = fault != 0 && fault <= replay->late_percent;

		if (fault == 0 || is_late)
			skh_mapchange_record_result(&change, rank, SKH_MAPCHANGE_ORDER_NO_RESPONSE,
						    replay->now_us);
		if (fault == 0)
			continue;
		replay->orders.push_back(
			{ replay->now_us + (is_late ? 700 * kMs : 5 * kMs),
			  replay->by_address[skh_engine_client_address(view.ranks[rank].engine)],
			  group, order,
			  std::vector<uint32_t>(view.next_map,
						view.next_map + skh_groupview_map_size(&view)),
			  this, change_number, rank, !is_late });
	}
}

struct Figures {
	int64_t n_mixed = 0;
	double worst_skew = 0.0; // of the groups' means over passes
	double worst_held_ratio = 0.0;
	int64_t least_changes = INT64_MAX;
	int64_t messages_per_s = 0; // of the busiest process
	int64_t n_foreign_orders = 0;
};

Figures replay(uint32_t n_groups, Policy policy, int64_t moves_us = kMovesUs,
	       uint32_t late_percent = 1)
{
	Replay replay(n_groups, policy, moves_us, late_percent);
	Figures figures;

	replay.run(12 * kS);
	for (const Group &group : replay.groups) {
		figures.n_mixed += group.n_mixed;
		figures.worst_skew = std::max(figures.worst_skew,
					      group.skew_sum / static_cast<double>(group.n_passes));
		figures.worst_held_ratio = std::max(figures.worst_held_ratio,
						    static_cast<double>(group.held_us) /
							    static_cast<double>(replay.now_us));
	}
	for (const auto &coordinator : replay.coordinators)
		figures.least_changes = std::min(figures.least_changes, coordinator->n_done);
	figures.n_foreign_orders = replay.n_foreign_orders;
	figures.messages_per_s = replay.max_messages_per_s();
	std::printf("%u groups, %s: mixed=%ld skew=%.2f held=%.3f changes=%ld messages/s=%ld "
		    "foreign_orders=%ld\n",
		    n_groups,
		    policy == Policy::kGroup	 ? "by group"
		    : policy == Policy::kNoCheck ? "unchecked"
						 : "by service",
		    static_cast<long>(figures.n_mixed), figures.worst_skew,
		    figures.worst_held_ratio, static_cast<long>(figures.least_changes),
		    static_cast<long>(figures.messages_per_s),
		    static_cast<long>(replay.n_foreign_orders));
	return figures;
}

} // namespace

TEST(GroupsReplay, EachGroupFollowsItsDemand)
{
	const Figures one = replay(1, Policy::kGroup);

	for (uint32_t n_groups : { 1U, 2U, 3U, 22U }) {
		const Figures figures = n_groups == 1 ? one : replay(n_groups, Policy::kGroup);

		EXPECT_EQ(figures.n_mixed, 0) << n_groups;
		EXPECT_GE(figures.least_changes, 4) << n_groups; // one for each demand, at least
		EXPECT_LT(figures.worst_skew, 1.5) << n_groups;
		EXPECT_LT(figures.worst_held_ratio, 0.05) << n_groups;
		EXPECT_LT(figures.messages_per_s, one.messages_per_s * 1.5) << n_groups;
	}
}

TEST(GroupsReplay, OneCoordinatorForTheServiceMixesMaps)
{
	EXPECT_GT(replay(2, Policy::kService).n_mixed, 0);
}

// Late orders of a change in progress reach a server that is in the other group by then. Their fence
// is higher than that of the server's new coordinator, which could not change the map any more.
TEST(GroupsReplay, LateOrdersOfTheFormerGroupChangeNothing)
{
	Figures checked;
	Figures unchecked;

	for (int64_t moves_us = 5 * kS + 100 * kMs; moves_us < 5 * kS + 400 * kMs;
	     moves_us += 30 * kMs) {
		for (Policy policy : { Policy::kGroup, Policy::kNoCheck }) {
			Figures &worst = policy == Policy::kGroup ? checked : unchecked;
			const Figures figures = replay(2, policy, moves_us, 30);

			worst.n_mixed += figures.n_mixed;
			worst.n_foreign_orders += figures.n_foreign_orders;
			worst.worst_skew = std::max(worst.worst_skew, figures.worst_skew);
			worst.least_changes = std::min(worst.least_changes, figures.least_changes);
		}
	}
	EXPECT_GT(checked.n_foreign_orders, 0);
	EXPECT_EQ(checked.n_mixed, 0);
	EXPECT_GE(checked.least_changes, 4);
	EXPECT_GT(unchecked.n_foreign_orders, 0);
	EXPECT_LT(unchecked.least_changes, 4) << "the replay would not find a missing check";
}
