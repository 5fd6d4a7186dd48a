#include "server_warmth.h"

#include <glib.h>

/*
 * Part of what a cold server may get beyond its rate that the gateways' saved requests use. The
 * rest covers requests that are under way for unequal times.
 */
#define SAVED_PART 0.75
/* Time until the next update, which computes the part. */
#define UPDATE_INTERVAL_US ((int64_t)20000)

bool skh_warmth_spec_is_set(const skh_warmth_spec_t *spec)
{
	return spec->cold_start_us > 0 && spec->per_s > 0.0;
}

void skh_server_warmth_begin(skh_server_warmth_t *warmth, const skh_warmth_spec_t *spec,
			     int64_t era, int64_t revision, int64_t now_us)
{
	warmth->cold_until_us = MAX(warmth->cold_until_us, now_us + spec->cold_start_us);
	/* Entries are compared by revision, so the time of this statement excludes none. */
	warmth->after_era = era;
	warmth->after_revision = revision;
	warmth->is_own = false;
}

static bool is_written_later(const skh_server_warmth_t *warmth, int64_t era, int64_t revision)
{
	return era != warmth->after_era ? era > warmth->after_era
					: revision > warmth->after_revision;
}

void skh_server_warmth_record_entry(skh_server_warmth_t *warmth, int64_t left_us, int64_t era,
				    int64_t revision, int64_t poll_us, int64_t now_us)
{
	int64_t written_us = poll_us - SKH_SERVER_WARMTH_ENTRY_DELAY_US;

	warmth->heard_us = MAX(warmth->heard_us, poll_us);
	if (left_us > 0) {
		warmth->cold_until_us = MAX(warmth->cold_until_us, now_us + left_us);
		warmth->stated_us = MAX(warmth->stated_us, written_us);
		warmth->is_own = false;
		return;
	}
	if (!is_written_later(warmth, era, revision) || written_us < warmth->stated_us)
		return;
	warmth->cold_until_us = 0;
	warmth->stated_us = written_us;
	warmth->is_own = false;
}

void skh_server_warmth_record_response(skh_server_warmth_t *warmth, int64_t left_us, int64_t now_us)
{
	warmth->heard_us = now_us;
	warmth->stated_us = now_us;
	warmth->cold_until_us = left_us > 0 ? now_us + left_us : 0;
	warmth->is_own = true;
}

void skh_server_warmth_record_report(skh_server_warmth_t *warmth, int64_t left_us, int64_t now_us)
{
	if (left_us <= 0)
		return;
	/* This gateway's own later response is newer than a report that was under way. */
	if (warmth->is_own && warmth->cold_until_us == 0 &&
	    now_us - warmth->stated_us < SKH_SERVER_WARMTH_ENTRY_DELAY_US)
		return;
	if (now_us + left_us <= warmth->cold_until_us)
		return;
	warmth->cold_until_us = now_us + left_us;
	warmth->stated_us = now_us;
	warmth->is_own = false;
}

bool skh_server_warmth_is_cold(const skh_server_warmth_t *warmth, int64_t now_us)
{
	return now_us < warmth->cold_until_us ||
	       (warmth->heard_us != 0 && now_us - warmth->heard_us > SKH_SERVER_WARMTH_STALE_US);
}

int64_t skh_server_warmth_left_us(const skh_server_warmth_t *warmth, int64_t now_us)
{
	return MAX(warmth->cold_until_us - now_us, 0);
}

/* Each gateway that shares a server may have saved one request, all at the same time. */
static uint32_t get_max_sharers(const skh_warmth_spec_t *spec)
{
	double excess = spec->per_s * (spec->overage - 1.0) + spec->slack;

	return (uint32_t)MAX(SAVED_PART * excess, 1.0);
}

void skh_server_warmth_update(skh_server_warmth_t *warmth, const skh_warmth_spec_t *spec,
			      uint64_t server, uint64_t gateway, const skh_gateway_list_t *others,
			      int64_t now_us)
{
	bool is_cold = skh_warmth_spec_is_set(spec) && skh_server_warmth_is_cold(warmth, now_us);

	if (!is_cold && warmth->limit.per_s <= 0.0)
		return;
	warmth->limit.max_sharers = get_max_sharers(spec);
	skh_server_limit_name(&warmth->limit, is_cold ? spec->per_s : 0.0, now_us, false);
	skh_server_limit_update(&warmth->limit, server, gateway, others, now_us);
}

int64_t skh_server_warmth_free_from_us(const skh_server_warmth_t *warmth, int64_t now_us)
{
	if (!skh_server_warmth_is_cold(warmth, now_us))
		return 0;
	if (warmth->limit.per_s <= 0.0)
		return now_us + UPDATE_INTERVAL_US;
	return skh_server_limit_free_from_us(&warmth->limit, now_us);
}

void skh_server_warmth_take(skh_server_warmth_t *warmth, int64_t now_us)
{
	skh_server_limit_take(&warmth->limit, now_us);
}
