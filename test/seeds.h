#ifndef SKH_SEEDS_H
#define SKH_SEEDS_H

// Number of seeds for randomized tests: SKH_SEEDS if set, else a default that is low enough
// for CI. "make soak" sets SKH_SEEDS higher.

#include <cstdint>
#include <cstdlib>

inline uint32_t get_seed_count(uint32_t default_count)
{
	const char *text = std::getenv("SKH_SEEDS");

	return text ? static_cast<uint32_t>(std::strtoul(text, nullptr, 10)) : default_count;
}

#endif
