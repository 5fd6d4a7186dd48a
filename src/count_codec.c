#include "count_codec.h"

#include <math.h>
#include <string.h>

/* Step 0 stands for none; each further step is by this factor greater. */
#define STEP_FACTOR 1.4
#define TOP_STEP    15
#define STEP_BITS   4
#define STEP_MASK   0x0F

static uint8_t step_of(double count, double greatest)
{
	double below = log(greatest / count) / log(STEP_FACTOR);
	long step = TOP_STEP - lround(below);

	return (uint8_t)(step > 0 ? step : 0);
}

uint32_t skh_count_codec_encode(const double *counts, size_t n, uint8_t *out)
{
	double greatest = 0.0;

	memset(out, 0, skh_count_codec_encoded_size(n));
	for (size_t i = 0; i < n; i++)
		greatest = counts[i] > greatest ? counts[i] : greatest;
	for (size_t i = 0; i < n; i++) {
		if (counts[i] > 0.0)
			out[i / 2] |=
				(uint8_t)(step_of(counts[i], greatest) << (i % 2 * STEP_BITS));
	}
	return (uint32_t)greatest;
}

void skh_count_codec_decode_add(const uint8_t *packed, size_t n, uint32_t greatest, double *sums)
{
	double value[TOP_STEP + 1] = { 0.0 };

	for (int step = 1; step <= TOP_STEP; step++)
		value[step] = (double)greatest * pow(STEP_FACTOR, step - TOP_STEP);
	for (size_t i = 0; i < n; i++)
		sums[i] += value[packed[i / 2] >> (i % 2 * STEP_BITS) & STEP_MASK];
}
