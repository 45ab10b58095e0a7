#pragma once

/// Text form of lists of names in the store.

#include <set>
#include <string>

namespace Jobs {

/// Joins the names with single spaces; a name mustn't contain one.
std::string joinNames(const std::set<std::string>&);
/// Splits at spaces; ignores empty names.
std::set<std::string> parseNames(const std::string& text);

} // namespace Jobs
