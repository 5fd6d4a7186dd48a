/* Input in the fleet dialect: configuration, servers, engine responses. */
#include "dialect.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define N_SETS	  2
#define N_SLOTS	  4
#define N_EXPERTS 8

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	skh_error_t err;
	const skh_dialect_t *dialect = skh_dialect_find("fleet", &err);
	const skh_chunk_t text = { data, size };
	skh_routing_t *routing;
	skh_engine_report_t report;
	skh_engine_counts_t counts;
	static const skh_engine_spec_t spec = { .expert_sets = N_SETS,
						.experts_per_set = N_EXPERTS,
						.slots_per_rank = N_SLOTS };
	uint32_t map[N_SETS * N_SLOTS];
	int64_t version;

	routing = dialect->read_config(text, &err);
	if (routing) {
		(void)skh_routing_find_route(routing, "x.example", "/a/b");
		(void)skh_routing_find_service(routing, "s");
	}
	skh_routing_free(routing);
	skh_server_free(dialect->read_server("id", text, &err));
	(void)dialect->read_report(text, &report, &err);
	if (dialect->read_counts(text, &counts, &err))
		g_free(counts.counts);
	(void)dialect->read_map(text, &spec, map, &version, &err);
	return 0;
}
