/* JSON from the store: configuration heads, claims and instances. */
#include "claim.h"
#include "config_parts.h"
#include "instances.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autofree char *text = g_strndup((const char *)data, size);
	skh_kv_pair_t pair = { .key = (char[]){ "/i/x" }, .value = text };
	const skh_kv_pairs_t pairs = { .list = &pair, .count = 1 };
	skh_claim_t claim = { 0 };
	skh_instances_t *members;
	skh_config_head_t *head;
	skh_error_t err;
	size_t n_bad;

	head = skh_config_head_parse(text, &err);
	skh_config_head_free(head);
	if (skh_claim_decode(text, &claim, &err))
		g_free(skh_claim_encode(&claim));
	skh_claim_clear(&claim);
	members = skh_instances_parse(&pairs, "/i/", &n_bad);
	skh_instances_free(members);
	return 0;
}
