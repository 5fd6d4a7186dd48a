#include "crash_suspects.h"

#include "buffer.h"

#include <glib.h>
#include <string.h>

#define MAX_LOSSES 512
/* Limits of the tables, which callers' requests fill; the oldest or expired entries go first. */
#define MAX_SUSPECTS	    4096
#define MAX_SOUND_PARTS	    16384
#define MAX_RECORDS_A_TRAIT 32
/* Number of reports in which the gateway that has found a record tells of it. */
#define NEWS_REPORTS 4

/* A trait of a lost request whose server may have crashed; unused if lost_at_us is 0. */
typedef struct loss {
	uint64_t trait;
	bool is_part;
	uint64_t instance;
	int64_t lost_at_us;
} loss_t;

typedef struct record {
	uint64_t crash;
	int64_t learned_us;
	uint64_t survivals_before; /* of all requests when it was learned */
	uint32_t reports_left;
	skh_crash_finding_t finding;
	bool is_own;	      /* found by this gateway, which also has it stored */
	bool is_cleared_here; /* by this gateway, which also has that stored */
	bool is_stored;
	skh_crash_finding_t stored_finding; /* if @is_stored */
} record_t;

typedef struct suspect {
	record_t records[MAX_RECORDS_A_TRAIT]; /* by learned_us */
	uint32_t n_records;
	int64_t expires_us;
	uint64_t requests_before; /* of all when the trait became a suspect */
	uint64_t requests;	  /* with the trait since then */
	bool is_part;		  /* found by this gateway as a prompt part */
	int64_t retest_us;	  /* time from which one request may test the trait */
} suspect_t;

struct skh_crash_suspects {
	loss_t losses[MAX_LOSSES]; /* ring buffer; a new loss overwrites the oldest */
	uint32_t next_loss;
	uint64_t random;	  /* state of the generator */
	GHashTable *explained;	  /* crash -> number of crashes of the confirmed trait behind it */
	GHashTable *by_trait;	  /* trait -> suspect_t */
	GHashTable *sound_parts;  /* part -> time of its last survival, int64_t */
	uint64_t requests;	  /* with parts, so far */
	uint64_t own_survivals;	  /* of requests with parts, so far */
	uint64_t other_survivals; /* the same at other gateways, as far as they have told */
	uint32_t next_repeated;	  /* position among the rejected records that are told in turn */
};

skh_crash_suspects_t *skh_crash_suspects_new(uint64_t seed)
{
	skh_crash_suspects_t *suspects = g_new0(skh_crash_suspects_t, 1);

	suspects->random = seed;
	suspects->by_trait = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	suspects->explained = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	suspects->sound_parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return suspects;
}

void skh_crash_suspects_free(skh_crash_suspects_t *suspects)
{
	g_hash_table_unref(suspects->by_trait);
	g_hash_table_unref(suspects->explained);
	g_hash_table_unref(suspects->sound_parts);
	g_free(suspects);
}

static uint32_t count_traits(const skh_request_traits_t *traits)
{
	return 1 + traits->parts->count;
}

/* The content comes first, then the parts. */
static uint64_t get_trait(const skh_request_traits_t *traits, uint32_t index)
{
	return index == 0 ? traits->content : traits->parts->hashes[index - 1];
}

static uint64_t count_survivals(const skh_crash_suspects_t *suspects)
{
	return suspects->own_survivals + suspects->other_survivals;
}

uint64_t skh_crash_suspects_own_survivals(const skh_crash_suspects_t *suspects)
{
	return suspects->own_survivals;
}

void skh_crash_suspects_add_survivals(skh_crash_suspects_t *suspects, uint64_t n)
{
	suspects->other_survivals += n;
}

/* --- Records --- */

static gboolean is_expired(gpointer trait, gpointer value, gpointer now_us)
{
	(void)trait;
	return *(const int64_t *)now_us >= ((const suspect_t *)value)->expires_us;
}

static suspect_t *find_suspect(const skh_crash_suspects_t *suspects, uint64_t trait, int64_t now_us)
{
	const int64_t key = (int64_t)trait;
	suspect_t *suspect = g_hash_table_lookup(suspects->by_trait, &key);

	return suspect && now_us < suspect->expires_us ? suspect : NULL;
}

