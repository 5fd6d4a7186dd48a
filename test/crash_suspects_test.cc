#include "crash_suspects.h"
#include "seeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{
constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;

// The content and shared parts of a request, for calls by value.
struct Request {
	uint64_t content;
	std::vector<uint64_t> parts;
};

class Suspects
{
      public:
	explicit Suspects(uint64_t seed = 1) : suspects_(skh_crash_suspects_new(seed))
	{
	}
	~Suspects()
	{
		skh_crash_suspects_free(suspects_);
	}
	Suspects(const Suspects &) = delete;
	Suspects &operator=(const Suspects &) = delete;

	skh_crash_suspects_t *get()
	{
		return suspects_;
	}

	template <typename Fn> auto with(const Request &request, Fn fn)
	{
		std::vector<uint64_t> hashes = request.parts;
		const skh_prompt_parts_t parts = { hashes.data(), (uint32_t)hashes.size() };
		const skh_request_traits_t traits = { request.content, &parts };

		return fn(&traits);
	}
	void lose(const Request &request, uint64_t instance, int64_t now)
	{
		with(request, [&](const skh_request_traits_t *traits) {
			skh_crash_suspects_record_loss(suspects_, traits, instance, now);
		});
	}
	void survive(const Request &request, int64_t now)
	{
		with(request, [&](const skh_request_traits_t *traits) {
			skh_crash_suspects_record_survival(suspects_, traits, now);
		});
	}
	void crash(const Request &request, uint64_t instance, int64_t now)
	{
		lose(request, instance, now);
		(void)skh_crash_suspects_record_crash(suspects_, instance, now + 1);
	}
	void merge(uint64_t trait, uint64_t crash, bool is_cleared, int64_t now)
	{
		const skh_crash_record_t record = { trait, crash,
						    is_cleared ? SKH_CRASH_FINDING_CLEARED
							       : SKH_CRASH_FINDING_SUSPECTED };

		skh_crash_suspects_merge(suspects_, &record, now);
	}
	skh_crash_verdict_t judge(const Request &request, int64_t now)
	{
		return with(request, [&](const skh_request_traits_t *traits) {
			return skh_crash_suspects_judge(suspects_, traits, now);
		});
	}
	bool is_rejected(const Request &request, int64_t now)
	{
		return judge(request, now) == SKH_CRASH_VERDICT_REJECTED;
	}
	bool is_retry_blocked(const Request &request, int64_t now)
	{
		return with(request, [&](const skh_request_traits_t *traits) {
			return skh_crash_suspects_is_retry_blocked(suspects_, traits, now);
		});
	}
	std::vector<skh_crash_record_t> take_news(int64_t now, uint32_t max = 16)
	{
		std::vector<skh_crash_record_t> records(max);

		records.resize(skh_crash_suspects_take_news(suspects_, records.data(), max, now));
		return records;
	}
	std::vector<skh_crash_record_t> take_unstored(int64_t now)
	{
		std::vector<skh_crash_record_t> records(32);

		records.resize(
			skh_crash_suspects_take_unstored(suspects_, records.data(), 32, now));
		return records;
	}

      private:
	skh_crash_suspects_t *suspects_;
};

std::vector<std::string> parse(const char *list)
{
	skh_prompt_parts_t parts = skh_prompt_parts_parse(list, "model");
	std::vector<std::string> hashes;

	for (uint32_t i = 0; i < parts.count; i++)
		hashes.push_back(std::to_string(parts.hashes[i]));
	skh_prompt_parts_clear(&parts);
	return hashes;
}
} // namespace

TEST(PromptParts, TheLastPartIsNotShared)
{
	EXPECT_EQ(parse(nullptr).size(), 0U);
	EXPECT_EQ(parse("aa:1").size(), 0U);
	EXPECT_EQ(parse("aa:1,bb:2,cc:3").size(), 2U);
	EXPECT_EQ(parse("aa:1,bb:2"), parse(" AA:7,cc:3"));
	EXPECT_NE(parse("aa:1,bb:2"), parse("ab:1,bb:2"));
	EXPECT_EQ(parse(",,:4,aa:1,").size(), 1U) << "entries without an id";
}

// --- One request ---

TEST(CrashSuspects, ALostConnectionAloneIsNotACrash)
{
	Suspects suspects;

	for (int i = 0; i < 10; i++)
		suspects.lose({ 1, {} }, 100, kS + i * kS);
	EXPECT_FALSE(suspects.is_retry_blocked({ 1, {} }, 11 * kS));
}

