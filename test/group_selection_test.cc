// Selection of a lock-step group and of a rank in it. Guards against work for an unhealthy group
// while another has capacity, and against a service of one group that is served differently than
// before gateways knew of groups.
#include "backends.h"
#include "clock.h"
#include "group_selection.h"
#include "pool_groups.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;

// --- Pure selection ---

struct Choice {
	std::vector<skh_candidate_t> servers;
	std::vector<uint32_t> group_of;
	std::vector<skh_group_candidate_t> groups;
	uint64_t random = 0;
	skh_server_share_t share = {};

	void add_group(uint32_t n_servers, uint32_t running)
	{
		skh_group_candidate_t group = {};

		group.is_joint = group.is_ready = group.can_send = true;
		for (uint32_t i = 0; i < n_servers; i++) {
			skh_candidate_t server = {};

			server.slots = 10;
			server.running = running;
			server.slowdown = 1.0;
			servers.push_back(server);
			group_of.push_back(static_cast<uint32_t>(groups.size()));
		}
		groups.push_back(group);
	}
	skh_group_selection_input_t view() const
	{
		skh_group_selection_input_t view = {};

		view.servers.candidates = servers.data();
		view.servers.n_candidates = static_cast<uint32_t>(servers.size());
		view.servers.is_lock_step = true;
		view.servers.overcommit = 1;
		view.servers.random = random;
		view.servers.now_us = kS;
		view.servers.share = share;
		view.group_of = group_of.data();
		view.groups = groups.data();
		view.n_groups = static_cast<uint32_t>(groups.size());
		view.step_ms = 4.55;
		view.step_ms_per_request = 1.09;
		view.expert_time_ratio = 0.3;
		return view;
	}
	int group() const
	{
		skh_group_selection_input_t input = view();
		int32_t server = skh_group_selection_server(&input);

		return server == SKH_SELECTION_NONE ? -1 : static_cast<int>(group_of[server]);
	}
	int probe() const
	{
		skh_group_selection_input_t input = view();
		int32_t server = skh_group_selection_probe(&input);

		return server == SKH_SELECTION_NONE ? -1 : static_cast<int>(group_of[server]);
	}
};

TEST(GroupSelection, TheGroupWithTheShortestNextPassIsSelected)
{
	Choice t;

	t.add_group(4, 5);
	t.add_group(4, 3);
	EXPECT_EQ(t.group(), 1);
	// The fullest rank decides how long a pass takes, not the mean.
	t.servers[4].running = 9;
	EXPECT_EQ(t.group(), 0);
	// A slow rank makes its group wait, also for its share of the experts without requests.
	t.servers[4].running = 3;
	t.servers[4].slowdown = 12.0;
	EXPECT_EQ(t.group(), 0);
	t.servers[4].running = 0;
	EXPECT_EQ(t.group(), 0);
	// Of equally long passes, the group with fewer requests for each rank.
	t = {};
	t.add_group(4, 3);
	t.add_group(4, 3);
	t.servers[0].running = t.servers[1].running = 2;
	t.servers[4].running = 2;
	EXPECT_EQ(t.group(), 0);
}

TEST(GroupSelection, AnUnhealthyOrFullGroupIsNoReasonToWait)
{
	Choice t;

	t.add_group(4, 8);
	t.add_group(4, 0);
	t.groups[1].is_ready = t.groups[1].can_send = false;
	EXPECT_EQ(t.group(), 0);
	t.groups[1].can_send = true;
	EXPECT_EQ(t.group(), 0) << "a probe for a request that a ready group can take";
	EXPECT_EQ(t.probe(), -1);
	t.groups[1].is_spare_probe_due = true;
	EXPECT_EQ(t.group(), 0);
	EXPECT_EQ(t.probe(), 1);
	for (uint32_t i = 0; i < 4; i++)
		t.servers[i].running = 11;
	EXPECT_EQ(t.group(), 1) << "no ready group can take the request";
	t.groups[1].is_spare_probe_due = false;
	EXPECT_EQ(t.group(), -1);
	t.groups[1].is_ready = true;
	EXPECT_EQ(t.group(), 1);
	t.groups[1].is_at_limit = true;
	EXPECT_EQ(t.group(), -1);
	// All groups unhealthy: each is probed as if it were the only one.
	t.groups[1].is_at_limit = false;
	t.groups[0].is_ready = t.groups[1].is_ready = false;
	EXPECT_EQ(t.group(), 1);
	t.groups[1].can_send = false;
	t.groups[0].can_send = false;
	EXPECT_EQ(t.group(), -1);
	EXPECT_EQ(t.probe(), -1);
	// One has rejected a request as full: its next event is near, so the other is not probed.
	t.groups[0].is_ready = true;
	t.groups[1].can_send = true;
	EXPECT_EQ(t.group(), -1);
}

