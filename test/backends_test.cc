// Guards against requests to servers that no longer exist: after a power loss the list of servers
// still holds entries of instances from before the loss.
#include "backends.h"
#include "clock.h"
#include "dialect.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kSecondUs = 1000000;

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
	void add_to_list(const char *id, const char *host, int64_t started_ms,
			 const char *service = "s")
	{
		skh_server_t *server = g_new0(skh_server_t, 1);

		server->id = g_strdup(id);
		server->service = g_strdup(service);
		server->host = g_strdup(host);
		server->failure_domain = g_strdup("a");
		server->port = 80;
		server->slots = 4;
		server->started_unix_ms = started_ms;
		g_ptr_array_add(roster.servers, server);
		roster.revision++;
		skh_backends_sync(backends, &roster, nullptr);
	}
	void remove_from_list(const std::string &id)
	{
		for (guint i = 0; i < roster.servers->len; i++) {
			if (id ==
			    static_cast<skh_server_t *>(g_ptr_array_index(roster.servers, i))->id) {
				(void)g_ptr_array_remove_index(roster.servers, i);
				break;
			}
		}
		roster.revision++;
		skh_backends_sync(backends, &roster, nullptr);
	}
	// Sets the services that the configuration names.
	void configure(const std::vector<std::string> &services)
	{
		std::string text;
		skh_error_t err = {};

		for (const std::string &service : services)
			text += (text.empty() ? "" : ",") + (R"({"name":")" + service + R"("})");
		text = R"({"version":1,"services":[)" + text + "]}";
		skh_routing_t *routing =
			skh_dialect_find("fleet", &err)
				->read_config(skh_chunk_make(text.data(), text.size()), &err);
		skh_backends_sync(backends, nullptr, routing);
		skh_routing_free(routing);
	}
	std::string select()
	{
		skh_target_pool_t *pool = skh_backends_get_or_create_pool(backends, "s");
		skh_target_t *target =
			skh_target_pool_select(pool, nullptr, {}, skh_clock_boot_us());

		return target ? target->server->id : "-";
	}
};

// The path to another failure domain takes longer and its bytes are paid for.
TEST(Backends, AServerOfTheOwnFailureDomainIsSelectedOnEqualTerms)
{
	Backends t;

	skh_backends_set_failure_domain(t.backends, "b");
	t.add_to_list("one", "127.0.0.1", 1000);
	t.add_to_list("two", "127.0.0.2", 1000);
	skh_target_t *one = skh_backends_find_target(t.backends, "one");
	skh_target_t *two = skh_backends_find_target(t.backends, "two");

	EXPECT_TRUE(one->is_in_other_domain);
	two->is_in_other_domain = false;
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(t.select(), "two");
	two->peers_running = 1;
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(t.select(), "one");
}

// Guards against requests that together do not fit into a server's KV cache.
TEST(Backends, AServerGetsNoMoreTokensThanFitIntoItsCache)
{
	Backends t;

	t.add_to_list("one", "127.0.0.1", 1000);
	t.add_to_list("two", "127.0.0.2", 1000);
	skh_target_t *one = skh_backends_find_target(t.backends, "one");
	skh_target_t *two = skh_backends_find_target(t.backends, "two");
	skh_target_pool_t *pool = one->target_pool;

	pool->cache_capacity = 1000.0;
	pool->next_cache_tokens = 300.0;
	one->own_in_flight = 1;
	one->cache_tokens = 800.0;
	two->own_in_flight = 2;
	two->cache_tokens = 500.0;
	EXPECT_EQ(t.select(), "two");
	// With the reported request of another gateway, of 1,300 / 3 tokens like the own ones.
	two->peers_running = 1;
	EXPECT_EQ(t.select(), "-");
	pool->next_cache_tokens = 50.0;
	EXPECT_EQ(t.select(), "one");
	// A request that fits nowhere goes to a server without others.
	pool->next_cache_tokens = 2000.0;
	EXPECT_EQ(t.select(), "-");
	one->own_in_flight = 0;
	one->cache_tokens = 0.0;
	EXPECT_EQ(t.select(), "one");
	// With a share, the server's statement counts in place of reports.
	one->own_in_flight = 1;
	one->cache_tokens = 300.0;
	two->own_in_flight = 3;
	pool->next_cache_tokens = 300.0;
	int64_t now_us = skh_clock_boot_us();

	EXPECT_EQ(skh_target_pool_select(pool, nullptr, { 0, 1 }, now_us), one);
	skh_target_record_load(one, "4,0,10", 1, now_us);
	EXPECT_EQ(skh_target_pool_select(pool, nullptr, { 0, 1 }, now_us), two);
	EXPECT_EQ(skh_target_pool_select(pool, nullptr, { 0, 1 }, now_us + 2 * kSecondUs), one);
	pool->cache_capacity = 0.0;
	two->own_in_flight = 0;
	two->peers_running = 0;
	one->own_in_flight = 3;
	one->cache_tokens = 1e6;
	EXPECT_EQ(t.select(), "two");
	one->own_in_flight = 0;
}

