// Orders to engines that may have restarted into another group, on real sockets: relay, direct
// orders, polls and probes. Guards against an order of one group that an engine of another carries
// out, as engines know neither the group nor comparable epochs and fencing tokens.
#include "clock.h"
#include "dialect.h"
#include "downstream.h"
#include "groupview.h"
#include "metrics.h"
#include "order_sender.h"
#include "rank_poller.h"
#include "rankrelay.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;
constexpr uint32_t kRanks = 2;

std::string free_address()
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {};
	socklen_t len = sizeof(address);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr *>(&address), len), 0);
	EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr *>(&address), &len), 0);
	close(fd);
	return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// An engine that reports its group and counts the orders that it gets.
struct Engine {
	explicit Engine(uv_loop_t *loop) : address(free_address())
	{
		static const skh_listener_ops_t ops = {
			[](void *context, skh_caller_conn_t *conn,
			   const skh_http_message_t *request) {
				static_cast<Engine *>(context)->respond(conn, request);
			},
			[](void *, void *) {},
			[](void *, void *) {},
		};
		skh_error_t err = {};

		listener = skh_listener_start(loop, address.c_str(), &ops, this, &err);
		EXPECT_NE(listener, nullptr) << err.text;
	}

	void respond(skh_caller_conn_t *conn, const skh_http_message_t *request)
	{
		std::string body = "{}";
		skh_response_head_t head = {};

		if (std::string(request->request_target->str) == "/v1/order")
			n_orders++;
		else if (std::string(request->request_target->str) == "/v1/picked")
			body = make_counts();
		else
			body = "{\"group\":{\"name\":\"" + group +
			       "\",\"epoch\":" + std::to_string(take_epoch()) +
			       ",\"rank\":" + std::to_string(rank) +
			       ",\"state\":\"open\"},\"size\":2,\"step\":7}";
		n_reports += std::string(request->request_target->str) == "/v1/report";
		head.status = 200;
		head.reason = "OK";
		head.headers = "";
		head.content_length = body.size();
		skh_caller_conn_begin_response(conn, &head);
		skh_caller_conn_write(conn, skh_chunk_make(body.data(), body.size()));
		skh_caller_conn_end_response(conn);
	}

	// Each read comes after another pass, in which each expert was chosen ten times.
	std::string make_counts()
	{
		std::string count = std::to_string(10 * ++n_counts);
		bool is_wrong = n_counts == wrong_counts || n_counts == wrong_counts + 1;
		int64_t said_epoch = is_wrong ? epoch + 8 : epoch;

		return "{\"step\":" + std::to_string(n_counts) +
		       ",\"epoch\":" + std::to_string(said_epoch) + ",\"counts\":[" + count + "," +
		       count + "," + count + "," + count + "]}";
	}

	int64_t take_epoch()
	{
		if (n_wrong_epochs == 0)
			return epoch;
		n_wrong_epochs--;
		return epoch + 8;
	}

	std::string address;
	std::string group = "a";
	int64_t epoch = 1;
	int n_wrong_epochs = 0;
	int n_counts = 0;
	int wrong_counts = -1; // the first of two reads whose epoch is wrong
	uint32_t rank = 1;
	int n_orders = 0;
	int n_reports = 0;
	skh_listener_t *listener = nullptr;
};

// Two engines, a view of group "a" and a sender of orders. Everything lives until the process
// ends, as a relay does.
struct World {
	World()
	{
		uv_loop_init(&loop);
		uv_timer_init(&loop, &timer);
		for (Engine *&engine : engines)
			engine = new Engine(&loop);
		pool_options.attempt_id_header = "";
		pool_options.connect_timeout_us = 100 * kMs;
		pool_options.unacked_timeout_us = 1000 * kMs;
		pool_options.idle_timeout_us = 1000 * kMs;
		pool_options.max_idle_connections = 1;
		dialect = skh_dialect_find("fleet", &err);
		spec.expert_sets = 1;
		spec.experts_per_set = 4;
		spec.slots_per_rank = 2;
		start_view();
	}

