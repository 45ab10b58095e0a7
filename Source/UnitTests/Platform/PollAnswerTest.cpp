/// Answers of workers, the machine service and the advice service with odd rows, and ones that can't be read.

#include "FuzzInput.h"
#include "Jobs/Model/ValueRanges.h"
#include "JsonText.h"
#include "MachineCalls.h"
#include "PublishedEntries.h"
#include "WorkerCalls.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace PlatformAdapter;
using Adapters::HttpEnd;
using Adapters::HttpOutcome;
using Ports::AdviceStatus;
using Ports::WorkerStatus;
using State = Jobs::Machine::State;
namespace Ranges = Jobs::ValueRanges;

namespace {

const std::string runningRow = R"(["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,12])";
const std::string endedRow = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
const std::string machineRow = R"({"machine":"m-1","pool":"desk","state":"up","zone":"imlil","labels":["std","r1-3"],"capacity":{"cpu":16000,"memMb":64000},"id":"i-1"})";
const std::vector<std::string> oddNumbers { "-1", "1e18", "1e300", "1e400", "9e18", "9223372036854775807", "9223372036854775808", "18446744073709551615", "\"1\"", "{}", "[]", "true" };

HttpOutcome answered(std::string body)
{
    return { HttpEnd::Answered, 200, std::move(body), {} };
}

Ports::PollAnswer poll(const std::string& fields) { return readPollAnswer(answered("{" + fields + "}")); }

Ports::PollAnswer pollWith(const std::string& running, const std::string& ended)
{
    return poll(R"("clockMs":482113,"born":1786644770994,"running":[["5c0e7a21d94b36f8.0.1.1",1,"",0],)" + running + R"(,["5c0e7a21d94b36f8.0.1.2",1,"",100,7]],"finished":[)" + ended + R"(,[59,"5c0e7a21d94b36f8.0.1.3",1,"failed",""]])");
}

/// The row with another value in a column.
std::string withColumn(const std::string& row, std::size_t column, const std::string& value)
{
    std::size_t begin = 1;
    for (; column > 0; --column)
        begin = row.find(',', begin) + 1;
    return row.substr(0, begin) + value + row.substr(row.find_first_of(",]", begin));
}

std::string pageText(const std::string& row)
{
    return R"({"machines":[{"machine":"m-0","state":"down"},)" + row + R"(,{"machine":"m-9","state":"moving","capacity":{"cpu":8000}}]})";
}

/// True when the text is valid between the brackets of a list.
bool isList(const std::string& text) { return JsonText::parseObject("{\"i\":[" + text + "]}").has_value(); }

std::string replaced(std::string text, const std::string& from, const std::string& to) { return text.replace(text.find(from), from.size(), to); }

} // namespace

TEST_CASE("a poll whose answer can't be read doesn't show that runs are missing")
{
    CHECK(poll(R"("clockMs":482113)").answer.status == WorkerStatus::Done);
    for (const std::string body : { "", "<html>", "[]", "{}", R"({"running":[],"finished":[]})", R"({"clockMs":5,"running":7})", R"({"clockMs":5,"running":{}})", R"({"clockMs":5,"finished":"x"})" }) {
        CAPTURE(body);
        CHECK(readPollAnswer(answered(body)).answer.status == WorkerStatus::NoAnswer);
    }
    CHECK(readPollAnswer(answered("{\"clockMs\":5,\"running\":" + std::string(2000000, '['))).answer.status == WorkerStatus::NoAnswer);
    for (const auto& value : oddNumbers) {
        CAPTURE(value);
        CHECK(poll("\"clockMs\":" + value).answer.status == WorkerStatus::NoAnswer);
        CHECK(poll("\"clockMs\":5,\"born\":" + value).answer.status == WorkerStatus::NoAnswer);
        CHECK(pollWith(withColumn(runningRow, 1, value), endedRow).answer.status == WorkerStatus::NoAnswer);
    }
}

