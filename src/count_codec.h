#ifndef SKH_COUNT_CODEC_H
#define SKH_COUNT_CODEC_H

/**
 * DOC: Counts in half a byte each
 *
 * Pure. Ranks tell their coordinator hundreds of counts a few times a second
 * within a small byte rate. Only the proportions matter, and those of the large
 * ones most: each count becomes one of 16 steps of a logarithmic scale below the
 * greatest.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** skh_count_codec_encoded_size() - bytes that @n counts take */
static inline size_t skh_count_codec_encoded_size(size_t n)
{
	return (n + 1) / 2;
}

/**
 * skh_count_codec_encode() - pack @n counts
 * @out: skh_count_codec_encoded_size(@n) bytes
 * Return: the greatest count, which the reader needs.
 */
uint32_t skh_count_codec_encode(const double *counts, size_t n, uint8_t *out);

/** skh_count_codec_decode_add() - add the packed counts to @sums, [@n] */
void skh_count_codec_decode_add(const uint8_t *packed, size_t n, uint32_t greatest, double *sums);

#ifdef __cplusplus
}
#endif
#endif