	void start_view()
	{
		skh_groupview_options_t view_options = {};
		skh_order_sender_options_t sender_options = {};

		view_options.loop = &loop;
		view_options.dialect = dialect;
		view_options.pool_options = &pool_options;
		view_options.group = "a";
		view_options.on_rank_state = [](void *, uint32_t, int64_t, int64_t) {};
		view_options.on_poll_done = [](void *context, uint32_t rank, int64_t now_us) {
			skh_order_sender_record_poll(static_cast<World *>(context)->sender, rank,
						     now_us);
		};
		view_options.context = this;
		skh_groupview_init(&view, &view_options, &spec);
		sender_options.dialect = dialect;
		sender_options.view = &view;
		sender_options.on_result = [](void *context, uint32_t,
					      skh_mapchange_order_result_t result) {
			static_cast<World *>(context)->results.push_back(result);
		};
		sender_options.poll_engine = [](void *context, uint32_t rank) {
			skh_groupview_poll_rank(&static_cast<World *>(context)->view, rank,
						skh_clock_boot_us());
		};
		sender_options.context = this;
		sender = skh_order_sender_new(&sender_options);
		skh_order_sender_resize(sender, kRanks);
		skh_order_sender_begin_change(sender, 0);
	}

	void run(int64_t duration_ms)
	{
		uv_timer_start(
			&timer, [](uv_timer_t *t) { uv_stop(t->loop); },
			static_cast<uint64_t>(duration_ms), 0);
		uv_run(&loop, UV_RUN_DEFAULT);
	}

	void report(uint32_t rank, const std::string &address, uint32_t size = kRanks,
		    int64_t epoch = 1)
	{
		Skh__RankReport message = SKH__RANK_REPORT__INIT;

		message.group = const_cast<char *>("a");
		message.engine = const_cast<char *>(address.c_str());
		message.relay = const_cast<char *>("127.0.0.1:1");
		message.rank = rank;
		message.size = size;
		message.open = 1;
		message.epoch = epoch;
		message.sender = 1 + rank;
		message.number = ++n_messages;
		EXPECT_TRUE(skh_groupview_record_report(&view, &message, rank == 0,
							skh_clock_boot_us()));
	}

	// As if rank 1 had no process beside it.
	void send_direct(int64_t epoch)
	{
		skh_rank_order_t order = {};

		if (view.ranks[1].relay)
			skh_engine_client_free(view.ranks[1].relay);
		view.ranks[1].relay = nullptr;
		order.rank = 1;
		order.order.op = SKH_ENGINE_HOLD;
		order.order.pass = 9;
		order.order.epoch = epoch;
		skh_order_sender_send(sender, &order, 1);
	}

	~World() = delete;

	uv_loop_t loop;
	uv_timer_t timer;
	Engine *engines[kRanks];
	skh_upstream_pool_options_t pool_options = {};
	skh_engine_spec_t spec = {};
	skh_error_t err = {};
	const skh_dialect_t *dialect;
	skh_groupview_t view;
	skh_order_sender_t *sender = nullptr;
	std::vector<skh_mapchange_order_result_t> results;
	uint64_t n_messages = 0;
};

// Never destroyed, so that they stay reachable for the leak check.
auto &worlds = *new std::vector<World *>();

World *new_world()
{
	worlds.push_back(new World());
	worlds.back()->report(0, worlds.back()->engines[0]->address);
	worlds.back()->report(1, worlds.back()->engines[1]->address);
	return worlds.back();
}

} // namespace

TEST(GroupOrders, DirectOrderIsSentOnceTheEngineHasNamedItsGroup)
{
	World *world = new_world();

	world->send_direct(1);
	world->run(100);
	EXPECT_EQ(world->engines[1]->n_reports, 1) << "the engine is asked first";
	EXPECT_EQ(world->engines[1]->n_orders, 1);
	world->send_direct(1);
	world->run(100);
	EXPECT_EQ(world->engines[1]->n_reports, 1) << "its response is recent enough";
	EXPECT_EQ(world->engines[1]->n_orders, 2);
	world->run(350);
	world->send_direct(1);
	world->run(100);
	EXPECT_EQ(world->engines[1]->n_reports, 2);
	EXPECT_EQ(world->results.size(), 3U);
	EXPECT_EQ(world->results.back(), SKH_MAPCHANGE_ORDER_ACCEPTED);
}

