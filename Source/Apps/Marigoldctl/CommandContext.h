#pragma once

/// Input and output of a command.

#include "ApiClient.h"
#include "Clock.h"
#include "Options.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace Ctl {

/// Passed to each command. Results go to `out`, progress and errors to `err`.
struct CommandContext {
    const Options& options;
    std::vector<std::string> arguments; ///< Without the command's name.
    std::function<ApiClient&()> api; ///< Creates the client on first use; throws CtlError when --server is missing or invalid. Offline commands never call it.
    Clock& clock;
    std::ostream& out;
    std::ostream& err;

    bool wantsJson() const { return options.output == OutputFormat::Json; }
};

} // namespace Ctl
