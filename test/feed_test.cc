// The gateway's poll of the store. Guards against a server that has left and keeps getting requests
// because its removal counts as an expiry during an outage, and against a server that is dropped
// although its entry did expire while the store was unavailable.
#include "board.h"
#include "clock.h"
#include "fake_store.h"
#include "feed.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;
// From the platform's rules: a server that leaves serves for so long, and gateways that were cut
// off are bound by that again so long after the cut.
constexpr int64_t kDrainUs = 2000 * kMs;
constexpr int64_t kContactUs = 3000 * kMs;
// Servers register again within this time of the store's return.
constexpr int64_t kRegistrationUs = 2000 * kMs;
constexpr int kQuietPolls = 2;
constexpr int64_t kSlackUs = 150 * kMs;
const char *const kEntry =
	R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"1","slots":1,)"
	R"("state":"ready","cold-remaining-ms":0,"sequence":1})";

// A store that can be silent and reports changes to polls. Calls may come from the feed's thread.
struct WatchedStore : FakeStore {
	skh_store_ops_t ops;
	std::mutex lock;
	bool is_silent = false;
	// While it is silent, calls fail so; after 100 ms, as rejected ones.
	int64_t silent_call_us = 100 * kMs;
	skh_error_kind_t silent_error = SKH_STORE_UNAVAILABLE;
	std::atomic<int> silent_calls = 0;
	std::atomic<int64_t> late_us = 0; /* delay of the next response */
	std::atomic<int> quiet_polls = 0; /* that have returned without a change */
	std::atomic<bool> is_polled = false;
	int64_t compacted_revision = 0; /* changes up to it are no longer available */
	std::vector<std::pair<int64_t, bool>>
		changes; /* revision and whether the server is listed */

	WatchedStore();

	void set_listed(bool is_listed)
	{
		std::lock_guard<std::mutex> guard(lock);

		changes.emplace_back(++revision, is_listed);
		if (is_listed)
			values["servers/a"] = { kEntry, revision, revision, 0 };
		else
			values.erase("servers/a");
	}

	void set_silent(bool silent)
	{
		std::lock_guard<std::mutex> guard(lock);

		is_silent = silent;
	}

	void forget_history()
	{
		std::lock_guard<std::mutex> guard(lock);

		compacted_revision = revision;
	}
};

WatchedStore *from_base(skh_store_t *store)
{
	return static_cast<WatchedStore *>(fake_store::from_base(store));
}

bool fail_if_silent(WatchedStore *store, skh_error_t *err)
{
	int64_t wait_us;

	{
		std::lock_guard<std::mutex> guard(store->lock);

		if (!store->is_silent)
			return true;
		wait_us = store->silent_call_us;
	}
	store->silent_calls++;
	usleep(static_cast<useconds_t>(wait_us));
	return skh_error_set(err, store->silent_error, "the store is silent");
}

bool range(skh_store_t *base, const char *key, bool prefix, skh_kv_pairs_t *pairs, skh_error_t *err)
{
	WatchedStore *store = from_base(base);

	*pairs = {};
	if (!fail_if_silent(store, err))
		return false;
	std::lock_guard<std::mutex> guard(store->lock);
	return fake_store::range(base, key, prefix, pairs, err);
}

// Returns true when the poll has a result, which is an error if @err is set.
bool read_history(WatchedStore *store, int64_t after, skh_kv_changes_t *changes, skh_error_t *err)
{
	std::lock_guard<std::mutex> guard(store->lock);

	if (after < store->compacted_revision) {
		(void)skh_error_set(err, SKH_STORE_COMPACTED, "no history");
		return true;
	}
	changes->store_revision = store->revision;
	changes->list = g_renew(skh_kv_change_t, changes->list, store->changes.size() + 1);
	for (const auto &[revision, is_listed] : store->changes) {
		if (revision > after)
			changes->list[changes->count++] = { g_strdup("servers/a"),
							    is_listed ? g_strdup(kEntry) : nullptr,
							    revision };
	}
	return changes->count > 0;
}

bool poll_changes(skh_store_t *base, const char *, int64_t after, int64_t wait_ms,
		  skh_kv_changes_t *changes, skh_error_t *err)
{
	WatchedStore *store = from_base(base);
	int64_t ends_us = skh_clock_boot_us() + wait_ms * kMs;

	*changes = {};
	*err = {};
	do {
		if (!fail_if_silent(store, err)) {
			skh_kv_changes_clear(changes);
			return false;
		}
		usleep(static_cast<useconds_t>(store->late_us.exchange(0)));
		if (read_history(store, after, changes, err))
			return err->kind == SKH_OK;
		store->is_polled = true;
		usleep(2 * kMs);
	} while (skh_clock_boot_us() < ends_us);
	store->is_polled = false;
	store->quiet_polls++;
	return true;
}

WatchedStore::WatchedStore()
{
	ops = fake_store::ops;
	ops.range = range;
	ops.poll_changes = poll_changes;
	base.ops = &ops;
	base.era = 1;
	values["servers/a"].value = kEntry;
}

