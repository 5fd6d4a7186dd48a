// Zipf-distributed expert popularity for tests, as in the users' traffic.
#ifndef SKH_TEST_ZIPF_H
#define SKH_TEST_ZIPF_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

// Returns shares that sum up to 1, in a random order that depends on @seed only.
inline std::vector<double> zipf(uint32_t n_experts, double skew, uint32_t seed)
{
	std::vector<double> shares(n_experts);
	std::mt19937 random(seed);
	double sum = 0.0;

	for (uint32_t i = 0; i < n_experts; i++) {
		shares[i] = std::pow(i + 1.0, -skew);
		sum += shares[i];
	}
	for (auto &share : shares)
		share /= sum;
	std::shuffle(shares.begin(), shares.end(), random);
	return shares;
}

#endif
