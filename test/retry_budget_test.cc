// Retry budgets: lost work does not multiply the load.
#include "retry_budget.h"

#include "clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <random>

namespace
{

using BudgetPtr = std::unique_ptr<skh_retry_budget_t, decltype(&skh_retry_budget_free)>;

BudgetPtr new_budget()
{
	return BudgetPtr(skh_retry_budget_new(), skh_retry_budget_free);
}

// A third of the servers takes work and loses it, for as long as it is asked.
double sent_for_each_offered(bool with_budget)
{
	constexpr int kOffered = 20000;
	constexpr int64_t kGap_us = 160 * SKH_US_PER_MS; /* 2,500 a second at 400 entries */
	BudgetPtr budget = new_budget();
	std::mt19937 random(7);
	int64_t now_us = 1;
	int sent = 0;

	for (int i = 0; i < kOffered; i++) {
		now_us += kGap_us;
		skh_retry_budget_record_request(budget.get(), "a", now_us);
		sent++;
		while (random() % 3 == 0) {
			if (with_budget && !skh_retry_budget_acquire(budget.get(), "a", now_us))
				break;
			sent++;
		}
		skh_retry_budget_record_end(budget.get(), "a");
	}
	return static_cast<double>(sent) / kOffered;
}

TEST(Budget, AThirdOfTheServersGoneAddsATenthAtMost)
{
	EXPECT_GT(sent_for_each_offered(false), 1.4);
	EXPECT_LE(sent_for_each_offered(true), 1.1);
}

TEST(Budget, OneCustomersLossesLeaveTheOthersTheirs)
{
	BudgetPtr budget = new_budget();
	int taken = 0;

	for (int i = 0; i < 400; i++)
		skh_retry_budget_record_request(budget.get(), "b", 1);
	while (skh_retry_budget_acquire(budget.get(), "a", 1))
		taken++;
	EXPECT_GT(taken, 0);
	for (int i = 0; i < 400; i++)
		skh_retry_budget_record_request(budget.get(), "b", 1);
	EXPECT_FALSE(skh_retry_budget_acquire(budget.get(), "a", 1));
	EXPECT_TRUE(skh_retry_budget_acquire(budget.get(), "b", 1));
}

TEST(Budget, ALostServerAmongManyIsMadeGoodAtOnce)
{
	BudgetPtr budget = new_budget();
	int taken = 0;

	for (int i = 0; i < 1000; i++)
		skh_retry_budget_record_request(budget.get(), "a", 1);
	while (skh_retry_budget_acquire(budget.get(), "a", 1))
		taken++;
	/* One server of a dozen. */
	EXPECT_GE(taken, 1000 / 12);
}

TEST(Budget, AQuietCustomersWorkGoesOnInTheEnd)
{
	BudgetPtr budget = new_budget();

	while (skh_retry_budget_acquire(budget.get(), "a", 1))
		continue;
	EXPECT_FALSE(skh_retry_budget_acquire(budget.get(), "a", 1 * SKH_US_PER_S));
	EXPECT_TRUE(skh_retry_budget_acquire(budget.get(), "a", 20 * SKH_US_PER_S));
}

} // namespace
