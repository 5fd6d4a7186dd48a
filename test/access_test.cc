// Tests of access control for the administration API. They guard against a role or a team that
// is allowed more than the manifest grants, and against routes that docs/openapi.json doesn't
// describe.
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

std::string sha256_hex(const char *key)
{
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	std::string text = hash;

	g_free(hash);
	return text;
}

std::string operator_text(const char *name, const char *role, const char *key,
			  const std::string &extra = "")
{
	return std::string("[[operator]]\nname = \"") + name + "\"\nrole = \"" + role +
	       "\"\nkey_sha256 = [\"" + sha256_hex(key) + "\"]\n" + extra;
}

std::string manifest_text(const char *author, const char *ledger_owner = "ledger-team",
			  const char *ledger_methods = "\"GET\"", const char *extra = "")
{
	return std::string("[change]\nby = \"") + author +
	       "\"\nreason = \"test\"\n"
	       "[[service]]\nname = \"ledger\"\nkind = \"plain\"\nowner = \"" +
	       ledger_owner + "\"\nidempotent_methods = [" + ledger_methods +
	       "]\n[[service]]\nname = \"tickets\"\nkind = \"plain\"\nowner = \"other-team\"\n" +
	       operator_text("root", "operator", "root-key") +
	       operator_text("lina", "team", "team-key", "team = \"ledger-team\"\n") +
	       operator_text("eye", "reader", "eye-key") + extra;
}

ManifestPtr parse_manifest(const std::string &text)
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	ManifestPtr manifest(
		skh_manifest_from_toml(skh_chunk_make(text.data(), text.size()), errors),
		skh_manifest_unref);

	EXPECT_NE(nullptr, manifest.get())
		<< (manifest ? "" : skh_validation_errors_at(errors, 0)->reason);
	skh_validation_errors_free(errors);
	return manifest;
}

skh_error_kind_t check_access(const ManifestPtr &manifest, const char *header,
			      skh_access_level_t required_level,
			      const skh_operator_t **principal = nullptr)
{
	const skh_operator_t *operator_found = nullptr;
	skh_error_t err = {};
	const bool allowed =
		skh_access_check(manifest.get(), header, required_level, &operator_found, &err);

	if (principal)
		*principal = operator_found;
	return allowed ? SKH_OK : err.kind;
}

skh_error_kind_t check_change(const char *header, const ManifestPtr &before,
			      const ManifestPtr &after)
{
	const skh_operator_t *principal = nullptr;
	skh_error_t err = {};

	EXPECT_EQ(SKH_OK, check_access(before, header, SKH_ACCESS_LEVEL_TEAM, &principal));
	return skh_access_check_change(principal, before.get(), after.get(), &err) ? SKH_OK
										   : err.kind;
}

TEST(Access, EachRoleHasItsAccessLevel)
{
	const ManifestPtr manifest = parse_manifest(manifest_text("root"));

	EXPECT_EQ(SKH_OK, check_access(manifest, nullptr, SKH_ACCESS_LEVEL_NONE));
	EXPECT_EQ(SKH_UNAUTHORIZED, check_access(manifest, nullptr, SKH_ACCESS_LEVEL_READER));
	EXPECT_EQ(SKH_UNAUTHORIZED,
		  check_access(manifest, "Bearer wrong", SKH_ACCESS_LEVEL_READER));
	EXPECT_EQ(SKH_UNAUTHORIZED, check_access(manifest, "root-key", SKH_ACCESS_LEVEL_READER));
	EXPECT_EQ(SKH_OK, check_access(manifest, "Bearer eye-key", SKH_ACCESS_LEVEL_READER));
	EXPECT_EQ(SKH_FORBIDDEN, check_access(manifest, "Bearer eye-key", SKH_ACCESS_LEVEL_TEAM));
	EXPECT_EQ(SKH_OK, check_access(manifest, "Bearer team-key", SKH_ACCESS_LEVEL_TEAM));
	EXPECT_EQ(SKH_FORBIDDEN,
		  check_access(manifest, "Bearer team-key", SKH_ACCESS_LEVEL_OPERATOR));
	EXPECT_EQ(SKH_OK, check_access(manifest, "Bearer root-key", SKH_ACCESS_LEVEL_OPERATOR));
}

TEST(Access, TeamChangesOnlyItemsItOwns)
{
	const ManifestPtr before = parse_manifest(manifest_text("root"));

	EXPECT_EQ(SKH_OK, check_change("Bearer team-key", before,
				       parse_manifest(manifest_text("lina", "ledger-team",
								    "\"GET\", \"PUT\""))));
	EXPECT_EQ(SKH_FORBIDDEN, check_change("Bearer team-key", before,
					      parse_manifest(manifest_text("lina", "other-team"))));
	EXPECT_EQ(SKH_FORBIDDEN,
		  check_change("Bearer team-key", before,
			       parse_manifest(manifest_text("lina", "ledger-team", "\"GET\"",
							    "[balance]\nskew_weight = 2\n"))));
	EXPECT_EQ(SKH_OK, check_change("Bearer team-key", before,
				       parse_manifest(manifest_text(
					       "lina", "ledger-team", "\"GET\"",
					       "[[service]]\nname = \"mine\"\nkind = \"plain\"\n"
					       "owner = \"ledger-team\"\n"))));
	EXPECT_EQ(SKH_OK, check_change("Bearer root-key", before,
				       parse_manifest(manifest_text("root", "other-team"))));
}

TEST(Access, AuthorOfAChangeIsTheOwnerOfTheKey)
{
	const ManifestPtr before = parse_manifest(manifest_text("root"));

	EXPECT_EQ(SKH_FORBIDDEN,
		  check_change("Bearer team-key", before, parse_manifest(manifest_text("root"))));
	EXPECT_EQ(SKH_FORBIDDEN,
		  check_change("Bearer root-key", before, parse_manifest(manifest_text("lina"))));
}

TEST(Access, ManifestWithoutFullOperatorIsRejected)
{
	const std::string text = "[change]\nby = \"a\"\nreason = \"b\"\n" +
				 operator_text("eye", "reader", "eye-key");
	skh_validation_errors_t *errors = skh_validation_errors_new();

	EXPECT_EQ(nullptr,
		  skh_manifest_from_toml(skh_chunk_make(text.data(), text.size()), errors));
	EXPECT_STREQ("operator.role", skh_validation_errors_at(errors, 0)->key);
	skh_validation_errors_free(errors);
}

TEST(Access, OpenApiDescribesExactlyTheServedRoutes)
{
	json_error_t error;
	json_t *document = json_load_file(SKH_TEST_DATA "/../../docs/openapi.json", 0, &error);
	std::set<std::string> described_routes;
	std::set<std::string> served_routes;
	const char *method;
	const char *path;
	json_t *operations;
	json_t *operation;
	const char *name;
	const char *http_method;

	ASSERT_NE(nullptr, document) << error.text;
	json_object_foreach(json_object_get(document, "paths"), name, operations)
	{
		const std::string path_text = name;

		json_object_foreach(operations, http_method, operation)
		{
			char *upper = g_ascii_strup(http_method, -1);

			described_routes.insert(std::string(upper) + " " + path_text);
			g_free(upper);
		}
	}
	for (size_t i = 0; skh_admin_route_at(i, &method, &path); i++)
		served_routes.insert(std::string(method) + " " + path);
	EXPECT_EQ(served_routes, described_routes);
	json_decref(document);
}

} // namespace
