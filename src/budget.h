#ifndef SKH_BUDGET_H
#define SKH_BUDGET_H

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

typedef struct skh_budget skh_budget_t;

skh_budget_t *skh_budget_new(void);
void skh_budget_free(skh_budget_t *budget);

/** skh_budget_note() - a new request of @customer is about to be sent */
void skh_budget_note(skh_budget_t *budget, const char *customer, int64_t now_us);

/** skh_budget_done() - a request of @customer has ended */
void skh_budget_done(skh_budget_t *budget, const char *customer);

/** skh_budget_take() - whether lost work of @customer may be sent again now */
bool skh_budget_take(skh_budget_t *budget, const char *customer, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