class Feed : public testing::Test
{
      protected:
	void SetUp() override
	{
		skh_error_t err = {};

		options.store = &store.base;
		options.dialect = skh_dialect_find("fleet", &err);
		options.board = skh_board_new();
		options.poll_interval_us = 600 * kMs;
		options.poll_timeout_ms = 1000;
		options.gateways_prefix = "gateways/";
		options.notify = [](void *) {};
		feed = skh_feed_start(&options);
		ASSERT_TRUE(is_listed_until(true, 1000 * kMs)) << "the server was not read";
	}

	void TearDown() override
	{
		store.set_silent(false);
		skh_feed_stop(feed);
		skh_board_free(options.board);
	}

	bool is_listed() const
	{
		const skh_roster_t *roster = skh_board_acquire_roster(options.board);
		bool found = roster && skh_roster_find(roster, "a");

		skh_board_release(roster);
		return found;
	}

	// Waits until the server is listed, or not; returns false after @wait_us.
	bool is_listed_until(bool expected, int64_t wait_us) const
	{
		int64_t ends_us = skh_clock_boot_us() + wait_us;

		while (is_listed() != expected && skh_clock_boot_us() < ends_us)
			usleep(5 * kMs);
		return is_listed() == expected;
	}

	bool stays_listed(int64_t wait_us) const
	{
		return !is_listed_until(false, wait_us);
	}

	// Lets the store be silent for @silent_us; returns the time of its return.
	int64_t cut_off(int64_t silent_us)
	{
		store.set_silent(true);
		usleep(static_cast<useconds_t>(silent_us));
		store.set_silent(false);
		return skh_clock_boot_us();
	}

	// Lets the store come back right after the start of a call, which fails; returns the time of its return.
	int64_t come_back_in_a_call()
	{
		int n = store.silent_calls;

		while (store.silent_calls == n)
			usleep(1 * kMs);
		store.set_silent(false);
		return skh_clock_boot_us();
	}

	WatchedStore store;
	skh_feed_options_t options = {};
	skh_feed_t *feed = nullptr;
};

} // namespace

// Guards against keys and notices of other writers that pass for others.
class FeedOfOtherWriters : public Feed
{
      protected:
	FeedOfOtherWriters()
	{
		const std::string slow = SKH_SLOW_RANKS_PREFIX;
		const std::string crashes = SKH_CRASH_RECORDS_PREFIX;

		store.values[slow + "s/a"].value = "10.0.0.1:80 2";
		store.values[slow + "s/b"].value = "10.0.0.2:80 3\n";
		store.values[slow + "s/c"].value = "10.0.0.3:80 4";
		for (const char *key :
		     { "0000000000000001-0000000000000002", "00000000000000001-0000000000000003",
		       "1-4", " 000000000000001-0000000000000005",
		       "-000000000000001-0000000000000006", "0000000000000001-00000000000000007",
		       "0x00000000000001-0000000000000008" })
			store.values[crashes + key].value = "confirmed";
	}
};

// A notice without a final line break and the first line of the next one made one wrong line.
TEST_F(FeedOfOtherWriters, NoticesOfSlowRanksDoNotRunIntoOneAnother)
{
	uint64_t last_change = 0;
	g_autofree char *text = skh_feed_get_slow_ranks(feed, &last_change);
	const std::string lines = "\n" + std::string(text ? text : "") + "\n";

	for (const char *line : { "\n10.0.0.1:80 2\n", "\n10.0.0.2:80 3\n", "\n10.0.0.3:80 4\n" })
		EXPECT_NE(lines.find(line), std::string::npos) << lines;
}

// Numbers with a sign, blanks or too many digits were read as hashes of other requests.
TEST_F(FeedOfOtherWriters, KeysThatAreNoCrashRecordsAreIgnored)
{
	g_autoptr(GArray) records = skh_feed_take_crash_records(feed);

	ASSERT_EQ(records->len, 1U);
	EXPECT_EQ(g_array_index(records, skh_crash_record_t, 0).trait, 1U);
	EXPECT_EQ(g_array_index(records, skh_crash_record_t, 0).crash, 2U);
}

// A gateway that ended while its deletion could not be read stayed in the list for good, and the others
// left it a part of their budgets.
TEST_F(Feed, AGatewayThatEndedInAGapOfTheHistoryIsForgotten)
{
	uint64_t last_change = 0;
	const auto wait_for_gateways = [&](guint expected) {
		int64_t ends_us = skh_clock_boot_us() + 3000 * kMs;
		guint n = 0;

		while (skh_clock_boot_us() < ends_us) {
			g_autoptr(GPtrArray) gateways = skh_feed_get_gateways(feed, &last_change);

			n = gateways ? gateways->len : n;
			if (gateways && n == expected)
				return true;
			usleep(5 * kMs);
		}
		return false;
	};

	for (const std::set<std::string> &listed :
	     { std::set<std::string>{ "x", "y" }, std::set<std::string>{ "y" } }) {
		{
			std::lock_guard<std::mutex> guard(store.lock);

			store.values.erase("gateways/x");
			for (const std::string &id : listed)
				store.values["gateways/" + id].value = "10.0.0.1:80";
			store.revision++;
		}
		store.forget_history();
		EXPECT_TRUE(wait_for_gateways(static_cast<guint>(listed.size())));
	}
}

