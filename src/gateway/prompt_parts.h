#ifndef SKH_PROMPT_PARTS_H
#define SKH_PROMPT_PARTS_H

/**
 * DOC: Shared parts of a prompt
 *
 * A caller lists the parts of its prompt in order. All parts but the last are shared with other
 * requests; the last one belongs to the request or its session. Parts are identified by a hash
 * of their id and the service, so that one part is a different one at each service.
 */

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_prompt_parts - hashes of the shared parts; zero-initialised it has none */
typedef struct skh_prompt_parts {
	uint64_t *hashes; /* owned */
	uint32_t count;
} skh_prompt_parts_t;

/**
 * skh_prompt_parts_parse() - read the shared parts
 * @list: comma-separated entries "id:tokens"; NULL for none
 * @service: name of the service
 *
 * Entries without an id are left out. Free the result with skh_prompt_parts_clear().
 */
skh_prompt_parts_t skh_prompt_parts_parse(const char *list, const char *service);

/** skh_prompt_parts_clear() - free the hashes and reset @parts */
void skh_prompt_parts_clear(skh_prompt_parts_t *parts);

/** skh_prompt_parts_format() - the hashes as hexadecimal text; free with g_free() */
char *skh_prompt_parts_format(const skh_prompt_parts_t *parts);

#ifdef __cplusplus
}
#endif
#endif
