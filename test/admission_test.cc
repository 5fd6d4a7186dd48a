// Per-customer limits of one entry, in virtual time.
#include "admission.h"
#include "clock.h"

#include <gtest/gtest.h>

#include <memory>

namespace
{

using AdmissionPtr = std::unique_ptr<skh_admission_t, decltype(&skh_admission_free)>;

skh_customer_t make_customer(double rate_per_s, int64_t burst, int64_t max_in_flight)
{
	skh_customer_t customer = {};

	customer.name = "yard";
	customer.rate_per_s = rate_per_s;
	customer.burst = burst;
	customer.max_in_flight = max_in_flight;
	return customer;
}

TEST(Admission, EntryAdmitsItsShareOfTheRate)
{
	AdmissionPtr admission(skh_admission_new(), skh_admission_free);
	skh_customer_t customer = make_customer(100, 10, 1000000);
	skh_error_t err = {};
	int admitted = 0;

	/* Two entries share the limit, so this one admits half of it. */
	for (int64_t now_us = 0; now_us < 10 * SKH_US_PER_S; now_us += SKH_US_PER_MS)
		admitted += skh_admission_acquire(admission.get(), &customer, 2, now_us, &err);
	EXPECT_NEAR(admitted, 505, 2);
}

TEST(Admission, RequestIsAdmittedAtTheRetryTimeOfARejection)
{
	AdmissionPtr admission(skh_admission_new(), skh_admission_free);
	skh_customer_t customer = make_customer(2, 1, 100);
	skh_error_t err = {};

	EXPECT_TRUE(skh_admission_acquire(admission.get(), &customer, 1, 0, &err));
	EXPECT_FALSE(skh_admission_acquire(admission.get(), &customer, 1, 0, &err));
	EXPECT_EQ(err.kind, SKH_LIMITED);
	EXPECT_EQ(err.run_state, SKH_RUN_NOT_RUN);
	EXPECT_EQ(err.retry_at_us, SKH_US_PER_S / 2);
	EXPECT_TRUE(skh_admission_acquire(admission.get(), &customer, 1, err.retry_at_us, &err));
}

TEST(Admission, RequestsInFlightStayWithinTheShare)
{
	AdmissionPtr admission(skh_admission_new(), skh_admission_free);
	skh_customer_t customer = make_customer(1000, 1000, 4);
	skh_error_t err = {};

	EXPECT_TRUE(skh_admission_acquire(admission.get(), &customer, 2, 0, &err));
	EXPECT_TRUE(skh_admission_acquire(admission.get(), &customer, 2, 0, &err));
	EXPECT_FALSE(skh_admission_acquire(admission.get(), &customer, 2, 0, &err));
	skh_admission_release(admission.get(), "yard");
	EXPECT_TRUE(skh_admission_acquire(admission.get(), &customer, 2, 0, &err));
}

} // namespace
