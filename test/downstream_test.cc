// Tests of connections from callers on real sockets: callers that do not read, read slowly or send
// more than there is room for, beside others. Guards against memory that grows with what slow
// callers leave unread, and against harm to the other callers.
#include "clock.h"
#include "downstream.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

constexpr size_t kPieceBytes = 16384;
constexpr size_t kLargeBytes = 2 << 20;
constexpr int64_t kMemoryMb = 16; // 4 MB for buffers
// No result depends on it: it only ends a test that hangs.
constexpr int64_t kHangTimeoutUs = 20 * SKH_US_PER_S;

struct Server;

struct Response {
	Server *server;
	skh_caller_conn_t *conn;
	bool is_endless;
};

// A listener whose requests are responded to by path: /endless, /held, /large, or else one piece.
struct Server {
	explicit Server(uv_loop_t *loop, int64_t memory_mb)
	{
		static const skh_listener_ops_t ops = { on_request, on_disconnect, on_writable };
		skh_caller_limits_t limits = {};
		sockaddr_in address = {};
		socklen_t len = sizeof(address);
		int probe = socket(AF_INET, SOCK_STREAM, 0);
		skh_error_t err;

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(probe, reinterpret_cast<sockaddr *>(&address), len), 0);
		EXPECT_EQ(getsockname(probe, reinterpret_cast<sockaddr *>(&address), &len), 0);
		close(probe);
		port = ntohs(address.sin_port);
		listener = skh_listener_start(loop, ("127.0.0.1:" + std::to_string(port)).c_str(),
					      &ops, this, &err);
		EXPECT_NE(listener, nullptr);
		limits.max_header_bytes = 16384;
		limits.max_body_bytes = 4 << 20;
		skh_listener_set_limits(listener, &limits);
		skh_memory_budget_set_limit(&memory, memory_mb);
		skh_listener_set_memory(listener, &memory);
	}

	static void write_endless(Response *response)
	{
		static const std::string piece(kPieceBytes, 'x');

		while (!skh_caller_conn_has_write_backlog(response->conn))
			skh_caller_conn_write(response->conn,
					      skh_chunk_make(piece.data(), piece.size()));
	}

	static void on_request(void *context, skh_caller_conn_t *conn,
			       const skh_http_message_t *request)
	{
		auto *server = static_cast<Server *>(context);
		std::string path = request->request_target->str;
		skh_response_head_t head = {};

		server->n_requests++;
		server->responses.push_back(
			std::make_unique<Response>(Response{ server, conn, path == "/endless" }));
		skh_caller_conn_set_exchange(conn, server->responses.back().get());
		if (path == "/held")
			return;
		head.status = 200;
		head.reason = "OK";
		head.headers = "";
		head.is_chunked = path == "/endless";
		std::string body(path == "/large" ? kLargeBytes : kPieceBytes, 'y');
		head.content_length = body.size();
		skh_caller_conn_begin_response(conn, &head);
		if (path == "/endless") {
			write_endless(server->responses.back().get());
			return;
		}
		skh_caller_conn_write(conn, skh_chunk_make(body.data(), body.size()));
		skh_caller_conn_end_response(conn);
	}

	static void on_disconnect(void *context, void *exchange)
	{
		auto *server = static_cast<Server *>(context);

		server->n_disconnects++;
		server->disconnected.push_back(static_cast<Response *>(exchange)->conn);
	}

	static void on_writable(void *, void *exchange)
	{
		auto *response = static_cast<Response *>(exchange);

		if (response->is_endless)
			write_endless(response);
	}

	skh_listener_t *listener;
	skh_memory_budget_t memory = {};
	uint16_t port;
	int n_requests = 0;
	int n_disconnects = 0;
	std::vector<std::unique_ptr<Response>> responses;
	std::vector<skh_caller_conn_t *> disconnected;
};

