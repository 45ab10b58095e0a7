#include "Requests/FleetRecord.h"

#include <algorithm>

namespace RequestTests {

using Ports::Outcome;

namespace {

    constexpr std::chrono::milliseconds lateness { 50 };

    /// True when the answer was correct when its owner sent it, but was delayed by a frozen entry host while an overlapping try
    /// ran.
    bool ranMeanwhile(const LogicalRequest& request, const Try& frozen, Common::Instant run)
    {
        return frozen.hostFailed && run > frozen.sentAt && std::any_of(request.tries.begin(), request.tries.end(), [&](const Try& other) {
            const bool mayHaveRun = other.answers == 0 || other.answer.outcome != Outcome::NotRun;
            return &other != &frozen && mayHaveRun && other.sentAt <= run;
        });
    }

} // namespace

void FleetRecord::evaluate()
{
    for (const auto& request : requests) {
        keyed += request.key.empty() ? 0 : 1;
        bool served = false;
        for (const auto& attempt : request.tries) {
            checkTry(request, attempt);
            served = served || (attempt.answers > 0 && attempt.answer.outcome == Outcome::Done);
        }
        keyedDone += served && !request.key.empty() ? 1 : 0;
        checkNotRun(request);
        checkRepeats(request);
        if (!request.idempotent && request.runs.size() > 1)
            ++violations[Guarantee::AtMostOnce];
    }
}

void FleetRecord::checkTry(const LogicalRequest& request, const Try& attempt)
{
    if (attempt.answers > 1)
        ++violations[Guarantee::OneAnswerInTime];
    if (attempt.answers == 0) {
        if (!attempt.disconnected && !attempt.hostFailed)
            ++violations[Guarantee::OneAnswerInTime];
        return;
    }
    ++reasons[attempt.answer.reason];
    if (!attempt.hostFailed && !attempt.disconnected && attempt.answeredAt > attempt.deadline + lateness)
        ++violations[Guarantee::OneAnswerInTime];
    switch (attempt.answer.outcome) {
    case Outcome::Done:
        ++done;
        if (!attempt.answer.body || *attempt.answer.body != "result of " + request.body)
            ++violations[Guarantee::MatchingAnswer];
        return;
    case Outcome::NotRun:
        ++notRun;
        return;
    case Outcome::Unknown:
        ++unknown;
        return;
    }
}

void FleetRecord::checkNotRun(const LogicalRequest& request)
{
    bool allNotRun = !request.tries.empty();
    for (const auto& attempt : request.tries) {
        const bool answeredNotRun = attempt.answers > 0 && attempt.answer.outcome == Outcome::NotRun;
        allNotRun = allNotRun && answeredNotRun;
        // A later try of the same key may run, but no run may have started by the time of the answer.
        if (answeredNotRun && std::any_of(request.runs.begin(), request.runs.end(), [&](auto run) { return run <= attempt.answeredAt && !ranMeanwhile(request, attempt, run); }))
            ++violations[Guarantee::NotRunIsTrue];
    }
    if (allNotRun && !request.runs.empty())
        ++violations[Guarantee::NotRunIsTrue];
}

void FleetRecord::checkRepeats(const LogicalRequest& request)
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
            const bool refused = later->sentAt > first->answeredAt && later->answer.outcome == Outcome::NotRun;
            if (refused)
                ++violations[Guarantee::NoRefusalAfterDone];
        }
    }
}

} // namespace RequestTests
