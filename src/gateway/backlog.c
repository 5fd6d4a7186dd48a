#include "backlog.h"

#include "buffer.h"
#include "demand_share.h"

#include <glib.h>

#define RATE_SLOT_US ((int64_t)100000)
#define RATE_SLOTS   10 /* complete slots that are counted: a second */

/* Events of the last second. */
typedef struct recent_events {
	uint32_t counts[RATE_SLOTS + 1]; /* by time slot */
	int64_t newest_slot;
} recent_events_t;

typedef struct service {
	recent_events_t arrivals;
	recent_events_t starts;
	double waiting[SKH_BACKLOG_PRIORITIES]; /* at this gateway */
	skh_demand_share_t share;
	double reporting;	     /* gateways whose statements name the service, weighted */
	skh_backlog_counts_t others; /* statements of the other gateways, weighted */
	skh_backlog_counts_t totals; /* of all gateways */
} service_t;

typedef struct sender {
	skh_backlog_statement_t statement;
	int64_t received_us;
} sender_t;

struct skh_backlog {
	GHashTable *services; /* hash of the name -> service_t */
	GHashTable *senders;  /* sender -> sender_t */
	uint32_t n_gateways;
	double reporting; /* gateways whose statements count, weighted */
	bool is_sampled;  /* some sender does not reach all gateways in the window */
};

skh_backlog_t *skh_backlog_new(void)
{
	skh_backlog_t *backlog = g_new0(skh_backlog_t, 1);

	backlog->services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	backlog->senders = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	backlog->n_gateways = 1;
	return backlog;
}

void skh_backlog_free(skh_backlog_t *backlog)
{
	if (!backlog)
		return;
	g_hash_table_unref(backlog->services);
	g_hash_table_unref(backlog->senders);
	g_free(backlog);
}

uint32_t skh_backlog_hash(const char *name)
{
	return (uint32_t)skh_chunk_hash(skh_chunk_from_string(name), 0);
}

static service_t *find_service(const skh_backlog_t *backlog, const char *name)
{
	return g_hash_table_lookup(backlog->services, GUINT_TO_POINTER(skh_backlog_hash(name)));
}

static service_t *find_or_add_service(skh_backlog_t *backlog, const char *name)
{
	service_t *service = find_service(backlog, name);

	if (service)
		return service;
	service = g_new0(service_t, 1);
	service->share.share = 1.0 / backlog->n_gateways;
	(void)g_hash_table_insert(backlog->services, GUINT_TO_POINTER(skh_backlog_hash(name)),
				  service);
	return service;
}

/* --- What this gateway has --- */

static void advance(recent_events_t *events, int64_t now_us)
{
	int64_t slot = now_us / RATE_SLOT_US;

	events->newest_slot = MAX(events->newest_slot, slot - RATE_SLOTS - 1);
	while (events->newest_slot < slot)
		events->counts[++events->newest_slot % (RATE_SLOTS + 1)] = 0;
}

static void count_event(recent_events_t *events, int64_t now_us)
{
	advance(events, now_us);
	events->counts[events->newest_slot % (RATE_SLOTS + 1)]++;
}

/* Leaves out the current slot, whose time is not over. */
static double count_last_second(recent_events_t *events, int64_t now_us)
{
	double sum = 0.0;

	advance(events, now_us);
	for (int64_t i = 1; i <= RATE_SLOTS; i++)
		sum += events->counts[(events->newest_slot + i) % (RATE_SLOTS + 1)];
	return sum;
}

void skh_backlog_record_arrival(skh_backlog_t *backlog, const char *service, int64_t now_us)
{
	count_event(&find_or_add_service(backlog, service)->arrivals, now_us);
}

void skh_backlog_record_start(skh_backlog_t *backlog, const char *service, int64_t now_us)
{
	count_event(&find_or_add_service(backlog, service)->starts, now_us);
}

void skh_backlog_set_waiting(skh_backlog_t *backlog, const char *service,
			     const uint32_t waiting[SKH_BACKLOG_PRIORITIES])
{
	service_t *own = find_or_add_service(backlog, service);

	for (uint32_t i = 0; i < SKH_BACKLOG_PRIORITIES; i++)
		own->waiting[i] = waiting[i];
}

static skh_backlog_counts_t count_own(service_t *service, int64_t now_us)
{
	skh_backlog_counts_t counts = { .started_per_s =
						count_last_second(&service->starts, now_us),
					.demand = count_last_second(&service->arrivals, now_us),
					.relative_demand = service->share.relative_demand };

	for (uint32_t i = 0; i < SKH_BACKLOG_PRIORITIES; i++) {
		counts.waiting[i] = service->waiting[i];
		counts.demand += service->waiting[i];
	}
	return counts;
}

