// Guards against requests to servers of a failure domain that is out of service: by knowledge that
// is too old, from before a pause, or of an older copy of the store, and by news out of order.
#include "domain_status.h"

#include "seeds.h"

#include <gtest/gtest.h>

#include <deque>
#include <iterator>
#include <memory>
#include <random>
#include <vector>

namespace
{
constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;
constexpr int64_t kBound = 5 * kS;

struct Status {
	std::unique_ptr<skh_domain_status_t, void (*)(skh_domain_status_t *)> owned{
		skh_domain_status_new(), skh_domain_status_free
	};
	int64_t now = 100 * kS;

	operator skh_domain_status_t *() const
	{
		return owned.get();
	}
	bool apply(skh_domain_news_kind_t kind, uint64_t domain, int64_t era, int64_t revision)
	{
		skh_domain_news_t news = {};

		news.kind = kind;
		news.domain = domain;
		news.era = era;
		news.revision = revision;
		return skh_domain_status_apply(*this, &news, now);
	}
	bool out(uint64_t domain, int64_t revision, int64_t era = 1)
	{
		return apply(SKH_DOMAIN_NEWS_OUT, domain, era, revision);
	}
	bool back(uint64_t domain, int64_t revision, int64_t era = 1)
	{
		return apply(SKH_DOMAIN_NEWS_BACK, domain, era, revision);
	}
	void read(std::vector<std::pair<uint64_t, int64_t>> listed, int64_t revision,
		  int64_t era = 1)
	{
		apply(SKH_DOMAIN_NEWS_BEGINS, 0, era, revision);
		for (const auto &[domain, at] : listed)
			out(domain, at, era);
		apply(SKH_DOMAIN_NEWS_ENDS, 0, era, revision);
	}
	bool is_out(uint64_t domain) const
	{
		return skh_domain_status_is_out(*this, domain);
	}
	void tick_to(int64_t time)
	{
		for (; now < time; now += 20 * kMs)
			skh_domain_status_update(*this, now);
	}
};
} // namespace

TEST(DomainStatus, TheHighestRevisionHoldsInAnyOrder)
{
	Status s;

	EXPECT_TRUE(s.out(1, 10));
	EXPECT_FALSE(s.out(1, 10)) << "heard again from another gateway";
	EXPECT_FALSE(s.back(1, 9));
	EXPECT_TRUE(s.is_out(1));
	EXPECT_FALSE(s.is_out(2));
	EXPECT_TRUE(s.back(1, 12));
	EXPECT_FALSE(s.out(1, 11)) << "late news";
	EXPECT_FALSE(s.is_out(1));
	EXPECT_TRUE(s.out(1, 13));
	EXPECT_TRUE(s.out(2, 14)) << "several domains at once";
	EXPECT_TRUE(s.is_out(1));
}

// Domains that are back filled the table for good, and a further one could not go out of service.
TEST(DomainStatus, AnyNumberOfDomainsThatWereOutLeavesRoomForAnother)
{
	Status s;

	for (uint64_t domain = 1; domain <= 200; domain++) {
		EXPECT_TRUE(s.out(domain, static_cast<int64_t>(10 * domain)));
		EXPECT_TRUE(s.back(domain, static_cast<int64_t>(10 * domain + 1)));
	}
	EXPECT_TRUE(s.out(201, 3000));
	EXPECT_TRUE(s.is_out(201));
	EXPECT_FALSE(s.out(1, 10)) << "late news";
}

TEST(DomainStatus, ACompleteReadBringsBackWhatItDoesNotList)
{
	Status s;

	s.out(1, 10);
	s.out(2, 11);
	s.out(3, 40); // from a gateway that has read more
	s.read({ { 2, 11 } }, 30);
	EXPECT_FALSE(s.is_out(1));
	EXPECT_TRUE(s.is_out(2));
	EXPECT_TRUE(s.is_out(3));
	EXPECT_FALSE(s.out(1, 10)) << "late news of the time before";
	s.read({}, 50);
	EXPECT_FALSE(s.is_out(2) || s.is_out(3));
}

TEST(DomainStatus, ADomainStaysOutForAWhileWhenTheStoreComesBackWithoutItsKey)
{
	Status s;

	s.read({ { 1, 100 }, { 2, 101 } }, 110);
	s.read({}, 20, 2);
	EXPECT_TRUE(s.is_out(1));
	s.tick_to(s.now + SKH_DOMAIN_STATUS_KEEP_US - 100 * kMs);
	EXPECT_TRUE(s.is_out(1));
	EXPECT_TRUE(s.back(2, 25, 2)) << "its key's deletion was seen";
	s.read({}, 30, 2);
	EXPECT_TRUE(s.is_out(1)) << "a further read does not end the time";
	s.tick_to(s.now + 200 * kMs);
	EXPECT_FALSE(s.is_out(1));
	EXPECT_FALSE(s.out(1, 100)) << "a gateway that has not read the new era";
	EXPECT_TRUE(s.out(1, 31, 2));
	s.tick_to(s.now + 20 * kS);
	EXPECT_TRUE(s.is_out(1)) << "written again";
}

