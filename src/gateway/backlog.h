#ifndef SKH_BACKLOG_H
#define SKH_BACKLOG_H

/**
 * DOC: Waiting and started requests of all gateways
 *
 * Merges what the gateways report of each service: the requests that wait by priority, the
 * requests started in the last second, the demand (see demand_share.h) and the customers with
 * the most waiting requests. From it follow the requests ahead of a new one elsewhere, the rate
 * at which all gateways start requests, and this gateway's share of a service's capacity.
 *
 * Load pattern: 5 to 400 gateways with a few reports a second each. Up to a few dozen gateways
 * hear each other directly. Beyond, a report reaches only a part of the gateways in time, a
 * different one each time, and carries the total that the sender has estimated. A statement that
 * reaches a share p of the gateways in time counts 1/p times, so the expected total is that of
 * the gateways that send, without knowing which have stopped. The average over the totals of all
 * senders heard has the smaller error.
 *
 * Does no I/O. The caller serialises calls. Times are in microseconds on one monotonic clock.
 * Results change only in skh_backlog_update().
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Priorities that are counted apart; greater ones count as the last. */
#define SKH_BACKLOG_PRIORITIES 4
/* Services in one report; further services are not reported. */
#define SKH_BACKLOG_MAX_SERVICES 8
/* Customers in one report. */
#define SKH_BACKLOG_MAX_CUSTOMERS 4
/* Time after which a statement of a gateway no longer counts. */
#define SKH_BACKLOG_EXPIRY_US ((int64_t)2500000)
/*
 * A sender with a longer round than SKH_BACKLOG_MAX_ROUND_US reaches only a part of the gateways
 * before its statement expires. Its statement counts for the window only, so that totals that are
 * passed on expire in time.
 */
#define SKH_BACKLOG_MAX_ROUND_US ((int64_t)2200000)
#define SKH_BACKLOG_WINDOW_US	 ((int64_t)1200000)

/** struct skh_backlog_counts - requests of one service at one gateway, or at all of them */
typedef struct skh_backlog_counts {
	double waiting[SKH_BACKLOG_PRIORITIES]; /* in the queue, by priority */
	double started_per_s;			/* requests sent to a server in the last second */
	double demand;				/* see demand_share.h */
	double relative_demand;			/* of one gateway about 1 */
} skh_backlog_counts_t;

/** struct skh_backlog_statement - what one report states */
typedef struct skh_backlog_statement {
	size_t n_services;
	uint32_t services[SKH_BACKLOG_MAX_SERVICES]; /* skh_backlog_hash() of the names */
	skh_backlog_counts_t own[SKH_BACKLOG_MAX_SERVICES];
	bool has_totals;
	skh_backlog_counts_t totals[SKH_BACKLOG_MAX_SERVICES]; /* of all gateways, as estimated */
	size_t n_customers;
	uint32_t customers[SKH_BACKLOG_MAX_CUSTOMERS];	       /* skh_backlog_hash() of the names */
	uint32_t customers_waiting[SKH_BACKLOG_MAX_CUSTOMERS]; /* requests in the sender's queues */
	int64_t round_us; /* time in which the sender reports to each other gateway once */
} skh_backlog_statement_t;

typedef struct skh_backlog skh_backlog_t;

/** skh_backlog_new() - returns the backlog of a gateway that is alone; free it afterwards */
skh_backlog_t *skh_backlog_new(void);
/** skh_backlog_free() - frees @backlog; NULL is ignored */
void skh_backlog_free(skh_backlog_t *backlog);

/** skh_backlog_hash() - identifies a service or a customer in reports */
uint32_t skh_backlog_hash(const char *name);

/* --- What this gateway has --- */

/** skh_backlog_record_arrival() - count a request for @service that has arrived from a caller */
void skh_backlog_record_arrival(skh_backlog_t *backlog, const char *service, int64_t now_us);

/** skh_backlog_record_start() - count a request that is sent to a server of @service */
void skh_backlog_record_start(skh_backlog_t *backlog, const char *service, int64_t now_us);

/** skh_backlog_set_waiting() - set the requests that wait at this gateway, by priority */
void skh_backlog_set_waiting(skh_backlog_t *backlog, const char *service,
			     const uint32_t waiting[SKH_BACKLOG_PRIORITIES]);

/* --- Reports --- */

/**
 * skh_backlog_set_gateways() - set the length of the list of gateways
 * @n_gateways: including this one, at least 1
 */
void skh_backlog_set_gateways(skh_backlog_t *backlog, uint32_t n_gateways);

/**
 * skh_backlog_make_statement() - fill in what this gateway reports
 *
 * The caller fills in the customers and @round_us.
 */
void skh_backlog_make_statement(skh_backlog_t *backlog, skh_backlog_statement_t *statement,
				int64_t now_us);

/** skh_backlog_merge() - replace the statement of @sender, a random ID of each process */
void skh_backlog_merge(skh_backlog_t *backlog, uint64_t sender,
		       const skh_backlog_statement_t *statement, int64_t now_us);

/** skh_backlog_update() - drop old statements and compute all results; several times a second */
void skh_backlog_update(skh_backlog_t *backlog, int64_t now_us);

/* --- Results --- */

/**
 * skh_backlog_waiting_ahead() - requests of @service that wait at the other gateways
 * @priority: those of this priority and more urgent ones are counted
 * Return: 0 or more; 0 if no current report says so.
 */
double skh_backlog_waiting_ahead(const skh_backlog_t *backlog, const char *service,
				 uint32_t priority);

/** skh_backlog_start_rate() - requests of @service that all gateways together start a second */
double skh_backlog_start_rate(const skh_backlog_t *backlog, const char *service);

/**
 * skh_demand_share() - this gateway's share of the capacity of @service
 *
 * Return: above 0, at most 1. It is 1 for a gateway that is alone, and the equal share while no
 * other gateway's reports are current.
 */
double skh_demand_share(const skh_backlog_t *backlog, const char *service);

/** skh_backlog_has_reports() - whether a current report of another gateway is known */
bool skh_backlog_has_reports(const skh_backlog_t *backlog);

/**
 * skh_backlog_customer_waiting() - requests of a customer that wait at the other gateways
 *
 * A lower bound: each gateway reports only the customers with the most requests in its queues.
 */
double skh_backlog_customer_waiting(const skh_backlog_t *backlog, const char *customer);

#ifdef __cplusplus
}
#endif
#endif