TEST(GroupSelection, AGroupInWhichTheRequestHasFailedComesLast)
{
	Choice t;

	t.add_group(4, 0);
	t.add_group(4, 6);
	t.groups[0].is_left = true;
	EXPECT_EQ(t.group(), 1);
	for (uint32_t i = 4; i < 8; i++)
		t.servers[i].running = 10;
	EXPECT_EQ(t.group(), 0) << "it has no free slot";
	// A ready group without eligible servers does not hold the others back.
	t.groups[0].is_ready = false;
	t.groups[0].can_send = true;
	for (uint32_t i = 4; i < 8; i++)
		t.servers[i].is_excluded = true;
	EXPECT_EQ(t.group(), 0);
}

// With 22 gateways a gateway knows a few requests of its own only. Four more in one group then
// mean about one more for each of its ranks.
TEST(GroupSelection, WithAShareTheOwnRequestsStandForAll)
{
	Choice t;
	skh_group_selection_input_t view;

	t.share = { 3, 22 };
	t.add_group(24, 0);
	t.add_group(24, 0);
	for (uint32_t i = 0; i < 6; i++)
		t.servers[i].running = 1;
	t.servers[24].running = 2;
	EXPECT_EQ(t.group(), 1);
	view = t.view();
	EXPECT_NEAR(skh_group_selection_pass_ms(&view, 0), 4.55 + 1.09 * (6 * 22 / 24.0 + 1), 1e-9);
	// A slow rank without requests lengthens passes, but not as much as three own requests.
	t.servers[30].slowdown = 12.0;
	EXPECT_EQ(t.group(), 1);
	for (uint32_t i = 0; i < 3; i++)
		t.servers[i].running = 0;
	EXPECT_EQ(t.group(), 0);
	// All slots of the group in use as far as can be told: the other one is selected.
	for (uint32_t i = 0; i < 12; i++)
		t.servers[i].running = 1;
	EXPECT_EQ(t.group(), 1);
}

TEST(GroupSelection, RequestsSpreadOverEqualGroups)
{
	Choice t;
	std::mt19937_64 random(5);
	int in_first = 0;

	t.add_group(8, 1);
	t.add_group(8, 1);
	for (int i = 0; i < 1000; i++) {
		t.random = random() >> 1;
		in_first += t.group() == 0;
	}
	EXPECT_NEAR(in_first, 500, 80);
}

// --- Pools ---

struct Pool {
	uv_loop_t loop = {};
	skh_upstream_pool_options_t options = {};
	skh_roster_t roster = {};
	skh_backends_t *backends;
	skh_target_pool_t *pool;
	int64_t revision = 0;