TEST(DomainStatus, AnotherGatewaysStatementOfAnOlderEraExpires)
{
	Status s;

	s.read({}, 20, 2);
	EXPECT_TRUE(s.out(1, 100, 1));
	s.tick_to(s.now + SKH_DOMAIN_STATUS_KEEP_US + 100 * kMs);
	EXPECT_FALSE(s.is_out(1));
}

TEST(DomainStatus, WithoutABoundNothingIsDelayed)
{
	Status s;

	EXPECT_TRUE(skh_domain_status_can_send(s, s.now));
	s.tick_to(s.now + kS);
	s.now += 60 * kS;
	EXPECT_TRUE(skh_domain_status_can_send(s, s.now));
}

TEST(DomainStatus, NothingIsSentBeforeTheKeysAreReadOrOnceThatIsTooOld)
{
	Status s;

	skh_domain_status_set_bound(s, kBound);
	s.tick_to(s.now + kS);
	EXPECT_FALSE(skh_domain_status_can_send(s, s.now));
	skh_domain_status_renew(s, 0, s.now);
	EXPECT_FALSE(skh_domain_status_can_send(s, s.now)) << "not before its own first read";
	skh_domain_status_set_read(s, s.now - 500 * kMs);
	EXPECT_TRUE(skh_domain_status_can_send(s, s.now));
	s.tick_to(s.now + 3 * kS);
	EXPECT_TRUE(skh_domain_status_can_send(s, s.now));
	s.tick_to(s.now + 600 * kMs);
	EXPECT_FALSE(skh_domain_status_can_send(s, s.now));
	skh_domain_status_renew(s, 300 * kMs, s.now);
	EXPECT_TRUE(skh_domain_status_can_send(s, s.now));
	s.tick_to(s.now + 4 * kS);
	EXPECT_FALSE(skh_domain_status_can_send(s, s.now));
}

TEST(DomainStatus, AfterAPauseTheKeysAreReadAgain)
{
	Status s;

	skh_domain_status_set_bound(s, kBound);
	s.tick_to(s.now + kS);
	skh_domain_status_set_read(s, s.now);
	s.now += 1500 * kMs;
	EXPECT_FALSE(skh_domain_status_can_send(s, s.now)) << "before the first tick after it";
	skh_domain_status_update(s, s.now);
	EXPECT_FALSE(skh_domain_status_can_send(s, s.now));
	EXPECT_TRUE(skh_domain_status_is_resuming(s, s.now));
	skh_domain_status_renew(s, 50 * kMs, s.now);
	EXPECT_FALSE(skh_domain_status_can_send(s, s.now)) << "the report waited in the socket";
	skh_domain_status_set_read(s, s.now - 10 * kMs);
	EXPECT_FALSE(skh_domain_status_can_send(s, s.now))
		<< "this poll began before the pause ended";
	skh_domain_status_set_read(s, s.now + 1);
	EXPECT_TRUE(skh_domain_status_can_send(s, s.now + 2));
}

// --- Replay of gateways that poll the store and report to each other ---

namespace
{
constexpr int64_t kStep = 10 * kMs;
constexpr int64_t kPoll = 600 * kMs;
constexpr int64_t kReport = kS; // the longest interval between two reports
constexpr int64_t kEnd = 60 * kS;
constexpr uint64_t kDomains = 3;

// What the store says of one domain, and since when.
struct Key {
	bool is_out = false;
	int64_t revision = 0;
	int64_t since = 0;
};

struct Report {
	int64_t arrives;
	int64_t read_as_of;
	int64_t sent;
	std::vector<skh_domain_news_t> domains;
};

struct Gateway {
	Status status;
	bool has_started = false;
	int64_t frozen_until = 0;
	int64_t cut_off_until = 0; // from the store
	int64_t next_poll = 0;
	int64_t poll_ends = 0;
	int64_t poll_began = 0;
	std::vector<Key> polled;
	int64_t polled_revision = 0;
	int64_t next_report = 0;
	std::deque<Report> socket;
	int64_t last_sent_to[kDomains] = {};
};

class Fleet
{
      public:
	Fleet(size_t n, uint64_t seed, bool knows_keys)
	    : gateways_(n), random_(seed), knows_keys_(knows_keys)
	{
	}
	void run()
	{
		for (now_ = kStep; now_ < kEnd; now_ += kStep) {
			change_keys();
			disturb();
			for (auto &gateway : gateways_) {
				if (now_ >= gateway.frozen_until)
					step(gateway);
			}
		}
	}
	int64_t violations = 0;
	int64_t sent = 0;
	int64_t refused = 0; // while in contact, running and with a current list

