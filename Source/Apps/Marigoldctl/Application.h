#pragma once

/// The program: from a command line to an exit code.

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

/// Makes a client for the options; throws CtlError when they don't name a usable server.
using ApiFactory = std::function<std::unique_ptr<ApiClient>(const Options&)>;

/// What the program needs from outside; all outlive it.
struct Surroundings {
    ApiFactory makeApi;
    Clock& clock;
    std::ostream& out;
    std::ostream& err;
};

/// Runs one command.
class Application {
public:
    explicit Application(Surroundings);

    /// Takes the arguments after the program's name.
    ExitCode run(const std::vector<std::string>& arguments);

private:
    ExitCode runCommand(const CommandLine&);
    void report(const CtlError&, const Options&);

    Surroundings m_surroundings;
};

} // namespace Ctl