	Pool()
	{
		options.attempt_id_header = "Id";
		EXPECT_EQ(uv_loop_init(&loop), 0);
		roster.servers = g_ptr_array_new_with_free_func([](gpointer server) {
			skh_server_free(static_cast<skh_server_t *>(server));
		});
		backends = skh_backends_new(&loop, &options);
		pool = skh_backends_get_or_create_pool(backends, "s");
		pool->is_lock_step = true;
		pool->step_ms = 4.55;
		pool->step_ms_per_request = 1.09;
		pool->expert_time_ratio = 0.3;
	}
	~Pool()
	{
		skh_backends_free(backends);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		g_ptr_array_unref(roster.servers);
	}
	static std::string address(uint32_t i)
	{
		return "10.0.0." + std::to_string(i + 1) + ":80";
	}
	static std::string id(uint32_t i, int start)
	{
		return "s" + std::to_string(1000 + i) + "." + std::to_string(start);
	}
	// Lists servers @from to @to - 1 as started for the @start-th time.
	void list(uint32_t from, uint32_t to, int start)
	{
		for (uint32_t i = from; i < to; i++) {
			skh_server_t *server = g_new0(skh_server_t, 1);

			unlist(id(i, start - 1));
			server->id = g_strdup(id(i, start).c_str());
			server->service = g_strdup("s");
			server->host = g_strdup(("10.0.0." + std::to_string(i + 1)).c_str());
			server->failure_domain = g_strdup("a");
			server->port = 80;
			server->slots = 10;
			server->started_unix_ms = start;
			g_ptr_array_add(roster.servers, server);
		}
		sync();
	}
	void unlist(const std::string &id)
	{
		for (guint i = 0; i < roster.servers->len; i++) {
			if (static_cast<skh_server_t *>(g_ptr_array_index(roster.servers, i))->id ==
			    id)
				g_ptr_array_remove_index(roster.servers, i--);
		}
	}
	void sync()
	{
		g_ptr_array_sort(roster.servers, [](gconstpointer a, gconstpointer b) {
			return strcmp((*static_cast<skh_server_t *const *>(a))->id,
				      (*static_cast<skh_server_t *const *>(b))->id);
		});
		skh_backends_sync(backends, &roster, nullptr);
	}
	void notice(const char *group, int64_t epoch, uint32_t from, uint32_t to)
	{
		std::string text = "epoch " + std::to_string(epoch) + " ranks " +
				   std::to_string(to - from) + "\n";

		for (uint32_t i = from; i < to; i++)
			text += address(i) + " " + std::to_string(i - from) + "\n";
		skh_backends_set_members(backends, "s", group, text.c_str(), ++revision);
	}
	// Servers are listed at the time of the boot clock; their groups have formed by then.
	static int64_t after_forming()
	{
		return skh_clock_boot_us() + 2 * kS;
	}
	skh_target_t *target(uint32_t i, int start)
	{
		return skh_backends_find_target(backends, id(i, start).c_str());
	}
	std::string group(uint32_t i, int start)
	{
		return skh_target_group_name(target(i, start));
	}
};

TEST(PoolGroups, AServerStandsAloneUntilANoticeNamesIt)
{
	Pool t;

	t.list(0, 4, 1);
	EXPECT_EQ(t.group(0, 1), "-");
	t.notice("g0", 5, 0, 2);
	t.notice("g1", 9, 2, 4);
	EXPECT_EQ(t.group(1, 1), "g0");
	EXPECT_EQ(t.group(2, 1), "g1");
	// A server that is listed after its first notice is known at once.
	t.notice("g0", 5, 0, 2);
	t.list(4, 5, 1);
	EXPECT_EQ(t.group(4, 1), "-");
	t.notice("g1", 9, 2, 6);
	EXPECT_EQ(t.group(4, 1), "g1");
	t.list(5, 6, 1);
	EXPECT_EQ(t.group(5, 1), "g1");
}

TEST(PoolGroups, UnreadableAndRepeatedNoticesChangeNothing)
{
	Pool t;

	t.list(0, 4, 1);
	t.notice("g0", 5, 0, 4);
	for (const char *text : { "", "epoch", "epoch 6 ranks 2\n10.0.0.1:80 7\n", "\n\n",
				  "epoch 6 ranks 2\n10.0.0.1:80" })
		skh_backends_set_members(t.backends, "s", "g0", text, ++t.revision);
	for (uint32_t i = 0; i < 4; i++)
		EXPECT_EQ(t.group(i, 1), "g0");
	// A full read of the store returns the notice again; it says nothing about a later start.
	t.list(1, 2, 2);
	t.revision = 0;
	t.notice("g0", 5, 0, 4);
	EXPECT_EQ(t.group(1, 2), "-");
	EXPECT_EQ(t.group(0, 1), "g0");
}

