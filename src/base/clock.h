#ifndef SKH_CLOCK_H
#define SKH_CLOCK_H

/**
 * DOC: Clocks and random numbers
 *
 * Reads the system clocks and the kernel's random source. The functions can be
 * called from any thread, but only threads that do I/O call them: decision modules
 * never read a clock and take the time as a parameter, @now_us. A process stores
 * its deadlines as points in time on one of the monotonic clocks.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_US_PER_MS ((int64_t)1000)
#define SKH_US_PER_S  ((int64_t)1000000)
#define SKH_MS_PER_S  ((int64_t)1000)

/** skh_clock_now_us() - monotonic clock of this host, in microseconds */
int64_t skh_clock_now_us(void);

/**
 * skh_clock_boot_us() - monotonic clock that includes suspended time, in microseconds
 *
 * Used for the age of received data, because the length of a suspension adds to
 * the age. The gateway and the balancer use this clock for all times.
 */
int64_t skh_clock_boot_us(void);

/** skh_clock_unix_ms() - wall clock, in milliseconds since 1970 (UTC) */
int64_t skh_clock_unix_ms(void);

/**
 * skh_clock_sleep() - block the calling thread
 * @duration_us: time to sleep, in microseconds
 * @stop: ends the sleep early, within 100 ms, when another thread sets it
 */
void skh_clock_sleep(int64_t duration_us, const bool *stop);

/** skh_random_u64() - unpredictable number, for identifiers and jitter */
uint64_t skh_random_u64(void);

#ifdef __cplusplus
}
#endif
#endif