struct Caller {
	Caller(const Server &server, const std::string &request)
	{
		sockaddr_in address = {};
		int receive_bytes = 16384;

		fd = socket(AF_INET, SOCK_STREAM, 0);
		(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(server.port);
		EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
		unsent = request;
	}
	~Caller()
	{
		close(fd);
	}
	Caller(const Caller &) = delete;
	Caller &operator=(const Caller &) = delete;

	void send_some()
	{
		ssize_t n = send(fd, unsent.data(), unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n > 0)
			unsent.erase(0, static_cast<size_t>(n));
	}

	void receive_some(size_t max_bytes)
	{
		std::string bytes(max_bytes, 0);
		ssize_t n = recv(fd, bytes.data(), max_bytes, MSG_DONTWAIT);

		if (n > 0) {
			n_received += static_cast<size_t>(n);
			if (text.size() < 1000)
				text.append(bytes, 0, static_cast<size_t>(n));
		}
	}

	int fd;
	std::string unsent;
	size_t n_received = 0;
	std::string text; // start of what was received
};

std::string get(const std::string &path)
{
	return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

std::string post(const std::string &path, size_t bytes)
{
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes) +
	       "\r\n\r\n" + std::string(bytes, 'b');
}

class Downstream : public testing::Test
{
      protected:
	void SetUp() override
	{
		EXPECT_EQ(uv_loop_init(&loop), 0);
		limited = std::make_unique<Server>(&loop, kMemoryMb);
		unlimited = std::make_unique<Server>(&loop, 0);
		start_us = skh_clock_boot_us();
	}

	void TearDown() override
	{
		for (Server *server : { limited.get(), unlimited.get() })
			skh_listener_close(server->listener);
		while (uv_run(&loop, UV_RUN_NOWAIT) != 0)
			;
		EXPECT_EQ(skh_memory_budget_used(&limited->memory), 0U);
		for (Server *server : { limited.get(), unlimited.get() })
			skh_listener_free(server->listener);
		EXPECT_EQ(uv_loop_close(&loop), 0);
	}

	int64_t elapsed_us() const
	{
		return skh_clock_boot_us() - start_us;
	}

	// Runs the loop and @step in turn until @done.
	template <typename Done, typename Step> void run_until(Done done, Step step)
	{
		int64_t hang_us = skh_clock_boot_us() + kHangTimeoutUs;

		while (!done()) {
			(void)uv_run(&loop, UV_RUN_NOWAIT);
			step();
			(void)usleep(200);
			if (skh_clock_boot_us() > hang_us) {
				ADD_FAILURE() << "no progress before the timeout";
				return;
			}
		}
	}

	uv_loop_t loop = {};
	std::unique_ptr<Server> limited;
	std::unique_ptr<Server> unlimited;
	int64_t start_us = 0;
};

} // namespace

// The caller's stall is 5 s, so the test takes that long.
TEST_F(Downstream, CallerThatDoesNotReadIsClosedAndOthersContinue)
{
	Caller silent(*limited, get("/endless"));
	Caller slow(*limited, get("/endless"));
	Caller fast(*limited, get("/endless"));
	Caller silent_unlimited(*unlimited, get("/endless"));
	int64_t next_slow_us = 0;
	int64_t closed_us = 0;
	size_t fast_before_close = 0;
	size_t max_used = 0;

	run_until([&] { return elapsed_us() > 6500 * SKH_US_PER_MS; },
		  [&] {
			  for (Caller *caller : { &silent, &slow, &fast, &silent_unlimited })
				  caller->send_some();
			  fast.receive_some(1 << 16);
			  if (elapsed_us() >= next_slow_us) {
				  next_slow_us += 250 * SKH_US_PER_MS;
				  slow.receive_some(1 << 14);
			  }
			  max_used = std::max(max_used, skh_memory_budget_used(&limited->memory));
			  if (closed_us == 0 && limited->n_disconnects > 0) {
				  closed_us = elapsed_us();
				  fast_before_close = fast.n_received;
			  }
		  });
	ASSERT_EQ(limited->n_disconnects, 1);
	EXPECT_EQ(limited->disconnected[0], limited->responses[0]->conn);
	EXPECT_GE(closed_us, 4900 * SKH_US_PER_MS);
	EXPECT_LE(closed_us, 6000 * SKH_US_PER_MS);
	EXPECT_GT(fast.n_received, fast_before_close + (1U << 20));
	EXPECT_GT(slow.n_received, 100000U);
	EXPECT_LE(max_used, limited->memory.limit_bytes);
	// Without a limit as before.
	EXPECT_EQ(unlimited->n_disconnects, 0);
}

// Each connection may hold little, but there are many of them.
TEST_F(Downstream, ManyCallersThatDoNotReadStayWithinTheLimit)
{
	std::vector<std::unique_ptr<Caller>> silent;
	size_t max_used = 0;

	for (int i = 0; i < 200; i++)
		silent.push_back(std::make_unique<Caller>(*limited, get("/endless")));
	Caller fast(*limited, get("/endless"));
	run_until([&] { return fast.n_received > (20U << 20); },
		  [&] {
			  for (auto &caller : silent)
				  caller->send_some();
			  fast.send_some();
			  fast.receive_some(1 << 16);
			  max_used = std::max(max_used, skh_memory_budget_used(&limited->memory));
		  });
	EXPECT_EQ(limited->n_requests, 201);
	// Each may hold a piece of its response beyond its part.
	EXPECT_LE(max_used, limited->memory.limit_bytes + 201 * 2 * kPieceBytes);
}

