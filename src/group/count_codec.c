#include "count_codec.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Step 0 encodes a count of 0; from step 1 on, each step is greater by this factor. */
#define STEP_FACTOR 1.4
#define MAX_STEP    15
#define STEP_BITS   4
#define STEP_MASK   0x0F

static uint8_t quantize_count(double count, double max_count)
{
	double steps_below_max = log(max_count / count) / log(STEP_FACTOR);
	long step = MAX_STEP - lround(steps_below_max);

	return (uint8_t)(step > 0 ? step : 0);
}

uint32_t skh_count_codec_encode(const double *counts, size_t n, uint8_t *packed)
{
	double max_count = 0.0;

	memset(packed, 0, skh_count_codec_encoded_size(n));
	for (size_t i = 0; i < n; i++)
		max_count = counts[i] > max_count ? counts[i] : max_count;
	for (size_t i = 0; i < n; i++) {
		if (counts[i] > 0.0)
			packed[i / 2] |= (uint8_t)(quantize_count(counts[i], max_count)
						   << (i % 2 * STEP_BITS));
	}
	return (uint32_t)MIN(max_count, (double)UINT32_MAX);
}

void skh_count_codec_decode_add(const uint8_t *packed, size_t n, uint32_t max_count, double *sums)
{
	double step_counts[MAX_STEP + 1] = { 0.0 };

	for (int step = 1; step <= MAX_STEP; step++)
		step_counts[step] = (double)max_count * pow(STEP_FACTOR, step - MAX_STEP);
	for (size_t i = 0; i < n; i++)
		sums[i] += step_counts[packed[i / 2] >> (i % 2 * STEP_BITS) & STEP_MASK];
}
