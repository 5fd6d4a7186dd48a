// Orders to an engine that sends copies of earlier responses. Guards against a copy that counts as the
// answer to an order: a rank would count as armed that is not.
#include "clock.h"
#include "engine_client.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

constexpr int64_t kTimeoutUs = 20 * SKH_US_PER_S;

std::string make_response(int status)
{
	return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 2\r\n\r\n{}";
}

// Answers requests for state with 200 and orders with 409. On a connection that has carried a request
// before, a copy of the last response comes first.
class Engine
{
      public:
	explicit Engine(uv_loop_t *loop) : loop(loop)
	{
		sockaddr_in bound = {};
		socklen_t len = sizeof(bound);

		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		bound.sin_family = AF_INET;
		bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&bound), len), 0);
		EXPECT_EQ(listen(listener, 8), 0);
		EXPECT_EQ(getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &len), 0);
		address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
	}
	~Engine()
	{
		for (const Connection &connection : connections)
			close(connection.fd);
		close(listener);
	}
	Engine(const Engine &) = delete;
	Engine &operator=(const Engine &) = delete;

	// Serves until the client has got its answer.
	void serve_until(const bool &is_done)
	{
		while (!is_done) {
			(void)uv_run(loop, UV_RUN_NOWAIT);
			int fd = accept(listener, nullptr, nullptr);

			if (fd >= 0)
				connections.push_back({ fd, "" });
			for (Connection &connection : connections)
				serve(&connection);
		}
	}

	std::string address;

      private:
	struct Connection {
		int fd;
		std::string last_response;
	};

	static void serve(Connection *connection)
	{
		char request[4096];
		ssize_t n = recv(connection->fd, request, sizeof(request), MSG_DONTWAIT);

		if (n <= 0)
			return;
		std::string response = make_response(request[0] == 'G' ? 200 : 409);
		std::string text = connection->last_response + response;

		connection->last_response = response;
		EXPECT_EQ(send(connection->fd, text.data(), text.size(), MSG_NOSIGNAL),
			  static_cast<ssize_t>(text.size()));
	}

	uv_loop_t *loop;
	int listener;
	std::vector<Connection> connections;
};

struct Answer {
	bool is_done = false;
	int32_t status = 0;
};

void on_response(void *context, uint32_t, int32_t status, skh_chunk_t)
{
	*static_cast<Answer *>(context) = { true, status };
}

} // namespace

TEST(EngineClient, CopyOfAnEarlierResponseAnswersNoOrder)
{
	uv_loop_t loop;
	skh_upstream_pool_options_t options = {};

	ASSERT_EQ(uv_loop_init(&loop), 0);
	options.attempt_id_header = "";
	options.connect_timeout_us = kTimeoutUs;
	options.unacked_timeout_us = kTimeoutUs;
	options.idle_timeout_us = kTimeoutUs;
	options.max_idle_connections = 2;
	{
		Engine engine(&loop);
		skh_engine_client_t *client =
			skh_engine_client_new(&loop, engine.address.c_str(), &options);

		for (int round = 0; round < 5; round++) {
			Answer state;
			Answer order;

			skh_engine_client_get(client, "/state", kTimeoutUs, 0, on_response, &state);
			engine.serve_until(state.is_done);
			skh_engine_client_order(client, "/order", skh_chunk_from_string("{}"),
						kTimeoutUs, 0, on_response, &order);
			engine.serve_until(order.is_done);
			EXPECT_EQ(order.status, 409) << round;
		}
		skh_engine_client_free(client);
		(void)uv_run(&loop, UV_RUN_DEFAULT);
	}
	(void)uv_run(&loop, UV_RUN_DEFAULT);
	EXPECT_EQ(uv_loop_close(&loop), 0);
}
