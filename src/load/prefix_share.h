#ifndef SKH_PREFIX_SHARE_H
#define SKH_PREFIX_SHARE_H

/**
 * DOC: Share of a prompt prefix
 *
 * Estimates the share of an entry's recent requests that have the same prompt prefix,
 * counted over two windows in a table of fixed size.
 *
 * Owns the table and does no I/O. The owner serialises calls. Times are in
 * microseconds on the monotonic clock.
 */

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_prefix_share skh_prefix_share_t;

skh_prefix_share_t *skh_prefix_share_new(void);
void skh_prefix_share_free(skh_prefix_share_t *share);

/**
 * skh_prefix_share_record() - count a request with @prefix_hash
 *
 * Return: share of recent requests with the same prefix, 0 to 1; 0 for a prefix that
 * was seen only once or twice.
 */
double skh_prefix_share_record(skh_prefix_share_t *share, uint64_t prefix_hash, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
