#include "clock.h"

#include <stddef.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_US 1000
#define NS_PER_MS 1000000
/* Maximum delay before skh_clock_sleep() notices that @stop is set. */
#define STOP_CHECK_INTERVAL_US (100 * SKH_US_PER_MS)

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

void skh_clock_sleep(int64_t duration_us, const bool *stop)
{
	while (duration_us > 0 && !__atomic_load_n(stop, __ATOMIC_ACQUIRE)) {
		(void)usleep((useconds_t)(duration_us < STOP_CHECK_INTERVAL_US
						  ? duration_us
						  : STOP_CHECK_INTERVAL_US));
		duration_us -= STOP_CHECK_INTERVAL_US;
	}
}

uint64_t skh_random_u64(void)
{
	uint64_t value = 0;

	/* getrandom() returns less than asked only before the kernel's entropy pool is ready. */
	while (getrandom(&value, sizeof(value), 0) != (ssize_t)sizeof(value))
		continue;
	return value;
}
