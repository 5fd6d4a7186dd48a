#ifndef SKH_SEEDS_H
#define SKH_SEEDS_H

// How many seeded runs a sweep makes: few in CI, more in "make soak".

#include <cstdint>
#include <cstdlib>

inline uint32_t seeds_or(uint32_t usual)
{
	const char *text = std::getenv("SKH_SEEDS");

	return text ? static_cast<uint32_t>(std::strtoul(text, nullptr, 10)) : usual;
}

#endif
