#pragma once

/// What a command gets to work with.

#include "ApiClient.h"
#include "Clock.h"
#include "Options.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace Ctl {

/// The results go to `out`; progress and errors go to `err`.
struct CommandContext {
    const Options& options;
    std::vector<std::string> arguments; ///< After the command's name.
    std::function<ApiClient&()> api; ///< Throws CtlError without a usable --server; offline commands never call it.
    Clock& clock;
    std::ostream& out;
    std::ostream& err;

    bool wantsJson() const { return options.output == OutputFormat::Json; }
};

} // namespace Ctl
