// Keys of lock-step groups of sidecars. Guards against keys of one group that are read as those of another,
// so that its leader sends orders to ranks of the other group.
#include "fake_store.h"
#include "leader.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <mutex>
#include <string>

namespace
{

std::mutex store_lock;

// The leader's thread and the test use the store.
skh_store_ops_t locked_ops()
{
	skh_store_ops_t ops = fake_store::ops;

	ops.range = [](skh_store_t *store, const char *key, bool prefix, skh_kv_pairs_t *pairs,
		       skh_error_t *err) {
		std::lock_guard<std::mutex> guard(store_lock);

		return fake_store::range(store, key, prefix, pairs, err);
	};
	ops.txn = [](skh_store_t *store, const skh_txn_t *txn, skh_txn_result_t *result,
		     skh_error_t *err) {
		std::lock_guard<std::mutex> guard(store_lock);

		return fake_store::txn(store, txn, result, err);
	};
	return ops;
}

// Starts a sidecar's leader and waits until it has registered and read its group's keys.
struct Sidecar {
	Sidecar(FakeStore *store, const char *group, const char *id)
	{

		settings.store_prefix = "p/";
		settings.backend_group = group;
		settings.backend_rank = 0;
		settings.id = id;
		settings.link_listen = "tcp://127.0.0.1:1";
		leader = skh_leader_start(&store->base, &settings);
	}
	~Sidecar()
	{
		skh_leader_stop(leader);
	}

	std::string rank_id(uint64_t rank) const
	{
		skh_leader_view_t view;

		skh_leader_get_view(leader, &view);
		const std::string id = rank < view.n_ranks ? view.ranks[rank].id : "";
		g_free(view.ranks);
		return id;
	}

	bool has_read() const
	{
		for (int i = 0; i < 600 && rank_id(0).empty(); i++)
			usleep(5000);
		return !rank_id(0).empty();
	}

	skh_settings_t settings = {};
	skh_leader_t *leader;
};

} // namespace

TEST(Leader, KeysOfAGroupWithASlashAreNotThoseOfAnother)
{
	static const skh_store_ops_t ops = locked_ops();
	FakeStore store;

	store.base.ops = &ops;
	Sidecar inner(&store, "a/z", "inner");
	Sidecar percent(&store, "a%2Fz", "percent");
	Sidecar outer(&store, "a", "outer");

	ASSERT_TRUE(inner.has_read() && percent.has_read() && outer.has_read());
	usleep(1500 * 1000); // each group's keys are read again meanwhile
	EXPECT_EQ(inner.rank_id(0), "inner");
	EXPECT_EQ(percent.rank_id(0), "percent");
	EXPECT_EQ(outer.rank_id(0), "outer");
}

TEST(Leader, KeysThatAreNoRanksNameNone)
{
	static const skh_store_ops_t ops = locked_ops();
	FakeStore store;
	const std::string foreign = R"({"id":"foreign","link":"tcp://127.0.0.1:2"})";

	store.base.ops = &ops;
	store.values["p/groups/a/ranks/x"].value = foreign;
	store.values["p/groups/a/ranks/00000 1"].value = foreign;
	store.values["p/groups/a/notes/0000"].value = foreign;
	store.values["p/groups/a/ranks/0003"].value =
		R"({"id":")" + std::string(300, 'i') + R"(","link":"tcp://127.0.0.1:3"})";
	Sidecar sidecar(&store, "a", "own");

	ASSERT_TRUE(sidecar.has_read());
	usleep(1500 * 1000);
	EXPECT_EQ(sidecar.rank_id(0), "own");
	EXPECT_EQ(sidecar.rank_id(1), "");
	EXPECT_EQ(sidecar.rank_id(3), "") << "a cut id may be that of another sidecar";
}
