#ifndef SKH_BUFFER_H
#define SKH_BUFFER_H

/**
 * DOC: Bytes
 *
 * A chunk is a view of bytes that somebody else owns. A buffer owns its bytes
 * and grows. All byte storage of the library is allocated here.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_chunk - borrowed bytes; not NUL-terminated */
typedef struct skh_chunk {
	const uint8_t *data;
	size_t len;
} skh_chunk_t;

/** struct skh_buffer - owned bytes; @data[@len] is always NUL once non-empty */
typedef struct skh_buffer {
	uint8_t *data;
	size_t len;
	size_t capacity;
} skh_buffer_t;

#define SKH_BUFFER_INIT                                                                            \
	{                                                                                          \
		NULL, 0, 0                                                                         \
	}

skh_chunk_t skh_chunk_make(const void *data, size_t len);
skh_chunk_t skh_chunk_from_string(const char *text);

/** skh_chunk_hash() - 64-bit content hash (xxHash), the same on all hosts */
uint64_t skh_chunk_hash(skh_chunk_t chunk, uint64_t seed);

void skh_buffer_append(skh_buffer_t *buffer, skh_chunk_t chunk);
void skh_buffer_append_string(skh_buffer_t *buffer, const char *text);
void skh_buffer_printf(skh_buffer_t *buffer, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** skh_buffer_extend() - grow by @len bytes, to be filled by the caller at the result */
uint8_t *skh_buffer_extend(skh_buffer_t *buffer, size_t len);

/** skh_buffer_consume() - drop the first @len bytes */
void skh_buffer_consume(skh_buffer_t *buffer, size_t len);
void skh_buffer_clear(skh_buffer_t *buffer);
void skh_buffer_free(skh_buffer_t *buffer);
skh_chunk_t skh_buffer_chunk(const skh_buffer_t *buffer);

/** skh_buffer_text() - the contents as a C string; "" when empty */
const char *skh_buffer_text(const skh_buffer_t *buffer);

#ifdef __cplusplus
}
#endif
#endif