TEST_CASE("odd rows of a poll are left out, and the others are followed")
{
    CHECK(pollWith(runningRow, endedRow).running.size() == 3);
    for (const std::string row : { "7", "null", "{}", "[]", "[7,2,\"\",41]", "[\"\",2,\"\",41]", "[\"job.1.2\",2]", "[\"job.1.2.99999999999\",2,\"\",41]", "[[[[[]]]]]" }) {
        CAPTURE(row);
        const auto answer = pollWith(row, row);
        CHECK(answer.answer.status == WorkerStatus::Done);
        REQUIRE(answer.running.size() == 2);
        CHECK(answer.running[1].task.index == 2);
        REQUIRE(answer.ended.size() == 1);
        CHECK(answer.ended[0].number == 59);
    }
}

// A run that isn't in such a list may have ended all the same.
TEST_CASE("a poll that lists 500 ends, the most of an answer, doesn't count as one that lists all")
{
    const auto pollOf = [](unsigned ends) {
        std::string rows;
        for (unsigned n = 1; n <= ends; ++n)
            rows += (n > 1 ? ",[" : "[") + std::to_string(n) + R"(,"5c0e7a21d94b36f8.0.1.)" + std::to_string(n) + R"(",1,"done",""])";
        return poll(R"("clockMs":482113,"born":1786644770994,"running":[],"finished":[)" + rows + "]");
    };
    CHECK_FALSE(pollOf(0).hasMoreEnds);
    CHECK_FALSE(pollOf(499).hasMoreEnds);
    CHECK(pollOf(500).ended.size() == 500);
    CHECK(pollOf(500).hasMoreEnds);
    // A row that can't be read counts as well.
    const auto odd = poll(R"("clockMs":1,"finished":[)" + [] {
        std::string rows = "[]";
        for (unsigned n = 1; n < 500; ++n)
            rows += ",[]";
        return rows;
    }() + "]");
    CHECK(odd.ended.empty());
    CHECK(odd.hasMoreEnds);
}

TEST_CASE("an end whose number is odd doesn't acknowledge the ends to come")
{
    for (const auto& value : oddNumbers) {
        CAPTURE(value);
        for (const std::size_t column : { 0, 2 }) {
            const auto answer = pollWith(runningRow, withColumn(endedRow, column, value));
            CHECK(answer.answer.status == WorkerStatus::Done);
            REQUIRE(answer.ended.size() == 1);
            CHECK(answer.ended[0].number == 59);
        }
    }
}

TEST_CASE("a run whose progress or measure is odd is there nevertheless")
{
    for (const auto& value : oddNumbers) {
        CAPTURE(value);
        for (const std::size_t column : { 3, 4 }) {
            const auto answer = pollWith(withColumn(runningRow, column, value), endedRow);
            REQUIRE(answer.running.size() == 3);
            CHECK(answer.running[1].run == 2);
            CHECK((column == 3 ? answer.running[1].percent : answer.running[1].measure) == 0);
        }
    }
}

TEST_CASE("a list of machines that can't be read isn't taken for an empty one")
{
    for (const std::string body : { "", "<html>", "[]", R"({"machines":7})", R"({"machines":[],"nextToken":7})", R"({"machines":[],"nextToken":"p2"})" }) {
        CAPTURE(body);
        CHECK_FALSE(readMachinePage(answered(body), "p2"));
    }
    CHECK_FALSE(readMachinePage(answered("{\"machines\":" + std::string(2000000, '[')), ""));
    CHECK(readMachinePage(answered(R"({"machines":[],"nextToken":"p2"})"), "")->next == "p2");
    const auto last = readMachinePage(answered(R"({"machines":[{"machine":"m-1","state":"down","capacity":{"cpu":16000,"gpu":0},"id":null}],"nextToken":null})"), "p2");
    REQUIRE(last);
    CHECK(last->next.empty());
    CHECK(last->machines.at(0).state == State::Down);
}

