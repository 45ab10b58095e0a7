#pragma once

/// Conversion of field values to and from JSON, with one overload for each type of field.

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

/// Longest duration that a field accepts.
constexpr std::chrono::hours maximumDuration { 24 * 366 };

/// Longest text that a field accepts, in bytes.
constexpr std::size_t maximumTextBytes = 253;

/// Sets the value from JSON. On failure leaves the value unchanged and returns a description of accepted values.
std::optional<std::string> decode(const Json::Value&, std::string&);
std::optional<std::string> decode(const Json::Value&, std::vector<std::string>&);
std::optional<std::string> decode(const Json::Value&, bool&);
std::optional<std::string> decode(const Json::Value&, unsigned&);
std::optional<std::string> decode(const Json::Value&, std::size_t&);
std::optional<std::string> decode(const Json::Value&, std::chrono::milliseconds&);
std::optional<std::string> decode(const Json::Value&, std::chrono::seconds&);
std::optional<std::string> decode(const Json::Value&, Common::WallTime&);
std::optional<std::string> decode(const Json::Value&, DomainLevel&);

/// Canonical JSON of a value; decode() returns the same value.
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

/// The value in the unit of its bounds: numbers unchanged, durations in milliseconds, nullopt for other types.
/// A negative duration returns the largest value, which is out of every range.
std::optional<std::uint64_t> magnitude(unsigned);
std::optional<std::uint64_t> magnitude(std::size_t);
std::optional<std::uint64_t> magnitude(std::chrono::milliseconds);
std::optional<std::uint64_t> magnitude(std::chrono::seconds);

template<typename T>
std::optional<std::uint64_t> magnitude(const T&)
{
    return std::nullopt;
}

/// Formats a duration in the largest unit that divides it, for example "90s" or "250ms".
std::string formatDuration(std::chrono::milliseconds);

} // namespace Objects
