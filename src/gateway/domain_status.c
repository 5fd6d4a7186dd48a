#include "domain_status.h"

#include "buffer.h"

#include <glib.h>

/*
 * Reports that waited in the socket while the process was suspended are read within this time
 * after it. Their age is understated, so they renew nothing.
 */
#define STALE_REPORTS_US ((int64_t)1000000)

/* A read of the keys after a pause takes a few calls to the store at most. */
#define RESUME_US ((int64_t)1000000)

typedef struct domain {
	skh_domain_news_t statement; /* the newest, OUT or BACK */
	uint64_t read_number;	     /* of the last complete read that stated it as out */
	int64_t expires_us;	     /* it comes back then; 0 for none */
} domain_t;

struct skh_domain_status {
	GPtrArray *domains;	/* domain_t; the known ones, also those that are back */
	uint64_t read_number;	/* counts complete reads */
	int64_t era;		/* newest era of a complete read */
	int64_t era_revision;	/* of that read */
	bool is_read_completed; /* at least once */
	int64_t bound_us;	/* 0 if none is in force */
	int64_t read_as_of_us;
	int64_t known_as_of_us; /* by own reads and by reports of others */
	int64_t last_tick_us;	/* 0 before the first */
	int64_t resumed_us;	/* end of the last pause; 0 for none */
};

uint64_t skh_domain_hash(const char *name)
{
	uint64_t hash = skh_chunk_hash(skh_chunk_from_string(name), 0);

	return hash == 0 ? 1 : hash;
}

skh_domain_status_t *skh_domain_status_new(void)
{
	skh_domain_status_t *status = g_new0(skh_domain_status_t, 1);

	status->domains = g_ptr_array_new_with_free_func(g_free);
	return status;
}

void skh_domain_status_free(skh_domain_status_t *status)
{
	(void)g_ptr_array_free(status->domains, TRUE);
	g_free(status);
}

void skh_domain_status_set_bound(skh_domain_status_t *status, int64_t bound_us)
{
	status->bound_us = bound_us;
}

bool skh_domain_status_has_bound(const skh_domain_status_t *status)
{
	return status->bound_us > 0;
}

static domain_t *get_domain(const skh_domain_status_t *status, size_t index)
{
	return g_ptr_array_index(status->domains, index);
}

static domain_t *find_domain(const skh_domain_status_t *status, uint64_t hash)
{
	for (size_t i = 0; i < status->domains->len; i++) {
		if (get_domain(status, i)->statement.domain == hash)
			return get_domain(status, i);
	}
	return NULL;
}

static domain_t *find_or_add_domain(skh_domain_status_t *status, uint64_t hash)
{
	domain_t *domain = find_domain(status, hash);

	if (domain)
		return domain;
	domain = g_new(domain_t, 1);
	*domain = (domain_t){ .statement = { .kind = SKH_DOMAIN_NEWS_BACK,
					     .domain = hash,
					     .era = -1,
					     .revision = -1 } };
	g_ptr_array_add(status->domains, domain);
	return domain;
}

static bool is_newer(const skh_domain_news_t *news, const skh_domain_news_t *known)
{
	return news->era != known->era ? news->era > known->era : news->revision > known->revision;
}

/* An older era's statement that the newer era may have lost holds only for a while. */
static void set_expiry(const skh_domain_status_t *status, domain_t *domain, int64_t now_us)
{
	bool is_of_older_era = status->is_read_completed && domain->statement.era < status->era;

	if (domain->statement.kind != SKH_DOMAIN_NEWS_OUT || !is_of_older_era)
		domain->expires_us = 0;
	else if (domain->expires_us == 0)
		domain->expires_us = now_us + SKH_DOMAIN_STATUS_KEEP_US;
}

static bool apply_statement(skh_domain_status_t *status, const skh_domain_news_t *news,
			    int64_t now_us)
{
	domain_t *domain = find_or_add_domain(status, news->domain);
	bool has_changed;

	if (news->kind == SKH_DOMAIN_NEWS_OUT && news->era == status->era)
		domain->read_number = status->read_number;
	if (!is_newer(news, &domain->statement))
		return false;
	has_changed = domain->statement.kind != news->kind;
	domain->statement = *news;
	set_expiry(status, domain, now_us);
	return has_changed;
}