static suspect_t *get_or_create_suspect(skh_crash_suspects_t *suspects, uint64_t trait,
					int64_t now_us)
{
	const int64_t key = (int64_t)trait;
	suspect_t *suspect = find_suspect(suspects, trait, now_us);

	if (suspect)
		return suspect;
	if (g_hash_table_size(suspects->by_trait) >= MAX_SUSPECTS)
		(void)g_hash_table_foreach_remove(suspects->by_trait, is_expired, &now_us);
	if (g_hash_table_size(suspects->by_trait) >= MAX_SUSPECTS)
		return NULL;
	suspect = g_new0(suspect_t, 1);
	suspect->requests_before = suspects->requests;
	(void)g_hash_table_replace(suspects->by_trait, g_memdup2(&key, sizeof(key)), suspect);
	return suspect;
}

static bool is_cleared(const record_t *record)
{
	return record->finding == SKH_CRASH_FINDING_CLEARED;
}

static record_t *find_record(suspect_t *suspect, uint64_t crash)
{
	for (uint32_t i = 0; i < suspect->n_records; i++) {
		if (suspect->records[i].crash == crash)
			return &suspect->records[i];
	}
	return NULL;
}

/* A full list drops its oldest cleared record, or else its oldest. */
static void make_room(suspect_t *suspect)
{
	uint32_t dropped = 0;

	if (suspect->n_records < MAX_RECORDS_A_TRAIT)
		return;
	while (dropped < suspect->n_records && !is_cleared(&suspect->records[dropped]))
		dropped++;
	dropped %= suspect->n_records;
	suspect->n_records--;
	memmove(&suspect->records[dropped], &suspect->records[dropped + 1],
		(suspect->n_records - dropped) * sizeof(suspect->records[0]));
}

/* Tests of different gateways are spread, so that the first one's result reaches the others. */
static int64_t choose_retest_us(skh_crash_suspects_t *suspects, int64_t now_us)
{
	suspects->random = skh_chunk_hash(
		skh_chunk_make(&suspects->random, sizeof(suspects->random)), (uint64_t)now_us);
	return now_us + SKH_CRASH_SUSPECTS_RETEST_US +
	       (int64_t)(suspects->random % (uint64_t)SKH_CRASH_SUSPECTS_RETEST_US);
}

/* Returns the record if it is new or its finding has risen, or else NULL. */
static record_t *add_record(skh_crash_suspects_t *suspects, const skh_crash_record_t *added,
			    int64_t now_us)
{
	suspect_t *suspect = get_or_create_suspect(suspects, added->trait, now_us);
	record_t *record = suspect ? find_record(suspect, added->crash) : NULL;

	if (!suspect || (record && added->finding <= record->finding))
		return NULL;
	if (!record) {
		make_room(suspect);
		record = &suspect->records[suspect->n_records++];
		*record = (record_t){ .crash = added->crash,
				      .learned_us = now_us,
				      .survivals_before = count_survivals(suspects) };
		suspect->expires_us = now_us + SKH_CRASH_SUSPECTS_EXPIRY_US;
		suspect->retest_us = choose_retest_us(suspects, now_us);
	}
	record->finding = added->finding;
	return record;
}

static uint32_t count_crashes(const suspect_t *suspect)
{
	uint32_t count = 0;

	for (uint32_t i = 0; suspect && i < suspect->n_records; i++)
		count += !is_cleared(&suspect->records[i]);
	return count;
}

static void clear_record(record_t *record)
{
	bool is_untold = record->is_own && record->reports_left == NEWS_REPORTS;

	if (is_cleared(record))
		return;
	record->finding = SKH_CRASH_FINDING_CLEARED;
	record->is_cleared_here = true;
	record->reports_left = is_untold ? 0 : NEWS_REPORTS;
}

/* --- Losses and crashes --- */

void skh_crash_suspects_record_loss(skh_crash_suspects_t *suspects,
				    const skh_request_traits_t *traits, uint64_t instance,
				    int64_t now_us)
{
	for (uint32_t i = 0; i < count_traits(traits); i++) {
		suspects->losses[suspects->next_loss] =
			(loss_t){ get_trait(traits, i), i > 0, instance, now_us };
		suspects->next_loss = (suspects->next_loss + 1) % MAX_LOSSES;
	}
}

