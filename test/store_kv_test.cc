// Responses of the platform's store with entries of other writers. Guards against an entry that keeps
// the whole list from being read.
#include "dialect.h"
#include "store.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

// Answers a request with each JSON document and closes its connection.
class OneResponse
{
      public:
	explicit OneResponse(const std::string &json) : OneResponse(std::vector{ json })
	{
	}
	explicit OneResponse(const std::vector<std::string> &documents)
	{
		sockaddr_in bound = {};
		socklen_t len = sizeof(bound);

		listener = socket(AF_INET, SOCK_STREAM, 0);
		bound.sin_family = AF_INET;
		bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&bound), len), 0);
		EXPECT_EQ(listen(listener, 1), 0);
		EXPECT_EQ(getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &len), 0);
		endpoint = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
		server = std::thread([this, documents] {
			for (const std::string &json : documents)
				respond(json);
		});
	}
	~OneResponse()
	{
		server.join();
		close(listener);
	}
	OneResponse(const OneResponse &) = delete;
	OneResponse &operator=(const OneResponse &) = delete;

	std::string endpoint;
	std::vector<std::string> targets; // of the requests; to be read once all were answered

      private:
	void respond(const std::string &json)
	{
		const std::string text =
			"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(json.size()) +
			"\r\nConnection: close\r\n\r\n" + json;
		int peer = accept(listener, nullptr, nullptr);
		char request[4096];
		ssize_t n = recv(peer, request, sizeof(request), 0);

		EXPECT_GT(n, 0);
		const std::string head(request, static_cast<size_t>(n > 0 ? n : 0));

		targets.push_back(head.substr(4, head.find(" HTTP") - 4));
		EXPECT_EQ(send(peer, text.data(), text.size(), 0),
			  static_cast<ssize_t>(text.size()));
		close(peer);
	}

	int listener;
	std::thread server;
};

skh_store_t *open_store(const OneResponse &response)
{
	skh_error_t err;

	return skh_dialect_find("fleet", &err)->open_store(response.endpoint.c_str(), 5000);
}

} // namespace

// A zero byte in one key made the JSON parser reject the page with all servers, again and again.
TEST(StoreKv, KeyWithAZeroByteLeavesTheOthersReadable)
{
	OneResponse response(R"({"current-rev":9,"truncated":false,"items":[
		{"key":"servers/a","value":"QQ==","revision":5,"create-rev":5,"lease":0},
		{"key":"servers/b\u0000c","value":"QQ==","revision":6,"create-rev":6,"lease":0},
		{"key":"servers/d","value":"QgBD","revision":7,"create-rev":7,"lease":0},
		{"key":"servers/e","value":"Qg==","revision":8,"create-rev":8,"lease":0}]})");
	skh_store_t *store = open_store(response);
	skh_kv_pairs_t pairs;
	skh_error_t err = {};

	ASSERT_TRUE(store->ops->range(store, "servers/", true, &pairs, &err)) << err.text;
	ASSERT_EQ(pairs.count, 3U);
	EXPECT_STREQ(pairs.list[0].key, "servers/a");
	EXPECT_STREQ(pairs.list[0].value, "A");
	EXPECT_STREQ(pairs.list[1].key, "servers/d");
	EXPECT_STREQ(pairs.list[1].value, "") << "a value with a zero byte is no text";
	EXPECT_STREQ(pairs.list[2].value, "B");
	skh_kv_pairs_clear(&pairs);
	store->ops->close(store);
}

// A page without a usable entry used to end the list, and all servers behind it were missing.
TEST(StoreKv, PagesBehindEntriesOfOtherWritersAreRead)
{
	OneResponse response(std::vector<std::string>{
		R"({"current-rev":9,"truncated":true,"items":[{"key":"servers/a\u0000/b c"}]})",
		R"({"current-rev":9,"truncated":true,"items":[{"key":"servers/b","value":"QQ=="},
			{"key":"servers/c"}]})",
		R"({"current-rev":9,"truncated":false,"items":[{"key":"servers/d","value":"QQ=="}]})" });
	skh_store_t *store = open_store(response);
	skh_kv_pairs_t pairs;
	skh_error_t err = {};

	ASSERT_TRUE(store->ops->range(store, "servers/", true, &pairs, &err)) << err.text;
	ASSERT_EQ(pairs.count, 2U);
	EXPECT_STREQ(pairs.list[0].key, "servers/b");
	EXPECT_STREQ(pairs.list[1].key, "servers/d");
	ASSERT_EQ(response.targets.size(), 3U);
	EXPECT_EQ(response.targets[1], "/v1/kv-range?prefix=servers/&after=servers%2Fa%00%2Fb%20c");
	EXPECT_EQ(response.targets[2], "/v1/kv-range?prefix=servers/&after=servers/c");
	skh_kv_pairs_clear(&pairs);
	store->ops->close(store);
}

TEST(StoreKv, ChangeOfAKeyWithAZeroByteLeavesTheOthersReadable)
{
	OneResponse response(R"({"current-rev":9,"events":[
		{"key":"servers/b\u0000c","value":"QQ==","revision":6},
		{"key":"servers/e","revision":8,"tombstone":true}]})");
	skh_store_t *store = open_store(response);
	skh_kv_changes_t changes;
	skh_error_t err = {};

	ASSERT_TRUE(store->ops->poll_changes(store, "servers/", 5, 1, &changes, &err)) << err.text;
	ASSERT_EQ(changes.count, 1U);
	EXPECT_STREQ(changes.list[0].key, "servers/e");
	EXPECT_EQ(changes.store_revision, 9);
	skh_kv_changes_clear(&changes);
	store->ops->close(store);
}
