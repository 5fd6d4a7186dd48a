#ifndef SKH_BUFFER_H
#define SKH_BUFFER_H

/**
 * DOC: Byte buffers
 *
 * A chunk is a borrowed view of bytes; a buffer owns its bytes and grows on
 * demand. All byte storage of the library is allocated in this module. Lengths
 * are in bytes. The functions take no lock; the owner serialises calls. A
 * failed allocation ends the process.
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

/** struct skh_buffer - owned bytes; @data[@len] is NUL once anything was appended */
typedef struct skh_buffer {
	uint8_t *data;
	size_t len;
	size_t capacity;
} skh_buffer_t;

#define SKH_BUFFER_INIT                                                                            \
	{                                                                                          \
		NULL, 0, 0                                                                         \
	}

/** skh_chunk_make() - view of @len bytes at @data, borrowed */
skh_chunk_t skh_chunk_make(const void *data, size_t len);

/** skh_chunk_from_string() - view of the C string @text without its NUL, borrowed */
skh_chunk_t skh_chunk_from_string(const char *text);

/** skh_chunk_hash() - 64-bit xxHash of the bytes with @seed; the same on all hosts */
uint64_t skh_chunk_hash(skh_chunk_t chunk, uint64_t seed);

/** skh_buffer_append() - append a copy of @chunk, which may be empty */
void skh_buffer_append(skh_buffer_t *buffer, skh_chunk_t chunk);

/** skh_buffer_append_string() - append a copy of the C string @text */
void skh_buffer_append_string(skh_buffer_t *buffer, const char *text);

/** skh_buffer_printf() - append formatted text */
void skh_buffer_printf(skh_buffer_t *buffer, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * skh_buffer_extend() - grow by @len bytes that the caller fills
 * Return: the first of the new, uninitialised bytes; valid until the buffer changes.
 */
uint8_t *skh_buffer_extend(skh_buffer_t *buffer, size_t len);

/** skh_buffer_consume() - remove the first @len bytes; at most the buffer's length */
void skh_buffer_consume(skh_buffer_t *buffer, size_t len);

/** skh_buffer_shrink() - give back unused capacity, if it is more than twice the length and large */
void skh_buffer_shrink(skh_buffer_t *buffer);

/** skh_buffer_clear() - remove all bytes and keep the allocation */
void skh_buffer_clear(skh_buffer_t *buffer);

/** skh_buffer_free() - free the bytes; @buffer itself is reset and may be used again */
void skh_buffer_free(skh_buffer_t *buffer);

/** skh_buffer_chunk() - view of the contents; valid until the buffer changes */
skh_chunk_t skh_buffer_chunk(const skh_buffer_t *buffer);

/** skh_buffer_text() - the contents as a C string, "" when empty; valid until the buffer changes */
const char *skh_buffer_text(const skh_buffer_t *buffer);

#ifdef __cplusplus
}
#endif
#endif
