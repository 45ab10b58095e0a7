/// slopes: measures how sizes, memory, traffic and processor times grow with the size of a deployment, and prints the
/// tables of docs/CAPACITY.md. Without flags it prints all groups; Tools/slopes also uses --row and --objects.

#include "Objects/ObjectWriter.h"
#include "SlopesSamples.h"
#include "SlopesSections.h"

#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>
#include <stdexcept>

DEFINE_bool(exact, true, "measure sizes and counts, which are the same in every run");
DEFINE_bool(times, true, "measure processor times");
DEFINE_string(row, "", "print only one table row, for NAME|UNIT|PER and the points in --points");
DEFINE_string(points, "", "points of --row, as SIZE:VALUE,SIZE:VALUE");
DEFINE_string(objects, "", "only write a valid set of objects to this file");
DEFINE_uint32(upstreams, 100, "upstreams in the set of --objects");
DEFINE_uint32(pools, 10, "pools and services in the set of --objects");
DEFINE_uint32(data_centres, 1, "data centres in the set of --objects");

namespace {

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string it; std::getline(stream, it, separator);)
        parts.push_back(it);
    return parts;
}

void print(const std::string& title, const std::vector<Slopes::Series>& all)
{
    std::printf("\n### %s\n\n%s", title.c_str(), Slopes::tableHeading().c_str());
    for (const auto& it : all)
        std::fputs(Slopes::tableRow(it).c_str(), stdout);
    std::fflush(stdout);
}

void printValues(const std::string& title, const std::vector<Slopes::Series>& all)
{
    std::printf("\n### %s\n\n%s", title.c_str(), Slopes::valueHeading().c_str());
    for (const auto& it : all)
        std::fputs(Slopes::valueRow(it).c_str(), stdout);
    std::fflush(stdout);
}

void printRow()
{
    const auto names = split(FLAGS_row, '|');
    if (names.size() != 3)
        throw std::invalid_argument("--row: expected NAME|UNIT|PER");
    Slopes::Series series { names[0], names[1], names[2], {} };
    for (const auto& it : split(FLAGS_points, ',')) {
        const auto point = split(it, ':');
        series.points.push_back({ std::stod(point.at(0)), std::stod(point.at(1)) });
    }
    std::fputs(Slopes::tableRow(series).c_str(), stdout);
}

void writeObjects()
{
    Slopes::SetCounts counts;
    counts.upstreams = FLAGS_upstreams;
    counts.pools = FLAGS_pools;
    counts.services = FLAGS_pools;
    counts.dataCentres = FLAGS_data_centres;
    counts.racks *= FLAGS_data_centres;
    counts.budgets = 0;
    std::ofstream(FLAGS_objects) << Objects::ObjectWriter::write(Slopes::makeSet(counts));
}

void printAll()
{
    if (FLAGS_exact) {
        print("Sizes (exact)", Slopes::measureSizes());
        print("Memory and ledger questions (exact)", Slopes::measureMemory());
        print("Control traffic without load (exact, virtual time)", Slopes::measureControl());
        printValues("Control traffic without load, counted at 17 data centres of 8 members, 89 pools and 882 upstreams (exact, virtual time)", Slopes::countDesignSize());
        print("One change of the configuration (exact, virtual time)", Slopes::measureRollOut());
    }
    if (FLAGS_times)
        print("Processor time (medians)", Slopes::measureTimes());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        if (!FLAGS_row.empty())
            printRow();
        else if (!FLAGS_objects.empty())
            writeObjects();
        else
            printAll();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "slopes: %s\n", error.what());
        return 1;
    }
    return 0;
}