TEST(GroupOrders, EngineThatRestartedIntoAnotherGroupGetsNoDirectOrder)
{
	World *world = new_world();

	world->engines[1]->group = "b";
	world->send_direct(1);
	world->run(100);
	EXPECT_EQ(world->engines[1]->n_orders, 0);
	ASSERT_EQ(world->results.size(), 1U);
	EXPECT_EQ(world->results[0], SKH_MAPCHANGE_ORDER_NO_RESPONSE);
	EXPECT_FALSE(world->view.ranks[1].has_report);
	EXPECT_TRUE(skh_groupview_has_unknown_ranks(&world->view));
}

TEST(GroupOrders, EngineOfAnotherEpochGetsNoDirectOrder)
{
	World *world = new_world();

	world->engines[1]->epoch = 2;
	world->send_direct(1);
	world->run(100);
	EXPECT_EQ(world->engines[1]->n_orders, 0);
}

TEST(GroupOrders, OrderWaitingForTheEngineEndsWithItsChange)
{
	World *world = new_world();

	world->send_direct(1);
	skh_order_sender_begin_change(world->sender, 0);
	world->run(100);
	EXPECT_EQ(world->engines[1]->n_orders, 0);
	EXPECT_TRUE(world->results.empty());
}

// The poll that the order waits for is cancelled with the client of the former address.
TEST(GroupOrders, OrderWaitingForAnEngineThatMovedGetsAResult)
{
	World *world = new_world();

	world->send_direct(1);
	world->report(1, "127.0.0.1:2", kRanks, 2);
	world->run(50);
	EXPECT_EQ(world->engines[1]->n_orders, 0);
	EXPECT_EQ(world->results.size(), 1U);
}

TEST(GroupOrders, PollThatNamesAnotherRankMakesTheRankUnknown)
{
	World *world = new_world();

	world->engines[1]->rank = 0;
	skh_groupview_poll_rank(&world->view, 1, skh_clock_boot_us());
	world->run(50);
	EXPECT_TRUE(skh_groupview_has_unknown_ranks(&world->view));
	EXPECT_FALSE(world->view.ranks[1].has_report);
	world->engines[1]->rank = 1;
	EXPECT_TRUE(skh_groupview_probe_engine(&world->view, world->engines[1]->address.c_str(),
					       skh_clock_boot_us()));
	world->run(50);
	EXPECT_FALSE(skh_groupview_has_unknown_ranks(&world->view));
	EXPECT_TRUE(world->view.ranks[1].has_report);
}

TEST(GroupOrders, ProbeOfAnotherGroupsEngineIsIgnored)
{
	worlds.push_back(new World());
	World *world = worlds.back();

	world->report(0, world->engines[0]->address);
	world->engines[1]->group = "b";
	EXPECT_TRUE(skh_groupview_probe_engine(&world->view, world->engines[1]->address.c_str(),
					       skh_clock_boot_us()));
	world->run(50);
	EXPECT_EQ(world->engines[1]->n_reports, 1);
	EXPECT_EQ(world->view.ranks[1].engine, nullptr);
}

TEST(GroupOrders, EngineThatMovesToAnotherRankIsNoLongerTheFormerRank)
{
	World *world = new_world();

	world->report(0, world->engines[1]->address, kRanks, 2);
	EXPECT_TRUE(world->view.ranks[0].has_report);
	EXPECT_FALSE(world->view.ranks[1].has_report);
	EXPECT_TRUE(skh_groupview_has_unknown_ranks(&world->view));
}