// A rank starts again, in its group or in the other one; what its predecessor was is not known to
// hold for it.
TEST(PoolGroups, ANewInstanceInheritsNothing)
{
	Pool t;

	t.list(0, 4, 1);
	t.notice("g0", 5, 0, 2);
	t.notice("g1", 5, 2, 4);
	t.list(1, 2, 2);
	EXPECT_EQ(t.group(1, 2), "-") << "the notice is about its predecessor";
	t.notice("g0", 6, 0, 2);
	EXPECT_EQ(t.group(1, 2), "g0") << "a notice that arrived after its listing";
	t.notice("g0", 7, 0, 2);
	t.list(1, 2, 3);
	EXPECT_EQ(t.group(1, 3), "-");
	t.list(1, 2, 4);
	EXPECT_EQ(t.group(1, 4), "-") << "its predecessor stood alone, too";
	t.notice("g1", 6, 1, 4);
	EXPECT_EQ(t.group(1, 4), "g1");
	// An old coordinator of the other group still names the address.
	t.notice("g0", 7, 0, 2);
	EXPECT_EQ(t.group(1, 4), "g1");
}

// The notice may arrive before the list shows the instance that it names.
TEST(PoolGroups, ANoticeOfALaterEpochThanThePredecessorsIsAboutTheNewInstance)
{
	Pool t;

	t.list(0, 2, 1);
	t.notice("g0", 5, 0, 2);
	skh_target_t *before = t.target(1, 1);
	before->references++;
	t.unlist(Pool::id(1, 1));
	t.sync();
	EXPECT_EQ(before->group, nullptr);
	t.notice("g0", 6, 0, 2);
	t.list(1, 2, 2);
	EXPECT_EQ(t.group(1, 2), "g0");
	skh_target_unref(before);
	// It may also be one of the other group.
	t.unlist(Pool::id(1, 2));
	t.sync();
	t.notice("g1", 2, 1, 2);
	t.list(1, 2, 3);
	EXPECT_EQ(t.group(1, 3), "g1");
}

// The entries of servers expire while the store is slow, and the same instances are listed again.
TEST(PoolGroups, AnInstanceThatIsListedAgainKeepsItsGroup)
{
	Pool t;

	t.list(0, 2, 1);
	t.notice("g0", 5, 0, 2);
	t.unlist(Pool::id(1, 1));
	t.sync();
	t.list(1, 2, 1);
	EXPECT_EQ(t.group(1, 1), "g0");
}

// All ranks start again, and their group rejects requests until it has formed. Guards against
// requests that are rejected although they would be served sooner than their retries.
// Guards against a rank that stays without its group after a newer entry at its address has gone.
TEST(PoolGroups, AnInstanceWhoseSuccessorHasGoneIsInItsGroupAgain)
{
	Pool t;

	t.list(0, 4, 1);
	t.notice("g0", 5, 0, 4);
	for (bool is_named : { false, true }) {
		skh_server_t *newer = skh_server_copy(t.target(1, 1)->server);

		g_free(newer->id);
		newer->id = g_strdup("newer");
		newer->started_unix_ms = 9;
		g_ptr_array_add(t.roster.servers, newer);
		t.sync();
		EXPECT_EQ(t.group(1, 1), "-");
		if (is_named)
			t.notice("g0", 6, 0, 4);
		EXPECT_STREQ(skh_target_group_name(skh_backends_find_target(t.backends, "newer")),
			     is_named ? "g0" : "-");
		t.unlist("newer");
		t.sync();
		EXPECT_EQ(t.group(1, 1), "g0");
	}
}

