// Publication of a group's members through a store that fails, loses responses and forgets leases.
// Guards against a notice that is never written, that expires under a living coordinator, or that
// replaces the one of a later coordinator.
#include "fake_store.h"
#include "members_publisher.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

constexpr int64_t kS = 1000 * 1000;
const char *const kKey = "skylarkhead/members/model/g0";
const char *const kHolder = "skylarkhead/groups/model/g0/coordinator";

struct MembersPublisher : testing::Test {
	MembersPublisher()
	{
		acquire();
	}
	~MembersPublisher() override
	{
		skh_members_publisher_clear(&publisher);
	}

	// Another process acquires the coordinator's lease, or this one does again.
	void acquire()
	{
		store.values[kHolder] = { "a", ++store.revision, store.revision, 1 };
		holder_revision = store.revision;
	}

	// Returns whether a call was made.
	bool step(const std::string &text)
	{
		const skh_members_target_t target = { kKey, kHolder, own_revision() };
		bool has_called = false;
		skh_error_t err = {};

		last_result = skh_members_publisher_step(&publisher, &store.base, &target,
							 text.c_str(), now_us, &has_called, &err);
		return has_called;
	}

	// Steps every 280 ms, as after each renewal, until no call is due.
	int run(const std::string &text, int64_t duration_us)
	{
		int n_calls = 0;

		for (int64_t end_us = now_us + duration_us; now_us < end_us;
		     now_us += kS * 28 / 100)
			n_calls += step(text);
		return n_calls;
	}

	int64_t own_revision() const
	{
		return lost_lease ? 1 : holder_revision;
	}

	std::string stored()
	{
		return store.values.count(kKey) ? store.values[kKey].value : "-";
	}

	FakeStore store;
	skh_members_publisher_t publisher = {};
	int64_t holder_revision = 0;
	int64_t now_us = 100 * kS;
	bool lost_lease = false;
	bool last_result = true;
};

} // namespace

TEST_F(MembersPublisher, IsWrittenOnceAndAgainWhenItChanges)
{
	EXPECT_EQ(run("one", 60 * kS), 2); // the lease and the notice
	EXPECT_EQ(stored(), "one");
	EXPECT_EQ(run("two", 60 * kS), 1);
	EXPECT_EQ(stored(), "two");
}

TEST_F(MembersPublisher, EachStepMakesOneCall)
{
	EXPECT_TRUE(step("one"));
	EXPECT_EQ(store.n_txns, 0);
	EXPECT_TRUE(step("one"));
	EXPECT_EQ(store.n_txns, 1);
	EXPECT_FALSE(step("one"));
}

TEST_F(MembersPublisher, ChangesAreWrittenAtMostOncePerSecond)
{
	for (int i = 0; i < 100; i++, now_us += kS / 10)
		(void)step("text " + std::to_string(i));
	EXPECT_LE(store.n_txns, 11);
	EXPECT_GE(store.n_txns, 9);
	run("last", 3 * kS);
	EXPECT_EQ(stored(), "last");
}

TEST_F(MembersPublisher, LaterCoordinatorsNoticeIsNotReplaced)
{
	run("one", 3 * kS);
	store.values[kKey].value = "of the later coordinator";
	lost_lease = true;
	run("two", 10 * kS);
	EXPECT_EQ(stored(), "of the later coordinator");
}

TEST_F(MembersPublisher, IsWrittenAgainAfterTheLeaseWasAcquiredAgain)
{
	run("one", 3 * kS);
	store.values[kKey].value = "of another coordinator";
	acquire();
	skh_members_publisher_reset(&publisher);
	run("one", 3 * kS);
	EXPECT_EQ(stored(), "one");
}

TEST_F(MembersPublisher, IsWrittenOnceTheStoreIsBack)
{
	store.is_down = true;
	EXPECT_TRUE(step("one"));
	EXPECT_FALSE(last_result);
	run("one", 10 * kS);
	store.is_down = false;
	run("one", 3 * kS);
	EXPECT_EQ(stored(), "one");
}

TEST_F(MembersPublisher, LostResponsesAreMadeUpFor)
{
	store.lose_response_of_txn = 1;
	store.drop_txn = 2;
	run("one", 10 * kS);
	EXPECT_EQ(stored(), "one");
	EXPECT_GE(store.n_txns, 3);
}

TEST_F(MembersPublisher, LeaseIsRenewedInTime)
{
	run("one", 3 * kS);
	EXPECT_GE(run("one", 3600 * kS), 3600 / 600);
	EXPECT_EQ(store.n_txns, 1);
}

// The coordinator was frozen for longer than the notice's lease.
TEST_F(MembersPublisher, IsWrittenUnderANewLeaseAfterTheOldOneExpired)
{
	run("one", 3 * kS);
	int64_t lease = store.values[kKey].lease;
	store.values.erase(kKey);
	store.lost_lease = lease;
	now_us += 700 * kS;
	run("one", 3 * kS);
	EXPECT_EQ(stored(), "one");
	EXPECT_NE(store.values[kKey].lease, lease);
}

// A store that came back from an older copy lacks the notice and gives out lease ids again.
TEST_F(MembersPublisher, IsWrittenAgainInANewEraOfTheStore)
{
	run("one", 3 * kS);
	store.values.erase(kKey);
	store.base.era = 1;
	run("one", 3 * kS);
	EXPECT_EQ(stored(), "one");
}

TEST_F(MembersPublisher, NothingIsWrittenBeforeMembersAreKnown)
{
	store.values[kKey] = { "of an earlier coordinator", 1, 1, 5 };
	EXPECT_EQ(run("", 10 * kS), 0);
	EXPECT_EQ(stored(), "of an earlier coordinator");
}