TEST(CrashSuspects, ThreeCrashesRejectARequestAndAResponseClearsIt)
{
	Suspects suspects;

	for (int i = 0; i < 3; i++) {
		int64_t now = (10 + 10 * i) * kS;

		EXPECT_FALSE(suspects.is_rejected({ 1, {} }, now));
		suspects.lose({ 1, {} }, 100 + i, now);
		suspects.lose({ 2, {} }, 100 + i, now);
		(void)skh_crash_suspects_record_crash(suspects.get(), 100 + i, now + kS);
		suspects.survive({ 2, {} }, now + kS); // response from another server
	}
	EXPECT_TRUE(suspects.is_rejected({ 1, {} }, 40 * kS));
	EXPECT_FALSE(suspects.is_retry_blocked({ 2, {} }, 40 * kS));
	EXPECT_FALSE(suspects.is_rejected({ 1, {} }, 40 * kS + SKH_CRASH_SUSPECTS_EXPIRY_US));
}

// Each gateway that lost a request there tells of the same crash.
TEST(CrashSuspects, ACrashReportedTwiceCountsOnce)
{
	Suspects suspects;

	suspects.crash({ 1, {} }, 77, kS);
	for (int i = 0; i < 5; i++)
		suspects.merge(1, 77, false, kS + i * 7 * kS);
	EXPECT_FALSE(suspects.is_retry_blocked({ 1, {} }, 36 * kS));
	suspects.merge(1, 78, false, 36 * kS);
	EXPECT_TRUE(suspects.is_retry_blocked({ 1, {} }, 36 * kS));
}

// --- Prompt parts ---

TEST(CrashSuspects, APartThatCrashesServersIsRejectedInAllRequests)
{
	Suspects suspects;

	for (uint64_t i = 0; i < 3; i++) {
		suspects.crash({ 10 + i, { 1, 2, 66 } }, 100 + i, (1 + 5 * (int64_t)i) * kS);
		for (uint64_t j = 0; j < 8; j++)
			suspects.survive({ 20 + j, { 1, 2 } }, (3 + 5 * (int64_t)i) * kS);
	}
	EXPECT_TRUE(suspects.is_rejected({ 99, { 1, 3, 66 } }, 14 * kS));
	EXPECT_FALSE(suspects.is_rejected({ 99, { 1, 2, 3 } }, 14 * kS)) << "sound parts";
}

TEST(CrashSuspects, CrashesOfARejectedPartDoNotCountAgainstOthers)
{
	Suspects suspects;

	for (uint64_t i = 0; i < 4; i++) {
		const uint64_t tenant = i < 3 ? 7 : 8;

		suspects.crash({ 10 + i, { tenant, 66 } }, 100 + i, (1 + 5 * (int64_t)i) * kS);
	}
	(void)skh_crash_suspects_update(suspects.get(), 20 * kS);
	EXPECT_TRUE(suspects.is_rejected({ 98, { 9, 66 } }, 20 * kS));
	EXPECT_FALSE(suspects.is_rejected({ 99, { 7, 9 } }, 20 * kS));
}

TEST(CrashSuspects, ADomainThatCrashesAtOnceLeavesItsCommonPartsAllowed)
{
	Suspects suspects;

	for (uint64_t i = 0; i < 9; i++)
		suspects.crash({ 10 + i, { 1, 2 } }, 100 + i, kS);
	EXPECT_FALSE(suspects.is_rejected({ 99, { 1, 2 } }, 2 * kS));
	suspects.survive({ 99, { 1, 2 } }, 3 * kS);
	EXPECT_FALSE(suspects.is_retry_blocked({ 98, { 1, 2 } }, 4 * kS));
}

// All gateways have started again, so none knows which parts are sound.
TEST(CrashSuspects, APartOfAThirdOfAllRequestsNeedsFiveCrashes)
{
	Suspects suspects;

	for (uint64_t i = 0; i < 5; i++) {
		suspects.crash({ 10 + i, { 1 } }, 100 + i, (2 + 5 * (int64_t)i) * kS);
		for (uint64_t j = 0; j < 60; j++) {
			int64_t now = (3 + 5 * (int64_t)i) * kS;

			if (i > 0) {
				EXPECT_EQ(suspects.is_rejected({ 200 + j, { j % 3 } }, now),
					  i == 4 && j % 3 == 1);
			}
			if (j % 3 != 1)
				suspects.survive({ 200 + j, { j % 3 } }, now);
		}
	}
}

