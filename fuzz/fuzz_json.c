/* JSON from outside: heads, claims, instances and load reports. */
#include "claim.h"
#include "members.h"
#include "parts.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autofree char *text = g_strndup((const char *)data, size);
	skh_pair_t pair = { .key = (char[]){ "/i/x" }, .value = text };
	const skh_pairs_t pairs = { .list = &pair, .count = 1 };
	skh_claim_t claim = { 0 };
	skh_members_t *members;
	skh_head_t *head;
	skh_error_t err;
	size_t n_bad;

	head = skh_head_parse(text, &err);
	skh_head_free(head);
	if (skh_claim_decode(text, &claim, &err))
		g_free(skh_claim_encode(&claim));
	skh_claim_clear(&claim);
	members = skh_members_read(&pairs, "/i/", &n_bad);
	skh_members_free(members);
	return 0;
}
