#ifndef SKH_LOG_H
#define SKH_LOG_H

/**
 * DOC: Logging
 *
 * Writes log lines through GLib's structured logging, as text or JSON. A line
 * is the prefix of a part of the program, a short sentence and fields in the form
 * "name=value". A value contains no space, except for that of "reason", which is
 * the last field and extends to the end of the line. Any thread can log; the two
 * set-up functions are called before other threads start.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_log_level {
	SKH_LOG_DEBUG,
	SKH_LOG_INFO,
	SKH_LOG_WARNING,
	SKH_LOG_ERROR
} skh_log_level_t;

/**
 * skh_log_setup() - configure logging for this process
 * @min_level: lowest level that is written
 * @json: write one JSON object per line instead of text
 */
void skh_log_setup(skh_log_level_t min_level, bool json);

/**
 * skh_log_to_stdout() - log to standard output instead of standard error
 *
 * Makes standard output non-blocking. A line that cannot be written at once is
 * dropped or truncated, and lines above a rate limit are dropped. Both are counted;
 * JSON lines report the count since the start as "lines_dropped".
 */
void skh_log_to_stdout(void);

/**
 * skh_log() - write one line
 * @level: severity
 * @part: constant prefix for the part of the program, such as "entry"
 * @sentence: constant short sentence
 * @fields: printf format of "name=value" pairs, or "" for none
 */
void skh_log(skh_log_level_t level, const char *part, const char *sentence, const char *fields, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * skh_log_set_context() - add a field to all further lines of the calling thread
 * @field: "name=value", copied; "" for none. Left out of lines that have a field of this name
 */
void skh_log_set_context(const char *field);

#ifdef __cplusplus
}
#endif
#endif
