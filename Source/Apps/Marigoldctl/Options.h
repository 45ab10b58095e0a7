#pragma once

/// What the flags say, as typed values.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Ctl {

/// Form of the results.
enum class OutputFormat {
    Table,
    Json,
};

/// Flags of all commands; each command takes some of them.
struct Options {
    std::vector<std::string> servers;
    std::string token;
    OutputFormat output = OutputFormat::Table;
    std::string reason;
    std::optional<std::uint64_t> base;
    std::string changeId; ///< Empty for a new one.
    bool wait = false;
    std::chrono::seconds timeout { 60 };
    std::string to;
    std::string dataCentre;
    bool help = false;
    std::vector<std::string> given; ///< Names of the flags on the command line, with underscores.
};

} // namespace Ctl