uint32_t skh_crash_suspects_record_crash(skh_crash_suspects_t *suspects, uint64_t instance,
					 int64_t now_us)
{
	uint32_t added = 0;

	for (uint32_t i = 0; i < MAX_LOSSES; i++) {
		loss_t *loss = &suspects->losses[i];
		const skh_crash_record_t record = { loss->trait, instance,
						    SKH_CRASH_FINDING_SUSPECTED };
		record_t *own;

		if (loss->lost_at_us == 0 || loss->instance != instance ||
		    now_us - loss->lost_at_us > SKH_CRASH_SUSPECTS_LOSS_WINDOW_US)
			continue;
		loss->lost_at_us = 0;
		own = add_record(suspects, &record, now_us);
		if (!own)
			continue;
		own->is_own = true;
		find_suspect(suspects, loss->trait, now_us)->is_part = loss->is_part;
		own->reports_left = NEWS_REPORTS;
		added++;
	}
	return added;
}

/* A response that was on its way when the server crashed is no sign of life. */
static bool is_outlived(int64_t crashed_us, int64_t now_us)
{
	return now_us - crashed_us >= SKH_CRASH_SUSPECTS_SURVIVAL_US;
}

void skh_crash_suspects_record_alive(skh_crash_suspects_t *suspects, uint64_t instance,
				     int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	for (uint32_t i = 0; i < MAX_LOSSES; i++) {
		if (suspects->losses[i].instance == instance &&
		    is_outlived(suspects->losses[i].lost_at_us, now_us))
			suspects->losses[i].lost_at_us = 0;
	}
	g_hash_table_iter_init(&iter, suspects->by_trait);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = find_record(value, instance);

		if (record && is_outlived(record->learned_us, now_us))
			clear_record(record);
	}
}

/* --- Survivals --- */

static gboolean is_sound_no_longer(gpointer part, gpointer survived_us, gpointer now_us)
{
	(void)part;
	return *(const int64_t *)now_us - *(const int64_t *)survived_us >=
	       SKH_CRASH_SUSPECTS_SOUND_US;
}

static void remember_sound_part(skh_crash_suspects_t *suspects, uint64_t part, int64_t now_us)
{
	const int64_t key = (int64_t)part;
	int64_t *survived_us = g_hash_table_lookup(suspects->sound_parts, &key);

	if (survived_us) {
		*survived_us = now_us;
		return;
	}
	if (g_hash_table_size(suspects->sound_parts) >= MAX_SOUND_PARTS)
		(void)g_hash_table_foreach_remove(suspects->sound_parts, is_sound_no_longer,
						  &now_us);
	if (g_hash_table_size(suspects->sound_parts) < MAX_SOUND_PARTS)
		(void)g_hash_table_insert(suspects->sound_parts, g_memdup2(&key, sizeof(key)),
					  g_memdup2(&now_us, sizeof(now_us)));
}

void skh_crash_suspects_record_survival(skh_crash_suspects_t *suspects,
					const skh_request_traits_t *traits, int64_t now_us)
{
	for (uint32_t i = 0; i < count_traits(traits); i++) {
		suspect_t *suspect = find_suspect(suspects, get_trait(traits, i), now_us);

		for (uint32_t j = 0; suspect && j < suspect->n_records; j++)
			clear_record(&suspect->records[j]);
	}
	for (uint32_t i = 0; i < traits->parts->count; i++)
		remember_sound_part(suspects, traits->parts->hashes[i], now_us);
	if (traits->parts->count > 0)
		suspects->own_survivals++;
}

void skh_crash_suspects_merge(skh_crash_suspects_t *suspects, const skh_crash_record_t *record,
			      int64_t now_us)
{
	(void)add_record(suspects, record, now_us);
}

