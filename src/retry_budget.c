#include "retry_budget.h"

#include "clock.h"

#include <glib.h>

/* Repetitions that a request pays for. */
#define PER_REQUEST 0.08
/* So that lost work of a quiet customer goes on, too. */
#define PER_SECOND 0.1
/* What a purse holds: a loss of this part of the open requests is made good at once. */
#define OPEN_PART  0.1
#define LEAST_MOST 20.0

typedef struct purse {
	double tokens;
	int64_t filled_at_us;
	uint32_t open; /* requests under way */
} purse_t;

struct skh_retry_budget {
	purse_t entry;
	GHashTable *customers; /* name -> purse_t */
};

skh_retry_budget_t *skh_retry_budget_new(void)
{
	skh_retry_budget_t *budget = g_new0(skh_retry_budget_t, 1);

	budget->entry.tokens = LEAST_MOST;
	budget->customers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

void skh_retry_budget_free(skh_retry_budget_t *budget)
{
	g_hash_table_unref(budget->customers);
	g_free(budget);
}

static void fill(purse_t *purse, double tokens, int64_t now_us)
{
	if (purse->filled_at_us > 0)
		tokens +=
			PER_SECOND * (double)(now_us - purse->filled_at_us) / (double)SKH_US_PER_S;
	purse->filled_at_us = now_us;
	purse->tokens = MIN(purse->tokens + tokens, MAX(LEAST_MOST, OPEN_PART * purse->open));
}

static purse_t *purse_of(skh_retry_budget_t *budget, const char *customer)
{
	purse_t *purse = g_hash_table_lookup(budget->customers, customer);

	if (purse)
		return purse;
	purse = g_new0(purse_t, 1);
	purse->tokens = LEAST_MOST;
	g_hash_table_insert(budget->customers, g_strdup(customer), purse);
	return purse;
}

void skh_retry_budget_record_request(skh_retry_budget_t *budget, const char *customer,
				     int64_t now_us)
{
	purse_t *purse = purse_of(budget, customer);

	budget->entry.open++;
	purse->open++;
	fill(&budget->entry, PER_REQUEST, now_us);
	fill(purse, PER_REQUEST, now_us);
}

void skh_retry_budget_record_end(skh_retry_budget_t *budget, const char *customer)
{
	budget->entry.open--;
	purse_of(budget, customer)->open--;
}

bool skh_retry_budget_acquire(skh_retry_budget_t *budget, const char *customer, int64_t now_us)
{
	purse_t *purse = purse_of(budget, customer);

	fill(&budget->entry, 0.0, now_us);
	fill(purse, 0.0, now_us);
	if (budget->entry.tokens < 1.0 || purse->tokens < 1.0)
		return false;
	budget->entry.tokens -= 1.0;
	purse->tokens -= 1.0;
	return true;
}
