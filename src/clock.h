#ifndef SKH_CLOCK_H
#define SKH_CLOCK_H

/**
 * DOC: Time
 *
 * Decisions never read a clock: they are given @now_us. Only I/O threads call
 * these functions. Deadlines are stored as points on the monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_US_PER_MS ((int64_t)1000)
#define SKH_US_PER_S  ((int64_t)1000000)
#define SKH_MS_PER_S  ((int64_t)1000)

/** skh_clock_now_us() - monotonic clock of this instance, in microseconds */
int64_t skh_clock_now_us(void);

/**
 * skh_clock_boot_us() - clock that also counts while the instance is suspended
 *
 * What was learned before a suspension is older afterwards by its whole length.
 */
int64_t skh_clock_boot_us(void);

/** skh_clock_unix_ms() - wall clock, milliseconds since 1970 (UTC) */
int64_t skh_clock_unix_ms(void);

/** skh_clock_sleep() - let this thread rest for @pause_us, or until @stop is set by another */
void skh_clock_sleep(int64_t pause_us, const bool *stop);

/** skh_random_u64() - unpredictable number for identifiers and jitter */
uint64_t skh_random_u64(void);

#ifdef __cplusplus
}
#endif
#endif
