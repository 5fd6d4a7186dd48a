#include "clock.h"

#include <stddef.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_US 1000
#define NS_PER_MS 1000000
/* A pause notices a stop this late at most. */
#define SLICE_US (100 * SKH_US_PER_MS)

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

void skh_clock_sleep(int64_t pause_us, const bool *stop)
{
	while (pause_us > 0 && !__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		(void)usleep((useconds_t)(pause_us < SLICE_US ? pause_us : SLICE_US));
		pause_us -= SLICE_US;
	}
}

uint64_t skh_random_u64(void)
{
	uint64_t value = 0;

	/* getrandom() only falls short before the system's pool is filled. */
	while (getrandom(&value, sizeof(value), 0) != (ssize_t)sizeof(value))
		continue;
	return value;
}
