#include "retry_budget.h"

#include "clock.h"

#include <glib.h>

/* Retries that each request adds to the budget. */
#define TOKENS_PER_REQUEST 0.08
/* Retries added over time, so that customers with few requests can retry lost requests, too. */
#define TOKENS_PER_S 0.1
/*
 * Capacity of a bucket: a number of tokens per open request, but at least a minimum. A full
 * bucket allows the retry of a tenth of the open requests at once.
 */
#define MAX_TOKENS_PER_OPEN_REQUEST 0.1
#define MIN_BUCKET_CAPACITY	    20.0

typedef struct bucket {
	double tokens;
	int64_t refilled_at_us;
	uint32_t open_requests;
} bucket_t;

struct skh_retry_budget {
	bucket_t entry;
	GHashTable *customers; /* customer name -> bucket_t */
};

skh_retry_budget_t *skh_retry_budget_new(void)
{
	skh_retry_budget_t *budget = g_new0(skh_retry_budget_t, 1);

	budget->entry.tokens = MIN_BUCKET_CAPACITY;
	budget->customers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

void skh_retry_budget_free(skh_retry_budget_t *budget)
{
	g_hash_table_unref(budget->customers);
	g_free(budget);
}

static void refill(bucket_t *bucket, double tokens, int64_t now_us)
{
	if (bucket->refilled_at_us > 0)
		tokens += TOKENS_PER_S * (double)(now_us - bucket->refilled_at_us) /
			  (double)SKH_US_PER_S;
	bucket->refilled_at_us = now_us;
	bucket->tokens =
		MIN(bucket->tokens + tokens,
		    MAX(MIN_BUCKET_CAPACITY, MAX_TOKENS_PER_OPEN_REQUEST * bucket->open_requests));
}

static bucket_t *get_or_create_bucket(skh_retry_budget_t *budget, const char *customer)
{
	bucket_t *bucket = g_hash_table_lookup(budget->customers, customer);

	if (bucket)
		return bucket;
	bucket = g_new0(bucket_t, 1);
	bucket->tokens = MIN_BUCKET_CAPACITY;
	g_hash_table_insert(budget->customers, g_strdup(customer), bucket);
	return bucket;
}

void skh_retry_budget_record_request(skh_retry_budget_t *budget, const char *customer,
				     int64_t now_us)
{
	bucket_t *bucket = get_or_create_bucket(budget, customer);

	budget->entry.open_requests++;
	bucket->open_requests++;
	refill(&budget->entry, TOKENS_PER_REQUEST, now_us);
	refill(bucket, TOKENS_PER_REQUEST, now_us);
}

void skh_retry_budget_record_end(skh_retry_budget_t *budget, const char *customer)
{
	budget->entry.open_requests--;
	get_or_create_bucket(budget, customer)->open_requests--;
}

bool skh_retry_budget_acquire(skh_retry_budget_t *budget, const char *customer, int64_t now_us)
{
	bucket_t *bucket = get_or_create_bucket(budget, customer);

	refill(&budget->entry, 0.0, now_us);
	refill(bucket, 0.0, now_us);
	if (budget->entry.tokens < 1.0 || bucket->tokens < 1.0)
		return false;
	budget->entry.tokens -= 1.0;
	bucket->tokens -= 1.0;
	return true;
}
