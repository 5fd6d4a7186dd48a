#ifndef SKH_COUNT_CODEC_H
#define SKH_COUNT_CODEC_H

/**
 * DOC: Count codec
 *
 * Encodes expert counts in four bits each, on a logarithmic scale relative to the
 * maximum count. The functions are pure and run on any thread.
 *
 * Ranks report hundreds of counts to their coordinator a few times a second
 * within a small byte rate. Only the proportions matter, mainly those of the large
 * counts, so 16 steps are precise enough.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** skh_count_codec_encoded_size() - size of @n encoded counts in bytes */
static inline size_t skh_count_codec_encoded_size(size_t n)
{
	return (n + 1) / 2;
}

/**
 * skh_count_codec_encode() - encode @n counts
 * @counts: counts to encode, [@n]; none is negative
 * @packed: receives skh_count_codec_encoded_size(@n) bytes
 *
 * Counts far below the maximum are encoded as 0.
 *
 * Return: the maximum count, rounded down; needed for decoding.
 */
uint32_t skh_count_codec_encode(const double *counts, size_t n, uint8_t *packed);

/**
 * skh_count_codec_decode_add() - decode @n counts and add them to @sums
 * @packed: skh_count_codec_encoded_size(@n) bytes
 * @max_count: result of skh_count_codec_encode()
 * @sums: increased by the decoded counts, [@n]
 */
void skh_count_codec_decode_add(const uint8_t *packed, size_t n, uint32_t max_count, double *sums);

#ifdef __cplusplus
}
#endif
#endif
