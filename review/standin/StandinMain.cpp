/// Runs one case of the review: --case NAME --hosts IP:PORT,... --dir DIRECTORY --record FILE --trouble 0|1|PART.

#include "Cases.h"

#include <csignal>
#include <cstdio>
#include <cstring>
#include <exception>
#include <map>
#include <sstream>
#include <string>

namespace {

constexpr int exitNotRun = 2;

std::vector<std::string> listOf(const std::string& text)
{
    std::vector<std::string> list;
    std::istringstream stream(text);
    for (std::string it; std::getline(stream, it, ',');)
        list.push_back(it);
    return list;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::map<std::string, std::string> options;
    for (int n = 1; n + 1 < argc; n += 2)
        options[argv[n]] = argv[n + 1];
    try {
        const auto trial = Review::makeCase(options["--case"], { listOf(options["--hosts"]), options["--dir"], options["--record"], options["--case"].ends_with("-queue") ? 4U : 8U, options["--trouble"] });
        if (trial)
            return trial->run();
        std::fprintf(stderr, "--case: unknown case\n");
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "%s\n", ex.what());
    }
    return exitNotRun;
}
