#pragma once

/// Lists of names as values in the store.

#include <set>
#include <string>

namespace Jobs {

/// The names, each after a space but the first.
std::string joinNames(const std::set<std::string>&);
std::set<std::string> readNames(const std::string& text);

} // namespace Jobs