/* --- Reports --- */

void skh_backlog_set_gateways(skh_backlog_t *backlog, uint32_t n_gateways)
{
	backlog->n_gateways = MAX(n_gateways, 1);
}

static void add_counts(skh_backlog_counts_t *sum, const skh_backlog_counts_t *added, double weight)
{
	for (uint32_t i = 0; i < SKH_BACKLOG_PRIORITIES; i++)
		sum->waiting[i] += weight * added->waiting[i];
	sum->started_per_s += weight * added->started_per_s;
	sum->demand += weight * added->demand;
	sum->relative_demand += weight * added->relative_demand;
}

static double sum_waiting(const skh_backlog_counts_t *counts)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < SKH_BACKLOG_PRIORITIES; i++)
		sum += counts->waiting[i];
	return sum;
}

static bool is_empty(const skh_backlog_counts_t *counts)
{
	return sum_waiting(counts) + counts->started_per_s + counts->demand < 0.5;
}

void skh_backlog_make_statement(skh_backlog_t *backlog, skh_backlog_statement_t *statement,
				int64_t now_us)
{
	GHashTableIter iter;
	gpointer hash;
	gpointer value;

	*statement = (skh_backlog_statement_t){ .has_totals = backlog->is_sampled };
	g_hash_table_iter_init(&iter, backlog->services);
	while (g_hash_table_iter_next(&iter, &hash, &value) &&
	       statement->n_services < SKH_BACKLOG_MAX_SERVICES) {
		service_t *service = value;
		skh_backlog_counts_t own = count_own(service, now_us);

		if (is_empty(&own) && is_empty(&service->totals))
			continue;
		statement->services[statement->n_services] = GPOINTER_TO_UINT(hash);
		statement->own[statement->n_services] = own;
		statement->totals[statement->n_services++] = service->others;
		add_counts(&statement->totals[statement->n_services - 1], &own, 1.0);
	}
}

void skh_backlog_merge(skh_backlog_t *backlog, uint64_t sender,
		       const skh_backlog_statement_t *statement, int64_t now_us)
{
	sender_t *known = g_new0(sender_t, 1);

	known->statement = *statement;
	known->statement.n_services = MIN(statement->n_services, SKH_BACKLOG_MAX_SERVICES);
	known->statement.n_customers = MIN(statement->n_customers, SKH_BACKLOG_MAX_CUSTOMERS);
	known->received_us = now_us;
	(void)g_hash_table_insert(backlog->senders, g_memdup2(&sender, sizeof(sender)), known);
}

static bool reaches_all(const sender_t *sender)
{
	return sender->statement.round_us <= SKH_BACKLOG_MAX_ROUND_US;
}

static gboolean has_expired(gpointer key, gpointer value, gpointer now_us)
{
	(void)key;
	return *(const int64_t *)now_us - ((const sender_t *)value)->received_us >
	       SKH_BACKLOG_EXPIRY_US;
}

static double get_weight(const sender_t *sender, int64_t now_us)
{
	if (reaches_all(sender))
		return 1.0;
	return now_us - sender->received_us > SKH_BACKLOG_WINDOW_US
		       ? 0.0
		       : (double)sender->statement.round_us / (double)SKH_BACKLOG_WINDOW_US;
}

static void add_statement(skh_backlog_t *backlog, const sender_t *sender, int64_t now_us)
{
	const skh_backlog_statement_t *statement = &sender->statement;
	double weight = get_weight(sender, now_us);

	backlog->reporting += weight;
	for (size_t i = 0; i < statement->n_services; i++) {
		service_t *service = g_hash_table_lookup(backlog->services,
							 GUINT_TO_POINTER(statement->services[i]));

		if (!service)
			continue;
		service->reporting += weight;
		add_counts(&service->others, &statement->own[i], weight);
	}
}

/* The totals of a sender are of statements that may already be as old as the window. */
static bool has_current_totals(const sender_t *sender, int64_t now_us)
{
	return sender->statement.has_totals &&
	       now_us - sender->received_us <= SKH_BACKLOG_EXPIRY_US - SKH_BACKLOG_WINDOW_US;
}

static void add_totals(skh_backlog_t *backlog, const sender_t *sender, double weight)
{
	const skh_backlog_statement_t *statement = &sender->statement;

	for (size_t i = 0; i < statement->n_services; i++) {
		service_t *service = g_hash_table_lookup(backlog->services,
							 GUINT_TO_POINTER(statement->services[i]));

		if (service)
			add_counts(&service->totals, &statement->totals[i], weight);
	}
}

