/* TOML parser of doc_node.h, based on toml++; the only C++ file of the library. */
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
	if (const auto *boolean = source.as_boolean())
		return skh_doc_node_new_bool(boolean->get(), line);
	/*
	 * No schema has dates, so a date becomes an empty text. Schema validation
	 * rejects it, except as an element of a text array.
	 */
	return skh_doc_node_new_text("", line);
}

/* Texts of a document node are C strings, in which such a text would end early. */
bool has_zero_byte(const toml::node &source)
{
	if (const auto *table = source.as_table()) {
		for (auto &&[key, child] : *table) {
			if (key.str().find('\0') != std::string_view::npos || has_zero_byte(child))
				return true;
		}
	}
	if (const auto *array = source.as_array()) {
		for (auto &&child : *array) {
			if (has_zero_byte(child))
				return true;
		}
	}
	const auto *text = source.as_string();

	return text && text->get().find('\0') != std::string::npos;
}

/*
 * toml++ 3.3 executes code that it marks as unreachable when a non-ASCII character
 * appears where white space is allowed (found by fuzz/fuzz_manifest.c). Documents
 * with such characters are therefore rejected before toml++ parses them.
 */
bool is_ascii(skh_chunk_t text, uint32_t *error_line)
{
	*error_line = 1;
	for (size_t i = 0; i < text.len; i++) {
		if (text.data[i] >= 0x80)
			return false;
		*error_line += text.data[i] == '\n';
	}
	return true;
}

} // namespace

skh_doc_node_t *skh_doc_node_from_toml(skh_chunk_t text, uint32_t *error_line, skh_error_t *err)
{
	if (!is_ascii(text, error_line)) {
		(void)skh_error_set(
			err, SKH_CONFIG_INVALID,
			"a character is not ASCII; write it as \\uXXXX in a quoted text");
		return nullptr;
	}
	try {
		const std::string_view document(reinterpret_cast<const char *>(text.data),
						text.len);

		const toml::table table = toml::parse(document);

		if (!has_zero_byte(table))
			return convert_table(table);
		(void)skh_error_set(err, SKH_CONFIG_INVALID,
				    "a name or text has the character \\u0000");
		return nullptr;
	} catch (const toml::parse_error &error) {
		*error_line = error.source().begin.line;
		(void)skh_error_set(err, SKH_CONFIG_INVALID, "%s",
				    std::string(error.description()).c_str());
		return nullptr;
	}
}
