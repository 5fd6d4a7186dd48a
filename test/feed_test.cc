// The gateway's poll of the store. Guards against a quiet store that is taken for an outage: the
// entries that are deleted after an outage count as possibly expired, and their servers keep
// getting requests.
#include "board.h"
#include "clock.h"
#include "fake_store.h"
#include "feed.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>

namespace
{

constexpr int64_t kMs = 1000;
constexpr int kQuietPolls = 2;

std::atomic<int> n_polls;
std::atomic<int64_t> deleted_us;

// Nothing changes during the first polls, which wait as long as they may; then a server leaves.
bool poll_changes(skh_store_t *, const char *, int64_t after, int64_t wait_ms,
		  skh_kv_changes_t *changes, skh_error_t *)
{
	*changes = {};
	changes->store_revision = after;
	if (++n_polls != kQuietPolls + 1) {
		usleep(static_cast<useconds_t>(wait_ms * kMs));
		return true;
	}
	changes->list = g_new0(skh_kv_change_t, 1);
	changes->count = 1;
	changes->list[0].key = g_strdup("servers/a");
	changes->list[0].mod_revision = after + 1;
	changes->store_revision = after + 1;
	deleted_us = skh_clock_boot_us();
	return true;
}

bool is_listed(skh_board_t *board)
{
	const skh_roster_t *roster = skh_board_acquire_roster(board);
	bool found = roster && skh_roster_find(roster, "a");

	skh_board_release(roster);
	return found;
}

} // namespace

TEST(Feed, AServerDeletedFromAQuietStoreGetsNoGracePeriod)
{
	FakeStore fake;
	skh_store_ops_t ops = fake_store::ops;
	skh_error_t err = {};
	skh_feed_options_t options = {};

	ops.poll_changes = poll_changes;
	fake.base.ops = &ops;
	fake.values["servers/a"].value =
		R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"1","slots":1,)"
		R"("state":"ready","cold-remaining-ms":0,"sequence":1})";
	options.store = &fake.base;
	options.dialect = skh_dialect_find("fleet", &err);
	options.board = skh_board_new();
	options.poll_interval_us = 600 * kMs;
	options.poll_timeout_ms = 1000;
	options.gateways_prefix = "gateways/";
	options.notify = [](void *) {};

	skh_feed_t *feed = skh_feed_start(&options);

	while (deleted_us == 0)
		usleep(10 * kMs);
	EXPECT_TRUE(n_polls > kQuietPolls);
	while (is_listed(options.board) && skh_clock_boot_us() < deleted_us + 3000 * kMs)
		usleep(10 * kMs);
	EXPECT_LT(skh_clock_boot_us() - deleted_us, 500 * kMs);
	skh_feed_stop(feed);
	skh_board_free(options.board);
}
