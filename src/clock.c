#include "clock.h"

#include <stddef.h>
#include <sys/random.h>
#include <time.h>

#define NS_PER_US 1000
#define NS_PER_MS 1000000

int64_t skh_clock_now_us(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * SKH_US_PER_S + now.tv_nsec / NS_PER_US;
}

int64_t skh_clock_boot_us(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * SKH_US_PER_S + now.tv_nsec / NS_PER_US;
}

int64_t skh_clock_unix_ms(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * SKH_MS_PER_S + now.tv_nsec / NS_PER_MS;
}

uint64_t skh_random_u64(void)
{
	uint64_t value = 0;

	/* getrandom() only falls short before the system's pool is filled. */
	while (getrandom(&value, sizeof(value), 0) != (ssize_t)sizeof(value))
		continue;
	return value;
}