TEST(GroupMembers, AreWrittenAndPolledByTheNextCoordinator)
{
	World *world = new_world();
	char *text = skh_groupview_format_members(&world->view);
	skh_members_notice_t *notice = skh_members_notice_parse(text);

	EXPECT_EQ(std::string(text), "epoch 1 ranks 2\n" + world->engines[0]->address + " 0\n" +
					     world->engines[1]->address + " 1\n");
	ASSERT_NE(notice, nullptr);
	worlds.push_back(new World());
	World *next = worlds.back();
	skh_groupview_adopt_members(&next->view, notice, skh_clock_boot_us());
	EXPECT_EQ(next->view.n_ranks, 0U) << "a notice does not say how large the group is now";
	next->report(0, next->engines[0]->address);
	next->engines[1]->address = world->engines[1]->address;
	skh_groupview_adopt_members(&next->view, notice, skh_clock_boot_us());
	for (int i = 0; i < 10 && !next->view.ranks[1].has_report; i++) {
		next->run(10);
		world->run(10); // its engines respond
	}
	EXPECT_TRUE(next->view.ranks[1].has_report);
	EXPECT_FALSE(skh_groupview_has_unknown_ranks(&next->view));
	skh_members_notice_free(notice);
	g_free(text);
}

// The notice is of an earlier coordinator: one engine is in another group now, one is gone.
TEST(GroupMembers, OutdatedNoticeIsNotBelieved)
{
	for (bool is_gone : { false, true }) {
		worlds.push_back(new World());
		World *world = worlds.back();
		std::string address = is_gone ? "127.0.0.1:1" : world->engines[1]->address;
		skh_member_t member = { address.data(), 1 };
		const skh_members_notice_t notice = { 1, 2, 1, &member };

		world->engines[1]->group = "b";
		world->report(0, world->engines[0]->address);
		skh_groupview_adopt_members(&world->view, &notice, skh_clock_boot_us());
		world->run(150);
		EXPECT_FALSE(world->view.ranks[1].has_report);
		EXPECT_TRUE(skh_groupview_has_unknown_ranks(&world->view))
			<< "the rank must be searched for in the list of servers";
	}
}

namespace
{

// A process beside engine 1, with a poller that polls only when told to.
struct Process {
	explicit Process(World *world) : world(world), address(free_address())
	{
		static const skh_rank_poller_ops_t ops = {
			[](void *) {},
			[](void *context) {
				auto *process = static_cast<Process *>(context);

				process->n_groups++;
				if (process->relay)
					skh_rankrelay_reset(process->relay);
			},
			[](void *context, const skh_demand_sample_t *sample) {
				static_cast<Process *>(context)->sample_epochs.push_back(
					sample->epoch);
			},
		};
		const std::string &engine_address = world->engines[1]->address;

		engine = skh_engine_client_new(&world->loop, engine_address.c_str(),
					       &world->pool_options);
		poller = skh_rank_poller_new(engine, world->dialect, &ops, this);
		relay = skh_rankrelay_start(&world->loop, address.c_str(), engine, poller,
					    world->dialect, &world->pool_options, &world->err);
		EXPECT_NE(relay, nullptr) << world->err.text;
		coordinator =
			skh_engine_client_new(&world->loop, address.c_str(), &world->pool_options);
	}

	// A new state takes effect with the second response.
	void poll()
	{
		for (int i = 0; i < 2; i++) {
			skh_rank_poller_poll_now(poller);
			skh_rank_poller_tick(poller, skh_clock_boot_us());
			world->run(50);
		}
	}

	int32_t send(const char *group, const char *engine_address = nullptr, int64_t epoch = 1)
	{
		skh_mapchange_order_t order = {};
		skh_buffer_t packed = SKH_BUFFER_INIT;

		order.op = SKH_ENGINE_ARM;
		order.map_version = 5;
		order.pass = 9;
		order.epoch = epoch;
		skh_rankrelay_pack(&order, nullptr, 0, group, engine_address, &packed);
		status = -1;
		skh_engine_client_post(
			coordinator, SKH_RANKRELAY_PATH, skh_buffer_chunk(&packed), 300 * kMs, 0,
			[](void *context, uint32_t, int32_t response, skh_chunk_t) {
				static_cast<Process *>(context)->status = response;
			},
			this);
		skh_buffer_free(&packed);
		world->run(100);
		return status;
	}

	World *world;
	std::string address;
	skh_engine_client_t *engine;
	skh_rank_poller_t *poller;
	skh_rankrelay_t *relay = nullptr;
	skh_engine_client_t *coordinator;
	int n_groups = 0;
	int32_t status = 0;
	std::vector<int64_t> sample_epochs;
};

auto &processes = *new std::vector<Process *>();

Process *new_process(World *world)
{
	processes.push_back(new Process(world));
	return processes.back();
}

} // namespace

