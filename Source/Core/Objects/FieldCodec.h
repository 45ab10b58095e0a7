#pragma once

/// Reading and writing of single field values. One overload for each type that a field may have.

#include "Common/Time.h"
#include "Objects/Types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace Objects {

/// Longest duration that a field takes.
constexpr std::chrono::hours maximumDuration { 24 * 366 };

/// Longest text that a field takes, in bytes.
constexpr std::size_t maximumTextBytes = 253;

/// Sets the value from JSON. On failure returns what would be accepted and leaves the value alone.
std::optional<std::string> decode(const Json::Value&, std::string&);
std::optional<std::string> decode(const Json::Value&, std::vector<std::string>&);
std::optional<std::string> decode(const Json::Value&, bool&);
std::optional<std::string> decode(const Json::Value&, unsigned&);
std::optional<std::string> decode(const Json::Value&, std::size_t&);
std::optional<std::string> decode(const Json::Value&, std::chrono::milliseconds&);
std::optional<std::string> decode(const Json::Value&, std::chrono::seconds&);
std::optional<std::string> decode(const Json::Value&, Common::WallTime&);
std::optional<std::string> decode(const Json::Value&, DomainLevel&);

/// Canonical JSON of a value; decode() gives the same value back.
Json::Value encode(const std::string&);
Json::Value encode(const std::vector<std::string>&);
Json::Value encode(bool);
Json::Value encode(unsigned);
Json::Value encode(std::size_t);
Json::Value encode(std::chrono::milliseconds);
Json::Value encode(std::chrono::seconds);
Json::Value encode(Common::WallTime);
Json::Value encode(DomainLevel);

/// JSON Schema of the value's type.
Json::Value schemaOf(const std::string&);
Json::Value schemaOf(const std::vector<std::string>&);
Json::Value schemaOf(bool);
Json::Value schemaOf(unsigned);
Json::Value schemaOf(std::size_t);
Json::Value schemaOf(std::chrono::milliseconds);
Json::Value schemaOf(std::chrono::seconds);
Json::Value schemaOf(Common::WallTime);
Json::Value schemaOf(DomainLevel);

/// The value on the scale of its bounds: numbers as they are, durations in milliseconds, nothing for the rest.
std::optional<std::uint64_t> magnitude(unsigned);
std::optional<std::uint64_t> magnitude(std::size_t);
std::optional<std::uint64_t> magnitude(std::chrono::milliseconds);
std::optional<std::uint64_t> magnitude(std::chrono::seconds);

template<typename T>
std::optional<std::uint64_t> magnitude(const T&)
{
    return std::nullopt;
}

/// Duration text in the largest unit that divides it, for example "90s" or "250ms".
std::string formatDuration(std::chrono::milliseconds);

} // namespace Objects