TEST(PoolGroups, AGroupWhoseRanksHaveJustStartedIsNotDown)
{
	Pool t;

	t.list(0, 2, 1);
	t.notice("g0", 1, 0, 2);
	int64_t now = skh_clock_boot_us();

	skh_target_record_rejection(t.target(0, 1), now);
	EXPECT_FALSE(skh_target_pool_is_down(t.pool, now + 700 * kMs)) << "it forms";
	EXPECT_TRUE(skh_target_pool_is_down(t.pool, now + 2 * kS));
}

TEST(PoolGroups, ARankIsComparedWithItsOwnGroupOnly)
{
	Pool t;
	int64_t now = 10 * kS;

	t.list(0, 4, 1);
	skh_target_t *silent = t.target(0, 1);
	skh_target_begin_attempt(silent, 1.0, now);
	silent->own_streaming = 1;
	now += 900 * kMs;
	t.target(2, 1)->last_received_us = now - 20 * kMs;
	EXPECT_FALSE(skh_target_pool_is_rank_unreachable(t.pool, silent, now)) << "alone";
	t.notice("g0", 1, 0, 2);
	t.notice("g1", 1, 2, 4);
	EXPECT_FALSE(skh_target_pool_is_rank_unreachable(t.pool, silent, now))
		<< "the other group makes progress";
	t.target(1, 1)->last_received_us = now - 20 * kMs;
	EXPECT_TRUE(skh_target_pool_is_rank_unreachable(t.pool, silent, now));
	skh_target_result_t result = {};

	result.is_streaming = true;
	result.expected_tokens = 1.0;
	result.outcome = SKH_TARGET_OUTCOME_CANCELLED;
	skh_target_end_attempt(silent, &result, now);
}

TEST(PoolGroups, AServiceIsDownOnlyWhenAllItsGroupsAre)
{
	Pool t;

	t.list(0, 4, 1);
	t.notice("g0", 1, 0, 2);
	t.notice("g1", 1, 2, 4);
	int64_t now = Pool::after_forming();
	for (int64_t end = now + kS; now < end; now += 100 * kMs)
		skh_target_record_rejection(t.target(0, 1), now);
	EXPECT_FALSE(skh_target_pool_is_tripped(t.pool, now));
	EXPECT_FALSE(skh_target_pool_is_down(t.pool, now));
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(skh_target_pool_select(t.pool, nullptr, {}, now)->group->name,
			  std::string("g1"));
	for (int64_t end = now + kS; now < end; now += 100 * kMs)
		skh_target_record_rejection(t.target(2, 1), now);
	EXPECT_TRUE(skh_target_pool_is_tripped(t.pool, now));
	EXPECT_TRUE(skh_target_pool_is_down(t.pool, now));
	skh_target_record_response(t.target(1, 1));
	EXPECT_FALSE(skh_target_pool_is_down(t.pool, now));
	EXPECT_EQ(skh_target_pool_select(t.pool, nullptr, {}, now)->group->name, std::string("g0"));
}

// Ranks of the group that is up are full now and then. Their rejections trip its breaker until the
// next event, but the group that is down must not be probed more often for that: each probe costs
// a retry.
TEST(PoolGroups, AGroupThatIsDownIsProbedRarelyWhileTheOtherIsFull)
{
	Pool t;
	int probes = 0;

	t.list(0, 4, 1);
	t.notice("g0", 1, 0, 2);
	t.notice("g1", 1, 2, 4);
	skh_target_t *streaming = t.target(2, 1);
	streaming->own_streaming = 1;
	for (int64_t now = 10 * kS; now < 13 * kS; now += 20 * kMs) {
		if (now % (100 * kMs) == 0) {
			streaming->last_received_us = now;
			skh_target_record_response(streaming);
		} else {
			skh_target_record_rejection(t.target(3, 1), now);
		}
		skh_target_t *target = skh_target_pool_select(t.pool, nullptr, {}, now);

		if (!target)
			continue;
		skh_target_record_send(target, now);
		if (target->group->name != std::string("g0"))
			continue;
		skh_target_record_rejection(target, now);
		probes++;
	}
	EXPECT_LE(probes, 5);
	streaming->own_streaming = 0;
}

