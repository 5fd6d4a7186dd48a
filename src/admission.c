#include "admission.h"

#include "clock.h"

#include <glib.h>
#include <math.h>

/* When a slot frees up is not known; a second is an honest first guess. */
#define IN_FLIGHT_RETRY_US (1 * SKH_US_PER_S)

typedef struct account {
	double tokens;
	int64_t filled_at_us;
	int64_t in_flight;
} account_t;

struct skh_admission {
	GHashTable *accounts; /* customer name -> account_t */
};

skh_admission_t *skh_admission_new(void)
{
	skh_admission_t *admit = g_new0(skh_admission_t, 1);

	admit->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return admit;
}

void skh_admission_free(skh_admission_t *admit)
{
	g_hash_table_unref(admit->accounts);
	g_free(admit);
}

static double share_of(double limit, size_t entries)
{
	return limit / (double)MAX(entries, 1);
}

/* A share below one would admit nothing, so every entry admits at least one. */
static double burst_share(const skh_customer_t *customer, size_t entries)
{
	return MAX(share_of((double)customer->burst, entries), 1.0);
}

static account_t *account_of(skh_admission_t *admit, const skh_customer_t *customer, size_t entries,
			     int64_t now_us)
{
	account_t *account = g_hash_table_lookup(admit->accounts, customer->name);

	if (account)
		return account;
	account = g_new0(account_t, 1);
	account->tokens = burst_share(customer, entries);
	account->filled_at_us = now_us;
	g_hash_table_insert(admit->accounts, g_strdup(customer->name), account);
	return account;
}

static void refill(account_t *account, double rate_per_s, double burst, int64_t now_us)
{
	double passed_s = (double)(now_us - account->filled_at_us) / (double)SKH_US_PER_S;

	account->tokens = MIN(account->tokens + passed_s * rate_per_s, burst);
	account->filled_at_us = now_us;
}

bool skh_admission_acquire(skh_admission_t *admit, const skh_customer_t *customer, size_t entries,
			   int64_t now_us, skh_error_t *err)
{
	account_t *account = account_of(admit, customer, entries, now_us);
	double rate_per_s = share_of(customer->rate_per_s, entries);
	int64_t most = (int64_t)ceil(share_of((double)customer->max_in_flight, entries));

	refill(account, rate_per_s, burst_share(customer, entries), now_us);
	if (account->in_flight >= most) {
		(void)skh_error_set(err, SKH_LIMITED, "customer \"%s\" has too many requests open",
				    customer->name);
		err->retry_at_us = now_us + IN_FLIGHT_RETRY_US;
		return false;
	}
	if (account->tokens < 1.0) {
		double wait_s = (1.0 - account->tokens) / rate_per_s;

		(void)skh_error_set(err, SKH_LIMITED, "customer \"%s\" is over its rate",
				    customer->name);
		err->retry_at_us = now_us + (int64_t)(wait_s * (double)SKH_US_PER_S);
		return false;
	}
	account->tokens -= 1.0;
	account->in_flight++;
	return true;
}

void skh_admission_release(skh_admission_t *admit, const char *customer)
{
	account_t *account = g_hash_table_lookup(admit->accounts, customer);

	if (account && account->in_flight > 0)
		account->in_flight--;
}