void skh_crash_suspects_merge_stored(skh_crash_suspects_t *suspects,
				     const skh_crash_record_t *stored, int64_t now_us)
{
	suspect_t *suspect;
	record_t *record;

	(void)add_record(suspects, stored, now_us);
	suspect = find_suspect(suspects, stored->trait, now_us);
	record = suspect ? find_record(suspect, stored->crash) : NULL;
	if (!record)
		return;
	record->is_stored = true;
	record->stored_finding = stored->finding;
}

/* --- Decisions --- */

static bool has_survived_lately(const skh_crash_suspects_t *suspects, uint64_t part, int64_t now_us)
{
	const int64_t key = (int64_t)part;
	const int64_t *survived_us = g_hash_table_lookup(suspects->sound_parts, &key);

	return survived_us && now_us - *survived_us < SKH_CRASH_SUSPECTS_SOUND_US;
}

static uint32_t count_episodes(const suspect_t *suspect)
{
	int64_t episode_us = INT64_MIN / 2;
	uint32_t count = 0;

	for (uint32_t i = 0; i < suspect->n_records; i++) {
		const record_t *record = &suspect->records[i];

		if (is_cleared(record) ||
		    record->learned_us - episode_us < SKH_CRASH_SUSPECTS_EPISODE_US)
			continue;
		episode_us = record->learned_us;
		count++;
	}
	return count;
}

/* Requests without the part survive while those with the part crash servers. */
static bool has_contrast(const skh_crash_suspects_t *suspects, const suspect_t *suspect)
{
	for (uint32_t i = 0; i < suspect->n_records; i++) {
		if (!is_cleared(&suspect->records[i]))
			return count_survivals(suspects) - suspect->records[i].survivals_before >=
			       SKH_CRASH_SUSPECTS_CONTRAST_SURVIVALS;
	}
	return false;
}

static bool is_common(const skh_crash_suspects_t *suspects, uint64_t part, const suspect_t *suspect,
		      int64_t now_us)
{
	uint64_t all = suspects->requests - suspect->requests_before;

	return has_survived_lately(suspects, part, now_us) ||
	       (all >= SKH_CRASH_SUSPECTS_COMMON_MIN_REQUESTS &&
		suspect->requests * SKH_CRASH_SUSPECTS_COMMON_DIVISOR > all);
}

static bool is_confirmed(const suspect_t *suspect)
{
	for (uint32_t i = 0; i < suspect->n_records; i++) {
		if (suspect->records[i].finding == SKH_CRASH_FINDING_CONFIRMED)
			return true;
	}
	return false;
}

static void confirm(suspect_t *suspect)
{
	for (uint32_t i = 0; i < suspect->n_records; i++) {
		record_t *record = &suspect->records[i];

		if (record->finding != SKH_CRASH_FINDING_SUSPECTED)
			continue;
		record->finding = SKH_CRASH_FINDING_CONFIRMED;
		record->reports_left = NEWS_REPORTS;
	}
}

/* Crashes of @suspect that no trait which has crashed more servers explains. */
static uint32_t count_unexplained(const skh_crash_suspects_t *suspects, const suspect_t *suspect)
{
	uint32_t crashes = count_crashes(suspect);
	uint32_t count = 0;

	for (uint32_t i = 0; i < suspect->n_records; i++) {
		const int64_t key = (int64_t)suspect->records[i].crash;

		count +=
			!is_cleared(&suspect->records[i]) &&
			GPOINTER_TO_UINT(g_hash_table_lookup(suspects->explained, &key)) <= crashes;
	}
	return count;
}

static void explain(skh_crash_suspects_t *suspects, const suspect_t *suspect)
{
	uint32_t crashes = count_crashes(suspect);

	for (uint32_t i = 0; i < suspect->n_records; i++) {
		const int64_t key = (int64_t)suspect->records[i].crash;

		if (!is_cleared(&suspect->records[i]) &&
		    GPOINTER_TO_UINT(g_hash_table_lookup(suspects->explained, &key)) < crashes)
			(void)g_hash_table_replace(suspects->explained,
						   g_memdup2(&key, sizeof(key)),
						   GUINT_TO_POINTER(crashes));
	}
}

static void update_explained(skh_crash_suspects_t *suspects)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(suspects->explained);
	g_hash_table_iter_init(&iter, suspects->by_trait);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_confirmed(value))
			explain(suspects, value);
	}
}

