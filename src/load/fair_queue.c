#include "fair_queue.h"

#include <glib.h>

typedef struct account {
	uint64_t customer;
	double weight;
	double finish_tag; /* finish tag of the last request; lower bound of the next start tag */
	uint32_t waiting;
	uint32_t running;
} account_t;

struct skh_fair_queue {
	double virtual_time;  /* greatest start tag of a started request */
	double active_weight; /* total weight of the customers with waiting or running requests */
	GHashTable *accounts; /* customer -> account_t */
};

skh_fair_queue_t *skh_fair_queue_new(void)
{
	skh_fair_queue_t *queue = g_new0(skh_fair_queue_t, 1);

	queue->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return queue;
}

void skh_fair_queue_free(skh_fair_queue_t *queue)
{
	g_hash_table_unref(queue->accounts);
	g_free(queue);
}

static account_t *find_account(const skh_fair_queue_t *queue, uint64_t customer)
{
	return g_hash_table_lookup(queue->accounts, &customer);
}

static bool is_active(const account_t *account)
{
	return account->waiting > 0 || account->running > 0;
}

/* The only function that changes the counts, so that active_weight follows every change. */
static void update_counts(skh_fair_queue_t *queue, account_t *account, int32_t waiting_change,
			  int32_t running_change)
{
	bool was_active = is_active(account);

	account->waiting += (uint32_t)waiting_change;
	account->running += (uint32_t)running_change;
	if (is_active(account) && !was_active)
		queue->active_weight += account->weight;
	else if (!is_active(account) && was_active)
		queue->active_weight -= account->weight;
}

static account_t *get_or_create_account(skh_fair_queue_t *queue, uint64_t customer, double weight)
{
	account_t *account = find_account(queue, customer);

	if (!account) {
		account = g_new0(account_t, 1);
		account->customer = customer;
		g_hash_table_insert(queue->accounts, &account->customer, account);
	}
	/* active_weight includes the old weight as long as the customer is active. */
	if (!is_active(account))
		account->weight = weight > 0.0 ? weight : 1.0;
	return account;
}

double skh_fair_queue_enqueue(skh_fair_queue_t *queue, uint64_t customer, double weight)
{
	account_t *account = get_or_create_account(queue, customer, weight);
	double tag = MAX(queue->virtual_time, account->finish_tag);

	account->finish_tag = tag + 1.0 / account->weight;
	update_counts(queue, account, 1, 0);
	return tag;
}

void skh_fair_queue_start(skh_fair_queue_t *queue, uint64_t customer, double tag)
{
	queue->virtual_time = MAX(queue->virtual_time, tag);
	update_counts(queue, find_account(queue, customer), -1, 1);
}

void skh_fair_queue_cancel(skh_fair_queue_t *queue, uint64_t customer)
{
	account_t *account = find_account(queue, customer);

	account->finish_tag -= 1.0 / account->weight;
	update_counts(queue, account, -1, 0);
}

void skh_fair_queue_finish(skh_fair_queue_t *queue, uint64_t customer)
{
	update_counts(queue, find_account(queue, customer), 0, -1);
}

bool skh_fair_queue_is_over_share(const skh_fair_queue_t *queue, uint64_t customer,
				  uint32_t capacity)
{
	const account_t *account = find_account(queue, customer);

	return account && account->running > 0 &&
	       account->running * queue->active_weight >= capacity * account->weight;
}

static gboolean can_evict(gpointer key, gpointer value, gpointer virtual_time)
{
	const account_t *account = value;

	(void)key;
	return !is_active(account) && account->finish_tag <= *(const double *)virtual_time;
}

void skh_fair_queue_evict_idle(skh_fair_queue_t *queue)
{
	g_hash_table_foreach_remove(queue->accounts, can_evict, &queue->virtual_time);
}