TEST(CrashSuspects, APartThatSurvivedLatelyNeedsFiveCrashes)
{
	Suspects suspects;

	suspects.survive({ 5, { 1 } }, kS);
	for (uint64_t i = 0; i < 5; i++) {
		EXPECT_FALSE(suspects.is_rejected({ 6, { 1 } }, (2 + 3 * (int64_t)i) * kS));
		suspects.crash({ 10 + i, { 1 } }, 100 + i, (2 + 3 * (int64_t)i) * kS);
	}
	EXPECT_TRUE(suspects.is_rejected({ 6, { 1 } }, 16 * kS));
}

TEST(CrashSuspects, AServerThatRespondsLaterHasNotCrashed)
{
	Suspects suspects;

	for (uint64_t i = 0; i < 3; i++) {
		suspects.crash({ 1, { 66 } }, 100 + i, (1 + 2 * (int64_t)i) * kS);
		skh_crash_suspects_record_alive(suspects.get(), 100 + i, (2 + 2 * (int64_t)i) * kS);
	}
	EXPECT_FALSE(suspects.is_retry_blocked({ 1, { 66 } }, 8 * kS));
	suspects.lose({ 1, { 66 } }, 200, 8 * kS);
	skh_crash_suspects_record_alive(suspects.get(), 200, 9 * kS);
	EXPECT_EQ(skh_crash_suspects_record_crash(suspects.get(), 200, 10 * kS), 0U);
}

// A wrongly suspected part must not stay rejected, and a guilty one must not crash many more.
TEST(CrashSuspects, ARejectedPartIsTestedByOneRequestUntilItIsCertain)
{
	Suspects suspects;
	int64_t now = 20 * kS;
	uint64_t crashes = 3;

	for (uint64_t i = 0; i < crashes; i++)
		suspects.crash({ 10 + i, { 66 } }, 100 + i, (1 + 5 * (int64_t)i) * kS);
	for (; now < 500 * kS; now += kS) {
		for (uint64_t i = 0; i < 4; i++)
			(void)suspects.judge({ 30, { 1, 2 } }, now);
		if (suspects.judge({ 50, { 66 } }, now) != SKH_CRASH_VERDICT_TEST)
			continue;
		EXPECT_TRUE(suspects.is_rejected({ 51, { 66 } }, now)) << "second at " << now;
		suspects.crash({ 50 + crashes, { 66 } }, 100 + crashes, now);
		crashes++;
	}
	EXPECT_EQ(crashes, 5U);
	suspects.merge(66, 100, true, now);
	suspects.survive({ 60, { 66 } }, now);
	EXPECT_FALSE(suspects.is_rejected({ 52, { 66 } }, now));
}

TEST(CrashSuspects, ClearedRecordsWinInAnyOrder)
{
	Suspects suspects;

	for (uint64_t i = 0; i < 3; i++)
		suspects.merge(66, 100 + i, true, (1 + 3 * (int64_t)i) * kS);
	for (uint64_t i = 0; i < 3; i++)
		suspects.merge(66, 100 + i, false, (20 + 3 * (int64_t)i) * kS);
	EXPECT_FALSE(suspects.is_retry_blocked({ 1, { 66 } }, 30 * kS));
}

// --- Records for others ---

TEST(CrashSuspects, NewRecordsAreReportedSeveralTimesThenRejectedOnesInTurn)
{
	Suspects suspects;
	std::set<uint64_t> repeated;
	int reports = 0;

	for (uint64_t i = 0; i < 3; i++)
		suspects.crash({ 10 + i, { 66 } }, 100 + i, (1 + 5 * (int64_t)i) * kS);
	while (skh_crash_suspects_update(suspects.get(), 12 * kS)) {
		ASSERT_FALSE(suspects.take_news(12 * kS).empty());
		reports++;
	}
	EXPECT_EQ(reports, 4);
	for (int i = 0; i < 8; i++) {
		for (const skh_crash_record_t &record : suspects.take_news(12 * kS)) {
			EXPECT_EQ(record.trait, 66U);
			repeated.insert(record.crash);
		}
	}
	EXPECT_EQ(repeated.size(), 3U);
}

