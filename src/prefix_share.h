#ifndef SKH_PREFIX_SHARE_H
#define SKH_PREFIX_SHARE_H

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

typedef struct skh_prefix_share skh_prefix_share_t;

skh_prefix_share_t *skh_prefix_share_new(void);
void skh_prefix_share_free(skh_prefix_share_t *heat);

/**
 * skh_prefix_share_record() - one request with @prefix_hash arrived
 * Return: the part of recent requests that share its prefix, 0 to 1.
 */
double skh_prefix_share_record(skh_prefix_share_t *heat, uint64_t prefix_hash, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
