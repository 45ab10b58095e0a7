/// Plays one case: Main CASE PROGRAM DIRECTORY RECORD. TROUBLE=0 in the environment leaves the disruption out. Exits with 1 if the rule was
/// broken, 0 if it held, and 2 if the case couldn't run.

#include "Cases.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace {

constexpr int exitBroken = 1;
constexpr int exitCannotRun = 2;
constexpr int argumentCount = 5;

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto* const entry = argc == argumentCount ? Review::findCase(argv[1]) : nullptr;
    if (!entry) {
        std::fputs("expected: CASE PROGRAM DIRECTORY RECORD\n", stderr);
        return exitCannotRun;
    }
    const char* const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string_view(trouble) != "0";
    try {
        Review::Deployment deployment({ argv[2], argv[3], argv[4], entry->hosts });
        const bool isBroken = entry->play(deployment, hasTrouble);
        deployment.record().note(isBroken ? "the rule was broken" : "the rule held");
        std::printf("%s: %s\n", entry->name, isBroken ? "the rule was broken" : "the rule held");
        return isBroken ? exitBroken : 0;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s couldn't run: %s\n", entry->name, e.what());
        return exitCannotRun;
    }
}