TEST(CrashSuspects, OnlyUncommonPartsAreStoredAndTheyAreClearedThere)
{
	Suspects suspects;
	Suspects other(2);

	suspects.survive({ 9, { 1 } }, kS);
	suspects.crash({ 10, { 1, 66 } }, 100, kS);
	suspects.crash({ 11, { 1, 66 } }, 101, 3 * kS);
	for (const skh_crash_record_t &record : suspects.take_unstored(4 * kS)) {
		EXPECT_EQ(record.trait, 66U);
		skh_crash_suspects_merge_stored(other.get(), &record, 5 * kS);
	}
	EXPECT_TRUE(suspects.take_unstored(4 * kS).empty()) << "stored once";
	EXPECT_TRUE(other.is_retry_blocked({ 12, { 66 } }, 6 * kS));
	EXPECT_TRUE(other.take_unstored(6 * kS).empty()) << "not its own";
	other.survive({ 12, { 66 } }, 7 * kS);
	EXPECT_EQ(other.take_unstored(8 * kS).size(), 2U);
	skh_crash_suspects_store_again(suspects.get());
	EXPECT_EQ(suspects.take_unstored(9 * kS).size(), 2U) << "the store came from an older copy";
}

// --- Replay of a fleet ---

namespace
{
constexpr int64_t kStep = 10 * kMs;
constexpr uint64_t kBadPart = 666;

struct Options {
	int gateways;
	int servers;
	bool is_group; // all servers pause while one is down
	double requests_per_s;
	double bad_share;
	int64_t contact;
	uint64_t seed;
};

// Gateways that exchange records by lossy datagrams and through the store, and servers that a part
// crashes 80 ms after they have begun to answer. Gateways restart, freeze and are cut off.
class Fleet
{
      public:
	explicit Fleet(const Options &options)
	    : options_(options), random_(options.seed), servers_(options.servers),
	      gateways_(options.gateways),
	      survivals_told_((size_t)options.gateways * options.gateways)
	{
		for (auto &server : servers_)
			server.instance = next_instance_++;
		for (auto &gateway : gateways_)
			gateway.suspects = std::make_unique<Suspects>(random_());
	}
	void run(int64_t end)
	{
		for (; now_ < end; now_ += kStep) {
			restart_servers();
			send_requests();
			disturb();
			advance_requests();
			for (size_t i = 0; i < gateways_.size(); i++)
				exchange_records(i);
		}
	}
	int late_arrivals = 0; // of bad requests, after the bound, from gateways in touch
	int crashes = 0;
	int sound_sent = 0;
	int sound_rejected = 0; // after the bound

      private:
	struct Server {
		uint64_t instance;
		int64_t down_until = 0;
	};
	struct Running {
		Request request;
		size_t gateway;
		size_t server;
		uint64_t instance;
		int64_t begins;
		int64_t ends;
		bool is_bad;
		int64_t crash_known = 0; // lost; time when the gateway learns why
	};
	struct Gateway {
		std::unique_ptr<Suspects> suspects;
		int64_t frozen_until = 0;
		int64_t cut_until = 0;
		int64_t disturbed = -100 * kS; // end of the last disturbance
		int64_t next_probe = 0;
		int64_t next_report = 0;
		int64_t next_store = 0;
		size_t store_position = 0;
	};
	struct Message {
		int64_t arrives;
		size_t from;
		size_t to;
		uint64_t survivals;
		std::shared_ptr<const std::vector<skh_crash_record_t>> records;
	};

	bool chance(double probability)
	{
		return std::uniform_real_distribution<>(0, 1)(random_) < probability;
	}
	int64_t between(int64_t least, int64_t most)
	{
		return std::uniform_int_distribution<int64_t>(least, most)(random_);
	}
	bool is_awake(const Gateway &gateway) const
	{
		return now_ >= gateway.frozen_until;
	}
	bool is_connected(const Gateway &gateway) const
	{
		return is_awake(gateway) && now_ >= gateway.cut_until;
	}
	bool is_in_touch(const Gateway &gateway) const
	{
		return is_connected(gateway) && now_ - gateway.disturbed >= options_.contact;
	}
	bool is_late() const
	{
		return crashes >= 5 && now_ > fifth_crash_ + options_.contact;
	}