TEST(Backends, AServerStatesTheRequestsOfOtherGateways)
{
	Backends t;
	int64_t now_us = skh_clock_boot_us();

	t.add_to_list("one", "127.0.0.1", 1000);
	skh_target_t *target = skh_backends_find_target(t.backends, "one");

	for (const char *load : { "", "7", "7,1", "seven,1,10", "-", ",," })
		skh_target_record_load(target, load, 2, now_us);
	EXPECT_EQ(target->stated_us, 0);
	skh_target_record_load(target, "7,1,10", 2, now_us);
	EXPECT_EQ(target->stated_others, 6U);
	EXPECT_EQ(target->stated_us, now_us);
	skh_target_record_load(target, "1,0,10", 2, now_us + 1);
	EXPECT_EQ(target->stated_others, 0U);
}

TEST(Backends, OnlyTheLaterStartedOfTwoServersAtAnAddressIsUsed)
{
	Backends t;

	t.add_to_list("before", "127.0.0.1", 1000);
	EXPECT_EQ(t.select(), "before");
	t.add_to_list("after", "127.0.0.1", 2000);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.select(), "after");
}

// Another writer's entries at the addresses of servers used to take these out of use for good (review
// case 14).
TEST(Backends, AnEntryOfAnUnknownServiceChangesNothingForTheServerAtItsAddress)
{
	Backends t;

	t.configure({ "s", "other" });
	t.add_to_list("one", "127.0.0.1", 1000);
	t.add_to_list("foreign", "127.0.0.1", 2000, "agent");
	EXPECT_EQ(t.select(), "one");
	t.remove_from_list("foreign");
	EXPECT_EQ(t.select(), "one");
	// Before the server's own entry.
	t.remove_from_list("one");
	t.add_to_list("foreign", "127.0.0.1", 2000, "agent");
	t.add_to_list("one", "127.0.0.1", 1000);
	EXPECT_EQ(t.select(), "one");
	// The service becomes a known one, and then an unknown one again.
	t.configure({ "s", "agent" });
	EXPECT_EQ(t.select(), "-");
	t.configure({ "s" });
	EXPECT_EQ(t.select(), "one");
}

// Guards against a mark that outlives the entry that caused it, in any order of coming and going.
TEST(Backends, AServerIsUsedAgainOnceTheNewerEntryAtItsAddressIsGone)
{
	Backends t;

	t.configure({ "s", "other" });
	for (const char *service : { "other", "s" }) {
		t.add_to_list("one", "127.0.0.1", 1000);
		t.add_to_list("newer", "127.0.0.1", 2000, service);
		EXPECT_NE(t.select(), "one");
		t.add_to_list("newest", "127.0.0.1", 3000, service);
		t.remove_from_list("newer");
		EXPECT_NE(t.select(), "one");
		t.add_to_list("oldest", "127.0.0.1", 500, service);
		t.remove_from_list("newest");
		EXPECT_EQ(t.select(), "one");
		t.remove_from_list("one");
		EXPECT_EQ(t.select(), std::string(service) == "s" ? "oldest" : "-");
		t.remove_from_list("oldest");
		EXPECT_EQ(t.select(), "-");
		// The newer one is listed first, and both are replaced at once.
		t.add_to_list("newer", "127.0.0.1", 2000, service);
		t.add_to_list("one", "127.0.0.1", 1000);
		EXPECT_NE(t.select(), "one");
		t.remove_from_list("newer");
		EXPECT_EQ(t.select(), "one");
		t.remove_from_list("one");
	}
}

