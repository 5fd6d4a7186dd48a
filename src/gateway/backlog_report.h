#ifndef SKH_BACKLOG_REPORT_H
#define SKH_BACKLOG_REPORT_H

/**
 * DOC: Backlog in reports between gateways
 *
 * Collects what a gateway's queues hold, and converts statements (backlog.h) to and from the
 * reports that gossip.c sends. For each service the report has seven numbers: the waiting requests
 * of each priority, the starts in the last second, the demand, and the relative demand in
 * sixteenths. Runs on the gateway's event loop thread.
 */

#include "backlog.h"
#include "gateway.h"
#include "wire.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_BACKLOG_REPORT_NUMBERS (SKH_BACKLOG_PRIORITIES + 3)

/** struct skh_backlog_report - arrays that an encoded message borrows */
typedef struct skh_backlog_report {
	uint32_t services[SKH_BACKLOG_MAX_SERVICES];
	uint32_t own[SKH_BACKLOG_MAX_SERVICES * SKH_BACKLOG_REPORT_NUMBERS];
	uint32_t totals[SKH_BACKLOG_MAX_SERVICES * SKH_BACKLOG_REPORT_NUMBERS];
	uint32_t customers[SKH_BACKLOG_MAX_CUSTOMERS];
	uint32_t customers_waiting[SKH_BACKLOG_MAX_CUSTOMERS];
} skh_backlog_report_t;

/** skh_backlog_report_encode() - write @statement to @message, which borrows from @report */
void skh_backlog_report_encode(const skh_backlog_statement_t *statement,
			       skh_backlog_report_t *report, Skh__LoadReport *message);

/**
 * skh_backlog_report_decode() - read the statement of @message
 * Return: false if it has none, or one whose arrays do not fit together.
 */
bool skh_backlog_report_decode(const Skh__LoadReport *message, skh_backlog_statement_t *statement);

/** skh_backlog_report_collect() - count the gateway's queued requests for its backlog */
void skh_backlog_report_collect(skh_gateway_t *gateway);

/** skh_backlog_report_find_customers() - fill in the customers with the most queued requests */
void skh_backlog_report_find_customers(const skh_gateway_t *gateway,
				       skh_backlog_statement_t *statement);

#ifdef __cplusplus
}
#endif
#endif
