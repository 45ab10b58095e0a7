#include "Requests/FleetRecord.h"

#include <algorithm>

namespace RequestTests {

using Ports::Outcome;

namespace {

    constexpr std::chrono::milliseconds lateness { 50 };

    /// The answer was true when its owner gave it, lay at a frozen entry host, and an overlapping try ran in between.
    bool ranMeanwhile(const Logical& request, const Try& frozen, Common::Instant run)
    {
        return frozen.hostFailed && run > frozen.asked && std::any_of(request.tries.begin(), request.tries.end(), [&](const Try& other) {
            const bool mayHaveRun = other.answers == 0 || other.answer.outcome != Outcome::NotRun;
            return &other != &frozen && mayHaveRun && other.asked <= run;
        });
    }

} // namespace

void FleetRecord::judge()
{
    for (const auto& request : requests) {
        keyed += request.key.empty() ? 0 : 1;
        bool served = false;
        for (const auto& attempt : request.tries) {
            judgeTry(request, attempt);
            served = served || (attempt.answers > 0 && attempt.answer.outcome == Outcome::Done);
        }
        keyedDone += served && !request.key.empty() ? 1 : 0;
        judgeTruth(request);
        judgeRepeats(request);
        if (!request.idempotent && request.runs.size() > 1)
            ++broken[Promise::AtMostOnce];
    }
}

void FleetRecord::judgeTry(const Logical& request, const Try& attempt)
{
    if (attempt.answers > 1)
        ++broken[Promise::OneAnswerInTime];
    if (attempt.answers == 0) {
        if (!attempt.hungUp && !attempt.hostFailed)
            ++broken[Promise::OneAnswerInTime];
        return;
    }
    ++reasons[attempt.answer.reason];
    if (!attempt.hostFailed && !attempt.hungUp && attempt.answeredAt > attempt.deadline + lateness)
        ++broken[Promise::OneAnswerInTime];
    switch (attempt.answer.outcome) {
    case Outcome::Done:
        ++done;
        if (!attempt.answer.body || *attempt.answer.body != "result of " + request.body)
            ++broken[Promise::OwnAnswer];
        return;
    case Outcome::NotRun:
        ++notRun;
        return;
    case Outcome::Unknown:
        ++unknown;
        return;
    }
}

void FleetRecord::judgeTruth(const Logical& request)
{
    bool allNotRun = !request.tries.empty();
    for (const auto& attempt : request.tries) {
        const bool toldNotRun = attempt.answers > 0 && attempt.answer.outcome == Outcome::NotRun;
        allNotRun = allNotRun && toldNotRun;
        // A later try of the same key may run; nothing may have run by the time of the answer.
        if (toldNotRun && std::any_of(request.runs.begin(), request.runs.end(), [&](auto run) { return run <= attempt.answeredAt && !ranMeanwhile(request, attempt, run); }))
            ++broken[Promise::NotRunIsTrue];
    }
    if (allNotRun && !request.runs.empty())
        ++broken[Promise::NotRunIsTrue];
}

void FleetRecord::judgeRepeats(const Logical& request)
{
    std::vector<const Try*> answered;
    for (const auto& attempt : request.tries) {
        if (attempt.answers > 0)
            answered.push_back(&attempt);
    }
    for (const auto* first : answered) {
        if (first->answer.outcome != Outcome::Done)
            continue;
        for (const auto* later : answered) {
            const bool refused = later->asked > first->answeredAt && later->answer.outcome == Outcome::NotRun;
            if (refused)
                ++broken[Promise::SameAnswerAgain];
        }
    }
}

} // namespace RequestTests
