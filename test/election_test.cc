// Elections of groups on an in-memory store: several processes that ask for one lease at once, and a
// process that leaves a group. Guards against two holders, against an old election that keeps its
// lease or delays the new one while its thread is in a long poll, and against its memory being kept.
#include "clock.h"
#include "dialect.h"
#include "election.h"
#include "fake_store.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;

const char *const kConfig =
	R"({"version":1,"routes":[{"name":"r","host":"x","prefix":"/","kind":"streaming",)"
	R"("timeout-ms":3000,"latency-goal-ms":500,"priority":1,"service":"model","max-attempts":2,)"
	R"("public":false}],"services":[{"name":"model","health-path":"/h","max-connections":9,)"
	R"("engine":{"slots":8,"stride":4,"link-mbps":1000.0,"step_ms":2.0,"per_seq_ms":0.4,"sets":2,)"
	R"("experts":8,"placements":4,"spare":3,"expert-mb":1.0,"expert-share":0.8}}],)"
	R"("limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,)"
	R"("idle-timeout-ms":15000},"tenants":[{"name":"a","api-keys":["k"],"priority":1}]})";

// One store for all handles, with a lock and with leases that last until their key is deleted.
std::mutex store_lock;
FakeStore shared;
std::atomic<int> n_open;
std::atomic<int> long_poll_ms;
std::string watched_key; // key of a change that each long poll reports, "" for none

skh_store_ops_t locked_ops();

skh_store_t *open_store(const char *, int64_t)
{
	static const skh_store_ops_t ops = locked_ops();
	auto *store = new skh_store_t();

	store->ops = &ops;
	n_open++;
	return store;
}

skh_store_ops_t locked_ops()
{
	skh_store_ops_t ops = fake_store::ops;

	ops.range = [](skh_store_t *, const char *key, bool prefix, skh_kv_pairs_t *pairs,
		       skh_error_t *err) {
		std::lock_guard<std::mutex> guard(store_lock);

		return fake_store::range(&shared.base, key, prefix, pairs, err);
	};
	ops.txn = [](skh_store_t *, const skh_txn_t *txn, skh_txn_result_t *result,
		     skh_error_t *err) {
		std::lock_guard<std::mutex> guard(store_lock);

		return fake_store::txn(&shared.base, txn, result, err);
	};
	ops.lease_grant = [](skh_store_t *, int64_t ttl_s, int64_t *lease, skh_error_t *err) {
		std::lock_guard<std::mutex> guard(store_lock);

		return fake_store::lease_grant(&shared.base, ttl_s, lease, err);
	};
	ops.lease_renew = [](skh_store_t *, int64_t lease, int64_t *ttl_s, skh_error_t *err) {
		std::lock_guard<std::mutex> guard(store_lock);

		return fake_store::lease_keep(&shared.base, lease, ttl_s, err);
	};
	// Reports no change before its time is over, as if the holder stayed the same.
	ops.poll_changes = [](skh_store_t *, const char *, int64_t after, int64_t,
			      skh_kv_changes_t *changes, skh_error_t *) {
		std::this_thread::sleep_for(std::chrono::milliseconds(long_poll_ms));
		*changes = {};
		changes->store_revision = after;
		if (watched_key.empty())
			return true;
		changes->list = g_new0(skh_kv_change_t, 1);
		changes->list[changes->count++] = { g_strdup(watched_key.c_str()),
						    g_strdup("10.0.0.66:1 x"), after + 1 };
		return true;
	};
	ops.close = [](skh_store_t *store) {
		delete store;
		n_open--;
	};
	return ops;
}

bool wait_for(const std::function<bool()> &condition, int64_t limit_ms)
{
	int64_t end_us = skh_clock_boot_us() + limit_ms * kMs;

	while (!condition() && skh_clock_boot_us() < end_us)
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	return condition();
}

std::string holder(const std::string &group)
{
	std::lock_guard<std::mutex> guard(store_lock);
	auto found = shared.values.find("skylarkhead/groups/model/" + group + "/coordinator");

	return found == shared.values.end() ? "" : found->second.value.substr(0, 10);
}

bool is_holder(skh_election_t *election)
{
	skh_election_view_t view;

	skh_election_get_view(election, &view);
	return view.is_holder;
}

struct Election : testing::Test {
	Election()
	{
		skh_error_t err = {};

		std::lock_guard<std::mutex> guard(store_lock);
		shared.values.clear();
		dialect = *skh_dialect_find("fleet", &err);
		dialect.open_store = open_store;
		shared.values[dialect.config_key] = { kConfig, 1, 1, 0 };
		long_poll_ms = 20;
		watched_key.clear();
		n_open_before = n_open;
	}
	~Election() override
	{
		for (skh_election_t *election : elections)
			skh_election_abandon(election);
		EXPECT_TRUE(wait_for([this] { return n_open == n_open_before; }, 5000))
			<< "an abandoned election is not freed";
	}

