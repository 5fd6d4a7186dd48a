#ifndef SKH_SERVER_LIMIT_H
#define SKH_SERVER_LIMIT_H

/**
 * DOC: Limit that a server names
 *
 * A server in need names the requests a second that it takes from all gateways together. Each
 * gateway knows the list of gateways and has no time to ask the others for each request.
 *
 * Load pattern: many gateways at a few servers with small limits, e.g. 52 gateways and 2 requests a
 * second. An equal part for each gateway would be less than one request in the time over which the
 * server counts, and the unused parts of all would add up to a burst. So each server is shared by
 * only as many gateways as its limit bears, chosen by a hash of gateway and server that all
 * gateways compute alike; each of them gets an equal part and saves up one request at most.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds on one
 * monotonic clock.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A limit that nobody has heard of for so long has ended: the server gets no requests. */
#define SKH_SERVER_LIMIT_EXPIRY_US ((int64_t)15 * 1000000)
/* Smallest rate, so that the end of a limit of nearly 0 is noticed. */
#define SKH_SERVER_LIMIT_MIN_PER_S 0.25
/* Gateways that share a server: these, and so many more for each request a second. */
#define SKH_SERVER_LIMIT_MIN_GATEWAYS	  3
#define SKH_SERVER_LIMIT_GATEWAYS_A_PER_S 2
/*
 * A part rises only when the list of gateways has been the same for so long, longer than a report
 * lives: others may still use the shares of the list before.
 */
#define SKH_SERVER_LIMIT_SETTLE_US ((int64_t)2500000)
/* Time after which a gateway without a part looks again whether it has one. */
#define SKH_SERVER_LIMIT_RECHECK_US ((int64_t)1000000)

/** struct skh_gateway_list - gateways by the hashes of their addresses; borrowed */
typedef struct skh_gateway_list {
	const uint64_t *hashes;
	size_t count;
	uint64_t version;   /* from 1; another one after each change */
	int64_t changed_us; /* time of the last change; 0 if long ago */
} skh_gateway_list_t;

/** struct skh_server_limit - what is known of one server; zero-initialised it has no limit */
typedef struct skh_server_limit {
	double per_s;	       /* requests a second from all gateways together; 0 for no limit */
	int64_t named_us;      /* when the server said so; 0 before it named any limit */
	bool is_own;	       /* in a response to this gateway */
	double part_per_s;     /* of this gateway; 0 for none */
	size_t rank;	       /* of this gateway among those that may share the server */
	uint64_t list_version; /* of the list that @rank was computed from; 0 for none */
	uint32_t max_sharers;  /* gateways that share the server at most; 0: by @per_s */
	double part_of_per_s;  /* the limit that @part_per_s is a part of; 0 for none */
	double saved;	       /* requests that may be sent at @saved_us */
	int64_t saved_us;
} skh_server_limit_t;

/**
 * skh_server_limit_name() - record what the server said at @named_us
 * @per_s: its limit; 0 if it named none
 * @is_own: it said so to this gateway
 *
 * The newest statement holds.
 */
void skh_server_limit_name(skh_server_limit_t *limit, double per_s, int64_t named_us, bool is_own);

/**
 * skh_server_limit_update() - compute the part of this gateway and end a limit that has expired
 * @server: hash of the server
 * @gateway: hash of this gateway
 * @others: the other gateways
 */
void skh_server_limit_update(skh_server_limit_t *limit, uint64_t server, uint64_t gateway,
			     const skh_gateway_list_t *others, int64_t now_us);

/**
 * skh_server_limit_free_from_us() - when this gateway may send the server a request
 * Return: a time; 0 for now.
 */
int64_t skh_server_limit_free_from_us(const skh_server_limit_t *limit, int64_t now_us);

/** skh_server_limit_take() - count a request that is sent to the server */
void skh_server_limit_take(skh_server_limit_t *limit, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