TEST_F(Feed, AServerDeletedFromAQuietStoreGetsNoGracePeriod)
{
	while (store.quiet_polls < kQuietPolls || !store.is_polled)
		usleep(10 * kMs);
	store.set_listed(false);
	EXPECT_TRUE(is_listed_until(false, 500 * kMs));
}

// Review case 6: the server leaves while the gateway that was cut off takes removals for expiries.
TEST_F(Feed, AServerThatLeavesAfterACutIsDroppedWithinTheDrainTime)
{
	int64_t returned_us = cut_off(2500 * kMs);

	usleep(900 * kMs);
	store.set_listed(false);
	EXPECT_TRUE(is_listed_until(false, kDrainUs));
	EXPECT_LT(skh_clock_boot_us() - returned_us, kContactUs);
}

TEST_F(Feed, AServerThatLeftDuringACutIsDroppedBeforeTheGatewayIsBoundAgain)
{
	int64_t returned_us;

	store.silent_call_us = 900 * kMs;
	store.silent_error = SKH_STORE_UNKNOWN;
	store.set_silent(true);
	usleep(1500 * kMs);
	store.set_listed(false);
	returned_us = come_back_in_a_call();
	EXPECT_TRUE(is_listed_until(false, kContactUs));
	EXPECT_LT(skh_clock_boot_us() - returned_us, kContactUs);
}

// The copy that the store comes back from does not list the server.
TEST_F(Feed, AServerMissingAfterADrillIsDroppedBeforeTheGatewayIsBoundAgain)
{
	int64_t returned_us;

	store.silent_call_us = 900 * kMs;
	store.silent_error = SKH_STORE_UNKNOWN;
	store.set_silent(true);
	usleep(1500 * kMs);
	store.values.erase("servers/a");
	store.base.era++;
	returned_us = come_back_in_a_call();
	EXPECT_TRUE(is_listed_until(false, kContactUs));
	EXPECT_LT(skh_clock_boot_us() - returned_us, kContactUs);
}

TEST_F(Feed, AServerWhoseEntryExpiredInAnOutageIsKeptUntilItRegistersAgain)
{
	store.set_silent(true);
	usleep(2500 * kMs);
	store.set_listed(false);
	store.set_silent(false);
	EXPECT_TRUE(stays_listed(kRegistrationUs));
	store.set_listed(true);
	EXPECT_TRUE(stays_listed(1500 * kMs));
}

// An entry may also expire after the store's return, for want of a renewal during the outage.
TEST_F(Feed, AServerWhoseEntryExpiresAfterTheOutageIsKeptUntilItRegistersAgain)
{
	(void)cut_off(2500 * kMs);
	usleep(500 * kMs);
	store.set_listed(false);
	EXPECT_TRUE(stays_listed(kRegistrationUs - 500 * kMs));
	store.set_listed(true);
	EXPECT_TRUE(stays_listed(1500 * kMs));
}

TEST_F(Feed, AServerIsKeptWhileTheStoreIsUnavailableOnceMore)
{
	store.set_silent(true);
	usleep(2500 * kMs);
	store.set_listed(false);
	store.set_silent(false);
	EXPECT_TRUE(stays_listed(1000 * kMs));
	store.set_silent(true);
	EXPECT_TRUE(stays_listed(3000 * kMs));
	store.set_silent(false);
	EXPECT_TRUE(stays_listed(kRegistrationUs - kSlackUs));
	store.set_listed(true);
	EXPECT_TRUE(stays_listed(1500 * kMs));
}

// The removals are not in the history that the store still has.
TEST_F(Feed, AServerThatIsUnlistedAfterAnOutageAndAGapInTheHistoryIsKeptAndThenDropped)
{
	int64_t returned_us;

	store.set_silent(true);
	usleep(2500 * kMs);
	store.set_listed(false);
	store.forget_history();
	store.set_silent(false);
	returned_us = skh_clock_boot_us();
	EXPECT_TRUE(stays_listed(kRegistrationUs));
	EXPECT_TRUE(is_listed_until(false, kContactUs));
	EXPECT_LT(skh_clock_boot_us() - returned_us, kContactUs);
}

// A process that was suspended reads its last response late.
TEST_F(Feed, AServerThatLeavesAfterThisProcessWasSuspendedIsDroppedWithinTheDrainTime)
{
	store.late_us = 3000 * kMs;
	usleep(4000 * kMs);
	store.set_listed(false);
	EXPECT_TRUE(is_listed_until(false, kDrainUs));
}
