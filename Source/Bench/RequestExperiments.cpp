/// request_experiments [VARIANT]: compares the overload policy of the request core with baselines under the standard
/// load, in virtual time. Prints one JSON line per figure; Tools/bench applies the bounds.

#include "RequestSimulation.h"

#include <algorithm>
#include <cstring>
#include <iostream>

using namespace RequestBench;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seedCount = 5;
constexpr Duration deathAt = 19s;
constexpr Duration processDeathDetection = 2ms; ///< The host's connections are reset.
constexpr Duration silentDeathDetection = 2s; ///< Its heartbeats are missing.

/// A figure and the name under which it is printed.
struct NamedFigure {
    const char* name;
    const char* unit;
    double Figures::*value;
    bool lowestIsWorst = false; ///< The lowest value of all seeds is printed, else the highest.
};

constexpr NamedFigure namedFigures[] = {
    { "goodputPeak", "ratio", &Figures::peakGoodput, true },
    { "goodputAsked", "ratio", &Figures::askedGoodput, true },
    { "goodputWanted", "ratio", &Figures::wantedGoodput, true },
    { "urgentStart99", "seconds", &Figures::urgentStart99 },
    { "urgentUnstarted", "ratio", &Figures::urgentUnstarted },
    { "latestAnswer", "milliseconds past deadline", &Figures::latestAnswer },
    { "overCommitted", "attempts", &Figures::overCommitted },
    { "overCommittedAfterDeath", "attempts", &Figures::overCommittedAfterDeath },
    { "returnPeak", "ratio of first asks' peak", &Figures::returnPeak },
    { "secondPeak", "ratio of first asks' peak", &Figures::secondPeak },
    { "parked", "requests", &Figures::mostParked },
    { "served", "ratio", &Figures::served, true },
    { "failedTasks", "attempts", &Figures::failedTasks },
    { "unknownAnswers", "answers", &Figures::unknownAnswers },
    { "refusals", "answers", &Figures::refusals },
    { "refusedQuickly", "ratio", &Figures::refusedQuickly, true },
};

void print(const std::string& variant, const NamedFigure& figure, double value)
{
    std::cout << R"({"name":"requests.)" << variant << '.' << figure.name << R"(","value":)" << value << R"(,"unit":")" << figure.unit << "\"}\n";
}

/// Runs the scenario with every seed and prints the worst value of each figure.
void runExperiment(const std::string& variant, Scenario scenario)
{
    std::vector<Figures> all;
    for (scenario.seed = 1; scenario.seed <= seedCount; ++scenario.seed)
        all.push_back(run(scenario));
    for (const auto& figure : namedFigures) {
        double worst = all.front().*figure.value;
        for (const auto& it : all)
            worst = figure.lowestIsWorst ? std::min(worst, it.*figure.value) : std::max(worst, it.*figure.value);
        print(variant, figure, worst);
    }
}

void unevenWeights(Scenario& scenario) { scenario.hostWeights = { 3, 1, 1, 1, 1, 1 }; }

void firstComeFirstServed(Scenario& scenario) { scenario.guards.priorityOrdered = false; }

void deadlineUnaware(Scenario& scenario) { scenario.guards.deadlineAware = false; }

void firstComeDeadlineUnaware(Scenario& scenario)
{
    firstComeFirstServed(scenario);
    deadlineUnaware(scenario);
}

void withoutEjection(Scenario& scenario) { scenario.guards.ejectionEnabled = false; }

void staticSplit(Scenario& scenario) { scenario.staticSplit = true; }

void staticSplitUneven(Scenario& scenario)
{
    staticSplit(scenario);
    unevenWeights(scenario);
}

void healthyUpstreams(Scenario& scenario) { scenario.faultyUpstreams = false; }

void oneHost(Scenario& scenario) { scenario.hostWeights = { 1 }; }

void ownerKilled(Scenario& scenario) { scenario.ownerDeath = OwnerDeath { deathAt, processDeathDetection }; }

void ownerSilent(Scenario& scenario) { scenario.ownerDeath = OwnerDeath { deathAt, silentDeathDetection }; }

void ownerKilledForeignUseIgnored(Scenario& scenario)
{
    ownerKilled(scenario);
    scenario.guards.peerUseCounted = false;
}

void staticSplitHostKilled(Scenario& scenario)
{
    staticSplit(scenario);
    ownerKilled(scenario);
}

/// A change to the default scenario; the name is part of the printed figures.
struct Variant {
    const char* name;
    void (*apply)(Scenario&);
};

constexpr Variant variants[] = {
    { "policy", [](Scenario&) {} },
    { "oneHost", oneHost },
    { "uneven", unevenWeights },
    { "soundUpstreams", healthyUpstreams },
    { "ownerKilled", ownerKilled },
    { "ownerSilent", ownerSilent },
    { "baseline.firstCome", firstComeFirstServed },
    { "baseline.deadlineUnaware", deadlineUnaware },
    { "baseline.neither", firstComeDeadlineUnaware },
    { "baseline.withoutEjection", withoutEjection },
    { "baseline.staticSplit", staticSplit },
    { "baseline.staticSplitUneven", staticSplitUneven },
    { "baseline.staticSplitKilled", staticSplitHostKilled },
    { "baseline.ownerKilledUncounted", ownerKilledForeignUseIgnored },
};

} // namespace

int main(int argc, char** argv)
{
    for (const auto& variant : variants) {
        if (argc > 1 && std::strcmp(argv[1], variant.name) != 0)
            continue;
        Scenario scenario;
        variant.apply(scenario);
        runExperiment(variant.name, scenario);
    }
    return 0;
}