static void bring_back(domain_t *domain, int64_t era, int64_t revision)
{
	domain->statement.kind = SKH_DOMAIN_NEWS_BACK;
	domain->statement.era = era;
	domain->statement.revision = revision;
	domain->expires_us = 0;
}

static bool end_read(skh_domain_status_t *status, const skh_domain_news_t *news, int64_t now_us)
{
	bool has_changed = false;

	status->era = news->era;
	status->era_revision = news->revision;
	status->is_read_completed = true;
	for (size_t i = 0; i < status->domains->len; i++) {
		domain_t *domain = get_domain(status, i);

		if (domain->statement.kind != SKH_DOMAIN_NEWS_OUT ||
		    !is_newer(news, &domain->statement))
			continue;
		if (domain->statement.era < news->era) {
			set_expiry(status, domain, now_us);
		} else if (domain->read_number != status->read_number) {
			bring_back(domain, news->era, news->revision);
			has_changed = true;
		}
	}
	return has_changed;
}

bool skh_domain_status_apply(skh_domain_status_t *status, const skh_domain_news_t *news,
			     int64_t now_us)
{
	switch (news->kind) {
	case SKH_DOMAIN_NEWS_BEGINS:
		status->read_number++;
		status->era = MAX(status->era, news->era);
		return false;
	case SKH_DOMAIN_NEWS_ENDS:
		return end_read(status, news, now_us);
	default:
		return apply_statement(status, news, now_us);
	}
}

bool skh_domain_status_is_out(const skh_domain_status_t *status, uint64_t domain)
{
	const domain_t *known = find_domain(status, domain);

	return known && known->statement.kind == SKH_DOMAIN_NEWS_OUT;
}

const skh_domain_news_t *skh_domain_status_find(const skh_domain_status_t *status, uint64_t domain)
{
	const domain_t *known = find_domain(status, domain);

	return known ? &known->statement : NULL;
}

/* Also called before sending: after a pause the loop may run other callbacks before the tick. */
static void detect_pause(skh_domain_status_t *status, int64_t now_us)
{
	if (status->last_tick_us != 0 && now_us - status->last_tick_us > SKH_DOMAIN_STATUS_PAUSE_US)
		status->resumed_us = now_us;
}

bool skh_domain_status_update(skh_domain_status_t *status, int64_t now_us)
{
	bool has_changed = false;

	detect_pause(status, now_us);
	status->last_tick_us = now_us;
	for (size_t i = 0; i < status->domains->len; i++) {
		domain_t *domain = get_domain(status, i);

		if (domain->expires_us == 0 || now_us < domain->expires_us)
			continue;
		bring_back(domain, status->era, status->era_revision);
		has_changed = true;
	}
	return has_changed;
}

void skh_domain_status_set_read(skh_domain_status_t *status, int64_t as_of_us)
{
	status->read_as_of_us = MAX(status->read_as_of_us, as_of_us);
	status->known_as_of_us = MAX(status->known_as_of_us, as_of_us);
}

int64_t skh_domain_status_read_as_of_us(const skh_domain_status_t *status)
{
	return status->read_as_of_us;
}

void skh_domain_status_renew(skh_domain_status_t *status, int64_t age_us, int64_t now_us)
{
	detect_pause(status, now_us);
	if (status->resumed_us != 0 && now_us - status->resumed_us < STALE_REPORTS_US)
		return;
	/* A gateway that has just started reads the keys itself. */
	if (status->read_as_of_us != 0)
		status->known_as_of_us = MAX(status->known_as_of_us, now_us - age_us);
}

bool skh_domain_status_can_send(skh_domain_status_t *status, int64_t now_us)
{
	if (status->bound_us <= 0)
		return true;
	detect_pause(status, now_us);
	return status->known_as_of_us != 0 && status->known_as_of_us >= status->resumed_us &&
	       now_us - status->known_as_of_us < status->bound_us - SKH_DOMAIN_STATUS_MARGIN_US;
}

bool skh_domain_status_is_resuming(const skh_domain_status_t *status, int64_t now_us)
{
	return status->known_as_of_us < status->resumed_us &&
	       now_us - status->resumed_us < RESUME_US;
}

size_t skh_domain_status_list(const skh_domain_status_t *status, skh_domain_news_t *list,
			      size_t max)
{
	for (size_t i = 0; i < MIN(status->domains->len, max); i++)
		list[i] = get_domain(status, i)->statement;
	return status->domains->len;
}
