#ifndef SKH_MEMORY_BUDGET_H
#define SKH_MEMORY_BUDGET_H

/**
 * DOC: Memory for buffered bytes
 *
 * Counts the bytes that a gateway buffers for peers that read slowly, and decides how many may
 * wait for one connection. The load: hundreds of callers, some of which read slowly or not at all,
 * and servers that produce faster than the callers read.
 *
 * One connection may hold a fixed fraction of what is still free, as in the dynamic thresholds
 * of shared-memory switches. One slow reader alone gets a large buffer, many get small ones, and
 * some room is always left for a connection that holds nothing yet. A connection without waiting
 * bytes is never held back, so a full budget delays slow readers but cannot block a fast one.
 *
 * Request bodies and buffered responses cannot be of use before they are complete, and holding
 * back all of them halfway would block them for ever. A request body is therefore admitted as a
 * whole, and each of the two kinds is limited to half of the budget.
 *
 * Without a limit nothing is held back beyond SKH_MEMORY_MAX_CONNECTION_BYTES for each
 * connection. No I/O and no locking; the functions accept a NULL budget as one without a limit.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Most bytes that may wait for one connection before reading from the other side stops. */
#define SKH_MEMORY_MAX_CONNECTION_BYTES ((size_t)256 << 10)
/* Most bytes of buffered responses without a limit. */
#define SKH_MEMORY_MAX_RESPONSE_BYTES ((size_t)16 << 20)
/*
 * Size of the kernel's receive and send buffer of a connection when there is a limit. Data in them
 * counts toward the memory of the instance; it suffices for 65 MB/s over a path of 1 ms.
 */
#define SKH_MEMORY_SOCKET_BUFFER_BYTES (64 << 10)

/** enum skh_memory_use - what buffered bytes wait for */
typedef enum skh_memory_use {
	SKH_MEMORY_TO_CALLERS, /* responses, for their callers to read them */
	SKH_MEMORY_RESPONSES, /* responses that are buffered until they, or an event, are complete */
	SKH_MEMORY_REQUESTS,  /* requests, and their copies until the server has read them */
	SKH_MEMORY_UNREAD,    /* received by the kernel on connections that are not read now */
	SKH_MEMORY_USE_COUNT
} skh_memory_use_t;

/** struct skh_memory_budget - zero-initialised: no limit, nothing in use */
typedef struct skh_memory_budget {
	size_t limit_bytes; /* 0 for no limit */
	size_t used_bytes[SKH_MEMORY_USE_COUNT];
	bool is_scarce; /* see skh_memory_budget_update_scarce() */
} skh_memory_budget_t;

/**
 * skh_memory_budget_set_limit() - set the limit from the memory of the instance
 * @memory_mb: in units of 10^6 bytes; 0 for no limit
 */
void skh_memory_budget_set_limit(skh_memory_budget_t *budget, int64_t memory_mb);

/** skh_memory_budget_has_limit() - true if the memory of the instance is limited */
bool skh_memory_budget_has_limit(const skh_memory_budget_t *budget);

/** skh_memory_budget_add() - count @bytes that have been buffered */
void skh_memory_budget_add(skh_memory_budget_t *budget, skh_memory_use_t use, size_t bytes);

/** skh_memory_budget_remove() - stop counting @bytes that were added for @use */
void skh_memory_budget_remove(skh_memory_budget_t *budget, skh_memory_use_t use, size_t bytes);

/** skh_memory_budget_used() - bytes in use, of all kinds */
size_t skh_memory_budget_used(const skh_memory_budget_t *budget);

/**
 * skh_memory_budget_connection_limit() - how many bytes may wait for one connection now
 *
 * Return: SKH_MEMORY_MAX_CONNECTION_BYTES or less; 0 when the budget is used up. A connection for
 * which nothing waits is served all the same.
 */
size_t skh_memory_budget_connection_limit(const skh_memory_budget_t *budget);

/** skh_memory_budget_read_size() - how many bytes to read at a time from a connection */
size_t skh_memory_budget_read_size(const skh_memory_budget_t *budget, size_t max_bytes);

/**
 * skh_memory_budget_admits_request() - whether a request body may be received
 * @bytes: size of the body
 *
 * Return: true if there is room, and always if no other request is held.
 */
bool skh_memory_budget_admits_request(const skh_memory_budget_t *budget, size_t bytes);

/** skh_memory_budget_response_limit() - how many bytes all buffered responses may have together */
size_t skh_memory_budget_response_limit(const skh_memory_budget_t *budget);

/**
 * skh_memory_budget_small_response() - size up to which a buffered response may always grow
 *
 * Most responses are small. They are not lost because a few large ones use up the limit.
 */
size_t skh_memory_budget_small_response(const skh_memory_budget_t *budget);

/**
 * skh_memory_budget_update_scarce() - update whether little is left
 *
 * Return: true when this has changed; scarce begins at 3/4 of the limit and ends at 1/2, so that
 * it does not change with every write.
 */
bool skh_memory_budget_update_scarce(skh_memory_budget_t *budget);

#ifdef __cplusplus
}
#endif
#endif
