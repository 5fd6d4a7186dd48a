#include "buffer.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <xxhash.h>

#define MIN_CAPACITY_BYTES 64
/* A smaller allocation is not worth a call that gives a part of it back. */
#define MIN_SHRINK_BYTES 4096

skh_chunk_t skh_chunk_make(const void *data, size_t len)
{
	return (skh_chunk_t){ data, len };
}

skh_chunk_t skh_chunk_from_string(const char *text)
{
	return skh_chunk_make(text, strlen(text));
}

uint64_t skh_chunk_hash(skh_chunk_t chunk, uint64_t seed)
{
	return XXH64(chunk.data, chunk.len, seed);
}

static void reserve(skh_buffer_t *buffer, size_t extra_bytes)
{
	size_t required_bytes = buffer->len + extra_bytes + 1;
	size_t capacity = buffer->capacity ? buffer->capacity : MIN_CAPACITY_BYTES;

	if (required_bytes <= buffer->capacity)
		return;
	while (capacity < required_bytes)
		capacity *= 2;
	buffer->data = g_realloc(buffer->data, capacity);
	buffer->capacity = capacity;
}

void skh_buffer_append(skh_buffer_t *buffer, skh_chunk_t chunk)
{
	reserve(buffer, chunk.len);
	if (chunk.len > 0)
		memcpy(buffer->data + buffer->len, chunk.data, chunk.len);
	buffer->len += chunk.len;
	buffer->data[buffer->len] = '\0';
}

uint8_t *skh_buffer_extend(skh_buffer_t *buffer, size_t len)
{
	reserve(buffer, len);
	buffer->len += len;
	buffer->data[buffer->len] = '\0';
	return buffer->data + buffer->len - len;
}

void skh_buffer_append_string(skh_buffer_t *buffer, const char *text)
{
	skh_buffer_append(buffer, skh_chunk_from_string(text));
}

void skh_buffer_printf(skh_buffer_t *buffer, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	skh_buffer_append_string(buffer, text);
	g_free(text);
}

void skh_buffer_consume(skh_buffer_t *buffer, size_t len)
{
	if (len == 0)
		return;
	memmove(buffer->data, buffer->data + len, buffer->len - len);
	buffer->len -= len;
	buffer->data[buffer->len] = '\0';
}

void skh_buffer_shrink(skh_buffer_t *buffer)
{
	if (buffer->capacity <= MIN_SHRINK_BYTES || buffer->capacity <= 2 * (buffer->len + 1))
		return;
	if (buffer->len == 0) {
		skh_buffer_free(buffer);
		return;
	}
	buffer->capacity = buffer->len + 1;
	buffer->data = g_realloc(buffer->data, buffer->capacity);
}

void skh_buffer_clear(skh_buffer_t *buffer)
{
	buffer->len = 0;
	if (buffer->data)
		buffer->data[0] = '\0';
}

void skh_buffer_free(skh_buffer_t *buffer)
{
	g_free(buffer->data);
	*buffer = (skh_buffer_t)SKH_BUFFER_INIT;
}

skh_chunk_t skh_buffer_chunk(const skh_buffer_t *buffer)
{
	return skh_chunk_make(buffer->data, buffer->len);
}

const char *skh_buffer_text(const skh_buffer_t *buffer)
{
	return buffer->data ? (const char *)buffer->data : "";
}
