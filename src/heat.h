#ifndef SKH_HEAT_H
#define SKH_HEAT_H

/**
 * DOC: Heat of prefixes
 *
 * How large a part of an entry's requests shares a prompt prefix, counted over
 * two windows in a table of fixed size. Pure state; the owner serialises calls.
 */

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_heat skh_heat_t;

skh_heat_t *skh_heat_new(void);
void skh_heat_free(skh_heat_t *heat);

/**
 * skh_heat_note() - one request with @prefix_hash arrived
 * Return: the part of recent requests that share its prefix, 0 to 1.
 */
double skh_heat_note(skh_heat_t *heat, uint64_t prefix_hash, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