// A caller that sends requests without reading the responses fills memory with them.
TEST_F(Downstream, PipelinedRequestsWaitUntilResponsesAreRead)
{
	constexpr int n = 500;
	std::string requests;

	for (int i = 0; i < n; i++)
		requests += get("/body");
	Caller caller(*limited, requests);
	run_until([&] { return elapsed_us() > 500 * SKH_US_PER_MS; }, [&] { caller.send_some(); });
	EXPECT_GT(limited->n_requests, 0);
	EXPECT_LT(limited->n_requests, 60); // 256 KiB of 16 KiB each, and the sockets' buffers
	run_until([&] { return caller.n_received >= n * kPieceBytes; },
		  [&] {
			  caller.send_some();
			  caller.receive_some(1 << 16);
		  });
	EXPECT_EQ(limited->n_requests, n);
}

// A gateway that was suspended has not given its callers the time to read.
TEST_F(Downstream, CallerIsNotClosedForTheTimeInWhichTheGatewayWasSuspended)
{
	Caller silent(*limited, get("/endless"));

	run_until([&] { return elapsed_us() > SKH_US_PER_S; }, [&] { silent.send_some(); });
	(void)usleep(5 * SKH_US_PER_S);
	run_until([&] { return elapsed_us() > 7 * SKH_US_PER_S; }, [] {});
	EXPECT_EQ(limited->n_requests, 1);
	EXPECT_EQ(limited->n_disconnects, 0);
}

// Guards against closing the connection of a slow reader a second after the end of its response,
// and against a planned stop that does so.
TEST_F(Downstream, SlowReaderGetsItsLastResponseWhole)
{
	Caller closing(*limited, "GET /large HTTP/1.1\r\nConnection: close\r\n\r\n");
	Caller stopped(*limited, get("/large"));
	int64_t next_read_us = 0;
	bool is_draining = false;

	run_until(
		[&] {
			return closing.n_received > kLargeBytes && stopped.n_received > kLargeBytes;
		},
		[&] {
			for (Caller *caller : { &closing, &stopped })
				caller->send_some();
			if (!is_draining && elapsed_us() > 300 * SKH_US_PER_MS) {
				is_draining = true;
				skh_listener_drain(limited->listener);
				EXPECT_TRUE(skh_listener_has_unsent(limited->listener));
			}
			if (elapsed_us() < next_read_us)
				return;
			next_read_us += 50 * SKH_US_PER_MS;
			closing.receive_some(40000);
			stopped.receive_some(40000);
		});
	EXPECT_GT(elapsed_us(), 2 * SKH_US_PER_S);
	EXPECT_FALSE(skh_listener_has_unsent(limited->listener));
}

TEST_F(Downstream, RequestBodiesWaitForRoomThenAreServed)
{
	std::string request = post("/held", 1000000);
	Caller first(*limited, request);
	Caller second(*limited, request);
	Caller third(*limited, request);
	skh_response_head_t head = {};

	run_until([&] { return limited->n_requests == 1; }, [&] { first.send_some(); });
	run_until([&] { return elapsed_us() > 500 * SKH_US_PER_MS; },
		  [&] {
			  second.send_some();
			  third.send_some();
		  });
	// Half of 4 MB holds one body beside which there is no room for another with its buffer.
	EXPECT_EQ(limited->n_requests, 1);
	EXPECT_LE(limited->memory.used_bytes[SKH_MEMORY_REQUESTS], limited->memory.limit_bytes / 2);
	head.status = 200;
	head.reason = "OK";
	head.headers = "";
	skh_caller_conn_begin_response(limited->responses[0]->conn, &head);
	skh_caller_conn_end_response(limited->responses[0]->conn);
	run_until([&] { return limited->n_requests == 2; },
		  [&] {
			  second.send_some();
			  third.send_some();
		  });
	// The other finds no room in time and is told that it did not run.
	run_until([&] { return third.text.size() + second.text.size() > 0; },
		  [&] {
			  second.receive_some(1000);
			  third.receive_some(1000);
		  });
	EXPECT_NE((third.text + second.text).find(" 503 "), std::string::npos);
	EXPECT_NE((third.text + second.text).find("Retry-After: 0.5"), std::string::npos);
	EXPECT_LT(elapsed_us(), 2500 * SKH_US_PER_MS);
	EXPECT_EQ(limited->n_requests, 2);
}
