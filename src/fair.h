#ifndef SKH_FAIR_H
#define SKH_FAIR_H

/**
 * DOC: Fair queueing
 *
 * Start-time fair queueing among customers by weight: each request gets a tag,
 * and the smallest tag goes first. A customer that sends more than its share
 * only delays itself. Pure state; the owner serialises calls.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_fair skh_fair_t;

skh_fair_t *skh_fair_new(void);
void skh_fair_free(skh_fair_t *fair);

/**
 * skh_fair_tag() - one more request of @customer waits
 * @customer: hash of its name
 * @weight: its share; 0 or less counts as 1
 * Return: the request's tag.
 */
double skh_fair_tag(skh_fair_t *fair, uint64_t customer, double weight);

/** skh_fair_started() - the request of @customer with @tag no longer waits but runs */
void skh_fair_started(skh_fair_t *fair, uint64_t customer, double tag);

/** skh_fair_undo() - a request of @customer leaves without having run */
void skh_fair_undo(skh_fair_t *fair, uint64_t customer);

/** skh_fair_ended() - a request of @customer has run */
void skh_fair_ended(skh_fair_t *fair, uint64_t customer);

/** skh_fair_is_over() - whether @customer runs its share of @capacity or more already */
bool skh_fair_is_over(const skh_fair_t *fair, uint64_t customer, uint32_t capacity);

/** skh_fair_trim() - forget customers that have nothing to catch up */
void skh_fair_trim(skh_fair_t *fair);

#ifdef __cplusplus
}
#endif
#endif
