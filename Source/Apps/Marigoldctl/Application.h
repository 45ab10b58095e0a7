#pragma once

/// Runs marigoldctl: parses a command line, executes the command and returns its exit code.

#include "ApiClient.h"
#include "Clock.h"
#include "CtlError.h"
#include "Flags.h"
#include "Options.h"

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace Ctl {

/// Creates a client for the options; throws CtlError when they name no valid server.
using ApiClientFactory = std::function<std::unique_ptr<ApiClient>(const Options&)>;

/// Injected by main() and by tests; references must outlive the Application.
struct Dependencies {
    ApiClientFactory makeClient;
    Clock& clock;
    std::ostream& out;
    std::ostream& err;
};

/// The program without main().
class Application {
public:
    explicit Application(Dependencies);

    /// Takes the arguments after the program's name. Failures of the command are reported, not thrown: on `err`, or as JSON on `out`
    /// for invalid objects with --output json.
    ExitCode run(const std::vector<std::string>& arguments);

private:
    ExitCode runCommand(const CommandLine&);
    void reportError(const CtlError&, const Options&);

    Dependencies m_dependencies;
};

} // namespace Ctl