// Compares the servers in use with those that the listed entries say, after each of many random changes.
TEST(Backends, ServersInUseFollowFromTheEntriesThatStand)
{
	struct Entry {
		std::string id;
		std::string service;
		int address;
		int64_t started_ms;
	};
	std::mt19937 random(53);
	Backends t;
	std::vector<Entry> listed;
	const std::vector<std::string> services = { "s", "other", "agent" };

	t.configure({ "s", "other" });
	for (int step = 0; step < 3000; step++) {
		if (!listed.empty() && random() % 2 == 0) {
			size_t index = random() % listed.size();

			t.remove_from_list(listed[index].id);
			listed.erase(listed.begin() + static_cast<long>(index));
		} else {
			Entry entry = { "i" + std::to_string(step), services[random() % 3],
					static_cast<int>(random() % 3),
					static_cast<int64_t>(random() % 5) };

			t.add_to_list(entry.id.c_str(),
				      ("127.0.0." + std::to_string(entry.address)).c_str(),
				      entry.started_ms, entry.service.c_str());
			listed.push_back(entry);
		}
		for (const Entry &entry : listed) {
			bool is_expected = true;

			for (const Entry &other : listed)
				is_expected = is_expected && !(other.address == entry.address &&
							       other.service != "agent" &&
							       other.started_ms > entry.started_ms);
			const skh_target_t *target =
				skh_backends_find_target(t.backends, entry.id.c_str());

			ASSERT_NE(target, nullptr);
			ASSERT_EQ(!skh_target_is_retired(target), is_expected)
				<< "step " << step << " entry " << entry.id;
		}
	}
}

// A rank whose only stream the gateway does not read, as its caller is slow, sends nothing. Guards
// against moving its requests away and avoiding the rank.
TEST(Backends, RankWhoseStreamsAreNotReadIsNotUnreachable)
{
	Backends t;
	skh_target_pool_t *pool;
	skh_target_t *rank;
	int64_t now_us = 100 * kSecondUs;

	t.add_to_list("a", "10.0.0.1", 1);
	t.add_to_list("b", "10.0.0.2", 1);
	pool = skh_backends_get_or_create_pool(t.backends, "s");
	pool->is_lock_step = true;
	skh_backends_set_members(t.backends, "s", "g0",
				 "epoch 1 ranks 2\n10.0.0.1:80 0\n10.0.0.2:80 1\n", 1);
	rank = skh_backends_find_target(t.backends, "a");
	skh_target_begin_attempt(rank, 1.0, now_us);
	rank->own_streaming++;
	rank->last_received_us = now_us;
	skh_target_set_stream_paused(rank, true, now_us);
	now_us += 3 * kSecondUs;
	skh_backends_find_target(t.backends, "b")->last_received_us = now_us;
	EXPECT_FALSE(skh_target_pool_is_rank_unreachable(pool, rank, now_us));
	// Its silence counts from the time when it is read again.
	skh_target_set_stream_paused(rank, false, now_us);
	EXPECT_FALSE(skh_target_pool_is_rank_unreachable(pool, rank, now_us));
	now_us += 3 * kSecondUs;
	skh_backends_find_target(t.backends, "b")->last_received_us = now_us;
	EXPECT_TRUE(skh_target_pool_is_rank_unreachable(pool, rank, now_us));
	rank->own_streaming--;
	skh_target_result_t result = {};
	result.outcome = SKH_TARGET_OUTCOME_CANCELLED;
	result.expected_tokens = 1.0;
	skh_target_end_attempt(rank, &result, now_us);
}

// A slowdown also applies to a server that is listed later, until the coordinator withdraws it.
TEST(Backends, SlowdownsAreMatchedByAddress)
{
	Backends t;

	t.add_to_list("a", "10.0.0.1", 1);
	skh_backends_set_slowdowns(t.backends, "110.0.0.1:80 9.0\n10.0.0.2:80 4.5\n");
	t.add_to_list("b", "10.0.0.2", 1);
	EXPECT_EQ(skh_backends_find_target(t.backends, "a")->slowdown, 1.0);
	EXPECT_EQ(skh_backends_find_target(t.backends, "b")->slowdown, 4.5);
	// What an earlier notice said does not outlive it.
	skh_backends_set_slowdowns(t.backends, "10.0.0.2:80 -7\n");
	EXPECT_EQ(skh_backends_find_target(t.backends, "b")->slowdown, 1.0);
	skh_backends_set_slowdowns(t.backends, "10.0.0.2:80 2.5\n");
	skh_backends_set_slowdowns(t.backends, "");
	EXPECT_EQ(skh_backends_find_target(t.backends, "b")->slowdown, 1.0);
}