static bool is_part_rejected(const skh_crash_suspects_t *suspects, uint64_t part,
			     suspect_t *suspect, int64_t now_us)
{
	uint32_t crashes = count_unexplained(suspects, suspect);

	if (crashes < SKH_CRASH_SUSPECTS_PART_CRASHES ||
	    (crashes < SKH_CRASH_SUSPECTS_CERTAIN_CRASHES &&
	     is_common(suspects, part, suspect, now_us)))
		return false;
	if (!is_confirmed(suspect) && !has_contrast(suspects, suspect) &&
	    count_episodes(suspect) < SKH_CRASH_SUSPECTS_REJECT_CRASHES)
		return false;
	confirm(suspect);
	return true;
}

bool skh_crash_suspects_is_retry_blocked(const skh_crash_suspects_t *suspects,
					 const skh_request_traits_t *traits, int64_t now_us)
{
	for (uint32_t i = 0; i < count_traits(traits); i++) {
		uint64_t trait = get_trait(traits, i);

		if (count_crashes(find_suspect(suspects, trait, now_us)) >=
			    SKH_CRASH_SUSPECTS_NO_RETRY_CRASHES &&
		    !has_survived_lately(suspects, trait, now_us))
			return true;
	}
	return false;
}

skh_crash_verdict_t skh_crash_suspects_judge(skh_crash_suspects_t *suspects,
					     const skh_request_traits_t *traits, int64_t now_us)
{
	suspect_t *tested = NULL;

	suspects->requests += traits->parts->count > 0;
	if (count_crashes(find_suspect(suspects, traits->content, now_us)) >=
	    SKH_CRASH_SUSPECTS_REJECT_CRASHES)
		return SKH_CRASH_VERDICT_REJECTED;
	for (uint32_t i = 0; i < traits->parts->count; i++) {
		suspect_t *suspect = find_suspect(suspects, traits->parts->hashes[i], now_us);

		if (!suspect)
			continue;
		suspect->requests++;
		if (!is_part_rejected(suspects, traits->parts->hashes[i], suspect, now_us))
			continue;
		if (tested || now_us < suspect->retest_us ||
		    count_crashes(suspect) >= SKH_CRASH_SUSPECTS_CERTAIN_CRASHES)
			return SKH_CRASH_VERDICT_REJECTED;
		tested = suspect;
	}
	if (!tested)
		return SKH_CRASH_VERDICT_ALLOWED;
	tested->retest_us = choose_retest_us(suspects, now_us);
	return SKH_CRASH_VERDICT_TEST;
}

/* --- Records for other gateways and the store --- */

static bool is_told_in_turn(const suspect_t *suspect, const record_t *record)
{
	return record->finding == SKH_CRASH_FINDING_CONFIRMED ||
	       (!is_cleared(record) && count_crashes(suspect) >= SKH_CRASH_SUSPECTS_REJECT_CRASHES);
}

static skh_crash_record_t make_record(gpointer trait, const record_t *record)
{
	return (skh_crash_record_t){ (uint64_t) * (const int64_t *)trait, record->crash,
				     record->finding };
}

/* A report has little room: traits of several crashes go first, then those that are not common. */
typedef enum news_rank {
	NEWS_REPEATED,
	NEWS_UNCOMMON,
	NEWS_OTHER,
	NEWS_RANKS
} news_rank_t;

static news_rank_t rank_news(const skh_crash_suspects_t *suspects, uint64_t trait,
			     const suspect_t *suspect, int64_t now_us)
{
	if (has_survived_lately(suspects, trait, now_us))
		return NEWS_OTHER;
	return count_crashes(suspect) >= SKH_CRASH_SUSPECTS_NO_RETRY_CRASHES ? NEWS_REPEATED
									     : NEWS_UNCOMMON;
}

static uint32_t take_records_of(gpointer trait, suspect_t *suspect, skh_crash_record_t *records,
				uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < suspect->n_records && n < max; i++) {
		if (suspect->records[i].reports_left == 0)
			continue;
		suspect->records[i].reports_left--;
		records[n++] = make_record(trait, &suspect->records[i]);
	}
	return n;
}

