#ifndef SKH_DOMAIN_STATUS_H
#define SKH_DOMAIN_STATUS_H

/**
 * DOC: Failure domains out of service
 *
 * Which failure domains operators have taken out of service, and whether that knowledge is recent
 * enough to send requests by. It comes from the store's keys and from other gateways' reports. A
 * statement has a version, the era of the store and the revision in it; the highest version holds.
 *
 * Load pattern: a few domains, and a check before each request that is sent.
 *
 * With a bound in force, requests may be sent only while the keys were read less than the bound,
 * minus SKH_DOMAIN_STATUS_MARGIN_US, ago, and were read again after the process was suspended.
 * Without a bound, only statements count and nothing is delayed.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds of the
 * boot clock, which also runs while the machine is suspended.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Time for a request to reach its server: a connect (350 ms), and the clock error of a report. */
#define SKH_DOMAIN_STATUS_MARGIN_US ((int64_t)1000000)
/* A gateway without a tick for so long was suspended; its ticks are 20 ms apart. */
#define SKH_DOMAIN_STATUS_PAUSE_US ((int64_t)1000000)
/*
 * After the store has come back from an older copy, which may lack the key of a domain that is out
 * of service, the domain stays out for this long, so that operators can write the key again.
 */
#define SKH_DOMAIN_STATUS_KEEP_US   ((int64_t)10 * 1000000)
#define SKH_DOMAIN_STATUS_NAME_SIZE 64

/** enum skh_domain_news_kind - kinds of news from the store and from other gateways */
typedef enum skh_domain_news_kind {
	SKH_DOMAIN_NEWS_OUT,	/* the domain is out of service */
	SKH_DOMAIN_NEWS_BACK,	/* the domain is back in service */
	SKH_DOMAIN_NEWS_BEGINS, /* a complete read of the keys begins */
	SKH_DOMAIN_NEWS_ENDS	/* it ends: domains that it did not state as out are back */
} skh_domain_news_kind_t;

/** struct skh_domain_news - one statement about a domain, or a mark of a complete read */
typedef struct skh_domain_news {
	skh_domain_news_kind_t kind;
	uint64_t domain; /* see skh_domain_hash(); 0 for the marks */
	int64_t era;	 /* of the store, see skh_store_era() */
	int64_t revision;
	char name[SKH_DOMAIN_STATUS_NAME_SIZE]; /* for logs; empty if unknown */
} skh_domain_news_t;

typedef struct skh_domain_status skh_domain_status_t;

/** skh_domain_hash() - identifies the domain called @name; the same in all gateways; never 0 */
uint64_t skh_domain_hash(const char *name);

/** skh_domain_status_new() - nothing is out of service; free with skh_domain_status_free() */
skh_domain_status_t *skh_domain_status_new(void);
void skh_domain_status_free(skh_domain_status_t *status);

/**
 * skh_domain_status_set_bound() - set the time in which a change must take effect
 * @bound_us: 0 if none is in force
 */
void skh_domain_status_set_bound(skh_domain_status_t *status, int64_t bound_us);

/** skh_domain_status_has_bound() - true when a bound is in force */
bool skh_domain_status_has_bound(const skh_domain_status_t *status);

/**
 * skh_domain_status_apply() - apply one statement
 * Return: true when a domain went out of service or came back.
 */
bool skh_domain_status_apply(skh_domain_status_t *status, const skh_domain_news_t *news,
			     int64_t now_us);

/** skh_domain_status_is_out() - true when the domain is out of service */
bool skh_domain_status_is_out(const skh_domain_status_t *status, uint64_t domain);

/** skh_domain_status_find() - the newest statement about the domain, or NULL; borrowed */
const skh_domain_news_t *skh_domain_status_find(const skh_domain_status_t *status, uint64_t domain);

/**
 * skh_domain_status_update() - record that the process is running, and end what has expired
 *
 * To be called at each tick.
 *
 * Return: true when a domain came back.
 */
bool skh_domain_status_update(skh_domain_status_t *status, int64_t now_us);

/** skh_domain_status_set_read() - this gateway knows the store's keys as of @as_of_us */
void skh_domain_status_set_read(skh_domain_status_t *status, int64_t as_of_us);

/** skh_domain_status_read_as_of_us() - the newest such time; 0 for none */
int64_t skh_domain_status_read_as_of_us(const skh_domain_status_t *status);

/**
 * skh_domain_status_renew() - another gateway has read the keys @age_us ago and reported all it knows
 *
 * Ignored shortly after a pause, because the report may have waited in the socket meanwhile.
 */
void skh_domain_status_renew(skh_domain_status_t *status, int64_t age_us, int64_t now_us);

/**
 * skh_domain_status_can_send() - whether requests may be sent to servers of domains in service
 *
 * False with a bound in force while the keys have not been read recently enough.
 */
bool skh_domain_status_can_send(skh_domain_status_t *status, int64_t now_us);

/**
 * skh_domain_status_is_resuming() - whether requests may wait for the keys to be read again
 * Return: true shortly after a pause, when the next read is due at once.
 */
bool skh_domain_status_is_resuming(const skh_domain_status_t *status, int64_t now_us);

/**
 * skh_domain_status_list() - the newest statement about each domain
 * @list: receives at most @max statements
 * Return: number of known domains, which may exceed @max.
 */
size_t skh_domain_status_list(const skh_domain_status_t *status, skh_domain_news_t *list,
			      size_t max);

#ifdef __cplusplus
}
#endif
#endif