TEST_CASE("a machine with an odd field is unknown, and the others are followed")
{
    const auto check = [](const std::string& row, const std::string& name) {
        CAPTURE(row.substr(0, 200));
        const auto page = readMachinePage(answered(pageText(row)), "");
        REQUIRE(page);
        REQUIRE(page->machines.size() == 3);
        CHECK(page->machines[1].state == State::Unknown);
        CHECK(page->machines[1].name == name);
        CHECK(page->machines[1].capacity == Jobs::Resources());
        CHECK(page->machines[0].state == State::Down);
        CHECK(page->machines[2].state == State::Moving);
        CHECK(page->machines[2].capacity.milliCores == 8000);
    };
    for (const auto& value : oddNumbers) {
        check(replaced(machineRow, "16000", value), "m-1");
        check(replaced(machineRow, "64000", value), "m-1");
        if (value != "{}")
            check(replaced(machineRow, R"({"cpu":16000,"memMb":64000})", value), "m-1");
    }
    for (const std::string value : { "7", "\"asleep\"", "null", "\"\"" })
        check(replaced(machineRow, "\"up\"", value), "m-1");
    for (const std::string field : { "\"desk\"", "\"imlil\"", "\"i-1\"", "[\"std\",\"r1-3\"]" })
        check(replaced(machineRow, field, "7"), "m-1");
    for (const auto& row : std::vector<std::string> { "7", "null", "{}", "[]", replaced(machineRow, "\"m-1\"", "7") })
        check(row, "");
    std::string nested(100000, '[');
    nested.append(100000, ']');
    check(nested, "");
}

TEST_CASE("advice that can't be read isn't taken for advice that allows no worker")
{
    for (const std::string body : { "", "<html>", "[]", R"({"good":7})", R"({"good":[],"validityMs":-1})", R"({"good":[],"validityMs":9e18})", R"({"good":[],"validityMs":1e400})", R"({"good":[],"validityMs":"9"})" }) {
        CAPTURE(body);
        CHECK(readAdvice(answered(body)).status == AdviceStatus::NoAnswer);
    }
    const auto advice = readAdvice(answered(R"({"good":[["i-1","t1"],7,["i-2"],["i-3",1e400],["i-4","t4"]],"validityMs":9000})"));
    CHECK(advice.status == AdviceStatus::Received);
    REQUIRE(advice.tickets.size() == 2);
    CHECK(advice.tickets[1].worker == "i-4");
}

TEST_CASE("rows beside a mutated row of a poll are followed, and what is read lies in its ranges")
{
    FuzzInput input(20261210);
    unsigned readable = 0;
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto running = input.mutate(runningRow);
        const auto ended = input.mutate(endedRow);
        CAPTURE(running);
        CAPTURE(ended);
        const auto answer = pollWith(running, ended);
        const bool areRows = isList(running) && isList(ended);
        CHECK((areRows || answer.answer.status == WorkerStatus::NoAnswer));
        if (!areRows || answer.answer.status != WorkerStatus::Done)
            continue;
        ++readable;
        REQUIRE(answer.running.size() >= 2);
        REQUIRE_FALSE(answer.ended.empty());
        CHECK(answer.running.back().task.index == 2);
        CHECK(answer.ended.back().number == 59);
        for (const auto& it : answer.running)
            CHECK((it.run > 0 && it.run <= Ranges::maximumSequence && it.percent <= 100 && it.measure <= Ranges::maximumAmount));
        for (const auto& it : answer.ended)
            CHECK((it.number > 0 && it.number <= Ranges::maximumSequence && it.run > 0 && it.run <= Ranges::maximumSequence));
    }
    CHECK(readable > 0);
}

TEST_CASE("machines beside a mutated one are followed, and what is read lies in its ranges")
{
    FuzzInput input(20261211);
    unsigned readable = 0;
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto row = input.mutate(machineRow);
        CAPTURE(row);
        const auto page = readMachinePage(answered(pageText(row)), "");
        const bool isRow = isList(row);
        CHECK(page.has_value() == isRow);
        if (!isRow || !page)
            continue;
        ++readable;
        CHECK(page->machines.front().name == "m-0");
        CHECK(page->machines.back().name == "m-9");
        for (const auto& it : page->machines) {
            CHECK((it.state == State::Unknown || !it.name.empty()));
            CHECK((it.capacity.milliCores <= Ranges::maximumAmount && it.capacity.memoryMb <= Ranges::maximumAmount && it.capacity.accelerators <= Ranges::maximumAmount));
        }
    }
    CHECK(readable > 0);
}

TEST_CASE("tickets of mutated advice are texts, and their validity lies in its range")
{
    FuzzInput input(20261212);
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto advice = readAdvice(answered(input.mutate(R"({"good":[["i-1","t1"],["i-2","t2"]],"validityMs":9000})")));
        CHECK((advice.validity >= advice.validity.zero() && advice.validity <= Ranges::maximumDuration));
        CHECK((advice.status == AdviceStatus::Received || advice.tickets.empty()));
    }
}
