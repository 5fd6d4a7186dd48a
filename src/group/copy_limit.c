#include "copy_limit.h"

#include <glib.h>

/* About half of a pass. Waiting for more copies costs more than a second change. */
#define RELIEF_COPY_MS	  45.0
#define RELIEF_MIN_COPIES 1.0
/* A rank that copies for a third of a pass lengthens it by about a tenth. */
#define MAX_COPY_MS 33.0
/* With fewer, a demand shift takes more changes, each of which holds the group. */
#define MIN_COPIES	    2.0
#define MAX_COPIES_PER_RANK 64.0

/* Duration of one copy; 0 if unknown. */
static double find_copy_ms(const skh_engine_spec_t *spec)
{
	return spec->link_mbps > 0.0 ? spec->expert_size_mb * 8.0e3 / spec->link_mbps : 0.0;
}

uint32_t skh_copy_limit_per_rank(const skh_engine_spec_t *spec, bool is_relief)
{
	double min_copies = is_relief ? RELIEF_MIN_COPIES : MIN_COPIES;
	double time_ms = is_relief ? RELIEF_COPY_MS : MAX_COPY_MS;
	double copy_ms = find_copy_ms(spec);
	double copies = copy_ms > 0.0 ? time_ms / copy_ms + 0.5 : MAX_COPIES_PER_RANK;

	return (uint32_t)CLAMP(copies, min_copies, MAX_COPIES_PER_RANK);
}
