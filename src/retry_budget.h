#ifndef SKH_RETRY_BUDGET_H
#define SKH_RETRY_BUDGET_H

/**
 * DOC: Retry budgets
 *
 * Lost work is sent again only as far as a budget allows, so that servers that
 * fail all they get do not multiply the load. Each request adds a little to its
 * customer's budget and to the entry's; each repetition takes one from both.
 * Only entries repeat work; no other layer does. Pure state; the owner
 * serialises calls.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_retry_budget skh_retry_budget_t;

skh_retry_budget_t *skh_retry_budget_new(void);
void skh_retry_budget_free(skh_retry_budget_t *budget);

/** skh_retry_budget_record_request() - a new request of @customer is about to be sent */
void skh_retry_budget_record_request(skh_retry_budget_t *budget, const char *customer,
				     int64_t now_us);

/** skh_retry_budget_record_end() - a request of @customer has ended */
void skh_retry_budget_record_end(skh_retry_budget_t *budget, const char *customer);

/** skh_retry_budget_acquire() - whether lost work of @customer may be sent again now */
bool skh_retry_budget_acquire(skh_retry_budget_t *budget, const char *customer, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