// A whole service starts again: without one breaker for the ranks that no notice names yet, each
// of them would be probed, and the rejections would use up the retry budget.
TEST(PoolGroups, RanksThatFormAreProbedOneAtATime)
{
	Pool t;
	int64_t now = 10 * kS;
	int sent = 0;

	t.list(0, 24, 1);
	t.notice("g0", 1, 0, 24);
	t.list(0, 24, 2);
	for (; now < 11 * kS; now += 10 * kMs) {
		skh_target_t *target = skh_target_pool_select(t.pool, nullptr, {}, now);

		if (!target)
			continue;
		sent++;
		skh_target_record_send(target, now);
		skh_target_record_rejection(target, now);
	}
	EXPECT_LE(sent, 7);
	// One that serves shows that the others may.
	skh_target_record_response(t.target(5, 2));
	EXPECT_TRUE(skh_target_pool_select(t.pool, nullptr, {}, now));
}

// --- One group: the same decisions as before ---

// Copy of the selection as it was when a service had one breaker.
namespace before
{

bool is_full(const skh_selection_input_t *view, const skh_candidate_t *candidate)
{
	return candidate->running >= candidate->slots + view->overcommit ||
	       view->now_us < candidate->full_until_us;
}

bool is_avoided(const skh_selection_input_t *view, const skh_candidate_t *candidate)
{
	return view->now_us < candidate->avoid_until_us;
}

double estimate_cost(const skh_selection_input_t *view, uint32_t position)
{
	const skh_candidate_t *candidate = &view->candidates[position];
	bool is_in_share = view->share.count == 0 ||
			   skh_server_share_contains(&view->share, position, view->n_candidates);
	double load = static_cast<double>(candidate->running) + 12.0 * candidate->failure_ratio +
		      (is_in_share ? 0.0 : 2.0);

	return (load + 4.0) * std::max(candidate->slowdown, 1.0) +
	       candidate->expected_tokens * 1e-6;
}

int32_t select_cheapest(const skh_selection_input_t *view, bool from_avoided)
{
	int32_t best = SKH_SELECTION_NONE;
	double best_cost = 0.0;

	for (uint32_t i = 0; i < view->n_candidates; i++) {
		uint32_t position = static_cast<uint32_t>((view->random + i) % view->n_candidates);
		const skh_candidate_t *candidate = &view->candidates[position];

		if (candidate->is_excluded || is_full(view, candidate) ||
		    is_avoided(view, candidate) != from_avoided)
			continue;
		double cost = estimate_cost(view, position);
		if (best == SKH_SELECTION_NONE || cost < best_cost) {
			best = static_cast<int32_t>(position);
			best_cost = cost;
		}
	}
	return best;
}

int32_t select_server(const skh_group_breaker_t *breaker, const skh_selection_input_t *view)
{
	bool has_unavoided = false;

	if (!skh_group_breaker_can_send(breaker, view->now_us) || view->n_candidates == 0)
		return SKH_SELECTION_NONE;
	for (uint32_t i = 0; i < view->n_candidates; i++)
		has_unavoided = has_unavoided || (!view->candidates[i].is_excluded &&
						  !is_avoided(view, &view->candidates[i]));
	return select_cheapest(view, !has_unavoided);
}

} // namespace before

// Runs a random history of a service through both selections.
struct History {
	static constexpr uint32_t kRanks = 24;

	Pool t;
	std::mt19937_64 random;
	skh_group_breaker_t breaker = {};
	std::vector<skh_candidate_t> candidates;
	GPtrArray *excluded = g_ptr_array_new();
	int64_t now = 0;
	int n_selected = 0;
	int n_held_back = 0;

