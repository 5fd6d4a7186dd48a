#ifndef SKH_LOG_H
#define SKH_LOG_H

/**
 * DOC: Logs
 *
 * GLib structured logging. A line is a short sentence behind the fixed prefix
 * of its part, followed by fields written as "name=value". A field's value
 * holds no space, except for "reason", which comes last and takes the rest.
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

/** skh_log_setup() - choose the lowest level written and JSON lines or text */
void skh_log_setup(skh_log_level_t lowest, bool json);

/** skh_log_to_stdout() - lines go to standard output; those it can't take at once are dropped */
void skh_log_to_stdout(void);

/**
 * skh_log() - write one line
 * @level: how urgent it is
 * @part: fixed prefix of the part that speaks, such as "entry"
 * @sentence: constant short sentence
 * @fields: printf format of "name=value" pairs, or "" for none
 */
void skh_log(skh_log_level_t level, const char *part, const char *sentence, const char *fields, ...)
	__attribute__((format(printf, 4, 5)));

#ifdef __cplusplus
}
#endif
#endif
