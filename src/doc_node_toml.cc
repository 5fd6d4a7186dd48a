/* The only C++ file of the product: toml++ behind the C header doc_node.h. */
#include "doc_node.h"

#include <string>
#include <string_view>
#include <toml++/toml.h>

namespace
{

skh_doc_node_t *convert(const toml::node &source);

skh_doc_node_t *convert_table(const toml::table &table)
{
	skh_doc_node_t *node = skh_doc_node_new_table(table.source().begin.line);

	for (auto &&[key, child] : table)
		skh_doc_node_add(node, std::string(key.str()).c_str(), convert(child));
	return node;
}

skh_doc_node_t *convert_array(const toml::array &array)
{
	skh_doc_node_t *node = skh_doc_node_new_array(array.source().begin.line);

	for (auto &&child : array)
		skh_doc_node_add(node, nullptr, convert(child));
	return node;
}

skh_doc_node_t *convert(const toml::node &source)
{
	const uint32_t line = source.source().begin.line;

	if (const auto *table = source.as_table())
		return convert_table(*table);
	if (const auto *array = source.as_array())
		return convert_array(*array);
	if (const auto *text = source.as_string())
		return skh_doc_node_new_text(text->get().c_str(), line);
	if (const auto *integer = source.as_integer())
		return skh_doc_node_new_integer(integer->get(), line);
	if (const auto *real = source.as_floating_point())
		return skh_doc_node_new_real(real->get(), line);
	if (const auto *flag = source.as_boolean())
		return skh_doc_node_new_bool(flag->get(), line);
	/* Dates are not part of any schema; the reader refuses them as text. */
	return skh_doc_node_new_text("", line);
}

/*
 * toml++ 3.3 reaches code that it marks as unreachable when a character beyond
 * ASCII stands where it looks for white space, found by fuzz/fuzz_manifest.c.
 */
bool is_ascii(skh_chunk_t text, uint32_t *fault_line)
{
	*fault_line = 1;
	for (size_t i = 0; i < text.len; i++) {
		if (text.data[i] >= 0x80)
			return false;
		*fault_line += text.data[i] == '\n';
	}
	return true;
}

} // namespace

skh_doc_node_t *skh_doc_node_from_toml(skh_chunk_t text, uint32_t *fault_line, skh_error_t *err)
{
	if (!is_ascii(text, fault_line)) {
		(void)skh_error_set(
			err, SKH_CONFIG_INVALID,
			"a character beyond ASCII; write it as \\uXXXX in a quoted text");
		return nullptr;
	}
	try {
		const std::string_view view(reinterpret_cast<const char *>(text.data), text.len);

		return convert_table(toml::parse(view));
	} catch (const toml::parse_error &fault) {
		*fault_line = fault.source().begin.line;
		(void)skh_error_set(err, SKH_CONFIG_INVALID, "%s",
				    std::string(fault.description()).c_str());
		return nullptr;
	}
}
