#include "backlog_report.h"

#include "attempt.h"
#include "clock.h"

#define RELATIVE_DEMAND_STEPS 16.0
/* Larger numbers are not plausible; they are reduced so that sums stay exact. */
#define MAX_NUMBER 1000000U

static uint32_t to_number(double value)
{
	return (uint32_t)CLAMP(value + 0.5, 0.0, (double)MAX_NUMBER);
}

static void encode_counts(const skh_backlog_counts_t *counts,
			  uint32_t numbers[SKH_BACKLOG_REPORT_NUMBERS])
{
	for (uint32_t i = 0; i < SKH_BACKLOG_PRIORITIES; i++)
		numbers[i] = to_number(counts->waiting[i]);
	numbers[SKH_BACKLOG_PRIORITIES] = to_number(counts->started_per_s);
	numbers[SKH_BACKLOG_PRIORITIES + 1] = to_number(counts->demand);
	numbers[SKH_BACKLOG_PRIORITIES + 2] =
		to_number(counts->relative_demand * RELATIVE_DEMAND_STEPS);
}

static skh_backlog_counts_t decode_counts(const uint32_t numbers[SKH_BACKLOG_REPORT_NUMBERS])
{
	skh_backlog_counts_t counts = { .demand = 0.0 };

	for (uint32_t i = 0; i < SKH_BACKLOG_PRIORITIES; i++)
		counts.waiting[i] = MIN(numbers[i], MAX_NUMBER);
	counts.started_per_s = MIN(numbers[SKH_BACKLOG_PRIORITIES], MAX_NUMBER);
	counts.demand = MIN(numbers[SKH_BACKLOG_PRIORITIES + 1], MAX_NUMBER);
	counts.relative_demand =
		MIN(numbers[SKH_BACKLOG_PRIORITIES + 2], MAX_NUMBER) / RELATIVE_DEMAND_STEPS;
	return counts;
}

void skh_backlog_report_encode(const skh_backlog_statement_t *statement,
			       skh_backlog_report_t *report, Skh__LoadReport *message)
{
	for (size_t i = 0; i < statement->n_services; i++) {
		report->services[i] = statement->services[i];
		encode_counts(&statement->own[i], report->own + i * SKH_BACKLOG_REPORT_NUMBERS);
		encode_counts(&statement->totals[i],
			      report->totals + i * SKH_BACKLOG_REPORT_NUMBERS);
	}
	for (size_t i = 0; i < statement->n_customers; i++) {
		report->customers[i] = statement->customers[i];
		report->customers_waiting[i] = statement->customers_waiting[i];
	}
	message->n_backlog_services = statement->n_services;
	message->backlog_services = report->services;
	message->n_backlog = statement->n_services * SKH_BACKLOG_REPORT_NUMBERS;
	message->backlog = report->own;
	message->n_backlog_totals = statement->has_totals ? message->n_backlog : 0;
	message->backlog_totals = report->totals;
	message->n_customers = statement->n_customers;
	message->customers = report->customers;
	message->n_customers_waiting = statement->n_customers;
	message->customers_waiting = report->customers_waiting;
	message->round_ms = (uint32_t)MAX(statement->round_us / SKH_US_PER_MS, 1);
}

bool skh_backlog_report_decode(const Skh__LoadReport *message, skh_backlog_statement_t *statement)
{
	size_t n_services = message->n_backlog_services;

	*statement = (skh_backlog_statement_t){ .round_us = message->round_ms * SKH_US_PER_MS,
						.n_services = n_services,
						.has_totals = message->n_backlog_totals > 0,
						.n_customers = message->n_customers };
	if (message->round_ms == 0 || n_services > SKH_BACKLOG_MAX_SERVICES ||
	    message->n_backlog != n_services * SKH_BACKLOG_REPORT_NUMBERS ||
	    (statement->has_totals && message->n_backlog_totals != message->n_backlog) ||
	    message->n_customers > SKH_BACKLOG_MAX_CUSTOMERS ||
	    message->n_customers_waiting != message->n_customers)
		return false;
	for (size_t i = 0; i < n_services; i++) {
		size_t first = i * SKH_BACKLOG_REPORT_NUMBERS;

		statement->services[i] = message->backlog_services[i];
		statement->own[i] = decode_counts(message->backlog + first);
		if (statement->has_totals)
			statement->totals[i] = decode_counts(message->backlog_totals + first);
	}
	for (size_t i = 0; i < message->n_customers; i++) {
		statement->customers[i] = message->customers[i];
		statement->customers_waiting[i] = MIN(message->customers_waiting[i], MAX_NUMBER);
	}
	return true;
}

static void collect_pool(skh_target_pool_t *pool, void *context)
{
	const skh_gateway_t *gateway = context;
	uint32_t waiting[SKH_BACKLOG_PRIORITIES];

	skh_request_queue_count_priorities(pool->queue, waiting, SKH_BACKLOG_PRIORITIES);
	skh_backlog_set_waiting(gateway->backlog, pool->service, waiting);
}

void skh_backlog_report_collect(skh_gateway_t *gateway)
{
	skh_backends_for_each_pool(gateway->backends, collect_pool, gateway);
}

/* Keeps the customers with the most requests, in descending order. */
static void insert_customer(skh_backlog_statement_t *statement, uint32_t customer, uint32_t waiting)
{
	size_t position = statement->n_customers;

	while (position > 0 && statement->customers_waiting[position - 1] < waiting)
		position--;
	if (position == SKH_BACKLOG_MAX_CUSTOMERS)
		return;
	statement->n_customers = MIN(statement->n_customers + 1, SKH_BACKLOG_MAX_CUSTOMERS);
	for (size_t i = statement->n_customers - 1; i > position; i--) {
		statement->customers[i] = statement->customers[i - 1];
		statement->customers_waiting[i] = statement->customers_waiting[i - 1];
	}
	statement->customers[position] = customer;
	statement->customers_waiting[position] = waiting;
}

void skh_backlog_report_find_customers(const skh_gateway_t *gateway,
				       skh_backlog_statement_t *statement)
{
	g_autoptr(GHashTable) waiting = g_hash_table_new(NULL, NULL); /* hash -> requests */
	GHashTableIter iter;
	gpointer customer;
	gpointer n;

	for (const GList *link = gateway->exchanges.head; link; link = link->next) {
		const skh_exchange_t *exchange = link->data;

		if (exchange->queued_request.index < 0 || !exchange->key_owner)
			continue;
		customer = GUINT_TO_POINTER(skh_backlog_hash(exchange->key_owner->customer));
		n = g_hash_table_lookup(waiting, customer);
		(void)g_hash_table_insert(waiting, customer,
					  GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
	}
	statement->n_customers = 0;
	g_hash_table_iter_init(&iter, waiting);
	while (g_hash_table_iter_next(&iter, &customer, &n))
		insert_customer(statement, GPOINTER_TO_UINT(customer), GPOINTER_TO_UINT(n));
}