static void sum_statements(skh_backlog_t *backlog, int64_t now_us)
{
	GHashTableIter iter;
	gpointer sender;

	backlog->is_sampled = false;
	backlog->reporting = 0.0;
	g_hash_table_iter_init(&iter, backlog->senders);
	while (g_hash_table_iter_next(&iter, NULL, &sender)) {
		backlog->is_sampled = backlog->is_sampled || !reaches_all(sender);
		add_statement(backlog, sender, now_us);
	}
}

/* Averages the totals of this gateway and of the senders. */
static void average_totals(skh_backlog_t *backlog, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	double n_totals = 1.0;

	g_hash_table_iter_init(&iter, backlog->senders);
	while (backlog->is_sampled && g_hash_table_iter_next(&iter, NULL, &value))
		n_totals += has_current_totals(value, now_us);
	g_hash_table_iter_init(&iter, backlog->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service_t *service = value;
		const skh_backlog_counts_t own = count_own(service, now_us);

		service->totals = (skh_backlog_counts_t){ .demand = 0.0 };
		add_counts(&service->totals, &service->others, 1.0 / n_totals);
		add_counts(&service->totals, &own, 1.0 / n_totals);
	}
	g_hash_table_iter_init(&iter, backlog->senders);
	while (backlog->is_sampled && g_hash_table_iter_next(&iter, NULL, &value)) {
		if (has_current_totals(value, now_us))
			add_totals(backlog, value, 1.0 / n_totals);
	}
}

static void update_share(const skh_backlog_t *backlog, service_t *service, int64_t now_us)
{
	const skh_backlog_counts_t own = count_own(service, now_us);
	/* A statement leaves out services that its sender has not heard of for a while. */
	double unmentioned =
		MAX(backlog->reporting - service->reporting, 0.0) *
		skh_demand_share_idle_demand(service->totals.demand / backlog->n_gateways);
	const skh_demand_view_t view = {
		.demand = own.demand,
		.total_demand = service->totals.demand,
		.others_relative_demand =
			MAX(service->totals.relative_demand - own.relative_demand, 0.0) +
			unmentioned,
		.n_gateways = backlog->n_gateways,
		.n_reports = g_hash_table_size(backlog->senders),
	};

	skh_demand_share_update(&service->share, &view, now_us);
}

void skh_backlog_update(skh_backlog_t *backlog, int64_t now_us)
{
	GHashTableIter iter;
	gpointer service;

	(void)g_hash_table_foreach_remove(backlog->senders, has_expired, &now_us);
	g_hash_table_iter_init(&iter, backlog->services);
	while (g_hash_table_iter_next(&iter, NULL, &service)) {
		((service_t *)service)->others = (skh_backlog_counts_t){ .demand = 0.0 };
		((service_t *)service)->reporting = 0.0;
	}
	sum_statements(backlog, now_us);
	average_totals(backlog, now_us);
	g_hash_table_iter_init(&iter, backlog->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		update_share(backlog, service, now_us);
}

/* --- Results --- */

double skh_backlog_waiting_ahead(const skh_backlog_t *backlog, const char *service,
				 uint32_t priority)
{
	const service_t *found = find_service(backlog, service);
	double waiting = 0.0;

	for (uint32_t i = 0; found && i < SKH_BACKLOG_PRIORITIES && i <= priority; i++)
		waiting += found->totals.waiting[i] - found->waiting[i];
	return MAX(waiting, 0.0);
}

double skh_backlog_start_rate(const skh_backlog_t *backlog, const char *service)
{
	const service_t *found = find_service(backlog, service);

	return found ? found->totals.started_per_s : 0.0;
}

double skh_demand_share(const skh_backlog_t *backlog, const char *service)
{
	const service_t *found = find_service(backlog, service);

	return found ? found->share.share : 1.0 / backlog->n_gateways;
}

bool skh_backlog_has_reports(const skh_backlog_t *backlog)
{
	return g_hash_table_size(backlog->senders) > 0;
}

double skh_backlog_customer_waiting(const skh_backlog_t *backlog, const char *customer)
{
	uint32_t hash = skh_backlog_hash(customer);
	GHashTableIter iter;
	gpointer value;
	double waiting = 0.0;

	g_hash_table_iter_init(&iter, backlog->senders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const skh_backlog_statement_t *statement = &((const sender_t *)value)->statement;

		for (size_t i = 0; i < statement->n_customers; i++)
			if (statement->customers[i] == hash)
				waiting += statement->customers_waiting[i];
	}
	return waiting;
}