// Also a server that is listed after its domain went out of service.
TEST(Backends, AServerOfADomainOutOfServiceIsNotSelected)
{
	Backends t;
	skh_domain_status_t *status = skh_domain_status_new();
	skh_domain_news_t news = {};
	skh_target_pool_t *pool = skh_backends_get_or_create_pool(t.backends, "s");

	news.kind = SKH_DOMAIN_NEWS_OUT;
	news.domain = skh_domain_hash("a");
	news.revision = 5;
	t.add_to_list("one", "127.0.0.1", 1000);
	EXPECT_EQ(t.select(), "one");
	pool->completed[0] = 8.0;
	EXPECT_TRUE(skh_domain_status_apply(status, &news, 1));
	skh_backends_set_domains(t.backends, status);
	EXPECT_EQ(t.select(), "-");
	EXPECT_TRUE(skh_target_pool_is_out_of_service(pool));
	EXPECT_EQ(pool->completed[0], 0.0) << "its capacity does not count";
	t.add_to_list("two", "127.0.0.2", 1000);
	EXPECT_EQ(t.select(), "-");
	static_cast<skh_server_t *>(g_ptr_array_index(t.roster.servers, 1))->failure_domain[0] =
		'b';
	skh_backends_sync(t.backends, &t.roster, nullptr);
	EXPECT_EQ(t.select(), "two");
	EXPECT_FALSE(skh_target_pool_is_out_of_service(pool));
	news.kind = SKH_DOMAIN_NEWS_BACK;
	news.revision = 6;
	EXPECT_TRUE(skh_domain_status_apply(status, &news, 1));
	skh_backends_set_domains(t.backends, status);
	std::string seen;
	for (int i = 0; i < 50; i++)
		seen += t.select();
	EXPECT_NE(seen.find("one"), std::string::npos);
	skh_domain_status_free(status);
}

// Guards against a burst by a gateway that has just started: the list may be read before the
// configuration, and the entries may be older than the return of the servers' domain.
TEST(Backends, AServerListedFirstCountsAsColdUntilALaterEntry)
{
	Backends t;
	skh_routing_t *routing = skh_routing_new();
	skh_service_info_t service = {};

	service.name = g_strdup("s");
	service.cold_start_us = 3 * kSecondUs;
	service.cold_per_s = 26.0;
	g_array_append_val(routing->services, service);
	t.add_to_list("one", "127.0.0.1", 1000);
	EXPECT_EQ(t.select(), "one");
	skh_backends_set_cold_bounds(t.backends, 1.5, 5.0);
	skh_backends_sync(t.backends, nullptr, routing);
	EXPECT_EQ(t.select(), "-");
	skh_target_t *target = skh_backends_find_target(t.backends, "one");
	const int64_t now = skh_clock_boot_us();

	skh_server_warmth_record_entry(&target->warmth, 0, 0, 0, now, now);
	EXPECT_EQ(t.select(), "-") << "the entry that was read first";
	skh_server_warmth_record_entry(&target->warmth, 0, 0, 1, now + kSecondUs, now + kSecondUs);
	EXPECT_FALSE(skh_server_warmth_is_cold(&target->warmth, now + kSecondUs));
	t.add_to_list("two", "127.0.0.2", 1000);
	EXPECT_TRUE(skh_server_warmth_is_cold(&skh_backends_find_target(t.backends, "two")->warmth,
					      skh_clock_boot_us()));
	skh_routing_free(routing);
}

// Also a server whose domain has no region in the settings is not used.
TEST(Backends, AServerOutsideTheAllowedRegionsIsNotSelected)
{
	Backends t;
	GHashTable *regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_autoptr(GPtrArray) eu = g_ptr_array_new();
	skh_target_pool_t *pool = skh_backends_get_or_create_pool(t.backends, "s");
	const skh_homes_t homes = { eu, nullptr };

	g_ptr_array_add(eu, const_cast<char *>("eu"));
	t.add_to_list("one", "127.0.0.1", 1000);
	EXPECT_EQ(skh_target_pool_find_home(pool, &homes), SKH_HOME_NO_SERVER);
	g_hash_table_insert(regions, g_strdup("a"), g_strdup("us"));
	g_hash_table_insert(regions, g_strdup("b"), g_strdup("eu"));
	skh_backends_set_regions(t.backends, regions);
	EXPECT_EQ(skh_target_pool_find_home(pool, &homes), SKH_HOME_NO_SERVER);
	skh_target_pool_set_homes(pool, &homes);
	EXPECT_EQ(t.select(), "-");
	t.add_to_list("two", "127.0.0.2", 1000);
	static_cast<skh_server_t *>(g_ptr_array_index(t.roster.servers, 1))->failure_domain[0] =
		'b';
	skh_backends_sync(t.backends, &t.roster, nullptr);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.select(), "two");
	EXPECT_EQ(skh_target_pool_find_home(pool, &homes), SKH_HOME_SERVED);
}

TEST(Backends, AnOlderServerListedLaterIsNotUsed)
{
	Backends t;

	t.add_to_list("after", "127.0.0.1", 2000);
	t.add_to_list("before", "127.0.0.1", 1000);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.select(), "after");
}