	explicit History(uint64_t seed) : random(seed), candidates(kRanks)
	{
		t.list(0, kRanks, 1);
		t.notice("g0", 1, 0, kRanks);
		now = Pool::after_forming();
	}
	~History()
	{
		g_ptr_array_unref(excluded);
	}
	bool chance(double p)
	{
		return std::uniform_real_distribution<double>(0, 1)(random) < p;
	}
	skh_target_t *target(uint32_t i)
	{
		return static_cast<skh_target_t *>(g_ptr_array_index(t.pool->targets, i));
	}
	void draw_servers()
	{
		g_ptr_array_set_size(excluded, 0);
		for (uint32_t i = 0; i < kRanks; i++) {
			candidates[i] = {};
			candidates[i].slots = 10;
			candidates[i].running = random() % 12;
			candidates[i].expected_tokens = random() % 500;
			candidates[i].slowdown = chance(0.1) ? 1.0 + random() % 12 : 1.0;
			candidates[i].failure_ratio = chance(0.1) ? 0.3 : 0.0;
			candidates[i].avoid_until_us = chance(0.2) ? now + kS : 0;
			candidates[i].full_until_us = chance(0.2) ? now + kS : 0;
			candidates[i].is_excluded = chance(0.1);
			target(i)->own_streaming = chance(0.3) ? random() % 4 : 0;
			target(i)->last_received_us = now - random() % (500 * kMs);
			if (candidates[i].is_excluded && chance(0.5))
				g_ptr_array_add(excluded, target(i));
		}
	}
	void compare()
	{
		skh_selection_input_t view = {};

		draw_servers();
		view.candidates = candidates.data();
		view.n_candidates = kRanks;
		view.is_lock_step = true;
		view.overcommit = 1;
		view.random = random() >> 1;
		view.now_us = now;
		if (chance(0.5))
			view.share = { static_cast<uint32_t>(random() % 15), 15 };
		/*
		 * With a share, the selection of a server itself has changed (server_selection.h);
		 * the breaker and the groups must leave its result as it is.
		 */
		int32_t expected = view.share.count == 0 ? before::select_server(&breaker, &view)
				   : skh_group_breaker_can_send(&breaker, now)
					   ? skh_select_server(&view)
					   : SKH_SELECTION_NONE;

		ASSERT_EQ(skh_pool_groups_select(t.pool, &view, excluded, true),
			  SKH_SELECTION_NONE);
		ASSERT_EQ(skh_pool_groups_select(t.pool, &view, excluded, false), expected);
		ASSERT_EQ(skh_target_pool_is_tripped(t.pool, now),
			  skh_group_breaker_is_tripped(&breaker));
		ASSERT_EQ(skh_target_pool_is_down(t.pool, now),
			  skh_group_breaker_is_down(&breaker, now));
		n_held_back += !skh_group_breaker_can_send(&breaker, now);
		if (expected == SKH_SELECTION_NONE)
			return;
		n_selected++;
		skh_group_breaker_record_send(&breaker, now);
		skh_target_record_send(target(static_cast<uint32_t>(expected)), now);
	}
	// What ends an attempt, recorded as attempt.c does and did.
	void end_attempt()
	{
		skh_target_t *at = target(random() % kRanks);

		if (chance(0.6)) {
			skh_group_breaker_record_response(&breaker);
			skh_target_record_response(at);
			return;
		}
		if (chance(0.5)) {
			bool was_tripped = skh_group_breaker_is_tripped(&breaker);

			skh_group_breaker_record_rejection(&breaker, now);
			ASSERT_EQ(skh_target_record_rejection(at, now), was_tripped);
		}
		skh_group_breaker_record_failure(&breaker);
		skh_target_record_failure(at, chance(0.5), now);
	}
};

TEST(PoolGroups, OneGroupIsServedAsBeforeRequestByRequest)
{
	int n_selected = 0;
	int n_held_back = 0;

	for (uint64_t seed = 0; seed < 40; seed++) {
		History t(seed);

		for (int i = 0; i < 500 && !HasFatalFailure(); i++) {
			t.now += t.random() % (t.chance(0.1) ? 900 * kMs : 60 * kMs);
			t.compare();
			if (t.chance(0.5))
				t.end_attempt();
		}
		n_selected += t.n_selected;
		n_held_back += t.n_held_back;
	}
	EXPECT_GE(n_selected, 5000);
	EXPECT_GE(n_held_back, 2000);
}

} // namespace
