// Guards against a wrong number in one response of an engine that is used: a rank, an epoch, a pass or
// an order's state.
#include "report_filter.h"

#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;

skh_engine_report_t make_report(int64_t pass)
{
	skh_engine_report_t report = {};

	report.is_in_group = true;
	report.is_group_open = true;
	std::strcpy(report.group, "g");
	report.group_size = 12;
	report.rank = 3;
	report.epoch = 5;
	report.pass = pass;
	report.map_version = 7;
	report.slowdown = 1.0;
	return report;
}

// Polls an engine that makes a pass each 50 ms.
class Poller
{
      public:
	bool poll(const std::function<void(skh_engine_report_t *)> &spoil = nullptr)
	{
		skh_engine_report_t report = make_report(now_us / (50 * kMs));

		if (change)
			change(&report);
		if (spoil)
			spoil(&report);
		now_us += 8 * kMs;
		if (!skh_report_filter_accept(&filter, &report, now_us))
			return false;
		used = report;
		return true;
	}

	std::function<void(skh_engine_report_t *)> change;
	skh_report_filter_t filter = {};
	skh_engine_report_t used = {};
	int64_t now_us = 1000 * kMs;
};

const std::vector<std::function<void(skh_engine_report_t *)>> kChanges = {
	[](skh_engine_report_t *report) { report->rank = 8; },
	[](skh_engine_report_t *report) { report->epoch = 9; },
	[](skh_engine_report_t *report) { report->epoch = 4; },
	[](skh_engine_report_t *report) { report->group_size = 92; },
	[](skh_engine_report_t *report) { report->group[0] = 'h'; },
	[](skh_engine_report_t *report) { report->is_in_group = false; },
	[](skh_engine_report_t *report) { report->is_group_open = false; },
	[](skh_engine_report_t *report) { report->map_version = 8; },
	[](skh_engine_report_t *report) { report->prepared_version = 9; },
	[](skh_engine_report_t *report) { report->armed_version = 9; },
	[](skh_engine_report_t *report) { report->held_pass = 60; },
	[](skh_engine_report_t *report) { report->pass += 1000000; },
	[](skh_engine_report_t *report) { report->pass -= 10; },
};

} // namespace

TEST(ReportFilter, WrongNumberInOneResponseIsNotUsed)
{
	for (size_t i = 0; i < kChanges.size(); i++) {
		Poller poller;

		EXPECT_FALSE(poller.poll()) << "nothing confirms the first response";
		EXPECT_TRUE(poller.poll());
		for (int round = 0; round < 5; round++) {
			EXPECT_FALSE(poller.poll(kChanges[i])) << i;
			EXPECT_TRUE(poller.poll()) << i;
		}
	}
}

TEST(ReportFilter, ChangeIsUsedWithTheSecondResponse)
{
	for (size_t i = 0; i + 2 < kChanges.size(); i++) {
		Poller poller;

		(void)poller.poll();
		EXPECT_TRUE(poller.poll());
		poller.change = kChanges[i];
		EXPECT_FALSE(poller.poll()) << i;
		EXPECT_TRUE(poller.poll()) << i;
		EXPECT_TRUE(poller.poll()) << i;
	}
}

// Calm traffic: passes go on, also after the process was frozen.
TEST(ReportFilter, PassesGoOn)
{
	Poller poller;

	(void)poller.poll();
	for (int i = 0; i < 100; i++)
		EXPECT_TRUE(poller.poll());
	poller.now_us += 60000 * kMs;
	EXPECT_TRUE(poller.poll());
	EXPECT_EQ(poller.used.pass, (poller.now_us - 8 * kMs) / (50 * kMs));
}

// A slowdown that differs in each response must not keep the others from being used.
TEST(ReportFilter, SlowdownIsUsedOnceTwoResponsesAgree)
{
	Poller poller;
	double slowdown = 1.0;

	poller.change = [&](skh_engine_report_t *report) { report->slowdown = slowdown; };
	(void)poller.poll();
	EXPECT_TRUE(poller.poll());
	for (double next : { 3.0, 1.0, 5.0, 2.0, 9.0 }) {
		slowdown = next;
		EXPECT_TRUE(poller.poll());
		EXPECT_EQ(poller.used.slowdown, 1.0);
	}
	EXPECT_TRUE(poller.poll());
	EXPECT_EQ(poller.used.slowdown, 9.0);
}