	void restart_servers()
	{
		for (auto &server : servers_) {
			if (server.down_until == 0 || now_ < server.down_until)
				continue;
			server.down_until = 0;
			server.instance = next_instance_++;
		}
	}
	Request make_request(bool is_bad)
	{
		Request request = { random_(), { 1, 10 + (uint64_t)between(0, 19) } };

		request.parts.push_back(is_bad ? kBadPart : 1000 + (uint64_t)between(0, 400));
		return request;
	}
	void send_requests()
	{
		double expected = options_.requests_per_s * (double)kStep / (double)kS;

		for (; expected >= 1.0 || chance(expected); expected -= 1.0) {
			bool is_bad = now_ > 5 * kS && chance(options_.bad_share);

			send(make_request(is_bad), (size_t)between(0, options_.gateways - 1),
			     is_bad);
			if (expected < 1.0)
				break;
		}
	}
	void send(const Request &request, size_t index, bool is_bad)
	{
		Gateway &gateway = gateways_[index];
		size_t server = (size_t)between(0, options_.servers - 1);

		if (!is_connected(gateway))
			return;
		sound_sent += !is_bad && is_late();
		if (gateway.suspects->is_rejected(request, now_)) {
			sound_rejected += !is_bad && is_late();
			return;
		}
		if (servers_[server].down_until != 0)
			return;
		// A group that is down gets a request now and then and rejects it.
		if (now_ < group_opens_) {
			if (now_ < gateway.next_probe)
				return;
			gateway.next_probe = now_ + 160 * kMs;
			late_arrivals += is_bad && is_late() && is_in_touch(gateway);
			return;
		}
		late_arrivals += is_bad && is_late() && is_in_touch(gateway);
		running_.push_back({ request, index, server, servers_[server].instance,
				     now_ + 150 * kMs, 0, is_bad });
		running_.back().ends = running_.back().begins + (is_bad ? 80 * kMs : 2 * kS);
	}
	void crash(size_t index)
	{
		if (servers_[index].down_until != 0)
			return;
		servers_[index].down_until = now_ + 3 * kS;
		if (options_.is_group)
			group_opens_ = now_ + 4300 * kMs;
		if (++crashes == 5)
			fifth_crash_ = now_;
	}
	void advance_requests()
	{
		for (const auto &running : running_) {
			if (running.is_bad && now_ >= running.ends &&
			    servers_[running.server].instance == running.instance)
				crash(running.server);
		}
		std::vector<Running> left;
		for (auto &running : running_) {
			if (advance(running))
				left.push_back(std::move(running));
		}
		running_ = std::move(left);
	}
	// Returns false when the request has ended.
	bool advance(Running &running)
	{
		Gateway &gateway = gateways_[running.gateway];
		const Server &server = servers_[running.server];
		bool is_crashed = server.instance != running.instance || server.down_until != 0;

		if (!is_awake(gateway))
			return true;
		if (running.crash_known != 0) {
			if (now_ >= running.crash_known)
				(void)skh_crash_suspects_record_crash(gateway.suspects->get(),
								      running.instance, now_);
			return now_ < running.crash_known;
		}
		if (is_crashed && now_ - running.begins < SKH_CRASH_SUSPECTS_SURVIVAL_US) {
			gateway.suspects->lose(running.request, running.instance, now_);
			running.crash_known = now_ + between(20 * kMs, 3600 * kMs);
			return true;
		}
		if (is_crashed || now_ >= running.ends) {
			gateway.suspects->survive(running.request, now_);
			return false;
		}
		// A group that stops cuts its other streams off after a while.
		if (now_ < group_opens_ && running.begins < group_opens_ - 4300 * kMs &&
		    now_ > group_opens_ - 2800 * kMs) {
			gateway.suspects->survive(running.request, now_);
			return false;
		}
		return true;
	}
	void restart(size_t index)
	{
		gateways_[index].suspects = std::make_unique<Suspects>(random_());
		gateways_[index].store_position = 0;
		gateways_[index].disturbed = now_;
		gateways_[index].next_store = now_ + 300 * kMs;
		std::vector<Running> left;
		for (auto &running : running_) {
			if (running.gateway != index)
				left.push_back(std::move(running));
		}
		running_ = std::move(left);
	}
	// Each gateway is disturbed every 14 s on average.
	int64_t disturbance_interval() const
	{
		return std::max(70 * kMs, 14 * kS / options_.gateways / kStep * kStep);
	}
	// Restarts, freezes and cuts come in series and overlap; twice all gateways restart at once.
	void disturb()
	{
		if (now_ == 14 * kS || now_ == 30 * kS) {
			for (size_t i = 0; i < gateways_.size(); i++)
				restart(i);
		}
		if (now_ % disturbance_interval() != 0)
			return;
		Gateway &gateway = gateways_[(size_t)between(0, options_.gateways - 1)];
		int64_t until = now_ + between(kS, 6 * kS);

		switch (between(0, 2)) {
		case 0:
			restart((size_t)(&gateway - gateways_.data()));
			break;
		case 1:
			gateway.frozen_until = until;
			gateway.disturbed = until;
			break;
		default:
			gateway.cut_until = until;
			gateway.disturbed = until;
		}
	}
	// The interval of reports grows with the number of gateways, see gossip.c.
	int64_t report_interval() const
	{
		return std::min(kS,
				std::max(80 * kMs, (int64_t)options_.gateways * 200 * kS / 1400));
	}
	void exchange_records(size_t index)
	{
		Gateway &gateway = gateways_[index];
		skh_crash_suspects_t *suspects = gateway.suspects->get();

		while (!messages_.empty() && messages_.top().arrives <= now_) {
			Message message = messages_.top();

			messages_.pop();
			if (!is_connected(gateways_[message.to]))
				continue;
			uint64_t &told =
				survivals_told_[message.to * gateways_.size() + message.from];

			if (message.survivals > told)
				skh_crash_suspects_add_survivals(
					gateways_[message.to].suspects->get(),
					message.survivals - told);
			told = message.survivals;
			for (const auto &record : *message.records)
				skh_crash_suspects_merge(gateways_[message.to].suspects->get(),
							 &record, now_);
		}
		if (!is_connected(gateway))
			return;
		(void)skh_crash_suspects_update(suspects, now_);
		if (now_ >= gateway.next_report) {
			gateway.next_report = now_ + report_interval();
			broadcast(index);
		}
		if (now_ < gateway.next_store)
			return;
		gateway.next_store = now_ + between(200 * kMs, 1200 * kMs);
		for (; gateway.store_position < store_.size(); gateway.store_position++)
			skh_crash_suspects_merge_stored(suspects, &store_[gateway.store_position],
							now_);
		for (const auto &record : gateway.suspects->take_unstored(now_))
			store_.push_back(record);
	}
	void broadcast(size_t from)
	{
		auto records = std::make_shared<const std::vector<skh_crash_record_t>>(
			gateways_[from].suspects->take_news(now_));

		uint64_t survivals =
			skh_crash_suspects_own_survivals(gateways_[from].suspects->get());

		for (size_t to = 0; to < gateways_.size(); to++) {
			if (to != from && !chance(0.05))
				messages_.push({ now_ + between(kMs, 30 * kMs), from, to, survivals,
						 records });
		}
	}