	skh_election_t *start(const std::string &group, const std::string &address)
	{
		skh_election_options_t options = {};

		options.store = open_store("", 0);
		options.dialect = &dialect;
		options.address = address.c_str();
		options.service = "model";
		options.group = group.c_str();
		elections.push_back(skh_election_start(&options));
		return elections.back();
	}

	void abandon(size_t index)
	{
		skh_election_abandon(elections[index]);
		elections.erase(elections.begin() + static_cast<long>(index));
	}

	skh_dialect_t dialect;
	std::vector<skh_election_t *> elections;
	int n_open_before = 0;
};

} // namespace

TEST_F(Election, EachGroupGetsOneHolder)
{
	for (int i = 0; i < 5; i++) {
		start("g0", "10.0.0.1:1" + std::to_string(i));
		start("g1", "10.0.1.1:1" + std::to_string(i));
	}
	ASSERT_TRUE(wait_for([] { return !holder("g0").empty() && !holder("g1").empty(); }, 5000));
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	int n_holders[2] = {};
	for (size_t i = 0; i < elections.size(); i++)
		n_holders[i % 2] += is_holder(elections[i]);
	EXPECT_EQ(n_holders[0], 1);
	EXPECT_EQ(n_holders[1], 1);
}

// A key beyond the store's limit makes each call of an election fail, so it must be known before.
TEST_F(Election, LongestKeyOfAGroupIsKnown)
{
	const std::string service(40, 's');
	const std::string group = std::string(60, 'g') + "/x";
	const std::string lease_key =
		"skylarkhead/groups/" + service + "/" + std::string(60, 'g') + "%2Fx/coordinator";

	EXPECT_EQ(skh_election_max_key_bytes(service.c_str(), group.c_str()), lease_key.size());
}

TEST_F(Election, ProcessThatLeavesReleasesItsLease)
{
	skh_election_t *first = start("g0", "10.0.0.1:1");

	ASSERT_TRUE(wait_for([&] { return is_holder(first); }, 5000));
	abandon(0);
	EXPECT_TRUE(wait_for([] { return holder("g0").empty(); }, 1000));
	skh_election_t *next = start("g0", "10.0.0.2:1");
	EXPECT_TRUE(wait_for([&] { return is_holder(next); }, 2000));
}

// Reports of ranks went to the address in any key that began like the lease's.
TEST_F(Election, KeyThatBeginsLikeTheLeaseNamesNoCoordinator)
{
	const std::string key = "skylarkhead/groups/model/g0/coordinator";
	skh_election_view_t view = {};

	shared.values[key] = { "10.0.0.9:1 x", 1, 1, 77 };
	watched_key = key + "-old";
	skh_election_t *election = start("g0", "10.0.0.1:1");
	ASSERT_TRUE(wait_for(
		[&] {
			skh_election_get_view(election, &view);

			return *view.coordinator_address != '\0';
		},
		3000));
	std::this_thread::sleep_for(std::chrono::milliseconds(200));
	skh_election_get_view(election, &view);
	EXPECT_STREQ(view.coordinator_address, "10.0.0.9:1");
}

TEST_F(Election, LongPollOfTheOldGroupDelaysNothing)
{
	{
		std::lock_guard<std::mutex> guard(store_lock);

		shared.values["skylarkhead/groups/model/g0/coordinator"] = { "10.0.0.9:1 x", 1, 1,
									     77 };
	}
	long_poll_ms = 2000;
	start("g0", "10.0.0.1:1");
	std::this_thread::sleep_for(std::chrono::milliseconds(200)); // it is in the long poll
	int64_t started_us = skh_clock_boot_us();
	abandon(0);
	skh_election_t *next = start("g1", "10.0.0.1:1");
	EXPECT_LT(skh_clock_boot_us() - started_us, 50 * kMs);
	EXPECT_TRUE(wait_for([&] { return is_holder(next); }, 1000));
	EXPECT_EQ(holder("g0"), "10.0.0.9:1") << "the lease of another process is not released";
}

TEST_F(Election, MembersOfAnEarlierCoordinatorAreFoundAndReplaced)
{
	const char *const key = "skylarkhead/members/model/g0";
	char *found = nullptr;

	shared.values[key] = { "epoch 1 ranks 1\n10.0.0.9:1 0\n", 1, 1, 5 };
	skh_election_t *election = start("g0", "10.0.0.1:1");
	EXPECT_TRUE(wait_for(
		[&] {
			found = found ? found : skh_election_take_members(election);

			return found != nullptr;
		},
		3000));
	EXPECT_STREQ(found, "epoch 1 ranks 1\n10.0.0.9:1 0\n");
	g_free(found);
	EXPECT_EQ(skh_election_take_members(election), nullptr);
	skh_election_set_members(election, "epoch 2 ranks 1\n10.0.0.1:1 0\n");
	EXPECT_TRUE(wait_for(
		[&] {
			std::lock_guard<std::mutex> guard(store_lock);

			return shared.values[key].value == "epoch 2 ranks 1\n10.0.0.1:1 0\n";
		},
		3000));
}
