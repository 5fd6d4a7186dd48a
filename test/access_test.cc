// Who may do what to the configuration, and that the routes are as described.
#include "access.h"
#include "admin.h"
#include "manifest_diff.h"

#include <gtest/gtest.h>
#include <jansson.h>

#include <memory>
#include <set>
#include <string>

namespace
{

using ManifestPtr = std::unique_ptr<skh_manifest_t, decltype(&skh_manifest_unref)>;

std::string hash_of(const char *key)
{
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	std::string text = hash;

	g_free(hash);
	return text;
}

std::string operator_text(const char *name, const char *role, const char *key,
			  const std::string &more = "")
{
	return std::string("[[operator]]\nname = \"") + name + "\"\nrole = \"" + role +
	       "\"\nkey_sha256 = [\"" + hash_of(key) + "\"]\n" + more;
}

std::string manifest_text(const char *by, const char *ledger_owner = "ledger-team",
			  const char *ledger_methods = "\"GET\"", const char *more = "")
{
	return std::string("[change]\nby = \"") + by +
	       "\"\nreason = \"test\"\n"
	       "[[service]]\nname = \"ledger\"\nkind = \"plain\"\nowner = \"" +
	       ledger_owner + "\"\nidempotent_methods = [" + ledger_methods +
	       "]\n[[service]]\nname = \"tickets\"\nkind = \"plain\"\nowner = \"other-team\"\n" +
	       operator_text("root", "operator", "root-key") +
	       operator_text("lina", "team", "team-key", "team = \"ledger-team\"\n") +
	       operator_text("eye", "reader", "eye-key") + more;
}

ManifestPtr parse(const std::string &text)
{
	skh_validation_errors_t *faults = skh_validation_errors_new();
	ManifestPtr manifest(
		skh_manifest_from_toml(skh_chunk_make(text.data(), text.size()), faults),
		skh_manifest_unref);

	EXPECT_NE(nullptr, manifest.get())
		<< (manifest ? "" : skh_validation_errors_at(faults, 0)->reason);
	skh_validation_errors_free(faults);
	return manifest;
}

skh_error_kind_t check(const ManifestPtr &manifest, const char *header, skh_access_level_t need,
		       const skh_operator_t **who = nullptr)
{
	const skh_operator_t *found = nullptr;
	skh_error_t err = {};
	const bool allowed = skh_access_check(manifest.get(), header, need, &found, &err);

	if (who)
		*who = found;
	return allowed ? SKH_OK : err.kind;
}

skh_error_kind_t change(const char *header, const ManifestPtr &before, const ManifestPtr &after)
{
	const skh_operator_t *who = nullptr;
	skh_error_t err = {};

	EXPECT_EQ(SKH_OK, check(before, header, SKH_ACCESS_LEVEL_TEAM, &who));
	return skh_access_check_change(who, before.get(), after.get(), &err) ? SKH_OK : err.kind;
}

TEST(Access, EachRoleReachesAsFarAsItShould)
{
	const ManifestPtr manifest = parse(manifest_text("root"));

	EXPECT_EQ(SKH_OK, check(manifest, nullptr, SKH_ACCESS_LEVEL_NONE));
	EXPECT_EQ(SKH_UNAUTHORIZED, check(manifest, nullptr, SKH_ACCESS_LEVEL_READER));
	EXPECT_EQ(SKH_UNAUTHORIZED, check(manifest, "Bearer wrong", SKH_ACCESS_LEVEL_READER));
	EXPECT_EQ(SKH_UNAUTHORIZED, check(manifest, "root-key", SKH_ACCESS_LEVEL_READER));
	EXPECT_EQ(SKH_OK, check(manifest, "Bearer eye-key", SKH_ACCESS_LEVEL_READER));
	EXPECT_EQ(SKH_FORBIDDEN, check(manifest, "Bearer eye-key", SKH_ACCESS_LEVEL_TEAM));
	EXPECT_EQ(SKH_OK, check(manifest, "Bearer team-key", SKH_ACCESS_LEVEL_TEAM));
	EXPECT_EQ(SKH_FORBIDDEN, check(manifest, "Bearer team-key", SKH_ACCESS_LEVEL_OPERATOR));
	EXPECT_EQ(SKH_OK, check(manifest, "Bearer root-key", SKH_ACCESS_LEVEL_OPERATOR));
}

TEST(Access, ATeamChangesOnlyItsOwn)
{
	const ManifestPtr before = parse(manifest_text("root"));

	EXPECT_EQ(SKH_OK, change("Bearer team-key", before,
				 parse(manifest_text("lina", "ledger-team", "\"GET\", \"PUT\""))));
	EXPECT_EQ(SKH_FORBIDDEN,
		  change("Bearer team-key", before, parse(manifest_text("lina", "other-team"))));
	EXPECT_EQ(SKH_FORBIDDEN, change("Bearer team-key", before,
					parse(manifest_text("lina", "ledger-team", "\"GET\"",
							    "[balance]\nskew_weight = 2\n"))));
	EXPECT_EQ(SKH_OK,
		  change("Bearer team-key", before,
			 parse(manifest_text("lina", "ledger-team", "\"GET\"",
					     "[[service]]\nname = \"mine\"\nkind = \"plain\"\n"
					     "owner = \"ledger-team\"\n"))));
	EXPECT_EQ(SKH_OK,
		  change("Bearer root-key", before, parse(manifest_text("root", "other-team"))));
}

TEST(Access, NobodySignsForAnother)
{
	const ManifestPtr before = parse(manifest_text("root"));

	EXPECT_EQ(SKH_FORBIDDEN, change("Bearer team-key", before, parse(manifest_text("root"))));
	EXPECT_EQ(SKH_FORBIDDEN, change("Bearer root-key", before, parse(manifest_text("lina"))));
}

TEST(Access, AManifestThatLocksEverybodyOutIsRefused)
{
	const std::string text = "[change]\nby = \"a\"\nreason = \"b\"\n" +
				 operator_text("eye", "reader", "eye-key");
	skh_validation_errors_t *faults = skh_validation_errors_new();

	EXPECT_EQ(nullptr,
		  skh_manifest_from_toml(skh_chunk_make(text.data(), text.size()), faults));
	EXPECT_STREQ("operator.role", skh_validation_errors_at(faults, 0)->key);
	skh_validation_errors_free(faults);
}

TEST(Access, OpenApiDescribesEveryRouteAndNoOther)
{
	json_error_t fault;
	json_t *document = json_load_file(SKH_TEST_DATA "/../../docs/openapi.json", 0, &fault);
	std::set<std::string> described;
	std::set<std::string> served;
	const char *method;
	const char *path;
	json_t *operations;
	json_t *operation;
	const char *name;
	const char *verb;

	ASSERT_NE(nullptr, document) << fault.text;
	json_object_foreach(json_object_get(document, "paths"), name, operations)
	{
		const std::string where = name;

		json_object_foreach(operations, verb, operation)
		{
			char *upper = g_ascii_strup(verb, -1);

			described.insert(std::string(upper) + " " + where);
			g_free(upper);
		}
	}
	for (size_t i = 0; skh_admin_route_at(i, &method, &path); i++)
		served.insert(std::string(method) + " " + path);
	EXPECT_EQ(served, described);
	json_decref(document);
}

} // namespace
