// Connections to backend servers: what counts as a whole answer.
#include "clock.h"
#include "upstream.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cstring>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

struct Seen {
	bool ended = false;
	bool lost = false;
	std::string body;
};

bool on_head(void *, const skh_http_message_t *)
{
	return true;
}

void on_body(void *context, skh_chunk_t bytes)
{
	static_cast<Seen *>(context)->body.append(reinterpret_cast<const char *>(bytes.data),
						  bytes.len);
}

void on_end(void *context, const skh_http_message_t *)
{
	static_cast<Seen *>(context)->ended = true;
}

void on_lost(void *context, skh_upstream_error_t, bool)
{
	static_cast<Seen *>(context)->lost = true;
}

const skh_upstream_ops_t ops = { on_head, on_body, on_end, on_lost };

// No verdict depends on time: a timeout of this length only ends a run that hangs.
constexpr int64_t kHungUs = 60 * SKH_US_PER_S;

// A server on loopback that is driven step by step between turns of the loop.
class Pair
{
      public:
	Pair()
	{
		sockaddr_in address = {};
		socklen_t len = sizeof(address);

		listener = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&address), len), 0);
		EXPECT_EQ(listen(listener, 8), 0);
		EXPECT_EQ(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &len), 0);
		options = { "X-Id", kHungUs, kHungUs, kHungUs, 4 };
		EXPECT_EQ(uv_loop_init(&loop), 0);
		(void)uv_timer_init(&loop, &guard);
		guard.data = this;
		(void)uv_timer_start(&guard, on_guard, kHungUs / SKH_US_PER_MS, 0);
		pool = skh_upstream_pool_new(&loop, "127.0.0.1", ntohs(address.sin_port), &options);
	}

	~Pair()
	{
		uv_close(reinterpret_cast<uv_handle_t *>(&guard), nullptr);
		skh_upstream_pool_free(pool);
		(void)uv_run(&loop, UV_RUN_NOWAIT);
		close(peer);
		close(listener);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
	}

	void send(Seen *seen, const char *id)
	{
		static const char request[] = "GET / HTTP/1.1\r\n\r\n";
		skh_upstream_request_t what = {};

		what.bytes = skh_chunk_from_string(request);
		what.attempt_id = id;
		(void)skh_upstream_pool_send(pool, &what, &ops, seen);
		if (peer < 0)
			peer = accept(listener, nullptr, nullptr);
		receive();
	}

	void answer(const std::string &text)
	{
		EXPECT_EQ(write(peer, text.data(), text.size()), static_cast<ssize_t>(text.size()));
	}

	// The reset arrives together with the last bytes.
	void reset()
	{
		const linger now = { 1, 0 };

		(void)setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		close(peer);
		peer = -1;
	}

	// Nothing of the request is left unread, which would turn the end into a reset.
	void finish()
	{
		close(peer);
		peer = -1;
	}

	// Turns the loop until the request has ended, one way or the other.
	void settle(const Seen &seen)
	{
		while (!seen.ended && !seen.lost && !hung)
			(void)uv_run(&loop, UV_RUN_ONCE);
	}

      private:
	// Reads a whole request; the loop goes on meanwhile.
	void receive()
	{
		std::string request;
		char bytes[256];
		uv_poll_t readable;

		(void)uv_poll_init(&loop, &readable, peer);
		(void)uv_poll_start(&readable, UV_READABLE, [](uv_poll_t *, int, int) {});
		while (request.find("\r\n\r\n") == std::string::npos && !hung) {
			ssize_t n = recv(peer, bytes, sizeof(bytes), MSG_DONTWAIT);

			if (n > 0)
				request.append(bytes, static_cast<size_t>(n));
			else
				(void)uv_run(&loop, UV_RUN_ONCE);
		}
		uv_close(reinterpret_cast<uv_handle_t *>(&readable), nullptr);
		(void)uv_run(&loop, UV_RUN_NOWAIT);
	}

	static void on_guard(uv_timer_t *timer)
	{
		ADD_FAILURE() << "nothing comes";
		static_cast<Pair *>(timer->data)->hung = true;
	}

	uv_loop_t loop = {};
	uv_timer_t guard = {};
	bool hung = false;
	skh_upstream_pool_options_t options = {};
	skh_upstream_pool_t *pool = nullptr;
	int listener = -1;
	int peer = -1;
};

} // namespace

TEST(Upstream, AnAnswerWithoutALengthThatIsResetIsNotWhole)
{
	Pair pair;
	Seen seen;

	pair.send(&seen, "a");
	pair.answer("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf of it");
	pair.reset();
	pair.settle(seen);
	EXPECT_FALSE(seen.ended);
	EXPECT_TRUE(seen.lost);
}

TEST(Upstream, AnAnswerWithoutALengthEndsWithItsConnection)
{
	Pair pair;
	Seen seen;

	pair.send(&seen, "a");
	pair.answer("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it");
	pair.finish();
	pair.settle(seen);
	EXPECT_TRUE(seen.ended);
	EXPECT_EQ(seen.body, "all of it");
}

TEST(Upstream, AnotherRequestsAnswerIsSkipped)
{
	Pair pair;
	Seen seen;

	pair.send(&seen, "b");
	pair.answer("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nold"
		    "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\nnew");
	pair.settle(seen);
	EXPECT_TRUE(seen.ended);
	EXPECT_EQ(seen.body, "new");
}

TEST(Upstream, AConnectionWithBytesLeftOverIsNotUsedAgain)
{
	Pair pair;
	Seen first;
	Seen second;

	pair.send(&first, "a");
	pair.answer("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200");
	pair.settle(first);
	EXPECT_TRUE(first.ended);
	pair.finish();
	pair.send(&second, "b");
	pair.answer("HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nhi");
	pair.settle(second);
	EXPECT_EQ(second.body, "hi");
}

TEST(Upstream, BytesThatAreNoAnswerLoseTheRequest)
{
	Pair pair;
	Seen seen;

	pair.send(&seen, "a");
	pair.answer("HTP/9 nonsense\r\n\r\n");
	pair.settle(seen);
	EXPECT_TRUE(seen.lost);
	EXPECT_FALSE(seen.ended);
}