TEST(GroupRelay, OrderOfTheEnginesGroupIsPassedOn)
{
	World *world = new_world();
	Process *process = new_process(world);

	EXPECT_EQ(process->send("a"), SKH_RANKRELAY_STATUS_OTHER_GROUP)
		<< "the group is unknown yet";
	process->poll();
	EXPECT_EQ(process->send("a"), 200);
	EXPECT_EQ(world->engines[1]->n_orders, 1);
	EXPECT_EQ(world->engines[1]->n_reports, 2) << "the poll is recent enough";
	EXPECT_EQ(process->send("b"), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(process->send(""), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(world->engines[1]->n_orders, 1);
}

// The process was frozen while its engine restarted: what it knows of the engine is old.
TEST(GroupRelay, FrozenProcessAsksItsEngineFirst)
{
	World *world = new_world();
	Process *process = new_process(world);

	process->poll();
	world->run(350);
	EXPECT_EQ(process->send("a"), 200);
	EXPECT_EQ(world->engines[1]->n_reports, 3);
	EXPECT_EQ(world->engines[1]->n_orders, 1);
	world->engines[1]->group = "b";
	world->run(350);
	EXPECT_EQ(process->send("a"), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(world->engines[1]->n_orders, 1);
}

// One response with a wrong epoch rejected the order, and the coordinator waited 250 ms for a reason.
TEST(GroupRelay, OneResponseThatNamesAnotherEpochRejectsNoOrder)
{
	World *world = new_world();
	Process *process = new_process(world);

	process->poll();
	world->run(350);
	world->engines[1]->n_wrong_epochs = 1;
	EXPECT_EQ(process->send("a"), 200);
	EXPECT_EQ(world->engines[1]->n_orders, 1);
	world->run(350);
	world->engines[1]->n_wrong_epochs = 2;
	EXPECT_EQ(process->send("a"), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(world->engines[1]->n_orders, 1);
}

// After one sample of a later epoch, the coordinator took all others for old, and the map followed
// demand no more.
TEST(GroupRelay, CountsOfAnotherEpochAreIgnored)
{
	World *world = new_world();
	Process *process = new_process(world);

	process->poll();
	skh_rank_poller_set_engine_spec(process->poller, &world->spec);
	world->engines[1]->wrong_counts = 4;
	for (int i = 0; i < 100 && process->sample_epochs.size() < 6; i++) {
		skh_rank_poller_tick(process->poller, skh_clock_boot_us());
		world->run(20);
	}
	EXPECT_EQ(process->sample_epochs, std::vector<int64_t>(6, 1));
	EXPECT_GT(world->engines[1]->n_counts, 6);
}

TEST(GroupRelay, OrderToTheCoordinatorsEngineIsSentOnlyIfItNamesTheGroup)
{
	World *world = new_world();
	Process *process = new_process(world);
	const char *other = world->engines[0]->address.c_str();

	process->poll();
	EXPECT_EQ(process->send("a", other), 200);
	EXPECT_EQ(process->send("a", other, 2), SKH_RANKRELAY_STATUS_OTHER_GROUP) << "other epoch";
	world->engines[0]->group = "b";
	EXPECT_EQ(process->send("a", other), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(world->engines[0]->n_orders, 1);
}

TEST(GroupRelay, ChangeOfTheGroupIsNoticed)
{
	World *world = new_world();
	Process *process = new_process(world);
	uint64_t before = skh_metrics_get(SKH_COUNT_FOREIGN_ORDERS);

	process->poll();
	EXPECT_EQ(process->n_groups, 1);
	process->poll();
	EXPECT_EQ(process->n_groups, 1);
	world->engines[1]->group = "b";
	process->poll();
	EXPECT_EQ(process->n_groups, 2);
	EXPECT_EQ(process->send("a"), SKH_RANKRELAY_STATUS_OTHER_GROUP);
	EXPECT_EQ(process->send("b"), 200);
	EXPECT_EQ(skh_metrics_get(SKH_COUNT_FOREIGN_ORDERS) - before, 1U);
}
