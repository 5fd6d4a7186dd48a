#ifndef SKH_RETRY_BUDGET_H
#define SKH_RETRY_BUDGET_H

/**
 * DOC: Retry budgets
 *
 * Limits the retries of one entry with token buckets, so that servers that fail
 * every request do not multiply the load. Each request adds a fraction of a token
 * to the bucket of its customer and to that of the entry; each retry takes one
 * token from both. In a deployment with sidecars, only entries retry requests; no
 * other layer does. For gateways, see retry_share.h.
 *
 * Owns the buckets and does no I/O. The owner serialises calls. Times are in
 * microseconds on the monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_retry_budget skh_retry_budget_t;

skh_retry_budget_t *skh_retry_budget_new(void);
void skh_retry_budget_free(skh_retry_budget_t *budget);

/**
 * skh_retry_budget_record_request() - count a new request of @customer before its first attempt
 *
 * Each call needs one call of skh_retry_budget_record_end() when the request ends.
 */
void skh_retry_budget_record_request(skh_retry_budget_t *budget, const char *customer,
				     int64_t now_us);

/** skh_retry_budget_record_end() - record the end of a request of @customer */
void skh_retry_budget_record_end(skh_retry_budget_t *budget, const char *customer);

/**
 * skh_retry_budget_acquire() - take the tokens for one retry of a lost request of @customer
 *
 * Return: true if the retry is allowed; false, with no token taken, if the bucket
 * of the customer or that of the entry holds less than one token.
 */
bool skh_retry_budget_acquire(skh_retry_budget_t *budget, const char *customer, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