      private:
	int64_t between(int64_t least, int64_t most)
	{
		return std::uniform_int_distribution<int64_t>(least, most)(random_);
	}
	Gateway &any()
	{
		return gateways_[(size_t)between(0, (int64_t)gateways_.size() - 1)];
	}
	void change_keys()
	{
		if (between(0, 400) > 0)
			return;
		Key &key = keys_[(size_t)between(0, kDomains - 1)];

		key = { !key.is_out, ++revision_, now_ };
	}
	// Gateways restart, freeze or lose the store; sometimes all of them stop.
	void disturb()
	{
		if (now_ == 30 * kS) {
			for (auto &gateway : gateways_)
				gateway = Gateway();
		}
		if (now_ % (200 * kMs) != 0)
			return;
		switch (between(0, 5)) {
		case 0:
			any() = Gateway();
			break;
		case 1:
			any().frozen_until = now_ + between(200 * kMs, 9 * kS);
			break;
		case 2:
			any().cut_off_until = now_ + between(kS, 12 * kS);
			break;
		default:
			break;
		}
		store_delay_ = now_ / (10 * kS) % 2 == 0 ? 4 * kMs : 90 * kMs;
	}
	void poll(Gateway &gateway)
	{
		if (gateway.poll_ends != 0 && now_ >= gateway.poll_ends) {
			gateway.poll_ends = 0;
			apply_read(gateway);
		}
		if (gateway.poll_ends != 0 || now_ < gateway.next_poll)
			return;
		gateway.next_poll =
			now_ +
			(skh_domain_status_can_send(gateway.status, now_) ? kPoll : 100 * kMs);
		if (now_ < gateway.cut_off_until || between(0, 9) == 0)
			return;
		gateway.poll_began = now_;
		gateway.poll_ends = now_ + store_delay_ + between(0, 60 * kMs);
		gateway.polled.assign(keys_, keys_ + kDomains);
		gateway.polled_revision = revision_;
	}
	void apply_read(Gateway &gateway)
	{
		std::vector<std::pair<uint64_t, int64_t>> listed;

		for (uint64_t i = 0; i < kDomains; i++) {
			if (gateway.polled[i].is_out)
				listed.push_back({ i + 1, gateway.polled[i].revision });
		}
		gateway.status.read(listed, gateway.polled_revision);
		skh_domain_status_set_read(gateway.status, gateway.poll_began);
	}
	void hear(Gateway &gateway)
	{
		while (!gateway.socket.empty() && now_ >= gateway.socket.front().arrives) {
			const Report &report = gateway.socket.front();

			for (const auto &domain : report.domains)
				skh_domain_status_apply(gateway.status, &domain, now_);
			if (report.read_as_of > 0)
				skh_domain_status_renew(gateway.status,
							report.sent - report.read_as_of, now_);
			gateway.socket.pop_front();
		}
	}
	void report(Gateway &gateway)
	{
		skh_domain_news_t list[64];
		Report report = { now_ + between(1, 400) * kMs,
				  skh_domain_status_read_as_of_us(gateway.status),
				  now_,
				  {} };

		if (now_ < gateway.next_report)
			return;
		gateway.next_report = now_ + kReport;
		report.domains.assign(
			list, list + skh_domain_status_list(gateway.status, list, std::size(list)));
		for (auto &other : gateways_) {
			if (&other == &gateway || between(0, 4) == 0)
				continue;
			if (other.socket.empty() || other.socket.back().arrives <= report.arrives)
				other.socket.push_back(report);
		}
	}
	void step(Gateway &gateway)
	{
		gateway.status.now = now_;
		if (!gateway.has_started) {
			skh_domain_status_set_bound(gateway.status, kBound);
			gateway.has_started = true;
		}
		if (between(0, 1) == 0) // the loop may serve a socket before its tick
			hear(gateway);
		send(gateway);
		skh_domain_status_update(gateway.status, now_);
		hear(gateway);
		poll(gateway);
		report(gateway);
		send(gateway);
	}
	// A request arrives within 400 ms; the store is in reach, so the gateway is in contact.
	void send(Gateway &gateway)
	{
		if (knows_keys_ && !skh_domain_status_can_send(gateway.status, now_)) {
			refused += now_ >= gateway.cut_off_until;
			return;
		}
		for (uint64_t i = 0; i < kDomains; i++) {
			if (knows_keys_ && gateway.status.is_out(i + 1))
				continue;
			sent++;
			if (keys_[i].is_out && now_ + 400 * kMs - keys_[i].since > kBound)
				violations++;
		}
	}

	std::vector<Gateway> gateways_;
	std::mt19937_64 random_;
	bool knows_keys_;
	Key keys_[kDomains];
	int64_t revision_ = 10;
	int64_t now_ = 0;
	int64_t store_delay_ = 4 * kMs;
};

class DomainStatusFleet : public testing::TestWithParam<size_t>
{
};
} // namespace

TEST_P(DomainStatusFleet, NoServerOfADomainOutOfServiceGetsARequestAfterTheBound)
{
	for (uint64_t seed = 1; seed <= get_seed_count(GetParam() > 100 ? 1 : 4); seed++) {
		Fleet fleet(GetParam(), seed, true);

		fleet.run();
		EXPECT_EQ(fleet.violations, 0) << GetParam() << " gateways, seed " << seed;
		EXPECT_GT(fleet.sent, 10 * fleet.refused) << "seed " << seed;
	}
	Fleet before(GetParam(), 1, false);

	before.run();
	EXPECT_GT(before.violations, 0) << "the replay has cases that matter";
}

INSTANTIATE_TEST_SUITE_P(Sizes, DomainStatusFleet, testing::Values(5, 15, 52, 400));
