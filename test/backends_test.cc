// The list of servers after a power loss, when it still names those from before.
#include "backends.h"
#include "clock.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kS = 1000000;

struct Backends {
	uv_loop_t loop = {};
	skh_upstream_pool_options_t options = {};
	skh_roster_t roster = {};
	skh_backends_t *backends = nullptr;

	Backends()
	{
		options.attempt_id_header = "Id";
		EXPECT_EQ(uv_loop_init(&loop), 0);
		roster.servers = g_ptr_array_new_with_free_func([](gpointer server) {
			skh_server_free(static_cast<skh_server_t *>(server));
		});
		backends = skh_backends_new(&loop, &options);
	}
	~Backends()
	{
		skh_backends_free(backends);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
		g_ptr_array_unref(roster.servers);
	}
	void list(const char *id, const char *host, int64_t born_ms)
	{
		skh_server_t *server = g_new0(skh_server_t, 1);

		server->id = g_strdup(id);
		server->service = g_strdup("s");
		server->host = g_strdup(host);
		server->failure_domain = g_strdup("a");
		server->port = 80;
		server->slots = 4;
		server->started_unix_ms = born_ms;
		g_ptr_array_add(roster.servers, server);
		roster.revision++;
		skh_backends_sync(backends, &roster, nullptr);
	}
	std::string pick()
	{
		skh_target_pool_t *front = skh_backends_get_or_create_pool(backends, "s");
		skh_target_t *target = skh_target_pool_select(front, nullptr, skh_clock_boot_us());

		return target ? target->server->id : "-";
	}
};

TEST(Backends, OfTwoAtOneAddressOnlyTheLaterStartIsUsed)
{
	Backends t;

	t.list("before", "127.0.0.1", 1000);
	EXPECT_EQ(t.pick(), "before");
	t.list("after", "127.0.0.1", 2000);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.pick(), "after");
}

// What a coordinator tells holds for servers that are listed later, too, until it is taken back.
TEST(Backends, ASlowRankIsKnownByItsAddress)
{
	Backends t;

	t.list("a", "10.0.0.1", 1);
	skh_backends_set_slowdowns(t.backends, "110.0.0.1:80 9.0\n10.0.0.2:80 4.5\n");
	t.list("b", "10.0.0.2", 1);
	EXPECT_EQ(skh_backends_find_target(t.backends, "a")->slowdown, 1.0);
	EXPECT_EQ(skh_backends_find_target(t.backends, "b")->slowdown, 4.5);
	skh_backends_set_slowdowns(t.backends, "");
	EXPECT_EQ(skh_backends_find_target(t.backends, "b")->slowdown, 1.0);
}

TEST(Backends, TheOrderOfTheListDoesNotMatter)
{
	Backends t;

	t.list("after", "127.0.0.1", 2000);
	t.list("before", "127.0.0.1", 1000);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.pick(), "after");
}

// Its entry may still be on its way: the address belongs to somebody else meanwhile.
TEST(Backends, AServerWhoseAddressAnsweredForAnotherIsLeftAlone)
{
	Backends t;
	skh_target_t *target;

	t.list("one", "127.0.0.1", 1000);
	t.list("two", "127.0.0.2", 1000);
	target = skh_backends_find_target(t.backends, "one");
	target->references++;
	skh_target_result_t use = {};

	use.expected_tokens = 1.0;
	use.outcome = SKH_OUTCOME_WRONG_INSTANCE;
	skh_target_begin_request(target, 1.0, skh_clock_boot_us());
	skh_target_end_request(target, &use, skh_clock_boot_us());
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.pick(), "two");
	EXPECT_TRUE(skh_target_pool_select(target->target_pool, nullptr,
					   skh_clock_boot_us() + 60 * kS));
	skh_target_unref(target);
}

} // namespace