static uint32_t take_new_records(skh_crash_suspects_t *suspects, skh_crash_record_t *records,
				 uint32_t max, int64_t now_us)
{
	uint32_t n = 0;

	for (uint32_t rank = 0; rank < NEWS_RANKS; rank++) {
		GHashTableIter iter;
		gpointer trait;
		gpointer value;

		g_hash_table_iter_init(&iter, suspects->by_trait);
		while (n < max && g_hash_table_iter_next(&iter, &trait, &value)) {
			if (rank_news(suspects, *(uint64_t *)trait, value, now_us) == rank)
				n += take_records_of(trait, value, &records[n], max - n);
		}
	}
	return n;
}

/* Returns the rejected record at @position in the order of the table, if there are as many. */
static bool find_repeated(const skh_crash_suspects_t *suspects, uint32_t position,
			  skh_crash_record_t *found)
{
	GHashTableIter iter;
	gpointer trait;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->by_trait);
	while (g_hash_table_iter_next(&iter, &trait, &value)) {
		const suspect_t *suspect = value;

		for (uint32_t i = 0; i < suspect->n_records; i++) {
			if (!is_told_in_turn(suspect, &suspect->records[i]) || position-- > 0)
				continue;
			*found = make_record(trait, &suspect->records[i]);
			return true;
		}
	}
	return false;
}

bool skh_crash_suspects_update(skh_crash_suspects_t *suspects, int64_t now_us)
{
	GHashTableIter iter;
	gpointer trait;
	gpointer value;
	bool has_news = false;

	(void)g_hash_table_foreach_remove(suspects->by_trait, is_expired, &now_us);
	update_explained(suspects);
	g_hash_table_iter_init(&iter, suspects->by_trait);
	while (g_hash_table_iter_next(&iter, &trait, &value)) {
		suspect_t *suspect = value;

		(void)is_part_rejected(suspects, *(uint64_t *)trait, suspect, now_us);
		for (uint32_t i = 0; i < suspect->n_records; i++)
			has_news = has_news || suspect->records[i].reports_left > 0;
	}
	update_explained(suspects);
	return has_news;
}

uint32_t skh_crash_suspects_take_news(skh_crash_suspects_t *suspects, skh_crash_record_t *records,
				      uint32_t max, int64_t now_us)
{
	uint32_t n = take_new_records(suspects, records, max, now_us);

	if (n == max || g_hash_table_size(suspects->by_trait) == 0)
		return n;
	if (find_repeated(suspects, suspects->next_repeated, &records[n])) {
		suspects->next_repeated++;
		return n + 1;
	}
	suspects->next_repeated = 0;
	return n;
}

/* A cleared record is stored only in place of the record that it clears. */
static bool needs_storing(const record_t *record, bool is_wanted)
{
	if (record->is_stored && record->stored_finding >= record->finding)
		return false;
	return is_cleared(record) ? record->is_cleared_here && record->is_stored
				  : record->is_own && is_wanted;
}

uint32_t skh_crash_suspects_take_unstored(skh_crash_suspects_t *suspects,
					  skh_crash_record_t *records, uint32_t max, int64_t now_us)
{
	GHashTableIter iter;
	gpointer trait;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, suspects->by_trait);
	while (n < max && g_hash_table_iter_next(&iter, &trait, &value)) {
		suspect_t *suspect = value;
		bool is_wanted = (suspect->is_part ||
				  count_crashes(suspect) >= SKH_CRASH_SUSPECTS_NO_RETRY_CRASHES) &&
				 !has_survived_lately(suspects, *(uint64_t *)trait, now_us);

		for (uint32_t i = 0; i < suspect->n_records && n < max; i++) {
			record_t *record = &suspect->records[i];

			if (!needs_storing(record, is_wanted))
				continue;
			record->is_stored = true;
			record->stored_finding = record->finding;
			records[n++] = make_record(trait, record);
		}
	}
	return n;
}

void skh_crash_suspects_store_again(skh_crash_suspects_t *suspects)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->by_trait);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		suspect_t *suspect = value;

		for (uint32_t i = 0; i < suspect->n_records; i++)
			suspect->records[i].is_stored = false;
	}
}
