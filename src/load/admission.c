#include "admission.h"

#include "clock.h"

#include <glib.h>
#include <math.h>

/*
 * Delay before a retry when a customer has too many requests in flight. It is an estimate,
 * because it is unknown when one of them will end.
 */
#define IN_FLIGHT_RETRY_US (1 * SKH_US_PER_S)

typedef struct account {
	double tokens;
	int64_t refilled_at_us;
	int64_t in_flight;
} account_t;

struct skh_admission {
	GHashTable *accounts; /* customer name -> account_t */
};

skh_admission_t *skh_admission_new(void)
{
	skh_admission_t *admission = g_new0(skh_admission_t, 1);

	admission->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return admission;
}

void skh_admission_free(skh_admission_t *admission)
{
	g_hash_table_unref(admission->accounts);
	g_free(admission);
}

static double limit_per_entry(double limit, size_t entries)
{
	return limit / (double)MAX(entries, 1);
}

/* A burst below 1 would reject every request, so each entry has a burst of at least 1. */
static double burst_per_entry(const skh_customer_t *customer, size_t entries)
{
	return MAX(limit_per_entry((double)customer->burst, entries), 1.0);
}

static account_t *get_or_create_account(skh_admission_t *admission, const skh_customer_t *customer,
					size_t entries, int64_t now_us)
{
	account_t *account = g_hash_table_lookup(admission->accounts, customer->name);

	if (account)
		return account;
	account = g_new0(account_t, 1);
	account->tokens = burst_per_entry(customer, entries);
	account->refilled_at_us = now_us;
	g_hash_table_insert(admission->accounts, g_strdup(customer->name), account);
	return account;
}

static void refill_tokens(account_t *account, double rate_per_s, double burst, int64_t now_us)
{
	double elapsed_s = (double)(now_us - account->refilled_at_us) / (double)SKH_US_PER_S;

	account->tokens = MIN(account->tokens + elapsed_s * rate_per_s, burst);
	account->refilled_at_us = now_us;
}

bool skh_admission_acquire(skh_admission_t *admission, const skh_customer_t *customer,
			   size_t entries, int64_t now_us, skh_error_t *err)
{
	account_t *account = get_or_create_account(admission, customer, entries, now_us);
	double rate_per_s = limit_per_entry(customer->rate_per_s, entries);
	int64_t max_in_flight =
		(int64_t)ceil(limit_per_entry((double)customer->max_in_flight, entries));

	refill_tokens(account, rate_per_s, burst_per_entry(customer, entries), now_us);
	if (account->in_flight >= max_in_flight) {
		(void)skh_error_set(err, SKH_LIMITED,
				    "customer \"%s\" has reached its limit of open requests",
				    customer->name);
		err->retry_at_us = now_us + IN_FLIGHT_RETRY_US;
		return false;
	}
	if (account->tokens < 1.0) {
		double wait_s = (1.0 - account->tokens) / rate_per_s;

		(void)skh_error_set(err, SKH_LIMITED,
				    "customer \"%s\" has exceeded its request rate",
				    customer->name);
		err->retry_at_us = now_us + (int64_t)(wait_s * (double)SKH_US_PER_S);
		return false;
	}
	account->tokens -= 1.0;
	account->in_flight++;
	return true;
}

void skh_admission_release(skh_admission_t *admission, const char *customer)
{
	account_t *account = g_hash_table_lookup(admission->accounts, customer);

	if (account && account->in_flight > 0)
		account->in_flight--;
}
