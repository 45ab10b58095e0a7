/// request_experiments: the overload policy of the request core under the standard load, beside baselines, in virtual
/// time. Prints a JSON line for each figure; bounds are applied by Tools/bench.

#include "RequestSimulation.h"

#include <algorithm>
#include <cstring>
#include <iostream>

using namespace RequestBench;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seedCount = 5;
constexpr Duration deathAt = 19s;
constexpr Duration processDeathNotice = 2ms; ///< Connections are reset.
constexpr Duration silentDeathNotice = 2s; ///< Heartbeats fail to come.

/// A figure under the name it is printed by.
struct NamedFigure {
    const char* name;
    const char* unit;
    double Figures::*value;
    bool lowestCounts = false; ///< Of several seeds the lowest is printed, else the highest.
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
    { "parked", "requests", &Figures::longestParked },
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

/// Runs every seed and prints the worst of each figure.
void experiment(const std::string& variant, Scenario scenario)
{
    std::vector<Figures> all;
    for (scenario.seed = 1; scenario.seed <= seedCount; ++scenario.seed)
        all.push_back(run(scenario));
    for (const auto& figure : namedFigures) {
        double worst = all.front().*figure.value;
        for (const auto& it : all)
            worst = figure.lowestCounts ? std::min(worst, it.*figure.value) : std::max(worst, it.*figure.value);
        print(variant, figure, worst);
    }
}

void unevenly(Scenario& scenario) { scenario.hostWeights = { 3, 1, 1, 1, 1, 1 }; }

void firstComeFirstServed(Scenario& scenario) { scenario.guards.priorityOrdered = false; }

void deadlineUnaware(Scenario& scenario) { scenario.guards.deadlineAware = false; }

void neither(Scenario& scenario)
{
    firstComeFirstServed(scenario);
    deadlineUnaware(scenario);
}

void withoutEjection(Scenario& scenario) { scenario.guards.ejectionEnabled = false; }

void staticSplit(Scenario& scenario) { scenario.staticSplit = true; }

void staticSplitUnevenly(Scenario& scenario)
{
    staticSplit(scenario);
    unevenly(scenario);
}

void soundUpstreams(Scenario& scenario) { scenario.badUpstreams = false; }

void oneHost(Scenario& scenario) { scenario.hostWeights = { 1 }; }

void ownerKilled(Scenario& scenario) { scenario.ownerDeath = OwnerDeath { deathAt, processDeathNotice }; }

void ownerSilent(Scenario& scenario) { scenario.ownerDeath = OwnerDeath { deathAt, silentDeathNotice }; }

void ownerKilledUncounted(Scenario& scenario)
{
    ownerKilled(scenario);
    scenario.guards.peerUseCounted = false;
}

void hostKilledStaticSplit(Scenario& scenario)
{
    staticSplit(scenario);
    ownerKilled(scenario);
}

/// A scenario by name.
struct Variant {
    const char* name;
    void (*apply)(Scenario&);
};

constexpr Variant variants[] = {
    { "policy", [](Scenario&) {} },
    { "oneHost", oneHost },
    { "uneven", unevenly },
    { "soundUpstreams", soundUpstreams },
    { "ownerKilled", ownerKilled },
    { "ownerSilent", ownerSilent },
    { "baseline.firstCome", firstComeFirstServed },
    { "baseline.deadlineUnaware", deadlineUnaware },
    { "baseline.neither", neither },
    { "baseline.withoutEjection", withoutEjection },
    { "baseline.staticSplit", staticSplit },
    { "baseline.staticSplitUneven", staticSplitUnevenly },
    { "baseline.staticSplitKilled", hostKilledStaticSplit },
    { "baseline.ownerKilledUncounted", ownerKilledUncounted },
};

} // namespace

int main(int argc, char** argv)
{
    for (const auto& variant : variants) {
        if (argc > 1 && std::strcmp(argv[1], variant.name) != 0)
            continue;
        Scenario scenario;
        variant.apply(scenario);
        experiment(variant.name, scenario);
    }
    return 0;
}
