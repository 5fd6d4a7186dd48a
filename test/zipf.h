// Popularity of experts for tests: it falls with an expert's rank, as in the users' traffic.
#ifndef SKH_TEST_ZIPF_H
#define SKH_TEST_ZIPF_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

// Shares that sum up to 1, in an order of @seed.
inline std::vector<double> zipf(uint32_t experts, double skew, uint32_t seed)
{
	std::vector<double> shares(experts);
	std::mt19937 random(seed);
	double sum = 0.0;

	for (uint32_t i = 0; i < experts; i++) {
		shares[i] = std::pow(i + 1.0, -skew);
		sum += shares[i];
	}
	for (auto &share : shares)
		share /= sum;
	std::shuffle(shares.begin(), shares.end(), random);
	return shares;
}

#endif
