#pragma once

/// Values of the command line flags.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Ctl {

/// Output format of results.
enum class OutputFormat {
    Table,
    Json,
};

/// Flags of all commands; each command accepts some of them.
struct Options {
    std::vector<std::string> servers; ///< Not yet validated; may be empty.
    std::string token;
    OutputFormat output = OutputFormat::Table;
    std::string reason;
    std::optional<std::uint64_t> base; ///< Revision; the one in force when not set.
    std::string changeId; ///< Empty to generate one.
    bool wait = false;
    std::chrono::seconds timeout { 60 }; ///< For retries, and again for --wait.
    std::string to; ///< Name of a pool.
    std::string dataCentre; ///< Empty for that of the answering host.
    bool help = false;
    std::vector<std::string> explicitFlags; ///< Names of the flags on the command line, with underscores.
};

} // namespace Ctl
