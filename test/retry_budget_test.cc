// Retry budgets: retries of lost requests do not multiply the load.
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

// A third of the servers loses every request; a lost request is retried at once.
double sends_per_request(bool with_budget)
{
	constexpr int kRequests = 20000;
	/* 2,500 requests per second over 400 entries. */
	constexpr int64_t kInterval_us = 160 * SKH_US_PER_MS;
	BudgetPtr budget = new_budget();
	std::mt19937 random(7);
	int64_t now_us = 1;
	int n_sends = 0;

	for (int i = 0; i < kRequests; i++) {
		now_us += kInterval_us;
		skh_retry_budget_record_request(budget.get(), "a", now_us);
		n_sends++;
		while (random() % 3 == 0) {
			if (with_budget && !skh_retry_budget_acquire(budget.get(), "a", now_us))
				break;
			n_sends++;
		}
		skh_retry_budget_record_end(budget.get(), "a");
	}
	return static_cast<double>(n_sends) / kRequests;
}

TEST(RetryBudget, LossOfAThirdOfTheServersAddsAtMostATenth)
{
	EXPECT_GT(sends_per_request(false), 1.4);
	EXPECT_LE(sends_per_request(true), 1.1);
}

TEST(RetryBudget, OneCustomersLossesDoNotUseUpAnothersBudget)
{
	BudgetPtr budget = new_budget();
	int n_acquired = 0;

	for (int i = 0; i < 400; i++)
		skh_retry_budget_record_request(budget.get(), "b", 1);
	while (skh_retry_budget_acquire(budget.get(), "a", 1))
		n_acquired++;
	EXPECT_GT(n_acquired, 0);
	for (int i = 0; i < 400; i++)
		skh_retry_budget_record_request(budget.get(), "b", 1);
	EXPECT_FALSE(skh_retry_budget_acquire(budget.get(), "a", 1));
	EXPECT_TRUE(skh_retry_budget_acquire(budget.get(), "b", 1));
}

TEST(RetryBudget, LossOfOneServerAmongManyIsRetriedAtOnce)
{
	BudgetPtr budget = new_budget();
	int n_acquired = 0;

	for (int i = 0; i < 1000; i++)
		skh_retry_budget_record_request(budget.get(), "a", 1);
	while (skh_retry_budget_acquire(budget.get(), "a", 1))
		n_acquired++;
	/* The requests of one server out of twelve. */
	EXPECT_GE(n_acquired, 1000 / 12);
}

TEST(RetryBudget, BudgetOfAnIdleCustomerRefills)
{
	BudgetPtr budget = new_budget();

	while (skh_retry_budget_acquire(budget.get(), "a", 1))
		continue;
	EXPECT_FALSE(skh_retry_budget_acquire(budget.get(), "a", 1 * SKH_US_PER_S));
	EXPECT_TRUE(skh_retry_budget_acquire(budget.get(), "a", 20 * SKH_US_PER_S));
}

} // namespace
