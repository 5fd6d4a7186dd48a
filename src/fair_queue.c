#include "fair_queue.h"

#include <glib.h>

typedef struct account {
	uint64_t customer;
	double weight;
	double finish; /* tag of its next request, if it is not behind */
	uint32_t waiting;
	uint32_t running;
} account_t;

struct skh_fair_queue {
	double now;	      /* greatest tag that has started */
	double active_weight; /* of all customers that wait or run */
	GHashTable *accounts; /* customer -> account_t */
};

skh_fair_queue_t *skh_fair_queue_new(void)
{
	skh_fair_queue_t *fair = g_new0(skh_fair_queue_t, 1);

	fair->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return fair;
}

void skh_fair_queue_free(skh_fair_queue_t *fair)
{
	g_hash_table_unref(fair->accounts);
	g_free(fair);
}

static account_t *find(const skh_fair_queue_t *fair, uint64_t customer)
{
	return g_hash_table_lookup(fair->accounts, &customer);
}

static bool is_active(const account_t *account)
{
	return account->waiting > 0 || account->running > 0;
}

/* The only place where the counts change, so that the sum of weights follows. */
static void count(skh_fair_queue_t *fair, account_t *account, int32_t waiting, int32_t running)
{
	bool was_active = is_active(account);

	account->waiting += (uint32_t)waiting;
	account->running += (uint32_t)running;
	if (is_active(account) && !was_active)
		fair->active_weight += account->weight;
	else if (!is_active(account) && was_active)
		fair->active_weight -= account->weight;
}

static account_t *account_of(skh_fair_queue_t *fair, uint64_t customer, double weight)
{
	account_t *account = find(fair, customer);

	if (!account) {
		account = g_new0(account_t, 1);
		account->customer = customer;
		g_hash_table_insert(fair->accounts, &account->customer, account);
	}
	/* A changed weight counts from when the customer next comes from rest. */
	if (!is_active(account))
		account->weight = weight > 0.0 ? weight : 1.0;
	return account;
}

double skh_fair_queue_enqueue(skh_fair_queue_t *fair, uint64_t customer, double weight)
{
	account_t *account = account_of(fair, customer, weight);
	double tag = MAX(fair->now, account->finish);

	account->finish = tag + 1.0 / account->weight;
	count(fair, account, 1, 0);
	return tag;
}

void skh_fair_queue_start(skh_fair_queue_t *fair, uint64_t customer, double tag)
{
	fair->now = MAX(fair->now, tag);
	count(fair, find(fair, customer), -1, 1);
}

void skh_fair_queue_cancel(skh_fair_queue_t *fair, uint64_t customer)
{
	account_t *account = find(fair, customer);

	account->finish -= 1.0 / account->weight;
	count(fair, account, -1, 0);
}

void skh_fair_queue_finish(skh_fair_queue_t *fair, uint64_t customer)
{
	count(fair, find(fair, customer), 0, -1);
}

bool skh_fair_queue_is_over_share(const skh_fair_queue_t *fair, uint64_t customer,
				  uint32_t capacity)
{
	const account_t *account = find(fair, customer);

	return account && account->running > 0 &&
	       account->running * fair->active_weight >= capacity * account->weight;
}

static gboolean is_even(gpointer key, gpointer value, gpointer now)
{
	const account_t *account = value;

	(void)key;
	return !is_active(account) && account->finish <= *(const double *)now;
}

void skh_fair_queue_evict_idle(skh_fair_queue_t *fair)
{
	g_hash_table_foreach_remove(fair->accounts, is_even, &fair->now);
}