	struct Later {
		bool operator()(const Message &a, const Message &b) const
		{
			return a.arrives > b.arrives;
		}
	};
	Options options_;
	std::mt19937_64 random_;
	std::vector<Server> servers_;
	std::vector<Gateway> gateways_;
	std::vector<Running> running_;
	std::priority_queue<Message, std::vector<Message>, Later> messages_;
	std::vector<skh_crash_record_t> store_;
	std::vector<uint64_t> survivals_told_; // by receiver and sender
	uint64_t next_instance_ = 1;
	int64_t now_ = 0;
	int64_t group_opens_ = 0;
	int64_t fifth_crash_ = 0;
};

struct Size {
	int gateways;
	int servers;
	double requests_per_s;
	int64_t contact;
	uint32_t seeds;
};

class CrashSuspectsFleet : public testing::TestWithParam<Size>
{
};
} // namespace

TEST_P(CrashSuspectsFleet, StopsSendingAPartAfterFiveCrashes)
{
	const Size &size = GetParam();

	for (uint64_t seed = 1; seed <= get_seed_count(size.seeds); seed++) {
		const bool is_group = seed % 2 == 0;
		const double bad_share = seed % 4 < 2 ? 0.02 : 0.1;
		Fleet fleet({ size.gateways, size.servers, is_group, size.requests_per_s, bad_share,
			      size.contact, seed });

		fleet.run(45 * kS);
		EXPECT_LE(fleet.late_arrivals, 3)
			<< "seed " << seed << ", crashes " << fleet.crashes;
		EXPECT_LE(fleet.sound_rejected * 50, fleet.sound_sent) << "seed " << seed;
	}
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashSuspectsFleet,
			 testing::Values(Size{ 5, 12, 60, 3 * kS, 16 },
					 Size{ 13, 63, 250, 4 * kS, 8 },
					 Size{ 52, 129, 300, 5 * kS, 4 },
					 Size{ 400, 720, 600, 5 * kS, 1 }));