// Another instance has the server's address, but the list may not show that yet.
TEST(Backends, AServerIsAvoidedAfterAnotherInstanceRespondedAtItsAddress)
{
	Backends t;
	skh_target_t *target;

	t.add_to_list("one", "127.0.0.1", 1000);
	t.add_to_list("two", "127.0.0.2", 1000);
	target = skh_backends_find_target(t.backends, "one");
	target->references++;
	skh_target_result_t result = {};

	result.expected_tokens = 1.0;
	result.outcome = SKH_TARGET_OUTCOME_WRONG_INSTANCE;
	skh_target_begin_attempt(target, 1.0, skh_clock_boot_us());
	skh_target_end_attempt(target, &result, skh_clock_boot_us());
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.select(), "two");
	EXPECT_TRUE(skh_target_pool_select(target->target_pool, nullptr, {},
					   skh_clock_boot_us() + 60 * kSecondUs));
	skh_target_unref(target);
}

// The server's own word comes before the list shows it, and the list may show an older state.
TEST(Backends, AServerThatSaysItIsLeavingGetsNoRequestsUntilItStartsAgain)
{
	Backends t;

	t.add_to_list("one", "127.0.0.1", 1000);
	t.add_to_list("two", "127.0.0.2", 1000);
	skh_target_record_leaving(skh_backends_find_target(t.backends, "one"));
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.select(), "two");
	skh_backends_sync(t.backends, &t.roster, nullptr);
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(t.select(), "two");
	skh_target_record_leaving(skh_backends_find_target(t.backends, "two"));
	EXPECT_EQ(t.select(), "-");
	EXPECT_FALSE(skh_target_pool_has_servers(skh_backends_get_or_create_pool(t.backends, "s")));
	static_cast<skh_server_t *>(g_ptr_array_index(t.roster.servers, 0))->started_unix_ms = 2000;
	skh_backends_sync(t.backends, &t.roster, nullptr);
	EXPECT_EQ(t.select(), "one");
}

TEST(Backends, AServerThatAskedForAPauseGetsNoRequestsDuringIt)
{
	struct {
		const char *header;
		int64_t wait_us;
	} const rows[] = {
		{ "2", 2 * kSecondUs },
		{ "0.25", kSecondUs / 4 },
		{ "1e9", 600 * kSecondUs },
		{ "0", 0 },
		{ "-3", 0 },
		{ "soon", 0 },
		{ "", 0 },
		{ "Wed, 21 Oct 2026 07:28:00 GMT", 0 },
		{ "nan", 0 },
		{ "2 s", 0 },
	};

	for (const auto &row : rows) {
		Backends t;
		int64_t now_us = skh_clock_boot_us();

		t.add_to_list("one", "127.0.0.1", 1000);
		skh_target_t *target = skh_backends_find_target(t.backends, "one");
		skh_target_pool_t *pool = target->target_pool;

		skh_target_record_retry_after(target, row.header, now_us);
		EXPECT_EQ(skh_target_pool_accepts_from_us(pool, now_us),
			  row.wait_us > 0 ? now_us + row.wait_us : 0)
			<< row.header;
		EXPECT_EQ(skh_target_pool_select(pool, nullptr, {}, now_us + row.wait_us - 1) !=
				  nullptr,
			  row.wait_us == 0)
			<< row.header;
		EXPECT_TRUE(skh_target_pool_select(pool, nullptr, {}, now_us + row.wait_us));
		/* A shorter pause asked for later does not end the longer one. */
		skh_target_record_retry_after(target, "0.001", now_us);
		EXPECT_GE(target->rejects_until_us, now_us + row.wait_us);
	}
}

TEST(Backends, APoolAcceptsRequestsAsSoonAsOneServerDoes)
{
	Backends t;
	int64_t now_us = skh_clock_boot_us();

	t.add_to_list("one", "127.0.0.1", 1000);
	t.add_to_list("two", "127.0.0.2", 1000);
	t.add_to_list("gone", "127.0.0.3", 1000);
	skh_target_pool_t *pool = skh_backends_get_or_create_pool(t.backends, "s");

	skh_target_record_leaving(skh_backends_find_target(t.backends, "gone"));
	skh_target_record_retry_after(skh_backends_find_target(t.backends, "one"), "5", now_us);
	EXPECT_EQ(skh_target_pool_accepts_from_us(pool, now_us), 0);
	skh_target_record_retry_after(skh_backends_find_target(t.backends, "two"), "3", now_us);
	EXPECT_EQ(skh_target_pool_accepts_from_us(pool, now_us), now_us + 3 * kSecondUs);
	EXPECT_EQ(skh_target_pool_accepts_from_us(pool, now_us + 3 * kSecondUs), 0);
}

} // namespace
