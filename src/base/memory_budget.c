#include "memory_budget.h"

#include <glib.h>

#define BYTES_PER_MB ((size_t)1000 * 1000)
/*
 * Part of the instance's memory that counted bytes may take. A growing buffer has up to twice the
 * capacity that it needs, and the old one exists beside it while it grows; the rest is for the
 * program itself (3 to 6 MB measured) and its tables.
 */
#define LIMIT_DIVISOR 4
/* One connection may hold this part of what is free; eight slow readers share half of the budget. */
#define CONNECTION_DIVISOR 8
/* A smaller read costs a system call for each few events without saving memory worth it. */
#define MIN_READ_BYTES ((size_t)4 << 10)
/* At 112 MB this is 27 KB; without a limit 64 KiB. */
#define SMALL_RESPONSE_DIVISOR	 1024
#define MIN_SMALL_RESPONSE_BYTES ((size_t)4 << 10)
#define MAX_SMALL_RESPONSE_BYTES ((size_t)64 << 10)

void skh_memory_budget_set_limit(skh_memory_budget_t *budget, int64_t memory_mb)
{
	budget->limit_bytes = (size_t)memory_mb * BYTES_PER_MB / LIMIT_DIVISOR;
}

bool skh_memory_budget_has_limit(const skh_memory_budget_t *budget)
{
	return budget && budget->limit_bytes > 0;
}

void skh_memory_budget_add(skh_memory_budget_t *budget, skh_memory_use_t use, size_t bytes)
{
	if (budget)
		budget->used_bytes[use] += bytes;
}

void skh_memory_budget_remove(skh_memory_budget_t *budget, skh_memory_use_t use, size_t bytes)
{
	if (budget)
		budget->used_bytes[use] -= bytes;
}

size_t skh_memory_budget_used(const skh_memory_budget_t *budget)
{
	size_t used_bytes = 0;

	for (int32_t use = 0; budget && use < SKH_MEMORY_USE_COUNT; use++)
		used_bytes += budget->used_bytes[use];
	return used_bytes;
}

size_t skh_memory_budget_connection_limit(const skh_memory_budget_t *budget)
{
	size_t used_bytes = skh_memory_budget_used(budget);

	if (!skh_memory_budget_has_limit(budget))
		return SKH_MEMORY_MAX_CONNECTION_BYTES;
	if (used_bytes >= budget->limit_bytes)
		return 0;
	return MIN((budget->limit_bytes - used_bytes) / CONNECTION_DIVISOR,
		   SKH_MEMORY_MAX_CONNECTION_BYTES);
}

size_t skh_memory_budget_read_size(const skh_memory_budget_t *budget, size_t max_bytes)
{
	return CLAMP(skh_memory_budget_connection_limit(budget), MIN_READ_BYTES, max_bytes);
}

bool skh_memory_budget_admits_request(const skh_memory_budget_t *budget, size_t bytes)
{
	if (!skh_memory_budget_has_limit(budget) || budget->used_bytes[SKH_MEMORY_REQUESTS] == 0)
		return true;
	return bytes <= budget->limit_bytes / 2 &&
	       budget->used_bytes[SKH_MEMORY_REQUESTS] <= budget->limit_bytes / 2 - bytes;
}

size_t skh_memory_budget_response_limit(const skh_memory_budget_t *budget)
{
	return skh_memory_budget_has_limit(budget)
		       ? MIN(budget->limit_bytes / 2, SKH_MEMORY_MAX_RESPONSE_BYTES)
		       : SKH_MEMORY_MAX_RESPONSE_BYTES;
}

size_t skh_memory_budget_small_response(const skh_memory_budget_t *budget)
{
	return skh_memory_budget_has_limit(budget)
		       ? CLAMP(budget->limit_bytes / SMALL_RESPONSE_DIVISOR,
			       MIN_SMALL_RESPONSE_BYTES, MAX_SMALL_RESPONSE_BYTES)
		       : MAX_SMALL_RESPONSE_BYTES;
}

bool skh_memory_budget_update_scarce(skh_memory_budget_t *budget)
{
	size_t used_bytes = skh_memory_budget_used(budget);
	bool was_scarce = budget->is_scarce;

	if (!skh_memory_budget_has_limit(budget) || used_bytes <= budget->limit_bytes / 2)
		budget->is_scarce = false;
	else if (used_bytes >= budget->limit_bytes / 4 * 3)
		budget->is_scarce = true;
	return budget->is_scarce != was_scarce;
}
